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
	"github.com/greengagewing/greengagewing/internal/cluster/wire"
	"github.com/greengagewing/greengagewing/internal/wait"
)

// OwnerClient calls the owner. Both calls return ErrSessionEnded if the process called is not the owner with the epoch in the
// request, or if the owner has ended the session.
type OwnerClient interface {
	// FetchOrders requests orders. The owner answers as soon as it has some, or after OrdersPollTimeout.
	FetchOrders(ctx context.Context, addr string, r OrdersRequest) (OrderBatch, error)
	// DeliverEvents sends events.
	DeliverEvents(ctx context.Context, addr string, d EventBatch) error
}

// Owner identifies the owner that a host works for.
type Owner struct {
	Addr   string
	BootID string // id of its process
	Epoch  int64
}

const (
	// OrdersPollTimeout is the long-poll timeout of a request for orders: how long the owner delays its answer until it has
	// some.
	OrdersPollTimeout = 250 * time.Millisecond
	ordersTimeout     = OrdersPollTimeout + 350*time.Millisecond
	deliverTimeout    = 500 * time.Millisecond
	// ownerMinRetryDelay and ownerMaxRetryDelay bound the backoff between calls to an owner that does not answer. They are
	// shorter than those for workers, because the permit expires meanwhile.
	ownerMinRetryDelay = 12500 * time.Microsecond
	ownerMaxRetryDelay = 125 * time.Millisecond
	// callIntervalPerDelegate is how much each delegate of an owner adds to the interval between two calls of a delegate;
	// minCallInterval is the shortest interval. So an owner answers about a thousand calls of its delegates a second,
	// however many delegates there are.
	callIntervalPerDelegate = time.Millisecond
	minCallInterval         = 4 * time.Millisecond
	// maxEventsPerCall is the highest number of events in one call.
	maxEventsPerCall = 500

	// notWantedRetryDelay is the delay before the next session with an owner that has no work for this host;
	// noAnswerRetryDelay is the delay after a first request without an answer.
	notWantedRetryDelay = time.Second
	noAnswerRetryDelay  = 60 * time.Millisecond
	ownerCheckInterval  = 20 * time.Millisecond
	leaveTimeout        = 300 * time.Millisecond
)

// MinCallInterval returns the minimum interval between two calls of a delegate to an owner with this number of delegates.
func MinCallInterval(delegates int) time.Duration {
	return max(time.Duration(delegates)*callIntervalPerDelegate, minCallInterval)
}

// SessionManager makes this host a delegate of the current owner: it runs one session after another.
type SessionManager struct {
	Config        Config
	Deps          Deps
	Client        OwnerClient
	Host          string
	FailureDomain string
	BootID        string // id of this process
	// Owner returns the owner that this host should work for, or false if there is none.
	Owner func() (Owner, bool)

	sessions int          // sessions so far, for their ids
	workers  atomic.Int64 // workers assigned in the current session
}

// Workers returns the number of workers that the owner has assigned to this host.
func (manager *SessionManager) Workers() int { return int(manager.workers.Load()) }

// Run runs sessions with the current owner until ctx ends. Then it notifies the owner that this delegate is leaving.
func (manager *SessionManager) Run(ctx context.Context) {
	for ctx.Err() == nil {
		owner, ok := manager.Owner()
		if !ok {
			wait.For(ctx, ownerCheckInterval)
			continue
		}
		wanted, err := manager.runSession(ctx, owner)
		switch {
		case err != nil: // a new owner does not answer until it has read its jobs from the store
			manager.waitBeforeRetry(ctx, owner, noAnswerRetryDelay)
		case !wanted:
			manager.waitBeforeRetry(ctx, owner, notWantedRetryDelay)
		}
	}
}

// waitBeforeRetry waits for d, or until the owner changes.
func (manager *SessionManager) waitBeforeRetry(ctx context.Context, owner Owner, d time.Duration) {
	waitCtx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	manager.awaitOwnerChange(waitCtx, owner)
}

