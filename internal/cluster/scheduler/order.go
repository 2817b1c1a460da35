package scheduler

import (
	"iter"
	"slices"
	"sort"
	"time"
)

// candidate is a unit with tasks that wait, and its place in the order.
type candidate struct {
	unit        *unit
	waiting     []*task
	priority    int
	late        bool
	latestStart time.Time
	adviceOnly  bool // only the policy service may be asked, nothing may start
}

// longRunning units come first: their tasks serve users of their own and have to be restarted however full the pool is.
func (c candidate) longRunning() bool { return c.unit.step.LongRunning }

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
		waiting := u.pending(now)
		if len(waiting) == 0 {
			continue
		}
		if u.step.Gang && !mayRunElsewhere && !u.idle() {
			// Members of a gang are placed together, so the others wait in vain for one that is missing.
			s.stopUnit(u, "the gang is not complete")
			continue
		}
		latest := s.latestStart(u)
		out = append(out, candidate{unit: u, waiting: waiting, priority: u.job.queue.Priority, late: now.After(latest),
			latestStart: latest, adviceOnly: mayRunElsewhere})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].before(out[j]) })
	return out
}

// before orders units: urgent queues, then units that can be in time, then the earliest latest start. A late unit of an
// urgent queue stays ahead of the less urgent queues, which would otherwise fill the pool for as long as their tasks take.
func (c candidate) before(o candidate) bool {
	if c.longRunning() != o.longRunning() {
		return c.longRunning()
	}
	if c.priority != o.priority {
		return c.priority < o.priority
	}
	if c.late != o.late {
		return o.late
	}
	if !c.latestStart.Equal(o.latestStart) {
		return c.latestStart.Before(o.latestStart)
	}
	return c.unit.job.spec.ID < o.unit.job.spec.ID
}

func (c candidate) compare(o candidate) int {
	switch {
	case c.before(o):
		return -1
	case o.before(c):
		return 1
	}
	return 0
}

// mayRunElsewhere reports whether tasks of the unit may run under the order of another owner: of an earlier one whose workers have
// not reported, or of a later one, as long as no commit of the job has shown that there is none.
func (s *Scheduler) mayRunElsewhere(u *unit) bool {
	if u.job.inherited {
		return len(s.unresolved) > 0
	}
	return !u.job.stored
}

// latestStart is when a unit has to start for its job to meet its objective.
func (s *Scheduler) latestStart(u *unit) time.Time {
	j := u.job
	total := time.Duration(0)
	for _, v := range u.occurrence.units {
		total = max(total, s.criticalPathTo(u.occurrence, v.index))
	}
	due := j.spec.Due(u.occurrence.number)
	objective := due.Add(j.queue.TargetLatency + time.Duration(j.queue.SlackFactor*float64(total)))
	return objective.Add(-s.criticalPathFrom(u))
}

// criticalPathTo is the expected duration of the longest criticalPathTo of steps that ends with the step.
func (s *Scheduler) criticalPathTo(o *occurrence, step int) time.Duration {
	u := o.units[step]
	longest := time.Duration(0)
	for _, a := range u.step.After {
		longest = max(longest, s.criticalPathTo(o, a))
	}
	return longest + s.expectedDuration(u)
}

// criticalPathFrom is the expected duration of the longest chain of steps that begins with the unit.
func (s *Scheduler) criticalPathFrom(u *unit) time.Duration {
	longest := time.Duration(0)
	for _, f := range u.occurrence.units[u.index+1:] {
		if slices.Contains(f.step.After, u.index) {
			longest = max(longest, s.criticalPathFrom(f))
		}
	}
	return longest + s.expectedDuration(u)
}
