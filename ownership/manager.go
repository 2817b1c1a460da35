package ownership

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/defaults"
	"github.com/greengagewing/greengagewing/internal/wait"
	"github.com/greengagewing/greengagewing/session"
	"github.com/greengagewing/greengagewing/table"
)

// Config configures a Manager. Zero durations and counts are replaced by the defaults.
type Config struct {
	PollInterval time.Duration // time between two scans while partitions move, and always without a Notifier
	// SettledPollInterval is the time between two scans while every partition is with its desired owner. It applies
	// only if there is a Notifier.
	SettledPollInterval time.Duration
	StoreTimeout        time.Duration // timeout of one call to the table
	// ClaimDelay is how long the other daemons leave an unowned partition to its desired owner before they claim it.
	ClaimDelay time.Duration
	// HandoverDelay is how long another daemon must be the desired owner before this daemon hands the partition over to
	// it.
	HandoverDelay time.Duration
	// HandoverTimeout is the timeout of Handler.Stop.
	HandoverTimeout time.Duration
	// StartRetryDelay is how long this daemon waits before it claims a partition again that it failed to start.
	StartRetryDelay time.Duration
	// FallbackOwnerDelay is how long this daemon keeps a partition that it claimed because the desired owner did not
	// claim it in time.
	FallbackOwnerDelay time.Duration
	// FenceRetention is how long after a fencing a release still reports it to the next owner. It must exceed the
	// longest task lease.
	FenceRetention time.Duration
	// ReconcileInterval is the time after which the Manager reconciles if no event triggers it earlier. It bounds the
	// error of the delays.
	ReconcileInterval time.Duration
	// ClaimStagger is the time between the claims of daemons that are not the desired owner, so that these claims do
	// not all conflict.
	ClaimStagger  time.Duration
	RetryDelay    time.Duration // time between two attempts to write a release
	NotifyTimeout time.Duration // timeout of one notice to another daemon
	// MaxConcurrentMoves bounds the partitions that this daemon claims, starts or hands over at the same time. A drain
	// hands over all partitions at once, because it must end within a bounded time.
	MaxConcurrentMoves int
	Notifier           Notifier    // may be nil
	Log                *zap.Logger // state changes only; nil discards them
}

// The defaults of Config.
const (
	DefaultPollInterval = time.Second
	// DefaultSettledPollInterval is how late a daemon may learn of a new owner if the notice was lost and no session
	// has changed.
	DefaultSettledPollInterval = 5 * time.Second
	DefaultStoreTimeout        = 1500 * time.Millisecond
	DefaultClaimDelay          = 2 * time.Second
	DefaultHandoverDelay       = 3 * time.Second
	DefaultHandoverTimeout     = 10 * time.Second
	DefaultStartRetryDelay     = 5 * time.Second
	DefaultFallbackOwnerDelay  = 30 * time.Second
	// DefaultFenceRetention is several times the task lease of 15 s.
	DefaultFenceRetention     = time.Minute
	DefaultReconcileInterval  = 250 * time.Millisecond
	DefaultClaimStagger       = 500 * time.Millisecond
	DefaultRetryDelay         = 200 * time.Millisecond
	DefaultNotifyTimeout      = 500 * time.Millisecond
	DefaultMaxConcurrentMoves = 4
)

func (c Config) withDefaults() Config {
	defaults.Set(&c.PollInterval, DefaultPollInterval)
	defaults.Set(&c.SettledPollInterval, DefaultSettledPollInterval)
	defaults.Set(&c.StoreTimeout, DefaultStoreTimeout)
	defaults.Set(&c.ClaimDelay, DefaultClaimDelay)
	defaults.Set(&c.HandoverDelay, DefaultHandoverDelay)
	defaults.Set(&c.HandoverTimeout, DefaultHandoverTimeout)
	defaults.Set(&c.StartRetryDelay, DefaultStartRetryDelay)
	defaults.Set(&c.FallbackOwnerDelay, DefaultFallbackOwnerDelay)
	defaults.Set(&c.FenceRetention, DefaultFenceRetention)
	defaults.Set(&c.ReconcileInterval, DefaultReconcileInterval)
	defaults.Set(&c.ClaimStagger, DefaultClaimStagger)
	defaults.Set(&c.RetryDelay, DefaultRetryDelay)
	defaults.Set(&c.NotifyTimeout, DefaultNotifyTimeout)
	defaults.Set(&c.MaxConcurrentMoves, DefaultMaxConcurrentMoves)
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	return c
}

// RowNotice tells another daemon of a partition's new row, which is either released or owned by the sender.
type RowNotice struct {
	Row     Row   `json:"row"`
	Version int64 `json:"version"`
}

