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
	// ownerMinRetryDelay and ownerRetryLimit are shorter than those of workers: the permit goes on running out meanwhile.
	ownerMinRetryDelay = 12500 * time.Microsecond
	ownerMaxRetryDelay = 125 * time.Millisecond
	// callIntervalPerDelegate is the part of the pace that each delegate of an owner adds, and paceFloor the least pace: an owner answers
	// about a thousand calls of its delegates a second, however many there are.
	callIntervalPerDelegate = time.Millisecond
	minCallInterval         = 4 * time.Millisecond
	// maxEventsPerCall bounds the events of one call.
	maxEventsPerCall = 500

	// notWantedRetryDelay is the time between two questions whether an owner wants this host, and unansweredPause the same while it
	// does not answer them.
	notWantedRetryDelay = time.Second
	noAnswerRetryDelay  = 60 * time.Millisecond
	ownerCheckInterval  = 20 * time.Millisecond
	leaveTimeout        = 300 * time.Millisecond
)

// Pace returns the least time between two calls of a delegate if an owner has so many of them.
func Pace(delegates int) time.Duration {
	return max(time.Duration(delegates)*callIntervalPerDelegate, minCallInterval)
}

// SessionManager makes this host a delegate of whichever owner wants it.
type SessionManager struct {
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
func (m *SessionManager) Workers() int { return int(m.workers.Load()) }

// Run attends one owner after the other until ctx ends; then it takes its leave.
func (m *SessionManager) Run(ctx context.Context) {
	for ctx.Err() == nil {
		owner, ok := m.Owner()
		if !ok {
			wait.For(ctx, ownerCheckInterval)
			continue
		}
		wanted, err := m.runSession(ctx, owner)
		switch {
		case err != nil: // an owner that has just claimed reads its jobs first
			m.waitBeforeRetry(ctx, owner, noAnswerRetryDelay)
		case !wanted:
			m.waitBeforeRetry(ctx, owner, notWantedRetryDelay)
		}
	}
}

// waitBeforeRetry waits until the owner may be asked again, or is another one.
func (m *SessionManager) waitBeforeRetry(ctx context.Context, owner Owner, d time.Duration) {
	pauseCtx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	m.awaitOwnerChange(pauseCtx, owner)
}

// runSession serves an owner until it does not want this host any more, can't be reached while the permit lasts, or is replaced.
// It returns false if the owner did not want the host at all, and an error if it did not answer.
func (m *SessionManager) runSession(ctx context.Context, owner Owner) (bool, error) {
	m.sessions++
	s := &session{manager: m, owner: owner, id: m.Boot + "-" + strconv.Itoa(m.sessions), eventsReady: make(chan struct{}, 1)}
	first, err := s.requestOrders(ctx)
	if err != nil || !first.Wanted {
		return false, err
	}
	m.Deps.Log.Info("attending the owner", zap.String("addr", owner.Addr), zap.Int64("epoch", owner.Epoch), zap.String("session", s.id))
	sessionCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.agent = NewAgent(sessionCtx, m.Config, m.Deps, owner.Epoch, s.permitValid, s.emit)
	defer s.agent.Close()
	defer m.workers.Store(0)
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	background.Go(func() { s.deliver(sessionCtx) })
	background.Go(func() {
		m.awaitOwnerChange(sessionCtx, owner)
		cancel() // a call to a silent owner must not delay the next one
	})
	reason := s.run(sessionCtx, first)
	m.Deps.Log.Info("no longer attending the owner", zap.Int64("epoch", owner.Epoch), zap.String("session", s.id), zap.String("reason", reason))
	if ctx.Err() != nil {
		s.leave()
	}
	return true, nil
}

// awaitOwnerChange waits until the owner is another one, or none.
func (m *SessionManager) awaitOwnerChange(ctx context.Context, owner Owner) {
	for wait.For(ctx, ownerCheckInterval) {
		if now, ok := m.Owner(); !ok || now != owner {
			return
		}
	}
}

// session is the work for one owner.
type session struct {
	manager   *SessionManager
	owner     Owner
	id        string
	agent     *Agent
	lastOrder int64        // number of the last order that was carried out
	permitEnd atomic.Int64 // end of the permit on this host's clock

	callInterval atomic.Int64
	eventsReady  chan struct{} // signalled when there are events
	mu           sync.Mutex
	unsent       []Event
	lastAcked    int64 // number of the last event that the owner has
	sending      bool  // a call that carries events is on its way
	polling      bool  // a call waits for orders
}

// permitValid reports whether this host may act for the owner now.
func (s *session) permitValid() bool {
	return s.manager.Deps.Clock() < time.Duration(s.permitEnd.Load())
}

// requestOrders requests orders and renews the permit, which counts from the sending of the request.
func (s *session) requestOrders(ctx context.Context) (Batch, error) {
	callCtx, cancel := context.WithTimeout(ctx, ordersTimeout)
	defer cancel()
	sentAt := s.manager.Deps.Clock()
	r := s.newRequest(sentAt)
	r.First, r.Events = s.nextEvents(false)
	s.setPolling(len(r.Events) == 0)
	b, err := s.manager.Client.Orders(callCtx, s.owner.Addr, r)
	s.setPolling(false)
	s.finishSend(len(r.Events), err)
	if err == nil && b.Wanted {
		s.permitEnd.Store(int64(sentAt + min(b.Permit, PermitLimit)))
		s.callInterval.Store(int64(b.Pace))
	}
	return b, err
}

func (s *session) setPolling(polling bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.polling = polling
}

func (s *session) newRequest(now time.Duration) Request {
	return Request{Host: s.manager.Host, Domain: s.manager.Domain, Session: s.id, Epoch: s.owner.Epoch, After: s.lastOrder, Now: now}
}

// run carries orders out until the session ends, and returns why it does.
func (s *session) run(ctx context.Context, b Batch) string {
	for failures := 0; ; {
		if failures == 0 {
			s.apply(b)
			wait.For(ctx, time.Duration(s.callInterval.Load()))
		}
		if ctx.Err() != nil {
			return "the daemon stops, or another one owns the workers"
		}
		next, err := s.requestOrders(ctx)
		switch {
		case errors.Is(err, ErrEnded):
			return "the owner has ended the session"
		case err == nil && !next.Wanted:
			return "the owner has no work for this host"
		case err == nil:
			failures, b = 0, next
			continue
		case !s.permitValid():
			return "the permit has run out"
		}
		if failures == 0 && ctx.Err() == nil {
			s.manager.Deps.Log.Warn("owner does not answer its delegate", zap.String("addr", s.owner.Addr), asynclog.Error(err))
		}
		wait.For(ctx, wait.Backoff(ownerMinRetryDelay, ownerMaxRetryDelay, failures))
		failures++
	}
}

// apply carries the orders of a batch out that were not carried out before.
func (s *session) apply(b Batch) {
	first := b.Last - int64(len(b.Orders)) + 1
	skip := max(s.lastOrder-first+1, 0)
	if skip < int64(len(b.Orders)) {
		s.agent.Apply(b.Orders[skip:])
	}
	s.lastOrder = max(s.lastOrder, b.Last)
	s.agent.SetRenewWait(b.RenewWait)
	s.manager.workers.Store(int64(s.agent.Workers()))
}

func (s *session) emit(e Event) {
	s.mu.Lock()
	s.unsent = append(s.unsent, e)
	s.mu.Unlock()
	wait.Signal(s.eventsReady)
}

// deliver passes events to the owner while a call waits for orders; otherwise the next call for orders carries them. Each
// event is passed in its turn and again until the owner has it.
func (s *session) deliver(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; {
		wait.ForOrSignal(ctx, OrdersWait, s.eventsReady)
		wait.For(ctx, time.Duration(s.callInterval.Load())/2)
		first, events := s.nextEvents(true)
		if len(events) == 0 {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, deliverTimeout)
		err := s.manager.Client.Deliver(callCtx, s.owner.Addr, Delivery{Host: s.manager.Host, Session: s.id, Epoch: s.owner.Epoch, First: first, Events: events})
		cancel()
		s.finishSend(len(events), err)
		if err != nil {
			wait.For(ctx, wait.Backoff(ownerMinRetryDelay, ownerMaxRetryDelay, failures))
			failures++
			continue
		}
		failures = 0
	}
}

// nextEvents returns the events that the next call carries and the number of the first one. There are none while another call
// carries some, so that the owner gets them in order, and for a call beside the one for orders while that does not wait.
func (s *session) nextEvents(duringPoll bool) (int64, []Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sending || len(s.unsent) == 0 || duringPoll && !s.polling {
		return 0, nil
	}
	s.sending = true
	n := min(len(s.unsent), maxEventsPerCall)
	return s.lastAcked + 1, s.unsent[:n:n]
}

// finishSend tells that a call that finishSend n events has ended.
func (s *session) finishSend(n int, err error) {
	if n == 0 {
		return
	}
	s.mu.Lock()
	s.sending = false
	if err == nil {
		s.lastAcked += int64(n)
		s.unsent = append([]Event(nil), s.unsent[n:]...)
	}
	more := len(s.unsent) > 0
	s.mu.Unlock()
	if more {
		wait.Signal(s.eventsReady)
	}
}

// leave tells the owner that its workers need another delegate.
func (s *session) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	r := s.newRequest(s.manager.Deps.Clock())
	r.Leaving = true
	if _, err := s.manager.Client.Orders(ctx, s.owner.Addr, r); err != nil && !errors.Is(err, ErrEnded) {
		s.manager.Deps.Log.Warn("owner not told that its delegate leaves", asynclog.Error(err))
	}
}
