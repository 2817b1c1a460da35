package frontend

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/cluster/peers"
	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	// maxUnanswered is the number of consecutive commits without an answer after which the store is probed. A store that loses
	// three answers in ten often loses two in a row; that costs only the probe.
	maxUnanswered = 2
	// probePartitions is how many partitions of the inbox a probe reads, since sometimes only some partitions of the store
	// are unavailable.
	probePartitions = 4
	// probeTimeout is the timeout of a probe's reads. A store that answers 60 times slower than usual takes half a second.
	probeTimeout = 700 * time.Millisecond
	// probeInterval is the delay between probes. It is short, so that jobs are accepted again soon after the store recovers.
	probeInterval = 100 * time.Millisecond
	// maxProbeDuration is how long the store is probed. After that the breaker closes, and the next commits without an answer
	// start new probes.
	maxProbeDuration = time.Minute
)

var errStoreUnresponsive = errors.New("frontend: the store does not answer this host")

// breaker is a circuit breaker for writes: while the store answers nothing at all, it refuses them at once. A write that is
// sent to such a store has an unknown outcome: its caller would wait until the deadline and then not know whether the job
// will run.
type breaker struct {
	store rowstore.Store
	log   *zap.Logger
	open  atomic.Bool // writes are refused

	mu         sync.Mutex
	unanswered int // consecutive commits without an answer
	probing    bool
}

// recordOutcome counts the outcome of a write and starts the probes after maxUnanswered consecutive writes without an answer.
func (b *breaker) recordOutcome(o peers.StoreOutcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if o != peers.StoreUnknown {
		b.unanswered = 0
		return
	}
	b.unanswered++
	if b.unanswered >= maxUnanswered && !b.probing {
		b.probing = true
		go b.probe()
	}
}

// probe reads from the store until it answers. The first probe without an answer opens the breaker; an answer closes it.
func (b *breaker) probe() {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), maxProbeDuration)
	defer cancel()
	for ctx.Err() == nil && !b.storeAnswers(ctx) {
		if b.open.CompareAndSwap(false, true) {
			b.log.Warn("the store does not answer, jobs are refused at once")
		}
		wait.For(ctx, probeInterval)
	}
	if b.open.CompareAndSwap(true, false) {
		b.log.Info("the store answers again, jobs are accepted", zap.Duration("took", time.Since(began)))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing, b.unanswered = false, 0
}

// storeAnswers reports whether the store answers a read of at least one of probePartitions partitions.
func (b *breaker) storeAnswers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	partitions := records.InboxPartitions()
	answered := make(chan bool, probePartitions)
	for i := range probePartitions {
		go func() {
			_, err := b.store.Read(ctx, rowstore.Range{Table: records.Inbox, Partition: partitions[i*len(partitions)/probePartitions], Limit: 1})
			answered <- err == nil
		}()
	}
	for range probePartitions {
		if <-answered {
			return true
		}
	}
	return false
}
