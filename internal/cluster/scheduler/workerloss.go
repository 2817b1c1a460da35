package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// resetWorker drops all placements of a worker whose process is gone or whose lease has expired, and resets what was known
// about the process.
func (s *Scheduler) resetWorker(w *worker, cause LossCause, now time.Time) {
	s.resetWorkerExcept(w, nil, cause, now)
}

// resetWorkerExcept is resetWorker, but keeps some of the placements.
func (s *Scheduler) resetWorkerExcept(w *worker, kept []*placement, cause LossCause, now time.Time) {
	lost := slices.DeleteFunc(slices.Clone(w.placements), func(p *placement) bool { return slices.Contains(kept, p) })
	s.recordLoss(w, lost, cause, now)
	if cause == LossRestarted {
		w.moved = false
		if s.silences[w.info.ID] == nil {
			s.beginSilence(w, now)
		}
		s.confirmCrash(w.info.ID, now)
	}
	for _, p := range lost {
		s.dropPlacement(p, now)
	}
	w.placements, w.used, w.urgentUses, w.suspectedRuns = nil, workload.Resources{}, nil, 0
	for _, p := range kept {
		w.addPlacement(p)
	}
	w.fenced = false
	if cause != LossLeaseExpired { // that process may go on
		w.firstAnswer = time.Time{}
	}
	w.silentSince = time.Time{}
	w.lastAppliedEnd, w.lastDurableEnd, w.pendingAcks = 0, 0, nil
	delete(s.withPendingAcks, w)
	w.health = health{}
	if cause != LossRestarted { // an earlier owner may have started runs on the later incarnation, too, which its report lists
		s.giveUpUnresolved(w.info.ID)
	}
}

// restartWorker applies the restart of a worker that a report of its new process shows. The calls name the worker and not the process,
// so the new one may have received starts that were still in progress when the report was requested.
func (s *Scheduler) restartWorker(w *worker, incarnation int64, requestedAt, now time.Time) {
	var kept []*placement
	for _, p := range w.placements {
		if p.mayBeUnreported(requestedAt) || p.unanswered() {
			kept = append(kept, p)
		}
	}
	if l := s.silences[w.info.ID]; l != nil && l.incarnation == incarnation { // a late entry had named an earlier one
		s.dropSilence(w.info.ID)
	}
	if w.answered() {
		w.earlier.Replace(w.info.Incarnation, incarnation)
	}
	s.resetWorkerExcept(w, kept, LossRestarted, now)
	w.info.Incarnation, w.info.Draining, w.undescribed = incarnation, false, true
	w.restarts++
	w.mayGetStaleCalls = true
	for _, p := range kept {
		if p.state != running {
			s.orderStop(p, "the worker has restarted and may receive the start late")
		}
	}
}

// suspectRestart notes that a worker may have restarted although it names the same incarnation. Calls for the earlier process may reach it,
// and it numbers its ends anew. Its runs stay placed as long as its reports list them: if it has only been suspended, they go on.
func (s *Scheduler) suspectRestart(w *worker) {
	w.restarts++
	w.mayGetStaleCalls = true
	w.info.Draining = w.info.Draining && w.entryDraining
	w.drainSuspect = w.info.Draining
	w.lastAppliedEnd, w.lastDurableEnd, w.pendingAcks = 0, 0, nil
	delete(s.withPendingAcks, w)
	for _, p := range w.placements {
		if p.unanswered() && !p.stopAckedAt.IsZero() {
			s.orderStop(p, "the worker may have restarted and receive the start late")
		}
	}
}

// lacksRuns reports whether a worker lists none of the runs that it had confirmed before the report was requested. One that has only been
// suspended lists them all, as active or as ended.
func (w *worker) lacksRuns(r Report) bool {
	confirmed := 0
	for _, p := range w.placements {
		if p.state != running || p.mayBeUnreported(r.SentAt) {
			continue
		}
		confirmed++
		if slices.ContainsFunc(r.Active, func(a ActiveRun) bool { return a.Task == p.id && a.Run == p.run }) ||
			slices.ContainsFunc(r.Ended, func(e EndedRun) bool { return e.Task == p.id && e.Run == p.run }) {
			return false
		}
	}
	return confirmed > 0 && !r.MoreEnded
}

// Restarts returns how many restarts of a worker this owner has seen or suspected.
func (s *Scheduler) Restarts(workerID string) int {
	if w := s.workers[workerID]; w != nil {
		return w.restarts
	}
	return 0
}

