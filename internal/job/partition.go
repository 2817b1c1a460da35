package job

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/job/placement"
	"github.com/greengagewing/greengagewing/internal/plan"
	"github.com/greengagewing/greengagewing/internal/wait"
	"github.com/greengagewing/greengagewing/journal"
	"github.com/greengagewing/greengagewing/ownership"
)

const (
	taskLease     = 15 * time.Second
	renewInterval = 2 * time.Second
	// leaseMargin covers the delivery of a renewal (at most worker.CallTimeout) and the drift of the clocks over one lease.
	leaseMargin = time.Second
	// leaseEnd is when a lease that was sent has definitely expired.
	leaseEnd = taskLease + leaseMargin

	pollInterval   = time.Second // of the membership list and of deadlines
	roundInterval  = 250 * time.Millisecond
	roundPause     = 5 * time.Millisecond
	retrySoon      = time.Second
	retryStore     = 2 * time.Second
	journalRetry   = 200 * time.Millisecond
	compactTimeout = 5 * time.Second
	drainPoll      = 20 * time.Millisecond

	journalQueue = 4096 // entries
	journalBatch = 512  // entries per append
	cancelQueue  = 1024 // jobs
	cancelChunk  = 64   // tasks that the cancellation loop handles before it yields the books
)

// partition is one pool partition that this daemon owns. Its books are guarded by mu; its goroutines take turns on
// them and never hold mu while they call another process.
type partition struct {
	name    string
	pool    string
	number  int
	cfg     Config
	deps    Deps
	guard   ownership.Guard
	log     journal.Log
	zap     *zap.Logger
	scope   tally.Scope
	started time.Time
	base    time.Time // the previous owner has sent nothing since

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	gate appendGate

	placeWait  tally.Timer
	wake       chan struct{} // capacity 1: the scheduling loop
	wakeCancel chan struct{} // capacity 1: the cancellation loop
	journalCh  chan journalEntry

	mu         sync.Mutex
	draining   bool
	settled    bool // tasks of the previous owner are accounted for
	jobs       map[string]*job
	customers  map[string][]*job
	deadlines  map[string]*job
	gangs      map[string]*job // with a start under way
	endedJobs  []*job          // in the order of their ends
	cancels    []*job
	cancelling int // cancellations being journaled
	openTasks  int
	finishing  int // results being journaled
	workers    map[string]*workerBook
	eligible   int // listed workers that are not leaving
	uses       map[string]*customerUse
	allowances map[string]plan.Allowance // as looked up in this scheduling round
	index      *placement.Index
	queue      *queue
	reserved   *reservation
	attempts   int64
	tickets    int64
	doubleRuns int64
}

type journalEntry struct {
	records [][]byte
	done    func(now time.Time) // called with the books locked once the records are durable
}

const attemptBits = 32 // attempts per epoch

func openPartition(ctx context.Context, cfg Config, deps Deps, g ownership.Guard) (*partition, error) {
	pool, n, err := parsePartition(g.Partition())
	if err != nil {
		return nil, err
	}
	log, records, err := deps.Journals.Open(ctx, g)
	if err != nil {
		return nil, errors.Wrap(err, "job: open journal")
	}
	p := &partition{
		name: g.Partition(), pool: pool, number: n, cfg: cfg, deps: deps, guard: g, log: log,
		zap:     deps.Log.With(zap.String("partition", g.Partition()), zap.Int64("epoch", g.Epoch())),
		scope:   deps.Metrics.Tagged(map[string]string{"partition": g.Partition()}),
		started: time.Now(), base: time.Now(),
		wake: make(chan struct{}, 1), wakeCancel: make(chan struct{}, 1), journalCh: make(chan journalEntry, journalQueue),
		jobs: map[string]*job{}, customers: map[string][]*job{}, deadlines: map[string]*job{}, gangs: map[string]*job{},
		workers: map[string]*workerBook{}, uses: map[string]*customerUse{}, allowances: map[string]plan.Allowance{},
		index: placement.NewIndex(), queue: newQueue(), attempts: g.Epoch() << attemptBits,
	}
	if at := g.FencedAt(); !at.IsZero() && at.Before(p.base) {
		p.base = at
	}
	p.placeWait = p.scope.Timer("place_wait")
	p.ctx, p.cancel = context.WithCancel(context.Background())
	if err := p.restore(records); err != nil {
		p.cancel()
		log.Close()
		return nil, err
	}
	return p, nil
}

