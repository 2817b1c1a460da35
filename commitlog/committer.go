package commitlog

import (
	"context"
	"crypto/rand"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/wait"
	"github.com/greengagewing/greengagewing/ownership"
	"github.com/greengagewing/greengagewing/table"
)

var (
	// ErrUnavailable means that a journal could not be opened because the store did not respond or served a stale read.
	// Open may be retried.
	ErrUnavailable = errors.New("journal: store unavailable")
	// ErrCorrupt means that rows of the partition are missing or cannot be decoded.
	ErrCorrupt = errors.New("journal: rows are corrupt")
	// ErrAlreadyOpen means that the partition's journal is already open at this epoch.
	ErrAlreadyOpen = errors.New("journal: already open")
	// ErrAlreadyRunning means that Run was called twice.
	ErrAlreadyRunning = errors.New("journal: committer was already started")
)

// idleWait is how long Run sleeps while nothing is queued. Any new record wakes it earlier.
const idleWait = time.Minute

// Stats counts what a Committer has done since it was created.
type Stats struct {
	Commits     int64 `json:"commits"`   // calls of table.Client.Commit, including retries and probes
	Rows        int64 `json:"rows"`      // rows that became durable
	Records     int64 `json:"records"`   // records that became durable
	Bytes       int64 `json:"bytes"`     // size of the rows that became durable
	Retries     int64 `json:"retries"`   // commits that wrote nothing and were retried
	Unknown     int64 `json:"unknown"`   // commits with an unknown outcome, such as a lost response
	ReadBacks   int64 `json:"readbacks"` // reads to determine the outcome of a commit
	Probes      int64 `json:"probes"`    // commits without rows that test whether a failing store has recovered
	Fenced      int64 `json:"fenced"`    // journals fenced
	Withdrawn   int64 `json:"withdrawn"` // records whose caller's context ended before they were part of a commit
	Dropped     int64 `json:"dropped"`   // records of AppendAsync that did not fit into the buffer
	Compactions int64 `json:"compactions"`
}

// State is the part of the daemon's state dump that describes a Committer.
type State struct {
	Healthy  bool           `json:"healthy"`
	Failures int            `json:"failures"`     // consecutive failed commits
	InFlight int64          `json:"in_flight_ms"` // age of the commit in flight, 0 if none
	Stats    Stats          `json:"stats"`
	Journals []JournalState `json:"journals"`
}

// JournalState is the part of the state dump that describes one journal.
type JournalState struct {
	Partition     string `json:"partition"`
	Epoch         int64  `json:"epoch"`
	Seq           int64  `json:"seq"`           // sequence number of the last durable segment
	PendingItems  int    `json:"pending_items"` // queued calls
	PendingBytes  int    `json:"pending_bytes"` // size of the records that are queued or part of a commit
	SegmentBytes  int    `json:"segment_bytes"` // size of the segments since the last snapshot
	CoveredRows   int    `json:"covered_rows"`  // rows that the next compaction deletes
	LostRecords   int    `json:"lost_records"`  // dropped by AppendAsync since the last compaction
	State         string `json:"state"`         // open, closed or fenced
	CommitRunning bool   `json:"commit_running"`
}

// Committer writes the records of all journals of one daemon by group commit. At most one commit is in flight; the next
// one writes the records that arrive meanwhile. Committer implements Opener.
type Committer struct {
	client  table.Client
	cfg     Config
	wake    chan struct{}
	limiter tokenBucket // used by Run only

	mu            sync.Mutex
	journals      []*journal
	firstJournal  int // index of the journal that the next commit starts with, modulo the number of journals
	started       bool
	stopped       bool
	failures      int
	inFlightSince time.Time
	stats         Stats
}

var _ Opener = (*Committer)(nil)

// NewCommitter returns a committer. It writes nothing until Run is called.
func NewCommitter(client table.Client, cfg Config) *Committer {
	cfg = cfg.withDefaults()
	return &Committer{
		client:  client,
		cfg:     cfg,
		wake:    make(chan struct{}, 1),
		limiter: tokenBucket{rate: cfg.CommitsPerSecond, burst: float64(cfg.Burst)},
	}
}

