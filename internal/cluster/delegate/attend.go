package delegate

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/asynclog"
	"github.com/greengagewing/greengagewing/internal/wait"
)

// OwnerClient calls an owner. Both calls return ErrEnded if the process called is not the owner of the epoch, or no longer
// knows the session.
type OwnerClient interface {
	// Orders waits for orders for up to OrdersWait.
	Orders(ctx context.Context, addr string, r Request) (Batch, error)
	Deliver(ctx context.Context, addr string, d Delivery) error
}

// Owner is an owner that a host may attend.
type Owner struct {
	Addr  string
	Boot  string // its process
	Epoch int64
}

const (
	// OrdersWait is how long an owner holds its answer back until there are orders.
	OrdersWait     = 250 * time.Millisecond
	ordersTimeout  = OrdersWait + 350*time.Millisecond
	deliverTimeout = 500 * time.Millisecond
	// ownerRetryFirst and ownerRetryLimit are shorter than those of workers: the permit goes on running out meanwhile.
	ownerRetryFirst = 12500 * time.Microsecond
	ownerRetryLimit = 125 * time.Millisecond
	// paceEach is the part of the pace that each delegate of an owner adds, and paceFloor the least pace: an owner answers
	// about a thousand calls of its delegates a second, however many there are.
	paceEach  = time.Millisecond
	paceFloor = 4 * time.Millisecond
	// maxDelivery bounds the events of one call.
	maxDelivery = 500

	// unwantedPause is the time between two questions whether an owner wants this host, and unansweredPause the same while it
	// does not answer them.
	unwantedPause   = time.Second
	unansweredPause = 60 * time.Millisecond
	attendCheck     = 20 * time.Millisecond
	leaveTimeout    = 300 * time.Millisecond
)

// Pace returns the least time between two calls of a delegate if an owner has so many of them.
func Pace(delegates int) time.Duration {
	return max(time.Duration(delegates)*paceEach, paceFloor)
}

// Attender makes this host a delegate of whichever owner wants it.
type Attender struct {
	Config Config
	Deps   Deps
	Client OwnerClient
	Host   string
	Domain string // failure domain
	Boot   string // this process
	// Owner returns the owner that this host should attend, or false if there is none.
	Owner func() (Owner, bool)

	sessions int
	workers  atomic.Int64
}

// Workers returns the number of workers that this host has on behalf of an owner.
func (at *Attender) Workers() int { return int(at.workers.Load()) }

// Run attends one owner after the other until ctx ends; then it takes its leave.
func (at *Attender) Run(ctx context.Context) {
	for ctx.Err() == nil {
		owner, ok := at.Owner()
		if !ok {
			wait.For(ctx, attendCheck)
			continue
		}
		wanted, err := at.attend(ctx, owner)
		switch {
		case err != nil: // an owner that has just claimed reads its jobs first
			at.pause(ctx, owner, unansweredPause)
		case !wanted:
			at.pause(ctx, owner, unwantedPause)
		}
	}
}

// pause waits until the owner may be asked again, or is another one.
func (at *Attender) pause(ctx context.Context, owner Owner, d time.Duration) {
	pauseCtx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	at.awaitOther(pauseCtx, owner)
}

// attend serves an owner until it does not want this host any more, can't be reached while the permit lasts, or is replaced.
// It returns false if the owner did not want the host at all, and an error if it did not answer.
func (at *Attender) attend(ctx context.Context, owner Owner) (bool, error) {
	at.sessions++
	s := &session{at: at, owner: owner, id: at.Boot + "-" + strconv.Itoa(at.sessions), ready: make(chan struct{}, 1)}
	first, err := s.ask(ctx)
	if err != nil || !first.Wanted {
		return false, err
	}
	at.Deps.Log.Info("attending the owner", zap.String("addr", owner.Addr), zap.Int64("epoch", owner.Epoch), zap.String("session", s.id))
	sessionCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.agent = NewAgent(sessionCtx, at.Config, at.Deps, owner.Epoch, s.valid, s.emit)
	defer s.agent.Close()
	defer at.workers.Store(0)
	var duties sync.WaitGroup
	defer duties.Wait()
	defer cancel()
	duties.Go(func() { s.deliver(sessionCtx) })
	duties.Go(func() {
		at.awaitOther(sessionCtx, owner)
		cancel() // a call to a silent owner must not delay the next one
	})
	reason := s.follow(sessionCtx, first)
	at.Deps.Log.Info("no longer attending the owner", zap.Int64("epoch", owner.Epoch), zap.String("session", s.id), zap.String("reason", reason))
	if ctx.Err() != nil {
		s.leave()
	}
	return true, nil
}

// awaitOther waits until the owner is another one, or none.
func (at *Attender) awaitOther(ctx context.Context, owner Owner) {
	for wait.For(ctx, attendCheck) {
		if now, ok := at.Owner(); !ok || now != owner {
			return
		}
	}
}

