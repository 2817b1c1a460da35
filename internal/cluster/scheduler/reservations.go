package scheduler

import "time"

const (
	// reservedShareDivisor limits reservations: once more than 1/reservedShareDivisor of the workers are reserved, no further gang
	// gets a reservation.
	reservedShareDivisor = 2
	// maxReservationAhead is how long before its expected start a gang may reserve workers, and startPrecision how precisely that start
	// is determined.
	maxReservationAhead = 5 * time.Second
	startPrecision      = 400 * time.Millisecond
	// maxReservationTime is how long after its first reservation a gang may have others.
	maxReservationTime = 10 * time.Second
	// maxHeldBack is how long reservations may hold a unit back while less than 1/lowUseDivisor of its service's capacity is in use. A
	// job that has room must not have nothing running for 3 s then.
	maxHeldBack   = 2 * time.Second
	lowUseDivisor = 2
	// backfillMargin is the time between the expected end of a run and the expected start of the gang whose reservation it may use.
	backfillMargin = 100 * time.Millisecond
	// overrunTolerance is how long after its expected end a run is still expected to end soon.
	overrunTolerance = time.Second
)

// reservation keeps a worker for a gang that does not fit yet, but is expected to fit at a known time. Units that come later in the
// planning order than the gang get no place there, unless they end before that time (backfill) or can be stopped in favour of the gang;
// more urgent ones do.
type reservation struct {
	holder candidate
	until  time.Time // the gang is not expected to start before
}

type reservations map[*worker]reservation

// reserve reserves workers for a gang that does not fit: those with room for a member at the time at which all are expected to fit. More
// than it needs are reserved, since some runs last longer than expected. A worker that is reserved keeps its reservation. There is no
// reservation if the gang is not expected to fit soon, since the room that it waits for may never come free, nor if too many workers are
// reserved already, or if it has had reservations for too long.
func (s *Scheduler) reserve(c candidate, workers []*worker, now time.Time) {
	u := c.unit
	if len(s.reservations) > len(s.sortedWorkers)/reservedShareDivisor {
		return
	}
	if !u.firstReserved.IsZero() && now.Sub(u.firstReserved) > maxReservationTime {
		return
	}
	earliest, start, found := s.expectedStart(c, workers, now)
	if !found {
		return
	}
	if u.firstReserved.IsZero() {
		u.firstReserved = now
	}
	for _, w := range workers {
		if _, reserved := s.reservations[w]; !reserved && s.placesAt(u, w, start, now) > 0 {
			s.reservations[w] = reservation{c, earliest}
		}
	}
}

// expectedStart returns a time within maxReservationAhead at which all members of a gang are expected to fit on the workers, by the known
// ends of the runs there, and a time at most startPrecision before at which they are not. The last result is false if there is none.
func (s *Scheduler) expectedStart(c candidate, workers []*worker, now time.Time) (before, start time.Time, found bool) {
	fits := func(at time.Time) bool {
		places := 0
		for _, w := range workers {
			if places += s.placesAt(c.unit, w, at, now); places >= c.waiting {
				return true
			}
		}
		return false
	}
	early, late := now, now.Add(maxReservationAhead)
	if !fits(late) {
		return time.Time{}, time.Time{}, false
	}
	for late.Sub(early) > startPrecision {
		if middle := early.Add(late.Sub(early) / 2); fits(middle) {
			late = middle
		} else {
			early = middle
		}
	}
	return early, late, true
}

// placesAt returns how many tasks of the unit are expected to fit on the worker at a time.
func (s *Scheduler) placesAt(u *unit, w *worker, at, now time.Time) int {
	free, runs, own := w.free(), w.runsLeft(), 0
	for _, p := range w.placements {
		switch {
		case s.endsBy(p, at, now):
			free = free.Add(p.resources)
			runs++
		case p.task != nil && p.task.unit == u:
			own++
		}
	}
	places := min(countFitting(free, u.resources()), runs)
	if limit := u.step.MaxPerWorker; limit > 0 {
		places = min(places, limit-own)
	}
	return max(places, 0)
}

// endsBy reports whether a run is expected to end by a time, from its progress or, without enough of it, from the expected duration of
// its task. Nothing is known of a run that should have ended long before, or that is long-running.
func (s *Scheduler) endsBy(p *placement, at, now time.Time) bool {
	switch {
	case p.state == stopping:
		return true
	case p.task == nil || p.task.unit.step.LongRunning:
		return false
	}
	end := p.expectedEnd
	if end.IsZero() {
		end = p.orderedAt.Add(s.expectedDuration(p.task.unit))
	}
	return !end.After(at) && now.Sub(end) <= overrunTolerance
}

// excludes reports whether the worker is reserved for a gang that comes before the unit in the planning order.
func (s *Scheduler) excludes(c candidate, w *worker, now time.Time) bool {
	r, reserved := s.reservations[w]
	if !reserved || r.holder.unit == c.unit || !r.holder.before(c) || !c.late && c.unit.preemptibleFor(r.holder.unit) {
		return false
	}
	return !s.backfills(c.unit, r.until, now) && !s.heldBackTooLong(c.unit, now)
}

// backfills reports whether tasks of the unit may use workers that are reserved from the given time on: if they start now, they are
// expected to end some time before.
func (s *Scheduler) backfills(u *unit, reservedFrom, now time.Time) bool {
	d := s.expectedDuration(u)
	return d > 0 && !u.step.LongRunning && now.Add(d+backfillMargin).Before(reservedFrom)
}

// heldBackTooLong reports whether reservations must not hold the unit back any more.
func (s *Scheduler) heldBackTooLong(u *unit, now time.Time) bool {
	return !u.heldBackSince.IsZero() && now.Sub(u.heldBackSince) >= maxHeldBack && s.lowUse(u.job.queue.Service)
}

// noteHeldBack notes whether reservations exclude the unit from workers while none of its tasks finds a place.
func (u *unit) noteHeldBack(heldBack bool, placed int, now time.Time) {
	switch {
	case placed > 0:
		u.heldBackSince = time.Time{}
	case heldBack && u.heldBackSince.IsZero():
		u.heldBackSince = now
	}
}

// lowUse reports whether less than 1/lowUseDivisor of a service's processors were in use when it was first asked after the last complete
// plan began. The capacity of workers that may be gone counts, and what runs on them does not.
func (s *Scheduler) lowUse(service string) bool {
	low, known := s.lowUseServices[service]
	if known {
		return low
	}
	var used, capacity int64 // millicores
	for _, w := range s.sortedWorkers {
		if w.info.Service != service {
			continue
		}
		capacity += w.info.Capacity.CPUMilli
		if w.acceptsStarts() {
			used += min(w.used.CPUMilli, w.info.Capacity.CPUMilli)
		}
	}
	low = used*lowUseDivisor < capacity
	s.lowUseServices[service] = low
	return low
}

// workersToReserve returns the workers that may be reserved for a gang that does not fit. Usually these are the ones that it may use
// now. A gang that has waited long also keeps the workers whose tickets have expired: approvals last, and tickets can be renewed once
// there is room.
func (s *Scheduler) workersToReserve(c candidate, usable []*worker, now time.Time) []*worker {
	if !c.overdue(now) {
		return usable
	}
	workers, _ := s.withoutReserved(c, s.approvedWorkers(c.unit, now, time.Time{}), now)
	return workers
}
