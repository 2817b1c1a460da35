package coordinator

import (
	"context"
	"maps"
	"slices"
	"time"

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
		batch := t.beginBatch()
		if !batch.needed && due > 0 {
			wait.ForOrSignal(ctx, due, t.saveRequested)
			continue
		}
		batch.learned = t.takeInterference(time.Now())
		if !t.writeBatch(ctx, batch) {
			break
		}
		lastCommit = time.Now()
		t.markPersisted(batch.generation)
		wait.For(ctx, saveInterval)
	}
	t.requestPlan()
}

// recordBatch is what has to be written in one round of commits, beside the records of the scheduler's batch.
type recordBatch struct {
	generation int64                          // of the records, as the scheduler numbers them
	inUse      map[string]scheduler.WorkerUse // workers in use; nil if the stored row is up to date
	clocks     map[string]scheduler.ClockZero // of the workers in inUse
	inherited  []string                       // those of inUse to which an earlier owner may still send orders
	delegated  bool
	learned    []byte // what is to be stored about interference; nil if the stored row is up to date
	needed     bool
}

// beginBatch returns what has changed since the last batch.
func (t *term) beginBatch() recordBatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.deps.Duties.Begin(dutyRecords)()
	var b recordBatch
	b.generation, b.needed = t.sched.BeginBatch()
	if time.Since(t.inUseCheckedAt) < inUseCheckInterval {
		return b
	}
	t.inUseCheckedAt = time.Now()
	// The set of inherited workers only shrinks. It is written with any other change, and by itself once it is empty, so that it
	// costs one write a term.
	current, inherited := t.workersInUse(), t.inheritedWorkers()
	if !maps.Equal(current, t.inUse) || t.clockUnstored(current) || t.delegated != t.storedDelegated || t.storedInherited && len(inherited) == 0 {
		b.needed, b.inUse, b.inherited, b.delegated = true, current, inherited, t.delegated
		b.clocks = make(map[string]scheduler.ClockZero, len(current))
		for id := range current {
			b.clocks[id] = t.sched.ClockZero(id)
		}
		// Nothing may be started any more on workers that the list to be written leaves out, even if they answer again
		// meanwhile.
		maps.DeleteFunc(t.inUse, func(id string, _ scheduler.WorkerUse) bool {
			_, stays := current[id]
			return !stays
		})
		// Neither may anything be started that relies on a stale lease that the list to be written does not have any more.
		for id, stored := range t.inUse {
			stored.StaleLease = stored.StaleLease && current[id].StaleLease
			t.inUse[id] = stored
		}
	}
	return b
}

// clockUnstored reports whether the clock of a worker has been read that the stored list does not tell of, without which a successor can't
// notice a restart with the same start time. The caller holds mu.
func (t *term) clockUnstored(inUse map[string]scheduler.WorkerUse) bool {
	for id := range inUse {
		if t.storedClocks[id].UnixMS == 0 && t.sched.ClockZero(id).UnixMS != 0 {
			return true
		}
	}
	return false
}

// workersInUse returns the workers that have to be in the stored list. The caller holds mu.
func (t *term) workersInUse() map[string]scheduler.WorkerUse {
	now := time.Now()
	current := map[string]scheduler.WorkerUse{}
	for _, id := range t.sched.WorkersInUse() {
		current[id] = t.sched.Use(id, now)
	}
	return current
}

// writeBatch writes a batch in as many commits as it needs, and retries them. An empty batch takes one commit, which renews
// the owner's lease. writeBatch returns false if it has to stop before everything is written, because ctx has ended, the
// ownership is lost or a record can't be encoded.
func (t *term) writeBatch(ctx context.Context, b recordBatch) bool {
	changes, ok := t.encodeBatch(b)
	if !ok {
		return false
	}
	for more := true; more || len(changes) > 0; {
		var taken []recordRows
		if taken, more, ok = t.takeRecords(changes); !ok {
			return false
		}
		changes = append(changes, taken...)
		var next commitRows
		for len(changes) > 0 && next.fits(changes[0]) {
			next.add(changes[0])
			changes = changes[1:]
		}
		if !t.write(ctx, next) {
			return false
		}
	}
	return true
}

// takeRecords returns the rows of the records that fill a commit with the waiting changes, and whether records of the batch are left. It
// logs an encoding error and returns false.
func (t *term) takeRecords(waiting []recordRows) (rows []recordRows, more, ok bool) {
	defer t.deps.Duties.Begin(dutyRecords)()
	room := maxCommitEntries
	for _, c := range waiting {
		room -= c.entries()
	}
	if room <= 0 {
		return nil, true, true
	}
	t.mu.Lock()
	recs, more := t.sched.TakeRecords(room)
	t.mu.Unlock()
	rows, ok = t.encodeRecords(recs)
	return rows, more, ok
}

