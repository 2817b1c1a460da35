package scheduler

import (
	"iter"
	"sort"
	"time"
)

// candidate is a unit with waiting tasks, with the values that decide its position in the planning order.
type candidate struct {
	unit        *unit
	waiting     int // tasks that wait to be placed on a worker
	priority    int
	late        bool // too late to meet the job's latency objective
	latestStart time.Time
	beyondShare bool // its job is beyond the share of its team
	aboveShare  bool // its service is full and its team uses more than its weighted fair share
	adviceOnly  bool // the policy service may be asked, but no task may start yet; see mayRunElsewhere
}

// longRunning reports whether the unit's tasks run until the job is cancelled. Such units come first: their tasks serve
// users and have to be restarted even if the pool is full.
func (c candidate) longRunning() bool { return c.unit.step.LongRunning }

// overdue reports whether the unit has used up more than half of the time that it may wait.
func (c candidate) overdue(now time.Time) bool {
	due := c.unit.job.spec.Due(c.unit.occurrence.number)
	return now.Sub(due) > c.latestStart.Sub(now)
}

// candidates returns the units that have waiting tasks and may be planned, in planning order.
func (s *Scheduler) candidates(units iter.Seq[*unit], now time.Time) []candidate {
	var out []candidate
	for u := range units {
		if _, open := s.open[u]; !open {
			continue
		}
		mayRunElsewhere := s.mayRunElsewhere(u)
		if mayRunElsewhere && u.job.inherited {
			continue
		}
		waiting := u.tasks.countWaiting(now)
		if waiting == 0 {
			u.unplacedSince, u.blursSince = time.Time{}, time.Time{}
			continue
		}
		if u.step.Gang && !mayRunElsewhere && !u.idle() {
			// All members of a gang start together, so the running ones would wait forever for the missing one.
			s.stopUnit(u, "gang is not complete")
			continue
		}
		c := s.newCandidate(u, waiting, now)
		c.adviceOnly = mayRunElsewhere
		u.latestStart = c.latestStart
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].before(out[j]) })
	return out
}

// newCandidate returns the unit with its present position in the planning order.
func (s *Scheduler) newCandidate(u *unit, waiting int, now time.Time) candidate {
	latest := s.latestStart(u)
	return candidate{unit: u, waiting: waiting, priority: u.job.queue.Priority, late: now.After(latest), latestStart: latest,
		beyondShare: u.beyondShare(), aboveShare: s.aboveFairShare(u, now)}
}

// before defines the planning order: units of jobs within the shares of their teams, then long-running units, then queue priority, then,
// while the pool is full, units of teams below their weighted fair share, then units that can still meet their objective, then the unit with
// the earlier latestStart, then the lower job ID. Priority goes before lateness, because tasks of less urgent queues would otherwise fill the
// pool and a late unit of an urgent queue would have to wait until they end.
func (c candidate) before(o candidate) bool {
	if c.beyondShare != o.beyondShare {
		return o.beyondShare
	}
	if c.longRunning() != o.longRunning() {
		return c.longRunning()
	}
	if c.priority != o.priority {
		return c.priority < o.priority
	}
	if c.aboveShare != o.aboveShare {
		return o.aboveShare
	}
	if c.late != o.late {
		return o.late
	}
	if !c.latestStart.Equal(o.latestStart) {
		return c.latestStart.Before(o.latestStart)
	}
	return c.unit.job.spec.ID < o.unit.job.spec.ID
}

// compare returns -1 if c comes before o in the planning order, 1 if it comes after o, and 0 otherwise.
func (c candidate) compare(o candidate) int {
	switch {
	case c.before(o):
		return -1
	case o.before(c):
		return 1
	}
	return 0
}

// mayRunElsewhere reports whether tasks of the unit may run, or may have ended, by order of another owner: of an earlier one, some of
// whose workers have not reported yet, or of a later one, until a commit of the job, or after the loss of a run or of a worker, proves
// that there is no later owner.
func (s *Scheduler) mayRunElsewhere(u *unit) bool {
	if _, unconfirmed := s.unconfirmedLosses[u]; unconfirmed {
		return true
	}
	if u.job.inherited {
		return len(s.unresolved) > 0 || s.unconfirmedGiveUp > 0
	}
	return !u.job.stored
}

// latestStart returns the latest time at which a unit can start and its job still meet its latency objective: that the
// occurrence ends, counted from its due time, within the queue's TargetLatency plus SlackFactor times the expected duration
// of the occurrence's critical path.
func (s *Scheduler) latestStart(u *unit) time.Time {
	due := u.job.spec.Due(u.occurrence.number)
	return due.Add(s.latencyObjective(u.job) - s.scaleEstimate(u.job, u.job.dependencies.pathFrom[u.index]))
}

// latencyObjective returns the time from the due time of an occurrence of the job within which it should end.
func (s *Scheduler) latencyObjective(j *job) time.Duration {
	total := s.scaleEstimate(j, j.dependencies.criticalPath)
	return j.queue.TargetLatency + time.Duration(j.queue.SlackFactor*float64(total))
}
