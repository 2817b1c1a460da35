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

// Default timing of a Follower. An accepted edit has to be in force everywhere within 5 s: one poll and one read of the
// store by some process, then one poll and one read of that process by the others.
const (
	DefaultPoll        = time.Second
	DefaultCallTimeout = time.Second
)

const (
	// maxRecentChanges is the number of changes kept in memory for peers that are behind.
	maxRecentChanges = 2 * SnapshotEvery
	hintQueueSize    = 64
	pushQueueSize    = 64
)

// NeverConfirmed is the age that Confirmed returns before the first confirmation.
const NeverConfirmed = time.Duration(math.MaxInt64)

// Peer is another process that follows the same lists.
type Peer interface {
	// Version returns the version that the peer has.
	Version(ctx context.Context, list string) (int64, error)
	// After returns what leads from a version to the peer's version.
	After(ctx context.Context, list string, after int64) (Update, error)
}

// Pusher is implemented by peers that take updates, with Follower.Accept at the other end.
type Pusher interface {
	Push(ctx context.Context, list string, u Update) error
}

// Update leads a follower to a version: by all entries if Full is set, otherwise by consecutive changes.
type Update struct {
	Version int64                      `json:"version"`
	Full    bool                       `json:"full,omitempty"`
	Entries map[string]json.RawMessage `json:"entries,omitempty"`
	Changes []Change                   `json:"changes,omitempty"`
}

// FollowerConfig configures a Follower. Zero values mean the defaults.
type FollowerConfig struct {
	Poll        time.Duration // period of reading the store and of asking the peers
	CallTimeout time.Duration // of one pass over the store, and of one exchange with a peer
	HoldLimit   time.Duration // see Follower.Hold
	// Peers returns the peers to ask and to push to. It is called from several goroutines. Default: none.
	Peers func() []Peer
	// Unheard returns the peers to ask at each poll after the first. Peers whose versions reach Heard anyway can be left
	// out. Default: all of Peers.
	Unheard func() []Peer
	Logger  *zap.Logger
}

// FollowerState is a Follower's part of the state dump.
type FollowerState struct {
	List        string `json:"list"`
	Version     int64  `json:"version"`
	Entries     int    `json:"entries"`
	Ready       bool   `json:"ready"`
	ConfirmedMS int64  `json:"confirmed_ms"` // age of the last confirmation, -1 if there was none
	StoreErrors int64  `json:"store_errors"`
	StaleReads  int64  `json:"stale_reads"` // reads of the store that showed an older version
	PeerErrors  int64  `json:"peer_errors"`
	Pulled      int64  `json:"pulled"`  // updates taken from peers that were asked
	Pushed      int64  `json:"pushed"`  // updates taken from peers that pushed
	Ignored     int64  `json:"ignored"` // updates that led no further
	Held        int    `json:"held"`    // announced edits without a known outcome
}

// followedList is the immutable state of a follower.
type followedList struct {
	snapshot *Snapshot
	recent   []Change // consecutive, the last one led to snap
}

type versionHint struct {
	peer    Peer
	version int64
}

// Follower keeps a process's copy of a list. The version of the copy never decreases. It is safe for concurrent use;
// reads take no locks.
type Follower struct {
	reader
	cfg     FollowerConfig
	start   time.Time
	hints   chan versionHint
	pollNow chan struct{}
	pushes  chan Update

	mu             sync.Mutex // serializes changes of state
	announcedEdits map[string]announcedEdit
	state          atomic.Pointer[followedList]
	confirmed      atomic.Int64 // nanoseconds after start, -1 before the first confirmation
	ready          atomic.Bool

	storeErrors, staleReads, peerErrors, pulled, pushed, ignored atomic.Int64
}

// NewFollower returns a follower at version 0 that is not ready before Run was called.
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

// Snapshot returns the list in force.
func (f *Follower) Snapshot() *Snapshot { return f.state.Load().snapshot }

// Ready is true once the highest version among the store and the peers that answered is in force.
func (f *Follower) Ready() bool { return f.ready.Load() }

// Confirmed returns the time since the store or a peer last showed that it has no newer version, measured from before
// the question was sent. While an edit is announced (Hold), a peer cannot show this.
func (f *Follower) Confirmed() time.Duration {
	at := f.confirmed.Load()
	if at < 0 {
		return NeverConfirmed
	}
	return time.Since(f.start) - time.Duration(at)
}

func (f *Follower) confirm(askedAt time.Time) {
	at := int64(askedAt.Sub(f.start))
	for {
		old := f.confirmed.Load()
		if old >= at || f.confirmed.CompareAndSwap(old, at) {
			return
		}
	}
}

// State returns the follower's part of the state dump.
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

// initialSync asks the store and all peers, so that a stale read of the store cannot bring back an old version after a
// restart. It returns false if nobody answered.
func (f *Follower) initialSync(ctx context.Context) bool {
	var wg sync.WaitGroup
	var store, peers bool
	wg.Go(func() { store = f.syncWithStore(ctx) })
	wg.Go(func() { peers = f.askPeers(ctx, f.cfg.Peers()) })
	wg.Wait()
	return store || peers
}

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

// nextPoll returns the time of the poll after one that was due at last. Polls that were missed are skipped.
func nextPoll(last time.Time, period time.Duration) time.Time {
	next := last.Add(period)
	if now := time.Now(); next.Before(now) {
		return now
	}
	return next
}

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

// syncWithStore catches up with the store. It returns false if the store did not answer.
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
		// Edits that this process knows are missing from the read, so newer ones could be missing as well.
		f.staleReads.Add(1)
		return true
	}
	f.confirm(readAt)
	f.removeResolved(readAt)
	return true
}

// catchUp reads the store up to the version of its head, which it returns.
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

// askPeers asks peers at once and pulls from those that are ahead. It returns false if none answered.
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

// callPeers calls all peers at once, waits for them, and returns the number of calls that succeeded.
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

// Accept takes an update that a peer pushed. It returns false if the update leads no further; when it does not connect
// to the version in force, the store is read at once.
func (f *Follower) Accept(u Update) bool {
	if f.apply(u) {
		f.pushed.Add(1)
		return true
	}
	f.ignored.Add(1)
	f.pollIfBehind(u.Version)
	return false
}

func (f *Follower) pollIfBehind(version int64) {
	if version > f.Snapshot().version {
		wait.Signal(f.pollNow)
	}
}

// Publish puts an edit that was accepted through this process in force here and pushes it to all peers that are
// Pushers. It does not wait for them.
func (f *Follower) Publish(c Change) {
	u := Update{Version: c.Version, Changes: []Change{c}}
	if !f.apply(u) {
		f.pollIfBehind(c.Version)
	}
	select {
	case f.pushes <- u:
	default:
		// The peers find the version at their next poll.
	}
}

// Heard notes the version that a peer's heartbeat carried, which was sent at the given local time or later. A newer
// version is pulled from the peer in the background.
func (f *Follower) Heard(p Peer, version int64, asked time.Time) {
	if version <= f.Snapshot().version {
		f.confirmByPeer(asked)
		return
	}
	select {
	case f.hints <- versionHint{peer: p, version: version}:
	default:
		// The next heartbeat or poll finds it.
	}
}

// After returns what leads from a version to the one in force, for a peer that asks.
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

// apply puts an update in force if it leads forward from the version in force.
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
