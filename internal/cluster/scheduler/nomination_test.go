package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// wideGangClasses is a load of nine tenths of 100 workers: half of it are gangs of 1 to 39 members, a third is less urgent
// work that resumes from checkpoints, the rest short urgent jobs.
func wideGangClasses() []jobClass {
	validity := 1500 * time.Millisecond
	return []jobClass{
		{loadQueue("urgent", 0, 1.5, 250*time.Millisecond), 31, 3, 9900, false, 800 * time.Millisecond, 0.7, false,
			queues.PolicyService{Base: 12 * time.Millisecond, PerWorker: 170 * time.Microsecond, Validity: validity}},
		{loadQueue("small", 2, 4, 3*time.Second), 5.3, 25, 6900, false, 2200 * time.Millisecond, 0.45, true,
			queues.PolicyService{Base: 104 * time.Millisecond, PerWorker: 1430 * time.Microsecond, Validity: validity}},
		{loadQueue(gangQueue, 1, 2.2, time.Second), 1.6, 20, 18_000, true, 5000 * time.Millisecond, 0.25, false,
			queues.PolicyService{Base: 559 * time.Millisecond, PerWorker: 8060 * time.Microsecond, Validity: validity}},
	}
}

// countStarted adds the jobs that arrived between from and until to total, by queue, and those that started by their latest start
// to inTime.
func (l *fleetSimulation) countStarted(from, until time.Duration, total, inTime map[string]float64) {
	for _, a := range l.arrivals {
		if a.at < from || a.at >= until {
			continue
		}
		total[a.queue]++
		if started, ok := l.started[a.id]; ok && started <= a.latestStart {
			inTime[a.queue]++
		}
	}
}

func newWideGangSimulation(seed uint64) *fleetSimulation {
	return newFleetSimulation(seed, 100, 12, workload.Resources{CPUMilli: 64_000, MemoryMB: 256_000}, wideGangClasses())
}

// Guards against gangs that starve while a third of the pool is idle: small tasks of a less urgent queue take each place as soon
// as it is free, so a wide gang never finds enough places at the same time.
func TestWideGangsBesideSmallTasks(t *testing.T) {
	Convey("Given a pool with a load of nine tenths, half of it gangs whose workers need approval", t, func() {
		total, inTime := map[string]float64{}, map[string]float64{}
		for seed := range uint64(3) {
			l := newWideGangSimulation(seed + 1)
			l.simulate(40*time.Second, 1)
			l.countStarted(5*time.Second, 30*time.Second, total, inTime)
		}
		Convey("Nine in ten gangs start in time for their objective", func() {
			So(inTime[gangQueue]/total[gangQueue], ShouldBeGreaterThanOrEqualTo, 0.9)
		})
		Convey("So do nine in ten jobs of the other queues", func() {
			So(inTime["urgent"]/total["urgent"], ShouldBeGreaterThanOrEqualTo, 0.9)
			So(inTime["small"]/total["small"], ShouldBeGreaterThanOrEqualTo, 0.9)
		})
	})
}

// Guards against workers that get more than they have, and against resources that stay held for gangs which have started, ended
// or given up. The load exceeds the pool, and then ends.
func TestHeldResourcesInOverload(t *testing.T) {
	Convey("Given a pool with a load of 1.3 times its capacity", t, func() {
		l := newWideGangSimulation(1)
		for l.now < 20*time.Second {
			l.addJobs(1.5)
			l.step()
			l.answerQuestions()
			for _, w := range l.sortedWorkers {
				if !w.info.Capacity.CanFit(w.used) {
					t.Fatalf("worker %s has %v in use at %s", w.info.ID, w.used, l.now)
				}
			}
		}
		Convey("Nothing is held once all jobs have ended", func() {
			l.simulate(200*time.Second, 0)
			So(l.open, ShouldBeEmpty)
			for _, w := range l.sortedWorkers {
				So(w.held, ShouldResemble, workload.Resources{})
				So(w.used, ShouldResemble, workload.Resources{})
				So(w.urgentUses, ShouldBeEmpty)
			}
		})
	})
}

// newGangBesideSmall returns a pool of two workers that a step of ten tasks fills, as changed by the test, and a more urgent gang
// that needs one of the workers.
func newGangBesideSmall(change func(small *workload.Step, queue *queues.Queue)) *fixture {
	f := newFixture(1, 2)
	f.queue.Priority, f.queue.SlackFactor = 2, 10
	small := simpleStep(10)
	small.Checkpointing = true
	change(&small, &f.queue)
	f.AddJob(t0, f.job("small", t0, small), nil, false)
	So(f.plan(t0).Starts, ShouldHaveLength, 10)
	for _, w := range []string{"w0", "w1"} {
		f.report(w, at(100*time.Millisecond))
	}
	f.queue.Priority, f.queue.SlackFactor = 1, 2 // the gang has to start by 2.2 s
	gang := simpleStep(5)
	gang.Gang = true
	f.AddJob(at(200*time.Millisecond), f.job("gang", at(200*time.Millisecond), gang), nil, false)
	return f
}

