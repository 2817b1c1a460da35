package scheduler

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// simulation runs a load against a scheduler in simulated time: each step makes one complete plan, and runs end after their
// durations.
type simulation struct {
	*fixture
	now      time.Duration
	running  []simulatedRun
	duration func(s Start) time.Duration
	started  map[string]time.Duration // by job: when its first task started
}

type simulatedRun struct {
	start  Start
	began  time.Duration
	ends   time.Duration
	reason EndReason
}

const (
	simulationStep = 20 * time.Millisecond
	// simulatedStop is how long a run takes to stop.
	simulatedStop = 200 * time.Millisecond
)

func newSimulation(workers int, duration func(s Start) time.Duration) *simulation {
	return &simulation{fixture: newFixture(1, workers), duration: duration, started: map[string]time.Duration{}}
}

func (d *simulation) step() {
	d.now += simulationStep
	for _, r := range d.takeEndedRuns() {
		d.end(r.start, r.reason, at(d.now))
	}
	d.planOnce()
}

// takeEndedRuns updates the progress of the runs, and removes and returns those that have ended.
func (d *simulation) takeEndedRuns() []simulatedRun {
	d.updateProgress()
	var left, ended []simulatedRun
	for _, r := range d.running {
		if r.ends > d.now {
			left = append(left, r)
			continue
		}
		ended = append(ended, r)
	}
	d.running = left
	return ended
}

// planOnce makes all records durable, makes a complete plan and carries it out.
func (d *simulation) planOnce() Plan {
	d.persist()
	p := d.plan(at(d.now))
	d.stop(p.Stops)
	for _, s := range p.Starts {
		if _, ok := d.started[s.Task.Job]; !ok {
			d.started[s.Task.Job] = d.now
		}
		d.running = append(d.running, simulatedRun{s, d.now, d.now + d.duration(s), EndDone})
	}
	// The workers forget ends that are durable.
	for id := range d.ended {
		d.ended[id] = nil
	}
	return p
}

// updateProgress sets the progress that the workers will report.
func (d *simulation) updateProgress() {
	percent := map[runKey]int{}
	for _, r := range d.running {
		percent[runKey{r.start.Task, r.start.Run}] = int(100 * min(d.now-r.began, r.ends-r.began) / (r.ends - r.began))
	}
	for _, active := range d.active {
		for i, a := range active {
			active[i].Percent = percent[runKey{a.Task, a.Run}]
		}
	}
}

// stop ends the runs of stop orders after simulatedStop.
func (d *simulation) stop(stops []Stop) {
	for _, stop := range stops {
		for i := range d.running {
			r := &d.running[i]
			if r.start.Task == stop.Task && r.start.Run == stop.Run && r.ends > d.now+simulatedStop {
				r.ends, r.reason = d.now+simulatedStop, EndStopped
			}
		}
	}
}

func (d *simulation) run(until time.Duration, arrive func(now time.Duration)) {
	for d.now < until {
		arrive(d.now)
		d.step()
	}
}

func quantile(waits []time.Duration, q float64) time.Duration {
	sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
	return waits[int(float64(len(waits)-1)*q)]
}

func (d *simulation) spec(id string, priority int, step workload.Step) *workload.Spec {
	s := d.job(id, at(d.now), step)
	s.Queue.Priority = priority
	s.Queue.Name = fmt.Sprintf("q%d", priority)
	return s
}

