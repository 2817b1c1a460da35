package scheduler

import "time"

const (
	// quarantineWait is how long a unit without a place waits before its tasks may start on quarantined workers. A job with room
	// must not have nothing running for 3 s. Long-running tasks, which have no limit of attempts, wait for preemptionWait, and only
	// while runs are being stopped for them.
	quarantineWait = 2 * time.Second
	preemptionWait = 500 * time.Millisecond
)

// mayUseQuarantined reports whether tasks of a unit may start on quarantined workers, because it would have to wait too long otherwise.
// Other tasks than long-running ones have a limit of attempts and avoid these workers while others are about to have room.
func (s *Scheduler) mayUseQuarantined(c candidate, now time.Time) bool {
	u := c.unit
	switch {
	case s.quarantined == 0 || u.unplacedSince.IsZero():
		return false
	case c.longRunning():
		return !u.makesRoom || now.Sub(u.unplacedSince) >= preemptionWait
	case now.Sub(u.unplacedSince) < quarantineWait:
		return false
	}
	return s.lowUse(u.job.queue.Service) || !s.fitsWithoutQuarantined(c, now)
}

// fitsWithoutQuarantined reports whether a task of the unit, or its whole gang, would fit on the workers without quarantine if nothing
// else ran there. It is called while the unit may not use quarantined workers.
func (s *Scheduler) fitsWithoutQuarantined(c candidate, now time.Time) bool {
	u := c.unit
	needed := 1
	if u.step.Gang {
		needed = c.waiting
	}
	for _, w := range s.sortedWorkers {
		if _, denied := u.denied[w.info.ID]; denied || !s.canRun(u, w, now) {
			continue
		}
		places := min(countFitting(w.info.Capacity, u.resources()), maxRunsPerWorker)
		if u.step.MaxPerWorker > 0 {
			places = min(places, u.step.MaxPerWorker)
		}
		if needed -= places; needed <= 0 {
			return true
		}
	}
	return false
}

// noteUnplaced notes that the unit has tasks that found no place, or that enough of them did: all of a long-running unit, and one of
// another.
func (u *unit) noteUnplaced(waiting, placed int, now time.Time) {
	if placed > 0 {
		u.blursSince = time.Time{}
	}
	switch {
	case placed == waiting || placed > 0 && !u.step.LongRunning:
		u.unplacedSince = time.Time{}
	case u.unplacedSince.IsZero():
		u.unplacedSince = now
	}
}
