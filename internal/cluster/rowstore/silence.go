package rowstore

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// outageSilence is for how long the store has answered nothing when its next answer ends an outage. Several change feeds are always open,
// each of which is answered at least every 0.8 s.
const outageSilence = time.Second

// responseHook is the key of the function in a context that NoteResponse calls.
type responseHook struct{}

// NoteResponse is called by a Store when the answer to a successful read or feed begins to arrive, with the context of the call. A large
// answer takes a while on a slow link.
func NoteResponse(ctx context.Context) {
	if note, ok := ctx.Value(responseHook{}).(func()); ok {
		note()
	}
}

// withResponseHook returns a context for a call in which NoteResponse calls note, and then the function of ctx if it has one.
func withResponseHook(ctx context.Context, note func()) context.Context {
	return context.WithValue(ctx, responseHook{}, func() {
		note()
		NoteResponse(ctx)
	})
}

// RecoveringStore is a Store that notices the end of an outage in which the store was silent. Reads and feeds that were sent before then
// may never be answered; they fail with ErrUnavailable as soon as the store has answered a later call, so that their callers repeat them
// without waiting for the timeout. Commits are not cancelled; see AdaptiveStore.
type RecoveringStore struct {
	Store

	mu         sync.Mutex
	lastAnswer time.Time
	inProgress map[*query]struct{}
}

// query is a read or a feed in progress.
type query struct {
	sentAt time.Time
	cancel context.CancelFunc
	// responding is set once the answer has begun to arrive; the query is not cancelled any more.
	responding bool
}

// NewRecoveringStore wraps the store s.
func NewRecoveringStore(s Store) *RecoveringStore {
	return &RecoveringStore{Store: s, lastAnswer: time.Now(), inProgress: map[*query]struct{}{}}
}

// Commit implements Store.
func (r *RecoveringStore) Commit(ctx context.Context, txn Txn) (int64, error) {
	sentAt := time.Now()
	version, err := r.Store.Commit(ctx, txn)
	if err == nil || errors.Is(err, ErrConflict) {
		r.answered(sentAt)
	}
	return version, err
}

// Read implements Store.
func (r *RecoveringStore) Read(ctx context.Context, rng Range) (Page, error) {
	ctx, q := r.begin(ctx)
	p, err := r.Store.Read(ctx, rng)
	r.end(q, err == nil)
	return p, err
}

// Feed implements Store.
func (r *RecoveringStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) (Changes, error) {
	ctx, q := r.begin(ctx)
	c, err := r.Store.Feed(ctx, table, after, wait)
	r.end(q, err == nil || errors.Is(err, ErrHistoryLost))
	return c, err
}

func (r *RecoveringStore) begin(ctx context.Context) (context.Context, *query) {
	ctx, cancel := context.WithCancel(ctx)
	q := &query{sentAt: time.Now(), cancel: cancel}
	ctx = withResponseHook(ctx, func() { r.noteResponse(q) })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inProgress[q] = struct{}{}
	return ctx, q
}

// noteResponse records that the answer to a query has begun to arrive.
func (r *RecoveringStore) noteResponse(q *query) {
	r.mu.Lock()
	q.responding = true
	r.mu.Unlock()
}

// end records that a query is over, and whether the store has answered it.
func (r *RecoveringStore) end(q *query, answered bool) {
	q.cancel()
	r.mu.Lock()
	delete(r.inProgress, q)
	r.mu.Unlock()
	if answered {
		r.answered(q.sentAt)
	}
}

// answered records that the store has answered a call that was sent at sentAt. If it had been silent, earlier queries are cancelled.
func (r *RecoveringStore) answered(sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	silent := now.Sub(r.lastAnswer) > outageSilence
	r.lastAnswer = now
	if !silent {
		return
	}
	for q := range r.inProgress {
		if q.sentAt.Before(sentAt) && !q.responding {
			q.cancel()
		}
	}
}
