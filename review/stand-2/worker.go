package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the minions, as in the settings of a small deployment.
const (
	heartbeatInterval = 1500 * time.Millisecond
	maxHold           = 6000 * time.Millisecond
	gangTimeout       = 3000 * time.Millisecond
	stopDuration      = 200 * time.Millisecond // at most stopTimeoutMs
	maxListedEnds     = 500
	maxHoldWaitMS     = 2000
	startupTime       = 300 * time.Millisecond // of tasks that last
	drainTime         = 2000 * time.Millisecond
)

// behavior says what a run does: it ends after the duration, as done or failed. A lasting one runs until it fails, or for ever if
// the duration is 0.
type behavior struct {
	duration time.Duration
	outcome  string // done or failed
	lasts    bool
	gang     int // number of members, 0 if the task is in no gang
}

// fleet is the set of minions and what they have in common.
type fleet struct {
	store    *store
	log      *record
	service  string
	behavior func(task string, run int64, worker string) behavior

	mu      sync.Mutex
	gangs   map[string]*gang
	starts  map[string][]startRecord // by task
	ends    map[string][]endRecord   // by task
	active  map[string]int           // by task: runs at the moment
	workers map[string]*worker       // by machine
}

type startRecord struct {
	at      time.Time
	run     int64
	machine string
}

type endRecord struct {
	at  time.Time
	run int64
	how string
}

// gang is one run of a gang: its members work once all are present.
type gang struct {
	members []*activeRun
	full    bool
}

// worker is one life of a minion.
type worker struct {
	fleet   *fleet
	id      string
	machine string // stays over crashes
	addr    string
	zone    string
	cpu     int64 // millicores
	memMB   int64
	rack    string
	born    time.Time

	server *http.Server

	mu       sync.Mutex
	dead     bool
	draining bool
	token    int64
	leaseEnd int64 // on the minion's clock
	runs     map[string]*activeRun
	lastRun  map[string]int64
	ends     []wireEnd
	ended    chan struct{}
	lastEnd  int64
	seq      int64
}

type activeRun struct {
	worker    *worker
	task      string
	run       int64
	b         behavior
	startedAt time.Time // when it began to work; zero while its gang is incomplete
	timer     *time.Timer
	over      bool
	stopping  bool
}

type wireEnd struct {
	number int64
	task   string
	run    int64
	how    string
}

func newFleet(s *store, log *record, service string, b func(string, int64, string) behavior) *fleet {
	return &fleet{store: s, log: log, service: service, behavior: b, gangs: map[string]*gang{}, starts: map[string][]startRecord{},
		ends: map[string][]endRecord{}, active: map[string]int{}, workers: map[string]*worker{}}
}

// start starts a minion with a new id on a machine and registers it.
func (f *fleet) start(machine, addr, zone, rack string, cpu, memMB int64) (*worker, error) {
	w := &worker{fleet: f, id: fmt.Sprintf("i-%010x", rand.Uint64()>>24), machine: machine, addr: addr, zone: zone, cpu: cpu, memMB: memMB, rack: rack, born: time.Now(),
		runs: map[string]*activeRun{}, lastRun: map[string]int64{}, ended: make(chan struct{})}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.command(w.handleStart))
	mux.HandleFunc("POST /v1/run-stop", w.command(w.handleStop))
	mux.HandleFunc("POST /v1/hold", w.command(w.handleHold))
	mux.HandleFunc("POST /v1/pace", w.command(func(rw http.ResponseWriter, _ *http.Request, _ command) { w.ok(rw) }))
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(l) }()
	f.mu.Lock()
	f.workers[machine] = w
	f.mu.Unlock()
	go w.beat()
	go w.watchLease()
	f.log.printf("minion %s on %s (%s) is up", w.id, machine, addr)
	return w, nil
}

// writeEntry writes the minion's entry into the store, unless it has ended.
func (w *worker) writeEntry() {
	w.mu.Lock()
	w.seq++
	entry := map[string]any{"service": w.fleet.service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "capacity": map[string]int64{"cpu": w.cpu, "memMb": w.memMB}, "labels": []string{"a", w.rack},
		"clockMs": w.clock(), "seq": w.seq, "born": w.born.UnixMilli()}
	if w.draining {
		entry["state"], entry["drainRemainingMs"] = "draining", drainTime.Milliseconds()
	}
	dead := w.dead
	w.mu.Unlock()
	if dead {
		return
	}
	value, _ := json.Marshal(entry)
	w.fleet.store.put(serversTable, w.id, value)
}

