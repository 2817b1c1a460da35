package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// newTeamFleet returns a scheduler with busy workers, where each team has waiting jobs, 1,000 together at least. A quota of 0 means none;
// otherwise each team is at its quota.
func newTeamFleet(workers, teamCount int, quota int64) *fixture {
	f := newFixture(1, 0)
	for i := range workers {
		id := fmt.Sprintf("i-%08x", i)
		f.UpsertWorker(t0, WorkerInfo{ID: id, Service: testService, Address: id, Rack: fmt.Sprintf("r%d", i/20), Capacity: fleetCapacity, Incarnation: 1})
		f.report(id, t0)
	}
	c := &queues.Config{}
	for i := range teamCount {
		c.Teams = append(c.Teams, queues.Team{Name: fmt.Sprintf("t%04d", i), Weight: 1000, Quota: queues.Quota{CPUMilli: quota}})
	}
	f.SetQueues(c)
	step := workload.Step{Count: workers * 3, Estimate: time.Hour, Resources: workload.Resources{CPUMilli: 10_000, MemoryMB: 10_000}}
	f.AddJob(t0, f.job("running", t0, step), nil, false)
	f.plan(t0)
	for i := range max(teamCount, 1000) {
		team := ""
		if teamCount > 0 {
			team = fmt.Sprintf("t%04d", i%teamCount)
		}
		f.AddJob(t0, f.teamJob(fmt.Sprintf("waiting-%d", i), team, t0,
			workload.Step{Count: 4, Estimate: time.Second, Resources: workload.Resources{CPUMilli: 8000, MemoryMB: 1000}}), nil, false)
	}
	f.commit()
	return f
}

// BenchmarkTeamPlans measures a complete plan by the numbers of workers and teams: jobs without teams, teams without room on the workers,
// and teams at their quotas.
func BenchmarkTeamPlans(b *testing.B) {
	for _, workers := range []int{48, 350, 1100} {
		for _, teamCount := range []int{20, 2000} {
			for _, c := range []struct {
				name  string
				quota int64
			}{{"without quota", 0}, {"at quota", 1}} {
				b.Run(fmt.Sprintf("%d workers, %d teams, %s", workers, teamCount, c.name), func(b *testing.B) {
					f := newTeamFleet(workers, teamCount, c.quota)
					now := t0
					for b.Loop() {
						now = now.Add(20 * time.Millisecond)
						f.Plan(now)
					}
				})
			}
		}
		b.Run(fmt.Sprintf("%d workers, no teams", workers), func(b *testing.B) {
			f := newTeamFleet(workers, 0, 0)
			now := t0
			for b.Loop() {
				now = now.Add(20 * time.Millisecond)
				f.Plan(now)
			}
		})
	}
}

// BenchmarkQuotaCheck measures the check of the quota for one start.
func BenchmarkQuotaCheck(b *testing.B) {
	for _, teamCount := range []int{20, 2000} {
		b.Run(fmt.Sprintf("%d teams", teamCount), func(b *testing.B) {
			f := newTeamFleet(48, teamCount, 1<<40)
			var all []candidate
			for u := range f.open {
				if u.job.team != nil {
					all = append(all, f.newCandidate(u, 4, t0))
				}
			}
			i := 0
			for b.Loop() {
				if f.atQuota(all[i%len(all)]) {
					b.Fatal("a team below its quota has no room")
				}
				i++
			}
		})
	}
}

// BenchmarkQuotaRelease measures the end of a run of a team with 1,000 waiting jobs, with the start that it makes possible.
func BenchmarkQuotaRelease(b *testing.B) {
	f := newFixture(1, 48)
	f.limitTeam("t", 4000)
	for i := range 1000 {
		f.AddJob(t0, f.teamJob(fmt.Sprint(i), "t", t0, workload.Step{Count: 1000, Resources: workload.Resources{CPUMilli: 2000}}), nil, false)
	}
	f.commit()
	running := f.plan(t0).Starts
	f.Plan(t0)
	for b.Loop() {
		f.end(running[0], EndDone, t0)
		f.commit()
		p := f.PlanChanged(t0)
		running = append(running[1:], p.Starts...)
		f.ended = map[string][]EndedRun{}
	}
}
