package delegate

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/asynclog"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	// renewPollTimeout is the long-poll timeout of a renewal: how long a worker delays its answer until a run ends. It
	// bounds the age of the reported progress and, with renewTimeout, the time until a silent worker is detected. With many
	// workers it grows to renewPollPerWorker for each worker, up to maxRenewPoll, because each renewal costs the owner and
	// its delegates processor time.
	renewPollTimeout    = 600 * time.Millisecond
	renewPollPerWorker  = 5 * time.Millisecond
	maxRenewPollTimeout = 1500 * time.Millisecond
	renewTimeout        = 250 * time.Millisecond
	// endBatchDelay is the delay before the next renewal after runs have ended, so that runs that end together are reported
	// in one answer.
	endBatchDelay = 15 * time.Millisecond
	// maxAckTimeout limits how long the next renewal is delayed until the owner has stored the ended runs of the last report. The
	// worker answers a renewal at once, without long polling, if that does not acknowledge them. The delay is the part
	// 1/ackTimeoutDivisor of the long-poll timeout: a store that is slow for seconds would otherwise delay each end by the whole of
	// maxAckTimeout, as the worker tells of further ends only with the next answer.
	maxAckTimeout     = 250 * time.Millisecond
	ackTimeoutDivisor = 8

	// confirmTimeout is how long the next renewal is delayed until the owner has applied a report after a silence. An owner that is
	// behind must not get more reports than usual.
	confirmTimeout = 500 * time.Millisecond
	minRetryDelay  = 50 * time.Millisecond
	maxRetryDelay  = 500 * time.Millisecond
)

// errPermitExpired means that a renewal was not sent because this process may not call workers now.
var errPermitExpired = errors.New("delegate: permit expired")

// errNoClock means that an answer does not come from a worker, since each answer of a worker contains its clock. Such an answer
// lists no runs either, so it must not count as a report.
var errNoClock = errors.New("delegate: answer without the worker's clock")

// RenewPollTimeout returns the long-poll timeout of renewals for an owner with this number of workers.
func RenewPollTimeout(workers int) time.Duration {
	return min(max(renewPollTimeout, time.Duration(workers)*renewPollPerWorker), maxRenewPollTimeout)
}

// leaseRenewer renews the lease of one worker and receives its reports.
type leaseRenewer struct {
	a      *Agent
	id     string // of the worker
	cancel context.CancelFunc
	acks   chan struct{} // signalled when more ended runs are acknowledged
	// ownerActed is signalled when the owner has applied a report or changed the assignment.
	ownerActed chan struct{}

	mu       sync.Mutex
	info     scheduler.WorkerInfo
	replaced scheduler.ReplacedIncarnations
	namedAt  time.Duration // when the owner last named another incarnation than the one that answered, on the agent's clock
	// fencesClockJumps means that the owner raises the token also if the worker may have restarted with the same start time.
	fencesClockJumps bool
	restarts         int // of the worker that this delegate has seen or suspected
	generation       int64
	durableEnd       int64 // the owner has stored ended runs up to this number
	// ackedIncarnation has answered a renewal that acknowledged its ends up to ackedEnd.
	ackedIncarnation, ackedEnd int64
	token                      int64 // of calls to the worker
	// staleToken is set while stale calls with tokens up to it may be carried out by the present incarnation.
	staleToken int64
	clock      workerClock
	// unresponsive is set until the first answer, and from a renewal without an answer until the next answer. While it is set,
	// no call extends the lease, so that the tasks there expire even if the worker processes a call late.
	unresponsive bool
	// unconfirmed is set from the first answer, or the one that ends a silence, until the owner has applied a report from after
	// that. While it is set, no call extends the lease either: until then the owner takes the tasks for expired at the end of
	// the lease that it was told of with the missed renewal, or that it has computed from the permits of an earlier executor
	// or owner, and it may learn of the answer later than that.
	unconfirmed bool
	leaseUntil  time.Duration // when all tasks have certainly expired without another call, on the agent's clock
	maxDeadline int64         // latest deadline that a call has carried, on the worker's clock
	otherClock  bool          // since the last report, a start was answered by another clock than the one of that report
	excused     int           // renewals since the last answer whose missing answer was excused
	silences    int           // number of renewals without an answer; tells to which silence a confirmation belongs
	ready       chan struct{} // closed once a call may extend the lease: the clock is known, unconfirmed and staleToken are not set
	readyClosed bool
}

// run renews the lease until ctx ends, with exponential backoff while the worker does not answer.
func (r *leaseRenewer) run(ctx context.Context) {
	failures := 0
	pollTimeout := time.Duration(0) // no long poll: the first renewal is answered at once
	for ctx.Err() == nil {
		if !r.a.permitValid() {
			wait.For(ctx, maxRetryDelay)
			continue
		}
		ends, err := r.renew(ctx, pollTimeout)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errPermitExpired) {
			continue
		}
		if err != nil {
			if failures == 0 {
				r.a.log.Warn("worker does not answer", zap.String("worker", r.id), asynclog.Error(err))
			}
			wait.For(ctx, wait.Backoff(minRetryDelay, maxRetryDelay, failures))
			failures++
			pollTimeout = 0
			continue
		}
		if failures > 0 {
			r.a.log.Info("worker answers again", zap.String("worker", r.id), zap.Int("failures", failures))
		}
		failures = 0
		pollTimeout = r.awaitAcks(ctx, ends)
		r.awaitOwner(ctx)
	}
}

