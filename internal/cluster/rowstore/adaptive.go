package rowstore

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/cluster/meter"
	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	// commitTimeoutFactor is how many times the usual latency a commit may take before its answer counts as lost, if the store answers
	// other calls sooner.
	commitTimeoutFactor = 5
	// minCommitTimeout and maxCommitTimeout bound the timeout of a commit. An ordinary commit takes 10 ms. A slow store or an
	// overloaded partition may take a second, and retrying too early would multiply the load.
	minCommitTimeout = 120 * time.Millisecond
	maxCommitTimeout = 1500 * time.Millisecond
	// newestLatencyWeight is the weight of the newest latency in the exponential moving average.
	newestLatencyWeight = 0.3
	// probeInterval is the time between two reads that tell a slow or silent store from a lost answer. A store that was silent
	// does not answer what was sent meanwhile, so that a commit is sent again about this long after it has returned.
	probeInterval = 100 * time.Millisecond
)

// AdaptiveStore is a Store that derives the timeout of each commit from the latency of recent calls. A commit that takes longer than
// usual is not given up before the store has answered a call that was sent later: a store that is slow for everyone would get the
// same commit several times. If no other call is in progress, reads are sent as probes. So a lost answer is noticed soon, and a
// slow store still has the time to answer. The timeouts apply to commits only; the other calls have timeouts of their own.
type AdaptiveStore struct {
	Store
	calls *meter.Calls

	mu             sync.Mutex
	averageLatency time.Duration // exponential moving average; raised after timeouts
	inProgress     int           // commits and reads without an answer
	waitingSince   time.Time     // when the store had last answered anything, or the first of the calls in progress was sent
	answeredSentAt time.Time     // latest time at which a call was sent that the store has answered
	overdue        int           // commits that take longer than usual
	probing        bool
	probeRange     Range         // of the last read that was answered
	newest         answer        // the answered commit or read that was sent last
	newAnswer      chan struct{} // closed and replaced with each answer
}

// answer describes a call that the store has answered.
type answer struct {
	sentAt  time.Time
	latency time.Duration
}

// NewAdaptiveStore wraps the store s. It records outcomes and latencies of commits in calls, which may be nil.
func NewAdaptiveStore(s Store, calls *meter.Calls) *AdaptiveStore {
	return &AdaptiveStore{Store: s, calls: calls, newAnswer: make(chan struct{})}
}

// Commit implements Store.
func (a *AdaptiveStore) Commit(ctx context.Context, txn Txn) (int64, error) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := a.begin()
	watchdog := time.AfterFunc(a.commitTimeout(0)/2, func() { a.cancelIfLost(callCtx, cancel, began, txn) })
	defer watchdog.Stop()
	version, err := a.Store.Commit(callCtx, txn)
	a.calls.Record(outcomeOf(err), began)
	switch {
	case err == nil || errors.Is(err, ErrConflict):
		a.end(began, true)
		a.observe(time.Since(began))
	default:
		a.end(began, isAnswer(err, began))
	}
	return version, err
}

// Read implements Store.
func (a *AdaptiveStore) Read(ctx context.Context, r Range) (Page, error) {
	began := a.begin()
	var once sync.Once
	end := func(answered bool) { once.Do(func() { a.end(began, answered) }) }
	p, err := a.Store.Read(withResponseHook(ctx, func() { end(true) }), r) // a store whose answer is being received is not silent
	end(err == nil || isAnswer(err, began))
	if err == nil {
		a.observeRead(r, time.Since(began))
	}
	return p, err
}

// Feed implements Store.
func (a *AdaptiveStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) (Changes, error) {
	began := time.Now()
	c, err := a.Store.Feed(ctx, table, after, wait)
	if err == nil {
		a.noteFeedAnswer(began)
	}
	return c, err
}

// maxRefusalTime is up to when an error shows that the store, or its host, is there and refuses calls. Later it may be a timeout.
const maxRefusalTime = 100 * time.Millisecond

// isAnswer reports whether the error of a call that was sent at began comes from the store.
func isAnswer(err error, began time.Time) bool {
	return errors.Is(err, ErrRejected) || errors.Is(err, ErrUnavailable) && time.Since(began) < maxRefusalTime
}

// SilentFor returns for how long the store has answered nothing although calls were in progress, and how long that may take while it
// is only slow, judging by its latency so far.
func (a *AdaptiveStore) SilentFor() (silent, expected time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.inProgress == 0 {
		return 0, a.averageLatency
	}
	return time.Since(a.waitingSince), a.averageLatency
}

