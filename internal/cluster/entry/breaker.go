package entry

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
	// maxUnanswered is how many commits in a row stay without an answer until the store is probed. A store that loses three
	// answers in ten loses two in a row often enough, which costs no more than the probe.
	maxUnanswered = 2
	// probeParts is how many parts of the inbox a probe reads. At times only some parts of the store are away.
	probeParts = 4
	// probeTimeout is the limit of a probe's reads. A store that answers 60 times slower than usual takes half a second.
	probeTimeout = 700 * time.Millisecond
	// probeInterval is the delay between probes, so that callers are served soon after the store's return.
	probeInterval = 100 * time.Millisecond
	// maxProbeDuration ends the probes; the next commits without an answer begin them again.
	maxProbeDuration = time.Minute
)

var errStoreUnresponsive = errors.New("entry: the store does not answer this host")

// breaker refuses writes for callers while the store answers nothing at all. A write that is sent then has no known outcome,
// so its caller would wait until its deadline and could not be told that the job will not run.
type breaker struct {
	store rowstore.Store
	log   *zap.Logger
	open  atomic.Bool

	mu         sync.Mutex
	unanswered int // commits in a row without an answer
	probing    bool
}

// recordOutcome takes the outcome of a write.
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

// probe reads until the store answers, and refuses writes after the first probe without an answer.
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

// storeAnswers reports whether a read of any of a few parts is answered.
func (b *breaker) storeAnswers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	parts := records.JobParts()
	answered := make(chan bool, probeParts)
	for i := range probeParts {
		go func() {
			_, err := b.store.Read(ctx, rowstore.Range{Table: records.Jobs, Part: parts[i*len(parts)/probeParts], Limit: 1})
			answered <- err == nil
		}()
	}
	for range probeParts {
		if <-answered {
			return true
		}
	}
	return false
}
