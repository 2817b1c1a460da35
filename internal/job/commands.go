package job

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/job/worker"
)

// Each worker has a loop that sends its starts and orders, one at a time. The books are unlocked during a call; its
// outcome is applied afterwards. A start whose response was lost counts as possibly running.

// maxStartSends bounds the starts of one attempt whose responses are lost.
const maxStartSends = 3

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

// sendNextCommand sends the next start or order. They take turns, so that a wave of cancellations leaves half of the control
// budget to starts.
func (p *partition) sendNextCommand(ctx context.Context, w *workerInfo) bool {
	p.mu.Lock()
	if w.missedRenewals > 0 {
		w.orders = nil // each would take a timeout; the next report repeats them
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
	// The next report shows whether the order had its effect; if not, it is repeated.
	_ = send(ctx, addr, o.ref.TaskID, body)
}

// sendStart is called with the books locked and unlocks them.
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

// mayStart reports whether an attempt is still to be sent. If not, it notes what follows.
func (p *partition) mayStart(pl *assignment, now time.Time) bool {
	switch {
	case !pl.isCurrent() || pl.phase != phaseQueued:
		return false
	case pl.sends > 0 && pl.w.missedRenewals > 0:
		pl.phase = phaseSent // sent again after the next report
		return false
	case pl.sends == 0 && (pl.task.job.cancelled || !pl.w.node.Open()):
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

// applyStartOutcome applies the outcome of a start.
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
		pl.responseLostAt, pl.leaseUntil = now, before // an earlier send may have started it
	default:
		p.handleStartRefused(pl, err, now)
		p.undoStart(pl, now, t.retryDelay())
	}
}

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

// confirmStart notes that an attempt certainly started.
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