// Guards against urgent jobs that queue behind batch work: they may wait for running tasks to end, but not for queued ones.
// Load: batch work for twice the capacity and short urgent jobs for a tenth of it.
func TestUrgentJobsUnderBatchOverload(t *testing.T) {
	Convey("Given a pool with a demand of twice its capacity", t, func() {
		random := rand.New(rand.NewPCG(1, 1))
		d := newSimulation(10, func(s Start) time.Duration {
			if s.Queue == "q0" {
				return 200 * time.Millisecond
			}
			return 500*time.Millisecond + time.Duration(random.IntN(2000))*time.Millisecond
		})
		arrived := map[string]time.Duration{}
		n := 0
		d.run(20*time.Second, func(now time.Duration) {
			n++
			if n%3 == 0 {
				step := simpleStep(5)
				step.Estimate = 1500 * time.Millisecond
				d.AddJob(at(now), d.spec(fmt.Sprintf("batch-%d", n), 2, step), nil, false)
			}
			if n%4 == 0 {
				step := simpleStep(1)
				step.Estimate = 200 * time.Millisecond
				id := fmt.Sprintf("urgent-%d", n)
				arrived[id] = now
				d.AddJob(at(now), d.spec(id, 0, step), nil, false)
			}
		})
		var waits []time.Duration
		for id, at := range arrived {
			if s, ok := d.started[id]; ok {
				waits = append(waits, s-at)
			}
		}
		Convey("Nine in ten urgent jobs start within a quarter of a second", func() {
			So(len(waits), ShouldBeGreaterThan, len(arrived)*95/100)
			So(quantile(waits, 0.9), ShouldBeLessThanOrEqualTo, 250*time.Millisecond)
		})
		Convey("No worker is overcommitted", func() {
			for _, w := range d.workers {
				So(w.used.CPUMilli, ShouldBeLessThanOrEqualTo, w.info.Capacity.CPUMilli)
			}
		})
	})
}

// Guards against starvation of a gang because small tasks take each place as soon as it is free. Load: small tasks that keep
// the pool full, and a gang that needs half of it.
func TestGangNotStarvedBySmallTasks(t *testing.T) {
	Convey("Given a pool that is kept full by small tasks", t, func() {
		d := newSimulation(4, func(s Start) time.Duration {
			if s.Queue == "q1" {
				return time.Second
			}
			return 300*time.Millisecond + time.Duration(s.Task.Index%7)*100*time.Millisecond
		})
		n := 0
		gang := simpleStep(10)
		gang.Gang, gang.Estimate = true, time.Second
		d.run(12*time.Second, func(now time.Duration) {
			n++
			if n%2 == 0 {
				step := simpleStep(3)
				step.Estimate = 500 * time.Millisecond
				d.AddJob(at(now), d.spec(fmt.Sprintf("small-%d", n), 2, step), nil, false)
			}
			if n == 100 {
				d.AddJob(at(now), d.spec("gang", 1, gang), nil, false)
			}
		})
		Convey("The gang starts as soon as the running tasks have ended", func() {
			started, ok := d.started["gang"]
			So(ok, ShouldBeTrue)
			So(started-100*simulationStep, ShouldBeLessThanOrEqualTo, 1200*time.Millisecond)
		})
	})
}

// Guards against gang members that start without the others, or with different run numbers.
func TestGangStartsAllOrNothing(t *testing.T) {
	Convey("Given a gang that needs one more place than there is", t, func() {
		f := newFixture(1, 2)
		step := simpleStep(11)
		step.Gang = true
		f.AddJob(t0, f.job("j", t0, step), nil, false)
		So(f.plan(t0).Starts, ShouldBeEmpty)
		Convey("All members start with the same run number once there is another worker", func() {
			f.addWorker("w2")
			starts := f.plan(at(time.Second)).Starts
			So(starts, ShouldHaveLength, 11)
			for _, s := range starts {
				So(s.Run, ShouldEqual, starts[0].Run)
			}
			Convey("When one member ends alone, the others are stopped, and the next run has a higher number", func() {
				// The workers have accepted all starts. The gang can't continue without the member that ends.
				f.end(starts[0], EndGangBroken, at(2*time.Second))
				So(f.plan(at(2*time.Second)).Stops, ShouldHaveLength, 10)
				for _, s := range starts[1:] {
					f.end(s, EndStopped, at(3*time.Second))
				}
				again := f.plan(at(3 * time.Second)).Starts
				So(again, ShouldHaveLength, 11)
				So(again[0].Run, ShouldBeGreaterThan, starts[0].Run)
			})
		})
	})
}

