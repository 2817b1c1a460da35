package request

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// A daemon stops serving a partition either by a handover, which waits for the attempts in flight, or because it has
// lost the ownership, after which it sends nothing more. The next owner takes over the open claims. If the previous
// owner was fenced, the next one uses only those slots of a minion that attempts of the previous owner cannot occupy.

// inheritClaims counts the open claims of a fenced previous owner against the customers' concurrency until its attempts
// have ended.
func (p *partition) inheritClaims() {
	if p.blockedUntil.IsZero() {
		return
	}
	for customer, n := range p.claims.OpenClaims() {
		p.account(customer, time.Now()).inheritedClaims = n
	}
}

// queryIdleSlots asks a minion that may still run attempts of the previous owner how many of its slots are idle.
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

// idleSlots asks the minion how many of its slots are idle. It returns zero if the minion does not report it.
func (p *connPool) idleSlots(ctx context.Context) int {
	l := newSingleConn(p.dial)
	defer l.close()
	got, err := p.ping(ctx, l)
	if err != nil {
		return 0
	}
	return min(max(got.Slots-got.InUse, 0), minionSlots)
}

// drain stops serving while this daemon still owns the partition, and returns when nothing is in flight or ctx has
// ended.
func (p *partition) drain(ctx context.Context) {
	p.stopServing(draining, NotRunOutcome(CodeDraining, "the partition is being handed over", drainRetryAfter))
	select {
	case <-p.drained:
	case <-ctx.Done():
		p.cancel() // the time for a shutdown is limited; cancelled attempts have an unknown outcome
		<-p.drained
	}
	p.awaitLostAttempts(ctx)
	if err := p.log.Flush(ctx); err != nil {
		p.s.deps.Log.Warn("journal flush failed at handover, recorded outcomes may be lost", zap.String("partition", p.name), zap.Error(err))
	}
	p.shutDown()
}

// awaitLostAttempts waits until lost attempts can no longer run. After a handover the next owner uses all slots at
// once, so the slots of these attempts must be free by then.
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

// abandon stops serving after the ownership was lost. Callers may still receive the answers to attempts that were sent
// before.
func (p *partition) abandon() {
	p.stopServing(abandoned, NotRunOutcome(CodeNoOwner, "the partition has a new owner", ownerRetryAfter))
	p.s.wg.Go(func() {
		<-p.drained
		p.shutDown()
	})
}

// stopServing ends the serving phase and answers all queued calls with the given outcome.
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

// shutDown releases the partition's resources once. A handover and a loss of ownership at the same time both call it.
func (p *partition) shutDown() { p.shutDownOnce.Do(p.releaseResources) }

// releaseResources closes the journal and the connections to the minions, and cancels the partition's context.
func (p *partition) releaseResources() {
	p.cancel()
	p.log.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.router.minions {
		m.connPool.close()
	}
}

// signalIfDrained closes p.drained when the partition has stopped serving and nothing is in flight.
func (p *partition) signalIfDrained() {
	if p.phase != serving && p.inFlight == 0 && p.pendingClaims == 0 {
		select {
		case <-p.drained:
		default:
			close(p.drained)
		}
	}
}