// Latency returns the usual latency of a call.
func (a *AdaptiveStore) Latency() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.averageLatency
}

// AnsweredSentAt returns the latest time at which a call was sent that the store has answered.
func (a *AdaptiveStore) AnsweredSentAt() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.answeredSentAt
}

// noteAnswer records that the store has answered a call that was sent at began. The caller holds mu.
func (a *AdaptiveStore) noteAnswer(began time.Time) {
	a.waitingSince = time.Now()
	if began.After(a.answeredSentAt) {
		a.answeredSentAt = began
	}
}

// noteFeedAnswer does the same for a feed. A store that takes no new calls may still answer feeds that were sent before, so these count
// only if they were sent during the wait for other answers.
func (a *AdaptiveStore) noteFeedAnswer(began time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.inProgress == 0 || began.After(a.waitingSince) {
		a.noteAnswer(began)
	}
}

// begin records that a call is sent now.
func (a *AdaptiveStore) begin() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.inProgress == 0 {
		a.waitingSince = now
	}
	a.inProgress++
	return now
}

// end records that a call is over, and whether the store has answered it.
func (a *AdaptiveStore) end(began time.Time, answered bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inProgress--
	if !answered {
		return
	}
	a.noteAnswer(began)
	if began.Before(a.newest.sentAt) {
		return
	}
	a.newest = answer{sentAt: began, latency: time.Since(began)}
	close(a.newAnswer)
	a.newAnswer = make(chan struct{})
}

// cancelIfLost sends probes, and cancels a commit that was sent at began once its answer counts as lost: either the store has answered a
// call that was sent later and the commit has taken several times as long, or maxCommitTimeout is over. It returns when ctx ends.
func (a *AdaptiveStore) cancelIfLost(ctx context.Context, cancel context.CancelFunc, began time.Time, txn Txn) {
	a.probeWhileOverdue(txn)
	defer a.noLongerOverdue()
	for ctx.Err() == nil {
		a.mu.Lock()
		newest, changed := a.newest, a.newAnswer
		a.mu.Unlock()
		timeout := maxCommitTimeout
		if newest.sentAt.After(began) {
			timeout = a.commitTimeout(newest.latency)
		}
		left := time.Until(began.Add(timeout))
		if left <= 0 {
			if newest.sentAt.After(began) {
				a.timedOut(timeout)
			}
			cancel()
			return
		}
		wait.ForOrSignal(ctx, left, changed)
	}
}

// probeWhileOverdue sends probes until noLongerOverdue has been called for each overdue commit.
func (a *AdaptiveStore) probeWhileOverdue(txn Txn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.overdue++
	if a.probing {
		return
	}
	a.probing = true
	if a.probeRange.Table == "" && len(txn.Puts) > 0 {
		k := txn.Puts[0].Key
		a.probeRange = Range{Table: k.Table, Partition: k.Partition, Limit: 1}
	}
	go a.probe()
}

func (a *AdaptiveStore) noLongerOverdue() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.overdue--
}

// probe sends a read every probeInterval while commits are overdue. It does not wait for the answers.
func (a *AdaptiveStore) probe() {
	for {
		a.mu.Lock()
		if a.overdue == 0 {
			a.probing = false
			a.mu.Unlock()
			return
		}
		r := a.probeRange
		a.mu.Unlock()
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), maxCommitTimeout)
			defer cancel()
			_, _ = a.Read(ctx, r) // the answer counts, whatever it holds
		}()
		wait.For(context.Background(), probeInterval)
	}
}

// commitTimeout returns the timeout of a commit while the store answers other calls with this latency.
func (a *AdaptiveStore) commitTimeout(latency time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return min(max(commitTimeoutFactor*max(a.averageLatency, latency), minCommitTimeout), maxCommitTimeout)
}

func (a *AdaptiveStore) observe(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.averageLatency += time.Duration(newestLatencyWeight * float64(d-a.averageLatency))
}

// observeRead uses the latency of a read for the commits that follow, if it is higher than theirs: ordinary reads are quicker.
func (a *AdaptiveStore) observeRead(r Range, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.probeRange = Range{Table: r.Table, Partition: r.Partition, Limit: 1}
	if d > a.averageLatency {
		a.averageLatency += time.Duration(newestLatencyWeight * float64(d-a.averageLatency))
	}
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
