package request

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/idempotency"
	"github.com/greengagewing/greengagewing/internal/plan"
	"github.com/greengagewing/greengagewing/lanes"
)

// A request is either refused at once or queued. A non-idempotent request is claimed in the journal while it waits, and
// may be dispatched as soon as the claim is durable.

const (
	// claimCheckInterval is how often the health of the journal is checked while claims are being written.
	claimCheckInterval = 20 * time.Millisecond
)

// call is one request on the owner of its partition.
type call struct {
	req         Request
	key         idempotency.Key // zero for a request without a key
	fingerprint string
	deadline    time.Time
	ticket      *lanes.Ticket[*call]
	cancelClaim context.CancelFunc // stops the writing of the claim; nil if the request needs no claim
	queued      bool               // counted in the customer's queued requests
	claimed     bool               // the claim is durable and must be finished with an outcome
	maybeRan    bool               // an earlier attempt may have run
	retries     int
	avoidMinion *minion // minion of the last attempt; a retry goes to another one if possible
	answered    bool
	done        chan struct{} // closed once outcome is set
	outcome     Outcome
}

// admit returns the call that serves the request, which is a new one or one with the same key that is still running. If
// the request has an outcome already, admit returns that instead of a call.
func (p *partition) admit(r Request) (*call, Outcome) {
	now := time.Now()
	c := &call{req: r, deadline: now.Add(r.Timeout()), done: make(chan struct{})}
	if r.Key != "" {
		c.key = idempotency.Key{Customer: r.Customer, Key: r.Key}
		c.fingerprint = fingerprint(r)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Key != "" {
		if existing, o, ok := p.existing(c.key, c.fingerprint); ok {
			if existing != nil {
				p.s.m.joinedCalls.Inc(1)
			} else {
				p.s.m.existing.Inc(1)
			}
			return existing, o
		}
	}
	if o, refused := p.applyAdmissionControl(c, now); refused {
		return nil, o
	}
	p.enqueue(c, now)
	return c, Outcome{}
}

// applyAdmissionControl checks the ownership, the customer's allowance and the expected wait of a new request. If the
// request passes, it takes a rate token and a place in the queue; otherwise the result is the refusal and true.
func (p *partition) applyAdmissionControl(c *call, now time.Time) (Outcome, bool) {
	reject := func(code Code, message string, after time.Duration) (Outcome, bool) {
		return NotRunOutcome(code, message, after), true
	}
	switch {
	case p.phase == draining:
		return reject(CodeDraining, "the partition is being handed over", drainRetryAfter)
	case p.phase != serving || p.guard.Check() != nil:
		return reject(CodeNoOwner, "this daemon does not own the partition", ownerRetryAfter)
	case !c.req.Idempotent && !p.log.Healthy():
		return reject(CodeStoreUnavailable, "claims cannot be recorded now", storeRetryAfter)
	}
	allowed, err := p.s.deps.Plans.Allowance(c.req.Customer)
	if errors.Is(err, plan.ErrUnknownCustomer) {
		return reject(CodeUnknownCustomer, "the customer holds no plan", 0)
	}
	if err != nil {
		return reject(CodeStoreUnavailable, "plans are not confirmed", storeRetryAfter)
	}
	lane, _ := laneOf(c.req.Class)
	wait := p.estimateWait(c.req.Customer, lane, now)
	a := p.account(c.req.Customer, now)
	idle := p.s.borrowableSlots(p)
	switch {
	case a.active+p.inheritedClaims(a, now) >= allowed.Concurrency:
		return reject(CodeAllowanceConcurrency, "too many requests in flight", clampRetryAfter(wait))
	case wait > 0 && a.queued >= allowed.Queue:
		return reject(CodeQueueFull, "too many requests queued", clampRetryAfter(wait))
	case p.router.usable == 0 && idle == 0:
		return reject(CodeNoMinion, "no minion serves the partition", noMinionRetryAfter)
	case idle == 0 && (wait > c.req.Timeout() || p.queue.CannotMeetDeadline(c.req.Customer, lane, c.req.Timeout())):
		return reject(CodeDeadlineUnreachable, "the estimated wait and run time exceed the deadline", clampRetryAfter(wait))
	}
	if after, ok := a.tokenBucket.take(now, allowed.RequestsPerSecond, allowed.Burst); !ok {
		return reject(CodeAllowanceRate, "too many requests a second", clampRetryAfter(after))
	}
	c.ticket, err = p.queue.Enqueue(now, c.req.Customer, lane, c.deadline, c)
	if err != nil {
		return reject(CodeQueueFull, "the queue is full", clampRetryAfter(wait))
	}
	return Outcome{}, false
}

// inheritedClaims returns the number of open claims that count against the customer's concurrency because the previous
// owner's attempts may still run. It is zero after blockedUntil.
func (p *partition) inheritedClaims(a *account, now time.Time) int {
	if now.After(p.blockedUntil) {
		a.inheritedClaims = 0
	}
	return a.inheritedClaims
}

// estimateWait returns how long a new request is expected to wait.
func (p *partition) estimateWait(customer string, l lanes.Lane, now time.Time) time.Duration {
	p.router.advance(now)
	p.queue.SetSlots(p.router.totalSlots)
	wait := p.queue.EstimateWait(customer, l)
	if p.router.totalSlots == 0 {
		wait = max(wait, p.blockedUntil.Sub(now), p.timeUntilTrial(now))
	}
	return wait
}

// timeUntilTrial returns the time until the first ejected minion gets a trial attempt, or zero if none waits for one.
// It matters when all minions are ejected.
func (p *partition) timeUntilTrial(now time.Time) time.Duration {
	first := time.Duration(0)
	for _, m := range p.router.minions {
		if m.ejected && !m.trialDue && m.usable() {
			if d := m.trialAt.Sub(now); first == 0 || d < first {
				first = d
			}
		}
	}
	return first
}

// enqueue counts a request as queued. An idempotent request is ready to run at once, another one when its claim is
// durable.
func (p *partition) enqueue(c *call, now time.Time) {
	a := p.account(c.req.Customer, now)
	a.active++
	a.queued++
	c.queued = true
	p.budget.earn()
	if c.key.Key != "" {
		p.calls[c.key] = c
	}
	p.wakeBy(c.ticket.Deadline)
	if !c.req.Idempotent {
		ctx, cancel := context.WithDeadline(p.ctx, c.ticket.Deadline)
		c.cancelClaim = cancel
		p.pendingClaims++
		p.wakeBy(now.Add(claimCheckInterval))
		p.s.wg.Go(func() {
			defer cancel()
			p.recordClaim(ctx, c)
		})
		return
	}
	p.queue.MarkReady(c.ticket)
	p.schedule(now)
}

// recordClaim writes the claim to the journal while the request waits in its lane, and makes the request ready to run
// when the claim is durable.
func (p *partition) recordClaim(ctx context.Context, c *call) {
	got, err := p.claims.Begin(ctx, c.key, c.fingerprint)
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.signalIfDrained()
	p.pendingClaims--
	now := time.Now()
	switch {
	case c.answered && err == nil && got.Run: // expired or drained in the meantime, so it was never sent
		p.claims.Finish(c.key, idempotency.NotRun, string(c.outcome.Code), nil)
	case c.answered:
	case err == nil && got.Run:
		c.claimed = true
		p.queue.MarkReady(c.ticket)
		p.schedule(now)
	case err == nil:
		p.removeAndAnswer(c, outcomeFromEntry(got.Entry), now)
	case errors.Is(err, idempotency.ErrKeyReused):
		p.removeAndAnswer(c, keyReusedOutcome, now)
	case errors.Is(err, idempotency.ErrInProgress):
		p.removeAndAnswer(c, UnknownOutcome(CodeOutcomeUnknown, "another call runs the request; ask by key"), now)
	case p.guard.Check() != nil:
		p.removeAndAnswer(c, NotRunOutcome(CodeNoOwner, "the partition has a new owner", ownerRetryAfter), now)
	default:
		p.removeAndAnswer(c, NotRunOutcome(CodeStoreUnavailable, "the claim was not recorded", storeRetryAfter), now)
	}
}

// refusePendingClaims refuses the requests whose claims are still being written when the journal has become unhealthy.
// The journal itself would keep retrying until the requests' deadlines.
func (p *partition) refusePendingClaims(now time.Time) {
	if p.log.Healthy() {
		return
	}
	for _, c := range p.calls {
		if c.cancelClaim != nil && !c.claimed {
			p.removeAndAnswer(c, NotRunOutcome(CodeStoreUnavailable, "the claim was not recorded", storeRetryAfter), now)
		}
	}
}

// account returns the customer's account, and creates it if there is none.
func (p *partition) account(customer string, now time.Time) *account {
	a := p.accounts[customer]
	if a == nil {
		a = &account{tokenBucket: tokenBucket{tokens: 1 << 30, updated: now}}
		if p.emptyBuckets {
			a.tokenBucket = tokenBucket{updated: p.started}
		}
		p.accounts[customer] = a
	}
	a.lastSeen = now
	return a
}

// bucketFull reports whether the customer's token bucket is full, in which case a new bucket would not grant more
// requests.
func (p *partition) bucketFull(customer string, a *account, now time.Time) bool {
	allowed, err := p.s.deps.Plans.Allowance(customer)
	if err != nil {
		return errors.Is(err, plan.ErrUnknownCustomer)
	}
	return a.tokenBucket.tokensAt(now, allowed.RequestsPerSecond, allowed.Burst) >= float64(allowed.Burst)
}
