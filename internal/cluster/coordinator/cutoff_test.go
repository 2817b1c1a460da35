package coordinator

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/cluster/delegate"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

var errCutOff = errors.New("no answer")

// leasedWorkers is a WorkerClient of workers whose runs go on until their lease expires. Their clocks are 2 % slow.
type leasedWorkers struct {
	began time.Time

	mu       sync.Mutex
	cutOff   string // worker that can't be reached
	deadline map[string]time.Duration
	runs     map[string][]scheduler.ActiveRun
	overlaps int // starts of a task that runs on another worker
}

func (w *leasedWorkers) clock() time.Duration { return time.Since(w.began) * 98 / 100 }

// call returns false if the worker is cut off. Otherwise it extends the lease, after removing the runs that have expired.
func (w *leasedWorkers) call(id string, deadlineMS int64) bool {
	for other, d := range w.deadline {
		if w.clock() > d {
			w.runs[other] = nil
		}
	}
	if w.cutOff == id {
		return false
	}
	w.deadline[id] = max(w.deadline[id], time.Duration(deadlineMS)*time.Millisecond)
	return true
}

func (w *leasedWorkers) Renew(ctx context.Context, info scheduler.WorkerInfo, r delegate.Renewal) (delegate.RenewalAnswer, error) {
	for limit := time.Now().Add(r.PollTimeout); ; time.Sleep(5 * time.Millisecond) {
		w.mu.Lock()
		reached := w.call(info.ID, r.Deadline)
		answer := delegate.RenewalAnswer{ClockMS: w.clock().Milliseconds(), Incarnation: 1, Active: append([]scheduler.ActiveRun(nil), w.runs[info.ID]...)}
		for i := range answer.Active {
			answer.Active[i].Percent = int(time.Since(w.began) / (200 * time.Millisecond)) // a run without progress is stopped
		}
		w.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			return delegate.RenewalAnswer{}, errCutOff
		case reached && !time.Now().Before(limit):
			return answer, nil
		}
	}
}

func (w *leasedWorkers) Start(ctx context.Context, c delegate.StartCall) (delegate.StartAnswer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.call(c.Worker.ID, c.Deadline) {
		return delegate.StartAnswer{Outcome: scheduler.RejectedUnhealthy}, errCutOff
	}
	for other, runs := range w.runs {
		for _, a := range runs {
			if a.Task == c.Task && other != c.Worker.ID {
				w.overlaps++
			}
		}
	}
	w.runs[c.Worker.ID] = append(w.runs[c.Worker.ID], scheduler.ActiveRun{Task: c.Task, Run: c.Run})
	return delegate.StartAnswer{Outcome: scheduler.StartAccepted}, nil
}

func (w *leasedWorkers) Stop(_ context.Context, c delegate.StopCall) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.call(c.Worker.ID, 0) {
		return errCutOff
	}
	w.runs[c.Worker.ID] = slices.DeleteFunc(w.runs[c.Worker.ID], func(a scheduler.ActiveRun) bool { return a.Task == c.Task && a.Run == c.Run })
	return nil
}

// cuttableOwner is an OwnerClient whose calls to the owner are lost while it is cut off.
type cuttableOwner struct {
	o   *testOwner
	mu  sync.Mutex
	cut bool
}

func (c *cuttableOwner) setCut(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

func (c *cuttableOwner) lost(ctx context.Context) bool {
	c.mu.Lock()
	cut := c.cut
	c.mu.Unlock()
	if cut {
		<-ctx.Done()
	}
	return cut
}

func (c *cuttableOwner) FetchOrders(ctx context.Context, _ string, r delegate.OrdersRequest) (delegate.OrderBatch, error) {
	if c.lost(ctx) {
		return delegate.OrderBatch{}, errCutOff
	}
	b, err := c.o.Coordinator.FetchOrders(ctx, r)
	if c.lost(ctx) {
		return delegate.OrderBatch{}, errCutOff
	}
	return b, err
}

func (c *cuttableOwner) DeliverEvents(ctx context.Context, _ string, d delegate.EventBatch) error {
	if c.lost(ctx) {
		return errCutOff
	}
	return c.o.Coordinator.DeliverEvents(d)
}

// Guards against a task that runs twice because a worker comes back shortly before its lease ends while its delegate is cut off
// from the owner: the delegate must not extend the lease before the owner knows that the worker is back.
func TestWorkerReturnsWhileDelegateIsCutOff(t *testing.T) {
	for away := 2 * time.Second; away < 5*time.Second; away += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			o := runOwner(t, rowstore.NewMemory(), 0, 2)
			defer o.end()
			workers := &leasedWorkers{began: time.Now(), deadline: map[string]time.Duration{}, runs: map[string][]scheduler.ActiveRun{}}
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			defer wg.Wait()
			defer cancel()
			paths := map[string]*cuttableOwner{}
			for _, host := range []string{"a", "b"} {
				paths[host] = &cuttableOwner{o: o}
				m := &delegate.SessionManager{Config: delegate.Config{Lease: 4 * time.Second, GangTimeout: 3 * time.Second},
					Deps:   delegate.Deps{Client: workers, Clock: o.clock, Log: zap.NewNop()},
					Client: paths[host], Host: host, BootID: host,
					Owner: func() (delegate.Owner, bool) { return delegate.Owner{Addr: "o", Epoch: o.ownership.Epoch()}, true }}
				wg.Go(func() { m.Run(ctx) })
			}
			time.Sleep(time.Second)
			o.submitSteps("j1", workload.Step{Count: 1, Resources: workload.Resources{CPUMilli: 1000, MemoryMB: 100}, Estimate: time.Minute})
			time.Sleep(2 * time.Second)
			worker, host := o.placeOfRun(t, workers)
			workers.mu.Lock()
			workers.cutOff = worker
			workers.mu.Unlock()
			time.Sleep(away)
			paths[host].setCut(true)
			workers.mu.Lock()
			workers.cutOff = ""
			workers.mu.Unlock()
			time.Sleep(5 * time.Second)
			workers.mu.Lock()
			defer workers.mu.Unlock()
			if n := len(workers.runs["w0"]) + len(workers.runs["w1"]); n != 1 {
				t.Errorf("%v away: the task has %d runs in the end, want 1", away, n)
			}
			if workers.overlaps > 0 {
				t.Errorf("%v away: %d starts of a task that runs on another worker", away, workers.overlaps)
			}
		})
	}
}

// placeOfRun returns the worker with a run and the host of its delegate.
func (o *testOwner) placeOfRun(t *testing.T, workers *leasedWorkers) (worker, host string) {
	t.Helper()
	workers.mu.Lock()
	for id, runs := range workers.runs {
		if len(runs) > 0 {
			worker = id
		}
	}
	workers.mu.Unlock()
	tm := o.current()
	tm.mu.Lock()
	defer tm.mu.Unlock()
	a := tm.assigner.assignments[worker]
	if a == nil || a.executor == nil || a.executor.host == "" {
		t.Fatalf("the run has not started on a worker of a delegate: %q", worker)
	}
	return worker, a.executor.host
}
