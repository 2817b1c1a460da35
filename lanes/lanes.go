// Package lanes is a bounded queue with three lanes that share a number of slots.
//
// The queue decides which waiting item runs next; it runs nothing itself and has no goroutines and no clock. Bulk items
// hold at most half of the slots, normal and bulk items together at most four fifths, so that urgent items always find
// slots. Within a lane, customers are served by deficit round robin, weighted by observed run times. A queue is not safe
// for concurrent use.
package lanes

import (
	"container/heap"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/defaults"
)

// Lane orders items when slots are scarce.
type Lane int

// The lanes, most important first.
const (
	Urgent Lane = iota
	Normal
	Bulk
	laneCount
)

// String returns the lane's name.
func (l Lane) String() string {
	return [...]string{"urgent", "normal", "bulk"}[l]
}

// ErrFull says that the lane holds as many items of this customer as the bound on its length allows.
var ErrFull = errors.New("lanes: queue is full")

const (
	bulkPercent          = 50 // of the slots, for bulk items
	normalAndBulkPercent = 80 // of the slots, for normal and bulk items together

	// longBulkPercent of the slots are open to bulk items that run more than ten times as long as the others: a crest cannot
	// wait for their slots, and it may be higher than foreseen. With 30 % instead, the p99 wait of urgent items at a first
	// crest of 67 % of the slots and 20 times the ordinary load was 14 ms instead of 3.3 ms, with 50 % it was 147 ms
	// (trials, seed 1).
	longBulkPercent = 20

	// minBulkPercent of the slots stay open to bulk items, however many slots are reserved. With 10 % instead, the
	// p99 wait at a recurring crest that needs 83 % of the slots was 2.6 times that without bulk items, with 5 % it was
	// 1.6 times (TestPolicyTable, seed 1).
	minBulkPercent = 5

	// minSlotsForStarvationGuard is the number of slots from which on a lane without a running item gets the next free slot that
	// its share allows. Without this, a lasting load of urgent work would stop the lower lanes entirely.
	minSlotsForStarvationGuard = 8

	// maxWaitPercent of its time is the longest estimated wait with which an item is accepted. A longer queue only makes
	// everyone wait, because the slots are busy anyway, and estimates that are a little low turn into items that expire.
	// With 100 % instead, at a crest of 167 % of the slots the p50 wait was 439 ms instead of 240 ms, and 63 % instead of
	// 67 % were served in time (TestPolicyTable, seed 1).
	maxWaitPercent = 50

	// minWaitEstimate is the estimate for an item that has to wait while no run times are known.
	minWaitEstimate = time.Millisecond
)

// Config bounds a queue. Zero values are replaced by defaults.
type Config struct {
	MaxItems int           // items waiting per lane, default 4096
	MaxWait  time.Duration // longest time in the queue, default 10 s

	// SwingFactor is how many times the ordinary load of urgent and normal items a sudden crest may reach, default 10.
	// Long bulk items leave free what such a crest needs. With 1, they leave free what the recent peak needed.
	SwingFactor float64
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.MaxItems, 4096)
	defaults.Set(&c.MaxWait, 10*time.Second)
	defaults.Set(&c.SwingFactor, 10)
	return c
}

// Limits are the numbers of slots that lanes may hold together with the lanes below them.
type Limits [laneCount]int

// NewLimits returns the limits for a number of slots: all for urgent, 80 % for normal and bulk, 50 % for bulk, rounded
// down but at least one. Bulk also leaves the reserved slots free, as far as it keeps 5 %.
func NewLimits(total, reserved int) Limits {
	if total <= 0 {
		return Limits{}
	}
	bulk := min(total*bulkPercent/100, max(total-reserved, total*minBulkPercent/100))
	return Limits{total, max(1, total*normalAndBulkPercent/100), max(1, bulk)}
}

// Allowed reports whether one more item of the lane may run, given the slots in use per lane.
func (m Limits) Allowed(l Lane, running [3]int) bool {
	normalAndBulk := running[Normal] + running[Bulk]
	if running[Urgent]+normalAndBulk >= m[Urgent] {
		return false
	}
	return l == Urgent || normalAndBulk < m[Normal] && (l == Normal || running[Bulk] < m[Bulk])
}

