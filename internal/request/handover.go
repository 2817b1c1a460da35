package request

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// A partition ends by a handover, which waits for what is in flight, or by the loss of its ownership, after which nothing
// more is sent. A successor takes over the open claims, and after a fencing it uses a minion's slots only as far as the
// predecessor's attempts cannot occupy them.

// adoptClaims counts a fenced predecessor's open claims against the customers' concurrency until their attempts are over.
func (p *partition) adoptClaims() {
	if p.blockedUntil.IsZero() {
		return
	}
	for customer, n := range p.claims.Open() {
		p.account(customer, time.Now()).adopted = n
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

// idleSlots asks the minion how many slots are idle. It returns zero when the minion does not say.
func (p *path) idleSlots(ctx context.Context) int {
	l := newLink(p.dial)
	defer l.close()
	got, err := p.ping(ctx, l)
	if err != nil {
		return 0
	}
	return min(max(got.Slots-got.InUse, 0), minionSlots)
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
	for _, t := range p.queue.RemoveAll() {
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

func (p *partition) checkQuiet() {
	if p.phase != serving && p.inFlight == 0 && p.claiming == 0 {
		select {
		case <-p.quiet:
		default:
			close(p.quiet)
		}
	}
}
