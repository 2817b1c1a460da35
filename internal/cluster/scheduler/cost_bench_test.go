package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// newBusyFleet returns a scheduler with workers that each run three tasks, and with steps that wait for room.
func newBusyFleet(workers, waiting int) *fixture {
	f := newFixture(1, 0)
	for i := range workers {
		id := fmt.Sprintf("i-%08x", i)
		f.UpsertWorker(t0, WorkerInfo{ID: id, Service: testService, Address: id, Rack: fmt.Sprintf("r%d", i/20), Capacity: fleetCapacity, Incarnation: 1})
		f.report(id, t0)
	}
	step := workload.Step{Count: workers * 3, Estimate: time.Hour, Resources: workload.Resources{CPUMilli: 10_000, MemoryMB: 10_000}}
	f.AddJob(t0, f.job("running", t0, step), nil, false)
	f.plan(t0)
	f.queue.PolicyService = &queues.PolicyService{Base: 15 * time.Millisecond, PerWorker: 200 * time.Microsecond, Validity: 2 * time.Second}
	for i := range waiting {
		f.AddJob(t0, f.job(fmt.Sprintf("waiting-%d", i), t0, workload.Step{Count: 4, Estimate: time.Second, Resources: workload.Resources{CPUMilli: 8000, MemoryMB: 1000}}), nil, false)
	}
	f.commit()
	return f
}

// BenchmarkDecisions measures a tenth of a second of the owner's decisions, by the number of workers and of steps that wait: five
// complete plans, ten for changes only, and thirty attempts to ask the policy service.
func BenchmarkDecisions(b *testing.B) {
	for _, workers := range []int{550, 1100, 2200, 4400} {
		for _, waiting := range []int{0, 100, 1000} {
			b.Run(fmt.Sprintf("%d workers, %d waiting", workers, waiting), func(b *testing.B) {
				f := newBusyFleet(workers, waiting)
				now := t0
				for b.Loop() {
					for range 5 {
						now = now.Add(20 * time.Millisecond)
						f.Plan(now)
						for range 6 {
							for _, r := range f.NextAdviceRequests(now, 1, 1) {
								f.HandleAdvice(now, AdviceResult{Step: r.Step, RequestedWorkers: r.Workers, Validity: time.Second})
							}
						}
						f.PlanChanged(now)
						f.PlanChanged(now)
					}
				}
			})
		}
	}
}
