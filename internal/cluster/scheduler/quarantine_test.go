package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// failureSimulation is a simulation in which runs fail, and in which workers report every half second.
type failureSimulation struct {
	*simulation
	fails func(s Start) bool
	// waitingSince holds since when a task waits although the rule that bounds its wait applies.
	waitingSince map[workload.TaskID]time.Duration
}

func newFailureSimulation(workers int, duration func(s Start) time.Duration, fails func(s Start) bool) *failureSimulation {
	return &failureSimulation{simulation: newSimulation(workers, duration), fails: fails, waitingSince: map[workload.TaskID]time.Duration{}}
}

func (d *failureSimulation) step() {
	d.simulation.step()
	for i := range d.running {
		r := &d.running[i]
		if r.began == d.now && r.reason == EndDone && d.fails(r.start) {
			r.reason = EndFailed
		}
	}
	if d.now%(500*time.Millisecond) == 0 {
		for _, w := range d.sortedWorkers {
			d.report(w.info.ID, at(d.now))
		}
	}
}

// longestWait updates the waits and returns the longest one. A long-running task may not wait while a worker has room for it twice over.
// Another unit may not be without a run then while less than half of the capacity is in use.
func (d *failureSimulation) longestWait() (*task, time.Duration) {
	var longest *task
	var used, capacity int64
	for _, w := range d.sortedWorkers {
		used, capacity = used+w.used.CPUMilli, capacity+w.info.Capacity.CPUMilli
	}
	waits := func(t *task) bool {
		u := t.unit
		if t.done || t.placement != nil || u.job.state.Final() || at(d.now).Before(t.notBefore) || !u.step.LongRunning && (!u.idle() || 2*used >= capacity) {
			return false
		}
		for _, w := range d.sortedWorkers {
			if w.acceptsStarts() && w.free().CanFit(u.resources().Add(u.resources())) {
				return true
			}
		}
		return false
	}
	for u := range d.open {
		for t := range u.tasks.all() {
			if !waits(t) {
				delete(d.waitingSince, t.id())
				continue
			}
			since, known := d.waitingSince[t.id()]
			if !known {
				d.waitingSince[t.id()], since = d.now, d.now
			}
			if longest == nil || since < d.waitingSince[longest.id()] {
				longest = t
			}
		}
	}
	if longest == nil {
		return nil, 0
	}
	return longest, d.now - d.waitingSince[longest.id()]
}

// service returns a step of long-running tasks.
func service(count int) workload.Step {
	step := simpleStep(count)
	step.LongRunning = true
	return step
}

// Guards against sound services that find no worker because services that fail on every worker keep all of them in quarantine.
func TestFailingServicesCloseNoSoundWorkers(t *testing.T) {
	Convey("Given three services that fail half a second after each start, and two sound ones that fail at times, on four workers", t, func() {
		random := rand.New(rand.NewPCG(1, 1))
		d := newFailureSimulation(4, func(s Start) time.Duration {
			if s.Task.Job[:3] == "bad" {
				return 500 * time.Millisecond
			}
			return 5*time.Second + time.Duration(random.IntN(20_000))*time.Millisecond
		}, func(Start) bool { return true })
		for i := range 2 {
			d.AddJob(t0, d.job(fmt.Sprintf("sound%d", i), t0, service(2)), nil, false)
		}
		for i := range 3 {
			d.AddJob(t0, d.job(fmt.Sprintf("bad%d", i), t0, service(4)), nil, false)
		}
		Convey("Each task starts again with the next plans, and nearly always no worker is in quarantine", func() {
			quarantined := 0
			for d.now < 90*time.Second {
				d.step()
				if late, wait := d.longestWait(); wait > 3*simulationStep {
					So(fmt.Sprintf("%s waits for %v at %v", late.id(), wait, d.now), ShouldBeEmpty)
				}
				for _, w := range d.sortedWorkers {
					if w.health.quarantined(at(d.now)) {
						quarantined++
					}
				}
			}
			So(quarantined, ShouldBeLessThan, 4*int(2*time.Second/simulationStep))
		})
	})
}