// Notifier sends notices to other daemons. If a notice is lost, its receiver learns of the change from its next scan.
type Notifier interface {
	NotifyRowChanged(ctx context.Context, peerAddr string, n RowNotice) error
}

// Owner is the daemon that owns a partition, as far as this daemon knows.
type Owner struct {
	ID       string `json:"id"`
	PeerAddr string `json:"peer_addr"`
	Epoch    int64  `json:"epoch"`
	Self     bool   `json:"self"` // the owner is this daemon, and it certainly owns the partition now
}

// Manager claims, runs and hands over the registered partitions, so that each has one owner at a time. It is safe for
// concurrent use.
type Manager struct {
	cfg             Config
	store           table.Client
	keeper          *session.Keeper
	observer        *session.Observer
	reconcileSignal chan struct{}  // triggers a reconciliation at once
	scanSignal      chan struct{}  // triggers a scan at once
	background      sync.WaitGroup // running calls of claimAndRun, and notices being sent

	mu             sync.Mutex
	partitions     map[string]*managedPartition
	draining       bool
	lastScanFailed bool          // the last scan failed
	lastScanStart  time.Time     // start of the last scan
	lastScanEnd    time.Time     // end of the last successful scan
	rebalancing    bool          // some partition is not with its desired owner, as far as this daemon knows
	scanRequested  bool          // a scan was requested and has not begun
	partitionIdle  chan struct{} // closed when a partition becomes idle, then replaced
}

// New returns a manager for the daemon whose session k keeps. The caller runs k and o.
func New(cfg Config, store table.Client, k *session.Keeper, o *session.Observer) *Manager {
	return &Manager{cfg: cfg.withDefaults(), store: store, keeper: k, observer: o, reconcileSignal: make(chan struct{}, 1),
		scanSignal: make(chan struct{}, 1), partitions: map[string]*managedPartition{}, partitionIdle: make(chan struct{})}
}

// Register adds partitions that h serves. prefix is the start of their names, such as "request/". It panics if a name
// has another prefix or is already registered.
func (m *Manager) Register(prefix string, names []string, h Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range names {
		if !strings.HasPrefix(name, prefix) {
			panic(fmt.Sprintf("ownership: partition %q does not start with %q", name, prefix))
		}
		if m.partitions[name] != nil {
			panic(fmt.Sprintf("ownership: partition %q is registered twice", name))
		}
		m.partitions[name] = &managedPartition{name: name, handler: h, phase: idle}
	}
}

// Run claims and hands over partitions until ctx ends. It then stops all handlers without a handover and waits for
// them. Call Drain before ctx ends for an orderly shutdown.
func (m *Manager) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { m.scanLoop(ctx) })
	wg.Go(func() { m.cleanupLoop(ctx) })
	for ctx.Err() == nil {
		sessionChanged, observerChanged := m.keeper.Changed(), m.observer.Changed()
		m.reconcile(ctx)
		t := wait.NewTimer(m.cfg.ReconcileInterval)
		select {
		case <-ctx.Done():
		case <-sessionChanged:
		case <-observerChanged:
		case <-m.reconcileSignal:
		case <-t.C:
		}
		t.Stop()
		select {
		case <-observerChanged:
			m.requestScan()
		default:
		}
	}
	wg.Wait()
	m.background.Wait()
}

// requestReconcile triggers a reconciliation without waiting for the interval.
func (m *Manager) requestReconcile() { wait.Signal(m.reconcileSignal) }

// reconcile revokes the guards of lost partitions, and starts the claims and handovers that are due.
func (m *Manager) reconcile(ctx context.Context) {
	acceptsWork, fresh := m.keeper.AcceptsWork(), m.keeper.RenewedRecently() && m.observer.Fresh()
	live := m.observer.Live()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	fresh = fresh && !m.lastScanFailed && now.Sub(m.lastScanEnd) <= 2*m.cfg.PollInterval
	ranking := m.rankOwners(acceptsWork && !m.draining, live)
	m.updateRebalancing(ranking)
	moves := 0
	for _, p := range m.partitions {
		if p.phase == claiming || p.phase == starting || p.phase == handingOver {
			moves++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.partitions)) {
		p := m.partitions[name]
		if p.guard != nil {
			m.revokeIfLost(p)
		}
		ranked := ranking[name]
		switch {
		case p.phase == running && !p.guard.isLost():
			if successor, due := m.shouldHandOver(p, ranked, fresh, now); due &&
				(m.draining || moves < m.cfg.MaxConcurrentMoves) {
				p.phase = handingOver
				p.successorCh <- successor
				moves++
			}
		case p.phase == idle && acceptsWork && !m.draining && moves < m.cfg.MaxConcurrentMoves &&
			!m.lastScanFailed && !m.lastScanEnd.IsZero():
			if c, ok := m.shouldClaim(p, ranked, now); ok {
				p.phase, p.successorCh = claiming, make(chan string, 1)
				moves++
				m.background.Go(func() { m.claimAndRun(ctx, p, c) })
			}
		}
	}
}

