package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// list adds or updates the entry of a worker.
func (f *fixture) list(now time.Time, id, address string, incarnation int64) {
	f.UpsertWorker(now, WorkerInfo{ID: id, Service: testService, Address: address, Rack: "r1", Incarnation: incarnation,
		Capacity: workload.Resources{CPUMilli: 10_000, MemoryMB: 10_000}})
}

// placedOn returns a fixture with one worker, w0 at address a, that answers and runs the only task of a job.
func placedOn(incarnation int64) (*fixture, Start) {
	f := newFixture(1, 0)
	f.list(t0, "w0", "a", incarnation)
	f.report("w0", t0)
	f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, false)
	return f, f.plan(t0).Starts[0]
}

// Guards against runs of a living worker that are given up early because of what answers at an address: it shows the end of an
// incarnation only if that was called at the address last, and the other worker was not there before.
func TestAnswersOfOtherWorkersThatShowNoEnd(t *testing.T) {
	Convey("Given a worker with a run that stops answering", t, func() {
		f, s := placedOn(10)
		lease := at(6 * time.Second)
		silent := func() { f.MarkUnreachable(at(time.Second), "w0", lease) }
		expectKept := func(now time.Time) {
			f.plan(now)
			So(f.TakeWorkerLosses(), ShouldBeEmpty)
			So(f.workers["w0"].findPlacement(s.Task, s.Run), ShouldNotBeNil)
		}
		Convey("A later process at its address shows the end", func() {
			silent()
			f.list(at(3*time.Second), "w1", "a", 20)
			f.report("w1", at(3*time.Second))
			losses := f.TakeWorkerLosses()
			So(losses, ShouldHaveLength, 1)
			So(losses[0].Cause, ShouldEqual, LossReplaced)
		})
		Convey("A process that started before it does not", func() {
			silent()
			f.list(at(3*time.Second), "w1", "a", 5)
			f.report("w1", at(3*time.Second))
			expectKept(at(3 * time.Second))
		})
		Convey("A worker that shares the address and answered beside it does not", func() {
			f.list(t0, "w1", "a", 20)
			f.report("w1", at(500*time.Millisecond))
			f.report("w0", at(600*time.Millisecond))
			silent()
			f.report("w1", at(2*time.Second))
			expectKept(at(2 * time.Second))
		})
		Convey("An answer at the address that it has left does not", func() {
			silent()
			f.list(at(2*time.Second), "w0", "b", 10)
			f.list(at(3*time.Second), "w1", "a", 20)
			f.report("w1", at(3*time.Second))
			expectKept(at(3 * time.Second))
		})
		Convey("An answer at the address of another worker, which an odd entry gives it, does not", func() {
			f.list(at(500*time.Millisecond), "w1", "b", 20)
			f.list(at(600*time.Millisecond), "w0", "b", 10)
			silent()
			f.report("w1", at(2*time.Second))
			expectKept(at(2 * time.Second))
		})
	})
}

// Guards against tasks that a successor starts although they run on, because the silence that an earlier owner stored names an address
// at which the worker is not called any more.
func TestStoredSilenceAtAnotherAddressResolvesNothing(t *testing.T) {
	Convey("Given a successor with a stored silence, and the silent worker, which drains and is listed at another address", t, func() {
		f := newFixture(2, 0)
		f.AddUnresolvedWorker("w0", at(10*time.Second))
		progress := &workload.Progress{State: workload.Running, Tasks: []workload.TaskProgress{{Crash: &workload.CrashEvidence{
			Suspected: []workload.SuspectedCrash{{Worker: "w0", Address: "a", Incarnation: 10, Run: 1, Weight: promptWeight, Since: t0}}}}}}
		f.AddJob(t0, f.job("j", t0, simpleStep(1)), progress, true)
		f.UpsertWorker(t0, WorkerInfo{ID: "w0", Service: testService, Address: "b", Incarnation: 10, Draining: true, DrainRemaining: time.Minute})
		f.MarkUnreachable(t0, "w0", at(5*time.Second))
		Convey("The answer of another worker at the stored address does not resolve it", func() {
			f.list(at(time.Second), "w1", "a", 20)
			f.report("w1", at(time.Second))
			So(f.plan(at(time.Second)).Starts, ShouldBeEmpty)
			So(f.UnresolvedWorkers(), ShouldContain, "w0")
		})
	})
}

