package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// addSmallJob adds a job with one task, of a queue that comes after that of a gang.
func (f *fixture) addSmallJob(now time.Time, estimate time.Duration) {
	step := simpleStep(1)
	step.Estimate = estimate
	spec := f.job("small", now, step)
	spec.Queue.Priority, spec.Queue.Name = 2, "q2"
	f.AddJob(now, spec, nil, false)
}

// Guards against jobs that wait beside idle workers because a gang that can't start has reserved them.
func TestGangThatNeverFitsReservesNothing(t *testing.T) {
	for name, prepare := range map[string]func(f *fixture, gang *workload.Step){
		"a worker is lost": func(f *fixture, _ *workload.Step) { f.MarkUnreachable(t0, "w5", at(time.Hour)) },
		"a worker is gone": func(f *fixture, _ *workload.Step) { f.DelistWorker("w5") },
		"a worker is drained": func(f *fixture, _ *workload.Step) {
			info := f.workers["w5"].info
			info.Draining, info.DrainRemaining = true, time.Hour
			f.UpsertWorker(t0, info)
		},
		"a service has the room": func(f *fixture, _ *workload.Step) {
			service := simpleStep(1)
			service.LongRunning = true
			f.AddJob(t0, f.job("service", t0, service), nil, false)
		},
		"long tasks have the room": func(f *fixture, _ *workload.Step) {
			long := simpleStep(1)
			long.Estimate = time.Hour
			f.AddJob(t0, f.job("long", t0, long), nil, false)
		},
		"another gang has the room": func(f *fixture, _ *workload.Step) {
			other := gangStep(3, 2)
			other.Estimate = time.Minute
			f.AddJob(t0, f.job("another", t0, other), nil, false)
		},
		"it needs too much memory":     func(_ *fixture, gang *workload.Step) { gang.Resources.MemoryMB = 6000 },
		"a worker may have one member": func(_ *fixture, gang *workload.Step) { gang.MaxPerWorker = 1 },
		"no worker has its label":      func(_ *fixture, gang *workload.Step) { gang.Requirement = "x" },
		"no worker is large enough":    func(_ *fixture, gang *workload.Step) { gang.Resources.CPUMilli = 20_000 },
	} {
		Convey("Given a gang of the size of the pool that does not fit because "+name, t, func() {
			f := newFixture(1, 6)
			gang := gangStep(12, 2)
			gang.Estimate = 36 * time.Second
			prepare(f, &gang)
			f.plan(t0)
			f.AddJob(at(time.Millisecond), f.job("gang", at(time.Millisecond), gang), nil, false)
			So(f.plan(at(time.Millisecond)).Starts, ShouldBeEmpty)
			f.addSmallJob(at(2*time.Millisecond), 10*time.Second)
			Convey("A later job starts at once", func() {
				So(f.plan(at(2*time.Millisecond)).Starts, ShouldHaveLength, 1)
			})
		})
	}
}

// Guards against reservations that keep room for a gang from jobs that would end before it starts, or that hold others back for 3 s while
// most of the pool is idle.
func TestReservedRoomIsBackfilled(t *testing.T) {
	Convey("Given a gang of the size of the pool that can start once a task has ended, in 3 s", t, func() {
		f := newFixture(1, 6)
		task := simpleStep(1)
		task.Estimate = 3 * time.Second
		f.AddJob(t0, f.job("task", t0, task), nil, false)
		So(f.plan(t0).Starts, ShouldHaveLength, 1)
		gang := gangStep(12, 2)
		gang.Estimate = 10 * time.Second
		f.AddJob(t0, f.job("gang", t0, gang), nil, false)
		So(f.plan(t0).Starts, ShouldBeEmpty)
		Convey("A later job that ends before starts", func() {
			f.addSmallJob(t0, 2*time.Second)
			So(f.plan(t0).Starts, ShouldHaveLength, 1)
		})
		Convey("A longer one waits, but not for 3 s, since most of the pool is idle", func() {
			f.addSmallJob(t0, 4*time.Second)
			So(f.plan(t0).Starts, ShouldBeEmpty)
			So(f.plan(at(1900*time.Millisecond)).Starts, ShouldBeEmpty)
			So(f.plan(at(2100*time.Millisecond)).Starts, ShouldHaveLength, 1)
		})
		Convey("A task that lasts longer than expected ends the reservation", func() {
			So(f.plan(at(3900*time.Millisecond)).Starts, ShouldBeEmpty)
			So(f.reservations, ShouldNotBeEmpty)
			f.plan(at(4100 * time.Millisecond))
			So(f.reservations, ShouldBeEmpty)
		})
	})
}

