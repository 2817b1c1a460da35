package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// Guards against two concurrent runs of a task: a worker restarts under its ID while a start is in progress, the new process receives
// the start, and its first report, requested before, does not list the run.
func TestStartThatReachesARestartedWorkerIsNotRepeatedElsewhere(t *testing.T) {
	newProcess := func(requestedAt time.Time, active ...ActiveRun) Report {
		return Report{Worker: "w0", Incarnation: 2, SentAt: requestedAt, LeaseUntil: requestedAt.Add(5 * time.Second), Active: active}
	}
	Convey("Given a start that is sent while its worker restarts", t, func() {
		f := newFixture(1, 1)
		f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, false)
		f.commit()
		s := f.Plan(t0).Starts[0]
		f.addWorker("w1")
		accepted := StartResult{Task: s.Task, Run: s.Run, Worker: "w0", Outcome: StartAccepted, AnsweredAt: at(100 * time.Millisecond), LeaseUntil: at(5 * time.Second)}
		run := ActiveRun{Task: s.Task, Run: s.Run}
		Convey("When it was accepted after the first report of the new process was requested, the task does not start elsewhere", func() {
			f.HandleStartResult(at(100*time.Millisecond), accepted)
			f.HandleReport(at(110*time.Millisecond), newProcess(at(50*time.Millisecond)))
			So(f.plan(at(120*time.Millisecond)).Starts, ShouldBeEmpty)
			Convey("The run goes on if the next report lists it", func() {
				f.HandleReport(at(300*time.Millisecond), newProcess(at(200*time.Millisecond), run))
				p := f.plan(at(310 * time.Millisecond))
				So(p.Starts, ShouldBeEmpty)
				So(p.Stops, ShouldBeEmpty)
			})
			Convey("The task starts again if the next report does not list it", func() {
				f.HandleReport(at(300*time.Millisecond), newProcess(at(200*time.Millisecond)))
				So(f.plan(at(310*time.Millisecond)).Starts, ShouldHaveLength, 1)
			})
		})
		Convey("When it has not been answered, the run is stopped on the new process before the task starts elsewhere", func() {
			f.HandleReport(at(60*time.Millisecond), newProcess(at(50*time.Millisecond)))
			p := f.Plan(at(70 * time.Millisecond))
			So(p.Starts, ShouldBeEmpty)
			So(p.Stops, ShouldHaveLength, 1)
			So(p.Stops[0].Worker.Incarnation, ShouldEqual, 2)
			f.HandleStartResult(at(100*time.Millisecond), accepted)
			f.HandleReport(at(250*time.Millisecond), newProcess(at(200*time.Millisecond)))
			So(f.Plan(at(260*time.Millisecond)).Starts, ShouldBeEmpty)
			f.HandleStopAck(at(300*time.Millisecond), "w0", s.Task, s.Run)
			f.HandleReport(at(450*time.Millisecond), newProcess(at(400*time.Millisecond)))
			So(f.Plan(at(460*time.Millisecond)).Starts, ShouldHaveLength, 1)
		})
		Convey("When it was accepted before that report was requested, the run ended with the earlier process", func() {
			f.HandleStartResult(at(100*time.Millisecond), accepted)
			f.HandleReport(at(300*time.Millisecond), newProcess(at(200*time.Millisecond)))
			So(f.plan(at(310*time.Millisecond)).Starts, ShouldHaveLength, 1)
		})
	})
}

// Guards against a restarted worker that is not used, or whose earlier runs count as active, because its start time is not a later one.
func TestRestartedWorkerMayNameAnEarlierStartTime(t *testing.T) {
	Convey("Given a worker with a run, and a report of an incarnation with an earlier start time", t, func() {
		f := newFixture(1, 0)
		later := WorkerInfo{ID: "w0", Service: testService, Address: "w0", Rack: "r1", Incarnation: 5_000,
			Capacity: workload.Resources{CPUMilli: 10_000, MemoryMB: 10_000}}
		report := func(incarnation int64, sentAt time.Time, now time.Time) {
			f.HandleReport(now, Report{Worker: "w0", Incarnation: incarnation, SentAt: sentAt, LeaseUntil: now.Add(5 * time.Second), Active: f.active["w0"]})
		}
		f.UpsertWorker(t0, later)
		report(later.Incarnation, t0, t0)
		f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, false)
		started := f.plan(t0).Starts
		So(started, ShouldHaveLength, 1)
		f.active["w0"] = nil
		report(4_000, at(time.Second), at(time.Second))
		f.commit()
		Convey("The run of its earlier incarnation is lost, and starts again once the entry of the present one is read", func() {
			So(f.TakeWorkerLosses()[0].Cause, ShouldEqual, LossRestarted)
			So(f.plan(at(time.Second)).Starts, ShouldBeEmpty)
			present := later
			present.Incarnation = 4_000
			f.UpsertWorker(at(2*time.Second), present)
			again := f.plan(at(2 * time.Second)).Starts
			So(again, ShouldHaveLength, 1)
			So(again[0].Worker.Incarnation, ShouldEqual, 4_000)
		})
		Convey("A late entry and a late report of its earlier incarnation change nothing", func() {
			f.UpsertWorker(at(2*time.Second), later)
			report(later.Incarnation, at(500*time.Millisecond), at(2*time.Second))
			So(f.IsPresent("w0", 4_000), ShouldBeTrue)
			So(f.plan(at(2*time.Second)).Starts, ShouldBeEmpty)
		})
	})
}