// Guards against preemption that loses work, makes a job late, comes before it is needed or serves a job that is no more urgent,
// and against other tasks that take the room that was made.
func TestPreemptionForGangs(t *testing.T) {
	now := at(1300 * time.Millisecond) // the gang has used up half of its slack
	Convey("Given a pool full of less urgent tasks that resume from checkpoints", t, func() {
		f := newGangBesideSmall(func(*workload.Step, *queues.Queue) {})
		So(f.plan(at(1100*time.Millisecond)).Stops, ShouldBeEmpty)
		stops := f.plan(now).Stops
		So(stops, ShouldHaveLength, 5)
		Convey("A gang starts where five of them have been stopped, although a more urgent job came meanwhile", func() {
			f.queue.Priority = 0
			f.AddJob(now, f.job("urgent", now, simpleStep(1)), nil, false)
			for _, s := range stops {
				f.end(Start{Task: s.Task, Run: s.Run, Worker: s.Worker}, EndStopped, at(1500*time.Millisecond))
			}
			f.commit()
			starts := f.PlanChanged(at(500 * time.Millisecond)).Starts
			So(starts, ShouldHaveLength, 5)
			for _, s := range starts {
				So(s.Task.Job, ShouldEqual, "gang")
			}
		})
		Convey("If the gang is cancelled, the stopped tasks get their places back", func() {
			f.Cancel(now, "gang")
			for _, s := range stops {
				f.end(Start{Task: s.Task, Run: s.Run, Worker: s.Worker}, EndStopped, at(1500*time.Millisecond))
			}
			So(f.plan(at(1500*time.Millisecond)).Starts, ShouldHaveLength, 5)
		})
	})
	for name, change := range map[string]func(*workload.Step, *queues.Queue){
		"would lose their work":      func(s *workload.Step, _ *queues.Queue) { s.Checkpointing = false },
		"are as urgent as the gang":  func(_ *workload.Step, q *queues.Queue) { q.Priority = 1 },
		"would make their jobs late": func(_ *workload.Step, q *queues.Queue) { q.SlackFactor, q.TargetLatency = 1, time.Millisecond },
	} {
		Convey("Tasks that "+name+" are not stopped", t, func() {
			f := newGangBesideSmall(change)
			So(f.plan(now).Stops, ShouldBeEmpty)
		})
	}
}

// Guards against a gang whose calls to the policy service name so many workers that the first tickets have expired before the
// last ones are answered.
func TestWideGangAsksThroughSeveralHosts(t *testing.T) {
	Convey("Given a gang that needs places on 150 of 200 workers", t, func() {
		f := newFixture(1, 200)
		f.queue.PolicyService = &queues.PolicyService{Base: 560 * time.Millisecond, PerWorker: 8 * time.Millisecond, Validity: 1500 * time.Millisecond}
		f.approvalCounts["q"] = &approvalCount{asked: 100, approved: 100}
		gang := simpleStep(750)
		gang.Gang = true
		f.AddJob(t0, f.job("gang", t0, gang), nil, false)
		f.plan(t0)
		Convey("It asks through all hosts at once, and each call ends while the tickets of the others are valid", func() {
			requests := f.NextAdviceRequests(t0, 10, 8)
			So(requests, ShouldHaveLength, 8)
			asked := 0
			for _, r := range requests {
				asked += len(r.Workers)
				So(r.ExpectedDuration, ShouldBeLessThan, time.Second)
			}
			So(asked, ShouldEqual, 200)
			for _, r := range requests {
				So(f.NextAdviceRequests(t0, 10, 8), ShouldBeEmpty)
				f.HandleAdvice(at(time.Second), AdviceResult{Step: r.Step, RequestedWorkers: r.Workers, Approved: approveAll(r), Validity: 1500 * time.Millisecond})
			}
			So(f.plan(at(time.Second)).Starts, ShouldHaveLength, 750)
		})
		Convey("With one free host it sends one call", func() {
			So(f.NextAdviceRequests(t0, 1, 1), ShouldHaveLength, 1)
		})
	})
}

func approveAll(r AdviceRequest) []Approval {
	var out []Approval
	for _, w := range r.Workers {
		out = append(out, Approval{w, "t"})
	}
	return out
}
