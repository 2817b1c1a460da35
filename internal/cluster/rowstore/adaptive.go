package rowstore

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/cluster/meter"
)

const (
	// adaptiveFactor is how many times the usual latency a commit may take before its answer counts as lost.
	adaptiveFactor = 5
	// adaptiveFloor and adaptiveCeiling bound the time limit of a commit. An ordinary commit takes 10 ms; a store that is
	// slow or a part that is pressed may take a second, and repeating its commits too soon multiplies the pressure.
	adaptiveFloor   = 120 * time.Millisecond
	adaptiveCeiling = 1500 * time.Millisecond
	// adaptiveWeight is the weight of the newest latency in the average.
	adaptiveWeight = 0.3
)

// Adaptive limits the time of each commit by the latency of recent ones, so that a lost answer is noticed soon and a slow
// store is given time. It bounds commits only; the other calls have their own limits.
type Adaptive struct {
	Store
	calls *meter.Calls

	mu    sync.Mutex
	usual time.Duration
}

// NewAdaptive wraps a store. Its commits are counted by calls, which may be nil.
func NewAdaptive(s Store, calls *meter.Calls) *Adaptive { return &Adaptive{Store: s, calls: calls} }

// Commit implements Store.
func (a *Adaptive) Commit(ctx context.Context, txn Txn) (int64, error) {
	limit := a.limit()
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

func (a *Adaptive) limit() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return min(max(adaptiveFactor*a.usual, adaptiveFloor), adaptiveCeiling)
}

func (a *Adaptive) observe(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.usual += time.Duration(adaptiveWeight * float64(d-a.usual))
}

// timedOut doubles the limit for the next commits.
func (a *Adaptive) timedOut(limit time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.usual = max(a.usual, min(2*limit, adaptiveCeiling)/adaptiveFactor)
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
