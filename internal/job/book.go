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
	endAs     State // Cancelled, or Failed when the job was given up
	reason    string
	endedAt   time.Time
	archived  bool // it is in an archive of the journal

	ticket int64 // of the queued gang
	spread *placement.Spread
	gang   gangState
	placed int // placements on the books
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
	job         *job
	idx         int
	id          string
	state       State
	size        Resources // declared, or observed in an earlier attempt if that was more
	place       *placed
	held        bool // after a takeover: may be running somewhere
	finishing   bool // its result is being journaled
	ticket      int64
	lastAttempt int64
	lastWorker  string   // of the finished attempt
	closed      int64    // the last attempt whose end was handled
	failedOn    []string // workers
	failures    int
	startedAt   time.Time
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
	phaseJournal phase = iota // the start record is being journaled
	phaseSend                 // to be sent
	phaseSent                 // possibly started
	phaseConfirmed
)

// stopKind says what follows when an attempt has stopped.
type stopKind int

const (
	stopNone    stopKind = iota
	stopEnd              // the job was cancelled or given up
	stopUndo             // the gang is undone
	stopMove             // checkpoint, then run elsewhere
	stopOveruse          // the task used more than the worker has; it fails unless it may run again
)

// placed is an attempt of a task on the books of a worker.
type placed struct {
	task       *task
	w          *workerBook
	attempt    int64
	size       Resources // max(declared, observed)
	phase      phase
	sends      int
	inFlight   bool
	lostAt     time.Time // when the response to the last start was given up
	confirmed  time.Time
	leaseUntil time.Time // the attempt has definitely ended by then; zero: never sent
	stop       stopKind
	stopAt     time.Time // when the stop was decided
	overStage  int
	overSince  time.Time
}

// workerBook is a worker on the owner's books.
type workerBook struct {
	id, addr, domain, rack string

	node      *placement.Node // nil until the first report
	listed    bool
	leaving   bool
	enrolled  bool // journaled, so that a successor waits for its report
	enrolling bool
	reported  bool // under this epoch
	bootID    string
	clockMS   int64
	clockAt   time.Time // when the report with clockMS arrived: the clock shows more by now
	lastSeen  time.Time
	misses    int

	placed  map[string]*placed           // by task ID
	unknown map[worker.TaskRef]Resources // reported attempts that are not on the books
	used    Resources
	starts  []*placed
	orders  []order
	turn    bool
	acks    []worker.TaskRef

	health workerHealth

	wake chan struct{} // capacity 1: starts or orders wait
	kick chan struct{} // capacity 1: renew now
	quit func()
}

// verb is an order for a task that is on a worker.
type verb string

const (
	verbStop       verb = "stop"
	verbThrottle   verb = "throttle"
	verbCheckpoint verb = "checkpoint"
)

type order struct {
	verb verb
	ref  worker.TaskRef
}

// customerUse is what the tasks of a customer have on the books.
type customerUse struct {
	size  Resources
	tasks int
}

// occupy puts an attempt on the books.
func (p *partition) occupy(pl *placed) {
	t, w := pl.task, pl.w
	w.placed[t.id] = pl
	t.place, t.lastAttempt = pl, pl.attempt
	t.job.placed++
	p.setUsed(w, w.used.Plus(pl.size))
	u := p.uses[t.job.spec.Customer]
	if u == nil {
		u = &customerUse{}
		p.uses[t.job.spec.Customer] = u
	}
	u.size = u.size.Plus(t.job.spec.Resources)
	u.tasks++
	p.countService(pl, 1)
}

// countService keeps the index informed of services: where they are, and what does not end by itself.
func (p *partition) countService(pl *placed, by int) {
	if j := pl.task.job; j.spread != nil && pl.w.node != nil {
		j.spread.Count(pl.w.node, by)
		p.index.Pin(pl.w.node, j.spec.Resources.Times(by))
	}
}

// release takes an attempt off the books. It is called only when the attempt certainly does not run.
func (p *partition) release(pl *placed) {
	t, w := pl.task, pl.w
	delete(w.placed, t.id)
	t.place = nil
	t.job.placed--
	p.setUsed(w, w.used.Minus(pl.size))
	u := p.uses[t.job.spec.Customer]
	u.size = u.size.Minus(t.job.spec.Resources)
	if u.tasks--; u.tasks == 0 {
		delete(p.uses, t.job.spec.Customer)
	}
	p.countService(pl, -1)
	wait.Signal(p.wake)
}

func (p *partition) resize(pl *placed, size Resources) {
	p.setUsed(pl.w, pl.w.used.Minus(pl.size).Plus(size))
	pl.size = size
}

func (p *partition) setUsed(w *workerBook, used Resources) {
	w.used = used
	if w.node != nil {
		p.index.SetUsed(w.node, used)
	}
}

