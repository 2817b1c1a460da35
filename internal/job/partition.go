package job

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/commitlog"
	"github.com/greengagewing/greengagewing/internal/job/placement"
	"github.com/greengagewing/greengagewing/internal/plan"
	"github.com/greengagewing/greengagewing/ownership"
)

const (
	taskLease     = 15 * time.Second // how long a worker runs a task without a renewal
	renewInterval = 2 * time.Second
	// leaseMargin covers the delivery time of a renewal (at most worker.CallTimeout) and the clock drift during one lease.
	leaseMargin = time.Second
	// leaseExpiry is the time after sending a lease at which it has certainly expired on the worker.
	leaseExpiry = taskLease + leaseMargin
)

// partition is one pool partition that this daemon owns. Its in-memory state is guarded by mu. No goroutine holds mu while it
// calls another process.
type partition struct {
	name           string
	pool           string
	number         int
	cfg            Config
	deps           Deps
	guard          ownership.Guard
	log            commitlog.Log
	logger         *zap.Logger
	scope          tally.Scope
	started        time.Time
	predecessorEnd time.Time // the previous owner was fenced by then and has sent nothing since

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	gate appendGate

	placeWait     tally.Timer
	wakeScheduler chan struct{} // capacity 1: signals the scheduling loop
	wakeCancel    chan struct{} // capacity 1: signals the cancellation loop
	journalCh     chan journalEntry

	mu              sync.Mutex
	draining        bool
	settled         bool              // it is known of every task of the previous owner whether it still runs; see trySettle
	jobs            map[string]*job   // by job ID
	customers       map[string][]*job // by customer
	deadlines       map[string]*job   // by job ID; open jobs with a timeout
	gangs           map[string]*job   // by job ID; gangs whose start is in progress
	endedJobs       []*job            // ordered by end time
	archives        archives
	snapshotBytes   int    // size of the snapshot of the last compaction
	cancels         []*job // cancelled or failed jobs whose tasks the cancellation loop has yet to stop
	cancelling      int    // cancellations being journaled
	openTasks       int
	finishing       int // task results being journaled
	workers         map[string]*workerInfo
	eligibleWorkers int                       // workers in the membership list that are not leaving
	usageByCustomer map[string]*customerUsage // of assigned tasks
	allowances      map[string]plan.Allowance // by customer; looked up in the current scheduling round
	index           *placement.Index
	queue           *queue
	reserved        *reservation // nil if no workers are reserved
	lastAttempt     int64        // number of the latest attempt; see attemptBits
	lastTicket      int64        // of the latest queue item
	doubleRuns      int64        // attempts that were found running beside the confirmed one of their task
}

// attemptBits is the number of low bits of an attempt number that count within an epoch. The bits above hold the epoch, so
// that the attempts of different owners never have the same number.
const attemptBits = 32

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
		logger:  deps.Log.With(zap.String("partition", g.Partition()), zap.Int64("epoch", g.Epoch())),
		scope:   deps.Metrics.Tagged(map[string]string{"partition": g.Partition()}),
		started: time.Now(), predecessorEnd: time.Now(),
		wakeScheduler: make(chan struct{}, 1), wakeCancel: make(chan struct{}, 1), journalCh: make(chan journalEntry, journalQueueSize),
		jobs: map[string]*job{}, customers: map[string][]*job{}, deadlines: map[string]*job{}, gangs: map[string]*job{},
		workers: map[string]*workerInfo{}, usageByCustomer: map[string]*customerUsage{}, allowances: map[string]plan.Allowance{},
		index: placement.NewIndex(), queue: newQueue(), lastAttempt: g.Epoch() << attemptBits,
	}
	if at := g.FencedAt(); !at.IsZero() && at.Before(p.predecessorEnd) {
		p.predecessorEnd = at
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

// run starts the goroutines of the partition and of its workers.
func (p *partition) run() {
	p.mu.Lock()
	for _, w := range p.workers {
		p.startWorkerLoops(w)
	}
	p.mu.Unlock()
	p.goTracked(p.journalLoop)
	p.goTracked(p.scheduleLoop)
	p.goTracked(p.cancelLoop)
	p.goTracked(p.pollLoop)
	p.goTracked(p.compactLoop)
}

func (p *partition) goTracked(f func()) {
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		f()
	}()
}

// abort stops the goroutines and waits for them. Nothing is sent to workers after it returns.
func (p *partition) abort() {
	p.cancel()
	p.log.Close()
	p.wg.Wait()
}

func (p *partition) addToCounter(name string, n int64) { p.scope.Counter(name).Inc(n) }
