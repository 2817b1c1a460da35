package placement

import (
	"math"
	"math/bits"
	"slices"
	"sort"
)

const (
	// These constants limit the nodes that are examined in one bucket. In an inner bucket, whose levels of CPU and memory
	// are both above those of the task, every node has enough of both, so one node is enough. In a boundary bucket, where
	// a level equals that of the task, some nodes are too small; if the first search finds no node, a second one examines
	// up to retryCandidates of them. More candidates and buckets did not pack better in TestPolicyTable, and at 25,000
	// workers each candidate costs a cache miss.
	innerCandidates    = 1
	boundaryCandidates = 2
	retryCandidates    = 256
	// maxBuckets is the number of buckets after which a search ends if it has found a node.
	maxBuckets = 8
	// maxRacks limits the racks of one failure domain that are examined for a task of a service. The spread over racks is
	// exact in pools with at most this many racks per failure domain.
	maxRacks = 8
	// maxSpreadNodes limits the nodes of one failure domain that are examined in order of free capacity. This search
	// follows if every rack that was examined is full or runs tasks of the service.
	maxSpreadNodes = 64
	// imbalanceWeight is the weight, in the fit score, of the difference between the free shares of CPU and memory. With
	// weights of 0, 1 and 4, 25,000 workers were filled to 93, 95 and 97 % in TestPolicyTable.
	imbalanceWeight = 4
	// reservePercent is the percentage of the pool that tasks with KeepReserve leave free, so that other tasks can start
	// at once.
	reservePercent = 10
)

// Request describes a task that is to be placed.
type Request struct {
	JobID       string    // ID of the job, for which Reserve reserves nodes
	Size        Resources // what the task needs
	KeepReserve bool      // the task must leave reservePercent of the pool free
	Spread      *Spread   // where the other tasks of the service run; nil unless the job is a service
	Avoid       []string  // IDs of workers on which the task failed before
}

// Spread counts the running tasks of one service by failure domain, rack and worker.
type Spread struct {
	Domains map[string]int
	Racks   map[string]int // key: failure domain, "/", rack
	Nodes   map[string]int // key: ID of the worker
}

// NewSpread returns the Spread of a service without running tasks.
func NewSpread() *Spread {
	return &Spread{Domains: map[string]int{}, Racks: map[string]int{}, Nodes: map[string]int{}}
}

// Count adds delta to the counts of a node, its rack and its failure domain.
func (s *Spread) Count(n *Node, delta int) {
	addToCount(s.Domains, n.Domain, delta)
	addToCount(s.Racks, n.rack.key, delta)
	addToCount(s.Nodes, n.ID, delta)
}

// addToCount adds delta to a count and deletes a count that reaches 0.
func addToCount(m map[string]int, key string, delta int) {
	if m[key] += delta; m[key] <= 0 {
		delete(m, key)
	}
}

// Place returns the node on which one task is to run, or nil if none was found. The caller records the placement with
// SetUsed.
func (x *Index) Place(r Request) *Node {
	if r.KeepReserve && !x.leavesReserve(r.Size) {
		return nil
	}
	if r.Spread != nil {
		return x.placeSpread(r)
	}
	n, _ := x.grid.bestFit(r)
	return n
}

// leavesReserve reports whether reservePercent of the pool stays free after tasks of this total size were placed. Tasks
// that would not fit beside the reserve even in an empty pool are exempt, because otherwise they could never run.
func (x *Index) leavesReserve(size Resources) bool {
	return reserveIsFree(x.used.Add(size), size, x.total) || !reserveIsFree(size, size, x.total)
}

// reserveIsFree reports whether the reserve is free when the resources in after are in use. It ignores accelerators if
// the task needs none.
func reserveIsFree(after, size, total Resources) bool {
	belowLimit := func(after, total int64) bool { return after*100 <= total*(100-reservePercent) }
	return belowLimit(after.CPUMilli, total.CPUMilli) && belowLimit(after.MemoryMB, total.MemoryMB) &&
		(size.Accelerators == 0 || belowLimit(after.Accelerators, total.Accelerators))
}

// PlaceGang returns the nodes for the n tasks of a gang, which start together, or nil if they do not all fit. It uses
// the nodes in reserved first, which Reserve returned for the job. While it searches it counts the tasks as placed, and
// it takes them off before it returns; the caller records the placement with SetUsed.
func (x *Index) PlaceGang(r Request, n int, reserved []*Node) []*Node {
	if r.KeepReserve && !x.leavesReserve(r.Size.Mul(n)) {
		return nil
	}
	r.KeepReserve = false
	out := make([]*Node, 0, n)
	before := make(map[*Node]Resources, n)
	for len(out) < n {
		node := firstFit(reserved, r)
		if node == nil {
			node, _ = x.grid.bestFit(r)
		}
		if node == nil {
			break
		}
		if _, seen := before[node]; !seen {
			before[node] = node.used
		}
		x.SetUsed(node, node.used.Add(r.Size))
		out = append(out, node)
	}
	// Nodes are restored in the order in which they were first used. The order of a map would make later placements
	// depend on chance.
	for _, node := range out {
		if used, ok := before[node]; ok {
			x.SetUsed(node, used)
			delete(before, node)
		}
	}
	if len(out) < n {
		return nil
	}
	return out
}

// firstFit returns the first of the given nodes on which the task fits, or nil.
func firstFit(nodes []*Node, r Request) *Node {
	for _, n := range nodes {
		if n.schedulable && r.Size.FitsIn(n.Free()) && !slices.Contains(r.Avoid, n.ID) {
			return n
		}
	}
	return nil
}