// encodeBatch returns the rows of a batch that are not those of records. It logs an encoding error and returns false.
func (t *term) encodeBatch(b recordBatch) ([]recordRows, bool) {
	var changes []recordRows
	if b.inUse != nil {
		u := records.NewWorkersInUse(b.inUse)
		u.SetClocks(b.clocks, time.Now())
		u.Delegated, u.Epoch, u.Inherited = b.delegated, t.ownership.Epoch(), slices.Sorted(slices.Values(b.inherited))
		value, err := records.Encode(u)
		if err != nil {
			t.log.Error("list of workers can't be encoded", asynclog.Error(err))
			return nil, false
		}
		c := t.rows.put(records.WorkersInUseKey, value)
		c.clocks = b.clocks
		c.inUse, c.inherited, c.delegated = b.inUse, len(b.inherited) > 0, b.delegated
		changes = append(changes, c)
	}
	if b.learned != nil {
		changes = append(changes, t.rows.put(records.InterferenceKey, b.learned))
	}
	return changes, true
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
		others = append(others, c...)
	}
	changes := make([]recordRows, 0, len(recs))
	for _, jobs := range groupIntoBatches(newJobs, min(maxBytesPerBatch, t.rows.maxBytes)) {
		c := t.rows.put(t.jobBatchIndex.addNew(t.ownership.Epoch(), jobs))
		for _, j := range jobs {
			c.records = append(c.records, j.record)
		}
		changes = append(changes, c)
	}
	return slices.Concat(changes, t.rows.removeObsolete(), others), true
}

// encodeRecord returns the rows of one record, in one or more groups that separate commits may write in this order. The last group
// that has to be durable for the record to count as stored names the record.
func (t *term) encodeRecord(r scheduler.Record) ([]recordRows, error) {
	if r.Progress != nil && r.Progress.State.Final() {
		return t.encodeEnded(r)
	}
	var groups []recordRows
	add := func(k rowstore.Key, value []byte, err error) error {
		if err == nil {
			groups = append(groups, t.rows.put(k, value))
		}
		return err
	}
	if r.Spec != nil {
		value, err := workload.EncodeSpec(r.Spec)
		if err := add(records.ActiveJobKey(r.JobID), value, err); err != nil {
			return nil, err
		}
	}
	for _, chunk := range r.Chunks {
		value, err := workload.EncodeProgressChunk(chunk.Progress)
		if err := add(records.ProgressChunkKey(r.JobID, chunk.Number), value, err); err != nil {
			return nil, err
		}
	}
	if r.Progress != nil {
		value, err := workload.EncodeProgress(r.Progress)
		if err := add(records.ProgressKey(r.JobID), value, err); err != nil {
			return nil, err
		}
	}
	for i := range groups {
		if i == len(groups)-1 {
			groups[i].records = []scheduler.Record{r}
		} else {
			groups[i].partOf = r.JobID
		}
	}
	return groups, nil
}

// encodeEnded returns the rows of the record of an ended job: the final state and the removal of its row in the table of active jobs,
// which is a batch's row only when the last job of the batch ends. Its progress is removed with or after these, since a successor
// that found the job without it would run its tasks again.
func (t *term) encodeEnded(r scheduler.Record) ([]recordRows, error) {
	value, err := workload.EncodeProgress(r.Progress)
	if err != nil {
		return nil, err
	}
	c := t.rows.put(records.EndedKey(r.JobID), value)
	c.records = []scheduler.Record{r}
	for _, k := range t.jobBatchIndex.jobEnded(r.JobID) {
		c.append(t.rows.remove(k))
	}
	if r.ProgressStored {
		c.append(t.rows.remove(records.ProgressKey(r.JobID)))
	}
	groups := []recordRows{c}
	for _, n := range r.StoredChunks {
		groups = append(groups, t.rows.remove(records.ProgressChunkKey(r.JobID, n)))
	}
	return groups, nil
}

// markPersisted tells the scheduler that a whole batch is durable, and has the executors acknowledge the ends that it covers.
func (t *term) markPersisted(generation int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.deps.Duties.Begin(dutyRecords)()
	t.sched.MarkGenerationStored(generation)
	t.assigner.sendAcks(t.sched.AcknowledgeEnds(time.Now()))
	t.requestPlan()
}
