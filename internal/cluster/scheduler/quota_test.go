package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// limitTeam puts a configuration into force in which the team may use so many processors, in thousandths of a core.
func (f *fixture) limitTeam(name string, cpu int64) {
	f.SetQueues(&queues.Config{Teams: []queues.Team{{Name: name, Quota: queues.Quota{CPUMilli: cpu}}}})
}

func (f *fixture) teamJob(id, team string, now time.Time, steps ...workload.Step) *workload.Spec {
	spec := f.job(id, now, steps...)
	spec.Team = team
	return spec
}

// Guards against starts that bring a team above its limit while workers are free, and against a team that waits for the next complete plan
// after its quota has room.
func TestQuotaLimitsStarts(t *testing.T) {
	Convey("Given a team whose limit is three tasks, with two jobs of two tasks, and a job without a team", t, func() {
		f := newFixture(1, 2)
		f.limitTeam("kaje80", 6000)
		for i := range 2 {
			f.AddJob(t0, f.teamJob(fmt.Sprintf("j%d", i), "kaje80", t0, simpleStep(2)), nil, false)
		}
		f.AddJob(t0, f.job("other", t0, simpleStep(2)), nil, false)
		starts := f.plan(t0).Starts
		Convey("three tasks of the team start, and both of the other job", func() {
			So(starts, ShouldHaveLength, 5)
			So(f.Dump(t0).Waiting, ShouldHaveLength, 1)
			So(f.Dump(t0).Waiting[0].Reason, ShouldEqual, "team is at its quota")
			So(f.Dump(t0).Teams[0].Used.CPUMilli, ShouldEqual, 6000)
			So(f.TeamsAtQuota(), ShouldEqual, 1)
			waits := f.TakeQuotaWaits()
			So(waits, ShouldHaveLength, 1)
			So(waits[0].Waiting, ShouldEqual, 1)
		})
		Convey("the last one starts with the plan for changes after the end of one of them", func() {
			f.end(starts[0], EndDone, at(10*time.Millisecond))
			So(f.PlanChanged(at(10*time.Millisecond)).Starts, ShouldHaveLength, 1)
		})
		Convey("a rejected start releases its quota", func() {
			f.AddJob(t0, f.teamJob("last", "kaje80", t0, simpleStep(1)), nil, false)
			f.end(starts[0], EndDone, at(10*time.Millisecond))
			again := f.PlanChanged(at(10 * time.Millisecond)).Starts[0]
			f.HandleStartResult(at(20*time.Millisecond), StartResult{Task: again.Task, Run: again.Run, Worker: again.Worker.ID, Outcome: RejectedOther})
			So(f.teams.byName["kaje80"].used.CPUMilli, ShouldEqual, 4000)
		})
		Convey("a lower limit stops nothing and starts nothing, and the team keeps it when the configuration drops it", func() {
			f.limitTeam("kaje80", 4000)
			f.SetQueues(&queues.Config{})
			f.end(starts[0], EndDone, at(10*time.Millisecond))
			p := f.plan(at(10 * time.Millisecond))
			So(p.Starts, ShouldBeEmpty)
			So(p.Stops, ShouldBeEmpty)
			f.end(starts[1], EndDone, at(20*time.Millisecond))
			So(f.plan(at(20*time.Millisecond)).Starts, ShouldHaveLength, 1)
		})
		Convey("a raised limit is used by the next plan", func() {
			f.limitTeam("kaje80", 8000)
			So(f.PlanChanged(at(10*time.Millisecond)).Starts, ShouldHaveLength, 1)
		})
	})
}

// Guards against jobs of a team that start before its limits are known.
func TestTeamWaitsForConfiguration(t *testing.T) {
	Convey("Given no configuration, a team's job starts once there is one", t, func() {
		f := newFixture(1, 1)
		f.AddJob(t0, f.teamJob("j", "kaje80", t0, simpleStep(1)), nil, false)
		So(f.plan(t0).Starts, ShouldBeEmpty)
		f.limitTeam("kaje80", 2000)
		So(f.plan(at(time.Millisecond)).Starts, ShouldHaveLength, 1)
	})
}

