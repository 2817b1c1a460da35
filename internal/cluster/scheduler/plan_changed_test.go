package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a short job that waits for the next full plan at each of its stages: the advice request, the commit that
// confirms the ownership, and the start. The job arrives when the next full plan is still some time away.
func TestPlanChangedPlansChangedUnits(t *testing.T) {
	Convey("Given a job that was added after the last full plan", t, func() {
		f := newAdviceFixture()
		for i := 3; i < 10; i++ {
			f.addWorker(fmt.Sprint("w", i))
		}
		f.plan(t0)
		f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, false)
		p := f.PlanChanged(t0)
		requests := f.nextAdviceRequests(t0)
		Convey("An advice request is sent while the commit is in flight, and nothing starts", func() {
			So(requests, ShouldHaveLength, 1)
			So(p.Starts, ShouldBeEmpty)
		})
		answer := AdviceResult{Step: requests[0].Step, RequestedWorkers: requests[0].Workers, Approved: []Approval{{requests[0].Workers[0], "t"}}, Validity: 2 * time.Second}
		Convey("It starts once the answer has arrived and then the commit has ended", func() {
			f.HandleAdvice(t0, answer)
			So(f.PlanChanged(t0).Starts, ShouldBeEmpty)
			f.commit()
			So(f.PlanChanged(t0).Starts, ShouldHaveLength, 1)
		})
		Convey("While the commit is in flight, no further request is sent until the tickets expire", func() {
			f.HandleAdvice(t0, answer)
			f.PlanChanged(t0)
			So(f.nextAdviceRequests(t0), ShouldBeEmpty)
			f.Plan(at(time.Second))
			So(f.nextAdviceRequests(at(time.Second)), ShouldBeEmpty)
			f.Plan(at(3 * time.Second))
			So(f.nextAdviceRequests(at(3*time.Second)), ShouldHaveLength, 1)
		})
		Convey("It starts once the commit has ended and then the answer has arrived", func() {
			f.commit()
			So(f.PlanChanged(t0).Starts, ShouldBeEmpty)
			f.HandleAdvice(t0, answer)
			So(f.PlanChanged(t0).Starts, ShouldHaveLength, 1)
		})
	})
	Convey("When the tasks of a step have ended, the next step starts without a full plan", t, func() {
		f := newFixture(1, 2)
		second := simpleStep(1)
		second.DependsOn = []int{0}
		f.AddJob(t0, f.job("j", t0, simpleStep(1), second), nil, false)
		f.end(f.plan(t0).Starts[0], EndDone, at(time.Second))
		So(f.PlanChanged(at(time.Second)).Starts, ShouldHaveLength, 1)
	})
	Convey("Workers that are reserved for a gang stay reserved between full plans", t, func() {
		f := newFixture(1, 2)
		gang := simpleStep(10)
		gang.Gang = true
		f.AddJob(t0, f.job("small", t0, simpleStep(1)), nil, false)
		So(f.plan(t0).Starts, ShouldHaveLength, 1)
		f.AddJob(t0, f.job("gang", t0, gang), nil, false)
		So(f.plan(t0).Starts, ShouldBeEmpty)
		for i := range 3 {
			spec := f.job(fmt.Sprint("late-", i), t0, simpleStep(1))
			spec.Queue.Priority = 2
			f.AddJob(t0, spec, nil, false)
		}
		f.commit()
		So(f.PlanChanged(t0).Starts, ShouldBeEmpty)
	})
}
