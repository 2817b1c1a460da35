package versionedlist

import (
	"context"
	"encoding/json"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/defaults"
	"github.com/greengagewing/greengagewing/internal/wait"
	"github.com/greengagewing/greengagewing/table"
)

// Default timing of a Follower. An accepted edit must reach every process within 5 s: one poll interval and one read of
// the store for the first process, then one poll interval and one read from that process for the others.
const (
	DefaultPoll        = time.Second
	DefaultCallTimeout = time.Second
)

const (
	// maxRecentChanges is the number of changes kept in memory, so that peers that are behind need not get all entries.
	maxRecentChanges = 2 * SnapshotEvery
	hintQueueSize    = 64
	pushQueueSize    = 64
)

// NeverConfirmed is the result of Confirmed before the first confirmation.
const NeverConfirmed = time.Duration(math.MaxInt64)

// Peer is another process that follows the same lists.
type Peer interface {
	// Version returns the peer's version of the list.
	Version(ctx context.Context, list string) (int64, error)
	// After returns the update from a version to the peer's version.
	After(ctx context.Context, list string, after int64) (Update, error)
}

// Pusher is implemented by peers to which updates can be pushed. The peer passes them to Follower.Accept.
type Pusher interface {
	Push(ctx context.Context, list string, u Update) error
}

// Update brings a follower to Version. It contains all entries if Full is set, and consecutive changes otherwise.
type Update struct {
	Version int64                      `json:"version"`
	Full    bool                       `json:"full,omitempty"`
	Entries map[string]json.RawMessage `json:"entries,omitempty"`
	Changes []Change                   `json:"changes,omitempty"`
}

// FollowerConfig configures a Follower. Zero values mean the defaults.
type FollowerConfig struct {
	Poll        time.Duration // interval at which the follower reads the store and asks the peers
	CallTimeout time.Duration // of catching up with the store, and of an exchange with a peer
	HoldLimit   time.Duration // see Follower.Hold
	// Peers returns the peers to ask and to push to. It is called concurrently. Default: none.
	Peers func() []Peer
	// Unheard returns the peers to ask at each poll after the initial sync. It can omit peers whose versions are passed to
	// Follower.Heard. Default: all of Peers.
	Unheard func() []Peer
	Logger  *zap.Logger
}

// FollowerState is the part of the daemon's state dump that describes a Follower.
type FollowerState struct {
	List        string `json:"list"`
	Version     int64  `json:"version"`
	Entries     int    `json:"entries"`
	Ready       bool   `json:"ready"`
	ConfirmedMS int64  `json:"confirmed_ms"` // age of the last confirmation, -1 if there was none
	StoreErrors int64  `json:"store_errors"`
	StaleReads  int64  `json:"stale_reads"` // reads of the store that showed an older version
	PeerErrors  int64  `json:"peer_errors"`
	Pulled      int64  `json:"pulled"`  // updates pulled from peers and applied
	Pushed      int64  `json:"pushed"`  // updates pushed by peers and applied
	Ignored     int64  `json:"ignored"` // updates pushed by peers but not newer, or not consecutive to the current version
	Held        int    `json:"held"`    // holds in place, see Follower.Hold
}

// followedList is a follower's copy of the list. It is immutable.
type followedList struct {
	snapshot *Snapshot
	recent   []Change // consecutive changes up to the version of snapshot
}

// versionHint is a newer version that a peer's heartbeat carried.
type versionHint struct {
	peer    Peer
	version int64
}

// Follower keeps a process's copy of a list up to date. The version of the copy never decreases. A Follower is safe for
// concurrent use; Snapshot takes no locks.
type Follower struct {
	reader
	cfg     FollowerConfig
	start   time.Time
	hints   chan versionHint
	pollNow chan struct{} // signals pollStore to read the store at once
	pushes  chan Update   // updates to push to the peers

	mu             sync.Mutex // guards announcedEdits and serializes changes of state
	announcedEdits map[string]announcedEdit
	state          atomic.Pointer[followedList]
	confirmed      atomic.Int64 // nanoseconds after start, -1 before the first confirmation
	ready          atomic.Bool

	storeErrors, staleReads, peerErrors, pulled, pushed, ignored atomic.Int64
}

