package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// Guards against long-running tasks that can't start in a full pool, and against preempting more tasks than necessary.
func TestLongRunningTaskPreempts(t *testing.T) {
	Convey("Given a full pool", t, func() {
		f := newFixture(1, 2)
		f.AddJob(t0, f.job("batch", t0, simpleStep(10)), nil, false)
		So(f.plan(t0).Starts, ShouldHaveLength, 10)
		longRunning := simpleStep(1)
		longRunning.LongRunning = true
		f.AddJob(t0, f.job("lasting", t0, longRunning), nil, false)
		Convey("One task is preempted for a long-running task, and only once", func() {
			stops := f.plan(at(time.Second)).Stops
			So(stops, ShouldHaveLength, 1)
			So(f.plan(at(1100*time.Millisecond)).Stops, ShouldBeEmpty)
			Convey("And the long-running task starts when the end is reported, ahead of the preempted task", func() {
				for _, s := range f.starts {
					if s.Task == stops[0].Task {
						f.end(s, EndStopped, at(2*time.Second))
					}
				}
				starts := f.plan(at(2 * time.Second)).Starts
				So(starts, ShouldHaveLength, 1)
				So(starts[0].Task.Job, ShouldEqual, "lasting")
			})
		})
	})
}

// Guards against a long-running job that is shown as ended because one of its tasks has ended.
func TestLongRunningTasksAreRestarted(t *testing.T) {
	Convey("Given a long-running job", t, func() {
		f := newFixture(1, 1)
		step := simpleStep(1)
		step.LongRunning = true
		f.AddJob(t0, f.job("j", t0, step), nil, false)
		for i, reason := range []EndReason{EndDone, EndFailed, EndFailed, EndFailed, EndLeaseExpired, EndFailed} {
			now := at(time.Duration(i) * 5 * time.Second)
			starts := f.plan(now).Starts
			So(starts, ShouldHaveLength, 1)
			f.end(starts[0], reason, now.Add(time.Second))
		}
		f.persist()
		state, _ := f.Lookup("j")
		So(state, ShouldEqual, workload.Running)
	})
}

// Guards against colocating best-effort tasks, which use idle CPU, with serving tasks, which have a latency target.
func TestBestEffortAndServingTasksAreNotColocated(t *testing.T) {
	Convey("Given a worker with a serving task, and another one without, best-effort tasks start only on the other one", t, func() {
		f := newFixture(1, 1)
		serving := simpleStep(1)
		serving.LongRunning, serving.LatencyTarget = true, 40*time.Millisecond
		f.AddJob(t0, f.job("serving", t0, serving), nil, false)
		So(f.plan(t0).Starts, ShouldHaveLength, 1)
		bestEffort := simpleStep(2)
		bestEffort.BestEffort = true
		f.AddJob(t0, f.job("filler", t0, bestEffort), nil, false)
		So(f.plan(at(time.Second)).Starts, ShouldBeEmpty)
		f.addWorker("w9")
		starts := f.plan(at(2 * time.Second)).Starts
		So(starts, ShouldHaveLength, 2)
		So(starts[0].Worker.ID, ShouldEqual, "w9")
		Convey("And serving tasks do not start beside best-effort tasks", func() {
			more := serving
			f.AddJob(at(3*time.Second), f.job("serving2", at(3*time.Second), more), nil, false)
			for _, s := range f.plan(at(3 * time.Second)).Starts {
				So(s.Worker.ID, ShouldEqual, "w0")
			}
		})
	})
}
