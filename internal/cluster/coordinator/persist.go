package coordinator

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/asynclog"
	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/cluster/tenure"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	// saveInterval is the least time between two commits; it gathers changes of several jobs.
	saveInterval = 15 * time.Millisecond
	// commitBackoffMax is the longest delay before a commit is tried again. The owner has to notice the return of the store
	// before the hosts that it has offered the ownership to.
	commitBackoffMax = 100 * time.Millisecond
	// commitTimeout is the limit of one commit with its repetitions; afterwards the same records are tried again.
	commitTimeout = 5 * time.Second
	// maxCommitEntries and maxRecordBytes keep a commit within the store's limits; the head and the owner row come along.
	maxCommitEntries = rowstore.MaxTxnEntries - 10
	maxCommitBytes   = rowstore.MaxTxnBytes / 4
	backoffMin       = 50 * time.Millisecond
	backoffMax       = 500 * time.Millisecond
)

// persist makes the progress of jobs durable and keeps the ownership confirmed, until ctx ends or it is lost.
func (t *term) persist(ctx context.Context) {
	lastCommit := time.Now()
	for ctx.Err() == nil && !t.tenure.Lost() {
		due := time.Until(lastCommit.Add(tenure.BeatInterval))
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

// recordBatch is what one round of commits covers.
type recordBatch struct {
	generation  int64
	records     []scheduler.Record
	usedWorkers map[string]bool // the workers in use, if the stored row differs
	delegated   bool
	needed      bool
}

func (t *term) takeRecords() recordBatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	var b recordBatch
	b.generation, b.records, b.needed = t.sched.TakeRecords()
	if current := t.workersInUse(); !maps.Equal(current, t.usedWorkers) || t.delegated != t.storedDelegated {
		b.needed, b.usedWorkers, b.delegated = true, current, t.delegated
		// Nothing is started on a worker that the list being written lacks, even if it answers again meanwhile.
		maps.DeleteFunc(t.usedWorkers, func(id string, _ bool) bool { return !current[id] })
	}
	return b
}

// workersInUse returns the workers that are to be stored as used.
func (t *term) workersInUse() map[string]bool {
	current := map[string]bool{}
	for _, id := range t.sched.Used() {
		current[id] = true
	}
	return current
}

// writeBatch writes records in as many commits as they need and retries until ctx ends. It returns false if it ends without.
func (t *term) writeBatch(ctx context.Context, b recordBatch) bool {
	changes, ok := t.encodeBatch(b)
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
	if b.usedWorkers != nil {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.usedWorkers, t.storedDelegated = b.usedWorkers, b.delegated
		t.requestPlan()
	}
	return true
}

// takeNewJobs returns jobs that came while a batch is being stored, at most half a commit of them.
func (t *term) takeNewJobs() []scheduler.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sched.TakeNew(maxCommitEntries / 2)
}

// markStored lets the tasks of new jobs start, and final states be told, as soon as their commit is durable.
func (t *term) markStored(recs []scheduler.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sched.Stored(recs)
	t.requestPlan()
}

// commitRows is what one commit writes.
type commitRows struct {
	puts    []rowstore.Put
	removes []rowstore.Key
	records []scheduler.Record
	bytes   int
}

// fits reports whether the change may be added.
func (k *commitRows) fits(c recordRows) bool {
	return len(k.puts)+len(k.removes)+c.entries() <= maxCommitEntries && k.bytes < maxCommitBytes
}

func (k *commitRows) add(c recordRows) {
	k.puts = append(k.puts, c.puts...)
	k.removes = append(k.removes, c.removes...)
	k.bytes += c.bytes()
	k.records = append(k.records, c.records...)
}

// recordRows holds the rows of one record, which are written together.
type recordRows struct {
	puts    []rowstore.Put
	removes []rowstore.Key
	records []scheduler.Record // none for the workers in use
}

func (c recordRows) entries() int { return len(c.puts) + len(c.removes) }

func (c recordRows) bytes() int {
	n := 0
	for _, p := range c.puts {
		n += len(p.Value)
	}
	return n
}

func (t *term) encodeBatch(b recordBatch) ([]recordRows, bool) {
	changes := make([]recordRows, 0, len(b.records)+1)
	if b.usedWorkers != nil {
		value, err := records.Encode(records.UsedWorkers{IDs: slices.Sorted(maps.Keys(b.usedWorkers)), Delegated: b.delegated})
		if err != nil {
			t.log.Error("list of workers can't be encoded", asynclog.Error(err))
			return nil, false
		}
		changes = append(changes, recordRows{puts: []rowstore.Put{{Key: records.WorkersKey, Value: value}}})
	}
	encoded, ok := t.encodeRecords(b.records)
	return append(changes, encoded...), ok
}

func (t *term) encodeRecords(recs []scheduler.Record) ([]recordRows, bool) {
	var newJobs []scheduler.Record
	var others []recordRows
	for _, r := range recs {
		if packable(r) {
			newJobs = append(newJobs, r)
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
	for _, packRecords := range groupIntoPacks(newJobs) {
		c, err := t.packIndex.encodeNew(t.tenure.Epoch(), packRecords)
		if err != nil {
			t.log.Error("jobs can't be encoded", zap.Int("jobs", len(packRecords)), asynclog.Error(err))
			return nil, false
		}
		changes = append(changes, c)
	}
	for keys := range slices.Chunk(t.packIndex.takeEmpty(), maxCommitEntries) {
		changes = append(changes, recordRows{removes: keys})
	}
	return append(changes, others...), true
}

// encodeRecord returns the rows of a record. An ended job leaves the tables of live jobs.
func (t *term) encodeRecord(r scheduler.Record) (recordRows, error) {
	c := recordRows{records: []scheduler.Record{r}}
	if r.Spec != nil {
		value, err := workload.EncodeSpec(r.Spec)
		if err != nil {
			return c, err
		}
		c.puts = append(c.puts, rowstore.Put{Key: records.LiveKey(r.JobID), Value: value})
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
	c.removes = t.packIndex.jobEnded(r.JobID)
	if r.ProgressStored {
		c.removes = append(c.removes, records.ProgressKey(r.JobID))
	}
	return c, nil
}

// commit repeats a commit until it is durable, the ownership is lost or ctx ends.
func (t *term) commit(ctx context.Context, puts []rowstore.Put, removes []rowstore.Key) bool {
	for failures := 0; ; failures++ {
		callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
		err := t.tenure.Commit(callCtx, puts, removes)
		cancel()
		if err == nil {
			if failures > 0 {
				t.log.Info("store answers again", zap.Int("failures", failures))
			}
			return true
		}
		if errors.Is(err, tenure.ErrLost) || ctx.Err() != nil {
			return false
		}
		if failures == 0 {
			t.log.Warn("commit failed, retrying", zap.Int("records", len(puts)), asynclog.Error(err))
		}
		wait.For(ctx, wait.Backoff(backoffMin, commitBackoffMax, failures))
	}
}

func (t *term) markPersisted(generation int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sched.Persisted(generation)
	t.assigner.sendAcks()
	t.requestPlan()
}
