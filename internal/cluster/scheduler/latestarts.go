package scheduler

import (
	"slices"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// An attempt of a start that its worker has not answered may be carried out up to Config.LateCallLimit later, by the incarnation that is
// present then. The incarnation that knows the run rejects it, but the next one remembers neither the run nor the fencing token, and the
// first call to it may come too late. A ticket prevents that, since it is valid for one incarnation only. So for a start without one:
//
//   - Until then, another run of the task starts only on the same worker. Elsewhere, the late run could start beside it or after its end.
//   - Until then, the worker may not forget an end of the task as done or failed. If the worker restarts first, that end is gone with the
//     incarnation, and nobody has taken note of it there. The end counts all the same: it is stored.

// unansweredStart is a start of which attempts may still be carried out.
type unansweredStart struct {
	worker string
	index  int // of the task in its step
	run    int64
	// until is when no attempt is carried out any more. While the outcome of the start is not known, attempts are assumed for startAttempts.
	until time.Time
	// durable means that a successor has to know of it: an attempt has got no answer.
	durable bool
	// inherited means that an earlier owner has ordered the start: the later of until and Scheduler.earlierStartsUntil counts.
	inherited bool
}

// unansweredStarts holds the unanswered starts of a job. They are kept after the job has ended, since runs that start late still end. The
// members of a gang share an entry, with the index gangIndex, because one end as done represents all of them.
type unansweredStarts map[workload.TaskID][]*unansweredStart

const gangIndex = -1

// gangKey returns the key of the gang to which a task belongs, if it belongs to one.
func gangKey(id workload.TaskID) workload.TaskID {
	id.Index = gangIndex
	return id
}

// startKey returns the key of a task of the unit in unansweredStarts.
func (u *unit) startKey(id workload.TaskID) workload.TaskID {
	if u.step.Gang {
		return gangKey(id)
	}
	return id
}

// of returns the starts that matter for an end of a task: its own, or those of all members of its gang.
func (m unansweredStarts) of(id workload.TaskID) []*unansweredStart {
	if len(m) == 0 {
		return nil
	}
	return append(slices.Clip(m[id]), m[gangKey(id)]...)
}

// remove removes a start.
func (m unansweredStarts) remove(key workload.TaskID, start *unansweredStart) {
	left := slices.DeleteFunc(m[key], func(other *unansweredStart) bool { return other == start })
	if len(left) == 0 {
		delete(m, key)
		return
	}
	m[key] = left
}

// find returns the start of a run on a worker, and its key; nil if it was answered or is not known.
func (m unansweredStarts) find(id workload.TaskID, run int64, worker string) (*unansweredStart, workload.TaskID) {
	for _, key := range []workload.TaskID{id, gangKey(id)} {
		for _, start := range m[key] {
			if start.run == run && start.worker == worker && start.index == id.Index {
				return start, key
			}
		}
	}
	return nil, workload.TaskID{}
}

// startsLate reports whether a start of the unit may be carried out after its run has ended and do harm.
func (u *unit) startsLate() bool {
	return u.job.queue.PolicyService == nil && !u.step.Speculative
}

// addUnanswered adds a start of a task of the unit.
func (u *unit) addUnanswered(id workload.TaskID, start *unansweredStart) {
	j, key := u.job, u.startKey(id)
	if j.unanswered == nil {
		j.unanswered = unansweredStarts{}
	}
	j.unanswered[key] = append(j.unanswered[key], start)
}

// noteStartOrdered notes a start whose outcome is not known yet. It forgets those of the task that no report can show any more.
func (s *Scheduler) noteStartOrdered(p *placement, now time.Time) {
	u := p.task.unit
	if p.withTicket || !u.startsLate() {
		return
	}
	for _, start := range slices.Clone(u.job.unanswered[u.startKey(p.id)]) {
		if now.Sub(s.lateUntil(start)) > staleCallLimit {
			u.job.unanswered.remove(u.startKey(p.id), start)
		}
	}
	u.addUnanswered(p.id, &unansweredStart{worker: p.worker.info.ID, index: p.id.Index, run: p.run, until: s.attemptsUntil(now)})
	s.startsInFlight = append(s.startsInFlight, startInFlight{p.id, p.run, p.worker.info.ID, now})
}

// startInFlight is a start that was ordered at most unansweredAfter ago.
type startInFlight struct {
	task      workload.TaskID
	run       int64
	worker    string
	orderedAt time.Time
}

// unansweredAfter is how long after its order a start without an outcome is stored as unanswered. The outcome follows seconds later, and the
// owner may be gone by then.
const unansweredAfter = 250 * time.Millisecond

// storeSlowStarts has the starts stored that have had no outcome for unansweredAfter.
func (s *Scheduler) storeSlowStarts(now time.Time) {
	n := 0
	for ; n < len(s.startsInFlight) && now.Sub(s.startsInFlight[n].orderedAt) >= unansweredAfter; n++ {
		f := s.startsInFlight[n]
		if j := s.jobs[f.task.Job]; j != nil {
			if start, _ := j.unanswered.find(f.task, f.run, f.worker); start != nil {
				s.makeDurable(start, f.task)
			}
		}
	}
	s.startsInFlight = slices.Delete(s.startsInFlight, 0, n)
}

// makeDurable has a start stored.
func (s *Scheduler) makeDurable(start *unansweredStart, id workload.TaskID) {
	if start.durable {
		return
	}
	start.durable = true
	if t := s.task(id); t != nil {
		s.markTaskChanged(t)
	}
}

// attemptsUntil returns when no attempt of a start is carried out any more that is ordered now.
func (s *Scheduler) attemptsUntil(now time.Time) time.Time {
	return now.Add(startAttempts + s.cfg.LateCallLimit)
}

// NoteStartRepeated notes that a start is sent once more, after an executor has lost its worker without an outcome.
func (s *Scheduler) NoteStartRepeated(now time.Time, workerID string, id workload.TaskID, run int64) {
	if j := s.jobs[id.Job]; j != nil {
		if start, _ := j.unanswered.find(id, run, workerID); start != nil {
			start.until = s.attemptsUntil(now)
		}
	}
}

// noteStartOutcome forgets a start of which every attempt was answered, and notes when the last attempt of another one was made.
func (s *Scheduler) noteStartOutcome(r StartResult) {
	j := s.jobs[r.Task.Job]
	if j == nil {
		return
	}
	start, key := j.unanswered.find(r.Task, r.Run, r.Worker)
	switch {
	case start == nil:
	case r.Outcome != StartUnknown && !r.Retried:
		j.unanswered.remove(key, start)
	default:
		start.until = r.AnsweredAt.Add(s.cfg.LateCallLimit)
		s.makeDurable(start, r.Task)
	}
}

// lateUntil returns when no attempt of a start is carried out any more.
func (s *Scheduler) lateUntil(start *unansweredStart) time.Time {
	if start.inherited && s.earlierStartsUntil.After(start.until) {
		return s.earlierStartsUntil
	}
	return start.until
}

// mayStartLate reports whether attempts of one of the starts may still be carried out.
func (s *Scheduler) mayStartLate(starts []*unansweredStart, now time.Time) bool {
	return slices.ContainsFunc(starts, func(start *unansweredStart) bool { return now.Before(s.lateUntil(start)) })
}

// SetEarlierStarts records that earlier owners may order starts until the given time. A successor does not know all attempts without an
// answer, so it assumes some for each task that an earlier owner may have started.
func (s *Scheduler) SetEarlierStarts(until time.Time) {
	s.earlierStartsUntil = until.Add(s.cfg.LateCallLimit)
}

// LimitEarlierStarts records that the previous owner orders no starts after the given time. Owners before it may go on, unless they are known
// to have ended.
func (s *Scheduler) LimitEarlierStarts(until time.Time) {
	if limit := until.Add(s.cfg.LateCallLimit); !s.earlierOwners && limit.Before(s.earlierStartsUntil) {
		s.earlierStartsUntil = limit
	}
}

// boundWorkers returns the workers of the unanswered starts of a task that may still be carried out.
func (s *Scheduler) boundWorkers(t *task, now time.Time) []string {
	var ids []string
	for _, start := range t.unit.job.unanswered[t.unit.startKey(t.id())] {
		if start.index == t.index && now.Before(s.lateUntil(start)) && !slices.Contains(ids, start.worker) {
			ids = append(ids, start.worker)
		}
	}
	return ids
}

// hasUnanswered reports whether a task of the unit may have unanswered starts, for which its workers have to be looked at one by one.
func (u *unit) hasUnanswered() bool { return len(u.job.unanswered) > 0 }

// startableOn returns those of the workers on which the task may start beside its unanswered starts, and whether there is a restriction.
// Before the calls to its worker are fenced, a late run may begin there that no report has listed. The users of a long-running task would
// be without it for longer than they may be, so it starts elsewhere if it can't start there.
func (s *Scheduler) startableOn(t *task, workers []*worker, now time.Time) ([]*worker, bool) {
	if !t.unit.hasUnanswered() {
		return workers, false
	}
	bound := s.boundWorkers(t, now)
	if len(bound) == 0 {
		return workers, false
	}
	out := make([]*worker, 0, 1)
	for _, w := range workers {
		if len(bound) == 1 && w.info.ID == bound[0] && !w.mayGetStaleCalls {
			out = append(out, w)
		}
	}
	if t.unit.step.LongRunning && (len(out) == 0 || !out[0].fits(t.unit)) {
		return workers, false
	}
	return out, true
}

// hasBoundTasks reports whether a waiting task of the unit may start on one worker only.
func (s *Scheduler) hasBoundTasks(u *unit, now time.Time) bool {
	if !u.hasUnanswered() {
		return false
	}
	for t := range u.tasks.waiting(now) {
		if len(s.boundWorkers(t, now)) > 0 {
			return true
		}
	}
	return false
}

// LateStart is a start that a worker has carried out after the run was given up, or was ended, for logs and metrics.
type LateStart struct {
	Worker string
	Task   workload.TaskID
	Run    int64
	// Beyond is by how much longer after the last attempt it was reported than Config.LateCallLimit; negative if it came within the limit.
	Beyond time.Duration
}

// noteLateStart notes a run that a report lists although it is not placed on the worker. What an earlier owner has started is not late.
func (s *Scheduler) noteLateStart(workerID string, id workload.TaskID, run int64, now time.Time) {
	if j := s.jobs[id.Job]; j != nil {
		if start, _ := j.unanswered.find(id, run, workerID); start != nil && !start.inherited {
			s.lateStarts = append(s.lateStarts, LateStart{Worker: workerID, Task: id, Run: run, Beyond: now.Sub(s.lateUntil(start))})
		}
	}
}

// TakeLateStarts returns the late starts since the last call.
func (s *Scheduler) TakeLateStarts() []LateStart {
	starts := s.lateStarts
	s.lateStarts = nil
	return starts
}

// restoreUnanswered takes over the unanswered starts of a task that an earlier owner has stored.
func (s *Scheduler) restoreUnanswered(t *task, tp workload.TaskProgress) {
	if len(tp.UnansweredBy) == 0 || !t.unit.startsLate() {
		return
	}
	for _, id := range tp.UnansweredBy {
		t.unit.addUnanswered(t.id(), &unansweredStart{worker: id, index: t.index, run: tp.Run, durable: true, inherited: true})
	}
}
