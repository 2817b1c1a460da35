package placement

import (
	"math/bits"
	"slices"
)

// placeSpread prefers the failure domain, then the rack, then the worker with the fewest tasks of the service. A failure
// domain whose best rack already holds more than its part of the tasks, by its number of workers, counts as if all its
// racks held as many, so that one with room on a single rack is not filled up to the level of the others.
func (x *Index) placeSpread(r Request) *Node {
	type entry struct {
		tasks int
		d     *domain
	}
	var order [32]entry
	entries := order[:0]
	for _, d := range x.domains {
		entries = append(entries, entry{r.Spread.Domains[d.name], d})
	}
	slices.SortStableFunc(entries, func(a, b entry) int { return a.tasks - b.tasks })
	var found *Node
	load := 0
	for _, e := range entries {
		if found != nil && e.tasks >= load {
			break
		}
		n, inRack := e.d.place(r)
		if n == nil {
			continue
		}
		l := max(e.tasks, min(inRack*e.d.seats/len(n.rack.seats), inRack*maxRacks))
		if found == nil || l < load {
			found, load = n, l
		}
	}
	if found == nil {
		found, _ = x.grid.best(r)
	}
	return found
}

// choice is the best node for a task of a service among those that were examined.
type choice struct {
	node           *Node
	inRack, onNode int // tasks of the service
	score          float64
}

// offer takes a node on which the task fits if it is better.
func (c *choice) offer(r Request, n *Node, m *room, inRack int) {
	onNode := 0
	if inRack > 0 {
		onNode = r.Spread.Nodes[n.ID]
	}
	s := m.leftover(r.Size)
	if c.node == nil || inRack < c.inRack || inRack == c.inRack && (onNode < c.onNode || onNode == c.onNode && s < c.score) {
		*c = choice{n, inRack, onNode, s}
	}
}

func (r *Request) suits(n *Node, free Resources) bool {
	return r.Size.Fits(free) && (len(r.Avoid) == 0 || !slices.Contains(r.Avoid, n.ID))
}

// place returns a node and how many tasks of the service its rack holds.
func (d *domain) place(r Request) (*Node, int) {
	var best choice
	for i := 0; i < len(d.racks) && i < maxRacks; i++ {
		rk := d.racks[(d.cursor+i)%len(d.racks)]
		inRack := r.Spread.Racks[rk.key]
		if best.node != nil && inRack > best.inRack {
			continue
		}
		for k := range rk.seats {
			if c := &rk.seats[k]; r.suits(c.node, c.free) {
				best.offer(r, c.node, &c.room, inRack)
			}
		}
	}
	if len(d.racks) > maxRacks {
		d.cursor = (d.cursor + maxRacks) % len(d.racks)
		if best.node == nil || best.inRack > 0 {
			d.grid.spread(r, &best)
		}
	}
	return best.node, best.inRack
}

// spread offers nodes by free capacity until one is in a rack without tasks of the service.
func (g *grid) spread(r Request, best *choice) {
	cpu, mem, left := level(r.Size.CPUMilli>>cpuShift), level(r.Size.MemoryMB>>memoryShift), spreadCandidates
	for acc := accLevel(r.Size.Accelerators); acc < accLevels; acc++ {
		row := g.rows[acc]
		if row == nil || row.count == 0 {
			continue
		}
		for cols := row.mask & (^uint64(0) << cpu); cols != 0; cols &= cols - 1 {
			col := row.cols[bits.TrailingZeros64(cols)]
			for rest := col.mask & (^uint64(0) << mem); rest != 0; rest &= rest - 1 {
				for _, n := range col.buckets[bits.TrailingZeros64(rest)] {
					if r.suits(n, n.room.free) {
						best.offer(r, n, &n.room, r.Spread.Racks[n.rack.key])
					}
					if left--; left == 0 || best.node != nil && best.inRack == 0 {
						return
					}
				}
			}
		}
	}
}
