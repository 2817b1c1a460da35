package interference

// vector holds a value for each of a few kinds, so that a linear search is faster than a map.
type vector []entry

type entry struct {
	kind  *Kind
	value float64
}

// negligible is the absolute value below which an entry is left out when a vector is scaled.
const negligible = 0.005

// add adds a value to that of a kind.
func (v vector) add(k *Kind, value float64) vector {
	for i := range v {
		if v[i].kind == k {
			v[i].value += value
			return v
		}
	}
	return append(v, entry{k, value})
}

// of returns the value of a kind.
func (v vector) of(k *Kind) float64 {
	for _, e := range v {
		if e.kind == k {
			return e.value
		}
	}
	return 0
}

// scale multiplies all values, and leaves out those that have become negligible.
func (v vector) scale(factor float64) vector {
	kept := v[:0]
	for _, e := range v {
		if e.value *= factor; e.value > negligible || e.value < -negligible {
			kept = append(kept, e)
		}
	}
	return kept
}

// difference returns a less b in the memory of buffer.
func difference(buffer, a, b vector) vector {
	out := append(buffer[:0], a...)
	for _, e := range b {
		out = out.add(e.kind, -e.value)
	}
	return out
}