// Guards against runs of a living worker that are given up early because another worker rejects a call to it: the call may have gone
// to an address that is not the worker's, or that several workers share.
func TestMisdirectedCallsThatShowNoEnd(t *testing.T) {
	Convey("Given a worker with a run", t, func() {
		f, s := placedOn(10)
		misdirected := func(now time.Time) {
			f.MarkUnreachable(now, "w0", at(6*time.Second))
			f.MarkEnded(now, "w0", 10)
		}
		expectKept := func(now time.Time) {
			f.plan(now)
			So(f.TakeWorkerLosses(), ShouldBeEmpty)
			So(f.workers["w0"].findPlacement(s.Task, s.Run), ShouldNotBeNil)
		}
		Convey("A call that another worker rejects at its only address shows the end", func() {
			misdirected(at(time.Second))
			So(f.TakeWorkerLosses()[0].Cause, ShouldEqual, LossEnded)
		})
		Convey("A call to the address that a later entry gives it does not", func() {
			f.list(at(500*time.Millisecond), "w0", "b", 10)
			misdirected(at(time.Second))
			expectKept(at(time.Second))
			Convey("nor after the entry has the first address again: the call may have gone to the other one", func() {
				f.list(at(2*time.Second), "w0", "a", 10)
				misdirected(at(2 * time.Second))
				expectKept(at(2 * time.Second))
			})
		})
		Convey("A call to an address that it shares with a worker that answers beside it does not", func() {
			f.list(t0, "w1", "a", 20)
			f.report("w1", at(100*time.Millisecond))
			f.report("w0", at(200*time.Millisecond))
			misdirected(at(time.Second))
			expectKept(at(time.Second))
		})
		Convey("A call after its runs have expired and another worker has answered there shows the end of that one", func() {
			f.MarkUnreachable(at(time.Second), "w0", at(6*time.Second))
			f.list(at(3*time.Second), "w1", "a", 20)
			f.report("w1", at(3*time.Second))
			So(f.TakeWorkerLosses(), ShouldHaveLength, 1)
			So(f.plan(at(3*time.Second)).Starts, ShouldHaveLength, 1)
			f.MarkUnreachable(at(4*time.Second), "w1", at(9*time.Second))
			f.MarkEnded(at(6*time.Second), "w1", 20)
			So(f.TakeWorkerLosses()[0].Cause, ShouldEqual, LossEnded)
		})
	})
	Convey("Given a successor, and a worker that has not answered it yet", t, func() {
		f := newFixture(2, 0)
		f.AddUnresolvedWorker("w0", at(10*time.Second))
		f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, true)
		f.list(t0, "w0", "a", 10)
		f.list(t0, "w1", "b", 10)
		f.report("w1", t0)
		f.MarkUnreachable(at(time.Second), "w0", at(6*time.Second))
		Convey("A call to the listed address that another worker rejects does not resolve it", func() {
			f.MarkEnded(at(time.Second), "w0", 10)
			So(f.plan(at(time.Second)).Starts, ShouldBeEmpty)
			So(f.UnresolvedWorkers(), ShouldContain, "w0")
		})
		Convey("The answer of a later process at that address does", func() {
			f.list(at(3*time.Second), "w2", "a", 20)
			f.report("w2", at(3*time.Second))
			So(f.plan(at(3*time.Second)).Starts, ShouldHaveLength, 1)
		})
	})
}

// Guards against a successor that starts tasks which run on, because a worker turns out to be of another incarnation than its first
// entry said: only its own complete list shows what runs there.
func TestLaterIncarnationResolvesNothingBeforeItsReport(t *testing.T) {
	for _, first := range []int64{0, 5} {
		Convey(fmt.Sprintf("Given a successor, and a worker that is listed as incarnation %d and has not answered", first), t, func() {
			f := newFixture(2, 0)
			f.AddUnresolvedWorker("w0", at(10*time.Second))
			f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, true)
			f.list(t0, "w0", "a", first)
			f.list(t0, "w1", "b", 1)
			f.report("w1", t0)
			report := func(now time.Time, more bool) {
				f.HandleReport(now, Report{Worker: "w0", Incarnation: 6, SentAt: now, LeaseUntil: now.Add(5 * time.Second), MoreEnded: more})
			}
			expectWaiting := func(now time.Time) {
				So(f.plan(now).Starts, ShouldBeEmpty)
				So(f.UnresolvedWorkers(), ShouldContain, "w0")
			}
			Convey("The entry of a later incarnation does not resolve it, its report does", func() {
				f.list(at(time.Second), "w0", "a", 6)
				expectWaiting(at(time.Second))
				report(at(2*time.Second), false)
				So(f.plan(at(2*time.Second)).Starts, ShouldHaveLength, 1)
			})
			Convey("A report of a later incarnation that leaves out ends does not resolve it, a complete one does", func() {
				report(at(time.Second), true)
				expectWaiting(at(time.Second))
				report(at(2*time.Second), false)
				So(f.plan(at(2*time.Second)).Starts, ShouldHaveLength, 1)
			})
		})
	}
}