// current reports whether an attempt is still on the books.
func (pl *placed) current() bool { return pl.w.placed[pl.task.id] == pl }

// requeue makes a task that certainly does not run wait for a place again.
func (p *partition) requeue(t *task, now time.Time, delay time.Duration) {
	t.setState(Pending)
	switch {
	case t.job.cancelled:
		p.endTask(t, t.job.endAs, now)
	case t.job.spec.Kind == Gang:
		p.gangLost(t.job, now)
	default:
		p.enqueueTask(t, now, now.Add(delay))
	}
}

func (p *partition) enqueueTask(t *task, now, notBefore time.Time) {
	p.tickets++
	t.ticket = p.tickets
	p.queue.add(item{job: t.job, task: t, ticket: t.ticket, due: dueTime(t.job.spec, now), since: now}, now, notBefore)
	wait.Signal(p.wake)
}

func (p *partition) enqueueGang(j *job, now, notBefore time.Time) {
	p.tickets++
	j.ticket = p.tickets
	p.queue.add(item{job: j, ticket: j.ticket, due: dueTime(j.spec, now), since: now}, now, notBefore)
	wait.Signal(p.wake)
}

func (p *partition) enqueueJob(j *job, now time.Time) {
	if j.spec.Kind == Gang {
		p.enqueueGang(j, now, now)
		return
	}
	for _, t := range j.tasks {
		if t.state == Pending && t.place == nil && !t.finishing {
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
	t.held, t.finishing = false, false
	p.openTasks--
	p.count("tasks_"+string(s), 1)
	p.checkEnded(t.job, now)
}

func (p *partition) checkEnded(j *job, now time.Time) {
	if j.ended() || j.open() > 0 || j.placed > 0 {
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
	p.count("jobs_"+string(j.state()), 1)
}

// abandon makes a job end: nothing new is started, and the cancellation loop stops what runs.
func (p *partition) abandon(j *job, endAs State, reason string) {
	if j.cancelled || j.ended() {
		return
	}
	j.cancelled, j.endAs, j.reason = true, endAs, reason
	p.endReservation(j)
	p.cancels = append(p.cancels, j)
	wait.Signal(p.wakeCancel)
}

// stopPlaced decides that an attempt is to stop.
func (p *partition) stopPlaced(pl *placed, kind stopKind, now time.Time) {
	if pl.stop == stopEnd || pl.stop == kind {
		return
	}
	pl.stop, pl.stopAt = kind, now
	switch {
	case pl.phase == phaseJournal:
		return // decided when the record is durable
	case pl.phase == phaseSend && pl.sends == 0:
		p.unstart(pl, now, 0)
		return
	case pl.phase == phaseSend:
		pl.phase = phaseSent // an earlier send may have started it
	}
	v := verbStop
	if kind == stopMove {
		v = verbCheckpoint
	}
	pl.w.order(v, worker.TaskRef{TaskID: pl.task.id, Attempt: pl.attempt})
}

const maxOrders = 256 // per worker; what does not fit is ordered again after the next report

func (w *workerBook) order(v verb, ref worker.TaskRef) {
	if len(w.orders) < maxOrders {
		w.orders = append(w.orders, order{verb: v, ref: ref})
		wait.Signal(w.wake)
	}
}

// unstart takes back an attempt that certainly had no effect.
func (p *partition) unstart(pl *placed, now time.Time, delay time.Duration) {
	t := pl.task
	p.release(pl)
	if !t.job.spec.Idempotent {
		p.journalAsync(record{T: recordVoid, At: now, Job: t.job.id, Task: t.idx, Attempt: pl.attempt})
	}
	p.requeue(t, now, delay)
	p.checkEnded(t.job, now)
}

// gone handles an attempt that has ended without a result: its lease expired or its worker does not know it any more.
func (p *partition) gone(pl *placed, now time.Time) {
	t := pl.task
	p.release(pl)
	switch {
	case t.job.spec.Idempotent:
		p.requeue(t, now, 0)
	case t.job.cancelled && pl.phase == phaseConfirmed && pl.stop == stopEnd:
		p.endTask(t, t.job.endAs, now)
	default:
		p.endUnknown(t, now)
	}
	p.gangStep(t.job, now)
	p.checkEnded(t.job, now)
}

func (p *partition) endUnknown(t *task, now time.Time) {
	p.endTask(t, Unknown, now)
	p.journalAsync(record{T: recordResult, At: now, Job: t.job.id, Task: t.idx, Attempt: t.lastAttempt, State: Unknown})
	if t.job.spec.Kind == Gang {
		p.abandon(t.job, Failed, "a task of the gang was lost")
	}
}