// Guards against parts of a gang that start because the rest is above the limit.
func TestQuotaStartsGangsWholeOrNot(t *testing.T) {
	Convey("Given a gang of three and a limit of four tasks of which two run, the gang starts once one of them has ended", t, func() {
		f := newFixture(1, 2)
		f.limitTeam("kaje80", 8000)
		f.AddJob(t0, f.teamJob("small", "kaje80", t0, simpleStep(2)), nil, false)
		starts := f.plan(t0).Starts
		gang := simpleStep(3)
		gang.Gang = true
		f.AddJob(t0, f.teamJob("gang", "kaje80", t0, gang), nil, false)
		So(f.plan(at(time.Millisecond)).Starts, ShouldBeEmpty)
		f.end(starts[0], EndDone, at(10*time.Millisecond))
		So(f.PlanChanged(at(10*time.Millisecond)).Starts, ShouldHaveLength, 3)
	})
}

// Guards against a gang that never starts because small tasks of its team take each part of the quota as soon as it is free. Load: small
// tasks that keep the team at its limit, and a gang that needs three quarters of it.
func TestGangNotStarvedByItsTeam(t *testing.T) {
	Convey("Given a team that small tasks keep at its quota, and workers with room", t, func() {
		d := newSimulation(4, func(s Start) time.Duration {
			return 300*time.Millisecond + time.Duration(s.Task.Index%7)*100*time.Millisecond
		})
		d.limitTeam("kaje80", 16_000)
		gang := simpleStep(6)
		gang.Gang = true
		n := 0
		d.run(6*time.Second, func(now time.Duration) {
			n++
			if n%4 == 0 {
				spec := d.spec(fmt.Sprintf("small-%d", n), 2, simpleStep(3))
				spec.Team = "kaje80"
				d.AddJob(at(now), spec, nil, false)
			}
			if n == 100 {
				spec := d.spec("gang", 1, gang)
				spec.Team = "kaje80"
				d.AddJob(at(now), spec, nil, false)
			}
		})
		Convey("the gang starts as soon as running tasks of its team have ended", func() {
			started, ok := d.started["gang"]
			So(ok, ShouldBeTrue)
			So(started-100*simulationStep, ShouldBeLessThanOrEqualTo, 1200*time.Millisecond)
		})
	})
}

// Guards against requests to the policy service, nominations, reservations and stops of other runs for units that could not start anyway.
func TestUnitsAtTheQuotaClaimNothing(t *testing.T) {
	Convey("Given a pool that is full, mostly of less urgent tasks", t, func() {
		f := newFixture(1, 2)
		f.limitTeam("kaje80", 4000)
		small := simpleStep(10)
		small.Checkpointing, small.Estimate = true, time.Minute
		f.queue.Priority = 2
		f.AddJob(t0, f.job("others", t0, small), nil, false)
		starts := f.plan(t0).Starts
		So(starts, ShouldHaveLength, 10)
		for id := range f.active {
			f.report(id, at(10*time.Millisecond))
		}
		f.queue.Priority = 1
		wide := simpleStep(3)
		Convey("a gang that is wider than the quota gets no room, however long it waits", func() {
			wide.Gang = true
			f.AddJob(t0, f.teamJob("gang", "kaje80", t0, wide), nil, false)
			for i := range 40 {
				So(f.plan(at(time.Duration(i)*100*time.Millisecond)).Stops, ShouldBeEmpty)
				So(f.reservations, ShouldBeEmpty)
			}
		})
		Convey("no more runs are stopped for several long-running steps than the quota lets start", func() {
			small, large := simpleStep(1), simpleStep(1)
			small.LongRunning, large.LongRunning, large.Resources.CPUMilli = true, true, 4000
			f.AddJob(t0, f.teamJob("small", "kaje80", t0, small), nil, false)
			f.AddJob(t0, f.teamJob("small2", "kaje80", t0, large), nil, false)
			So(f.plan(at(20*time.Millisecond)).Stops, ShouldHaveLength, 1) // none for the large one beside the small one
		})
		Convey("no more runs are stopped for a long-running step than the quota lets start", func() {
			wide.LongRunning = true
			f.AddJob(t0, f.teamJob("service", "kaje80", t0, wide), nil, false)
			f.AddJob(t0, f.teamJob("service2", "kaje80", t0, wide), nil, false)
			So(f.plan(at(20*time.Millisecond)).Stops, ShouldHaveLength, 1) // the next one only when that has ended
		})
	})
	Convey("Given a queue with a policy service, no request is sent for a unit of a team at its quota", t, func() {
		f := newFixture(1, 20)
		f.limitTeam("kaje80", 4000)
		f.queue.PolicyService = &queues.PolicyService{Base: 15 * time.Millisecond, PerWorker: 200 * time.Microsecond, Validity: 2 * time.Second}
		f.AddJob(t0, f.teamJob("a", "kaje80", t0, simpleStep(90)), nil, false)
		f.plan(t0)
		asked := f.nextAdviceRequests(t0)
		So(asked, ShouldHaveLength, 1)
		So(len(asked[0].Workers), ShouldBeLessThanOrEqualTo, minAskedWorkers) // for two tasks, not for ninety
		r := AdviceResult{Step: asked[0].Step, RequestedWorkers: asked[0].Workers, Validity: 2 * time.Second}
		for _, w := range asked[0].Workers {
			r.Approved = append(r.Approved, Approval{Worker: w, Ticket: "t"})
		}
		f.HandleAdvice(at(10*time.Millisecond), r)
		So(f.plan(at(10*time.Millisecond)).Starts, ShouldHaveLength, 2)
		f.AddJob(t0, f.teamJob("b", "kaje80", t0, simpleStep(1)), nil, false)
		f.plan(at(20 * time.Millisecond))
		So(f.nextAdviceRequests(at(20*time.Millisecond)), ShouldBeEmpty)
	})
}

