package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// heapBytes returns the bytes that are in use on the heap.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC() // frees what finalizers and sync.Pool held during the first collection
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

const (
	wideStep = 100_000 // tasks, the most that a job may have
	// maxBytesPerIdleTask is the limit for a task of a wide step that waits or is done. The task of 250 bytes that each of them had
	// filled the memory of an owner with ten jobs.
	maxBytesPerIdleTask = 25
)

// addWideJobs adds jobs with one step of 100,000 tasks of which at most ten run on a worker.
func (f *fixture) addWideJobs(jobs int, progress func() *workload.Progress) {
	step := simpleStep(wideStep)
	step.MaxPerWorker = 10
	for n := range jobs {
		p := progress()
		f.AddJob(t0, f.job(fmt.Sprintf("wide%d", n), t0, step), p, p != nil)
	}
}

func noProgress() *workload.Progress { return nil }

// allDoneBut returns the progress of a wide job of which all tasks but one are done.
func allDoneBut(waiting int) *workload.Progress {
	p := &workload.Progress{State: workload.Running}
	for n := range wideStep {
		if n != waiting {
			p.Tasks = append(p.Tasks, workload.TaskProgress{Index: n, Done: true})
		}
	}
	return p
}

// Guards against an owner that runs out of memory, and each successor in turn, because tasks take memory that don't run.
func TestTasksThatDoNotRunTakeNoMemory(t *testing.T) {
	const jobs = 16
	Convey("Given 16 jobs of 100,000 tasks", t, func() {
		f := newFixture(1, 8)
		before := heapBytes()
		f.addWideJobs(jobs, noProgress)
		Convey("waiting tasks take no memory, before and after the first of them run", func() {
			So(heapBytes()-before, ShouldBeLessThan, jobs*wideStep*maxBytesPerIdleTask)
			So(f.plan(t0).Starts, ShouldNotBeEmpty)
			So(heapBytes()-before, ShouldBeLessThan, jobs*wideStep*maxBytesPerIdleTask)
			runtime.KeepAlive(f)
		})
	})
	Convey("Given jobs of 100,000 tasks of which an earlier owner has completed all but one", t, func() {
		f := newFixture(2, 8)
		before := heapBytes()
		f.addWideJobs(4, func() *workload.Progress { return allDoneBut(70_000) })
		Convey("the completed tasks take no memory, and only the other one runs", func() {
			So(heapBytes()-before, ShouldBeLessThan, 4*wideStep*maxBytesPerIdleTask)
			starts := f.plan(t0).Starts
			So(starts, ShouldHaveLength, 4)
			for _, s := range starts {
				So(s.Task.Index, ShouldEqual, 70_000)
			}
		})
	})
	Convey("Given a wide job, tasks that end take no memory, and each starts once", t, func() {
		f := newFixture(1, 8)
		f.addWideJobs(1, noProgress)
		started := map[workload.TaskID]bool{}
		now := t0
		before := heapBytes()
		for range 100 {
			now = now.Add(50 * time.Millisecond)
			for _, s := range f.plan(now).Starts {
				So(started[s.Task], ShouldBeFalse)
				started[s.Task] = true
				f.end(s, EndDone, now)
			}
		}
		So(len(started), ShouldBeGreaterThan, 1000)
		u := f.jobs["wide0"].occurrences[0].units[0]
		So(u.tasksLeft, ShouldEqual, wideStep-len(started))
		for range u.tasks.kept() {
			So("a task that is done keeps its state", ShouldBeEmpty)
		}
		f.ended, f.starts = nil, nil // the fixture's own records
		So(heapBytes()-before, ShouldBeLessThan, len(started)*300)
	})
}

