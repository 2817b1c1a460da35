package scheduler

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
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

// Guards against a worker that fails everything but is only kept out for the short delay of a rejected start: the delay must
// not replace a quarantine.
func TestRejectionDelayDoesNotReplaceQuarantine(t *testing.T) {
	Convey("Given a worker that has just rejected a start because it is unhealthy", t, func() {
		f := newFixture(1, 1)
		f.AddJob(t0, f.job("rejected", t0, simpleStep(1)), nil, false)
		f.commit()
		s := f.Plan(t0).Starts[0]
		f.HandleStartResult(t0, StartResult{Task: s.Task, Run: s.Run, Worker: "w0", Outcome: RejectedUnhealthy, AnsweredAt: t0})
		Convey("When its runs fail for several jobs, it is quarantined for the whole time", func() {
			for _, id := range []string{"a", "b", "c"} {
				f.workers["w0"].health.failed(at(100*time.Millisecond), id)
			}
			So(f.plan(at(time.Second)).Starts, ShouldBeEmpty)
			So(f.plan(at(firstQuarantine+200*time.Millisecond)).Starts, ShouldNotBeEmpty)
		})
	})
}

// Guards against a restarted worker that gets no tasks any more, because its predecessor under the same ID was draining.
func TestRestartedWorkerIsNotDraining(t *testing.T) {
	Convey("Given a draining worker that restarts and reports before its new entry is read", t, func() {
		f := newFixture(1, 1)
		info := f.workers["w0"].info
		info.Draining, info.DrainRemaining = true, time.Second
		f.UpsertWorker(t0, info)
		f.HandleReport(at(time.Second), Report{Worker: "w0", Incarnation: 2, SentAt: at(time.Second), LeaseUntil: at(6 * time.Second)})
		info.Incarnation, info.Draining, info.DrainRemaining = 2, false, 0
		f.UpsertWorker(at(2*time.Second), info)
		Convey("It gets tasks", func() {
			f.AddJob(at(2*time.Second), f.job("j", at(2*time.Second), simpleStep(1)), nil, false)
			So(f.plan(at(2*time.Second)).Starts, ShouldNotBeEmpty)
		})
	})
}

// Guards against runs that are started on a restarted worker by what its earlier incarnation said of itself: the new one may have less
// capacity or other labels, and its answers arrive before its entry is read.
func TestRestartedWorkerGetsRunsByItsOwnEntry(t *testing.T) {
	Convey("Given a worker that restarts with less capacity and answers before its new entry is read", t, func() {
		f := newFixture(1, 1)
		f.AddJob(t0, f.job("j", t0, simpleStep(5)), nil, false)
		info := f.workers["w0"].info
		f.HandleReport(t0, Report{Worker: "w0", Incarnation: 2, SentAt: t0, LeaseUntil: at(5 * time.Second)})
		Convey("It gets no runs before, and only what fits after that", func() {
			So(f.plan(t0).Starts, ShouldBeEmpty)
			info.Incarnation, info.Capacity.CPUMilli = 2, 4_000
			f.UpsertWorker(at(time.Second), info)
			So(f.plan(at(time.Second)).Starts, ShouldHaveLength, 2)
		})
		Convey("The entry of its earlier incarnation, read again, does not count", func() {
			f.UpsertWorker(at(time.Second), info)
			So(f.plan(at(time.Second)).Starts, ShouldBeEmpty)
		})
	})
}

// Guards against a worker that gets runs beside one of unknown size because its capacity grew.
func TestGrowingWorkerStaysReservedForUnknownRun(t *testing.T) {
	Convey("Given a worker with a run of an unknown job", t, func() {
		f := newFixture(2, 0)
		f.active["w0"] = []ActiveRun{{Task: workload.TaskID{Job: "unknown"}, Run: 3}}
		f.addWorker("w0")
		f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, false)
		Convey("It gets no runs after its capacity has grown, until that run has ended", func() {
			info := f.workers["w0"].info
			info.Capacity.CPUMilli, info.Capacity.MemoryMB = 2*info.Capacity.CPUMilli, 2*info.Capacity.MemoryMB
			f.UpsertWorker(t0, info)
			So(f.plan(t0).Starts, ShouldBeEmpty)
			f.active["w0"] = nil
			f.report("w0", at(time.Second))
			So(f.plan(at(time.Second)).Starts, ShouldHaveLength, 1)
			So(f.workers["w0"].used.CPUMilli, ShouldEqual, 2000)
		})
	})
}

// Guards against starts beyond a capacity that shrinks under running tasks, or between the choice of workers for a gang and its start.
func TestShrinkingWorkerGetsNoMoreThanFits(t *testing.T) {
	Convey("Given a worker whose capacity shrinks below what it runs", t, func() {
		f := newFixture(1, 2)
		shrink := func(id string, cpu int64) {
			info := f.workers[id].info
			info.Capacity.CPUMilli = cpu
			f.UpsertWorker(t0, info)
		}
		f.AddJob(t0, f.job("j", t0, simpleStep(10)), nil, false)
		starts := f.plan(t0).Starts
		So(starts, ShouldHaveLength, 10)
		shrink("w0", 5_000)
		f.AddJob(t0, f.job("k", t0, simpleStep(10)), nil, false)
		Convey("It gets a run only once it has room for it, and those that are being stopped still count", func() {
			onW0 := slices.DeleteFunc(slices.Clone(starts), func(s Start) bool { return s.Worker.ID != "w0" })
			f.end(onW0[0], EndDone, at(time.Second))
			f.end(onW0[1], EndDone, at(time.Second))
			So(f.plan(at(time.Second)).Starts, ShouldBeEmpty)
			f.stopRun(f.workers["w0"].findPlacement(onW0[2].Task, onW0[2].Run), "test")
			f.stopRun(f.workers["w0"].findPlacement(onW0[3].Task, onW0[3].Run), "test")
			So(f.plan(at(time.Second)).Starts, ShouldBeEmpty)
			f.end(onW0[2], EndStopped, at(2*time.Second))
			So(f.plan(at(2*time.Second)).Starts, ShouldBeEmpty)
			f.end(onW0[3], EndStopped, at(2*time.Second))
			p := f.plan(at(2 * time.Second))
			So(p.Starts, ShouldHaveLength, 1)
			Convey("It gets more once it has grown again", func() {
				shrink("w0", 10_000)
				So(f.plan(at(3*time.Second)).Starts, ShouldHaveLength, 3) // one of five is left, one was started
			})
		})
	})
}
