package job

import (
	"context"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/commitlog"
	"github.com/greengagewing/greengagewing/internal/job/worker"
	"github.com/greengagewing/greengagewing/internal/membership"
	"github.com/greengagewing/greengagewing/internal/plan"
	"github.com/greengagewing/greengagewing/internal/tabletest"
	"github.com/greengagewing/greengagewing/ownership"
)

func TestMain(m *testing.M) { tabletest.MainWithChecks(m, 40) }

// lockable is embedded in fakes whose state a test changes while the pool uses them.
type lockable struct{ mu sync.Mutex }

func (l *lockable) withLock(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// fakeGuard is an ownership guard that a test can invalidate.
type fakeGuard struct {
	ownership.Guard
	epoch    int64
	fencedAt time.Time
	lost     atomic.Bool
}

func (g *fakeGuard) Partition() string   { return "pool/p/0" }
func (g *fakeGuard) Epoch() int64        { return g.epoch }
func (g *fakeGuard) FencedAt() time.Time { return g.fencedAt }
func (g *fakeGuard) Check() error {
	if g.lost.Load() {
		return ownership.ErrNotOwner
	}
	return nil
}

// fakeStore holds the journal of a partition across successive owners. Opening it fences the previous owner.
type fakeStore struct {
	lockable
	epoch           int64
	records         [][]byte
	archives        map[int64][]byte
	size            int
	down            bool
	loseNextOutcome bool // the next append takes effect but returns ErrOutcomeUnknown
}

func (s *fakeStore) Open(_ context.Context, g ownership.Guard) (commitlog.Log, [][]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch = g.Epoch()
	var records [][]byte
	for _, id := range slices.Sorted(maps.Keys(s.archives)) {
		records = append(records, s.archives[id])
	}
	return &fakeLog{s: s, epoch: g.Epoch(), closed: make(chan struct{})}, append(records, s.records...), nil
}

// fakeLog is the journal as one owner sees it.
type fakeLog struct {
	s      *fakeStore
	epoch  int64
	closed chan struct{}
	once   sync.Once
}

// fakeCommit is the time that a commit takes.
const fakeCommit = 10 * time.Millisecond

func (l *fakeLog) Append(ctx context.Context, records ...[]byte) error {
	for {
		select {
		case <-ctx.Done():
			return commitlog.ErrNotWritten
		case <-l.closed:
			return commitlog.ErrNotWritten
		case <-time.After(fakeCommit):
		}
		l.s.mu.Lock()
		switch {
		case l.s.epoch != l.epoch:
			l.s.mu.Unlock()
			return commitlog.ErrFenced
		case !l.s.down:
			l.s.records = append(l.s.records, records...)
			for _, r := range records {
				l.s.size += len(r)
			}
			lost := l.s.loseNextOutcome
			l.s.loseNextOutcome = false
			l.s.mu.Unlock()
			if lost {
				return commitlog.ErrOutcomeUnknown
			}
			return nil
		}
		l.s.mu.Unlock()
	}
}

func (l *fakeLog) AppendAsync(...[]byte)       {}
func (l *fakeLog) Flush(context.Context) error { return nil }

func (l *fakeLog) Healthy() bool {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	return !l.s.down
}

func (l *fakeLog) Bytes() int {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	return l.s.size
}

func (l *fakeLog) Compact(_ context.Context, c commitlog.Compaction) error {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	if l.s.epoch != l.epoch || l.s.down {
		return commitlog.ErrNotWritten
	}
	l.s.records, l.s.size = c.Snapshot, 0
	for _, id := range c.Drop {
		delete(l.s.archives, id)
	}
	for _, a := range c.Archive {
		l.s.archives[a.ID] = a.Record
	}
	return nil
}

func (l *fakeLog) Close() { l.once.Do(func() { close(l.closed) }) }

// fakePlans gives every customer the same allowance.
type fakePlans struct {
	lockable
	a    plan.Allowance
	next *plan.Allowance // replaces a after the next lookup
}

var unlimited = plan.Allowance{CPUMilli: 1 << 40, MemoryMB: 1 << 40, Accelerators: 1 << 20, Tasks: 1 << 20}

func (f *fakePlans) Allowance(customer string) (plan.Allowance, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if customer == "nobody" {
		return plan.Allowance{}, plan.ErrUnknownCustomer
	}
	a := f.a
	if f.next != nil {
		f.a, f.next = *f.next, nil
	}
	return a, nil
}

func (f *fakePlans) change(a plan.Allowance) { f.withLock(func() { f.a = a }) }

// fakeCluster has workers that accept every start, and records every violation of a guarantee. It implements the membership
// list and the client of the workers.
type fakeCluster struct {
	lockable
	rng         *rand.Rand
	workers     map[string]*fakeWorker
	lossRate    float64 // probability of losing a request, and of losing a response
	calls       int
	starts      map[string]int
	violations  []string
	behaviourOf func(taskID string) taskBehaviour // by task ID
	renewals    map[time.Time]int                 // number of renewal calls by time
}

// taskBehaviour is how a task behaves once it runs, whatever its job declares.
type taskBehaviour struct {
	time          time.Duration // run time; 0: until stopped
	fails         bool
	usage         Resources
	nonIdempotent bool // a second start is a violation
}

type fakeWorker struct {
	id, domain, rack string
	capacity         Resources
	comparesEpochs   bool
	failsAll         bool
	ignoresOrders    bool // for stop, throttle and checkpoint
	leaving          bool // as shown in the membership list

	boot             int
	maxEpoch         int64
	unreachableUntil time.Time // no request arrives until then
	pausedUntil      time.Time // requests are buffered until then
	buffered         []func()
	tasks            map[worker.TaskRef]*fakeTask
}

type fakeTask struct {
	start worker.Start
	began time.Time
	lease time.Time
	run   taskBehaviour
	state worker.State
}

func newCluster(seed int64, n int, capacity Resources) *fakeCluster {
	c := &fakeCluster{rng: rand.New(rand.NewSource(seed)), workers: map[string]*fakeWorker{}, starts: map[string]int{}, renewals: map[time.Time]int{}}
	c.behaviourOf = func(string) taskBehaviour { return taskBehaviour{time: 5 * time.Second} }
	for i := range n {
		w := &fakeWorker{
			id: fmt.Sprintf("w%02d", i), domain: fmt.Sprintf("d%d", i%2), rack: fmt.Sprintf("r%d", i/2%3), capacity: capacity,
			comparesEpochs: i%2 == 0, tasks: map[worker.TaskRef]*fakeTask{},
		}
		c.workers[w.id] = w
	}
	return c
}

// Workers implements membership.Source; addresses equal IDs.
func (c *fakeCluster) Workers(string) []membership.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []membership.Endpoint
	for _, w := range c.workers {
		out = append(out, membership.Endpoint{ID: w.id, Addr: w.id, FailureDomain: w.domain, Rack: w.rack, Leaving: w.leaving})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func (c *fakeCluster) Minions(string) []membership.Endpoint { return nil }
func (c *fakeCluster) ReportLeaving(string)                 {}

// endDueTasks ends the tasks whose run time or lease is over.
func (w *fakeWorker) endDueTasks(now time.Time) {
	for _, t := range w.tasks {
		if t.state != worker.Running {
			continue
		}
		end := t.began.Add(t.run.time)
		switch {
		case t.run.time > 0 && !end.After(now) && end.Before(t.lease):
			t.state = worker.Done
			if t.run.fails || w.failsAll {
				t.state = worker.Failed
			}
		case !t.lease.After(now):
			t.state = worker.Stopped
		}
	}
}

// call runs f on a worker, subject to the current faults. It returns ErrResponseLost if the request or the response was lost.
func (c *fakeCluster) call(addr string, f func(w *fakeWorker, now time.Time)) error {
	c.mu.Lock()
	c.calls++
	now := time.Now()
	w := c.workers[addr]
	cut := w == nil || now.Before(w.unreachableUntil)
	lostRequest, lostResponse := c.rng.Float64() < c.lossRate, c.rng.Float64() < c.lossRate
	paused := w != nil && now.Before(w.pausedUntil)
	if paused && !cut {
		w.buffered = append(w.buffered, func() { f(w, time.Now()) })
	}
	if cut || paused || lostRequest {
		c.mu.Unlock()
		time.Sleep(worker.CallTimeout)
		return worker.ErrResponseLost
	}
	w.endDueTasks(now)
	f(w, now)
	c.mu.Unlock()
	if lostResponse {
		time.Sleep(worker.CallTimeout)
		return worker.ErrResponseLost
	}
	time.Sleep(time.Millisecond)
	return nil
}

// resume ends a pause: the worker handles the buffered requests.
func (c *fakeCluster) resume(w *fakeWorker) {
	w.endDueTasks(time.Now())
	for _, f := range w.buffered {
		f()
	}
	w.buffered = nil
}

// stale reports whether the worker ignores a message: because it arrived too late or, on workers that compare epochs, because
// its epoch is old. The epoch is a fencing token.
func (w *fakeWorker) stale(epoch, notAfter int64, now time.Time) bool {
	if w.comparesEpochs && epoch < w.maxEpoch {
		return true
	}
	w.maxEpoch = max(w.maxEpoch, epoch)
	return notAfter > 0 && now.UnixMilli() > notAfter
}

func (c *fakeCluster) Start(_ context.Context, addr string, s worker.Start) error {
	refused := false
	err := c.call(addr, func(w *fakeWorker, now time.Time) {
		if w.stale(s.Epoch, s.NotAfterMS, now) {
			refused = true
			return
		}
		ref := worker.TaskRef{TaskID: s.TaskID, Attempt: s.Attempt}
		if w.tasks[ref] != nil {
			return
		}
		run := c.behaviourOf(s.TaskID)
		w.tasks[ref] = &fakeTask{
			start: s, began: now, lease: now.Add(time.Duration(s.LeaseMS) * time.Millisecond), run: run, state: worker.Running,
		}
		c.recordViolations(w, s, run, now)
	})
	if err == nil && refused {
		return worker.ErrNotDelivered
	}
	return err
}

// recordViolations checks the guarantees after a start: no second start of a non-idempotent task, no task on two workers at
// once, no worker over its capacity.
func (c *fakeCluster) recordViolations(w *fakeWorker, s worker.Start, run taskBehaviour, now time.Time) {
	c.starts[s.TaskID]++
	if run.nonIdempotent && c.starts[s.TaskID] > 1 {
		c.violations = append(c.violations, "non-idempotent task started twice: "+s.TaskID)
	}
	var used Resources
	for _, o := range c.workers {
		o.endDueTasks(now)
		for ref, t := range o.tasks {
			if t.state != worker.Running {
				continue
			}
			if o == w {
				used = used.Add(t.start.Resources)
			}
			if ref.TaskID == s.TaskID && (o != w || ref.Attempt != s.Attempt) {
				c.violations = append(c.violations, fmt.Sprintf("%s attempt %x on %s runs on %s as %x", s.TaskID, s.Attempt, w.id, o.id, ref.Attempt))
			}
		}
	}
	if !used.FitsIn(w.capacity) {
		c.violations = append(c.violations, fmt.Sprintf("%s over capacity: %v", w.id, used))
	}
}

func (c *fakeCluster) Renew(_ context.Context, addr string, r worker.Renew) (worker.Report, error) {
	var rep worker.Report
	stale := false
	c.withLock(func() { c.renewals[time.Now()]++ })
	err := c.call(addr, func(w *fakeWorker, now time.Time) {
		if stale = w.stale(r.Epoch, r.NotAfterMS, now); stale {
			return
		}
		for _, ref := range r.Tasks {
			if t := w.tasks[ref]; t != nil && t.state == worker.Running {
				t.lease = now.Add(time.Duration(r.LeaseMS) * time.Millisecond)
			}
		}
		rep = w.report(now)
	})
	switch {
	case err != nil:
		return worker.Report{}, err // a paused worker may still write rep
	case stale:
		return worker.Report{}, worker.ErrStaleEpoch
	}
	return rep, nil
}

func (w *fakeWorker) report(now time.Time) worker.Report {
	rep := worker.Report{
		WorkerID: w.id, BootID: fmt.Sprint(w.boot), MaxEpoch: w.maxEpoch, ClockMS: now.UnixMilli(), Capacity: w.capacity,
	}
	for ref, t := range w.tasks {
		rep.Tasks = append(rep.Tasks, worker.Task{
			TaskID: ref.TaskID, Attempt: ref.Attempt, State: t.state, Resources: t.start.Resources, Usage: t.run.usage,
			RemainingLeaseMS: t.lease.Sub(now).Milliseconds(),
		})
	}
	return rep
}

func (c *fakeCluster) order(addr, id string, o worker.Order, end worker.State) error {
	return c.call(addr, func(w *fakeWorker, now time.Time) {
		t := w.tasks[worker.TaskRef{TaskID: id, Attempt: o.Attempt}]
		if w.stale(o.Epoch, 0, now) || w.ignoresOrders || t == nil || t.state != worker.Running {
			return
		}
		t.state = end
	})
}

func (c *fakeCluster) Stop(_ context.Context, addr, id string, o worker.Order) error {
	return c.order(addr, id, o, worker.Stopped)
}

func (c *fakeCluster) Throttle(_ context.Context, addr, id string, o worker.Order) error {
	return c.order(addr, id, o, worker.Running)
}

func (c *fakeCluster) Checkpoint(_ context.Context, addr, id string, o worker.Order) error {
	return c.order(addr, id, o, worker.Checkpointed)
}

func (c *fakeCluster) Ack(_ context.Context, addr string, a worker.Ack) error {
	return c.call(addr, func(w *fakeWorker, now time.Time) {
		for _, ref := range a.Tasks {
			if t := w.tasks[ref]; t != nil && t.state != worker.Running {
				delete(w.tasks, ref)
			}
		}
	})
}

// running returns the IDs of the workers on which tasks of a job run.
func (c *fakeCluster) running(jobID string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, w := range c.workers {
		w.endDueTasks(time.Now())
		for ref, t := range w.tasks {
			if t.state == worker.Running && strings.HasPrefix(ref.TaskID, jobID+"-") {
				out = append(out, w.id)
			}
		}
	}
	sort.Strings(out)
	return out
}

// fixture is a pool with the fakes that it depends on.
type fixture struct {
	store   *fakeStore
	cluster *fakeCluster
	plans   *fakePlans
	cfg     Config
	guard   *fakeGuard
	pool    *Pool
}

const testPartition = "pool/p/0"

var (
	noMetrics = tally.NoopScope
	noLog     = zap.NewNop()
)

func newFixture(c *fakeCluster) *fixture {
	return &fixture{store: &fakeStore{archives: map[int64][]byte{}}, cluster: c, plans: &fakePlans{a: unlimited}}
}

// startOwner starts a new owner. fenced says that the previous owner was fenced now and did not hand over.
func (f *fixture) startOwner(fenced bool) error {
	epoch := int64(1)
	if f.guard != nil {
		epoch = f.guard.epoch + 1
	}
	f.guard = &fakeGuard{epoch: epoch}
	if fenced {
		f.guard.fencedAt = time.Now()
	}
	f.pool = New(f.cfg, Deps{Journals: f.store, Members: f.cluster, Plans: f.plans, Workers: f.cluster})
	return f.pool.Start(context.Background(), f.guard)
}

// fence makes the owner lose its session and starts a new owner after a while. The old pool is not stopped.
func (f *fixture) fence(after time.Duration) error {
	f.guard.lost.Store(true)
	time.Sleep(after)
	return f.startOwner(true)
}

func (f *fixture) handOver() error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	f.pool.Stop(ctx, testPartition, true)
	return f.startOwner(false)
}

func (f *fixture) stop() { f.pool.Stop(context.Background(), testPartition, false) }

func (f *fixture) submit(s Spec) (Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return f.pool.Submit(ctx, testPartition, s)
}

// batch returns the Spec of an idempotent batch job with a declared run time of 5 s.
func batch(key string, tasks int, res Resources) Spec {
	return Spec{Customer: "c", Key: key, Kind: Batch, Idempotent: true, Tasks: tasks, Resources: res, RunMS: 5000}
}
