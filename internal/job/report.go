package job

import (
	"time"

	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/job/worker"
	"github.com/greengagewing/greengagewing/internal/wait"
)

// A worker's report is reconciled with the partition's state: assigned attempts that the report does not show, reported
// attempts that are not assigned to the worker, and results. A result is acknowledged to the worker only once it is durable in the
// journal; until then the worker keeps and repeats it.

// checkpointTimeout is how long a task that is to be moved may take for its checkpoint before it is stopped.
const checkpointTimeout = 30 * time.Second

// applyReport reconciles the state of a worker and its tasks with the worker's report. asked is the time at which the report
// was requested.
func (p *partition) applyReport(w *workerInfo, rep worker.Report, asked, now time.Time) {
	if w.missedRenewals >= probeAfterMisses {
		p.logger.Info("worker is reachable again", zap.String("worker", w.id))
	}
	w.missedRenewals, w.lastSeen, w.bootID, w.clockMS, w.clockAt = 0, now, rep.BootID, rep.ClockMS, now
	p.updateCapacity(w, rep.Capacity)
	if rep.Leaving && !w.leaving {
		p.deps.Members.ReportLeaving(w.id)
		p.markLeaving(w, now)
	}
	unknown := map[worker.TaskRef]Resources{}
	seen := make(map[string]bool, len(rep.Tasks))
	for _, rt := range rep.Tasks {
		pl := w.assignments[rt.TaskID]
		if pl == nil || pl.attempt != rt.Attempt {
			pl = p.handleUnassigned(w, rt, unknown, now)
		}
		if pl != nil {
			seen[rt.TaskID] = true
			p.applyTask(pl, rt, now)
		}
	}
	p.setUnknownAttempts(w, unknown)
	for id, pl := range w.assignments {
		if !seen[id] && pl.isCurrent() {
			p.handleMissing(pl, asked, now)
		}
	}
	p.expireLeases(w, now)
	p.checkOveruse(w, now)
	// Shortly after the previous owner was fenced, a start or order that it sent may still arrive, so an early report is not
	// complete.
	if !asked.Before(p.predecessorEnd.Add(leaseMargin)) || p.guard.FencedAt().IsZero() {
		w.reported = true
	}
	p.journalWorker(w, now)
	p.updateWorkerOpen(w, now)
	p.trySettle(now)
}

// updateCapacity sets the capacity of a worker. The first call adds the worker to the placement index.
func (p *partition) updateCapacity(w *workerInfo, c Resources) {
	if w.node != nil {
		p.index.SetCapacity(w.node, c)
		return
	}
	w.node = p.index.AddNode(w.id, w.domain, w.rack, c)
	p.index.SetUsed(w.node, w.used)
	for _, pl := range w.assignments {
		p.updateServiceCounts(pl, 1)
	}
}

// journalWorker records a worker in the journal before any task is started on it. A successor then waits for this worker's
// report, even if the worker is not in the membership list by then.
func (p *partition) journalWorker(w *workerInfo, now time.Time) {
	if w.journaled || w.journaling || !w.reported {
		return
	}
	rec := record{T: recordWorker, At: now, Worker: w.id, Addr: w.addr, Domain: w.domain, Rack: w.rack}
	w.journaling = p.queueRecords([]record{rec}, func(now time.Time) {
		w.journaled, w.journaling = true, false
		p.updateWorkerOpen(w, now)
	})
}

// setUnknownAttempts replaces the reported attempts that are not assigned to the worker. Their resources count as used until
// they have stopped.
func (p *partition) setUnknownAttempts(w *workerInfo, unknown map[worker.TaskRef]Resources) {
	used := w.used
	for _, r := range w.unknown {
		used = used.Sub(r)
	}
	for _, r := range unknown {
		used = used.Add(r)
	}
	w.unknown = unknown
	if used != w.used {
		p.setUsed(w, used)
		wait.Signal(p.wakeScheduler)
	}
}

func (p *partition) findTask(id string) *task {
	jid, idx, ok := splitTaskID(id)
	j := p.jobs[jid]
	if !ok || j == nil || idx >= len(j.tasks) {
		return nil
	}
	return j.tasks[idx]
}

