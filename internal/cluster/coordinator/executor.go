package coordinator

import (
	"slices"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/delegate"
	"github.com/greengagewing/greengagewing/internal/cluster/wire"
	"github.com/greengagewing/greengagewing/internal/wait"
)

// clockWindow is the time for which an estimate of an executor's clock is used for leases, and up to twice that. Clocks that drift apart
// by 100 millionths differ by 12 ms then.
const clockWindow = time.Minute

// queuedOrder is an order that a delegate has not acknowledged.
type queuedOrder struct {
	order delegate.Order
	size  int // in bytes, as encoded
}

// executor carries out the owner's orders for some of the workers. It is either the owner's own process, which has an agent,
// or a session of a remote delegate, which fetches its orders from the queue unacked. The term's mu guards it.
type executor struct {
	host      string
	domain    string
	session   string
	clockZero time.Time // the owner's time when the executor's clock showed zero; see syncClock
	// windowZero is the lowest estimate of clockZero within the present clockWindow, previousZero that of the one before; see leaseEnd.
	windowZero, previousZero time.Time
	windowBegan              time.Time
	agent                    *delegate.Agent

	unacked     []queuedOrder
	lastAcked   int64 // number of the last acknowledged order, the one before unacked[0]
	lastEvent   int64 // sequence number of the last event that was received
	lastCall    time.Time
	ended       bool
	ordersReady chan struct{} // signals that there are orders or that the session has ended
}

// newExecutor returns an executor whose clock showed d at the owner's time now.
func newExecutor(now time.Time, d time.Duration) *executor {
	zero := now.Add(-d)
	return &executor{clockZero: zero, windowZero: zero, previousZero: zero, windowBegan: now}
}

// maxPermit returns the maximum time for which the executor may still call a worker after the owner has taken it away.
func (ex *executor) maxPermit() time.Duration {
	if ex.agent != nil {
		return 0
	}
	return delegate.PermitLimit
}

// syncClock notes that the executor's clock showed d at the owner's time now, or earlier. The lowest estimate counts: a request
// that was delayed makes it too late, and so does a suspension of the owner's host, which the owner's time does not count. So the
// end of a lease is never converted to an earlier time than it has, and a later event never to a later time than an earlier one
// of the same moment, by which a report could seem to be requested after a start that it does not know.
func (ex *executor) syncClock(now time.Time, d time.Duration) {
	zero := now.Add(-d)
	if zero.Before(ex.clockZero) {
		ex.clockZero = zero
	}
	if now.Sub(ex.windowBegan) >= clockWindow {
		ex.windowBegan, ex.previousZero, ex.windowZero = now, ex.windowZero, zero
	}
	if zero.Before(ex.windowZero) {
		ex.windowZero = zero
	}
}

// ownerTime converts a time of the executor's clock to the owner's.
func (ex *executor) ownerTime(d time.Duration) time.Time { return ex.clockZero.Add(d) }

// leaseEnd converts the expiry time of a lease from the executor's clock to the owner's; zero means that there is no lease. It uses
// recent estimates only: if the executor's clock is slower than the owner's, an estimate from hours ago is too early by more than the
// margin of the lease.
func (ex *executor) leaseEnd(d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}
	if ex.previousZero.Before(ex.windowZero) {
		return ex.previousZero.Add(d)
	}
	return ex.windowZero.Add(d)
}

// send passes an order to the agent, or queues it for the delegate. It drops orders for a session that has ended.
func (ex *executor) send(o delegate.Order) {
	switch {
	case ex.agent != nil:
		ex.agent.Apply([]delegate.Order{o})
	case !ex.ended:
		ex.unacked = append(ex.unacked, queuedOrder{o, wire.Size(o)})
		wait.Signal(ex.ordersReady)
	}
}

// endSession discards the queued orders and wakes the call that waits for some.
func (ex *executor) endSession() {
	ex.ended = true
	ex.unacked = nil
	wait.Signal(ex.ordersReady)
}

// hasReleaseAfter reports whether a worker is released by an order behind the first n of the queue.
func (ex *executor) hasReleaseAfter(n int) bool {
	return slices.ContainsFunc(ex.unacked[n:], func(q queuedOrder) bool { return q.order.Release != "" })
}

// ordersAfter removes the orders up to the number after, which the delegate acknowledges. It returns the following ones, as many as share
// a message, and the number of the last one of them.
func (ex *executor) ordersAfter(after int64) ([]delegate.Order, int64) {
	if done := after - ex.lastAcked; done > 0 {
		done = min(done, int64(len(ex.unacked)))
		ex.unacked = append([]queuedOrder(nil), ex.unacked[done:]...)
		ex.lastAcked += done
	}
	n := wire.Batch(ex.unacked, func(q queuedOrder) int { return q.size }, len(ex.unacked))
	orders := make([]delegate.Order, n)
	for i, q := range ex.unacked[:n] {
		orders[i] = q.order
	}
	return orders, ex.lastAcked + int64(n)
}