// Guards against steps that start before the steps that they depend on have ended.
func TestStepStartsAfterItsDependencies(t *testing.T) {
	Convey("Given a step that depends on another one, it starts once all tasks of that step are done", t, func() {
		f := newFixture(1, 2)
		second := simpleStep(2)
		second.DependsOn = []int{0}
		f.AddJob(t0, f.job("j", t0, simpleStep(2), second), nil, false)
		first := f.plan(t0).Starts
		So(first, ShouldHaveLength, 2)
		f.end(first[0], EndDone, at(time.Second))
		So(f.plan(at(time.Second)).Starts, ShouldBeEmpty)
		f.end(first[1], EndDone, at(2*time.Second))
		So(f.plan(at(2*time.Second)).Starts, ShouldHaveLength, 2)
	})
}

// Guards against occurrences that start before they are due or are skipped.
func TestOccurrencesStartWhenDue(t *testing.T) {
	Convey("Given a job with three occurrences, each starts when it is due", t, func() {
		f := newFixture(1, 2)
		spec := f.job("j", t0, simpleStep(1))
		spec.Repetitions, spec.FirstRun, spec.Interval = 3, at(time.Second), time.Second
		f.AddJob(t0, spec, nil, false)
		So(f.plan(at(900*time.Millisecond)).Starts, ShouldBeEmpty)
		for k := range 3 {
			starts := f.plan(at(time.Duration(k+1) * time.Second)).Starts
			So(starts, ShouldHaveLength, 1)
			So(starts[0].Task.Occurrence, ShouldEqual, k)
		}
		for _, s := range f.starts {
			f.end(s, EndDone, at(5*time.Second))
		}
		f.persist()
		state, _ := f.Lookup("j")
		So(state, ShouldEqual, workload.Completed)
	})
}

// Guards against placing tasks on workers that do not meet their placement constraints.
func TestPlacementConstraints(t *testing.T) {
	place := func(change func(s *workload.Step, f *fixture)) []Start {
		f := newFixture(1, 2)
		step := simpleStep(4)
		change(&step, f)
		f.AddJob(t0, f.job("j", t0, step), nil, false)
		return f.plan(t0).Starts
	}
	Convey("No task starts if no worker has the required label", t, func() {
		So(place(func(s *workload.Step, _ *fixture) { s.Requirement = "x" }), ShouldBeEmpty)
	})
	Convey("With a limit of one task per worker, each worker gets one", t, func() {
		So(place(func(s *workload.Step, _ *fixture) { s.MaxPerWorker = 1 }), ShouldHaveLength, 2)
	})
	Convey("A draining worker gets no tasks", t, func() {
		starts := place(func(_ *workload.Step, f *fixture) {
			info := f.workers["w0"].info
			info.Draining = true
			f.UpsertWorker(t0, info)
		})
		So(starts, ShouldHaveLength, 4)
		for _, s := range starts {
			So(s.Worker.ID, ShouldEqual, "w1")
		}
	})
	Convey("A delisted worker gets no tasks", t, func() {
		starts := place(func(_ *workload.Step, f *fixture) { f.DelistWorker("w1") })
		for _, s := range starts {
			So(s.Worker.ID, ShouldEqual, "w0")
		}
	})
	Convey("Workers in the rack of the data are preferred", t, func() {
		starts := place(func(s *workload.Step, f *fixture) {
			info := f.workers["w1"].info
			info.Rack = "r9"
			f.UpsertWorker(t0, info)
			s.DataRack = "r9"
		})
		So(starts, ShouldHaveLength, 4)
		for _, s := range starts {
			So(s.Worker.ID, ShouldEqual, "w1")
		}
	})
}

