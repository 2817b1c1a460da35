package scheduler

import (
	"maps"
	"slices"
	"time"
)

// unresolvedWorker is a worker that has not reported to this owner and may still run tasks of an earlier one.
type unresolvedWorker struct {
	expiresAt time.Time // when the leases of these tasks have expired at the latest
	// inherited means that an owner before the previous one may still extend these leases.
	inherited bool
}

// AddUnresolvedWorker registers a worker on which the previous owner, but none before it, may have started tasks that still run.
// Until the worker has reported or expiresAt has passed, the scheduler starts no task that an earlier owner may have started.
func (s *Scheduler) AddUnresolvedWorker(workerID string, expiresAt time.Time) {
	s.unresolved[workerID] = unresolvedWorker{expiresAt: expiresAt}
}

// InheritUnresolvedWorker is AddUnresolvedWorker for a worker to which an owner before the previous one may still send orders.
// The end of the previous owner tells nothing about that one, so LimitUnresolvedLease does not apply to the worker.
func (s *Scheduler) InheritUnresolvedWorker(workerID string, expiresAt time.Time) {
	s.unresolved[workerID] = unresolvedWorker{expiresAt: expiresAt, inherited: true}
	s.earlierOwners = true
}

// UnresolvedWorkers returns the IDs of the workers that may run tasks of an earlier owner and have not reported yet.
func (s *Scheduler) UnresolvedWorkers() []string { return slices.Collect(maps.Keys(s.unresolved)) }

// IsUnresolved reports whether a worker may run tasks of an earlier owner and has not reported yet.
func (s *Scheduler) IsUnresolved(workerID string) bool {
	_, unresolved := s.unresolved[workerID]
	return unresolved
}

// InheritedWorkers returns the IDs of the unresolved workers to which an owner before the previous one may still send orders.
func (s *Scheduler) InheritedWorkers() []string {
	var ids []string
	for id, u := range s.unresolved {
		if u.inherited {
			ids = append(ids, id)
		}
	}
	return ids
}

// LimitUnresolvedLease records that the leases of all runs that the previous owner started expire at expiresAt at the latest. It returns
// the number of workers of which that was not known.
func (s *Scheduler) LimitUnresolvedLease(expiresAt time.Time) int {
	limited := 0
	for id, u := range s.unresolved {
		if !u.inherited && expiresAt.Before(u.expiresAt) {
			u.expiresAt = expiresAt
			s.unresolved[id] = u
			limited++
		}
	}
	return limited
}

// markResolved ends the wait for a worker that has reported everything. The incarnation that the previous owner used would have rejected
// this owner's call if a later owner had called it; of another one, a later owner may have stored what is not reported any more.
func (s *Scheduler) markResolved(workerID string) {
	if w := s.workers[workerID]; w.info.Incarnation != s.lastUses[workerID].Incarnation {
		s.giveUpUnresolved(workerID)
	}
	delete(s.unresolved, workerID)
}

// giveUpUnresolved ends the wait for a worker without its report. An owner that was paused may have been replaced, and the later owner
// may have extended the leases there or acknowledged ends, so inherited tasks start only after a commit.
func (s *Scheduler) giveUpUnresolved(workerID string) {
	if s.IsUnresolved(workerID) {
		s.unconfirmedGiveUp = s.generation
	}
	delete(s.unresolved, workerID)
}

// markGiveUpsConfirmed applies a commit of the records up to a generation.
func (s *Scheduler) markGiveUpsConfirmed(generation int64) {
	if s.unconfirmedGiveUp == 0 || s.unconfirmedGiveUp > generation {
		return
	}
	s.unconfirmedGiveUp = 0
	for u := range s.open {
		if u.job.inherited {
			s.changedUnits[u] = struct{}{}
		}
	}
}

// extendUnresolved keeps a worker unresolved whose report was incomplete: runs of an earlier owner may have ended there that it has
// not listed yet.
func (s *Scheduler) extendUnresolved(workerID string, until time.Time) {
	if u, unresolved := s.unresolved[workerID]; unresolved && until.After(u.expiresAt) {
		u.expiresAt = until
		s.unresolved[workerID] = u
	}
}

// expireUnresolved removes the unresolved workers on which the runs of earlier owners have expired. Where a worker has reported without
// listing everything, calls of this owner may have extended their leases.
func (s *Scheduler) expireUnresolved(now time.Time) {
	for id, u := range s.unresolved {
		w := s.workers[id]
		extended := w != nil && w.fenced && !now.After(w.leaseUntil)
		if now.After(u.expiresAt) && now.After(s.lastUses[id].staleLeaseUntil) && !extended {
			s.noteExpired(id, u, now)
			s.giveUpUnresolved(id)
		}
	}
}

// ExpiredWorker is a worker of an earlier owner that was given up because all leases there have expired, without a complete report to
// this owner, for logs.
type ExpiredWorker struct {
	Worker      string
	PreviousUse WorkerUse // as the previous owner has stored it
	// ListedAs is the incarnation that the list of workers shows; 0 if the worker is not listed.
	ListedAs   int64
	StaleLease bool          // a lease that a stale call may have set was counted
	Inherited  bool          // an owner before the previous one could still extend the leases
	Waited     time.Duration // since the term began
}

// noteExpired notes an unresolved worker that is given up.
func (s *Scheduler) noteExpired(id string, u unresolvedWorker, now time.Time) {
	last := s.lastUses[id]
	e := ExpiredWorker{Worker: id, PreviousUse: last.WorkerUse, StaleLease: !last.staleLeaseUntil.IsZero(), Inherited: u.inherited,
		Waited: now.Sub(s.cfg.Began)}
	if w := s.workers[id]; w != nil && w.listed {
		e.ListedAs = w.info.Incarnation
		if w.announced != nil {
			e.ListedAs = w.announced.Incarnation
		}
	}
	s.expired = append(s.expired, e)
}

// TakeExpiredWorkers returns the workers of earlier owners that were given up since the last call.
func (s *Scheduler) TakeExpiredWorkers() []ExpiredWorker {
	expired := s.expired
	s.expired = nil
	return expired
}
