package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/cluster/delegate"
	"github.com/greengagewing/greengagewing/internal/cluster/election"
	"github.com/greengagewing/greengagewing/internal/cluster/meter"
	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	// planInterval is the maximum time between two scheduling rounds (plans). Events trigger earlier ones.
	planInterval = 100 * time.Millisecond
	// planBatchDelay is the delay between an event and the plan that it triggers, so that one plan handles a burst of events.
	planBatchDelay = 3 * time.Millisecond
	// minPlanPause is the minimum pause after a complete plan. Meanwhile, tasks of units that have changed are placed all the same.
	minPlanPause = 20 * time.Millisecond
	// planPauseFactor is the pause after a complete plan as a multiple of the plan's duration. With 9, complete plans use
	// at most a tenth of a processor, unless a plan takes so long that planInterval shortens the pause. Plans for the
	// recent changes continue during the pause.
	planPauseFactor = 9
	// jobFeedInterval is the minimum time between two reads of the change feed of jobs. Frontends also send new jobs to the
	// owner directly, so the feed only has to make up for lost calls and can be read in larger batches. While the owner is busy
	// they don't, and busyJobFeedInterval applies.
	jobFeedInterval     = 150 * time.Millisecond
	busyJobFeedInterval = 40 * time.Millisecond
)

// term is one term of this daemon as the owner. The mutex mu guards the fields from sched to listWasTooOld, and also
// unresolvedWorkers and queuesVersion. The other fields are set before the goroutines start.
type term struct {
	cfg             Config
	deps            Deps
	log             *zap.Logger
	ownership       *election.Ownership
	predecessorGone func() bool // reports whether the previous owner certainly sends no more orders

	mu       sync.Mutex
	sched    *scheduler.Scheduler
	assigner *assigner
	advice   *adviceDispatcher
	inUse    map[string]scheduler.WorkerUse // workers whose use by this owner is stored
	// storedClocks are the zeros of the workers' clocks as they are stored with inUse.
	storedClocks map[string]scheduler.ClockZero
	// inUseCheckedAt is when beginBatch last checked whether the stored list of workers in use is up to date.
	inUseCheckedAt time.Time
	// pending is the number of waiting jobs by queue, counted at pendingAt.
	pending       map[string]int
	pendingAt     time.Time
	jobBatchIndex *jobBatchIndex
	rows          *rowIndex      // of the values in the owner's partition
	inbox         records.Joiner // rows of jobs that have not arrived as a whole
	inboxParts    map[string]int // by job: how many rows it has in the inbox, if that is more than one
	// unreadableBefore is the version of the last row of active jobs that can't be read: a job that is older may be one of them. 0 if all
	// rows can be read. It is set before the goroutines start.
	unreadableBefore int64
	// expired holds the jobs whose inbox rows this owner removes or has removed, until the change feed has delivered the removal.
	// Up to then it may still deliver the rows themselves, which are not new jobs.
	expired map[string]bool
	// delegated is set if other hosts may act for this owner, or may still act for an earlier one. A successor has to wait
	// until their permits have expired, so no worker is assigned to a host before the flag is stored.
	delegated          bool
	storedDelegated    bool
	inheritedDelegates bool // other hosts may still act for an earlier owner
	predecessorEnded   bool // predecessorGone has returned true
	// earlierStartsLimited means that the scheduler knows until when the previous owner may have ordered starts.
	earlierStartsLimited bool
	// storedInherited is set while the stored list of workers in use names some as inherited, or an earlier owner wrote it, so
	// that a successor has to take all of them as inherited.
	storedInherited bool

	listConfirmedAt time.Duration // when the list of workers was up to date, on the clock that counts suspensions
	lastListAnswer  time.Duration // when the store last answered a call for the list or its changes
	listWasTooOld   bool

	forecast          timedDigest
	interference      interferenceRow
	pressure          pressure
	startedAt         time.Time
	unresolvedWorkers int   // number of workers of earlier owners that had not reported at the last plan
	queuesVersion     int64 // version of the queue configuration that the scheduler uses
	meters            meters
	planRequested     chan struct{} // signals run to plan
	saveRequested     chan struct{} // signals persist to write a batch
	jobFeedVersion    int64         // version of the store after which the change feed of jobs starts
	wg                sync.WaitGroup
}

