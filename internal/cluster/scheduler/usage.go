package scheduler

import (
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// Usage is the utilization of the workers and the number of tasks that wait for them.
type Usage struct {
	Workers  int                  // workers on which tasks may be placed now
	Capacity workload.Resources   // of these workers
	Used     workload.Resources   // on these workers
	Runs     int                  // on all workers
	Queues   map[string]QueueWait // by name, only queues with waiting steps
}

// QueueWait counts the steps of a queue that have waiting tasks, and these tasks.
type QueueWait struct {
	Steps          int `json:"steps"`
	Tasks          int `json:"tasks"`
	Late           int `json:"late"`   // steps that can no longer meet their latency objective
	AwaitingAdvice int `json:"asking"` // steps that wait for an answer of the policy service
}

// Usage returns the current utilization and demand.
func (s *Scheduler) Usage(now time.Time) Usage {
	u := Usage{Queues: map[string]QueueWait{}}
	for _, w := range s.sortedWorkers {
		u.Runs += len(w.placements)
		if !w.acceptsTasks(now) {
			continue
		}
		u.Workers++
		u.Capacity = u.Capacity.Add(w.info.Capacity)
		u.Used = u.Used.Add(w.used)
	}
	for open := range s.open {
		waiting := open.tasks.countWaiting(now)
		if waiting == 0 {
			continue
		}
		q := u.Queues[open.job.spec.Queue.Name]
		q.Steps++
		q.Tasks += waiting
		if now.After(s.latestStart(open)) {
			q.Late++
		}
		if open.callsInFlight > 0 {
			q.AwaitingAdvice++
		}
		u.Queues[open.job.spec.Queue.Name] = q
	}
	return u
}
