package job

import (
	"strconv"
	"strings"
	"time"

	"github.com/greengagewing/greengagewing/internal/job/placement"
	"github.com/greengagewing/greengagewing/internal/job/worker"
	"github.com/greengagewing/greengagewing/internal/wait"
)

// This file has the in-memory state of a partition: jobs, tasks, workers and the assignments of tasks to workers. All of it is
// guarded by partition.mu.

// job is the owner's in-memory state of a job.
type job struct {
	id          string
	spec        Spec
	fingerprint string
	at          time.Time     // time of acceptance
	decided     chan struct{} // closed once the job is accepted or discarded
	accepted    bool

	tasks     []*task
	counts    map[State]int
	cancelled bool  // no more tasks are started; the remaining ones end in endState
	endState  State // Cancelled, or Failed if the partition gave the job up
	reason    string
	endedAt   time.Time
	archived  bool // it is in an archive row, so snapshots leave it out

	ticket      int64             // of the queue item that holds the whole gang; an item with another ticket is void
	spread      *placement.Spread // of a service: its tasks per failure domain, rack and worker
	gang        gangState
	assignments int // number of current assignments
}

func (j *job) ended() bool { return !j.endedAt.IsZero() }

// open returns the number of tasks that have not reached a final state.
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
	size         Resources   // the declared size, or the larger one observed in an earlier attempt
	current      *assignment // nil if the task is not assigned to a worker
	maybeRunning bool        // after a takeover: may still run on a worker that has not reported yet
	finishing    bool        // its result is being written to the journal
	ticket       int64       // of its queue item; an item with another ticket is void
	lastAttempt  int64       // number of the latest attempt
	lastWorker   string      // worker of the attempt that is finishing
	lastEnded    int64       // the last attempt whose end was handled; it and earlier ones are not adopted
	failedOn     []string    // IDs of the workers on which it failed
	failures     int
	startedAt    time.Time // of the current attempt
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

// phase is the progress of starting an assigned task.
type phase int

const (
	phaseJournaling phase = iota // the start record is being written to the journal
	phaseQueued                  // the start waits to be sent to the worker
	phaseSent                    // the start was sent; whether the task runs is not known
	phaseConfirmed               // the worker has the task
)

// stopKind is the reason for stopping an attempt. It decides what happens to the task afterwards.
type stopKind int

const (
	stopNone     stopKind = iota
	stopEnd               // the job was cancelled or has failed; the task ends
	stopUndoGang          // the start of the gang is undone; it is queued again as a whole
	stopMove              // the task is checkpointed and then runs on another worker
	stopOveruse           // the tasks used more than the worker has; this one fails unless it is idempotent
)

// assignment is one attempt of a task, assigned to a worker.
type assignment struct {
	task            *task
	w               *workerInfo
	attempt         int64
	size            Resources // the larger of the declared and the observed size
	phase           phase
	sends           int       // starts sent so far
	inFlight        bool      // a start call is in progress
	responseLostAt  time.Time // when the call of the last start ended without a response
	confirmedAt     time.Time
	leaseUntil      time.Time // the lease has expired on the worker by then, so the attempt has ended; zero: never sent
	stop            stopKind
	stopAt          time.Time // when requestStop was called
	overuseSteps    int       // steps taken against its overuse; see reduceOveruse
	lastOveruseStep time.Time // time of the last step
}

// workerInfo is the owner's in-memory state of a worker.
type workerInfo struct {
	id, addr, domain, rack string

	node           *placement.Node // entry in the placement index; nil until the first report
	listed         bool            // in the membership list
	leaving        bool
	journaled      bool // a record in the journal names the worker, so that a successor waits for its report
	journaling     bool // this record is being written
	reported       bool // since this owner took over
	bootID         string
	clockMS        int64
	clockAt        time.Time // when the report with clockMS arrived; the worker's clock has advanced since
	lastSeen       time.Time
	missedRenewals int // consecutive

	assignments map[string]*assignment       // by task ID
	unknown     map[worker.TaskRef]Resources // running attempts that the worker reports but that are not assigned to it
	used        Resources
	starts      []*assignment
	orders      []order
	startTurn   bool             // alternates: the next call is a start, if one is queued, or else an order
	acks        []worker.TaskRef // journaled results to be acknowledged

	health workerHealth

	wakeCommands chan struct{} // capacity 1: signals that starts or orders are queued
	renewNow     chan struct{} // capacity 1: asks for a renewal before the next one is due
	stopLoops    func()
}

// action is what an order asks a worker to do with a running task.
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

// customerUsage is the sum of a customer's assigned tasks, at their declared sizes. It is compared with the allowance.
type customerUsage struct {
	size  Resources
	tasks int
}

// addAssignment adds an assignment to the state of its task, job, worker and customer.
func (p *partition) addAssignment(pl *assignment) {
	t, w := pl.task, pl.w
	w.assignments[t.id] = pl
	t.current, t.lastAttempt = pl, pl.attempt
	t.job.assignments++
	p.setUsed(w, w.used.Add(pl.size))
	u := p.usageByCustomer[t.job.spec.Customer]
	if u == nil {
		u = &customerUsage{}
		p.usageByCustomer[t.job.spec.Customer] = u
	}
	u.size = u.size.Add(t.job.spec.Resources)
	u.tasks++
	p.updateServiceCounts(pl, 1)
}

// updateServiceCounts adds by to the number of a service's tasks on a worker, in the job's spread and in the index. The
// index counts their resources apart, because services do not end by themselves.
func (p *partition) updateServiceCounts(pl *assignment, by int) {
	if j := pl.task.job; j.spread != nil && pl.w.node != nil {
		j.spread.Count(pl.w.node, by)
		p.index.AddServiceUsed(pl.w.node, j.spec.Resources.Mul(by))
	}
}