// Guards against a sound task that waits without bound while there is room, because of the failures and stalls of other jobs, whatever their
// sequence.
func TestSoundTasksWithRoomStartWhateverFails(t *testing.T) {
	const bound = quarantineWait + 3*simulationStep
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 9))
			failShare := map[string]float64{} // by job
			slow := map[string]time.Duration{}
			d := newFailureSimulation(1+random.IntN(6), func(s Start) time.Duration {
				return 20*time.Millisecond + time.Duration(random.Int64N(int64(slow[s.Task.Job])))
			}, func(s Start) bool { return random.Float64() < failShare[s.Task.Job] })
			n := 0
			arrive := func(step workload.Step, share float64, maxRun time.Duration) {
				n++
				id := fmt.Sprintf("j%d", n)
				failShare[id], slow[id] = share, maxRun
				spec := d.job(id, at(d.now), step)
				spec.Queue.MaxAttempts = random.IntN(3) * 2 // 0: no limit
				d.AddJob(at(d.now), spec, nil, false)
			}
			for range 3 + random.IntN(3) {
				arrive(service(1+random.IntN(2)), 1, time.Second)
			}
			arrive(service(1), 0.5, 20*time.Second)
			for d.now < 60*time.Second {
				switch random.IntN(100) {
				case 0:
					arrive(simpleStep(1+random.IntN(3)), 1, time.Second)
				case 1:
					arrive(simpleStep(1), random.Float64(), 2*time.Second)
				case 2:
					arrive(simpleStep(1), 0, time.Second)
				case 3:
					gang := simpleStep(2)
					gang.Gang = true
					arrive(gang, random.Float64(), time.Second)
				case 4:
					if random.IntN(4) == 0 {
						step := simpleStep(1 + random.IntN(2))
						step.Gang = random.IntN(2) == 0
						arrive(step, 0, time.Hour) // no progress
					}
				}
				d.step()
				late, wait := d.longestWait()
				if late == nil {
					continue
				}
				if limit := bound; wait > limit || late.unit.step.LongRunning && wait > preemptionWait+3*simulationStep {
					t.Fatalf("%s waits for %v at %v, workers: %+v", late.id(), wait, d.now, d.healths())
				}
			}
		})
	}
}

func (d *failureSimulation) healths() []health {
	var out []health
	for _, w := range d.sortedWorkers {
		out = append(out, w.health)
	}
	return out
}

// Guards against workers that fail everything they start and are not avoided, because jobs that fail there are held to be the cause.
func TestWorkersThatFailEverythingAreAvoided(t *testing.T) {
	for _, sick := range []int{1, 2} {
		Convey(fmt.Sprintf("Given %d workers out of six that fail everything, and services and other jobs", sick), t, func() {
			random := rand.New(rand.NewPCG(2, 2))
			isSick := func(id string) bool { return id < fmt.Sprintf("w%d", sick) }
			startsThere, starts := 0, 0
			d := newFailureSimulation(6, func(s Start) time.Duration {
				starts++
				if isSick(s.Worker.ID) {
					startsThere++
					return 300 * time.Millisecond
				}
				if s.Task.Job[0] == 's' {
					return time.Hour
				}
				return 500*time.Millisecond + time.Duration(random.IntN(1500))*time.Millisecond
			}, func(s Start) bool { return isSick(s.Worker.ID) || random.IntN(100) < 3 })
			for i := range 4 {
				d.AddJob(t0, d.job(fmt.Sprintf("service%d", i), t0, service(1)), nil, false)
			}
			for n := 0; d.now < 60*time.Second; d.step() {
				if d.now%(400*time.Millisecond) == 0 {
					n++
					d.AddJob(at(d.now), d.job(fmt.Sprint(n), at(d.now), simpleStep(3)), nil, false)
				}
			}
			Convey("The services run elsewhere, and few of the starts go to the failing workers", func() {
				for i := range 4 {
					p := d.jobs[fmt.Sprintf("service%d", i)].occurrences[0].units[0].tasks.peek(0).placement
					So(p, ShouldNotBeNil)
					So(isSick(p.worker.info.ID), ShouldBeFalse)
				}
				t.Logf("%d of %d starts on failing workers", startsThere, starts)
				So(startsThere*10, ShouldBeLessThan, starts)
			})
		})
	}
}

