package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// storedProgress is the progress of a job as rows hold it, by chunk.
type storedProgress map[int]*workload.Progress

// take writes the records of the scheduler, which has a single job.
func (p storedProgress) take(f *fixture) {
	generation, records, _ := f.TakeAllRecords()
	for _, r := range records {
		if r.Progress != nil {
			p[0] = r.Progress
		}
		for _, c := range r.Chunks {
			p[c.Number] = c.Progress
		}
	}
	f.MarkStored(records)
	f.MarkGenerationStored(generation)
}

// load returns the progress as a successor reads it.
func (p storedProgress) load() *workload.Progress {
	out := &workload.Progress{State: workload.Running}
	for n, chunk := range p {
		out.Tasks = append(out.Tasks, chunk.Tasks...)
		if n > 0 {
			out.StoredChunks = append(out.StoredChunks, n)
		}
	}
	return out
}

// Guards against tasks that a successor runs again or leaves out, because their progress is stored in the wrong chunk or not at all.
func TestSuccessorKnowsTheProgressOfAllTasks(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(1, 0)
		var steps []workload.Step
		for i := range rapid.IntRange(1, 6).Draw(rt, "steps") {
			step := workload.Step{Count: rapid.IntRange(1, 400).Draw(rt, fmt.Sprintf("count%d", i)), Estimate: time.Second}
			step.Gang = rapid.IntRange(0, 4).Draw(rt, fmt.Sprintf("gang%d", i)) == 0
			steps = append(steps, step)
		}
		spec := f.job("j", t0, steps...)
		spec.Repetitions = rapid.IntRange(0, 3).Draw(rt, "repetitions")
		f.AddJob(t0, spec, nil, false)
		stored := storedProgress{}
		stored.take(f)
		j := f.jobs["j"]
		j.started = true
		for range rapid.IntRange(1, 40).Draw(rt, "ends") {
			step := rapid.IntRange(0, len(steps)-1).Draw(rt, "unit")
			ended := f.task(workload.TaskID{Job: "j", Occurrence: rapid.IntRange(0, len(j.occurrences)-1).Draw(rt, "occurrence"), Step: step,
				Index: rapid.IntRange(0, steps[step].Count-1).Draw(rt, "task")})
			for m := range ended.representedBy() {
				f.markDone(m)
			}
			f.markTaskChanged(ended)
			if rapid.Bool().Draw(rt, "store") {
				stored.take(f)
			}
		}
		stored.take(f)
		next := newFixture(2, 0)
		loaded := stored.load()
		if rapid.Bool().Draw(rt, "compact") {
			loaded.CompactDone()
		}
		next.AddJob(t0, spec, loaded, true)
		for k := range j.occurrences {
			for i, step := range steps {
				for n := range step.Count {
					id := workload.TaskID{Job: "j", Occurrence: k, Step: i, Index: n}
					if done, known := f.task(id).done, next.task(id).done; known != done {
						rt.Fatalf("task %s is done: %t, a successor thinks %t", id, done, known)
					}
				}
			}
		}
	})
}

// Guards against an owner that falls behind on a job with many tasks, because it stores the progress of all of them at the end of each.
func TestEndOfARunStoresOneChunk(t *testing.T) {
	Convey("Given a job of 5,000 tasks with stored progress", t, func() {
		f := newFixture(1, 20)
		f.AddJob(t0, f.job("j", t0, simpleStep(5000)), nil, false)
		starts := f.plan(t0).Starts
		f.end(starts[0], EndDone, at(time.Second))
		f.commit()
		Convey("the end of a run changes one chunk, of its task and its neighbours", func() {
			j := f.jobs["j"]
			for n := range 3000 {
				f.markDone(j.occurrences[0].units[0].tasks.get(n))
			}
			last := starts[len(starts)-1]
			f.end(last, EndDone, at(2*time.Second))
			_, records, _ := f.TakeAllRecords()
			So(records, ShouldHaveLength, 1)
			So(records[0].Chunks, ShouldBeEmpty)
			So(len(records[0].Progress.Tasks), ShouldBeLessThanOrEqualTo, tasksPerChunk)
			f.markTaskChanged(j.occurrences[0].units[0].tasks.get(2999))
			_, records, _ = f.TakeAllRecords()
			So(records[0].Progress, ShouldBeNil)
			So(records[0].Chunks, ShouldHaveLength, 1)
			So(records[0].Chunks[0].Number, ShouldEqual, 2999/tasksPerChunk)
			So(len(records[0].Chunks[0].Progress.Tasks), ShouldBeLessThanOrEqualTo, tasksPerChunk)
		})
	})
}

// Guards against a gang of which a successor runs only some members, because its predecessor has stored the end in some chunks only.
func TestGangDoneInOneChunkIsDone(t *testing.T) {
	Convey("Given a gang of 600 members of which the first chunk is stored as done", t, func() {
		gang := workload.Step{Count: 600, Gang: true, Estimate: time.Second}
		f := newFixture(2, 4)
		p := &workload.Progress{State: workload.Running, Tasks: []workload.TaskProgress{{Index: 3, Done: true}, {Index: 300, Run: 7, Checkpoint: "c", FailedRuns: []int64{6}}}}
		f.AddJob(t0, f.job("j", t0, gang), p, true)
		Convey("all members are done", func() {
			So(f.jobs["j"].occurrences[0].tasksLeft, ShouldEqual, 0)
			So(f.plan(t0).Starts, ShouldBeEmpty)
		})
	})
}