// removeAssignment removes an assignment. It is called only when the attempt certainly does not run.
func (p *partition) removeAssignment(pl *assignment) {
	t, w := pl.task, pl.w
	delete(w.assignments, t.id)
	t.current = nil
	t.job.assignments--
	p.setUsed(w, w.used.Sub(pl.size))
	u := p.usageByCustomer[t.job.spec.Customer]
	u.size = u.size.Sub(t.job.spec.Resources)
	if u.tasks--; u.tasks == 0 {
		delete(p.usageByCustomer, t.job.spec.Customer)
	}
	p.updateServiceCounts(pl, -1)
	wait.Signal(p.wakeScheduler)
}

// resizeAssignment changes the size that an assignment takes of its worker.
func (p *partition) resizeAssignment(pl *assignment, size Resources) {
	p.setUsed(pl.w, pl.w.used.Sub(pl.size).Add(size))
	pl.size = size
}

// setUsed sets the resources of a worker that count as used, also in the placement index.
func (p *partition) setUsed(w *workerInfo, used Resources) {
	w.used = used
	if w.node != nil {
		p.index.SetUsed(w.node, used)
	}
}

// isCurrent reports whether this is still the assignment of its task.
func (pl *assignment) isCurrent() bool { return pl.w.assignments[pl.task.id] == pl }

// requeue queues a task that certainly does not run, or ends it if its job is cancelled. A gang is undone as a whole.
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

// enqueueTask queues a task, which is not placed before notBefore.
func (p *partition) enqueueTask(t *task, now, notBefore time.Time) {
	p.lastTicket++
	t.ticket = p.lastTicket
	p.queue.add(item{job: t.job, task: t, ticket: t.ticket, due: dueTime(t.job.spec, now), queuedAt: now}, now, notBefore)
	wait.Signal(p.wakeScheduler)
}

// enqueueGang queues a gang as one item, which is not placed before notBefore.
func (p *partition) enqueueGang(j *job, now, notBefore time.Time) {
	p.lastTicket++
	j.ticket = p.lastTicket
	p.queue.add(item{job: j, ticket: j.ticket, due: dueTime(j.spec, now), queuedAt: now}, now, notBefore)
	wait.Signal(p.wakeScheduler)
}

// enqueueJob queues the pending tasks of a job, or a gang as a whole.
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

// endTask sets the final state of a task that is not assigned to a worker.
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

// endJobIfDone ends a job once all its tasks have ended and none is assigned to a worker. The tasks themselves are dropped from
// memory, unless the result of one with an unknown outcome may still arrive.
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

// markCancelled makes a job end in endState: no more of its tasks are started, and the cancellation loop stops those that run.
func (p *partition) markCancelled(j *job, endState State, reason string) {
	if j.cancelled || j.ended() {
		return
	}
	j.cancelled, j.endState, j.reason = true, endState, reason
	p.endReservation(j)
	p.cancels = append(p.cancels, j)
	wait.Signal(p.wakeCancel)
}

// requestStop marks an attempt as to be stopped and sends the order if a start may have reached the worker. An attempt whose
// start was never sent is taken back instead.
func (p *partition) requestStop(pl *assignment, kind stopKind, now time.Time) {
	if pl.stop == stopEnd || pl.stop == kind {
		return
	}
	pl.stop, pl.stopAt = kind, now
	switch {
	case pl.phase == phaseJournaling:
		return // sendJournaledStarts handles it once the start record is durable
	case pl.phase == phaseQueued && pl.sends == 0:
		p.undoStart(pl, now, 0)
		return
	case pl.phase == phaseQueued:
		pl.phase = phaseSent // an earlier start may have reached the worker
	}
	v := actionStop
	if kind == stopMove {
		v = actionCheckpoint
	}
	pl.w.order(v, worker.TaskRef{TaskID: pl.task.id, Attempt: pl.attempt})
}

const maxQueuedOrders = 256 // per worker; orders beyond it are dropped and issued again after the next report

// order queues an order for a worker.
func (w *workerInfo) order(v action, ref worker.TaskRef) {
	if len(w.orders) < maxQueuedOrders {
		w.orders = append(w.orders, order{action: v, ref: ref})
		wait.Signal(w.wakeCommands)
	}
}

// undoStart takes back an attempt that certainly never started, and queues its task again.
func (p *partition) undoStart(pl *assignment, now time.Time, delay time.Duration) {
	t := pl.task
	p.removeAssignment(pl)
	if !t.job.spec.Idempotent {
		p.journalBestEffort(record{T: recordVoid, At: now, Job: t.job.id, Task: t.idx, Attempt: pl.attempt})
	}
	p.requeue(t, now, delay)
	p.endJobIfDone(t.job, now)
}

// handleLostAttempt handles an attempt that ended without a result: its lease expired or its worker no longer has it.
// An idempotent task runs again; a non-idempotent one ends as unknown, because it may have run to completion.
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

// endTaskUnknown ends a non-idempotent task that was lost and may have run. The rest of its gang fails.
func (p *partition) endTaskUnknown(t *task, now time.Time) {
	p.endTask(t, Unknown, now)
	p.journalBestEffort(record{T: recordResult, At: now, Job: t.job.id, Task: t.idx, Attempt: t.lastAttempt, State: Unknown})
	if t.job.spec.Kind == Gang {
		p.markCancelled(t.job, Failed, "a task of the gang was lost")
	}
}