// Guards against a successor that starts new jobs of a team while unreported runs of the earlier owner may use its quota.
func TestUncertainUseOfInheritedTasks(t *testing.T) {
	Convey("Given a successor, a team with two inherited tasks and a limit of three, and a worker that has not reported yet", t, func() {
		g := newFixture(2, 2)
		g.limitTeam("kaje80", 6000)
		g.AddUnresolvedWorker("w9", at(10*time.Second))
		g.AddJob(t0, g.teamJob("old", "kaje80", t0, simpleStep(2)), nil, true)
		g.AddJob(t0, g.teamJob("new", "kaje80", t0, simpleStep(2)), nil, false)
		So(g.plan(at(10*time.Millisecond)).Starts, ShouldHaveLength, 1)
		So(g.Dump(t0).Teams[0].Uncertain.CPUMilli, ShouldEqual, 4000)
		Convey("the use of the inherited tasks remains uncertain when their job is cancelled", func() {
			g.Cancel(at(20*time.Millisecond), "old")
			So(g.plan(at(20*time.Millisecond)).Starts, ShouldBeEmpty)
		})
		Convey("what the worker reports counts, and what it does not report is free", func() {
			g.active["w9"] = []ActiveRun{{Task: workload.TaskID{Job: "old"}, Run: 7}}
			g.addWorker("w9")
			So(g.plan(at(20*time.Millisecond)).Starts, ShouldHaveLength, 1)
			So(g.Dump(t0).Teams[0].Used.CPUMilli, ShouldEqual, 6000)
			So(g.Dump(t0).Teams[0].Uncertain.CPUMilli, ShouldEqual, 0)
		})
	})
}

// Guards against log lines about a team for each change of its use.
func TestQuotaWaitsAreLoggedSeldom(t *testing.T) {
	Convey("Given a team that is at its quota most of the time, its waits are noted at most every three seconds", t, func() {
		f := newFixture(1, 2)
		f.limitTeam("kaje80", 2000)
		notes := 0
		for i := range 60 {
			now := at(time.Duration(i) * 100 * time.Millisecond)
			if i%2 == 0 {
				f.AddJob(now, f.teamJob(fmt.Sprint(i), "kaje80", now, simpleStep(2)), nil, false)
			}
			for _, s := range f.plan(now).Starts {
				f.end(s, EndDone, now)
			}
			notes += len(f.TakeQuotaWaits())
		}
		So(notes, ShouldBeBetweenOrEqual, 1, 2)
	})
}

// Guards against a team that waits for its quota after a change of owner because of tasks that can't all run on the one worker that has not
// reported, and against a successor that knows no limit since the configuration does not have the team any more.
func TestLimitsAfterTakeover(t *testing.T) {
	Convey("Given a successor with inherited tasks far above the limit of their team, and one worker that has not reported", t, func() {
		g := newFixture(2, 2)
		g.UpsertWorker(t0, WorkerInfo{ID: "w9", Service: testService, Address: "w9", Capacity: workload.Resources{CPUMilli: 2000, MemoryMB: 1000}, Incarnation: 1})
		g.AddUnresolvedWorker("w9", at(10*time.Second))
		old, next := g.teamJob("old", "kaje80", t0, simpleStep(50)), g.teamJob("new", "kaje80", at(time.Millisecond), simpleStep(5))
		for _, spec := range []*workload.Spec{old, next} {
			spec.Quota = queues.Quota{CPUMilli: 8000}
			g.AddJob(t0, spec, nil, spec == old)
		}
		Convey("a new job may use what that worker can't", func() {
			g.limitTeam("kaje80", 8000)
			So(g.plan(at(10*time.Millisecond)).Starts, ShouldHaveLength, 3)
		})
		Convey("without the team in the configuration, the limits are those at acceptance", func() {
			g.SetQueues(&queues.Config{})
			So(g.plan(at(10*time.Millisecond)).Starts, ShouldHaveLength, 3)
		})
	})
}

