package records

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
)

// A value that is too long for a row is divided into parts, each a row of its own, which one transaction writes. The first part has
// the key of the value and begins with partsHeader and the number of parts. Any other value is JSON, so it begins differently.

const (
	partsHeader = "parts "
	partSuffix  = "/part/"
	// maxParts is the highest number of parts; a transaction could not write more.
	maxParts = rowstore.MaxTxnEntries / 2
)

// MaxJobBytes is the highest number of bytes of an encoded job. A transaction with base64 values has room for it and for the other
// rows that belong to it; no job that fits into a request of 256 KiB is longer.
const MaxJobBytes = rowstore.MaxTxnBytes / 2

// Storable reports whether a value of this length can be stored in rows of at most maxBytes.
func Storable(length, maxBytes int) bool {
	return length <= min(MaxJobBytes, (maxParts-1)*maxBytes)
}

// PartKey returns the key of a part of the value with the key. Part 0 has the key of the value.
func PartKey(k rowstore.Key, part int) rowstore.Key {
	if part > 0 {
		k.Name = fmt.Sprintf("%s%s%02d", k.Name, partSuffix, part)
	}
	return k
}

// PartKeys returns the keys of the parts from first up to, but not including, end.
func PartKeys(k rowstore.Key, first, end int) []rowstore.Key {
	var keys []rowstore.Key
	for part := first; part < end; part++ {
		keys = append(keys, PartKey(k, part))
	}
	return keys
}

// parsePartKey returns the key of the value to which a row belongs, and the number of its part.
func parsePartKey(k rowstore.Key) (rowstore.Key, int) {
	name, suffix, found := strings.Cut(k.Name, partSuffix)
	part, err := strconv.Atoi(suffix)
	if !found || err != nil || part <= 0 {
		return k, 0
	}
	k.Name = name
	return k, part
}

// Split returns the rows of a value, each of at most maxBytes.
func Split(k rowstore.Key, value []byte, maxBytes int) []rowstore.Put {
	if len(value) <= maxBytes {
		return []rowstore.Put{{Key: k, Value: value}}
	}
	const headerBytes = len(partsHeader) + len("00\n")
	n := (len(value) + headerBytes + maxBytes - 1) / maxBytes
	rest := append(fmt.Appendf(nil, "%s%02d\n", partsHeader, n), value...)
	puts := make([]rowstore.Put, n)
	for i := range puts {
		size := min(maxBytes, len(rest))
		puts[i] = rowstore.Put{Key: PartKey(k, i), Value: rest[:size:size]}
		rest = rest[size:]
	}
	return puts
}

// countParts returns the number of parts of the value that begins with the row, which is part 0, and the row's share of the value.
// It returns 0 if the header can't be read.
func countParts(first []byte) (int, []byte) {
	rest, divided := bytes.CutPrefix(first, []byte(partsHeader))
	if !divided {
		return 1, first
	}
	header, value, _ := bytes.Cut(rest, []byte("\n"))
	n, err := strconv.Atoi(string(header))
	if err != nil || n < 1 || n > maxParts {
		return 0, nil
	}
	return n, value
}

// Value is a value that was read from one or more rows.
type Value struct {
	rowstore.Row     // with the key of the value and the whole value
	Parts        int // number of its rows
}

// Joiner puts values together again whose rows arrive in any order, some of them repeatedly. The zero value is ready to use.
type Joiner struct {
	incomplete map[rowstore.Key]*incompleteValue
}

// incompleteValue holds the rows of one version of a value that have arrived.
type incompleteValue struct {
	version int64
	rows    map[int][]byte // by part
}

// Add takes a row. It returns the value once all its rows have arrived, and false before. A deleted row is returned as it is if it
// has the key of a value. Rows of an older version than the newest known one are ignored.
func (j *Joiner) Add(r rowstore.Row) (Value, bool) {
	key, part := parsePartKey(r.Key)
	if r.Deleted {
		if part == 0 {
			delete(j.incomplete, key)
		}
		return Value{Row: r, Parts: 1}, part == 0
	}
	if part == 0 {
		if n, _ := countParts(r.Value); n == 1 {
			delete(j.incomplete, key)
			return Value{Row: r, Parts: 1}, true
		}
	}
	v := j.incomplete[key]
	if v == nil || v.version < r.Version {
		v = &incompleteValue{version: r.Version, rows: map[int][]byte{}}
		if j.incomplete == nil {
			j.incomplete = map[rowstore.Key]*incompleteValue{}
		}
		j.incomplete[key] = v
	}
	if v.version > r.Version {
		return Value{}, false
	}
	v.rows[part] = r.Value
	joined, n, ok := v.join()
	if !ok {
		return Value{}, false
	}
	delete(j.incomplete, key)
	return Value{Row: rowstore.Row{Key: key, Value: joined, Version: r.Version}, Parts: n}, true
}

// join returns the whole value and the number of its parts, or false if rows are missing.
func (v *incompleteValue) join() ([]byte, int, bool) {
	first, ok := v.rows[0]
	if !ok {
		return nil, 0, false
	}
	n, value := countParts(first)
	if n == 0 || len(v.rows) < n {
		return nil, 0, false
	}
	out := bytes.Clone(value)
	for i := 1; i < n; i++ {
		part, ok := v.rows[i]
		if !ok {
			return nil, 0, false
		}
		out = append(out, part...)
	}
	return out, n, true
}

// Join returns the values of rows that were read together. It leaves out values of which rows are missing.
func Join(rows []rowstore.Row) []Value {
	var j Joiner
	out := make([]Value, 0, len(rows))
	for _, r := range rows {
		if v, ok := j.Add(r); ok {
			out = append(out, v)
		}
	}
	return out
}
