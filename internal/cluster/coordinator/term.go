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
	// planDelay gathers events that come together, so that one plan serves them.
	planDelay = 3 * time.Millisecond
	// planShare is how many times its own duration a complete plan is followed by a pause, so that these plans take at most
	// a tenth of the processor. Plans of what has changed go on meanwhile.
	planShare = 9
	// jobsPace gathers jobs of the feed: entry hosts tell of them at once, so the feed only makes up for lost calls.
	jobsPace = 150 * time.Millisecond
	// usageInterval is how often the owner logs how full the pool is.
	usageInterval = time.Second
)

// term is one ownership. The scheduler is guarded by mu; the other fields are set before the goroutines start.
type term struct {
	cfg    Config
	deps   Deps
	log    *zap.Logger
	tenure *tenure.Tenure
	gone   func() bool // the earlier owner sends no more orders

	mu     sync.Mutex
	sched  *scheduler.Scheduler
	fleet  *fleet
	advice *adviceDesk
	used   map[string]bool // workers that are stored as used
	// pending is the number of waiting jobs by queue when it was last counted.
	pending   map[string]int
	pendingAt time.Time
	packs     *packs
	// delegated tells that other hosts may act for this owner, or may still act for an earlier one; a successor has to wait
	// for their permits. No worker is given to a host before that is stored.
	delegated          bool
	storedDelegated    bool
	inheritedDelegates bool // hosts may still act for an earlier owner

	began      time.Time
	unresolved int   // workers of earlier owners that had not reported at the last plan
	config     int64 // version of the configuration that the scheduler has
	meters     meters
	planSoon   chan struct{}
	save       chan struct{}
	jobsFrom   int64 // version from which the feed of jobs continues
	wg         sync.WaitGroup
}

func newTerm(ctx context.Context, c *Coordinator, held *tenure.Tenure, gone func() bool) *term {
	t := &term{
		cfg: c.cfg, deps: c.deps, tenure: held, gone: gone,
		log:      c.deps.Log.With(zap.Int64("epoch", held.Epoch())),
		sched:    scheduler.New(scheduler.Config{Epoch: held.Epoch(), Retention: c.cfg.Retention}),
		used:     map[string]bool{},
		packs:    newPacks(),
		meters:   newMeters(c.deps.Metrics),
		began:    time.Now(),
		planSoon: make(chan struct{}, 1),
		save:     make(chan struct{}, 1),
	}
	t.advice = newAdviceDesk(t)
	t.fleet = newFleet(ctx, t)
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

func (t *term) wake() { wait.Signal(t.planSoon) }

// followQueues puts the newest configuration in force.
func (t *term) followQueues() {
	cfg := t.deps.Queues.Current()
	if cfg == nil || cfg.Version == t.config {
		return
	}
	t.config = cfg.Version
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

// takeJob takes a job that an entry host has stored. The feed brings it too, at times a second later.
func (t *term) takeJob(spec *workload.Spec) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addJob(time.Now(), spec, "entry")
	t.wake()
	wait.Signal(t.save) // new jobs wait for a commit
}

func (t *term) takeCancel(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancelJob(time.Now(), id, "entry")
	t.wake()
}

// run follows the inputs and plans until ctx ends or the ownership is lost.
func (t *term) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer t.wg.Wait()
	defer cancel()
	jobs := &rowstore.Follower{Store: t.deps.Store, Table: records.Jobs, Parts: records.JobParts(), Handler: t, Log: t.log,
		From: t.jobsFrom, Pace: jobsPace}
	t.wg.Go(func() { jobs.Run(ctx) })
	t.loadInbox(ctx)
	t.wg.Go(func() { t.deps.Discovery.Follow(ctx, t) })
	t.wg.Go(func() { t.persist(ctx) })
	t.wg.Go(func() { t.forgetEnded(ctx) })
	t.wg.Go(func() { t.logUsage(ctx) })
	var next time.Time // of the next complete plan
	for ctx.Err() == nil {
		if t.tenure.Lost() {
			t.log.Warn("term ends: another daemon owns the workers")
			return tenure.ErrLost
		}
		pause := planInterval
		if began := time.Now(); began.Before(next) {
			t.planChanges(ctx)
			pause = max(time.Until(next), planDelay)
		} else {
			t.plan(ctx)
			next = time.Now().Add(min(max(planDelay, planShare*time.Since(began)), planInterval))
		}
		if !wait.ForOrSignal(ctx, pause, t.planSoon) {
			break
		}
		wait.For(ctx, planDelay)
	}
	t.log.Info("term ends: stopping")
	return nil
}

// logUsage logs how full the pool is and what waits for it, so that the wait of a job can be explained afterwards.
func (t *term) logUsage(ctx context.Context) {
	for wait.For(ctx, usageInterval) {
		t.mu.Lock()
		u := t.sched.Usage(time.Now())
		t.mu.Unlock()
		t.log.Info("pool", zap.Int("workers", u.Workers), zap.Int64("cpu_milli", u.Capacity.CPUMilli),
			zap.Int64("cpu_milli_used", u.Used.CPUMilli), zap.Int64("memory_mb", u.Capacity.MemoryMB),
			zap.Int64("memory_mb_used", u.Used.MemoryMB), zap.Int("runs", u.Runs), zap.Any("waiting", u.Queues))
	}
}

// plan lets the scheduler decide about everything that waits. Without a valid ownership nothing may be sent, so nothing is
// decided.
func (t *term) plan(ctx context.Context) {
	if !t.tenure.Valid() {
		return
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.followQueues()
	t.fleet.follow(now, t.sched.Workers())
	t.followUnresolved(now)
	t.order(ctx, t.sched.Plan(now))
	t.meters.plans.Done("complete", now)
}

// followUnresolved shortens the wait for workers of an earlier owner that is gone, and logs the end of the wait.
func (t *term) followUnresolved(now time.Time) {
	left := len(t.sched.Unresolved())
	if left > 0 && t.gone() {
		t.sched.LimitUnresolved(now.Add(t.inheritedBound()))
	}
	if left == 0 && t.unresolved > 0 {
		t.log.Info("nothing of earlier owners runs unseen any more", zap.Duration("took", now.Sub(t.began)))
	}
	t.unresolved = left
}

// inheritedBound is the longest time for which something that an earlier owner has ordered may run after its process is gone.
func (t *term) inheritedBound() time.Duration {
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
	t.order(ctx, t.sched.PlanSoon(now))
	t.meters.plans.Done("changes", now)
}

// order hands the orders of a plan to the delegates. It is called with mu held.
func (t *term) order(ctx context.Context, p scheduler.Plan) {
	t.advice.dispatch(ctx)
	for _, s := range p.Starts {
		t.start(s)
	}
	for _, s := range p.Stops {
		t.fleet.stop(s)
	}
	wait.Signal(t.save)
}

// start orders a run. The worker must be stored as used before anything runs there, so that a successor waits for its report.
func (t *term) start(s scheduler.Start) {
	if t.used[s.Worker.ID] && t.fleet.start(s) {
		return
	}
	now := time.Now()
	t.sched.StartDone(now, scheduler.StartResult{Task: s.Task, Run: s.Run, Worker: s.Worker.ID, Outcome: scheduler.RejectedOther, At: now})
}
