//go:build review3

package main

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"time"
)

const (
	lateMinions  = 8
	lateShare    = 18                      // one start of so many is left unanswered and carried out late
	lateBy       = 3 * time.Second         // how much later
	lateWindow   = 5500 * time.Millisecond // for how long starts are left unanswered
	lateCrash    = 2500 * time.Millisecond // from such a start until its minion crashes
	lateDown     = 850 * time.Millisecond  // from the crash until the minion is back under its id
	lateJobs     = 400
	lateInterval = 20 * time.Millisecond
)

// lateOrders holds the starts that minions have left unanswered, by the minion's id, until they are carried out.
type lateOrders struct {
	c  *cluster
	mu sync.Mutex

	until   time.Time
	starts  int
	crashes int
	waiting map[string][]order // by id of a minion that is down
	up      map[string]*minion // by id
	busy    bool               // a minion is about to crash or down
	wg      sync.WaitGroup
}

// takes reports whether a start is left unanswered. The minion that left it so crashes before it is carried out, one minion at a time.
func (l *lateOrders) takes(m *minion, o order) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().After(l.until) {
		return false
	}
	l.starts++
	if l.starts%lateShare != 0 {
		return false
	}
	l.c.note("minion %s: leaves the start of %s run %d unanswered", m.id, o.Task, o.Run)
	l.wg.Go(func() {
		time.Sleep(lateBy)
		l.due(m.id, o)
	})
	if !l.busy {
		l.busy = true
		l.crashes++
		l.wg.Go(func() { l.restart(m) })
	}
	return true
}

// due carries an order out, or keeps it until the minion is back.
func (l *lateOrders) due(id string, o order) {
	l.mu.Lock()
	m := l.up[id]
	if m == nil {
		l.waiting[id] = append(l.waiting[id], o)
	}
	l.mu.Unlock()
	if m != nil {
		m.carryOut(o)
	}
}

// deliver lets a life of a minion carry out what was meant for the one before.
func (l *lateOrders) deliver(m *minion) {
	l.mu.Lock()
	orders := l.waiting[m.id]
	delete(l.waiting, m.id)
	l.up[m.id] = m
	l.mu.Unlock()
	for _, o := range orders {
		m.carryOut(o)
	}
}

// carryOut handles a start like one that arrives now; nobody receives the answer.
func (m *minion) carryOut(o order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dead || o.FencingToken < m.token {
		m.c.note("minion %s: rejects the late start of %s run %d", m.id, o.Task, o.Run)
		return
	}
	m.token = o.FencingToken
	out := httptest.NewRecorder()
	m.start(out, nil, o)
	m.c.note("minion %s: carries out the late start of %s run %d: status %d", m.id, o.Task, o.Run, out.Code)
}

// restart lets a minion crash and start again under its id.
func (l *lateOrders) restart(m *minion) {
	time.Sleep(lateCrash)
	l.mu.Lock()
	delete(l.up, m.id)
	l.mu.Unlock()
	m.crash()
	time.Sleep(lateDown)
	again, err := l.c.startMinion(m.id, m.addr, m.labels, m.cpu, m.mem)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busy = false
	if err != nil {
		l.c.note("minion %s: can't start again: %v", m.id, err)
		return
	}
	for i := range l.c.minions {
		if l.c.minions[i] == m {
			l.c.minions[i] = again
		}
	}
}

// late hands in short jobs of one task each. Minions leave one start of 18 unanswered and carry it out 3 s later; some of them crash
// meanwhile and are back under their ids. No task may run twice, or again after its end was taken note of.
func late(c *cluster, trouble bool) ([]string, error) {
	c.putConfig(1, 3)
	l := &lateOrders{c: c, waiting: map[string][]order{}, up: map[string]*minion{}}
	c.late = l
	if err := c.startAll(lateMinions, 3); err != nil {
		return nil, err
	}
	if trouble {
		l.mu.Lock()
		l.until = time.Now().Add(lateWindow)
		l.mu.Unlock()
	}
	accepted := 0
	for i := range lateJobs {
		job := jobBody{TaskSpec: "work=500", Steps: []step{{Count: 1, CPU: 1000, MemMB: 500, EstimatedDurationMS: 500}}}
		if c.submit(fmt.Sprintf("%016x", 0xfabc000+i), job) {
			accepted++
		}
		time.Sleep(lateInterval)
	}
	if accepted < lateJobs {
		return nil, errors.New("a job was not accepted")
	}
	l.wg.Wait()
	time.Sleep(8 * time.Second)
	c.note("%d crashes of minions", l.crashes)
	c.audit.mu.Lock()
	defer c.audit.mu.Unlock()
	var broken []string
	for _, t := range c.audit.twice {
		broken = append(broken, "TWICE: "+t)
	}
	return broken, nil
}
