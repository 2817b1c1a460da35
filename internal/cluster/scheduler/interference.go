package scheduler

import (
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/interference"
)

// harmfulNeighbourFactor is by how much a worker with harmful neighbours counts less when advice requests choose the workers to name. It
// is still named when the others do not suffice.
const harmfulNeighbourFactor = 0.5

// Interference returns what is known about kinds of tasks that slow each other down, or nil if that is switched off.
func (s *Scheduler) Interference() *interference.Model { return s.interference }

// identifyKind determines the kind of a unit's tasks. Without a kind, a unit has no penalties.
func (s *Scheduler) identifyKind(u *unit, now time.Time) {
	if s.interference == nil || u.kind.MarkSeen(now) {
		return
	}
	u.kind = s.interference.Kind(interference.Name(u.step.Image, u.job.spec.Queue.Name, u.job.queue.Service), now)
}

// observeInterference learns from a worker's report, which was requested at the given time and has been applied. Tasks that never end, or
// use what others leave, and runs that are being stopped only count as neighbours.
func (s *Scheduler) observeInterference(w *worker, requestedAt, now time.Time) {
	if s.interference == nil {
		return
	}
	progress := s.progressBuffer[:0]
	w.kinds = 0
	for _, p := range w.placements {
		if p.task == nil {
			continue
		}
		u := p.task.unit
		s.identifyKind(u, now)
		w.kinds |= u.kind.Bit()
		if !p.lastListedAt.Equal(requestedAt) {
			continue
		}
		o := interference.Progress{Kind: u.kind, CPUMilli: u.step.Resources.CPUMilli, Percent: p.percent, StepTasks: u.step.Count, Synchronized: u.step.Gang}
		if p.state == running && !p.task.done && !u.step.LongRunning && !u.step.BestEffort {
			if p.rate == nil {
				p.rate = &interference.Run{}
			}
			o.Run = p.rate
		}
		progress = append(progress, o)
	}
	w.tracker.Observe(requestedAt, w.info.Capacity.CPUMilli, progress)
	s.progressBuffer = progress
}

// harmsNeighbours reports whether the worker may have tasks from which those of the unit are kept apart.
func (u *unit) harmsNeighbours(w *worker) bool { return u.kind.KeptApartFrom()&w.kinds != 0 }

// interferencePenalty returns what callers lose if another task of the unit starts on the worker, where that many are to start as well. It
// is below the other penalties, and comparable to room, in thousandths of a core: a worker that has it is still chosen if it is the only
// one, or if the others would lose more room than is gained.
func (u *unit) interferencePenalty(w *worker, assigned int) int64 {
	if !u.harmsNeighbours(w) && (assigned == 0 || u.kind.KeptApartFrom()&u.kind.Bit() == 0) {
		return 0
	}
	var load interference.Load
	for _, p := range w.placements {
		if p.task != nil {
			load.Add(p.task.unit.kind, p.task.unit.step.Resources.CPUMilli)
		}
	}
	for range assigned {
		load.Add(u.kind, u.step.Resources.CPUMilli)
	}
	return u.kind.Penalty(u.step.Resources.CPUMilli, w.info.Capacity.CPUMilli, &load)
}

// noteRoom tells the model what share of the pool's processors is free.
func (s *Scheduler) noteRoom(free, capacity int64) {
	if s.interference != nil && capacity > 0 {
		s.interference.SetFreeShare(float64(free) / float64(capacity))
	}
}
