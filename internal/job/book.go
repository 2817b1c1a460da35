package job

import (
	"strconv"
	"strings"
	"time"

	"github.com/greengagewing/greengagewing/internal/job/placement"
	"github.com/greengagewing/greengagewing/internal/job/worker"
	"github.com/greengagewing/greengagewing/internal/wait"
)

// The books: jobs, tasks, workers and the attempts that are placed on them. All of it is guarded by the partition's mu.

// job is a job on the owner's books.
type job struct {
	id          string
	spec        Spec
	fingerprint string
	at          time.Time
	decided     chan struct{} // closed once it is known whether the job was accepted
	accepted    bool

	tasks     []*task
	counts    map[State]int
	cancelled bool  // nothing new is started; remaining tasks end as endAs
	endState  State // Cancelled, or Failed when the job was given up
	reason    string
	endedAt   time.Time
	archived  bool // it is in an archive of the journal

	ticket      int64 // of the queued gang
	spread      *placement.Spread
	gang        gangState
	assignments int // placements on the books
}

func (j *job) ended() bool { return !j.endedAt.IsZero() }

// open returns the number of tasks that have not ended.
func (j *job) open() int { return j.counts[Pending] + j.counts[Starting] + j.counts[Running] }

func (j *job) state() State {
	switch {
	case j.ended():
		for _, s := range []State{Unknown, Failed, Cancelled} {
			if j.counts[s] > 0 {
				return s
			}
		}
		return Done
	case j.counts[Running] > 0:
		return Running
	case j.counts[Starting] > 0:
		return Starting
	default:
		return Pending
	}
}

func (j *job) status() Status {
	counts := make(map[State]int, len(j.counts))
	n := 0
	for s, c := range j.counts {
		if c > 0 {
			counts[s] = c
			n += c
		}
	}
	return Status{
		ID: j.id, Customer: j.spec.Customer, Key: j.spec.Key, Kind: j.spec.Kind, Class: j.spec.Class, State: j.state(),
		Reason: j.reason, Tasks: n, Counts: counts, AcceptedAt: j.at, EndedAt: j.endedAt,
	}
}

// task is one task of a job.
type task struct {
	job          *job
	idx          int
	id           string
	state        State
	size         Resources // declared, or observed in an earlier attempt if that was more
	current      *assignment
	maybeRunning bool // after a takeover: may be running somewhere
	finishing    bool // its result is being journaled
	ticket       int64
	lastAttempt  int64
	lastWorker   string   // of the finished attempt
	lastEnded    int64    // the last attempt whose end was handled
	failedOn     []string // workers
	failures     int
	startedAt    time.Time
}

func taskID(jobID string, idx int) string { return jobID + "-" + strconv.Itoa(idx) }

func splitTaskID(id string) (jobID string, idx int, ok bool) {
	i := strings.LastIndexByte(id, '-')
	if i < 0 {
		return "", 0, false
	}
	idx, err := strconv.Atoi(id[i+1:])
	return id[:i], idx, err == nil && idx >= 0
}

func (t *task) setState(s State) {
	t.job.counts[t.state]--
	t.state = s
	t.job.counts[s]++
}

// phase is how far the start of a placed attempt has come.
type phase int

const (
	phaseJournaling phase = iota // the start record is being journaled
	phaseQueued                  // to be sent
	phaseSent                    // possibly started
	phaseConfirmed
)

// stopKind says what follows when an attempt has stopped.
type stopKind int

const (
	stopNone     stopKind = iota
	stopEnd               // the job was cancelled or given up
	stopUndoGang          // the gang is undone
	stopMove              // checkpoint, then run elsewhere
	stopOveruse           // the task used more than the worker has; it fails unless it may run again
)

// assignment is an attempt of a task on the books of a worker.
type assignment struct {
	task            *task
	w               *workerInfo
	attempt         int64
	size            Resources // max(declared, observed)
	phase           phase
	sends           int
	inFlight        bool
	responseLostAt  time.Time // when the response to the last start was given up
	confirmedAt     time.Time
	leaseUntil      time.Time // the attempt has definitely ended by then; zero: never sent
	stop            stopKind
	stopAt          time.Time // when the stop was decided
	overuseSteps    int
	lastOveruseStep time.Time
}