// NewFollower returns a follower at version 0. It does not become ready before Run is called.
func NewFollower(client table.Client, list string, cfg FollowerConfig) *Follower {
	defaults.Set(&cfg.Poll, DefaultPoll)
	defaults.Set(&cfg.CallTimeout, DefaultCallTimeout)
	defaults.Set(&cfg.HoldLimit, DefaultHoldLimit)
	if cfg.Peers == nil {
		cfg.Peers = func() []Peer { return nil }
	}
	if cfg.Unheard == nil {
		cfg.Unheard = cfg.Peers
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	f := &Follower{
		reader: reader{client: client, list: list}, cfg: cfg, start: time.Now(),
		announcedEdits: map[string]announcedEdit{}, hints: make(chan versionHint, hintQueueSize),
		pollNow: make(chan struct{}, 1), pushes: make(chan Update, pushQueueSize),
	}
	f.state.Store(&followedList{snapshot: NewSnapshot(0, nil)})
	f.confirmed.Store(-1)
	return f
}

// Snapshot returns the current copy of the list.
func (f *Follower) Snapshot() *Snapshot { return f.state.Load().snapshot }

// Ready reports whether the initial sync is complete: the follower has asked the store and all peers, and has the highest
// version among those that responded.
func (f *Follower) Ready() bool { return f.ready.Load() }

// Confirmed returns the time since the store or a peer last confirmed that it has no newer version. The time counts from
// before the question was sent. Peers cannot confirm this while a hold is in place.
func (f *Follower) Confirmed() time.Duration {
	at := f.confirmed.Load()
	if at < 0 {
		return NeverConfirmed
	}
	return time.Since(f.start) - time.Duration(at)
}

// confirm notes that a question sent at askedAt showed no newer version.
func (f *Follower) confirm(askedAt time.Time) {
	at := int64(askedAt.Sub(f.start))
	for {
		old := f.confirmed.Load()
		if old >= at || f.confirmed.CompareAndSwap(old, at) {
			return
		}
	}
}

// State returns the follower's state for the state dump.
func (f *Follower) State() FollowerState {
	snap := f.Snapshot()
	s := FollowerState{
		List: f.list, Version: snap.version, Entries: snap.Len(), Ready: f.Ready(), ConfirmedMS: -1,
		StoreErrors: f.storeErrors.Load(), StaleReads: f.staleReads.Load(), PeerErrors: f.peerErrors.Load(),
		Pulled: f.pulled.Load(), Pushed: f.pushed.Load(), Ignored: f.ignored.Load(),
	}
	f.mu.Lock()
	s.Held = len(f.announcedEdits)
	f.mu.Unlock()
	if age := f.Confirmed(); age != NeverConfirmed {
		s.ConfirmedMS = age.Milliseconds()
	}
	return s
}

// Run follows the list until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for !f.initialSync(ctx) {
		if !wait.For(ctx, f.cfg.Poll/4) {
			return nil
		}
	}
	f.ready.Store(true)
	f.cfg.Logger.Info("list is ready", zap.String("list", f.list), zap.Int64("version", f.Snapshot().version))
	var wg sync.WaitGroup
	wg.Go(func() { f.pollStore(ctx) })
	wg.Go(func() { f.pollPeers(ctx) })
	wg.Go(func() { f.pushToPeers(ctx) })
	wg.Wait()
	return nil
}

// initialSync asks the store and all peers, so that a restarted process does not go back to an old version because of a
// stale read of the store. It returns false if neither the store nor any peer responded.
func (f *Follower) initialSync(ctx context.Context) bool {
	var wg sync.WaitGroup
	var store, peers bool
	wg.Go(func() { store = f.syncWithStore(ctx) })
	wg.Go(func() { peers = f.askPeers(ctx, f.cfg.Peers()) })
	wg.Wait()
	return store || peers
}

