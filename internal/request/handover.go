package request

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// A partition ends by a handover, which waits for what is in flight, or by the loss of its ownership, after which nothing
// more is sent. A successor takes over the open claims, and after a fencing it uses a minion's slots only as far as the
// predecessor's attempts cannot occupy them.

// inheritClaims counts a fenced predecessor's open claims against the customers' concurrency until their attempts are over.
func (p *partition) inheritClaims() {
	if p.blockedUntil.IsZero() {
		return
	}
	for customer, n := range p.claims.Open() {
		p.account(customer, time.Now()).inheritedClaims = n
	}
}

// queryIdleSlots asks a minion that may still run a predecessor's attempts how many of its slots are idle.
func (p *partition) queryIdleSlots(m *minion) {
	p.beginInFlight()
	p.s.wg.Go(func() {
		n := m.connPool.idleSlots(p.ctx)
		p.mu.Lock()
		defer p.mu.Unlock()
		m.reportedIdle = n
		p.router.update(m)
		p.endInFlight()
		p.schedule(time.Now())
	})
}

// idleSlots asks the minion how many slots are idle. It returns zero when the minion does not say.
func (p *connPool) idleSlots(ctx context.Context) int {
	l := newSingleConn(p.dial)
	defer l.close()
	got, err := p.ping(ctx, l)
	if err != nil {
		return 0
	}
	return min(max(got.Slots-got.InUse, 0), minionSlots)
}

// drain ends the service while the partition is still owned.
func (p *partition) drain(ctx context.Context) {
	p.stopServing(draining, Refuse(CodeDraining, "the partition is being handed over", drainRetryAfter))
	select {
	case <-p.drained:
	case <-ctx.Done():
		p.cancel() // shutdown is bounded; cut attempts report unknown
		<-p.drained
	}
	p.awaitLostAttempts(ctx)
	if err := p.log.Flush(ctx); err != nil {
		p.s.deps.Log.Warn("outcomes not durable at handover", zap.String("partition", p.name), zap.Error(err))
	}
	p.shutDown()
}

// awaitLostAttempts waits for lost attempts that may still run. The successor of a handover uses all slots at once, so their
// slots must be free by then.
func (p *partition) awaitLostAttempts(ctx context.Context) {
	p.mu.Lock()
	last := time.Now()
	for _, m := range p.router.minions {
		for _, t := range m.lostUntil {
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
	p.stopServing(abandoned, Refuse(CodeNoOwner, "the partition has a new owner", ownerRetryAfter))
	p.s.wg.Go(func() {
		<-p.drained
		p.shutDown()
	})
}

func (p *partition) stopServing(to phase, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.phase == serving {
		close(p.stopLoop)
	}
	p.phase = to
	now := time.Now()
	for _, t := range p.queue.RemoveAll() {
		p.answer(t.Value, o, now)
	}
	p.signalIfDrained()
}

// shutDown closes what the partition holds. A handover and a loss of ownership at the same time both call it.
func (p *partition) shutDown() { p.shutDownOnce.Do(p.releaseResources) }

func (p *partition) releaseResources() {
	p.cancel()
	p.log.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.router.minions {
		m.connPool.close()
	}
}

func (p *partition) signalIfDrained() {
	if p.phase != serving && p.inFlight == 0 && p.pendingClaims == 0 {
		select {
		case <-p.drained:
		default:
			close(p.drained)
		}
	}
}
