package coordinator

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/asynclog"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	// renewWait is how long a worker holds its answer back until a run ends. It bounds the age of the progress that is
	// known and, with renewTimeout, the time until a silent worker is noticed. With many workers it grows by
	// renewWaitEach for each, up to renewWaitLimit: a renewal costs the owner 0.1 ms of processor time.
	renewWait      = 600 * time.Millisecond
	renewWaitEach  = 5 * time.Millisecond
	renewWaitLimit = 1500 * time.Millisecond
	renewTimeout   = 250 * time.Millisecond
	// renewPause gathers ends that come together into one answer.
	renewPause = 15 * time.Millisecond
	// ackWait is how long the next renewal waits for the ends of the last one to become durable. A renewal that does not
	// acknowledge them is answered at once.
	ackWait = 250 * time.Millisecond

	retryFirst = 50 * time.Millisecond
	retryLimit = 500 * time.Millisecond
)

// runner renews the lease of one worker and takes its reports.
type runner struct {
	t      *term
	cancel context.CancelFunc
	acked  chan struct{} // signalled when more ends are durable

	mu    sync.Mutex
	info  scheduler.WorkerInfo
	clock workerClock
	// failing is set from a call without an answer until the next answer. While it is set nothing extends the lease, so
	// that what runs there lapses, also if a call is carried out late.
	failing bool
}

// workerClock estimates a worker's clock from its last answer.
type workerClock struct {
	ms   int64
	read time.Time // when the answer arrived; zero before the first one
}

// followWorkers starts and ends runners so that each worker of the scheduler has one.
func (t *term) followWorkers(ctx context.Context) {
	wanted := map[string]bool{}
	for _, info := range t.sched.Workers() {
		wanted[info.ID] = true
		if r := t.runners[info.ID]; r != nil {
			r.update(info)
			continue
		}
		runnerCtx, cancel := context.WithCancel(ctx)
		r := &runner{t: t, cancel: cancel, acked: make(chan struct{}, 1), info: info}
		t.runners[info.ID] = r
		t.wg.Go(func() { r.run(runnerCtx) })
	}
	for id, r := range t.runners {
		if !wanted[id] {
			r.cancel()
			delete(t.runners, id)
		}
	}
	t.workers.Store(int64(len(t.runners)))
}

func (r *runner) update(info scheduler.WorkerInfo) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if info.Born != r.info.Born {
		r.clock = workerClock{}
	}
	r.info = info
}

// deadline returns the lease's end on the worker's clock for a call that is sent now, and when everything there has
// certainly lapsed; 0 if the clock is not known or the worker does not answer.
func (r *runner) deadline(now time.Time) (int64, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clock.read.IsZero() || r.failing {
		return 0, time.Time{}
	}
	return r.clock.ms + (now.Sub(r.clock.read) + r.t.cfg.Lease).Milliseconds(), now.Add(r.t.leaseBound())
}

func (r *runner) answered(a RenewalAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing = false
	r.clock = workerClock{ms: a.ClockMS, read: time.Now()}
}

func (r *runner) failed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing = true
}

func (r *runner) current() scheduler.WorkerInfo {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.info
}

func (r *runner) run(ctx context.Context) {
	failures := 0
	poll := time.Duration(0) // the first renewal is answered at once
	for ctx.Err() == nil {
		if !r.t.tenure.Valid() {
			wait.For(ctx, retryLimit)
			continue
		}
		ends, err := r.renew(ctx, poll)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if failures == 0 {
				r.t.log.Warn("worker does not answer", zap.String("worker", r.current().ID), asynclog.Error(err))
			}
			wait.For(ctx, wait.Backoff(retryFirst, retryLimit, failures))
			failures++
			poll = 0
			continue
		}
		if failures > 0 {
			r.t.log.Info("worker answers again", zap.String("worker", r.current().ID), zap.Int("failures", failures))
		}
		failures = 0
		poll = r.pause(ctx, ends)
	}
}

// pause waits until the ends of the last report are durable and returns how long the next renewal may wait for another
// end: a renewal that can't acknowledge them would be answered at once.
func (r *runner) pause(ctx context.Context, ends int64) time.Duration {
	if ends == 0 {
		return r.longPoll()
	}
	wait.For(ctx, renewPause)
	limit := time.Now().Add(ackWait)
	for ctx.Err() == nil && time.Now().Before(limit) {
		if r.lastEnd() >= ends {
			return r.longPoll()
		}
		wait.ForOrSignal(ctx, time.Until(limit), r.acked)
	}
	return 0
}

// longPoll returns how long a renewal waits for an end.
func (r *runner) longPoll() time.Duration {
	workers := time.Duration(r.t.workers.Load())
	return min(max(renewWait, workers*renewWaitEach), renewWaitLimit)
}

func (r *runner) lastEnd() int64 {
	r.t.mu.Lock()
	defer r.t.mu.Unlock()
	return r.t.sched.AckedEnd(r.info.ID)
}

// renew sends one renewal and applies the report. It returns the number of the last end that the report lists.
func (r *runner) renew(ctx context.Context, poll time.Duration) (int64, error) {
	info := r.current()
	asked := time.Now()
	deadline, leaseUntil := r.deadline(asked)
	callCtx, cancel := context.WithTimeout(ctx, poll+renewTimeout)
	defer cancel()
	a, err := r.t.deps.Workers.Renew(callCtx, info, Renewal{
		Epoch: r.t.tenure.Epoch(), LastEnd: r.lastEnd(), Deadline: deadline, Wait: poll,
	})
	r.t.mu.Lock()
	defer r.t.mu.Unlock()
	defer r.t.wake()
	r.t.meters.renewals.Done(answeredOrNot(err), asked)
	if err != nil {
		r.failed()
		r.t.sched.CallFailed(time.Now(), info.ID, leaseUntil)
		return 0, err
	}
	if a.Born != 0 && a.Born < info.Born {
		return 0, nil // an answer of an earlier life
	}
	r.answered(a)
	changes := r.t.sched.Report(time.Now(), scheduler.Report{
		Worker: info.ID, Born: max(a.Born, info.Born), Asked: asked, LeaseUntil: leaseUntil, Active: a.Active, Ended: a.Ended,
	})
	last := int64(0)
	for _, e := range a.Ended {
		last = max(last, e.Number)
	}
	for _, ch := range changes {
		r.t.meters.ends.Done(ch.Outcome, ch.Ordered)
		r.t.log.Info("run ended", zap.String("job", ch.Job), zap.Stringer("task", ch.Task), zap.Int64("run", ch.Run),
			zap.String("worker", ch.Worker), zap.String("outcome", ch.Outcome))
	}
	wait.Signal(r.t.save)
	return last, nil
}

func answeredOrNot(err error) string {
	if err != nil {
		return "failed"
	}
	return "answered"
}
