package job

import (
	"context"
	"sync"
	"time"

	"github.com/greengagewing/greengagewing/internal/wait"
)

// gatePollInterval is the interval at which a closed gate is tried again. Compactions are rare and take a few commits.
const gatePollInterval = 5 * time.Millisecond

// appendGate keeps appends and compactions apart. An append is inside the gate until its effect is on the books; the
// gate is closed while a snapshot is taken and written, because a snapshot replaces everything appended before it.
type appendGate struct {
	mu        sync.Mutex
	appending int
	closed    bool
}

// beginAppend returns false if one of the contexts ends while the gate is closed.
func (g *appendGate) beginAppend(ctx, owner context.Context) bool {
	return g.wait(ctx, owner, func() bool {
		if g.closed {
			return false
		}
		g.appending++
		return true
	})
}

func (g *appendGate) endAppend() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.appending--
}

// close lets no append in and returns once none is inside, or returns false if ctx ends first.
func (g *appendGate) close(ctx context.Context) bool {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	if !g.wait(ctx, ctx, func() bool { return g.appending == 0 }) {
		g.open()
		return false
	}
	return true
}

func (g *appendGate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = false
}

func (g *appendGate) wait(ctx, owner context.Context, try func() bool) bool {
	for {
		g.mu.Lock()
		ok := try()
		g.mu.Unlock()
		if ok {
			return true
		}
		if !wait.ForOrSignal(ctx, gatePollInterval, owner.Done()) || owner.Err() != nil {
			return false
		}
	}
}