// Next returns the lane whose next item should run, given the slots in use and the items ready to run per lane.
func (m Limits) Next(running, ready [3]int) (Lane, bool) {
	if m[Urgent] >= minSlotsForStarvationGuard {
		for l := Bulk; l > Urgent; l-- {
			if ready[l] > 0 && running[l] == 0 && m.Allowed(l, running) {
				return l, true
			}
		}
	}
	for l := Urgent; l < laneCount; l++ {
		if ready[l] > 0 && m.Allowed(l, running) {
			return l, true
		}
	}
	return 0, false
}

// Ticket is one item's place in a queue.
type Ticket[T any] struct {
	Value    T
	Customer string
	Class    Lane      // lane that the caller asked for
	Lane     Lane      // lane that the item waits in
	Enqueued time.Time // time of Offer
	Deadline time.Time // end of the wait

	state      state
	holdsSlot  bool
	seq        uint64
	cost       float64
	flow       *flow[T]
	prev, next *Ticket[T]
	heapIndex  int
}

type state int

const (
	stateDequeued state = iota // running, expired or removed
	statePending               // counted and bounded in time, but not ready to run
	stateReady
)

// Queue holds waiting items and counts the slots that running items hold.
type Queue[T any] struct {
	cfg        Config
	lanes      [laneCount]*lane[T]
	observed   runTimes
	byDeadline deadlineHeap[T]
	expired    []*Ticket[T]
	running    [3]int
	slots      int
	demand     demand
	seq        uint64
}

// New returns an empty queue without slots.
func New[T any](cfg Config) *Queue[T] {
	q := &Queue[T]{cfg: cfg.withDefaults(), observed: newRunTimes()}
	for i := range q.lanes {
		q.lanes[i] = newLane[T]()
	}
	return q
}

// SetSlots sets the number of slots that items may hold. Items that run already keep theirs.
func (q *Queue[T]) SetSlots(n int) { q.slots = max(0, n) }

// Slots returns the number of slots that items may hold.
func (q *Queue[T]) Slots() int { return q.slots }

// Running returns the slots in use per lane, lent ones included.
func (q *Queue[T]) Running() [3]int { return q.running }

// Waiting returns the items that wait per lane.
func (q *Queue[T]) Waiting() [3]int {
	var n [3]int
	for i, l := range q.lanes {
		n[i] = l.waiting
	}
	return n
}

func (q *Queue[T]) ready() [3]int {
	var n [3]int
	for i, l := range q.lanes {
		n[i] = l.ready
	}
	return n
}

// LaneOf returns the lane for a customer's items of a class: the class itself, or bulk when their observed run time is
// more than ten times the median of the class.
func (q *Queue[T]) LaneOf(customer string, class Lane) Lane {
	if class != Bulk && q.observed.isDemoted(customer, class) {
		return Bulk
	}
	return class
}

// Enqueue adds an item that is not ready to run yet; call Ready when it is. It returns ErrFull when the lane has no room
// for this customer: one customer gets at most as many places as are free, so a flood leaves room for others.
func (q *Queue[T]) Enqueue(now time.Time, customer string, class Lane, deadline time.Time, v T) (*Ticket[T], error) {
	at := q.LaneOf(customer, class)
	l := q.lanes[at]
	if l.waitingFor(customer) >= q.cfg.MaxItems-l.waiting {
		return nil, ErrFull
	}
	if end := now.Add(q.cfg.MaxWait); deadline.After(end) {
		deadline = end
	}
	q.seq++
	t := &Ticket[T]{
		Value: v, Customer: customer, Class: class, Lane: at, Enqueued: now, Deadline: deadline,
		seq: q.seq, cost: q.observed.cost(customer, class, at),
	}
	q.add(t)
	if at != Bulk {
		q.demand.record(now, q.lanes[Urgent].waiting+q.lanes[Normal].waiting+q.running[Urgent]+q.running[Normal]-1)
	}
	return t, nil
}

// Stats describes one lane.
type Stats struct {
	Waiting int           `json:"waiting"`
	Ready   int           `json:"ready"`   // of those waiting
	Running int           `json:"running"` // lent slots included
	Limit   int           `json:"limit"`   // slots that the lane may hold together with the lanes below it
	Median  time.Duration `json:"median_ns"`
	Mean    time.Duration `json:"mean_ns"`
}

