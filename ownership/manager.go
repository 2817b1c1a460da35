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

// Config configures a Manager. Zero durations and counts take the defaults.
type Config struct {
	PollInterval time.Duration // between two scans of the partition rows
	// SettledPollInterval is the time between two scans while every partition is with its desired owner. It is used only
	// with a Notifier.
	SettledPollInterval time.Duration
	StoreTimeout        time.Duration // limit of one call to the table
	// ClaimDelay is how long others leave a free partition to its desired owner.
	ClaimDelay time.Duration
	// HandoverDelay is how long another daemon must be the desired owner before a partition is handed over to it.
	HandoverDelay time.Duration
	// HandoverTimeout bounds Handler.Stop.
	HandoverTimeout time.Duration
	// StartRetryDelay is how long this daemon does not claim a partition that it failed to start.
	StartRetryDelay time.Duration
	// ReturnDelay is how long a partition is kept that its desired owner did not claim in time.
	ReturnDelay time.Duration
	// FenceMemory is how long after a fencing a release still tells the next owner of it. It must exceed the longest
	// task lease.
	FenceMemory time.Duration
	// DecideInterval is how often decisions are made without an event; it bounds the error of the delays.
	DecideInterval time.Duration
	// RankDelay separates the claims of daemons that are not the desired owner, so that they do not all conflict.
	RankDelay     time.Duration
	RetryDelay    time.Duration // between two attempts to write a release
	NotifyTimeout time.Duration // limit of one release notice
	// MaxMoves bounds the partitions that this daemon claims, starts or hands over at a time. A drain hands over all at
	// once, because it must end within a bounded time.
	MaxMoves int
	Notifier Notifier    // may be nil
	Log      *zap.Logger // state changes only; nil discards them
}

// The defaults of Config.
const (
	DefaultPollInterval = time.Second
	// DefaultSettledPollInterval is how late a daemon may learn of a new owner when the notice was lost and no session
	// has changed.
	DefaultSettledPollInterval = 5 * time.Second
	DefaultStoreTimeout        = 1500 * time.Millisecond
	DefaultClaimDelay          = 2 * time.Second
	DefaultHandoverDelay       = 3 * time.Second
	DefaultHandoverTimeout     = 10 * time.Second
	DefaultStartRetryDelay     = 5 * time.Second
	DefaultReturnDelay         = 30 * time.Second
	// DefaultFenceMemory is several task leases of 15 s.
	DefaultFenceMemory    = time.Minute
	DefaultDecideInterval = 250 * time.Millisecond
	DefaultRankDelay      = 500 * time.Millisecond
	DefaultRetryDelay     = 200 * time.Millisecond
	DefaultNotifyTimeout  = 500 * time.Millisecond
	DefaultMaxMoves       = 4
)

func (c Config) withDefaults() Config {
	defaults.Set(&c.PollInterval, DefaultPollInterval)
	defaults.Set(&c.SettledPollInterval, DefaultSettledPollInterval)
	defaults.Set(&c.StoreTimeout, DefaultStoreTimeout)
	defaults.Set(&c.ClaimDelay, DefaultClaimDelay)
	defaults.Set(&c.HandoverDelay, DefaultHandoverDelay)
	defaults.Set(&c.HandoverTimeout, DefaultHandoverTimeout)
	defaults.Set(&c.StartRetryDelay, DefaultStartRetryDelay)
	defaults.Set(&c.ReturnDelay, DefaultReturnDelay)
	defaults.Set(&c.FenceMemory, DefaultFenceMemory)
	defaults.Set(&c.DecideInterval, DefaultDecideInterval)
	defaults.Set(&c.RankDelay, DefaultRankDelay)
	defaults.Set(&c.RetryDelay, DefaultRetryDelay)
	defaults.Set(&c.NotifyTimeout, DefaultNotifyTimeout)
	defaults.Set(&c.MaxMoves, DefaultMaxMoves)
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	return c
}

// RowNotice tells another daemon of a partition's new row: released, or owned by the sender.
type RowNotice struct {
	Row     Row   `json:"row"`
	Version int64 `json:"version"`
}

// Notifier sends notices to other daemons. A lost notice only delays its receiver until the next scan.
type Notifier interface {
	RowChanged(ctx context.Context, peerAddr string, n RowNotice) error
}

// Owner is the daemon that owns a partition as far as this daemon knows.
type Owner struct {
	ID       string `json:"id"`
	PeerAddr string `json:"peer_addr"`
	Epoch    int64  `json:"epoch"`
	Self     bool   `json:"self"` // this daemon, and it certainly owns the partition now
}

