package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// Guards against runs that are started again although they have ended as done, because a worker lists only the first of its ends
// while none is acknowledged.
func TestRunBeyondTheListOfEndsIsNotStartedAgain(t *testing.T) {
	Convey("Given three runs on a worker that have ended, of which it lists the first", t, func() {
		f := newFixture(1, 1)
		f.AddJob(t0, f.job("j", t0, simpleStep(3)), nil, false)
		starts := f.plan(t0).Starts
		So(starts, ShouldHaveLength, 3)
		list := func(now time.Time, first, last int64, more bool) {
			var ended []EndedRun
			for n := first; n <= last; n++ {
				ended = append(ended, EndedRun{Number: n, Task: starts[n-1].Task, Run: 1, Reason: EndDone})
			}
			f.HandleReport(now, Report{Worker: "w0", Incarnation: 1, SentAt: now, LeaseUntil: now.Add(5 * time.Second), Ended: ended, MoreEnded: more})
		}
		list(at(time.Second), 1, 1, true)
		So(f.plan(at(time.Second)).Starts, ShouldBeEmpty)
		Convey("the others end once the worker lists them, and none starts again", func() {
			list(at(2*time.Second), 2, 3, false)
			So(f.plan(at(2*time.Second)).Starts, ShouldBeEmpty)
			So(f.jobs["j"].state, ShouldEqual, workload.Completed)
		})
		Convey("a run that is not listed in a complete report either starts again", func() {
			list(at(2*time.Second), 2, 2, false)
			So(f.plan(at(2*time.Second)).Starts, ShouldHaveLength, 1)
		})
	})
}

// Guards against a successor that starts tasks again whose ends a worker has not listed yet.
func TestInheritedTaskWaitsForTheWholeListOfEnds(t *testing.T) {
	Convey("Given an inherited job of two tasks, which have ended on a worker that lists the first end only", t, func() {
		f := newFixture(2, 0)
		f.AddUnresolvedWorker("w0", at(4*time.Second))
		f.AddJob(t0, f.job("j", t0, simpleStep(2)), nil, true)
		f.addWorker("w1")
		f.UpsertWorker(t0, WorkerInfo{ID: "w0", Service: testService, Address: "w0", Incarnation: 1})
		report := func(now time.Time, more bool, ended ...EndedRun) {
			f.HandleReport(now, Report{Worker: "w0", Incarnation: 1, SentAt: now, LeaseUntil: now.Add(5 * time.Second), Ended: ended, MoreEnded: more})
			f.report("w1", now)
		}
		end := func(n int64) EndedRun {
			return EndedRun{Number: n, Task: workload.TaskID{Job: "j", Index: int(n - 1)}, Run: 1, Reason: EndDone}
		}
		for s := 1; s < 10; s++ {
			report(at(time.Duration(s)*time.Second), true, end(1))
			So(f.plan(at(time.Duration(s)*time.Second)).Starts, ShouldBeEmpty)
		}
		report(at(10*time.Second), false, end(2))
		So(f.plan(at(10*time.Second)).Starts, ShouldBeEmpty)
		So(f.jobs["j"].state, ShouldEqual, workload.Completed)
	})
}

// Guards against thousands of runs on one worker, of tasks that need hardly any resources or while no end can be acknowledged: neither
// the worker's lists nor the owner's memory has room for them.
func TestRunsOnAWorkerAreLimited(t *testing.T) {
	Convey("Given a job of many tasks that need no resources, and one worker", t, func() {
		f := newFixture(1, 1)
		f.AddJob(t0, f.job("j", t0, workload.Step{Count: 3 * maxRunsPerWorker, Estimate: time.Second}), nil, false)
		starts := f.plan(t0).Starts
		So(starts, ShouldHaveLength, maxRunsPerWorker)
		Convey("no other starts while ends are not acknowledged, and as many as have been acknowledged after that", func() {
			for _, s := range starts[:100] {
				f.end(s, EndDone, at(time.Second))
			}
			So(f.Plan(at(time.Second)).Starts, ShouldBeEmpty)
			f.commit()
			So(f.Plan(at(time.Second)).Starts, ShouldHaveLength, 100)
		})
		Convey("a gang gets no more either", func() {
			f.AddJob(t0, f.job("gang", t0, workload.Step{Count: 2, Gang: true, Estimate: time.Second}), nil, false)
			f.commit()
			So(f.Plan(at(2*time.Second)).Starts, ShouldBeEmpty)
		})
	})
}
