package rowstore

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/cluster/meter"
)

const (
	// commitTimeoutFactor is how many times the usual latency a commit may take before its answer counts as lost.
	commitTimeoutFactor = 5
	// minCommitTimeout and adaptiveCeiling bound the time limit of a commit. An ordinary commit takes 10 ms; a store that is
	// slow or a part that is pressed may take a second, and repeating its commits too soon multiplies the pressure.
	minCommitTimeout = 120 * time.Millisecond
	maxCommitTimeout = 1500 * time.Millisecond
	// newestLatencyWeight is the weight of the newest latency in the average.
	newestLatencyWeight = 0.3
)

// Adaptive limits the time of each commit by the latency of recent ones, so that a lost answer is noticed soon and a slow
// store is given time. It bounds commits only; the other calls have their own limits.
type Adaptive struct {
	Store
	calls *meter.Calls

	mu             sync.Mutex
	averageLatency time.Duration
}

// NewAdaptive wraps a store. Its commits are counted by calls, which may be nil.
func NewAdaptive(s Store, calls *meter.Calls) *Adaptive { return &Adaptive{Store: s, calls: calls} }

// Commit implements Store.
func (a *Adaptive) Commit(ctx context.Context, txn Txn) (int64, error) {
	limit := a.commitTimeout()
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	began := time.Now()
	version, err := a.Store.Commit(callCtx, txn)
	a.calls.Done(outcomeOf(err), began)
	switch {
	case err == nil || errors.Is(err, ErrConflict):
		a.observe(time.Since(began))
	case errors.Is(err, ErrUnknownOutcome) && ctx.Err() == nil:
		a.timedOut(limit)
	}
	return version, err
}

func (a *Adaptive) commitTimeout() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return min(max(commitTimeoutFactor*a.averageLatency, minCommitTimeout), maxCommitTimeout)
}

func (a *Adaptive) observe(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.averageLatency += time.Duration(newestLatencyWeight * float64(d-a.averageLatency))
}

// timedOut doubles the limit for the next commits.
func (a *Adaptive) timedOut(limit time.Duration) {
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
	}
	return "unknown"
}
