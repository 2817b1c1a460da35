package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/cluster/delegate"
	"github.com/greengagewing/greengagewing/internal/cluster/election"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/wait"
)

// FetchOrders answers a request for orders from a host that serves this owner as a delegate, or wants to. It waits for orders
// for up to delegate.OrdersPollTimeout. Errors: delegate.ErrSessionEnded.
func (c *Coordinator) FetchOrders(ctx context.Context, r delegate.OrdersRequest) (delegate.OrderBatch, error) {
	t := c.current()
	if t == nil || t.ownership.Epoch() != r.Epoch || t.ownership.Lost() {
		return delegate.OrderBatch{}, delegate.ErrSessionEnded
	}
	return t.waitForOrders(ctx, r)
}

// DeliverEvents applies events that a delegate sends. Errors: delegate.ErrSessionEnded.
func (c *Coordinator) DeliverEvents(d delegate.EventBatch) error {
	t := c.current()
	if t == nil || t.ownership.Epoch() != d.Epoch {
		return delegate.ErrSessionEnded
	}
	return t.handleEventBatch(d)
}

// waitForOrders returns the next orders for a host. It waits for some if there are none and the request carried no events.
func (t *term) waitForOrders(ctx context.Context, r delegate.OrdersRequest) (delegate.OrderBatch, error) {
	arrived := time.Now()
	deadline := arrived.Add(delegate.OrdersPollTimeout)
	if !t.waitForWorkerList(ctx, deadline) {
		return delegate.OrderBatch{}, delegate.ErrSessionEnded
	}
	ex, b, err := t.nextBatch(r, arrived)
	for err == nil && ex != nil && len(b.Orders) == 0 && len(r.Events) == 0 && time.Now().Before(deadline) {
		if !wait.ForOrSignal(ctx, time.Until(deadline), ex.ordersReady) {
			break
		}
		ex, b, err = t.nextBatch(r, arrived)
	}
	return b, err
}

// waitForWorkerList waits until the list of workers has been read: whether the owner needs delegates depends on their number.
// It reports false if the list has not been read by the deadline.
func (t *term) waitForWorkerList(ctx context.Context, deadline time.Time) bool {
	for time.Now().Before(deadline) {
		t.mu.Lock()
		workersListed := t.assigner.workersListed
		t.mu.Unlock()
		if workersListed {
			return true
		}
		if !wait.For(ctx, planBatchDelay) {
			return false
		}
	}
	return false
}

// nextBatch returns the orders for a host, without waiting. The executor is nil if the owner does not need the host as a
// delegate.
func (t *term) nextBatch(r delegate.OrdersRequest, arrived time.Time) (*executor, delegate.OrderBatch, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if r.Leaving {
		if ex := t.assigner.remote[r.Host]; ex != nil && ex.session == r.Session {
			t.assigner.dropDelegate(now, ex, "the host is leaving")
			t.requestPlan()
		}
		return nil, delegate.OrderBatch{}, nil
	}
	ex := t.assigner.admit(now, r, arrived)
	if ex == nil {
		if r.After > 0 {
			return nil, delegate.OrderBatch{}, delegate.ErrSessionEnded
		}
		return nil, delegate.OrderBatch{}, nil
	}
	ex.lastCall = now
	if len(r.Events) > 0 && !t.acceptEvents(ex, r.First, r.Events) {
		return nil, delegate.OrderBatch{}, delegate.ErrSessionEnded
	}
	b := delegate.OrderBatch{Wanted: true, RenewPollTimeout: delegate.RenewPollTimeout(t.sched.WorkerCount()), MinCallInterval: t.pressure.callInterval(delegate.MinCallInterval(len(t.assigner.remote))),
		Permit: min(max(election.LeaseDuration-t.ownership.SinceLastCommit(), 0), delegate.PermitLimit)}
	if t.ownership.Lost() {
		return nil, delegate.OrderBatch{}, delegate.ErrSessionEnded
	}
	b.Orders, b.Last = ex.ordersAfter(r.After)
	if ex.hasReleaseAfter(len(b.Orders)) {
		b.Permit = 0 // the bound of that worker's lease counts from the release
	}
	return ex, b, nil
}

// handleEventBatch applies the events of a batch. Errors: delegate.ErrSessionEnded.
func (t *term) handleEventBatch(d delegate.EventBatch) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	ex := t.assigner.remote[d.Host]
	if ex == nil || ex.session != d.Session || !t.acceptEvents(ex, d.First, d.Events) {
		return delegate.ErrSessionEnded
	}
	ex.lastCall = time.Now()
	return nil
}

// acceptEvents applies the events that were not received before; first is the sequence number of events[0]. It reports false
// if there is a gap in the sequence. The caller holds mu.
func (t *term) acceptEvents(ex *executor, first int64, events []delegate.Event) bool {
	if first > ex.lastEvent+1 {
		return false
	}
	if skip := ex.lastEvent + 1 - first; skip > 0 {
		events = events[min(skip, int64(len(events))):]
	}
	ex.lastEvent += int64(len(events))
	defer t.deps.Duties.Begin(dutyEvents)()
	t.applyEvents(ex, events)
	return true
}

