package coordinator

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/asynclog"
	"github.com/greengagewing/greengagewing/internal/cluster/election"
	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/wait"
)

// interferenceInterval is the minimum time between two writes of what was learned about interference, and between two checks whether it has
// changed.
const interferenceInterval = 5 * time.Second

// interferenceRow is the state of the row with what was learned about interference. The mutex of the term guards it.
type interferenceRow struct {
	loaded    bool // the row of earlier owners has been read, so that a write does not lose it
	parts     int  // of that row, until the goroutine that writes to the store has noted them
	checkedAt time.Time
	// Metrics; pairs counts each direction on its own.
	kinds, pairs, comparisons tally.Gauge
	changes                   tally.Counter
}

func newInterferenceRow(scope tally.Scope) interferenceRow {
	return interferenceRow{kinds: scope.Gauge("interference_kinds"), pairs: scope.Gauge("interference_pairs_apart"),
		comparisons: scope.Gauge("interference_comparisons"), changes: scope.Counter("interference_changes")}
}

// loadInterference reads what earlier owners have learned. It retries until ctx ends and delays nothing else: without it, tasks are placed
// as if nothing were known. A row that can't be read, or is of a newer format, counts as missing.
func (t *term) loadInterference(ctx context.Context) {
	if t.sched.Interference() == nil {
		return
	}
	for failures := 0; ctx.Err() == nil; failures++ {
		rows, _, err := rowstore.ReadAll(ctx, t.deps.Store, records.Interference, election.Partition)
		if err == nil {
			t.applyInterference(rows)
			return
		}
		if failures == 0 {
			t.log.Warn("what was learned about interference can't be read, retrying", asynclog.Error(err))
		}
		wait.For(ctx, wait.Backoff(backoffMin, backoffMax, failures))
	}
}

// applyInterference adds what earlier owners have learned.
func (t *term) applyInterference(rows []rowstore.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	model := t.sched.Interference()
	for _, r := range records.Join(rows) {
		if r.Key != records.InterferenceKey {
			continue
		}
		t.interference.parts = r.Parts
		if err := model.Restore(r.Value, time.Now()); err != nil {
			t.log.Warn("what was learned about interference is not used", zap.Int("bytes", len(r.Value)), asynclog.Error(err))
		}
	}
	t.interference.loaded = true
	s := model.Stats()
	t.log.Info("interference known from earlier owners", zap.Int("kinds", s.Kinds), zap.Int("pairs_apart", s.PairsApart))
}

// takeInterference returns what the next commit has to store about interference, or nil.
func (t *term) takeInterference(now time.Time) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	model := t.sched.Interference()
	if model == nil || !t.interference.loaded || now.Sub(t.interference.checkedAt) < interferenceInterval {
		return nil
	}
	t.interference.checkedAt = now
	if t.interference.parts > 0 {
		t.rows.note(records.InterferenceKey, t.interference.parts)
		t.interference.parts = 0
	}
	s := model.Stats()
	t.interference.kinds.Update(float64(s.Kinds))
	t.interference.pairs.Update(float64(s.PairsApart))
	t.interference.comparisons.Update(float64(s.Observations))
	if !model.Changed(now) {
		return nil
	}
	data, err := model.Encode(now)
	if err != nil {
		t.log.Error("what was learned about interference can't be encoded", asynclog.Error(err))
		return nil
	}
	return data
}

// logInterference logs the pairs of kinds that are kept apart from now on, or no longer. The caller holds mu.
func (t *term) logInterference() {
	model := t.sched.Interference()
	if model == nil {
		return
	}
	for _, c := range model.TakeChanges() {
		t.interference.changes.Inc(1)
		message := "kinds of tasks are kept apart no longer"
		if c.Apart {
			message = "kinds of tasks are kept apart"
		}
		t.log.Info(message, zap.String("slowed", c.Slowed), zap.String("by", c.By), zap.Float64("slowdown", c.Slowdown),
			zap.Float64("lower", c.Lower))
	}
}
