// Package capacity measures the slopes from which docs/CAPACITY.md works out the load of each role.
package capacity

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/greengagewing/greengagewing/internal/job/worker"
)

// Traffic is what a pool's owner has exchanged with its workers. A message counts together with its response.
type Traffic struct {
	Starts   int64
	Renewals int64
	Acks     int64
	Orders   int64 // stop, throttle and checkpoint
	Bytes    int64 // JSON bodies of messages and responses
}

// Messages returns the number of all messages.
func (t Traffic) Messages() int64 { return t.Starts + t.Renewals + t.Acks + t.Orders }

// Minus returns what was exchanged since an earlier reading.
func (t Traffic) Minus(o Traffic) Traffic {
	return Traffic{t.Starts - o.Starts, t.Renewals - o.Renewals, t.Acks - o.Acks, t.Orders - o.Orders, t.Bytes - o.Bytes}
}

// Counter is a worker.Client that counts the messages on their way to another one. It is safe for concurrent use.
type Counter struct {
	next worker.Client

	mu sync.Mutex
	t  Traffic
}

var _ worker.Client = (*Counter)(nil)

// NewCounter returns a Counter in front of next.
func NewCounter(next worker.Client) *Counter { return &Counter{next: next} }

// Traffic returns the counts since the Counter was made.
func (c *Counter) Traffic() Traffic {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.t
}

// count adds one message to the field that kind selects, and the sizes of the bodies.
func (c *Counter) count(kind func(*Traffic) *int64, bodies ...any) {
	n := 0
	for _, b := range bodies {
		raw, _ := json.Marshal(b) // messages of the protocol always encode
		n += len(raw)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	*kind(&c.t)++
	c.t.Bytes += int64(n)
}

func orders(t *Traffic) *int64 { return &t.Orders }

// Start implements worker.Client.
func (c *Counter) Start(ctx context.Context, addr string, s worker.Start) error {
	c.count(func(t *Traffic) *int64 { return &t.Starts }, s)
	return c.next.Start(ctx, addr, s)
}

// Renew implements worker.Client.
func (c *Counter) Renew(ctx context.Context, addr string, r worker.Renew) (worker.Report, error) {
	rep, err := c.next.Renew(ctx, addr, r)
	c.count(func(t *Traffic) *int64 { return &t.Renewals }, r, rep)
	return rep, err
}

// Ack implements worker.Client.
func (c *Counter) Ack(ctx context.Context, addr string, a worker.Ack) error {
	c.count(func(t *Traffic) *int64 { return &t.Acks }, a)
	return c.next.Ack(ctx, addr, a)
}

// Stop implements worker.Client.
func (c *Counter) Stop(ctx context.Context, addr, taskID string, o worker.Order) error {
	c.count(orders, o)
	return c.next.Stop(ctx, addr, taskID, o)
}

// Throttle implements worker.Client.
func (c *Counter) Throttle(ctx context.Context, addr, taskID string, o worker.Order) error {
	c.count(orders, o)
	return c.next.Throttle(ctx, addr, taskID, o)
}

// Checkpoint implements worker.Client.
func (c *Counter) Checkpoint(ctx context.Context, addr, taskID string, o worker.Order) error {
	c.count(orders, o)
	return c.next.Checkpoint(ctx, addr, taskID, o)
}
