package scheduler

import (
	"sort"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// Expired returns ended jobs whose retention has passed, at most limit.
func (s *Scheduler) Expired(now time.Time, limit int) []string {
	s.forgetCancellations(now)
	var ids []string
	for id, j := range s.jobs {
		if len(ids) == limit {
			break
		}
		if j.shown.Final() && now.Sub(j.ended) > s.cfg.Retention {
			ids = append(ids, id)
		}
	}
	return ids
}

// Forget drops jobs whose rows are gone. A job that is dropped earlier would be taken for a new one when its row is read
// again.
func (s *Scheduler) Forget(ids []string) {
	for _, id := range ids {
		delete(s.jobs, id)
	}
}

// forgetCancellations drops cancellations whose jobs were never read.
func (s *Scheduler) forgetCancellations(now time.Time) {
	for id, came := range s.cancelled {
		if now.Sub(came) > s.cfg.Retention {
			delete(s.cancelled, id)
		}
	}
}

// Record is what has to be durable of one job.
type Record struct {
	JobID    string
	Spec     *workload.Spec     // nil if it is durable already or not needed any more
	Progress *workload.Progress // nil if there is none yet
}

// TakeRecords returns the progress of all jobs that changed since the last call, the generation that Persisted names once
// they are durable, and whether a commit is needed: for them, for acknowledgements that wait, or to confirm the ownership
// after new jobs were learned of.
func (s *Scheduler) TakeRecords() (int64, []Record, bool) {
	needed := len(s.dirty) > 0 || s.learned > s.confirmed || s.acksWait()
	records := make([]Record, 0, len(s.dirty))
	for j := range s.dirty {
		records = append(records, j.record())
		j.writing = j.state
		j.writingGeneration = s.generation
	}
	clear(s.dirty)
	sort.Slice(records, func(a, b int) bool { return records[a].JobID < records[b].JobID })
	s.generation++
	return s.generation - 1, records, needed
}

func (s *Scheduler) acksWait() bool {
	for _, w := range s.sorted {
		if len(w.acks) > 0 {
			return true
		}
	}
	return false
}

// Persisted tells that the records of a generation and of all before it are durable, by a commit that began after
// TakeRecords. Ends that they cover may be acknowledged to the workers. The commit also shows that nobody else had claimed
// the ownership when it was applied, so a successor will find the jobs that were known then.
func (s *Scheduler) Persisted(generation int64, records []Record) {
	s.confirmed = max(s.confirmed, generation)
	s.planConfirmed()
	for _, r := range records {
		if j := s.jobs[r.JobID]; j != nil && j.writingGeneration <= generation {
			j.shown, j.stored = j.writing, true
			if j.shown.Final() {
				j.forgetTasks()
			}
		}
	}
	for _, w := range s.sorted {
		w.acknowledge(generation)
	}
}

// forgetTasks drops what is only needed while the job has not ended: the state of ended jobs is told for minutes.
func (j *job) forgetTasks() {
	j.occurrences = nil
	j.spec = &workload.Spec{ID: j.spec.ID, Queue: queues.Queue{Name: j.spec.Queue.Name}, Accepted: j.spec.Accepted}
}

// planConfirmed lets the jobs be planned that a commit has just confirmed.
func (s *Scheduler) planConfirmed() {
	n := 0
	for n < len(s.unconfirmed) && s.unconfirmed[n].learned <= s.confirmed {
		for _, o := range s.unconfirmed[n].occurrences {
			s.planOccurrence(o)
		}
		n++
	}
	s.unconfirmed = s.unconfirmed[n:]
}

func (s *Scheduler) planOccurrence(o *occurrence) {
	if o == nil {
		return
	}
	for _, u := range o.units {
		s.soon[u] = struct{}{}
	}
}

// AckedEnd returns the number of the last end of a worker that may be forgotten there.
func (s *Scheduler) AckedEnd(workerID string) int64 {
	if w := s.workers[workerID]; w != nil {
		return w.acked
	}
	return 0
}
