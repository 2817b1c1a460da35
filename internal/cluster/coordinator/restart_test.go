package coordinator

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/delegate"
	"github.com/greengagewing/greengagewing/internal/cluster/election"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
)

var longLeases = delegate.Config{Lease: 4 * time.Second, MaxLease: 9 * time.Second, GangTimeout: 3 * time.Second}

func restartedWorker(id string) scheduler.WorkerInfo {
	w := testWorker(id)
	w.Incarnation = 2
	return w
}

// twoWorkersWithRestarted returns a list of two workers of which one is a second incarnation.
func twoWorkersWithRestarted(id string) fixedWorkers {
	list := fixedWorkers{testWorker("w0"), testWorker("w1")}
	for i, w := range list {
		if w.ID == id {
			list[i] = restartedWorker(id)
		}
	}
	return list
}

// runOwnerWithStart runs an owner with two workers until it takes none of them for restarted, and has it start a task.
func runOwnerWithStart(t *testing.T, store rowstore.Store) (*testOwner, *testDelegate) {
	o := runOwnerWith(t, store, 0, fixedWorkers{testWorker("w0"), testWorker("w1")}, false, longLeases)
	td := o.testDelegate(t, "a")
	td.serve(longLeases.StaleLeaseBound() + time.Second)
	o.submit("j1", 1)
	td.serve(200 * time.Millisecond)
	So(td.starts, ShouldHaveLength, 1)
	return o, td
}

// delegateOfTwoWorkers returns a delegate to which two workers are assigned. It has not reported yet.
func (o *testOwner) delegateOfTwoWorkers(t *testing.T, name string) *testDelegate {
	td := o.testDelegate(t, name)
	for limit := time.Now().Add(time.Second); len(td.workers) < 2 && time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		So(td.exchange(), ShouldBeNil)
	}
	So(td.workers, ShouldHaveLength, 2)
	return td
}

// reportOnce reports a run on a second incarnation, which does not answer the next call.
func (td *testDelegate) reportOnce(run delegate.StartOrder) {
	report := td.restartReport(run.WorkerID, false, scheduler.ActiveRun{Task: run.Task, Run: run.Run})
	missed := delegate.Event{WorkerID: run.WorkerID, Generation: td.workers[run.WorkerID],
		MissedRenewal: &delegate.MissedRenewal{FailedAt: td.o.clock(), Incarnation: 2}}
	So(td.exchange(report, missed), ShouldBeNil)
}

// awaitStartElsewhere lets the other workers than that of a run report, and returns the time until a task starts there, 30 s at most.
func (td *testDelegate) awaitStartElsewhere(run delegate.StartOrder) time.Duration {
	began := time.Now()
	delete(td.workers, run.WorkerID)
	for time.Since(began) < 30*time.Second && len(td.starts) == 0 {
		td.serve(100 * time.Millisecond)
	}
	So(td.starts, ShouldHaveLength, 1)
	return time.Since(began)
}

