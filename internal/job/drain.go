package job

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/wait"
)

// Before a handover, a partition starts no more tasks and waits until the journal holds every change of its in-memory state
// that a successor needs and no start is in progress. Running tasks stay on their workers; the successor adopts them.

const drainPoll = 20 * time.Millisecond

// drain stops scheduling and returns once no start is in progress and all results are journaled, or when ctx ends.
func (p *partition) drain(ctx context.Context) {
	p.mu.Lock()
	p.draining = true
	p.mu.Unlock()
	for !p.quiesced() {
		if !wait.For(ctx, drainPoll) {
			return
		}
	}
	if err := p.log.Flush(ctx); err != nil {
		p.logger.Warn("failed to flush the journal at the handover", zap.Error(err))
	}
}

// quiesced reports whether no start is in progress and nothing waits to be journaled.
func (p *partition) quiesced() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.journalCh) > 0 || p.cancelling > 0 || p.finishing > 0 {
		return false
	}
	for _, w := range p.workers {
		for _, pl := range w.assignments {
			if pl.phase == phaseJournaling || pl.phase == phaseQueued || pl.inFlight {
				return false
			}
		}
	}
	for _, j := range p.jobs {
		if !j.accepted {
			return false
		}
	}
	return true
}
