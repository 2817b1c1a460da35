package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const testStaleLease = 11 * time.Second

// newStaleLeaseFixture returns a fixture with two workers whose first incarnations no earlier owner has used, long after their first reports.
func newStaleLeaseFixture() (*fixture, time.Time) {
	f := newFixture(1, 0)
	f.cfg.Began, f.cfg.StaleLease = t0, testStaleLease
	f.addWorker("w0")
	f.addWorker("w1")
	now := at(testStaleLease + time.Second)
	f.report("w0", now)
	f.report("w1", now)
	return f, now
}

// Guards against two runs of a task: a call for the earlier incarnation of a worker sets the lease of the next one just before its first
// call with a higher token, and the worker is silent from then on.
func TestLeaseOfRestartedWorkerCountsFromTheFence(t *testing.T) {
	Convey("Given a worker that restarts and a run that it accepts afterwards", t, func() {
		f, now := newStaleLeaseFixture()
		f.DelistWorker("w1")
		report := func(now time.Time, unfenced bool) {
			f.HandleReport(now, Report{Worker: "w0", Incarnation: 2, SentAt: now, LeaseUntil: now.Add(5 * time.Second), Unfenced: unfenced, Active: f.active["w0"]})
		}
		So(f.Use("w0", now), ShouldResemble, WorkerUse{Incarnation: 1})
		report(now, true)
		So(f.MayGetStaleCalls("w0"), ShouldBeTrue)
		fencedAt := now.Add(500 * time.Millisecond)
		report(fencedAt, false)
		So(f.MayGetStaleCalls("w0"), ShouldBeFalse)
		w := f.workers["w0"].info
		w.Incarnation = 2
		f.UpsertWorker(fencedAt, w)
		f.AddJob(fencedAt, f.job("j", fencedAt, simpleStep(1)), nil, false)
		So(f.plan(fencedAt).Starts, ShouldHaveLength, 1)
		Convey("Its runs are given up only once the longest lease since the fence has expired", func() {
			silentAt := fencedAt.Add(time.Second)
			f.MarkUnreachable(silentAt, "w0", silentAt.Add(5*time.Second))
			So(f.plan(fencedAt.Add(testStaleLease-100*time.Millisecond)).Starts, ShouldBeEmpty)
			So(f.TakeWorkerLosses(), ShouldBeEmpty)
			f.plan(fencedAt.Add(testStaleLease + 100*time.Millisecond))
			So(f.TakeWorkerLosses(), ShouldHaveLength, 1)
		})
		Convey("A successor has to know that until then", func() {
			So(f.Use("w0", fencedAt.Add(testStaleLease-time.Millisecond)), ShouldResemble, WorkerUse{Incarnation: 2, StaleLease: true})
			So(f.Use("w0", fencedAt.Add(testStaleLease)), ShouldResemble, WorkerUse{Incarnation: 2})
		})
		Convey("A second restart within the lease counts anew", func() {
			again := fencedAt.Add(2 * time.Second)
			f.HandleReport(again, Report{Worker: "w0", Incarnation: 3, SentAt: again, LeaseUntil: again.Add(5 * time.Second)})
			So(f.Use("w0", again), ShouldResemble, WorkerUse{Incarnation: 3, StaleLease: true})
			So(f.workers["w0"].leaseUntil, ShouldEqual, again.Add(testStaleLease))
		})
	})
}

// Guards against a successor that counts the ordinary lease on a worker that may have restarted, or the longest one on each.
func TestPreviousUseTellsWhetherAWorkerHasRestarted(t *testing.T) {
	f := newFixture(2, 0)
	f.cfg.Began, f.cfg.StaleLease = t0, testStaleLease
	for id, use := range map[string]WorkerUse{"same": {Incarnation: 1}, "restarted": {Incarnation: 0}, "marked": {Incarnation: 1, StaleLease: true}} {
		f.AddUnresolvedWorker(id, at(5*time.Second))
		f.SetPreviousUse(id, use, t0)
		if got := f.Use(id, t0); got != use {
			t.Errorf("before the first report the use of worker %s is %+v, want %+v", id, got, use)
		}
	}
	for id, long := range map[string]bool{"same": false, "restarted": true, "marked": true, "unknown": true} {
		f.addWorker(id)
		if got := f.workers[id].leaseUntil; got.Equal(at(testStaleLease)) != long {
			t.Errorf("after the first report the lease of worker %s ends at %v", id, got.Sub(t0))
		}
		if got := f.Use(id, at(time.Second)); got != (WorkerUse{Incarnation: 1, StaleLease: long}) {
			t.Errorf("after the first report the use of worker %s is %+v", id, got)
		}
	}
}

