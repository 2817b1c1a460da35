package scheduler

import (
	"slices"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

const (
	// headroomFactor is the share of the workers that is kept for urgent tasks, as a multiple of the share that they use. It
	// exceeds one because demand fluctuates within seconds, and because free processors are spread over many workers.
	headroomFactor = 2
	// maxHeadroomShare limits the share that is kept for urgent tasks.
	maxHeadroomShare = 0.35
	// headroomDecay is the time constant with which the headroom shrinks after the demand has fallen.
	headroomDecay = 5 * time.Second
	// headroomWait is how long a unit without a place waits before its tasks may use the headroom while most of its service is idle. A job
	// with room must not have nothing running for 3 s.
	headroomWait = 2 * time.Second
	// headroomUpdateInterval is the minimum time between two updates, which visit all workers. Starts between them are counted.
	headroomUpdateInterval = 10 * time.Millisecond
)

// headroom is the share of the processors of some workers that is kept for urgent tasks, those whose latency target is shorter than the
// time in which other runs can be stopped for them. It answers workers that less urgent work would fill: an urgent task would have
// to wait for the end of a run that lasts many times longer than itself. It follows the processors that urgent tasks use, upwards
// at once and downwards slowly.
type headroom struct {
	requirement            string // a label of the workers, which the urgent tasks require; empty for all workers of the service
	share                  float64
	updatedAt              time.Time
	free                   int64 // millicores that other tasks may still take in the current plan
	urgent, idle, capacity int64 // millicores in use by urgent tasks, not in use, and in all, as of the last update
}

// update adapts the headroom to the use of its workers.
func (h *headroom) update(now time.Time) {
	if h.capacity > 0 {
		wanted := min(headroomFactor*float64(h.urgent)/float64(h.capacity), maxHeadroomShare)
		decay := min(float64(now.Sub(h.updatedAt))/float64(headroomDecay), 1)
		h.share = max(wanted, h.share-decay*(h.share-wanted))
	}
	h.updatedAt = now
	h.free = h.idle - max(int64(h.share*float64(h.capacity))-h.urgent, 0)
}

// covers reports whether the headroom is a part of the worker's room. The worker belongs to its service.
func (h *headroom) covers(w *worker) bool {
	return h.requirement == "" || slices.Contains(w.info.Labels, h.requirement)
}

// obsolete reports whether nothing is kept any more.
func (h *headroom) obsolete() bool {
	return h.urgent == 0 && h.capacity > 0 && h.share*float64(h.capacity) < 1
}

// updateHeadrooms adapts the headrooms of all services to the present use, and counts the quarantined workers.
func (s *Scheduler) updateHeadrooms(now time.Time) {
	s.headroomsUpdatedAt = now
	s.capacity = workload.Resources{}
	s.quarantined = 0
	for _, p := range s.servicePools {
		p.reset()
	}
	var pool *servicePool
	var free int64
	labelled := false // some headroom does not cover all workers of its service
	for _, w := range s.sortedWorkers {
		if pool == nil || pool.service != w.info.Service {
			pool = s.servicePool(w.info.Service)
		}
		if w.health.quarantined(now) {
			s.quarantined++
		}
		if w.acceptsTasks(now) {
			labelled = pool.addWorker(w) || labelled
			free += max(w.free().CPUMilli, 0)
			s.capacity = s.capacity.Add(w.info.Capacity)
		}
	}
	if labelled {
		s.countLabelled(now)
	}
	for service, p := range s.servicePools {
		p.updateHeadrooms(now)
		if p.unused() {
			delete(s.servicePools, service)
		}
	}
	s.noteRoom(free, s.capacity.CPUMilli)
}

// countLabelled adds the room of the workers to the headrooms that cover only those with a label.
func (s *Scheduler) countLabelled(now time.Time) {
	for _, w := range s.sortedWorkers {
		if !w.acceptsTasks(now) {
			continue
		}
		for _, h := range s.servicePool(w.info.Service).headrooms {
			if h.requirement != "" && h.covers(w) {
				h.idle += max(w.free().CPUMilli, 0)
				h.capacity += w.info.Capacity.CPUMilli
			}
		}
	}
}

// urgentUse is what urgent tasks with a requirement use on a worker.
type urgentUse struct {
	requirement string
	cpuMilli    int64
}

// requirement returns the label that the worker of the run must have.
func (p *placement) requirement() string {
	if p.task == nil {
		return ""
	}
	return p.task.unit.step.Requirement
}

// addUrgent adds to what urgent tasks with a requirement use.
func (w *worker) addUrgent(requirement string, cpuMilli int64) {
	i := slices.IndexFunc(w.urgentUses, func(u urgentUse) bool { return u.requirement == requirement })
	if i < 0 {
		i = len(w.urgentUses)
		w.urgentUses = append(w.urgentUses, urgentUse{requirement: requirement})
	}
	w.urgentUses[i].cpuMilli += cpuMilli
	if w.urgentUses[i].cpuMilli == 0 {
		w.urgentUses = slices.Delete(w.urgentUses, i, i+1)
	}
}

// urgent reports whether the unit's tasks are urgent in the sense of headroom. Those beyond the share of their team are not.
func (s *Scheduler) urgent(u *unit) bool {
	target := u.job.queue.TargetLatency
	return !u.beyondShare() && target > 0 && target < s.servicePool(u.job.queue.Service).stopLatency.estimate()
}

// heldBackByHeadroom reports whether the headroom must not keep the unit waiting any longer.
func (s *Scheduler) heldBackByHeadroom(u *unit, now time.Time) bool {
	return !u.unplacedSince.IsZero() && now.Sub(u.unplacedSince) >= headroomWait && s.lowUse(u.job.queue.Service)
}

// usesHeadroom reports whether tasks of the unit may use the headroom: urgent and long-running ones.
func (s *Scheduler) usesHeadroom(u *unit) bool { return u.step.LongRunning || s.urgent(u) }

// outsideHeadroom returns those of the workers on which a task of the unit may start without using the headroom. Gangs are not asked, since
// they can't take less room than they need.
func (s *Scheduler) outsideHeadroom(u *unit, workers []*worker) []*worker {
	pool, cpu := s.servicePool(u.job.queue.Service), u.resources().CPUMilli
	if len(pool.headrooms) == 0 || s.usesHeadroom(u) {
		return workers
	}
	if len(pool.headrooms) == 1 && pool.headrooms[0].requirement == "" { // it covers all workers
		if pool.headrooms[0].leaves(cpu) {
			return workers
		}
		return nil
	}
	var out []*worker
	for _, w := range workers {
		if pool.leavesHeadroom(w, cpu) {
			out = append(out, w)
		}
	}
	return out
}

// leaves reports whether a task that takes so many millicores leaves the headroom as it is.
func (h *headroom) leaves(cpu int64) bool { return h.share == 0 || h.free >= cpu }

// leavesHeadroom reports whether some worker that meets the requirement of the unit has room beside the headroom.
func (s *Scheduler) leavesHeadroom(u *unit) bool {
	pool, cpu := s.servicePool(u.job.queue.Service), u.resources().CPUMilli
	if len(pool.headrooms) == 0 || s.usesHeadroom(u) {
		return true
	}
	if len(pool.headrooms) == 1 && pool.headrooms[0].requirement == "" {
		return pool.headrooms[0].leaves(cpu)
	}
	return slices.ContainsFunc(s.sortedWorkers, func(w *worker) bool {
		return w.info.Service == pool.service && (u.step.Requirement == "" || slices.Contains(w.info.Labels, u.step.Requirement)) &&
			pool.leavesHeadroom(w, cpu)
	})
}
