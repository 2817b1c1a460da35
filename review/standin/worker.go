//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxFinished = 500 // ends in one answer to a hold
	maxHold     = 6 * time.Second
)

// taskKind says how long a task takes.
type taskKind struct {
	duration func(task string) time.Duration
	gang     int // number of the tasks that work only together; 0 if it is no gang
}

// audit follows all runs of all workers and checks rule TWICE.
type audit struct {
	record  *record
	onStart func(task, worker string) // if set, is called for each start

	mu       sync.Mutex
	running  map[string]int // by task
	ends     map[string][]*doneEnd
	starts   map[string][]startEntry
	started  int
	done     int
	overlaps []string
}

// doneEnd is a run that has ended done.
type doneEnd struct {
	at     time.Time
	worker string
	run    int64
	noted  bool // the end was taken note of before the worker's lease lapsed
}

type startEntry struct {
	at     time.Time
	worker string
	run    int64
}

func newAudit(r *record) *audit {
	return &audit{record: r, running: map[string]int{}, ends: map[string][]*doneEnd{}, starts: map[string][]startEntry{}}
}

func (a *audit) start(task, worker string, run int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.onStart != nil {
		a.onStart(task, worker)
	}
	a.started++
	a.running[task]++
	a.starts[task] = append(a.starts[task], startEntry{time.Now(), worker, run})
	if a.running[task] > 1 {
		a.overlaps = append(a.overlaps, fmt.Sprintf("%s: run %d starts on %s while another run of the task goes on", task, run, worker))
	}
}

func (a *audit) end(task, worker string, run int64, how string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running[task]--
	if how == "done" {
		a.done++
		a.ends[task] = append(a.ends[task], &doneEnd{at: time.Now(), worker: worker, run: run})
	}
}

func (a *audit) note(task, worker string, run int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range a.ends[task] {
		if e.worker == worker && e.run == run {
			e.noted = true
		}
	}
}

// twice returns the violations of rule TWICE: overlapping runs, and starts after a run had ended done whose end was taken note of.
func (a *audit) twice() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := append([]string(nil), a.overlaps...)
	for task, starts := range a.starts {
		for _, s := range starts {
			for _, e := range a.ends[task] {
				if e.noted && s.at.After(e.at) {
					out = append(out, fmt.Sprintf("%s: run %d starts on %s %v after run %d had ended done on %s; that end was taken note of",
						task, s.run, s.worker, s.at.Sub(e.at).Round(time.Millisecond), e.run, e.worker))
					break
				}
			}
		}
	}
	return out
}

func (a *audit) counts() (started, done, running int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, n := range a.running {
		running += n
	}
	return a.started, a.done, running
}

// jobRunning reports how many tasks of a job run.
func (a *audit) jobRunning(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for task, r := range a.running {
		if len(task) > len(id) && task[:len(id)] == id {
			n += r
		}
	}
	return n
}

// worker is a minion that starts whatever it is told to start. One life ends when it is closed.
type worker struct {
	id, addr string
	cpu      int64
	kind     func(task string) taskKind
	audit    *audit
	record   *record
	gangs    *gangs
	gate     *gate // in front of the worker; nil if there is none

	mu       sync.Mutex
	server   *http.Server
	born     int64
	began    time.Time
	fence    int64
	leaseEnd int64 // on the worker's clock
	timer    *time.Timer
	runs     map[string]*run
	ended    []end
	lastRun  map[string]int64
	lastEnd  int64
	changed  chan struct{}
	maxEnded int // most ends that waited to be taken note of
}

type run struct {
	task  string
	run   int64
	takes time.Duration
	timer *time.Timer
	// workSince is when the task began to work, in nanoseconds since 1970; 0 while it waits for its gang.
	workSince atomic.Int64
}

type end struct {
	number int64
	task   string
	run    int64
	how    string
	lapsed bool
}

func newWorker(id, addr string, cpu int64, kind func(string) taskKind, a *audit, r *record, g *gangs) *worker {
	w := &worker{id: id, addr: addr, cpu: cpu, kind: kind, audit: a, record: r, gangs: g}
	w.reset()
	return w
}

// reset begins a new life of the worker.
func (w *worker) reset() {
	w.began, w.born = time.Now(), time.Now().UnixMilli()
	w.fence, w.leaseEnd, w.lastEnd = 0, 0, 0
	w.runs, w.ended, w.lastRun, w.changed = map[string]*run{}, nil, map[string]int64{}, make(chan struct{})
}

// listen serves the worker's life at its address; an empty address takes a free port.
func (w *worker) listen() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.addr
	if at == "" {
		at = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	w.addr = l.Addr().String()
	s := &http.Server{Handler: w, ReadHeaderTimeout: 5 * time.Second}
	w.server = s
	go func() { _ = s.Serve(l) }()
	return nil
}

// crash ends the worker's process: its connections break, and all that ran and all that it knew is gone.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
	for _, r := range w.runs {
		if r.timer != nil {
			r.timer.Stop()
		} else {
			go w.gangs.end(gangOf(r.task, r.run), "broken")
		}
		w.audit.end(r.task, w.id, r.run, "lost with its worker")
		w.record.printf("end %s run %d on %s: lost with its worker", r.task, r.run, w.id)
	}
	_ = w.server.Close()
	w.reset()
}

// restart begins a new life under the worker's id and address.
func (w *worker) restart() error {
	w.mu.Lock()
	w.reset()
	w.mu.Unlock()
	err := w.listen()
	for range 20 {
		if err == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
		err = w.listen()
	}
	return err
}

func (w *worker) clockMS() int64 { return time.Since(w.began).Milliseconds() }

