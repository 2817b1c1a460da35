package request

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/idempotency"
	"github.com/greengagewing/greengagewing/internal/plan"
	"github.com/greengagewing/greengagewing/lanes"
)

// A request is refused at once or gets a place in the queue. A non-idempotent one is claimed in the journal while it waits,
// and may be dispatched once the claim is durable.

const (
	// claimCheckInterval is how often the store is looked at while claims wait for it.
	claimCheckInterval = 20 * time.Millisecond
)

// call is one request on its owner.
type call struct {
	req         Request
	key         idempotency.Key // zero without a key
	fingerprint string
	deadline    time.Time
	ticket      *lanes.Ticket[*call]
	cancelClaim context.CancelFunc // nil without a claim
	queued      bool
	claimed     bool // the claim is durable and must be finished
	maybeRan    bool // an attempt was lost
	retries     int
	avoid       *minion
	answered    bool
	done        chan struct{} // closed once outcome is set
	outcome     Outcome
}

// admit returns the call that serves the request, new or joined, or the outcome if there is one already.
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
		if known, o, ok := p.known(c.key, c.fingerprint); ok {
			if known != nil {
				p.s.m.joined.Inc(1)
			} else {
				p.s.m.known.Inc(1)
			}
			return known, o
		}
	}
	if o, refused := p.refuse(c, now); refused {
		return nil, o
	}
	p.enqueue(c, now)
	return c, Outcome{}
}

// refuse decides whether a new request is turned down at once.
func (p *partition) refuse(c *call, now time.Time) (Outcome, bool) {
	no := func(code Code, message string, after time.Duration) (Outcome, bool) {
		return Refuse(code, message, after), true
	}
	switch {
	case p.phase == draining:
		return no(CodeDraining, "the partition is being handed over", drainRetryAfter)
	case p.phase != serving || p.guard.Check() != nil:
		return no(CodeNoOwner, "this daemon does not own the partition", ownerRetryAfter)
	case !c.req.Idempotent && !p.log.Healthy():
		return no(CodeStoreUnavailable, "claims cannot be recorded now", storeRetryAfter)
	}
	allowed, err := p.s.deps.Plans.Allowance(c.req.Customer)
	if errors.Is(err, plan.ErrUnknownCustomer) {
		return no(CodeUnknownCustomer, "the customer holds no plan", 0)
	}
	if err != nil {
		return no(CodeStoreUnavailable, "plans are not confirmed", storeRetryAfter)
	}
	lane, _ := laneOf(c.req.Class)
	wait := p.estimate(c.req.Customer, lane, now)
	a := p.account(c.req.Customer, now)
	idle := p.s.lendable(p)
	switch {
	case a.active+p.adopted(a, now) >= allowed.Concurrency:
		return no(CodeAllowanceConcurrency, "too many requests in flight", retryAfter(wait))
	case wait > 0 && a.queued >= allowed.Queue:
		return no(CodeQueueFull, "too many requests queued", retryAfter(wait))
	case p.router.usable == 0 && idle == 0:
		return no(CodeNoMinion, "no minion serves the partition", noMinionRetry)
	case idle == 0 && (wait > c.req.Timeout() || p.queue.CannotMeetDeadline(c.req.Customer, lane, c.req.Timeout())):
		return no(CodeDeadlineUnreachable, "the estimated wait and run time exceed the deadline", retryAfter(wait))
	}
	if after, ok := a.bucket.take(now, allowed.RequestsPerSecond, allowed.Burst); !ok {
		return no(CodeAllowanceRate, "too many requests a second", retryAfter(after))
	}
	c.ticket, err = p.queue.Enqueue(now, c.req.Customer, lane, c.deadline, c)
	if err != nil {
		return no(CodeQueueFull, "the queue is full", retryAfter(wait))
	}
	return Outcome{}, false
}

func (p *partition) adopted(a *account, now time.Time) int {
	if now.After(p.blockedUntil) {
		a.adopted = 0
	}
	return a.adopted
}

// estimate returns how long a new request would wait.
func (p *partition) estimate(customer string, l lanes.Lane, now time.Time) time.Duration {
	p.router.advance(now)
	p.queue.SetSlots(p.router.total)
	wait := p.queue.EstimateWait(customer, l)
	if p.router.total == 0 {
		wait = max(wait, p.blockedUntil.Sub(now), p.untilTrial(now))
	}
	return wait
}

// untilTrial returns the time until an ejected minion is tried again, when all are ejected.
func (p *partition) untilTrial(now time.Time) time.Duration {
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
		p.claiming++
		p.wakeBy(now.Add(claimCheckInterval))
		p.s.wg.Go(func() {
			defer cancel()
			p.claim(ctx, c)
		})
		return
	}
	p.queue.MarkReady(c.ticket)
	p.pump(now)
}

// claim makes the claim durable while the request waits in its lane.
func (p *partition) claim(ctx context.Context, c *call) {
	got, err := p.claims.Begin(ctx, c.key, c.fingerprint)
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.checkQuiet()
	p.claiming--
	now := time.Now()
	switch {
	case c.answered && err == nil && got.Run: // expired or drained meanwhile; it was never sent
		p.claims.Finish(c.key, idempotency.NotRun, string(c.outcome.Code), nil)
	case c.answered:
	case err == nil && got.Run:
		c.claimed = true
		p.queue.MarkReady(c.ticket)
		p.pump(now)
	case err == nil:
		p.withdraw(c, outcomeOf(got.Entry), now)
	case errors.Is(err, idempotency.ErrKeyReused):
		p.withdraw(c, reused, now)
	case errors.Is(err, idempotency.ErrInProgress):
		p.withdraw(c, Undecided(CodeOutcomeUnknown, "another call runs the request; ask by key"), now)
	case p.guard.Check() != nil:
		p.withdraw(c, Refuse(CodeNoOwner, "the partition has a new owner", ownerRetryAfter), now)
	default:
		p.withdraw(c, Refuse(CodeStoreUnavailable, "the claim was not recorded", storeRetryAfter), now)
	}
}

// refuseUnclaimed gives up the requests whose claims wait for a store that has been found down meanwhile. The journal
// itself would try until their deadlines.
func (p *partition) refuseUnclaimed(now time.Time) {
	if p.log.Healthy() {
		return
	}
	for _, c := range p.calls {
		if c.cancelClaim != nil && !c.claimed {
			p.withdraw(c, Refuse(CodeStoreUnavailable, "the claim was not recorded", storeRetryAfter), now)
		}
	}
}

func (p *partition) account(customer string, now time.Time) *account {
	a := p.accounts[customer]
	if a == nil {
		a = &account{bucket: bucket{tokens: 1 << 30, at: now}}
		if p.emptyBuckets {
			a.bucket = bucket{at: p.started}
		}
		p.accounts[customer] = a
	}
	a.seen = now
	return a
}

// full reports whether the customer's bucket is full, so that a new one would grant no more.
func (p *partition) full(customer string, a *account, now time.Time) bool {
	allowed, err := p.s.deps.Plans.Allowance(customer)
	if err != nil {
		return errors.Is(err, plan.ErrUnknownCustomer)
	}
	return a.bucket.level(now, allowed.RequestsPerSecond, allowed.Burst) >= float64(allowed.Burst)
}
