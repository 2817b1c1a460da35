package coordinator

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/cluster/delegate"
	"github.com/greengagewing/greengagewing/internal/cluster/election"
	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
	"github.com/greengagewing/greengagewing/internal/wait"
)

var testQueue = queues.Queue{Name: "q", Service: "s", MaxAttempts: 3, SlackFactor: 2, TargetLatency: time.Second}

// fixedWorkers implements Discovery with a list of workers that does not change.
type fixedWorkers []scheduler.WorkerInfo

func (l fixedWorkers) FollowWorkers(ctx context.Context, sink WorkerSink) {
	sink.ReplaceAll(l)
	<-ctx.Done()
}

// noPolicyHosts implements PolicyClient without any hosts.
type noPolicyHosts struct{}

func (noPolicyHosts) Hosts() []string { return nil }

func (noPolicyHosts) Ask(context.Context, string, workload.StepID, []string) (Advice, error) {
	return Advice{}, nil
}

// noWorkers is the worker client of the owner's own process. It counts the renewals and fails all calls.
type noWorkers struct{ renewals *atomic.Int64 }

func (w noWorkers) Renew(context.Context, scheduler.WorkerInfo, delegate.Renewal) (delegate.RenewalAnswer, error) {
	w.renewals.Add(1)
	return delegate.RenewalAnswer{}, delegate.ErrSessionEnded
}

func (noWorkers) Start(context.Context, delegate.StartCall) (delegate.StartAnswer, error) {
	return delegate.StartAnswer{Outcome: scheduler.RejectedUnhealthy}, nil
}

func (noWorkers) Stop(context.Context, delegate.StopCall) error { return delegate.ErrSessionEnded }

// testOwner is a coordinator that runs a term and needs a delegate for any number of workers.
type testOwner struct {
	*Coordinator
	store     rowstore.Store
	clock     func() time.Duration
	ownership *election.Ownership
	renewals  atomic.Int64
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

// runOwner starts a term that replaces the owner of an epoch, with a number of workers named w0, w1 and so on.
func runOwner(t *testing.T, store *rowstore.Memory, epoch int64, workers int) *testOwner {
	t.Helper()
	return runOwnerOn(t, store, epoch, workers)
}

// runOwnerOn is runOwner with any kind of store.
func runOwnerOn(t *testing.T, store rowstore.Store, epoch int64, workers int) *testOwner {
	t.Helper()
	return runSuccessor(t, store, epoch, workers, false)
}

// runSuccessor is runOwnerOn for an owner that knows whether the process of its predecessor has ended.
func runSuccessor(t *testing.T, store rowstore.Store, epoch int64, workers int, predecessorGone bool) *testOwner {
	t.Helper()
	var list fixedWorkers
	for i := range workers {
		list = append(list, testWorker(fmt.Sprintf("w%d", i)))
	}
	return runOwnerWith(t, store, epoch, list, predecessorGone, delegate.Config{Lease: 4 * time.Second, GangTimeout: 3 * time.Second})
}

// runOwnerWith is runSuccessor with any list of workers and any settings of leases.
func runOwnerWith(t *testing.T, store rowstore.Store, epoch int64, list fixedWorkers, predecessorGone bool, leases delegate.Config) *testOwner {
	t.Helper()
	return runOwnerConfig(t, store, epoch, list, predecessorGone, Config{Delegate: leases, Retention: time.Minute})
}

// runOwnerConfig is runOwnerWith with any settings.
func runOwnerConfig(t *testing.T, store rowstore.Store, epoch int64, list fixedWorkers, predecessorGone bool, cfg Config) *testOwner {
	t.Helper()
	began := time.Now()
	o := &testOwner{store: store, clock: func() time.Duration { return time.Hour + time.Since(began) }}
	ownership, err := election.Claim(t.Context(), store, election.Identity{Host: "owner", BootID: fmt.Sprint(epoch)},
		election.Predecessor{Epoch: epoch}, o.clock)
	if err != nil {
		t.Fatal(err)
	}
	o.ownership = ownership
	queueConfig := queues.NewConfigHolder()
	queueConfig.Update(&queues.Config{Version: 1, Queues: []queues.Queue{testQueue}})
	o.Coordinator = New(
		cfg,
		Deps{Store: store, Queues: queueConfig, Workers: noWorkers{&o.renewals}, PolicyClient: noPolicyHosts{}, Discovery: list, Clock: o.clock, ProcessorTime: func() time.Duration { return 0 },
			Log: zap.NewNop(), Metrics: tally.NoopScope})
	ctx, cancel := context.WithCancel(t.Context())
	o.cancel = cancel
	o.wg.Go(func() { _ = o.Run(ctx, ownership, func() bool { return predecessorGone }) })
	for o.current() == nil {
		time.Sleep(time.Millisecond)
	}
	return o
}

func testWorker(id string) scheduler.WorkerInfo {
	return scheduler.WorkerInfo{ID: id, Address: id, Service: "s", Incarnation: 1,
		Capacity: workload.Resources{CPUMilli: 4000, MemoryMB: 4000}}
}

// end ends the term and waits until it has stopped.
func (o *testOwner) end() {
	o.cancel()
	o.wg.Wait()
}

// testDelegate is a delegate that a test controls step by step.
type testDelegate struct {
	o       *testOwner
	t       *testing.T
	name    string
	session string
	after   int64
	sent    int64
	workers map[string]int64 // generation by worker
	starts  []delegate.StartOrder
	stops   []delegate.StopOrder
	acks    []delegate.Ack
}

func (o *testOwner) testDelegate(t *testing.T, name string) *testDelegate {
	return &testDelegate{o: o, t: t, name: name, session: name + "-1", workers: map[string]int64{}}
}

// exchange sends events to the owner, and fetches and records its orders.
func (td *testDelegate) exchange(events ...delegate.Event) error {
	b, err := td.o.FetchOrders(td.t.Context(), delegate.OrdersRequest{Host: td.name, Session: td.session, Epoch: td.o.ownership.Epoch(), After: td.after,
		Now: td.o.clock(), First: td.sent + 1, Events: events})
	if err != nil {
		return err
	}
	td.sent += int64(len(events))
	td.after = b.Last
	for _, o := range b.Orders {
		switch {
		case o.Assign != nil:
			td.workers[o.Assign.Worker.ID] = o.Assign.Generation
		case o.Release != "":
			delete(td.workers, o.Release)
		case o.Start != nil:
			td.starts = append(td.starts, *o.Start)
		case o.Stop != nil:
			td.stops = append(td.stops, *o.Stop)
		case o.Ack != nil:
			td.acks = append(td.acks, *o.Ack)
		}
		if o.Assign != nil && o.Assign.LastAckedEnd > 0 {
			td.acks = append(td.acks, delegate.Ack{WorkerID: o.Assign.Worker.ID, Incarnation: o.Assign.Worker.Incarnation, LastAckedEnd: o.Assign.LastAckedEnd})
		}
	}
	return nil
}

// serve fetches orders for the duration d, and reports each time that no run is active on the assigned workers.
func (td *testDelegate) serve(d time.Duration) {
	for limit := time.Now().Add(d); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		var events []delegate.Event
		for id := range td.workers {
			events = append(events, td.reportEvent(id))
		}
		if err := td.exchange(events...); err != nil {
			td.t.Errorf("%s: %v", td.name, err)
			return
		}
	}
}

