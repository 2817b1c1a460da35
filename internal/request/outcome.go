package request

import (
	"cmp"
	"context"
	"time"

	"github.com/greengagewing/greengagewing/idempotency"
	"github.com/greengagewing/greengagewing/internal/wait"
)

// Each call gets one outcome. The outcome of a keyed request is kept, in the claims if it was claimed and in memory if it is
// idempotent, so that a repetition of the call gets the same answer.

var keyReusedOutcome = Refuse(CodeKeyReused, "the key was used for another request", 0)

// existing returns the call to join or the recorded outcome of a key.
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
	return nil, Outcome{}, false // not run, or its claim is still being written
}

func (p *partition) lookup(k idempotency.Key) Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls[k] != nil {
		return Undecided(CodeInProgress, "the request is queued or running")
	}
	if e := p.recent.entries[k]; e != nil {
		return e.outcome
	}
	e, err := p.claims.Lookup(k)
	if err != nil {
		return Undecided(CodeNotFound, "nothing is recorded for the key")
	}
	return outcomeFromEntry(e)
}

func outcomeFromEntry(e idempotency.Entry) Outcome {
	switch e.State {
	case idempotency.Done:
		o := Outcome{Outcome: Done, Result: e.Answer}
		if len(e.Answer) == 0 {
			o.Message = "the request was done; its answer was too large to be kept, or is no longer kept"
		}
		return o
	case idempotency.NotRun:
		return Refuse(cmp.Or(Code(e.Code), CodeMinionFailed), "the request did not run", minRetryAfter)
	case idempotency.Claimed:
		return Undecided(CodeInProgress, "the request is queued or running")
	default:
		return Undecided(cmp.Or(Code(e.Code), CodeOutcomeUnknown), "the request may have run")
	}
}

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

// wait returns the outcome of a call, or unknown when the caller's time is over first.
func (p *partition) wait(ctx context.Context, c *call, timeout time.Duration) Outcome {
	timer := wait.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-c.done:
		return c.outcome
	case <-ctx.Done():
		return Undecided(CodeOutcomeUnknown, "the caller went away; ask by key")
	case <-timer.C:
		return p.outcomeAtTimeout(c)
	}
}

// outcomeAtTimeout is called when a caller's time is over. It returns the outcome if there is one; a request that runs is left to
// run, since cutting it would neither stop the minion nor free its slot.
func (p *partition) outcomeAtTimeout(c *call) Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.schedule(time.Now()) // answers the call if it still waits
	if c.answered {
		return c.outcome
	}
	return Undecided(CodeOutcomeUnknown, "the request still runs; ask by key")
}

// removeAndAnswer answers a call that waits in the queue.
func (p *partition) removeAndAnswer(c *call, o Outcome, now time.Time) {
	p.queue.Remove(c.ticket)
	p.answer(c, o, now)
}

func (p *partition) expire(c *call, now time.Time) {
	lane := c.ticket.Lane
	o := Refuse(CodeExpired, "the deadline came before a slot was free", clampRetryAfter(p.estimateWait(c.req.Customer, lane, now)))
	if !c.req.Idempotent && !c.claimed {
		o = Refuse(CodeStoreUnavailable, "the claim was not recorded in time", storeRetryAfter)
	}
	p.answer(c, o, now)
}

// answer gives a call its outcome and records it.
func (p *partition) answer(c *call, o Outcome, now time.Time) {
	if c.answered {
		return
	}
	if o.Outcome == NotRun && c.maybeRan { // an earlier attempt was lost, so this is not certain
		o = Undecided(CodeOutcomeUnknown, "an earlier attempt may have run")
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
		p.claims.Finish(c.key, entryState(o.Outcome), string(o.Code), o.Result)
	case c.key.Key != "" && c.req.Idempotent && o.Outcome == Done:
		p.recent.put(now, c.key, c.fingerprint, o)
	}
	close(c.done)
}
