// Package lanes implements a bounded priority queue. Its three lanes (urgent, normal and bulk) share a number of
// execution slots.
//
// The queue only decides which waiting item runs next. It runs nothing itself, starts no goroutine and reads no clock:
// the callers pass the current time. Bulk items may use at most half of the slots, and normal and bulk items together
// at most four fifths, so that slots remain for urgent items. Within a lane, customers are served by deficit round
// robin, in which an item's cost is its customer's observed run time. A Queue is not safe for concurrent use.
package lanes

import (
	"container/heap"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/defaults"
)

// Lane is a priority class.
type Lane int

// The lanes, highest priority first.
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

// ErrFull is returned by Enqueue if the lane has no room for another item of the customer.
var ErrFull = errors.New("lanes: queue is full")

const (
	bulkPercent          = 50 // maximum share of the slots for bulk items
	normalAndBulkPercent = 80 // maximum share of the slots for normal and bulk items together

	// longBulkPercent is the maximum share of the slots for bulk items while they run more than ten times as long as
	// urgent and normal items. A load spike cannot wait until long items free their slots, and it may be higher than
	// forecast. With 30 % instead, the p99 wait of urgent items at a first spike of 67 % of the slots and 20 times the
	// baseline load was 14 ms instead of 3.3 ms; with 50 % it was 147 ms (trials, seed 1).
	longBulkPercent = 20

	// minBulkPercent is the share of the slots that bulk items may always use, however many slots are reserved. With
	// 10 % instead, the p99 wait in a recurring spike that needs 83 % of the slots was 2.6 times that without bulk
	// items; with 5 % it was 1.6 times (TestPolicyTable, seed 1).
	minBulkPercent = 5

	// minSlotsForStarvationGuard is the number of slots from which on a lane that has no running item gets the next
	// free slot within its limit, even if items of higher lanes wait. Without this rule, a sustained load of urgent
	// items would starve the lower lanes.
	minSlotsForStarvationGuard = 8

	// maxWaitPercent limits the estimated wait of an item, as a share of the time until its deadline. Items that would
	// wait longer are rejected: the slots are busy anyway, so a longer queue only makes everyone wait, and a slightly
	// low estimate turns into an item that expires. With 100 % instead, at a spike of 167 % of the slots the p50 wait
	// was 439 ms instead of 240 ms, and 63 % instead of 67 % were served in time (TestPolicyTable, seed 1).
	maxWaitPercent = 50

	// minWaitEstimate is the lowest estimate for an item that has to wait, and the estimate while no run times are
	// known.
	minWaitEstimate = time.Millisecond
)

// Config holds the limits of a queue. Zero values are replaced by defaults.
type Config struct {
	MaxItems int           // maximum of waiting items per lane, default 4096
	MaxWait  time.Duration // maximum time that an item waits, default 10 s

	// SwingFactor is the height of the load spikes that slots are reserved for, as a multiple of the baseline load of
	// urgent and normal items; default 10. Long-running bulk items leave the slots free that such a spike needs. With
	// 1, they leave free only what the recent peak needed.
	SwingFactor float64
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.MaxItems, 4096)
	defaults.Set(&c.MaxWait, 10*time.Second)
	defaults.Set(&c.SwingFactor, 10)
	return c
}

// Limits holds, for each lane, the number of slots that items of the lane and of the lanes below it may use together.
type Limits [laneCount]int

// NewLimits returns the limits for a number of slots: all of them for urgent, 80 % for normal and bulk, and 50 % for
// bulk items, rounded down but at least one. Bulk items also leave the reserved slots free, except that they may always
// use 5 % of all slots.
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

// Next returns the lane whose next item should run, given the slots in use and the number of ready items per lane. It
// returns false if no item may run.
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

// Ticket is an item of a queue together with its position.
type Ticket[T any] struct {
	Value    T
	Customer string
	Class    Lane      // lane that the caller asked for
	Lane     Lane      // lane in which the item waits; Bulk after a demotion
	Enqueued time.Time // time of the call of Enqueue
	Deadline time.Time // the item expires if it has not started by then

	state      state
	holdsSlot  bool
	seq        uint64
	cost       float64
	flow       *flow[T]
	prev, next *Ticket[T]
	heapIndex  int
}

