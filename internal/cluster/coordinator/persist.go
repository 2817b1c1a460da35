package coordinator

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/asynclog"
	"github.com/greengagewing/greengagewing/internal/cluster/election"
	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	// saveInterval is the minimum time between two rounds of commits, so that a round covers the changes of several jobs.
	saveInterval = 15 * time.Millisecond
	// inUseCheckInterval is the minimum time between two checks whether the stored list of workers in use is up to date, since each
	// visits all workers.
	inUseCheckInterval = 50 * time.Millisecond
	// commitBackoffMax is the maximum backoff before a commit is retried. It is short because the owner has to notice that the
	// store has recovered before the hosts to which it has offered the ownership do.
	commitBackoffMax = 100 * time.Millisecond
	// commitTimeout limits one commit including its resends. After it, a new commit writes the same records.
	commitTimeout = 5 * time.Second
	// maxCommitEntries and maxCommitBytes keep a commit within the store's limits, with room for the head row and the owner
	// row, which the commit also writes.
	maxCommitEntries = rowstore.MaxTxnEntries - 10
	maxCommitBytes   = rowstore.MaxTxnBytes / 4
	// backoffMin is the first backoff of a commit or a read of the inbox, and backoffMax the maximum one of a read.
	backoffMin = 50 * time.Millisecond
	backoffMax = 500 * time.Millisecond
)

// persist writes the progress of jobs to the store until ctx ends or the ownership is lost. If there is nothing to write, it
// still commits every election.HeartbeatInterval, which renews the owner's lease.
func (t *term) persist(ctx context.Context) {
	lastCommit := time.Now()
	for ctx.Err() == nil && !t.ownership.Lost() {
		due := time.Until(lastCommit.Add(election.HeartbeatInterval))
		batch := t.takeRecords()
		if !batch.needed && due > 0 {
			wait.ForOrSignal(ctx, due, t.saveRequested)
			continue
		}
		if !t.writeBatch(ctx, batch) {
			break
		}
		lastCommit = time.Now()
		t.markPersisted(batch.generation)
		wait.For(ctx, saveInterval)
	}
	t.requestPlan()
}

// recordBatch is what has to be written in one round of commits.
type recordBatch struct {
	generation int64 // of the records, as the scheduler numbers them
	records    []scheduler.Record
	inUse      map[string]bool // workers in use; nil if the stored row is up to date
	delegated  bool
	needed     bool
}

// takeRecords returns what has changed since the last batch.
func (t *term) takeRecords() recordBatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.deps.Duties.Begin(dutyRecords)()
	var b recordBatch
	b.generation, b.records, b.needed = t.sched.TakeRecords()
	if time.Since(t.inUseCheckedAt) < inUseCheckInterval {
		return b
	}
	t.inUseCheckedAt = time.Now()
	if current := t.workersInUse(); !maps.Equal(current, t.inUse) || t.delegated != t.storedDelegated {
		b.needed, b.inUse, b.delegated = true, current, t.delegated
		// Nothing may be started any more on workers that the list to be written leaves out, even if they answer again
		// meanwhile.
		maps.DeleteFunc(t.inUse, func(id string, _ bool) bool { return !current[id] })
	}
	return b
}

// workersInUse returns the workers that have to be in the stored list. The caller holds mu.
func (t *term) workersInUse() map[string]bool {
	current := map[string]bool{}
	for _, id := range t.sched.WorkersInUse() {
		current[id] = true
	}
	return current
}

// writeBatch writes a batch in as many commits as it needs, and retries them. An empty batch takes one commit, which renews
// the owner's lease. writeBatch returns false if it has to stop before everything is written, because ctx has ended, the
// ownership is lost or a record can't be encoded.
func (t *term) writeBatch(ctx context.Context, b recordBatch) bool {
	end := t.deps.Duties.Begin(dutyRecords)
	changes, ok := t.encodeBatch(b)
	end()
	if !ok {
		return false
	}
	for first := true; first || len(changes) > 0; first = false {
		if !first {
			newJobs, ok := t.encodeRecords(t.takeNewJobs())
			if !ok {
				return false
			}
			changes = append(newJobs, changes...)
		}
		var next commitRows
		for len(changes) > 0 && next.fits(changes[0]) {
			next.add(changes[0])
			changes = changes[1:]
		}
		if !t.commit(ctx, next.puts, next.removes) {
			return false
		}
		t.markStored(next.records)
	}
	if b.inUse != nil {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.inUse, t.storedDelegated = b.inUse, b.delegated
		t.requestPlan()
	}
	return true
}

// takeNewJobs returns the records of jobs that arrived while a batch is being written. They fill at most half a commit.
func (t *term) takeNewJobs() []scheduler.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sched.TakeNewJobRecords(maxCommitEntries / 2)
}

// markStored tells the scheduler that the commit of some records is durable. From then on it starts the tasks of new jobs and
// returns final states to callers.
func (t *term) markStored(recs []scheduler.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sched.MarkStored(recs)
	t.requestPlan()
}

// commitRows collects the rows that one commit writes.
type commitRows struct {
	puts    []rowstore.Put
	removes []rowstore.Key
	records []scheduler.Record
	bytes   int
}

// fits reports whether the rows of c may be added to the commit. Their size does not count, only that of the rows before
// them, so that a commit exceeds maxCommitBytes by at most one recordRows.
func (cr *commitRows) fits(c recordRows) bool {
	return len(cr.puts)+len(cr.removes)+c.entries() <= maxCommitEntries && cr.bytes < maxCommitBytes
}

