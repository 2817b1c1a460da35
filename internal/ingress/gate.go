package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// Gate holds the limits of a process and what its clients use.
type Gate struct {
	limits   Limits
	decoding *decoding
	refusals *refusals
	sweeps   atomic.Int64 // number of sweeps so far, which serves as a clock
	numbers  atomic.Int64 // number of accepted connections

	mu     sync.Mutex // guards budget
	budget *budget

	connections [listenerCount]connections
}

// connections are the open connections of a listener.
type connections struct {
	mu   sync.Mutex
	open map[*conn]struct{}
}

// New returns a Gate. Run has to be called for slow clients to be found.
func New(l Limits, scope tally.Scope, log *zap.Logger) *Gate {
	g := &Gate{limits: l, decoding: newDecoding(l.DecodeBytes), refusals: newRefusals(scope, log), budget: newBudget(l.BodyBytes)}
	for i := range g.connections {
		g.connections[i].open = map[*conn]struct{}{}
	}
	return g
}

// Guard makes the server use the Gate, and returns the listener that it has to serve.
func (g *Gate) Guard(kind Listener, s *http.Server, l net.Listener) net.Listener {
	s.Handler = handler{s.Handler}
	s.ConnContext = withConn
	g.limitBuffers(l)
	return &listener{l, g, kind}
}

// limitBuffers sets the kernel's buffers of the connections that l accepts. Where the system does not allow that, they stay as
// they are.
func (g *Gate) limitBuffers(l net.Listener) {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, g.limits.ReceiveBuffer)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, g.limits.SendBuffer)
	})
}

type listener struct {
	net.Listener
	gate *Gate
	kind Listener
}

// Accept implements net.Listener. Above the limit it closes an unused, stalled or idle connection for the new one, or the new one if all
// others are in use.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.add(l.kind, accepted); c != nil {
			return c, nil
		}
		_ = accepted.Close()
	}
}

// add registers a connection. It returns nil if there is no place for it.
func (g *Gate) add(kind Listener, accepted net.Conn) *conn {
	c := &conn{Conn: accepted, gate: g, number: g.numbers.Add(1)}
	c.account.client = client{kind, hostOf(accepted.RemoteAddr())}
	c.setPhase(unused)
	victim, reason := g.connections[kind].add(c, g.limits.Connections[kind])
	if reason != admitted {
		g.refusals.count(reason)
	}
	if reason == noConnection {
		return nil
	}
	if victim != nil {
		_ = victim.Close()
	}
	return c
}

func hostOf(a net.Addr) string {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return a.String()
	}
	return host
}

// add adds a connection if there is a place, or in the place of the one that it returns with the reason.
func (s *connections) add(c *conn, limit int) (victim *conn, r Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= limit {
		victim, r = s.victim()
		if r == noConnection {
			return nil, r
		}
		delete(s.open, victim)
	}
	s.open[c] = struct{}{}
	return victim, r
}

// victim returns the connection to close for a new one, and why, or noConnection. The caller holds the lock.
func (s *connections) victim() (*conn, Reason) {
	var victim *conn
	var best candidate
	for c := range s.open {
		if other := c.candidate(); victim == nil || other.closesBefore(best) {
			victim, best = c, other
		}
	}
	if victim == nil {
		return nil, noConnection
	}
	return victim, best.reason()
}

func (s *connections) all() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*conn, 0, len(s.open))
	for c := range s.open {
		out = append(out, c)
	}
	return out
}

func (s *connections) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

func (g *Gate) remove(c *conn) {
	s := &g.connections[c.account.listener]
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

func (g *Gate) reserve(a *account, n int64) Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.reserve(a, n)
}

func (g *Gate) release(a *account) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.release(a)
}

const (
	sweepInterval = 500 * time.Millisecond
	// maxSweepTime is the longest time between two sweeps that counts. The process was suspended or had no processor during the rest.
	maxSweepTime = 2 * sweepInterval
)

// Run looks for clients that make no progress, until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		g.sweep(min(now.Sub(last), maxSweepTime))
		last = now
	}
}

// sweep ends the bodies and answers of clients that make too little progress.
func (g *Gate) sweep(elapsed time.Duration) {
	g.sweeps.Add(1)
	pressure := g.refusals.report(elapsed)
	for i := range g.connections {
		for _, c := range g.connections[i].all() {
			c.sweep(elapsed, g.limits.Progress, pressure)
		}
	}
}

func (c *conn) sweep(elapsed time.Duration, p Progress, pressure bool) {
	c.sweepBody(elapsed, p, pressure)
	writes := c.writes.Load()
	if writes%2 == 0 || writes != c.seen.writes {
		c.seen.writes, c.seen.writing = writes, 0
	} else if c.seen.writing += elapsed; c.seen.writing >= p.AnswerTimeout {
		c.gate.refusals.count(answerNotRead)
		_ = c.Close()
		return
	}
	c.stalled.Store(c.seen.transfer.stalled >= stalledTime || c.seen.writing >= stalledTime)
}

// stalledTime is how long a client makes no progress until its connection may be closed for a new one.
const stalledTime = time.Second

func (c *conn) sweepBody(elapsed time.Duration, p Progress, pressure bool) {
	t, received := &c.seen.transfer, c.received.Load()
	if body := c.bodies.Load(); phase(c.phase.Load()) != receiving || body != c.seen.body {
		*t = transfer{}
		c.seen.body, c.seen.received = body, received
		return
	}
	t.age += elapsed
	t.stalled += elapsed
	if received != c.seen.received {
		t.stalled = 0
	}
	t.received += received - c.seen.received
	c.seen.received = received
	t.large = c.holdsLarge()
	if r := verdictOf(*t, p, pressure); r != admitted {
		c.endBody(r)
	}
}

func (c *conn) holdsLarge() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.account.large > 0
}