// runSession works for an owner until the owner has no more work for this host, the permit expires because the owner can't be
// reached, or the owner is replaced. It returns false if the owner had no work for this host at all, and an error if the owner
// did not answer the first request.
func (manager *SessionManager) runSession(ctx context.Context, owner Owner) (bool, error) {
	manager.sessions++
	s := &session{manager: manager, owner: owner, id: manager.BootID + "-" + strconv.Itoa(manager.sessions), eventsReady: make(chan struct{}, 1)}
	first, err := s.requestOrders(ctx)
	if err != nil || !first.Wanted {
		return false, err
	}
	manager.Deps.Log.Info("delegate session opened", zap.String("addr", owner.Addr), zap.Int64("epoch", owner.Epoch), zap.String("session", s.id))
	sessionCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.agent = newAgent(sessionCtx, manager.Config, manager.Deps, owner.Epoch, s.permitValid, s.emit)
	defer s.agent.Close()
	defer manager.workers.Store(0)
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	background.Go(func() { s.deliverEvents(sessionCtx) })
	background.Go(func() {
		manager.awaitOwnerChange(sessionCtx, owner)
		cancel() // a call to an unresponsive owner must not delay the session with the next one
	})
	reason := s.run(sessionCtx, first)
	manager.Deps.Log.Info("delegate session ended", zap.Int64("epoch", owner.Epoch), zap.String("session", s.id), zap.String("reason", reason))
	if ctx.Err() != nil {
		s.leave()
	}
	return true, nil
}

// awaitOwnerChange waits until another host is the owner, or none is.
func (manager *SessionManager) awaitOwnerChange(ctx context.Context, owner Owner) {
	for wait.For(ctx, ownerCheckInterval) {
		if now, ok := manager.Owner(); !ok || now != owner {
			return
		}
	}
}

// session is this host's work for one owner. It receives numbered orders and sends numbered events; both are sent again
// until they are acknowledged.
type session struct {
	manager   *SessionManager
	owner     Owner
	id        string
	agent     *Agent
	lastOrder int64         // number of the last order that was passed to the agent
	sentAt    time.Duration // when the request was sent whose orders apply takes
	permitEnd atomic.Int64  // when the permit expires, on this host's clock

	callInterval atomic.Int64  // minimum time between two calls to the owner, in nanoseconds
	eventsReady  chan struct{} // signalled when there are events to send
	mu           sync.Mutex
	unacked      []queuedEvent
	lastAcked    int64 // number of the last event that the owner has acknowledged
	sending      bool  // a call that carries events is in progress
	polling      bool  // a request without events waits for orders
}

// permitValid reports whether this host may call workers on behalf of the owner now.
func (s *session) permitValid() bool {
	return s.manager.Deps.Clock() < time.Duration(s.permitEnd.Load())
}

// requestOrders requests orders and sends pending events. The permit of the answer, whose validity counts from the time at which the
// request was sent, counts once apply has applied the orders.
func (s *session) requestOrders(ctx context.Context) (OrderBatch, error) {
	callCtx, cancel := context.WithTimeout(ctx, ordersTimeout)
	defer cancel()
	sentAt := s.manager.Deps.Clock()
	r := s.newRequest(sentAt)
	r.First, r.Events = s.nextEvents(false)
	s.setPolling(len(r.Events) == 0)
	b, err := s.manager.Client.FetchOrders(callCtx, s.owner.Addr, r)
	s.setPolling(false)
	s.finishSend(len(r.Events), err == nil && b.Wanted)
	if err == nil && b.Wanted {
		s.sentAt = sentAt
		s.callInterval.Store(int64(b.MinCallInterval))
	}
	return b, err
}

func (s *session) setPolling(polling bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.polling = polling
}

func (s *session) newRequest(now time.Duration) OrdersRequest {
	return OrdersRequest{Host: s.manager.Host, FailureDomain: s.manager.FailureDomain, Session: s.id, Epoch: s.owner.Epoch, After: s.lastOrder, Now: now}
}

// run carries out the orders of the first batch b and requests more until the session ends. It returns the reason of the end.
func (s *session) run(ctx context.Context, b OrderBatch) string {
	for failures := 0; ; {
		if failures == 0 {
			s.apply(b)
			wait.For(ctx, time.Duration(s.callInterval.Load()))
		}
		if ctx.Err() != nil {
			return "the daemon is stopping, or the owner has changed"
		}
		next, err := s.requestOrders(ctx)
		switch {
		case errors.Is(err, ErrSessionEnded):
			return "the owner has ended the session"
		case err == nil && !next.Wanted:
			return "the owner has no work for this host"
		case err == nil:
			failures, b = 0, next
			continue
		case !s.permitValid():
			return "the permit has expired"
		}
		if failures == 0 && ctx.Err() == nil {
			s.manager.Deps.Log.Warn("owner does not answer its delegate", zap.String("addr", s.owner.Addr), asynclog.Error(err))
		}
		wait.For(ctx, wait.Backoff(ownerMinRetryDelay, ownerMaxRetryDelay, failures))
		failures++
	}
}

