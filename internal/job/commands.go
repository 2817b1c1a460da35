package job

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/job/worker"
)

// Each worker has a loop that sends its starts and its orders (stop, throttle, checkpoint), one at a time. p.mu is not held
// during a call; the outcome is applied afterwards. A task whose start got no response is treated as possibly running.

// maxStartSends bounds how often the start of one attempt is sent when responses are lost.
const maxStartSends = 3

// commandLoop sends the queued starts and orders of a worker until ctx ends.
func (p *partition) commandLoop(ctx context.Context, w *workerInfo) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wakeCommands:
		}
		for ctx.Err() == nil && p.sendNextCommand(ctx, w) {
		}
	}
}

// sendNextCommand sends the next start or order and returns false if there is none. Starts and orders take turns, so that
// a burst of cancellations leaves half of the calls to starts.
func (p *partition) sendNextCommand(ctx context.Context, w *workerInfo) bool {
	p.mu.Lock()
	if w.missedRenewals > 0 {
		w.orders = nil // each call would run into its timeout; they are issued again after the next report
	}
	if len(w.starts) == 0 && len(w.orders) == 0 {
		p.mu.Unlock()
		return false
	}
	w.startTurn = !w.startTurn
	if len(w.orders) == 0 || w.startTurn && len(w.starts) > 0 {
		pl := w.starts[0]
		w.starts = w.starts[1:]
		p.sendStart(ctx, w, pl)
		return true
	}
	o := w.orders[0]
	w.orders = w.orders[1:]
	addr := w.addr
	p.mu.Unlock()
	p.sendOrder(ctx, addr, o)
	return true
}

func (p *partition) sendOrder(ctx context.Context, addr string, o order) {
	body := worker.Order{Attempt: o.ref.Attempt, Epoch: p.guard.Epoch()}
	send := p.deps.Workers.Stop
	switch o.action {
	case actionThrottle:
		send = p.deps.Workers.Throttle
	case actionCheckpoint:
		send = p.deps.Workers.Checkpoint
	}
	if p.guard.Check() != nil {
		return
	}
	// The error is ignored: if the next report shows that the order had no effect, it is sent again.
	_ = send(ctx, addr, o.ref.TaskID, body)
}

// sendStart sends the start of an assignment and applies the outcome. The caller holds p.mu; sendStart unlocks it.
func (p *partition) sendStart(ctx context.Context, w *workerInfo, pl *assignment) {
	now := time.Now()
	if !p.mayStart(pl, now) {
		p.mu.Unlock()
		return
	}
	msg := p.startMessage(pl, now)
	before := pl.leaseUntil
	pl.phase, pl.inFlight, pl.responseLostAt = phaseSent, true, time.Time{}
	pl.sends++
	pl.leaseUntil = now.Add(leaseExpiry)
	addr := w.addr
	p.mu.Unlock()

	err := errors.Wrap(worker.ErrNotDelivered, "not the owner")
	if p.guard.Check() == nil {
		err = p.deps.Workers.Start(ctx, addr, msg)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	pl.inFlight = false
	if !pl.isCurrent() {
		return
	}
	p.applyStartOutcome(pl, err, before, time.Now())
}

// mayStart reports whether the start is still to be sent. If not, it postpones the start of an attempt that may already run,
// or takes back an attempt whose start was never sent.
func (p *partition) mayStart(pl *assignment, now time.Time) bool {
	switch {
	case !pl.isCurrent() || pl.phase != phaseQueued:
		return false
	case pl.sends > 0 && pl.w.missedRenewals > 0:
		pl.phase = phaseSent // handleMissing sends it again after the next report
		return false
	case pl.sends == 0 && (pl.task.job.cancelled || !pl.w.node.Schedulable()):
		p.undoStart(pl, now, 0)
		return false
	}
	return true
}

func (p *partition) startMessage(pl *assignment, now time.Time) worker.Start {
	s := pl.task.job.spec
	return worker.Start{
		TaskID: pl.task.id, Attempt: pl.attempt, Epoch: p.guard.Epoch(), LeaseMS: taskLease.Milliseconds(),
		Resources: s.Resources, Kind: string(s.Kind), RunMS: s.RunMS, Payload: s.Payload, NotAfterMS: pl.w.notAfter(now),
	}
}

// applyStartOutcome applies the outcome of sending a start. before is the end of the lease before this start was sent.
func (p *partition) applyStartOutcome(pl *assignment, err error, before, now time.Time) {
	t := pl.task
	switch {
	case err == nil:
		pl.leaseUntil = now.Add(leaseExpiry)
		p.confirmStart(pl, now)
		p.addToCounter("starts", 1)
	case !errors.Is(err, worker.ErrNotDelivered):
		pl.responseLostAt, pl.leaseUntil = now, now.Add(leaseExpiry)
		p.addToCounter("starts_lost", 1)
	case pl.sends > 1:
		pl.responseLostAt, pl.leaseUntil = now, before // an earlier start may have reached the worker
	default:
		p.handleStartRefused(pl, err, now)
		p.undoStart(pl, now, t.retryDelay())
	}
}

// handleStartRefused records why a worker certainly did not accept a start.
func (p *partition) handleStartRefused(pl *assignment, err error, now time.Time) {
	p.addToCounter("starts_refused", 1)
	w := pl.w
	if errors.Is(err, worker.ErrLeaving) {
		p.deps.Members.ReportLeaving(w.id)
		p.markLeaving(w, now)
		return
	}
	if errors.Is(err, worker.ErrStaleEpoch) {
		return
	}
	p.recordFailure(w, pl.task.job.id, now)
}

// confirmStart marks an attempt as started: the worker accepted the start or reported the task.
func (p *partition) confirmStart(pl *assignment, now time.Time) {
	if pl.phase == phaseConfirmed {
		return
	}
	pl.phase, pl.confirmedAt = phaseConfirmed, now
	if pl.task.state == Starting {
		pl.task.setState(Running)
		pl.task.startedAt = now
	}
	pl.task.job.endStartIfConfirmed()
	if pl.stop != stopNone {
		pl.w.order(actionStop, worker.TaskRef{TaskID: pl.task.id, Attempt: pl.attempt})
	}
}