// beat writes the minion's entry every heartbeatInterval until it ends. The entry of a silent minion is removed after three intervals.
func (w *worker) beat() {
	for {
		w.writeEntry()
		time.Sleep(heartbeatInterval)
		w.mu.Lock()
		dead := w.dead
		w.mu.Unlock()
		if dead {
			time.Sleep(2 * heartbeatInterval)
			w.fleet.store.remove(serversTable, w.id)
			return
		}
	}
}

// crash ends the minion at once: its connections break, and all that runs on it ends without being listed.
func (w *worker) crash() {
	w.mu.Lock()
	w.dead = true
	lost := make([]*activeRun, 0, len(w.runs))
	for _, r := range w.runs {
		lost = append(lost, r)
	}
	w.runs = map[string]*activeRun{}
	w.mu.Unlock()
	_ = w.server.Close()
	w.fleet.log.printf("minion %s on %s ends with %d runs", w.id, w.machine, len(lost))
	for _, r := range lost {
		w.fleet.ended(r, "crashed")
	}
}

// leave empties the minion and takes it away: it reports that it drains, goes on for a little longer than the drain time, and leaves.
func (w *worker) leave() {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	w.writeEntry()
	w.fleet.log.printf("minion %s on %s drains", w.id, w.machine)
	time.Sleep(drainTime + time.Second)
	w.crash()
	w.fleet.store.remove(serversTable, w.id)
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

type command struct {
	Task          string `json:"task"`
	Run           int64  `json:"run"`
	TaskSpec      string `json:"taskSpec"`
	DeadlineMS    int64  `json:"deadlineMs"`
	FencingToken  int64  `json:"fencingToken"`
	LastSeen      int64  `json:"lastSeen"`
	WaitTimeoutMS int64  `json:"waitTimeoutMs"`
}

func (w *worker) command(handle func(http.ResponseWriter, *http.Request, command)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Greengagewing-Expected-Instance") != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var c command
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		if c.FencingToken < w.token {
			w.mu.Unlock()
			w.reject(rw, "fence")
			return
		}
		w.token = c.FencingToken
		w.mu.Unlock()
		handle(rw, r, c)
	}
}

func (w *worker) ok(rw http.ResponseWriter) {
	writeJSON(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
}

func (w *worker) reject(rw http.ResponseWriter, reason string) {
	writeJSON(rw, http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": reason})
}

// extendLease sets the end of the lease, which never shortens. The caller holds mu.
func (w *worker) extendLease(deadline int64) {
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock()+maxHold.Milliseconds()))
}

func (w *worker) handleStart(rw http.ResponseWriter, _ *http.Request, c command) {
	w.mu.Lock()
	if r := w.runs[c.Task]; r != nil && r.run == c.Run {
		w.extendLease(c.DeadlineMS)
		w.mu.Unlock()
		w.ok(rw)
		return
	}
	if c.DeadlineMS <= w.clock() {
		w.mu.Unlock()
		w.reject(rw, "late")
		return
	}
	w.extendLease(c.DeadlineMS)
	if c.Run <= w.lastRun[c.Task] || w.dead || w.runs[c.Task] != nil {
		w.mu.Unlock()
		w.reject(rw, "old")
		return
	}
	r := &activeRun{worker: w, task: c.Task, run: c.Run, b: w.fleet.behavior(c.Task, c.Run, w.machine)}
	w.runs[c.Task] = r
	w.mu.Unlock()
	w.fleet.started(r)
	w.ok(rw)
}

func (w *worker) handleStop(rw http.ResponseWriter, _ *http.Request, c command) {
	w.mu.Lock()
	w.lastRun[c.Task] = max(w.lastRun[c.Task], c.Run)
	if r := w.runs[c.Task]; r != nil && r.run == c.Run && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopDuration, func() { w.end(r, "stopped") })
	}
	w.mu.Unlock()
	w.ok(rw)
}

// end ends a run and lists the end.
func (w *worker) end(r *activeRun, how string) {
	w.mu.Lock()
	if w.runs[r.task] != r {
		w.mu.Unlock()
		return
	}
	delete(w.runs, r.task)
	w.lastRun[r.task] = max(w.lastRun[r.task], r.run)
	w.lastEnd++
	w.ends = append(w.ends, wireEnd{w.lastEnd, r.task, r.run, how})
	close(w.ended)
	w.ended = make(chan struct{})
	w.mu.Unlock()
	w.fleet.ended(r, how)
}

