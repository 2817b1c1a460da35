package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a restart that goes unnoticed by the next delegate or owner because the worker names the same start time.
func TestZeroOfAWorkerClock(t *testing.T) {
	reading := func(clock, after time.Duration) ClockZero { return clockZeroAt(clock.Milliseconds(), at(after)) }
	Convey("A clock that is 2 % slow, or is read by a host whose time of day is 2 s off, continues", t, func() {
		So(reading(time.Hour, 0).continues(reading(time.Hour+49*time.Minute, 50*time.Minute)), ShouldBeTrue)
		So(reading(time.Hour, 0).continues(reading(time.Hour+2*time.Second, 0)), ShouldBeTrue)
		So(ClockZero{}.continues(reading(time.Hour, 0)), ShouldBeTrue)
	})
	Convey("The clock of another incarnation does not", t, func() {
		So(reading(time.Hour, 0).continues(reading(2*time.Hour, time.Second)), ShouldBeFalse)
		So(reading(time.Hour, 0).continues(reading(time.Second, time.Second)), ShouldBeFalse)
	})
}

// Guards against runs that are taken for active, ends that are taken for known ones, and starts that are carried out late, after a restart
// with the same start time; and against runs that are given up although their worker was only suspended.
func TestWorkerWhoseClockDoesNotContinue(t *testing.T) {
	Convey("Given a worker with two runs, one of them accepted and one not answered, and an end that is applied", t, func() {
		f, now := newStaleLeaseFixture()
		f.DelistWorker("w1")
		f.AddJob(now, f.job("j", now, simpleStep(3)), nil, false)
		f.commit()
		starts := f.Plan(now).Starts
		So(starts, ShouldHaveLength, 3)
		outcomes := []StartOutcome{StartAccepted, StartUnknown, StartAccepted}
		for i, s := range starts {
			f.HandleStartResult(now, StartResult{Task: s.Task, Run: s.Run, Worker: "w0", Outcome: outcomes[i], AnsweredAt: now, LeaseUntil: now.Add(5 * time.Second)})
		}
		f.HandleStopAck(now, "w0", starts[1].Task, starts[1].Run)
		ends := []EndedRun{{Number: 5, Task: starts[2].Task, Run: starts[2].Run, Reason: EndDone}}
		report := func(jumped bool, active []ActiveRun, ended ...EndedRun) {
			f.HandleReport(now, Report{Worker: "w0", Incarnation: 1, SentAt: now, LeaseUntil: now.Add(5 * time.Second), Active: active, Ended: ended,
				ClockJumped: jumped, Unfenced: jumped})
		}
		running := []ActiveRun{{Task: starts[0].Task, Run: starts[0].Run}}
		report(false, running, ends...)
		f.Plan(now)
		now = now.Add(time.Second)
		Convey("What its report lists goes on, and a start without an answer is stopped anew", func() {
			report(true, running, ends...)
			So(f.TakeWorkerLosses(), ShouldBeEmpty)
			stops := f.Plan(now).Stops
			So(stops, ShouldHaveLength, 1)
			So(stops[0].Task, ShouldResemble, starts[1].Task)
			So(f.MayGetStaleCalls("w0"), ShouldBeTrue)
			So(f.Use("w0", now).StaleLease, ShouldBeTrue)
		})
		Convey("An accepted run that its report does not list is lost, and its ends are numbered anew", func() {
			report(true, nil)
			So(f.TakeWorkerLosses(), ShouldHaveLength, 1)
			So(f.LastDurableEnd("w0", 1), ShouldEqual, 0)
			failed := EndedRun{Number: 1, Task: starts[1].Task, Run: starts[1].Run, Reason: EndFailed}
			applied := f.HandleReport(now, Report{Worker: "w0", Incarnation: 1, SentAt: now, LeaseUntil: now.Add(5 * time.Second), Ended: []EndedRun{failed}})
			So(applied, ShouldHaveLength, 1)
		})
	})
}

// Guards against an owner that takes stale calls for fenced off on the word of a delegate that does not know of the restart: only the owner
// has seen, by the clock that an earlier delegate or owner has read, that the worker may have restarted.
func TestRestartThatOnlyTheOwnerSeesIsNotFenced(t *testing.T) {
	Convey("Given a worker whose clock has shown an hour", t, func() {
		f, now := newStaleLeaseFixture()
		report := func(clock time.Duration) {
			f.HandleReport(now, Report{Worker: "w0", Incarnation: 1, SentAt: now, LeaseUntil: now.Add(5 * time.Second), ClockMS: clock.Milliseconds()})
		}
		report(time.Hour)
		So(f.MayGetStaleCalls("w0"), ShouldBeFalse)
		Convey("When a report that its next delegate takes for fenced shows another clock, stale calls may reach it", func() {
			now = now.Add(time.Second)
			report(time.Minute)
			So(f.Restarts("w0"), ShouldEqual, 1)
			So(f.MayGetStaleCalls("w0"), ShouldBeTrue)
		})
	})
}

// Guards against a restart that goes unnoticed because the difference of two readings of a clock is beyond what a time.Duration holds.
func TestClockReadingsThatDifferByCenturies(t *testing.T) {
	const wrap = 18_446_744_073_709 // ms; in ns this is 2^64, less 0.55 ms
	for _, clock := range []int64{1 << 53, wrap, 1<<63 - 1} {
		before, after := clockZeroAt(clock, t0), clockZeroAt(1000, at(time.Second))
		if before.continues(after) || after.continues(before) {
			t.Errorf("a clock that shows %d ms is taken for one that shows 1000 ms", clock)
		}
	}
}

// Guards against a false alarm: an incarnation that answers for the first time is compared with the clock of the one before, although the
// entry had named it already.
func TestClockOfTheIncarnationBeforeIsNotCompared(t *testing.T) {
	f, now := newStaleLeaseFixture()
	report := func(incarnation int64, clock time.Duration) {
		f.HandleReport(now, Report{Worker: "w0", Incarnation: incarnation, SentAt: now, LeaseUntil: now.Add(5 * time.Second), ClockMS: clock.Milliseconds()})
	}
	report(1, time.Hour)
	f.MarkUnreachable(now, "w0", now)
	next := f.workers["w0"].info
	next.Incarnation = 2
	f.UpsertWorker(now, next)
	now = now.Add(20 * time.Second)
	f.Plan(now) // nothing runs on the worker, so the entry is used
	before := f.Restarts("w0")
	report(2, time.Second)
	if got := f.Restarts("w0"); got != before {
		t.Errorf("the first report of the listed incarnation counts as %d more restarts", got-before)
	}
}
