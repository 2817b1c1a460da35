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

	mu       sync.Mutex
	renewers map[string]*leaseRenewer // by worker
	pauses   pauseDetector
}

// NewAgent returns an agent without workers. Before each call to a worker it asks valid whether it may act; emit takes its
// events and must not call the agent.
func NewAgent(ctx context.Context, cfg Config, deps Deps, epoch int64, valid func() bool, emit func(Event)) *Agent {
	a := &Agent{cfg: cfg, deps: deps, log: deps.Log.With(zap.Int64("epoch", epoch)), epoch: epoch, permitValid: valid, emit: emit,
		renewers: map[string]*leaseRenewer{}}
	a.ctx, a.cancel = context.WithCancel(ctx)
	a.renewPollTimeout.Store(int64(minRenewPoll))
	a.wg.Go(func() { a.pauses.watch(a.ctx, deps.Clock) })
	return a
}

// Close ends all calls and waits for them.
func (a *Agent) Close() {
	a.cancel()
	a.wg.Wait()
}

// SetRenewWait sets how long workers hold their answers back until a run ends.
func (a *Agent) SetRenewWait(d time.Duration) { a.renewPollTimeout.Store(int64(d)) }

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
			if r := a.renewer(o.Ack.WorkerID); r != nil {
				r.acknowledge(o.Ack.LastEnd)
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
	r := &leaseRenewer{a: a, cancel: cancel, acks: make(chan struct{}, 1), ready: make(chan struct{}), info: as.Worker, generation: as.Generation, durableEnd: as.LastEnd}
	a.renewers[as.Worker.ID] = r
	a.wg.Go(func() { r.run(ctx) })
}

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

// Workers returns the number of workers that the agent has.
func (a *Agent) Workers() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.renewers)
}

const (
	pauseCheckInterval = 50 * time.Millisecond
	// maxTimerDelay is how late the agent's own timer may fire. Beyond it the process did not run, or had far too little time.
	maxTimerDelay = 150 * time.Millisecond
)

// pauseDetector notices when this process does not get to run. A time limit that passed meanwhile says nothing of the other side.
type pauseDetector struct {
	lastPauseEnd atomic.Int64 // end of the last pause on the agent's clock; 0 if there was none
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

// mayExplainTimeout reports whether a pause has ended later than a moment, or the moment's limit was noticed so late that there was one.
func (p *pauseDetector) mayExplainTimeout(sentAt, now, timeout time.Duration) bool {
	return now-sentAt > timeout+maxTimerDelay || time.Duration(p.lastPauseEnd.Load()) > sentAt
}
