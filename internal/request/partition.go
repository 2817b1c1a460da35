package request

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/idempotency"
	"github.com/greengagewing/greengagewing/internal/plan"
	"github.com/greengagewing/greengagewing/internal/wait"
	"github.com/greengagewing/greengagewing/lanes"
	"github.com/greengagewing/greengagewing/ownership"
)

const (
	refreshInterval = 500 * time.Millisecond // between two looks at the membership list
	sweepInterval   = 10 * time.Second
	runTimeMemory   = 10 * time.Minute       // a customer's run times are forgotten after that time without a request
	loanGrace       = 250 * time.Millisecond // lets the reply to a loan that ran to its limit arrive
	minBorrowDelay  = 50 * time.Millisecond  // after a refused loan; idle counts of peers lag by a heartbeat
	maxBorrowDelay  = time.Second            // after several refused loans in a row
	// claimCheckInterval is how often the store is looked at while claims wait for it.
	claimCheckInterval = 20 * time.Millisecond

	compactBytes   = 4 << 20
	compactTimeout = 5 * time.Second
)

// phase is where a partition is in its life.
type phase string

const (
	serving   phase = "serving"
	draining  phase = "draining"
	abandoned phase = "abandoned"
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

// partition serves the customers and minions of one partition. All decisions are taken under mu; calls to minions, the
// journal and other daemons are made without it.
type partition struct {
	s       *Service
	name    string
	service string
	guard   ownership.Guard
	log     *heldLog
	claims  Claims
	ctx     context.Context // ends when attempts are cut
	cancel  context.CancelFunc
	wake    chan struct{}
	idle    atomic.Int32 // slots that others may borrow, as of the last pump; read without mu

	mu           sync.Mutex
	phase        phase
	queue        *lanes.Queue[*call]
	router       *router
	calls        map[idempotency.Key]*call // keyed requests without an outcome
	recent       *recentOutcomes
	accounts     map[string]*account
	budget       retryBudget
	attempts     uint64
	inFlight     int // attempts, lent and borrowed ones included
	claiming     int // claims being written
	borrowed     int
	borrowAt     time.Time     // no loan is asked for earlier
	borrowDelay  time.Duration // after the next refusal
	blockedUntil time.Time     // a fenced predecessor's attempts may run until then
	started      time.Time
	emptyBuckets bool          // rate counters start empty after a change of owner
	quiet        chan struct{} // closed when draining and nothing is in flight
	stopLoop     chan struct{}
	finishOnce   sync.Once
	nextWake     time.Time
	nextRefresh  time.Time
	nextSweep    time.Time
	compacting   bool
}

func newPartition(s *Service, service string, g ownership.Guard, log *heldLog, claims Claims) *partition {
	ctx, cancel := context.WithCancel(context.Background())
	seed := s.cfg.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	p := &partition{
		s: s, started: time.Now(), name: g.Partition(), service: service, guard: g, log: log, claims: claims,
		ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1), phase: serving,
		queue: lanes.New[*call](s.cfg.Queue), router: newRouter(seed),
		calls: map[idempotency.Key]*call{}, recent: newRecentOutcomes(), accounts: map[string]*account{},
		budget: retryBudget{saved: retryBurst}, emptyBuckets: g.Epoch() > 1,
		quiet: make(chan struct{}), stopLoop: make(chan struct{}),
	}
	if at := g.FencedAt(); !at.IsZero() {
		p.blockedUntil = at.Add(maxTimeout)
	}
	return p
}

func (p *partition) start() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.adoptClaims()
	p.refresh(now)
	p.nextSweep = now.Add(sweepInterval)
	p.s.wg.Go(p.loop)
}

// openClaims is an optional part of Claims: the claims per customer that a predecessor left open.
type openClaims interface{ Open() map[string]int }

func (p *partition) adoptClaims() {
	if oc, ok := p.claims.(openClaims); ok && !p.blockedUntil.IsZero() {
		for customer, n := range oc.Open() {
			p.account(customer, time.Now()).adopted = n
		}
	}
}

// loop applies changes that come with time: expired requests, ends of ejections, and the membership list.
func (p *partition) loop() {
	for {
		t := wait.NewTimer(p.tick(time.Now()))
		select {
		case <-p.stopLoop:
			t.Stop()
			return
		case <-p.wake:
		case <-t.C:
		}
		t.Stop()
	}
}

