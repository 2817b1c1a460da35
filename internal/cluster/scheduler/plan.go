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

// Plan makes a complete plan: it drops the runs whose leases have expired, stops stalled runs and runs that would not end
// before their worker shuts down, opens the occurrences that are due, places waiting tasks and returns the orders to send.
// Long-running units come first, then queues by priority; within a priority the units that can still meet their latency
// objective come first, by their latest start, then those that are late. Compared with first come, first served, this order
// keeps short urgent tasks from waiting behind large jobs.
func (s *Scheduler) Plan(now time.Time) Plan {
	if now.Sub(s.workersCheckedAt) >= workerCheckInterval {
		s.checkWorkers(now)
	}
	s.expireUnresolved(now)
	for j := range s.futureOccurrences {
		s.openDueOccurrences(j, now)
	}
	s.reservations = reservations{}
	clear(s.lowUseServices)
	clear(s.changedUnits)
	s.expireNominations(now)
	s.adviceQueue.clear()
	s.resetQuotaWaits()
	s.updateUncertainUse(now)
	s.moveUpJobs(now)
	plan := s.planUnits(maps.Keys(s.open), now)
	s.noteQuotaWaits(now)
	return plan
}

// workerCheckInterval is the minimum time between two checks of all workers. A plan is made more often while tasks wait.
const workerCheckInterval = 50 * time.Millisecond

// checkWorkers drops the runs whose leases have expired, and stops stalled runs and those that would not end before their worker
// shuts down.
func (s *Scheduler) checkWorkers(now time.Time) {
	s.workersCheckedAt = now
	s.expireWorkers(now)
	s.expireSilences(now)
	s.expireLastUses(now)
	s.storeSlowStarts(now)
	s.interference.Sweep(now)
	s.stopStalled(now)
	s.stopOnDrainingWorkers(now)
}

// PlanChanged places only the tasks of units that have changed since they were last planned: new units, those whose job has
// become durable, those for which the policy service has answered, those with failed tasks or rejected starts, and gangs for
// which room has been made. With hundreds of waiting units a complete plan takes several milliseconds, too long to repeat it
// after every event, but a short task should not have to wait for the next one.
func (s *Scheduler) PlanChanged(now time.Time) Plan {
	s.replanNominations()
	s.replanReleased()
	units := slices.Collect(maps.Keys(s.changedUnits))
	clear(s.changedUnits)
	return s.planUnits(slices.Values(units), now)
}

func (s *Scheduler) planUnits(units iter.Seq[*unit], now time.Time) Plan {
	var plan Plan
	s.planNumber++
	s.classifyJobs(now)
	if s.teams.uncertainChanged {
		s.updateUncertainUse(now)
	}
	s.startLimiter.refill(now)
	if now.Sub(s.headroomsUpdatedAt) >= headroomUpdateInterval {
		s.updateHeadrooms(now)
	}
	for _, c := range s.candidates(units, now) {
		c.adviceOnly = c.adviceOnly || s.suspended
		s.planUnit(c, now, &plan)
	}
	plan.Stops, s.stops = s.stops, nil
	return plan
}

// planUnit places tasks of one unit, and queues an advice request if some find no worker.
func (s *Scheduler) planUnit(c candidate, now time.Time, plan *Plan) {
	u := c.unit
	if s.waitsForQuota(c, now) {
		return
	}
	if now.Before(u.notBefore) || u.awaitsAdvice(now) && len(u.tickets) == 0 || s.startsHeldBack(u, now) {
		return
	}
	s.identifyKind(u, now)
	u.usesQuarantined = false
	u.usesQuarantined = s.mayUseQuarantined(c, now)
	placed := 0
	switch {
	case c.adviceOnly:
	case u.step.Gang:
		placed = s.placeGang(c, now, plan)
		u.noteUnplaced(c.waiting, placed, now)
	default:
		placed = s.placeTasks(c, now, plan)
	}
	if placed == c.waiting {
		s.unitPlaced(u)
	}
	c.waiting -= placed
	if c.waiting == 0 || !s.quotaAllowsMore(c) {
		return
	}
	s.noteFull(c, now)
	if u.needsAdvice(now) && !(c.adviceOnly && u.hasTicket(now)) && (u.step.Gang || u.usesQuarantined || s.leavesHeadroom(u) || s.heldBackByHeadroom(u, now)) {
		s.adviceQueue.add(c)
	}
}

