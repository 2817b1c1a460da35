package scheduler

import (
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// Usage is how full the pool is and how much waits for it.
type Usage struct {
	Workers  int                  // that may get tasks
	Capacity workload.Resources   // of these workers
	Used     workload.Resources   // on these workers
	Runs     int                  // on all workers
	Queues   map[string]QueueWait // queues with steps that wait
}

// QueueWait are the steps of a queue with tasks that wait for a place.
type QueueWait struct {
	Steps  int `json:"steps"`
	Tasks  int `json:"tasks"`
	Late   int `json:"late"`   // steps that can't meet their objective any more
	Asking int `json:"asking"` // steps that wait for the policy service
}

// Usage returns how full the pool is now.
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
		waiting := len(open.pending(now))
		if waiting == 0 {
			continue
		}
		q := u.Queues[open.job.spec.Queue.Name]
		q.Steps++
		q.Tasks += waiting
		if now.After(s.latestStart(open)) {
			q.Late++
		}
		if open.adviceInFlight {
			q.Asking++
		}
		u.Queues[open.job.spec.Queue.Name] = q
	}
	return u
}
