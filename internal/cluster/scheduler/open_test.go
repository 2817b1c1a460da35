package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// Guards against an owner whose plans take longer the more independent steps a job has, and against steps that never start because
// the number that waits at a time is limited.
func TestJobWithManyIndependentSteps(t *testing.T) {
	Convey("Given a job with three times as many independent steps as may wait", t, func() {
		const count = 3 * maxWaitingUnits
		f := newFixture(1, 20)
		f.AddJob(t0, f.job("wide", t0, independentSteps(count)...), nil, false)
		So(len(f.Scheduler.open), ShouldEqual, maxWaitingUnits)
		Convey("all steps run, and no plan looks at many more than may wait", func() {
			now := t0
			for done := 0; done < count; {
				starts := f.plan(now).Starts
				So(len(starts), ShouldBeGreaterThan, 0)
				now = now.Add(time.Second)
				for _, s := range starts {
					f.end(s, EndDone, now)
				}
				clear(f.ended) // the owner has acknowledged them
				done += len(starts)
				if len(f.Scheduler.open) > maxWaitingUnits {
					t.Fatalf("%d steps are open", len(f.Scheduler.open))
				}
			}
			So(f.jobs["wide"].state, ShouldEqual, workload.Completed)
		})
		Convey("a cancelled job leaves no step open", func() {
			f.Cancel(at(time.Second), "wide")
			So(f.Scheduler.open, ShouldBeEmpty)
			f.plan(at(time.Second))
			So(f.starts, ShouldBeEmpty)
		})
	})
}
