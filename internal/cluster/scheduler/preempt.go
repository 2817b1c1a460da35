package scheduler

import (
	"slices"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// preempt makes room for a long-running task: it stops tasks on the worker on which the least work is lost. Long-running
// tasks and gang members are not preempted. It does nothing if the runs that are being stopped already free enough
// resources on one of the workers. Quarantined workers come last. It reports whether room is being made on a worker without
// quarantine.
func (s *Scheduler) preempt(t *task, workers []*worker, now time.Time) bool {
	size := t.unit.resources()
	var chosen []*placement
	var lowest time.Duration
	chosenQuarantined := true
	for _, w := range workers {
		victims, lost, ok := w.victims(t, size, now)
		if !ok {
			continue
		}
		quarantined := w.health.quarantined(now)
		if len(victims) == 0 {
			return !quarantined // runs that are being stopped already free enough resources
		}
		if chosen == nil || chosenQuarantined && !quarantined || chosenQuarantined == quarantined && lost < lowest {
			chosen, lowest, chosenQuarantined = victims, lost, quarantined
		}
	}
	for _, p := range chosen {
		s.stopRun(p, "preempted to make room for a long-running task")
	}
	return !chosenQuarantined
}

// victims returns the runs to stop so that the task fits on the worker, those that lose the least work first, and the work
// that is lost in total. There are no victims if runs that are being stopped already free enough resources. The last result
// is false if the task can't be made to fit.
func (w *worker) victims(t *task, size workload.Resources, now time.Time) ([]*placement, time.Duration, bool) {
	if u := t.unit; u.step.MaxPerWorker > 0 && w.countTasksOf(u) >= u.step.MaxPerWorker {
		return nil, 0, false
	}
	free, stoppable := w.freeAfterStops((*placement).preemptible)
	slices.SortFunc(stoppable, func(a, b *placement) int { return int(a.lostWork(now) - b.lostWork(now)) })
	var victims []*placement
	var lost time.Duration
	for _, p := range stoppable {
		if free.CanFit(size) {
			break
		}
		victims = append(victims, p)
		lost += p.lostWork(now)
		free = free.Add(p.resources)
	}
	return victims, lost, free.CanFit(size)
}

// freeAfterStops returns the resources that are free once the runs that are being stopped have ended, and the runs that may be
// stopped to get more.
func (w *worker) freeAfterStops(preemptible func(*placement) bool) (workload.Resources, []*placement) {
	free := w.free()
	var stoppable []*placement
	for _, p := range w.placements {
		switch {
		case p.state == stopping:
			free = free.Add(p.resources)
		case preemptible(p):
			stoppable = append(stoppable, p)
		}
	}
	return free, stoppable
}

// preemptible reports whether the run may be stopped in favour of a long-running task.
func (p *placement) preemptible() bool {
	return p.state == running && p.task != nil && p.task.placement == p && !p.task.unit.step.LongRunning && !p.task.unit.step.Gang
}

// lostWork returns the run time that is lost if the run is stopped.
func (p *placement) lostWork(now time.Time) time.Duration {
	if p.task.unit.step.Checkpointing {
		return 0
	}
	return now.Sub(p.orderedAt)
}
