package delegate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/cluster/clock"
)

// Deps are what an agent works with.
type Deps struct {
	Client WorkerClient
	Clock  clock.Func // goes on during suspensions
	Log    *zap.Logger
}

// Agent carries out the orders of one session.
type Agent struct {
	cfg   Config
	deps  Deps
	log   *zap.Logger
	epoch int64
	valid func() bool
	emit  func(Event)

	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	renewWait atomic.Int64

	mu      sync.Mutex
	runners map[string]*runner // by worker
	pauses  pauses
}

// NewAgent returns an agent without workers. Before each call to a worker it asks valid whether it may act; emit takes its
// events and must not call the agent.
func NewAgent(ctx context.Context, cfg Config, deps Deps, epoch int64, valid func() bool, emit func(Event)) *Agent {
	a := &Agent{cfg: cfg, deps: deps, log: deps.Log.With(zap.Int64("epoch", epoch)), epoch: epoch, valid: valid, emit: emit,
		runners: map[string]*runner{}}
	a.ctx, a.cancel = context.WithCancel(ctx)
	a.renewWait.Store(int64(renewWait))
	a.wg.Go(func() { a.pauses.watch(a.ctx, deps.Clock) })
	return a
}

// Close ends all calls and waits for them.
func (a *Agent) Close() {
	a.cancel()
	a.wg.Wait()
}

// SetRenewWait sets how long workers hold their answers back until a run ends.
func (a *Agent) SetRenewWait(d time.Duration) { a.renewWait.Store(int64(d)) }

// Apply carries orders out. It does not wait for calls.
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
			if r := a.runner(o.Ack.WorkerID); r != nil {
				r.acknowledge(o.Ack.LastEnd)
			}
		}
	}
}

func (a *Agent) assign(as Assignment) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.runners[as.Worker.ID]; r != nil {
		r.update(as)
		return
	}
	ctx, cancel := context.WithCancel(a.ctx)
	r := &runner{a: a, cancel: cancel, acks: make(chan struct{}, 1), ready: make(chan struct{}), info: as.Worker, generation: as.Generation, lastEnd: as.LastEnd}
	a.runners[as.Worker.ID] = r
	a.wg.Go(func() { r.run(ctx) })
}

func (a *Agent) release(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.runners[id]; r != nil {
		r.cancel()
		delete(a.runners, id)
	}
}

func (a *Agent) runner(id string) *runner {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runners[id]
}

// Workers returns the number of workers that the agent has.
func (a *Agent) Workers() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.runners)
}

const (
	pauseCheck = 50 * time.Millisecond
	// pauseLimit is how late the agent's own timer may fire. Beyond it the process did not run, or had far too little time.
	pauseLimit = 150 * time.Millisecond
)

// pauses notices when this process does not get to run. A time limit that passed meanwhile says nothing of the other side.
type pauses struct {
	last atomic.Int64 // end of the last pause on the agent's clock; 0 if there was none
}

func (p *pauses) watch(ctx context.Context, since clock.Func) {
	t := time.NewTimer(pauseCheck)
	defer t.Stop()
	for before := since(); ; before = since() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if now := since(); now-before > pauseCheck+pauseLimit {
			p.last.Store(int64(now))
		}
		t.Reset(pauseCheck)
	}
}

// after reports whether a pause has ended later than a moment, or the moment's limit was noticed so late that there was one.
func (p *pauses) after(asked, now, limit time.Duration) bool {
	return now-asked > limit+pauseLimit || time.Duration(p.last.Load()) > asked
}