// Manager gives each registered partition to one daemon at a time. It is safe for concurrent use.
type Manager struct {
	cfg      Config
	store    table.Client
	keeper   *session.Keeper
	observer *session.Observer
	kick     chan struct{}
	rescan   chan struct{} // asks for a scan at once
	tenures  sync.WaitGroup

	mu       sync.Mutex
	parts    map[string]*part
	draining bool
	broken   bool      // the last scan failed
	scanned  time.Time // start of the last scan
	lastScan time.Time // end of the last successful scan
	moving   bool      // some partition is not with its desired owner, as far as this daemon knows
	asked    bool      // a scan was asked for
	settled  chan struct{}
}

// New returns a manager of the daemon whose session k keeps. The caller runs k and o.
func New(cfg Config, store table.Client, k *session.Keeper, o *session.Observer) *Manager {
	return &Manager{cfg: cfg.withDefaults(), store: store, keeper: k, observer: o, kick: make(chan struct{}, 1),
		rescan: make(chan struct{}, 1), parts: map[string]*part{}, settled: make(chan struct{})}
}

// Register adds partitions of one kind. prefix is the start of their names, such as "request/". It panics if a partition
// has another prefix or is already registered.
func (m *Manager) Register(prefix string, partitions []string, h Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range partitions {
		if !strings.HasPrefix(name, prefix) {
			panic(fmt.Sprintf("ownership: partition %q does not start with %q", name, prefix))
		}
		if m.parts[name] != nil {
			panic(fmt.Sprintf("ownership: partition %q is registered twice", name))
		}
		m.parts[name] = &part{name: name, handler: h, phase: idle}
	}
}

// Run assigns partitions until ctx ends. It then stops all handlers without handover and waits for them; call Drain
// before for an orderly end.
func (m *Manager) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { m.scanLoop(ctx) })
	wg.Go(func() { m.sweepLoop(ctx) })
	for ctx.Err() == nil {
		session, sessions := m.keeper.Changed(), m.observer.Changed()
		m.decide(ctx)
		t := wait.NewTimer(m.cfg.DecideInterval)
		select {
		case <-ctx.Done():
		case <-session:
		case <-sessions:
		case <-m.kick:
		case <-t.C:
		}
		t.Stop()
		select {
		case <-sessions:
			m.scanNow()
		default:
		}
	}
	wg.Wait()
	m.tenures.Wait()
}

func (m *Manager) wake() { wait.Signal(m.kick) }

// decide revokes what is lost, and starts claims and handovers.
func (m *Manager) decide(ctx context.Context) {
	accepts, fresh := m.keeper.AcceptsWork(), m.keeper.StoreReached() && m.observer.Fresh()
	live := m.observer.Live()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	fresh = fresh && !m.broken && now.Sub(m.lastScan) <= 2*m.cfg.PollInterval
	ranking := m.assign(accepts && !m.draining, live)
	m.noteMoves(ranking)
	moves := 0
	for _, p := range m.parts {
		if p.phase == claiming || p.phase == starting || p.phase == handing {
			moves++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.parts)) {
		p := m.parts[name]
		if p.guard != nil {
			m.checkLost(p)
		}
		ranked := ranking[name]
		switch {
		case p.phase == running && !p.guard.isLost():
			if successor, hand := m.shouldHandOver(p, ranked, fresh, now); hand && (m.draining || moves < m.cfg.MaxMoves) {
				p.phase = handing
				p.handover <- successor
				moves++
			}
		case p.phase == idle && accepts && !m.draining && moves < m.cfg.MaxMoves && !m.broken && !m.lastScan.IsZero():
			if c, ok := m.shouldClaim(p, ranked, now); ok {
				p.phase, p.handover = claiming, make(chan string, 1)
				moves++
				m.tenures.Go(func() { m.tenure(ctx, p, c) })
			}
		}
	}
}

// assign ranks the daemons for each partition. The caller holds mu.
func (m *Manager) assign(self bool, live []session.Info) map[string][]string {
	groups := map[string][]holding{}
	for _, name := range slices.Sorted(maps.Keys(m.parts)) {
		g := GroupOf(name)
		groups[g] = append(groups[g], holding{name, m.parts[name].row.holder()})
	}
	out := make(map[string][]string, len(m.parts))
	for g, holdings := range groups {
		maps.Copy(out, assign(holdings, eligible(g, m.keeper.ID(), self, live)))
	}
	return out
}

// noteMoves notes whether some partition is to move or is moving, and asks for a scan when that begins. The caller holds
// mu.
func (m *Manager) noteMoves(ranking map[string][]string) {
	moving := false
	for name, p := range m.parts {
		ranked, owner := ranking[name], p.row.Owner
		_, ended := m.observer.Ended(owner.ID, owner.Incarnation)
		moving = moving || p.phase != idle && p.phase != running || p.row.State != Owned || ended ||
			len(ranked) == 0 || ranked[0] != owner.ID || owner.ID == m.keeper.ID() && p.phase != running
	}
	if moving && !m.moving {
		m.askScan()
	}
	m.moving = moving
}

