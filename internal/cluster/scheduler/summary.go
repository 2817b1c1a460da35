package scheduler

import (
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// JobSummary says how long an ended job took, for logs. All times count from the due time of the job's last occurrence.
type JobSummary struct {
	Job       string
	Queue     string
	State     workload.State
	Took      time.Duration
	Waited    time.Duration // until this owner ordered the first start; Took if it ordered none
	Objective time.Duration // within which the occurrence should have ended
	Tasks     int           // of one occurrence
}

// summarize returns the summary of a job that has just ended.
func (s *Scheduler) summarize(j *job) JobSummary {
	last := max(len(j.occurrences)-1, 0)
	due := j.spec.Due(last)
	sum := JobSummary{Job: j.spec.ID, Queue: j.spec.Queue.Name, State: j.state, Took: j.endedAt.Sub(due), Tasks: j.chunks.tasksPerOccurrence}
	sum.Waited = sum.Took
	if !j.firstStart.IsZero() {
		sum.Waited = max(j.firstStart.Sub(due), 0)
	}
	if last < len(j.occurrences) && j.occurrences[last] != nil {
		sum.Objective = s.latencyObjective(j)
	}
	return sum
}

// TakeEndedJobs returns the jobs that have ended since the last call.
func (s *Scheduler) TakeEndedJobs() []JobSummary {
	ended := s.endedJobs
	s.endedJobs = nil
	return ended
}
