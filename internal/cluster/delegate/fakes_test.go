package delegate

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

var errNoAnswer = errors.New("no answer")

const testEpoch = 7

// testClock follows the virtual time of the test and adds the suspensions that the test simulates.
type testClock struct {
	mu        sync.Mutex
	began     time.Time
	suspended time.Duration
}

func newTestClock() *testClock { return &testClock{began: time.Now()} }

func (c *testClock) since() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Hour + time.Since(c.began) + c.suspended
}

func (c *testClock) suspend(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspended += d
}

// fakeWorkers is a WorkerClient that plays all workers. While silent is set it answers no call.
type fakeWorkers struct {
	mu          sync.Mutex
	silent      bool
	malformed   bool // answers have no content
	renews      int
	starts      []string
	stops       []string
	maxDeadline int64         // latest deadline of all renewals
	highestAck  int64         // highest number of an end that a renewal has acknowledged since the last restart or change of silent
	incarnation int64         // incarnation of the workers; 0 means 1
	notSent     bool          // while silent is set, nothing of a start is sent
	clockBehind time.Duration // how far the clock in answers to starts is behind that of the reports
	renewals    []Renewal
	ended       []scheduler.EndedRun
}

func (w *fakeWorkers) setSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent, w.highestAck = silent, 0
}

func (w *fakeWorkers) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation, w.highestAck = 2, 0
}

func (w *fakeWorkers) acked() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.highestAck
}

func (w *fakeWorkers) deadline() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.maxDeadline
}

func (w *fakeWorkers) counts() (renews, starts, stops int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.renews, len(w.starts), len(w.stops)
}

func (w *fakeWorkers) Renew(ctx context.Context, _ scheduler.WorkerInfo, r Renewal) (RenewalAnswer, error) {
	w.mu.Lock()
	w.renews++
	w.renewals = append(w.renewals, r)
	w.maxDeadline = max(w.maxDeadline, r.Deadline)
	w.highestAck = max(w.highestAck, r.LastAckedEnd)
	silent, malformed, ended, incarnation := w.silent, w.malformed, w.ended, max(w.incarnation, 1)
	w.mu.Unlock()
	if malformed {
		time.Sleep(time.Millisecond)
		return RenewalAnswer{}, nil
	}
	if silent {
		<-ctx.Done()
		return RenewalAnswer{}, errNoAnswer
	}
	if len(ended) == 0 {
		select {
		case <-time.After(max(r.PollTimeout, time.Millisecond)):
		case <-ctx.Done():
			return RenewalAnswer{}, ctx.Err()
		}
	}
	return RenewalAnswer{ClockMS: time.Now().UnixMilli(), Incarnation: incarnation, Ended: ended}, nil
}

func (w *fakeWorkers) Start(ctx context.Context, c StartCall) (StartAnswer, error) {
	w.mu.Lock()
	w.starts = append(w.starts, fmt.Sprintf("%s/%d on %s", c.Task, c.Run, c.Worker.ID))
	silent, clockBehind, notSent := w.silent, w.clockBehind, w.notSent
	w.mu.Unlock()
	if silent {
		<-ctx.Done()
		return StartAnswer{Outcome: scheduler.StartUnknown, NotSent: notSent}, errNoAnswer
	}
	return StartAnswer{Outcome: scheduler.StartAccepted, ClockMS: time.Now().Add(-clockBehind).UnixMilli()}, nil
}

func (w *fakeWorkers) Stop(_ context.Context, c StopCall) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stops = append(w.stops, fmt.Sprintf("%s/%d on %s", c.Task, c.Run, c.Worker.ID))
	if w.silent {
		return errNoAnswer
	}
	return nil
}

// fakeOwner is an OwnerClient that hands out orders and records events like an owner.
type fakeOwner struct {
	mu            sync.Mutex
	unreachable   bool
	notOwner      bool
	losingAnswers bool // calls take effect, but their answers are lost
	permit        time.Duration
	orders        []Order
	received      []Event
	sessions      map[string]bool
	leaving       bool
	delivered     int // number of DeliverEvents calls
}

func newFakeOwner() *fakeOwner {
	return &fakeOwner{permit: 2 * time.Second, sessions: map[string]bool{}}
}

func (o *fakeOwner) addOrders(orders ...Order) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.orders = append(o.orders, orders...)
}

