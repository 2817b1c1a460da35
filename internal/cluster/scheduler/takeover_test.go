package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// Guards against a failure that is counted twice: an owner crashes after it has stored an end and before it has acknowledged
// it, so the worker reports the end to the successor again.
func TestFailureListedAgainAfterTakeover(t *testing.T) {
	Convey("Given a task that failed twice under an owner that crashes before it acknowledges the ends", t, func() {
		f := newFixture(1, 2)
		spec := f.job("j", t0, simpleStep(1))
		f.AddJob(t0, spec, nil, false)
		for i := range 2 {
			now := at(time.Duration(i) * time.Second)
			p := f.plan(now)
			So(p.Starts, ShouldHaveLength, 1)
			f.end(p.Starts[0], EndFailed, now.Add(500*time.Millisecond))
		}
		stored := f.persist()["j"]
		Convey("When the same ends are reported to a successor, the job has not failed and the task runs a third time", func() {
			g := newFixture(2, 0)
			g.AddJob(at(3*time.Second), spec, stored, true)
			for _, id := range []string{"w0", "w1"} {
				g.ended[id] = f.ended[id]
				g.addWorker(id)
			}
			state, _ := g.Lookup("j")
			So(state, ShouldNotEqual, workload.Failed)
			p := g.plan(at(4 * time.Second))
			So(p.Starts, ShouldHaveLength, 1)
			Convey("And with the third failure the job has failed", func() {
				g.ends[p.Starts[0].Worker.ID] = 10
				g.end(p.Starts[0], EndFailed, at(5*time.Second))
				g.persist()
				state, _ := g.Lookup("j")
				So(state, ShouldEqual, workload.Failed)
			})
		})
	})
}

// Guards against two concurrent runs of a task: an earlier owner started it on a worker that has not reported yet, and the
// successor starts it again.
func TestInheritedTaskWaitsForWorkers(t *testing.T) {
	Convey("Given a successor and a worker of the earlier owner that has not reported yet", t, func() {
		g := newFixture(2, 1)
		g.AddUnresolvedWorker("w9", at(10*time.Second))
		g.AddJob(t0, g.job("old", t0, simpleStep(1)), nil, true)
		So(g.plan(at(time.Second)).Starts, ShouldBeEmpty)
		Convey("A job of an earlier owner is started once the worker has reported", func() {
			g.addWorker("w9")
			So(g.plan(at(2*time.Second)).Starts, ShouldHaveLength, 1)
		})
		Convey("Or once the leases of all runs on that worker have expired", func() {
			So(g.plan(at(11*time.Second)).Starts, ShouldHaveLength, 1)
		})
		Convey("A run that the worker reports is adopted, and its task is not started again", func() {
			g.active["w9"] = []ActiveRun{{Task: workload.TaskID{Job: "old"}, Run: 7}}
			g.addWorker("w9")
			So(g.plan(at(2*time.Second)).Starts, ShouldBeEmpty)
			state, _ := g.Lookup("old")
			So(state, ShouldEqual, workload.Running)
		})
	})
}

// Guards against a task that two owners start: an owner that does not know yet that it was replaced reads a new job, and its
// successor assumes that no other owner can have started that job.
func TestJobWaitsForConfirmedOwnership(t *testing.T) {
	Convey("Given an owner to which a job is added while a commit is in flight", t, func() {
		f := newFixture(1, 1)
		generation, records, _ := f.TakeAllRecords()
		f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, false)
		So(f.Plan(t0).Starts, ShouldBeEmpty)
		Convey("That commit does not prove that it still was the owner when the job was added", func() {
			f.MarkStored(records)
			f.MarkGenerationStored(generation)
			So(f.Plan(t0).Starts, ShouldBeEmpty)
		})
		Convey("A commit that begins later does, and BeginBatch reports that one is needed", func() {
			generation, records, needed := f.TakeAllRecords()
			So(needed, ShouldBeTrue)
			So(records, ShouldHaveLength, 1)
			So(records[0].Spec.ID, ShouldEqual, "j")
			f.MarkStored(records)
			f.MarkGenerationStored(generation)
			So(f.Plan(t0).Starts, ShouldHaveLength, 1)
		})
	})
}

