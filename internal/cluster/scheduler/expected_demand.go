package scheduler

import (
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// demandEstimate is the room that the tasks of a unit will take when a question to the policy service is answered, spread over
// the workers that the question names.
type demandEstimate struct {
	workers   []*worker
	perWorker workload.Resources
}

// setExpectedDemand notes that tasks are about to take room on workers. Load: many large gangs that wait for answers of a second or
// more. Without the note all of them would ask for the same workers, those with most room, and find them filled.
func (u *unit) setExpectedDemand(workers []*worker, tasks int) {
	u.clearExpectedDemand()
	size := u.resources()
	share := func(n int64) int64 { return n * int64(tasks) / int64(len(workers)) }
	u.expectedDemand = demandEstimate{workers, workload.Resources{
		CPUMilli: share(size.CPUMilli), MemoryMB: share(size.MemoryMB), Accelerators: share(size.Accelerators),
	}}
	for _, w := range workers {
		w.expectedDemand = w.expectedDemand.Add(u.expectedDemand.perWorker)
	}
}

// demandInTasks is how many tasks of the size the expected ones count for.
func (w *worker) demandInTasks(size workload.Resources) float64 {
	tasks := 0.0
	for _, d := range w.expectedDemand.Pairs(size) {
		if d[1] > 0 {
			tasks = max(tasks, float64(d[0])/float64(d[1]))
		}
	}
	return tasks
}

// freeAt is the room that a worker is expected to have at a later time: what is free now, and what runs that are being
// stopped or, by their progress, are about to end leave. Load: questions that take as long as a third of a task; a gang that
// asked only for room that is free already would leave it empty meanwhile.
func (w *worker) freeAt(later time.Time) workload.Resources {
	free := w.free()
	for _, p := range w.placements {
		if p.state == stopping || !p.expectedEnd.IsZero() && p.expectedEnd.Before(later) {
			free = free.Add(p.resources)
		}
	}
	return free
}

// clearExpectedDemand takes the note back.
func (u *unit) clearExpectedDemand() {
	for _, w := range u.expectedDemand.workers {
		w.expectedDemand = w.expectedDemand.Sub(u.expectedDemand.perWorker)
	}
	u.expectedDemand = demandEstimate{}
}
