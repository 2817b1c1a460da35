// Package placement selects the worker on which a task runs. The owner of a pool keeps an Index of its workers by free
// capacity, failure domain and rack, and updates it whenever it starts or ends a task or learns of a change of a
// worker. Place finds a node in the index by best fit without scanning all workers.
//
// An Index is not safe for concurrent use. The same sequence of calls always leads to the same placements.
package placement

import (
	"math"
	"math/bits"
	"slices"

	"github.com/greengagewing/greengagewing/internal/job/worker"
)

// Resources are the amounts of each resource that a worker has or a task uses.
type Resources = worker.Resources

const (
	// capacityLevels is the number of levels into which free CPU and free memory are divided, four per doubling.
	capacityLevels = 64
	// The shifts set the units in which capacityLevel counts free CPU and memory.
	cpuShift          = 2 // unit: 4 thousandths of a CPU core
	memoryShift       = 4 // unit: 16 MB
	acceleratorLevels = 9 // one each for 0 to 7 free accelerators, and one for 8 or more
)

// Node is a worker in an Index.
type Node struct {
	fitData     fitData
	indexed     bool // in the grids, so that tasks can be placed on it
	schedulable bool // accepts new tasks

	ID, Domain, Rack string

	capacity    Resources
	used        Resources
	serviceUsed Resources // part of used: tasks of services, which run until they are stopped
	reservedFor string    // ID of the job that the node is reserved for, or empty
	domain      *domain
	rack        *rack
	pos         int     // index in rack.nodes
	slots       [2]slot // position in the grid of the pool [0] and in that of the failure domain [1]
}

// fitData is the part of a node that placement reads for each candidate. It is smaller than a cache line.
type fitData struct {
	free    Resources
	divisor struct{ cpu, memory, accelerators float64 } // the capacity, or infinity for a resource that the node lacks
	penalty float64                                     // added to fitScore
}

// Capacity returns the total resources of the worker.
func (n *Node) Capacity() Resources { return n.capacity }

// Used returns the resources in use, as the owner of the pool last set them with SetUsed.
func (n *Node) Used() Resources { return n.used }

// Free returns the capacity that is not in use. Amounts are negative when tasks use more than they declared,
// and with it more than the worker has.
func (n *Node) Free() Resources { return n.fitData.free }

// Schedulable reports whether the worker accepts new tasks.
func (n *Node) Schedulable() bool { return n.schedulable }

// slot is the position of a node in a grid.
type slot struct {
	col           *column
	row           *row
	pos           int32 // index in the bucket
	acc, cpu, mem uint8 // levels of the free resources
}

// domain is a failure domain with at least one node.
type domain struct {
	name     string
	grid     grid
	racks    []*rack
	nodes    int // number of nodes in all racks
	nextRack int // index of the rack where the next search starts
}

// rack is a rack with at least one node.
type rack struct {
	key   string // failure domain, "/", rack
	nodes []rackNode
}

// rackNode holds a copy of a node's fitData for the placement of services. The copies of a rack are contiguous in
// memory, one cache line each, because successive placements in a large pool read different workers, which are not in
// the cache.
type rackNode struct {
	fitData // free is noCapacity unless the node is indexed
	node    *Node
}

// noCapacity is free capacity in which no task fits.
var noCapacity = Resources{CPUMilli: -1, MemoryMB: -1, Accelerators: -1}

// Index finds the workers of a pool by free capacity.
type Index struct {
	nodes      map[string]*Node
	grid       grid
	domains    []*domain
	byDomain   map[string]*domain
	byRack     map[string]*rack
	capacities map[Resources]int // number of workers by capacity
	total      Resources         // capacity of all schedulable nodes
	used       Resources         // in use on all schedulable nodes
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{
		nodes: map[string]*Node{}, byDomain: map[string]*domain{}, byRack: map[string]*rack{},
		capacities: map[Resources]int{},
	}
}

// Len returns the number of workers.
func (x *Index) Len() int { return len(x.nodes) }

// Totals returns the total capacity of the schedulable workers and the resources in use on them.
func (x *Index) Totals() (capacity, used Resources) { return x.total, x.used }

// AddNode adds a worker. It accepts no tasks until SetSchedulable is called.
func (x *Index) AddNode(id, domainName, rackName string, capacity Resources) *Node {
	n := &Node{ID: id, Domain: domainName, Rack: rackName}
	n.setCapacity(capacity)
	x.addToRack(n)
	x.nodes[id] = n
	x.capacities[capacity]++
	return n
}

