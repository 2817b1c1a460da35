package placement

import (
	"math/bits"
	"slices"
)

// placeSpread returns a node for a task of a service. It prefers the failure domain with the fewest tasks of the
// service, in it the rack with the fewest, and in that the worker with the fewest. If the best rack of a failure domain
// already runs more than its part of the tasks, by its number of workers, the failure domain counts as if all its racks
// ran as many. Otherwise a failure domain with free capacity in a single rack would get as many tasks in that rack as
// the other failure domains get in all their racks.
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

// spreadCandidate is the best node so far in a search for a task of a service.
type spreadCandidate struct {
	node           *Node
	inRack, onNode int // tasks of the service in the node's rack and on the node
	score          float64
}

// replaceIfWorse replaces the candidate by node n, on which the task fits, if the candidate is worse: its rack runs
// more tasks of the service, or as many and the node runs more, or both run as many and its fit score is higher.
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

// fitsOn reports whether the task fits in the free capacity of the node and did not fail there before.
func (r *Request) fitsOn(n *Node, free Resources) bool {
	return r.Size.FitsIn(free) && (len(r.Avoid) == 0 || !slices.Contains(r.Avoid, n.ID))
}

// bestNode returns the best node of the failure domain for a task of a service, or nil, and the number of tasks of the
// service in its rack. It examines at most maxRacks racks; if there are more, the next call continues with the
// racks behind them.
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

// searchSpread compares nodes with the best candidate, in order of free capacity, until the candidate is in a rack
// without tasks of the service or maxSpreadNodes nodes were examined.
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