// Guards against a worker that fails every task and still gets new ones.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	Convey("Given a worker that fails the tasks of several jobs", t, func() {
		f := newFixture(1, 1)
		for i := range quarantineThreshold {
			f.AddJob(t0, f.job(fmt.Sprint(i), t0, simpleStep(1)), nil, false)
		}
		for _, s := range f.plan(t0).Starts {
			f.end(s, EndFailed, at(100*time.Millisecond))
		}
		Convey("It gets no tasks for a while; after that, one failure quarantines it for longer", func() {
			So(f.plan(at(time.Second)).Starts, ShouldBeEmpty)
			again := f.plan(at(firstQuarantine + time.Second)).Starts
			So(again, ShouldNotBeEmpty)
			f.end(again[0], EndFailed, at(firstQuarantine+2*time.Second))
			So(f.workers["w0"].health.quarantinedUntil, ShouldEqual, at(firstQuarantine+2*time.Second+2*firstQuarantine))
		})
	})
}

// Guards against restarting the tasks of a lost worker while they may still run, and against never restarting them.
func TestLostWorker(t *testing.T) {
	Convey("Given a worker that stops answering", t, func() {
		f := newFixture(1, 2)
		f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, false)
		s := f.plan(t0).Starts[0]
		f.MarkUnreachable(at(time.Second), s.Worker.ID, at(6*time.Second))
		Convey("Its tasks start elsewhere, but only after its lease has expired", func() {
			So(f.plan(at(5900*time.Millisecond)).Starts, ShouldBeEmpty)
			again := f.plan(at(6100 * time.Millisecond)).Starts
			So(again, ShouldHaveLength, 1)
			So(again[0].Worker.ID, ShouldNotEqual, s.Worker.ID)
			So(again[0].Run, ShouldBeGreaterThan, s.Run)
		})
		Convey("When a new incarnation of it answers, its tasks start again at once; its entry alone is no proof", func() {
			info := f.workers[s.Worker.ID].info
			info.Incarnation++
			f.UpsertWorker(at(2*time.Second), info)
			So(f.plan(at(2*time.Second)).Starts, ShouldBeEmpty)
			f.HandleReport(at(2*time.Second), Report{Worker: info.ID, Incarnation: info.Incarnation, SentAt: at(2 * time.Second), LeaseUntil: at(7 * time.Second)})
			So(f.plan(at(2*time.Second)).Starts, ShouldHaveLength, 1)
		})
	})
}

// Guards against late urgent jobs that wait for the whole queue of less urgent jobs. Load: short urgent jobs that are late
// after an outage, beside batch work that can still meet its objective and needs twice the capacity of the pool.
func TestLateUrgentJobsUnderBatchOverload(t *testing.T) {
	Convey("Given urgent jobs that are late after an outage, and a pool that is full of batch work", t, func() {
		const outage = 5 * time.Second
		d := newSimulation(10, func(s Start) time.Duration {
			if s.Queue == "q0" {
				return 200 * time.Millisecond
			}
			return 3*time.Second + time.Duration(s.Task.Index%5)*200*time.Millisecond
		})
		n := 0
		arrive := func(now time.Duration) {
			if n++; n%8 == 1 {
				step := simpleStep(5)
				step.Estimate = 3 * time.Second
				s := d.spec(fmt.Sprintf("batch-%d", n), 2, step)
				s.Queue.SlackFactor = 10
				d.AddJob(at(now), s, nil, false)
			}
		}
		d.run(outage, arrive)
		for i := range 20 {
			step := simpleStep(1)
			step.Estimate = 200 * time.Millisecond
			s := d.spec(fmt.Sprintf("urgent-%d", i), 0, step)
			s.Accepted = t0
			d.AddJob(at(d.now), s, nil, false)
		}
		d.run(outage+10*time.Second, arrive)
		Convey("They wait for running tasks to end, not for queued ones: half of the pool's 50 places are free within 2 s", func() {
			for i := range 20 {
				started, ok := d.started[fmt.Sprintf("urgent-%d", i)]
				So(ok, ShouldBeTrue)
				So(started-outage, ShouldBeLessThanOrEqualTo, 2*time.Second)
			}
		})
	})
}