// Guards against tasks that wait for the end of a long quarantine although no other worker can run them, and against spending the attempts
// of tasks on a quarantined worker that others will have room for.
func TestTaskThatOnlyAQuarantinedWorkerCanRun(t *testing.T) {
	Convey("Given a worker in a long quarantine, which has a label, and another one without it", t, func() {
		f := newFixture(1, 2)
		info := f.workers["w0"].info
		info.Labels = []string{"gpu"}
		f.UpsertWorker(t0, info)
		h := &f.workers["w0"].health
		h.quarantines = 3
		for _, id := range []string{"a", "b", "c"} {
			h.failed(t0, id)
		}
		So(h.quarantined(at(15*time.Second)), ShouldBeTrue)
		const bound = quarantineWait + 3*simulationStep
		// startsAfter returns how long it takes from the first plan until a task starts on the quarantined worker, or a minute.
		startsAfter := func() time.Duration {
			for waited := time.Duration(0); waited < 14*time.Second; waited += simulationStep {
				now := at(100*time.Millisecond + waited)
				for _, s := range f.plan(now).Starts {
					if s.Worker.ID == "w0" {
						return waited
					}
				}
				for _, r := range f.nextAdviceRequests(now) {
					f.HandleAdvice(now, AdviceResult{Step: r.Step, RequestedWorkers: r.Workers, Validity: time.Second,
						Approved: []Approval{{Worker: r.Workers[0], Ticket: "t"}}})
				}
			}
			return time.Minute
		}
		labelled := simpleStep(4)
		labelled.Requirement = "gpu"
		Convey("A long-running task starts there at once", func() {
			labelled.LongRunning = true
			f.AddJob(t0, f.job("j", t0, labelled), nil, false)
			So(startsAfter(), ShouldBeLessThanOrEqualTo, 3*simulationStep)
		})
		for name, policy := range map[string]*queues.PolicyService{"without tickets": nil, "with tickets": {Base: 50 * time.Millisecond}} {
			Convey("A task of a queue "+name+" starts there after a while", func() {
				f.queue.PolicyService = policy
				f.AddJob(t0, f.job("j", t0, labelled), nil, false)
				So(startsAfter(), ShouldBeBetweenOrEqual, quarantineWait, bound)
			})
			Convey("So does one of a queue "+name+" while headroom is kept and no other worker is left", func() {
				f.queue.PolicyService = policy
				f.servicePool(testService).headroom("").share = maxHeadroomShare
				f.DelistWorker("w1")
				f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, false)
				So(startsAfter(), ShouldBeLessThanOrEqualTo, bound)
			})
		}
		Convey("So does a task that the other worker has no room for, while less than half of the capacity is in use", func() {
			f.AddJob(t0, f.job("services", t0, service(4)), nil, false)
			f.plan(t0)
			wide := simpleStep(1)
			wide.Resources.CPUMilli = 4000
			f.AddJob(t0, f.job("j", t0, wide), nil, false)
			So(startsAfter(), ShouldBeBetweenOrEqual, quarantineWait, bound)
		})
		Convey("A long-running task for which another run is stopped starts on the other worker", func() {
			f.AddJob(t0, f.job("batch", t0, simpleStep(5)), nil, false)
			f.plan(t0)
			f.AddJob(t0, f.job("j", t0, service(1)), nil, false)
			stops := f.plan(at(100 * time.Millisecond)).Stops
			So(stops, ShouldHaveLength, 1)
			So(f.plan(at(200*time.Millisecond)).Starts, ShouldBeEmpty)
			for _, s := range f.starts {
				if s.Task == stops[0].Task {
					f.end(s, EndStopped, at(300*time.Millisecond))
				}
			}
			starts := f.plan(at(300 * time.Millisecond)).Starts
			So(starts, ShouldHaveLength, 1)
			So(starts[0].Worker.ID, ShouldEqual, "w1")
		})
		Convey("So does a gang that needs both workers", func() {
			gang := simpleStep(2)
			gang.Gang, gang.MaxPerWorker = true, 1
			f.AddJob(t0, f.job("j", t0, gang), nil, false)
			So(startsAfter(), ShouldBeLessThanOrEqualTo, bound)
		})
		Convey("Only one task of a step starts there, and its success ends the quarantine", func() {
			f.AddJob(t0, f.job("j", t0, labelled), nil, false)
			startsAfter()
			So(f.plan(at(3*time.Second)).Starts, ShouldBeEmpty)
			f.end(f.starts[0], EndDone, at(4*time.Second))
			So(f.plan(at(4*time.Second)).Starts, ShouldHaveLength, 3)
		})
		Convey("A task that the other worker can run waits for room there while half of the capacity is in use", func() {
			f.AddJob(t0, f.job("long", t0, simpleStep(5)), nil, false)
			f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, false)
			So(startsAfter(), ShouldEqual, time.Minute)
		})
	})
}

