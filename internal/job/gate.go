package job

import (
	"context"
	"sync"
	"time"

	"github.com/greengagewing/greengagewing/internal/wait"
)

// gatePollInterval is the interval at which a waiting caller checks the gate again. Compactions are rare and take only a few
// commits.
const gatePollInterval = 5 * time.Millisecond

// appendGate keeps appends to the journal and compactions from running at the same time, like a read-write lock whose waits
// end with a context. An append counts as active until its effect is in the in-memory state. The gate is closed while a
// snapshot is taken and written, because the snapshot replaces everything that was appended before it: a record whose effect
// is not in it yet would be lost.
type appendGate struct {
	mu        sync.Mutex
	appending int // active appends
	closed    bool
}

// beginAppend waits until the gate is open and counts the caller as active. It returns false if one of the contexts ends
// while the gate is closed.
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

// close blocks new appends and returns true once none is active. If ctx ends first, it opens the gate again and returns false.
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

// wait polls try until it returns true, or returns false if ctx or owner ends first.
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
