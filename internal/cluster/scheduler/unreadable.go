package scheduler

import (
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// AddUnreadableJob adds a job of which only the ID is known, since its stored specification can't be read. Earlier owners may have started
// its tasks, so none is started, and its runs are neither stopped nor repeated. Callers see it as running until they cancel it.
func (s *Scheduler) AddUnreadableJob(now time.Time, id string) {
	if s.HasJob(id) {
		return
	}
	s.jobs[id] = &job{spec: &workload.Spec{ID: id, Accepted: now}, state: workload.Running, durableState: workload.Running,
		started: true, inherited: true, stored: true, unreadable: true}
	if _, cancelled := s.cancelled[id]; cancelled || s.earlyCancels.applyToAll(id) {
		s.Cancel(now, id)
	}
}

// mayRun reports whether a run of a task that is not known may go on, since its job can't be read.
func (s *Scheduler) mayRun(id workload.TaskID) bool {
	j := s.jobs[id.Job]
	return j != nil && j.unreadable && !j.state.Final()
}

// stopRunsOf orders the stop of all runs of a job, also of those whose tasks are not known.
func (s *Scheduler) stopRunsOf(jobID, reason string) {
	for _, w := range s.sortedWorkers {
		for _, p := range w.placements {
			if p.id.Job == jobID {
				s.stopRun(p, reason)
			}
		}
	}
}