// awaitOneStart submits a job with one task and waits for its start.
func (td *testDelegate) awaitOneStart() {
	td.serve(400 * time.Millisecond)
	td.o.submit("j1", 1)
	td.serve(200 * time.Millisecond)
	So(len(td.starts), ShouldEqual, 1)
}

// reportEvent returns a worker's report with the given active runs.
func (td *testDelegate) reportEvent(worker string, active ...scheduler.ActiveRun) delegate.Event {
	now := td.o.clock()
	return delegate.Event{WorkerID: worker, Generation: td.workers[worker],
		Report: &delegate.Report{Incarnation: 1, SentAt: now, LeaseUntil: now + 5*time.Second, Active: active}}
}

// startedEvent returns the outcome of a start.
func (td *testDelegate) startedEvent(s delegate.StartOrder, outcome scheduler.StartOutcome) delegate.Event {
	now := td.o.clock()
	return delegate.Event{WorkerID: s.WorkerID, Generation: s.Generation,
		Started: &delegate.StartResult{Task: s.Task, Run: s.Run, AnsweredAt: now, LeaseUntil: now + 5*time.Second, Outcome: outcome}}
}

// submit sends a job with a number of tasks to the owner, as a frontend does.
func (o *testOwner) submit(id string, count int) { o.submitSteps(id, testStep(count)) }

func testStep(count int) workload.Step {
	return workload.Step{Count: count, Resources: workload.Resources{CPUMilli: 1000, MemoryMB: 100}, Estimate: time.Second}
}

// submitSteps sends a job to the owner, as a frontend does.
func (o *testOwner) submitSteps(id string, steps ...workload.Step) {
	o.NotifyJobStored(&workload.Spec{ID: id, Queue: testQueue, Accepted: time.Now(), Steps: steps})
}

// submitTogether sends jobs with one task each to the owner at once, so that no commit begins between them.
func (o *testOwner) submitTogether(ids ...string) {
	t := o.current()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		t.addJob(time.Now(), &workload.Spec{ID: id, Queue: testQueue, Accepted: time.Now(), Steps: []workload.Step{testStep(1)}}, "entry")
	}
	t.requestPlan()
	wait.Signal(t.saveRequested)
}

// ownerRows returns the rows of a table in the owner's partition.
func ownerRows(t *testing.T, store rowstore.Store, table string) []rowstore.Row {
	t.Helper()
	rows, _, err := rowstore.ReadAll(t.Context(), store, table, election.Partition)
	if err != nil {
		t.Fatal(err)
	}
	return rows
}

// readWorkersInUse reads the stored list of the workers in use, from which a successor learns of them.
func (o *testOwner) readWorkersInUse(t *testing.T) records.WorkersInUse {
	t.Helper()
	row, ok, err := rowstore.ReadRow(t.Context(), o.store, records.WorkersInUseKey)
	if err != nil {
		t.Fatal(err)
	}
	var u records.WorkersInUse
	if ok {
		if err := records.Decode(row, &u); err != nil {
			t.Fatal(err)
		}
	}
	return u
}
