package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
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