// Stats returns the state of each lane by its name. It shows operators why a lane waits while slots are idle.
func (q *Queue[T]) Stats() map[string]Stats {
	limits := q.limits()
	stats := make(map[string]Stats, laneCount)
	for l := Urgent; l < laneCount; l++ {
		w := &q.observed.lanes[l]
		stats[l.String()] = Stats{
			Waiting: q.lanes[l].waiting, Ready: q.lanes[l].ready, Running: q.running[l], Limit: limits[l],
			Median: time.Duration(w.median), Mean: time.Duration(w.mean),
		}
	}
	return stats
}

// limits returns the limits in force. Slots are reserved for urgent and normal items while bulk items run so long that
// their slots would not be free again before the next crest is over.
func (q *Queue[T]) limits() Limits {
	reserved := 0
	if q.observed.mean(Bulk) > demoteFactor*max(q.observed.mean(Urgent), q.observed.mean(Normal)) {
		reserved = q.demand.slotsToReserve(q.slots, q.cfg.SwingFactor)
	}
	return NewLimits(q.slots, reserved)
}

func (q *Queue[T]) add(t *Ticket[T]) {
	t.state = statePending
	t.flow = q.lanes[t.Lane].addWaiting(t.Customer)
	heap.Push(&q.byDeadline, t)
}

// MarkReady marks an item as ready to run. It keeps the place in the order that it got by Offer.
func (q *Queue[T]) MarkReady(t *Ticket[T]) {
	if t.state == statePending {
		t.state = stateReady
		q.lanes[t.Lane].insert(t)
	}
}

// Next takes the item that should run now and counts its slot as in use until Release. It returns nil when nothing may
// run. Items past their deadline are never returned; Expire hands them out.
func (q *Queue[T]) Next(now time.Time) *Ticket[T] {
	q.collectExpired(now)
	q.demand.advance(now)
	l, ok := q.limits().Next(q.running, q.ready())
	if !ok {
		return nil
	}
	t := q.dequeue(l)
	q.running[l]++
	t.holdsSlot = true
	return t
}

// NextRemote takes the most important item that waits, whatever the shares, to run in a slot that is counted elsewhere.
func (q *Queue[T]) NextRemote(now time.Time) *Ticket[T] {
	q.collectExpired(now)
	for l := Urgent; l < laneCount; l++ {
		if q.lanes[l].ready > 0 {
			return q.dequeue(l)
		}
	}
	return nil
}

func (q *Queue[T]) dequeue(l Lane) *Ticket[T] {
	t := q.lanes[l].pop()
	heap.Remove(&q.byDeadline, t.heapIndex)
	q.removeWaiting(t)
	return t
}

func (q *Queue[T]) removeWaiting(t *Ticket[T]) {
	t.state = stateDequeued
	q.lanes[t.Lane].removeWaiting(t.flow)
	t.flow = nil
}

// Release frees the slot of an item that Next returned.
func (q *Queue[T]) Release(t *Ticket[T]) {
	if t.holdsSlot {
		t.holdsSlot = false
		q.running[t.Lane]--
	}
}

// Requeue puts an item that Next or NextRemote returned back to its place in the order and frees its slot.
func (q *Queue[T]) Requeue(t *Ticket[T]) {
	if t.state != stateDequeued {
		return
	}
	q.Release(t)
	q.add(t)
	q.MarkReady(t)
}

// Remove takes an item out of the queue. It returns false if the item no longer waits.
func (q *Queue[T]) Remove(t *Ticket[T]) bool {
	if t.state == stateDequeued {
		return false
	}
	if t.state == stateReady {
		q.lanes[t.Lane].remove(t)
	}
	heap.Remove(&q.byDeadline, t.heapIndex)
	q.removeWaiting(t)
	return true
}

// TakeExpired takes the items whose deadline has come.
func (q *Queue[T]) TakeExpired(now time.Time) []*Ticket[T] {
	q.collectExpired(now)
	ts := q.expired
	q.expired = nil
	return ts
}

func (q *Queue[T]) collectExpired(now time.Time) {
	for len(q.byDeadline) > 0 && !q.byDeadline[0].Deadline.After(now) {
		t := q.byDeadline[0]
		q.Remove(t)
		q.expired = append(q.expired, t)
	}
}

// NextDeadline returns the earliest deadline of the waiting items, or false when nothing waits.
func (q *Queue[T]) NextDeadline() (time.Time, bool) {
	if len(q.byDeadline) == 0 {
		return time.Time{}, false
	}
	return q.byDeadline[0].Deadline, true
}

