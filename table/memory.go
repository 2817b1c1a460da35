package table

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/wait"
)

// Faults are the failures that a Memory table simulates.
type Faults struct {
	// Down makes every call fail with ErrUnavailable.
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay_ns"`
	// LoseAnswers is the number of following commits that take effect but return ErrUnknownOutcome.
	LoseAnswers int `json:"lose_answers"`
	// StaleReads serves reads from the state that the table had when the fault was set.
	StaleReads bool `json:"stale_reads"`
}

// Stats counts the calls that a Memory table has processed, and its rows.
type Stats struct {
	Reads   int64 `json:"reads"`
	Commits int64 `json:"commits"`
	Rows    int   `json:"rows"`
}

// Memory is a Client that keeps the table in memory, for tests and for the simulated platform. Its zero value is not
// usable; call NewMemory.
type Memory struct {
	mu          sync.Mutex
	rows        map[string]Row
	keys        []string // sorted keys of rows
	staleRows   map[string]Row
	lastVersion int64
	faults      Faults
	stats       Stats
}

// NewMemory returns an empty table without faults.
func NewMemory() *Memory { return &Memory{rows: map[string]Row{}} }

// SetFaults replaces the current faults.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f.StaleReads && !m.faults.StaleReads {
		m.staleRows = make(map[string]Row, len(m.rows))
		for k, r := range m.rows {
			m.staleRows[k] = r
		}
	}
	m.faults = f
}

// Faults returns the current faults.
func (m *Memory) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// Stats returns the counters since the table was created.
func (m *Memory) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stats
	s.Rows = len(m.rows)
	return s
}

// injectFaults applies the current Delay, and returns ErrUnavailable if the table is down or ctx ends first.
func (m *Memory) injectFaults(ctx context.Context) error {
	f := m.Faults()
	if !wait.For(ctx, f.Delay) {
		return errors.Wrap(ErrUnavailable, ctx.Err().Error())
	}
	if m.Faults().Down {
		return errors.Wrap(ErrUnavailable, "outage")
	}
	return nil
}

// Get implements Client.
func (m *Memory) Get(ctx context.Context, key string) (Row, error) {
	if err := m.injectFaults(ctx); err != nil {
		return Row{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.Reads++
	r, ok := m.readableRows()[key]
	if !ok {
		return Row{}, ErrNotFound
	}
	r.Value = slices.Clone(r.Value)
	return r, nil
}

// readableRows returns the rows that reads see. The caller holds mu.
func (m *Memory) readableRows() map[string]Row {
	if m.faults.StaleReads {
		return m.staleRows
	}
	return m.rows
}

// Scan implements Client.
func (m *Memory) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	if err := m.injectFaults(ctx); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.Reads++
	rows, keys := m.rows, m.keys
	if m.faults.StaleReads {
		rows, keys = m.staleRows, sortedKeys(m.staleRows)
	}
	start := max(prefix, after)
	var out []Row
	for _, k := range keys[sort.SearchStrings(keys, start):] {
		if !strings.HasPrefix(k, prefix) {
			break
		}
		if k <= after {
			continue
		}
		if len(out) == limit {
			break
		}
		r := rows[k]
		r.Value = slices.Clone(r.Value)
		out = append(out, r)
	}
	return out, nil
}

func sortedKeys(rows map[string]Row) []string {
	keys := make([]string, 0, len(rows))
	for k := range rows {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// Commit implements Client.
func (m *Memory) Commit(ctx context.Context, txn Txn) (Result, error) {
	if err := m.injectFaults(ctx); err != nil {
		return Result{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.Commits++
	if err := m.checkConditions(txn.Conditions); err != nil {
		return Result{}, err
	}
	res := m.applyOps(txn.Ops)
	if m.faults.LoseAnswers > 0 {
		m.faults.LoseAnswers--
		return Result{}, errors.Wrap(ErrUnknownOutcome, "answer lost")
	}
	return res, nil
}

// checkConditions returns a *ConflictError for the first condition that does not hold. The caller holds mu.
func (m *Memory) checkConditions(conds []Condition) error {
	for _, c := range conds {
		v := m.rows[c.Key].Version
		if c.Version == AnyVersion && v > 0 || c.Version == v {
			continue
		}
		return &ConflictError{Key: c.Key, Version: v}
	}
	return nil
}

// applyOps writes and deletes rows. The caller holds mu.
func (m *Memory) applyOps(ops []Op) Result {
	res := Result{Versions: make(map[string]int64, len(ops))}
	for _, op := range ops {
		i, found := slices.BinarySearch(m.keys, op.Key)
		if op.Delete {
			if found {
				m.keys = slices.Delete(m.keys, i, i+1)
				delete(m.rows, op.Key)
			}
			continue
		}
		if !found {
			m.keys = slices.Insert(m.keys, i, op.Key)
		}
		m.lastVersion++
		m.rows[op.Key] = Row{Key: op.Key, Value: slices.Clone(op.Value), Version: m.lastVersion}
		res.Versions[op.Key] = m.lastVersion
	}
	return res
}
