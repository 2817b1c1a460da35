package placement

import (
	"math/bits"
	"slices"
)

// placeSpread prefers the failure domain, then the rack, then the worker with the fewest tasks of the service. A failure
// domain whose best rack already holds more than its part of the tasks, by its number of workers, counts as if all its
// racks held as many, so that one with room on a single rack is not filled up to the level of the others.
func (x *Index) placeSpread(r Request) *Node {
	type domainTasks struct {
		tasks int
		d     *domain
	}
	var buffer [32]domainTasks
	byTasks := buffer[:0]
	for _, d := range x.domains {
		byTasks = append(byTasks, domainTasks{r.Spread.Domains[d.name], d})
	}
	slices.SortStableFunc(byTasks, func(a, b domainTasks) int { return a.tasks - b.tasks })
	var found *Node
	load := 0
	for _, e := range byTasks {
		if found != nil && e.tasks >= load {
			break
		}
		n, inRack := e.d.bestNode(r)
		if n == nil {
			continue
		}
		l := max(e.tasks, min(inRack*e.d.nodes/len(n.rack.nodes), inRack*maxRacks))
		if found == nil || l < load {
			found, load = n, l
		}
	}
	if found == nil {
		found, _ = x.grid.bestFit(r)
	}
	return found
}

// spreadCandidate is the best node for a task of a service among those that were examined.
type spreadCandidate struct {
	node           *Node
	inRack, onNode int // tasks of the service
	score          float64
}

// replaceIfWorse takes a node on which the task fits if it is better.
func (c *spreadCandidate) replaceIfWorse(r Request, n *Node, m *fitData, inRack int) {
	onNode := 0
	if inRack > 0 {
		onNode = r.Spread.Nodes[n.ID]
	}
	s := m.fitScore(r.Size)
	if c.node == nil || inRack < c.inRack || inRack == c.inRack && (onNode < c.onNode || onNode == c.onNode && s < c.score) {
		*c = spreadCandidate{n, inRack, onNode, s}
	}
}

func (r *Request) fitsOn(n *Node, free Resources) bool {
	return r.Size.Fits(free) && (len(r.Avoid) == 0 || !slices.Contains(r.Avoid, n.ID))
}

// bestNode returns a node and how many tasks of the service its rack holds.
func (d *domain) bestNode(r Request) (*Node, int) {
	var best spreadCandidate
	for i := 0; i < len(d.racks) && i < maxRacks; i++ {
		rk := d.racks[(d.nextRack+i)%len(d.racks)]
		inRack := r.Spread.Racks[rk.key]
		if best.node != nil && inRack > best.inRack {
			continue
		}
		for k := range rk.nodes {
			if c := &rk.nodes[k]; r.fitsOn(c.node, c.free) {
				best.replaceIfWorse(r, c.node, &c.fitData, inRack)
			}
		}
	}
	if len(d.racks) > maxRacks {
		d.nextRack = (d.nextRack + maxRacks) % len(d.racks)
		if best.node == nil || best.inRack > 0 {
			d.grid.searchSpread(r, &best)
		}
	}
	return best.node, best.inRack
}

// searchSpread offers nodes by free capacity until one is in a rack without tasks of the service.
func (g *grid) searchSpread(r Request, best *spreadCandidate) {
	cpu, mem, remaining := capacityLevel(r.Size.CPUMilli>>cpuShift), capacityLevel(r.Size.MemoryMB>>memoryShift), maxSpreadNodes
	for acc := acceleratorLevel(r.Size.Accelerators); acc < acceleratorLevels; acc++ {
		row := g.rows[acc]
		if row == nil || row.count == 0 {
			continue
		}
		for cols := row.mask & (^uint64(0) << cpu); cols != 0; cols &= cols - 1 {
			col := row.cols[bits.TrailingZeros64(cols)]
			for rest := col.mask & (^uint64(0) << mem); rest != 0; rest &= rest - 1 {
				for _, n := range col.buckets[bits.TrailingZeros64(rest)] {
					if r.fitsOn(n, n.fitData.free) {
						best.replaceIfWorse(r, n, &n.fitData, r.Spread.Racks[n.rack.key])
					}
					if remaining--; remaining == 0 || best.node != nil && best.inRack == 0 {
						return
					}
				}
			}
		}
	}
}
