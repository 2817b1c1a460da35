package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/cluster/delegate"
	"github.com/greengagewing/greengagewing/internal/cluster/meter"
	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/cluster/tenure"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	// planInterval is the longest time between two plans; events cause earlier ones.
	planInterval = 100 * time.Millisecond
	// planBatchDelay gathers events that come together, so that one plan serves them.
	planBatchDelay = 3 * time.Millisecond
	// planPauseFactor is how many times its own duration a complete plan is followed by a pause, so that these plans take at most
	// a tenth of the processor. Plans of what has changed go on meanwhile.
	planPauseFactor = 9
	// jobFeedInterval gathers jobs of the feed: entry hosts tell of them at once, so the feed only makes up for lost calls.
	jobFeedInterval = 150 * time.Millisecond
	// usageLogInterval is how often the owner logs how full the pool is.
	usageLogInterval = time.Second
)

// term is one ownership. The scheduler is guarded by mu; the other fields are set before the goroutines start.
type term struct {
	cfg             Config
	deps            Deps
	log             *zap.Logger
	tenure          *tenure.Tenure
	predecessorGone func() bool // the earlier owner sends no more orders

	mu          sync.Mutex
	sched       *scheduler.Scheduler
	assigner    *assigner
	advice      *adviceDispatcher
	usedWorkers map[string]bool // workers that are stored as used
	// pending is the number of waiting jobs by queue when it was last counted.
	pending   map[string]int
	pendingAt time.Time
	packIndex *packIndex
	// delegated tells that other hosts may act for this owner, or may still act for an earlier one; a successor has to wait
	// for their permits. No worker is given to a host before that is stored.
	delegated          bool
	storedDelegated    bool
	inheritedDelegates bool // hosts may still act for an earlier owner

	began             time.Time
	unresolvedWorkers int   // workers of earlier owners that had not reported at the last plan
	queuesVersion     int64 // version of the configuration that the scheduler has
	meters            meters
	planRequested     chan struct{}
	saveRequested     chan struct{}
	jobFeedVersion    int64 // version from which the feed of jobs continues
	wg                sync.WaitGroup
}

func newTerm(ctx context.Context, c *Coordinator, ownership *tenure.Tenure, predecessorGone func() bool) *term {
	t := &term{
		cfg: c.cfg, deps: c.deps, tenure: ownership, predecessorGone: predecessorGone,
		log:           c.deps.Log.With(zap.Int64("epoch", ownership.Epoch())),
		sched:         scheduler.New(scheduler.Config{Epoch: ownership.Epoch(), Retention: c.cfg.Retention}),
		usedWorkers:   map[string]bool{},
		packIndex:     newPackIndex(),
		meters:        newMeters(c.deps.Metrics),
		began:         time.Now(),
		planRequested: make(chan struct{}, 1),
		saveRequested: make(chan struct{}, 1),
	}
	t.advice = newAdviceDispatcher(t)
	t.assigner = newAssigner(ctx, t)
	return t
}

// meters count the owner's calls and decisions.
type meters struct {
	plans, starts, ends, renewals, advice *meter.Calls
}

func newMeters(scope tally.Scope) meters {
	return meters{
		plans: meter.NewCalls(scope, "plan"), starts: meter.NewCalls(scope, "start"), ends: meter.NewCalls(scope, "run"),
		renewals: meter.NewCalls(scope, "renewal"), advice: meter.NewCalls(scope, "advice"),
	}
}

func (t *term) requestPlan() { wait.Signal(t.planRequested) }

// applyQueueConfig puts the newest configuration in force.
func (t *term) applyQueueConfig() {
	cfg := t.deps.Queues.Current()
	if cfg == nil || cfg.Version == t.queuesVersion {
		return
	}
	t.queuesVersion = cfg.Version
	t.sched.SetQueues(cfg)
}

func (t *term) addJob(now time.Time, spec *workload.Spec, from string) {
	if t.sched.AddJob(now, spec, nil, false) {
		t.log.Info("job taken", zap.String("job", spec.ID), zap.String("queue", spec.Queue.Name), zap.String("from", from),
			zap.Duration("age", now.Sub(spec.Accepted)))
	}
}

func (t *term) cancelJob(now time.Time, id, from string) {
	if t.sched.Cancel(now, id) {
		t.log.Info("job cancelled", zap.String("job", id), zap.String("from", from))
	}
}

// addSubmittedJob takes a job that an entry host has stored. The feed brings it too, at times a second later.
func (t *term) addSubmittedJob(spec *workload.Spec) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addJob(time.Now(), spec, "entry")
	t.requestPlan()
	wait.Signal(t.saveRequested) // new jobs wait for a commit
}

func (t *term) cancelSubmittedJob(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancelJob(time.Now(), id, "entry")
	t.requestPlan()
}

