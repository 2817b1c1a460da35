package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// layeredSteps returns layers of steps that each come after all steps of the layer before.
func layeredSteps(layers, width int) []workload.Step {
	var steps []workload.Step
	for layer := range layers {
		for range width {
			step := simpleStep(1)
			for i := range width {
				if layer > 0 {
					step.DependsOn = append(step.DependsOn, (layer-1)*width+i)
				}
			}
			steps = append(steps, step)
		}
	}
	return steps
}

// independentSteps returns steps of one task that wait for no other.
func independentSteps(n int) []workload.Step {
	steps := make([]workload.Step, n)
	for i := range steps {
		steps[i] = simpleStep(1)
	}
	return steps
}

// Guards against an owner that stops deciding, and successors that stop as well, because it follows each of the 4^64 paths through
// the steps of a job. Before the fix it does not end.
func TestJobWithExponentiallyManyPathsIsPlanned(t *testing.T) {
	Convey("Given a job of 64 layers of 4 steps beside another job", t, func() {
		const layers, width = 64, 4
		f := newFixture(1, 4)
		f.AddJob(t0, f.job("layered", t0, layeredSteps(layers, width)...), nil, false)
		f.AddJob(t0, f.job("other", t0, simpleStep(1)), nil, false)
		f.commit()
		Convey("the other job starts at once, and the layers run one after the other", func() {
			now, done := t0, 0
			for range layers {
				starts := f.plan(now).Starts
				now = now.Add(time.Second)
				for _, s := range starts {
					f.end(s, EndDone, now)
					done++
				}
			}
			So(done, ShouldEqual, layers*width+1)
			So(f.Scheduler.jobs["other"].state, ShouldEqual, workload.Completed)
			So(f.Scheduler.jobs["layered"].state, ShouldEqual, workload.Completed)
		})
	})
}

// Guards against critical paths that leave out steps, count them twice or overflow.
func TestCriticalPaths(t *testing.T) {
	Convey("The longest chain counts, and a step that is named twice counts once", t, func() {
		step := func(seconds int, after ...int) workload.Step {
			return workload.Step{Count: 1, Estimate: time.Duration(seconds) * time.Second, DependsOn: after}
		}
		d := newDependencies([]workload.Step{step(1), step(5), step(2, 0, 0), step(1, 1, 2), step(9)})
		So(fmt.Sprint(d.pathFrom), ShouldEqual, "[4s 6s 3s 1s 9s]")
		So(d.criticalPath, ShouldEqual, 9*time.Second)
		long := workload.Step{Count: 1, Estimate: 1<<63 - 1}
		next := long
		next.DependsOn = []int{0}
		So(newDependencies([]workload.Step{long, next}).criticalPath, ShouldEqual, maxPath)
	})
}

// Guards against steps that start too early or never, depending on the order in which a successor reads which tasks are done.
func TestDependenciesOfRestoredProgress(t *testing.T) {
	Convey("Given stored progress of a layered job, in reverse order", t, func() {
		f := newFixture(2, 4)
		p := &workload.Progress{State: workload.Running}
		for step := 5; step >= 0; step-- {
			p.Tasks = append(p.Tasks, workload.TaskProgress{Step: step, Done: true})
		}
		f.AddJob(t0, f.job("layered", t0, layeredSteps(4, 3)...), p, true)
		Convey("the next layer starts, and no other step", func() {
			var steps []int
			for _, s := range f.plan(t0).Starts {
				steps = append(steps, s.Task.Step)
			}
			So(steps, ShouldHaveLength, 3)
			So(steps, ShouldContain, 6)
			So(steps, ShouldContain, 7)
			So(steps, ShouldContain, 8)
		})
	})
}
