package job

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/job/worker"
	"github.com/greengagewing/greengagewing/internal/wait"
)

// Each worker has a loop that renews the leases of its tasks and reads its report in the same call; this call is also the
// worker's heartbeat. New tasks are placed on a worker only while it is in the membership list and not leaving, answers, is
// named in the journal, has reported since this owner took over and is not quarantined.

const (
	// probeAfterMisses is the number of consecutive missed renewals after which calls no longer renew leases but only probe the
	// worker, so that the tasks of an unreachable worker end within a bounded time. An answered probe resumes the renewals.
	probeAfterMisses = 3
	// workersPerBatch is the average number of workers whose renewals are due at the same time. A process that wakes up for
	// each renewal separately uses about three times the processor time.
	workersPerBatch = 16
)

func newWorkerInfo(id, addr, domain, rack string) *workerInfo {
	return &workerInfo{
		id: id, addr: addr, domain: domain, rack: rack, assignments: map[string]*assignment{},
		unknown: map[worker.TaskRef]Resources{}, wakeCommands: make(chan struct{}, 1), renewNow: make(chan struct{}, 1), stopLoops: func() {},
	}
}

// startWorkerLoops starts the two goroutines of a worker. One renews leases and reads reports, the other sends starts and
// orders, so that slow starts do not delay renewals.
func (p *partition) startWorkerLoops(w *workerInfo) {
	ctx, cancel := context.WithCancel(p.ctx)
	w.stopLoops = cancel
	p.goTracked(func() { p.renewLoop(ctx, w) })
	p.goTracked(func() { p.commandLoop(ctx, w) })
}

// renewLoop renews the leases on a worker when its batch is due, or earlier when renewNow is signalled.
func (p *partition) renewLoop(ctx context.Context, w *workerInfo) {
	p.renew(ctx, w)
	for wait.ForOrSignal(ctx, p.untilRenewal(w), w.renewNow) {
		p.renew(ctx, w)
	}
}

// untilRenewal returns the time until the batch of a worker is due.
func (p *partition) untilRenewal(w *workerInfo) time.Duration {
	p.mu.Lock()
	batches := max(1, (len(p.workers)+workersPerBatch-1)/workersPerBatch)
	p.mu.Unlock()
	return untilBatch(time.Since(p.started), bucket(w.id, batches), batches)
}

// untilBatch returns the time until the renewals of batch i of n are due: more than zero and at most renewInterval. The
// batches divide each interval evenly. since is the time since the partition was opened. A change of n moves the next renewal,
// but never beyond one interval from now.
func untilBatch(since time.Duration, i, n int) time.Duration {
	offset := renewInterval * time.Duration(i) / time.Duration(n)
	return renewInterval - (since+renewInterval-offset)%renewInterval
}

// ackResults tells a worker which results are journaled. It is called before the renewal, so that the worker's next report
// leaves these results out.
func (p *partition) ackResults(ctx context.Context, w *workerInfo) {
	p.mu.Lock()
	if len(w.acks) == 0 || w.missedRenewals > 0 { // a call to an unreachable worker would delay the renewal
		p.mu.Unlock()
		return
	}
	acks, addr := w.acks, w.addr
	w.acks = nil
	p.mu.Unlock()
	if p.guard.Check() != nil {
		return
	}
	// The error is ignored: a worker that got no acknowledgement reports the attempt again, and it is acknowledged then.
	_ = p.deps.Workers.Ack(ctx, addr, worker.Ack{Epoch: p.guard.Epoch(), Tasks: acks})
}

