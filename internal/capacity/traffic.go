// Package capacity benchmarks the cost per key, task, message, daemon and host, from which docs/CAPACITY.md calculates
// the load of each role.
package capacity

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/greengagewing/greengagewing/internal/job/worker"
)

// Traffic counts the messages that the owner of a pool has exchanged with its workers. A message and its response count
// as one message.
type Traffic struct {
	Starts   int64
	Renewals int64
	Acks     int64
	Orders   int64 // stop, throttle and checkpoint
	Bytes    int64 // JSON bodies of messages and responses
}

// Messages returns the total number of messages.
func (t Traffic) Messages() int64 { return t.Starts + t.Renewals + t.Acks + t.Orders }

// Subtract returns the traffic since an earlier reading.
func (t Traffic) Subtract(o Traffic) Traffic {
	return Traffic{t.Starts - o.Starts, t.Renewals - o.Renewals, t.Acks - o.Acks, t.Orders - o.Orders, t.Bytes - o.Bytes}
}

// CountingClient is a worker.Client that counts messages and forwards them to another client. It is safe for concurrent
// use.
type CountingClient struct {
	next worker.Client

	mu      sync.Mutex
	traffic Traffic
}

var _ worker.Client = (*CountingClient)(nil)

// NewCountingClient returns a CountingClient that forwards to next.
func NewCountingClient(next worker.Client) *CountingClient { return &CountingClient{next: next} }

// Traffic returns the traffic since the CountingClient was created.
func (c *CountingClient) Traffic() Traffic {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.traffic
}

// countMessage adds one message to the counter that field selects, and the JSON sizes of bodies to Bytes.
func (c *CountingClient) countMessage(field func(*Traffic) *int64, bodies ...any) {
	n := 0
	for _, b := range bodies {
		raw, _ := json.Marshal(b) // encoding a protocol message never fails
		n += len(raw)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	*field(&c.traffic)++
	c.traffic.Bytes += int64(n)
}

func ordersField(t *Traffic) *int64 { return &t.Orders }

// Start implements worker.Client.
func (c *CountingClient) Start(ctx context.Context, addr string, s worker.Start) error {
	c.countMessage(func(t *Traffic) *int64 { return &t.Starts }, s)
	return c.next.Start(ctx, addr, s)
}

// Renew implements worker.Client.
func (c *CountingClient) Renew(ctx context.Context, addr string, r worker.Renew) (worker.Report, error) {
	rep, err := c.next.Renew(ctx, addr, r)
	c.countMessage(func(t *Traffic) *int64 { return &t.Renewals }, r, rep)
	return rep, err
}

// Ack implements worker.Client.
func (c *CountingClient) Ack(ctx context.Context, addr string, a worker.Ack) error {
	c.countMessage(func(t *Traffic) *int64 { return &t.Acks }, a)
	return c.next.Ack(ctx, addr, a)
}

// Stop implements worker.Client.
func (c *CountingClient) Stop(ctx context.Context, addr, taskID string, o worker.Order) error {
	c.countMessage(ordersField, o)
	return c.next.Stop(ctx, addr, taskID, o)
}

// Throttle implements worker.Client.
func (c *CountingClient) Throttle(ctx context.Context, addr, taskID string, o worker.Order) error {
	c.countMessage(ordersField, o)
	return c.next.Throttle(ctx, addr, taskID, o)
}

// Checkpoint implements worker.Client.
func (c *CountingClient) Checkpoint(ctx context.Context, addr, taskID string, o worker.Order) error {
	c.countMessage(ordersField, o)
	return c.next.Checkpoint(ctx, addr, taskID, o)
}
