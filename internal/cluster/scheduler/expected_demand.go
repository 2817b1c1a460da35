package scheduler

import (
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// demandEstimate is the resources that the tasks of a unit are expected to use once the policy service has answered, spread
// evenly over the workers that the advice request names.
type demandEstimate struct {
	workers   []*worker
	perWorker workload.Resources
	gang      bool
}

// setExpectedDemand spreads the expected demand of a unit's tasks over workers, where other advice requests take it into
// account. Without it, many large gangs whose requests take a second or more would all ask for the same workers, those with
// the most free resources, and find them filled by each other.
func (u *unit) setExpectedDemand(workers []*worker, tasks int) {
	u.clearExpectedDemand()
	size := u.resources()
	share := func(n int64) int64 { return n * int64(tasks) / int64(len(workers)) }
	u.expectedDemand = demandEstimate{workers, workload.Resources{
		CPUMilli: share(size.CPUMilli), MemoryMB: share(size.MemoryMB), Accelerators: share(size.Accelerators),
	}, u.step.Gang}
	for _, w := range workers {
		w.expectedDemand = w.expectedDemand.Add(u.expectedDemand.perWorker)
		if u.step.Gang {
			w.expectedGangDemand = w.expectedGangDemand.Add(u.expectedDemand.perWorker)
		}
	}
}

// demandFor returns the part of the worker's expected demand that a unit has to share the worker with. For a gang this is only
// the demand of other gangs: other tasks may be stopped in its favour, or are short.
func (w *worker) demandFor(u *unit) workload.Resources {
	if u.step.Gang {
		return w.expectedGangDemand
	}
	return w.expectedDemand
}

// inTasks returns a demand as a number of tasks of the given size.
func inTasks(demand, size workload.Resources) float64 {
	tasks := 0.0
	for _, d := range demand.Pairs(size) {
		if d[1] > 0 {
			tasks = max(tasks, float64(d[0])/float64(d[1]))
		}
	}
	return tasks
}

// freeAt returns the resources that a worker is expected to have free at a later time: those that are free now and those of
// runs that are being stopped or whose progress shows that they will have ended. An advice request may take a third of the
// duration of a task; if a gang asked only for resources that are free already, they would stay idle until the answer.
func (w *worker) freeAt(later time.Time) workload.Resources {
	free := w.free()
	for _, p := range w.placements {
		if p.state == stopping || p.endsBefore(later) {
			free = free.Add(p.resources)
		}
	}
	return free
}

// endsBefore reports whether the progress of the run shows that it will have ended at the given time.
func (p *placement) endsBefore(later time.Time) bool {
	return !p.expectedEnd.IsZero() && p.expectedEnd.Before(later)
}

// clearExpectedDemand removes the unit's expected demand from the workers.
func (u *unit) clearExpectedDemand() {
	for _, w := range u.expectedDemand.workers {
		w.expectedDemand = w.expectedDemand.Sub(u.expectedDemand.perWorker)
		if u.expectedDemand.gang {
			w.expectedGangDemand = w.expectedGangDemand.Sub(u.expectedDemand.perWorker)
		}
	}
	u.expectedDemand = demandEstimate{}
}
