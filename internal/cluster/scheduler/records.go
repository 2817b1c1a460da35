package scheduler

import (
	"math"
	"slices"
	"sort"
	"strings"
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

// Priorities of records in a commit, the most urgent first: tasks of new jobs can't start, and the end of a job can't be shown to
// callers, before the record is durable. Progress is needed only by a successor.
const (
	newJobPriority = iota
	endedJobPriority
	progressPriority
	commitPriorities // number of priorities
)

// commitPriority returns the priority of the record in a commit.
func (r Record) commitPriority() int { return commitPriority(r.Spec != nil, r.state) }

func commitPriority(isNew bool, state workload.State) int {
	switch {
	case isNew:
		return newJobPriority
	case state.Final():
		return endedJobPriority
	}
	return progressPriority
}

// BeginBatch begins a batch of commits for all jobs that changed since the last one, and returns its generation, to be passed to
// MarkGenerationStored once TakeRecords has no more records of the batch and all of them are durable. The last result reports whether a
// commit is needed, for the records, for ends that are not durable or to confirm the ownership after the loss of runs or of workers.
func (s *Scheduler) BeginBatch() (generation int64, needed bool) {
	for j := range s.dirty {
		s.batch[j] = struct{}{}
	}
	clear(s.dirty)
	clear(s.taken)
	s.generation++
	return s.generation - 1, len(s.batch) > 0 || s.endsUnstored() || len(s.unconfirmedLosses) > 0 || s.unconfirmedGiveUp > 0
}

// TakeAllRecords begins a batch and returns all its records, the most urgent first.
func (s *Scheduler) TakeAllRecords() (generation int64, records []Record, needed bool) {
	generation, needed = s.BeginBatch()
	records, _ = s.TakeRecords(math.MaxInt)
	return generation, records, needed
}

const (
	// newJobShare is the part of a commit that new jobs may fill, so that ended jobs and progress are written as well.
	newJobShare = 0.5
	// progressShare is the part of a commit that is kept for the progress of jobs that have not ended: the ends of their runs are
	// acknowledged to the workers only once it is written.
	progressShare = 1.0 / 6
	// newJobsPerEntry is how many new jobs share a row at least, if their specifications are of ordinary length.
	newJobsPerEntry = 8
)

// TakeRecords returns the records for the next commit of a batch, the most urgent first, and whether jobs of the batch are left. They
// take about room entries of a commit. Each record has the state of this moment, and jobs that have arrived or ended since the batch
// began come before the progress of others: while the store is slow, the progress of hundreds of jobs takes seconds to write, and most of
// these jobs end meanwhile, after which only their final states have to be written. A job of which an earlier record waits to be stored is
// left for later, since what its next record has to write and to remove depends on what is stored.
func (s *Scheduler) TakeRecords(room int) (records []Record, more bool) {
	byPriority := s.changedJobs()
	left := float64(room)
	take := func(priority int, keep float64) {
		jobs := byPriority[priority]
		for len(jobs) > 0 && (len(records) == 0 || left-jobs[0].entries() >= keep*float64(room)) {
			left -= jobs[0].entries()
			records = append(records, jobs[0].record())
			delete(s.dirty, jobs[0])
			delete(s.batch, jobs[0])
			s.taken[jobs[0]] = struct{}{}
			jobs = jobs[1:]
		}
		byPriority[priority] = jobs
	}
	take(newJobPriority, 1-newJobShare)
	take(endedJobPriority, progressShare)
	take(progressPriority, 0)
	take(endedJobPriority, 0)
	take(newJobPriority, 0)
	sortRecords(records)
	return records, len(s.batch) > 0
}

// changedJobs returns, by priority of their records, the jobs of the batch and those that have arrived or ended since it began, sorted by ID.
func (s *Scheduler) changedJobs() [commitPriorities][]*job {
	var out [commitPriorities][]*job
	for j := range s.batch {
		out[j.commitPriority()] = append(out[j.commitPriority()], j)
	}
	for j := range s.dirty {
		_, listed := s.batch[j]
		_, taken := s.taken[j]
		if !listed && !taken && j.commitPriority() < progressPriority {
			out[j.commitPriority()] = append(out[j.commitPriority()], j)
		}
	}
	for _, jobs := range out {
		slices.SortFunc(jobs, func(a, b *job) int { return strings.Compare(a.spec.ID, b.spec.ID) })
	}
	return out
}

// commitPriority returns the priority of the job's record; see Record.commitPriority.
func (j *job) commitPriority() int { return commitPriority(!j.state.Final() && !j.stored, j.state) }

// entries returns about how many entries of a commit the job's record takes.
func (j *job) entries() float64 {
	switch {
	case j.commitPriority() == newJobPriority:
		return 1.0 / newJobsPerEntry
	case j.state.Final() && j.progressStored:
		return float64(2 + len(j.chunks.stored))
	}
	return float64(max(1, len(j.chunks.changed)))
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
	delete(s.batch, j)
	return j.record()
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
		delete(s.taken, j)
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

// MarkGenerationStored records that all records up to and including a generation are durable. Ends may be acknowledged then; see
// AcknowledgeEnds.
func (s *Scheduler) MarkGenerationStored(generation int64) {
	s.storedGeneration = max(s.storedGeneration, generation)
	for u, lostIn := range s.unconfirmedLosses {
		if lostIn <= generation {
			delete(s.unconfirmedLosses, u)
			s.changedUnits[u] = struct{}{}
		}
	}
	s.markGiveUpsConfirmed(generation)
}

// dropTasks frees the data of an ended job that lookups don't need, since ended jobs are kept for minutes.
func (j *job) dropTasks() {
	j.occurrences, j.dependencies, j.chunks = nil, dependencies{}, chunks{}
	j.spec = &workload.Spec{ID: j.spec.ID, Queue: queues.Queue{Name: j.spec.Queue.Name}, Team: j.spec.Team, Accepted: j.spec.Accepted}
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
