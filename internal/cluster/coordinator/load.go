package coordinator

import (
	"context"
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

// load reads what earlier owners stored in the owner's partition: the active jobs, whose tasks they may have started, the jobs
// that have ended, and the workers that they used. No owner has started the jobs that are only in the inbox; loadInbox reads
// them later.
func (t *term) load(ctx context.Context) error {
	began := time.Now()
	t.applyQueueConfig()
	progress, err := t.loadProgress(ctx, records.Progress)
	if err != nil {
		return err
	}
	ended, err := t.loadProgress(ctx, records.Ended)
	if err != nil {
		return err
	}
	for id, p := range ended {
		t.sched.AddEndedJob(id, p)
	}
	t.dropEndedProgress(progress, ended)
	jobs, err := t.loadLiveJobs(ctx, progress)
	if err != nil {
		return err
	}
	if err := t.loadWorkersInUse(ctx); err != nil {
		return err
	}
	t.log.Info("term begins", zap.Int("jobs", jobs), zap.Int("ended", len(ended)),
		zap.Int("unresolved_workers", len(t.sched.UnresolvedWorkers())), zap.Duration("load", time.Since(began)))
	return nil
}

// loadProgress reads the progress of jobs from a table, by job id, and puts the chunks of each job together.
func (t *term) loadProgress(ctx context.Context, table string) (map[string]*workload.Progress, error) {
	rows, _, err := rowstore.ReadAll(ctx, t.deps.Store, table, election.Partition)
	if err != nil {
		return nil, err
	}
	out := make(map[string]*workload.Progress, len(rows))
	for _, r := range records.Join(rows) {
		t.rows.note(r.Key, r.Parts)
		p, err := workload.DecodeProgress(r.Value)
		if err != nil {
			// Without its progress, the job might run completed tasks again.
			return nil, errors.Wrapf(err, "progress of job %s", r.Name)
		}
		p.CompactDone()
		id, chunk := records.ParseProgressKey(r.Key)
		if chunk > 0 {
			p.StoredChunks = []int{chunk}
		}
		if other := out[id]; other != nil {
			p.State, p.Team = other.State, other.Team // those of the first chunk
			p.Tasks, p.StoredChunks = append(other.Tasks, p.Tasks...), append(other.StoredChunks, p.StoredChunks...)
			p.DoneRanges = append(other.DoneRanges, p.DoneRanges...)
		}
		out[id] = p
	}
	return out, nil
}

// dropEndedProgress has the progress of ended jobs removed, of which a predecessor may not have removed all chunks.
func (t *term) dropEndedProgress(progress, ended map[string]*workload.Progress) {
	for id, p := range progress {
		if ended[id] == nil {
			continue
		}
		t.rows.obsolete = append(t.rows.obsolete, records.ProgressKey(id))
		for _, n := range p.StoredChunks {
			t.rows.obsolete = append(t.rows.obsolete, records.ProgressChunkKey(id, n))
		}
	}
}

// loadLiveJobs reads the active jobs, those that have not ended, and returns the number of rows, each with one or more
// jobs. The change feed of the inbox starts after the version of this read, which is older than every later read of the
// inbox, so that no change is missed.
func (t *term) loadLiveJobs(ctx context.Context, progress map[string]*workload.Progress) (int, error) {
	rows, version, err := rowstore.ReadAll(ctx, t.deps.Store, records.ActiveJobs, election.Partition)
	if err != nil {
		return 0, err
	}
	t.jobFeedVersion = version
	now := time.Now()
	for _, r := range records.Join(rows) {
		t.rows.note(r.Key, r.Parts)
		if records.IsJobBatch(r.Key) {
			if err := t.loadJobBatch(now, r.Row, progress); err != nil {
				return 0, err
			}
			continue
		}
		spec, err := decodeJob(r.Row)
		if errors.Is(err, workload.ErrFormat) {
			return 0, err // a newer release wrote the job: this release must not interfere with its tasks
		}
		if err != nil {
			// If the owner stopped here, so would each of its successors, and nobody would run the other jobs.
			t.log.Error("active job can't be read, none of its tasks is started", zap.String("job", r.Name), zap.Int64("version", r.Version), asynclog.Error(err))
			t.sched.AddUnreadableJob(now, r.Name)
			continue
		}
		t.sched.AddJob(now, spec, progress[r.Name], true)
	}
	return len(rows), nil
}

// loadJobBatch reads active jobs that share a row. The scheduler already knows those of them that have ended.
func (t *term) loadJobBatch(now time.Time, r rowstore.Row, progress map[string]*workload.Progress) error {
	specs, err := workload.DecodeJobBatch(r.Value)
	if errors.Is(err, workload.ErrFormat) {
		return err
	}
	if err != nil {
		// The row does not tell the IDs of its jobs, but each of them was in the inbox before the row was written.
		t.log.Error("active jobs can't be read, no unknown job that was accepted before is started", zap.String("row", r.Name),
			zap.Int64("version", r.Version), asynclog.Error(err))
		t.unreadableBefore = max(t.unreadableBefore, r.Version)
		return nil
	}
	if !t.jobBatchIndex.addStored(r.Key, specs, t.sched.HasJob) {
		t.rows.obsolete = append(t.rows.obsolete, r.Key)
	}
	for _, spec := range specs {
		if err := spec.Validate(); err != nil {
			t.log.Error("active job can't be read, none of its tasks is started", zap.String("job", spec.ID), zap.String("row", r.Name), asynclog.Error(err))
			t.sched.AddUnreadableJob(now, spec.ID)
			continue
		}
		t.sched.AddJob(now, spec, progress[spec.ID], true)
	}
	return nil
}

// decodeJob decodes and validates the row of a job.
func decodeJob(r rowstore.Row) (*workload.Spec, error) {
	spec, err := workload.DecodeSpec(r.Value)
	if err != nil {
		return nil, err
	}
	if spec.ID != r.Name {
		return nil, errors.Wrapf(workload.ErrInvalid, "the row contains job %s", spec.ID)
	}
	return spec, spec.Validate()
}

// loadWorkersInUse reads the list of the workers on which earlier owners may have started tasks.
func (t *term) loadWorkersInUse(ctx context.Context) error {
	rows, _, err := rowstore.ReadAll(ctx, t.deps.Store, records.Workers, election.Partition)
	if err != nil {
		return err
	}
	// The predecessor may have sent orders until its ownership lease expired, and the runs that they started may go on
	// until their own leases expire.
	ownerUntil := time.Now().Add(election.LeaseDuration)
	leasesExpireAt := ownerUntil.Add(t.cfg.Delegate.LeaseBound())
	for _, r := range records.Join(rows) {
		t.sched.SetEarlierStarts(ownerUntil)
		t.rows.note(r.Key, r.Parts)
		var u records.WorkersInUse
		if err := records.Decode(r.Row, &u); err != nil {
			return err
		}
		t.inheritedDelegates, t.delegated, t.storedDelegated = u.Delegated, u.Delegated, u.Delegated
		t.storedInherited = true
		uses, clocks := u.Uses(), u.Clocks()
		t.storedClocks = clocks
		for _, id := range u.IDs {
			t.sched.AddUnresolvedWorker(id, leasesExpireAt)
			t.sched.SetPreviousUse(id, uses[id], ownerUntil)
			t.sched.SetPreviousClock(id, clocks[id])
			t.inUse[id] = uses[id]
		}
		for _, id := range u.InheritedBy(t.ownership.Epoch()) {
			t.sched.InheritUnresolvedWorker(id, leasesExpireAt)
		}
	}
	return nil
}

// loadInbox reads the partitions of the inbox in the background. It retries a partition that can't be read, without delaying
// the others.
func (t *term) loadInbox(ctx context.Context) {
	readSlots := make(chan struct{}, rowstore.MaxConcurrentReads)
	for _, partition := range records.InboxPartitions() {
		t.wg.Go(func() { t.loadInboxPartition(ctx, partition, readSlots) })
	}
}

// loadInboxPartition reads a partition and retries until ctx ends. The semaphore readSlots limits the number of concurrent
// reads.
func (t *term) loadInboxPartition(ctx context.Context, partition string, readSlots chan struct{}) {
	for failures := 0; ctx.Err() == nil; failures++ {
		readSlots <- struct{}{}
		rows, _, err := rowstore.ReadAll(ctx, t.deps.Store, records.Inbox, partition)
		<-readSlots
		if err == nil {
			t.Apply(rows)
			return
		}
		if failures == 0 {
			t.log.Warn("partition of the inbox can't be read, retrying", zap.String("part", partition), asynclog.Error(err))
		}
		wait.For(ctx, wait.Backoff(backoffMin, backoffMax, failures))
	}
}

// Snapshot implements rowstore.Handler for the inbox. The feed that follows repeats no row of a job that expired before.
func (t *term) Snapshot(rows []rowstore.Row) {
	t.Apply(rows)
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.expired)
}