// Guards against an idle worker that is never used again because an odd entry names a later incarnation of it.
func TestEntryOfALaterIncarnationOfAnIdleWorker(t *testing.T) {
	Convey("Given an idle worker that has answered, and an entry of a later incarnation of it", t, func() {
		f := newFixture(1, 0)
		f.list(t0, "w0", "a", 10)
		f.report("w0", t0)
		f.list(at(time.Second), "w0", "a", 20)
		f.AddJob(at(time.Second), f.job("j", at(time.Second), simpleStep(1)), nil, false)
		So(f.plan(at(time.Second)).Starts, ShouldBeEmpty)
		Convey("It is used again once it answers", func() {
			f.HandleReport(at(2*time.Second), Report{Worker: "w0", Incarnation: 10, SentAt: at(2 * time.Second), LeaseUntil: at(7 * time.Second)})
			So(f.plan(at(2*time.Second)).Starts, ShouldHaveLength, 1)
		})
		Convey("The later incarnation is used once it answers after a silence", func() {
			f.MarkUnreachable(at(2*time.Second), "w0", at(6*time.Second))
			f.plan(at(2 * time.Second))
			So(f.Workers()[0].Incarnation, ShouldEqual, 20)
			f.HandleReport(at(3*time.Second), Report{Worker: "w0", Incarnation: 20, SentAt: at(3 * time.Second), LeaseUntil: at(8 * time.Second)})
			So(f.plan(at(3*time.Second)).Starts, ShouldHaveLength, 1)
		})
	})
}

// Guards against runs of a living worker that are given up early because an odd entry names a later incarnation of it: only an answer
// of that incarnation shows that the earlier one has ended.
func TestEntryOfALaterIncarnationShowsNoEnd(t *testing.T) {
	Convey("Given a worker with a run, and an entry of a later incarnation of it", t, func() {
		f, s := placedOn(10)
		f.AddJob(t0, f.job("other", t0, simpleStep(1)), nil, false)
		f.list(at(time.Second), "w0", "a", 20)
		placed := func() bool { return f.workers["w0"].findPlacement(s.Task, s.Run) != nil }
		So(f.TakeWorkerLosses(), ShouldBeEmpty)
		So(placed(), ShouldBeTrue)
		So(f.plan(at(time.Second)).Starts, ShouldBeEmpty)
		Convey("Its run goes on if the earlier incarnation answers, and the worker gets others", func() {
			f.report("w0", at(2*time.Second))
			So(f.TakeWorkerLosses(), ShouldBeEmpty)
			So(placed(), ShouldBeTrue)
			So(f.plan(at(2*time.Second)).Starts, ShouldHaveLength, 1)
		})
		Convey("An answer that was requested before the entry was read says nothing about it", func() {
			f.HandleReport(at(2*time.Second), Report{Worker: "w0", Incarnation: 10, SentAt: at(900 * time.Millisecond),
				LeaseUntil: at(5 * time.Second), Active: f.active["w0"]})
			So(f.plan(at(2*time.Second)).Starts, ShouldBeEmpty)
		})
		Convey("It starts again once the later incarnation answers, with what its entry says", func() {
			f.HandleReport(at(2*time.Second), Report{Worker: "w0", Incarnation: 20, SentAt: at(2 * time.Second), LeaseUntil: at(7 * time.Second)})
			So(f.TakeWorkerLosses()[0].Cause, ShouldEqual, LossRestarted)
			So(f.plan(at(2*time.Second)).Starts, ShouldHaveLength, 2)
		})
		Convey("An answer of a still later incarnation makes its own entry count, not this one", func() {
			f.HandleReport(at(2*time.Second), Report{Worker: "w0", Incarnation: 30, SentAt: at(2 * time.Second), LeaseUntil: at(7 * time.Second)})
			So(f.plan(at(2*time.Second)).Starts, ShouldBeEmpty)
			f.list(at(3*time.Second), "w0", "a", 30)
			So(f.plan(at(3*time.Second)).Starts, ShouldHaveLength, 2)
		})
		Convey("It is given up after its lease if nobody answers, and the later incarnation is used once it answers", func() {
			f.MarkUnreachable(at(2*time.Second), "w0", at(6*time.Second))
			f.plan(at(5900 * time.Millisecond))
			So(placed(), ShouldBeTrue)
			f.plan(at(6100 * time.Millisecond))
			So(f.TakeWorkerLosses()[0].Cause, ShouldEqual, LossLeaseExpired)
			f.active["w0"] = nil
			f.report("w0", at(7*time.Second))
			So(f.workers["w0"].info.Incarnation, ShouldEqual, 20)
			So(f.plan(at(7*time.Second)).Starts, ShouldHaveLength, 2)
		})
		Convey("The later incarnation is called at its own address", func() {
			f.list(at(2*time.Second), "w0", "b", 20)
			So(f.Workers()[0].Address, ShouldEqual, "b")
		})
	})
}

