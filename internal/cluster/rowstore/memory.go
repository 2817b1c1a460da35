package rowstore

import (
	"context"
	"encoding/base64"
	"sort"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Memory is an in-memory Store for tests and for stand-ins of the platform. InjectError and LoseResponse inject faults.
type Memory struct {
	mu      sync.Mutex
	version int64
	rows    map[Key]Row
	log     []Row         // all changes since version oldest, in order
	oldest  int64         // the log starts after this version; feeds from an older one fail with ErrHistoryLost
	changed chan struct{} // closed and replaced on each commit

	// InjectError, if set, is called at the start of each call with the partition that the call names, or "" for a feed. If it
	// returns an error, the call fails with that error and has no effect.
	InjectError func(partition string) error
	// LoseResponse, if set, is called after each commit has taken effect. If it returns true, the commit returns
	// ErrUnknownOutcome, as if its answer was lost.
	LoseResponse func() bool
}

// NewMemory returns an empty store without injected faults.
func NewMemory() *Memory {
	return &Memory{rows: map[Key]Row{}, changed: make(chan struct{})}
}

// Commit implements Store.
func (m *Memory) Commit(_ context.Context, txn Txn) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.injectedError(txn.partition()); err != nil {
		return 0, err
	}
	if err := checkLimits(txn); err != nil {
		return 0, err
	}
	if conflict := m.checkConditions(txn); conflict != nil {
		return 0, conflict
	}
	m.version++
	for _, p := range txn.Puts {
		m.record(Row{Key: p.Key, Value: p.Value, Version: m.version})
	}
	for _, k := range txn.Removes {
		m.record(Row{Key: k, Version: m.version, Deleted: true})
	}
	close(m.changed)
	m.changed = make(chan struct{})
	if m.LoseResponse != nil && m.LoseResponse() {
		return 0, ErrUnknownOutcome
	}
	return m.version, nil
}

// checkLimits returns ErrRejected for a transaction that the platform's store would reject.
func checkLimits(txn Txn) error {
	entries, size := len(txn.Conditions)+len(txn.Puts)+len(txn.Removes), 0
	for _, p := range txn.Puts {
		size += base64.StdEncoding.EncodedLen(len(p.Value))
		if base64.StdEncoding.EncodedLen(len(p.Value)) > DefaultMaxRowBytes {
			return errors.Wrapf(ErrRejected, "row %s/%s has %d bytes", p.Table, p.Name, len(p.Value))
		}
	}
	if entries > MaxTxnEntries || size > MaxTxnBytes {
		return errors.Wrapf(ErrRejected, "%d entries with %d bytes", entries, size)
	}
	return nil
}

func (m *Memory) injectedError(partition string) error {
	if m.InjectError == nil {
		return nil
	}
	return m.InjectError(partition)
}

// partition returns the partition that the rows of the transaction share.
func (t Txn) partition() string {
	switch {
	case len(t.Puts) > 0:
		return t.Puts[0].Partition
	case len(t.Removes) > 0:
		return t.Removes[0].Partition
	}
	return ""
}

// checkConditions returns a ConflictError if a condition of the transaction does not hold.
func (m *Memory) checkConditions(txn Txn) error {
	failed := false
	var current []Row
	for _, c := range txn.Conditions {
		row, ok := m.rows[c.Key]
		if ok {
			current = append(current, row)
		}
		failed = failed || row.Version != c.Version
	}
	if failed {
		return &ConflictError{Rows: current}
	}
	return nil
}

func (m *Memory) record(r Row) {
	if r.Deleted {
		delete(m.rows, r.Key)
	} else {
		m.rows[r.Key] = r
	}
	m.log = append(m.log, r)
}

// Read implements Store.
func (m *Memory) Read(_ context.Context, r Range) (Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.injectedError(r.Partition); err != nil {
		return Page{}, err
	}
	p := Page{Version: m.version}
	for k, row := range m.rows {
		if k.Table == r.Table && k.Partition == r.Partition && k.Name >= r.From && (r.To == "" || k.Name < r.To) {
			p.Rows = append(p.Rows, row)
		}
	}
	sort.Slice(p.Rows, func(i, j int) bool { return p.Rows[i].Name < p.Rows[j].Name })
	if r.Limit > 0 && len(p.Rows) > r.Limit {
		p.Rows, p.More = p.Rows[:r.Limit], true
	}
	return p, nil
}

// Feed implements Store.
func (m *Memory) Feed(ctx context.Context, table string, after int64, wait time.Duration) (Changes, error) {
	deadline := time.After(wait)
	for {
		c, changed, err := m.changes(table, after)
		if err != nil || len(c.Rows) > 0 {
			return c, err
		}
		select {
		case <-changed:
		case <-deadline:
			return c, nil
		case <-ctx.Done():
			return Changes{}, ErrUnavailable
		}
	}
}

func (m *Memory) changes(table string, after int64) (Changes, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.injectedError(""); err != nil {
		return Changes{}, nil, err
	}
	if after < m.oldest {
		return Changes{}, nil, ErrHistoryLost
	}
	c := Changes{Version: m.version}
	for _, r := range m.log {
		if r.Table == table && r.Version > after {
			c.Rows = append(c.Rows, r)
		}
	}
	return c, m.changed, nil
}

// DropHistory drops the log of changes, so that feeds from earlier versions fail with ErrHistoryLost.
func (m *Memory) DropHistory() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.log, m.oldest = nil, m.version
}
