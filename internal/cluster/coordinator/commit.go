package coordinator

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/asynclog"
	"github.com/greengagewing/greengagewing/internal/cluster/election"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/wait"
)

// write writes the rows of one commit until they are durable. It returns false if ctx has ended or the ownership is lost. If the store
// rejects the commit, the changes are written one by one, so that only the one that is at fault is not stored: a job must never keep
// the others from being stored.
func (t *term) write(ctx context.Context, next commitRows) bool {
	err := t.commit(ctx, next.rows())
	if err == nil {
		for _, c := range next.changes {
			t.markStored(c)
		}
		return true
	}
	if !errors.Is(err, rowstore.ErrRejected) {
		return false
	}
	if len(next.changes) == 1 {
		return t.isolate(ctx, next.changes[0], err)
	}
	for _, c := range next.changes {
		if !t.write(ctx, commitRows{changes: []recordRows{c}}) {
			return false
		}
	}
	return true
}

// isolate handles a change that the store rejects. If it holds several jobs, each gets rows of its own; a job that is still rejected
// fails.
func (t *term) isolate(ctx context.Context, c recordRows, cause error) bool {
	t.log.Error("store rejects rows", zap.Int("puts", len(c.puts)), zap.Int("removes", len(c.removes)), zap.Int("bytes", c.bytes()),
		zap.Int("jobs", len(c.records)), asynclog.Error(cause))
	switch {
	case c.partOf != "":
		return t.failUnstorable(ctx, c.partOf)
	case len(c.records) == 1:
		return t.failUnstorable(ctx, c.records[0].JobID)
	}
	for _, r := range c.records {
		t.jobBatchIndex.separate(r.JobID)
		err := t.commitRecord(ctx, r)
		if errors.Is(err, rowstore.ErrRejected) && t.failUnstorable(ctx, r.JobID) {
			continue
		}
		if err != nil {
			return false
		}
	}
	return true
}

// failUnstorable ends a job that the store does not take as failed: it could not be handed over to a successor, which would run its
// tasks again.
func (t *term) failUnstorable(ctx context.Context, id string) bool {
	t.log.Error("job can't be stored, it fails", zap.String("job", id))
	t.mu.Lock()
	final := t.sched.FailUnstorable(time.Now(), id)
	t.mu.Unlock()
	err := t.commitRecord(ctx, final)
	if errors.Is(err, rowstore.ErrRejected) {
		t.log.Error("state of a failed job can't be stored", zap.String("job", id), asynclog.Error(err))
		return true
	}
	return err == nil
}

// commitRecord writes one record. Errors: those of commit, or that of the encoding.
func (t *term) commitRecord(ctx context.Context, r scheduler.Record) error {
	groups, err := t.encodeRecord(r)
	if err != nil {
		return err
	}
	for _, c := range groups {
		if err := t.commit(ctx, c); err != nil {
			return err
		}
		t.markStored(c)
	}
	return nil
}

// commit retries a commit until it is durable, the store rejects it, the ownership is lost or ctx ends. Errors: election.ErrLost,
// rowstore.ErrRejected, the error of ctx.
func (t *term) commit(ctx context.Context, c recordRows) error {
	for failures := 0; ; failures++ {
		callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
		err := t.ownership.Commit(callCtx, c.puts, c.removes)
		cancel()
		if err == nil {
			if failures > 0 {
				t.log.Info("store answers again", zap.Int("failures", failures))
			}
			return nil
		}
		if errors.Is(err, election.ErrLost) || errors.Is(err, rowstore.ErrRejected) {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if failures == 0 {
			t.log.Warn("commit failed, retrying", zap.Int("records", len(c.puts)), asynclog.Error(err))
		}
		wait.For(ctx, wait.Backoff(backoffMin, commitBackoffMax, failures))
	}
}

// markStored tells the scheduler that rows are durable. From then on it starts the tasks of new jobs and returns final states to
// callers.
func (t *term) markStored(c recordRows) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.inUse != nil {
		t.inUse, t.storedInherited, t.storedDelegated = c.inUse, c.inherited, c.delegated
		t.storedClocks = c.clocks
	}
	t.sched.MarkStored(c.records)
	t.requestPlan()
}
