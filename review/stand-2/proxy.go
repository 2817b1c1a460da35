package main

import (
	"net"
	"sync"
	"time"
)

// deadAfter is after what time a process notices that a connection without a reset has died: its sockets have a user timeout of
// 3 s and keep-alive probes.
const deadAfter = 3 * time.Second

// proxy stands between a process of the system and the store. It can let its open connections go silent, while new ones work.
type proxy struct {
	target string
	l      net.Listener
	mu     sync.Mutex
	pairs  map[*pair]struct{}
}

// pair is a connection and the one to the target.
type pair struct {
	client, server net.Conn
	mu             sync.Mutex
	silent         bool
	used           bool // the process has sent something since
}

func newProxy(addr, target string) (*proxy, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, l: l, pairs: map[*pair]struct{}{}}
	go p.run()
	return p, nil
}

func (p *proxy) run() {
	for {
		client, err := p.l.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		c := &pair{client: client, server: server}
		p.mu.Lock()
		p.pairs[c] = struct{}{}
		p.mu.Unlock()
		go p.pump(c, client, server)
		go p.pump(c, server, client)
	}
}

// pump copies bytes until a side closes. Bytes of a silent connection are dropped. The first bytes that the process sends on it stay
// unacknowledged, so its kernel ends the connection deadAfter later.
func (p *proxy) pump(c *pair, from, to net.Conn) {
	defer p.drop(c)
	buffer := make([]byte, 64<<10)
	for noted := false; ; {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if silent {
			if from == c.client && !noted {
				noted = true
				c.mu.Lock()
				c.used = true
				c.mu.Unlock()
				time.AfterFunc(deadAfter, func() { p.drop(c) })
			}
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// drop ends a connection with a reset.
func (p *proxy) drop(c *pair) {
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
	if t, ok := c.client.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.client.Close()
	_ = c.server.Close()
}

// silence lets the open connections go silent and returns their number. Those on which nothing is sent end after deadAfter by their
// keep-alive probes.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
		time.AfterFunc(deadAfter, func() {
			c.mu.Lock()
			used := c.used
			c.mu.Unlock()
			if !used {
				p.drop(c)
			}
		})
	}
	return len(p.pairs)
}

func (p *proxy) close() {
	_ = p.l.Close()
	p.mu.Lock()
	pairs := make([]*pair, 0, len(p.pairs))
	for c := range p.pairs {
		pairs = append(pairs, c)
	}
	p.mu.Unlock()
	for _, c := range pairs {
		p.drop(c)
	}
}