// workerInfo is a worker on the owner's books.
type workerInfo struct {
	id, addr, domain, rack string

	node           *placement.Node // nil until the first report
	listed         bool
	leaving        bool
	journaled      bool // journaled, so that a successor waits for its report
	journaling     bool
	reported       bool // under this epoch
	bootID         string
	clockMS        int64
	clockAt        time.Time // when the report with clockMS arrived: the clock shows more by now
	lastSeen       time.Time
	missedRenewals int

	assignments map[string]*assignment       // by task ID
	unknown     map[worker.TaskRef]Resources // reported attempts that are not on the books
	used        Resources
	starts      []*assignment
	orders      []order
	startTurn   bool
	acks        []worker.TaskRef

	health workerHealth

	wakeCommands chan struct{} // capacity 1: starts or orders wait
	renewNow     chan struct{} // capacity 1: renew now
	stopLoops    func()
}

// action is an order for a task that is on a worker.
type action string

const (
	actionStop       action = "stop"
	actionThrottle   action = "throttle"
	actionCheckpoint action = "checkpoint"
)

type order struct {
	action action
	ref    worker.TaskRef
}

// customerUsage is what the tasks of a customer have on the books.
type customerUsage struct {
	size  Resources
	tasks int
}

// addAssignment puts an attempt on the books.
func (p *partition) addAssignment(pl *assignment) {
	t, w := pl.task, pl.w
	w.assignments[t.id] = pl
	t.current, t.lastAttempt = pl, pl.attempt
	t.job.assignments++
	p.setUsed(w, w.used.Plus(pl.size))
	u := p.usageByCustomer[t.job.spec.Customer]
	if u == nil {
		u = &customerUsage{}
		p.usageByCustomer[t.job.spec.Customer] = u
	}
	u.size = u.size.Plus(t.job.spec.Resources)
	u.tasks++
	p.updateServiceCounts(pl, 1)
}

// updateServiceCounts keeps the index informed of services: where they are, and what does not end by itself.
func (p *partition) updateServiceCounts(pl *assignment, by int) {
	if j := pl.task.job; j.spread != nil && pl.w.node != nil {
		j.spread.Count(pl.w.node, by)
		p.index.Pin(pl.w.node, j.spec.Resources.Times(by))
	}
}

// removeAssignment takes an attempt off the books. It is called only when the attempt certainly does not run.
func (p *partition) removeAssignment(pl *assignment) {
	t, w := pl.task, pl.w
	delete(w.assignments, t.id)
	t.current = nil
	t.job.assignments--
	p.setUsed(w, w.used.Minus(pl.size))
	u := p.usageByCustomer[t.job.spec.Customer]
	u.size = u.size.Minus(t.job.spec.Resources)
	if u.tasks--; u.tasks == 0 {
		delete(p.usageByCustomer, t.job.spec.Customer)
	}
	p.updateServiceCounts(pl, -1)
	wait.Signal(p.wakeScheduler)
}

func (p *partition) resizeAssignment(pl *assignment, size Resources) {
	p.setUsed(pl.w, pl.w.used.Minus(pl.size).Plus(size))
	pl.size = size
}

func (p *partition) setUsed(w *workerInfo, used Resources) {
	w.used = used
	if w.node != nil {
		p.index.SetUsed(w.node, used)
	}
}

// isCurrent reports whether an attempt is still on the books.
func (pl *assignment) isCurrent() bool { return pl.w.assignments[pl.task.id] == pl }

// requeue makes a task that certainly does not run wait for a place again.
func (p *partition) requeue(t *task, now time.Time, delay time.Duration) {
	t.setState(Pending)
	switch {
	case t.job.cancelled:
		p.endTask(t, t.job.endState, now)
	case t.job.spec.Kind == Gang:
		p.undoGang(t.job, now)
	default:
		p.enqueueTask(t, now, now.Add(delay))
	}
}

func (p *partition) enqueueTask(t *task, now, notBefore time.Time) {
	p.lastTicket++
	t.ticket = p.lastTicket
	p.queue.add(item{job: t.job, task: t, ticket: t.ticket, due: dueTime(t.job.spec, now), queuedAt: now}, now, notBefore)
	wait.Signal(p.wakeScheduler)
}

func (p *partition) enqueueGang(j *job, now, notBefore time.Time) {
	p.lastTicket++
	j.ticket = p.lastTicket
	p.queue.add(item{job: j, ticket: j.ticket, due: dueTime(j.spec, now), queuedAt: now}, now, notBefore)
	wait.Signal(p.wakeScheduler)
}