func (p *partition) tick(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !now.Before(p.nextRefresh) {
		p.refresh(now)
	}
	if !now.Before(p.nextSweep) {
		p.sweep(now)
	}
	p.pump(now)
	p.nextWake = p.nextRefresh
	for _, t := range []time.Time{p.router.next, p.borrowAt, p.blockedUntil} {
		if t.After(now) && t.Before(p.nextWake) {
			p.nextWake = t
		}
	}
	if t, ok := p.queue.NextDeadline(); ok && t.Before(p.nextWake) {
		p.nextWake = t
	}
	if p.claiming > 0 {
		p.refuseUnclaimed(now)
		if t := now.Add(claimCheckInterval); t.Before(p.nextWake) {
			p.nextWake = t
		}
	}
	return max(0, p.nextWake.Sub(now))
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

// wakeBy makes sure that the loop runs at a time.
func (p *partition) wakeBy(t time.Time) {
	if t.Before(p.nextWake) {
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
}

// refresh brings the minions in line with the membership list.
func (p *partition) refresh(now time.Time) {
	p.nextRefresh = now.Add(refreshInterval)
	for _, m := range p.router.minions {
		m.listed = false
	}
	for _, e := range p.s.deps.Members.Minions(p.service) {
		if PartitionOfMinion(p.service, e.ID) != p.name {
			continue
		}
		m := p.router.minions[e.ID]
		if m == nil {
			m = &minion{id: e.ID, addr: e.Addr, path: newPath(e.Addr, p.s.deps.Dial), blocked: now.Before(p.blockedUntil), listed: true}
			p.router.add(m)
			if m.blocked {
				p.askIdle(m)
			}
		}
		m.listed = e.Addr == m.addr // at a new address it is used once the old one has nothing in flight
		m.listLeaving = e.Leaving
	}
	for id, m := range p.router.minions {
		p.router.update(m)
		if !m.listed && m.inUse+len(m.held) == 0 {
			delete(p.router.minions, id)
			m.path.close()
		}
	}
}

// askIdle asks a minion that may still run a predecessor's attempts how many of its slots are idle.
func (p *partition) askIdle(m *minion) {
	p.begin()
	p.s.wg.Go(func() {
		n := m.path.idleSlots(p.ctx)
		p.mu.Lock()
		defer p.mu.Unlock()
		m.known = n
		p.router.update(m)
		p.end()
		p.pump(time.Now())
	})
}

func (p *partition) sweep(now time.Time) {
	p.nextSweep = now.Add(sweepInterval)
	for customer, a := range p.accounts {
		if a.active == 0 && now.Sub(a.seen) > accountIdle && now.After(p.blockedUntil) && p.full(customer, a, now) {
			delete(p.accounts, customer)
		}
	}
	for _, m := range p.router.minions {
		m.path.closeIdle(now.Add(-linkIdleTimeout))
	}
	p.queue.Forget(now.Add(-runTimeMemory))
	p.recent.trim(now)
	p.s.sweepLoans(now)
	if !p.compacting && p.log.Bytes() > compactBytes && p.log.Healthy() {
		p.compacting = true
		p.s.wg.Go(p.compact)
	}
}

// full reports whether the customer's bucket is full, so that a new one would grant no more.
func (p *partition) full(customer string, a *account, now time.Time) bool {
	allowed, err := p.s.deps.Plans.Allowance(customer)
	if err != nil {
		return errors.Is(err, plan.ErrUnknownCustomer)
	}
	return a.bucket.level(now, allowed.RequestsPerSecond, allowed.Burst) >= float64(allowed.Burst)
}

func (p *partition) compact() {
	ctx, cancel := context.WithTimeout(p.ctx, compactTimeout)
	defer cancel()
	p.s.m.compacts.Inc(1)
	if err := p.log.compact(ctx, p.claims.Compaction); err != nil {
		p.s.deps.Log.Warn("journal compaction failed", zap.String("partition", p.name), zap.Error(err))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.compacting = false
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

var reused = Refuse(CodeKeyReused, "the key was used for another request", 0)

// known returns the call to join or the recorded outcome of a key.
func (p *partition) known(k idempotency.Key, fp string) (*call, Outcome, bool) {
	if c := p.calls[k]; c != nil {
		if c.fingerprint != fp {
			return nil, reused, true
		}
		return c, Outcome{}, true
	}
	if e := p.recent.entries[k]; e != nil {
		if e.fingerprint != fp {
			return nil, reused, true
		}
		return nil, e.outcome, true
	}
	e, err := p.claims.Lookup(k)
	switch {
	case err != nil:
		return nil, Outcome{}, false
	case e.Fingerprint != fp:
		return nil, reused, true
	case e.State == idempotency.Done || e.State == idempotency.Unknown:
		return nil, outcomeOf(e), true
	}
	return nil, Outcome{}, false // not run, or its claim is still being written
}

func outcomeOf(e idempotency.Entry) Outcome {
	switch e.State {
	case idempotency.Done:
		o := Outcome{Outcome: Done, Result: e.Answer}
		if len(e.Answer) == 0 {
			o.Message = "the request was done; its answer was too large to be kept"
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
	return outcomeOf(e)
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
	case idle == 0 && (wait > c.req.Timeout() || p.queue.Hopeless(c.req.Customer, lane, c.req.Timeout())):
		return no(CodeDeadlineUnreachable, "the estimated wait and run time exceed the deadline", retryAfter(wait))
	}
	if after, ok := a.bucket.take(now, allowed.RequestsPerSecond, allowed.Burst); !ok {
		return no(CodeAllowanceRate, "too many requests a second", retryAfter(after))
	}
	c.ticket, err = p.queue.Offer(now, c.req.Customer, lane, c.deadline, c)
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
	p.queue.Ready(c.ticket)
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
		p.queue.Ready(c.ticket)
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

// withdraw answers a call that waits in the queue.
func (p *partition) withdraw(c *call, o Outcome, now time.Time) {
	p.queue.Remove(c.ticket)
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
	p.unqueue(c)
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

func (p *partition) unqueue(c *call) {
	if c.queued {
		c.queued = false
		p.account(c.req.Customer, time.Now()).queued--
	}
}

// pump answers expired requests and starts all that may run now.
func (p *partition) pump(now time.Time) {
	p.router.advance(now)
	if !p.blockedUntil.IsZero() && !now.Before(p.blockedUntil) {
		p.blockedUntil = time.Time{}
		p.router.unblock()
	}
	p.queue.SetSlots(p.router.total)
	for _, t := range p.queue.Expire(now) {
		p.expire(t.Value, now)
	}
	if p.phase != serving {
		p.idle.Store(0)
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
	p.idle.Store(int32(p.countIdle()))
	if !p.router.next.IsZero() {
		p.wakeBy(p.router.next)
	}
}

// giveUp is called when a caller's time is over. It returns the outcome if there is one; a request that runs is left to
// run, since cutting it would neither stop the minion nor free its slot.
func (p *partition) giveUp(c *call) Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pump(time.Now()) // answers the call if it still waits
	if c.answered {
		return c.outcome
	}
	return Undecided(CodeOutcomeUnknown, "the request still runs; ask by key")
}

func (p *partition) expire(c *call, now time.Time) {
	lane := c.ticket.Lane
	o := Refuse(CodeExpired, "the deadline came before a slot was free", retryAfter(p.estimate(c.req.Customer, lane, now)))
	if !c.req.Idempotent && !c.claimed {
		o = Refuse(CodeStoreUnavailable, "the claim was not recorded in time", storeRetryAfter)
	}
	p.answer(c, o, now)
}

// attemptID returns an id that no other attempt of any owner has: epochs of a partition are never used twice.
func (p *partition) attemptID() string {
	p.attempts++
	return fmt.Sprintf("%s/%d/%d", p.name, p.guard.Epoch(), p.attempts)
}

func (p *partition) begin() { p.inFlight++ }

func (p *partition) end() {
	p.inFlight--
	p.checkQuiet()
}

func (p *partition) checkQuiet() {
	if p.phase != serving && p.inFlight == 0 && p.claiming == 0 {
		select {
		case <-p.quiet:
		default:
			close(p.quiet)
		}
	}
}

// drain ends the service while the partition is still owned.
func (p *partition) drain(ctx context.Context) {
	p.stop(draining, Refuse(CodeDraining, "the partition is being handed over", drainRetryAfter))
	select {
	case <-p.quiet:
	case <-ctx.Done():
		p.cancel() // shutdown is bounded; cut attempts report unknown
		<-p.quiet
	}
	p.awaitHeld(ctx)
	if err := p.log.Flush(ctx); err != nil {
		p.s.deps.Log.Warn("outcomes not durable at handover", zap.String("partition", p.name), zap.Error(err))
	}
	p.finish()
}

// awaitHeld waits for lost attempts that may still run. The successor of a handover uses all slots at once, so their
// slots must be free by then.
func (p *partition) awaitHeld(ctx context.Context) {
	p.mu.Lock()
	last := time.Now()
	for _, m := range p.router.minions {
		for _, t := range m.held {
			if t.After(last) {
				last = t
			}
		}
	}
	p.mu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, last)
	defer cancel()
	<-ctx.Done()
}

// abandon ends the service after the ownership was lost. Attempts that were sent before may still be answered.
func (p *partition) abandon() {
	p.stop(abandoned, Refuse(CodeNoOwner, "the partition has a new owner", ownerRetryAfter))
	p.s.wg.Go(func() {
		<-p.quiet
		p.finish()
	})
}

func (p *partition) stop(to phase, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.phase == serving {
		close(p.stopLoop)
	}
	p.phase = to
	now := time.Now()
	for _, t := range p.queue.Clear() {
		p.answer(t.Value, o, now)
	}
	p.checkQuiet()
}

// finish closes what the partition holds. A handover and a loss of ownership at the same time both call it.
func (p *partition) finish() { p.finishOnce.Do(p.release) }

func (p *partition) release() {
	p.cancel()
	p.log.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.router.minions {
		m.path.close()
	}
}

func sortPartitions(ps []*partition) {
	slices.SortFunc(ps, func(a, b *partition) int { return cmp.Compare(a.name, b.name) })
}

func laneOf(c Class) (lanes.Lane, bool) {
	switch c {
	case Urgent:
		return lanes.Urgent, true
	case Normal:
		return lanes.Normal, true
	case Bulk:
		return lanes.Bulk, true
	}
	return 0, false
}

func classOf(l lanes.Lane) Class { return Class(l.String()) }
