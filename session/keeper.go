package session

import (
	"context"
	"crypto/rand"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/wait"
	"github.com/greengagewing/greengagewing/table"
)

// Keeper creates, renews and closes this daemon's session. It is safe for concurrent use.
//
// Validity never comes back: once the deadline has passed, a late answer does not revive the incarnation, and Run joins
// again with the next one.
type Keeper struct {
	cfg          Config
	store        table.Client
	peers        PeerCaller
	liveSessions func() []Info
	boot         string

	lease        atomic.Pointer[lease] // nil while the session is not held
	storeFailing atomic.Bool           // the store refused the last write of the session row
	// rowLock holds one token, taken for every write to the session row and for every commit that is conditional on it.
	rowLock     chan struct{}
	renewSignal chan struct{} // asks for a renewal at once

	mu           sync.Mutex
	changed      chan struct{} // closed at the next change of the state
	closed       bool
	desiredState State
	confirmed    Row           // last row that certainly was written
	version      int64         // version of confirmed
	seq          int64         // of the last row that was sent
	renewedAt    time.Time     // when the renewal that wrote confirmed was sent
	unresolved   *writeAttempt // renewal that may have taken effect
}

type lease struct {
	incarnation int64
	deadline    time.Time
}

// writeAttempt is a row that was sent to the store and may have been written. It is sent again unchanged until its outcome
// is known, so there is never more than one.
type writeAttempt struct {
	row    Row
	sentAt time.Time // of the first time
}

// NewKeeper returns a keeper that has not joined yet. live lists the sessions from which guarantors are chosen, usually
// Observer.Live. Without peers the session has no guarantors.
func NewKeeper(cfg Config, store table.Client, peers PeerCaller, liveSessions func() []Info) *Keeper {
	k := &Keeper{
		cfg: cfg.withDefaults(), store: store, peers: peers, liveSessions: liveSessions, boot: rand.Text(), desiredState: Live,
		rowLock: make(chan struct{}, 1), renewSignal: make(chan struct{}, 1), changed: make(chan struct{}),
	}
	return k
}

// ID returns the daemon's id.
func (k *Keeper) ID() string { return k.cfg.ID }

// PeerAddr returns the daemon's peer address.
func (k *Keeper) PeerAddr() string { return k.cfg.PeerAddr }

// Boot returns the random id of this process.
func (k *Keeper) Boot() string { return k.boot }

// Incarnation returns the incarnation of the session, or of the last one if none is held, or 0.
func (k *Keeper) Incarnation() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.confirmed.Incarnation
}

// Probe answers a peer's probe of this process.
func (k *Keeper) Probe() ProbeReply {
	return ProbeReply{ID: k.cfg.ID, Boot: k.boot, Incarnation: k.Incarnation()}
}

// Valid reports whether the session certainly is in force now.
func (k *Keeper) Valid() bool {
	l := k.lease.Load()
	return l != nil && time.Now().Before(l.deadline)
}

// ValidFor reports whether the session certainly is in force now with that incarnation.
func (k *Keeper) ValidFor(incarnation int64) bool {
	l := k.lease.Load()
	return l != nil && l.incarnation == incarnation && time.Now().Before(l.deadline)
}

// Deadline returns the time until which the session is valid unless it is extended, or the zero time.
func (k *Keeper) Deadline() time.Time {
	if l := k.lease.Load(); l != nil {
		return l.deadline
	}
	return time.Time{}
}

// Changed returns a channel that is closed at the next change: joined, expired, closed, or another state.
func (k *Keeper) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// StoreReached reports whether the last renewal at the store is recent, so that the store probably works.
func (k *Keeper) StoreReached() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.hasLease() && time.Since(k.renewedAt) <= k.promiseThreshold()
}

// StoreFailing reports whether the store refused the last write of the session row. A lost response does not count.
func (k *Keeper) StoreFailing() bool { return k.storeFailing.Load() }

// AcceptsWork reports whether the session is valid, and live rather than draining.
func (k *Keeper) AcceptsWork() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.desiredState == Live && k.Valid()
}

// SetState makes the session Live or Draining. The row is renewed at once.
func (k *Keeper) SetState(s State) {
	k.mu.Lock()
	if k.desiredState != s && !s.Ended() {
		k.desiredState = s
		k.notify()
	}
	k.mu.Unlock()
	k.requestRenewal()
}

func (k *Keeper) requestRenewal() { wait.Signal(k.renewSignal) }