// Open implements Opener. It fences the journals that this process has open for the partition at older epochs.
// Errors: ErrUnavailable, ErrFenced, ErrCorrupt, ErrAlreadyOpen.
func (c *Committer) Open(ctx context.Context, guard ownership.Guard) (Log, [][]byte, error) {
	if err := c.fenceOlder(guard); err != nil {
		return nil, nil, err
	}
	r, err := replay(ctx, c.client, guard)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "open %q", guard.Partition())
	}
	j := &journal{
		c: c, guard: guard, partition: guard.Partition(), epoch: guard.Epoch(),
		rowKey: guard.RowKey(), rowVersion: guard.RowVersion(),
		coveredRows: r.coveredRows, segmentBytes: r.bytes, snapshotPosition: r.snapshotPosition,
	}
	if r.lastPosition.epoch == j.epoch {
		j.seq = r.lastPosition.seq
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.findJournal(j.partition, j.epoch) != nil {
		return nil, nil, errors.Wrapf(ErrAlreadyOpen, "open %q", j.partition)
	}
	if c.stopped {
		return nil, nil, errors.Wrap(ErrUnavailable, "committer has stopped")
	}
	c.journals = append(c.journals, j)
	return j, r.records, nil
}

// fenceOlder fences the journals of the partition at older epochs. It returns ErrAlreadyOpen if there is one at this
// epoch.
func (c *Committer) fenceOlder(g ownership.Guard) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.findJournal(g.Partition(), g.Epoch()) != nil {
		return errors.Wrapf(ErrAlreadyOpen, "open %q", g.Partition())
	}
	for _, j := range slices.Clone(c.journals) {
		if j.partition == g.Partition() && j.epoch < g.Epoch() {
			c.fence(j)
		}
	}
	return nil
}

// findJournal returns the open journal of the partition at the epoch, or nil. The caller holds mu.
func (c *Committer) findJournal(partition string, epoch int64) *journal {
	for _, j := range c.journals {
		if j.partition == partition && j.epoch == epoch {
			return j
		}
	}
	return nil
}

// Stats returns the counters.
func (c *Committer) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// State returns the committer's state for the state dump.
func (c *Committer) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := State{Healthy: c.healthy(), Failures: c.failures, Stats: c.stats, Journals: []JournalState{}}
	if !c.inFlightSince.IsZero() {
		s.InFlight = time.Since(c.inFlightSince).Milliseconds()
	}
	for _, j := range c.journals {
		s.Journals = append(s.Journals, j.state())
	}
	return s
}

// healthy reports whether commits succeed in time. The caller holds mu.
func (c *Committer) healthy() bool {
	stalled := !c.inFlightSince.IsZero() && time.Since(c.inFlightSince) > c.cfg.StallAfter
	return !c.stopped && c.failures == 0 && !stalled && !c.cfg.StoreFailing()
}

// wakeRun wakes Run if it waits for work.
func (c *Committer) wakeRun() {
	wait.Signal(c.wake)
}

// Run writes queued records until ctx ends. It then closes all journals, which withdraws the records that are still
// queued.
func (c *Committer) Run(ctx context.Context) error {
	c.mu.Lock()
	if c.started {
		c.mu.Unlock()
		return ErrAlreadyRunning
	}
	c.started = true
	c.mu.Unlock()
	defer c.closeAll()
	for c.awaitWork(ctx) && c.awaitToken(ctx) {
		units, probe := c.takeUnits()
		switch {
		case len(units) > 0:
			c.write(ctx, units)
		case probe:
			c.probe(ctx)
		}
	}
	return nil
}

// closeAll closes all journals and makes Open fail from now on.
func (c *Committer) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	for _, j := range slices.Clone(c.journals) {
		c.endJournal(j, errClosed, ErrNotWritten)
	}
}

// awaitWork waits until there is something to commit and returns true. If the last commit failed, it returns true at
// once, so that the store is probed; the backoff after the failure has passed by then. It returns false when ctx ends.
func (c *Committer) awaitWork(ctx context.Context) bool {
	for ctx.Err() == nil {
		delay, pending := c.nextCommitDelay(time.Now())
		switch {
		case pending && delay <= 0:
			return true
		case !pending:
			delay = idleWait
		}
		wait.ForOrSignal(ctx, delay, c.wake)
	}
	return false
}

