package ownership

import (
	"context"
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/wait"
	"github.com/greengagewing/greengagewing/session"
	"github.com/greengagewing/greengagewing/table"
)

// guard implements Guard for one successful claim.
type guard struct {
	row      Row
	version  int64
	fencedAt time.Time
	keeper   *session.Keeper
	revoked  atomic.Bool
	lostOnce sync.Once
	lost     chan struct{} // closed when the ownership ends
}

func (g *guard) Partition() string   { return g.row.Partition }
func (g *guard) Epoch() int64        { return g.row.Epoch }
func (g *guard) RowKey() string      { return Key(g.row.Partition) }
func (g *guard) RowVersion() int64   { return g.version }
func (g *guard) FencedAt() time.Time { return g.fencedAt }

func (g *guard) Check() error {
	if g.revoked.Load() || !g.keeper.ValidFor(g.row.Owner.Incarnation) {
		return ErrNotOwner
	}
	return nil
}

// markLost revokes the guard and signals that the ownership has ended.
func (g *guard) markLost() {
	g.revoked.Store(true)
	g.lostOnce.Do(func() { close(g.lost) })
}

func (g *guard) isLost() bool {
	select {
	case <-g.lost:
		return true
	default:
		return false
	}
}

// phase is the stage of a partition's ownership cycle on this daemon.
type phase string

const (
	idle        phase = "idle"
	claiming    phase = "claiming"
	starting    phase = "starting"
	running     phase = "running"
	handingOver phase = "handing over"
	stopping    phase = "stopping"
)

// managedPartition is this daemon's state of one partition. Manager.mu protects it.
type managedPartition struct {
	name    string
	handler Handler

	row     Row // last known row; Epoch 0: the partition has no row
	version int64

	phase       phase
	guard       *guard      // set while this daemon owns the partition
	successorCh chan string // receives the successor's id, at most once per claim

	claimableSince    time.Time // when this daemon first saw that it may claim the partition at this version of the row
	otherDesiredSince time.Time // when this daemon first saw that otherDesired is the desired owner
	otherDesired      string
	noClaimBefore     time.Time // set after a failed claim or start
	noHandoverBefore  time.Time // set after a claim as the fallback owner
	// maxGuardEpoch is the highest epoch for which this daemon had a guard. A row that names the current incarnation of
	// this daemon at a higher epoch comes from a claim whose response was lost; this daemon owns the partition until it
	// releases it.
	maxGuardEpoch int64
}

// updateRow stores a newer version of the row. It returns false if the given version is invalid, already known, or
// older than the known one.
func (p *managedPartition) updateRow(r Row, version int64) bool {
	if r.Epoch == 0 || r.olderThan(p.row) || version == p.version {
		return false
	}
	p.row, p.version, p.claimableSince = r, version, time.Time{}
	return true
}

// claim holds what a claim is based on.
type claim struct {
	row      Row // the current row
	version  int64
	fencedAt time.Time
	adopt    bool // the row already names this daemon, from a claim whose response was lost
	fallback bool // another daemon is the desired owner, but has not claimed the partition in time
}

// claimAndRun claims a partition, runs its handler, and releases the partition. At most one claimAndRun per partition
// runs in a process, so a handler is never started twice at once.
func (m *Manager) claimAndRun(ctx context.Context, p *managedPartition, c claim) {
	defer m.markIdle(p)
	g := m.claimPartition(ctx, p, c)
	if g == nil {
		return
	}
	defer g.markLost()
	startCtx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-g.lost:
			cancel()
		case <-startCtx.Done():
		}
	}()
	defer cancel()
	m.setPhase(p, starting)
	err := p.handler.Start(startCtx, g)
	switch {
	case err != nil && (g.isLost() || ctx.Err() != nil):
		return
	case err != nil:
		m.cfg.Log.Error("failed to start partition", zap.String("partition", p.name), zap.Error(err))
		m.delayClaim(p, m.cfg.StartRetryDelay)
		m.release(ctx, p, g, m.desiredOtherOwner(p.name))
		return
	}
	m.setPhase(p, running)
	m.notifyPeers(ctx, g.row, g.version)
	select {
	case successor := <-p.successorCh:
		m.handOver(ctx, p, g, successor)
	case <-g.lost:
		m.stopAfterLoss(p)
	case <-ctx.Done():
		g.markLost()
		m.stopAfterLoss(p)
	}
}

// desiredOtherOwner returns the other daemon that should own the partition, or "" if there is none.
func (m *Manager) desiredOtherOwner(partition string) string {
	if ranked := rankByHash(partition,
		eligibleDaemons(GroupOf(partition), m.keeper.ID(), false, m.observer.Live())); len(ranked) > 0 {
		return ranked[0]
	}
	return ""
}

// stopAfterLoss stops the handler of a partition that this daemon no longer owns.
func (m *Manager) stopAfterLoss(p *managedPartition) {
	m.setPhase(p, stopping)
	ctx, cancel := context.WithTimeout(context.Background(), m.cfg.HandoverTimeout)
	defer cancel()
	p.handler.Stop(ctx, p.name, false)
}

// handOver stops the handler while this daemon still owns the partition, and then releases the partition to successor.
func (m *Manager) handOver(ctx context.Context, p *managedPartition, g *guard, successor string) {
	stopCtx, cancel := context.WithTimeout(ctx, m.cfg.HandoverTimeout)
	go func() {
		select {
		case <-g.lost:
			cancel()
		case <-stopCtx.Done():
		}
	}()
	p.handler.Stop(stopCtx, p.name, true)
	cancel()
	g.revoked.Store(true)
	m.release(ctx, p, g, successor)
}

