package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

const otherService = "desk"

// addWorkerOf adds a worker of a service with these labels.
func (f *fixture) addWorkerOf(service, id string, now time.Time, cpuMilli int64, labels ...string) {
	f.UpsertWorker(now, WorkerInfo{ID: id, Service: service, Address: id, Rack: "r1", Labels: labels,
		Capacity: workload.Resources{CPUMilli: cpuMilli, MemoryMB: 1 << 20}, Incarnation: 1})
	f.report(id, now)
}

// queueJob hands in a job of one step to a queue.
func (f *fixture) queueJob(id string, now time.Time, q queues.Queue, step workload.Step) {
	f.AddJob(now, &workload.Spec{ID: id, Queue: q, Steps: []workload.Step{step}, Accepted: now}, nil, false)
}

func urgentQueue(service string) queues.Queue {
	return queues.Queue{Name: "urgent-" + service, Service: service, MaxAttempts: 3, SlackFactor: 2, TargetLatency: 250 * time.Millisecond}
}

func ordinaryQueue(service string) queues.Queue {
	return queues.Queue{Name: "ordinary-" + service, Service: service, MaxAttempts: 3, SlackFactor: 2, TargetLatency: 3 * time.Second, Priority: 1}
}

func coresStep(count int, cores int64) workload.Step {
	return workload.Step{Count: count, Resources: workload.Resources{CPUMilli: 1000 * cores, MemoryMB: 100}, Estimate: time.Second}
}

func lastingStep(count int, cores int64) workload.Step {
	s := coresStep(count, cores)
	s.LongRunning = true
	return s
}

// startsOfJob returns the starts of a plan that belong to a job.
func startsOfJob(p Plan, id string) []Start {
	var out []Start
	for _, s := range p.Starts {
		if s.Task.Job == id {
			out = append(out, s)
		}
	}
	return out
}

// Guards against a job that never starts although its service is idle: the room of its workers counted as the reserve for urgent tasks of
// another service, which can't run there. The same within a service, for workers without the label that urgent tasks require.
func TestRoomThatUrgentTasksCannotUseIsNotReserved(t *testing.T) {
	for name, c := range map[string]struct {
		idle, label string // of the idle workers
	}{"of another service": {otherService, "plain"}, "without the label": {testService, "plain"}} {
		Convey("Given urgent tasks that last, on workers that are nearly full, and an idle worker "+name, t, func() {
			f := newFixture(1, 0)
			for i := range 13 {
				f.addWorkerOf(testService, fmt.Sprintf("b%02d", i), t0, 16_000, "fast")
			}
			f.addWorkerOf(c.idle, "d", t0, 16_000, c.label)
			urgent, ordinary := lastingStep(9, 4), lastingStep(77, 2)
			urgent.Requirement, ordinary.Requirement = "fast", "fast"
			f.queueJob("u", t0, urgentQueue(testService), urgent)
			f.queueJob("o", t0, ordinaryQueue(testService), ordinary)
			So(f.plan(t0).Starts, ShouldHaveLength, 86)
			Convey("A job for that worker starts at once", func() {
				short := coresStep(1, 1)
				short.Requirement = "plain"
				f.queueJob("s", at(time.Second), ordinaryQueue(c.idle), short)
				So(startsOfJob(f.plan(at(time.Second)), "s"), ShouldHaveLength, 1)
			})
			Convey("Another job leaves the others alone", func() {
				f.queueJob("s", at(time.Second), ordinaryQueue(testService), coresStep(20, 1))
				for _, s := range startsOfJob(f.plan(at(time.Second)), "s") {
					So(s.Worker.ID, ShouldEqual, "d")
				}
			})
		})
	}
}

// Guards against a gang that makes no room for itself because gangs of another service wait for room there.
func TestNominationsOfOneServiceCountAlone(t *testing.T) {
	Convey("Given nominated gangs on most workers of one service", t, func() {
		f := newFixture(1, 0)
		for i := range 6 {
			f.addWorkerOf(testService, fmt.Sprintf("b%d", i), t0, 4_000)
		}
		f.addWorkerOf(otherService, "d", t0, 4_000)
		filling, gang := coresStep(6, 4), coresStep(6, 4)
		filling.Checkpointing, gang.Gang = true, true
		filling.Estimate = time.Minute
		late, first := ordinaryQueue(testService), urgentQueue(testService)
		f.queueJob("fill", t0, late, filling)
		deskFill := coresStep(1, 4)
		deskFill.Checkpointing, deskFill.Estimate = true, time.Minute
		f.queueJob("deskfill", t0, ordinaryQueue(otherService), deskFill)
		So(f.plan(t0).Starts, ShouldHaveLength, 7)
		f.queueJob("gang", t0, first, gang)
		f.plan(at(3 * time.Second))
		So(f.workersHeld(testService), ShouldEqual, 6)
		Convey("A gang of the other service gets room there", func() {
			one := coresStep(1, 4)
			one.Gang = true
			f.queueJob("deskgang", t0, urgentQueue(otherService), one)
			f.plan(at(3100 * time.Millisecond))
			So(f.workersHeld(otherService), ShouldEqual, 1)
		})
	})
}