// RemoveAll takes all waiting items.
func (q *Queue[T]) RemoveAll() []*Ticket[T] {
	ts := q.expired
	q.expired = nil
	for len(q.byDeadline) > 0 {
		t := q.byDeadline[0]
		q.Remove(t)
		ts = append(ts, t)
	}
	return ts
}

// LendSlot counts a slot as in use by an item of another queue. It returns false when the lane's share is used up or when an
// own item of the same or a higher lane waits for it.
func (q *Queue[T]) LendSlot(l Lane) bool {
	for own := Urgent; own <= l; own++ {
		if q.lanes[own].ready > 0 {
			return false
		}
	}
	if !q.limits().Allowed(l, q.running) {
		return false
	}
	q.running[l]++
	return true
}

// ReturnSlot frees a slot that Lend counted.
func (q *Queue[T]) ReturnSlot(l Lane) { q.running[l]-- }

// RecordRunTime records how long an item of a customer ran.
func (q *Queue[T]) RecordRunTime(now time.Time, customer string, class, ran Lane, run time.Duration) {
	q.observed.record(now, customer, class, ran, run)
}

// ForgetRunTimes drops the observed run times of customers that have not run anything since the given time.
func (q *Queue[T]) ForgetRunTimes(before time.Time) { q.observed.forget(before) }

// EstimateWait returns how long a new item of the customer would wait. It is zero only when a slot is free for it.
func (q *Queue[T]) EstimateWait(customer string, class Lane) time.Duration {
	at := q.LaneOf(customer, class)
	l := q.lanes[at]
	itemsAhead := l.itemsAhead(customer)
	waitingAbove := 0
	for i := Urgent; i < at; i++ {
		waitingAbove += q.lanes[i].waiting
	}
	if itemsAhead+waitingAbove == 0 && q.limits().Allowed(at, q.running) {
		return 0
	}
	if q.slots == 0 {
		return minWaitEstimate // nothing is known; the deadline decides
	}
	work := float64(itemsAhead+1) * q.observed.mean(at)
	for i := Urgent; i < at; i++ {
		work += float64(q.lanes[i].waiting) * q.observed.mean(i)
	}
	return max(minWaitEstimate, q.waitForWork(work, at))
}

// ExpectedRunTime returns how long an item of the customer is expected to run, or zero when nothing is known: the lower of
// its own average and the lane's, so that one slow run does not count against a customer for long.
func (q *Queue[T]) ExpectedRunTime(customer string, class Lane) time.Duration {
	mean := q.observed.mean(q.LaneOf(customer, class))
	if own, ok := q.observed.average(customer, class); ok {
		mean = min(mean, own)
	}
	return time.Duration(mean)
}

// CannotMeetDeadline reports whether a new item of the customer should be turned away: it would wait so long that it could not end
// within its time, or for more than half of that time. An item that need not wait is never hopeless.
func (q *Queue[T]) CannotMeetDeadline(customer string, class Lane, within time.Duration) bool {
	wait := q.EstimateWait(customer, class)
	return wait > 0 && (wait+q.ExpectedRunTime(customer, class) > within || wait > within*maxWaitPercent/100)
}

// waitForWork divides work by the slots that serve the lane. Slots that lower lanes hold count only if they are expected
// to be free before the wait ends.
func (q *Queue[T]) waitForWork(work float64, at Lane) time.Duration {
	lower := 0
	for i := at + 1; i < laneCount; i++ {
		lower += q.running[i]
	}
	limit := q.limits()[at]
	wait := work / float64(max(1, limit-lower))
	freed := 0
	for i := at + 1; i < laneCount; i++ {
		if q.observed.mean(i) <= wait {
			freed += q.running[i]
		}
	}
	return time.Duration(work / float64(max(1, limit-lower+freed)))
}

// deadlineHeap is a heap of tickets by deadline.
type deadlineHeap[T any] []*Ticket[T]

func (d deadlineHeap[T]) Len() int           { return len(d) }
func (d deadlineHeap[T]) Less(i, j int) bool { return d[i].Deadline.Before(d[j].Deadline) }
func (d deadlineHeap[T]) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}

func (d *deadlineHeap[T]) Push(x any) {
	t := x.(*Ticket[T])
	t.heapIndex = len(*d)
	*d = append(*d, t)
}

func (d *deadlineHeap[T]) Pop() any {
	old := *d
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	return t
}
