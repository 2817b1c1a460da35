package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/asynclog"
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
	// jobsPace gathers jobs of the feed: entry hosts tell of them at once, so the feed only makes up for lost calls.
	jobsPace = 150 * time.Millisecond
	// leaseDrift covers a worker's clock that is 2 % slow, and the reading of clocks.
	leaseDrift  = 1.03
	leaseMargin = 300 * time.Millisecond
)

// term is one ownership. The scheduler is guarded by mu; the other fields are set before the goroutines start.
type term struct {
	c      *Coordinator
	cfg    Config
	deps   Deps
	log    *zap.Logger
	tenure *tenure.Tenure
	gone   func() bool // the earlier owner sends no more orders

	mu      sync.Mutex
	sched   *scheduler.Scheduler
	runners map[string]*runner
	advice  *adviceDesk
	used    map[string]bool // workers that are stored as used

	config   int64 // version of the configuration that the scheduler has
	planSoon chan struct{}
	save     chan struct{}
	jobsFrom int64 // version from which the feed of jobs continues
	wg       sync.WaitGroup
}

func newTerm(c *Coordinator, held *tenure.Tenure, gone func() bool) *term {
	t := &term{
		c: c, cfg: c.cfg, deps: c.deps, tenure: held, gone: gone,
		log:      c.deps.Log.With(zap.Int64("epoch", held.Epoch())),
		sched:    scheduler.New(scheduler.Config{Epoch: held.Epoch(), GangTimeout: c.cfg.GangTimeout, Retention: c.cfg.Retention}),
		runners:  map[string]*runner{},
		used:     map[string]bool{},
		planSoon: make(chan struct{}, 1),
		save:     make(chan struct{}, 1),
	}
	t.advice = newAdviceDesk(t)
	return t
}

func (t *term) wake() { wait.Signal(t.planSoon) }

// load reads the jobs, their progress and the workers that earlier owners used.
func (t *term) load(ctx context.Context) error {
	began := time.Now()
	t.followQueues()
	progress, err := t.loadProgress(ctx)
	if err != nil {
		return err
	}
	rows, err := t.loadJobs(ctx)
	if err != nil {
		return err
	}
	t.applyJobs(rows, progress, t.tenure.Epoch() > 1)
	if err := t.loadUsed(ctx); err != nil {
		return err
	}
	t.log.Info("term begins", zap.Int("rows", len(rows)), zap.Int("progress", len(progress)),
		zap.Int("unresolved_workers", len(t.sched.Unresolved())), zap.Duration("load", time.Since(began)))
	return nil
}

// followQueues puts the newest configuration in force.
func (t *term) followQueues() {
	cfg := t.deps.Queues.Current()
	if cfg == nil || cfg.Version == t.config {
		return
	}
	t.config = cfg.Version
	t.sched.SetQueues(cfg)
}

func (t *term) loadProgress(ctx context.Context) (map[string]*workload.Progress, error) {
	rows, _, err := rowstore.ReadAll(ctx, t.deps.Store, records.Progress, tenure.Part)
	if err != nil {
		return nil, err
	}
	out := make(map[string]*workload.Progress, len(rows))
	for _, r := range rows {
		p, err := workload.DecodeProgress(r.Value)
		if err != nil {
			// Without its progress a job might run tasks again that are done.
			return nil, errors.Wrapf(err, "progress of job %s", r.Name)
		}
		out[r.Name] = p
	}
	return out, nil
}

// loadJobs reads all parts at once; the feed continues from the oldest of the reads.
func (t *term) loadJobs(ctx context.Context) ([]rowstore.Row, error) {
	parts := records.JobParts()
	rows := make([][]rowstore.Row, len(parts))
	versions := make([]int64, len(parts))
	errs := make([]error, len(parts))
	var wg sync.WaitGroup
	for i, part := range parts {
		wg.Go(func() {
			rows[i], versions[i], errs[i] = rowstore.ReadAll(ctx, t.deps.Store, records.Jobs, part)
		})
	}
	wg.Wait()
	var all []rowstore.Row
	for i := range parts {
		if errs[i] != nil {
			return nil, errs[i]
		}
		if i == 0 || versions[i] < t.jobsFrom {
			t.jobsFrom = versions[i]
		}
		all = append(all, rows[i]...)
	}
	return all, nil
}

