package commitlog

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/table"
)

// A commit succeeds, conflicts with a newer owner of some partition, or has an unknown outcome, in which case the rows
// are read back.

// write commits units and determines the outcome of each. If the outcome of an attempt is unknown, write commits the same
// rows again, under the condition that they are absent, until it is certain whether they were written. A commit whose
// response was lost may take effect later; then it conflicts with the repeated one.
func (c *Committer) write(ctx context.Context, units []*unit) {
	for _, u := range units {
		u.encode()
	}
	uncertain := false
	for {
		err := c.commit(ctx, transaction(units))
		var conflict *table.ConflictError
		switch {
		case err == nil:
			c.complete(units, nil)
			return
		case errors.As(err, &conflict):
			units = c.resolveConflict(ctx, units, conflict, uncertain)
			if len(units) > 0 && !uncertain {
				c.requeue(units)
				return
			}
		case errors.Is(err, table.ErrUnavailable) || errors.Is(err, table.ErrConflict):
			// Nothing was written. A conflict that does not name its row is retried as if the store were unavailable.
			c.updateStats(func(s *Stats) { s.Retries++ })
			if !uncertain {
				c.requeue(units)
			}
			c.backOff(ctx)
			if !uncertain {
				return
			}
		default: // ErrUnknownOutcome, or an error that does not guarantee that nothing was written
			uncertain = true
			c.updateStats(func(s *Stats) { s.Unknown++ })
			if c.readBack(ctx, units[0]) == rowWritten {
				c.complete(units, nil)
				return
			}
			if units[0].snapshot {
				// Giving up a compaction is safe: if it takes effect later, it replaces the same rows.
				c.complete(units, ErrOutcomeUnknown)
				units = nil
			}
			c.backOff(ctx)
		}
		if len(units) == 0 {
			return
		}
		if !c.awaitToken(ctx) {
			c.complete(units, ErrOutcomeUnknown)
			return
		}
	}
}

func (c *Committer) updateStats(f func(*Stats)) {
	c.mu.Lock()
	f(&c.stats)
	c.mu.Unlock()
}

// resolveConflict completes the units whose outcome the conflict determines, and returns the others. This attempt wrote
// nothing, but an earlier attempt may have written the units if uncertain is true.
func (c *Committer) resolveConflict(ctx context.Context, units []*unit, conflict *table.ConflictError,
	uncertain bool) []*unit {
	if uncertain && c.anyWritten(ctx, units) {
		c.complete(units, nil)
		c.fenceConflicting(units, conflict)
		return nil
	}
	var decided, undecided []*unit
	for _, u := range units {
		if u.j.fencedBy(conflict) || u.key == conflict.Key && (!uncertain || c.isFenced(u.j)) {
			decided = append(decided, u)
		} else {
			undecided = append(undecided, u)
		}
	}
	if len(decided) == 0 {
		// The row of an earlier attempt exists, but reads do not show it yet.
		c.backOff(ctx)
		return units
	}
	if decided[0].snapshot && decided[0].key == conflict.Key {
		// An earlier compaction at the same position, whose outcome was unknown, took effect. It replaced the same rows,
		// but may have archived other records.
		decided[0].writtenKeys = append(decided[0].writtenKeys, decided[0].deletedKeys...)
		c.complete(decided, decided[0].items[0].compaction.redundantOutcome())
		return undecided
	}
	outcome := ErrFenced
	if uncertain {
		// The next owner may have replayed the rows of the earlier attempt and compacted them.
		outcome = ErrOutcomeUnknown
	}
	c.complete(decided, outcome)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range decided {
		c.fence(u.j)
	}
	return undecided
}

func (c *Committer) isFenced(j *journal) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return errors.Is(j.endErr, ErrFenced)
}

// fenceConflicting fences the journals of the units whose partition was claimed again according to the conflict.
func (c *Committer) fenceConflicting(units []*unit, conflict *table.ConflictError) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range units {
		if u.j.fencedBy(conflict) {
			c.fence(u.j)
		}
	}
}