// Guards against a worker that gets no tasks any more because its present incarnation names a start time that an earlier one had named: its
// entry, read before its first answer, is taken for a late one.
func TestWorkerReturnsToAnEarlierStartTime(t *testing.T) {
	for name, names := range map[string][]int64{"new start time": {1, 2, 3}, "repeated start time": {1, 2, 1}} {
		f, now := newStaleLeaseFixture()
		entry := f.workers["w0"].info
		for _, next := range names[1:] {
			now = now.Add(time.Second)
			entry.Incarnation = next
			f.UpsertWorker(now, entry)
			for range 3 {
				now = now.Add(500 * time.Millisecond)
				f.HandleReport(now, Report{Worker: "w0", Incarnation: next, SentAt: now, LeaseUntil: now.Add(5 * time.Second)})
			}
		}
		if !f.workers["w0"].acceptsStarts() {
			t.Errorf("%s: the worker has been listed and answers, but accepts no starts", name)
		}
	}
}

// Guards against a worker that is never called again: it crashes, its entry expires, and the next incarnation, which names a start time that an
// earlier one had named, writes its entry while the runs of the crashed one are not given up yet.
func TestWorkerReturnsToAnEarlierStartTimeAfterItsEntryExpired(t *testing.T) {
	for name, next := range map[string]int64{"new start time": 3, "repeated start time": 1} {
		f, now := newStaleLeaseFixture()
		f.DelistWorker("w1")
		entry := f.workers["w0"].info
		entry.Incarnation = 2
		f.UpsertWorker(now, entry)
		for range 30 { // until no stale call can have set the lease
			now = now.Add(500 * time.Millisecond)
			f.HandleReport(now, Report{Worker: "w0", Incarnation: 2, SentAt: now, LeaseUntil: now.Add(5 * time.Second)})
		}
		f.AddJob(now, f.job("j", now, simpleStep(1)), nil, false)
		if started := f.plan(now).Starts; len(started) != 1 || started[0].Worker.ID != "w0" {
			t.Fatalf("%s: %d starts", name, len(started))
		}
		f.MarkUnreachable(now.Add(time.Second), "w0", now.Add(5*time.Second))
		f.DelistWorker("w0")
		entry.Incarnation = next
		f.UpsertWorker(now.Add(3*time.Second), entry)
		f.plan(now.Add(20 * time.Second)) // the lease has expired
		if w := f.workers["w0"]; w == nil || !w.listed {
			t.Errorf("%s: the worker is listed, but is not called any more", name)
		}
	}
}

// Guards against a worker that gets no tasks any more because it was draining when it restarted with the same start time.
func TestDrainedWorkerRestartsWithTheSameStartTime(t *testing.T) {
	for _, entryFirst := range []bool{false, true} {
		f, now := newStaleLeaseFixture()
		draining := f.workers["w0"].info
		ready := draining
		draining.Draining, draining.DrainRemaining = true, 5*time.Second
		report := func(clock time.Duration, jumped bool) {
			f.HandleReport(now, Report{Worker: "w0", Incarnation: 1, SentAt: now, LeaseUntil: now.Add(5 * time.Second), ClockMS: clock.Milliseconds(),
				ClockJumped: jumped, Unfenced: jumped})
		}
		report(time.Hour, false)
		f.UpsertWorker(now, draining)
		now = now.Add(time.Second)
		if entryFirst {
			f.UpsertWorker(now, ready)
			if f.workers["w0"].acceptsStarts() {
				t.Error("a ready entry ends the drain of a worker that has not restarted")
			}
		}
		report(time.Second, true)
		if !entryFirst {
			if f.workers["w0"].acceptsStarts() {
				t.Error("the drain ends before an entry says so")
			}
			f.UpsertWorker(now, ready)
		}
		for i := range 60 {
			now = now.Add(time.Second)
			report(time.Duration(i+2)*time.Second, false)
		}
		if !f.workers["w0"].acceptsStarts() {
			t.Errorf("entry first: %v: a minute after the restart and a ready entry the worker still counts as draining", entryFirst)
		}
	}
}
