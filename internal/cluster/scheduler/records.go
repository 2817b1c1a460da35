package scheduler

import (
	"sort"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// ExpiredJobs returns the IDs of at most limit ended jobs whose retention has passed. It also drops cancellations whose
// jobs were not added within the retention.
func (s *Scheduler) ExpiredJobs(now time.Time, limit int) []string {
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

// RemoveJobs removes jobs whose rows have been deleted. If a job were removed before its row, the next read of the row would
// add it as a new job.
func (s *Scheduler) RemoveJobs(ids []string) {
	for _, id := range ids {
		delete(s.jobs, id)
	}
}

// expireEarlyCancellations removes cancellations whose jobs were not added within the retention.
func (s *Scheduler) expireEarlyCancellations(now time.Time) {
	for id, receivedAt := range s.cancelled {
		if now.Sub(receivedAt) > s.cfg.Retention {
			delete(s.cancelled, id)
		}
	}
}

// Record holds the data of one job that has to be written to the store.
type Record struct {
	JobID    string
	Spec     *workload.Spec     // nil if it is durable already or no longer needed
	Progress *workload.Progress // chunk 0 of it, or the final state; nil if there is nothing to write
	Chunks   []ProgressChunk    // further chunks that have changed
	// ProgressStored means that progress of the job was stored before.
	ProgressStored bool
	// StoredChunks are the numbers of the further chunks that may be stored, and have to be removed with the end of the job.
	StoredChunks []int

	state workload.State
}

// commitPriority returns the rank of a record in a commit, the most urgent being 0: tasks of new jobs can't start, and the
// end of a job can't be shown to callers, before the record is durable. Progress is needed only by a successor.
func (r Record) commitPriority() int {
	switch {
	case r.Spec != nil:
		return 0
	case r.state.Final():
		return 1
	}
	return 2
}

// TakeRecords returns the records of all jobs that changed since the last call, the most urgent first, and their generation, to
// be passed to MarkGenerationStored once they are durable. The last result reports whether a commit is needed, for the records,
// for pending acknowledgements of ends or to confirm the ownership after the loss of runs or of workers.
func (s *Scheduler) TakeRecords() (int64, []Record, bool) {
	needed := len(s.dirty) > 0 || len(s.withPendingAcks) > 0 || len(s.unconfirmedLosses) > 0 || s.unconfirmedGiveUp > 0
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

// FailUnstorable ends a job as failed because the store rejects what has to be stored of it, and returns the record of its final
// state.
func (s *Scheduler) FailUnstorable(now time.Time, id string) Record {
	j := s.jobs[id]
	if j == nil {
		return Record{JobID: id, Progress: &workload.Progress{State: workload.Failed, Ended: now}, state: workload.Failed}
	}
	if !j.state.Final() {
		s.finishJob(j, workload.Failed, now)
	}
	delete(s.dirty, j)
	return j.record()
}

// TakeNewJobRecords returns records of at most limit jobs that were added after the last TakeRecords. While the store is slow,
// the progress of hundreds of jobs takes seconds to write; without TakeNewJobRecords, new jobs could not start before all of it
// is written.
func (s *Scheduler) TakeNewJobRecords(limit int) []Record {
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

// MarkStored records that a commit of this owner made the records durable. The commit also proves that no other owner had
// claimed the ownership when it was applied. So a successor will find the jobs, and their tasks may start.
func (s *Scheduler) MarkStored(records []Record) {
	for _, r := range records {
		j := s.jobs[r.JobID]
		if j == nil || j.durableState.Final() {
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

// MarkGenerationStored records that all records up to and including a generation are durable. It returns the IDs of the workers with
// ends that may now be acknowledged; see LastDurableEnd.
func (s *Scheduler) MarkGenerationStored(generation int64) []string {
	var acknowledged []string
	for w := range s.withPendingAcks {
		if w.acknowledgeEnds(generation) {
			acknowledged = append(acknowledged, w.info.ID)
		}
		if len(w.pendingAcks) == 0 {
			delete(s.withPendingAcks, w)
		}
	}
	for u, lostIn := range s.unconfirmedLosses {
		if lostIn <= generation {
			delete(s.unconfirmedLosses, u)
			s.changedUnits[u] = struct{}{}
		}
	}
	s.markGiveUpsConfirmed(generation)
	return acknowledged
}

// dropTasks frees the data of an ended job that lookups don't need, since ended jobs are kept for minutes.
func (j *job) dropTasks() {
	j.occurrences, j.dependencies, j.chunks = nil, dependencies{}, chunks{}
	j.spec = &workload.Spec{ID: j.spec.ID, Team: j.spec.Team, Queue: queues.Queue{Name: j.spec.Queue.Name}, Accepted: j.spec.Accepted}
}

// markOccurrenceChanged includes the units of an occurrence in the next PlanChanged.
func (s *Scheduler) markOccurrenceChanged(o *occurrence) {
	if o == nil {
		return
	}
	for _, u := range o.units {
		s.changedUnits[u] = struct{}{}
	}
}

// LastDurableEnd returns the number of the last end that this incarnation of the worker may forget, because it is durable.
func (s *Scheduler) LastDurableEnd(workerID string, incarnation int64) int64 {
	if w := s.workers[workerID]; w != nil && w.info.Incarnation == incarnation {
		return w.lastDurableEnd
	}
	return 0
}
