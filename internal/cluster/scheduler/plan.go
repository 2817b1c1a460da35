package scheduler

import (
	"iter"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// Plan are the orders that follow from the state.
type Plan struct {
	Starts []Start
	Stops  []Stop
}

// Plan expires what time has ended, places the tasks that wait and returns the orders to send. Queues of the most urgent
// priority come first, then the units that can still meet their objective by their latest start, then the others.
// Measured against first come, first served it keeps short urgent tasks from waiting behind large jobs.
func (s *Scheduler) Plan(now time.Time) Plan {
	s.expireUnresolved(now)
	s.expireWorkers(now)
	s.stopStalled(now)
	s.evacuate(now)
	for j := range s.timed {
		s.openDue(j, now)
	}
	s.held = map[*worker]bool{}
	clear(s.soon)
	s.questions.clear()
	return s.planUnits(maps.Keys(s.open), now)
}

// PlanSoon places only tasks of units for which something has changed since they were planned: new ones, those that have
// got an answer of the policy service and those whose tasks have failed. Load: with hundreds of waiting units a complete
// plan takes several milliseconds and can't follow each event, but a short task should not wait for the next one.
func (s *Scheduler) PlanSoon(now time.Time) Plan {
	units := slices.Collect(maps.Keys(s.soon))
	clear(s.soon)
	return s.planUnits(slices.Values(units), now)
}

func (s *Scheduler) planUnits(units iter.Seq[*unit], now time.Time) Plan {
	var plan Plan
	for _, c := range s.candidates(units, now) {
		s.planUnit(c, now, s.held, &plan)
	}
	plan.Stops, s.stops = s.stops, nil
	return plan
}

func (s *Scheduler) planUnit(c candidate, now time.Time, held map[*worker]bool, plan *Plan) {
	u := c.unit
	if now.Before(u.notUntil) || u.asking && len(u.tickets) == 0 && now.Sub(u.askedAt) < adviceTimeout {
		return
	}
	placed := 0
	switch {
	case c.unconfirmed:
	case u.step.Gang:
		placed = s.placeGang(c, now, held, plan)
	default:
		placed = s.placeTasks(c, now, held, plan)
	}
	if len(c.waiting) > placed && u.needsAdvice(now) && !(c.unconfirmed && u.hasTicket(now)) {
		s.questions.add(c)
	}
}

func (s *Scheduler) placeTasks(c candidate, now time.Time, held map[*worker]bool, plan *Plan) int {
	placed := 0
	eligible := s.usable(c.unit, now, held)
	for _, t := range c.waiting {
		w := best(t, eligible)
		if w == nil {
			if c.lasting() {
				s.preempt(t, eligible, now)
			}
			continue
		}
		run := s.nextRun(t.run, c.unit.job.inherited)
		plan.Starts = append(plan.Starts, s.start(t, w, run, now))
		placed++
	}
	return placed
}

// maxHeldGangs bounds the gangs for which places are kept free, so that one that can't be placed does not idle the pool.
const maxHeldGangs = 2

// placeGang places all tasks of a gang or none. If it does not fit, the workers that it may use are held for it against
// units that come later in the order.
func (s *Scheduler) placeGang(c candidate, now time.Time, held map[*worker]bool, plan *Plan) int {
	u := c.unit
	usable := s.usable(u, now, held)
	chosen := s.fitGang(c.waiting, usable)
	if chosen == nil {
		if !c.late && len(usable) > 0 {
			s.hold(usable, held)
		}
		return 0
	}
	u.run = s.nextRun(u.run, u.job.inherited)
	for i, t := range c.waiting {
		plan.Starts = append(plan.Starts, s.start(t, chosen[i], u.run, now))
	}
	return len(c.waiting)
}

func (s *Scheduler) hold(workers []*worker, held map[*worker]bool) {
	if len(held) > len(s.sorted)/maxHeldGangs {
		return
	}
	for _, w := range workers {
		held[w] = true
	}
}

// fitGang finds a worker for each task, or nil. Racks are tried one by one first where the gang is slower on several.
func (s *Scheduler) fitGang(tasks []*task, workers []*worker) []*worker {
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
			if chosen := fitAll(tasks, byRack[r]); chosen != nil {
				return chosen
			}
		}
	}
	return fitAll(tasks, workers)
}

// fitAll assigns the tasks in turn and undoes nothing but its own bookkeeping: nothing is started.
func fitAll(tasks []*task, workers []*worker) []*worker {
	chosen := make([]*worker, 0, len(tasks))
	trial := map[*worker]workload.Resources{}
	count := map[*worker]int{}
	size := tasks[0].unit.resources()
	limit := tasks[0].unit.step.MaxPerWorker
	for _, t := range tasks {
		var bestWorker *worker
		var bestLeft int64
		for _, w := range workers {
			free := w.free().Sub(trial[w])
			if !free.Fits(size) || limit > 0 && w.countOf(t.unit)+count[w] >= limit {
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
		trial[bestWorker] = trial[bestWorker].Add(size)
		count[bestWorker]++
	}
	return chosen
}

// evacuate stops tasks on draining workers that would not end before the worker leaves and can go on elsewhere.
func (s *Scheduler) evacuate(now time.Time) {
	for _, w := range s.sorted {
		if !w.info.Draining || !w.fenced {
			continue
		}
		for _, p := range w.placements {
			if p.state == running && p.task != nil && p.task.placement == p && now.Add(s.timeLeft(p, now)).After(w.leavesAt) {
				s.stop(p, "the worker leaves")
				s.stopGangOf(p, "the worker of a member of the gang leaves")
			}
		}
	}
}

// measurablePercent is the least progress from which the time that a run still takes can be told.
const measurablePercent = 5

// endByProgress tells when the run will end by the progress that it has shown, or zero if that is too little.
func (p *placement) endByProgress() time.Time {
	if p.state != running || p.task == nil || p.task.unit.step.LongRunning || p.percent-p.firstPercent < measurablePercent {
		return time.Time{}
	}
	perPercent := p.percentAt.Sub(p.firstAt) / time.Duration(p.percent-p.firstPercent)
	return p.percentAt.Add(time.Duration(100-p.percent) * perPercent)
}

// timeLeft estimates how long a run still takes: by its progress, or by its estimate before there is any.
func (s *Scheduler) timeLeft(p *placement, now time.Time) time.Duration {
	if p.task.unit.step.LongRunning {
		return 1 << 50
	}
	if p.expectedEnd.IsZero() {
		return max(s.estimate(p.task.unit)-now.Sub(p.ordered), 0)
	}
	return p.expectedEnd.Sub(now)
}