// rankOwners ranks the daemons for each partition, the desired owner first. The caller holds mu.
func (m *Manager) rankOwners(includeSelf bool, live []session.Info) map[string][]string {
	groups := map[string][]assignment{}
	for _, name := range slices.Sorted(maps.Keys(m.partitions)) {
		g := GroupOf(name)
		groups[g] = append(groups[g], assignment{name, m.partitions[name].row.expectedOwner()})
	}
	out := make(map[string][]string, len(m.partitions))
	for g, current := range groups {
		maps.Copy(out, rankOwners(current, eligibleDaemons(g, m.keeper.ID(), includeSelf, live)))
	}
	return out
}

// updateRebalancing records whether any partition has to move or is moving, and requests a scan when that begins. The
// caller holds mu.
func (m *Manager) updateRebalancing(ranking map[string][]string) {
	rebalancing := false
	for name, p := range m.partitions {
		ranked, owner := ranking[name], p.row.Owner
		_, ended := m.observer.Ended(owner.ID, owner.Incarnation)
		rebalancing = rebalancing || p.phase != idle && p.phase != running || p.row.State != Owned || ended ||
			len(ranked) == 0 || ranked[0] != owner.ID || owner.ID == m.keeper.ID() && p.phase != running
	}
	if rebalancing && !m.rebalancing {
		m.requestScanLocked()
	}
	m.rebalancing = rebalancing
}

// revokeIfLost revokes the guard of a partition if the session is lost or another daemon has claimed the partition. The
// caller holds mu.
func (m *Manager) revokeIfLost(p *managedPartition) {
	g := p.guard
	if !m.keeper.ValidFor(g.row.Owner.Incarnation) || p.row.Epoch > g.row.Epoch {
		if !g.isLost() {
			m.cfg.Log.Warn("partition lost", zap.String("partition", p.name), zap.Int64("epoch", g.row.Epoch))
		}
		g.markLost()
	}
}

// shouldHandOver reports whether to hand over a partition now, and to which daemon. The caller holds mu.
func (m *Manager) shouldHandOver(p *managedPartition, ranked []string, fresh bool,
	now time.Time) (successor string, due bool) {
	if len(ranked) > 0 {
		successor = ranked[0]
	}
	if m.draining {
		return successor, true
	}
	// During an outage of the store this daemon could not write the release, and the partition would have no owner for
	// the whole outage.
	if !fresh || successor == "" || successor == m.keeper.ID() {
		p.otherDesiredSince = time.Time{}
		return "", false
	}
	if p.otherDesiredSince.IsZero() || p.otherDesired != successor {
		p.otherDesired, p.otherDesiredSince = successor, now
	}
	return successor, now.Sub(p.otherDesiredSince) >= m.cfg.HandoverDelay && !now.Before(p.noHandoverBefore)
}

// shouldClaim reports whether to claim a partition now. The caller holds mu.
func (m *Manager) shouldClaim(p *managedPartition, ranked []string, now time.Time) (claim, bool) {
	self := m.keeper.ID()
	c := claim{row: p.row, version: p.version}
	if o := p.row.Owner; p.row.State == Owned && o.ID == self && p.row.Epoch > p.maxGuardEpoch &&
		m.keeper.ValidFor(o.Incarnation) {
		c.adopt = true
		if p.row.FencedBefore {
			c.fencedAt = now
		}
		return c, true
	}
	claimable := false
	if c.fencedAt, claimable = m.claimable(p, now); !claimable {
		p.claimableSince = time.Time{}
		return claim{}, false
	}
	if p.claimableSince.IsZero() {
		p.claimableSince = now
	}
	position := slices.Index(ranked, self)
	if position < 0 || now.Before(p.noClaimBefore) {
		return claim{}, false
	}
	c.fallback = position > 0
	if p.row.State == Released && slices.Contains(ranked, p.row.Successor) {
		if p.row.Successor == self {
			return c, true
		}
		position = max(position, 1) // the named successor claims first
	}
	if position == 0 {
		return c, true
	}
	return c, now.Sub(p.claimableSince) >= m.cfg.ClaimDelay+time.Duration(position-1)*m.cfg.ClaimStagger
}

