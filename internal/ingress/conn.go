package ingress

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// conn is an accepted connection. The HTTP server reads and writes through it.
type conn struct {
	net.Conn
	gate   *Gate
	number int64

	phase    atomic.Int32
	since    atomic.Int64 // when the phase began, in sweeps
	bodies   atomic.Int64 // number of bodies so far
	received atomic.Int64 // bytes from the client
	writes   atomic.Int64 // odd while a write is in progress
	stalled  atomic.Bool  // set by the sweep
	ended    atomic.Int32 // the Reason for which the sweep has ended the body

	// headerBytes counts the bytes of the present header; only the server's reading goroutine uses it. It is negative while the rest of a body
	// that the handler has not read is dropped.
	headerBytes int
	mu          sync.Mutex
	account     account // guarded by mu; the budget has a lock of its own
	closed      bool    // guarded by mu: the account takes nothing any more
	bodyReader  body    // of the present request

	seen     seen // only the sweep uses it
	closing  sync.Once
	closeErr error
}

// seen is what the sweep saw of a connection the last time.
type seen struct {
	body, received, writes int64
	transfer               transfer
	writing                time.Duration // how long the present write lasts
}

func (c *conn) setPhase(p phase) {
	c.phase.Store(int32(p))
	c.since.Store(c.gate.sweeps.Load())
}

func (c *conn) candidate() candidate {
	return candidate{phase(c.phase.Load()), c.since.Load(), c.number, c.stalled.Load()}
}

// Read implements net.Conn. It counts the bytes, and closes the connection if there is no room for a long header.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.received.Add(int64(n))
	if now := phase(c.phase.Load()); now == unused || now == idle {
		c.headerBytes += n
		if c.headerBytes > headerAllowance && c.reserve(int64(n)) != admitted {
			c.gate.refusals.count(headersTooLong)
			_ = c.Close()
			return 0, net.ErrClosed
		}
	}
	return n, err
}

// writeStep is the largest number of bytes that is written at once, so that a large answer that the client reads slowly shows progress.
const writeStep = 16 << 10

// Write implements net.Conn. It lets the sweep see how long the write of each step lasts.
func (c *conn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	defer c.writes.Add(1)
	written := 0
	for {
		step := min(len(p)-written, writeStep)
		n, err := c.Conn.Write(p[written : written+step])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
		c.writes.Add(2) // still odd
	}
}

// CloseWrite ends the sending direction, so that the server can close a connection with unread bytes without losing its answer.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. Only the first call has an effect.
func (c *conn) Close() error {
	c.closing.Do(func() {
		c.closeErr = c.Conn.Close()
		c.gate.remove(c)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.closed = true
		c.gate.release(&c.account)
	})
	return c.closeErr
}

// reserve takes n bytes of the budget for the connection.
func (c *conn) reserve(n int64) Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return noRoom
	}
	return c.gate.reserve(&c.account, n)
}

// release gives back all bytes of the connection.
func (c *conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.account.bytes > 0 {
		c.gate.release(&c.account)
	}
}

// pastDeadline is a deadline that ends pending and later reads at once.
var pastDeadline = time.Unix(1, 0)

// endBody lets the handler's reading of the body fail.
func (c *conn) endBody(r Reason) {
	if c.ended.CompareAndSwap(int32(admitted), int32(r)) {
		c.gate.refusals.count(r)
		_ = c.SetReadDeadline(pastDeadline) // if it fails, the connection is closed already
	}
}

type connKey struct{}

// withConn is an http.Server's ConnContext.
func withConn(ctx context.Context, c net.Conn) context.Context {
	if own, ok := c.(*conn); ok {
		return context.WithValue(ctx, connKey{}, own)
	}
	return ctx
}

// connOf returns the connection of a request's context, or nil if no Gate accepted it.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}
