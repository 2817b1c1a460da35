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
	executor   *executor
	generation int64 // fencing token of the assignment: events with an earlier one are ignored
	info       scheduler.WorkerInfo
	ackedEnd   int64 // number of the last ended run that the executor may acknowledge to the worker, since its record is durable
	starts     map[runKey]delegate.StartOrder
	stops      map[runKey]delegate.StopOrder
}

// assigner assigns the workers to executors and sends them the owner's orders. The callers of its methods hold the term's mu.
type assigner struct {
	t                *term
	local            *executor
	remote           map[string]*executor // delegates by host
	rejoinAt         map[string]time.Time // hosts that timed out, and when they may be delegates again
	assignments      map[string]*assignment
	generation       int64
	assignmentsValid bool // every worker has an executor, and the delegates have not changed since they were chosen
	workersListed    bool // the list of workers has been read
	began            time.Time
	noDelegatesSince time.Time
	lastTimeoutCheck time.Time // when dropTimedOut last ran
	graceUntil       time.Time // no delegate times out before this
}

func newAssigner(ctx context.Context, t *term) *assigner {
	f := &assigner{t: t, remote: map[string]*executor{}, rejoinAt: map[string]time.Time{}, assignments: map[string]*assignment{},
		began: time.Now(), noDelegatesSince: time.Now(), lastTimeoutCheck: time.Now()}
	f.local = &executor{host: "", clockZero: time.Now().Add(-t.deps.Clock())}
	f.local.agent = delegate.NewAgent(ctx, t.cfg.Delegate, delegate.Deps{Client: t.deps.Workers, Clock: t.deps.Clock, Log: t.deps.Log},
		t.tenure.Epoch(), t.tenure.Valid, t.applyLocalEvent)
	return f
}

// wantsDelegates reports whether the owner has more workers than it calls itself.
func (f *assigner) wantsDelegates() bool { return f.t.sched.WorkerCount() > f.t.cfg.OwnWorkers }

// assignWorkers drops delegates that have timed out, assigns an executor to each worker that needs one, and removes the
// assignments of workers that are not listed any more.
func (f *assigner) assignWorkers(now time.Time, workers []scheduler.WorkerInfo) {
	f.dropTimedOut(now)
	listed := make(map[string]bool, len(workers))
	chooseDelegate := f.delegateChooser(now, len(workers))
	settled := true // no worker has to wait for an executor
	for _, info := range workers {
		listed[info.ID] = true
		a := f.assignments[info.ID]
		if a == nil {
			a = &assignment{info: info, starts: map[runKey]delegate.StartOrder{}, stops: map[runKey]delegate.StopOrder{}}
			f.assignments[info.ID] = a
		}
		f.updateWorker(a, info)
		if a.executor == nil || a.executor.ended || !f.assignmentsValid {
			ex := chooseDelegate(info)
			settled = settled && ex != nil
			if ex != nil && ex != a.executor {
				f.assignTo(now, a, ex)
			}
		}
	}
	f.assignmentsValid = settled
	for id, a := range f.assignments {
		if !listed[id] {
			a.sendRelease()
			delete(f.assignments, id)
		}
	}
	f.local.agent.SetRenewWait(delegate.RenewWait(len(f.assignments)))
}

// updateWorker stores a worker's entry in its assignment, and passes it on to the executor if the worker was restarted, has
// moved or drains.
func (f *assigner) updateWorker(a *assignment, info scheduler.WorkerInfo) {
	if info.Born == a.info.Born && info.Address == a.info.Address && info.Draining == a.info.Draining {
		a.info = info
		return
	}
	if info.Born != a.info.Born {
		a.ackedEnd = 0
		clear(a.starts)
		clear(a.stops)
	}
	a.info = info
	if a.executor != nil {
		a.executor.send(delegate.Order{Assign: a.assignOrder()})
	}
}

// assignOrder returns the order that assigns the worker to its executor, or updates the worker's entry there.
func (a *assignment) assignOrder() *delegate.Assignment {
	return &delegate.Assignment{Worker: a.info, Generation: a.generation, LastEnd: a.ackedEnd}
}

// sendRelease orders the executor to stop calling the worker.
func (a *assignment) sendRelease() {
	if a.executor != nil {
		a.executor.send(delegate.Order{Release: a.info.ID})
	}
}

// assignTo assigns a worker to an executor and resends the orders whose outcome the previous executor has not reported. That
// is safe: a worker starts a run at most once, and a stop may be repeated.
func (f *assigner) assignTo(now time.Time, a *assignment, ex *executor) {
	if old := a.executor; old != nil {
		a.sendRelease()
		f.t.sched.ExtendLease(a.info.ID, now.Add(old.maxPermit()+f.t.cfg.Delegate.LeaseBound()))
	}
	f.generation++
	a.executor, a.generation = ex, f.generation
	a.ackedEnd = f.t.sched.AckedEnd(a.info.ID)
	ex.send(delegate.Order{Assign: a.assignOrder()})
	for k, s := range a.stops {
		delete(a.starts, k) // a run that is being stopped need not be started
		s.Generation = a.generation
		a.stops[k] = s
		ex.send(delegate.Order{Stop: &s})
	}
	for k, s := range a.starts {
		if !f.t.sched.Starting(a.info.ID, s.Task, s.Run) {
			delete(a.starts, k)
			continue
		}
		s.Generation, s.Repeated = a.generation, true
		a.starts[k] = s
		ex.send(delegate.Order{Start: &s})
	}
}

