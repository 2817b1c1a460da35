// Package memnet is an in-memory network for tests that run several processes in one. It injects network partitions,
// connections that silently drop all data, lost responses and process crashes, and also works under virtual time.
package memnet

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/greengagewing/greengagewing/internal/network"
)

// Latency is the one-way delay of a message between two parties.
const Latency = time.Millisecond

// Net is a network of parties. A silenced connection stays silent even after the partition that caused it is healed, like a
// TCP connection whose network path was lost.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*Conn]struct{} // the dialer's end of each connection
	Dialing   atomic.Int32       // number of calls of Dial in progress
	cuts      map[string]cut
	changed   chan struct{} // closed and replaced when a cut is healed
	// Sent is called for every message that the dialer of a connection writes. It must not block.
	Sent func(from, to string, message []byte)
	// loseResponse reports whether the response to a message from the dialer is lost. If so, the dialer receives nothing
	// more on this connection.
	loseResponse func(to string, message []byte) bool
	// onMessage is called for every message in either direction, with the dialer's end of the connection. It must not
	// block.
	onMessage func(c *Conn, message []byte)
}

// New returns a network without parties and faults.
func New() *Net {
	return &Net{
		listeners: map[string]*listener{}, conns: map[*Conn]struct{}{}, cuts: map[string]cut{},
		changed: make(chan struct{}), Sent: func(string, string, []byte) {},
		loseResponse: func(string, []byte) bool { return false }, onMessage: func(*Conn, []byte) {},
	}
}

// Party is a process on the network. Cuts and connections identify it by its name, whatever address it listens on.
type Party struct {
	net  *Net
	name string        // if empty, each listen address counts as a party of its own
	dead chan struct{} // closed by Kill
}

// Join adds a party to the network.
func (n *Net) Join(name string) *Party {
	return &Party{net: n, name: name, dead: make(chan struct{})}
}

// Network returns the functions with which the party's code dials and listens.
func (p *Party) Network() network.Network {
	return network.Network{Dial: p.Dial, Listen: p.Listen}
}

// cut is a partition between all pairs of parties for which match holds.
type cut struct {
	match  func(a, b string) bool
	resets bool // open connections are reset and dials refused; otherwise both hang
}

// Cut partitions all matching pairs of parties until Heal is called with the same label: their open connections become
// silent, and new dials hang.
func (n *Net) Cut(label string, match func(a, b string) bool) {
	n.mu.Lock()
	n.cuts[label] = cut{match: match}
	n.mu.Unlock()
	n.Silence(match)
}

// CutWithResets partitions all matching pairs of parties, as a firewall that rejects does: until Heal is called with the same
// label, their open connections are reset and new dials are refused.
func (n *Net) CutWithResets(label string, match func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[label] = cut{match: match, resets: true}
	for c := range n.conns {
		if matchesEitherWay(match, c.From, c.To) {
			n.resetConn(c)
		}
	}
}

// resetConn resets a connection, given the dialer's end. The caller holds mu.
func (n *Net) resetConn(c *Conn) {
	delete(n.conns, c)
	c.in.reset()
	c.out.reset()
}

// Heal removes the cut with this label and lets hanging dials try again. Connections that the cut silenced stay silent.
func (n *Net) Heal(label string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, label)
	close(n.changed)
	n.changed = make(chan struct{})
}

// Silence makes the open connections between all matching pairs of parties drop all data without an error. New
// connections work.
func (n *Net) Silence(match func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if matchesEitherWay(match, c.From, c.To) {
			c.in.silence()
			c.out.silence()
		}
	}
}

// Watch registers onMessage, which is called from now on for every message in either direction, with the dialer's end of
// the connection. It replaces the function registered before and must not block.
func (n *Net) Watch(onMessage func(c *Conn, message []byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onMessage = onMessage
}

// LoseResponses sets the function that decides whether the response to a message from a dialer is lost.
func (n *Net) LoseResponses(loseResponse func(to string, message []byte) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loseResponse = loseResponse
}

// matchesEitherWay reports whether match holds for the pair in either order.
func matchesEitherWay(match func(a, b string) bool, a, b string) bool {
	return match(a, b) || match(b, a)
}

// Kill simulates a crash of the party's process: its listeners are closed and its connections reset at once, and it can no
// longer dial, listen or send.
func (p *Party) Kill() {
	n := p.net
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-p.dead:
		return
	default:
	}
	close(p.dead)
	for addr, l := range n.listeners {
		if l.owner == p {
			delete(n.listeners, addr)
			l.shutDown()
		}
	}
	for c := range n.conns {
		if c.owner == p || c.peer.owner == p {
			n.resetConn(c)
		}
	}
}

