package coordinator

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/delegate"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
)

// serveClocks is serve for workers whose clocks show the time of the virtual clock plus an offset.
func (td *testDelegate) serveClocks(d, offset time.Duration, active ...scheduler.ActiveRun) {
	for limit := time.Now().Add(d); time.Now().Before(limit); time.Sleep(min(d, 20*time.Millisecond)) {
		var events []delegate.Event
		for id := range td.workers {
			e := td.reportEvent(id, active...)
			e.Report.ClockMS = (td.o.clock() + offset).Milliseconds()
			events = append(events, e)
		}
		if err := td.exchange(events...); err != nil {
			td.t.Errorf("%s: %v", td.name, err)
			return
		}
	}
}

// Guards against a successor that can't notice that a worker has restarted with the same start time: the worker was listed late in the term,
// and the list of workers in use was written before its first report.
func TestClockOfAWorkerThatIsListedLateIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := runOwnerWith(t, rowstore.NewMemory(), 0, fixedWorkers{testWorker("w0")}, false, longLeases)
		defer o.end()
		a := o.testDelegate(t, "a")
		a.serveClocks(31*time.Second, 0) // longer than calls are late
		o.current().Upsert(testWorker("w1"))
		a.serveClocks(time.Minute, 0)
		u := o.readWorkersInUse(t)
		for _, id := range []string{"w0", "w1"} {
			if _, used := u.Uses()[id]; !used || u.Clocks()[id].UnixMS == 0 {
				t.Errorf("a minute after its first report, the stored list does not tell when the clock of %s showed zero: %+v", id, u)
			}
		}
	})
}

// Guards against a successor that is not told of a possible long lease: while the list without it is being written, the worker restarts with
// the same start time, and the list before that, which still had the lease, lets a run start.
func TestNothingStartsWhileAListWithoutTheStaleLeaseIsBeingWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
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
		a.serve(time.Second)
		o.submit("j1", 5) // the worker has room for four of the tasks
		a.serve(200 * time.Millisecond)
		if len(a.starts) != 4 {
			t.Fatalf("%d tasks were started, want 4", len(a.starts))
		}
		var active []scheduler.ActiveRun
		for _, s := range a.starts {
			if err := a.exchange(a.startedEvent(s, scheduler.StartAccepted)); err != nil {
				t.Fatal(err)
			}
			active = append(active, scheduler.ActiveRun{Task: s.Task, Run: s.Run})
		}
		tm := o.current()
		staleLease := func() bool {
			tm.mu.Lock()
			defer tm.mu.Unlock()
			return tm.sched.Use("w0", time.Now()).StaleLease
		}
		// The store stops answering just when the lease that a stale call of an earlier owner may have set has expired.
		for staleLease() {
			a.serveClocks(time.Millisecond, 0, active...)
		}
		down.Store(true)
		a.serveClocks(600*time.Millisecond, 0, active...)
		down.Store(false) // for the test's own read
		if !o.readWorkersInUse(t).Uses()["w0"].StaleLease {
			t.Fatal("the list without the lease is stored already")
		}
		down.Store(true)
		// The worker seems to have restarted; one of its runs has ended.
		e := a.reportEvent("w0", active[1:]...)
		e.Report.Ended = []scheduler.EndedRun{{Number: 1, Task: active[0].Task, Run: active[0].Run, Reason: scheduler.EndDone}}
		e.Report.ClockMS, e.Report.ClockJumped, e.Report.Unfenced = 1000, true, true
		if err := a.exchange(e); err != nil {
			t.Fatal(err)
		}
		a.starts = nil
		a.serveClocks(500*time.Millisecond, -o.clock()+time.Second, active[1:]...)
		if !staleLease() {
			t.Fatal("the owner does not take the lease for a long one")
		}
		if len(a.starts) == 0 {
			return
		}
		down.Store(false)
		for range 200 {
			time.Sleep(time.Millisecond)
			if !o.readWorkersInUse(t).Uses()["w0"].StaleLease {
				t.Errorf("%s was started, but the stored list does not tell of the lease", a.starts[0].Task)
				return
			}
		}
	})
}
