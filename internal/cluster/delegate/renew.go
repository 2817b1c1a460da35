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
	// renewWait is how long a worker holds its answer back until a run ends. It bounds the age of the progress that is
	// known and, with renewTimeout, the time until a silent worker is noticed. With many workers it grows by
	// renewWaitEach for each, up to renewWaitLimit: a renewal costs the owner and its delegates processor time.
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

// RenewWait returns how long workers hold their answers back when an owner has so many of them.
func RenewWait(workers int) time.Duration {
	return min(max(renewWait, time.Duration(workers)*renewWaitEach), renewWaitLimit)
}

// runner renews the lease of one worker and takes its reports.
type runner struct {
	a      *Agent
	cancel context.CancelFunc
	acks   chan struct{} // signalled when more ends are durable
	ready  chan struct{} // closed by the first answer
	once   sync.Once     // closes ready

	mu         sync.Mutex
	info       scheduler.WorkerInfo
	generation int64
	lastEnd    int64 // ends up to this number are durable
	clock      workerClock
	// failing is set from a call without an answer until the next answer. While it is set nothing extends the lease, so
	// that what runs there lapses, also if a call is carried out late.
	failing bool
}

// workerClock estimates a worker's clock from its last answer.
type workerClock struct {
	known bool
	ms    int64
	read  time.Duration // when the answer arrived, on the agent's clock
}

func (r *runner) update(as Assignment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if as.Worker.Born != r.info.Born {
		r.clock = workerClock{}
		r.lastEnd = 0
	}
	r.info, r.generation, r.lastEnd = as.Worker, as.Generation, max(r.lastEnd, as.LastEnd)
}

func (r *runner) acknowledge(end int64) {
	r.mu.Lock()
	r.lastEnd = max(r.lastEnd, end)
	r.mu.Unlock()
	wait.Signal(r.acks)
}

// deadline returns the lease's end on the worker's clock for a call that is sent now, and when everything there has
// certainly lapsed; 0 if the clock is not known or the worker does not answer.
func (r *runner) deadline(now time.Duration) (int64, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.clock.known || r.failing {
		return 0, 0
	}
	return r.clock.ms + (now - r.clock.read + r.a.cfg.Lease).Milliseconds(), now + r.a.cfg.LeaseBound()
}

func (r *runner) answered(a RenewalAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing = false
	if a.Born > r.info.Born {
		// The ends of a new life are numbered anew, and nothing that was ordered before is meant for it.
		r.info.Born, r.lastEnd = a.Born, 0
	}
	r.clock = workerClock{known: true, ms: a.ClockMS, read: r.a.deps.Clock()}
	r.once.Do(func() { close(r.ready) })
}

func (r *runner) failed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing = true
}

func (r *runner) current() (scheduler.WorkerInfo, int64, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.info, r.generation, r.lastEnd
}

func (r *runner) run(ctx context.Context) {
	failures := 0
	poll := time.Duration(0) // the first renewal is answered at once
	for ctx.Err() == nil {
		if !r.a.valid() {
			wait.For(ctx, retryLimit)
			continue
		}
		ends, err := r.renew(ctx, poll)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if failures == 0 {
				r.a.log.Warn("worker does not answer", zap.String("worker", r.info.ID), asynclog.Error(err))
			}
			wait.For(ctx, wait.Backoff(retryFirst, retryLimit, failures))
			failures++
			poll = 0
			continue
		}
		if failures > 0 {
			r.a.log.Info("worker answers again", zap.String("worker", r.info.ID), zap.Int("failures", failures))
		}
		failures = 0
		poll = r.pause(ctx, ends)
	}
}

// pause waits until the ends of the last report are durable and returns how long the next renewal may wait for another
// end: a renewal that can't acknowledge them would be answered at once.
func (r *runner) pause(ctx context.Context, ends int64) time.Duration {
	if ends == 0 {
		return time.Duration(r.a.renewWait.Load())
	}
	wait.For(ctx, renewPause)
	limit := time.Now().Add(ackWait)
	for ctx.Err() == nil && time.Now().Before(limit) {
		if _, _, lastEnd := r.current(); lastEnd >= ends {
			return time.Duration(r.a.renewWait.Load())
		}
		wait.ForOrSignal(ctx, time.Until(limit), r.acks)
	}
	return 0
}

// renew sends one renewal and passes the report on. It returns the number of the last end that the report lists.
func (r *runner) renew(ctx context.Context, poll time.Duration) (int64, error) {
	info, generation, lastEnd := r.current()
	asked := r.a.deps.Clock()
	deadline, leaseUntil := r.deadline(asked)
	limit := poll + renewTimeout
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answer, err := r.a.deps.Client.Renew(callCtx, info, Renewal{Epoch: r.a.epoch, LastEnd: lastEnd, Deadline: deadline, Wait: poll})
	if ctx.Err() != nil && err != nil {
		return 0, err // given back: another delegate finds out
	}
	if err != nil {
		excused := callCtx.Err() != nil && r.a.pauses.after(asked, r.a.deps.Clock(), limit)
		if !excused {
			r.failed()
		}
		r.a.emit(Event{WorkerID: info.ID, Generation: generation, Silence: &Silence{LeaseUntil: leaseUntil, Excused: excused}})
		return 0, err
	}
	if answer.Born != 0 && answer.Born < info.Born {
		return 0, nil // an answer of an earlier life
	}
	r.answered(answer)
	r.a.emit(Event{WorkerID: info.ID, Generation: generation, Report: &Report{
		Born: max(answer.Born, info.Born), Asked: asked, LeaseUntil: leaseUntil, Active: answer.Active, Ended: answer.Ended,
	}})
	last := int64(0)
	for _, e := range answer.Ended {
		last = max(last, e.Number)
	}
	return last, nil
}
