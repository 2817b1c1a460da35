package request

import (
	"context"
	"encoding/json"
	"time"
	"unicode/utf8"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/lanes"
)

// dispatch sends a call's attempt to an own minion. The caller has checked that one is available.
func (p *partition) dispatch(c *call, now time.Time) {
	m := p.router.pick(c.avoid)
	p.router.use(m)
	p.begin()
	p.unqueue(c)
	a := p.newAttempt(p.attemptID(), c.req.Payload)
	p.s.wg.Go(func() {
		// Not the caller's deadline: the slot is in use until the minion has answered, and the outcome can be asked for.
		ctx, cancel := context.WithTimeout(p.ctx, maxTimeout)
		defer cancel()
		r := m.path.execute(ctx, a)
		p.attempted(c, m, now, r, ctx.Err() != nil)
	})
}

func (p *partition) newAttempt(id string, payload []byte) attempt {
	return attempt{id: id, payload: payload, check: p.guard.Check}
}

// attempted records the end of an attempt in an own slot.
func (p *partition) attempted(c *call, m *minion, start time.Time, r sent, timedOut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.queue.Release(c.ticket)
	p.settle(m, start, now, r)
	if r.result == sendAnswered || timedOut {
		p.queue.Observe(now, c.req.Customer, c.ticket.Class, c.ticket.Lane, now.Sub(start))
	}
	c.avoid = m
	p.conclude(c, r, now)
	p.end()
	p.pump(now)
}

// settle frees the slot of an attempt and judges its minion. A lost attempt may still run, so its slot stays taken until
// the longest attempt would be over.
func (p *partition) settle(m *minion, start, now time.Time, r sent) {
	held := time.Time{}
	if r.result == sendLost {
		held = start.Add(maxTimeout)
		p.s.m.lost.Inc(1)
	}
	p.router.free(m, held)
	if r.leaving && !m.saidLeaving {
		m.saidLeaving = true
		p.s.deps.Members.ReportLeaving(m.id)
		p.s.deps.Log.Info("minion is leaving", zap.String("minion", m.id))
	}
	switch r.result {
	case sendAnswered:
		p.router.succeeded(m)
	case sendNotRun, sendFailed, sendLost:
		if p.router.failed(m, now) {
			p.s.m.ejected.Inc(1)
			p.s.deps.Log.Info("minion ejected", zap.String("minion", m.id), zap.String("reason", r.reason))
		}
	}
	p.router.update(m)
}

// conclude retries a call or gives it its outcome.
func (p *partition) conclude(c *call, r sent, now time.Time) {
	h := history{idempotent: c.req.Idempotent, maybeRan: c.maybeRan, retries: c.retries}
	h.canRetry = p.phase == serving && now.Before(c.deadline)
	if decide(r.result, h) == endRetry {
		h.canRetry = p.budget.spend()
	}
	if r.result == sendLost || r.result == sendFailed {
		c.maybeRan = true
	}
	switch decide(r.result, h) {
	case endRetry:
		c.retries++
		p.s.m.retried.Inc(1)
		p.requeue(c, now)
	case endDone:
		p.answer(c, Outcome{Outcome: Done, Result: resultOf(r.body)}, now)
	case endNotOwner:
		p.answer(c, Refuse(CodeNoOwner, "the partition has a new owner", ownerRetryAfter), now)
	case endNotRun:
		p.answer(c, Refuse(CodeMinionFailed, r.reason, minRetryAfter), now)
	default:
		p.answer(c, Undecided(CodeOutcomeUnknown, r.reason), now)
	}
}

// requeue puts a call back to its place in the queue.
func (p *partition) requeue(c *call, now time.Time) {
	if p.phase != serving {
		p.answer(c, Refuse(CodeDraining, "the partition is being handed over", drainRetryAfter), now)
		return
	}
	c.queued = true
	p.account(c.req.Customer, now).queued++
	p.queue.Requeue(c.ticket)
	p.wakeBy(c.ticket.Deadline)
}

// borrow asks other daemons for slots for what waits after all own slots are in use.
func (p *partition) borrow(now time.Time) {
	if now.Before(p.borrowAt) {
		return
	}
	idle := p.s.lendable(p)
	for p.borrowed < idle {
		t := p.queue.NextRemote(now)
		if t == nil {
			return
		}
		p.borrowOne(t.Value, t.Lane, now)
	}
}

func (p *partition) borrowOne(c *call, l lanes.Lane, now time.Time) {
	p.borrowed++
	p.begin()
	p.unqueue(c)
	p.s.m.borrowed.Inc(1)
	loan := Loan{
		Service: p.service, Partition: p.name, AttemptID: p.attemptID(), Lane: classOf(l),
		TimeoutMS: maxTimeout.Milliseconds(), Payload: c.req.Payload,
	}
	p.s.wg.Go(func() {
		ctx, cancel := context.WithTimeout(p.ctx, maxTimeout+loanGrace)
		defer cancel()
		if err := p.guard.Check(); err != nil {
			p.returned(c, now, sent{result: sendNotOwner, reason: err.Error()}, false)
			return
		}
		reply, err := p.s.borrow(ctx, loan, l, p)
		p.returned(c, now, loanResult(reply, err), reply.Status == LoanRefused || errors.Is(err, ErrNotSent))
	})
}