// Guards against overcommitting a worker that still runs a task of an unknown job.
func TestUnknownRunUsesWholeWorker(t *testing.T) {
	Convey("Given a worker that runs a task of an unknown job", t, func() {
		f := newFixture(2, 0)
		f.active["w0"] = []ActiveRun{{Task: workload.TaskID{Job: "unknown"}, Run: 3}}
		f.addWorker("w0")
		f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, false)
		p := f.plan(t0)
		So(p.Starts, ShouldBeEmpty)
		So(p.Stops, ShouldHaveLength, 1)
		Convey("Its capacity is free once the run has ended", func() {
			f.active["w0"] = nil
			f.report("w0", at(time.Second))
			So(f.plan(at(time.Second)).Starts, ShouldHaveLength, 1)
		})
	})
}

// Guards against a successor that waits for workers which were lost or had shut down before the takeover: all jobs that an
// earlier owner may have started wait for the reports of the workers that the owner stored as used.
func TestUsedListsWorkersThatMayRunTasks(t *testing.T) {
	Convey("Given three workers, one of them with a task", t, func() {
		f := newFixture(1, 3)
		f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, false)
		busy := f.plan(t0).Starts[0].Worker.ID
		idle := "w1"
		if busy == idle {
			idle = "w2"
		}
		So(f.WorkersInUse(), ShouldHaveLength, 3)
		Convey("An idle worker that does not answer is not listed", func() {
			f.MarkUnreachable(t0, idle, at(time.Second))
			So(f.WorkersInUse(), ShouldNotContain, idle)
		})
		Convey("A busy worker that does not answer is listed until its lease has expired", func() {
			f.MarkUnreachable(t0, busy, at(5*time.Second))
			f.Plan(at(4 * time.Second))
			So(f.WorkersInUse(), ShouldContain, busy)
			f.Plan(at(6 * time.Second))
			So(f.WorkersInUse(), ShouldNotContain, busy)
		})
		Convey("A draining worker is listed as long as something runs on it", func() {
			for _, id := range []string{idle, busy} {
				info := f.workers[id].info
				info.Draining, info.DrainRemaining = true, time.Minute
				f.UpsertWorker(t0, info)
			}
			So(f.WorkersInUse(), ShouldNotContain, idle)
			So(f.WorkersInUse(), ShouldContain, busy)
		})
		Convey("A worker that an earlier owner used is listed until it has reported", func() {
			f.AddUnresolvedWorker("w9", at(10*time.Second))
			So(f.WorkersInUse(), ShouldContain, "w9")
			f.addWorker("w9")
			f.DelistWorker("w9")
			So(f.WorkersInUse(), ShouldNotContain, "w9")
		})
		Convey("A worker that has not reported yet is listed, since it may get tasks after its first report", func() {
			f.UpsertWorker(t0, WorkerInfo{ID: "new", Service: testService, Incarnation: 1})
			So(f.WorkersInUse(), ShouldContain, "new")
		})
	})
}

// Guards against a stored row with impossible indexes that ends each successor while it loads the jobs.
func TestImpossibleProgressIsIgnored(t *testing.T) {
	for _, tp := range []workload.TaskProgress{{Occurrence: -1}, {Step: -1}, {Index: -1}, {Occurrence: 1}, {Step: 1}, {Index: 1}} {
		Convey(fmt.Sprintf("Given stored progress of a task that the job does not have: %+v", tp), t, func() {
			f := newFixture(2, 1)
			tp.Done = true
			progress := &workload.Progress{State: workload.Running, Tasks: []workload.TaskProgress{tp}}
			So(func() { f.AddJob(t0, f.job("j", t0, simpleStep(1)), progress, true) }, ShouldNotPanic)
			Convey("The job's task runs", func() {
				So(f.plan(t0).Starts, ShouldHaveLength, 1)
			})
		})
	}
}

// Guards against estimates that fall after a takeover: the time for which a run has been known to the successor is not its duration.
func TestDurationOfAdoptedRunIsNotRecorded(t *testing.T) {
	Convey("Given a successor that has adopted a run, when the run ends as done, its duration is not recorded", t, func() {
		g := newFixture(2, 0)
		g.AddJob(t0, g.job("old", t0, simpleStep(1)), nil, true)
		g.active["w0"] = []ActiveRun{{Task: workload.TaskID{Job: "old"}, Run: 7}}
		g.addWorker("w0")
		g.end(Start{Task: workload.TaskID{Job: "old"}, Run: 7, Worker: g.workers["w0"].info}, EndDone, at(10*time.Millisecond))
		g.commit()
		state, _ := g.Lookup("old")
		So(state, ShouldEqual, workload.Completed)
		So(g.durationRatios, ShouldBeEmpty)
	})
}
