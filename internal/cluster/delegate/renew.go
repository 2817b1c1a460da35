package delegate

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
	// minRenewPoll is how long a worker holds its answer back until a run ends. It bounds the age of the progress that is
	// known and, with renewTimeout, the time until a silent worker is noticed. With many workers it grows by
	// renewWaitEach for each, up to renewWaitLimit: a renewal costs the owner and its delegates processor time.
	minRenewPoll       = 600 * time.Millisecond
	renewPollPerWorker = 5 * time.Millisecond
	maxRenewPoll       = 1500 * time.Millisecond
	renewTimeout       = 250 * time.Millisecond
	// endBatchDelay gathers ends that come together into one answer.
	endBatchDelay = 15 * time.Millisecond
	// ackTimeout is how long the next renewal waits for the ends of the last one to become durable. A renewal that does not
	// acknowledge them is answered at once.
	ackTimeout = 250 * time.Millisecond

	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

// RenewWait returns how long workers hold their answers back when an owner has so many of them.
func RenewWait(workers int) time.Duration {
	return min(max(minRenewPoll, time.Duration(workers)*renewPollPerWorker), maxRenewPoll)
}

// leaseRenewer renews the lease of one worker and takes its reports.
type leaseRenewer struct {
	a      *Agent
	cancel context.CancelFunc
	acks   chan struct{} // signalled when more ends are durable
	ready  chan struct{} // closed by the first answer
	once   sync.Once     // closes ready

	mu         sync.Mutex
	info       scheduler.WorkerInfo
	generation int64
	durableEnd int64 // ends up to this number are durable
	clock      workerClock
	// unresponsive is set from a call without an answer until the next answer. While it is set nothing extends the lease, so
	// that what runs there lapses, also if a call is carried out late.
	unresponsive bool
}

// workerClock estimates a worker's clock from its last answer.
type workerClock struct {
	known  bool
	ms     int64
	readAt time.Duration // when the answer arrived, on the agent's clock
}

func (r *leaseRenewer) updateAssignment(as Assignment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if as.Worker.Born != r.info.Born {
		r.clock = workerClock{}
		r.durableEnd = 0
	}
	r.info, r.generation, r.durableEnd = as.Worker, as.Generation, max(r.durableEnd, as.LastEnd)
}

func (r *leaseRenewer) acknowledge(end int64) {
	r.mu.Lock()
	r.durableEnd = max(r.durableEnd, end)
	r.mu.Unlock()
	wait.Signal(r.acks)
}

// leaseDeadline returns the lease's end on the worker's clock for a call that is sent now, and when everything there has
// certainly lapsed; 0 if the clock is not known or the worker does not answer.
func (r *leaseRenewer) leaseDeadline(now time.Duration) (int64, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.clock.known || r.unresponsive {
		return 0, 0
	}
	return r.clock.ms + (now - r.clock.readAt + r.a.cfg.Lease).Milliseconds(), now + r.a.cfg.LeaseBound()
}

func (r *leaseRenewer) recordAnswer(a RenewalAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unresponsive = false
	if a.Born > r.info.Born {
		// The ends of a new life are numbered anew, and nothing that was ordered before is meant for it.
		r.info.Born, r.durableEnd = a.Born, 0
	}
	r.clock = workerClock{known: true, ms: a.ClockMS, readAt: r.a.deps.Clock()}
	r.once.Do(func() { close(r.ready) })
}

func (r *leaseRenewer) recordFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unresponsive = true
}

func (r *leaseRenewer) state() (scheduler.WorkerInfo, int64, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.info, r.generation, r.durableEnd
}

func (r *leaseRenewer) run(ctx context.Context) {
	failures := 0
	pollTimeout := time.Duration(0) // the first renewal is answered at once
	for ctx.Err() == nil {
		if !r.a.permitValid() {
			wait.For(ctx, maxRetryDelay)
			continue
		}
		ends, err := r.renew(ctx, pollTimeout)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if failures == 0 {
				r.a.log.Warn("worker does not answer", zap.String("worker", r.info.ID), asynclog.Error(err))
			}
			wait.For(ctx, wait.Backoff(minRetryDelay, maxRetryDelay, failures))
			failures++
			pollTimeout = 0
			continue
		}
		if failures > 0 {
			r.a.log.Info("worker answers again", zap.String("worker", r.info.ID), zap.Int("failures", failures))
		}
		failures = 0
		pollTimeout = r.awaitAcks(ctx, ends)
	}
}

// awaitAcks waits until the ends of the last report are durable and returns how long the next renewal may wait for another
// end: a renewal that can't acknowledge them would be answered at once.
func (r *leaseRenewer) awaitAcks(ctx context.Context, ends int64) time.Duration {
	if ends == 0 {
		return time.Duration(r.a.renewPollTimeout.Load())
	}
	wait.For(ctx, endBatchDelay)
	limit := time.Now().Add(ackTimeout)
	for ctx.Err() == nil && time.Now().Before(limit) {
		if _, _, lastEnd := r.state(); lastEnd >= ends {
			return time.Duration(r.a.renewPollTimeout.Load())
		}
		wait.ForOrSignal(ctx, time.Until(limit), r.acks)
	}
	return 0
}

// renew sends one renewal and passes the report on. It returns the number of the last end that the report lists.
func (r *leaseRenewer) renew(ctx context.Context, pollTimeout time.Duration) (int64, error) {
	info, generation, lastEnd := r.state()
	sentAt := r.a.deps.Clock()
	deadline, leaseUntil := r.leaseDeadline(sentAt)
	timeout := pollTimeout + renewTimeout
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := r.a.deps.Client.Renew(callCtx, info, Renewal{Epoch: r.a.epoch, LastEnd: lastEnd, Deadline: deadline, Wait: pollTimeout})
	if ctx.Err() != nil && err != nil {
		return 0, err // given back: another delegate finds out
	}
	if err != nil {
		excused := callCtx.Err() != nil && r.a.pauses.mayExplainTimeout(sentAt, r.a.deps.Clock(), timeout)
		if !excused {
			r.recordFailure()
		}
		r.a.emit(Event{WorkerID: info.ID, Generation: generation, Silence: &Silence{LeaseUntil: leaseUntil, Excused: excused}})
		return 0, err
	}
	if answer.Born != 0 && answer.Born < info.Born {
		return 0, nil // an answer of an earlier life
	}
	r.recordAnswer(answer)
	r.a.emit(Event{WorkerID: info.ID, Generation: generation, Report: &Report{
		Born: max(answer.Born, info.Born), Asked: sentAt, LeaseUntil: leaseUntil, Active: answer.Active, Ended: answer.Ended,
	}})
	last := int64(0)
	for _, e := range answer.Ended {
		last = max(last, e.Number)
	}
	return last, nil
}
