package scheduler

import (
	"slices"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// preempt makes room for a task that may not wait: it stops tasks on the worker where least work is lost. Lasting tasks
// and members of gangs are spared. It does nothing while stops for the task may still be on their way.
func (s *Scheduler) preempt(t *task, workers []*worker, now time.Time) {
	size := t.unit.resources()
	var chosen []*placement
	var lowest time.Duration
	for _, w := range workers {
		victims, lost, ok := w.victims(t, size, now)
		if !ok {
			continue
		}
		if len(victims) == 0 {
			return // enough is being stopped already
		}
		if chosen == nil || lost < lowest {
			chosen, lowest = victims, lost
		}
	}
	for _, p := range chosen {
		s.stopRun(p, "room for a task that lasts")
	}
}

// victims returns the runs to stop for a task to fit on the worker, those with least unsaved work first, and the work that
// is lost. None are needed if what is being stopped makes room enough.
func (w *worker) victims(t *task, size workload.Resources, now time.Time) ([]*placement, time.Duration, bool) {
	if u := t.unit; u.step.MaxPerWorker > 0 && w.countTasksOf(u) >= u.step.MaxPerWorker {
		return nil, 0, false
	}
	free := w.free()
	var stoppable []*placement
	for _, p := range w.placements {
		switch {
		case p.state == stopping:
			free = free.Add(p.resources)
		case p.preemptible():
			stoppable = append(stoppable, p)
		}
	}
	slices.SortFunc(stoppable, func(a, b *placement) int { return int(a.lostWork(now) - b.lostWork(now)) })
	var victims []*placement
	var lost time.Duration
	for _, p := range stoppable {
		if free.Fits(size) {
			break
		}
		victims = append(victims, p)
		lost += p.lostWork(now)
		free = free.Add(p.resources)
	}
	return victims, lost, free.Fits(size)
}

func (p *placement) preemptible() bool {
	return p.state == running && p.task != nil && p.task.placement == p && !p.task.unit.step.LongRunning && !p.task.unit.step.Gang
}

// lostWork is the work that a stop of the run loses.
func (p *placement) lostWork(now time.Time) time.Duration {
	if p.task.unit.step.Checkpointing {
		return 0
	}
	return now.Sub(p.orderedAt)
}