func (p *partition) run() {
	p.mu.Lock()
	for _, w := range p.workers {
		p.control(w)
	}
	p.mu.Unlock()
	p.spawn(p.journalLoop)
	p.spawn(p.scheduleLoop)
	p.spawn(p.cancelLoop)
	p.spawn(p.pollLoop)
	p.spawn(p.compactLoop)
}

func (p *partition) spawn(f func()) {
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		f()
	}()
}

// abort stops the goroutines; nothing is sent once it returns.
func (p *partition) abort() {
	p.cancel()
	p.log.Close()
	p.wg.Wait()
}

// drain stops scheduling and returns once no start is under way and all results are journaled, or ctx ends.
func (p *partition) drain(ctx context.Context) {
	p.mu.Lock()
	p.draining = true
	p.mu.Unlock()
	for !p.idle() {
		if !wait.For(ctx, drainPoll) {
			return
		}
	}
	if err := p.log.Flush(ctx); err != nil {
		p.zap.Warn("journal not flushed at handover", zap.Error(err))
	}
}

func (p *partition) idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.journalCh) > 0 || p.cancelling > 0 || p.finishing > 0 {
		return false
	}
	for _, w := range p.workers {
		for _, pl := range w.placed {
			if pl.phase == phaseJournal || pl.phase == phaseSend || pl.inFlight {
				return false
			}
		}
	}
	for _, j := range p.jobs {
		if !j.accepted {
			return false
		}
	}
	return true
}

func (p *partition) count(name string, n int64) { p.scope.Counter(name).Inc(n) }

// journal queues records for the journal loop. It returns false if the queue is full.
func (p *partition) journal(records []record, done func(now time.Time)) bool {
	raw := make([][]byte, len(records))
	for i, r := range records {
		raw[i] = r.encode()
	}
	select {
	case p.journalCh <- journalEntry{records: raw, done: done}:
		return true
	default:
		return false
	}
}

// journalAsync queues a record whose loss is safe: without it a successor takes the task for unknown.
func (p *partition) journalAsync(r record) { p.journal([]record{r}, nil) }

// journalLoop makes queued records durable in batches. During an outage of the store it waits, and the queue fills.
func (p *partition) journalLoop() {
	for {
		var batch []journalEntry
		select {
		case <-p.ctx.Done():
			return
		case e := <-p.journalCh:
			batch = append(batch, e)
		}
		for len(batch) < journalBatch && len(p.journalCh) > 0 {
			batch = append(batch, <-p.journalCh)
		}
		if !p.writeBatch(batch) {
			return
		}
	}
}

func (p *partition) writeBatch(batch []journalEntry) bool {
	var records [][]byte
	for _, e := range batch {
		records = append(records, e.records...)
	}
	if !p.gate.enter(p.ctx, p.ctx) {
		return false
	}
	defer p.gate.leave()
	// A repeated record has no further effect, so an unknown outcome is resolved by appending again.
	for {
		err := p.log.Append(p.ctx, records...)
		if err == nil {
			break
		}
		if errors.Is(err, journal.ErrFenced) || p.ctx.Err() != nil {
			return false
		}
		if !wait.For(p.ctx, journalRetry) {
			return false
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, e := range batch {
		if e.done != nil {
			e.done(now)
		}
	}
	return true
}

func (p *partition) scheduleLoop() {
	wait.EveryOrSignal(p.ctx, roundInterval, p.wake, func(ctx context.Context) {
		p.mu.Lock()
		began := time.Now()
		if p.round(began) {
			signal(p.wake)
		}
		took := time.Since(began)
		p.mu.Unlock()
		// With very many waiting jobs a round is long. Reports and submissions get the books for as long as it took.
		if took > roundPause {
			wait.For(ctx, took)
		}
	})
}

// cancelLoop stops what remains of abandoned jobs, a chunk of tasks at a time.
func (p *partition) cancelLoop() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-p.wakeCancel:
		}
		for p.cancelJob() {
		}
	}
}

