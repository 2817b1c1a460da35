package standin

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/greengagewing/greengagewing/internal/wait"
)

// workerPollInterval is the interval at which a worker checks for finished tasks and expired leases. It also checks on
// every request.
const workerPollInterval = 20 * time.Millisecond

// throttleSlowdown is the factor by which throttling extends the remaining run time of a task.
const throttleSlowdown = 2

// States of tasks in a worker's report.
const (
	TaskRunning      = "running"
	TaskDone         = "done"
	TaskFailed       = "failed"       // exit is not 0
	TaskStopped      = "stopped"      // on command or because the lease expired
	TaskCheckpointed = "checkpointed" // ended; the next attempt resumes from the saved progress
)

// TaskRef identifies one attempt of a task.
type TaskRef struct {
	TaskID  string `json:"task_id"`
	Attempt int64  `json:"attempt"`
}

// TaskRefs is a list of tasks. In JSON an element may also be a bare task id, which names the latest attempt.
type TaskRefs []TaskRef

// UnmarshalJSON accepts objects and bare task ids.
func (l *TaskRefs) UnmarshalJSON(raw []byte) error {
	var elems []json.RawMessage
	if err := json.Unmarshal(raw, &elems); err != nil {
		return err
	}
	*l = make(TaskRefs, len(elems))
	for i, e := range elems {
		var into any = &(*l)[i]
		if e[0] == '"' {
			into = &(*l)[i].TaskID
		}
		if err := json.Unmarshal(e, into); err != nil {
			return err
		}
	}
	return nil
}

// StartTask is the body of POST /v1/tasks.
type StartTask struct {
	TaskRef
	Epoch     int64           `json:"epoch"`
	LeaseMS   int64           `json:"lease_ms"`
	Resources Resources       `json:"resources"`
	Kind      string          `json:"kind"` // batch, gang or service
	RunMS     int64           `json:"run_ms"`
	Payload   json.RawMessage `json:"payload,omitempty"`
	// NotAfterMS is a time on the worker's clock. A worker with a clock refuses the start after that time. 0: no limit.
	NotAfterMS int64 `json:"not_after_ms,omitempty"`
}

// TaskCommand is the body of the renew, ack, stop, throttle and checkpoint requests. Each uses only the fields it
// needs.
type TaskCommand struct {
	Epoch   int64    `json:"epoch"`
	LeaseMS int64    `json:"lease_ms"`
	Attempt int64    `json:"attempt"`
	Tasks   TaskRefs `json:"tasks"`
	// NotAfterMS applies to renewals, as in StartTask: a worker with a clock extends no lease after that time.
	NotAfterMS int64 `json:"not_after_ms"`
}

// TaskReport is the state of one task in a worker's report.
type TaskReport struct {
	TaskRef
	State            string    `json:"state"`
	Exit             int       `json:"exit"`
	Resources        Resources `json:"resources"`
	Usage            Resources `json:"usage"`
	RemainingLeaseMS int64     `json:"remaining_lease_ms"`
	Throttled        bool      `json:"throttled,omitempty"`
	Expired          bool      `json:"expired,omitempty"` // stopped because the lease expired
}

// Report is the body of GET /v1/report and the response to a renewal.
type Report struct {
	WorkerID string       `json:"worker_id"`
	BootID   string       `json:"boot_id"`
	MaxEpoch int64        `json:"max_epoch"`
	ClockMS  int64        `json:"clock_ms,omitempty"` // 0: the worker has no clock and ignores not_after_ms
	Capacity Resources    `json:"capacity"`
	Leaving  bool         `json:"leaving,omitempty"`
	Tasks    []TaskReport `json:"tasks"`
}

type task struct {
	TaskReport
	payload      payload
	startedAt    time.Duration // on the worker's lease clock
	leaseUntil   time.Duration // on the worker's lease clock
	remaining    time.Duration // remaining run time
	untilStopped bool          // a service without a run time, which runs until it is stopped
}