// handleUnassigned handles a reported attempt that is not assigned to the worker: it adopts the attempt, acknowledges its end,
// or stops it. It returns the assignment if the attempt is adopted, else nil.
func (p *partition) handleUnassigned(w *workerInfo, rt worker.Task, unknown map[worker.TaskRef]Resources, now time.Time) *assignment {
	t := p.findTask(rt.TaskID)
	ref := worker.TaskRef{TaskID: rt.TaskID, Attempt: rt.Attempt}
	if t != nil && p.canAdopt(t, rt) {
		return p.adopt(w, t, rt, now)
	}
	if rt.State != worker.Running {
		if t == nil || !t.maybeRunning && (!t.finishing || t.lastAttempt != rt.Attempt) {
			p.resolveUnknown(t, rt, now)
			w.acks = append(w.acks, ref)
		}
		return nil
	}
	unknown[ref] = rt.Resources.Max(rt.Usage)
	w.order(actionStop, ref)
	if t != nil && t.current != nil && t.current.phase == phaseConfirmed {
		p.doubleRuns++
		p.addToCounter("double_runs", 1)
		p.logger.Error("task runs in two places; the unassigned attempt is stopped", zap.String("task", t.id), zap.String("worker", w.id))
	}
	return nil
}

// canAdopt reports whether a reported attempt can become the task's current one. This happens after a takeover, or when the
// attempt outlived its lease on an unreachable worker and the task has not been started again.
func (p *partition) canAdopt(t *task, rt worker.Task) bool {
	if t.current != nil || t.finishing || t.state != Pending || !t.job.accepted || !t.job.spec.Idempotent {
		return false
	}
	if rt.Attempt <= t.lastEnded || t.job.cancelled && rt.State != worker.Running {
		return false
	}
	if t.maybeRunning {
		// If the attempt ended without a result, a later one may still run on another worker.
		return rt.State == worker.Running || rt.State == worker.Done
	}
	return t.job.spec.Kind != Gang
}

// adopt makes a reported attempt the current one of its task.
func (p *partition) adopt(w *workerInfo, t *task, rt worker.Task, now time.Time) *assignment {
	remaining := min(time.Duration(rt.RemainingLeaseMS)*time.Millisecond, taskLease)
	pl := &assignment{
		task: t, w: w, attempt: rt.Attempt, size: t.size, phase: phaseConfirmed, confirmedAt: now,
		leaseUntil: now.Add(remaining + leaseMargin),
	}
	t.maybeRunning = false
	t.setState(Running)
	t.startedAt = now
	p.addAssignment(pl)
	if t.job.cancelled {
		p.requestStop(pl, stopEnd, now)
	} else if t.job.gang.undoing {
		p.requestStop(pl, stopUndoGang, now)
	}
	wait.Signal(w.renewNow)
	p.addToCounter("adopted", 1)
	return pl
}

// resolveUnknown sets the result of a non-idempotent task that had ended as unknown and whose worker now reports the result.
func (p *partition) resolveUnknown(t *task, rt worker.Task, now time.Time) {
	if t == nil || t.state != Unknown || t.lastAttempt != rt.Attempt || rt.State != worker.Done && rt.State != worker.Failed {
		return
	}
	s := State(rt.State)
	t.setState(s)
	p.journalBestEffort(record{T: recordResult, At: now, Job: t.job.id, Task: t.idx, Attempt: rt.Attempt, State: s})
}

// applyTask applies a reported attempt to its assignment.
func (p *partition) applyTask(pl *assignment, rt worker.Task, now time.Time) {
	p.confirmStart(pl, now)
	if rt.State != worker.Running {
		p.handleEnded(pl, rt, now)
		return
	}
	size := pl.task.size.Max(rt.Resources).Max(rt.Usage)
	if size != pl.size {
		p.resizeAssignment(pl, size)
	}
	ref := worker.TaskRef{TaskID: rt.TaskID, Attempt: rt.Attempt}
	switch {
	case pl.stop == stopNone:
	case pl.stop == stopMove && now.Sub(pl.stopAt) < checkpointTimeout:
		pl.w.order(actionCheckpoint, ref)
	default:
		pl.w.order(actionStop, ref)
	}
}

