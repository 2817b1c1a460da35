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

// guard is the Guard of one claim.
type guard struct {
	row      Row
	version  int64
	fencedAt time.Time
	keeper   *session.Keeper
	revoked  atomic.Bool
	lostOnce sync.Once
	lost     chan struct{} // closed when the ownership is lost
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

// markLost revokes the guard because the ownership is gone.
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

// phase is what a daemon does with a partition.
type phase string

const (
	idle        phase = "idle"
	claiming    phase = "claiming"
	starting    phase = "starting"
	running     phase = "running"
	handingOver phase = "handing over"
	stopping    phase = "stopping"
)

// managedPartition is this daemon's state of one partition. The manager's mutex guards it.
type managedPartition struct {
	name    string
	handler Handler

	row     Row // last known; Epoch 0: no row
	version int64

	phase       phase
	guard       *guard      // while claimed
	successorCh chan string // takes the successor's id, once per tenure

	freeSince         time.Time // when the partition was first seen free at this version of the row
	otherDesiredSince time.Time // when another daemon was first seen to be the desired owner
	otherDesired      string
	noClaimBefore     time.Time
	noHandoverBefore  time.Time
	// maxGuardEpoch is the highest epoch for which there was a guard. A row that names our present incarnation at a higher
	// epoch comes from a claim whose response was lost, and is ours until we release it.
	maxGuardEpoch int64
}

// updateRow notes a version of the row unless it is older than the one known.
func (p *managedPartition) updateRow(r Row, version int64) bool {
	if r.Epoch == 0 || r.olderThan(p.row) || version == p.version {
		return false
	}
	p.row, p.version, p.freeSince = r, version, time.Time{}
	return true
}

// claim says what a tenure starts from.
type claim struct {
	row      Row // as it is now
	version  int64
	fencedAt time.Time
	adopt    bool // the row is already ours, from a claim whose response was lost
	fallback bool // another daemon is the desired owner but does not claim
}

// claimAndRun claims a partition, runs its handler, and gives it back. There is at most one tenure of a partition at a time
// in a process, which is why a handler is never started twice at once.
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
		m.cfg.Log.Error("partition did not start", zap.String("partition", p.name), zap.Error(err))
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

// desiredOtherOwner returns the desired owner among the other daemons, or "".
func (m *Manager) desiredOtherOwner(partition string) string {
	if ranked := rankByHash(partition, eligibleDaemons(GroupOf(partition), m.keeper.ID(), false, m.observer.Live())); len(ranked) > 0 {
		return ranked[0]
	}
	return ""
}

// stopAfterLoss stops the handler of a partition that is not owned any more.
func (m *Manager) stopAfterLoss(p *managedPartition) {
	m.setPhase(p, stopping)
	ctx, cancel := context.WithTimeout(context.Background(), m.cfg.HandoverTimeout)
	defer cancel()
	p.handler.Stop(ctx, p.name, false)
}

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

// claimPartition makes the claim. It returns nil if the partition was not won, or if that is unknown; a claim that took effect
// after all shows in a later scan and is then adopted.
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
		// The session was replaced between reading the incarnation and the commit. The row names a session that is
		// over, so the partition is free again.
	case err == nil:
		return m.recordClaim(p, c, row, res.Versions[key])
	case errors.Is(err, table.ErrUnknownOutcome):
		if got, version, err := m.readRow(ctx, p.name); err == nil && got.Tag == row.Tag {
			return m.recordClaim(p, c, got, version)
		}
	}
	m.delayClaim(p, m.cfg.PollInterval) // until a scan has shown the present row
	return nil
}

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

// recordClaim notes that the partition is ours and returns its guard.
func (m *Manager) recordClaim(p *managedPartition, c claim, row Row, version int64) *guard {
	g := &guard{row: row, version: version, fencedAt: c.fencedAt, keeper: m.keeper, lost: make(chan struct{})}
	m.mu.Lock()
	defer m.mu.Unlock()
	p.maxGuardEpoch = max(p.maxGuardEpoch, row.Epoch)
	p.updateRow(row, version)
	p.guard, p.otherDesiredSince, p.noHandoverBefore = g, time.Time{}, time.Time{}
	if c.fallback {
		// The desired owner is live but does not claim. Handing the partition back at once would leave it without an
		// owner again and again.
		p.noHandoverBefore = time.Now().Add(m.cfg.FallbackOwnerDelay)
	}
	m.cfg.Log.Info("partition claimed", zap.String("partition", p.name), zap.Int64("epoch", row.Epoch))
	return g
}

// release writes the row as released until that has taken effect or the ownership is lost.
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

// tryRelease returns done once the row is certainly not at the version of our claim any more. The version is 0 if the
// released row's version is not known.
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

// recordRelease notes the release and tells the others, which would otherwise learn of it from their next scan.
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

// notifyPeers tells the other daemons of a partition's row, in the background. It is called from a tenure.
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
			_ = m.cfg.Notifier.RowChanged(ctx, s.Row.PeerAddr, RowNotice{Row: row, Version: version})
		})
	}
}