// nextCommitDelay returns how long the next commit may be delayed: not at all if a caller waits for it, and otherwise
// until the oldest record of AppendAsync has waited for AsyncDelay. pending is false if there is nothing to commit.
func (c *Committer) nextCommitDelay(now time.Time) (delay time.Duration, pending bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failures > 0 {
		return 0, true
	}
	for _, j := range c.journals {
		j.completeWithoutCommit()
		if len(j.queue) == 0 {
			continue
		}
		if slices.ContainsFunc(j.queue, func(it *item) bool { return it.done != nil && !it.withdrawn }) {
			return 0, true
		}
		if left := c.cfg.AsyncDelay - now.Sub(j.queue[0].queued); !pending || left < delay {
			delay, pending = left, true
		}
	}
	return delay, pending
}

// awaitToken waits until the rate limiter allows a commit. It returns false when ctx ends.
func (c *Committer) awaitToken(ctx context.Context) bool {
	for {
		c.limiter.rate = c.cfg.Rate()
		delay := c.limiter.take(time.Now())
		if delay == 0 {
			return true
		}
		if !wait.For(ctx, delay) {
			return false
		}
	}
}

// takeUnits moves queued records into the units of the next commit. A compaction is a commit of its own, so that its size
// and its failures affect one journal only. The journals are served round robin. probe is true if the last commit failed,
// so that the store has to be probed even if there are no units.
func (c *Committer) takeUnits() (units []*unit, probe bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	size := 0
	for i := range c.journals {
		j := c.journals[(c.firstJournal+i)%len(c.journals)]
		j.completeWithoutCommit()
		if len(j.queue) == 0 || j.inFlight || size >= maxCommitBytes {
			continue
		}
		if j.queue[0].compaction != nil {
			if len(units) == 0 {
				units = append(units, j.takeCompaction())
				break
			}
			continue
		}
		u := j.takeSegment()
		units = append(units, u)
		size += u.size
	}
	c.firstJournal++
	return units, c.failures > 0
}

// commit makes one call to the store and updates the counters and the health.
func (c *Committer) commit(ctx context.Context, txn table.Txn) error {
	c.mu.Lock()
	c.inFlightSince = time.Now()
	c.stats.Commits++
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CommitTimeout)
	defer cancel()
	_, err := c.client.Commit(ctx, txn)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlightSince = time.Time{}
	if err == nil || errors.Is(err, table.ErrConflict) {
		c.resetFailures()
		return err
	}
	if c.failures == 0 {
		c.cfg.Logger.Warn("journal commits fail", zap.Error(err))
	}
	c.failures++
	return err
}

// resetFailures notes that the store has processed a commit. The caller holds mu.
func (c *Committer) resetFailures() {
	if c.failures > 0 {
		c.cfg.Logger.Info("journal commits succeed again", zap.Int("failures", c.failures))
	}
	c.failures = 0
}

// backOff waits for the backoff after the current number of failures. It returns false when ctx ends.
func (c *Committer) backOff(ctx context.Context) bool {
	c.mu.Lock()
	d := retryDelay(max(1, c.failures), c.cfg.Rand())
	c.mu.Unlock()
	return wait.For(ctx, d)
}

// probe makes a commit without rows, under the conditions of all journals. It detects that the store takes commits again
// when nothing is queued, because callers refuse requests while a journal is unhealthy. It also detects fenced journals.
func (c *Committer) probe(ctx context.Context) {
	c.mu.Lock()
	c.stats.Probes++
	txn := table.Txn{Ops: []table.Op{}}
	for _, j := range c.journals {
		txn.Conditions = append(txn.Conditions, j.condition())
	}
	c.mu.Unlock()
	err := c.commit(ctx, txn)
	var conflict *table.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		c.mu.Lock()
		for _, j := range slices.Clone(c.journals) {
			if j.fencedBy(conflict) {
				c.fence(j)
			}
		}
		c.mu.Unlock()
	default:
		c.backOff(ctx)
	}
}

// newTag returns a random tag by which a writer recognizes its own row.
func newTag() string { return rand.Text() }
