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
	// probePartitions is how many partitions of the inbox the first probe reads, since sometimes only some partitions of the
	// store are unavailable.
	probePartitions = 4
	// probeTimeout is the timeout of a probe's reads. A store that answers 60 times slower than usual takes half a second.
	probeTimeout = 700 * time.Millisecond
	// probeInterval is the time between the starts of two probes. It is shorter than probeTimeout, since a read that was sent
	// during an outage may not be answered after it, and jobs should be accepted again soon after the store recovers.
	probeInterval = 100 * time.Millisecond
	// silenceLimit is how long the store may answer nothing at all, neither reads nor feeds nor writes, while calls are in progress. A
	// store that answers 76 times slower than usual takes 300 ms a call. If it has been slow before, silenceLatencyFactor times its
	// latency is allowed.
	silenceLimit         = 300 * time.Millisecond
	silenceLatencyFactor = 3
	// suspicionLimit is the same for writes on behalf of peers, which have other hosts to ask.
	suspicionLimit = 100 * time.Millisecond
	// hintTimeout is how long the store has to answer a read of this host after the owner has reported that none of the owner's calls was
	// answered for 0.3 s.
	hintTimeout = 50 * time.Millisecond
	// silenceCheckInterval is how often a write in progress checks whether the store is silent.
	silenceCheckInterval = 50 * time.Millisecond
	// maxProbeDuration is how long the store is probed. After that the breaker closes, and the next commits without an answer
	// start new probes.
	maxProbeDuration = time.Minute
)

var errStoreUnresponsive = errors.New("frontend: the store does not answer this host")

// silenceReporter is a store that tells for how long it has answered nothing; see rowstore.AdaptiveStore.
type silenceReporter interface {
	SilentFor() (silent, expected time.Duration)
	AnsweredSentAt() time.Time
	Latency() time.Duration
}

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
	closed     chan struct{} // is closed when the breaker closes; nil while it is closed
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
		go b.probe(false)
	}
}

// silentLongerThan reports whether the store has answered nothing for longer than the limit, or than is usual while it is slow.
func (b *breaker) silentLongerThan(limit time.Duration, latencyFactor int) bool {
	r, ok := b.store.(silenceReporter)
	if !ok {
		return false
	}
	silent, expected := r.SilentFor()
	return silent > max(limit, time.Duration(latencyFactor)*expected)
}

// checkSilence opens the breaker if the store is silent, and reports whether it is open.
func (b *breaker) checkSilence() bool {
	if b.open.Load() {
		return true
	}
	if !b.silentLongerThan(silenceLimit, silenceLatencyFactor) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.probing {
		b.probing = true
		b.tripLocked()
		go b.probe(true)
	}
	return b.open.Load()
}

// checkHint checks whether the store is silent for this host too, after the owner has reported for how long it has had no answer. The store
// is not silent if it has answered a call that this host sent within that time.
func (b *breaker) checkHint(silent time.Duration) {
	r, ok := b.store.(silenceReporter)
	if !ok || b.open.Load() || time.Since(r.AnsweredSentAt()) < silent {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.probing {
		return
	}
	b.probing = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), hintTimeout)
		defer cancel()
		if b.storeAnswers(ctx) {
			b.reset()
			return
		}
		b.probe(true)
	}()
}

// probe opens the breaker and closes it when the store answers a probe. Unless the store is known to be silent, the breaker is opened only
// if a first probe has no answer.
func (b *breaker) probe(silent bool) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), maxProbeDuration)
	defer cancel()
	if silent || !b.storeAnswers(ctx) {
		b.trip()
		b.log.Warn("the store does not answer, jobs are refused at once", zap.Bool("silent", silent))
		if b.awaitAnswer(ctx) {
			b.log.Info("the store answers again, jobs are accepted", zap.Duration("took", time.Since(began)))
		} else {
			b.log.Warn("the store still does not answer, writes are tried again", zap.Duration("took", time.Since(began)))
		}
	}
	b.reset()
}

// trip opens the breaker.
func (b *breaker) trip() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tripLocked()
}

// tripLocked opens the breaker unless it is open. The caller holds mu.
func (b *breaker) tripLocked() {
	if b.closed == nil {
		b.closed = make(chan struct{})
	}
	b.open.Store(true)
}

// reset closes the breaker and ends the probes.
func (b *breaker) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open.CompareAndSwap(true, false) {
		close(b.closed)
		b.closed = nil
	}
	b.probing, b.unanswered = false, 0
}

// awaitClosed waits until the breaker is closed, but at most for limit. It returns false if ctx ends first.
func (b *breaker) awaitClosed(ctx context.Context, limit time.Duration) bool {
	b.mu.Lock()
	closed := b.closed
	b.mu.Unlock()
	if closed == nil {
		return true
	}
	return wait.ForOrSignal(ctx, limit, closed)
}

// awaitAnswer reads from the store every probeInterval, a different partition each time, and returns true as soon as it answers
// one of the reads or any other call that was sent meanwhile. It returns false when ctx ends.
func (b *breaker) awaitAnswer(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	answered := make(chan struct{}, 1)
	partitions := records.InboxPartitions()
	for n := 0; ; n++ {
		partition := partitions[n*len(partitions)/probePartitions%len(partitions)]
		go func() {
			if b.partitionAnswers(ctx, partition) {
				wait.Signal(answered)
			}
		}()
		select {
		case <-answered:
			return true
		case <-time.After(probeInterval):
			if r, ok := b.store.(silenceReporter); ok && r.AnsweredSentAt().After(began) {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}

// partitionAnswers reports whether the store answers a read of the partition within probeTimeout.
func (b *breaker) partitionAnswers(ctx context.Context, partition string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := b.store.Read(ctx, rowstore.Range{Table: records.Inbox, Partition: partition, Limit: 1})
	return err == nil
}

// storeAnswers reports whether the store answers a read of at least one of probePartitions partitions.
func (b *breaker) storeAnswers(ctx context.Context) bool {
	partitions := records.InboxPartitions()
	answered := make(chan bool, probePartitions)
	for i := range probePartitions {
		go func() { answered <- b.partitionAnswers(ctx, partitions[i*len(partitions)/probePartitions]) }()
	}
	for range probePartitions {
		if <-answered {
			return true
		}
	}
	return false
}