func (o *fakeOwner) update(f func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f()
}

func (o *fakeOwner) sessionCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.sessions)
}

func (o *fakeOwner) events() []Event {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Event(nil), o.received...)
}

func (o *fakeOwner) FetchOrders(ctx context.Context, _ string, r OrdersRequest) (OrderBatch, error) {
	o.mu.Lock()
	unreachable := o.unreachable
	o.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return OrderBatch{}, errNoAnswer
	}
	for limit := time.Now().Add(OrdersPollTimeout); time.Now().Before(limit); time.Sleep(5 * time.Millisecond) {
		o.mu.Lock()
		more := len(o.orders) > int(r.After) || o.notOwner || len(r.Events) > 0
		o.mu.Unlock()
		if more {
			break
		}
		if ctx.Err() != nil {
			return OrderBatch{}, errNoAnswer
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.notOwner || int(r.After) > len(o.orders) {
		return OrderBatch{}, ErrSessionEnded
	}
	o.sessions[r.Session] = true
	o.receive(r.First, r.Events)
	o.leaving = o.leaving || r.Leaving
	if o.losingAnswers {
		return OrderBatch{}, errNoAnswer
	}
	return OrderBatch{Wanted: true, Last: int64(len(o.orders)), Orders: append([]Order(nil), o.orders[r.After:]...), Permit: o.permit,
		RenewPollTimeout: renewPollTimeout}, nil
}

func (o *fakeOwner) DeliverEvents(ctx context.Context, _ string, d EventBatch) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unreachable {
		return errNoAnswer
	}
	o.delivered++
	o.receive(d.First, d.Events)
	if o.losingAnswers {
		return errNoAnswer
	}
	return nil
}

func (o *fakeOwner) receive(first int64, events []Event) {
	if skip := len(o.received) - int(first) + 1; skip >= 0 && skip <= len(events) {
		o.received = append(o.received, events[skip:]...)
	}
}

func testWorker(id string) scheduler.WorkerInfo {
	return scheduler.WorkerInfo{ID: id, Address: id, Service: "s", Incarnation: 1}
}

func assign(id string) Order {
	return Order{Assign: &Assignment{Worker: testWorker(id), Generation: 1}}
}

func startOn(id string, index int) Order {
	return Order{Start: &StartOrder{Task: testTask(index), Run: 1, WorkerID: id, Incarnation: 1, Generation: 1}}
}

func testTask(index int) workload.TaskID { return workload.TaskID{Job: "j", Index: index} }

var testConfig = Config{Lease: 4 * time.Second, GangTimeout: 3 * time.Second}

// delegateFixture runs a SessionManager in virtual time with a fake owner and fake workers.
type delegateFixture struct {
	owner   *fakeOwner
	workers *fakeWorkers
	clock   *testClock
	epoch   atomic.Int64 // of the owner that the host knows
	cancel  context.CancelFunc
	done    chan struct{}
}

func startDelegate(ctx context.Context) *delegateFixture {
	return startDelegateWith(ctx, func(*fakeOwner) {})
}

// startDelegateWith lets prepare set up the owner first.
func startDelegateWith(ctx context.Context, prepare func(*fakeOwner)) *delegateFixture {
	a := &delegateFixture{owner: newFakeOwner(), workers: &fakeWorkers{}, clock: newTestClock(), done: make(chan struct{})}
	a.epoch.Store(testEpoch)
	prepare(a.owner)
	at := &SessionManager{Config: testConfig, Deps: Deps{Client: a.workers, Clock: a.clock.since, Log: zap.NewNop()}, Client: a.owner,
		Host: "h1", BootID: "b1", Owner: func() (Owner, bool) { return Owner{Addr: "o", BootID: "ob", Epoch: a.epoch.Load()}, true }}
	runCtx, cancel := context.WithCancel(ctx)
	a.cancel = cancel
	go func() {
		defer close(a.done)
		at.Run(runCtx)
	}()
	return a
}

func (a *delegateFixture) stop() {
	a.cancel()
	<-a.done
}

// setEnded lets the workers list this number of ends.
func (w *fakeWorkers) setEnded(n int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = nil
	for i := range n {
		w.ended = append(w.ended, scheduler.EndedRun{Number: i + 1, Task: workload.TaskID{Job: "j", Index: int(i)}, Run: 1, Reason: scheduler.EndDone})
	}
}