// Worker simulates a worker that runs tasks under leases. It accepts every start, even beyond its capacity, and leaves
// it to the audit to report that as a violation.
type Worker struct {
	ID          string
	capacity    Resources
	audit       *Audit
	checkpoints *checkpointStore
	mux         *http.ServeMux

	mu          sync.Mutex
	bootCount   int
	maxEpoch    int64
	tasks       map[TaskRef]*task
	faults      Faults
	clockStart  time.Time     // when the lease clock was at 0
	frozen      time.Duration // total time for which the lease clock stood still
	lastAdvance time.Duration // when advance last ran, on the lease clock
	pausedAt    time.Time
	// memoryOverSince is when the tasks began to use more memory than the worker has; zero if they do not.
	memoryOverSince time.Time
	resumed         chan struct{} // nil while not paused
	stopped         chan struct{} // closed when Run ends
}

// NewWorker returns a worker with the given capacity. Without a running Run, it checks leases on requests only.
func NewWorker(id string, capacity Resources) *Worker {
	return newWorker(id, capacity, NewAudit(), &checkpointStore{})
}

func newWorker(id string, capacity Resources, a *Audit, checkpoints *checkpointStore) *Worker {
	a.recordWorkerLoad(id, capacity, Resources{}, Resources{}, 0)
	w := &Worker{
		ID: id, capacity: capacity, audit: a, checkpoints: checkpoints, mux: http.NewServeMux(), bootCount: 1,
		tasks: map[TaskRef]*task{}, clockStart: time.Now(),
		stopped: make(chan struct{}),
	}
	w.mux.HandleFunc("POST /v1/tasks", w.serveStart)
	w.mux.HandleFunc("POST /v1/renew", w.commandHandler(w.renewLeases))
	w.mux.HandleFunc("POST /v1/ack", w.commandHandler(w.forgetTasks))
	w.mux.HandleFunc("POST /v1/tasks/{id}/{action}", w.commandHandler(w.controlTask))
	w.mux.HandleFunc("GET /v1/report", w.serveReport)
	return w
}

// checkpointStore stands in for the object store: it keeps the remaining run time of checkpointed tasks by task id.
type checkpointStore struct {
	mu        sync.Mutex
	remaining map[string]time.Duration
}

func (c *checkpointStore) save(id string, remaining time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.remaining == nil {
		c.remaining = map[string]time.Duration{}
	}
	c.remaining[id] = remaining
}

func (c *checkpointStore) load(id string) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.remaining[id]
	return d, ok
}

// Run ends tasks that have finished or whose lease has expired, until ctx is done. It must be called only once.
func (w *Worker) Run(ctx context.Context) {
	defer close(w.stopped)
	wait.Every(ctx, workerPollInterval, func(context.Context) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.advance()
		w.trackMemoryOveruse()
	})
}

// trackMemoryOveruse records in the audit for how long the tasks have used more memory than the worker has.
func (w *Worker) trackMemoryOveruse() {
	_, used := w.load()
	switch {
	case used.MemoryMB <= w.capacity.MemoryMB:
		w.memoryOverSince = time.Time{}
	case w.memoryOverSince.IsZero():
		w.memoryOverSince = time.Now()
	default:
		w.audit.recordMemoryOveruse(w.ID, time.Since(w.memoryOverSince))
	}
}

// Audit returns the audit to which the worker reports.
func (w *Worker) Audit() *Audit { return w.audit }

// Faults returns the active faults.
func (w *Worker) Faults() Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// SetFaults replaces the active faults, and pauses, resumes or restarts the worker accordingly. It does not apply
// network faults or change the membership list.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if f.Restart {
		w.restart()
		f.Restart = false
	}
	switch {
	case f.Paused && w.resumed == nil:
		w.pause()
	case !f.Paused && w.resumed != nil:
		w.resume(w.faults.FreezeLeases)
	}
	w.faults = f
}

