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
	// expiryInterval is how often the rows of jobs with an expired retention are removed, and expiryBatch the maximum
	// number of jobs at a time. A long interval lets one transaction remove the rows of many jobs in the same partition. At
	// the expected load, 150 jobs end per second.
	expiryInterval = 30 * time.Second
	expiryBatch    = 20_000
)

// runExpiry removes the rows of expired jobs every expiryInterval until ctx ends.
func (t *term) runExpiry(ctx context.Context) {
	for wait.For(ctx, expiryInterval) {
		t.removeExpired(ctx)
		t.removeEarlyCancels(ctx)
	}
}

// removeEarlyCancels removes the rows of early cancellations whose retention has passed.
func (t *term) removeEarlyCancels(ctx context.Context) {
	t.mu.Lock()
	expired := t.sched.ExpiredEarlyCancels(time.Now(), expiryBatch)
	t.mu.Unlock()
	if len(expired) == 0 {
		return
	}
	byPartition := map[string][]rowstore.Key{}
	for id, cancels := range expired {
		for _, c := range cancels {
			for alternative := range records.AlternativePartitions {
				k := records.EarlyCancelKey(id, c.By, alternative)
				byPartition[k.Partition] = append(byPartition[k.Partition], k)
			}
		}
	}
	if err := t.removeRows(ctx, byPartition); err != nil {
		t.log.Warn("early cancellations can't be removed, trying again later", zap.Int("jobs", len(expired)), asynclog.Error(err))
		return
	}
	t.mu.Lock()
	t.sched.RemoveEarlyCancels(expired)
	t.mu.Unlock()
	t.log.Info("early cancellations removed after their retention", zap.Int("jobs", len(expired)))
}

// removeExpired removes the rows of ended jobs whose retention has passed. It removes those of the inbox first: if a row were
// left there after the job's final state is removed, an owner would consider the job new and run it again.
func (t *term) removeExpired(ctx context.Context) {
	t.mu.Lock()
	ids := t.sched.ExpiredJobs(time.Now(), expiryBatch)
	parts := maps.Clone(t.inboxParts)
	t.mu.Unlock()
	ids = slices.DeleteFunc(ids, t.jobBatchIndex.contains)
	if len(ids) == 0 {
		return
	}
	t.mu.Lock()
	for _, id := range ids {
		t.expired[id] = true
	}
	t.mu.Unlock()
	if err := t.removeInboxRows(ctx, ids, parts); err != nil {
		t.log.Warn("inbox rows of ended jobs can't be removed, trying again later", zap.Int("jobs", len(ids)), asynclog.Error(err))
		return
	}
	for chunk := range slices.Chunk(ids, maxCommitEntries) {
		ended := make([]rowstore.Key, len(chunk))
		for i, id := range chunk {
			ended[i] = records.EndedKey(id)
		}
		if err := t.ownership.Commit(ctx, nil, ended); err != nil {
			t.log.Warn("states of ended jobs can't be removed, trying again later", zap.Int("jobs", len(chunk)), asynclog.Error(err))
			return
		}
		t.mu.Lock()
		t.sched.RemoveJobs(chunk)
		for _, id := range chunk {
			delete(t.inboxParts, id)
		}
		t.mu.Unlock()
	}
	t.log.Info("ended jobs removed after their retention", zap.Int("jobs", len(ids)))
}

// removeInboxRows removes the jobs and their cancellations from the inbox, one partition after the other. The map parts holds, by job,
// the number of its rows if that is more than one.
func (t *term) removeInboxRows(ctx context.Context, ids []string, parts map[string]int) error {
	byPartition := map[string][]rowstore.Key{}
	for _, id := range ids {
		for alternative := range records.AlternativePartitions {
			job, cancel := records.JobKey(id, alternative), records.CancelKey(id, alternative)
			byPartition[job.Partition] = append(append(byPartition[job.Partition], records.PartKeys(job, 0, max(parts[id], 1))...), cancel)
		}
	}
	return t.removeRows(ctx, byPartition)
}

// removeRows removes rows, by partition, one partition after the other.
func (t *term) removeRows(ctx context.Context, byPartition map[string][]rowstore.Key) error {
	for _, partition := range slices.Sorted(maps.Keys(byPartition)) {
		for keys := range slices.Chunk(byPartition[partition], rowstore.MaxTxnEntries) {
			if _, err := t.deps.Store.Commit(ctx, rowstore.Txn{Removes: keys}); err != nil {
				return err
			}
		}
	}
	return nil
}