// pollStore reads the store at every poll, and when pollNow is signalled, until ctx ends.
func (f *Follower) pollStore(ctx context.Context) {
	next := time.Now().Add(f.cfg.Poll)
	for {
		t := wait.NewTimer(time.Until(next))
		select {
		case <-t.C:
			next = nextPoll(next, f.cfg.Poll)
		case <-f.pollNow:
		case <-ctx.Done():
		}
		t.Stop()
		if ctx.Err() != nil {
			return
		}
		f.syncWithStore(ctx)
	}
}

// pollPeers asks the peers at every poll, and pulls from peers whose heartbeats carry a newer version, until ctx ends.
func (f *Follower) pollPeers(ctx context.Context) {
	next := time.Now().Add(f.cfg.Poll)
	for {
		t := wait.NewTimer(time.Until(next))
		select {
		case <-t.C:
			next = nextPoll(next, f.cfg.Poll)
			f.askPeers(ctx, f.cfg.Unheard())
		case h := <-f.hints:
			if h.version > f.Snapshot().version {
				f.pullWithTimeout(ctx, h.peer)
			}
		case <-ctx.Done():
			t.Stop()
			return
		}
		t.Stop()
	}
}

// nextPoll returns the time of the poll after one that was due at last. It skips missed polls.
func nextPoll(last time.Time, period time.Duration) time.Time {
	next := last.Add(period)
	if now := time.Now(); next.Before(now) {
		return now
	}
	return next
}

// pushToPeers sends the published updates to all peers that are Pushers, until ctx ends.
func (f *Follower) pushToPeers(ctx context.Context) {
	for {
		select {
		case u := <-f.pushes:
			f.callPeers(ctx, f.cfg.Peers(), func(ctx context.Context, p Peer) error {
				if pusher, ok := p.(Pusher); ok {
					return pusher.Push(ctx, f.list, u)
				}
				return nil
			})
		case <-ctx.Done():
			return
		}
	}
}

// syncWithStore catches up with the store and notes the confirmation. It returns false if the store could not be read.
func (f *Follower) syncWithStore(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.CallTimeout)
	defer cancel()
	readAt, knownVersion := time.Now(), f.Snapshot().version
	version, err := f.catchUp(ctx)
	if err != nil {
		f.storeErrors.Add(1)
		return false
	}
	if version < knownVersion {
		// The read lacks edits that this process already has, so it may lack newer ones as well and confirms nothing.
		f.staleReads.Add(1)
		return true
	}
	f.confirm(readAt)
	f.removeResolved(readAt)
	return true
}

// catchUp applies the store's changes up to the version of the head row, which it returns.
func (f *Follower) catchUp(ctx context.Context) (int64, error) {
	version, _, err := f.head(ctx)
	if err != nil {
		return 0, err
	}
	for {
		current := f.Snapshot()
		if current.version >= version {
			return version, nil
		}
		to, changes, err := f.readUpTo(ctx, current, version)
		if err != nil {
			return 0, err
		}
		if changes != nil {
			f.apply(Update{Version: to.version, Changes: changes})
		} else {
			f.apply(Update{Version: to.version, Full: true, Entries: to.entries})
		}
		if f.Snapshot().version == current.version {
			return 0, errors.Wrapf(ErrUnavailable, "log row %d is absent", current.version+1)
		}
	}
}

// askPeers asks peers concurrently for their versions and pulls from those that are ahead. It returns false if none of
// these exchanges succeeded.
func (f *Follower) askPeers(ctx context.Context, peers []Peer) bool {
	return f.callPeers(ctx, peers, func(ctx context.Context, p Peer) error {
		asked := time.Now()
		version, err := p.Version(ctx, f.list)
		if err != nil {
			return err
		}
		if version <= f.Snapshot().version {
			f.confirmByPeer(asked)
			return nil
		}
		return f.pull(ctx, p)
	}) > 0
}