// placeTasks places the waiting tasks of a unit that is not a gang one by one, and returns how many found a worker.
func (s *Scheduler) placeTasks(c candidate, now time.Time, plan *Plan) int {
	placed := 0
	workers, heldBack := s.usableWorkers(c, now)
	c.unit.makesRoom = false
	defer func() {
		c.unit.noteHeldBack(heldBack, placed, now)
		c.unit.noteUnplaced(c.waiting, placed, now)
	}()
	quotaPlaces := s.quotaPlaces(c)
	for t := range c.unit.tasks.waiting(now) {
		if quotaPlaces == 0 {
			break
		}
		quotaPlaces--
		if s.startsHeldBack(c.unit, now) {
			break
		}
		// The headroom is a share of what the workers without quarantine have free, so it never leaves room on the others.
		usable := s.outsideHeadroom(c.unit, workers)
		leavesHeadroom := len(usable) > 0
		if !leavesHeadroom && (c.unit.usesQuarantined || s.heldBackByHeadroom(c.unit, now)) {
			usable = workers
		}
		startable, bound := s.startableOn(t, usable, now)
		w := s.chooseWorker(t, startable, now)
		if w == nil && bound {
			quotaPlaces++
			continue
		}
		if w == nil {
			if !c.longRunning() {
				break // the other tasks need the same resources
			}
			c.unit.makesRoom = s.claimQuota(c, 1) && s.preempt(t, workers, now) || c.unit.makesRoom
			continue
		}
		run := s.nextRunNumber(t.run, c.unit.job.inherited)
		plan.Starts = append(plan.Starts, s.startRun(t, w, run, now))
		placed++
		if !leavesHeadroom || w.health.quarantined(now) && !c.longRunning() {
			break // one task shows whether the worker fails everything; the others keep their attempts
		}
	}
	return placed
}

// chooseWorker returns the worker for a task, or nil if it fits on none.
func (s *Scheduler) chooseWorker(t *task, workers []*worker, now time.Time) *worker {
	if s.risky(t, now) {
		return leastAtStake(t, workers, now)
	}
	return bestFit(t, workers, now)
}

// placeGang places all tasks of a gang or none (gang scheduling) and returns how many it placed. If the gang does not fit and is
// overdue, less urgent runs are stopped for it. If it is not overdue or that does not help, and it is not late, workers are reserved
// for it.
func (s *Scheduler) placeGang(c candidate, now time.Time, plan *Plan) int {
	u := c.unit
	chosen, waits := s.takeNomination(c, now)
	if waits {
		return 0
	}
	workers, heldBack := s.usableWorkers(c, now)
	if chosen == nil {
		chosen = s.assignGang(u, workers, now)
	}
	u.noteHeldBack(heldBack, len(chosen), now)
	if chosen == nil && (c.beyondShare || s.hasBoundTasks(u, now) || !s.claimQuota(c, c.waiting)) {
		return 0
	}
	if chosen == nil {
		if c.overdue(now) {
			s.nominate(c, workers, now)
		}
		if len(u.nomination.workers) == 0 && !c.late {
			s.reserve(c, s.workersToReserve(c, workers, now), now)
		}
		return 0
	}
	u.endQuotaHold()
	u.run = s.nextRunNumber(u.run, u.job.inherited)
	for t := range u.tasks.waiting(now) {
		plan.Starts = append(plan.Starts, s.startRun(t, chosen[0], u.run, now))
		chosen = chosen[1:]
	}
	return c.waiting
}

// assignGang finds a worker for each waiting task of a gang, or returns nil. If the gang runs slower across several racks, it first
// tries to fit all tasks into one rack.
func (s *Scheduler) assignGang(u *unit, workers []*worker, now time.Time) []*worker {
	if u.step.SameRack {
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
			if chosen := s.assignAll(u, byRack[r], now); chosen != nil {
				return chosen
			}
		}
	}
	return s.assignAll(u, workers, now)
}

// assignAll chooses the best-fitting worker for each waiting task of a unit in turn, or returns nil if one finds none. It starts nothing and
// does not change the workers.
func (s *Scheduler) assignAll(u *unit, workers []*worker, now time.Time) []*worker {
	var chosen []*worker
	assignedResources := map[*worker]workload.Resources{}
	assignedTasks := map[*worker]int{}
	needed := u.resources()
	limit := u.step.MaxPerWorker
	for t := range u.tasks.waiting(now) {
		var bestWorker *worker
		var bestLeft int64
		startable, _ := s.startableOn(t, workers, now)
		for _, w := range startable {
			free := w.free().Sub(assignedResources[w])
			if w.runsLeft() <= assignedTasks[w] || !free.CanFit(needed) || limit > 0 && w.countTasksOf(t.unit)+assignedTasks[w] >= limit {
				continue
			}
			left := free.CPUMilli + t.penalty(w, now) + u.interferencePenalty(w, assignedTasks[w])
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
// duration of its task. For a long-running task, whose end is unknown, it returns 13 days.
func (s *Scheduler) remainingRunTime(p *placement, now time.Time) time.Duration {
	if p.task.unit.step.LongRunning {
		return 1 << 50
	}
	if p.expectedEnd.IsZero() {
		return max(s.expectedDuration(p.task.unit)-now.Sub(p.orderedAt), 0)
	}
	return p.expectedEnd.Sub(now)
}
