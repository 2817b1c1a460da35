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
func (h *executor) maxPermit() time.Duration {
	if h.agent != nil {
		return 0
	}
	return delegate.PermitLimit
}

// ownerTime converts a moment of the holder's clock.
func (h *executor) ownerTime(d time.Duration) time.Time { return h.clockZero.Add(d) }

// leaseEnd converts the end of a leaseEnd; zero stands for none.
func (h *executor) leaseEnd(d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return h.clockZero.Add(d)
}

func (h *executor) send(o delegate.Order) {
	switch {
	case h.agent != nil:
		h.agent.Apply([]delegate.Order{o})
	case !h.ended:
		h.unacked = append(h.unacked, o)
		wait.Signal(h.ordersReady)
	}
}

func (h *executor) endSession() {
	h.ended = true
	h.unacked = nil
	wait.Signal(h.ordersReady)
}

// ordersAfter returns the orders after a number and forgets those up to it.
func (h *executor) ordersAfter(after int64) ([]delegate.Order, int64) {
	if done := after - h.lastAcked; done > 0 {
		done = min(done, int64(len(h.unacked)))
		h.unacked = append([]delegate.Order(nil), h.unacked[done:]...)
		h.lastAcked += done
	}
	size, n := 0, 0
	for ; n < len(h.unacked) && size < maxBatchBytes; n++ {
		size += orderBytes
		if s := h.unacked[n].Start; s != nil {
			size += len(s.Payload) + len(s.Checkpoint)
		}
	}
	return h.unacked[:n:n], h.lastAcked + int64(n)
}
