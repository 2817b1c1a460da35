package scheduler

import "time"

// startAttempts is the longest time from the order of a start to its result, with the wait for its worker and all attempts.
const startAttempts = 2 * time.Second

// mayRunUnseen reports whether an incarnation that no owner knows may run an unanswered start, so that its task has to wait although the
// lease of the worker has expired: the start may have been carried out until it was given up, and its deadline, on another clock, may have
// set the longest lease. A ticket prevents it, unless it was asked for after the restart. Long-running tasks don't wait: their users would
// be without them for longer than they may be.
func (s *Scheduler) mayRunUnseen(p *placement, now time.Time) bool {
	if !p.unanswered() || p.withTicket || p.task == nil || p.task.placement != p || p.task.unit.step.LongRunning {
		return false
	}
	givenUpAt := p.givenUpAt
	if givenUpAt.IsZero() {
		givenUpAt = p.orderedAt.Add(startAttempts)
	}
	return now.Before(givenUpAt.Add(s.cfg.StaleLease))
}

// placementsUnseen returns the placements of a worker that may run unseen; none while it answers.
func (s *Scheduler) placementsUnseen(w *worker, now time.Time) []*placement {
	var waiting []*placement
	if !w.unreachable {
		return nil
	}
	for _, p := range w.placements {
		if s.mayRunUnseen(p, now) {
			waiting = append(waiting, p)
		}
	}
	return waiting
}