// restartWorkers reports answers of second incarnations of all assigned workers, the first ones to calls for the earlier incarnations, and
// lists them.
func (td *testDelegate) restartWorkers() {
	for _, unfenced := range []bool{true, false} {
		for id := range td.workers {
			So(td.exchange(td.restartReport(id, unfenced)), ShouldBeNil)
		}
		for id := range td.workers {
			td.o.current().Upsert(restartedWorker(id))
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (td *testDelegate) restartReport(worker string, unfenced bool, active ...scheduler.ActiveRun) delegate.Event {
	e := td.reportEvent(worker, active...)
	e.Report.Incarnation, e.Report.Unfenced = 2, unfenced
	return e
}

// serveRestarted is serve for second incarnations.
func (td *testDelegate) serveRestarted(d time.Duration) {
	for limit := time.Now().Add(d); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		var events []delegate.Event
		for id := range td.workers {
			events = append(events, td.restartReport(id, false))
		}
		So(td.exchange(events...), ShouldBeNil)
	}
}

// Guards against two runs of a task: a call for the former incarnation of a worker has set a long lease on the next one, and the owner
// that saw the restart is gone when the worker is cut off.
func TestSuccessorKnowsOfLeaseSetByStaleCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a run that an owner has started on a worker that has just restarted", t, func() {
			store := rowstore.NewMemory()
			first := runOwnerWith(t, store, 0, fixedWorkers{testWorker("w0"), testWorker("w1")}, false, longLeases)
			a := first.testDelegate(t, "a")
			a.serve(longLeases.StaleLeaseBound() + time.Second)
			So(first.readWorkersInUse(t).StaleLeases, ShouldBeEmpty)
			a.restartWorkers()
			first.submit("j1", 1)
			a.serveRestarted(200 * time.Millisecond)
			So(a.starts, ShouldHaveLength, 1)
			run := a.starts[0]
			So(run.Incarnation, ShouldEqual, 2)
			So(first.readWorkersInUse(t).Uses()[run.WorkerID], ShouldResemble, scheduler.WorkerUse{Incarnation: 2, StaleLease: true})
			So(a.exchange(a.startedEvent(run, scheduler.StartAccepted)), ShouldBeNil)
			first.end()
			second := runOwnerWith(t, store, 1, fixedWorkers{restartedWorker("w0"), restartedWorker("w1")}, true, longLeases)
			defer second.end()
			b := second.delegateOfTwoWorkers(t, "b")
			claimedAt := time.Now()
			Convey("When its worker is cut off after its first answer to the next owner, the task waits for the longest lease", func() {
				b.reportOnce(run)
				b.expectStartElsewhereAfter(run, longLeases.StaleLeaseBound())
			})
			Convey("When its worker never answers the next owner, the task waits for the longest lease", func() {
				b.expectStartElsewhereAfter(run, longLeases.StaleLeaseBound()-time.Since(claimedAt)-time.Second)
			})
		})
	})
}

// expectStartElsewhereAfter expects that the task of a run starts on another worker at least d from now, and soon after.
func (td *testDelegate) expectStartElsewhereAfter(run delegate.StartOrder, d time.Duration) {
	delete(td.workers, run.WorkerID) // the other worker reports
	td.serveRestarted(d - 100*time.Millisecond)
	So(td.starts, ShouldBeEmpty)
	td.serveRestarted(3 * time.Second)
	So(td.starts, ShouldHaveLength, 1)
	So(td.starts[0].WorkerID, ShouldNotEqual, run.WorkerID)
}

// Guards against the same on a restart that no earlier owner has seen.
func TestSuccessorSeesRestartFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a run on a worker whose restart only the next owner sees", t, func() {
			store := rowstore.NewMemory()
			first, a := runOwnerWithStart(t, store)
			run := a.starts[0]
			first.end()
			second := runOwnerWith(t, store, 1, fixedWorkers{restartedWorker("w0"), restartedWorker("w1")}, true, longLeases)
			defer second.end()
			b := second.delegateOfTwoWorkers(t, "b")
			Convey("When a late start is carried out there and the worker is cut off, the task waits for the longest lease", func() {
				b.reportOnce(run)
				b.expectStartElsewhereAfter(run, longLeases.StaleLeaseBound())
			})
		})
	})
}

// Guards against calls for an earlier incarnation, or of an earlier delegate, that a worker carries out: their token has to be lower.
func TestFencingTokenRisesWithRestartsAndDelegates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := runOwner(t, rowstore.NewMemory(), 0, 1)
		defer o.end()
		a := o.testDelegate(t, "a")
		assigned := func() delegate.Assignment {
			tm := o.current()
			tm.mu.Lock()
			defer tm.mu.Unlock()
			return *tm.assigner.assignOrder(tm.assigner.assignments["w0"])
		}
		a.serve(400 * time.Millisecond)
		initial := assigned()
		if initial.FencingToken <= delegate.FencingToken(o.ownership.Epoch(), 0) || initial.FencingToken >= delegate.FencingToken(o.ownership.Epoch()+1, 0) {
			t.Errorf("the token %d is not one of the epoch", initial.FencingToken)
		}
		if err := a.exchange(a.restartReport("w0", true)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
		restarted := assigned()
		if restarted.FencingToken <= initial.FencingToken || !restarted.MayGetStaleCalls || restarted.Generation != initial.Generation {
			t.Errorf("after a restart the assignment %+v follows %+v", restarted, initial)
		}
		tm := o.current()
		tm.mu.Lock()
		tm.assigner.dropDelegate(time.Now().Add(-noDelegatesTimeout), tm.assigner.remote["a"], "test")
		tm.assigner.assignWorkers(time.Now(), tm.sched.Workers())
		tm.mu.Unlock()
		if moved := assigned(); moved.FencingToken <= restarted.FencingToken {
			t.Errorf("the next executor has the token %d after %d", moved.FencingToken, restarted.FencingToken)
		}
	})
}