// delegateChooser returns a function that chooses the executor of a worker. That function returns nil while the worker has to
// wait for an executor.
func (f *assigner) delegateChooser(now time.Time, workers int) func(scheduler.WorkerInfo) *executor {
	own := func(scheduler.WorkerInfo) *executor { return f.local }
	if workers <= f.t.cfg.OwnWorkers {
		return own
	}
	if len(f.remote) > 0 {
		if now.Sub(f.began) < firstDelegatesWait || !f.t.storedDelegated {
			return func(scheduler.WorkerInfo) *executor { return nil }
		}
		hosts := make([]candidate, 0, len(f.remote))
		for _, ex := range f.remote {
			hosts = append(hosts, candidate{ex.host, ex.domain})
		}
		return func(w scheduler.WorkerInfo) *executor { return f.remote[pickDelegate(w.ID, w.Domain, hosts)] }
	}
	if now.Sub(f.noDelegatesSince) < noDelegatesTimeout {
		return func(scheduler.WorkerInfo) *executor { return nil }
	}
	return own
}

// dropTimedOut drops delegates that have not called for delegateTimeout. If the owner itself was paused and could not receive
// calls, it first gives all delegates time to call again.
func (f *assigner) dropTimedOut(now time.Time) {
	if now.Sub(f.lastTimeoutCheck) > delegateTimeout/3 {
		f.graceUntil = now.Add(delegateTimeout / 2)
	}
	f.lastTimeoutCheck = now
	if now.Before(f.graceUntil) {
		return
	}
	for host, ex := range f.remote {
		if silence := now.Sub(ex.lastCall); silence > delegateTimeout {
			f.rejoinAt[host] = now.Add(rejoinDelay)
			f.dropDelegate(now, ex, "silent", zap.Duration("silence", silence))
		}
	}
}

// dropDelegate ends the session of a delegate. The next plan assigns its workers to other executors, or lets them wait for one.
func (f *assigner) dropDelegate(now time.Time, ex *executor, reason string, fields ...zap.Field) {
	f.t.log.Warn("delegate lost", append(fields, zap.String("delegate", ex.host), zap.String("session", ex.session),
		zap.String("reason", reason), zap.Int("orders_unanswered", len(ex.unacked)))...)
	delete(f.remote, ex.host)
	ex.endSession()
	f.assignmentsValid = false
	if len(f.remote) == 0 {
		f.noDelegatesSince = now
	}
}

// admit returns the executor of a host's session. It starts a new session if the owner needs another delegate, and returns
// nil if it does not.
func (f *assigner) admit(now time.Time, r delegate.Request, arrived time.Time) *executor {
	if ex := f.remote[r.Host]; ex != nil {
		if ex.session == r.Session {
			return ex
		}
		f.dropDelegate(now, ex, "the host has started another session")
	}
	if r.After > 0 || !f.wantsDelegates() || len(f.remote) >= maxDelegates || now.Before(f.rejoinAt[r.Host]) {
		return nil
	}
	ex := &executor{host: r.Host, domain: r.Domain, session: r.Session, clockZero: arrived.Add(-r.Now), lastCall: now, ordersReady: make(chan struct{}, 1)}
	f.remote[r.Host] = ex
	f.assignmentsValid = false
	f.t.delegated = true
	f.t.log.Info("delegate attends", zap.String("delegate", r.Host), zap.String("session", r.Session), zap.Int("delegates", len(f.remote)))
	return ex
}

// sendStart sends a start to the worker's executor. It reports false if the worker has no executor or was restarted.
func (f *assigner) sendStart(s scheduler.Start) bool {
	a := f.assignments[s.Worker.ID]
	if a == nil || a.executor == nil || a.info.Born != s.Worker.Born {
		return false
	}
	o := delegate.StartOrder{Task: s.Task, Run: s.Run, WorkerID: s.Worker.ID, Born: s.Worker.Born, Generation: a.generation, Payload: s.Payload,
		Checkpoint: s.Checkpoint, Ticket: s.Ticket, Waited: s.Waited}
	a.starts[runKey{s.Task, s.Run}] = o
	a.executor.send(delegate.Order{Start: &o})
	return true
}

// sendStop sends a stop to the worker's executor. If the worker has none, the next one gets the stop.
func (f *assigner) sendStop(s scheduler.Stop) {
	a := f.assignments[s.Worker.ID]
	if a == nil || a.info.Born != s.Worker.Born {
		return // the worker was restarted, which ended the run
	}
	o := delegate.StopOrder{Task: s.Task, Run: s.Run, WorkerID: s.Worker.ID, Born: s.Worker.Born, Generation: a.generation, Reason: s.Reason}
	a.stops[runKey{s.Task, s.Run}] = o
	if a.executor != nil {
		a.executor.send(delegate.Order{Stop: &o})
	}
}

// sendAcks tells the executors which ended runs they may acknowledge to the workers, since their records are durable.
func (f *assigner) sendAcks() {
	for id, a := range f.assignments {
		if end := f.t.sched.AckedEnd(id); end > a.ackedEnd && a.executor != nil {
			a.ackedEnd = end
			a.executor.send(delegate.Order{Ack: &delegate.Ack{WorkerID: id, LastEnd: end}})
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

func (f *assigner) dump(now time.Time) []DelegateDump {
	counts := map[*executor]int{}
	for _, a := range f.assignments {
		counts[a.executor]++
	}
	out := []DelegateDump{{Workers: counts[f.local]}}
	for _, ex := range f.remote {
		out = append(out, DelegateDump{Host: ex.host, Workers: counts[ex], Unanswered: len(ex.unacked), SilentFor: now.Sub(ex.lastCall).Round(time.Millisecond).String()})
	}
	return out
}