// Guards against tasks that make no progress anywhere and close one worker after the other, and against workers on which nothing makes
// progress and that are not avoided.
func TestStalledRunsAreWeighed(t *testing.T) {
	Convey("Given runs of a job that make no progress on all workers", t, func() {
		f := newFixture(1, 3)
		step := simpleStep(3)
		step.MaxPerWorker = 1
		f.AddJob(t0, f.job("j", t0, step), nil, false)
		So(f.plan(t0).Starts, ShouldHaveLength, 3)
		stalledOn := func(ids ...string) {
			for now := 500 * time.Millisecond; now <= 4*time.Second; now += 500 * time.Millisecond {
				for id, active := range f.active {
					for i := range active {
						if active[i].Percent = int(now / (100 * time.Millisecond)); slices.Contains(ids, id) {
							active[i].Percent = 0
						}
					}
					f.report(id, at(now))
				}
			}
			f.plan(at(4 * time.Second))
		}
		quarantined := func() []string {
			var ids []string
			for _, w := range f.sortedWorkers {
				if w.health.quarantined(at(4 * time.Second)) {
					ids = append(ids, w.info.ID)
				}
			}
			return ids
		}
		Convey("No worker is quarantined", func() {
			stalledOn("w0", "w1", "w2")
			So(quarantined(), ShouldBeEmpty)
		})
		Convey("One on which alone they make none is", func() {
			stalledOn("w1")
			So(quarantined(), ShouldResemble, []string{"w1"})
		})
	})
}

// Guards against workers that are quarantined because each of their services has failed at some time, as services never end as done.
func TestServicesThatLastProveTheirWorkerSound(t *testing.T) {
	Convey("Given a worker with services that fail one after the other", t, func() {
		f := newFixture(1, 1)
		for i := range quarantineThreshold + 1 {
			f.AddJob(t0, f.job(fmt.Sprint(i), t0, service(1)), nil, false)
		}
		starts := f.plan(t0).Starts
		So(starts, ShouldHaveLength, quarantineThreshold+1)
		failAll := func(after time.Duration) bool {
			for now := time.Duration(0); now <= after; now += 500 * time.Millisecond {
				f.report("w0", at(now))
			}
			for i, s := range starts {
				f.end(s, EndFailed, at(after+time.Duration(i)*100*time.Millisecond))
			}
			return f.workers["w0"].health.quarantined(at(after + time.Second))
		}
		Convey("It is not quarantined if they fail after a while", func() {
			So(failAll(soundRunTime+time.Second), ShouldBeFalse)
		})
		Convey("It is if they fail at once", func() {
			So(failAll(500*time.Millisecond), ShouldBeTrue)
		})
	})
}

// Guards against a task that waits without bound because a worker has crashed once just after its start: it keeps away from workers that
// have just started other runs, which on busy ones is always.
func TestSuspectedTaskOnBusyWorkersStarts(t *testing.T) {
	for _, step := range []workload.Step{simpleStep(1), service(1)} {
		Convey(fmt.Sprintf("Given four workers that start a run each 100 ms and have room, and a suspected task, long-running %t", step.LongRunning), t, func() {
			d := newSimulation(4, func(Start) time.Duration { return 300 * time.Millisecond })
			arrive := func(now time.Duration) {
				if now%(100*time.Millisecond) == 0 {
					small := simpleStep(4)
					small.MaxPerWorker, small.Resources.CPUMilli = 1, 1000
					d.AddJob(at(now), d.job(now.String(), at(now), small), nil, false)
				}
			}
			d.run(time.Second, arrive)
			d.AddJob(at(d.now), d.job("suspected", at(d.now), step), nil, false)
			e := &d.jobs["suspected"].occurrences[0].units[0].tasks.get(0).evidence
			e.Crashes, e.Weight = 1, startWeight
			Convey("It starts, but not before it has looked for a worker on which a crash would be its own for a while", func() {
				d.run(20*time.Second, arrive)
				So(d.started["suspected"], ShouldBeBetweenOrEqual, time.Second+maxProbation, time.Second+maxProbation+3*simulationStep)
			})
		})
	}
}
