package scheduler

import (
	"slices"
	"time"
)

// servicePool is what the scheduler knows of the workers of one service together. Services share no workers, so what the jobs and workers of
// one do must decide nothing for another.
type servicePool struct {
	service   string
	headrooms []*headroom // by requirement, if urgent tasks use workers
	// idle and capacity are the millicores of the workers that accept tasks, not in use and in all, as of the last update of the headrooms.
	idle, capacity int64
	stopLatency    stopLatency // of its workers
	fullAt         time.Time   // when a plan last found no room for a task
}

// servicePool returns the pool of a service.
func (s *Scheduler) servicePool(service string) *servicePool {
	p := s.servicePools[service]
	if p == nil {
		p = &servicePool{service: service}
		s.servicePools[service] = p
	}
	return p
}

// headroom returns the headroom for urgent tasks with a requirement.
func (p *servicePool) headroom(requirement string) *headroom {
	for _, h := range p.headrooms {
		if h.requirement == requirement {
			return h
		}
	}
	h := &headroom{requirement: requirement}
	p.headrooms = append(p.headrooms, h)
	return h
}

// reset begins an update of the headrooms.
func (p *servicePool) reset() {
	p.idle, p.capacity = 0, 0
	for _, h := range p.headrooms {
		h.urgent, h.idle, h.capacity = 0, 0, 0
	}
}

// addWorker counts a worker that accepts tasks. It reports whether the pool has a headroom that covers only workers with a label.
func (p *servicePool) addWorker(w *worker) bool {
	p.idle += max(w.free().CPUMilli, 0)
	p.capacity += w.info.Capacity.CPUMilli
	for _, u := range w.urgentUses {
		p.headroom(u.requirement).urgent += u.cpuMilli
	}
	return slices.ContainsFunc(p.headrooms, func(h *headroom) bool { return h.requirement != "" })
}

// updateHeadrooms ends an update, once all workers have been added.
func (p *servicePool) updateHeadrooms(now time.Time) {
	for _, h := range p.headrooms {
		if h.requirement == "" {
			h.idle, h.capacity = p.idle, p.capacity
		}
		h.update(now)
	}
	p.headrooms = slices.DeleteFunc(p.headrooms, (*headroom).obsolete)
}

// unused reports whether nothing is known of the service that has to be kept. Entries of workers may name any number of services.
func (p *servicePool) unused() bool {
	return p.capacity == 0 && len(p.headrooms) == 0 && p.stopLatency.average == 0 && p.fullAt.IsZero()
}

// leavesHeadroom reports whether a task that takes so many millicores of the worker leaves all headrooms as they are.
func (p *servicePool) leavesHeadroom(w *worker, cpu int64) bool {
	return !slices.ContainsFunc(p.headrooms, func(h *headroom) bool { return h.covers(w) && !h.leaves(cpu) })
}

// noteStart counts a start on a worker until the next update.
func (p *servicePool) noteStart(w *worker, cpu int64) {
	for _, h := range p.headrooms {
		if h.covers(w) {
			h.free -= cpu
		}
	}
}
