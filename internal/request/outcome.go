package request

import (
	"cmp"
	"context"
	"time"

	"github.com/greengagewing/greengagewing/idempotency"
	"github.com/greengagewing/greengagewing/internal/wait"
)

// Each call gets exactly one outcome. The outcome of a keyed request is kept, so that a repetition of the request gets
// the same answer: in the claims if the request was claimed, and in memory if it is idempotent.

var keyReusedOutcome = NotRunOutcome(CodeKeyReused, "the key was used for another request", 0)

// existing returns the running call to join or the recorded outcome of a key. It returns false if there is neither.
func (p *partition) existing(k idempotency.Key, fp string) (*call, Outcome, bool) {
	if c := p.calls[k]; c != nil {
		if c.fingerprint != fp {
			return nil, keyReusedOutcome, true
		}
		return c, Outcome{}, true
	}
	if e := p.recent.entries[k]; e != nil {
		if e.fingerprint != fp {
			return nil, keyReusedOutcome, true
		}
		return nil, e.outcome, true
	}
	e, err := p.claims.Lookup(k)
	switch {
	case err != nil:
		return nil, Outcome{}, false
	case !e.Matches(fp):
		return nil, keyReusedOutcome, true
	case e.State == idempotency.Done || e.State == idempotency.Unknown:
		return nil, outcomeFromEntry(e), true
	}
	return nil, Outcome{}, false // did not run, or its claim is still being written
}

// lookup returns what is recorded about a key; see Service.Lookup.
func (p *partition) lookup(k idempotency.Key) Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls[k] != nil {
		return UnknownOutcome(CodeInProgress, "the request is queued or running")
	}
	if e := p.recent.entries[k]; e != nil {
		return e.outcome
	}
	e, err := p.claims.Lookup(k)
	if err != nil {
		return UnknownOutcome(CodeNotFound, "nothing is recorded for the key")
	}
	return outcomeFromEntry(e)
}

// outcomeFromEntry converts an entry of the at-most-once table to an outcome.
func outcomeFromEntry(e idempotency.Entry) Outcome {
	switch e.State {
	case idempotency.Done:
		o := Outcome{Result: Done, Answer: e.Answer}
		if len(e.Answer) == 0 {
			o.Message = "the request was done; its answer was too large to be kept, or is no longer kept"
		}
		return o
	case idempotency.NotRun:
		return NotRunOutcome(cmp.Or(Code(e.Code), CodeMinionFailed), "the request did not run", minRetryAfter)
	case idempotency.Claimed:
		return UnknownOutcome(CodeInProgress, "the request is queued or running")
	default:
		return UnknownOutcome(cmp.Or(Code(e.Code), CodeOutcomeUnknown), "the request may have run")
	}
}

// entryState returns the state that the at-most-once table records for a result.
func entryState(r Result) idempotency.State {
	switch r {
	case Done:
		return idempotency.Done
	case NotRun:
		return idempotency.NotRun
	default:
		return idempotency.Unknown
	}
}

// wait returns the outcome of a call, or an unknown outcome if the caller's timeout or ctx ends first.
func (p *partition) wait(ctx context.Context, c *call, timeout time.Duration) Outcome {
	timer := wait.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-c.done:
		return c.outcome
	case <-ctx.Done():
		return UnknownOutcome(CodeOutcomeUnknown, "the caller went away; ask by key")
	case <-timer.C:
		return p.outcomeAtTimeout(c)
	}
}

// outcomeAtTimeout is called when a caller's timeout ends. It returns the outcome if there is one. A request that runs
// is not cancelled, because that would neither stop the minion nor free its slot.
func (p *partition) outcomeAtTimeout(c *call) Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.schedule(time.Now()) // answers the call if it still waits
	if c.answered {
		return c.outcome
	}
	return UnknownOutcome(CodeOutcomeUnknown, "the request still runs; ask by key")
}

// removeAndAnswer removes a call from the queue and gives it its outcome.
func (p *partition) removeAndAnswer(c *call, o Outcome, now time.Time) {
	p.queue.Remove(c.ticket)
	p.answer(c, o, now)
}

// expire answers a call whose deadline passed while it waited.
func (p *partition) expire(c *call, now time.Time) {
	lane := c.ticket.Lane
	o := NotRunOutcome(CodeExpired, "the deadline came before a slot was free", clampRetryAfter(p.estimateWait(c.req.Customer, lane, now)))
	if !c.req.Idempotent && !c.claimed {
		o = NotRunOutcome(CodeStoreUnavailable, "the claim was not recorded in time", storeRetryAfter)
	}
	p.answer(c, o, now)
}

// answer gives a call its outcome and records it. A call that has an outcome already keeps it.
func (p *partition) answer(c *call, o Outcome, now time.Time) {
	if c.answered {
		return
	}
	if o.Result == NotRun && c.maybeRan { // an earlier attempt was lost, so it may have run after all
		o = UnknownOutcome(CodeOutcomeUnknown, "an earlier attempt may have run")
	}
	c.answered, c.outcome = true, o
	a := p.account(c.req.Customer, now)
	a.active--
	p.markDequeued(c)
	if c.cancelClaim != nil {
		c.cancelClaim()
	}
	if c.key.Key != "" {
		delete(p.calls, c.key)
	}
	switch {
	case c.claimed:
		p.claims.Finish(c.key, entryState(o.Result), string(o.Code), o.Answer)
	case c.key.Key != "" && c.req.Idempotent && o.Result == Done:
		p.recent.put(now, c.key, c.fingerprint, o)
	}
	close(c.done)
}
