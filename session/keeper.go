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
// A session that has expired never becomes valid again: once the deadline has passed, a late response does not extend
// the lease, and Run joins again with the next incarnation.
type Keeper struct {
	cfg          Config
	store        table.Client
	peers        PeerCaller
	liveSessions func() []Info
	boot         string

	lease        atomic.Pointer[lease] // nil while this daemon holds no session
	storeFailing atomic.Bool           // the store was unavailable for the last write of the session row
	// rowLock is a mutex that can be acquired with a context: sending to it locks it. It is held for every write of the
	// session row and for every commit that is conditional on the row.
	rowLock     chan struct{}
	renewSignal chan struct{} // triggers a renewal at once

	mu           sync.Mutex
	changed      chan struct{} // closed at the next change of the session, then replaced
	closed       bool
	desiredState State
	confirmed    Row           // last row that this daemon knows to be written
	version      int64         // version of confirmed
	seq          int64         // sequence number of the last row that was sent
	renewedAt    time.Time     // when the renewal that wrote confirmed was sent
	unresolved   *writeAttempt // renewal whose outcome is unknown, nil if there is none
}

// lease is the validity of one incarnation of the session.
type lease struct {
	incarnation int64
	deadline    time.Time
}

// writeAttempt is a row that was sent to the store and may have been written. The keeper sends the same row again until
// the outcome is known, so there is never more than one.
type writeAttempt struct {
	row    Row
	sentAt time.Time // time of the first attempt
}

// NewKeeper returns a keeper that has not joined yet. liveSessions lists the sessions from which the keeper chooses
// guarantors, usually Observer.Live. If peers is nil, the session has no guarantors.
func NewKeeper(cfg Config, store table.Client, peers PeerCaller, liveSessions func() []Info) *Keeper {
	k := &Keeper{
		cfg: cfg.withDefaults(), store: store, peers: peers, liveSessions: liveSessions,
		boot: rand.Text(), desiredState: Live, rowLock: make(chan struct{}, 1),
		renewSignal: make(chan struct{}, 1), changed: make(chan struct{}),
	}
	return k
}

// ID returns the daemon's id.
func (k *Keeper) ID() string { return k.cfg.ID }

// PeerAddr returns the daemon's peer address.
func (k *Keeper) PeerAddr() string { return k.cfg.PeerAddr }

// Boot returns the random id that identifies this process.
func (k *Keeper) Boot() string { return k.boot }

// Incarnation returns the incarnation of the current session, or of the last one if this daemon holds none. It is 0
// before the first session.
func (k *Keeper) Incarnation() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.confirmed.Incarnation
}

// Probe answers a peer's probe of this process.
func (k *Keeper) Probe() ProbeReply {
	return ProbeReply{ID: k.cfg.ID, Boot: k.boot, Incarnation: k.Incarnation()}
}

// Valid reports whether the session is certainly valid now.
func (k *Keeper) Valid() bool {
	l := k.lease.Load()
	return l != nil && time.Now().Before(l.deadline)
}

// ValidFor reports whether the session is certainly valid now and has the given incarnation.
func (k *Keeper) ValidFor(incarnation int64) bool {
	l := k.lease.Load()
	return l != nil && l.incarnation == incarnation && time.Now().Before(l.deadline)
}

// Deadline returns the time at which the session expires unless it is extended, or the zero time if this daemon holds
// no session.
func (k *Keeper) Deadline() time.Time {
	if l := k.lease.Load(); l != nil {
		return l.deadline
	}
	return time.Time{}
}

// Changed returns a channel that is closed when the session next changes: it is joined, expires, is closed, or changes
// its state.
func (k *Keeper) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// RenewedRecently reports whether the last renewal at the store is recent, so that the store is probably available.
func (k *Keeper) RenewedRecently() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.hasLease() && time.Since(k.renewedAt) <= k.promiseThreshold()
}

// LastWriteUnavailable reports whether the store was unavailable for the last write of the session row. A write whose response
// was lost does not count.
func (k *Keeper) LastWriteUnavailable() bool { return k.storeFailing.Load() }

// AcceptsWork reports whether the session is valid and its state is Live rather than Draining.
func (k *Keeper) AcceptsWork() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.desiredState == Live && k.Valid()
}

// SetState sets the state of the session to Live or Draining and triggers a renewal at once.
func (k *Keeper) SetState(s State) {
	k.mu.Lock()
	if k.desiredState != s && !s.Ended() {
		k.desiredState = s
		k.notify()
	}
	k.mu.Unlock()
	k.requestRenewal()
}

// requestRenewal triggers a renewal without waiting for the interval.
func (k *Keeper) requestRenewal() { wait.Signal(k.renewSignal) }

// notify wakes the goroutines that wait on Changed. The caller holds mu.
func (k *Keeper) notify() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// hasLease reports whether this daemon holds a session, even one whose deadline has passed but that has not been
// expired yet. The caller holds mu.
func (k *Keeper) hasLease() bool { return k.lease.Load() != nil }

// promiseThreshold is the age of the last renewal above which the keeper asks the guarantors for promises.
func (k *Keeper) promiseThreshold() time.Duration { return k.cfg.RenewInterval * 3 / 2 }

// Run maintains the session until ctx ends: it joins, renews, requests promises, and joins again after an expiry.
func (k *Keeper) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { k.renewLoop(ctx) })
	wg.Go(func() { k.promiseLoop(ctx) })
	k.expireAtDeadline(ctx)
	wg.Wait()
}

// expireAtDeadline expires the incarnation when its validity ends.
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
				k.expire("validity has ended")
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

// extendLease moves the deadline of the incarnation to the time sent plus the validity if that is later. It returns
// false and extends nothing if the deadline has already passed or the incarnation is not the current one. The caller
// holds mu.
func (k *Keeper) extendLease(incarnation int64, sent time.Time) bool {
	l := k.lease.Load()
	if l == nil || l.incarnation != incarnation {
		return false
	}
	if !time.Now().Before(l.deadline) {
		k.expire("validity has ended")
		return false
	}
	if d := sent.Add(k.cfg.validity()); d.After(l.deadline) {
		k.lease.Store(&lease{incarnation: incarnation, deadline: d})
	}
	return true
}

// Close ends the session. The session is invalid at once, and Close retries until the store has marked the row closed.
// The daemon must have handed over its partitions before. Run may still be running and does not join again.
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

// tryClose reads the row and marks it closed if this process wrote it. It relies on no earlier knowledge of the row, so
// after a lost response it is enough to call it again.
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

// KeeperState is the state dump of a Keeper.
type KeeperState struct {
	Row       Row   `json:"row"`
	Version   int64 `json:"version"`
	Valid     bool  `json:"valid"`
	ValidMS   int64 `json:"valid_ms"`   // remaining validity
	RenewedMS int64 `json:"renewed_ms"` // time since the last renewal at the store
	Pending   bool  `json:"pending"`
	Closed    bool  `json:"closed"`
}

// State returns a dump of the keeper's state that can be encoded as JSON.
func (k *Keeper) State() any {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := KeeperState{Row: k.confirmed, Version: k.version, Valid: k.Valid(), Pending: k.unresolved != nil, Closed: k.closed}
	if l := k.lease.Load(); l != nil {
		s.ValidMS, s.RenewedMS = time.Until(l.deadline).Milliseconds(), time.Since(k.renewedAt).Milliseconds()
	}
	return s
}