// add adds the rows of c to the commit.
func (cr *commitRows) add(c recordRows) {
	cr.puts = append(cr.puts, c.puts...)
	cr.removes = append(cr.removes, c.removes...)
	cr.bytes += c.bytes()
	cr.records = append(cr.records, c.records...)
}

// recordRows holds the rows of one record, or of the records in one batch, which one commit has to write together.
type recordRows struct {
	puts    []rowstore.Put
	removes []rowstore.Key
	records []scheduler.Record // empty for the list of workers in use and for the removal of finished batches
}

// entries returns how many entries of a commit the rows take.
func (c recordRows) entries() int { return len(c.puts) + len(c.removes) }

// bytes returns the total size of the written values.
func (c recordRows) bytes() int {
	n := 0
	for _, p := range c.puts {
		n += len(p.Value)
	}
	return n
}

// encodeBatch returns the rows of a batch. It logs an encoding error and returns false.
func (t *term) encodeBatch(b recordBatch) ([]recordRows, bool) {
	changes := make([]recordRows, 0, len(b.records)+1)
	if b.inUse != nil {
		value, err := records.Encode(records.WorkersInUse{IDs: slices.Sorted(maps.Keys(b.inUse)), Delegated: b.delegated})
		if err != nil {
			t.log.Error("list of workers can't be encoded", asynclog.Error(err))
			return nil, false
		}
		changes = append(changes, recordRows{puts: []rowstore.Put{{Key: records.WorkersInUseKey, Value: value}}})
	}
	encoded, ok := t.encodeRecords(b.records)
	return append(changes, encoded...), ok
}

// encodeRecords returns the rows of records. It puts new jobs into batches, and also returns the removal of finished batches.
func (t *term) encodeRecords(recs []scheduler.Record) ([]recordRows, bool) {
	var newJobs []encodedJob
	var others []recordRows
	for _, r := range recs {
		if batchable(r) {
			value, err := workload.EncodeBatchJob(r.Spec)
			if err != nil {
				t.log.Error("job can't be encoded", zap.String("job", r.JobID), asynclog.Error(err))
				return nil, false
			}
			newJobs = append(newJobs, encodedJob{r, value})
			continue
		}
		c, err := t.encodeRecord(r)
		if err != nil {
			t.log.Error("job can't be encoded", zap.String("job", r.JobID), asynclog.Error(err))
			return nil, false
		}
		others = append(others, c)
	}
	changes := make([]recordRows, 0, len(recs))
	for _, jobs := range groupIntoBatches(newJobs, maxBytesPerBatch) {
		changes = append(changes, t.jobBatchIndex.addNew(t.ownership.Epoch(), jobs))
	}
	for keys := range slices.Chunk(t.jobBatchIndex.takeEmpty(), maxCommitEntries) {
		changes = append(changes, recordRows{removes: keys})
	}
	return append(changes, others...), true
}

// encodeRecord returns the rows of one record. For an ended job that includes the removal of its progress, and of its row in
// the table of active jobs, which is a batch's row only when the last job of the batch ends.
func (t *term) encodeRecord(r scheduler.Record) (recordRows, error) {
	c := recordRows{records: []scheduler.Record{r}}
	if r.Spec != nil {
		value, err := workload.EncodeSpec(r.Spec)
		if err != nil {
			return c, err
		}
		c.puts = append(c.puts, rowstore.Put{Key: records.ActiveJobKey(r.JobID), Value: value})
	}
	if r.Progress == nil {
		return c, nil
	}
	value, err := workload.EncodeProgress(r.Progress)
	if err != nil {
		return c, err
	}
	if !r.Progress.State.Final() {
		c.puts = append(c.puts, rowstore.Put{Key: records.ProgressKey(r.JobID), Value: value})
		return c, nil
	}
	c.puts = append(c.puts, rowstore.Put{Key: records.EndedKey(r.JobID), Value: value})
	c.removes = t.jobBatchIndex.jobEnded(r.JobID)
	if r.ProgressStored {
		c.removes = append(c.removes, records.ProgressKey(r.JobID))
	}
	return c, nil
}

// commit retries a commit until it is durable, the ownership is lost or ctx ends. It reports whether the commit is durable.
func (t *term) commit(ctx context.Context, puts []rowstore.Put, removes []rowstore.Key) bool {
	for failures := 0; ; failures++ {
		callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
		err := t.ownership.Commit(callCtx, puts, removes)
		cancel()
		if err == nil {
			if failures > 0 {
				t.log.Info("store answers again", zap.Int("failures", failures))
			}
			return true
		}
		if errors.Is(err, election.ErrLost) || ctx.Err() != nil {
			return false
		}
		if failures == 0 {
			t.log.Warn("commit failed, retrying", zap.Int("records", len(puts)), asynclog.Error(err))
		}
		wait.For(ctx, wait.Backoff(backoffMin, commitBackoffMax, failures))
	}
}

// markPersisted tells the scheduler that a whole batch is durable, and has the executors acknowledge the ends that it covers.
func (t *term) markPersisted(generation int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.deps.Duties.Begin(dutyRecords)()
	t.assigner.sendAcks(t.sched.MarkGenerationStored(generation))
	t.requestPlan()
}