// addToRack adds a node to its failure domain and rack, and creates them if they do not exist.
func (x *Index) addToRack(n *Node) {
	d := x.byDomain[n.Domain]
	if d == nil {
		d = &domain{name: n.Domain}
		x.byDomain[n.Domain] = d
		x.domains = append(x.domains, d)
	}
	key := n.Domain + "/" + n.Rack
	r := x.byRack[key]
	if r == nil {
		r = &rack{key: key}
		x.byRack[key] = r
		d.racks = append(d.racks, r)
	}
	n.domain, n.rack, n.pos = d, r, len(r.nodes)
	r.nodes = append(r.nodes, rackNode{fitData: fitData{free: noCapacity}, node: n})
	d.nodes++
}

// MoveNode changes the failure domain and the rack of a worker.
func (x *Index) MoveNode(n *Node, domainName, rackName string) {
	schedulable := n.schedulable
	x.SetSchedulable(n, false)
	x.removeFromRack(n)
	n.Domain, n.Rack = domainName, rackName
	x.addToRack(n)
	x.SetSchedulable(n, schedulable)
}

// RemoveNode removes a worker.
func (x *Index) RemoveNode(n *Node) {
	x.SetSchedulable(n, false)
	x.removeFromRack(n)
	delete(x.nodes, n.ID)
	x.countCapacity(n.capacity, -1)
}

// removeFromRack removes a node, which must not be schedulable, from its rack. It also removes the rack and the failure
// domain if they have no workers left.
func (x *Index) removeFromRack(n *Node) {
	r, d := n.rack, n.domain
	r.nodes = slices.Delete(r.nodes, n.pos, n.pos+1)
	d.nodes--
	for i, s := range r.nodes[n.pos:] {
		s.node.pos = n.pos + i
	}
	if len(r.nodes) == 0 {
		delete(x.byRack, r.key)
		d.racks = slices.DeleteFunc(d.racks, func(o *rack) bool { return o == r })
	}
	if len(d.racks) == 0 {
		delete(x.byDomain, d.name)
		x.domains = slices.DeleteFunc(x.domains, func(o *domain) bool { return o == d })
	}
}

// SetCapacity changes the total resources of a worker.
func (x *Index) SetCapacity(n *Node, capacity Resources) {
	if capacity == n.capacity {
		return
	}
	x.countCapacity(n.capacity, -1)
	x.countCapacity(capacity, 1)
	x.update(n, func() { n.setCapacity(capacity) })
}

func (n *Node) setCapacity(c Resources) {
	n.capacity = c
	n.fitData.free = c.Sub(n.used)
	n.fitData.divisor.cpu = divisorOf(c.CPUMilli)
	n.fitData.divisor.memory = divisorOf(c.MemoryMB)
	n.fitData.divisor.accelerators = divisorOf(c.Accelerators)
}

// divisorOf returns the divisor that turns an amount of a resource into a share of the capacity. It is infinite for a
// capacity of 0, so that the share is 0.
func divisorOf(amount int64) float64 {
	if amount <= 0 {
		return math.Inf(1)
	}
	return float64(amount)
}

func (x *Index) countCapacity(c Resources, delta int) {
	x.capacities[c] += delta
	if x.capacities[c] == 0 {
		delete(x.capacities, c)
	}
}

// SetUsed changes the resources in use on a worker.
func (x *Index) SetUsed(n *Node, used Resources) {
	if used != n.used {
		x.update(n, func() { n.used, n.fitData.free = used, n.capacity.Sub(used) })
	}
}

// SetSchedulable sets whether a worker accepts new tasks.
func (x *Index) SetSchedulable(n *Node, schedulable bool) {
	if schedulable != n.schedulable {
		x.update(n, func() { n.schedulable = schedulable })
	}
}

// AddServiceUsed adds an amount, which may be negative, to the resources that tasks of services use on a worker. Such
// tasks run until they are stopped, so Reserve does not expect their resources to become free.
func (x *Index) AddServiceUsed(n *Node, amount Resources) { n.serviceUsed = n.serviceUsed.Add(amount) }

// SetPenalty sets the penalty that is added to the fit score of a worker, so that tasks are placed on other workers if
// possible. 0 is no penalty; 1 counts as much as a worker that is entirely free.
func (x *Index) SetPenalty(n *Node, penalty float64) {
	n.fitData.penalty = penalty
	if n.indexed {
		n.rackNode().penalty = penalty
	}
}

// rackNode returns the copy of the node's fitData in its rack.
func (n *Node) rackNode() *rackNode { return &n.rack.nodes[n.pos] }

// update applies a change of a node and keeps the grids and the totals consistent with it.
func (x *Index) update(n *Node, apply func()) {
	if n.schedulable {
		x.total = x.total.Sub(n.capacity)
		x.used = x.used.Sub(n.used)
	}
	x.removeFromGrids(n)
	apply()
	x.addToGrids(n)
	if n.schedulable {
		x.total = x.total.Add(n.capacity)
		x.used = x.used.Add(n.used)
	}
}