// Guards against units of one service that wait for the policy service behind all those of another one.
func TestAdviceIsAskedForServicesInTurn(t *testing.T) {
	Convey("Given many units of one service, and then one of another, that need advice", t, func() {
		f := newFixture(1, 0)
		for _, service := range []string{testService, otherService} {
			f.addWorkerOf(service, "w-"+service, t0, 16_000)
		}
		for _, service := range []string{testService, otherService} {
			q := ordinaryQueue(service)
			q.PolicyService = &queues.PolicyService{Base: 10 * time.Millisecond}
			if service == testService {
				q.Priority = 0
				for i := range 20 {
					f.queueJob(fmt.Sprintf("b%02d", i), t0, q, coresStep(1, 1))
				}
			} else {
				f.queueJob("d", t0, q, coresStep(1, 1))
			}
		}
		f.commit()
		f.Plan(t0)
		var asked []string
		for range 2 {
			for _, r := range f.NextAdviceRequests(t0, 1, 1) {
				asked = append(asked, r.Step.Job)
			}
		}
		So(asked, ShouldContain, "d")
	})
}

// Guards against anything that one service's jobs and workers do to a job of an idle service: with room for it, it starts as if it were alone.
func TestJobOfAnIdleServiceStartsAsIfAlone(t *testing.T) {
	const (
		seeds = 40
		steps = 60
	)
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 12))
			f := newFixture(1, 0)
			busy := 3 + random.IntN(10)
			for i := range busy {
				f.addWorkerOf(testService, fmt.Sprintf("b%02d", i), t0, 16_000)
			}
			f.addWorkerOf(otherService, "d", t0, 16_000)
			var running []Start
			for n := range steps {
				now := at(time.Duration(n) * 150 * time.Millisecond)
				f.AdaptStarts(now, random.Float64()*1.5)
				for range random.IntN(4) {
					q := []queues.Queue{urgentQueue(testService), ordinaryQueue(testService)}[random.IntN(2)]
					step := coresStep(1+random.IntN(30), int64(1+random.IntN(6)))
					step.LongRunning = random.IntN(4) == 0
					step.Gang = !step.LongRunning && random.IntN(3) == 0
					f.queueJob(fmt.Sprintf("b%d-%d", n, random.Uint32()), now, q, step)
				}
				for _, id := range []string{"b00", "b01", "d"} {
					f.report(id, now)
				}
				if n%3 == 0 {
					id := fmt.Sprintf("d%d", n)
					f.queueJob(id, now, ordinaryQueue(otherService), coresStep(1, 1))
					p := f.plan(now)
					starts := startsOfJob(p, id)
					if len(starts) != 1 {
						t.Fatalf("step %d: %d starts of the job of the idle service", n, len(starts))
					}
					f.end(starts[0], EndDone, now.Add(50*time.Millisecond))
					running = append(running, withoutJob(p.Starts, id)...)
				} else {
					running = append(running, f.plan(now).Starts...)
				}
				for range min(random.IntN(12), len(running)) {
					i := random.IntN(len(running))
					reason := []EndReason{EndDone, EndFailed, EndFailed}[random.IntN(3)]
					f.end(running[i], reason, now.Add(100*time.Millisecond))
					running = append(running[:i:i], running[i+1:]...)
				}
				if random.IntN(10) == 0 {
					f.MarkUnreachable(now, fmt.Sprintf("b%02d", random.IntN(busy)), now.Add(time.Second))
				}
			}
		})
	}
}