// Guards against a gang that keeps the quota from other jobs of its team for longer than they may wait while the team uses little of it.
func TestGangKeepsQuotaFromOthersForAShortTime(t *testing.T) {
	Convey("Given a team that uses two fifths of its quota for a long time, and a gang that needs four fifths of it", t, func() {
		f := newFixture(1, 2)
		f.limitTeam("kaje80", 10_000)
		f.AddJob(t0, f.teamJob("long", "kaje80", t0, simpleStep(2)), nil, false)
		So(f.plan(t0).Starts, ShouldHaveLength, 2)
		gang := simpleStep(4)
		gang.Gang = true
		f.AddJob(t0, f.teamJob("gang", "kaje80", t0, gang), nil, false)
		f.queue.Priority = 2
		f.AddJob(t0, f.teamJob("small", "kaje80", at(time.Second), simpleStep(1)), nil, false)
		So(f.plan(at(100*time.Millisecond)).Starts, ShouldBeEmpty)
		So(f.plan(at(1900*time.Millisecond)).Starts, ShouldBeEmpty)
		Convey("a small job of the team starts within three seconds", func() {
			So(f.plan(at(2200*time.Millisecond)).Starts, ShouldHaveLength, 1)
		})
	})
}

// Guards against runs of a job that has ended which do not count although they go on.
func TestRunsOfEndedJobsCount(t *testing.T) {
	Convey("Given a job whose run was given up with its worker, and that was cancelled then", t, func() {
		f := newFixture(1, 1)
		f.limitTeam("kaje80", 10_000)
		f.AddJob(t0, f.teamJob("j", "kaje80", t0, simpleStep(1)), nil, false)
		f.plan(t0)
		f.MarkUnreachable(at(time.Second), "w0", at(2*time.Second))
		f.plan(at(7 * time.Second))
		So(f.teams.byName["kaje80"].used.CPUMilli, ShouldEqual, 0)
		f.Cancel(at(7*time.Second), "j")
		f.commit()
		Convey("when the worker lists it again, it counts, as the whole worker since its size is forgotten, until it has ended", func() {
			f.report("w0", at(8*time.Second))
			So(f.teams.byName["kaje80"].used.CPUMilli, ShouldEqual, 10_000)
			f.plan(at(8 * time.Second))
			f.active["w0"] = nil
			f.report("w0", at(9*time.Second))
			So(f.teams.byName["kaje80"].used.CPUMilli, ShouldEqual, 0)
		})
	})
}

// Guards against quota that a nominated gang holds and that others of its team take, and against quota that is held for ever.
func TestNominationHoldsQuota(t *testing.T) {
	Convey("Given a gang that is nominated for workers on which less urgent runs are being stopped", t, func() {
		f := newFixture(1, 4)
		f.limitTeam("kaje80", 6000)
		small := simpleStep(20)
		small.Checkpointing, small.Estimate = true, time.Hour
		f.queue.Priority, f.queue.TargetLatency = 2, time.Hour
		f.AddJob(t0, f.job("others", t0, small), nil, false)
		f.plan(t0)
		for id := range f.active {
			f.report(id, at(10*time.Millisecond))
		}
		f.queue.Priority, f.queue.TargetLatency = 1, time.Second
		gang := simpleStep(3)
		gang.Gang = true
		f.AddJob(t0, f.teamJob("gang", "kaje80", t0, gang), nil, false)
		f.plan(at(900 * time.Millisecond))
		stops := f.plan(at(1200 * time.Millisecond)).Stops
		team := f.teams.byName["kaje80"]
		So(team.held.CPUMilli, ShouldEqual, 6000)
		Convey("no other task of the team starts", func() {
			f.queue.Priority = 0
			f.addWorkerWithRoom(at(1300 * time.Millisecond))
			f.AddJob(at(1300*time.Millisecond), f.teamJob("urgent", "kaje80", at(1300*time.Millisecond), simpleStep(1)), nil, false)
			So(f.plan(at(1310*time.Millisecond)).Starts, ShouldBeEmpty)
		})
		Convey("the gang gives its nomination up when the limit is lowered", func() {
			f.limitTeam("kaje80", 4000)
			f.plan(at(1300 * time.Millisecond))
			So(team.held, ShouldResemble, workload.Resources{})
		})
		Convey("the quota is free when the gang is cancelled", func() {
			f.Cancel(at(1300*time.Millisecond), "gang")
			So(team.held, ShouldResemble, workload.Resources{})
			So(len(stops), ShouldBeLessThanOrEqualTo, 3)
		})
	})
}

