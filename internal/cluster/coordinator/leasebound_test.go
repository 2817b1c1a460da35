package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/delegate"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
)

// Guards against giving up a run before its lease has expired, because the owner was delayed between reading its clock for a plan
// and taking the worker from its executor, which extended the lease meanwhile.
func TestLeaseBoundCountsFromRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a run on a worker that is assigned to another executor in a plan that began 3 s ago", t, func() {
			o := runOwner(t, rowstore.NewMemory(), 0, 1)
			defer o.end()
			a := o.testDelegate(t, "a")
			a.awaitOneStart()
			So(a.exchange(a.startedEvent(a.starts[0], scheduler.StartAccepted)), ShouldBeNil)
			tm := o.current()
			tm.mu.Lock()
			defer tm.mu.Unlock()
			as, planBegan := tm.assigner, time.Now().Add(-3*time.Second)
			as.dropDelegate(planBegan.Add(-noDelegatesTimeout), as.remote["a"], "test")
			as.assignWorkers(planBegan, tm.sched.Workers())
			So(as.assignments["w0"].executor, ShouldEqual, as.local)
			tm.sched.MarkEnded(time.Now(), "w0", 1)
			losses := tm.sched.TakeWorkerLosses()
			So(len(losses), ShouldEqual, 1)
			Convey("its lease is bounded by the time of the release", func() {
				So(losses[0].LeaseLeft, ShouldBeGreaterThanOrEqualTo, delegate.PermitLimit+tm.cfg.Delegate.LeaseBound())
			})
		})
	})
}

// Guards against leases that the owner takes for longer than they are for the rest of a session: its first request was delayed,
// or the owner's host was suspended, which its clock for leases counts and time.Now does not.
func TestTimesOfExecutorAreCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := runOwner(t, rowstore.NewMemory(), 0, 1)
		defer o.end()
		request := delegate.OrdersRequest{Host: "a", Session: "a-1", Epoch: o.ownership.Epoch()}
		errorAfter := func(delay time.Duration) time.Duration {
			request.Now = o.clock() - delay
			if _, err := o.FetchOrders(t.Context(), request); err != nil {
				t.Fatal(err)
			}
			tm := o.current()
			tm.mu.Lock()
			defer tm.mu.Unlock()
			return time.Until(tm.assigner.remote["a"].ownerTime(o.clock()))
		}
		if e := errorAfter(2 * time.Second); e != 2*time.Second {
			t.Errorf("after a request that took 2 s, the times of the session are off by %v; want 2 s", e)
		}
		if e := errorAfter(10 * time.Millisecond); e != 10*time.Millisecond {
			t.Errorf("after a request that took 10 ms, the times of the session are off by %v; want 10 ms", e)
		}
		if e := errorAfter(time.Second); e != 10*time.Millisecond {
			t.Errorf("after a later request that took 1 s, the times of the session are off by %v; want 10 ms", e)
		}
		tm := o.current()
		tm.mu.Lock()
		tm.assigner.local.clockZero = tm.assigner.local.clockZero.Add(5 * time.Second) // as after a suspension of 5 s
		tm.mu.Unlock()
		tm.applyLocalEvent(delegate.Event{WorkerID: "w0", MissedRenewal: &delegate.MissedRenewal{Excused: true}})
		tm.mu.Lock()
		defer tm.mu.Unlock()
		if e := time.Until(tm.assigner.local.ownerTime(o.clock())); e != 0 {
			t.Errorf("after a suspension of the owner's host its own times are off by %v", e)
		}
	})
}

// Guards against two runs of a task after a change of the owner: a worker answers the new owner's delegate once, before a call has
// extended its lease, and is cut off then. Its run goes on under the lease that the earlier owner has extended.
func TestLeaseOfEarlierOwnerHoldsAfterFirstReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a run that an earlier owner has started on one of two workers", t, func() {
			store := rowstore.NewMemory()
			first := runOwner(t, store, 0, 2)
			a := first.testDelegate(t, "a")
			a.awaitOneStart()
			run := a.starts[0]
			So(a.exchange(a.startedEvent(run, scheduler.StartAccepted)), ShouldBeNil)
			first.end()
			second := runOwner(t, store, 1, 2)
			defer second.end()
			b := second.testDelegate(t, "b")
			for limit := time.Now().Add(time.Second); len(b.workers) < 2 && time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
				So(b.exchange(), ShouldBeNil)
			}
			So(b.workers, ShouldHaveLength, 2)
			Convey("When its worker is cut off from the new owner after its first answer, the task starts elsewhere once the lease has expired", func() {
				report := b.reportEvent(run.WorkerID, scheduler.ActiveRun{Task: run.Task, Run: run.Run})
				report.Report.LeaseUntil = 0
				missed := delegate.Event{WorkerID: run.WorkerID, Generation: b.workers[run.WorkerID], MissedRenewal: &delegate.MissedRenewal{FailedAt: second.clock(), Incarnation: 1}}
				So(b.exchange(report, missed), ShouldBeNil)
				answeredAt := time.Now()
				delete(b.workers, run.WorkerID) // serve reports the other worker only
				bound := second.current().cfg.Delegate.LeaseBound()
				b.serve(bound - 100*time.Millisecond)
				So(b.starts, ShouldBeEmpty)
				b.serve(time.Until(answeredAt.Add(bound + time.Second)))
				So(b.starts, ShouldHaveLength, 1)
				So(b.starts[0].WorkerID, ShouldNotEqual, run.WorkerID)
			})
		})
	})
}

// Guards against runs that are given up before their lease has expired, in a session that has lasted for hours with a delegate whose
// clock is slower than the owner's.
func TestLeaseEndWithClockDrift(t *testing.T) {
	const drift = 50e-6 // a usual quartz
	now := time.Now()
	ex := newExecutor(now, time.Hour)
	d := time.Hour
	for range 10 * 3600 {
		now = now.Add(time.Second)
		d += time.Second - time.Duration(drift*float64(time.Second))
		ex.syncClock(now.Add(time.Millisecond), d) // the request takes a millisecond
	}
	if early := now.Add(5 * time.Second).Sub(ex.leaseEnd(d + 5*time.Second)); early > 10*time.Millisecond || early < -time.Millisecond {
		t.Errorf("the end of a lease is converted to a time that is %v too early", early)
	}
}
