package scheduler

import (
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// Start is an order to start a run.
type Start struct {
	Task       workload.TaskID
	Run        int64
	Worker     WorkerInfo
	Payload    string
	Checkpoint string
	Ticket     string
	Queue      string
	Waited     time.Duration // since the job was accepted
}

// Stop is an order to end a run.
type Stop struct {
	Task   workload.TaskID
	Run    int64
	Worker WorkerInfo
	Reason string
}

// StartOutcome is what became of a start.
type StartOutcome int

// Outcomes of starts.
const (
	StartAccepted StartOutcome = iota
	StartUnknown               // no answer: the run may be there, or may come there later
	RejectedOld                // the worker has seen the end of the same or a higher run
	RejectedRoom
	RejectedTicket
	RejectedUnhealthy
	RejectedOther // late, fenced, another life, or a wrong order: nothing runs
)

func (o StartOutcome) String() string {
	names := [...]string{"accepted", "unknown", "old", "room", "ticket", "unhealthy", "rejected"}
	return names[o]
}

// StartResult is the outcome of one start.
type StartResult struct {
	Task       workload.TaskID
	Run        int64
	Worker     string
	Outcome    StartOutcome
	At         time.Time // when the answer came
	LeaseUntil time.Time
}

const (
	// rejectDelay keeps tasks from a worker that has just rejected one for want of room or health.
	rejectDelay = 300 * time.Millisecond
	// oldRunIncrement is how far a run number is raised past one that the worker calls old.
	oldRunIncrement = 16
)

// StartDone applies the outcome of a start.
func (s *Scheduler) StartDone(now time.Time, r StartResult) {
	w := s.workers[r.Worker]
	if w == nil {
		return
	}
	w.extendLease(r.LeaseUntil)
	p := w.findPlacement(r.Task, r.Run)
	if p == nil {
		return
	}
	switch r.Outcome {
	case StartAccepted:
		if p.state == starting {
			p.state, p.confirmedAt = running, r.At
		}
		if p.task != nil {
			p.task.unit.job.started = true
		}
	case StartUnknown:
		if p.state == starting {
			s.stopRun(p, "the start was not answered")
			s.stopGangOf(p, "the start of a member of the gang was not answered")
		}
	case RejectedOld:
		s.handleRejectedOld(p, r.At)
	default:
		s.handleRejected(w, p, r.Outcome, now)
	}
}

// handleRejectedOld waits for the next report: the worker has seen the end of this run or of a higher one, and may be about to
// list it.
func (s *Scheduler) handleRejectedOld(p *placement, at time.Time) {
	p.state, p.stopAckedAt = stopping, at
	if t := p.task; t != nil {
		t.run += oldRunIncrement
		t.unit.run += oldRunIncrement
		s.stopGangOf(p, "a member of the gang was rejected as old")
	}
}

// handleRejected puts a task whose start was handleRejected back into the queue.
func (s *Scheduler) handleRejected(w *worker, p *placement, outcome StartOutcome, now time.Time) {
	w.removePlacement(p)
	t := p.task
	if t == nil || t.placement != p {
		return
	}
	t.placement = nil
	u := t.unit
	s.changedUnits[u] = struct{}{}
	switch outcome {
	case RejectedTicket:
		delete(u.tickets, w.info.ID)
	case RejectedUnhealthy, RejectedRoom:
		w.health.quarantinedUntil = maxTime(w.health.quarantinedUntil, now.Add(rejectDelay))
	}
	if u.step.Gang {
		s.stopUnit(u, "a member of the gang was rejected")
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// nextRunNumber returns the number of a task's next run.
func (s *Scheduler) nextRunNumber(last int64, inherited bool) int64 {
	if inherited {
		last = max(last, (s.cfg.Epoch-1)*runsPerEpoch)
	}
	return last + 1
}

// startRun orders one run on a worker.
func (s *Scheduler) startRun(t *task, w *worker, run int64, now time.Time) Start {
	u := t.unit
	t.run = run
	p := &placement{id: t.id(), run: run, task: t, worker: w, state: starting, resources: u.resources(), orderedAt: now,
		percentChangedAt: now}
	t.placement = p
	w.addPlacement(p)
	checkpoint := t.checkpoint
	if u.step.Gang {
		checkpoint = u.checkpoint
	}
	return Start{
		Task: p.id, Run: run, Worker: w.info, Payload: u.job.spec.Payload, Checkpoint: checkpoint,
		Ticket: u.tickets[w.info.ID].value, Queue: u.job.spec.Queue.Name, Waited: now.Sub(u.job.spec.Accepted),
	}
}
