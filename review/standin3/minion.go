//go:build review3

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// spec is what a task's taskSpec tells a minion: how long the task works and how it ends.
type spec struct {
	work    time.Duration
	lasting bool // works until it is stopped
	fails   bool
}

// parseSpec reads a taskSpec such as "work=2000", "lasting" or "work=300 fails".
func parseSpec(text string) spec {
	var s spec
	for _, word := range strings.Fields(text) {
		value, isWork := strings.CutPrefix(word, "work=")
		switch {
		case isWork:
			ms, _ := strconv.Atoi(value)
			s.work = time.Duration(ms) * time.Millisecond
		case word == "lasting":
			s.lasting = true
		case word == "fails":
			s.fails = true
		}
	}
	return s
}

// run is a task that is at work on a minion.
type run struct {
	task  string
	run   int64
	spec  spec
	began time.Time
	timer *time.Timer
}

// end is an entry of a minion's list of ends.
type end struct {
	number    int64
	task      string
	run       int64
	how       string
	noted     bool
	leaseOver bool
}

// minion is one life of a server, as PROTOCOL.md describes it under "Running tasks".
type minion struct {
	c        *cluster
	id       string
	addr     string
	service  string
	labels   []string
	cpu, mem int64
	born     time.Time
	maxHold  time.Duration

	listener net.Listener
	server   *http.Server
	cancel   context.CancelFunc
	// silent means that the minion answers nothing, as one that has lost its power.
	silent chan struct{}

	mu       sync.Mutex
	dead     bool
	draining bool
	seq      int
	token    int64
	leaseEnd int64
	lease    *time.Timer
	runs     map[string]*run
	stopped  map[string]int64 // by task: the highest run that was stopped or has ended
	ends     []*end
	number   int64
	changed  chan struct{}
}

// startMinion starts a life of a minion at an address and lets it register itself.
func (c *cluster) startMinion(id, addr string, labels []string, cpu, mem int64) (*minion, error) {
	return c.startMinionOf(serviceName, id, addr, labels, cpu, mem)
}