// Apply implements rowstore.Handler for the inbox.
func (t *term) Apply(rows []rowstore.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyInboxRows(rows)
	t.requestPlan()
	wait.Signal(t.saveRequested) // the tasks of new jobs start only after a commit has stored them
}

// applyInboxRows adds the jobs of inbox rows, and then applies the cancellations, so that each finds its job. The caller holds
// mu.
func (t *term) applyInboxRows(rows []rowstore.Row) {
	now := time.Now()
	for _, row := range rows {
		r, whole := t.inbox.Add(row)
		_, _, cancelled := records.CancelledJob(r.Key)
		if !whole || cancelled {
			continue
		}
		if r.Deleted {
			delete(t.expired, r.Name)
			continue
		}
		if r.Parts > 1 {
			t.inboxParts[r.Name] = r.Parts
		}
		if t.sched.HasJob(r.Name) || t.expired[r.Name] {
			continue
		}
		if r.Version < t.unreadableBefore {
			t.log.Error("job may be one of the active jobs that can't be read, none of its tasks is started", zap.String("job", r.Name))
			t.sched.AddUnreadableJob(now, r.Name)
			continue
		}
		spec, err := decodeJob(r.Row)
		if err != nil {
			t.log.Error("job can't be read", zap.String("job", r.Name), zap.Int64("version", r.Version), asynclog.Error(err))
			t.sched.AddUnreadableJob(now, r.Name)
			continue
		}
		t.addJob(now, spec, "feed")
	}
	for _, r := range rows {
		id, early, cancelled := records.CancelledJob(r.Key)
		switch {
		case !cancelled || r.Deleted:
		case early:
			t.applyEarlyCancel(now, id, r)
		default:
			t.cancelJob(now, id, "feed")
		}
	}
}

// applyEarlyCancel applies a cancellation that was stored before its job, which may follow in another partition. The caller holds mu.
func (t *term) applyEarlyCancel(now time.Time, id string, r rowstore.Row) {
	var c records.EarlyCancel
	if err := records.Decode(r, &c); err != nil {
		t.log.Error("early cancellation can't be read", zap.String("job", id), asynclog.Error(err))
		return
	}
	if t.sched.CancelEarly(now, id, scheduler.EarlyCancel{By: c.By, At: time.UnixMilli(c.AtMS)}) {
		t.log.Info("job cancelled", zap.String("job", id), zap.String("from", "early cancellation"))
	}
}