func (w *Worker) restart() {
	for _, t := range w.tasks {
		if t.State == TaskRunning && w.resumed == nil {
			w.audit.markNotRunning(t.TaskID, w.place(t))
		}
	}
	w.tasks = map[TaskRef]*task{}
	w.bootCount++
	w.maxEpoch = 0
}

func (w *Worker) pause() {
	w.pausedAt, w.resumed = time.Now(), make(chan struct{})
	for _, t := range w.tasks {
		if t.State == TaskRunning {
			w.audit.markNotRunning(t.TaskID, w.place(t))
		}
	}
}

func (w *Worker) resume(frozen bool) {
	if frozen {
		w.frozen += time.Since(w.pausedAt)
	}
	close(w.resumed)
	w.resumed = nil
	w.lastAdvance = w.leaseClock() // tasks made no progress during the pause
	for _, t := range w.tasks {
		if t.State == TaskRunning && t.leaseUntil > w.lastAdvance {
			w.audit.markRunning(t.TaskID, w.place(t))
		}
	}
	w.advance()
}

// leaseClock returns the time on the worker's lease clock.
func (w *Worker) leaseClock() time.Duration { return time.Since(w.clockStart) - w.frozen }

// leaseClockMS returns the lease clock as shown in reports. It is never 0, because 0 means a worker without a clock.
func (w *Worker) leaseClockMS() int64 { return w.leaseClock().Milliseconds() + 1 }

// pastNotAfter reports whether the worker has a clock and notAfterMS has passed on it. 0 means no limit.
func (w *Worker) pastNotAfter(notAfterMS int64) bool {
	return w.faults.Clock && notAfterMS > 0 && w.leaseClockMS() > notAfterMS
}

func (w *Worker) place(t *task) string { return fmt.Sprintf("%s/%d", w.ID, t.Attempt) }

// advance ends the tasks that have finished or whose lease has expired since the last call. It does nothing during a
// pause.
func (w *Worker) advance() {
	if w.resumed != nil {
		return
	}
	now := w.leaseClock()
	for _, t := range w.tasks {
		if t.State != TaskRunning {
			continue
		}
		end := w.lastAdvance + t.remaining
		switch {
		case !t.untilStopped && end <= now && end <= t.leaseUntil:
			w.completeTask(t)
		case t.leaseUntil <= now:
			t.Expired = true
			w.end(t, TaskStopped, -1)
		default:
			t.remaining -= now - w.lastAdvance
		}
	}
	w.lastAdvance = now
}

func (w *Worker) completeTask(t *task) {
	exit := t.payload.Exit
	if w.faults.FailAll {
		exit = 1
	}
	if exit != 0 {
		w.end(t, TaskFailed, exit)
		return
	}
	w.end(t, TaskDone, 0)
}

func (w *Worker) end(t *task, state string, exit int) {
	t.State, t.Exit, t.RemainingLeaseMS = state, exit, 0
	w.audit.markNotRunning(t.TaskID, w.place(t))
}

// ServeHTTP serves the worker protocol. A message that arrives while the worker is paused takes effect when the worker
// resumes, even if the sender has closed the connection meanwhile; a restart drops it. A report request has no effect,
// so it ends when its caller disconnects.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	resumed, bootCount := w.resumed, w.bootCount
	w.mu.Unlock()
	if resumed == nil {
		w.mux.ServeHTTP(rw, r)
		return
	}
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(raw))
	var callerGone <-chan struct{}
	if r.Method == http.MethodGet {
		callerGone = r.Context().Done()
	}
	select {
	case <-resumed:
	case <-callerGone:
		return
	case <-w.stopped:
		return
	}
	w.mu.Lock()
	restarted := w.bootCount != bootCount
	w.mu.Unlock()
	if !restarted {
		w.mux.ServeHTTP(rw, r)
	}
}

