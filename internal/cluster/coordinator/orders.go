package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/asynclog"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/wait"
)

// startTimeouts are the time limits of a start's attempts. All attempts carry the same run, which a worker starts once. No
// attempt begins after half of the time that members of a gang wait for each other.
var startTimeouts = [...]time.Duration{200 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond}

const (
	stopTimeout    = 250 * time.Millisecond
	stopRetryFirst = 50 * time.Millisecond
	stopRetryLimit = 400 * time.Millisecond
)

// order is a start with the runner of its worker.
type order struct {
	start  scheduler.Start
	runner *runner
}

// prepareStarts pairs starts with the runners of their workers; it is called with mu held.
func (t *term) prepareStarts(starts []scheduler.Start) []order {
	out := make([]order, 0, len(starts))
	for _, s := range starts {
		r := t.runners[s.Worker.ID]
		if r == nil || !t.used[s.Worker.ID] {
			// The worker must be stored as used before anything runs there, so that a successor waits for its report.
			t.sched.StartDone(time.Now(), scheduler.StartResult{Task: s.Task, Run: s.Run, Worker: s.Worker.ID, Outcome: scheduler.RejectedOther})
			continue
		}
		out = append(out, order{s, r})
	}
	return out
}

// start sends one start until it has an answer or its attempts are used up.
func (t *term) start(ctx context.Context, o order) {
	result := scheduler.StartResult{Task: o.start.Task, Run: o.start.Run, Worker: o.start.Worker.ID, Outcome: scheduler.RejectedOther}
	uncertain := false
	attempts := 0
	began := time.Now()
	for _, limit := range startTimeouts {
		now := time.Now()
		deadline, leaseUntil := o.runner.deadline(now)
		if deadline == 0 || !t.tenure.Valid() || ctx.Err() != nil || now.Sub(began) > t.cfg.GangTimeout/2 {
			break
		}
		if leaseUntil.After(result.LeaseUntil) {
			result.LeaseUntil = leaseUntil
		}
		attempts++
		outcome, err := t.sendStart(ctx, o, deadline, limit)
		if outcome != scheduler.StartUnknown {
			result.Outcome = outcome
			break
		}
		uncertain = true
		t.log.Warn("start not answered", zap.Stringer("task", o.start.Task), zap.Int64("run", o.start.Run),
			zap.String("worker", o.start.Worker.ID), zap.Int("attempt", attempts), asynclog.Error(err))
	}
	// An attempt without an answer may still be carried out, unless the run is known there.
	if uncertain && result.Outcome != scheduler.StartAccepted && result.Outcome != scheduler.RejectedOld {
		result.Outcome = scheduler.StartUnknown
	}
	t.meters.starts.Done(result.Outcome.String(), began)
	t.log.Info("start", zap.String("job", o.start.Task.Job), zap.Stringer("task", o.start.Task), zap.Int64("run", o.start.Run),
		zap.String("worker", o.start.Worker.ID), zap.Duration("waited", o.start.Waited), zap.Int("attempts", attempts),
		zap.Stringer("outcome", result.Outcome))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sched.StartDone(time.Now(), result)
	if result.Outcome != scheduler.StartAccepted {
		t.wake()
	}
}

func (t *term) sendStart(ctx context.Context, o order, deadline int64, limit time.Duration) (scheduler.StartOutcome, error) {
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return t.deps.Workers.Start(callCtx, Order{Start: o.start, Epoch: t.tenure.Epoch(), Deadline: deadline})
}

// stop sends a stop until the worker has answered or is gone.
func (t *term) stop(ctx context.Context, s scheduler.Stop) {
	for failures := 0; ctx.Err() == nil; failures++ {
		if t.tenure.Valid() {
			callCtx, cancel := context.WithTimeout(ctx, stopTimeout)
			err := t.deps.Workers.Stop(callCtx, s, t.tenure.Epoch())
			cancel()
			if err == nil {
				break
			}
		}
		if !t.sameLife(s.Worker) {
			return
		}
		wait.For(ctx, wait.Backoff(stopRetryFirst, stopRetryLimit, failures))
	}
	t.log.Info("stop", zap.String("job", s.Task.Job), zap.Stringer("task", s.Task), zap.Int64("run", s.Run),
		zap.String("worker", s.Worker.ID), zap.String("reason", s.Reason))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sched.StopDone(time.Now(), s.Worker.ID, s.Task, s.Run)
}

// sameLife reports whether the worker is still the one that a stop was meant for.
func (t *term) sameLife(w scheduler.WorkerInfo) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.runners[w.ID]
	return r != nil && r.current().Born == w.Born
}
