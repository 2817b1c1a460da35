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
	taskLease     = 15 * time.Second
	renewInterval = 2 * time.Second
	// leaseMargin covers the delivery of a renewal (at most worker.CallTimeout) and the drift of the clocks over one lease.
	leaseMargin = time.Second
	// leaseExpiry is when a lease that was sent has definitely expired.
	leaseExpiry = taskLease + leaseMargin
)

// partition is one pool partition that this daemon owns. Its books are guarded by mu; its goroutines take turns on
// them and never hold mu while they call another process.
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
	predecessorEnd time.Time // the previous owner has sent nothing since

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	gate appendGate

	placeWait     tally.Timer
	wakeScheduler chan struct{} // capacity 1: the scheduling loop
	wakeCancel    chan struct{} // capacity 1: the cancellation loop
	journalCh     chan journalEntry

	mu              sync.Mutex
	draining        bool
	settled         bool // tasks of the previous owner are accounted for
	jobs            map[string]*job
	customers       map[string][]*job
	deadlines       map[string]*job
	gangs           map[string]*job // with a start under way
	endedJobs       []*job          // in the order of their ends
	archives        archives
	snapshotBytes   int // of the last compaction
	cancels         []*job
	cancelling      int // cancellations being journaled
	openTasks       int
	finishing       int // results being journaled
	workers         map[string]*workerInfo
	eligibleWorkers int // listed workers that are not leaving
	usageByCustomer map[string]*customerUsage
	allowances      map[string]plan.Allowance // as looked up in this scheduling round
	index           *placement.Index
	queue           *queue
	reserved        *reservation
	lastAttempt     int64
	lastTicket      int64
	doubleRuns      int64
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

func (p *partition) run() {
	p.mu.Lock()
	for _, w := range p.workers {
		p.startWorkerLoops(w)
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

func (p *partition) addToCounter(name string, n int64) { p.scope.Counter(name).Inc(n) }
