package ownership

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/wait"
	"github.com/greengagewing/greengagewing/session"
	"github.com/greengagewing/greengagewing/table"
)

const (
	// cleanupInterval is the time between two cleanups of ended sessions.
	cleanupInterval = time.Minute
	// endedSessionRetention is how long the row of an ended session is kept. Hosts are replaced all day, and each new
	// address leaves a row that every daemon would read every second.
	endedSessionRetention = 10 * time.Minute
	// maxDeletesPerCleanup bounds the rows that one cleanup deletes.
	maxDeletesPerCleanup = 50
)

// cleanupLoop deletes the rows of sessions that ended long ago. Only the live daemon with the lowest id deletes them.
func (m *Manager) cleanupLoop(ctx context.Context) {
	for wait.For(ctx, cleanupInterval) {
		live := m.observer.Live()
		if len(live) == 0 || live[0].Row.ID != m.keeper.ID() || !m.keeper.AcceptsWork() {
			continue
		}
		if err := m.deleteEndedSessions(ctx, time.Now()); err != nil {
			m.cfg.Log.Debug("failed to delete the rows of ended sessions", zap.Error(err))
		}
	}
}

// deleteEndedSessions deletes the rows of sessions that ended long ago and own no partition. If the row of a
// partition's owner were missing, no daemon could ever tell that the owner's session has ended and claim the partition.
// The commit is therefore conditional on every partition row being unchanged since it was read, so that a stale read
// deletes nothing.
func (m *Manager) deleteEndedSessions(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.StoreTimeout)
	defer cancel()
	rows, err := table.ScanAll(ctx, m.store, Prefix)
	if err != nil {
		return errors.Wrap(err, "scan partitions")
	}
	ownerIDs := map[string]bool{}
	var unchanged []table.Condition
	for _, row := range rows {
		r, err := decode(row.Value)
		if err != nil {
			return err
		}
		if r.State == Owned {
			ownerIDs[r.Owner.ID] = true
		}
		unchanged = append(unchanged, table.Condition{Key: row.Key, Version: row.Version})
	}
	var txn table.Txn
	for _, s := range m.observer.EndedBefore(now.Add(-endedSessionRetention)) {
		if ownerIDs[s.Row.ID] || len(txn.Ops) == maxDeletesPerCleanup {
			continue
		}
		key := session.Key(s.Row.ID)
		txn.Conditions = append(txn.Conditions, table.Condition{Key: key, Version: s.Version})
		txn.Ops = append(txn.Ops, table.Op{Key: key, Delete: true})
	}
	if len(txn.Ops) == 0 {
		return nil
	}
	txn.Conditions = append(txn.Conditions, unchanged...)
	_, err = m.store.Commit(ctx, txn)
	return err
}
