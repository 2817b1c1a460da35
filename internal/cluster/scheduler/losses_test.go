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
