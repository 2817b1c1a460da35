package standin

import (
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/network"
)

// endpoint is an HTTP server on one address, with injectable network faults.
type endpoint struct {
	handler     http.Handler
	network     network.ListenFunc
	maxConns    int // 0: unlimited
	onConnCount func(open int, overLimit bool)

	mu          sync.Mutex
	addr        string
	ln          net.Listener
	srv         *http.Server // nil while the endpoint is down
	conns       map[*conn]struct{}
	unreachable bool
}

// listen starts serving on addr. With port 0 the operating system chooses a port, which the endpoint reuses when
// setDown brings it up again.
func (e *endpoint) listen(addr string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	l, err := e.network("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	e.addr = l.Addr().String()
	if e.conns == nil {
		e.conns = map[*conn]struct{}{}
	}
	e.ln, e.srv = l, &http.Server{Handler: e.handler, ReadHeaderTimeout: time.Minute}
	srv := e.srv
	go func() {
		if err := srv.Serve(&listener{Listener: l, e: e}); !errors.Is(err, http.ErrServerClosed) {
			log.Printf("HTTP server on %s ended: %v", l.Addr(), err)
		}
	}()
	return nil
}

// close closes the listener and all connections, so that later dials are refused.
func (e *endpoint) close() {
	e.mu.Lock()
	srv, ln := e.srv, e.ln
	e.srv = nil
	e.mu.Unlock()
	if srv != nil {
		_ = srv.Close()
		_ = ln.Close() // srv.Close misses the listener if Serve has not registered it yet
	}
	for _, c := range e.openConns() { // hijacked connections, which srv.Close does not close
		_ = c.Close()
	}
}

func (e *endpoint) openConns() []*conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]*conn, 0, len(e.conns))
	for c := range e.conns {
		out = append(out, c)
	}
	return out
}

func (e *endpoint) setDown(down bool) error {
	e.mu.Lock()
	isDown, addr := e.srv == nil, e.addr
	e.mu.Unlock()
	switch {
	case down && !isDown:
		e.close()
	case !down && isDown:
		return e.listen(addr)
	}
	return nil
}

// setUnreachable sets or clears the unreachable fault. While it is set, all open and all new connections are silent.
// Connections that became silent stay silent after the fault is cleared.
func (e *endpoint) setUnreachable(on bool) {
	e.mu.Lock()
	e.unreachable = on
	e.mu.Unlock()
	if on {
		e.silenceOpenConns()
	}
}

func (e *endpoint) silenceOpenConns() {
	for _, c := range e.openConns() {
		c.silent.Store(true)
	}
}

// addConn registers a new connection and reports whether it is accepted: the endpoint is up and has fewer than maxConns
// connections.
func (e *endpoint) addConn(c *conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.srv == nil {
		return false
	}
	over := e.maxConns > 0 && len(e.conns) >= e.maxConns
	if !over {
		c.silent.Store(e.unreachable)
		e.conns[c] = struct{}{}
	}
	if e.onConnCount != nil {
		e.onConnCount(len(e.conns), over)
	}
	return !over
}

func (e *endpoint) removeConn(c *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.conns, c)
	if e.onConnCount != nil {
		e.onConnCount(len(e.conns), false)
	}
}

type listener struct {
	net.Listener
	e *endpoint
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, e: l.e}
		if l.e.addConn(c) {
			return c, nil
		}
		_ = raw.Close()
	}
}

// conn drops traffic in both directions while it is silent, like a connection whose network path is broken.
type conn struct {
	net.Conn
	e          *endpoint
	silent     atomic.Bool
	removeOnce sync.Once
}

func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *conn) Close() error {
	c.removeOnce.Do(func() { c.e.removeConn(c) })
	return c.Conn.Close()
}
