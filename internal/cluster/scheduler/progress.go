package scheduler

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// tasksPerChunk is the number of tasks whose progress shares a row, and maxStoredCheckpoint the length in bytes up to which a
// checkpoint is stored. Together they keep a row within the store's limits. A longer checkpoint is known to the worker only.
const (
	tasksPerChunk       = 256
	maxStoredCheckpoint = 1024
)

// chunks describes the progress of a job as it is stored. It is divided into chunks of consecutive tasks, so that neither the length
// of a row nor the cost of storing the end of a run grows with the tasks of the job. Most jobs have a single chunk.
type chunks struct {
	count int
	// tasksPerOccurrence is the number of tasks of each occurrence.
	tasksPerOccurrence int
	changed            map[int]struct{} // since the last record was taken; chunk 0 of a job with a single chunk is always included
	stored             map[int]struct{} // chunks after the first that may have been stored
}

// ProgressChunk is the progress of some of the tasks of a job.
type ProgressChunk struct {
	Number   int // from 1; Record.Progress is chunk 0
	Progress *workload.Progress
}

// number returns the position of a task among all tasks of its job.
func (t *task) number() int {
	return t.unit.occurrence.number*t.unit.job.chunks.tasksPerOccurrence + t.unit.firstTask + t.index
}

// markTaskChanged includes the progress of a task, or of its whole gang, in the next records.
func (s *Scheduler) markTaskChanged(t *task) {
	j := t.unit.job
	if j.state.Final() {
		return // the record of the final state is the last one
	}
	s.dirty[j] = struct{}{}
	first, last := t.number(), t.number()
	if t.unit.step.Gang {
		first -= t.index
		last = first + t.unit.tasks.count - 1
	}
	for n := first / tasksPerChunk; n <= last/tasksPerChunk; n++ {
		if j.chunks.changed == nil {
			j.chunks.changed = map[int]struct{}{}
		}
		j.chunks.changed[n] = struct{}{}
	}
}

// record returns the job's data that has to be written to the store. An ended job needs no specification, and a job without
// progress no progress row.
func (j *job) record() Record {
	r := Record{JobID: j.spec.ID, ProgressStored: j.progressStored, state: j.state}
	if j.state.Final() {
		r.Progress = &workload.Progress{State: j.state, Ended: j.endedAt, Team: j.spec.Team, Unanswered: j.endedWithLateStarts()}
		r.StoredChunks = slices.Sorted(maps.Keys(j.chunks.stored))
		return r
	}
	if !j.stored {
		r.Spec = j.spec
	}
	for _, n := range slices.Sorted(maps.Keys(j.chunks.changed)) {
		if n > 0 {
			r.Chunks = append(r.Chunks, ProgressChunk{n, j.chunkProgress(n)})
			j.chunks.markStored(n)
		}
	}
	if _, changed := j.chunks.changed[0]; changed || j.chunks.count <= 1 || !j.progressStored {
		r.Progress = j.chunkProgress(0)
		r.Progress.Team = j.spec.Team
		if len(r.Progress.Tasks) == 0 && len(r.Chunks) == 0 && !j.started {
			r.Progress = nil
		}
	}
	clear(j.chunks.changed)
	return r
}

func (c *chunks) markStored(n int) {
	if c.stored == nil {
		c.stored = map[int]struct{}{}
	}
	c.stored[n] = struct{}{}
}

// chunkProgress returns one chunk of the job's progress in its durable form.
func (j *job) chunkProgress(n int) *workload.Progress {
	p := &workload.Progress{State: j.state}
	if j.started {
		p.State = workload.Running
	}
	perOccurrence := j.chunks.tasksPerOccurrence
	end := min((n+1)*tasksPerChunk, perOccurrence*len(j.occurrences))
	for number := n * tasksPerChunk; number < end; {
		k, first := number/perOccurrence, number%perOccurrence
		next := min((k+1)*perOccurrence, end)
		if o := j.occurrences[k]; o != nil {
			p.Tasks = j.appendProgress(p.Tasks, o, first, first+next-number)
		}
		number = next
	}
	return p
}

// appendProgress appends the progress of the tasks of an occurrence from number first up to end as far as there is anything to store.
func (j *job) appendProgress(out []workload.TaskProgress, o *occurrence, first, end int) []workload.TaskProgress {
	if o.units == nil { // all are done
		firstTask := 0
		for i, step := range j.spec.Steps {
			for index := max(first-firstTask, 0); index < min(end-firstTask, step.Count); index++ {
				out = append(out, workload.TaskProgress{Occurrence: o.number, Step: i, Index: index, Done: true})
			}
			firstTask += step.Count
		}
		return out
	}
	i := sort.Search(len(o.units), func(i int) bool { return o.units[i].firstTask > first }) - 1
	for ; i < len(o.units) && o.units[i].firstTask < end; i++ {
		u := o.units[i]
		out = u.appendProgress(out, max(first-u.firstTask, 0), min(end-u.firstTask, u.tasks.count))
	}
	return out
}