func (w *worker) handleHold(rw http.ResponseWriter, req *http.Request, c command) {
	w.mu.Lock()
	if c.DeadlineMS > 0 {
		w.extendLease(c.DeadlineMS)
	}
	kept := w.ends[:0:0]
	for _, e := range w.ends {
		if e.number > c.LastSeen {
			kept = append(kept, e)
		}
	}
	w.ends = kept
	timeout := time.After(time.Duration(min(c.WaitTimeoutMS, maxHoldWaitMS)) * time.Millisecond)
	for waiting := c.WaitTimeoutMS > 0; waiting && len(w.ends) == 0; {
		ended := w.ended
		w.mu.Unlock()
		select {
		case <-ended:
		case <-timeout:
			waiting = false
		case <-req.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	active, finished := [][]any{}, [][]any{}
	for _, r := range w.runs {
		active = append(active, []any{r.task, r.run, "", r.percent(), 0})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	clock := w.clock()
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, map[string]any{"clockMs": clock, "born": w.born.UnixMilli(), "active": active, "finished": finished})
}

// percent returns the progress of a run. The caller holds the worker's mu.
func (r *activeRun) percent() int {
	switch worked := time.Since(r.startedAt); {
	case r.startedAt.IsZero():
		return 0
	case r.b.lasts:
		return int(min(100*worked/startupTime, 100))
	default:
		return int(min(100*worked/max(r.b.duration, 1), 99))
	}
}

// watchLease kills everything when the lease has expired.
func (w *worker) watchLease() {
	for {
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			return
		}
		var lapsed []*activeRun
		if w.clock() > w.leaseEnd {
			for _, r := range w.runs {
				lapsed = append(lapsed, r)
			}
		}
		w.mu.Unlock()
		for _, r := range lapsed {
			w.end(r, "lapsed")
		}
	}
}

// gangKey names a run of a gang: the members share the job, the occurrence, the step and the number of the run.
func gangKey(task string, run int64) string {
	return task[:strings.LastIndexByte(task, '.')] + "/" + strconv.FormatInt(run, 10)
}

// started notes the start of a run and lets it work, alone or once its gang is complete.
func (f *fleet) started(r *activeRun) {
	f.log.printf("run %s %d starts on %s", r.task, r.run, r.worker.machine)
	f.mu.Lock()
	f.starts[r.task] = append(f.starts[r.task], startRecord{time.Now(), r.run, r.worker.machine})
	f.active[r.task]++
	ready := []*activeRun{r}
	if r.b.gang > 0 {
		key := gangKey(r.task, r.run)
		g := f.gangs[key]
		if g == nil {
			g = &gang{}
			f.gangs[key] = g
			time.AfterFunc(gangTimeout, func() { f.breakIncomplete(g) })
		}
		g.members = append(g.members, r)
		g.full = len(g.members) == r.b.gang
		ready = nil
		if g.full {
			ready = g.members
		}
	}
	f.mu.Unlock()
	for _, m := range ready {
		m.worker.mu.Lock()
		m.startedAt = time.Now()
		if m.b.duration > 0 {
			m.timer = time.AfterFunc(m.b.duration, func() { m.worker.end(m, m.b.outcome) })
		}
		m.worker.mu.Unlock()
	}
}

// breakIncomplete ends the members of a gang that is not complete in time.
func (f *fleet) breakIncomplete(g *gang) {
	f.mu.Lock()
	var alone []*activeRun
	if !g.full {
		alone = g.members
	}
	f.mu.Unlock()
	for _, r := range alone {
		r.worker.end(r, "alone")
	}
}

// ended notes the end of a run. The other members of its gang end as well.
func (f *fleet) ended(r *activeRun, how string) {
	f.mu.Lock()
	if r.over {
		f.mu.Unlock()
		return
	}
	r.over = true
	if r.timer != nil {
		r.timer.Stop()
	}
	f.log.printf("run %s %d on %s ends: %s", r.task, r.run, r.worker.machine, how)
	f.active[r.task]--
	f.ends[r.task] = append(f.ends[r.task], endRecord{time.Now(), r.run, how})
	var others []*activeRun
	if g := f.gangs[gangKey(r.task, r.run)]; r.b.gang > 0 && g != nil {
		others = append(others, g.members...)
	}
	f.mu.Unlock()
	otherEnd := "broken"
	if how == "done" {
		otherEnd = "done"
	}
	for _, o := range others {
		if o != r {
			o.worker.end(o, otherEnd)
		}
	}
}

// count returns how many runs of a task have started, how many work now, and how many have ended in the given way.
func (f *fleet) count(task, how string) (starts, active, ends int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.ends[task] {
		if e.how == how {
			ends++
		}
	}
	return len(f.starts[task]), f.active[task], ends
}

// live returns the minions that are up and do not drain.
func (f *fleet) live() []*worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*worker
	for _, w := range f.workers {
		w.mu.Lock()
		if !w.dead && !w.draining {
			out = append(out, w)
		}
		w.mu.Unlock()
	}
	return out
}

// tasks returns the names of the tasks whose runs are on the minion.
func (w *worker) tasks() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for t := range w.runs {
		out = append(out, t)
	}
	return out
}
