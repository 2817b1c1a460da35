package scheduler

import (
	"slices"
	"time"
)

// A stale call is one that was meant for an earlier incarnation of a worker. The next incarnation under the same ID carries it out all the
// same, until it has seen the higher fencing token of a call that is meant for it. Its deadline, on another clock, may set a lease up to
// the longest that the worker grants.

// WorkerUse is what a successor of an owner has to know about a worker on which tasks may run.
type WorkerUse struct {
	Incarnation int64 // on which tasks may run; 0 if it is not known
	// StaleLease means that a stale call may have set the lease of this incarnation.
	StaleLease bool
}

// previousUse is how the previous owner used a worker.
type previousUse struct {
	WorkerUse
	staleLeaseUntil time.Time // when the lease that a stale call may have set has expired at the latest; zero if there was none
}

// SetPreviousUse records how the previous owner used a worker. What it started there runs on that incarnation. A worker without a record
// may have been used as any incarnation.
func (s *Scheduler) SetPreviousUse(now time.Time, workerID string, use WorkerUse) {
	p := previousUse{WorkerUse: use}
	if use.StaleLease {
		p.staleLeaseUntil = now.Add(s.cfg.StaleLease)
	}
	s.previousUses[workerID] = p
}

// Use returns what a successor has to know about a worker.
func (s *Scheduler) Use(workerID string, now time.Time) WorkerUse {
	w := s.workers[workerID]
	if w == nil || !w.fenced && s.IsUnresolved(workerID) {
		return s.previousUses[workerID].WorkerUse
	}
	return WorkerUse{Incarnation: w.info.Incarnation, StaleLease: w.mayGetStaleCalls || now.Before(w.staleLeaseUntil)}
}

// MayGetStaleCalls reports whether stale calls may still reach the present incarnation of a worker.
func (s *Scheduler) MayGetStaleCalls(workerID string) bool {
	w := s.workers[workerID]
	return w != nil && w.mayGetStaleCalls
}

// mayHaveFormerIncarnation reports whether an earlier incarnation than the given one may have received calls.
func (s *Scheduler) mayHaveFormerIncarnation(info WorkerInfo) bool {
	use := s.previousUses[info.ID]
	return use.Incarnation != info.Incarnation || use.StaleLease
}

// extendForStaleStarts extends the lease of a worker of which a later incarnation is listed, if that one may have carried out a start to
// which nobody has seen an answer.
func (s *Scheduler) extendForStaleStarts(w *worker, now time.Time) {
	if slices.ContainsFunc(w.placements, (*placement).unanswered) {
		w.extendLease(now.Add(s.cfg.StaleLease))
	}
}

// noteFence applies a report of a worker that stale calls could reach. Until it was sent, they may have set a lease.
func (s *Scheduler) noteFence(w *worker, unfenced bool, now time.Time) {
	if !w.mayGetStaleCalls && !unfenced {
		return
	}
	w.mayGetStaleCalls = unfenced
	w.staleLeaseUntil = now.Add(s.cfg.StaleLease)
	w.extendLease(w.staleLeaseUntil)
}
