package scheduler

import (
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// Start is the order to start a run on a worker.
type Start struct {
	Task       workload.TaskID
	Run        int64
	Worker     WorkerInfo
	Payload    string
	Checkpoint string
	Ticket     string
	Queue      string
	Waited     time.Duration // from the acceptance of the job to this order
}

// Stop is the order to stop a run on a worker.
type Stop struct {
	Task   workload.TaskID
	Run    int64
	Worker WorkerInfo
	Reason string
}

// StartOutcome is the outcome of a start order.
type StartOutcome int

// Outcomes of start orders.
const (
	StartAccepted     StartOutcome = iota
	StartUnknown                   // no answer: the worker may run it now, or start it later
	RejectedStaleRun               // the worker has seen the end of the same run or of a higher one
	RejectedCapacity               // the worker lacks free resources
	RejectedTicket                 // the ticket is invalid or has expired
	RejectedUnhealthy              // the worker is unhealthy
	RejectedOther                  // too late, from an outdated owner, for another incarnation, or invalid: nothing was started
)

func (o StartOutcome) String() string {
	names := [...]string{"accepted", "unknown", "old", "room", "ticket", "unhealthy", "rejected"}
	if !inRange(int(o), len(names)) {
		return "invalid"
	}
	return names[o]
}

// StartResult is the outcome of one start order.
type StartResult struct {
	Task       workload.TaskID
	Run        int64
	Worker     string
	Outcome    StartOutcome
	AnsweredAt time.Time // when the answer was received
	LeaseUntil time.Time
	// OtherClock means that another incarnation than the known one has answered, on whose clock the start may have set the longest lease.
	OtherClock bool
	Retried    bool // an earlier attempt was not answered, which the worker may still carry out
}

const (
	// rejectionDelay is how long a worker gets no tasks after it rejected one because it lacked free resources or was
	// unhealthy.
	rejectionDelay = 300 * time.Millisecond
	// otherClockDelay is how long a worker gets no tasks after another incarnation than the known one has answered a start. Its report
	// comes within the timeout of the renewal that is under way.
	otherClockDelay = time.Second
	// oldRunIncrement is added to the run number of a task after a worker rejected it as old (RejectedStaleRun), to get
	// past the highest run number that the worker has seen.
	oldRunIncrement = 16
)

// HandleStartResult applies the outcome of a start order. An invalid outcome, as of a delegate of another release, counts as
// StartUnknown.
func (s *Scheduler) HandleStartResult(now time.Time, r StartResult) {
	if r.Outcome < StartAccepted || r.Outcome > RejectedOther {
		r.Outcome = StartUnknown
	}
	s.noteStartOutcome(r)
	w := s.workers[r.Worker]
	if w == nil {
		return
	}
	w.extendLease(r.LeaseUntil)
	if r.OtherClock {
		s.noteStaleLease(w, now)
		w.health.rejectsUntil = now.Add(otherClockDelay)
	}
	p := w.findPlacement(r.Task, r.Run)
	if p == nil {
		return
	}
	if p.onOther = r.OtherClock; p.onOther {
		s.withdrawSuspicion(p)
	}
	p.retried = r.Retried
	switch r.Outcome {
	case StartAccepted:
		if p.state == starting {
			p.state, p.confirmedAt = running, r.AnsweredAt
		}
		if p.task != nil {
			p.task.unit.job.started = true
			p.task.evidence.AcceptStart(w.info.ID, p.run)
		}
	case StartUnknown:
		p.givenUpAt = r.AnsweredAt
		if p.state == starting {
			s.stopRun(p, "the start was not answered")
			s.stopGangOf(p, "start order of another gang member was not answered")
		}
	case RejectedStaleRun:
		s.handleRejectedOld(p, r.AnsweredAt)
	default:
		s.handleRejected(w, p, r.Outcome, now)
	}
}

// handleRejectedOld applies RejectedStaleRun. It keeps the placement until the next report: the worker has seen the end of
// this run or of a higher one, and its next report may list that end.
func (s *Scheduler) handleRejectedOld(p *placement, at time.Time) {
	p.state, p.stopAckedAt = stopping, at
	if t := p.task; t != nil {
		t.run += oldRunIncrement
		t.unit.run += oldRunIncrement
		s.stopGangOf(p, "start of another gang member was rejected as old")
	}
}

// handleRejected requeues a task whose start was rejected. It drops a rejected ticket, and keeps new tasks off a worker
// that lacks resources or is unhealthy for rejectionDelay.
func (s *Scheduler) handleRejected(w *worker, p *placement, outcome StartOutcome, now time.Time) {
	w.removePlacement(p)
	s.withdrawSuspicion(p)
	t := p.task
	if t == nil || t.placement != p {
		return
	}
	t.removePlacement()
	u := t.unit
	s.changedUnits[u] = struct{}{}
	switch outcome {
	case RejectedTicket:
		delete(u.tickets, w.info.ID)
	case RejectedUnhealthy, RejectedCapacity:
		w.health.rejectsUntil = now.Add(rejectionDelay)
	}
	if u.step.Gang {
		s.stopUnit(u, "start of another gang member was rejected")
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// nextRunNumber returns the number of a task's next run. For an inherited job it exceeds the numbers that an earlier owner
// may have used.
func (s *Scheduler) nextRunNumber(last int64, inherited bool) int64 {
	if inherited {
		last = max(last, (s.cfg.Epoch-1)*runsPerEpoch)
	}
	return last + 1
}

// startRun places a task on a worker and returns the start order.
func (s *Scheduler) startRun(t *task, w *worker, run int64, now time.Time) Start {
	u := t.unit
	t.run = run
	p := &placement{id: t.id(), run: run, task: t, worker: w, state: starting, resources: u.resources(), urgent: s.urgent(u),
		suspected: t.suspected(), orderedAt: now, percentChangedAt: now, withTicket: u.tickets[w.info.ID].value != ""}
	t.placement = p
	u.tasks.keep(t)
	s.charge(p)
	w.addPlacement(p)
	s.noteStartOrdered(p, now)
	if u.job.firstStart.IsZero() {
		u.job.firstStart = now
	}
	s.servicePool(w.info.Service).noteStart(w, p.resources.CPUMilli)
	s.noteForecastStart(u, now)
	if s.limitsStarts(u) {
		s.startLimiter.record(u.job.queue.Service, now)
	}
	checkpoint := t.checkpoint
	if u.step.Gang {
		checkpoint = u.checkpoint
	}
	return Start{
		Task: p.id, Run: run, Worker: w.info, Payload: u.job.spec.Payload, Checkpoint: checkpoint,
		Ticket: u.tickets[w.info.ID].value, Queue: u.job.spec.Queue.Name, Waited: now.Sub(u.job.spec.Accepted),
	}
}