// run follows the inputs and plans until ctx ends or the ownership is lost.
func (t *term) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer t.wg.Wait()
	defer cancel()
	jobs := &rowstore.Follower{Store: t.deps.Store, Table: records.Jobs, Parts: records.JobParts(), Handler: t, Log: t.log,
		From: t.jobFeedVersion, Pace: jobFeedInterval}
	t.wg.Go(func() { jobs.Run(ctx) })
	t.loadInbox(ctx)
	t.wg.Go(func() { t.deps.Discovery.Follow(ctx, t) })
	t.wg.Go(func() { t.persist(ctx) })
	t.wg.Go(func() { t.runExpiry(ctx) })
	t.wg.Go(func() { t.logUsage(ctx) })
	var nextPlanAll time.Time // of the next complete plan
	for ctx.Err() == nil {
		if t.tenure.Lost() {
			t.log.Warn("term ends: another daemon owns the workers")
			return tenure.ErrLost
		}
		delay := planInterval
		if began := time.Now(); began.Before(nextPlanAll) {
			t.planChanges(ctx)
			delay = max(time.Until(nextPlanAll), planBatchDelay)
		} else {
			t.planAll(ctx)
			nextPlanAll = time.Now().Add(min(max(planBatchDelay, planPauseFactor*time.Since(began)), planInterval))
		}
		if !wait.ForOrSignal(ctx, delay, t.planRequested) {
			break
		}
		wait.For(ctx, planBatchDelay)
	}
	t.log.Info("term ends: stopping")
	return nil
}

// logUsage logs how full the pool is and what waits for it, so that the wait of a job can be explained afterwards.
func (t *term) logUsage(ctx context.Context) {
	for wait.For(ctx, usageLogInterval) {
		t.mu.Lock()
		u := t.sched.Usage(time.Now())
		t.mu.Unlock()
		t.log.Info("pool", zap.Int("workers", u.Workers), zap.Int64("cpu_milli", u.Capacity.CPUMilli),
			zap.Int64("cpu_milli_used", u.Used.CPUMilli), zap.Int64("memory_mb", u.Capacity.MemoryMB),
			zap.Int64("memory_mb_used", u.Used.MemoryMB), zap.Int("runs", u.Runs), zap.Any("waiting", u.Queues))
	}
}

// planAll lets the scheduler decide about everything that waits. Without a valid ownership nothing may be sent, so nothing is
// decided.
func (t *term) planAll(ctx context.Context) {
	if !t.tenure.Valid() {
		return
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyQueueConfig()
	t.assigner.assignWorkers(now, t.sched.Workers())
	t.updateUnresolved(now)
	t.sendOrders(ctx, t.sched.Plan(now))
	t.meters.plans.Done("complete", now)
}

// updateUnresolved shortens the wait for workers of an earlier owner that is gone, and logs the end of the wait.
func (t *term) updateUnresolved(now time.Time) {
	remaining := len(t.sched.Unresolved())
	if remaining > 0 && t.predecessorGone() {
		t.sched.LimitUnresolved(now.Add(t.inheritedRunLimit()))
	}
	if remaining == 0 && t.unresolvedWorkers > 0 {
		t.log.Info("nothing of earlier owners runs unseen any more", zap.Duration("took", now.Sub(t.began)))
	}
	t.unresolvedWorkers = remaining
}

// inheritedRunLimit is the longest time for which something that an earlier owner has ordered may run after its process is gone.
func (t *term) inheritedRunLimit() time.Duration {
	bound := t.cfg.Delegate.LeaseBound()
	if t.inheritedDelegates {
		bound += delegate.PermitLimit
	}
	return bound
}

// planChanges lets the scheduler decide about what has changed since the last plan.
func (t *term) planChanges(ctx context.Context) {
	if !t.tenure.Valid() {
		return
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sendOrders(ctx, t.sched.PlanSoon(now))
	t.meters.plans.Done("changes", now)
}

// sendOrders hands the orders of a plan to the delegates. It is called with mu held.
func (t *term) sendOrders(ctx context.Context, p scheduler.Plan) {
	t.advice.dispatch(ctx)
	for _, s := range p.Starts {
		t.sendStart(s)
	}
	for _, s := range p.Stops {
		t.assigner.sendStop(s)
	}
	wait.Signal(t.saveRequested)
}

// sendStart orders a run. The worker must be stored as used before anything runs there, so that a successor waits for its report.
func (t *term) sendStart(s scheduler.Start) {
	if t.usedWorkers[s.Worker.ID] && t.assigner.sendStart(s) {
		return
	}
	now := time.Now()
	t.sched.StartDone(now, scheduler.StartResult{Task: s.Task, Run: s.Run, Worker: s.Worker.ID, Outcome: scheduler.RejectedOther, At: now})
}