func newTerm(ctx context.Context, c *Coordinator, ownership *election.Ownership, predecessorGone func() bool) *term {
	t := &term{
		cfg: c.cfg, deps: c.deps, ownership: ownership, predecessorGone: predecessorGone,
		log: c.deps.Log.With(zap.Int64("epoch", ownership.Epoch())),
		sched: scheduler.New(scheduler.Config{Epoch: ownership.Epoch(), Retention: c.cfg.Retention, Began: time.Now(),
			StaleLease: c.cfg.Delegate.StaleLeaseBound(), LateCallLimit: c.cfg.Delegate.LateCallLimit, InterferenceAware: c.cfg.InterferenceAware}),
		inUse:         map[string]scheduler.WorkerUse{},
		jobBatchIndex: newJobBatchIndex(), rows: newRowIndex(c.cfg.maxValueBytes()), inboxParts: map[string]int{}, expired: map[string]bool{},
		meters:        newMeters(c.deps.Metrics),
		interference:  newInterferenceRow(c.deps.Metrics),
		pressure:      pressure{processors: c.cfg.Processors, used: c.deps.ProcessorTime},
		startedAt:     time.Now(),
		planRequested: make(chan struct{}, 1),
		saveRequested: make(chan struct{}, 1),
	}
	t.listConfirmedAt, t.lastListAnswer = t.deps.Clock(), t.deps.Clock()
	if t.cfg.Forecast {
		t.sched.EnableForecast()
	}
	t.advice = newAdviceDispatcher(t)
	t.assigner = newAssigner(ctx, t)
	return t
}

// meters holds the metrics of the owner's plans, runs and calls.
type meters struct {
	plans, starts, ends, renewals, advice *meter.Calls
}

func newMeters(scope tally.Scope) meters {
	return meters{
		plans: meter.NewCalls(scope, "plan"), starts: meter.NewCalls(scope, "start"), ends: meter.NewCalls(scope, "run"),
		renewals: meter.NewCalls(scope, "renewal"), advice: meter.NewCalls(scope, "advice"),
	}
}

// jobFeedInterval returns the minimum time between two reads of the change feed of jobs.
func (t *term) jobFeedInterval() time.Duration {
	if t.pressure.shedding() {
		return busyJobFeedInterval
	}
	return jobFeedInterval
}

// requestPlan triggers a plan.
func (t *term) requestPlan() { wait.Signal(t.planRequested) }

// applyQueueConfig passes the newest queue configuration to the scheduler.
func (t *term) applyQueueConfig() {
	cfg := t.deps.Queues.Current()
	if cfg == nil || cfg.Version == t.queuesVersion {
		return
	}
	t.queuesVersion = cfg.Version
	t.sched.SetQueues(cfg)
}

// addJob adds a job to the scheduler. The log shows from, the way in which the owner received it. The caller holds mu.
func (t *term) addJob(now time.Time, spec *workload.Spec, from string) {
	if t.sched.AddJob(now, spec, nil, false) {
		t.log.Info("job taken", zap.String("job", spec.ID), zap.String("queue", spec.Queue.Name), zap.String("from", from),
			zap.Duration("age", now.Sub(spec.Accepted)))
	}
}

// cancelJob cancels a job. The log shows from, the way in which the owner received the cancellation. The caller holds mu.
func (t *term) cancelJob(now time.Time, id, from string) {
	if t.sched.Cancel(now, id) {
		t.log.Info("job cancelled", zap.String("job", id), zap.String("from", from))
	}
}