// handleMissing handles an assigned attempt that the worker's report does not show: it is lost, or its start is sent again.
// Nothing is done while a start call is in progress.
func (p *partition) handleMissing(pl *assignment, asked, now time.Time) {
	switch {
	case pl.inFlight || pl.phase < phaseSent:
	case pl.phase == phaseConfirmed:
		if asked.After(pl.confirmedAt) {
			p.handleLostAttempt(pl, now)
		}
	case pl.stop != stopNone || !pl.task.job.spec.Idempotent:
		// The start of a non-idempotent task is never sent twice: the worker may have run the task and forgotten it in a restart.
	case asked.After(pl.responseLostAt) && pl.sends > 0 && pl.sends < maxStartSends:
		pl.queueStart()
	}
}

// handleEnded handles an attempt that has ended on its worker. The worker reports it until it is acknowledged.
func (p *partition) handleEnded(pl *assignment, rt worker.Task, now time.Time) {
	t, w := pl.task, pl.w
	ref := worker.TaskRef{TaskID: rt.TaskID, Attempt: rt.Attempt}
	end, again := attemptOutcome(pl, rt)
	if again && rt.State != worker.Failed {
		t.lastEnded = pl.attempt
		w.acks = append(w.acks, ref)
		p.growTaskSize(pl, now)
		p.removeAssignment(pl)
		p.requeue(t, now, 0)
		p.requeueUndoneGang(t.job, now)
		p.endJobIfDone(t.job, now)
		return
	}
	rec := record{T: recordResult, At: now, Job: t.job.id, Task: t.idx, Attempt: pl.attempt, Worker: w.id, State: end}
	quick := now.Sub(t.startedAt) < quickFailure
	if !p.queueRecords([]record{rec}, func(now time.Time) { p.applyDurableResult(t, w, ref, end, quick, now) }) {
		return // the queue is full; the worker reports the result again
	}
	t.finishing, t.lastWorker, t.lastEnded = true, w.id, pl.attempt
	p.finishing++
	p.removeAssignment(pl)
}

// attemptOutcome returns the state of a task after its attempt has ended, and whether the task may run again.
func attemptOutcome(pl *assignment, rt worker.Task) (end State, again bool) {
	t := pl.task
	idempotent := t.job.spec.Idempotent
	switch {
	case rt.State == worker.Done:
		return Done, false
	case t.job.cancelled:
		return t.job.endState, idempotent
	case idempotent:
		return Pending, true
	case rt.State == worker.Failed || pl.stop == stopOveruse || pl.stop == stopUndoGang:
		return Failed, false
	default:
		return Unknown, false // the lease expired while the task ran
	}
}

// growTaskSize raises the size of a task to the one that was observed, so that its next attempt is placed with enough room.
// All tasks of a gang have the same size, so all of them grow. A job that was stopped for its overuse and whose observed size
// does not fit on the workers of the pool can never run, and fails.
func (p *partition) growTaskSize(pl *assignment, now time.Time) {
	j, n := pl.task.job, 1
	size := pl.task.size.Max(pl.size)
	if j.spec.Kind == Gang {
		n = j.spec.Tasks
	}
	if p.index.FitCountWhenEmpty(size, n) < n {
		if pl.overuseSteps > 0 {
			p.failJob(j, "the tasks use more than the pool has", now)
		}
		return
	}
	if j.spec.Kind != Gang {
		pl.task.size = size
		return
	}
	for _, t := range j.tasks {
		t.size = size
	}
}

// applyDurableResult applies a result that has become durable in the journal, and acknowledges it to the worker.
func (p *partition) applyDurableResult(t *task, w *workerInfo, ref worker.TaskRef, end State, quick bool, now time.Time) {
	t.finishing = false
	p.finishing--
	w.acks = append(w.acks, ref)
	wait.Signal(w.renewNow)
	if end == Pending {
		p.retryOrFailJob(t, w, quick, now)
	} else {
		p.endTask(t, end, now)
		if end != Done && t.job.spec.Kind == Gang {
			p.failJob(t.job, "a task of the gang failed", now)
		}
	}
	p.requeueUndoneGang(t.job, now)
	t.job.endStartIfConfirmed()
	p.endJobIfDone(t.job, now)
}
