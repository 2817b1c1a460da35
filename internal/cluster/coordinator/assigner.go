package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/cluster/delegate"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

const (
	// maxDelegates is the maximum number of delegates, since each of them requests orders many times a second.
	maxDelegates = 32
	// firstDelegatesWait is how long a new owner waits for delegates to join before it assigns workers to them, and
	// noDelegatesTimeout how long an owner without delegates waits before it calls all workers itself.
	firstDelegatesWait = 60 * time.Millisecond
	noDelegatesTimeout = 600 * time.Millisecond
	// delegateTimeout is the time without a call from a delegate after which its workers are assigned to others. The runs on
	// these workers continue: the new delegate renews their leases and reads the reports.
	delegateTimeout = 900 * time.Millisecond
	// assignInterval is the maximum time until an assignment follows a change of the list of workers.
	assignInterval = 50 * time.Millisecond
	// rejoinDelay is how long a delegate that timed out must wait before it can become a delegate again.
	rejoinDelay = time.Second
)

// runKey identifies a run on a worker.
type runKey struct {
	task workload.TaskID
	run  int64
}

// assignment is a worker with its current executor and the starts and stops whose outcome the executor has not reported.
type assignment struct {
	executor     *executor
	generation   int64 // fencing token of the assignment: events with an earlier one are ignored
	fence        int64 // fences off calls of earlier executors and those for earlier incarnations; see delegate.FencingToken
	info         scheduler.WorkerInfo
	restarts     int   // of the worker, as scheduler.Restarts tells, when the fence was raised
	lastAckedEnd int64 // number of the last ended run that the executor may acknowledge to the worker, since its record is durable
	// reported is set once the executor has reported. Before that the worker may have restarted with the same start time unseen, so the
	// executor must not acknowledge ends by the numbers of the earlier process.
	reported bool
	// executorRestarts is delegate.Report.Restarts of the last report.
	executorRestarts int
	starts           map[runKey]delegate.StartOrder
	stops            map[runKey]delegate.StopOrder
}

// assigner assigns the workers to executors and sends them the owner's orders. The callers of its methods hold the term's mu.
type assigner struct {
	t                *term
	local            *executor
	remote           map[string]*executor // delegates by host
	rejoinAt         map[string]time.Time // hosts that timed out, and when they may be delegates again
	assignments      map[string]*assignment
	lastNumber       int64 // see nextNumber
	assignmentsValid bool  // every worker has an executor, chosen for the current set of delegates
	workersListed    bool  // the list of workers has been read
	assignedAt       time.Time
	startedAt        time.Time
	noDelegatesSince time.Time
	lastTimeoutCheck time.Time // when dropTimedOut last ran
	graceUntil       time.Time // no delegate times out before this
}

func newAssigner(ctx context.Context, t *term) *assigner {
	as := &assigner{t: t, remote: map[string]*executor{}, rejoinAt: map[string]time.Time{}, assignments: map[string]*assignment{},
		startedAt: time.Now(), noDelegatesSince: time.Now(), lastTimeoutCheck: time.Now()}
	clock := t.deps.Clock() // read before the owner's time, as for syncClock
	as.local = newExecutor(time.Now(), clock)
	as.local.agent = delegate.NewAgent(ctx, t.cfg.Delegate, delegate.Deps{Client: t.deps.Workers, Clock: t.deps.Clock, Log: t.deps.Log},
		t.ownership.Epoch(), t.ownership.LeaseValid, t.applyLocalEvent)
	return as
}

// wantsDelegates reports whether the owner has more workers than it calls itself.
func (as *assigner) wantsDelegates() bool { return as.t.sched.WorkerCount() > as.t.cfg.OwnWorkers }

// update drops delegates that have timed out. It assigns workers if some need an executor, and otherwise every assignInterval, when
// the list of workers may have changed.
func (as *assigner) update(now time.Time) {
	as.dropTimedOut(now)
	if as.assignmentsValid && now.Sub(as.assignedAt) < assignInterval {
		return
	}
	as.assignedAt = now
	as.assignWorkers(now, as.t.sched.Workers())
}

// assignWorkers assigns an executor to each worker that needs one, and removes the assignments of workers that are not listed any
// more.
func (as *assigner) assignWorkers(now time.Time, workers []scheduler.WorkerInfo) {
	listed := make(map[string]bool, len(workers))
	chooseExecutor := as.executorChooser(now, len(workers))
	settled := true // no worker has to wait for an executor
	for _, info := range workers {
		listed[info.ID] = true
		a := as.assignments[info.ID]
		if a == nil {
			a = &assignment{info: info, starts: map[runKey]delegate.StartOrder{}, stops: map[runKey]delegate.StopOrder{}}
			as.assignments[info.ID] = a
		}
		as.updateWorker(a, info)
		as.sendAcks([]string{info.ID})
		if a.executor == nil || a.executor.ended || !as.assignmentsValid {
			ex := chooseExecutor(info)
			settled = settled && ex != nil
			if ex != nil && ex != a.executor {
				as.assignTo(a, ex)
			}
		}
	}
	as.assignmentsValid = settled
	for id, a := range as.assignments {
		if !listed[id] {
			a.sendRelease()
			delete(as.assignments, id)
		}
	}
	as.local.agent.SetRenewPollTimeout(delegate.RenewPollTimeout(len(as.assignments)))
}