func (p *partition) cancelJob() bool {
	p.mu.Lock()
	if len(p.cancels) == 0 {
		p.mu.Unlock()
		return false
	}
	j := p.cancels[0]
	p.cancels = p.cancels[1:]
	tasks := j.tasks
	p.mu.Unlock()
	for len(tasks) > 0 {
		n := min(cancelChunk, len(tasks))
		p.mu.Lock()
		now := time.Now()
		for _, t := range tasks[:n] {
			switch {
			case t.place != nil:
				p.stopPlaced(t.place, stopEnd, now)
			case t.state == Pending && !t.held && !t.finishing:
				p.endTask(t, j.endAs, now)
			}
		}
		p.mu.Unlock()
		tasks = tasks[n:]
	}
	return true
}

func (p *partition) pollLoop() {
	wait.Every(p.ctx, pollInterval, func(context.Context) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.poll(time.Now())
	})
}

// poll reads the membership list and handles everything that is due by time.
func (p *partition) poll(now time.Time) {
	p.readMembers(now)
	p.trySettle(now)
	for _, w := range p.workers {
		p.refresh(w, now)
	}
	for _, j := range p.deadlines {
		if now.After(j.at.Add(time.Duration(j.spec.TimeoutMS) * time.Millisecond)) {
			delete(p.deadlines, j.id)
			p.giveUp(j, "timeout_ms has passed", now)
		}
	}
	for id, j := range p.gangs {
		if j.gangConfirmed(); j.gang.confirmBy.IsZero() || j.ended() {
			delete(p.gangs, id)
		} else if now.After(j.gang.confirmBy) {
			delete(p.gangs, id)
			j.gang.confirmBy = time.Time{}
			p.gangLost(j, now)
		}
	}
	p.expire(now)
	p.scope.Gauge("waiting").Update(float64(p.queue.waiting()))
	p.scope.Gauge("workers").Update(float64(len(p.workers)))
}

func (p *partition) giveUp(j *job, reason string, now time.Time) {
	if !j.cancelled && !j.ended() {
		p.journalAsync(record{T: recordCancel, At: now, Job: j.id, State: Failed, Reason: reason})
		p.abandon(j, Failed, reason)
	}
}

func (p *partition) readMembers(now time.Time) {
	listed := map[string]bool{}
	p.eligible = 0
	for _, e := range p.deps.Members.Workers(p.pool) {
		if bucket(e.ID, p.cfg.Partitions) != p.number {
			continue
		}
		listed[e.ID] = true
		w := p.workers[e.ID]
		if w == nil {
			w = newWorkerBook(e.ID, e.Addr, e.FailureDomain, e.Rack)
			p.workers[e.ID] = w
			p.control(w)
		}
		if e.Leaving && !w.leaving {
			p.zap.Info("worker is leaving", zap.String("worker", w.id))
		}
		w.addr, w.listed, w.leaving = e.Addr, true, e.Leaving
		if w.leaving {
			p.moveAway(w, now)
		} else {
			p.eligible++
		}
	}
	for id, w := range p.workers {
		if listed[id] {
			continue
		}
		w.listed = false
		idle := len(w.placed) == 0 && len(w.unknown) == 0
		if idle && now.Sub(w.lastSeen) > leaseEnd && now.Sub(p.started) > leaseEnd {
			p.removeWorker(w, now)
		}
	}
}

// removeWorker drops a worker that is not listed any more and on which nothing runs.
func (p *partition) removeWorker(w *workerBook, now time.Time) {
	delete(p.workers, w.id)
	if w.node != nil {
		p.index.Remove(w.node)
	}
	w.quit()
	if w.enrolled {
		p.journalAsync(record{T: recordGone, At: now, Worker: w.id})
	}
}

// trySettle ends the wait after a takeover: once every worker has reported, or every lease that the previous owner can
// have given has expired, a task that was not found does not run.
func (p *partition) trySettle(now time.Time) {
	if p.settled {
		return
	}
	if now.Before(p.base.Add(leaseEnd)) {
		if len(p.workers) == 0 {
			return
		}
		for _, w := range p.workers {
			if !w.reported {
				return
			}
		}
	}
	p.settled = true
	for _, j := range p.jobs {
		if j.accepted && !j.ended() {
			p.settleJob(j, now)
		}
	}
}