// notify wakes those that wait for a change. The caller holds mu.
func (k *Keeper) notify() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// hasLease reports whether the session is held, valid or about to be found expired. The caller holds mu.
func (k *Keeper) hasLease() bool { return k.lease.Load() != nil }

// promiseThreshold is the age of the last renewal from which guarantors are asked.
func (k *Keeper) promiseThreshold() time.Duration { return k.cfg.RenewInterval * 3 / 2 }

// Run keeps the session until ctx ends: it joins, renews, asks for promises, and joins again after an expiry.
func (k *Keeper) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { k.renewLoop(ctx) })
	wg.Go(func() { k.promiseLoop(ctx) })
	k.expireAtDeadline(ctx)
	wg.Wait()
}

// expireAtDeadline ends the incarnation when its validity passes.
func (k *Keeper) expireAtDeadline(ctx context.Context) {
	for {
		changed, left := k.Changed(), k.cfg.TTL
		if l := k.lease.Load(); l != nil {
			left = time.Until(l.deadline)
		}
		t := wait.NewTimer(left)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-changed:
			t.Stop()
		case <-t.C:
			k.mu.Lock()
			if l := k.lease.Load(); l != nil && !time.Now().Before(l.deadline) {
				k.expire("validity has passed")
			}
			k.mu.Unlock()
		}
	}
}

// expire ends the incarnation for good. The caller holds mu.
func (k *Keeper) expire(reason string) {
	if !k.hasLease() {
		return
	}
	k.lease.Store(nil)
	k.unresolved = nil
	k.cfg.Log.Warn("session lost", zap.String("id", k.cfg.ID), zap.Int64("incarnation", k.confirmed.Incarnation),
		zap.String("reason", reason))
	k.notify()
	k.requestRenewal()
}

// extendLease moves the deadline of the incarnation. It does nothing once the deadline has passed.
func (k *Keeper) extendLease(incarnation int64, sent time.Time) bool {
	l := k.lease.Load()
	if l == nil || l.incarnation != incarnation {
		return false
	}
	if !time.Now().Before(l.deadline) {
		k.expire("validity has passed")
		return false
	}
	if d := sent.Add(k.cfg.validity()); d.After(l.deadline) {
		k.lease.Store(&lease{incarnation: incarnation, deadline: d})
	}
	return true
}

// Close ends the session: it is invalid at once, and the row is marked closed as soon as the store takes it. Ownership
// must have been handed over before. Run may still be running and does not join again.
func (k *Keeper) Close(ctx context.Context) error {
	k.mu.Lock()
	if !k.closed {
		k.closed = true
		k.lease.Store(nil)
		k.unresolved = nil
		k.notify()
	}
	k.mu.Unlock()
	select {
	case k.rowLock <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-k.rowLock }()
	for {
		done, err := k.tryClose(ctx)
		if done {
			return nil
		}
		if !wait.For(ctx, k.cfg.RetryDelay) {
			return errors.Wrapf(ctx.Err(), "close session: %v", err)
		}
	}
}

// tryClose reads the row and marks it closed if it is ours. It relies on nothing that was known before, so a lost
// response needs no other treatment than another call.
func (k *Keeper) tryClose(ctx context.Context) (done bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.StoreTimeout)
	defer cancel()
	r, version, err := k.readRow(ctx)
	if err != nil {
		return false, err
	}
	if version == 0 || r.Boot != k.boot || r.State.Ended() {
		return true, nil
	}
	k.mu.Lock()
	k.seq++
	r.State, r.Seq, r.Tag = Closed, k.seq, k.boot+"/"+strconv.FormatInt(k.seq, 10)
	k.mu.Unlock()
	_, err = k.writeRow(ctx, r, version)
	return err == nil, err
}

// KeeperState describes a Keeper.
type KeeperState struct {
	Row       Row   `json:"row"`
	Version   int64 `json:"version"`
	Valid     bool  `json:"valid"`
	ValidMS   int64 `json:"valid_ms"`   // remaining validity
	RenewedMS int64 `json:"renewed_ms"` // age of the last renewal at the store
	Pending   bool  `json:"pending"`
	Closed    bool  `json:"closed"`
}

// State returns a dump of the session.
func (k *Keeper) State() any {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := KeeperState{Row: k.confirmed, Version: k.version, Valid: k.Valid(), Pending: k.unresolved != nil, Closed: k.closed}
	if l := k.lease.Load(); l != nil {
		s.ValidMS, s.RenewedMS = time.Until(l.deadline).Milliseconds(), time.Since(k.renewedAt).Milliseconds()
	}
	return s
}
