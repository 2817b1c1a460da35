package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/cluster/delegate"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/cluster/tenure"
	"github.com/greengagewing/greengagewing/internal/wait"
)

// Orders answers a host that attends this owner. Errors: delegate.ErrEnded.
func (c *Coordinator) Orders(ctx context.Context, r delegate.Request) (delegate.Batch, error) {
	t := c.current()
	if t == nil || t.tenure.Epoch() != r.Epoch || t.tenure.Lost() {
		return delegate.Batch{}, delegate.ErrEnded
	}
	return t.orders(ctx, r)
}

// Deliver takes events of a host that attends this owner. Errors: delegate.ErrEnded.
func (c *Coordinator) Deliver(d delegate.Delivery) error {
	t := c.current()
	if t == nil || t.tenure.Epoch() != d.Epoch {
		return delegate.ErrEnded
	}
	return t.deliver(d)
}

func (t *term) orders(ctx context.Context, r delegate.Request) (delegate.Batch, error) {
	arrived := time.Now()
	limit := arrived.Add(delegate.OrdersWait)
	if !t.awaitWorkers(ctx, limit) {
		return delegate.Batch{}, delegate.ErrEnded
	}
	h, b, err := t.nextBatch(r, arrived)
	for err == nil && h != nil && len(b.Orders) == 0 && len(r.Events) == 0 && time.Now().Before(limit) {
		if !wait.ForOrSignal(ctx, time.Until(limit), h.ready) {
			break
		}
		h, b, err = t.nextBatch(r, arrived)
	}
	return b, err
}

// awaitWorkers waits until the list of workers was read: before, nobody can tell whether delegates are needed.
func (t *term) awaitWorkers(ctx context.Context, limit time.Time) bool {
	for time.Now().Before(limit) {
		t.mu.Lock()
		known := t.fleet.known
		t.mu.Unlock()
		if known {
			return true
		}
		if !wait.For(ctx, planDelay) {
			return false
		}
	}
	return false
}

// nextBatch returns the orders for a host, without waiting. The holder is nil if the host is not wanted.
func (t *term) nextBatch(r delegate.Request, arrived time.Time) (*holder, delegate.Batch, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if r.Leaving {
		if h := t.fleet.remote[r.Host]; h != nil && h.session == r.Session {
			t.fleet.drop(now, h, "the host leaves")
			t.wake()
		}
		return nil, delegate.Batch{}, nil
	}
	h := t.fleet.join(now, r, arrived)
	if h == nil {
		if r.After > 0 {
			return nil, delegate.Batch{}, delegate.ErrEnded
		}
		return nil, delegate.Batch{}, nil
	}
	h.seen = now
	if len(r.Events) > 0 && !t.receive(h, r.First, r.Events) {
		return nil, delegate.Batch{}, delegate.ErrEnded
	}
	b := delegate.Batch{Wanted: true, RenewWait: delegate.RenewWait(t.sched.WorkerCount()), Pace: delegate.Pace(len(t.fleet.remote)),
		Permit: min(max(tenure.Validity-t.tenure.ConfirmedAge(), 0), delegate.PermitLimit)}
	if t.tenure.Lost() {
		return nil, delegate.Batch{}, delegate.ErrEnded
	}
	b.Orders, b.Last = h.batch(r.After)
	return h, b, nil
}

func (t *term) deliver(d delegate.Delivery) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.fleet.remote[d.Host]
	if h == nil || h.session != d.Session || !t.receive(h, d.First, d.Events) {
		return delegate.ErrEnded
	}
	h.seen = time.Now()
	return nil
}

// receive applies the events that were not received before, and reports false if some are missing. It is called with mu
// held.
func (t *term) receive(h *holder, first int64, events []delegate.Event) bool {
	if first > h.received+1 {
		return false
	}
	if skip := h.received + 1 - first; skip > 0 {
		events = events[min(skip, int64(len(events))):]
	}
	h.received += int64(len(events))
	t.take(h, events)
	return true
}

// takeOwn applies an event of the owner's own calls to workers.
func (t *term) takeOwn(e delegate.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.take(t.fleet.local, []delegate.Event{e})
}

// take applies events of a holder in their order. It is called with mu held.
func (t *term) take(h *holder, events []delegate.Event) {
	for _, e := range events {
		a := t.fleet.assigned[e.WorkerID]
		if a == nil || a.holder != h || a.generation != e.Generation {
			continue // the worker has another delegate, which tells the same
		}
		t.apply(h, a, e)
	}
	t.wake()
}

func (t *term) apply(h *holder, a *assignment, e delegate.Event) {
	now := time.Now()
	switch {
	case e.Report != nil:
		t.applyReport(now, h, e.WorkerID, e.Report)
	case e.Silence != nil && e.Silence.Excused:
		t.sched.ExtendLease(e.WorkerID, h.lease(e.Silence.LeaseUntil))
	case e.Silence != nil:
		t.meters.renewals.Done("failed", now)
		t.sched.CallFailed(now, e.WorkerID, h.lease(e.Silence.LeaseUntil))
	case e.Started != nil:
		r := e.Started
		delete(a.starts, runKey{r.Task, r.Run})
		t.meters.starts.Done(r.Outcome.String(), now.Add(-r.Took))
		t.sched.StartDone(now, scheduler.StartResult{Task: r.Task, Run: r.Run, Worker: e.WorkerID, Outcome: r.Outcome,
			At: h.time(r.At), LeaseUntil: h.lease(r.LeaseUntil)})
	case e.Stopped != nil:
		r := e.Stopped
		delete(a.stops, runKey{r.Task, r.Run})
		t.sched.StopDone(h.time(r.At), e.WorkerID, r.Task, r.Run)
	}
}

func (t *term) applyReport(now time.Time, h *holder, worker string, r *delegate.Report) {
	asked := h.time(r.Asked)
	t.meters.renewals.Done("answered", asked)
	changes := t.sched.Report(now, scheduler.Report{
		Worker: worker, Born: r.Born, Asked: asked, LeaseUntil: h.lease(r.LeaseUntil), Active: r.Active, Ended: r.Ended,
	})
	for _, ch := range changes {
		t.meters.ends.Done(ch.Outcome, ch.Ordered)
		t.log.Info("run ended", zap.String("job", ch.Job), zap.Stringer("task", ch.Task), zap.Int64("run", ch.Run),
			zap.String("worker", ch.Worker), zap.String("outcome", ch.Outcome))
	}
	if len(changes) > 0 {
		wait.Signal(t.save)
	}
}