// addSubmittedJob adds a job that a frontend has stored and sent to the owner. The change feed delivers the job too,
// sometimes a second later.
func (t *term) addSubmittedJob(spec *workload.Spec) {
	if t.unreadableBefore > 0 {
		return // the feed tells whether the job may be an active one that can't be read
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addJob(time.Now(), spec, "entry")
	t.requestPlan()
	wait.Signal(t.saveRequested) // the tasks of a new job start only after a commit has stored it
}

// cancelSubmittedJob cancels a job whose cancellation a frontend has stored and sent to the owner.
func (t *term) cancelSubmittedJob(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancelJob(time.Now(), id, "entry")
	t.requestPlan()
}

// run starts the goroutines of the term, and plans until ctx ends or the ownership is lost.
func (t *term) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer t.wg.Wait()
	defer cancel()
	jobs := &rowstore.Follower{Store: t.deps.Store, Table: records.Inbox, Partitions: records.InboxPartitions(), Handler: t, Log: t.log,
		From: t.jobFeedVersion, MinCallInterval: t.jobFeedInterval}
	t.wg.Go(func() { jobs.Run(ctx) })
	t.loadInbox(ctx)
	t.wg.Go(func() { t.deps.Discovery.FollowWorkers(ctx, t) })
	t.wg.Go(func() { t.persist(ctx) })
	t.wg.Go(func() { t.runExpiry(ctx) })
	t.wg.Go(func() { t.pressure.watch(ctx) })
	t.wg.Go(func() { t.logUsage(ctx) })
	t.wg.Go(func() { t.loadInterference(ctx) })
	var nextCompletePlan time.Time // time of the next complete plan
	for ctx.Err() == nil {
		if t.ownership.Lost() {
			t.log.Warn("term ends: another daemon owns the workers")
			return election.ErrLost
		}
		delay := planInterval
		if began := time.Now(); began.Before(nextCompletePlan) {
			t.planChanges(ctx)
			delay = max(time.Until(nextCompletePlan), planBatchDelay)
		} else {
			t.planAll(ctx)
			nextCompletePlan = time.Now().Add(min(max(minPlanPause, planPauseFactor*time.Since(began)), planInterval))
		}
		if !wait.ForOrSignal(ctx, delay, t.planRequested) {
			break
		}
		wait.For(ctx, planBatchDelay)
	}
	t.log.Info("term ends: stopping")
	return nil
}

// planAll runs a complete plan: the scheduler considers all waiting tasks. It does nothing while the ownership is not valid,
// since no order may be sent then.
func (t *term) planAll(ctx context.Context) {
	if !t.ownership.LeaseValid() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now() // read after the wait for the lock, since the bounds of leases count from it
	defer t.deps.Duties.Begin(dutyPlanAll)()
	t.applyQueueConfig()
	t.updateListAge()
	t.assigner.update(now)
	t.updateUnresolved(now)
	t.sched.AdaptStarts(now, t.pressure.Level())
	t.sendOrders(ctx, t.sched.Plan(now))
	t.assigner.sendAcks(t.sched.AcknowledgeEnds(now))
	t.updateForecast(now)
	t.meters.plans.Record("complete", now)
}

// updateListAge suspends starts while the list of workers is too old, and logs when that begins and ends. The caller holds mu.
func (t *term) updateListAge() {
	tooOld := t.listTooOld()
	if tooOld != t.listWasTooOld {
		t.log.Warn("list of workers is too old to start runs", zap.Bool("too_old", tooOld), zap.Duration("age", t.deps.Clock()-t.listConfirmedAt))
	}
	t.listWasTooOld = tooOld
	t.sched.SuspendStarts(tooOld)
}

// updateUnresolved limits how long the scheduler waits for reports from the previous owner's workers once that owner has ended, and
// logs when no worker of an earlier owner is left. The caller holds mu.
func (t *term) updateUnresolved(now time.Time) {
	remaining := len(t.sched.UnresolvedWorkers())
	if !t.earlierStartsLimited && t.predecessorGone() {
		t.sched.LimitEarlierStarts(time.Now().Add(t.inheritedCallLimit()))
		t.earlierStartsLimited = true
	}
	if remaining > 0 && t.predecessorGone() {
		goneAt := time.Now() // after the answer: this process may have been paused since now was read, and that owner may have gone on
		limited := t.sched.LimitUnresolvedLease(goneAt.Add(t.inheritedRunLimit()))
		t.sched.LimitPreviousUse(goneAt.Add(t.inheritedCallLimit()))
		if !t.predecessorEnded {
			t.log.Info("previous owner is gone, its workers are waited for less", zap.Int("workers", limited),
				zap.Int("unresolved_workers", remaining), zap.Duration("limit", t.inheritedRunLimit()),
				zap.Bool("delegated", t.inheritedDelegates), zap.Duration("after", now.Sub(t.startedAt)))
		}
		t.predecessorEnded = true
	}
	if remaining == 0 && t.unresolvedWorkers > 0 {
		t.log.Info("nothing of earlier owners runs unseen any more", zap.Duration("took", now.Sub(t.startedAt)))
	}
	t.unresolvedWorkers = remaining
}

