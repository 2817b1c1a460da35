// Package placement decides on which worker a task runs. It knows workers by their free capacity only; an Index is
// updated with every change on the owner's books, and a decision reads the index without scanning all workers.
//
// An Index is not safe for concurrent use. Decisions depend only on the sequence of calls.
package placement

import (
	"math"
	"math/bits"
	"slices"

	"github.com/greengagewing/greengagewing/internal/job/worker"
)

// Resources are amounts of what a worker has or a task uses.
type Resources = worker.Resources

const (
	capacityLevels = 64 // per resource; four levels per doubling
	// The smallest amounts that levels tell apart.
	cpuShift          = 2 // 4 thousandths of a processor
	memoryShift       = 4 // 16 MB
	acceleratorLevels = 9 // 0 to 7 free accelerators, and 8 or more
)

// Node is a worker in an Index.
type Node struct {
	fitData fitData
	indexed bool
	open    bool // takes new tasks

	ID, Domain, Rack string

	capacity    Resources
	used        Resources
	pinned      Resources // used by tasks that do not end by themselves
	reservedFor string    // the job that the node is reserved for
	domain      *domain
	rack        *rack
	pos         int     // in the rack
	slots       [2]slot // position in the pool's grid and in the domain's grid
}

// fitData is what a decision reads of each candidate. It takes less than a cache line.
type fitData struct {
	free    Resources
	divisor struct{ cpu, memory, accelerators float64 } // the capacity, infinite where there is none
	penalty float64                                     // added to the score
}

// Capacity returns what the worker has.
func (n *Node) Capacity() Resources { return n.capacity }

// Used returns what is in use on the owner's books.
func (n *Node) Used() Resources { return n.used }

// Free returns what is not in use. Amounts are negative when tasks use more than they declared.
func (n *Node) Free() Resources { return n.fitData.free }

// Open reports whether the worker takes new tasks.
func (n *Node) Open() bool { return n.open }

type slot struct {
	col           *column
	row           *row
	pos           int32 // in the bucket
	acc, cpu, mem uint8
}

type domain struct {
	name     string
	grid     grid
	racks    []*rack
	nodes    int // of all racks
	nextRack int
}

type rack struct {
	key   string // failure domain, "/", rack
	nodes []rackNode
}

// rackNode is the copy of a node's fitData that the decision for a service reads. The nodes of a rack are contiguous, a cache
// line each, because successive decisions in a large pool read different workers.
type rackNode struct {
	fitData // fits no task unless the node is indexed
	node    *Node
}

// noCapacity fits no task.
var noCapacity = Resources{CPUMilli: -1, MemoryMB: -1, Accelerators: -1}

// Index finds workers by free capacity.
type Index struct {
	nodes      map[string]*Node
	grid       grid
	domains    []*domain
	byDomain   map[string]*domain
	byRack     map[string]*rack
	capacities map[Resources]int // number of workers per capacity
	total      Resources         // of open nodes
	used       Resources         // on open nodes
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

// Totals returns the capacity of the open workers and what is in use on them.
func (x *Index) Totals() (capacity, used Resources) { return x.total, x.used }

// Add adds a worker that takes no tasks until SetOpen.
func (x *Index) Add(id, domainName, rackName string, capacity Resources) *Node {
	n := &Node{ID: id, Domain: domainName, Rack: rackName}
	n.setCapacity(capacity)
	x.addToRack(n)
	x.nodes[id] = n
	x.capacities[capacity]++
	return n
}

// addToRack enters a node in its failure domain and rack.
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

// Move changes where a worker is.
func (x *Index) Move(n *Node, domainName, rackName string) {
	open := n.open
	x.SetOpen(n, false)
	x.removeFromRack(n)
	n.Domain, n.Rack = domainName, rackName
	x.addToRack(n)
	x.SetOpen(n, open)
}

// Remove removes a worker.
func (x *Index) Remove(n *Node) {
	x.SetOpen(n, false)
	x.removeFromRack(n)
	delete(x.nodes, n.ID)
	x.countCapacity(n.capacity, -1)
}

// removeFromRack takes a node that is not open out of its rack, and removes a rack and a failure domain without workers.
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

// SetCapacity changes what a worker has.
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
	n.fitData.free = c.Minus(n.used)
	n.fitData.divisor.cpu = divisorOf(c.CPUMilli)
	n.fitData.divisor.memory = divisorOf(c.MemoryMB)
	n.fitData.divisor.accelerators = divisorOf(c.Accelerators)
}

