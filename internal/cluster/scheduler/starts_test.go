package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// Guards against a second run of a task that is done: the answer to the start order is lost, the task ends, and the repeated
// start order is rejected as old before the end is reported.
func TestStartRejectedAsOldWaitsForTheEnd(t *testing.T) {
	Convey("Given a start that is rejected as old", t, func() {
		f := newFixture(1, 1)
		f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, false)
		f.commit()
		p := f.Plan(t0)
		So(p.Starts, ShouldHaveLength, 1)
		s := p.Starts[0]
		f.HandleStartResult(at(400*time.Millisecond), StartResult{Task: s.Task, Run: s.Run, Worker: "w0", Outcome: RejectedStaleRun, AnsweredAt: at(400 * time.Millisecond)})
		So(f.plan(at(410*time.Millisecond)).Starts, ShouldBeEmpty)
		Convey("When the end of the run is reported, the job is completed", func() {
			f.end(s, EndDone, at(500*time.Millisecond))
			f.persist()
			state, _ := f.Lookup("j")
			So(state, ShouldEqual, workload.Completed)
			So(f.plan(at(600*time.Millisecond)).Starts, ShouldBeEmpty)
		})
		Convey("When a later report lists neither the run nor its end, the task starts again with a higher run number", func() {
			f.report("w0", at(500*time.Millisecond))
			p := f.plan(at(600 * time.Millisecond))
			So(p.Starts, ShouldHaveLength, 1)
			So(p.Starts[0].Run, ShouldBeGreaterThan, s.Run)
		})
	})
}

// Guards against a task that runs twice because its start order was not answered and the worker executes it late.
func TestUnansweredStartIsStoppedBeforeRetry(t *testing.T) {
	Convey("Given a start order that was not answered", t, func() {
		f := newFixture(1, 1)
		f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, false)
		f.commit()
		s := f.Plan(t0).Starts[0]
		f.HandleStartResult(at(time.Second), StartResult{Task: s.Task, Run: s.Run, Worker: "w0", Outcome: StartUnknown, AnsweredAt: at(time.Second)})
		p := f.Plan(at(time.Second))
		Convey("The run is stopped, and its task starts again only when a report after the stop no longer lists the run", func() {
			So(p.Starts, ShouldBeEmpty)
			So(p.Stops, ShouldHaveLength, 1)
			f.report("w0", at(1100*time.Millisecond))
			So(f.Plan(at(1200*time.Millisecond)).Starts, ShouldBeEmpty)
			f.HandleStopAck(at(1300*time.Millisecond), "w0", s.Task, s.Run)
			f.report("w0", at(1400*time.Millisecond))
			So(f.Plan(at(1500*time.Millisecond)).Starts, ShouldHaveLength, 1)
		})
	})
}

// Guards against overcommitting a worker: runs that are being stopped still use its capacity.
func TestStoppingRunsStillUseCapacity(t *testing.T) {
	Convey("Given a full worker", t, func() {
		f := newFixture(1, 1)
		f.AddJob(t0, f.job("a", t0, simpleStep(5)), nil, false)
		So(f.plan(t0).Starts, ShouldHaveLength, 5)
		f.AddJob(t0, f.job("b", t0, simpleStep(1)), nil, false)
		Convey("The capacity of a cancelled job is free only once the ends of its runs are reported", func() {
			f.Cancel(at(time.Second), "a")
			So(f.plan(at(time.Second)).Starts, ShouldBeEmpty)
			f.end(f.starts[0], EndStopped, at(2*time.Second))
			So(f.plan(at(2*time.Second)).Starts, ShouldHaveLength, 1)
		})
	})
}

// Guards against a gang that is stopped as stalled because a member has finished its own work and waits for the others.
func TestGangMemberWaitingForOthersIsNotStalled(t *testing.T) {
	Convey("Given a gang of which one member has finished its work and the other has not, it is not stopped", t, func() {
		f := newFixture(1, 2)
		step := simpleStep(2)
		step.Gang = true
		f.AddJob(t0, f.job("j", t0, step), nil, false)
		p := f.plan(t0)
		So(p.Starts, ShouldHaveLength, 2)
		progress := func(now time.Duration, percents ...int) Plan {
			f.active = map[string][]ActiveRun{}
			for i, s := range p.Starts {
				f.active[s.Worker.ID] = append(f.active[s.Worker.ID], ActiveRun{Task: s.Task, Run: s.Run, Percent: percents[i]})
			}
			for _, id := range []string{"w0", "w1"} {
				f.report(id, at(now))
			}
			return f.plan(at(now))
		}
		for i := 0; i <= 10; i++ {
			So(progress(time.Duration(i)*time.Second, min(20*i, 100), 5*i).Stops, ShouldBeEmpty)
		}
		Convey("Nor is it stopped when the gang has ended and only the end of the waiting member is not reported yet", func() {
			f.end(p.Starts[1], EndDone, at(11*time.Second))
			So(f.plan(at(15*time.Second)).Stops, ShouldBeEmpty)
			So(f.workers["w0"].health.quarantined(at(15*time.Second)), ShouldBeFalse)
		})
		Convey("It is stopped once the other member makes no progress", func() {
			So(progress(11*time.Second, 100, 50).Stops, ShouldBeEmpty)
			So(progress(12*time.Second, 100, 50).Stops, ShouldBeEmpty)
			So(progress(13*time.Second, 100, 50).Stops, ShouldHaveLength, 2)
		})
	})
}

// Guards against a cancelled job that runs because its cancellation was read before the job itself.
func TestCancellationReadBeforeItsJob(t *testing.T) {
	Convey("Given the cancellation of a job that is not known yet", t, func() {
		f := newFixture(1, 1)
		So(f.Cancel(t0, "j"), ShouldBeFalse)
		Convey("The job is cancelled when it is added", func() {
			f.AddJob(at(time.Second), f.job("j", t0, simpleStep(1)), nil, false)
			So(f.plan(at(time.Second)).Starts, ShouldBeEmpty)
			f.persist()
			state, _ := f.Lookup("j")
			So(state, ShouldEqual, workload.Cancelled)
		})
	})
}

// Guards against a message of a delegate with an invalid outcome that ends the call, with the events after it, or that counts as a
// rejection although the worker may execute the start.
func TestInvalidStartOutcomeCountsAsUnknown(t *testing.T) {
	Convey("Given a start order, and outcomes that don't exist", t, func() {
		for _, outcome := range []StartOutcome{-1, RejectedOther + 1, 1 << 40} {
			f := newFixture(1, 1)
			f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, false)
			f.commit()
			s := f.Plan(t0).Starts[0]
			So(outcome.String(), ShouldEqual, "invalid")
			f.HandleStartResult(at(time.Second), StartResult{Task: s.Task, Run: s.Run, Worker: "w0", Outcome: outcome, AnsweredAt: at(time.Second)})
			p := f.Plan(at(time.Second))
			So(p.Starts, ShouldBeEmpty)
			So(p.Stops, ShouldHaveLength, 1)
		}
	})
}
