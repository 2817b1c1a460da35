package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against runs that are given up without a trace of the reason, and ends that can't be told from those of such runs.
func TestEachRunThatIsGivenUpIsRecorded(t *testing.T) {
	Convey("Given a run on a worker", t, func() {
		f := newFixture(1, 2)
		f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, false)
		s := f.plan(t0).Starts[0]
		Convey("When a report lists it neither as active nor as ended, the loss has that cause", func() {
			f.active[s.Worker.ID] = nil
			f.report(s.Worker.ID, at(time.Second))
			losses := f.TakeWorkerLosses()
			So(losses, ShouldHaveLength, 1)
			So(losses[0].Cause, ShouldEqual, LossUnlisted)
			So(losses[0].Runs[0].Task, ShouldResemble, s.Task)
		})
		Convey("When it is gone after it was stopped, nothing is lost", func() {
			f.Cancel(t0, "j")
			f.plan(at(100 * time.Millisecond))
			f.active[s.Worker.ID] = nil
			f.report(s.Worker.ID, at(time.Second))
			So(f.TakeWorkerLosses(), ShouldBeEmpty)
		})
		Convey("When it is given up with its worker, the loss tells how much of the lease was left, and its end that it was given up", func() {
			f.MarkUnreachable(at(time.Second), s.Worker.ID, at(5*time.Second))
			f.MarkEnded(at(2*time.Second), s.Worker.ID, s.Worker.Incarnation)
			losses := f.TakeWorkerLosses()
			So(losses, ShouldHaveLength, 1)
			So(losses[0].LeaseLeft, ShouldEqual, 3*time.Second)
			w := f.workers[s.Worker.ID]
			So(f.applyEnd(w, EndedRun{Number: 1, Task: s.Task, Run: s.Run, Reason: EndDone}, at(3*time.Second)).GivenUp, ShouldBeTrue)
		})
	})
}

// Guards against tasks that run twice, or again after their end, by an owner that was paused: another owner has claimed meanwhile, has
// extended the lease of a run or acknowledged its end, and is gone again before the first one learns of it.
func TestLostRunIsRepeatedOnlyByAConfirmedOwner(t *testing.T) {
	for name, lose := range map[string]func(f *fixture, s Start){
		"its lease expires":           func(f *fixture, s Start) { f.cutOff([]Start{s}, at(time.Second)) },
		"its worker's process ends":   func(f *fixture, s Start) { f.MarkEnded(at(time.Second), s.Worker.ID, s.Worker.Incarnation) },
		"its report does not list it": func(f *fixture, s Start) { f.active[s.Worker.ID] = nil; f.report(s.Worker.ID, at(time.Second)) },
	} {
		Convey("Given a run that is lost since "+name, t, func() {
			f := newFixture(1, 2)
			f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, false)
			s := f.plan(t0).Starts[0]
			before, _, _ := f.TakeAllRecords()
			lose(f, s)
			So(f.Plan(at(7*time.Second)).Starts, ShouldBeEmpty)
			Convey("A commit that was built before the loss confirms nothing", func() {
				f.MarkGenerationStored(before)
				So(f.Plan(at(7*time.Second)).Starts, ShouldBeEmpty)
			})
			Convey("The task starts again once a later commit has confirmed the ownership, without waiting for a complete plan", func() {
				generation, _, needed := f.TakeAllRecords()
				So(needed, ShouldBeTrue)
				f.MarkGenerationStored(generation)
				So(f.PlanChanged(at(7*time.Second)).Starts, ShouldHaveLength, 1)
			})
		})
	}
}