// unanswered reports whether nobody has seen the worker confirm the run, or all attempts of its start. The order to start it may be carried
// out by a later incarnation, which remembers no stop that an earlier one has acknowledged.
func (p *placement) unanswered() bool { return p.confirmedAt.IsZero() || p.retried }

// mayBeUnreported reports whether a worker may execute the run although a report that was requested at the given time does not list it.
func (p *placement) mayBeUnreported(requestedAt time.Time) bool {
	switch p.state {
	case starting:
		return true
	case stopping:
		return p.stopAckedAt.IsZero() || !requestedAt.After(p.stopAckedAt)
	}
	return p.confirmedAt.IsZero() || !requestedAt.After(p.confirmedAt)
}

// dropPlacement removes a run that certainly no longer executes and requeues its task.
func (s *Scheduler) dropPlacement(p *placement, now time.Time) {
	p.worker.removePlacement(p)
	s.recordFreed(p, now)
	t := p.task
	if t == nil || t.placement != p {
		return
	}
	t.removePlacement()
	s.saveCheckpoint(t, p.checkpoint)
	if t.unit.step.Gang && !t.done {
		s.stopUnit(t.unit, "another gang member was lost")
	}
}

// MarkUnreachable records that a worker did not answer a call, which failed at the given time. Without another renewal, the lease
// of every run on the worker has expired at leaseUntil, including runs that earlier owners started.
func (s *Scheduler) MarkUnreachable(failedAt time.Time, workerID string, leaseUntil time.Time) {
	w := s.workers[workerID]
	if w == nil {
		return
	}
	if !w.unreachable {
		w.silentSince = failedAt
		s.beginSilence(w, failedAt)
	}
	w.unreachable = true
	w.extendLease(leaseUntil)
}

// MarkEnded records that another worker rejected a call to an incarnation of a worker, as it does after the process of the incarnation
// has ended. The runs are given up only if the call went to the address at which the incarnation has answered this owner, and no other
// worker answered there meanwhile: behind a proxy, or by an odd entry, the call may have missed a process that goes on. It is called
// after MarkUnreachable.
func (s *Scheduler) MarkEnded(now time.Time, workerID string, incarnation int64) {
	w := s.workers[workerID]
	if w == nil || w.info.Incarnation != incarnation || !w.answered() || w.moved || s.sharesAddress(w) {
		return
	}
	s.confirmCrash(workerID, now)
	s.resetWorker(w, LossEnded, now)
}

// expireWorkers drops the runs of unreachable workers whose lease has certainly expired, also if an incarnation that no owner knows may run
// them. It also removes workers without runs that are not listed and either unreachable or without a report to this owner. One with an
// incomplete report may have ends that it has not listed, and stays until its lease has expired.
func (s *Scheduler) expireWorkers(now time.Time) {
	for _, w := range s.sortedWorkers {
		waiting := s.placementsUnseen(w, now)
		if w.unreachable && (w.fenced && now.After(w.leaseUntil) || !w.fenced && len(waiting) < len(w.placements)) {
			lastEnd, lastDurableEnd, pendingAcks := w.lastAppliedEnd, w.lastDurableEnd, w.pendingAcks
			s.resetWorkerExcept(w, waiting, LossLeaseExpired, now)
			// The process may still be alive: it continues the numbering of its ends.
			w.lastAppliedEnd, w.lastDurableEnd, w.pendingAcks = lastEnd, lastDurableEnd, pendingAcks
			if len(pendingAcks) > 0 {
				s.withPendingAcks[w] = struct{}{}
			}
		}
		if entry := cmp.Or(w.announced, w.ignored); entry != nil && w.unreachable && len(w.placements) == 0 { // nothing is lost if the entry is odd
			s.resetWorker(w, LossRestarted, now)
			w.earlier.Replace(w.info.Incarnation, entry.Incarnation)
			s.UpsertWorker(now, *entry)
		}
	}
	s.sortedWorkers = slices.DeleteFunc(s.sortedWorkers, func(w *worker) bool {
		gone := !w.listed && (w.unreachable || !w.fenced) && len(w.placements) == 0 && !(w.fenced && s.IsUnresolved(w.info.ID))
		if gone {
			s.noteLastUse(w, now)
			delete(s.workers, w.info.ID)
			delete(s.withPendingAcks, w)
		}
		return gone
	})
}