func (p *partition) enqueueJob(j *job, now time.Time) {
	if j.spec.Kind == Gang {
		p.enqueueGang(j, now, now)
		return
	}
	for _, t := range j.tasks {
		if t.state == Pending && t.current == nil && !t.finishing {
			p.enqueueTask(t, now, now)
		}
	}
}

// endTask sets the final state of a task that is not on the books.
func (p *partition) endTask(t *task, s State, now time.Time) {
	if t.state.Final() {
		if t.state != s {
			t.setState(s)
		}
		return
	}
	t.setState(s)
	t.maybeRunning, t.finishing = false, false
	p.openTasks--
	p.addToCounter("tasks_"+string(s), 1)
	p.endJobIfDone(t.job, now)
}

func (p *partition) endJobIfDone(j *job, now time.Time) {
	if j.ended() || j.open() > 0 || j.assignments > 0 {
		return
	}
	j.endedAt = now
	delete(p.deadlines, j.id)
	p.endReservation(j)
	p.endedJobs = append(p.endedJobs, j)
	j.spec.Payload = nil
	if j.counts[Unknown] == 0 {
		j.tasks, j.spread = nil, nil
	}
	p.addToCounter("jobs_"+string(j.state()), 1)
}

// markCancelled makes a job end: nothing new is started, and the cancellation loop stops what runs.
func (p *partition) markCancelled(j *job, endState State, reason string) {
	if j.cancelled || j.ended() {
		return
	}
	j.cancelled, j.endState, j.reason = true, endState, reason
	p.endReservation(j)
	p.cancels = append(p.cancels, j)
	wait.Signal(p.wakeCancel)
}

// requestStop decides that an attempt is to stop.
func (p *partition) requestStop(pl *assignment, kind stopKind, now time.Time) {
	if pl.stop == stopEnd || pl.stop == kind {
		return
	}
	pl.stop, pl.stopAt = kind, now
	switch {
	case pl.phase == phaseJournaling:
		return // decided when the record is durable
	case pl.phase == phaseQueued && pl.sends == 0:
		p.undoStart(pl, now, 0)
		return
	case pl.phase == phaseQueued:
		pl.phase = phaseSent // an earlier send may have started it
	}
	v := actionStop
	if kind == stopMove {
		v = actionCheckpoint
	}
	pl.w.order(v, worker.TaskRef{TaskID: pl.task.id, Attempt: pl.attempt})
}

const maxQueuedOrders = 256 // per worker; what does not fit is ordered again after the next report

func (w *workerInfo) order(v action, ref worker.TaskRef) {
	if len(w.orders) < maxQueuedOrders {
		w.orders = append(w.orders, order{action: v, ref: ref})
		wait.Signal(w.wakeCommands)
	}
}

// undoStart takes back an attempt that certainly had no effect.
func (p *partition) undoStart(pl *assignment, now time.Time, delay time.Duration) {
	t := pl.task
	p.removeAssignment(pl)
	if !t.job.spec.Idempotent {
		p.journalBestEffort(record{T: recordVoid, At: now, Job: t.job.id, Task: t.idx, Attempt: pl.attempt})
	}
	p.requeue(t, now, delay)
	p.endJobIfDone(t.job, now)
}

// handleLostAttempt handles an attempt that has ended without a result: its lease expired or its worker does not know it any more.
func (p *partition) handleLostAttempt(pl *assignment, now time.Time) {
	t := pl.task
	p.removeAssignment(pl)
	switch {
	case t.job.spec.Idempotent:
		p.requeue(t, now, 0)
	case t.job.cancelled && pl.phase == phaseConfirmed && pl.stop == stopEnd:
		p.endTask(t, t.job.endState, now)
	default:
		p.endTaskUnknown(t, now)
	}
	p.requeueUndoneGang(t.job, now)
	p.endJobIfDone(t.job, now)
}

func (p *partition) endTaskUnknown(t *task, now time.Time) {
	p.endTask(t, Unknown, now)
	p.journalBestEffort(record{T: recordResult, At: now, Job: t.job.id, Task: t.idx, Attempt: t.lastAttempt, State: Unknown})
	if t.job.spec.Kind == Gang {
		p.markCancelled(t.job, Failed, "a task of the gang was lost")
	}
}