// Reserve selects workers for n tasks of this size and excludes them from the placement of other jobs, so that they
// become free as their running tasks end. It takes the workers with the largest free share first, since those are
// likely to be free soonest. The resources of tasks of services (see AddServiceUsed) do not count, because they do not
// become free. Reserve returns nil if the schedulable workers are too small. It scans all workers, but a pool has only
// one reservation at a time.
func (x *Index) Reserve(r Request, n int) []*Node {
	candidates := make([]*Node, 0, len(x.nodes))
	for _, node := range x.nodes {
		if node.schedulable && node.reservedFor == "" && fitCount(node.capacity.Sub(node.serviceUsed), r.Size) > 0 && !slices.Contains(r.Avoid, node.ID) {
			candidates = append(candidates, node)
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if fa, fb := freeShare(a), freeShare(b); fa != fb {
			return fa > fb
		}
		return a.ID < b.ID
	})
	fitting := 0
	for i, node := range candidates {
		fitting += fitCount(node.capacity.Sub(node.serviceUsed), r.Size)
		if fitting >= n {
			picked := candidates[:i+1]
			for _, p := range picked {
				x.update(p, func() { p.reservedFor = r.JobID })
			}
			return picked
		}
	}
	return nil
}

// Release ends a reservation, so that the nodes are available to all jobs again.
func (x *Index) Release(nodes []*Node) {
	for _, n := range nodes {
		x.update(n, func() { n.reservedFor = "" })
	}
}

// freeShare returns the free share of CPU or memory, whichever is smaller.
func freeShare(n *Node) float64 {
	free := n.Free()
	return min(share(free.CPUMilli, n.capacity.CPUMilli), share(free.MemoryMB, n.capacity.MemoryMB))
}

// share returns part as a share of whole, or 0 if whole is 0.
func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// fitScore returns how well a task fits on the node; lower is better. It is the largest share of a resource that stays
// free after the task is placed, plus the weighted difference between the shares of CPU and memory that stay free, plus
// the penalty. The difference counts because a node with much free CPU and little free memory, or the reverse, is hard
// to fill.
func (m *fitData) fitScore(size Resources) float64 {
	cpu := float64(m.free.CPUMilli-size.CPUMilli) / m.divisor.cpu
	memory := float64(m.free.MemoryMB-size.MemoryMB) / m.divisor.memory
	accelerators := float64(m.free.Accelerators-size.Accelerators) / m.divisor.accelerators
	return max(cpu, memory, accelerators) + imbalanceWeight*math.Abs(cpu-memory) + m.penalty
}

// bestFit returns the examined node with the lowest fit score, and that score, or nil if the task fits on no examined
// node. It examines nodes with fewer free accelerators first, so that accelerators stay free for the tasks that need
// them.
func (g *grid) bestFit(r Request) (*Node, float64) {
	if n, s := g.search(r, boundaryCandidates); n != nil {
		return n, s
	}
	return g.search(r, retryCandidates)
}

// search returns the best node of the first row in which the task fits on an examined node. It examines at most
// boundaryLimit nodes of each boundary bucket.
func (g *grid) search(r Request, boundaryLimit int) (*Node, float64) {
	cpu, mem := capacityLevel(r.Size.CPUMilli>>cpuShift), capacityLevel(r.Size.MemoryMB>>memoryShift)
	for acc := acceleratorLevel(r.Size.Accelerators); acc < acceleratorLevels; acc++ {
		row := g.rows[acc]
		if row == nil || row.count == 0 {
			continue
		}
		if n, s := row.bestFit(r, cpu, mem, boundaryLimit); n != nil {
			return n, s
		}
	}
	return nil, 0
}

// bestFit returns the node with the lowest fit score among the examined nodes of the row. cpu and mem are the levels of
// the task's size; buckets below them are skipped.
func (w *row) bestFit(r Request, cpu, mem, boundaryLimit int) (*Node, float64) {
	var found *Node
	score, examined := 0.0, 0
	for cols := w.mask & (^uint64(0) << cpu); cols != 0; cols &= cols - 1 {
		c := bits.TrailingZeros64(cols)
		col := w.cols[c]
		for rest := col.mask & (^uint64(0) << mem); rest != 0; rest &= rest - 1 {
			m := bits.TrailingZeros64(rest)
			limit := innerCandidates
			if c == cpu || m == mem {
				limit = boundaryLimit
			}
			if n, s := col.examine(m, limit, r); n != nil && (found == nil || s < score) {
				found, score = n, s
			}
			if examined++; examined >= maxBuckets && found != nil {
				return found, score
			}
		}
	}
	return found, score
}

// examine returns the node with the lowest fit score among at most limit nodes of a bucket. If the task fits on none of
// them, the next call starts behind them, so that repeated calls reach every node.
func (c *column) examine(m, limit int, r Request) (*Node, float64) {
	bucket := c.buckets[m]
	var found *Node
	score := 0.0
	start := 0
	if len(bucket) > limit {
		start = c.nextNode % len(bucket)
	}
	for i := 0; i < len(bucket) && i < limit; i++ {
		n := bucket[(start+i)%len(bucket)]
		if !r.Size.FitsIn(n.fitData.free) || len(r.Avoid) > 0 && slices.Contains(r.Avoid, n.ID) {
			continue
		}
		if s := n.fitData.fitScore(r.Size); found == nil || s < score {
			found, score = n, s
		}
	}
	if found == nil && len(bucket) > limit {
		c.nextNode += limit
	}
	return found, score
}