// state says whether a ticket waits in its queue.
type state int

const (
	stateDequeued state = iota // not in the queue: running, expired or removed
	statePending               // waits and may expire, but is not ready to run
	stateReady                 // waits and is ready to run
)

// Queue holds waiting items and counts the slots that running items use.
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

// SetSlots sets the number of slots that items may use. Items that are already running keep theirs.
func (q *Queue[T]) SetSlots(n int) { q.slots = max(0, n) }

// Slots returns the number of slots that items may use.
func (q *Queue[T]) Slots() int { return q.slots }

// Running returns the number of slots in use per lane, including lent slots.
func (q *Queue[T]) Running() [3]int { return q.running }

// Waiting returns the number of waiting items per lane, whether they are ready or not.
func (q *Queue[T]) Waiting() [3]int {
	var n [3]int
	for i, l := range q.lanes {
		n[i] = l.waiting
	}
	return n
}

// ready returns the number of items per lane that are ready to run.
func (q *Queue[T]) ready() [3]int {
	var n [3]int
	for i, l := range q.lanes {
		n[i] = l.ready
	}
	return n
}

// LaneOf returns the lane for a customer's items of a class: the class itself, or Bulk if the customer's average run
// time in the class is more than ten times the median run time of that lane.
func (q *Queue[T]) LaneOf(customer string, class Lane) Lane {
	if class != Bulk && q.observed.isDemoted(customer, class) {
		return Bulk
	}
	return class
}

// Enqueue adds an item that is not ready to run yet; MarkReady makes it ready. It returns ErrFull if the customer
// already has as many waiting items in the lane as the lane has free places. This rule keeps places free for other
// customers when one customer floods the lane.
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
	Ready   int           `json:"ready"`     // waiting items that are ready to run
	Running int           `json:"running"`   // slots in use, including lent slots
	Limit   int           `json:"limit"`     // slots that the lane may use together with the lanes below it
	Median  time.Duration `json:"median_ns"` // median run time
	Mean    time.Duration `json:"mean_ns"`   // moving average of the run times
}

// Stats returns the state of each lane, keyed by the lane's name. Operators see there why a lane waits while slots are
// idle.
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

// limits returns the current limits. Slots are reserved for urgent and normal items while bulk items run so long that
// their slots would not become free before the next load spike is over.
func (q *Queue[T]) limits() Limits {
	reserved := 0
	if q.observed.mean(Bulk) > demoteFactor*max(q.observed.mean(Urgent), q.observed.mean(Normal)) {
		reserved = q.demand.slotsToReserve(q.slots, q.cfg.SwingFactor)
	}
	return NewLimits(q.slots, reserved)
}

// add counts a ticket as waiting and starts its deadline. The ticket is not ready to run yet.
func (q *Queue[T]) add(t *Ticket[T]) {
	t.state = statePending
	t.flow = q.lanes[t.Lane].addWaiting(t.Customer)
	heap.Push(&q.byDeadline, t)
}

// MarkReady marks an item as ready to run. The item keeps the position that it got from Enqueue.
func (q *Queue[T]) MarkReady(t *Ticket[T]) {
	if t.state == statePending {
		t.state = stateReady
		q.lanes[t.Lane].insert(t)
	}
}

// Next removes and returns the item that should run now, and counts its slot as in use until Release. It returns nil if
// no item may run. It never returns an item whose deadline has passed; TakeExpired returns those.
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

// NextRemote removes and returns the ready item of the highest lane, to run in a slot that another queue counts. The
// limits of this queue do not apply.
func (q *Queue[T]) NextRemote(now time.Time) *Ticket[T] {
	q.collectExpired(now)
	for l := Urgent; l < laneCount; l++ {
		if q.lanes[l].ready > 0 {
			return q.dequeue(l)
		}
	}
	return nil
}

