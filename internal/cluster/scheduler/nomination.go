package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

const (
	// maxNominatedShareDivisor limits the workers with nominated gangs to 1/maxNominatedShareDivisor of the service's, so that more
	// urgent tasks always find workers that nobody waits for.
	maxNominatedShareDivisor = 2
	// maxNomination is how long resources are held for a gang at most.
	maxNomination = 2 * time.Second
)

// nomination is the choice of workers for a gang that can start there as soon as other runs have ended. Until then its resources
// are held on the workers, so that no other task takes them.
type nomination struct {
	workers []*worker // by member
	expires time.Time // when the gang can't start there any more, since a ticket of one of the workers expires
}

// nominate chooses workers on which a gang fits once less urgent runs have been stopped, and stops these. It answers a pool that
// is filled by small tasks: without preemption they take each place as soon as it is free, and a wide gang never finds enough
// places at the same time. Only runs that resume from a checkpoint, and whose jobs can still meet their objectives afterwards,
// are stopped. It does nothing if stopping runs does not help.
func (s *Scheduler) nominate(c candidate, workers []*worker, now time.Time) {
	u := c.unit
	// Answers that are still to come may approve workers with free resources.
	if u.awaitsAdvice(now) || s.manyNominated(u.job.queue.Service) {
		return
	}
	ready := now.Add(s.servicePool(u.job.queue.Service).stopLatency.estimate())
	var rooms []*gangRoom
	for _, w := range workers {
		if u.ticketExpiry(w, now).After(ready) {
			rooms = append(rooms, newGangRoom(u, w, now))
		}
	}
	n := nomination{expires: now.Add(maxNomination)}
	var victims []*placement
	for range c.waiting {
		best := cheapestRoom(rooms)
		if best == nil {
			return
		}
		victims = append(victims, best.take()...)
		n.workers = append(n.workers, best.worker)
		n.expires = minTime(n.expires, u.ticketExpiry(best.worker, now))
	}
	for _, p := range victims {
		s.stopRun(p, "preempted to make room for a gang")
	}
	u.nomination = n
	if t := u.job.team; t != nil {
		t.held = t.held.Add(u.heldQuota())
	}
	for _, w := range n.workers {
		w.held = w.held.Add(u.resources())
	}
}

// ticketExpiry returns when the unit can't start on the worker any more for want of a valid ticket.
func (u *unit) ticketExpiry(w *worker, now time.Time) time.Time {
	if u.job.queue.PolicyService == nil {
		return now.Add(maxNomination)
	}
	return u.tickets[w.info.ID].expires
}

// manyNominated reports whether resources are held for gangs on so many of a service's workers that no further gang may be nominated.
func (s *Scheduler) manyNominated(service string) bool {
	workers, nominated := 0, 0
	for _, w := range s.sortedWorkers {
		if w.info.Service != service {
			continue
		}
		workers++
		if w.held != (workload.Resources{}) {
			nominated++
		}
	}
	return nominated > workers/maxNominatedShareDivisor
}

// takeNomination returns the nominated workers of a gang, by member, if all members fit there now. The second result is true
// while the gang has to wait for them. A nomination that has expired, or that lacks a worker, is dropped.
func (s *Scheduler) takeNomination(c candidate, now time.Time) ([]*worker, bool) {
	u := c.unit
	n := u.nomination
	if len(n.workers) == 0 {
		return nil, false
	}
	ready := true
	usable := len(n.workers) == c.waiting && now.Before(n.expires)
	for _, w := range n.workers {
		usable = usable && s.canRun(u, w, now)
		ready = ready && !w.blursCrash(u, false, now) && w.free().CanFit(workload.Resources{}) // the resources of all members are held already
	}
	if usable && !ready {
		return nil, true
	}
	u.dropNomination()
	if !usable {
		return nil, false
	}
	return n.workers, false
}

// replanNominations lets PlanChanged consider the nominated gangs if resources have been freed on workers of theirs.
func (s *Scheduler) replanNominations() {
	if !s.nominationsChanged {
		return
	}
	s.nominationsChanged = false
	for u := range s.open {
		if len(u.nomination.workers) > 0 {
			s.changedUnits[u] = struct{}{}
		}
	}
}

// expireNominations drops the nominations that have expired, also of gangs that are not planned at the moment.
func (s *Scheduler) expireNominations(now time.Time) {
	s.nominationsChanged = false
	for u := range s.open {
		if len(u.nomination.workers) > 0 && !now.Before(u.nomination.expires) {
			u.dropNomination()
		}
	}
}

// dropNomination releases the resources that are held for the unit.
func (u *unit) dropNomination() {
	if t := u.job.team; t != nil && len(u.nomination.workers) > 0 {
		t.held = t.held.Sub(u.heldQuota())
		t.noteReleased()
	}
	for _, w := range u.nomination.workers {
		w.held = w.held.Sub(u.resources())
	}
	u.nomination = nomination{}
}