// Guards against a job that has nothing running for 3 s, with room for it twice over and most of its service idle, because that room is kept for
// urgent tasks that require the same label.
func TestHeadroomHoldsNoJobBackForLong(t *testing.T) {
	Convey("Given few workers with a label, whose free room is kept for urgent tasks, and many idle ones without it", t, func() {
		f := newFixture(1, 0)
		f.addWorkerOf(testService, "a", t0, 20_000, "fast")
		for i := range 4 {
			f.addWorkerOf(testService, fmt.Sprintf("b%d", i), t0, 20_000, "plain")
		}
		urgent, ordinary, short := lastingStep(1, 4), lastingStep(1, 13), coresStep(1, 1)
		urgent.Requirement, ordinary.Requirement, short.Requirement = "fast", "fast", "fast"
		f.queueJob("u", t0, urgentQueue(testService), urgent)
		f.queueJob("o", t0, ordinaryQueue(testService), ordinary)
		So(f.plan(t0).Starts, ShouldHaveLength, 2)
		Convey("A job with that label starts within 2 s and a plan", func() {
			f.queueJob("s", at(time.Second), ordinaryQueue(testService), short)
			var waited time.Duration
			for len(startsOfJob(f.plan(at(time.Second+waited)), "s")) == 0 && waited < 5*time.Second {
				waited += 100 * time.Millisecond
				f.report("a", at(time.Second+waited))
			}
			So(waited, ShouldBeBetweenOrEqual, headroomWait, headroomWait+100*time.Millisecond)
		})
	})
}

// Guards against ordinary tasks of one service that count as urgent, and keep room, because stops take long on the workers of another one.
func TestStopLatencyElsewhereMakesNothingUrgent(t *testing.T) {
	Convey("Given workers of one service that take 5 s to stop a run", t, func() {
		f := newFixture(1, 0)
		f.addWorkerOf(testService, "b", t0, 16_000)
		f.addWorkerOf(otherService, "d", t0, 16_000)
		for i := range 30 {
			id, now := fmt.Sprintf("b%d", i), at(time.Duration(i)*10*time.Second)
			f.queueJob(id, now, ordinaryQueue(testService), coresStep(1, 1))
			s := startsOfJob(f.plan(now), id)[0]
			f.Cancel(now, id)
			f.plan(now)
			f.end(s, EndStopped, now.Add(5*time.Second))
		}
		Convey("A queue of the other service with a target of 3 s is not urgent", func() {
			now := at(time.Hour)
			f.queueJob("d", now, ordinaryQueue(otherService), coresStep(1, 1))
			So(startsOfJob(f.plan(now), "d"), ShouldHaveLength, 1)
			So(f.workers["d"].urgentUses, ShouldBeEmpty)
		})
	})
}

// Guards against jobs of one service that are ordered by the use of their teams because another service is full.
func TestFullServiceOrdersNoOther(t *testing.T) {
	Convey("Given a full service, and a team that uses most of it", t, func() {
		f := newFixture(1, 0)
		f.addWorkerOf(testService, "b", t0, 16_000)
		f.addWorkerOf(otherService, "d", t0, 16_000)
		f.SetQueues(&queues.Config{Teams: []queues.Team{{Name: "heavy", Weight: 1}, {Name: "light", Weight: 1}}})
		add := func(id, team string, q queues.Queue, step workload.Step) {
			f.AddJob(t0, &workload.Spec{ID: id, Queue: q, Team: team, Steps: []workload.Step{step}, Accepted: t0}, nil, false)
		}
		add("b", "heavy", ordinaryQueue(testService), lastingStep(20, 1))
		add("l", "light", ordinaryQueue(otherService), lastingStep(1, 1))
		So(f.plan(t0).Starts, ShouldHaveLength, 17)
		add("d", "heavy", ordinaryQueue(otherService), coresStep(1, 1))
		f.commit()
		u := f.jobs["d"].occurrences[0].units[0]
		Convey("Its job of the other service keeps its place in the order there", func() {
			f.Plan(t0)
			So(f.aboveFairShare(u, t0), ShouldBeFalse)
		})
	})
}

// workersHeld returns the number of workers of a service with resources that are held for gangs.
func (f *fixture) workersHeld(service string) int {
	n := 0
	for _, w := range f.sortedWorkers {
		if w.info.Service == service && w.held != (workload.Resources{}) {
			n++
		}
	}
	return n
}

// withoutJob returns the starts that do not belong to a job.
func withoutJob(starts []Start, id string) []Start {
	var out []Start
	for _, s := range starts {
		if s.Task.Job != id {
			out = append(out, s)
		}
	}
	return out
}