// dequeue removes and returns the next ready item of the lane, which must have one.
func (q *Queue[T]) dequeue(l Lane) *Ticket[T] {
	t := q.lanes[l].pop()
	heap.Remove(&q.byDeadline, t.heapIndex)
	q.removeWaiting(t)
	return t
}

// removeWaiting no longer counts the ticket as waiting.
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

// Requeue puts an item that Next or NextRemote returned back at its old position and frees its slot.
func (q *Queue[T]) Requeue(t *Ticket[T]) {
	if t.state != stateDequeued {
		return
	}
	q.Release(t)
	q.add(t)
	q.MarkReady(t)
}

// Remove removes an item from the queue. It returns false if the item no longer waits.
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

// TakeExpired removes and returns the items whose deadline has passed.
func (q *Queue[T]) TakeExpired(now time.Time) []*Ticket[T] {
	q.collectExpired(now)
	ts := q.expired
	q.expired = nil
	return ts
}

// collectExpired moves the items whose deadline has passed to q.expired.
func (q *Queue[T]) collectExpired(now time.Time) {
	for len(q.byDeadline) > 0 && !q.byDeadline[0].Deadline.After(now) {
		t := q.byDeadline[0]
		q.Remove(t)
		q.expired = append(q.expired, t)
	}
}

// NextDeadline returns the earliest deadline of the waiting items, or false if no item waits.
func (q *Queue[T]) NextDeadline() (time.Time, bool) {
	if len(q.byDeadline) == 0 {
		return time.Time{}, false
	}
	return q.byDeadline[0].Deadline, true
}

// RemoveAll removes and returns all waiting items, and the expired ones that TakeExpired has not returned yet.
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

// LendSlot counts a slot as in use by an item of another queue. It returns false if the limits allow no further item of
// the lane, or if an item of this queue in the same or a higher lane is ready to use the slot.
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

// ReturnSlot frees a slot that LendSlot counted.
func (q *Queue[T]) ReturnSlot(l Lane) { q.running[l]-- }

// RecordRunTime records how long an item of a customer ran, and the lane in which it ran.
func (q *Queue[T]) RecordRunTime(now time.Time, customer string, class, ran Lane, run time.Duration) {
	q.observed.record(now, customer, class, ran, run)
}

// ForgetRunTimes drops the recorded run times of customers none of whose items has ended since the given time.
func (q *Queue[T]) ForgetRunTimes(before time.Time) { q.observed.forget(before) }

// EstimateWait returns the expected wait of a new item of the customer. It is zero only if a slot is free for the item.
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
		return minWaitEstimate // without slots there is no estimate; the deadline limits the wait
	}
	work := float64(itemsAhead+1) * q.observed.mean(at)
	for i := Urgent; i < at; i++ {
		work += float64(q.lanes[i].waiting) * q.observed.mean(i)
	}
	return max(minWaitEstimate, q.waitForWork(work, at))
}

// ExpectedRunTime returns how long an item of the customer is expected to run, or zero if no run time is known. It is
// the lower of the customer's own average and the lane's, so that one slow run does not count against a customer for
// long.
func (q *Queue[T]) ExpectedRunTime(customer string, class Lane) time.Duration {
	mean := q.observed.mean(q.LaneOf(customer, class))
	if own, ok := q.observed.average(customer, class); ok {
		mean = min(mean, own)
	}
	return time.Duration(mean)
}

// CannotMeetDeadline reports whether a new item of the customer should be rejected because it would not end within the
// given time, or would wait for more than half of that time. An item that can start at once is never rejected.
func (q *Queue[T]) CannotMeetDeadline(customer string, class Lane, within time.Duration) bool {
	wait := q.EstimateWait(customer, class)
	return wait > 0 && (wait+q.ExpectedRunTime(customer, class) > within || wait > within*maxWaitPercent/100)
}

// waitForWork returns how long the slots of a lane need for the given amount of work, in nanoseconds of run time. Slots
// that lower lanes use count only if they are expected to become free before the wait ends.
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

// deadlineHeap is a heap of tickets ordered by deadline. It implements heap.Interface.
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