// loanResult translates the end of a loan into that of an attempt.
func loanResult(r LoanReply, err error) sent {
	switch {
	case errors.Is(err, ErrNotSent):
		return sent{result: sendNotRun, reason: err.Error()}
	case err != nil:
		return sent{result: sendLost, reason: err.Error()}
	}
	switch r.Status {
	case LoanDone:
		return sent{result: sendAnswered, body: r.Result}
	case LoanRefused, LoanNotRun:
		return sent{result: sendNotRun, reason: r.Message}
	default:
		return sent{result: sendLost, reason: r.Message}
	}
}

// returned records the end of a loan. A refused one goes back to the queue, which is no retry: nothing was tried.
func (p *partition) returned(c *call, start time.Time, r sent, refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.borrowed--
	if r.result == sendAnswered {
		p.queue.Observe(now, c.req.Customer, c.ticket.Class, c.ticket.Lane, now.Sub(start))
	}
	if refused {
		p.s.m.refused.Inc(1)
		p.borrowDelay = min(max(minBorrowDelay, 2*p.borrowDelay), maxBorrowDelay)
		p.borrowAt = now.Add(p.borrowDelay)
		p.wakeBy(p.borrowAt)
		p.requeue(c, now)
	} else {
		p.borrowDelay = 0
		p.conclude(c, r, now)
	}
	p.end()
	p.pump(now)
}

// lend executes a loan in an idle slot. It returns nil when there is none.
func (p *partition) lend(l Loan, lane lanes.Lane) <-chan LoanReply {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.advance(now)
	p.queue.SetSlots(p.router.total)
	if p.phase != serving || len(p.router.available) == 0 || p.guard.Check() != nil || !p.queue.Lend(lane) {
		return nil
	}
	m := p.router.pick(nil)
	p.router.use(m)
	p.begin()
	a := p.newAttempt(l.AttemptID, l.Payload)
	done := make(chan LoanReply, 1)
	p.s.wg.Go(func() {
		ctx, cancel := context.WithTimeout(p.ctx, time.Duration(l.TimeoutMS)*time.Millisecond)
		defer cancel()
		r := m.path.execute(ctx, a)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.queue.Return(lane)
		p.settle(m, now, time.Now(), r)
		done <- loanReply(r)
		p.end()
		p.pump(time.Now())
	})
	return done
}

func loanReply(r sent) LoanReply {
	switch r.result {
	case sendAnswered:
		return LoanReply{Status: LoanDone, Result: resultOf(r.body)}
	case sendNotRun, sendLeaving, sendNotOwner:
		return LoanReply{Status: LoanNotRun, Message: r.reason}
	default:
		return LoanReply{Status: LoanLost, Message: r.reason}
	}
}

// idleSlots returns the slots that other daemons may borrow now.
func (p *partition) idleSlots() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.guard.Check() != nil {
		return 0
	}
	return p.countIdle()
}

// countIdle returns the slots that others may borrow: those that are idle and that no waiting request will need. The
// caller holds mu.
func (p *partition) countIdle() int {
	if p.phase != serving {
		return 0
	}
	waiting := p.queue.Waiting()
	return max(0, p.router.idleSlots()-waiting[lanes.Urgent]-waiting[lanes.Normal]-waiting[lanes.Bulk])
}

// lendable returns the idle slots that a partition may borrow: those of this daemon's other partitions of the service and
// those of other daemons. It takes no lock of a partition, because the caller holds one.
func (s *Service) lendable(borrower *partition) int {
	idle := s.deps.Lender.Idle(borrower.service)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.parts {
		if p != borrower && p.service == borrower.service {
			idle += int(p.idle.Load())
		}
	}
	return idle
}

// borrow runs one attempt in a slot of another partition of this daemon, or else of another daemon.
func (s *Service) borrow(ctx context.Context, l Loan, lane lanes.Lane, borrower *partition) (LoanReply, error) {
	done := s.lend(l, lane, func(p *partition) bool { return p != borrower && p.idle.Load() > 0 })
	if done == nil {
		return s.deps.Lender.Borrow(ctx, l)
	}
	return awaitLoan(ctx, done, "the attempt was cut"), nil
}

// idleSlots asks the minion how many slots are idle. It returns zero when the minion does not say.
func (p *path) idleSlots(ctx context.Context) int {
	l := newLink(p.dial)
	defer l.close()
	got, err := p.ping(ctx, l)
	if err != nil {
		return 0
	}
	return min(max(got.Slots-got.InUse, 0), minionSlots)
}

// resultOf returns a minion's answer as JSON, so that it can be part of a message: JSON as it is, other text as a string,
// and other bytes as a string in base 64.
func resultOf(body []byte) json.RawMessage {
	if json.Valid(body) {
		return body
	}
	var out []byte
	if utf8.Valid(body) {
		out, _ = json.Marshal(string(body))
	} else {
		out, _ = json.Marshal(body)
	}
	return out
}
