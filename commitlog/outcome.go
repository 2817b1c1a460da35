package commitlog

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/table"
)

// A commit succeeds, conflicts with a newer owner of some partition, or has an unknown outcome that is read back.

// write commits units and decides the outcome of each. Once an attempt has an unknown outcome, the same rows are
// committed again, under the condition that they are absent, until it is certain whether they were written: a lost
// commit may also take effect later, and then conflicts with the repeated one.
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
			// Nothing was written. A conflict that does not name its row is tried again like an unavailable store.
			c.updateStats(func(s *Stats) { s.Retries++ })
			if !uncertain {
				c.requeue(units)
			}
			c.backOff(ctx)
			if !uncertain {
				return
			}
		default: // ErrUnknownOutcome, or an error that does not say that nothing was written
			uncertain = true
			c.updateStats(func(s *Stats) { s.Unknown++ })
			if c.readBack(ctx, units[0]) == rowWritten {
				c.complete(units, nil)
				return
			}
			if units[0].snapshot {
				// A compaction is safe to give up: if it takes effect later, it replaces the same rows.
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

// resolveConflict settles the units that the conflict decides and returns the others. Nothing of this attempt was
// written; if an earlier attempt is uncertain, it may have been.
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
		// The row of an uncertain attempt exists, but the reads do not show it yet.
		c.backOff(ctx)
		return units
	}
	if decided[0].snapshot && decided[0].key == conflict.Key {
		// An earlier compaction at the same place, whose outcome was unknown, took effect. It replaced the same rows, but
		// may have archived other records.
		decided[0].writtenKeys = append(decided[0].writtenKeys, decided[0].deletedKeys...)
		c.complete(decided, decided[0].items[0].compaction.redundantOutcome())
		return undecided
	}
	outcome := ErrFenced
	if uncertain {
		// The successor may have replayed the earlier attempt's rows and compacted them.
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

func (c *Committer) fenceConflicting(units []*unit, conflict *table.ConflictError) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range units {
		if u.j.fencedBy(conflict) {
			c.fence(u.j)
		}
	}
}

// rowState is what a read tells about a unit's row.
type rowState int

const (
	rowUnclear rowState = iota // absent, which a stale read or a late commit explains as well, or not readable
	rowWritten                 // the row has this writer's tag
	rowForeign                 // the row has another tag
)

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

// anyWritten says whether one of the units' rows exists with its tag. A commit is atomic, so all of them were written
// then. A unit whose row has another tag is fenced: somebody else writes at this epoch.
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

// complete ends units with the outcome of their records.
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

// requeue puts the records of units that were certainly not written back to the front of their queues, where they can
// be withdrawn. A compaction is given up, because its caller can make a smaller one later.
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

// fence ends a journal whose partition has a newer owner. It is called with mu held.
func (c *Committer) fence(j *journal) {
	if j.endErr != nil {
		return
	}
	c.stats.Fenced++
	c.cfg.Logger.Warn("journal fenced", zap.String("partition", j.partition), zap.Int64("epoch", j.epoch))
	c.endJournal(j, ErrFenced, ErrFenced)
}

// endJournal refuses further records with reason and settles the queued ones with outcome. It is called with mu held.
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

// removeIfEnded removes an ended journal once nothing of it is in flight. It is called with mu held.
func (c *Committer) removeIfEnded(j *journal) {
	if j.endErr != nil && !j.inFlight {
		c.journals = slices.DeleteFunc(c.journals, func(o *journal) bool { return o == j })
	}
}