// apply passes the orders of a batch to the agent, except those that it passed on before, and renews the permit. The permit must not be
// valid for a worker that the batch releases, since the owner's bound of its lease counts from the release. Before the first batch no
// worker is assigned, and the calls to those that it assigns should not wait.
func (s *session) apply(b OrderBatch) {
	if s.lastOrder == 0 {
		s.renewPermit(b)
	}
	defer s.renewPermit(b)
	first := b.Last - int64(len(b.Orders)) + 1
	skip := max(s.lastOrder-first+1, 0)
	if skip < int64(len(b.Orders)) {
		s.agent.Apply(b.Orders[skip:])
	}
	s.lastOrder = max(s.lastOrder, b.Last)
	s.agent.SetRenewPollTimeout(b.RenewPollTimeout)
	s.manager.workers.Store(int64(s.agent.Workers()))
}

// renewPermit takes over the permit of a batch. A batch without one leaves the earlier permit as it is.
func (s *session) renewPermit(b OrderBatch) {
	if b.Permit > 0 {
		s.permitEnd.Store(int64(s.sentAt + min(b.Permit, PermitLimit)))
	}
}

// queuedEvent is an event that the owner has not acknowledged.
type queuedEvent struct {
	event Event
	size  int // in bytes, as encoded
}

func (s *session) emit(e Event) {
	q := queuedEvent{e, wire.Size(e)}
	s.mu.Lock()
	s.unacked = append(s.unacked, q)
	s.mu.Unlock()
	wait.Signal(s.eventsReady)
}

// deliverEvents sends events to the owner while a request for orders is waiting; at other times the next request for orders
// carries them. Events are sent in order, and again until the owner has acknowledged them.
func (s *session) deliverEvents(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; {
		wait.ForOrSignal(ctx, OrdersPollTimeout, s.eventsReady)
		wait.For(ctx, time.Duration(s.callInterval.Load())/2)
		first, events := s.nextEvents(true)
		if len(events) == 0 {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, deliverTimeout)
		err := s.manager.Client.DeliverEvents(callCtx, s.owner.Addr, EventBatch{Host: s.manager.Host, Session: s.id, Epoch: s.owner.Epoch, First: first, Events: events})
		cancel()
		s.finishSend(len(events), err == nil)
		if err != nil {
			wait.For(ctx, wait.Backoff(ownerMinRetryDelay, ownerMaxRetryDelay, failures))
			failures++
			continue
		}
		failures = 0
	}
}

// nextEvents returns the events that the next call carries and the number of the first one. Only one call at a time carries
// events, so that the owner receives them in order. With duringPoll set, for an EventBatch, it returns events only while a
// request for orders is waiting.
func (s *session) nextEvents(duringPoll bool) (int64, []Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sending || len(s.unacked) == 0 || duringPoll && !s.polling {
		return 0, nil
	}
	s.sending = true
	n := wire.Batch(s.unacked, func(q queuedEvent) int { return q.size }, maxEventsPerCall)
	events := make([]Event, n)
	for i, q := range s.unacked[:n] {
		events[i] = q.event
	}
	return s.lastAcked + 1, events
}

// finishSend records that a call that carried n events has ended, and whether the owner has applied them.
func (s *session) finishSend(n int, applied bool) {
	if n == 0 {
		return
	}
	var done []queuedEvent
	s.mu.Lock()
	s.sending = false
	if applied {
		s.lastAcked += int64(n)
		done = s.unacked[:n]
		s.unacked = append([]queuedEvent(nil), s.unacked[n:]...)
	}
	more := len(s.unacked) > 0
	s.mu.Unlock()
	for _, q := range done {
		q.event.notifyApplied()
	}
	if more {
		wait.Signal(s.eventsReady)
	}
}

// leave notifies the owner that this host stops, so that it assigns the host's workers to other delegates.
func (s *session) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	r := s.newRequest(s.manager.Deps.Clock())
	r.Leaving = true
	if _, err := s.manager.Client.FetchOrders(ctx, s.owner.Addr, r); err != nil && !errors.Is(err, ErrSessionEnded) {
		s.manager.Deps.Log.Warn("failed to notify the owner that this delegate is leaving", asynclog.Error(err))
	}
}