// divisorOf returns the divisor that makes a share of an amount, so that shares of nothing are 0.
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

// SetUsed changes what is in use on a worker.
func (x *Index) SetUsed(n *Node, used Resources) {
	if used != n.used {
		x.update(n, func() { n.used, n.fitData.free = used, n.capacity.Minus(used) })
	}
}

// SetOpen sets whether a worker takes new tasks.
func (x *Index) SetOpen(n *Node, open bool) {
	if open != n.open {
		x.update(n, func() { n.open = open })
	}
}

// Pin adds to what is used on a worker by tasks that do not end by themselves.
func (x *Index) Pin(n *Node, amount Resources) { n.pinned = n.pinned.Plus(amount) }

// SetPenalty makes a worker less attractive. 0 is none; 1 weighs as much as a whole free worker.
func (x *Index) SetPenalty(n *Node, penalty float64) {
	n.fitData.penalty = penalty
	if n.indexed {
		n.rackNode().penalty = penalty
	}
}

func (n *Node) rackNode() *rackNode { return &n.rack.nodes[n.pos] }

func (x *Index) update(n *Node, apply func()) {
	if n.open {
		x.total = x.total.Minus(n.capacity)
		x.used = x.used.Minus(n.used)
	}
	x.removeFromGrids(n)
	apply()
	x.addToGrids(n)
	if n.open {
		x.total = x.total.Plus(n.capacity)
		x.used = x.used.Plus(n.used)
	}
}

func (x *Index) addToGrids(n *Node) {
	free := n.Free()
	if !n.open || n.reservedFor != "" || free.CPUMilli <= 0 || free.MemoryMB <= 0 {
		return
	}
	n.slots[0] = x.grid.insert(n, free)
	n.slots[1] = n.domain.grid.insert(n, free)
	n.rackNode().fitData = n.fitData
	n.indexed = true
}

func (x *Index) removeFromGrids(n *Node) {
	if !n.indexed {
		return
	}
	x.grid.remove(n, 0)
	n.domain.grid.remove(n, 1)
	n.rackNode().free = noCapacity
	n.indexed = false
}

// FitsEmpty returns how many tasks of this size fit on the workers if they were empty, up to limit.
func (x *Index) FitsEmpty(size Resources, limit int) int {
	n := 0
	for c, count := range x.capacities {
		n += min(fitCount(c, size), limit) * count
	}
	return min(n, limit)
}

func fitCount(capacity, size Resources) int {
	if !size.Fits(capacity) {
		return 0
	}
	n := capacity.CPUMilli / max(size.CPUMilli, 1)
	n = min(n, capacity.MemoryMB/max(size.MemoryMB, 1))
	if size.Accelerators > 0 {
		n = min(n, capacity.Accelerators/size.Accelerators)
	}
	return int(n)
}

// grid holds nodes in buckets by free accelerators, processors and memory.
type grid struct{ rows [acceleratorLevels]*row }

type row struct {
	cols  [capacityLevels]*column
	mask  uint64 // columns that are not empty
	count int
}

type column struct {
	buckets  [capacityLevels][]*Node
	mask     uint64 // buckets that are not empty
	nextNode int
}

// capacityLevel maps an amount to 0..63: exact below 4, then four levels per doubling.
func capacityLevel(amount int64) int {
	if amount < 4 {
		return int(max(amount, 0))
	}
	b := bits.Len64(uint64(amount)) - 1
	return min((b-1)*4+int(amount>>(b-2)&3), capacityLevels-1)
}

func acceleratorLevel(n int64) int { return int(min(max(n, 0), acceleratorLevels-1)) }

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
