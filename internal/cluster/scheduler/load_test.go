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

// simulation plays a load against a scheduler: runs end after their durations, and every step of time plans once.
type simulation struct {
	*fixture
	now      time.Duration
	running  []simulatedRun
	duration func(s Start) time.Duration
	started  map[string]time.Duration // by job: when its first task started
}

type simulatedRun struct {
	start Start
	ends  time.Duration
}

const simulationStep = 20 * time.Millisecond

func newSimulation(workers int, duration func(s Start) time.Duration) *simulation {
	return &simulation{fixture: newFixture(1, workers), duration: duration, started: map[string]time.Duration{}}
}

func (d *simulation) step() {
	d.now += simulationStep
	var left []simulatedRun
	for _, r := range d.running {
		if r.ends > d.now {
			left = append(left, r)
			continue
		}
		d.end(r.start, EndDone, at(d.now))
	}
	d.running = left
	d.persist()
	for _, s := range d.plan(at(d.now)).Starts {
		if _, ok := d.started[s.Task.Job]; !ok {
			d.started[s.Task.Job] = d.now
		}
		d.running = append(d.running, simulatedRun{s, d.now + d.duration(s)})
	}
	// Ends that are stored are forgotten by the workers.
	for id := range d.ended {
		d.ended[id] = nil
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

// Load: batch work for twice the capacity and short urgent jobs for a tenth of it. Guards against urgent jobs that queue
// behind batch work: they may wait for running tasks to end, not for the queue.
func TestUrgentJobsUnderBatchOverload(t *testing.T) {
	Convey("Given a pool that is asked for twice what it has", t, func() {
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
		Convey("Urgent jobs start within a quarter of a second, nine in ten", func() {
			So(len(waits), ShouldBeGreaterThan, len(arrived)*95/100)
			So(quantile(waits, 0.9), ShouldBeLessThanOrEqualTo, 250*time.Millisecond)
		})
		Convey("No worker is ever given more than it has", func() {
			for _, w := range d.workers {
				So(w.used.CPUMilli, ShouldBeLessThanOrEqualTo, w.info.Capacity.CPUMilli)
			}
		})
	})
}

// Load: small tasks that keep the pool full, and a gang that needs half of it. Guards against a gang that never starts,
// because small tasks take each place as it gets free.
func TestGangNotStarvedBySmallTasks(t *testing.T) {
	Convey("Given a pool that small tasks fill again and again", t, func() {
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

// Guards against members of a gang that are started without the others, or on too few places.
func TestGangStartsAllOrNothing(t *testing.T) {
	Convey("Given a gang that needs one place more than there are", t, func() {
		f := newFixture(1, 2)
		step := simpleStep(11)
		step.Gang = true
		f.AddJob(t0, f.job("j", t0, step), nil, false)
		So(f.plan(t0).Starts, ShouldBeEmpty)
		Convey("It starts whole, with one run number, when there is another worker", func() {
			f.addWorker("w2")
			starts := f.plan(at(time.Second)).Starts
			So(starts, ShouldHaveLength, 11)
			for _, s := range starts {
				So(s.Run, ShouldEqual, starts[0].Run)
			}
			Convey("When one start is rejected the others are stopped, and the next run has a higher number", func() {
				// plan has accepted all starts; a member that ends alone breaks the gang.
				f.end(starts[0], EndBroken, at(2*time.Second))
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

// Guards against steps that start before the ones that they come after.
func TestStepStartsAfterItsDependencies(t *testing.T) {
	Convey("Given a step after another one", t, func() {
		f := newFixture(1, 2)
		second := simpleStep(2)
		second.After = []int{0}
		f.AddJob(t0, f.job("j", t0, simpleStep(2), second), nil, false)
		first := f.plan(t0).Starts
		So(first, ShouldHaveLength, 2)
		f.end(first[0], EndDone, at(time.Second))
		So(f.plan(at(time.Second)).Starts, ShouldBeEmpty)
		f.end(first[1], EndDone, at(2*time.Second))
		So(f.plan(at(2*time.Second)).Starts, ShouldHaveLength, 2)
	})
}

// Guards against occurrences that start early or are left out.
func TestOccurrencesStartWhenDue(t *testing.T) {
	Convey("Given a job with three occurrences", t, func() {
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

// Guards against workers that get tasks of which a condition does not hold.
func TestPlacementConstraints(t *testing.T) {
	place := func(change func(s *workload.Step, f *fixture)) []Start {
		f := newFixture(1, 2)
		step := simpleStep(4)
		change(&step, f)
		f.AddJob(t0, f.job("j", t0, step), nil, false)
		return f.plan(t0).Starts
	}
	Convey("A requirement that no worker has", t, func() {
		So(place(func(s *workload.Step, _ *fixture) { s.Requirement = "x" }), ShouldBeEmpty)
	})
	Convey("At most one task on a worker", t, func() {
		So(place(func(s *workload.Step, _ *fixture) { s.MaxPerWorker = 1 }), ShouldHaveLength, 2)
	})
	Convey("A draining worker", t, func() {
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
	Convey("A delisted worker", t, func() {
		starts := place(func(_ *workload.Step, f *fixture) { f.DelistWorker("w1") })
		for _, s := range starts {
			So(s.Worker.ID, ShouldEqual, "w0")
		}
	})
	Convey("The rack of the data is preferred", t, func() {
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

// Guards against a worker that fails everything it starts and keeps getting tasks.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	Convey("Given a worker that fails the tasks of several jobs", t, func() {
		f := newFixture(1, 1)
		for i := range quarantineThreshold {
			f.AddJob(t0, f.job(fmt.Sprint(i), t0, simpleStep(1)), nil, false)
		}
		for _, s := range f.plan(t0).Starts {
			f.end(s, EndFailed, at(100*time.Millisecond))
		}
		Convey("It gets nothing for a while, then one failure sets it aside for longer", func() {
			So(f.plan(at(time.Second)).Starts, ShouldBeEmpty)
			again := f.plan(at(quarantineMin + time.Second)).Starts
			So(again, ShouldNotBeEmpty)
			f.end(again[0], EndFailed, at(quarantineMin+2*time.Second))
			So(f.workers["w0"].health.quarantinedUntil, ShouldEqual, at(quarantineMin+2*time.Second+2*quarantineMin))
		})
	})
}

// Guards against a lost worker whose tasks are started again while they may still run, or never.
func TestLostWorker(t *testing.T) {
	Convey("Given a worker that stops answering", t, func() {
		f := newFixture(1, 2)
		f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, false)
		s := f.plan(t0).Starts[0]
		f.CallFailed(at(time.Second), s.Worker.ID, at(6*time.Second))
		Convey("Its tasks stay until its lease has lapsed, and then start elsewhere", func() {
			So(f.plan(at(5900*time.Millisecond)).Starts, ShouldBeEmpty)
			again := f.plan(at(6100 * time.Millisecond)).Starts
			So(again, ShouldHaveLength, 1)
			So(again[0].Worker.ID, ShouldNotEqual, s.Worker.ID)
			So(again[0].Run, ShouldBeGreaterThan, s.Run)
		})
		Convey("Another life of it ends the tasks at once", func() {
			info := f.workers[s.Worker.ID].info
			info.Born++
			f.UpsertWorker(at(2*time.Second), info)
			So(f.plan(at(2*time.Second)).Starts, ShouldHaveLength, 1)
		})
	})
}

// Load: short urgent jobs that are late after an outage, beside batch work that can still be in time and asks for twice the
// pool. Guards against late urgent jobs that wait for the whole queue of less urgent ones.
func TestLateUrgentJobsUnderBatchOverload(t *testing.T) {
	Convey("Given urgent jobs of an outage and a pool that is full of batch work", t, func() {
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
		Convey("They wait for running tasks to end, not for the queue: half of the pool's 50 places are free within 2 s", func() {
			for i := range 20 {
				started, ok := d.started[fmt.Sprintf("urgent-%d", i)]
				So(ok, ShouldBeTrue)
				So(started-outage, ShouldBeLessThanOrEqualTo, 2*time.Second)
			}
		})
	})
}