// checkLost revokes the guard of a partition if the session is lost or another daemon has claimed it.
func (m *Manager) checkLost(p *part) {
	g := p.guard
	if !m.keeper.ValidFor(g.row.Owner.Incarnation) || p.row.Epoch > g.row.Epoch {
		if !g.isLost() {
			m.cfg.Log.Warn("partition lost", zap.String("partition", p.name), zap.Int64("epoch", g.row.Epoch))
		}
		g.lose()
	}
}

// shouldHandOver reports whether a partition is to be handed over, and to whom.
func (m *Manager) shouldHandOver(p *part, ranked []string, fresh bool, now time.Time) (successor string, hand bool) {
	if len(ranked) > 0 {
		successor = ranked[0]
	}
	if m.draining {
		return successor, true
	}
	// Without the store the release could not be written, and the partition would have no owner for the whole outage.
	if !fresh || successor == "" || successor == m.keeper.ID() {
		p.elsewhereSince = time.Time{}
		return "", false
	}
	if p.elsewhereSince.IsZero() || p.elsewhere != successor {
		p.elsewhere, p.elsewhereSince = successor, now
	}
	return successor, now.Sub(p.elsewhereSince) >= m.cfg.HandoverDelay && !now.Before(p.noHandoverBefore)
}

// shouldClaim reports whether to claim a partition now.
func (m *Manager) shouldClaim(p *part, ranked []string, now time.Time) (claim, bool) {
	self := m.keeper.ID()
	c := claim{row: p.row, version: p.version}
	if o := p.row.Owner; p.row.State == Owned && o.ID == self && p.row.Epoch > p.heldEpoch &&
		m.keeper.ValidFor(o.Incarnation) {
		c.adopt = true
		if p.row.FencedBefore {
			c.fencedAt = now
		}
		return c, true
	}
	free := false
	if c.fencedAt, free = m.free(p, now); !free {
		p.freeSince = time.Time{}
		return claim{}, false
	}
	if p.freeSince.IsZero() {
		p.freeSince = now
	}
	at := slices.Index(ranked, self)
	if at < 0 || now.Before(p.noClaimBefore) {
		return claim{}, false
	}
	c.delayed = at > 0
	if p.row.State == Released && slices.Contains(ranked, p.row.Successor) {
		if p.row.Successor == self {
			return c, true
		}
		at = max(at, 1) // the named successor comes first
	}
	if at == 0 {
		return c, true
	}
	return c, now.Sub(p.freeSince) >= m.cfg.ClaimDelay+time.Duration(at-1)*m.cfg.RankDelay
}

// free reports whether nobody can own the partition any more, and when its owner was fenced if it did not release it.
func (m *Manager) free(p *part, now time.Time) (fencedAt time.Time, free bool) {
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

func (m *Manager) enter(p *part, ph phase) {
	m.mu.Lock()
	p.phase = ph
	m.mu.Unlock()
	m.wake()
}

func (m *Manager) postpone(p *part, d time.Duration) {
	m.mu.Lock()
	p.noClaimBefore = time.Now().Add(d)
	m.mu.Unlock()
}

// ended notes the end of a tenure.
func (m *Manager) ended(p *part) {
	m.mu.Lock()
	p.phase, p.guard = idle, nil
	close(m.settled)
	m.settled = make(chan struct{})
	m.mu.Unlock()
	m.wake()
}

// OwnerOf returns the owner of a partition. known is false if the partition has no owner now, or none that this daemon
// knows. Another daemon's ownership is as of the last scan; that daemon's own guard decides.
func (m *Manager) OwnerOf(partition string) (owner Owner, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.parts[partition]
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

// Owned returns the number of partitions that this daemon certainly owns now.
func (m *Manager) Owned() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, p := range m.parts {
		if p.guard != nil && p.guard.Check() == nil {
			n++
		}
	}
	return n
}

// Drain marks the session as draining, refuses new claims, and hands over every partition. It returns nil once nothing
// is left, or the error of ctx. Run must still be running.
func (m *Manager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	m.keeper.SetState(session.Draining)
	m.wake()
	for {
		m.mu.Lock()
		settled, left := m.settled, 0
		for _, p := range m.parts {
			if p.phase != idle {
				left++
			}
		}
		m.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-settled:
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
	Owned    bool   `json:"owned"` // the guard passes
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
	s := ManagerState{Draining: m.draining, ScanFailed: m.broken, Partitions: map[string]PartitionState{}}
	if !m.lastScan.IsZero() {
		s.ScanMS = time.Since(m.lastScan).Milliseconds()
	}
	for name, p := range m.parts {
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