// addWorkerWithRoom adds a worker on which nothing runs and that serves single tasks only, since a gang needs three places.
func (f *fixture) addWorkerWithRoom(now time.Time) {
	f.UpsertWorker(now, WorkerInfo{ID: "room", Service: testService, Address: "room", Capacity: workload.Resources{CPUMilli: 2000, MemoryMB: 1000}, Incarnation: 1})
	f.report("room", now)
}

// Guards against a pool that counts as full because a team is at its quota.
func TestQuotaDoesNotFillThePool(t *testing.T) {
	Convey("Given workers with room and a step that is wider than its team's quota, the pool is not full", t, func() {
		f := newFixture(1, 2)
		f.limitTeam("kaje80", 4000)
		f.AddJob(t0, f.teamJob("wide", "kaje80", t0, simpleStep(4)), nil, false)
		So(f.plan(t0).Starts, ShouldHaveLength, 2)
		So(f.servicePool(testService).fullAt.IsZero(), ShouldBeTrue)
	})
}

// Guards against a gang that gets no hold of its team's quota because a gang that was cancelled has held it long ago.
func TestCancelledGangLeavesTheHoldToTheNext(t *testing.T) {
	Convey("Given a team that uses little of its quota, whose gang waited for 3 s and was cancelled", t, func() {
		f := newFixture(1, 4)
		f.limitTeam("kaje80", 16_000)
		f.AddJob(t0, f.teamJob("small", "kaje80", t0, simpleStep(3)), nil, false)
		So(f.plan(t0).Starts, ShouldHaveLength, 3)
		gang := simpleStep(6)
		gang.Gang = true
		f.AddJob(t0, f.teamJob("gang1", "kaje80", t0, gang), nil, false)
		f.plan(at(time.Millisecond))
		f.Cancel(at(time.Second), "gang1")
		Convey("a second one keeps the quota from later units", func() {
			f.AddJob(at(3*time.Second), f.teamJob("gang2", "kaje80", at(3*time.Second), gang), nil, false)
			later := f.teamJob("later", "kaje80", at(3*time.Second+time.Millisecond), simpleStep(1))
			f.AddJob(at(3*time.Second), later, nil, false)
			for _, w := range f.sortedWorkers {
				f.report(w.info.ID, at(3*time.Second))
			}
			So(f.plan(at(3*time.Second)).Starts, ShouldBeEmpty)
		})
	})
}

// Guards against runs of a job that ended under an earlier owner which are not counted although the job's team is known.
func TestRunsOfAnEndedJobCount(t *testing.T) {
	Convey("Given a cancelled job of a team of which a worker still reports a run, and a waiting job of the team", t, func() {
		f := newFixture(2, 2)
		f.limitTeam("kaje80", 4000)
		f.AddEndedJob("ended", &workload.Progress{State: workload.Cancelled, Ended: t0, Team: "kaje80"})
		f.active["w0"] = []ActiveRun{{Task: workload.TaskID{Job: "ended"}, Run: 1}}
		f.report("w0", at(10*time.Millisecond))
		f.AddJob(at(10*time.Millisecond), f.teamJob("next", "kaje80", at(10*time.Millisecond), simpleStep(1)), nil, false)
		p := f.plan(at(20 * time.Millisecond))
		So(p.Stops, ShouldHaveLength, 1)
		So(p.Starts, ShouldBeEmpty)
		Convey("it starts once the run is no longer reported", func() {
			f.active["w0"] = nil
			f.report("w0", at(time.Second))
			So(f.plan(at(time.Second)).Starts, ShouldHaveLength, 1)
			So(f.teams.byName["kaje80"].used.CPUMilli, ShouldEqual, 2000)
			So(f.teams.byName["kaje80"].unfinishedJobs, ShouldEqual, 1)
		})
	})
}
