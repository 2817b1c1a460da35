package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against usage figures that omit waiting steps, or that count workers which get no tasks.
func TestUsage(t *testing.T) {
	Convey("Given a full pool, a draining worker and a late step that waits, Usage counts them", t, func() {
		f := newFixture(1, 2)
		f.AddJob(t0, f.job("full", t0, simpleStep(10)), nil, false)
		f.plan(t0)
		f.AddJob(t0, f.job("late", t0.Add(-time.Minute), simpleStep(3)), nil, false)
		info := f.workers["w0"].info
		info.Draining = true
		f.UpsertWorker(t0, info)
		u := f.Usage(t0)
		So(u.Workers, ShouldEqual, 1)
		So(u.Capacity.CPUMilli, ShouldEqual, 10_000)
		So(u.Used.CPUMilli, ShouldEqual, 10_000)
		So(u.Runs, ShouldEqual, 10)
		So(u.Queues["q"], ShouldResemble, QueueWait{Steps: 1, Tasks: 3, Late: 1})
	})
}