// awaitOwner waits until the owner has applied a report from after the last silence, and has raised the token if the worker has
// restarted, or until the wait times out.
func (r *leaseRenewer) awaitOwner(ctx context.Context) {
	r.mu.Lock()
	waiting := r.unconfirmed || r.staleToken != 0 && r.token <= r.staleToken
	r.mu.Unlock()
	if waiting {
		wait.ForOrSignal(ctx, confirmTimeout, r.ownerActed)
	}
}

// awaitAcks waits until the owner has stored the ended runs of the last report, up to number ends, or until the wait times
// out. It returns the long-poll timeout of the next renewal: 0 after a timeout, since the worker would answer a renewal that
// does not acknowledge the ended runs at once anyway.
func (r *leaseRenewer) awaitAcks(ctx context.Context, ends int64) time.Duration {
	if ends == 0 {
		return time.Duration(r.a.renewPollTimeout.Load())
	}
	wait.For(ctx, endBatchDelay)
	limit := time.Now().Add(r.ackTimeout())
	for ctx.Err() == nil && time.Now().Before(limit) {
		if r.state().lastAckedEnd >= ends {
			return time.Duration(r.a.renewPollTimeout.Load())
		}
		wait.ForOrSignal(ctx, time.Until(limit), r.acks)
	}
	return 0
}

func (r *leaseRenewer) ackTimeout() time.Duration {
	return min(time.Duration(r.a.renewPollTimeout.Load())/ackTimeoutDivisor, maxAckTimeout)
}

// renew sends one renewal and emits the report. It returns the highest number of the ended runs in the report. Errors:
// errPermitExpired if nothing was sent.
func (r *leaseRenewer) renew(ctx context.Context, pollTimeout time.Duration) (int64, error) {
	st := r.state()
	info, generation := st.info, st.generation
	st.lastAckedEnd = r.ackToSend(st)
	sentAt := r.a.deps.Clock()
	leaseDeadline, leaseUntil := r.leaseDeadline(sentAt)
	if !r.a.permitValid() {
		return 0, errPermitExpired // checked after the deadline was computed: the process may have been paused since the last check
	}
	if leaseDeadline == 0 {
		pollTimeout = 0 // the next call that can extend the lease must not wait for a long poll
	}
	timeout := pollTimeout + renewTimeout
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := r.a.deps.Client.Renew(callCtx, info, Renewal{FencingToken: st.token, LastAckedEnd: st.lastAckedEnd, Deadline: leaseDeadline, PollTimeout: pollTimeout})
	if ctx.Err() != nil && err != nil {
		return 0, err // released from this delegate; the next one finds out the worker's state
	}
	if err == nil && answer.ClockMS == 0 {
		err = errNoClock
	}
	if err != nil {
		failedAt := r.a.deps.Clock()
		excusable := callCtx.Err() != nil && r.a.pauseDetector.mayExplainTimeout(sentAt, failedAt, timeout)
		r.noteUnanswered(leaseDeadline, failedAt)
		leaseUntil, excused := r.recordFailure(excusable)
		r.a.emit(Event{WorkerID: info.ID, Generation: generation, MissedRenewal: &MissedRenewal{LeaseUntil: leaseUntil, FailedAt: failedAt,
			Ended: errors.Is(err, ErrWorkerEnded), Incarnation: info.Incarnation, Excused: excused}})
		return 0, err
	}
	if answer.Incarnation == 0 {
		answer.Incarnation = info.Incarnation // the worker does not name it
	}
	answer.token, answer.sentAt = st.token, sentAt
	r.limitCheckpoints(&answer)
	answer.clockJumped = answer.Incarnation == info.Incarnation && !r.clockContinues(answer)
	if answer.Incarnation == info.Incarnation && !answer.clockJumped {
		r.noteAcked(info.Incarnation, st.lastAckedEnd)
	}
	stale := r.unfenced()
	applied := r.recordAnswer(answer)
	if applied == nil {
		return 0, nil
	}
	if stale || answer.Incarnation != info.Incarnation || answer.clockJumped {
		leaseUntil = r.lastLeaseEnd() // a stale call may have set it
	}
	if answer.Incarnation != info.Incarnation {
		r.a.log.Warn("worker has restarted", zap.String("worker", r.id), zap.Int64("born", answer.Incarnation), zap.Int64("earlier_born", info.Incarnation),
			zap.Int64("clock_ms", answer.ClockMS), zap.Int64("earlier_deadline_ms", r.deadline()), zap.Duration("lease_left", max(leaseUntil-r.a.deps.Clock(), 0)))
	}
	r.a.emit(Event{WorkerID: info.ID, Generation: generation, applied: applied, Report: &Report{
		Incarnation: answer.Incarnation, SentAt: sentAt, LeaseUntil: leaseUntil,
		Active: answer.Active, Ended: answer.Ended, MoreEnded: answer.MoreEnded, Unfenced: r.unfenced(),
		ClockMS: answer.ClockMS, ClockJumped: answer.clockJumped, Restarts: r.knownRestarts(),
	}})
	last := int64(0)
	for _, e := range answer.Ended {
		last = max(last, e.Number)
	}
	return last, nil
}

// clockContinues reports whether the clock of an answer continues that of the answer before.
func (r *leaseRenewer) clockContinues(a RenewalAnswer) bool {
	before, now := r.lastClock(), r.a.deps.Clock()
	if before.continues(workerClock{known: true, ms: a.ClockMS, askedAt: a.sentAt, readAt: now}) {
		return true
	}
	low, high := before.expected(a.sentAt, now)
	r.a.log.Warn("worker's clock does not continue", zap.String("worker", r.id), zap.Int64("born", a.Incarnation),
		zap.Int64("clock_ms", a.ClockMS), zap.Int64("expected_from_ms", low), zap.Int64("expected_to_ms", high))
	return false
}