// rowState is what a read shows about the first row of a unit.
type rowState int

const (
	rowUnclear rowState = iota // unreadable, or absent, which may be due to a stale read or a commit that takes effect late
	rowWritten                 // the row has this writer's tag
	rowForeign                 // the row has the tag of another writer
)

// readBack reads the unit's first row to determine whether the unit was written.
func (c *Committer) readBack(ctx context.Context, u *unit) rowState {
	c.updateStats(func(s *Stats) { s.ReadBacks++ })
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CommitTimeout)
	defer cancel()
	row, err := c.client.Get(ctx, u.key)
	if err != nil {
		return rowUnclear
	}
	var v struct {
		Tag string `json:"tag"`
	}
	if json.Unmarshal(row.Value, &v) == nil && v.Tag == u.tag {
		c.mu.Lock()
		c.resetFailures()
		c.mu.Unlock()
		return rowWritten
	}
	return rowForeign
}

// anyWritten reports whether the first row of one of the units exists with the unit's tag. A commit is atomic, so all
// units were written in that case. If a segment row has another tag, anyWritten fences the journal, because another
// process writes at the same epoch.
func (c *Committer) anyWritten(ctx context.Context, units []*unit) bool {
	for _, u := range units {
		switch c.readBack(ctx, u) {
		case rowWritten:
			return true
		case rowForeign:
			if u.snapshot {
				continue
			}
			c.cfg.Logger.Error("journal row was written by another writer", zap.String("key", u.key))
			c.mu.Lock()
			c.fence(u.j)
			c.mu.Unlock()
		}
	}
	return false
}

// complete ends units with the given outcome and passes it to the callers.
func (c *Committer) complete(units []*unit, outcome error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range units {
		u.j.inFlight = false
		u.apply(outcome, &c.stats)
		for _, it := range u.items {
			if outcome == nil && it.isFlush() {
				u.j.completeItem(it, u.j.flushOutcome())
				continue
			}
			u.j.completeItem(it, outcome)
		}
		c.removeIfEnded(u.j)
	}
}

// requeue puts the records of units that were certainly not written back at the front of their queues, where their callers
// can withdraw them. A compaction is not requeued but fails, because its caller can start a smaller one later.
func (c *Committer) requeue(units []*unit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range units {
		j := u.j
		j.inFlight = false
		if j.endErr != nil || u.snapshot {
			outcome := ErrNotWritten
			if errors.Is(j.endErr, ErrFenced) {
				outcome = ErrFenced
			}
			for _, it := range u.items {
				j.completeItem(it, outcome)
			}
			c.removeIfEnded(j)
			continue
		}
		for _, it := range u.items {
			it.inCommit = false
		}
		j.queue = append(u.items, j.queue...)
	}
}

// fence ends a journal whose partition has a newer owner. The caller holds mu.
func (c *Committer) fence(j *journal) {
	if j.endErr != nil {
		return
	}
	c.stats.Fenced++
	c.cfg.Logger.Warn("journal fenced", zap.String("partition", j.partition), zap.Int64("epoch", j.epoch))
	c.endJournal(j, ErrFenced, ErrFenced)
}

// endJournal makes the journal refuse further records with reason, and completes the queued items with outcome. The
// caller holds mu.
func (c *Committer) endJournal(j *journal, reason, outcome error) {
	if j.endErr == nil {
		j.endErr = reason
	}
	for _, it := range j.queue {
		j.completeItem(it, outcome)
	}
	j.queue = nil
	c.removeIfEnded(j)
}

// removeIfEnded removes an ended journal once it has no records in flight. The caller holds mu.
func (c *Committer) removeIfEnded(j *journal) {
	if j.endErr != nil && !j.inFlight {
		c.journals = slices.DeleteFunc(c.journals, func(o *journal) bool { return o == j })
	}
}
