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

// Covers reports whether a successor that knows u counts the leases of a worker whose present use is the given one.
func (u WorkerUse) Covers(present WorkerUse) bool {
	return u.Incarnation == present.Incarnation && (u.StaleLease || !present.StaleLease)
}

// staleCallLimit is the time after which no call to an earlier incarnation is carried out any more. Calls are late by seconds.
const staleCallLimit = 30 * time.Second

// lastUse is how a worker was used last that the scheduler has not listed yet, or not any more.
type lastUse struct {
	WorkerUse
	notedAt         time.Time // while the worker was in use, or afterwards
	staleLeaseUntil time.Time // when the lease that a stale call may have set has expired at the latest; zero if there was none
	clockZero       ClockZero // of the used incarnation
	listedAs        int64     // last incarnation other than the used one that the list has shown while the worker was unresolved
}

// SetPreviousUse records how the previous owner used a worker, which may go on until the given time. What it started there runs on that
// incarnation.
func (s *Scheduler) SetPreviousUse(workerID string, use WorkerUse, until time.Time) {
	u := lastUse{WorkerUse: use, notedAt: until}
	if use.StaleLease {
		u.staleLeaseUntil = until.Add(s.cfg.StaleLease)
	}
	s.lastUses[workerID] = u
}

// LimitPreviousUse records that the previous owner does not go on after the given time. Nothing is known of the owners before it.
func (s *Scheduler) LimitPreviousUse(until time.Time) {
	limit := until.Add(s.cfg.StaleLease)
	for id, unresolved := range s.unresolved {
		u := s.lastUses[id]
		if !unresolved.inherited && limit.Before(u.staleLeaseUntil) {
			u.staleLeaseUntil = limit
			s.lastUses[id] = u
		}
	}
}

// noteListed notes the entry of an unresolved worker. Before another incarnation than the used one answers, it may carry out a start to
// which no owner has seen an answer, also one that the previous owner sends until it stops.
func (s *Scheduler) noteListed(info WorkerInfo, now time.Time) {
	u := s.lastUses[info.ID]
	if s.IsUnresolved(info.ID) && info.Incarnation != u.Incarnation && info.Incarnation != u.listedAs {
		from := now
		if u.notedAt.After(now) {
			from = u.notedAt
		}
		u.listedAs, u.staleLeaseUntil = info.Incarnation, from.Add(s.cfg.StaleLease)
		s.lastUses[info.ID] = u
	}
}

// noteLastUse records how a worker was used that is removed now. Of an unresolved worker, the previous owner's use remains known: its
// entry may be gone while runs go on.
func (s *Scheduler) noteLastUse(w *worker, now time.Time) {
	if s.IsUnresolved(w.info.ID) {
		return
	}
	s.lastUses[w.info.ID] = lastUse{WorkerUse: s.Use(w.info.ID, now), notedAt: now, clockZero: s.ClockZero(w.info.ID)}
}

// expireLastUses forgets the workers that no stale call can reach any more.
func (s *Scheduler) expireLastUses(now time.Time) {
	for id, u := range s.lastUses {
		if now.Sub(u.notedAt) > staleCallLimit && !s.IsUnresolved(id) {
			delete(s.lastUses, id)
		}
	}
}

// Use returns what a successor has to know about a worker.
func (s *Scheduler) Use(workerID string, now time.Time) WorkerUse {
	w := s.workers[workerID]
	if w == nil || !w.fenced && s.IsUnresolved(workerID) {
		u := s.lastUses[workerID]
		return WorkerUse{Incarnation: u.Incarnation, StaleLease: u.StaleLease || now.Before(u.staleLeaseUntil)} // its entry may be gone for a successor
	}
	return WorkerUse{Incarnation: w.info.Incarnation, StaleLease: w.mayGetStaleCalls || now.Before(w.staleLeaseUntil)}
}

// IsPresent reports whether the incarnation of a worker is its present one, as far as this owner knows.
func (s *Scheduler) IsPresent(workerID string, incarnation int64) bool {
	w := s.workers[workerID]
	return w != nil && w.info.Incarnation == incarnation
}

// MayGetStaleCalls reports whether stale calls may still reach the present incarnation of a worker.
func (s *Scheduler) MayGetStaleCalls(workerID string) bool {
	w := s.workers[workerID]
	return w != nil && w.mayGetStaleCalls
}

// mayHaveEarlierIncarnation reports whether an earlier incarnation than the given one may have received calls a short time ago. A worker
// of which nothing is known may have been used by an owner before the previous one, unless the term is older than that.
func (s *Scheduler) mayHaveEarlierIncarnation(info WorkerInfo, now time.Time) bool {
	if u, known := s.lastUses[info.ID]; known {
		return u.Incarnation != info.Incarnation || u.StaleLease
	}
	return now.Sub(s.cfg.Began) < staleCallLimit
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
	s.noteStaleLease(w, now)
}

// noteStaleLease notes that a stale call may have set the lease of a worker until now.
func (s *Scheduler) noteStaleLease(w *worker, now time.Time) {
	w.staleLeaseUntil = now.Add(s.cfg.StaleLease)
	w.extendLease(w.staleLeaseUntil)
}