// callPeers calls all peers concurrently, waits for the calls, and returns the number of calls that succeeded.
func (f *Follower) callPeers(ctx context.Context, peers []Peer, call func(context.Context, Peer) error) int {
	var wg sync.WaitGroup
	var ok atomic.Int64
	for _, p := range peers {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, f.cfg.CallTimeout)
			defer cancel()
			if err := call(ctx, p); err != nil {
				f.peerErrors.Add(1)
				return
			}
			ok.Add(1)
		})
	}
	wg.Wait()
	return int(ok.Load())
}

func (f *Follower) pullWithTimeout(ctx context.Context, p Peer) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.CallTimeout)
	defer cancel()
	if err := f.pull(ctx, p); err != nil {
		f.peerErrors.Add(1)
	}
}

// pull asks a peer for the update from the current version, and applies it.
func (f *Follower) pull(ctx context.Context, p Peer) error {
	asked := time.Now()
	u, err := p.After(ctx, f.list, f.Snapshot().version)
	if err != nil {
		return err
	}
	if f.apply(u) {
		f.pulled.Add(1)
	}
	if f.Snapshot().version >= u.Version {
		f.confirmByPeer(asked)
	}
	return nil
}

// Accept applies an update that a peer pushed. It returns false if the update cannot be applied. If that is because
// changes between the current version and the update are missing, the follower reads the store at once.
func (f *Follower) Accept(u Update) bool {
	if f.apply(u) {
		f.pushed.Add(1)
		return true
	}
	f.ignored.Add(1)
	f.pollIfBehind(u.Version)
	return false
}

// pollIfBehind makes the follower read the store at once if version is newer than the current version.
func (f *Follower) pollIfBehind(version int64) {
	if version > f.Snapshot().version {
		wait.Signal(f.pollNow)
	}
}

// Publish applies an edit that was accepted through this process, and pushes it in the background to all peers that are
// Pushers.
func (f *Follower) Publish(c Change) {
	u := Update{Version: c.Version, Changes: []Change{c}}
	if !f.apply(u) {
		f.pollIfBehind(c.Version)
	}
	select {
	case f.pushes <- u:
	default:
		// The queue is full. The peers detect the new version at their next poll.
	}
}

// Heard processes the version from a peer's heartbeat. asked is a local time that is not after the time at which the peer
// sent the heartbeat. If the version is newer, the follower pulls it from the peer in the background.
func (f *Follower) Heard(p Peer, version int64, asked time.Time) {
	if version <= f.Snapshot().version {
		f.confirmByPeer(asked)
		return
	}
	select {
	case f.hints <- versionHint{peer: p, version: version}:
	default:
		// The queue is full. The next heartbeat or poll detects the version.
	}
}

// After returns the update from a version to the current version, for a peer that pulls.
func (f *Follower) After(after int64) Update {
	st := f.state.Load()
	u := Update{Version: st.snapshot.version}
	missing := u.Version - after
	switch {
	case missing <= 0:
	case missing <= int64(len(st.recent)):
		u.Changes = st.recent[int64(len(st.recent))-missing:]
	default:
		u.Full, u.Entries = true, st.snapshot.entries
	}
	return u
}

// apply applies an update if it is newer than the current version and lacks no changes in between. Otherwise it returns
// false.
func (f *Follower) apply(u Update) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.removeApplied()
	old := f.state.Load()
	if u.Version <= old.snapshot.version {
		return false
	}
	if u.Full {
		f.state.Store(&followedList{snapshot: NewSnapshot(u.Version, u.Entries)})
		return true
	}
	next := old.snapshot.version
	var newChanges []Change
	for _, c := range u.Changes {
		if c.Version <= old.snapshot.version {
			continue
		}
		if c.Version != next+1 {
			return false
		}
		next = c.Version
		newChanges = append(newChanges, c)
	}
	if next != u.Version {
		return false
	}
	recent := append(append(make([]Change, 0, len(old.recent)+len(newChanges)), old.recent...), newChanges...)
	if extra := len(recent) - maxRecentChanges; extra > 0 {
		recent = recent[extra:]
	}
	f.state.Store(&followedList{snapshot: old.snapshot.withChanges(newChanges...), recent: recent})
	return true
}
