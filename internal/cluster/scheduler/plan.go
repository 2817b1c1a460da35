package scheduler

import (
	"iter"
	"maps"
	"slices"
	"sort"
	"strings"
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

// candidate is a unit with tasks that wait, and its place in the order.
type candidate struct {
	unit        *unit
	waiting     []*task
	priority    int
	late        bool
	latestStart time.Time
	unconfirmed bool // only the policy service may be asked, nothing may start
}

// lasting units come first: their tasks serve users of their own and have to be restarted however full the pool is.
func (c candidate) lasting() bool { return c.unit.step.LongRunning }

func (s *Scheduler) candidates(units iter.Seq[*unit], now time.Time) []candidate {
	var out []candidate
	for u := range units {
		if _, open := s.open[u]; !open {
			continue
		}
		blocked := s.blocked(u)
		if blocked && u.job.inherited {
			continue
		}
		waiting := u.pending(now)
		if len(waiting) == 0 {
			continue
		}
		if u.step.Gang && !blocked && !u.idle() {
			// Members of a gang are placed together, so the others wait in vain for one that is missing.
			s.stopUnit(u, "the gang is not complete")
			continue
		}
		latest := s.latestStart(u)
		out = append(out, candidate{unit: u, waiting: waiting, priority: u.job.queue.Priority, late: now.After(latest),
			latestStart: latest, unconfirmed: blocked})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].before(out[j]) })
	return out
}

// before orders units: urgent queues, then units that can be in time, then the earliest latest start. A late unit of an
// urgent queue stays ahead of the less urgent queues, which would otherwise fill the pool for as long as their tasks take.
func (c candidate) before(o candidate) bool {
	if c.lasting() != o.lasting() {
		return c.lasting()
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

// blocked reports whether tasks of the unit may run under the order of another owner: of an earlier one whose workers have
// not reported, or of a later one, as long as no commit has shown that there was none when the job was learned of.
func (s *Scheduler) blocked(u *unit) bool {
	if u.job.inherited {
		return len(s.unresolved) > 0
	}
	return u.job.learned > s.confirmed
}

// latestStart is when a unit has to start for its job to meet its objective.
func (s *Scheduler) latestStart(u *unit) time.Time {
	j := u.job
	total := time.Duration(0)
	for _, v := range u.occurrence.units {
		total = max(total, s.chain(u.occurrence, v.index))
	}
	due := j.spec.Due(u.occurrence.k)
	objective := due.Add(j.queue.TargetLatency + time.Duration(j.queue.SlackFactor*float64(total)))
	return objective.Add(-s.remaining(u))
}

// chain is the expected duration of the longest chain of steps that ends with the step.
func (s *Scheduler) chain(o *occurrence, step int) time.Duration {
	u := o.units[step]
	longest := time.Duration(0)
	for _, a := range u.step.After {
		longest = max(longest, s.chain(o, a))
	}
	return longest + s.estimate(u)
}

// remaining is the expected duration of the longest chain of steps that begins with the unit.
func (s *Scheduler) remaining(u *unit) time.Duration {
	longest := time.Duration(0)
	for _, f := range u.occurrence.units[u.index+1:] {
		if slices.Contains(f.step.After, u.index) {
			longest = max(longest, s.remaining(f))
		}
	}
	return longest + s.estimate(u)
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

// Penalties of a worker's fit, in thousandths of a core. Each exceeds every room that a worker can have, so a worker
// without the penalty is always preferred, and one with it still serves when there is no other.
const (
	farPenalty    = 1 << 30 // outside the rack of the data
	failedPenalty = 1 << 31 // a run of the task has failed there
)

// available reports whether the worker may get tasks now.
func (w *worker) available(now time.Time) bool {
	return w.startable() && w.fenced && !w.health.aside(now)
}

// startable reports whether tasks may be started on the worker, now or after its first report.
func (w *worker) startable() bool { return w.listed && !w.failing && !w.info.Draining }

// eligible reports whether the worker may run tasks of the unit at all.
func (s *Scheduler) eligible(u *unit, w *worker, now time.Time) bool {
	if !w.available(now) || w.info.Service != u.job.queue.Service {
		return false
	}
	if u.step.Requirement != "" && !slices.Contains(w.info.Labels, u.step.Requirement) {
		return false
	}
	return w.info.Capacity.Fits(u.resources()) && !w.disturbs(u)
}

// disturbs reports whether the worker runs tasks that the unit's must not be beside: tasks that fill up a worker slow down
// tasks that serve users within a latency target, by amounts that nobody can tell before.
func (w *worker) disturbs(u *unit) bool {
	serves := u.step.LatencyTarget > 0
	if !u.step.Filler && !serves {
		return false
	}
	for _, p := range w.placements {
		if p.task == nil {
			continue
		}
		other := p.task.unit.step
		if u.step.Filler && other.LatencyTarget > 0 || serves && other.Filler {
			return true
		}
	}
	return false
}

// usable returns the workers that may run tasks of the unit now: eligible, with a valid ticket and not held for others.
// Where tickets are needed only their workers are looked at, which is what keeps a plan short with hundreds of workers.
func (s *Scheduler) usable(u *unit, now time.Time, held map[*worker]bool) []*worker {
	var out []*worker
	if u.job.queue.Advice == nil {
		for _, w := range s.sorted {
			if !held[w] && s.eligible(u, w, now) {
				out = append(out, w)
			}
		}
		return out
	}
	for id, t := range u.tickets {
		if !t.expires.After(now) {
			continue
		}
		if w := s.workers[id]; w != nil && !held[w] && s.eligible(u, w, now) {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *worker) int { return strings.Compare(a.info.ID, b.info.ID) })
	return out
}

// best returns the worker with the least room left that fits the task, or nil.
func best(t *task, workers []*worker) *worker {
	u := t.unit
	size := u.resources()
	var found *worker
	var foundLeft int64
	for _, w := range workers {
		free := w.free()
		if !free.Fits(size) || u.step.MaxPerWorker > 0 && w.countOf(u) >= u.step.MaxPerWorker {
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
		penalty += farPenalty
	}
	if _, failed := t.avoid[w.info.ID]; failed {
		penalty += failedPenalty
	}
	return penalty
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

// progresses reports whether the run has shown enough progress to tell how long it still takes.
func (p *placement) progresses() bool {
	return p.state == running && p.task != nil && p.percent-p.firstPercent >= measurablePercent
}

// timeLeft estimates how long a run still takes: by its progress, or by its estimate before there is any.
func (s *Scheduler) timeLeft(p *placement, now time.Time) time.Duration {
	if p.task.unit.step.LongRunning {
		return 1 << 50
	}
	if !p.progresses() {
		return max(s.estimate(p.task.unit)-now.Sub(p.ordered), 0)
	}
	perPercent := p.percentAt.Sub(p.firstAt) / time.Duration(p.percent-p.firstPercent)
	return time.Duration(100-p.percent)*perPercent - now.Sub(p.percentAt)
}