// startMinionOf is startMinion for a minion of another service.
func (c *cluster) startMinionOf(service, id, addr string, labels []string, cpu, mem int64) (*minion, error) {
	m := &minion{c: c, id: id, addr: addr, service: service, labels: labels, cpu: cpu, mem: mem, born: time.Now(), maxHold: c.maxHold,
		silent: make(chan struct{}), runs: map[string]*run{}, stopped: map[string]int64{}, changed: make(chan struct{})}
	var err error
	for range 50 {
		if m.listener, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", m.handle(m.start))
	mux.HandleFunc("POST /v1/run-stop", m.handle(m.stop))
	mux.HandleFunc("POST /v1/hold", m.handle(m.hold))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.server = &http.Server{Handler: mux}
	if c.late != nil {
		c.late.deliver(m)
	}
	go func() { _ = m.server.Serve(m.listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	go m.beat(ctx)
	c.note("minion %s starts at %s", id, addr)
	return m, nil
}

// clockMS is the minion's steady clock, which begins at its start.
func (m *minion) clockMS() int64 { return time.Since(m.born).Milliseconds() + 1 }

// beat writes the minion's entry at once and then at each heartbeat. When the minion is gone, the entry is removed after three
// heartbeats of silence.
func (m *minion) beat(ctx context.Context) {
	for {
		m.mu.Lock()
		m.seq++
		state := "ready"
		if m.draining {
			state = "draining"
		}
		entry := map[string]any{"service": m.service, "address": m.addr, "zone": "z1", "version": "v1", "slots": 8, "state": state,
			"coldRemainingMs": 0, "capacity": map[string]int64{"cpu": m.cpu, "memMb": m.mem, "gpu": 0}, "labels": m.labels,
			"clockMs": m.clockMS(), "seq": m.seq, "born": m.born.UnixMilli(), "machine": "m-" + m.addr}
		m.mu.Unlock()
		m.c.putEntry(m.id, entry)
		select {
		case <-ctx.Done():
			time.AfterFunc(3*heartbeat, func() { m.c.removeEntry(m.id) })
			return
		case <-time.After(heartbeat):
		}
	}
}

// crash ends the minion's process: its runs are gone, its connections are reset and its address refuses.
func (m *minion) crash() {
	m.die()
	_ = m.server.Close()
}

// vanish lets the minion lose its power for good: its runs are gone, and nothing at its address answers any more.
func (m *minion) vanish() {
	m.die()
	close(m.silent)
}

func (m *minion) die() {
	m.cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dead = true
	lost := []string{}
	for _, r := range m.runs {
		r.timer.Stop()
		lost = append(lost, fmt.Sprintf("%s run %d", r.task, r.run))
		m.c.audit.ended(r.task, r.run, m.id, "lost")
	}
	m.runs = map[string]*run{}
	if m.lease != nil {
		m.lease.Stop()
	}
	m.c.note("minion %s crashes, with %d runs: %s", m.id, len(lost), strings.Join(lost, ", "))
}

// close ends the stand-in without a note.
func (m *minion) close() {
	m.cancel()
	_ = m.server.Close()
}

// order is the body of the calls to a minion.
type order struct {
	Task          string `json:"task"`
	Run           int64  `json:"run"`
	TaskSpec      string `json:"taskSpec"`
	DeadlineMS    int64  `json:"deadlineMs"`
	FencingToken  int64  `json:"fencingToken"`
	LastSeen      int64  `json:"lastSeen"`
	WaitTimeoutMS int64  `json:"waitTimeoutMs"`
}

// handle decodes a call, checks its fencing token and calls f with the lock held.
func (m *minion) handle(f func(w http.ResponseWriter, r *http.Request, o order)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.URL.Path == "/v1/run-start" && m.c.late != nil && m.c.late.takes(m, o) {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		switch {
		case m.dead:
			m.mu.Unlock()
			select {
			case <-m.silent:
				<-r.Context().Done()
			default:
			}
			m.mu.Lock()
			panic(http.ErrAbortHandler)
		case r.Header.Get("Greengagewing-Expected-Instance") != m.id:
			m.answer(w, http.StatusMisdirectedRequest, nil)
		case o.FencingToken < m.token:
			m.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		default:
			m.token = o.FencingToken
			f(w, r, o)
		}
	}
}

func (m *minion) answer(w http.ResponseWriter, status int, body map[string]any) {
	if body == nil {
		body = map[string]any{}
	}
	body["clockMs"] = m.clockMS()
	body["born"] = m.born.UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (m *minion) start(w http.ResponseWriter, _ *http.Request, o order) {
	if r := m.runs[o.Task]; r != nil && r.run == o.Run {
		m.answer(w, http.StatusOK, nil)
		return
	}
	switch {
	case o.DeadlineMS <= m.clockMS():
		m.answer(w, http.StatusConflict, map[string]any{"reason": "late"})
		return
	case o.Run <= m.stopped[o.Task] || m.runs[o.Task] != nil:
		m.extend(o.DeadlineMS)
		m.answer(w, http.StatusConflict, map[string]any{"reason": "old"})
		return
	}
	m.extend(o.DeadlineMS)
	r := &run{task: o.Task, run: o.Run, spec: parseSpec(o.TaskSpec), began: time.Now()}
	how := "done"
	if r.spec.fails {
		how = "failed"
	}
	work := r.spec.work
	if r.spec.lasting && !r.spec.fails {
		work = time.Hour
	}
	r.timer = time.AfterFunc(work, func() { m.finish(r, how) })
	m.runs[o.Task] = r
	m.c.audit.started(o.Task, o.Run, m.id)
	m.answer(w, http.StatusOK, nil)
}

func (m *minion) finish(r *run, how string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dead || m.runs[r.task] != r {
		return
	}
	m.end(r, how)
}

// end lists the end of a run. The caller holds the lock.
func (m *minion) end(r *run, how string) {
	r.timer.Stop()
	delete(m.runs, r.task)
	m.stopped[r.task] = max(m.stopped[r.task], r.run)
	m.number++
	m.ends = append(m.ends, &end{number: m.number, task: r.task, run: r.run, how: how})
	m.c.audit.ended(r.task, r.run, m.id, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *minion) stop(w http.ResponseWriter, _ *http.Request, o order) {
	m.stopped[o.Task] = max(m.stopped[o.Task], o.Run)
	if r := m.runs[o.Task]; r != nil && r.run <= o.Run {
		m.end(r, "stopped")
	}
	m.answer(w, http.StatusOK, nil)
}

// extend sets the lease to a deadline on the minion's clock, at most maxHold from now. It never shortens it.
func (m *minion) extend(deadline int64) {
	deadline = min(deadline, m.clockMS()+m.maxHold.Milliseconds())
	if deadline <= m.leaseEnd {
		return
	}
	m.leaseEnd = deadline
	if m.lease != nil {
		m.lease.Stop()
	}
	m.lease = time.AfterFunc(time.Duration(deadline-m.clockMS())*time.Millisecond, m.lapse)
}

func (m *minion) lapse() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dead || m.clockMS() < m.leaseEnd {
		return
	}
	for _, r := range m.runs {
		m.end(r, "lapsed")
	}
	for _, e := range m.ends {
		e.leaseOver = true
	}
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request, o order) {
	m.extend(o.DeadlineMS)
	kept := m.ends[:0:0]
	for _, e := range m.ends {
		if e.number > o.LastSeen {
			kept = append(kept, e)
			continue
		}
		if e.how == "done" && !e.leaseOver {
			m.c.audit.noted(e.task, e.run)
		}
	}
	m.ends = kept
	until := time.After(time.Duration(min(o.WaitTimeoutMS, 2000)) * time.Millisecond)
	for waits := o.WaitTimeoutMS > 0; waits && len(m.ends) == 0 && !m.dead; {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			waits = false
		case <-r.Context().Done():
			waits = false
		}
		m.mu.Lock()
	}
	if m.dead {
		panic(http.ErrAbortHandler)
	}
	active, finished := [][]any{}, [][]any{}
	for _, run := range m.runs {
		percent := 100
		if !run.spec.lasting {
			percent = min(int(100*time.Since(run.began)/max(run.spec.work, 1)), 99)
		}
		active = append(active, []any{run.task, run.run, "", percent, 0})
	}
	for _, e := range m.ends[:min(len(m.ends), 500)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	m.answer(w, http.StatusOK, map[string]any{"active": active, "finished": finished})
}
