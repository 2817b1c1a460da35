package scheduler

import (
	"slices"
	"strings"
	"time"
)

// Penalties of a worker's fit, in thousandths of a core. Each exceeds every room that a worker can have, so a worker
// without the penalty is always preferred, and one with it still serves when there is no other.
const (
	otherRackPenalty = 1 << 30 // outside the rack of the data
	failedRunPenalty = 1 << 31 // a run of the task has failed there
)

// acceptsTasks reports whether the worker may get tasks now.
func (w *worker) acceptsTasks(now time.Time) bool {
	return w.acceptsStarts() && w.fenced && !w.health.quarantined(now)
}

// acceptsStarts reports whether tasks may be started on the worker, now or after its first report.
func (w *worker) acceptsStarts() bool { return w.listed && !w.unreachable && !w.info.Draining }

// canRun reports whether the worker may run tasks of the unit at all.
func (s *Scheduler) canRun(u *unit, w *worker, now time.Time) bool {
	if !w.acceptsTasks(now) || w.info.Service != u.job.queue.Service {
		return false
	}
	if u.step.Requirement != "" && !slices.Contains(w.info.Labels, u.step.Requirement) {
		return false
	}
	return w.info.Capacity.Fits(u.resources()) && !w.hasConflictingTask(u)
}

// hasConflictingTask reports whether the worker runs tasks that the unit's must not be beside: tasks that fill up a worker slow down
// tasks that serve users within a latency target, by amounts that nobody can tell before.
func (w *worker) hasConflictingTask(u *unit) bool {
	serving := u.step.LatencyTarget > 0
	if !u.step.Filler && !serving {
		return false
	}
	for _, p := range w.placements {
		if p.task == nil {
			continue
		}
		other := p.task.unit.step
		if u.step.Filler && other.LatencyTarget > 0 || serving && other.Filler {
			return true
		}
	}
	return false
}

// usableWorkers returns the workers that may run tasks of the unit now: eligible, with a valid ticket and not held for others.
// Where tickets are needed only their workers are looked at, which is what keeps a plan short with hundreds of workers.
func (s *Scheduler) usableWorkers(u *unit, now time.Time, reserved map[*worker]bool) []*worker {
	var out []*worker
	if u.job.queue.Advice == nil {
		for _, w := range s.sortedWorkers {
			if !reserved[w] && s.canRun(u, w, now) {
				out = append(out, w)
			}
		}
		return out
	}
	for id, t := range u.tickets {
		if !t.expires.After(now) {
			continue
		}
		if w := s.workers[id]; w != nil && !reserved[w] && s.canRun(u, w, now) {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *worker) int { return strings.Compare(a.info.ID, b.info.ID) })
	return out
}

// bestFit returns the worker with the least room left that fits the task, or nil.
func bestFit(t *task, workers []*worker) *worker {
	u := t.unit
	size := u.resources()
	var found *worker
	var foundLeft int64
	for _, w := range workers {
		free := w.free()
		if !free.Fits(size) || u.step.MaxPerWorker > 0 && w.countTasksOf(u) >= u.step.MaxPerWorker {
			continue
		}
		left := free.CPUMilli + t.penalty(w)
		if found == nil || left < foundLeft {
			found, foundLeft = w, left
		}
	}
	return found
}

// penalty makes a worker a worse fit for the task.
func (t *task) penalty(w *worker) int64 {
	penalty := int64(0)
	if rack := t.unit.step.DataRack; rack != "" && w.info.Rack != rack {
		penalty += otherRackPenalty
	}
	if _, failed := t.failedWorkers[w.info.ID]; failed {
		penalty += failedRunPenalty
	}
	return penalty
}
