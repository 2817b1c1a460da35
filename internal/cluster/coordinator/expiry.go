package coordinator

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/asynclog"
	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	// expiryInterval is how often rows of jobs whose retention has passed are removed, and forgetBatch how many jobs at most.
	// A long interval lets one transaction remove the rows of many jobs of a part. Load: 150 jobs a second end.
	expiryInterval = 30 * time.Second
	expiryBatch    = 20_000
)

// runExpiry removes the rows of ended jobs until ctx ends.
func (t *term) runExpiry(ctx context.Context) {
	for wait.For(ctx, expiryInterval) {
		t.removeExpired(ctx)
	}
}

// removeExpired removes the rows of jobs whose retention has passed: those of the inbox first, so that no row is left that would
// be taken for a new job.
func (t *term) removeExpired(ctx context.Context) {
	t.mu.Lock()
	ids := t.sched.Expired(time.Now(), expiryBatch)
	t.mu.Unlock()
	ids = slices.DeleteFunc(ids, t.packIndex.contains)
	if len(ids) == 0 {
		return
	}
	if err := t.removeInboxRows(ctx, ids); err != nil {
		t.log.Warn("rows of ended jobs stay", zap.Int("jobs", len(ids)), asynclog.Error(err))
		return
	}
	for chunk := range slices.Chunk(ids, maxCommitEntries) {
		ended := make([]rowstore.Key, len(chunk))
		for i, id := range chunk {
			ended[i] = records.EndedKey(id)
		}
		if err := t.tenure.Commit(ctx, nil, ended); err != nil {
			t.log.Warn("states of ended jobs stay", zap.Int("jobs", len(chunk)), asynclog.Error(err))
			return
		}
		t.mu.Lock()
		t.sched.Forget(chunk)
		t.mu.Unlock()
	}
	t.log.Info("ended jobs forgotten", zap.Int("jobs", len(ids)))
}

// removeInboxRows removes the jobs and their cancellations from the inbox, part by part.
func (t *term) removeInboxRows(ctx context.Context, ids []string) error {
	byPart := map[string][]rowstore.Key{}
	for _, id := range ids {
		for place := range records.Places {
			job, cancel := records.JobKey(id, place), records.CancelKey(id, place)
			byPart[job.Part] = append(byPart[job.Part], job, cancel)
		}
	}
	for _, part := range slices.Sorted(maps.Keys(byPart)) {
		for keys := range slices.Chunk(byPart[part], rowstore.MaxTxnEntries) {
			if _, err := t.deps.Store.Commit(ctx, rowstore.Txn{Removes: keys}); err != nil {
				return err
			}
		}
	}
	return nil
}
