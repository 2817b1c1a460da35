package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// Penalties are added to the CPU that a worker has left, in thousandths of a core, when workers are compared for the best
// fit. Each exceeds the capacity of any worker and interferencePenalty, so a worker with a penalty is chosen only if there is none without it.
const (
	otherRackPenalty = 1 << 30 // the worker is not in the rack of the task's data
	failedRunPenalty = 1 << 31 // a run of the task has failed on the worker
	crashPenalty     = 1 << 32 // a worker at its address has crashed long after it had started the task: either may be the cause
	// quarantinePenalty is that of a quarantined worker, for units that may use one.
	quarantinePenalty = 1 << 33
)

// acceptsTasks reports whether tasks may be placed on the worker now, and not only those of units that may use a quarantined worker.
func (w *worker) acceptsTasks(now time.Time) bool {
	return w.acceptsInQuarantine(now) && !w.health.quarantined(now)
}

// acceptsInQuarantine is acceptsTasks for units that may use a quarantined worker.
func (w *worker) acceptsInQuarantine(now time.Time) bool {
	return w.acceptsStarts() && w.fenced && !w.health.rejects(now)
}

// acceptsStarts reports whether tasks may be placed on the worker, now or once it has reported to this owner.
func (w *worker) acceptsStarts() bool {
	return w.listed && !w.undescribed && w.announced == nil && !w.unreachable && !w.info.Draining
}

// canRun reports whether the worker may run tasks of the unit: it accepts tasks and meets the unit's placement constraints
// except MaxPerWorker. Whether it has enough free resources now is not considered either.
func (s *Scheduler) canRun(u *unit, w *worker, now time.Time) bool {
	if !w.acceptsInQuarantine(now) || !u.usesQuarantined && w.health.quarantined(now) || w.info.Service != u.job.queue.Service {
		return false
	}
	if u.step.Requirement != "" && !slices.Contains(w.info.Labels, u.step.Requirement) {
		return false
	}
	return w.info.Capacity.CanFit(u.resources()) && !w.hasConflictingTask(u)
}

// hasConflictingTask reports whether the worker runs tasks with which the unit's tasks must not be colocated. Best-effort
// tasks, which use idle CPU, slow down tasks with a latency target by an amount that can't be predicted.
func (w *worker) hasConflictingTask(u *unit) bool {
	serving := u.step.LatencyTarget > 0
	if !u.step.BestEffort && !serving {
		return false
	}
	for _, p := range w.placements {
		if p.task == nil {
			continue
		}
		other := p.task.unit.step
		if u.step.BestEffort && other.LatencyTarget > 0 || serving && other.BestEffort {
			return true
		}
	}
	return false
}

// usableWorkers returns the approved workers on which tasks of the unit may be placed now: those that are not reserved for a
// unit that comes before it in the planning order. The second result reports whether there are others.
func (s *Scheduler) usableWorkers(c candidate, now time.Time) ([]*worker, bool) {
	workers, reserved := s.withoutReserved(c, s.approvedWorkers(c.unit, now, now), now)
	return c.withoutBlurring(workers, now), reserved
}

// withoutReserved removes the workers that are reserved for a unit that comes before c in the planning order, and reports whether there
// are any.
func (s *Scheduler) withoutReserved(c candidate, workers []*worker, now time.Time) ([]*worker, bool) {
	left := slices.DeleteFunc(workers, func(w *worker) bool { return s.excludes(c, w, now) })
	return left, len(left) < len(workers)
}

// approvedWorkers returns the workers that can run the unit now and, if its queue needs tickets, have one that expires after
// validAfter, sorted by ID. With tickets only their workers are examined, which keeps planning fast with hundreds of workers.
func (s *Scheduler) approvedWorkers(u *unit, now, validAfter time.Time) []*worker {
	var out []*worker
	if u.job.queue.PolicyService == nil {
		for _, w := range s.sortedWorkers {
			if s.canRun(u, w, now) {
				out = append(out, w)
			}
		}
		return out
	}
	for id, t := range u.tickets {
		if !t.expires.After(validAfter) {
			continue
		}
		if w := s.workers[id]; w != nil && s.canRun(u, w, now) {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *worker) int { return strings.Compare(a.info.ID, b.info.ID) })
	return out
}

// bestFit returns the worker that has the least free CPU, penalties included, among those on which the task fits (best-fit
// bin packing). It returns nil if there is none.
func bestFit(t *task, workers []*worker, now time.Time) *worker {
	var best *worker
	var bestLeft int64
	for _, w := range workers {
		if !w.fits(t.unit) {
			continue
		}
		left := w.free().CPUMilli + t.penalty(w, now) + t.unit.interferencePenalty(w, 0)
		if best == nil || left < bestLeft {
			best, bestLeft = w, left
		}
	}
	return best
}

// maxRunsPerWorker is the highest number of runs on a worker that are active or whose ends are not acknowledged. It bounds what one
// report lists, what the owner holds for tasks that need few resources or none, and how many runs end unseen while the store is away.
const maxRunsPerWorker = 500

// runsLeft returns how many more runs may be placed on the worker.
func (w *worker) runsLeft() int { return maxRunsPerWorker - len(w.placements) - len(w.pendingAcks) }

// fits reports whether the worker has room for another task of the unit.
func (w *worker) fits(u *unit) bool {
	return w.runsLeft() > 0 && w.free().CanFit(u.resources()) && (u.step.MaxPerWorker <= 0 || w.countTasksOf(u) < u.step.MaxPerWorker)
}

// penalty returns the sum of the worker's penalties for the task.
func (t *task) penalty(w *worker, now time.Time) int64 {
	penalty := int64(0)
	if rack := t.unit.step.DataRack; rack != "" && w.info.Rack != rack {
		penalty += otherRackPenalty
	}
	if _, failed := t.failedWorkers[w.info.ID]; failed {
		penalty += failedRunPenalty
	}
	if t.avoidsAddress(w.info.Address) {
		penalty += crashPenalty
	}
	if w.health.quarantined(now) {
		penalty += quarantinePenalty
	}
	return penalty
}

// avoidsAddress reports whether a worker at the address has crashed under the task, or under its gang, long after the start.
func (t *task) avoidsAddress(address string) bool {
	blames := func(e *workload.CrashEvidence) bool {
		return !pointsToStart(e) && slices.Contains(e.Addresses, address)
	}
	return blames(&t.evidence) || t.unit.step.Gang && blames(&t.unit.evidence)
}