func (t *term) loadUsed(ctx context.Context) error {
	rows, _, err := rowstore.ReadAll(ctx, t.deps.Store, records.Workers, tenure.Part)
	if err != nil {
		return err
	}
	// The predecessor may have sent orders until its validity ended, and what they started runs until its lease lapses.
	lapsed := time.Now().Add(tenure.Validity + t.leaseBound())
	for _, r := range rows {
		var u records.UsedWorkers
		if err := records.Decode(r, &u); err != nil {
			return err
		}
		for _, id := range u.IDs {
			t.sched.Inherit(id, lapsed)
			t.used[id] = true
		}
	}
	return nil
}

// leaseBound is the longest time for which something may run on a worker after the last renewal was computed.
func (t *term) leaseBound() time.Duration {
	return time.Duration(float64(t.cfg.Lease)*leaseDrift) + leaseMargin
}

// applyJobs takes rows of the table of jobs: acceptances first, so that a cancellation finds its job.
func (t *term) applyJobs(rows []rowstore.Row, progress map[string]*workload.Progress, inherited bool) {
	now := time.Now()
	for _, r := range rows {
		if _, cancelled := records.CancelledJob(r.Key); cancelled || r.Deleted {
			continue
		}
		if p := progress[r.Name]; p != nil && p.State.Final() {
			t.sched.AddEnded(r.Name, p)
			continue
		}
		if t.sched.Known(r.Name) {
			continue // an entry host has told of it before the feed
		}
		spec, err := workload.DecodeSpec(r.Value)
		if err != nil {
			t.log.Error("job can't be read", zap.String("job", r.Name), zap.Int64("version", r.Version), asynclog.Error(err))
			continue
		}
		if inherited {
			t.sched.AddJob(now, spec, progress[spec.ID], true)
		} else {
			t.addJob(now, spec, "feed")
		}
	}
	for _, r := range rows {
		id, cancelled := records.CancelledJob(r.Key)
		if !cancelled || r.Deleted {
			continue
		}
		t.cancelJob(now, id, "feed")
	}
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

// Snapshot implements rowstore.Handler for the table of jobs.
func (t *term) Snapshot(rows []rowstore.Row) { t.Apply(rows) }

// Apply implements rowstore.Handler for the table of jobs.
func (t *term) Apply(rows []rowstore.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyJobs(rows, nil, false)
	t.wake()
	wait.Signal(t.save) // new jobs wait for a commit
}

// run follows the inputs and plans until ctx ends or the ownership is lost.
func (t *term) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer t.wg.Wait()
	defer cancel()
	jobs := &rowstore.Follower{Store: t.deps.Store, Table: records.Jobs, Parts: records.JobParts(), Handler: t, Log: t.log,
		From: t.jobsFrom, Pace: jobsPace}
	t.wg.Go(func() { jobs.Run(ctx) })
	t.wg.Go(func() { t.deps.Discovery.Follow(ctx, t) })
	t.wg.Go(func() { t.persist(ctx) })
	next := time.Now()
	for ctx.Err() == nil {
		if t.tenure.Lost() {
			t.log.Warn("term ends: another daemon owns the workers")
			return tenure.ErrLost
		}
		t.plan(ctx)
		next = time.Now().Add(planInterval)
		if !wait.ForOrSignal(ctx, time.Until(next), t.planSoon) {
			break
		}
		wait.For(ctx, planDelay)
	}
	t.log.Info("term ends: stopping")
	return nil
}

// plan lets the scheduler decide and sends its orders. Without a valid ownership nothing may be sent, so nothing is
// decided.
func (t *term) plan(ctx context.Context) {
	if !t.tenure.Valid() {
		return
	}
	now := time.Now()
	t.mu.Lock()
	t.followQueues()
	t.followWorkers(ctx)
	if len(t.sched.Unresolved()) > 0 && t.gone() {
		t.sched.LimitUnresolved(now.Add(t.leaseBound()))
	}
	p := t.sched.Plan(now)
	for _, a := range p.Advice {
		t.advice.add(a)
	}
	t.advice.dispatch(ctx)
	starts := t.prepareStarts(p.Starts)
	t.mu.Unlock()
	for _, o := range starts {
		t.wg.Go(func() { t.start(ctx, o) })
	}
	for _, s := range p.Stops {
		t.wg.Go(func() { t.stop(ctx, s) })
	}
	wait.Signal(t.save)
}
