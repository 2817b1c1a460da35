package request

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/lanes"
)

// A partition without a free slot of its own borrows one: from another partition of this daemon, or else from another
// daemon. The messages between daemons are in loan.go.

const (
	loanReplyGrace   = 250 * time.Millisecond // lets the reply to a loan of maximum duration arrive
	minBorrowBackoff = 50 * time.Millisecond  // after a refused loan; idle counts of other daemons lag by a heartbeat
	maxBorrowBackoff = time.Second            // after several refused loans in a row
)

// borrow sends waiting requests to slots of other partitions and daemons, after all own slots are in use.
func (p *partition) borrow(now time.Time) {
	if now.Before(p.nextBorrow) {
		return
	}
	idle := p.s.borrowableSlots(p)
	for p.borrowed < idle {
		t := p.queue.NextRemote(now)
		if t == nil {
			return
		}
		p.borrowOne(t.Value, t.Lane, now)
	}
}

// borrowOne sends a call's next attempt as a loan.
func (p *partition) borrowOne(c *call, l lanes.Lane, now time.Time) {
	p.borrowed++
	p.beginInFlight()
	p.markDequeued(c)
	p.s.m.borrowed.Inc(1)
	loan := Loan{
		Service: p.service, Partition: p.name, AttemptID: p.nextAttemptID(), Lane: classOf(l),
		TimeoutMS: maxTimeout.Milliseconds(), Payload: c.req.Payload,
	}
	p.s.wg.Go(func() {
		ctx, cancel := context.WithTimeout(p.ctx, maxTimeout+loanReplyGrace)
		defer cancel()
		if err := p.guard.Check(); err != nil {
			p.loanEnded(c, now, attemptResult{result: sendNotOwner, reason: err.Error()}, false)
			return
		}
		reply, err := p.s.borrow(ctx, loan, l, p)
		p.loanEnded(c, now, attemptResultOf(reply, err), reply.Status == LoanRefused || errors.Is(err, ErrNotSent))
	})
}

// attemptResultOf converts the result of a loan to the result of an attempt.
func attemptResultOf(r LoanReply, err error) attemptResult {
	switch {
	case errors.Is(err, ErrNotSent):
		return attemptResult{result: sendNotRun, reason: err.Error()}
	case err != nil:
		return attemptResult{result: sendLost, reason: err.Error()}
	}
	switch r.Status {
	case LoanDone:
		return attemptResult{result: sendAnswered, body: r.Result}
	case LoanRefused, LoanNotRun:
		return attemptResult{result: sendNotRun, reason: r.Message}
	default:
		return attemptResult{result: sendLost, reason: r.Message}
	}
}

// loanEnded handles the end of a loan. The call of a refused loan is requeued; this does not count as a retry, since no
// minion has received the attempt.
func (p *partition) loanEnded(c *call, start time.Time, r attemptResult, refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.borrowed--
	if r.result == sendAnswered {
		p.queue.RecordRunTime(now, c.req.Customer, c.ticket.Class, c.ticket.Lane, now.Sub(start))
	}
	if refused {
		p.s.m.refused.Inc(1)
		p.borrowBackoff = min(max(minBorrowBackoff, 2*p.borrowBackoff), maxBorrowBackoff)
		p.nextBorrow = now.Add(p.borrowBackoff)
		p.wakeBy(p.nextBorrow)
		p.requeue(c, now)
	} else {
		p.borrowBackoff = 0
		p.retryOrAnswer(c, r, now)
	}
	p.endInFlight()
	p.schedule(now)
}

// lend executes a loan in an idle slot of this partition. It returns nil if no slot can be lent.
func (p *partition) lend(l Loan, lane lanes.Lane) <-chan LoanReply {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.advance(now)
	p.queue.SetSlots(p.router.totalSlots)
	if p.phase != serving || len(p.router.available) == 0 || p.guard.Check() != nil || !p.queue.LendSlot(lane) {
		return nil
	}
	m := p.router.pick(nil, false)
	p.router.acquireSlot(m)
	p.beginInFlight()
	a := p.newAttempt(l.AttemptID, l.Payload)
	done := make(chan LoanReply, 1)
	p.s.wg.Go(func() {
		ctx, cancel := context.WithTimeout(p.ctx, time.Duration(l.TimeoutMS)*time.Millisecond)
		defer cancel()
		r := m.connPool.execute(ctx, a)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.queue.ReturnSlot(lane)
		p.releaseMinionSlot(m, now, time.Now(), r)
		done <- loanReplyOf(r)
		p.endInFlight()
		p.schedule(time.Now())
	})
	return done
}

// loanReplyOf converts the result of an attempt to the reply to a loan.
func loanReplyOf(r attemptResult) LoanReply {
	switch r.result {
	case sendAnswered:
		return LoanReply{Status: LoanDone, Result: answerAsJSON(r.body)}
	case sendNotRun, sendLeaving, sendNotOwner:
		return LoanReply{Status: LoanNotRun, Message: r.reason}
	default:
		return LoanReply{Status: LoanLost, Message: r.reason}
	}
}

// idleSlots returns the number of slots that other daemons may borrow now. It is zero without ownership of the
// partition.
func (p *partition) idleSlots() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.guard.Check() != nil {
		return 0
	}
	return p.lendableSlots()
}

// lendableSlots returns the number of slots that others may borrow: the idle slots that no waiting request will need.
// The caller must hold mu.
func (p *partition) lendableSlots() int {
	if p.phase != serving {
		return 0
	}
	waiting := p.queue.Waiting()
	return max(0, p.router.idleSlots()-waiting[lanes.Urgent]-waiting[lanes.Normal]-waiting[lanes.Bulk])
}

// borrowableSlots returns the number of idle slots that a partition may borrow from this daemon's other partitions of
// the service and from other daemons. It locks no partition, because the caller holds the lock of one.
func (s *Service) borrowableSlots(borrower *partition) int {
	lendable := s.deps.Lender.IdleSlots(borrower.service)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.parts {
		if p != borrower && p.service == borrower.service {
			lendable += int(p.lendable.Load())
		}
	}
	return lendable
}

// borrow runs one attempt in a slot of another partition of this daemon, or else of another daemon.
func (s *Service) borrow(ctx context.Context, l Loan, lane lanes.Lane, borrower *partition) (LoanReply, error) {
	done := s.lend(l, lane, func(p *partition) bool { return p != borrower && p.lendable.Load() > 0 })
	if done == nil {
		return s.deps.Lender.Borrow(ctx, l)
	}
	return awaitLoan(ctx, done, "the attempt was cut"), nil
}
