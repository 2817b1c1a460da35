package scheduler

import (
	"sort"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// Expired returns ended jobs whose retention has passed, at most limit.
func (s *Scheduler) Expired(now time.Time, limit int) []string {
	s.expireEarlyCancellations(now)
	var ids []string
	for id, j := range s.jobs {
		if len(ids) == limit {
			break
		}
		if j.durableState.Final() && now.Sub(j.endedAt) > s.cfg.Retention {
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

// expireEarlyCancellations drops cancellations whose jobs were never read.
func (s *Scheduler) expireEarlyCancellations(now time.Time) {
	for id, receivedAt := range s.cancelled {
		if now.Sub(receivedAt) > s.cfg.Retention {
			delete(s.cancelled, id)
		}
	}
}

// Record is what has to be durable of one job.
type Record struct {
	JobID    string
	Spec     *workload.Spec     // nil if it is durable already or not needed any more
	Progress *workload.Progress // nil if there is none yet
	// ProgressStored tells that an earlier record of the job has stored progress.
	ProgressStored bool

	state workload.State
}

// commitPriority orders records: callers' new jobs wait to be started, and ended ones to be told. Progress is only for a successor.
func (r Record) commitPriority() int {
	switch {
	case r.Spec != nil:
		return 0
	case r.state.Final():
		return 1
	}
	return 2
}

// TakeRecords returns the progress of all jobs that changed since the last call, the most urgent records first, the
// generation that Persisted names once they are durable, and whether a commit is needed: for them or for acknowledgements
// that wait.
func (s *Scheduler) TakeRecords() (int64, []Record, bool) {
	needed := len(s.dirty) > 0 || s.hasPendingAcks()
	records := make([]Record, 0, len(s.dirty))
	for j := range s.dirty {
		records = append(records, j.record())
	}
	clear(s.dirty)
	s.newJobs = nil
	sortRecords(records)
	s.generation++
	return s.generation - 1, records, needed
}

// TakeNew returns records of jobs that came after the last TakeRecords, at most limit. Load: while the store is slow, the
// progress of hundreds of jobs takes seconds to store; new jobs would wait for all of it before they start.
func (s *Scheduler) TakeNew(limit int) []Record {
	var records []Record
	for len(s.newJobs) > 0 && len(records) < limit {
		j := s.newJobs[0]
		s.newJobs = s.newJobs[1:]
		if _, dirty := s.dirty[j]; dirty && !j.stored {
			delete(s.dirty, j)
			records = append(records, j.record())
		}
	}
	sortRecords(records)
	return records
}

func sortRecords(records []Record) {
	sort.Slice(records, func(a, b int) bool {
		if ua, ub := records[a].commitPriority(), records[b].commitPriority(); ua != ub {
			return ua < ub
		}
		return records[a].JobID < records[b].JobID
	})
}

func (s *Scheduler) hasPendingAcks() bool {
	for _, w := range s.sortedWorkers {
		if len(w.pendingAcks) > 0 {
			return true
		}
	}
	return false
}

// Stored tells that records are durable, by a commit of this owner. The commit also shows that nobody else had claimed the
// ownership when it was applied, so a successor will find the jobs and their tasks may start.
func (s *Scheduler) Stored(records []Record) {
	for _, r := range records {
		j := s.jobs[r.JobID]
		if j == nil {
			continue
		}
		j.durableState = r.state
		j.progressStored = j.progressStored || r.Progress != nil
		if !j.stored {
			j.stored = true
			for _, o := range j.occurrences {
				s.markOccurrenceChanged(o)
			}
		}
		if j.durableState.Final() {
			j.dropTasks()
		}
	}
}

// Persisted tells that all records of a generation and of those before it are durable. Ends that they cover may be
// acknowledged to the workers.
func (s *Scheduler) Persisted(generation int64) {
	for _, w := range s.sortedWorkers {
		w.acknowledgeEnds(generation)
	}
}

// dropTasks drops what is only needed while the job has not ended: the state of ended jobs is told for minutes.
func (j *job) dropTasks() {
	j.occurrences = nil
	j.spec = &workload.Spec{ID: j.spec.ID, Queue: queues.Queue{Name: j.spec.Queue.Name}, Accepted: j.spec.Accepted}
}

func (s *Scheduler) markOccurrenceChanged(o *occurrence) {
	if o == nil {
		return
	}
	for _, u := range o.units {
		s.changedUnits[u] = struct{}{}
	}
}

// AckedEnd returns the number of the last end of a worker that may be forgotten there.
func (s *Scheduler) AckedEnd(workerID string) int64 {
	if w := s.workers[workerID]; w != nil {
		return w.lastAckedEnd
	}
	return 0
}
