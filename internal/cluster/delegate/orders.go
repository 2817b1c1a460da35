package delegate

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/asynclog"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/wait"
)

// startTimeouts are the timeouts of the successive attempts to send a start. All attempts carry the same run number, and a
// worker starts a run at most once, so retries are safe. No attempt begins after half of Config.GangTimeout.
var startTimeouts = [...]time.Duration{200 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond}

const (
	// readyTimeout is how long a start waits until calls may extend the lease of its worker: for the first renewal answer, which
	// makes the worker's clock known, and for the owner to apply the report.
	readyTimeout = 600 * time.Millisecond

	stopTimeout       = 250 * time.Millisecond
	stopMinRetryDelay = 50 * time.Millisecond
	stopMaxRetryDelay = 400 * time.Millisecond
)

// start sends one start until the worker answers, is released from this delegate, or all attempts are used. An attempt that
// timed out while this process was paused does not count, because it is no evidence that the worker is down.
func (a *Agent) start(o StartOrder) {
	began := a.deps.Clock()
	result := StartResult{Task: o.Task, Run: o.Run, Outcome: scheduler.RejectedOther}
	maybeStarted := o.Repeated
	attempts, countedAttempts := 0, 0
	r := a.renewer(o.WorkerID)
	if r != nil {
		// The lease of a worker that was assigned a moment ago can't be extended before its first report is applied.
		wait.ForOrSignal(a.ctx, readyTimeout, r.readySignal())
	}
	for r != nil && countedAttempts < len(startTimeouts) {
		now := a.deps.Clock()
		leaseDeadline, leaseUntil := r.leaseDeadline(now)
		st := r.state()
		if a.renewer(o.WorkerID) != r {
			break // checked after the deadline was computed: the owner's bound of the lease counts from the release
		}
		if leaseDeadline == 0 || st.info.Incarnation != o.Incarnation || !a.permitValid() || a.ctx.Err() != nil || now-began > a.cfg.GangTimeout/2 {
			break
		}
		result.LeaseUntil = max(result.LeaseUntil, leaseUntil)
		attempts++
		timeout := startTimeouts[countedAttempts]
		answer, err := a.sendStart(StartCall{StartOrder: o, Worker: st.info, FencingToken: st.token, Deadline: leaseDeadline}, timeout)
		if answer.Outcome != scheduler.StartUnknown {
			result.Outcome = answer.Outcome
			a.checkClock(r, leaseDeadline, answer.ClockMS, &result)
			break
		}
		if answer.NotSent {
			result.Outcome = scheduler.RejectedUnhealthy
		} else {
			maybeStarted = true
			result.LeaseUntil = max(result.LeaseUntil, r.noteUnanswered(leaseDeadline, a.deps.Clock()))
		}
		if !a.pauseDetector.mayExplainTimeout(now, a.deps.Clock(), timeout) {
			countedAttempts++
		}
		a.log.Warn("start not answered", zap.Stringer("task", o.Task), zap.Int64("run", o.Run), zap.String("worker", o.WorkerID),
			zap.Int("attempt", attempts), asynclog.Error(err))
	}
	result.Retried = maybeStarted
	// The worker may still carry out an attempt that it did not answer, unless it has reported that it knows the run.
	if maybeStarted && result.Outcome != scheduler.StartAccepted && result.Outcome != scheduler.RejectedStaleRun {
		result.Outcome = scheduler.StartUnknown
	}
	result.AnsweredAt = a.deps.Clock()
	result.Took = result.AnsweredAt - began
	a.log.Info("start", zap.String("job", o.Task.Job), zap.Stringer("task", o.Task), zap.Int64("run", o.Run),
		zap.String("worker", o.WorkerID), zap.Duration("waited", o.Waited), zap.Int("attempts", attempts),
		zap.Stringer("outcome", result.Outcome))
	a.emit(Event{WorkerID: o.WorkerID, Generation: o.Generation, Started: &result})
}

// checkClock adds to the result what the clock in the answer to a start with the given deadline shows.
func (a *Agent) checkClock(r *leaseRenewer, deadline, clockMS int64, result *StartResult) {
	leaseUntil, otherClock := r.checkClock(deadline, clockMS, a.deps.Clock())
	if !otherClock {
		return
	}
	result.LeaseUntil, result.OtherClock = max(result.LeaseUntil, leaseUntil), true
	a.log.Warn("a start was answered by a clock that does not continue", zap.String("worker", r.id), zap.Int64("clock_ms", clockMS),
		zap.Int64("deadline_ms", deadline), zap.Stringer("outcome", result.Outcome))
}

func (a *Agent) sendStart(c StartCall, timeout time.Duration) (StartAnswer, error) {
	ctx, cancel := context.WithTimeout(a.ctx, timeout)
	defer cancel()
	return a.deps.Client.Start(ctx, c)
}

// stop sends a stop until the worker answers, has restarted or is released from this delegate.
func (a *Agent) stop(o StopOrder) {
	r := a.renewer(o.WorkerID)
	if r == nil {
		return
	}
	for failures := 0; a.ctx.Err() == nil; failures++ {
		st := r.state()
		if st.info.Incarnation != o.Incarnation || a.renewer(o.WorkerID) != r {
			return
		}
		if a.permitValid() && a.sendStop(StopCall{StopOrder: o, Worker: st.info, FencingToken: st.token}) == nil {
			break
		}
		wait.For(a.ctx, wait.Backoff(stopMinRetryDelay, stopMaxRetryDelay, failures))
	}
	if a.ctx.Err() != nil {
		return
	}
	a.log.Info("stop", zap.String("job", o.Task.Job), zap.Stringer("task", o.Task), zap.Int64("run", o.Run),
		zap.String("worker", o.WorkerID), zap.String("reason", o.Reason))
	a.emit(Event{WorkerID: o.WorkerID, Generation: o.Generation, Stopped: &StopResult{Task: o.Task, Run: o.Run, AnsweredAt: a.deps.Clock()}})
}

func (a *Agent) sendStop(c StopCall) error {
	ctx, cancel := context.WithTimeout(a.ctx, stopTimeout)
	defer cancel()
	return a.deps.Client.Stop(ctx, c)
}