// updateWorker stores a worker's entry in its assignment, and passes it on to the executor if the worker was restarted, has
// another address or drains.
func (as *assigner) updateWorker(a *assignment, info scheduler.WorkerInfo) {
	restarts := as.t.sched.Restarts(info.ID)
	sameIncarnation := info.Incarnation == a.info.Incarnation
	if sameIncarnation && restarts == a.restarts && info.Address == a.info.Address && info.Draining == a.info.Draining {
		a.info = info
		return
	}
	if !sameIncarnation || restarts != a.restarts {
		a.restarts = restarts
		a.lastAckedEnd = 0
		a.fence = as.nextNumber()
	}
	if !sameIncarnation {
		clear(a.starts)
		clear(a.stops)
	}
	a.info = info
	if a.executor != nil {
		a.executor.send(delegate.Order{Assign: as.assignOrder(a)})
	}
}

// assignOrder returns the order that assigns a worker to its executor, or updates the worker's entry there.
func (as *assigner) assignOrder(a *assignment) *delegate.Assignment {
	return &delegate.Assignment{Worker: a.info, Generation: a.generation, LastAckedEnd: a.lastAckedEnd,
		FencingToken:     delegate.FencingToken(as.t.ownership.Epoch(), a.fence),
		MayGetStaleCalls: as.t.sched.MayGetStaleCalls(a.info.ID), FencesClockJumps: true, Restarts: a.executorRestarts}
}

// nextNumber returns the next generation or fence. They rise within a term.
func (as *assigner) nextNumber() int64 {
	as.lastNumber++
	return as.lastNumber
}

// sendRelease orders the executor to stop calling the worker.
func (a *assignment) sendRelease() {
	if a.executor != nil {
		a.executor.send(delegate.Order{Release: a.info.ID})
	}
}

// assignTo assigns a worker to an executor and resends the orders whose outcome the previous executor has not reported. That
// is safe: a worker starts a run at most once, and a stop may be repeated.
func (as *assigner) assignTo(a *assignment, ex *executor) {
	if old := a.executor; old != nil {
		a.sendRelease()
		// The time of the plan may be long ago, and the old executor has extended the lease since.
		as.t.sched.ExtendLease(a.info.ID, time.Now().Add(old.maxPermit()+as.t.leaseBound(a.info.ID)))
	}
	a.generation = as.nextNumber()
	a.executor, a.fence = ex, a.generation
	a.lastAckedEnd, a.reported, a.executorRestarts = 0, false, 0
	ex.send(delegate.Order{Assign: as.assignOrder(a)})
	for k, s := range a.stops {
		delete(a.starts, k) // a run that is being stopped need not be started
		s.Generation = a.generation
		a.stops[k] = s
		ex.send(delegate.Order{Stop: &s})
	}
	for k, s := range a.starts {
		if !as.t.sched.StartPending(a.info.ID, s.Task, s.Run) {
			delete(a.starts, k)
			continue
		}
		as.t.sched.NoteStartRepeated(time.Now(), a.info.ID, s.Task, s.Run)
		s.Generation, s.Repeated = a.generation, true
		a.starts[k] = s
		ex.send(delegate.Order{Start: &s})
	}
}

// executorChooser returns a function that chooses the executor of a worker. That function returns nil while the worker has to
// wait for an executor.
func (as *assigner) executorChooser(now time.Time, workers int) func(scheduler.WorkerInfo) *executor {
	own := func(scheduler.WorkerInfo) *executor { return as.local }
	if workers <= as.t.cfg.OwnWorkers {
		return own
	}
	if len(as.remote) > 0 {
		if now.Sub(as.startedAt) < firstDelegatesWait || !as.t.storedDelegated {
			return func(scheduler.WorkerInfo) *executor { return nil }
		}
		hosts := make([]candidate, 0, len(as.remote))
		for _, ex := range as.remote {
			hosts = append(hosts, candidate{ex.host, ex.domain})
		}
		return func(w scheduler.WorkerInfo) *executor { return as.remote[pickDelegate(w.ID, w.FailureDomain, hosts)] }
	}
	if now.Sub(as.noDelegatesSince) < noDelegatesTimeout {
		return func(scheduler.WorkerInfo) *executor { return nil }
	}
	return own
}

// dropTimedOut drops delegates whose last call is longer ago than delegateTimeout. If the owner itself was paused and could
// not receive calls, it first gives all delegates time to call again.
func (as *assigner) dropTimedOut(now time.Time) {
	if now.Sub(as.lastTimeoutCheck) > delegateTimeout/3 {
		as.graceUntil = now.Add(delegateTimeout / 2)
	}
	as.lastTimeoutCheck = now
	if now.Before(as.graceUntil) {
		return
	}
	for host, ex := range as.remote {
		if silence := now.Sub(ex.lastCall); silence > delegateTimeout {
			as.rejoinAt[host] = now.Add(rejoinDelay)
			as.dropDelegate(now, ex, "silent", zap.Duration("silence", silence))
		}
	}
}

