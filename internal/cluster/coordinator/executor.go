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

// holder is who carries out the orders for some workers: this process, or a host that attends the owner. It is guarded by
// the term's mu.
type holder struct {
	host    string
	domain  string
	session string
	base    time.Time // when the holder's clock showed zero; the clocks of one session are compared with this alone
	agent   *delegate.Agent

	queue    []delegate.Order // that the host has not said to have
	first    int64            // number of the order before queue[0]
	received int64            // number of the last event
	seen     time.Time
	ended    bool
	ready    chan struct{} // signalled when there are orders
}

// permit is how long the holder may still act after the owner has taken a worker from it.
func (h *holder) permit() time.Duration {
	if h.agent != nil {
		return 0
	}
	return delegate.PermitLimit
}

// time converts a moment of the holder's clock.
func (h *holder) time(d time.Duration) time.Time { return h.base.Add(d) }

// lease converts the end of a lease; zero stands for none.
func (h *holder) lease(d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return h.base.Add(d)
}

func (h *holder) send(o delegate.Order) {
	switch {
	case h.agent != nil:
		h.agent.Apply([]delegate.Order{o})
	case !h.ended:
		h.queue = append(h.queue, o)
		wait.Signal(h.ready)
	}
}

func (h *holder) end() {
	h.ended = true
	h.queue = nil
	wait.Signal(h.ready)
}

// batch returns the orders after a number and forgets those up to it.
func (h *holder) batch(after int64) ([]delegate.Order, int64) {
	if done := after - h.first; done > 0 {
		done = min(done, int64(len(h.queue)))
		h.queue = append([]delegate.Order(nil), h.queue[done:]...)
		h.first += done
	}
	size, n := 0, 0
	for ; n < len(h.queue) && size < maxBatchBytes; n++ {
		size += orderBytes
		if s := h.queue[n].Start; s != nil {
			size += len(s.Payload) + len(s.Checkpoint)
		}
	}
	return h.queue[:n:n], h.first + int64(n)
}
