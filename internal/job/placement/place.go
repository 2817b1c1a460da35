package placement

import (
	"math"
	"math/bits"
	"slices"
	"sort"
)

const (
	// Candidates examined per bucket. Every node of an inner bucket fits, so one is enough; in a boundary bucket some do
	// not fit, and a second pass looks at more of them if the first found nothing. More candidates and cells did not
	// pack better in TestPolicyTable, and each costs a cache miss at 25,000 workers.
	innerCandidates    = 1
	boundaryCandidates = 2
	retryCandidates    = 256
	// maxBuckets bounds the buckets that are examined once a fitting node is known.
	maxBuckets = 8
	// maxRacks bounds the racks that are examined in one failure domain for a service. Pools of up to this many racks
	// per failure domain are spread exactly.
	maxRacks = 8
	// maxSpreadNodes bounds the workers that are examined by free capacity where all racks that were examined are full
	// or hold tasks of the service.
	maxSpreadNodes = 64
	// imbalanceWeight weighs the difference between the free shares of processors and memory. With weights of 0, 1 and
	// 4, 25,000 workers were filled to 93, 95 and 97 % in TestPolicyTable.
	imbalanceWeight = 4
	// reservePercent of the pool is kept free of limited tasks, so that other tasks find room at once.
	reservePercent = 10
)

// Request asks for a place for one task.
type Request struct {
	Job     string // a node that is reserved for this job may be used
	Size    Resources
	Limited bool     // must leave the reserve of the pool free
	Spread  *Spread  // not nil for services
	Avoid   []string // IDs of workers on which the task failed
}

// Spread counts the tasks of one service per place.
type Spread struct {
	Domains map[string]int
	Racks   map[string]int // key: failure domain, "/", rack
	Nodes   map[string]int
}

// NewSpread returns empty counts.
func NewSpread() *Spread {
	return &Spread{Domains: map[string]int{}, Racks: map[string]int{}, Nodes: map[string]int{}}
}

// Count adds by to the counts of a node.
func (s *Spread) Count(n *Node, delta int) {
	addToCount(s.Domains, n.Domain, delta)
	addToCount(s.Racks, n.rack.key, delta)
	addToCount(s.Nodes, n.ID, delta)
}

func addToCount(m map[string]int, key string, delta int) {
	if m[key] += delta; m[key] <= 0 {
		delete(m, key)
	}
}

// Place returns the node for one task, or nil. It does not change the index.
func (x *Index) Place(r Request) *Node {
	if r.Limited && !x.leavesReserve(r.Size) {
		return nil
	}
	if r.Spread != nil {
		return x.placeSpread(r)
	}
	n, _ := x.grid.bestFit(r)
	return n
}

// leavesReserve reports whether the reserve stays free. A demand of more than the pool without its reserve is exempt,
// or it could never be met.
func (x *Index) leavesReserve(size Resources) bool {
	return reserveIsFree(x.used.Plus(size), size, x.total) || !reserveIsFree(size, size, x.total)
}

func reserveIsFree(after, size, total Resources) bool {
	belowLimit := func(after, total int64) bool { return after*100 <= total*(100-reservePercent) }
	return belowLimit(after.CPUMilli, total.CPUMilli) && belowLimit(after.MemoryMB, total.MemoryMB) &&
		(size.Accelerators == 0 || belowLimit(after.Accelerators, total.Accelerators))
}

// PlaceAll returns nodes for n tasks of one gang, or nil unless all fit. It does not change the index.
func (x *Index) PlaceAll(r Request, n int, reserved []*Node) []*Node {
	if r.Limited && !x.leavesReserve(r.Size.Times(n)) {
		return nil
	}
	r.Limited = false
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
		x.SetUsed(node, node.used.Plus(r.Size))
		out = append(out, node)
	}
	// Restored in the order of first use, so that decisions stay reproducible.
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

func firstFit(nodes []*Node, r Request) *Node {
	for _, n := range nodes {
		if n.open && r.Size.Fits(n.Free()) && !slices.Contains(r.Avoid, n.ID) {
			return n
		}
	}
	return nil
}

// Reserve picks the workers on which n tasks of this size will fit soonest once nothing else is placed there, and
// withholds them from other jobs. Pinned resources do not count as room. It returns nil if the open workers are too small. It scans all workers; a pool makes
// one reservation at a time.
func (x *Index) Reserve(r Request, n int) []*Node {
	candidates := make([]*Node, 0, len(x.nodes))
	for _, node := range x.nodes {
		if node.open && node.reservedFor == "" && fitCount(node.capacity.Minus(node.pinned), r.Size) > 0 && !slices.Contains(r.Avoid, node.ID) {
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
		fitting += fitCount(node.capacity.Minus(node.pinned), r.Size)
		if fitting >= n {
			picked := candidates[:i+1]
			for _, p := range picked {
				x.update(p, func() { p.reservedFor = r.Job })
			}
			return picked
		}
	}
	return nil
}

// Release ends a reservation.
func (x *Index) Release(nodes []*Node) {
	for _, n := range nodes {
		x.update(n, func() { n.reservedFor = "" })
	}
}

func freeShare(n *Node) float64 {
	free := n.Free()
	return min(share(free.CPUMilli, n.capacity.CPUMilli), share(free.MemoryMB, n.capacity.MemoryMB))
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// fitScore rates a fit: the smaller, the better. It is the share of the node's dominant free resource that stays free
// after the task, plus the difference between the shares of processors and memory that stay free, because a node with
// much of one and little of the other can hardly be filled.
func (m *fitData) fitScore(size Resources) float64 {
	cpu := float64(m.free.CPUMilli-size.CPUMilli) / m.divisor.cpu
	memory := float64(m.free.MemoryMB-size.MemoryMB) / m.divisor.memory
	accelerators := float64(m.free.Accelerators-size.Accelerators) / m.divisor.accelerators
	return max(cpu, memory, accelerators) + imbalanceWeight*math.Abs(cpu-memory) + m.penalty
}

// bestFit returns the node with the best fit among the examined ones. Nodes with fewer free accelerators come first, so
// that accelerators stay free for the tasks that need them.
func (g *grid) bestFit(r Request) (*Node, float64) {
	if n, s := g.search(r, boundaryCandidates); n != nil {
		return n, s
	}
	return g.search(r, retryCandidates)
}

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

// examine returns the best of up to limit nodes in a bucket. The starting point moves on when none fits, so that
// repeated calls reach every node.
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
		if !r.Size.Fits(n.fitData.free) || len(r.Avoid) > 0 && slices.Contains(r.Avoid, n.ID) {
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