// dropDelegate ends the session of a delegate. The next plan assigns its workers to other executors, or lets them wait for one.
func (as *assigner) dropDelegate(now time.Time, ex *executor, reason string, fields ...zap.Field) {
	as.t.log.Warn("delegate lost", append(fields, zap.String("delegate", ex.host), zap.String("session", ex.session),
		zap.String("reason", reason), zap.Int("orders_unanswered", len(ex.unacked)))...)
	delete(as.remote, ex.host)
	ex.endSession()
	as.assignmentsValid = false
	if len(as.remote) == 0 {
		as.noDelegatesSince = now
	}
}

// admit returns the executor of a host's session. It starts a new session if the owner needs another delegate. It returns
// nil if the owner needs none, if the host timed out less than rejoinDelay ago, or if the host continues a session that the
// owner does not know.
func (as *assigner) admit(now time.Time, r delegate.OrdersRequest, arrived time.Time) *executor {
	if ex := as.remote[r.Host]; ex != nil {
		if ex.session == r.Session {
			ex.syncClock(arrived, r.Now)
			return ex
		}
		as.dropDelegate(now, ex, "the host has started another session")
	}
	if r.After > 0 || !as.wantsDelegates() || len(as.remote) >= maxDelegates || now.Before(as.rejoinAt[r.Host]) {
		return nil
	}
	ex := newExecutor(arrived, r.Now)
	ex.host, ex.domain, ex.session, ex.lastCall, ex.ordersReady = r.Host, r.FailureDomain, r.Session, now, make(chan struct{}, 1)
	as.remote[r.Host] = ex
	as.assignmentsValid = false
	as.t.delegated = true
	as.t.log.Info("delegate joined", zap.String("delegate", r.Host), zap.String("session", r.Session), zap.Int("delegates", len(as.remote)))
	return ex
}

// sendStart sends a start to the worker's executor. It reports false if the worker has no executor or was restarted.
func (as *assigner) sendStart(s scheduler.Start) bool {
	a := as.assignments[s.Worker.ID]
	if a == nil || a.executor == nil || a.info.Incarnation != s.Worker.Incarnation {
		return false
	}
	o := delegate.StartOrder{Task: s.Task, Run: s.Run, WorkerID: s.Worker.ID, Incarnation: s.Worker.Incarnation, Generation: a.generation,
		Payload: s.Payload, Checkpoint: s.Checkpoint, Ticket: s.Ticket, Waited: s.Waited}
	a.starts[runKey{s.Task, s.Run}] = o
	a.executor.send(delegate.Order{Start: &o})
	return true
}

// sendStop sends a stop to the worker's executor. If the worker has none, the next one gets the stop.
func (as *assigner) sendStop(s scheduler.Stop) {
	a := as.assignments[s.Worker.ID]
	if a == nil || !as.t.sched.IsPresent(s.Worker.ID, s.Worker.Incarnation) {
		return // the run has ended: the worker was restarted, or removed after its last run
	}
	as.updateWorker(a, s.Worker) // the executor ignores orders for another process of the worker than it knows
	o := delegate.StopOrder{Task: s.Task, Run: s.Run, WorkerID: s.Worker.ID, Incarnation: s.Worker.Incarnation, Generation: a.generation, Reason: s.Reason}
	a.stops[runKey{s.Task, s.Run}] = o
	if a.executor != nil {
		a.executor.send(delegate.Order{Stop: &o})
	}
}

// sendAcks tells the executors of these workers which ended runs they may acknowledge, since their records are durable. An executor that has
// not reported on a worker yet is told after its first report.
func (as *assigner) sendAcks(workerIDs []string) {
	for _, id := range workerIDs {
		a := as.assignments[id]
		if a == nil || !a.reported {
			continue
		}
		if end := as.t.sched.LastDurableEnd(id, a.info.Incarnation); end > a.lastAckedEnd && a.executor != nil {
			a.lastAckedEnd = end
			a.executor.send(delegate.Order{Ack: &delegate.Ack{WorkerID: id, Incarnation: a.info.Incarnation, LastAckedEnd: end, Restarts: a.executorRestarts}})
		}
	}
}

// DelegateDump is the state of an executor as operators see it.
type DelegateDump struct {
	Host       string `json:"host"` // empty for the owner's own process
	Workers    int    `json:"workers"`
	Unanswered int    `json:"orders_unanswered"`
	SilentFor  string `json:"silent_for,omitempty"`
}

func (as *assigner) dump(now time.Time) []DelegateDump {
	counts := map[*executor]int{}
	for _, a := range as.assignments {
		counts[a.executor]++
	}
	out := []DelegateDump{{Workers: counts[as.local]}}
	for _, ex := range as.remote {
		out = append(out, DelegateDump{Host: ex.host, Workers: counts[ex], Unanswered: len(ex.unacked),
			SilentFor: now.Sub(ex.lastCall).Round(time.Millisecond).String()})
	}
	return out
}