// claimable reports whether certainly no daemon owns the partition any more. If its owner did not release the
// partition, or an earlier owner was fenced shortly before the release, fencedAt is the time of the fencing or a later
// time; otherwise it is zero.
func (m *Manager) claimable(p *managedPartition, now time.Time) (fencedAt time.Time, claimable bool) {
	owner := p.row.Owner
	switch {
	case p.row.Epoch == 0:
		return time.Time{}, true
	case p.row.State == Released && p.row.FencedBefore:
		return now, true
	case p.row.State == Released:
		return time.Time{}, true
	case owner.ID == m.keeper.ID() && owner.Incarnation < m.keeper.Incarnation():
		return now, true
	}
	return m.observer.Ended(owner.ID, owner.Incarnation)
}

// setPhase sets the phase of a partition and triggers a reconciliation.
func (m *Manager) setPhase(p *managedPartition, ph phase) {
	m.mu.Lock()
	p.phase = ph
	m.mu.Unlock()
	m.requestReconcile()
}

// delayClaim prevents this daemon from claiming a partition for the duration d.
func (m *Manager) delayClaim(p *managedPartition, d time.Duration) {
	m.mu.Lock()
	p.noClaimBefore = time.Now().Add(d)
	m.mu.Unlock()
}

// markIdle records that claimAndRun has ended for a partition.
func (m *Manager) markIdle(p *managedPartition) {
	m.mu.Lock()
	p.phase, p.guard = idle, nil
	close(m.partitionIdle)
	m.partitionIdle = make(chan struct{})
	m.mu.Unlock()
	m.requestReconcile()
}

// OwnerOf returns the owner of a partition. known is false if the partition has no owner now, or none that this daemon
// knows. Another daemon's ownership is as this daemon last read it or was notified; only that daemon's own guard is
// authoritative.
func (m *Manager) OwnerOf(partition string) (owner Owner, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.partitions[partition]
	if p == nil {
		return Owner{}, false
	}
	if g := p.guard; g != nil && g.Check() == nil {
		return Owner{ID: m.keeper.ID(), PeerAddr: m.keeper.PeerAddr(), Epoch: g.row.Epoch, Self: true}, true
	}
	if p.row.State != Owned || p.row.Owner.ID == m.keeper.ID() {
		return Owner{}, false
	}
	if _, ended := m.observer.Ended(p.row.Owner.ID, p.row.Owner.Incarnation); ended {
		return Owner{}, false
	}
	return Owner{ID: p.row.Owner.ID, PeerAddr: p.row.Owner.PeerAddr, Epoch: p.row.Epoch}, true
}

// OwnedCount returns the number of partitions that this daemon certainly owns now.
func (m *Manager) OwnedCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, p := range m.partitions {
		if p.guard != nil && p.guard.Check() == nil {
			n++
		}
	}
	return n
}

// Drain marks the session as draining, makes no new claims, and hands over every partition. It returns nil once no
// partition is left, or the error of ctx. Run must still be running.
func (m *Manager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	m.keeper.SetState(session.Draining)
	m.requestReconcile()
	for {
		m.mu.Lock()
		partitionIdle, left := m.partitionIdle, 0
		for _, p := range m.partitions {
			if p.phase != idle {
				left++
			}
		}
		m.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-partitionIdle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// PartitionState describes one partition in the state dump.
type PartitionState struct {
	Row      Row    `json:"row"`
	Version  int64  `json:"version"`
	Phase    string `json:"phase"`
	Owned    bool   `json:"owned"` // the guard's check passes
	FencedMS int64  `json:"fenced_ms,omitempty"`
}

// ManagerState is the state dump of a Manager.
type ManagerState struct {
	Draining   bool                      `json:"draining"`
	ScanMS     int64                     `json:"scan_ms"` // age of the last successful scan
	ScanFailed bool                      `json:"scan_failed"`
	Partitions map[string]PartitionState `json:"partitions"`
}

// State returns a dump of the manager's state that can be encoded as JSON.
func (m *Manager) State() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := ManagerState{Draining: m.draining, ScanFailed: m.lastScanFailed, Partitions: map[string]PartitionState{}}
	if !m.lastScanEnd.IsZero() {
		s.ScanMS = time.Since(m.lastScanEnd).Milliseconds()
	}
	for name, p := range m.partitions {
		ps := PartitionState{Row: p.row, Version: p.version, Phase: string(p.phase)}
		if g := p.guard; g != nil {
			ps.Owned = g.Check() == nil
			if !g.fencedAt.IsZero() {
				ps.FencedMS = time.Since(g.fencedAt).Milliseconds()
			}
		}
		s.Partitions[name] = ps
	}
	return s
}