// gangRoom is the room for members of one gang on one worker, beside the members that it is to get already.
type gangRoom struct {
	worker      *worker
	size        workload.Resources
	free        workload.Resources // once runs that are being stopped have ended
	membersLeft int                // how many more members the worker may get
	stoppable   []*placement       // runs that may be stopped, in this order
	next        []*placement       // runs to stop for the next member
	nextCost    int64              // millicores of next
	hasNext     bool               // there is room for another member
}

func newGangRoom(u *unit, w *worker, now time.Time) *gangRoom {
	r := &gangRoom{worker: w, size: u.resources(), membersLeft: u.tasks.count}
	if limit := u.step.MaxPerWorker; limit > 0 {
		r.membersLeft = limit - w.countTasksOf(u)
	}
	r.free, r.stoppable = w.freeAfterStops(func(p *placement) bool { return p.preemptibleFor(u, now) })
	// The runs with the most work left come first: the others are about to free their resources anyway.
	slices.SortFunc(r.stoppable, func(a, b *placement) int { return cmp.Compare(a.percent, b.percent) })
	r.findNext()
	return r
}

// findNext determines which runs have to be stopped for one more member.
func (r *gangRoom) findNext() {
	r.next, r.nextCost, r.hasNext = nil, 0, false
	if r.membersLeft <= 0 {
		return
	}
	free := r.free
	for !free.CanFit(r.size) {
		if len(r.next) == len(r.stoppable) {
			return
		}
		p := r.stoppable[len(r.next)]
		r.next = r.stoppable[:len(r.next)+1]
		r.nextCost += p.resources.CPUMilli
		free = free.Add(p.resources)
	}
	r.hasNext = true
}

// take assigns a member to the worker and returns the runs to stop for it.
func (r *gangRoom) take() []*placement {
	stopped := r.next
	for _, p := range stopped {
		r.free = r.free.Add(p.resources)
	}
	r.free = r.free.Sub(r.size)
	r.stoppable = r.stoppable[len(stopped):]
	r.membersLeft--
	r.findNext()
	return stopped
}

// cheapestRoom returns the room in which one more member needs the least work to be stopped, and among equals the one with the
// least free CPU. It returns nil if there is no room.
func cheapestRoom(rooms []*gangRoom) *gangRoom {
	var best *gangRoom
	for _, r := range rooms {
		if !r.hasNext {
			continue
		}
		if best == nil || r.nextCost < best.nextCost || r.nextCost == best.nextCost && r.free.CPUMilli < best.free.CPUMilli {
			best = r
		}
	}
	return best
}

// preemptibleFor reports whether the run may be stopped in favour of a gang: it belongs to a less urgent queue, is no gang
// member, resumes from a checkpoint and leaves its job in time even if it starts again from the beginning.
func (p *placement) preemptibleFor(gang *unit, now time.Time) bool {
	return p.preemptible() && p.task.unit.preemptibleFor(gang) && now.Before(p.task.unit.latestStart)
}

// preemptibleFor reports whether runs of the unit may be stopped in favour of a gang while their job is not late.
func (u *unit) preemptibleFor(gang *unit) bool {
	return u.step.Checkpointing && !u.step.Gang && !u.step.LongRunning && u.job.queue.Priority > gang.job.queue.Priority
}

// obtainableAt returns the resources of a worker that a gang can get at a later time: those that are free by then, and those of
// runs that may be stopped for it.
func (w *worker) obtainableAt(later time.Time, gang *unit, now time.Time) workload.Resources {
	free := w.freeAt(later)
	for _, p := range w.placements {
		if p.preemptibleFor(gang, now) && !p.endsBefore(later) {
			free = free.Add(p.resources)
		}
	}
	return free
}

// recordFreed records that a run has ended and freed its resources. A gang that is nominated for its worker may fit now.
func (s *Scheduler) recordFreed(p *placement, now time.Time) {
	if p.state == stopping && !p.stopAckedAt.IsZero() {
		s.servicePool(p.worker.info.Service).stopLatency.observe(now.Sub(p.stopAckedAt))
	}
	if p.worker.held != (workload.Resources{}) {
		s.nominationsChanged = true
	}
}

const (
	// defaultStopLatency is assumed until stops have been observed.
	defaultStopLatency = 500 * time.Millisecond
	// newestStopWeight is the weight of the newest observation in the exponential moving average.
	newestStopWeight = 0.1
	// stopLatencyMargin is how many times the average a stop may take; most take less than twice the average.
	stopLatencyMargin = 2
)

// stopLatency estimates how long it takes from the acknowledgement of a stop order until the resources of the run are known to
// be free.
type stopLatency struct{ average time.Duration }

func (l *stopLatency) observe(d time.Duration) {
	if l.average == 0 {
		l.average = defaultStopLatency
	}
	l.average += time.Duration(newestStopWeight * float64(d-l.average))
}

func (l *stopLatency) estimate() time.Duration {
	if l.average == 0 {
		return defaultStopLatency
	}
	return stopLatencyMargin * l.average
}
