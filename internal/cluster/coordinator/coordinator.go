package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/cluster/clock"
	"github.com/greengagewing/greengagewing/internal/cluster/delegate"
	"github.com/greengagewing/greengagewing/internal/cluster/election"
	"github.com/greengagewing/greengagewing/internal/cluster/meter"
	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// Config holds the settings of a coordinator.
type Config struct {
	Delegate   delegate.Config
	Retention  time.Duration // how long the states of ended jobs are kept
	Processors float64       // processor time that the daemon may use, in cores; 0 if unknown
	OwnWorkers int           // maximum number of workers that the owner calls itself; if there are more, delegates call them
	// MaxListAge is the age of the list of workers from which nothing is started: the capacity of a worker may have shrunk since, or
	// it may be draining. 0 means no limit.
	MaxListAge time.Duration
	// MaxRowBytes is the store's limit for the value of a row; 0 means rowstore.DefaultMaxRowBytes.
	MaxRowBytes int
	// Forecast lets the owner compute which queues are overloaded, so that hosts refuse jobs that would end too late to be of use.
	Forecast bool
	// InterferenceAware means that tasks which slow each other down are kept apart where there is room.
	InterferenceAware bool
}

func (c Config) maxValueBytes() int { return rowstore.MaxValueBytes(c.MaxRowBytes) }

// Deps holds the dependencies of a coordinator.
type Deps struct {
	Store        rowstore.Store
	Queues       *queues.ConfigHolder
	Workers      delegate.WorkerClient
	PolicyClient PolicyClient
	Discovery    Discovery
	Clock        clock.Func // also counts while the host is suspended
	// ProcessorTime returns the processor time that this process has used.
	ProcessorTime clock.ProcessorFunc
	Log           *zap.Logger
	Metrics       tally.Scope
	Duties        *meter.Duties // may be nil
}

// ErrNotOwner is returned by queries if this daemon is not the owner or has not loaded the jobs yet. Lookup and Pending
// also return it while the owner's lease is not valid.
var ErrNotOwner = errors.New("coordinator: not the owner")

// Coordinator runs this daemon's terms as the owner, one at a time, and answers queries about the current one.
type Coordinator struct {
	cfg  Config
	deps Deps

	mu   sync.Mutex
	term *term // nil if this daemon is not the owner, or still loads the jobs
}

// New returns a coordinator; Run starts a term.
func New(cfg Config, deps Deps) *Coordinator { return &Coordinator{cfg: cfg, deps: deps} }

// Epoch returns the epoch of the current term, or 0 if there is none.
func (c *Coordinator) Epoch() int64 {
	if t := c.current(); t != nil {
		return t.ownership.Epoch()
	}
	return 0
}

func (c *Coordinator) current() *term {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term
}