func (w *Worker) serveReport(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	writeJSON(rw, http.StatusOK, w.report())
}

// checkEpoch responds 409 and returns false if the worker compares epochs and epoch is older than the highest seen.
// Otherwise it updates the highest epoch and returns true.
func (w *Worker) checkEpoch(rw http.ResponseWriter, epoch int64) bool {
	if w.faults.CompareEpochs && epoch < w.maxEpoch {
		writeJSON(rw, http.StatusConflict, map[string]any{"code": "stale_epoch", "max_epoch": w.maxEpoch})
		return false
	}
	w.maxEpoch = max(w.maxEpoch, epoch)
	return true
}

func (w *Worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	var req StartTask
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || req.TaskID == "" || req.LeaseMS <= 0 {
		writeJSON(rw, http.StatusBadRequest, map[string]string{"code": "invalid_request"})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if !w.checkEpoch(rw, req.Epoch) {
		return
	}
	if w.faults.Leaving {
		rw.Header().Set("Leaving", "true")
		rw.Header().Set("Not-Run", "true")
		writeJSON(rw, http.StatusServiceUnavailable, map[string]string{"code": "leaving"})
		return
	}
	t := w.tasks[req.TaskRef]
	if t == nil && w.pastNotAfter(req.NotAfterMS) {
		w.audit.recordLateStart(w.ID)
		writeJSON(rw, http.StatusPreconditionFailed, map[string]any{"code": "too_late", "clock_ms": w.leaseClockMS()})
		return
	}
	if t == nil {
		t = w.startTask(req)
	}
	writeJSON(rw, http.StatusOK, map[string]string{"worker_id": w.ID, "boot_id": w.bootID(), "state": t.State})
}

// startTask starts a task even if it does not fit the remaining capacity.
func (w *Worker) startTask(req StartTask) *task {
	now := w.leaseClock()
	t := &task{
		TaskReport: TaskReport{TaskRef: req.TaskRef, State: TaskRunning, Resources: req.Resources},
		startedAt:  now, leaseUntil: now + time.Duration(req.LeaseMS)*time.Millisecond,
	}
	_ = json.Unmarshal(req.Payload, &t.payload) // a task with a payload in another format runs for the declared time
	ms := t.payload.WorkMS
	if ms == 0 && req.Kind != "service" {
		ms = req.RunMS
	}
	t.untilStopped = req.Kind == "service" && ms == 0
	t.remaining = time.Duration(ms) * time.Millisecond
	if left, ok := w.checkpoints.load(req.TaskID); ok {
		t.remaining = left
	}
	w.tasks[req.TaskRef] = t
	w.audit.recordTaskRun(t.TaskID, t.payload)
	w.audit.markRunning(t.TaskID, w.place(t))
	if w.faults.FailAll {
		w.end(t, TaskFailed, 1)
	}
	assigned, used := w.load()
	w.audit.recordWorkerLoad(w.ID, w.capacity, assigned, used, 1)
	return t
}

// load returns the sums of the declared sizes and of the actual usage of the running tasks.
func (w *Worker) load() (assigned, used Resources) {
	for _, t := range w.tasks {
		if t.State == TaskRunning {
			assigned = assigned.add(t.Resources)
			used = used.add(w.usage(t))
		}
	}
	return assigned, used
}

// usage returns the actual usage of a task. A throttled task stays within its declared size.
func (w *Worker) usage(t *task) Resources {
	ratio := cmp.Or(t.payload.UsageRatio, w.faults.UsageRatio, 1)
	if t.Throttled {
		ratio = min(ratio, 1)
	}
	return t.Resources.scale(ratio)
}

// commandHandler returns a handler that decodes a TaskCommand, checks its epoch and calls handle with w.mu held.
func (w *Worker) commandHandler(handle func(http.ResponseWriter, *http.Request, TaskCommand)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var cmd TaskCommand
		if err := json.NewDecoder(r.Body).Decode(&cmd); err != nil {
			writeJSON(rw, http.StatusBadRequest, map[string]string{"code": "invalid_request"})
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.advance()
		if w.checkEpoch(rw, cmd.Epoch) {
			handle(rw, r, cmd)
		}
	}
}

func (w *Worker) renewLeases(rw http.ResponseWriter, _ *http.Request, cmd TaskCommand) {
	until := w.leaseClock() + time.Duration(cmd.LeaseMS)*time.Millisecond
	pastNotAfter := w.pastNotAfter(cmd.NotAfterMS)
	for _, ref := range cmd.Tasks {
		if t := w.findTask(ref); t != nil && t.State == TaskRunning && !pastNotAfter {
			t.leaseUntil = until
		}
	}
	writeJSON(rw, http.StatusOK, w.report())
}

// forgetTasks deletes the acknowledged tasks that have ended.
func (w *Worker) forgetTasks(rw http.ResponseWriter, _ *http.Request, cmd TaskCommand) {
	for _, ref := range cmd.Tasks {
		if t := w.findTask(ref); t != nil && t.State != TaskRunning {
			delete(w.tasks, t.TaskRef)
		}
	}
	writeJSON(rw, http.StatusOK, struct{}{})
}

func (w *Worker) controlTask(rw http.ResponseWriter, r *http.Request, cmd TaskCommand) {
	t := w.findTask(TaskRef{TaskID: r.PathValue("id"), Attempt: cmd.Attempt})
	if t == nil {
		writeJSON(rw, http.StatusNotFound, map[string]string{"code": "not_found"})
		return
	}
	action := r.PathValue("action")
	switch running := t.State == TaskRunning; {
	case action != "stop" && action != "throttle" && action != "checkpoint":
		http.NotFound(rw, r)
		return
	case !running:
	case action == "stop":
		w.end(t, TaskStopped, -1)
	case action == "checkpoint":
		w.checkpoints.save(t.TaskID, t.remaining)
		w.end(t, TaskCheckpointed, -1)
	case !t.Throttled:
		t.Throttled = true
		t.remaining *= throttleSlowdown
	}
	writeJSON(rw, http.StatusOK, map[string]string{"state": t.State})
}

// findTask returns the task that ref identifies, or nil. If attempt 0 was never started, it means the highest attempt.
func (w *Worker) findTask(ref TaskRef) *task {
	if t := w.tasks[ref]; t != nil || ref.Attempt != 0 {
		return t
	}
	var latest *task
	for _, t := range w.tasks {
		if t.TaskID == ref.TaskID && (latest == nil || t.Attempt > latest.Attempt) {
			latest = t
		}
	}
	return latest
}

func (w *Worker) bootID() string { return fmt.Sprintf("%s-boot-%d", w.ID, w.bootCount) }

func (w *Worker) report() Report {
	now := w.leaseClock()
	lag := time.Duration(w.faults.UsageLagMS) * time.Millisecond
	r := Report{
		WorkerID: w.ID, BootID: w.bootID(), MaxEpoch: w.maxEpoch, Capacity: w.capacity, Leaving: w.faults.Leaving,
		Tasks: make([]TaskReport, 0, len(w.tasks)),
	}
	if w.faults.Clock {
		r.ClockMS = w.leaseClockMS()
	}
	for _, t := range w.tasks {
		tr := t.TaskReport
		if t.State == TaskRunning {
			tr.RemainingLeaseMS = (t.leaseUntil - now).Milliseconds()
			if now-t.startedAt >= lag {
				tr.Usage = w.usage(t)
			}
		}
		r.Tasks = append(r.Tasks, tr)
	}
	slices.SortFunc(r.Tasks, func(a, b TaskReport) int {
		return cmp.Or(cmp.Compare(a.TaskID, b.TaskID), cmp.Compare(a.Attempt, b.Attempt))
	})
	return r
}