func (p *partition) settleJob(j *job, now time.Time) {
	found, missing := 0, 0
	for _, t := range j.tasks {
		switch {
		case t.place != nil || t.finishing:
			found++
		case t.held:
			t.held = false
			missing++
			if j.cancelled {
				p.endTask(t, j.endAs, now)
			} else if j.spec.Kind != Gang {
				p.enqueueTask(t, now, now)
			}
		}
	}
	if j.spec.Kind != Gang || j.cancelled || j.ended() {
		return
	}
	switch {
	case j.gang.undoing:
		p.gangStep(j, now)
	case missing > 0 && found > 0:
		p.gangLost(j, now)
	case missing > 0:
		p.enqueueGang(j, now, now)
	}
}

func (p *partition) expire(now time.Time) {
	for len(p.endedJobs) > 0 && now.Sub(p.endedJobs[0].endedAt) > p.cfg.Retention {
		j := p.endedJobs[0]
		p.endedJobs = p.endedJobs[1:]
		delete(p.jobs, j.id)
		p.dropFromCustomer(j)
	}
}

func (p *partition) dropFromCustomer(j *job) {
	list := p.customers[j.spec.Customer]
	for i, o := range list {
		if o == j {
			list = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(p.customers, j.spec.Customer)
		return
	}
	p.customers[j.spec.Customer] = list
}

func (p *partition) addJob(s Spec, fingerprint string, at time.Time) *job {
	j := &job{
		id: jobID(s.Customer, s.Key), spec: s, fingerprint: fingerprint, at: at, decided: make(chan struct{}),
		counts: map[State]int{Pending: s.Tasks},
	}
	if s.Kind == Service {
		j.spread = placement.NewSpread()
	}
	j.tasks = make([]*task, s.Tasks)
	for i := range j.tasks {
		j.tasks[i] = &task{job: j, idx: i, id: taskID(j.id, i), state: Pending, size: s.Resources}
	}
	p.jobs[j.id] = j
	p.customers[s.Customer] = append(p.customers[s.Customer], j)
	p.openTasks += s.Tasks
	return j
}

func (p *partition) dropJob(j *job) {
	delete(p.jobs, j.id)
	p.dropFromCustomer(j)
	p.openTasks -= len(j.tasks)
	close(j.decided)
}

func (p *partition) accept(j *job, now time.Time) {
	if j.accepted {
		return
	}
	j.accepted = true
	close(j.decided)
	if j.spec.TimeoutMS > 0 {
		p.deadlines[j.id] = j
	}
	p.enqueueJob(j, now)
	p.count("jobs_accepted", 1)
}

// admit returns a refusal for a job that cannot be accepted now. It runs with the books locked.
func (p *partition) admit(s Spec) error {
	if p.draining {
		return refuse(CodeDraining, retrySoon, "the partition is being handed over")
	}
	if p.guard.Check() != nil {
		return refuse(CodeNoOwner, retrySoon, "this daemon does not own %s", p.name)
	}
	a, err := p.deps.Plans.Allowance(s.Customer)
	switch {
	case errors.Is(err, plan.ErrUnknownCustomer):
		return refuse(CodeUnknownCustomer, 0, "customer %q holds no plan", s.Customer)
	case err != nil:
		return refuse(CodeStoreUnavailable, retryStore, "allowances are not confirmed")
	}
	if err := checkAllowance(s, a); err != nil {
		return err
	}
	if n := s.needAtOnce(); p.index.Len() > 0 && p.index.FitsEmpty(s.Resources, n) < n {
		return refuse(CodeTooLarge, 0, "%d tasks of this size do not fit on the workers of the pool", n)
	}
	if p.openTasks+s.Tasks > p.cfg.MaxTasks {
		return refuse(CodeQueueFull, retryStore, "the pool has %d tasks that have not ended", p.openTasks)
	}
	if !p.log.Healthy() {
		return refuse(CodeStoreUnavailable, retryStore, "the job cannot be journaled now")
	}
	return nil
}

// needAtOnce returns how many tasks must fit on the pool together for the job to run.
func (s Spec) needAtOnce() int {
	if s.Kind == Batch {
		return 1
	}
	return s.Tasks
}

// checkAllowance refuses a job that the customer's allowance would never let run.
func checkAllowance(s Spec, a plan.Allowance) error {
	need := s.Resources.Times(s.needAtOnce())
	over := func(code Code, what string, need, have int64) error {
		return refuse(code, 0, "the job needs %d %s at once; the allowance is %d", need, what, have)
	}
	switch {
	case s.needAtOnce() > a.Tasks:
		return over(CodeAllowanceTasks, "tasks", int64(s.needAtOnce()), int64(a.Tasks))
	case need.CPUMilli > a.CPUMilli:
		return over(CodeAllowanceCPU, "cpu_milli", need.CPUMilli, a.CPUMilli)
	case need.MemoryMB > a.MemoryMB:
		return over(CodeAllowanceMemory, "memory_mb", need.MemoryMB, a.MemoryMB)
	case need.Accelerators > a.Accelerators:
		return over(CodeAllowanceAccelerators, "accelerators", need.Accelerators, a.Accelerators)
	}
	return nil
}

func (p *partition) submit(ctx context.Context, s Spec) (Status, error) {
	j, st, err := p.propose(ctx, s)
	if j == nil {
		return st, err
	}
	rec := record{T: recordJob, At: j.at, Job: j.id, Spec: &s, Fingerprint: j.fingerprint}
	if !p.gate.enter(ctx, p.ctx) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.dropJob(j)
		return Status{}, refuse(CodeStoreUnavailable, retrySoon, "the journal is being compacted")
	}
	defer p.gate.leave()
	err = p.log.Append(ctx, rec.encode())
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err == nil:
		p.accept(j, time.Now())
		return j.status(), nil
	case errors.Is(err, journal.ErrFenced):
		p.dropJob(j)
		return Status{}, refuse(CodeNoOwner, retrySoon, "another daemon owns %s", p.name)
	case errors.Is(err, journal.ErrNotWritten):
		p.dropJob(j)
		return Status{}, refuse(CodeStoreUnavailable, retryStore, "the job was not journaled")
	}
	// Appending again decides whether the job is accepted; until then a call with the same key waits.
	if !p.journal([]record{rec}, func(now time.Time) { p.accept(j, now) }) {
		p.dropJob(j)
	}
	return Status{}, &Refusal{
		Code: CodeOutcomeUnknown, Message: "the job may have been accepted", Kept: KeptMaybe, RetryAfter: retryStore,
	}
}

