package coordinator

import (
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/delegate"
	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	// maxBatchBytes bounds the orders of one answer.
	maxBatchBytes = 256 << 10
	// orderBytes is the size of an order without its texts.
	orderBytes = 400
)

// executor is who carries out the orders for some workers: this process, or a host that attends the owner. It is guarded by
// the term's mu.
type executor struct {
	host      string
	domain    string
	session   string
	clockZero time.Time // when the holder's clock showed zero; the clocks of one session are compared with this alone
	agent     *delegate.Agent

	unacked     []delegate.Order // that the host has not said to have
	lastAcked   int64            // number of the order before queue[0]
	lastEvent   int64            // number of the last event
	lastCall    time.Time
	ended       bool
	ordersReady chan struct{} // signalled when there are orders
}

// maxPermit is how long the holder may still act after the owner has taken a worker from it.
func (ex *executor) maxPermit() time.Duration {
	if ex.agent != nil {
		return 0
	}
	return delegate.PermitLimit
}

// ownerTime converts a moment of the holder's clock.
func (ex *executor) ownerTime(d time.Duration) time.Time { return ex.clockZero.Add(d) }

// leaseEnd converts the end of a leaseEnd; zero stands for none.
func (ex *executor) leaseEnd(d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return ex.clockZero.Add(d)
}

func (ex *executor) send(o delegate.Order) {
	switch {
	case ex.agent != nil:
		ex.agent.Apply([]delegate.Order{o})
	case !ex.ended:
		ex.unacked = append(ex.unacked, o)
		wait.Signal(ex.ordersReady)
	}
}

func (ex *executor) endSession() {
	ex.ended = true
	ex.unacked = nil
	wait.Signal(ex.ordersReady)
}

// ordersAfter returns the orders after a number and forgets those up to it.
func (ex *executor) ordersAfter(after int64) ([]delegate.Order, int64) {
	if done := after - ex.lastAcked; done > 0 {
		done = min(done, int64(len(ex.unacked)))
		ex.unacked = append([]delegate.Order(nil), ex.unacked[done:]...)
		ex.lastAcked += done
	}
	size, n := 0, 0
	for ; n < len(ex.unacked) && size < maxBatchBytes; n++ {
		size += orderBytes
		if s := ex.unacked[n].Start; s != nil {
			size += len(s.Payload) + len(s.Checkpoint)
		}
	}
	return ex.unacked[:n:n], ex.lastAcked + int64(n)
}