// Guards against two runs of a task: a start without an answer is carried out by the next incarnation of its worker, which announces
// itself but does not answer.
func TestUnansweredStartWaitsForAnAnnouncedIncarnation(t *testing.T) {
	Convey("Given a worker that stops answering", t, func() {
		f, now := newStaleLeaseFixture()
		f.DelistWorker("w1")
		f.AddJob(now, f.job("j", now, simpleStep(1)), nil, false)
		f.commit()
		s := f.Plan(now).Starts[0]
		restarted := f.workers["w0"].info
		restarted.Incarnation = 2
		lease := now.Add(5 * time.Second)
		losesRun := func(at time.Time) bool {
			f.plan(at)
			return len(f.TakeWorkerLosses()) > 0 || f.jobs["j"].occurrences[0].units[0].tasks.peek(0).placement == nil
		}
		Convey("When a start was not answered and a later incarnation is listed, the task waits for the longest lease", func() {
			f.HandleStartResult(now, StartResult{Task: s.Task, Run: s.Run, Worker: "w0", Outcome: StartUnknown, AnsweredAt: now, LeaseUntil: lease})
			f.MarkUnreachable(now, "w0", lease)
			f.UpsertWorker(now.Add(time.Second), restarted)
			f.UpsertWorker(now.Add(2*time.Second), restarted)
			So(losesRun(now.Add(time.Second+testStaleLease-100*time.Millisecond)), ShouldBeFalse)
			So(losesRun(now.Add(time.Second+testStaleLease+100*time.Millisecond)), ShouldBeTrue)
		})
		Convey("When the start was accepted, the run belongs to the earlier incarnation and has the ordinary lease", func() {
			f.HandleStartResult(now, StartResult{Task: s.Task, Run: s.Run, Worker: "w0", Outcome: StartAccepted, AnsweredAt: now, LeaseUntil: lease})
			f.MarkUnreachable(now, "w0", lease)
			f.UpsertWorker(now.Add(time.Second), restarted)
			So(losesRun(lease.Add(100*time.Millisecond)), ShouldBeTrue)
		})
	})
}

// Guards against two runs of a task: the stop of an unanswered start was acknowledged by an incarnation that has ended, and the next one,
// which remembers no stop, may still carry out the start.
func TestStopAckOfEndedIncarnationDoesNotFreeTheTask(t *testing.T) {
	f, now := newStaleLeaseFixture()
	f.AddJob(now, f.job("j", now, simpleStep(1)), nil, false)
	f.commit()
	starts := f.Plan(now).Starts
	if len(starts) != 1 {
		t.Fatalf("%d starts, want 1", len(starts))
	}
	s := starts[0]
	now = now.Add(time.Second)
	f.HandleStartResult(now, StartResult{Task: s.Task, Run: s.Run, Worker: s.Worker.ID, Outcome: StartUnknown, AnsweredAt: now, LeaseUntil: now.Add(5 * time.Second)})
	if stops := f.Plan(now).Stops; len(stops) != 1 {
		t.Fatalf("%d stops, want 1", len(stops))
	}
	now = now.Add(100 * time.Millisecond)
	f.HandleStopAck(now, s.Worker.ID, s.Task, s.Run)
	now = now.Add(100 * time.Millisecond)
	f.HandleReport(now, Report{Worker: s.Worker.ID, Incarnation: 2, SentAt: now, LeaseUntil: now.Add(testStaleLease), Unfenced: true})
	f.commit()
	again := f.Plan(now).Starts
	f.commit()
	again = append(again, f.Plan(now.Add(100*time.Millisecond)).Starts...)
	if len(again) > 0 {
		t.Errorf("run %d starts on %s while stale calls may still start run %d on %s", again[0].Run, again[0].Worker.ID, s.Run, s.Worker.ID)
	}
}

// Guards against the longest lease for a worker whose ID nobody has ever called: no stale call can reach it.
func TestNewWorkerCountsTheOrdinaryLease(t *testing.T) {
	f, now := newStaleLeaseFixture()
	now = now.Add(time.Minute)
	f.report("w0", now)
	f.report("w1", now)
	w := f.workers["w0"].info
	w.ID, w.Address = "new", "new"
	f.UpsertWorker(now, w)
	f.HandleReport(now, Report{Worker: "new", Incarnation: 1, SentAt: now, LeaseUntil: now.Add(5 * time.Second)})
	if left := f.workers["new"].leaseUntil.Sub(now); left > 5*time.Second {
		t.Errorf("the lease of a worker that nobody has called before ends after %v, want 5 s", left)
	}
}

// Guards against the ordinary lease for a worker that comes back as another incarnation after it was removed, and against the longest one
// for one that was only cut off.
func TestWorkerThatWasRemovedMayHaveRestarted(t *testing.T) {
	for incarnation, long := range map[int64]bool{1: false, 2: true} {
		f, now := newStaleLeaseFixture()
		now = now.Add(time.Minute)
		f.report("w0", now)
		info := f.workers["w0"].info
		f.DelistWorker("w0")
		f.MarkUnreachable(now, "w0", now.Add(5*time.Second))
		now = now.Add(6 * time.Second)
		f.plan(now)
		if f.workers["w0"] != nil {
			t.Fatal("the worker was not removed")
		}
		info.Incarnation = incarnation
		f.UpsertWorker(now, info)
		f.HandleReport(now, Report{Worker: "w0", Incarnation: incarnation, SentAt: now, LeaseUntil: now.Add(5 * time.Second)})
		if got := f.workers["w0"].leaseUntil.Sub(now); (got == testStaleLease) != long {
			t.Errorf("back as incarnation %d the worker has a lease of %v", incarnation, got)
		}
	}
}