// propose enters a new job on the books, undecided. It returns no job if the key is known or the job is refused.
func (p *partition) propose(ctx context.Context, s Spec) (*job, Status, error) {
	fingerprint := s.fingerprint()
	for {
		p.mu.Lock()
		j := p.jobs[jobID(s.Customer, s.Key)]
		if j == nil {
			defer p.mu.Unlock()
			if err := p.admit(s); err != nil {
				p.count("jobs_refused", 1)
				return nil, Status{}, err
			}
			return p.addJob(s, fingerprint, time.Now()), Status{}, nil
		}
		st, accepted := j.status(), j.accepted
		p.mu.Unlock()
		if j.fingerprint != fingerprint {
			return nil, Status{}, refuse(CodeKeyReused, 0, "the key was used for another job")
		}
		if accepted {
			return nil, st, nil
		}
		select {
		case <-j.decided:
		case <-ctx.Done():
			return nil, Status{}, &Refusal{
				Code: CodeOutcomeUnknown, Message: "the job may have been accepted", Kept: KeptMaybe, RetryAfter: retryStore,
			}
		case <-p.ctx.Done():
			return nil, Status{}, &Refusal{
				Code: CodeNoOwner, Message: "the partition moves to another daemon", Kept: KeptMaybe, RetryAfter: retrySoon,
			}
		}
	}
}

func (p *partition) find(customer, key string) *job {
	if j := p.jobs[jobID(customer, key)]; j != nil && j.accepted {
		return j
	}
	return nil
}

func (p *partition) status(customer, key string) (Status, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j := p.find(customer, key); j != nil {
		return j.status(), nil
	}
	return Status{}, refuse(CodeNotFound, 0, "no job with this key")
}

func (p *partition) list(customer string) []Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Status, 0, len(p.customers[customer]))
	for _, j := range p.customers[customer] {
		if j.accepted {
			out = append(out, j.status())
		}
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].AcceptedAt.Before(out[b].AcceptedAt) })
	return out
}