// applyLocalEvent applies an event from a call that the owner's own process made to a worker.
func (t *term) applyLocalEvent(e delegate.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clock := t.deps.Clock() // read before the owner's time: syncClock needs a time that is not too early
	t.assigner.local.syncClock(time.Now(), clock)
	t.applyEvents(t.assigner.local, []delegate.Event{e})
}

// applyEvents applies the events of an executor in order. The caller holds mu.
func (t *term) applyEvents(ex *executor, events []delegate.Event) {
	for _, e := range events {
		a := t.assigner.assignments[e.WorkerID]
		if a == nil || a.executor != ex || a.generation != e.Generation {
			continue // from an earlier assignment of the worker: its current executor reports the same
		}
		t.applyEvent(ex, a, e)
	}
	t.requestPlan()
}

// applyEvent passes an event on to the scheduler and removes the order that it answers.
func (t *term) applyEvent(ex *executor, a *assignment, e delegate.Event) {
	now := time.Now()
	switch {
	case e.Report != nil:
		t.applyReport(now, ex, e.WorkerID, e.Report)
		a.reported, a.executorRestarts = true, e.Report.Restarts
	case e.MissedRenewal != nil && e.MissedRenewal.Excused:
		t.sched.ExtendLease(e.WorkerID, ex.leaseEnd(e.MissedRenewal.LeaseUntil))
	case e.MissedRenewal != nil:
		t.meters.renewals.Record("failed", now)
		t.applyMissedRenewal(now, ex, e.WorkerID, e.MissedRenewal)
	case e.Started != nil:
		r := e.Started
		delete(a.starts, runKey{r.Task, r.Run})
		t.meters.starts.Record(r.Outcome.String(), now.Add(-r.Took))
		t.sched.HandleStartResult(now, scheduler.StartResult{Task: r.Task, Run: r.Run, Worker: e.WorkerID, Outcome: r.Outcome,
			AnsweredAt: ex.ownerTime(r.AnsweredAt), LeaseUntil: ex.leaseEnd(r.LeaseUntil), OtherClock: r.OtherClock, Retried: r.Retried})
	case e.Stopped != nil:
		r := e.Stopped
		delete(a.stops, runKey{r.Task, r.Run})
		t.sched.HandleStopAck(ex.ownerTime(r.AnsweredAt), e.WorkerID, r.Task, r.Run)
	}
}

// applyMissedRenewal tells the scheduler that a worker does not answer, or that its process has ended.
func (t *term) applyMissedRenewal(now time.Time, ex *executor, worker string, m *delegate.MissedRenewal) {
	failedAt := now
	if m.FailedAt > 0 { // delegates of earlier releases do not send it
		failedAt = ex.ownerTime(m.FailedAt)
	}
	t.sched.MarkUnreachable(failedAt, worker, ex.leaseEnd(m.LeaseUntil))
	if m.Ended {
		t.sched.MarkEnded(now, worker, m.Incarnation)
	}
}

// applyReport passes a worker's report on to the scheduler and logs the runs that it shows as ended.
func (t *term) applyReport(now time.Time, ex *executor, worker string, r *delegate.Report) {
	sentAt := ex.ownerTime(r.SentAt)
	t.meters.renewals.Record("answered", sentAt)
	if t.sched.IsUnresolved(worker) {
		// An earlier owner may have extended the lease until now. A delegate extends it only after this report is applied, so a missed
		// renewal before that tells of no lease.
		t.sched.ExtendLease(worker, now.Add(t.leaseBound(worker)))
	}
	restarts, zero, sameStartTime := t.sched.Restarts(worker), t.sched.ClockZero(worker), t.sched.IsPresent(worker, r.Incarnation)
	applied := t.sched.HandleReport(now, scheduler.Report{
		Worker: worker, Incarnation: r.Incarnation, SentAt: sentAt, LeaseUntil: ex.leaseEnd(r.LeaseUntil),
		Active: r.Active, Ended: r.Ended, MoreEnded: r.MoreEnded, Unfenced: r.Unfenced, ClockMS: r.ClockMS, ClockJumped: r.ClockJumped,
	})
	if sameStartTime && t.sched.Restarts(worker) != restarts {
		t.log.Warn("worker may have restarted with the same start time", zap.String("worker", worker), zap.Int64("born", r.Incarnation),
			zap.Int64("clock_zero_ms", t.sched.ClockZero(worker).UnixMS), zap.Int64("earlier_clock_zero_ms", zero.UnixMS))
	}
	for _, end := range applied {
		t.meters.ends.Record(end.Outcome, end.OrderedAt)
		t.log.Info("run ended", zap.String("job", end.Job), zap.Stringer("task", end.Task), zap.Int64("run", end.Run),
			zap.String("worker", end.Worker), zap.String("outcome", end.Outcome), zap.Bool("given_up", end.GivenUp))
	}
	if len(applied) > 0 {
		wait.Signal(t.saveRequested)
	}
}