// KillAll resets all connections and closes all listeners.
func (n *Net) KillAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		c.in.reset()
		c.out.reset()
	}
	for _, l := range n.listeners {
		l.shutDown()
	}
}

// Listen returns a listener for addr. It fails as if the address were in use if another listener has it or the party is
// dead.
func (p *Party) Listen(_, addr string) (net.Listener, error) {
	n := p.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if p.Dead() || n.listeners[addr] != nil {
		return nil, &net.OpError{Op: "listen", Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}
	}
	l := &listener{owner: p, addr: memAddr(addr), backlog: make(chan *Conn, 1024), closed: make(chan struct{})}
	l.name = p.name
	if l.name == "" {
		l.name = addr
	}
	n.listeners[addr] = l
	return l, nil
}

// Dead reports whether Kill was called.
func (p *Party) Dead() bool {
	select {
	case <-p.dead:
		return true
	default:
		return false
	}
}

// Dial connects to addr, which takes one round trip. While a cut separates the parties it hangs, until the cut is healed,
// ctx is done or the party is killed.
func (p *Party) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	p.net.Dialing.Add(1)
	defer p.net.Dialing.Add(-1)
	dialError := func(err error) (net.Conn, error) { return nil, &net.OpError{Op: "dial", Addr: memAddr(addr), Err: err} }
	for {
		c, changed, err := p.connect(addr)
		if err != nil {
			return dialError(err)
		}
		if c != nil {
			time.Sleep(2 * Latency)
			return c, nil
		}
		select {
		case <-changed:
		case <-p.dead:
			return dialError(net.ErrClosed)
		case <-ctx.Done():
			return dialError(ctx.Err())
		}
	}
}

// connect returns a connection, or, if a cut blocks the dial, a channel that is closed when the dial should be retried.
func (p *Party) connect(addr string) (*Conn, <-chan struct{}, error) {
	n := p.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if p.Dead() {
		return nil, nil, net.ErrClosed
	}
	l := n.listeners[addr]
	to := addr
	if l != nil {
		to = l.name
	}
	refused := l == nil
	for _, cut := range n.cuts {
		switch {
		case !matchesEitherWay(cut.match, p.name, to):
		case cut.resets:
			refused = true
		default:
			return nil, n.changed, nil
		}
	}
	if refused {
		return nil, nil, os.NewSyscallError("connect", syscall.ECONNREFUSED)
	}
	toListener, toDialer := newPipe(), newPipe()
	c := &Conn{owner: p, From: p.name, To: to, in: toDialer, out: toListener}
	c.peer = &Conn{owner: l.owner, From: to, To: p.name, in: toListener, out: toDialer, peer: c}
	n.conns[c] = struct{}{}
	select {
	case l.backlog <- c.peer:
		return c, nil, nil
	default:
		return nil, nil, fmt.Errorf("the accept backlog of %s is full", addr)
	}
}

type memAddr string

func (memAddr) Network() string  { return "mem" }
func (a memAddr) String() string { return string(a) }

type listener struct {
	owner   *Party
	name    string // the owner's name, or addr if that is empty
	addr    memAddr
	backlog chan *Conn // connections that wait for Accept
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) shutDown() { l.once.Do(func() { close(l.closed) }) }

func (l *listener) Close() error {
	n := l.owner.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[string(l.addr)] == l {
		delete(n.listeners, string(l.addr))
	}
	l.shutDown()
	for { // reset the connections that were never accepted
		select {
		case c := <-l.backlog:
			c.in.reset()
			c.out.reset()
		default:
			return nil
		}
	}
}

func (l *listener) Addr() net.Addr { return l.addr }