// Guards against a run on a restarted worker of which a successor does not know that its lease may be long, because the store did not
// answer when the worker restarted.
func TestNothingStartsOnARestartedWorkerBeforeItsUseIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a worker that restarts while the store takes no writes of the owner", t, func() {
			store := rowstore.NewMemory()
			var down atomic.Bool
			store.InjectError = func(string) error {
				if down.Load() {
					return rowstore.ErrUnavailable
				}
				return nil
			}
			o := runOwnerWith(t, store, 0, fixedWorkers{testWorker("w0")}, false, longLeases)
			defer o.end()
			a := o.testDelegate(t, "a")
			a.serve(longLeases.StaleLeaseBound() + time.Second)
			o.submit("j1", 1)
			a.serve(100 * time.Millisecond)
			So(a.starts, ShouldHaveLength, 1)
			So(a.exchange(a.startedEvent(a.starts[0], scheduler.StartAccepted)), ShouldBeNil)
			down.Store(true)
			a.restartWorkers()
			a.serveRestarted(time.Second)
			Convey("Its tasks start again only once its use is stored", func() {
				So(a.starts, ShouldHaveLength, 1)
				down.Store(false)
				a.serveRestarted(time.Second)
				So(len(a.starts), ShouldEqual, 2)
				So(o.readWorkersInUse(t).Uses()["w0"], ShouldResemble, scheduler.WorkerUse{Incarnation: 2, StaleLease: true})
			})
		})
	})
}

// Guards against two runs of a task: the list of workers shows a successor that a worker has restarted, so that it may carry out an
// unanswered start with the longest lease, but the worker is cut off before its first answer.
func TestListedRestartWithoutAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given an unanswered start on a worker whose restart the next owner sees in the list", t, func() {
			store := rowstore.NewMemory()
			first, a := runOwnerWithStart(t, store)
			run := a.starts[0]
			first.end()
			second := runOwnerWith(t, store, 1, twoWorkersWithRestarted(run.WorkerID), true, longLeases)
			defer second.end()
			b := second.delegateOfTwoWorkers(t, "b")
			So(b.awaitStartElsewhere(run), ShouldBeGreaterThan, longLeases.StaleLeaseBound()-time.Second)
		})
	})
}

// Guards against a successor that counts the longest lease from its takeover while the previous owner, which has not ended, may still
// let stale calls reach the worker and start tasks there.
func TestStaleLeaseUnderAnOwnerThatGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a worker whose stale calls the previous owner, which may go on for its lease, has not fenced off", t, func() {
			store := rowstore.NewMemory()
			first, a := runOwnerWithStart(t, store)
			run := a.starts[0]
			So(a.exchange(a.restartReport(run.WorkerID, true)), ShouldBeNil)
			first.current().Upsert(restartedWorker(run.WorkerID))
			time.Sleep(300 * time.Millisecond)
			So(first.readWorkersInUse(t).Uses()[run.WorkerID], ShouldResemble, scheduler.WorkerUse{Incarnation: 2, StaleLease: true})
			second := runOwnerWith(t, store, 1, twoWorkersWithRestarted(run.WorkerID), false, longLeases)
			defer first.end()
			defer second.end()
			b := second.delegateOfTwoWorkers(t, "b")
			So(b.awaitStartElsewhere(run), ShouldBeGreaterThan, election.LeaseDuration+longLeases.StaleLeaseBound()-time.Second)
		})
	})
}