// claimPartition commits the claim. It returns nil if the claim failed or its outcome is unknown. If such a claim took
// effect after all, a later scan finds the row and the Manager adopts it.
func (m *Manager) claimPartition(ctx context.Context, p *managedPartition, c claim) *guard {
	if c.adopt {
		return m.recordClaim(p, c, c.row, c.version)
	}
	row := Row{
		Partition: p.name, Epoch: c.row.Epoch + 1, State: Owned, Tag: rand.Text(), FencedBefore: !c.fencedAt.IsZero(),
		Owner: RowOwner{ID: m.keeper.ID(), Incarnation: m.keeper.Incarnation(), PeerAddr: m.keeper.PeerAddr()},
	}
	key := Key(p.name)
	res, inc, err := m.keeper.Commit(ctx, table.Txn{
		Conditions: []table.Condition{{Key: key, Version: c.version}},
		Ops:        []table.Op{{Key: key, Value: encode(row)}},
	})
	switch {
	case err == nil && inc != row.Owner.Incarnation:
		// The session was replaced between reading the incarnation and the commit. The row names a session that has
		// ended, so the partition can be claimed again.
	case err == nil:
		return m.recordClaim(p, c, row, res.Versions[key])
	case errors.Is(err, table.ErrUnknownOutcome):
		if got, version, err := m.readRow(ctx, p.name); err == nil && got.Tag == row.Tag {
			return m.recordClaim(p, c, got, version)
		}
	}
	m.delayClaim(p, m.cfg.PollInterval) // until a scan has read the current row
	return nil
}

// readRow reads a partition's row and its version from the table.
func (m *Manager) readRow(ctx context.Context, partition string) (Row, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.StoreTimeout)
	defer cancel()
	got, err := m.store.Get(ctx, Key(partition))
	if err != nil {
		return Row{}, 0, err
	}
	r, err := decode(got.Value)
	return r, got.Version, err
}

// recordClaim records that this daemon owns the partition and returns the guard.
func (m *Manager) recordClaim(p *managedPartition, c claim, row Row, version int64) *guard {
	g := &guard{row: row, version: version, fencedAt: c.fencedAt, keeper: m.keeper, lost: make(chan struct{})}
	m.mu.Lock()
	defer m.mu.Unlock()
	p.maxGuardEpoch = max(p.maxGuardEpoch, row.Epoch)
	p.updateRow(row, version)
	p.guard, p.otherDesiredSince, p.noHandoverBefore = g, time.Time{}, time.Time{}
	if c.fallback {
		// The desired owner is live but does not claim. If this daemon handed the partition back at once, the partition
		// would be left without an owner again and again.
		p.noHandoverBefore = time.Now().Add(m.cfg.FallbackOwnerDelay)
	}
	m.cfg.Log.Info("partition claimed", zap.String("partition", p.name), zap.Int64("epoch", row.Epoch))
	return g
}

// release marks the row as released. It retries until the write has taken effect or the ownership is lost.
func (m *Manager) release(ctx context.Context, p *managedPartition, g *guard, successor string) {
	g.revoked.Store(true)
	row := g.row
	row.State, row.Successor, row.Tag = Released, successor, rand.Text()
	row.FencedBefore = !g.fencedAt.IsZero() && time.Since(g.fencedAt) < m.cfg.FenceRetention
	for !g.isLost() {
		if version, done := m.tryRelease(ctx, row, g.version); done {
			m.recordRelease(ctx, p, row, version)
			return
		}
		if !wait.ForOrSignal(ctx, m.cfg.RetryDelay, g.lost) {
			return
		}
	}
}

// tryRelease attempts the release once. done is true once the row certainly no longer has the version of this daemon's
// claim. version is 0 if the version of the released row is not known.
func (m *Manager) tryRelease(ctx context.Context, row Row, claimed int64) (version int64, done bool) {
	key := Key(row.Partition)
	commitCtx, cancel := context.WithTimeout(ctx, m.cfg.StoreTimeout)
	defer cancel()
	res, err := m.store.Commit(commitCtx, table.Txn{
		Conditions: []table.Condition{{Key: key, Version: claimed}},
		Ops:        []table.Op{{Key: key, Value: encode(row)}},
	})
	switch {
	case err == nil:
		return res.Versions[key], true
	case errors.Is(err, table.ErrConflict):
		return 0, true
	case errors.Is(err, table.ErrUnknownOutcome):
		if got, v, err := m.readRow(ctx, row.Partition); err == nil && got.Tag == row.Tag {
			return v, true
		}
	}
	return 0, false
}

// recordRelease records the release and notifies the other daemons, which would otherwise learn of it only from their
// next scan.
func (m *Manager) recordRelease(ctx context.Context, p *managedPartition, row Row, version int64) {
	m.cfg.Log.Info("partition released", zap.String("partition", p.name), zap.Int64("epoch", row.Epoch),
		zap.String("successor", row.Successor))
	if version == 0 {
		return
	}
	m.mu.Lock()
	p.updateRow(row, version)
	m.mu.Unlock()
	m.notifyPeers(ctx, row, version)
}

// notifyPeers sends a partition's row to the other daemons in the background. It must be called from claimAndRun, so
// that Run also waits for the goroutines that it starts.
func (m *Manager) notifyPeers(ctx context.Context, row Row, version int64) {
	if m.cfg.Notifier == nil {
		return
	}
	for _, s := range m.observer.Live() {
		if s.Row.ID == m.keeper.ID() {
			continue
		}
		m.background.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, m.cfg.NotifyTimeout)
			defer cancel()
			_ = m.cfg.Notifier.NotifyRowChanged(ctx, s.Row.PeerAddr, RowNotice{Row: row, Version: version})
		})
	}
}
