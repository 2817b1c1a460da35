package rowstore

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/cluster/meter"
)

const (
	// commitTimeoutFactor is how many times the average latency a commit may take before its answer counts as lost.
	commitTimeoutFactor = 5
	// minCommitTimeout and maxCommitTimeout bound the timeout of a commit. An ordinary commit takes 10 ms. A slow store or an
	// overloaded partition may take a second, and retrying too early would multiply the load.
	minCommitTimeout = 120 * time.Millisecond
	maxCommitTimeout = 1500 * time.Millisecond
	// newestLatencyWeight is the weight of the newest latency in the exponential moving average.
	newestLatencyWeight = 0.3
)

// AdaptiveStore is a Store that derives the timeout of each commit from the latency of recent commits. So a lost answer is
// noticed soon, and a slow store still has the time to answer. It applies to commits only; the other calls have timeouts of
// their own.
type AdaptiveStore struct {
	Store
	calls *meter.Calls

	mu             sync.Mutex
	averageLatency time.Duration // exponential moving average; raised after timeouts
}

// NewAdaptiveStore wraps the store s. It records outcomes and latencies of commits in calls, which may be nil.
func NewAdaptiveStore(s Store, calls *meter.Calls) *AdaptiveStore {
	return &AdaptiveStore{Store: s, calls: calls}
}

// Commit implements Store.
func (a *AdaptiveStore) Commit(ctx context.Context, txn Txn) (int64, error) {
	commitTimeout := a.commitTimeout()
	callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	began := time.Now()
	version, err := a.Store.Commit(callCtx, txn)
	a.calls.Record(outcomeOf(err), began)
	switch {
	case err == nil || errors.Is(err, ErrConflict):
		a.observe(time.Since(began))
	case errors.Is(err, ErrUnknownOutcome) && ctx.Err() == nil:
		a.timedOut(commitTimeout)
	}
	return version, err
}

func (a *AdaptiveStore) commitTimeout() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return min(max(commitTimeoutFactor*a.averageLatency, minCommitTimeout), maxCommitTimeout)
}

func (a *AdaptiveStore) observe(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.averageLatency += time.Duration(newestLatencyWeight * float64(d-a.averageLatency))
}

// timedOut doubles the timeout of the next commits, by raising the average latency.
func (a *AdaptiveStore) timedOut(limit time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.averageLatency = max(a.averageLatency, min(2*limit, maxCommitTimeout)/commitTimeoutFactor)
}

func outcomeOf(err error) string {
	switch {
	case err == nil:
		return "applied"
	case errors.Is(err, ErrConflict):
		return "conflict"
	case errors.Is(err, ErrUnavailable):
		return "refused"
	case errors.Is(err, ErrRejected):
		return "rejected"
	}
	return "unknown"
}