// appendProgress appends the progress of the tasks from index first up to end as far as there is anything to store.
func (u *unit) appendProgress(out []workload.TaskProgress, first, end int) []workload.TaskProgress {
	for index := first; index < end; index++ {
		t, done := u.tasks.state(index)
		switch {
		case done:
			out = append(out, workload.TaskProgress{Occurrence: u.occurrence.number, Step: u.index, Index: index, Done: true})
			continue
		case t == nil && !u.step.Gang:
			continue // it has never been placed
		case t == nil:
			t = u.tasks.peek(index) // the members of a gang share their progress
		}
		if tp := t.progress(); tp.Worthwhile() {
			out = append(out, tp)
		}
	}
	return out
}

// newChunks returns the division of a job's progress; nothing has changed and nothing is stored.
func newChunks(spec *workload.Spec) chunks {
	var c chunks
	for _, step := range spec.Steps {
		c.tasksPerOccurrence += step.Count
	}
	c.count = (c.tasksPerOccurrence*spec.Occurrences() + tasksPerChunk - 1) / tasksPerChunk
	return c
}

// progress returns the progress of a task that is not done, or of its gang as far as the members share it, in its durable form.
func (t *task) progress() workload.TaskProgress {
	u := t.unit
	p := workload.TaskProgress{Occurrence: u.occurrence.number, Step: u.index, Index: t.index, FailedRuns: t.failedRuns,
		Checkpoint: t.checkpoint, Run: t.run}
	if u.step.Gang {
		p.FailedRuns, p.Checkpoint, p.Run = u.failedRuns, u.checkpoint, u.run
	}
	if len(p.Checkpoint) > maxStoredCheckpoint {
		p.Checkpoint = ""
	}
	for _, start := range u.job.unanswered[u.startKey(t.id())] {
		if start.index == t.index && start.durable && !slices.Contains(p.UnansweredBy, start.worker) {
			p.UnansweredBy = append(p.UnansweredBy, start.worker)
		}
	}
	switch own := storedEvidence(t.evidence); {
	case !u.step.Gang:
		p.Crash = own
	case t.index == 0:
		p.Crash, p.MemberCrash = storedEvidence(u.evidence), own
	default:
		p.MemberCrash = own
	}
	return p
}

// storedEvidence returns a copy of the evidence, or nil if there is none.
func storedEvidence(e workload.CrashEvidence) *workload.CrashEvidence {
	if e.Empty() {
		return nil
	}
	return &e
}

// restore applies progress that an earlier owner stored, and opens the occurrences that it mentions.
func (s *Scheduler) restore(j *job, p *workload.Progress, now time.Time) {
	for _, r := range p.DoneRanges {
		for n := range r.Count {
			s.restoreTask(j, workload.TaskProgress{Occurrence: r.Occurrence, Step: r.Step, Index: r.First + n, Done: true})
		}
	}
	for _, tp := range p.Tasks {
		if t := s.restoreTask(j, tp); t != nil {
			s.restoreEvidence(t, tp, now)
		}
	}
	for _, n := range p.StoredChunks {
		j.chunks.markStored(n)
	}
	j.state = p.State
	j.durableState = p.State
	j.started = j.started || p.State == workload.Running
}

// restoreTask applies the progress of one task and returns the task, or nil if there is none. Chunks may be of different ages: an owner
// may have ended after it had stored some of them. So the members of a gang take over what any of them knows.
func (s *Scheduler) restoreTask(j *job, tp workload.TaskProgress) *task {
	if !inRange(tp.Occurrence, len(j.occurrences)) || !inRange(tp.Step, len(j.spec.Steps)) {
		return nil
	}
	u := s.openOccurrence(j, tp.Occurrence).unit(tp.Step)
	if u == nil || !inRange(tp.Index, u.tasks.count) {
		return nil
	}
	t := u.tasks.peek(tp.Index)
	if !tp.Done && !t.done {
		u.tasks.keep(t)
	}
	t.failedRuns, t.checkpoint, t.run = tp.FailedRuns, tp.Checkpoint, tp.Run
	s.restoreUnanswered(t, tp)
	if u.step.Gang {
		if len(tp.FailedRuns) > len(u.failedRuns) {
			u.failedRuns = tp.FailedRuns
		}
		if tp.Run >= u.run {
			u.run, u.checkpoint = tp.Run, tp.Checkpoint
		}
	}
	if tp.Done && !t.done { // the whole gang is done with its first member
		for member := range t.representedBy() {
			s.markDone(member)
		}
	}
	return t
}
