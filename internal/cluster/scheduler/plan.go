package scheduler

import (
	"iter"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// Plan holds the orders to send to workers.
type Plan struct {
	Starts []Start
	Stops  []Stop
}

// Plan makes a full scheduling pass: it drops expired leases, stops stalled runs, places waiting tasks and returns the
// orders to send. Long-running units come first, then queues by priority; within a priority the units that can still meet
// their latency objective come first, by their latest start, then those that are late. Compared with first come, first
// served, this order keeps short urgent tasks from waiting behind large jobs.
func (s *Scheduler) Plan(now time.Time) Plan {
	s.expireUnresolved(now)
	s.expireWorkers(now)
	s.stopStalled(now)
	s.stopOnDrainingWorkers(now)
	for j := range s.futureOccurrences {
		s.openDueOccurrences(j, now)
	}
	s.reservedWorkers = map[*worker]bool{}
	clear(s.changedUnits)
	s.adviceQueue.clear()
	return s.planUnits(maps.Keys(s.open), now)
}

// PlanChanged places only the tasks of units that have changed since they were last planned: new units, those for which the
// policy service has answered and those with failed tasks. With hundreds of waiting units a full plan takes several
// milliseconds, too long to repeat it after every event, but a short task should not have to wait for the next one.
func (s *Scheduler) PlanChanged(now time.Time) Plan {
	units := slices.Collect(maps.Keys(s.changedUnits))
	clear(s.changedUnits)
	return s.planUnits(slices.Values(units), now)
}

func (s *Scheduler) planUnits(units iter.Seq[*unit], now time.Time) Plan {
	var plan Plan
	for _, c := range s.candidates(units, now) {
		s.planUnit(c, now, s.reservedWorkers, &plan)
	}
	plan.Stops, s.stops = s.stops, nil
	return plan
}

// planUnit places tasks of one unit, and queues an advice request if some find no worker.
func (s *Scheduler) planUnit(c candidate, now time.Time, reserved map[*worker]bool, plan *Plan) {
	u := c.unit
	if now.Before(u.notBefore) || u.adviceInFlight && len(u.tickets) == 0 && now.Sub(u.askedAt) < adviceTimeout {
		return
	}
	placed := 0
	switch {
	case c.adviceOnly:
	case u.step.Gang:
		placed = s.placeGang(c, now, reserved, plan)
	default:
		placed = s.placeTasks(c, now, reserved, plan)
	}
	if len(c.waiting) > placed && u.needsAdvice(now) && !(c.adviceOnly && u.hasTicket(now)) {
		s.adviceQueue.add(c)
	}
}

// placeTasks places the waiting tasks of a unit that is not a gang one by one, and returns how many found a worker.
func (s *Scheduler) placeTasks(c candidate, now time.Time, reserved map[*worker]bool, plan *Plan) int {
	placed := 0
	workers := s.usableWorkers(c.unit, now, reserved)
	for _, t := range c.waiting {
		w := bestFit(t, workers)
		if w == nil {
			if c.longRunning() {
				s.preempt(t, workers, now)
			}
			continue
		}
		run := s.nextRunNumber(t.run, c.unit.job.inherited)
		plan.Starts = append(plan.Starts, s.startRun(t, w, run, now))
		placed++
	}
	return placed
}

// reservedShareDivisor limits reservations for gangs that do not fit: once more than 1/reservedShareDivisor of the workers
// are reserved, no further gang gets a reservation. So gangs that can't be placed do not leave the whole pool idle.
const reservedShareDivisor = 2

// placeGang places all tasks of a gang or none (gang scheduling) and returns how many it placed. If the gang does not fit and
// is not late, the workers that it may use are reserved: units that come later in the order don't get them.
func (s *Scheduler) placeGang(c candidate, now time.Time, reserved map[*worker]bool, plan *Plan) int {
	u := c.unit
	usableWorkers := s.usableWorkers(u, now, reserved)
	chosen := s.assignGang(c.waiting, usableWorkers)
	if chosen == nil {
		if !c.late && len(usableWorkers) > 0 {
			s.reserve(usableWorkers, reserved)
		}
		return 0
	}
	u.run = s.nextRunNumber(u.run, u.job.inherited)
	for i, t := range c.waiting {
		plan.Starts = append(plan.Starts, s.startRun(t, chosen[i], u.run, now))
	}
	return len(c.waiting)
}

// reserve adds workers to the reserved ones unless the limit is exceeded already.
func (s *Scheduler) reserve(workers []*worker, reserved map[*worker]bool) {
	if len(reserved) > len(s.sortedWorkers)/reservedShareDivisor {
		return
	}
	for _, w := range workers {
		reserved[w] = true
	}
}

// assignGang finds a worker for each task of a gang, or returns nil. If the gang runs slower across several racks, it first
// tries to fit all tasks into one rack.
func (s *Scheduler) assignGang(tasks []*task, workers []*worker) []*worker {
	if tasks[0].unit.step.SameRack {
		byRack := map[string][]*worker{}
		for _, w := range workers {
			byRack[w.info.Rack] = append(byRack[w.info.Rack], w)
		}
		racks := make([]string, 0, len(byRack))
		for r := range byRack {
			racks = append(racks, r)
		}
		sort.Strings(racks)
		for _, r := range racks {
			if chosen := assignAll(tasks, byRack[r]); chosen != nil {
				return chosen
			}
		}
	}
	return assignAll(tasks, workers)
}

// assignAll chooses the best-fitting worker for each task in turn, or returns nil if one finds none. It starts nothing and
// does not change the workers.
func assignAll(tasks []*task, workers []*worker) []*worker {
	chosen := make([]*worker, 0, len(tasks))
	assignedResources := map[*worker]workload.Resources{}
	assignedTasks := map[*worker]int{}
	needed := tasks[0].unit.resources()
	limit := tasks[0].unit.step.MaxPerWorker
	for _, t := range tasks {
		var bestWorker *worker
		var bestLeft int64
		for _, w := range workers {
			free := w.free().Sub(assignedResources[w])
			if !free.CanFit(needed) || limit > 0 && w.countTasksOf(t.unit)+assignedTasks[w] >= limit {
				continue
			}
			left := free.CPUMilli + t.penalty(w)
			if bestWorker == nil || left < bestLeft {
				bestWorker, bestLeft = w, left
			}
		}
		if bestWorker == nil {
			return nil
		}
		chosen = append(chosen, bestWorker)
		assignedResources[bestWorker] = assignedResources[bestWorker].Add(needed)
		assignedTasks[bestWorker]++
	}
	return chosen
}

// stopOnDrainingWorkers stops tasks on draining workers that would not end before the worker shuts down, so that they
// resume elsewhere.
func (s *Scheduler) stopOnDrainingWorkers(now time.Time) {
	for _, w := range s.sortedWorkers {
		if !w.info.Draining || !w.fenced {
			continue
		}
		for _, p := range w.placements {
			if p.state == running && p.task != nil && p.task.placement == p && now.Add(s.remainingRunTime(p, now)).After(w.shutdownAt) {
				s.stopRun(p, "the worker leaves")
				s.stopGangOf(p, "the worker of another gang member is shutting down")
			}
		}
	}
}

// minProgressPercent is the least progress from which the end of a run is extrapolated.
const minProgressPercent = 5

// extrapolateEnd extrapolates the end of a run linearly from its progress so far. It returns the zero time if there is too
// little progress, or for long-running tasks.
func (p *placement) extrapolateEnd() time.Time {
	if p.state != running || p.task == nil || p.task.unit.step.LongRunning || p.percent-p.firstPercent < minProgressPercent {
		return time.Time{}
	}
	perPercent := p.percentChangedAt.Sub(p.firstReportAt) / time.Duration(p.percent-p.firstPercent)
	return p.percentChangedAt.Add(time.Duration(100-p.percent) * perPercent)
}

// remainingRunTime estimates how long a run will still take, from its progress or, without enough of it, from the expected
// duration of its task.
func (s *Scheduler) remainingRunTime(p *placement, now time.Time) time.Duration {
	if p.task.unit.step.LongRunning {
		return 1 << 50
	}
	if p.expectedEnd.IsZero() {
		return max(s.expectedDuration(p.task.unit)-now.Sub(p.orderedAt), 0)
	}
	return p.expectedEnd.Sub(now)
}
