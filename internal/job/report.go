package job

import (
	"time"

	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/job/worker"
	"github.com/greengagewing/greengagewing/internal/wait"
)

// A worker's report is reconciled with the books: attempts that it does not show, attempts that the books do not have,
// and results. A result is acknowledged to the worker only when it is durable.

// checkpointTimeout is how long a task may take for a checkpoint before it is stopped.
const checkpointTimeout = 30 * time.Second

// applyReport reconciles the books with a worker's report. asked is when the report was requested.
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
	// An order of the previous owner may still be under way shortly after it was fenced.
	if !asked.Before(p.predecessorEnd.Add(leaseMargin)) || p.guard.FencedAt().IsZero() {
		w.reported = true
	}
	p.enroll(w, now)
	p.updateWorkerOpen(w, now)
	p.trySettle(now)
}

func (p *partition) updateCapacity(w *workerInfo, c Resources) {
	if w.node != nil {
		p.index.SetCapacity(w.node, c)
		return
	}
	w.node = p.index.Add(w.id, w.domain, w.rack, c)
	p.index.SetUsed(w.node, w.used)
	for _, pl := range w.assignments {
		p.updateServiceCounts(pl, 1)
	}
}

// enroll journals a worker before anything is started on it, so that a successor knows whose report to wait for even
// when the membership list does not show the worker then.
func (p *partition) enroll(w *workerInfo, now time.Time) {
	if w.journaled || w.journaling || !w.reported {
		return
	}
	rec := record{T: recordWorker, At: now, Worker: w.id, Addr: w.addr, Domain: w.domain, Rack: w.rack}
	w.journaling = p.queueRecords([]record{rec}, func(now time.Time) {
		w.journaled, w.journaling = true, false
		p.updateWorkerOpen(w, now)
	})
}

func (p *partition) setUnknownAttempts(w *workerInfo, unknown map[worker.TaskRef]Resources) {
	used := w.used
	for _, r := range w.unknown {
		used = used.Minus(r)
	}
	for _, r := range unknown {
		used = used.Plus(r)
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

// handleUnassigned handles a reported attempt that is not on the books of the worker. It returns a placement if the attempt is
// adopted.
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
		p.logger.Error("task runs in two places; one is stopped", zap.String("task", t.id), zap.String("worker", w.id))
	}
	return nil
}

// canAdopt reports whether an attempt becomes the task's current one: after a takeover, or when it outlived its lease
// on a worker that was unreachable and the task was not started again.
func (p *partition) canAdopt(t *task, rt worker.Task) bool {
	if t.current != nil || t.finishing || t.state != Pending || !t.job.accepted || !t.job.spec.Idempotent {
		return false
	}
	if rt.Attempt <= t.lastEnded || t.job.cancelled && rt.State != worker.Running {
		return false
	}
	if t.maybeRunning {
		// An attempt that ended without a result says nothing about a later one on another worker.
		return rt.State == worker.Running || rt.State == worker.Done
	}
	return t.job.spec.Kind != Gang
}

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

// resolveUnknown resolves a non-idempotent task that was given up as unknown.
func (p *partition) resolveUnknown(t *task, rt worker.Task, now time.Time) {
	if t == nil || t.state != Unknown || t.lastAttempt != rt.Attempt || rt.State != worker.Done && rt.State != worker.Failed {
		return
	}
	s := State(rt.State)
	t.setState(s)
	p.journalBestEffort(record{T: recordResult, At: now, Job: t.job.id, Task: t.idx, Attempt: rt.Attempt, State: s})
}

// applyTask applies a reported attempt to its placement.
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

// handleMissing handles a placed attempt that a report does not show.
func (p *partition) handleMissing(pl *assignment, asked, now time.Time) {
	switch {
	case pl.inFlight || pl.phase < phaseSent:
	case pl.phase == phaseConfirmed:
		if asked.After(pl.confirmedAt) {
			p.handleLostAttempt(pl, now)
		}
	case pl.stop != stopNone || !pl.task.job.spec.Idempotent:
		// A non-idempotent start is never sent twice: the worker may have run it and lost it in a restart.
	case asked.After(pl.responseLostAt) && pl.sends > 0 && pl.sends < maxStartSends:
		pl.queueStart()
	}
}

// handleEnded handles an attempt that has ended on its worker. The worker repeats it until it is acknowledged.
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
	if !p.queueRecords([]record{rec}, func(now time.Time) { p.resultDurable(t, w, ref, end, quick, now) }) {
		return // handled at a later report
	}
	t.finishing, t.lastWorker, t.lastEnded = true, w.id, pl.attempt
	p.finishing++
	p.removeAssignment(pl)
}

// attemptOutcome returns the state of a task after its attempt ended, and whether it runs again.
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
		return Unknown, false // its lease expired while it ran
	}
}

// growTaskSize makes the next attempt as large as what was observed. Tasks of a gang are alike, so all of them growTaskSize. A job that
// was stopped for its overuse and is then too large for the pool can never run.
func (p *partition) growTaskSize(pl *assignment, now time.Time) {
	j, n := pl.task.job, 1
	size := pl.task.size.Max(pl.size)
	if j.spec.Kind == Gang {
		n = j.spec.Tasks
	}
	if p.index.FitsEmpty(size, n) < n {
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

// resultDurable applies a journaled result.
func (p *partition) resultDurable(t *task, w *workerInfo, ref worker.TaskRef, end State, quick bool, now time.Time) {
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