// inheritedWorkers returns the workers to which an earlier owner may still send orders: those that have not reported, without
// the workers that only the previous owner used once that one has ended. The caller holds mu.
func (t *term) inheritedWorkers() []string {
	if t.predecessorEnded {
		return t.sched.InheritedWorkers()
	}
	return t.sched.UnresolvedWorkers()
}

// inheritedRunLimit returns the maximum time for which a run that the previous owner started may go on after that owner's
// process has ended, unless a stale call has set its lease.
func (t *term) inheritedRunLimit() time.Duration {
	return t.inheritedCallLimit() + t.cfg.Delegate.LeaseBound()
}

// inheritedCallLimit returns the maximum time for which calls of the previous owner go on after that owner's process has ended.
func (t *term) inheritedCallLimit() time.Duration {
	if t.inheritedDelegates {
		return delegate.PermitLimit
	}
	return 0
}

// leaseBound returns the longest time that a task may run on a worker after the last call of an executor to it.
func (t *term) leaseBound(worker string) time.Duration {
	if t.sched.MayGetStaleCalls(worker) {
		return t.cfg.Delegate.StaleLeaseBound()
	}
	return t.cfg.Delegate.LeaseBound()
}

// planChanges runs a partial plan: the scheduler considers only what has changed since the last plan.
func (t *term) planChanges(ctx context.Context) {
	if !t.ownership.LeaseValid() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	defer t.deps.Duties.Begin(dutyPlanChanges)()
	t.updateListAge()
	t.sendOrders(ctx, t.sched.PlanChanged(now))
	t.meters.plans.Record("changes", now)
}

// sendOrders sends the advice requests that are due, and passes the starts and stops of a plan on to the executors of the
// workers. The caller holds mu.
func (t *term) sendOrders(ctx context.Context, p scheduler.Plan) {
	t.advice.dispatch(ctx)
	for _, s := range p.Starts {
		t.sendStart(s)
	}
	for _, s := range p.Stops {
		t.assigner.sendStop(s)
	}
	t.logWorkerLosses()
	t.logExpiredWorkers()
	t.logGivenUp()
	t.logLateStarts()
	t.logQuotaWaits()
	t.logInterference()
	t.logEndedJobs()
	wait.Signal(t.saveRequested)
}

// logEndedJobs logs how long the jobs took that have ended, beside their objectives. The caller holds mu.
func (t *term) logEndedJobs() {
	for _, j := range t.sched.TakeEndedJobs() {
		t.log.Info("job ended", zap.String("job", j.Job), zap.String("queue", j.Queue), zap.String("state", string(j.State)),
			zap.Int("tasks", j.Tasks), zap.Duration("waited", j.Waited), zap.Duration("took", j.Took), zap.Duration("objective", j.Objective))
	}
}

// sendStart passes the start of a run on to the worker's executor, or rejects it. Before anything runs on a worker, its use
// must be stored, so that a successor waits for the worker's report and knows how long its lease may be.
func (t *term) sendStart(s scheduler.Start) {
	now := time.Now()
	use, stored := t.inUse[s.Worker.ID]
	if stored && use.Incarnation == s.Worker.Incarnation && use.Covers(t.sched.Use(s.Worker.ID, now)) && t.assigner.sendStart(s) {
		return
	}
	t.sched.HandleStartResult(now, scheduler.StartResult{Task: s.Task, Run: s.Run, Worker: s.Worker.ID, Outcome: scheduler.RejectedOther, AnsweredAt: now})
}