// Guards against an owner that runs out of memory because a job with a short body has 100,000 occurrences that are due at once.
func TestDueOccurrencesTakeLittleMemory(t *testing.T) {
	repeated := func(f *fixture, id string, repetitions int, steps ...workload.Step) {
		spec := f.job(id, t0, steps...)
		spec.Repetitions, spec.FirstRun = repetitions, t0.Add(-time.Hour)
		f.AddJob(t0, spec, nil, false)
	}
	Convey("Given four jobs with 100,000 occurrences that are due", t, func() {
		const jobs, occurrences = 4, 100_000
		f := newFixture(1, 8)
		before := heapBytes()
		for n := range jobs {
			repeated(f, fmt.Sprint(n), occurrences, simpleStep(1))
		}
		Convey("those that can't start soon take little memory, before and after a plan", func() {
			So(heapBytes()-before, ShouldBeLessThan, jobs*occurrences*maxBytesPerIdleTask)
			So(f.plan(t0).Starts, ShouldNotBeEmpty)
			So(heapBytes()-before, ShouldBeLessThan, jobs*occurrences*maxBytesPerIdleTask)
			runtime.KeepAlive(f)
		})
	})
	Convey("Given a job with 3,000 due occurrences of two steps", t, func() {
		f := newFixture(1, 40)
		second := simpleStep(1)
		second.DependsOn = []int{0}
		repeated(f, "j", 3000, simpleStep(2), second)
		Convey("each task runs once, and the job completes", func() {
			started := map[workload.TaskID]bool{}
			now := t0
			for !f.jobs["j"].state.Final() {
				now = now.Add(50 * time.Millisecond)
				starts := f.plan(now).Starts
				So(starts, ShouldNotBeEmpty)
				for _, s := range starts {
					if started[s.Task] {
						t.Fatalf("task %s starts twice", s.Task)
					}
					started[s.Task] = true
					f.listEnd(s, EndDone)
				}
				for _, w := range f.sortedWorkers {
					f.report(w.info.ID, now)
				}
			}
			So(f.jobs["j"].state, ShouldEqual, workload.Completed)
			So(started, ShouldHaveLength, 3*3000)
			for _, o := range f.jobs["j"].occurrences {
				So(o.units, ShouldBeNil)
			}
			f.commit()
		})
	})
}

// BenchmarkMemory measures the memory that tasks and jobs take, as bytes of the heap that stay in use. Its times include garbage
// collections.
func BenchmarkMemory(b *testing.B) {
	measure := func(name string, count int, build func() *fixture, add func(f *fixture)) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			total := int64(0)
			for b.Loop() {
				f := build()
				before := heapBytes()
				add(f)
				total += heapBytes() - before
				runtime.KeepAlive(f)
			}
			b.ReportMetric(float64(total)/float64(b.N*count), "B/each")
		})
	}
	empty := func() *fixture { return newFixture(1, 0) }
	measure("waiting task of a wide step", wideStep, empty, func(f *fixture) { f.addWideJobs(1, noProgress) })
	measure("waiting job", 1000, empty, func(f *fixture) {
		for n := range 1000 {
			f.AddJob(t0, f.job(fmt.Sprint(n), t0, simpleStep(1)), nil, false)
		}
	})
	measure("waiting step", 20_000, empty, func(f *fixture) { f.AddJob(t0, f.job("steps", t0, independentSteps(20_000)...), nil, false) })
	measure("due occurrence", 100_000, empty, func(f *fixture) {
		spec := f.job("repeated", t0, simpleStep(1))
		spec.Repetitions, spec.FirstRun = 100_000, t0.Add(-time.Hour)
		f.AddJob(t0, spec, nil, false)
	})
	measure("completed task of a wide step", wideStep, empty, func(f *fixture) {
		f.addWideJobs(1, func() *workload.Progress { return allDoneBut(wideStep - 1) })
	})
	runnable := func() *fixture {
		f := newFixture(1, 500)
		f.addWideJobs(1, noProgress)
		f.commit()
		return f
	}
	measure("running task", 2500, runnable, func(f *fixture) {
		if starts := f.Plan(t0).Starts; len(starts) != 2500 {
			b.Fatalf("%d tasks run", len(starts))
		}
	})
}