// Lookup returns a job's state; known is false if the owner has not received the job, or the caller may not access it.
func (c *Coordinator) Lookup(id string, access workload.Access) (state workload.State, known bool, err error) {
	t := c.current()
	if t == nil || !t.ownership.LeaseValid() {
		return "", false, ErrNotOwner
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	state, known = t.sched.LookupFor(id, access)
	return state, known, nil
}

// Busy reports whether this daemon is the owner and about to fall behind, so that callers that have another way should use it.
func (c *Coordinator) Busy() bool {
	t := c.current()
	return t != nil && t.pressure.shedding()
}

// minStoreSilence is from when the silence of the store is worth telling: a store that answers 76 times slower than usual takes 0.3 s a call.
const minStoreSilence = 300 * time.Millisecond

// StoreSilence returns for how long the store has answered none of this daemon's calls, or 0 if that is no longer than usual.
func (c *Coordinator) StoreSilence() time.Duration {
	r, ok := c.deps.Store.(interface {
		SilentFor() (silent, expected time.Duration)
	})
	if !ok {
		return 0
	}
	silent, expected := r.SilentFor()
	if silent < max(minStoreSilence, 2*expected) {
		return 0
	}
	return silent
}

// Pending returns the number of jobs in a queue that have not started any task. The count may be pendingCacheTTL old.
func (c *Coordinator) Pending(queue string) (int, error) {
	t := c.current()
	if t == nil || !t.ownership.LeaseValid() {
		return 0, ErrNotOwner
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := time.Now(); t.pending == nil || now.Sub(t.pendingAt) > pendingCacheTTL {
		t.pending, t.pendingAt = t.sched.Pending(), now
	}
	return t.pending[queue], nil
}

// pendingCacheTTL is how long Pending reuses a count. Hundreds of hosts ask for it, and a new count iterates over all jobs.
const pendingCacheTTL = 200 * time.Millisecond

// Explain returns the state of a job and the reasons why its tasks wait. It returns false if the job is unknown. Unlike
// Lookup, it also answers while the owner's lease is not valid.
func (c *Coordinator) Explain(id string) (scheduler.JobDump, bool, error) {
	t := c.current()
	if t == nil {
		return scheduler.JobDump{}, false, ErrNotOwner
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	d, ok := t.sched.Explain(id, time.Now())
	return d, ok, nil
}

// NotifyJobStored adds a job that a frontend has stored in the inbox. If this daemon is not the owner it does nothing: the
// next owner reads the job from the inbox.
func (c *Coordinator) NotifyJobStored(spec *workload.Spec) {
	if t := c.current(); t != nil {
		t.addSubmittedJob(spec)
	}
}

// NotifyCancelStored cancels a job whose cancellation a frontend has stored in the inbox.
func (c *Coordinator) NotifyCancelStored(id string) {
	if t := c.current(); t != nil {
		t.cancelSubmittedJob(id)
	}
}

// Run runs one term: it loads the stored jobs and schedules tasks until ctx ends or the ownership is lost. The function
// predecessorGone reports whether the process of the previous owner has certainly ended or released the ownership, so that
// it sends no more orders.
func (c *Coordinator) Run(ctx context.Context, ownership *election.Ownership, predecessorGone func() bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := newTerm(ctx, c, ownership, predecessorGone)
	defer t.assigner.local.agent.Close()
	if err := t.load(ctx); err != nil {
		return err
	}
	c.setTerm(t)
	defer c.setTerm(nil)
	return t.run(ctx)
}

func (c *Coordinator) setTerm(t *term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term = t
}

// Dump returns the state of the current term for operators.
func (c *Coordinator) Dump() any {
	t := c.current()
	if t == nil {
		return map[string]any{"owner": false}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return map[string]any{
		"owner": true, "epoch": t.ownership.Epoch(), "valid": t.ownership.LeaseValid(),
		"delegates": t.assigner.dump(time.Now()), "confirmed_age_ms": t.ownership.SinceLastCommit().Milliseconds(), "scheduler": t.sched.Dump(time.Now()),
	}
}

var _ WorkerSink = (*term)(nil)

// ReplaceAll implements WorkerSink.
func (t *term) ReplaceAll(workers []scheduler.WorkerInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := map[string]bool{}
	for _, w := range workers {
		listed[w.ID] = true
		t.sched.UpsertWorker(time.Now(), w)
	}
	t.assigner.workersListed = true
	t.checkWorkersSoon()
	for _, w := range t.sched.Workers() {
		if !listed[w.ID] {
			t.sched.DelistWorker(w.ID)
		}
	}
	t.requestPlan()
}

// Upsert implements WorkerSink.
func (t *term) Upsert(w scheduler.WorkerInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sched.UpsertWorker(time.Now(), w)
	t.checkWorkersSoon()
	t.requestPlan()
}

// checkWorkersSoon lets the next plan assign workers, and the next commit include the workers in use, without waiting for the usual
// intervals: a worker that was just listed can be used only after that. The caller holds mu.
func (t *term) checkWorkersSoon() {
	t.assigner.assignedAt = time.Time{}
	t.inUseCheckedAt = time.Time{}
}

// Confirm implements WorkerSink. The request that was answered was sent after the previous answer, so the list is confirmed for that
// time. The clock also counts suspensions of this host, during which the list became older as well.
func (t *term) Confirm() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listConfirmedAt, t.lastListAnswer = t.lastListAnswer, t.deps.Clock()
}

// listTooOld reports whether the list of workers is too old to start anything. The caller holds mu.
func (t *term) listTooOld() bool {
	return t.cfg.MaxListAge > 0 && t.deps.Clock()-t.listConfirmedAt > t.cfg.MaxListAge
}

// Remove implements WorkerSink.
func (t *term) Remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.log.Info("worker delisted", zap.String("worker", id))
	t.sched.DelistWorker(id)
	t.requestPlan()
}
