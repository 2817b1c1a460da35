package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against runs that are stopped as stalled although only reports were missing for a while, because their worker, its
// delegate or the owner itself was paused or unreachable.
func TestMissingReportsDoNotCountAsStall(t *testing.T) {
	Convey("Given a run that has made progress", t, func() {
		f := newFixture(1, 1)
		f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, false)
		s := f.plan(t0).Starts[0]
		progress := func(percent int, now time.Duration) {
			f.active["w0"] = []ActiveRun{{Task: s.Task, Run: s.Run, Percent: percent}}
			f.report("w0", at(now))
		}
		progress(10, 500*time.Millisecond)
		progress(40, time.Second)
		Convey("an owner that was paused for seconds does not stop it before it has a new report", func() {
			So(f.plan(at(5*time.Second)).Stops, ShouldBeEmpty)
			Convey("nor after the first report, since the worker may have been paused as well", func() {
				progress(40, 5*time.Second)
				So(f.plan(at(5*time.Second)).Stops, ShouldBeEmpty)
			})
		})
		Convey("a run whose reports show no progress for too long is stopped", func() {
			for now := 1500 * time.Millisecond; now <= 4*time.Second; now += 500 * time.Millisecond {
				progress(40, now)
			}
			So(len(f.plan(at(4*time.Second)).Stops), ShouldEqual, 1)
		})
		Convey("so is a run whose worker reports only every one and a half seconds", func() {
			progress(40, 2500*time.Millisecond)
			progress(40, 4*time.Second)
			So(len(f.plan(at(4*time.Second)).Stops), ShouldEqual, 1)
		})
	})
}