// entry returns the worker's entry in the store.
func (w *worker) entry(seq int) []byte {
	addr := w.addr
	if w.gate != nil {
		addr = w.gate.addr
	}
	data, err := json.Marshal(map[string]any{
		"service": "textos", "address": addr, "zone": "gt-central-a", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"seq": seq, "born": w.born, "capacity": map[string]int64{"cpu": w.cpu, "memMb": 131072, "gpu": 0}, "labels": []string{"a", "r1-1"},
	})
	if err != nil {
		panic(err)
	}
	return data
}

type order struct {
	Task          string `json:"task"`
	Run           int64  `json:"run"`
	TaskSpec      string `json:"taskSpec"`
	DeadlineMS    int64  `json:"deadlineMs"`
	FencingToken  int64  `json:"fencingToken"`
	LastSeen      int64  `json:"lastSeen"`
	WaitTimeoutMS int64  `json:"waitTimeoutMs"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Greengagewing-Expected-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.FencingToken < w.fence {
		w.reject(rw, "fence")
		return
	}
	w.fence = o.FencingToken
	switch r.URL.Path {
	case "/v1/run-start":
		w.start(rw, o)
	case "/v1/run-stop":
		w.stop(rw, o)
	case "/v1/hold":
		w.hold(rw, r, o)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) answer(rw http.ResponseWriter, status int, extra map[string]any) {
	out := map[string]any{"clockMs": w.clockMS(), "born": w.born}
	for k, v := range extra {
		out[k] = v
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(out)
}

func (w *worker) reject(rw http.ResponseWriter, reason string) {
	w.answer(rw, http.StatusConflict, map[string]any{"reason": reason})
}

// extend lets everything run until a time on the worker's clock, at most maxHold from now. The lease never shortens.
func (w *worker) extend(deadline int64) {
	deadline = min(deadline, w.clockMS()+maxHold.Milliseconds())
	if deadline <= w.leaseEnd {
		return
	}
	w.leaseEnd = deadline
	if w.timer != nil {
		w.timer.Stop()
	}
	w.timer = time.AfterFunc(time.Duration(deadline-w.clockMS())*time.Millisecond, w.lapse)
}

func (w *worker) lapse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.clockMS() < w.leaseEnd {
		return
	}
	for i := range w.ended {
		w.ended[i].lapsed = true
	}
	for _, r := range w.runs {
		w.finish(r, "lapsed")
	}
}

func (w *worker) start(rw http.ResponseWriter, o order) {
	w.extend(o.DeadlineMS)
	if r := w.runs[o.Task]; r != nil && r.run == o.Run {
		w.answer(rw, http.StatusOK, nil)
		return
	}
	if o.Run <= w.lastRun[o.Task] {
		w.reject(rw, "old")
		return
	}
	if o.DeadlineMS <= w.clockMS() {
		w.reject(rw, "late")
		return
	}
	k := w.kind(o.Task)
	r := &run{task: o.Task, run: o.Run, takes: k.duration(o.Task)}
	w.runs[o.Task] = r
	if k.gang > 0 {
		w.gangs.join(w, r, k.gang)
	} else {
		r.workSince.Store(time.Now().UnixNano())
		r.timer = time.AfterFunc(r.takes, func() { w.endMember(r, "done") })
	}
	w.audit.start(o.Task, w.id, o.Run)
	w.record.printf("start %s run %d on %s, token %d", o.Task, o.Run, w.id, o.FencingToken)
	w.answer(rw, http.StatusOK, nil)
}

func (w *worker) stop(rw http.ResponseWriter, o order) {
	w.lastRun[o.Task] = max(w.lastRun[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.run <= o.Run {
		w.finish(r, "stopped")
	}
	w.answer(rw, http.StatusOK, nil)
}

func (w *worker) finish(r *run, how string) {
	if r.timer != nil {
		r.timer.Stop()
	} else if how != "done" && how != "broken" {
		go w.gangs.end(gangOf(r.task, r.run), "broken")
	}
	delete(w.runs, r.task)
	w.lastRun[r.task] = max(w.lastRun[r.task], r.run)
	w.lastEnd++
	w.ended = append(w.ended, end{number: w.lastEnd, task: r.task, run: r.run, how: how})
	w.maxEnded = max(w.maxEnded, len(w.ended))
	w.audit.end(r.task, w.id, r.run, how)
	w.record.printf("end %s run %d on %s: %s (end %d, %d not taken note of)", r.task, r.run, w.id, how, w.lastEnd, len(w.ended))
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	w.extend(o.DeadlineMS)
	kept := w.ended[:0:0]
	for _, e := range w.ended {
		if e.number > o.LastSeen {
			kept = append(kept, e)
		} else if e.how == "done" && !e.lapsed {
			w.audit.note(e.task, w.id, e.run)
		}
	}
	w.ended = kept
	limit := time.After(time.Duration(o.WaitTimeoutMS) * time.Millisecond)
	for waiting := o.WaitTimeoutMS > 0; waiting && len(w.ended) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-limit:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	active, finished := [][]any{}, [][]any{}
	for _, run := range w.runs {
		percent := 0
		if since := run.workSince.Load(); since > 0 {
			percent = min(int(100*time.Since(time.Unix(0, since))/max(run.takes, 1)), 100)
		}
		active = append(active, []any{run.task, run.run, "", percent, 0})
	}
	for _, e := range w.ended[:min(len(w.ended), maxFinished)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	w.answer(rw, http.StatusOK, map[string]any{"active": active, "finished": finished})
}

func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for _, c := range []byte(s) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h & 0xffffffffff
}