// Guards against a crash that is counted against tasks because of a late entry: a successor reads the entry of the incarnation before the
// silent one, which says nothing about the silent one.
func TestLateEntryIsNoEvidenceOfACrash(t *testing.T) {
	for name, listed := range map[string]int64{"earlier incarnation": 4_000, "same incarnation": 5_000} {
		f := newFixture(2, 0)
		suspected := workload.SuspectedCrash{Worker: "w0", Address: "w0", Incarnation: 5_000, Run: 1, Weight: promptWeight, Accepted: true, Since: t0}
		progress := &workload.Progress{State: workload.Running, Tasks: []workload.TaskProgress{{Occurrence: 0, Step: 0, Index: 0, Run: 1,
			Crash: &workload.CrashEvidence{Suspected: []workload.SuspectedCrash{suspected}}}}}
		f.AddJob(t0, f.job("j", t0, simpleStep(1)), progress, true)
		f.AddUnresolvedWorker("w0", at(5*time.Second))
		f.SetPreviousUse("w0", WorkerUse{Incarnation: 5_000}, t0)
		f.UpsertWorker(t0, WorkerInfo{ID: "w0", Service: testService, Address: "w0", Rack: "r1", Incarnation: listed,
			Capacity: workload.Resources{CPUMilli: 10_000, MemoryMB: 10_000}})
		// The worker was only cut off: it answers, and its run goes on.
		f.HandleReport(at(time.Second), Report{Worker: "w0", Incarnation: 5_000, SentAt: at(time.Second), LeaseUntil: at(6 * time.Second),
			Active: []ActiveRun{{Task: workload.TaskID{Job: "j"}, Run: 1}}})
		if e := f.task(workload.TaskID{Job: "j"}).evidence; e.Counted() {
			t.Errorf("with the entry of the %s, a crash is counted against the task although its run goes on: %+v", name, e)
		}
	}
}

// Guards against a task that crashes one worker after the other, whose crashes are not counted because the workers restart with the same start
// time.
func TestCrashCountsAlthoughTheWorkerNamesTheSameStartTime(t *testing.T) {
	for name, next := range map[string]int64{"another start time": 2, "same start time": 1} {
		f, now := newStaleLeaseFixture()
		f.DelistWorker("w1")
		f.AddJob(now, f.job("j", now, simpleStep(1)), nil, false)
		starts := f.plan(now).Starts
		if len(starts) != 1 {
			t.Fatal("nothing was started")
		}
		f.MarkUnreachable(now.Add(50*time.Millisecond), "w0", now.Add(5*time.Second))
		back := now.Add(time.Second)
		f.HandleReport(back, Report{Worker: "w0", Incarnation: next, SentAt: back, LeaseUntil: back.Add(5 * time.Second), ClockMS: 1000,
			ClockJumped: next == 1, Unfenced: true})
		if e := f.task(starts[0].Task).evidence; !e.Counted() {
			t.Errorf("with %s, the crash just after the start of a run that is gone is not counted against its task", name)
		}
	}
}
