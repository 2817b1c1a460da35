package request

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
	"unicode/utf8"

	"go.uber.org/zap"
)

// schedule takes calls from the queue and dispatches them to minions. Each attempt ends in attemptEnded, which frees
// the slot and either answers the call or requeues it.

// schedule answers expired requests, starts as many waiting requests as there are slots, and borrows slots for others.
func (p *partition) schedule(now time.Time) {
	p.router.advance(now)
	if !p.blockedUntil.IsZero() && !now.Before(p.blockedUntil) {
		p.blockedUntil = time.Time{}
		p.router.unblock()
	}
	p.queue.SetSlots(p.router.totalSlots)
	for _, t := range p.queue.TakeExpired(now) {
		p.expire(t.Value, now)
	}
	if p.phase != serving {
		p.lendable.Store(0)
		return
	}
	for len(p.router.available) > 0 {
		t := p.queue.Next(now)
		if t == nil {
			break
		}
		p.dispatch(t.Value, now)
	}
	p.borrow(now)
	p.lendable.Store(int32(p.lendableSlots()))
	if !p.router.nextChange.IsZero() {
		p.wakeBy(p.router.nextChange)
	}
}

// dispatch sends a call's next attempt to a minion of this partition. The caller must make sure that one is available.
func (p *partition) dispatch(c *call, now time.Time) {
	m := p.router.pick(c.avoidMinion, c.req.Idempotent)
	p.router.acquireSlot(m)
	p.beginInFlight()
	p.markDequeued(c)
	a := p.newAttempt(p.nextAttemptID(), c.req.Payload)
	p.s.wg.Go(func() {
		// Not limited by the caller's deadline: the slot is in use until the minion answers, and the caller can look up the
		// outcome later.
		ctx, cancel := context.WithTimeout(p.ctx, maxTimeout)
		defer cancel()
		r := m.connPool.execute(ctx, a)
		p.attemptEnded(c, m, now, r, ctx.Err() != nil)
	})
}

// newAttempt returns an attempt that is sent only while this daemon owns the partition.
func (p *partition) newAttempt(id string, payload []byte) attempt {
	return attempt{id: id, payload: payload, check: p.guard.Check}
}

// attemptEnded handles the end of an attempt in one of this partition's own slots.
func (p *partition) attemptEnded(c *call, m *minion, start time.Time, r attemptResult, timedOut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.queue.Release(c.ticket)
	p.releaseMinionSlot(m, start, now, r)
	if r.result == sendAnswered || timedOut {
		p.queue.RecordRunTime(now, c.req.Customer, c.ticket.Class, c.ticket.Lane, now.Sub(start))
	}
	c.avoidMinion = m
	p.retryOrAnswer(c, r, now)
	p.endInFlight()
	p.schedule(now)
}

// releaseMinionSlot frees the slot of an attempt and updates the health of its minion. A lost attempt may still run, so
// its slot remains occupied until the maximum duration of an attempt has passed.
func (p *partition) releaseMinionSlot(m *minion, start, now time.Time, r attemptResult) {
	occupiedUntil := time.Time{}
	if r.result == sendLost {
		occupiedUntil = start.Add(maxTimeout)
		p.s.m.attemptsLost.Inc(1)
	}
	p.router.releaseSlot(m, occupiedUntil)
	if r.leaving && !m.reportedLeaving {
		m.reportedLeaving = true
		p.s.deps.Members.ReportLeaving(m.id)
		p.s.deps.Log.Info("minion is leaving", zap.String("minion", m.id))
	}
	switch r.result {
	case sendAnswered:
		p.router.recordSuccess(m)
	case sendNotRun, sendFailed, sendLost:
		if p.router.recordFailure(m, now) {
			p.s.m.ejections.Inc(1)
			p.s.deps.Log.Info("minion ejected", zap.String("minion", m.id), zap.String("reason", r.reason))
		}
	}
	p.router.update(m)
}

// retryOrAnswer requeues a call for a retry or gives it its outcome.
func (p *partition) retryOrAnswer(c *call, r attemptResult, now time.Time) {
	h := attemptHistory{idempotent: c.req.Idempotent, maybeRan: c.maybeRan, retries: c.retries}
	h.canRetry = p.phase == serving && now.Before(c.deadline)
	if nextAction(r.result, h) == actionRetry {
		h.canRetry = p.budget.trySpend()
	}
	if r.result == sendLost || r.result == sendFailed {
		c.maybeRan = true
	}
	switch nextAction(r.result, h) {
	case actionRetry:
		c.retries++
		p.s.m.retried.Inc(1)
		p.requeue(c, now)
	case actionDone:
		p.answer(c, Outcome{Result: Done, Answer: answerAsJSON(r.body)}, now)
	case actionNotOwner:
		p.answer(c, NotRunOutcome(CodeNoOwner, "the partition has a new owner", ownerRetryAfter), now)
	case actionNotRun:
		p.answer(c, NotRunOutcome(CodeMinionFailed, r.reason, minRetryAfter), now)
	default:
		p.answer(c, UnknownOutcome(CodeOutcomeUnknown, r.reason), now)
	}
}

// requeue puts a call back at its old position in the queue.
func (p *partition) requeue(c *call, now time.Time) {
	if p.phase != serving {
		p.answer(c, NotRunOutcome(CodeDraining, "the partition is being handed over", drainRetryAfter), now)
		return
	}
	c.queued = true
	p.account(c.req.Customer, now).queued++
	p.queue.Requeue(c.ticket)
	p.wakeBy(c.ticket.Deadline)
}

// markDequeued no longer counts a call among the customer's queued requests.
func (p *partition) markDequeued(c *call) {
	if c.queued {
		c.queued = false
		p.account(c.req.Customer, time.Now()).queued--
	}
}

// nextAttemptID returns an id that no other attempt has. It is unique across owners because an epoch of a partition is
// never used twice.
func (p *partition) nextAttemptID() string {
	p.lastAttempt++
	return fmt.Sprintf("%s/%d/%d", p.name, p.guard.Epoch(), p.lastAttempt)
}

// beginInFlight counts an attempt or a query to a minion as in flight.
func (p *partition) beginInFlight() { p.inFlight++ }

// endInFlight undoes beginInFlight.
func (p *partition) endInFlight() {
	p.inFlight--
	p.signalIfDrained()
}

// answerAsJSON returns a minion's answer as JSON, so that it can be embedded in a message: JSON unchanged, other text
// as a string, and other bytes as a string in base 64.
func answerAsJSON(body []byte) json.RawMessage {
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