// Guards against jobs that have nothing running for 3 s while they fit twice and most of the pool is idle, whatever keeps gangs from
// starting: gangs that never fit, workers that are lost, drained or occupied, and runs that last longer than expected.
func TestNoJobIdlesBesideGangsOnIdlePool(t *testing.T) {
	for seed := range uint64(8) {
		Convey(fmt.Sprintf("Given small jobs among gangs of all widths, seed %d", seed), t, func() {
			random := rand.New(rand.NewPCG(seed, 9))
			workers := 3 + random.IntN(8)
			durations := map[string]time.Duration{}
			d := newSimulation(workers, func(s Start) time.Duration { return durations[s.Task.Job] })
			idle := map[string]time.Duration{}
			d.run(30*time.Second, func(now time.Duration) {
				if random.IntN(30) == 0 {
					d.addRandomJob(random, workers, durations)
				}
				switch w := fmt.Sprintf("w%d", 1+random.IntN(workers-1)); random.IntN(1000) {
				case 0:
					d.loseWorker(w)
				case 1:
					d.DelistWorker(w)
				}
				for _, id := range d.idleJobs() {
					idle[id] += simulationStep
					So(fmt.Sprint(id, " idles for ", idle[id] >= 3*time.Second), ShouldEqual, id+" idles for false")
				}
				for id := range idle {
					if !strings.Contains(strings.Join(d.idleJobs(), " "), id) {
						delete(idle, id)
					}
				}
			})
		})
	}
}

// loseWorker ends a worker with its runs for good.
func (d *simulation) loseWorker(id string) {
	d.MarkUnreachable(at(d.now), id, at(d.now+5*time.Second))
	d.running = slices.DeleteFunc(d.running, func(r simulatedRun) bool { return r.start.Worker.ID == id })
}

// addRandomJob adds a gang, a long task or a small job of a later queue. Their estimates are off by up to a factor of four.
func (d *simulation) addRandomJob(random *rand.Rand, workers int, durations map[string]time.Duration) {
	id := fmt.Sprintf("j%d", len(durations))
	step := simpleStep(1 + random.IntN(2))
	priority, duration := 2, time.Duration(200+random.IntN(6000))*time.Millisecond
	switch random.IntN(4) {
	case 0, 1:
		step = gangStep(1+random.IntN(3*workers), 1+random.IntN(3))
		step.MaxPerWorker = random.IntN(3)
		priority = 1
	case 2:
		duration = 30 * time.Second
	}
	durations[id] = duration
	step.Estimate = time.Duration(float64(duration) * (0.25 + 2*random.Float64()))
	d.AddJob(at(d.now), d.spec(id, priority, step), nil, false)
}

// idleJobs returns the jobs without a run that fit twice into the free room of workers in use, while less than half of the pool's
// processors are in use. Gangs are left out: their room is not a matter of its sum.
func (d *simulation) idleJobs() []string {
	var used, capacity int64
	for _, w := range d.sortedWorkers {
		capacity += w.info.Capacity.CPUMilli
		used += w.used.CPUMilli
	}
	var out []string
	for id, j := range d.jobs {
		if j.state.Final() || used*2 >= capacity {
			continue
		}
		u := j.occurrences[0].units[0]
		places := 0
		for _, w := range d.sortedWorkers {
			if d.canRun(u, w, at(d.now)) {
				places += countFitting(w.info.Capacity.Sub(w.used), u.resources())
			}
		}
		if !u.step.Gang && u.idle() && places >= 2*u.tasks.count {
			out = append(out, id)
		}
	}
	return out
}

// Guards against a gang that takes over the workers that are reserved for an earlier one, so that jobs which would delay that one start there.
func TestReservationOfAnEarlierGangIsKept(t *testing.T) {
	f := newFixture(1, 6)
	task := simpleStep(1)
	task.Estimate = 3 * time.Second
	f.AddJob(t0, f.job("task", t0, task), nil, false)
	f.plan(t0)
	for i, members := range []int{6, 12} {
		gang := gangStep(members, 2)
		gang.Estimate = 10 * time.Second
		spec := f.job(fmt.Sprint("gang", i), t0, gang)
		spec.Queue.Priority += i
		f.AddJob(t0, spec, nil, false)
	}
	f.commit()
	gangs := f.candidates(maps.Keys(f.open), t0)
	if len(gangs) != 2 {
		t.Fatalf("%d gangs wait, want 2", len(gangs))
	}
	first := f.sortedWorkers[:3]
	f.reserve(gangs[0], first, t0)
	f.reserve(gangs[1], f.sortedWorkers, t0)
	for w, r := range f.reservations {
		if slices.Contains(first, w) != (r.holder.unit == gangs[0].unit) {
			t.Errorf("worker %s is reserved for %s", w.info.ID, r.holder.unit.job.spec.ID)
		}
	}
	if len(f.reservations) != 6 {
		t.Errorf("%d workers are reserved, want 6", len(f.reservations))
	}
}