// renew acknowledges journaled results, renews the leases on a worker and applies the report that the worker returns.
func (p *partition) renew(ctx context.Context, w *workerInfo) {
	p.ackResults(ctx, w)
	p.mu.Lock()
	asked := time.Now()
	msg, renewed := p.newRenewal(w, asked)
	addr := w.addr
	p.mu.Unlock()
	var rep worker.Report
	err := p.guard.Check()
	if err == nil {
		rep, err = p.deps.Workers.Renew(ctx, addr, msg)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, pl := range renewed {
		pl.leaseUntil = now.Add(leaseExpiry) // also after an error, as the worker may have received the renewal as late as now
	}
	if err != nil || rep.WorkerID != w.id {
		if errors.Is(err, worker.ErrLeaving) {
			p.deps.Members.ReportLeaving(w.id)
			p.markLeaving(w, now)
		}
		p.recordMissedRenewal(w, now)
		return
	}
	p.applyReport(w, rep, asked, now)
}

// newRenewal builds the next renewal message. It leaves out attempts whose start is not confirmed and those that are to stop,
// so that their leases expire at a known time.
func (p *partition) newRenewal(w *workerInfo, now time.Time) (msg worker.Renew, renewed []*assignment) {
	msg = worker.Renew{Epoch: p.guard.Epoch(), LeaseMS: taskLease.Milliseconds(), Tasks: []worker.TaskRef{}}
	if w.missedRenewals >= probeAfterMisses {
		return msg, nil
	}
	msg.NotAfterMS = w.notAfter(now)
	for id, pl := range w.assignments {
		if pl.phase != phaseConfirmed || pl.stop != stopNone && pl.stop != stopMove {
			continue
		}
		msg.Tasks = append(msg.Tasks, worker.TaskRef{TaskID: id, Attempt: pl.attempt})
		renewed = append(renewed, pl)
	}
	return msg, renewed
}

// notAfter returns the time on the worker's clock after which the worker must ignore a message that is sent now, or 0 if its
// clock is not known yet.
func (w *workerInfo) notAfter(now time.Time) int64 {
	if w.clockMS == 0 {
		return 0
	}
	// The worker read its clock before the response arrived, so this is at most leaseMargin from now.
	return w.clockMS + (now.Sub(w.clockAt)).Milliseconds() + leaseMargin.Milliseconds()
}

// recordMissedRenewal counts a renewal that got no valid response. The worker is closed to new tasks until it answers.
func (p *partition) recordMissedRenewal(w *workerInfo, now time.Time) {
	w.missedRenewals++
	if w.missedRenewals == probeAfterMisses {
		p.logger.Warn("worker is unreachable", zap.String("worker", w.id))
	}
	p.updateWorkerOpen(w, now)
	p.expireLeases(w, now)
}

// expireLeases ends the attempts on a worker whose leases have certainly expired.
func (p *partition) expireLeases(w *workerInfo, now time.Time) {
	for _, pl := range w.assignments {
		if pl.phase >= phaseSent && !pl.inFlight && now.After(pl.leaseUntil) && pl.isCurrent() {
			p.handleLostAttempt(pl, now)
		}
	}
}

// markLeaving closes a worker that is leaving to new tasks and moves its tasks away.
func (p *partition) markLeaving(w *workerInfo, now time.Time) {
	if !w.leaving {
		w.leaving = true
		p.logger.Info("worker is leaving", zap.String("worker", w.id))
	}
	p.moveTasksAway(w, now)
	p.updateWorkerOpen(w, now)
}

// moveTasksAway checkpoints the tasks of a worker that can run again on another one. Gangs stay, since a gang would have to
// move as a whole.
func (p *partition) moveTasksAway(w *workerInfo, now time.Time) {
	for _, pl := range w.assignments {
		if pl.movable() && pl.phase == phaseConfirmed && pl.stop == stopNone {
			p.requestStop(pl, stopMove, now)
		}
	}
}

// updateWorkerOpen opens a worker for new tasks or closes it, and updates its failure penalty in the placement index.
func (p *partition) updateWorkerOpen(w *workerInfo, now time.Time) {
	if w.node == nil {
		return
	}
	schedulable := w.listed && !w.leaving && w.reported && w.journaled && w.missedRenewals == 0 && !now.Before(w.health.quarantinedUntil)
	if schedulable != w.node.Schedulable() {
		p.index.SetSchedulable(w.node, schedulable)
		if schedulable {
			wait.Signal(p.wakeScheduler)
		}
	}
	p.index.SetPenalty(w.node, w.health.penalty(now))
}