// session is the work for one owner.
type session struct {
	at    *Attender
	owner Owner
	id    string
	agent *Agent
	after int64        // number of the last order that was carried out
	until atomic.Int64 // end of the permit on this host's clock

	pace     atomic.Int64
	ready    chan struct{} // signalled when there are events
	mu       sync.Mutex
	events   []Event
	received int64 // number of the last event that the owner has
	carrying bool  // a call that carries events is on its way
	waiting  bool  // a call waits for orders
}

// valid reports whether this host may act for the owner now.
func (s *session) valid() bool { return s.at.Deps.Clock() < time.Duration(s.until.Load()) }

// ask requests orders and renews the permit, which counts from the sending of the request.
func (s *session) ask(ctx context.Context) (Batch, error) {
	callCtx, cancel := context.WithTimeout(ctx, ordersTimeout)
	defer cancel()
	asked := s.at.Deps.Clock()
	r := s.request(asked)
	r.First, r.Events = s.take(false)
	s.setWaiting(len(r.Events) == 0)
	b, err := s.at.Client.Orders(callCtx, s.owner.Addr, r)
	s.setWaiting(false)
	s.carried(len(r.Events), err)
	if err == nil && b.Wanted {
		s.until.Store(int64(asked + min(b.Permit, PermitLimit)))
		s.pace.Store(int64(b.Pace))
	}
	return b, err
}

func (s *session) setWaiting(waiting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = waiting
}

func (s *session) request(now time.Duration) Request {
	return Request{Host: s.at.Host, Domain: s.at.Domain, Session: s.id, Epoch: s.owner.Epoch, After: s.after, Now: now}
}

// follow carries orders out until the session ends, and returns why it does.
func (s *session) follow(ctx context.Context, b Batch) string {
	for failures := 0; ; {
		if failures == 0 {
			s.apply(b)
			wait.For(ctx, time.Duration(s.pace.Load()))
		}
		if ctx.Err() != nil {
			return "the daemon stops, or another one owns the workers"
		}
		next, err := s.ask(ctx)
		switch {
		case errors.Is(err, ErrEnded):
			return "the owner has ended the session"
		case err == nil && !next.Wanted:
			return "the owner has no work for this host"
		case err == nil:
			failures, b = 0, next
			continue
		case !s.valid():
			return "the permit has run out"
		}
		if failures == 0 && ctx.Err() == nil {
			s.at.Deps.Log.Warn("owner does not answer its delegate", zap.String("addr", s.owner.Addr), asynclog.Error(err))
		}
		wait.For(ctx, wait.Backoff(ownerRetryFirst, ownerRetryLimit, failures))
		failures++
	}
}

// apply carries the orders of a batch out that were not carried out before.
func (s *session) apply(b Batch) {
	first := b.Last - int64(len(b.Orders)) + 1
	skip := max(s.after-first+1, 0)
	if skip < int64(len(b.Orders)) {
		s.agent.Apply(b.Orders[skip:])
	}
	s.after = max(s.after, b.Last)
	s.agent.SetRenewWait(b.RenewWait)
	s.at.workers.Store(int64(s.agent.Workers()))
}

func (s *session) emit(e Event) {
	s.mu.Lock()
	s.events = append(s.events, e)
	s.mu.Unlock()
	wait.Signal(s.ready)
}

// deliver passes events to the owner while a call waits for orders; otherwise the next call for orders carries them. Each
// event is passed in its turn and again until the owner has it.
func (s *session) deliver(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; {
		wait.ForOrSignal(ctx, OrdersWait, s.ready)
		wait.For(ctx, time.Duration(s.pace.Load())/2)
		first, events := s.take(true)
		if len(events) == 0 {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, deliverTimeout)
		err := s.at.Client.Deliver(callCtx, s.owner.Addr, Delivery{Host: s.at.Host, Session: s.id, Epoch: s.owner.Epoch, First: first, Events: events})
		cancel()
		s.carried(len(events), err)
		if err != nil {
			wait.For(ctx, wait.Backoff(ownerRetryFirst, ownerRetryLimit, failures))
			failures++
			continue
		}
		failures = 0
	}
}

// take returns the events that the next call carries and the number of the first one. There are none while another call
// carries some, so that the owner gets them in order, and for a call beside the one for orders while that does not wait.
func (s *session) take(beside bool) (int64, []Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.carrying || len(s.events) == 0 || beside && !s.waiting {
		return 0, nil
	}
	s.carrying = true
	n := min(len(s.events), maxDelivery)
	return s.received + 1, s.events[:n:n]
}

// carried tells that a call that carried n events has ended.
func (s *session) carried(n int, err error) {
	if n == 0 {
		return
	}
	s.mu.Lock()
	s.carrying = false
	if err == nil {
		s.received += int64(n)
		s.events = append([]Event(nil), s.events[n:]...)
	}
	more := len(s.events) > 0
	s.mu.Unlock()
	if more {
		wait.Signal(s.ready)
	}
}

// leave tells the owner that its workers need another delegate.
func (s *session) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	r := s.request(s.at.Deps.Clock())
	r.Leaving = true
	if _, err := s.at.Client.Orders(ctx, s.owner.Addr, r); err != nil && !errors.Is(err, ErrEnded) {
		s.at.Deps.Log.Warn("owner not told that its delegate leaves", asynclog.Error(err))
	}
}
