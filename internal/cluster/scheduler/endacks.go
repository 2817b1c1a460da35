package scheduler

import (
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// pendingAck is an applied end that the worker may forget once the records of the generation are durable and no start of its task may be
// carried out late.
type pendingAck struct {
	number     int64
	generation int64
	starts     []*unansweredStart // of its task when it was applied
	inherited  bool               // an earlier owner may have made attempts of which this one does not know
}

// newPendingAck returns the pending acknowledgement of an end that is applied now. Only ends as done, and failed ones, which use up the
// attempts of a task, must not be taken note of before a late start.
func (s *Scheduler) newPendingAck(e EndedRun) pendingAck {
	a := pendingAck{number: e.Number, generation: s.generation}
	j := s.jobs[e.Task.Job]
	if j == nil || e.Reason != EndDone && e.Reason != EndFailed || j.lasts(e.Task) {
		return a
	}
	a.starts, a.inherited = j.unanswered.of(e.Task), j.mayHaveUnknownStarts(e.Task)
	return a
}

// mayHaveUnknownStarts reports whether an earlier owner may have started the task without a ticket and not stored that an attempt got no
// answer.
func (j *job) mayHaveUnknownStarts(id workload.TaskID) bool {
	if j.endedWithUnanswered {
		return true
	}
	if !j.inherited || j.queue.PolicyService != nil {
		return false
	}
	if !inRange(id.Step, len(j.spec.Steps)) {
		return j.state.Final() // its steps are not kept
	}
	step := &j.spec.Steps[id.Step]
	return !step.Speculative
}

// endedWithLateStarts reports whether workers may still carry out starts of a job that ends now.
func (j *job) endedWithLateStarts() bool {
	return j.endedWithUnanswered || len(j.unanswered) > 0 || j.inherited && j.queue.PolicyService == nil
}

// acknowledgeEnds marks the ends as acknowledged that are durable and not held back, up to the first other one. It reports whether there are
// any.
func (s *Scheduler) acknowledgeEnds(w *worker, now time.Time) bool {
	n := 0
	for n < len(w.pendingAcks) && w.pendingAcks[n].generation <= s.storedGeneration && !s.heldBack(w.pendingAcks[n], now) {
		w.lastDurableEnd = max(w.lastDurableEnd, w.pendingAcks[n].number)
		n++
	}
	w.pendingAcks = w.pendingAcks[n:]
	return n > 0
}

// heldBack reports whether an end must not be acknowledged yet because a start of its task may be carried out late.
func (s *Scheduler) heldBack(a pendingAck, now time.Time) bool {
	return s.mayStartLate(a.starts, now) || a.inherited && now.Before(s.earlierStartsUntil)
}

// AcknowledgeEnds returns the IDs of the workers with ends that may be acknowledged now; see LastDurableEnd.
func (s *Scheduler) AcknowledgeEnds(now time.Time) []string {
	var acknowledged []string
	for w := range s.withPendingAcks {
		if s.acknowledgeEnds(w, now) {
			acknowledged = append(acknowledged, w.info.ID)
		}
		if len(w.pendingAcks) == 0 {
			delete(s.withPendingAcks, w)
		}
	}
	return acknowledged
}

// EndsHeldBack returns the number of stored ends whose acknowledgement waits for a start that may be carried out late, with those behind
// them: a worker forgets its ends in order.
func (s *Scheduler) EndsHeldBack() int {
	n := 0
	for w := range s.withPendingAcks {
		for _, a := range w.pendingAcks {
			if a.generation <= s.storedGeneration {
				n++
			}
		}
	}
	return n
}

// endsUnstored reports whether ends were applied that no commit has made durable yet.
func (s *Scheduler) endsUnstored() bool { return s.endsGeneration > s.storedGeneration }

// LastDurableEnd returns the number of the last end that this incarnation of the worker may forget, because it is durable and not held back.
func (s *Scheduler) LastDurableEnd(workerID string, incarnation int64) int64 {
	if w := s.workers[workerID]; w != nil && w.info.Incarnation == incarnation {
		return w.lastDurableEnd
	}
	return 0
}

// lasts reports whether the task belongs to a long-running step: it starts again however it ends.
func (j *job) lasts(id workload.TaskID) bool {
	return inRange(id.Step, len(j.spec.Steps)) && j.spec.Steps[id.Step].LongRunning
}
