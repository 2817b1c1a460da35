package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is one end of a connection.
type Conn struct {
	owner    *Party
	From, To string // names of this end's party and of the other one
	in, out  *pipe
	peer     *Conn
}

func (c *Conn) Read(b []byte) (int, error) { return c.in.read(b) }

func (c *Conn) Write(b []byte) (int, error) {
	n := c.owner.net
	n.mu.Lock()
	_, isDialer := n.conns[c]
	loseResponse, onMessage := n.loseResponse, n.onMessage
	n.mu.Unlock()
	if isDialer {
		onMessage(c, b)
		n.Sent(c.From, c.To, b)
		if loseResponse(c.To, b) {
			c.in.silence()
		}
	} else {
		onMessage(c.peer, b)
	}
	return c.out.write(b)
}

// Close closes both directions: the peer reads the data that was sent before and then io.EOF.
func (c *Conn) Close() error {
	c.in.closeReader()
	c.out.closeWriter()
	n := c.owner.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if !c.in.isSilent() { // the peer of a silent connection doesn't see this Close, so Kill must still find and reset it
		delete(n.conns, c)
	}
	return nil
}

func (c *Conn) LocalAddr() net.Addr  { return memAddr(c.From) }
func (c *Conn) RemoteAddr() net.Addr { return memAddr(c.To) }

func (c *Conn) SetDeadline(t time.Time) error      { return c.SetReadDeadline(t) }
func (c *Conn) SetReadDeadline(t time.Time) error  { c.in.setDeadline(t); return nil }
func (c *Conn) SetWriteDeadline(_ time.Time) error { return nil } // writes never block

// pipe carries bytes in one direction and delivers them after Latency. Its buffer is unbounded, so a write never blocks.
type pipe struct {
	mu           sync.Mutex
	chunks       []chunk
	wake         chan struct{} // closed and replaced at every update
	deadline     time.Time     // for reads
	silent       bool          // writes succeed, but their data is dropped
	writerClosed bool          // reads return io.EOF after the remaining data
	err          error         // if set, all further reads return it and all further writes fail
}

// chunk is the data of one write.
type chunk struct {
	data      []byte
	arrivesAt time.Time // when the reader can read it
}

func newPipe() *pipe { return &pipe{wake: make(chan struct{})} }

// update calls f under the lock and wakes the blocked readers.
func (p *pipe) update(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.wake)
	p.wake = make(chan struct{})
}

func (p *pipe) silence()                { p.update(func() { p.silent, p.chunks = true, nil }) }
func (p *pipe) reset()                  { p.update(func() { p.chunks, p.err = nil, syscall.ECONNRESET }) }
func (p *pipe) setDeadline(t time.Time) { p.update(func() { p.deadline = t }) }

func (p *pipe) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

func (p *pipe) closeReader() {
	p.update(func() {
		if p.err == nil {
			p.chunks, p.err = nil, net.ErrClosed
		}
	})
}

func (p *pipe) closeWriter() { p.update(func() { p.writerClosed = true }) }

func (p *pipe) write(b []byte) (n int, err error) {
	p.update(func() {
		switch {
		case p.writerClosed:
			err = net.ErrClosed
		case p.silent:
			n = len(b)
		case p.err != nil:
			err = syscall.ECONNRESET
		default:
			p.chunks = append(p.chunks, chunk{append([]byte(nil), b...), time.Now().Add(Latency)})
			n = len(b)
		}
	})
	return n, err
}

func (p *pipe) read(b []byte) (int, error) {
	for {
		n, wake, wait, err := p.tryRead(b)
		if n > 0 || err != nil || len(b) == 0 {
			return n, err
		}
		var timer <-chan time.Time
		if wait > 0 {
			timer = time.After(wait)
		}
		select {
		case <-wake:
		case <-timer:
		}
	}
}

// tryRead reads data that has arrived, without blocking. If there is none, it returns what to wait for before the next
// attempt: wake is closed at the next update, and wait is the time until data arrives or the deadline passes, 0 for no limit.
func (p *pipe) tryRead(b []byte) (n int, wake <-chan struct{}, wait time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	switch {
	case p.err != nil:
		return 0, nil, 0, p.err
	case !p.deadline.IsZero() && !now.Before(p.deadline):
		return 0, nil, 0, os.ErrDeadlineExceeded
	case len(p.chunks) > 0 && !now.Before(p.chunks[0].arrivesAt):
		n = copy(b, p.chunks[0].data)
		p.chunks[0].data = p.chunks[0].data[n:]
		if len(p.chunks[0].data) == 0 {
			p.chunks = p.chunks[1:]
		}
		return n, nil, 0, nil
	case len(p.chunks) > 0:
		wait = p.chunks[0].arrivesAt.Sub(now)
	case p.writerClosed && !p.silent:
		return 0, nil, 0, io.EOF
	}
	if remaining := p.deadline.Sub(now); !p.deadline.IsZero() && (wait == 0 || remaining < wait) {
		wait = remaining
	}
	return 0, p.wake, wait, nil
}