// addToGrids makes a node available for placement if it is schedulable, not reserved, and has free CPU and memory.
func (x *Index) addToGrids(n *Node) {
	free := n.Free()
	if !n.schedulable || n.reservedFor != "" || free.CPUMilli <= 0 || free.MemoryMB <= 0 {
		return
	}
	n.slots[0] = x.grid.insert(n, free)
	n.slots[1] = n.domain.grid.insert(n, free)
	n.rackNode().fitData = n.fitData
	n.indexed = true
}

// removeFromGrids makes a node unavailable for placement.
func (x *Index) removeFromGrids(n *Node) {
	if !n.indexed {
		return
	}
	x.grid.remove(n, 0)
	n.domain.grid.remove(n, 1)
	n.rackNode().free = noCapacity
	n.indexed = false
}

// FitCountWhenEmpty returns how many tasks of this size would fit on all workers together, schedulable or not, if
// nothing ran on them. The result is at most limit.
func (x *Index) FitCountWhenEmpty(size Resources, limit int) int {
	n := 0
	for c, count := range x.capacities {
		n += min(fitCount(c, size), limit) * count
	}
	return min(n, limit)
}

// fitCount returns how many tasks of a size fit in a capacity.
func fitCount(capacity, size Resources) int {
	if !size.FitsIn(capacity) {
		return 0
	}
	n := capacity.CPUMilli / max(size.CPUMilli, 1)
	n = min(n, capacity.MemoryMB/max(size.MemoryMB, 1))
	if size.Accelerators > 0 {
		n = min(n, capacity.Accelerators/size.Accelerators)
	}
	return int(n)
}

// grid sorts nodes into buckets by free capacity: a row for each level of accelerators, in it a column for each level
// of CPU, and in that a bucket for each level of memory.
type grid struct{ rows [acceleratorLevels]*row }

// row holds the nodes with the same level of free accelerators.
type row struct {
	cols  [capacityLevels]*column
	mask  uint64 // bit i is set if cols[i] has nodes
	count int    // number of nodes
}

// column holds the nodes of a row with the same level of free CPU.
type column struct {
	buckets  [capacityLevels][]*Node
	mask     uint64 // bit i is set if buckets[i] has nodes
	nextNode int    // where the search of a bucket starts, modulo its length
}

// capacityLevel returns the level of an amount, from 0 to 63. Each amount below 4 has its own level; above, there are
// four levels per doubling.
func capacityLevel(amount int64) int {
	if amount < 4 {
		return int(max(amount, 0))
	}
	b := bits.Len64(uint64(amount)) - 1
	return min((b-1)*4+int(amount>>(b-2)&3), capacityLevels-1)
}

// acceleratorLevel returns the level of a number of accelerators.
func acceleratorLevel(n int64) int { return int(min(max(n, 0), acceleratorLevels-1)) }

// insert adds a node to the bucket for its free capacity.
func (g *grid) insert(n *Node, free Resources) slot {
	s := slot{
		acc: uint8(acceleratorLevel(free.Accelerators)), cpu: uint8(capacityLevel(free.CPUMilli >> cpuShift)), mem: uint8(capacityLevel(free.MemoryMB >> memoryShift)),
	}
	if g.rows[s.acc] == nil {
		g.rows[s.acc] = &row{}
	}
	s.row = g.rows[s.acc]
	if s.row.cols[s.cpu] == nil {
		s.row.cols[s.cpu] = &column{}
	}
	s.col = s.row.cols[s.cpu]
	s.pos = int32(len(s.col.buckets[s.mem]))
	s.col.buckets[s.mem] = append(s.col.buckets[s.mem], n)
	s.col.mask |= 1 << s.mem
	s.row.mask |= 1 << s.cpu
	s.row.count++
	return s
}

// remove removes a node, which must be in the grid, from its bucket. slotIndex says which of the node's slots belongs
// to this grid.
func (g *grid) remove(n *Node, slotIndex int) {
	s := n.slots[slotIndex]
	bucket := s.col.buckets[s.mem]
	last := bucket[len(bucket)-1]
	bucket[s.pos] = last
	last.slots[slotIndex].pos = s.pos
	bucket[len(bucket)-1] = nil
	s.col.buckets[s.mem] = bucket[:len(bucket)-1]
	if len(bucket) == 1 {
		s.col.mask &^= 1 << s.mem
		if s.col.mask == 0 {
			s.row.mask &^= 1 << s.cpu
		}
	}
	s.row.count--
}
