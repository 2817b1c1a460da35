//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// gate forwards the connections to a worker. While it is shut it resets them, and new ones are reset as well, as by a firewall that
// rejects with a reset; the worker behind it goes on.
type gate struct {
	addr, target string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
}

func newGate(target string) (*gate, error) {
	g := &gate{addr: "127.0.0.1:0", target: target, conns: map[net.Conn]struct{}{}}
	return g, g.open()
}

func (g *gate) open() error {
	var l net.Listener
	var err error
	for range 20 {
		if l, err = net.Listen("tcp", g.addr); err == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listener, g.addr = l, l.Addr().String()
	go g.accept(l)
	return nil
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.listener.Close()
	for c := range g.conns {
		resetConn(c)
	}
}

func (g *gate) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go g.forward(c)
	}
}

func (g *gate) forward(c net.Conn) {
	up, err := net.Dial("tcp", g.target)
	if err != nil {
		resetConn(c)
		return
	}
	g.mu.Lock()
	g.conns[c], g.conns[up] = struct{}{}, struct{}{}
	g.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { _, _ = io.Copy(up, c); _ = up.Close() })
	wg.Go(func() { _, _ = io.Copy(c, up); _ = c.Close() })
	wg.Wait()
	g.mu.Lock()
	delete(g.conns, c)
	delete(g.conns, up)
	g.mu.Unlock()
}

func init() { cases["cut"] = cutWorker }

// cutWorker cuts one worker of six off with resets. It runs on.
func cutWorker(e env) int {
	const (
		workers = 6
		jobs    = 90
		cut     = 5500 * time.Millisecond // as in the site file: node_cut, servers
	)
	kind := func(task string) taskKind {
		return taskKind{duration: func(task string) time.Duration { return time.Duration(1800+hash(task)%2000) * time.Millisecond }}
	}
	c, err := newClusterOf(e.dir, e.binary, e.record, 3, workers, 32000, kind, true)
	if err != nil || !c.ready(startup) {
		e.record.say("the deployment does not start: %v", err)
		return couldNot
	}
	if e.trouble {
		time.AfterFunc(5*time.Second, func() {
			w := c.fullest()
			e.record.printf("worker %s is cut off with resets, and runs on", w.id)
			w.gate.shut()
			time.Sleep(cut)
			if err := w.gate.open(); err != nil {
				e.record.say("the cut of %s can't be ended: %v", w.id, err)
			}
			e.record.printf("worker %s is reached again", w.id)
		})
	}
	clients := submitAll(c, "a1000000", jobs, 100*time.Millisecond, job(step{Count: 5, CPU: 2000, MemMB: 7200, EstimateMS: 2900}))
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		left := 0
		for i, k := range clients {
			if k.accepted && c.state(i, k.id) != "completed" {
				left++
			}
		}
		if left == 0 {
			break
		}
	}
	time.Sleep(2 * time.Second)
	c.close()
	report(e, c, clients)
	return verdict(e, "TWICE", c.audit.twice())
}

// fullest returns the worker with the most runs.
func (c *cluster) fullest() *worker {
	var best *worker
	most := -1
	for _, w := range c.workers {
		w.mu.Lock()
		n := len(w.runs)
		w.mu.Unlock()
		if n > most {
			best, most = w, n
		}
	}
	return best
}

// openGate puts a gate in front of a worker, whose entry then names the gate.
func (w *worker) openGate() error {
	g, err := newGate(w.addr)
	if err != nil {
		return fmt.Errorf("gate of %s: %w", w.id, err)
	}
	w.gate = g
	return nil
}
