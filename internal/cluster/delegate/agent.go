package delegate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/cluster/clock"
)

// Deps are the dependencies of an Agent.
type Deps struct {
	Client WorkerClient
	Clock  clock.Func // keeps running while the machine is suspended
	Log    *zap.Logger
}

// Agent carries out the owner's orders of one session. For each assigned worker it runs a loop that renews the worker's
// lease; starts and stops are sent by goroutines of their own.
type Agent struct {
	cfg         Config
	deps        Deps
	log         *zap.Logger
	epoch       int64
	permitValid func() bool
	emit        func(Event)

	ctx              context.Context
	cancel           context.CancelFunc
	wg               sync.WaitGroup
	renewPollTimeout atomic.Int64

	mu            sync.Mutex
	renewers      map[string]*leaseRenewer // by worker id
	pauseDetector pauseDetector
}

// NewAgent returns an agent of the owner's own process, without workers. The agent calls permitValid before each call to a
// worker and makes the call only if permitValid returns true. It passes its events to apply, which must not call the agent and
// returns once the owner has applied the event.
func NewAgent(ctx context.Context, cfg Config, deps Deps, epoch int64, permitValid func() bool, apply func(Event)) *Agent {
	return newAgent(ctx, cfg, deps, epoch, permitValid, func(e Event) {
		apply(e)
		e.notifyApplied()
	})
}

// newAgent does the same as NewAgent, but emit only has to see to it that Event.notifyApplied is called later.
func newAgent(ctx context.Context, cfg Config, deps Deps, epoch int64, permitValid func() bool, emit func(Event)) *Agent {
	a := &Agent{cfg: cfg, deps: deps, log: deps.Log.With(zap.Int64("epoch", epoch)), epoch: epoch, permitValid: permitValid, emit: emit,
		renewers: map[string]*leaseRenewer{}}
	a.ctx, a.cancel = context.WithCancel(ctx)
	a.renewPollTimeout.Store(int64(renewPollTimeout))
	a.wg.Go(func() { a.pauseDetector.watch(a.ctx, deps.Clock) })
	return a
}

// Close cancels all calls in progress and waits until their goroutines have returned.
func (a *Agent) Close() {
	a.cancel()
	a.wg.Wait()
}

// SetRenewPollTimeout sets the long-poll timeout of renewals: how long a worker delays its answer until a run ends.
func (a *Agent) SetRenewPollTimeout(d time.Duration) { a.renewPollTimeout.Store(int64(d)) }

// Apply carries out orders in their sequence. It does not wait for the calls to workers.
func (a *Agent) Apply(orders []Order) {
	for _, o := range orders {
		switch {
		case o.Assign != nil:
			a.assign(*o.Assign)
		case o.Release != "":
			a.release(o.Release)
		case o.Start != nil:
			a.wg.Go(func() { a.start(*o.Start) })
		case o.Stop != nil:
			a.wg.Go(func() { a.stop(*o.Stop) })
		case o.Ack != nil:
			if r := a.renewer(o.Ack.WorkerID); r != nil {
				r.acknowledge(*o.Ack)
			}
		}
	}
}

func (a *Agent) assign(as Assignment) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.renewers[as.Worker.ID]; r != nil {
		r.updateAssignment(as)
		return
	}
	ctx, cancel := context.WithCancel(a.ctx)
	r := &leaseRenewer{a: a, id: as.Worker.ID, cancel: cancel, acks: make(chan struct{}, 1), ownerActed: make(chan struct{}, 1),
		ready: make(chan struct{}), info: as.Worker, generation: as.Generation, durableEnd: as.LastAckedEnd, token: a.epoch, unresponsive: true}
	r.updateAssignment(as)
	a.renewers[as.Worker.ID] = r
	a.wg.Go(func() { r.run(ctx) })
}

// release stops the renewals of a worker that is no longer assigned to this delegate.
func (a *Agent) release(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.renewers[id]; r != nil {
		r.cancel()
		delete(a.renewers, id)
	}
}

func (a *Agent) renewer(id string) *leaseRenewer {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.renewers[id]
}

// Workers returns the number of workers that are assigned to the agent.
func (a *Agent) Workers() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.renewers)
}

const (
	pauseCheckInterval = 50 * time.Millisecond
	// maxTimerDelay is how late a timer of this process may fire. If it fires later, the process was suspended or starved of
	// processor time.
	maxTimerDelay = 150 * time.Millisecond
)

// pauseDetector notices when this process was suspended or starved. A call that timed out during such a pause is no
// evidence that the worker is down.
type pauseDetector struct {
	lastPauseEnd atomic.Int64 // end of the last pause, on the agent's clock; 0 if there was none
}

func (p *pauseDetector) watch(ctx context.Context, readClock clock.Func) {
	t := time.NewTimer(pauseCheckInterval)
	defer t.Stop()
	for before := readClock(); ; before = readClock() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if now := readClock(); now-before > pauseCheckInterval+maxTimerDelay {
			p.lastPauseEnd.Store(int64(now))
		}
		t.Reset(pauseCheckInterval)
	}
}

// mayExplainTimeout reports whether a pause of this process may be why a call sent at sentAt timed out: a pause has ended
// since then, or the timeout itself fired more than maxTimerDelay late.
func (p *pauseDetector) mayExplainTimeout(sentAt, now, timeout time.Duration) bool {
	return now-sentAt > timeout+maxTimerDelay || time.Duration(p.lastPauseEnd.Load()) > sentAt
}
