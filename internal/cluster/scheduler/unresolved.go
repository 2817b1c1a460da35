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

// LimitUnresolvedLease records that the leases of all runs that the previous owner started expire at expiresAt at the latest.
func (s *Scheduler) LimitUnresolvedLease(expiresAt time.Time) {
	for id, u := range s.unresolved {
		if !u.inherited && expiresAt.Before(u.expiresAt) {
			u.expiresAt = expiresAt
			s.unresolved[id] = u
		}
	}
}

func (s *Scheduler) markResolved(workerID string) { delete(s.unresolved, workerID) }

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
			delete(s.unresolved, id)
		}
	}
}