func (p *partition) cancelByKey(ctx context.Context, customer, key string) (Status, error) {
	p.mu.Lock()
	j := p.find(customer, key)
	switch {
	case j == nil:
		p.mu.Unlock()
		return Status{}, refuse(CodeNotFound, 0, "no job with this key")
	case j.ended() || j.cancelled:
		defer p.mu.Unlock()
		return j.status(), nil
	case len(p.cancels)+p.cancelling >= cancelQueue:
		p.mu.Unlock()
		return Status{}, refuse(CodeQueueFull, retrySoon, "too many cancellations are waiting")
	case !p.log.Healthy():
		p.mu.Unlock()
		return Status{}, refuse(CodeStoreUnavailable, retryStore, "the cancellation cannot be journaled now")
	}
	p.cancelling++
	p.mu.Unlock()
	if !p.gate.enter(ctx, p.ctx) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.cancelling--
		return Status{}, refuse(CodeStoreUnavailable, retrySoon, "the journal is being compacted")
	}
	defer p.gate.leave()
	err := p.log.Append(ctx, record{T: recordCancel, At: time.Now(), Job: j.id, State: Cancelled}.encode())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancelling--
	switch {
	case err == nil:
		p.abandon(j, Cancelled, "cancelled by the customer")
		p.count("cancellations", 1)
		return j.status(), nil
	case errors.Is(err, journal.ErrFenced):
		return Status{}, refuse(CodeNoOwner, retrySoon, "another daemon owns %s", p.name)
	case errors.Is(err, journal.ErrNotWritten):
		return Status{}, refuse(CodeStoreUnavailable, retryStore, "the cancellation was not journaled")
	}
	return Status{}, &Refusal{
		Code: CodeOutcomeUnknown, Message: "the cancellation may take effect", Kept: KeptMaybe, RetryAfter: retryStore,
	}
}

// PartitionState is the dump of one partition.
type PartitionState struct {
	Partition    string        `json:"partition"`
	Epoch        int64         `json:"epoch"`
	Settled      bool          `json:"settled"`
	Draining     bool          `json:"draining"`
	Jobs         map[State]int `json:"jobs"`
	OpenTasks    int           `json:"open_tasks"`
	Waiting      int           `json:"waiting"`
	Cancels      int           `json:"cancellations_waiting"`
	DoubleRuns   int64         `json:"double_runs"`
	ReservedFor  string        `json:"reserved_for,omitempty"`
	JournalBytes int           `json:"journal_bytes"`
	JournalOK    bool          `json:"journal_healthy"`
	Workers      []WorkerState `json:"workers"`
}

// WorkerState is the dump of one worker.
type WorkerState struct {
	ID               string    `json:"id"`
	Addr             string    `json:"addr"`
	BootID           string    `json:"boot_id"`
	Open             bool      `json:"open"`
	Leaving          bool      `json:"leaving"`
	Reported         bool      `json:"reported"`
	Misses           int       `json:"missed_renewals"`
	Capacity         Resources `json:"capacity"`
	Used             Resources `json:"used"`
	Tasks            int       `json:"tasks"`
	UnknownTasks     int       `json:"unknown_tasks"`
	QuarantinedUntil time.Time `json:"quarantined_until,omitzero"`
}

func (p *partition) dump() PartitionState {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := PartitionState{
		Partition: p.name, Epoch: p.guard.Epoch(), Settled: p.settled, Draining: p.draining, Jobs: map[State]int{},
		OpenTasks: p.openTasks, Waiting: p.queue.waiting(), Cancels: len(p.cancels), DoubleRuns: p.doubleRuns,
		JournalBytes: p.log.Bytes(), JournalOK: p.log.Healthy(), Workers: []WorkerState{},
	}
	if p.reserved != nil {
		s.ReservedFor = p.reserved.job.id
	}
	for _, j := range p.jobs {
		s.Jobs[j.state()]++
	}
	for _, w := range p.workers {
		ws := WorkerState{
			ID: w.id, Addr: w.addr, BootID: w.bootID, Leaving: w.leaving, Reported: w.reported, Misses: w.misses, Used: w.used,
			Tasks: len(w.placed), UnknownTasks: len(w.unknown), QuarantinedUntil: w.health.until,
		}
		if w.node != nil {
			ws.Open, ws.Capacity = w.node.Open(), w.node.Capacity()
		}
		s.Workers = append(s.Workers, ws)
	}
	sort.Slice(s.Workers, func(a, b int) bool { return s.Workers[a].ID < s.Workers[b].ID })
	return s
}
