package request

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/idempotency"
	"github.com/greengagewing/greengagewing/internal/wait"
	"github.com/greengagewing/greengagewing/lanes"
	"github.com/greengagewing/greengagewing/ownership"
)

const (
	refreshInterval  = 500 * time.Millisecond // between two reads of the membership list
	cleanUpInterval  = 10 * time.Second
	runTimeRetention = 10 * time.Minute // a customer's run times are dropped after this time without a request

	compactBytes   = 4 << 20 // the journal is compacted above this size
	compactTimeout = 5 * time.Second
)

// phase is the stage in the life of a partition.
type phase string

const (
	serving   phase = "serving"
	draining  phase = "draining"  // a handover waits for the attempts in flight
	abandoned phase = "abandoned" // the ownership is lost; nothing more is sent
)

// partition serves the customers and minions of one partition. All decisions are made under mu; calls to minions, to
// the journal and to other daemons are made without it.
type partition struct {
	s        *Service
	name     string
	service  string
	guard    ownership.Guard
	log      *pausableLog
	claims   ClaimTable
	ctx      context.Context // cancelled to end the attempts in flight
	cancel   context.CancelFunc
	wake     chan struct{} // makes the loop run now
	lendable atomic.Int32  // idle slots that others may borrow, as of the last call of schedule; read without mu

	mu            sync.Mutex
	phase         phase
	queue         *lanes.Queue[*call]
	router        *router
	calls         map[idempotency.Key]*call // keyed requests without an outcome
	recent        *recentOutcomes
	accounts      map[string]*account
	budget        retryBudget
	lastAttempt   uint64        // number in the last attempt id
	inFlight      int           // attempts, including those in lent and borrowed slots, and idle-slot queries to minions
	pendingClaims int           // claims that are being written to the journal
	borrowed      int           // attempts in borrowed slots
	nextBorrow    time.Time     // no loan is requested before this time
	borrowBackoff time.Duration // after the last refused loan; zero after a loan that was not refused
	blockedUntil  time.Time     // attempts of a fenced previous owner may run until then; zero: none
	started       time.Time
	emptyBuckets  bool          // token buckets start empty after a change of owner
	drained       chan struct{} // closed when the partition has stopped serving and nothing is in flight
	stopLoop      chan struct{} // closed when the partition stops serving
	shutDownOnce  sync.Once
	nextWake      time.Time
	nextRefresh   time.Time
	nextCleanUp   time.Time
	compacting    bool
}

func newPartition(s *Service, service string, g ownership.Guard, log *pausableLog, claims ClaimTable) *partition {
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
		budget: retryBudget{saved: maxSavedRetries}, emptyBuckets: g.Epoch() > 1,
		drained: make(chan struct{}), stopLoop: make(chan struct{}),
	}
	if at := g.FencedAt(); !at.IsZero() {
		p.blockedUntil = at.Add(maxTimeout)
	}
	return p
}

// start begins to serve requests.
func (p *partition) start() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inheritClaims()
	p.refreshMinions(now)
	p.nextCleanUp = now.Add(cleanUpInterval)
	p.s.wg.Go(p.loop)
}

// loop handles events that are due at a certain time: expired requests, trials of ejected minions, and reads of the
// membership list.
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

// tick handles what is due now and returns the time until the next event.
func (p *partition) tick(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !now.Before(p.nextRefresh) {
		p.refreshMinions(now)
	}
	if !now.Before(p.nextCleanUp) {
		p.cleanUp(now)
	}
	p.schedule(now)
	p.nextWake = p.nextRefresh
	for _, t := range []time.Time{p.router.nextChange, p.nextBorrow, p.blockedUntil} {
		if t.After(now) && t.Before(p.nextWake) {
			p.nextWake = t
		}
	}
	if t, ok := p.queue.NextDeadline(); ok && t.Before(p.nextWake) {
		p.nextWake = t
	}
	if p.pendingClaims > 0 {
		p.refusePendingClaims(now)
		if t := now.Add(claimCheckInterval); t.Before(p.nextWake) {
			p.nextWake = t
		}
	}
	return max(0, p.nextWake.Sub(now))
}

// wakeBy makes sure that the loop runs at the given time or earlier.
func (p *partition) wakeBy(t time.Time) {
	if t.Before(p.nextWake) {
		wait.Signal(p.wake)
	}
}

// refreshMinions updates the minions from the membership list.
func (p *partition) refreshMinions(now time.Time) {
	p.nextRefresh = now.Add(refreshInterval)
	for _, m := range p.router.minions {
		m.listed = false
	}
	for _, e := range p.s.deps.Members.Minions(p.service) {
		if PartitionForMinion(p.service, e.ID) != p.name {
			continue
		}
		m := p.router.minions[e.ID]
		if m == nil {
			m = &minion{id: e.ID, addr: e.Addr, connPool: newConnPool(e.Addr, p.s.deps.Dial), blocked: now.Before(p.blockedUntil), listed: true}
			p.router.add(m)
			if m.blocked {
				p.queryIdleSlots(m)
			}
		}
		m.listed = e.Addr == m.addr // a new address is used once nothing is in flight at the old one
		m.listedLeaving = e.Leaving
	}
	for id, m := range p.router.minions {
		p.router.update(m)
		if !m.listed && m.inUse+len(m.lostUntil) == 0 {
			delete(p.router.minions, id)
			m.connPool.close()
		}
	}
}

// cleanUp drops state that is no longer needed, and starts a compaction of the journal if one is due.
func (p *partition) cleanUp(now time.Time) {
	p.nextCleanUp = now.Add(cleanUpInterval)
	for customer, a := range p.accounts {
		if a.active == 0 && now.Sub(a.lastSeen) > accountIdleTimeout && now.After(p.blockedUntil) && p.bucketFull(customer, a, now) {
			delete(p.accounts, customer)
		}
	}
	for _, m := range p.router.minions {
		m.connPool.closeIdle(now.Add(-connIdleTimeout))
	}
	p.queue.ForgetRunTimes(now.Add(-runTimeRetention))
	p.recent.trim(now)
	p.s.forgetOldLoans(now)
	if !p.compacting && p.log.Bytes() > compactBytes && p.log.Healthy() {
		p.compacting = true
		p.s.wg.Go(p.compact)
	}
}

// compact replaces the journal by a snapshot of the claims.
func (p *partition) compact() {
	ctx, cancel := context.WithTimeout(p.ctx, compactTimeout)
	defer cancel()
	p.s.m.compactions.Inc(1)
	if err := p.log.compact(ctx, p.claims.Compaction); err != nil {
		p.s.deps.Log.Warn("journal compaction failed", zap.String("partition", p.name), zap.Error(err))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.compacting = false
}

func sortPartitions(ps []*partition) {
	slices.SortFunc(ps, func(a, b *partition) int { return cmp.Compare(a.name, b.name) })
}
