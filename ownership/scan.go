package ownership

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/wait"
	"github.com/greengagewing/greengagewing/table"
)

// This daemon scans the rows of all partitions every PollInterval while partitions move between daemons. Otherwise it
// scans every SettledPollInterval, to make up for lost notices.

// scanLoop scans the partition rows whenever a scan is due, until ctx ends.
func (m *Manager) scanLoop(ctx context.Context) {
	wait.EveryOrSignal(ctx, m.cfg.PollInterval, m.scanSignal, func(ctx context.Context) {
		if m.scanDue(time.Now()) {
			m.scan(ctx)
			m.requestReconcile()
		}
	})
}

// requestScan triggers a scan without waiting for the interval.
func (m *Manager) requestScan() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requestScanLocked()
}

// requestScanLocked is like requestScan. The caller holds mu.
func (m *Manager) requestScanLocked() {
	m.scanRequested = true
	wait.Signal(m.scanSignal)
}

// scanDue reports whether to scan now. Owners notify the other daemons of each start and release, and a session that
// begins, ends or changes its state triggers a scan. So while no partition has to move, scans only make up for lost
// notices.
func (m *Manager) scanDue(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	// scanDue is called about every PollInterval; half of an interval is the tolerance for a call that comes early.
	due := m.scanRequested || m.rebalancing || m.lastScanFailed || m.cfg.Notifier == nil ||
		now.Sub(m.lastScanStart) >= m.cfg.SettledPollInterval-m.cfg.PollInterval/2
	if due {
		m.scanRequested, m.lastScanStart = false, now
	}
	return due
}

// scan reads all partition rows once.
func (m *Manager) scan(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.StoreTimeout)
	defer cancel()
	rows, err := table.ScanAll(ctx, m.store, Prefix)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastScanFailed = err != nil
	if err != nil {
		return
	}
	m.lastScanEnd = time.Now()
	for _, got := range rows {
		p := m.partitions[strings.TrimPrefix(got.Key, Prefix)]
		if p == nil {
			continue
		}
		r, err := decode(got.Value)
		if err != nil {
			m.cfg.Log.Warn("invalid partition row", zap.String("key", got.Key), zap.Error(err))
			continue
		}
		p.updateRow(r, got.Version)
	}
}

// HandleRowNotice handles a notice from a peer. A wrong notice cannot lead to a wrong claim, because the claim is
// conditional on the row's version.
func (m *Manager) HandleRowNotice(n RowNotice) {
	m.mu.Lock()
	if p := m.partitions[n.Row.Partition]; p != nil {
		p.updateRow(n.Row, n.Version)
	}
	m.mu.Unlock()
	m.requestReconcile()
}
