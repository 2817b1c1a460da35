package coordinator

import (
	"context"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/asynclog"
	"github.com/greengagewing/greengagewing/internal/cluster/election"
	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/wait"
)

// rowIndex divides values into rows that the store takes, and remembers which stored values have several rows, so that all of them
// can be removed. It is used by the goroutine that writes to the store, after the rows of earlier owners are loaded.
type rowIndex struct {
	maxBytes int                  // of a row's value
	parts    map[rowstore.Key]int // values with more than one row
}

func newRowIndex(maxBytes int) *rowIndex {
	return &rowIndex{maxBytes: maxBytes, parts: map[rowstore.Key]int{}}
}

// note records how many rows a stored value has.
func (x *rowIndex) note(k rowstore.Key, parts int) {
	if parts > 1 {
		x.parts[k] = parts
	} else {
		delete(x.parts, k)
	}
}

// put returns the rows that replace a value, and the removal of rows that it no longer needs.
func (x *rowIndex) put(k rowstore.Key, value []byte) recordRows {
	c := recordRows{puts: records.Split(k, value, x.maxBytes)}
	for i := len(c.puts); i < x.parts[k]; i++ {
		c.removes = append(c.removes, records.PartKey(k, i))
	}
	x.note(k, len(c.puts))
	return c
}

// remove returns the removal of all rows of a value.
func (x *rowIndex) remove(k rowstore.Key) recordRows {
	c := recordRows{removes: []rowstore.Key{k}}
	for i := 1; i < x.parts[k]; i++ {
		c.removes = append(c.removes, records.PartKey(k, i))
	}
	delete(x.parts, k)
	return c
}

// append adds the rows of o.
func (c *recordRows) append(o recordRows) {
	c.puts = append(c.puts, o.puts...)
	c.removes = append(c.removes, o.removes...)
}

// write writes the rows of one commit until they are durable. It returns false if ctx has ended or the ownership is lost.
func (t *term) write(ctx context.Context, next commitRows) bool {
	var c recordRows
	for _, change := range next.changes {
		c.append(change)
	}
	if t.commit(ctx, c) != nil {
		return false
	}
	for _, change := range next.changes {
		t.markStored(change)
	}
	return true
}

// commit retries a commit until it is durable, the ownership is lost or ctx ends. Errors: election.ErrLost, the error of ctx.
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
		if errors.Is(err, election.ErrLost) {
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
		t.inUse, t.storedDelegated = c.inUse, c.delegated
	}
	t.sched.MarkStored(c.records)
	t.requestPlan()
}
