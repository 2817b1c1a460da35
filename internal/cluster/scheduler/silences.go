package scheduler

import (
	"slices"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

const (
	// sameCrashWindow is the time between two crashes that count as simultaneous. With more than maxUnexplainedCrashes others at the
	// same moment, of workers that had not just accepted a run, the cause is assumed to lie outside the workers.
	sameCrashWindow       = 50 * time.Millisecond
	maxUnexplainedCrashes = 1
	// gangBreakTime is the time after the crash of a worker in which runs of the same gang may still be active on others.
	gangBreakTime = 10 * time.Millisecond
	// silenceRetention is how long the scheduler remembers the runs of a silent worker after their lease has expired. A worker
	// that crashed is usually back, as another incarnation, after a few seconds.
	silenceRetention = 30 * time.Second
)

// silence is a worker that does not answer, with the tasks whose evidence has a SuspectedCrash on it. It ends when the same
// incarnation answers, which withdraws the suspicion, or when the worker turns out to have crashed.
type silence struct {
	address     string
	incarnation int64
	since       time.Time
	explained   bool // it had accepted a run within promptCrashWindow before
	tasks       []*task
}

// crash is a silence that has turned out to be a crash, as far as it matters for later ones.
type crash struct {
	since     time.Time
	explained bool
}

// beginSilence notes the tasks that a worker runs when it stops answering, in case it has crashed. The suspicion is stored, so that
// it outlives a change of the owner before the worker is back.
func (s *Scheduler) beginSilence(w *worker, since time.Time) {
	_, unresolved := s.unresolved[w.info.ID]
	if w.info.Draining || len(w.placements) == 0 && !unresolved {
		return
	}
	l := &silence{address: w.info.Address, incarnation: w.info.Incarnation, since: since}
	started := w.justStarted(since)
	l.explained = slices.ContainsFunc(started, func(p *placement) bool { return since.Sub(p.startedAt()) < promptCrashWindow })
	for _, p := range w.placements {
		if p.task == nil || p.task.placement != p || p.onOther {
			continue
		}
		weight := crashWeight(p, started, since)
		p.noteBroken(since)
		e := &p.task.evidence
		e.Suspect(workload.SuspectedCrash{Worker: w.info.ID, Address: l.address, Incarnation: l.incarnation, Run: p.run, Weight: weight,
			Accepted: p.wasActive(since), Age: max(since.Sub(p.startedAt()), 0), Since: since})
		l.tasks = append(l.tasks, p.task)
		if durable(e, weight) {
			s.markTaskChanged(p.task)
		}
	}
	s.silences[w.info.ID] = l
}

// wasActive reports whether the worker had certainly started the run and not accepted an order to stop it when it stopped answering. An
// order without an answer says nothing: the other members of a gang end first when one of them crashes its worker, and the order to
// stop that one too may be given before the crash is noticed.
//
// A run of a gang ends on all workers once one of them has crashed. So only the first crash under it counts, with others at the same
// moment, and those so soon after the start that the start must be the cause.
func (p *placement) wasActive(since time.Time) bool {
	if p.confirmedAt.IsZero() || !p.stopAckedAt.IsZero() {
		return false
	}
	b := p.task.unit.broken
	return !p.task.unit.step.Gang || since.Sub(b.at) < gangBreakTime || since.Sub(p.startedAt()) < promptCrashWindow
}

// noteBroken notes when the first worker of a gang's run stopped answering.
func (p *placement) noteBroken(since time.Time) {
	if b := &p.task.unit.broken; b.run != p.run || since.Before(b.at) {
		*b = brokenRun{p.run, since}
	}
}

// endSilence ends the silence of a worker that answers. If another incarnation than the silent one answers, that one has crashed.
func (s *Scheduler) endSilence(w *worker, now time.Time) {
	switch l := s.silences[w.info.ID]; {
	case l == nil:
	case l.incarnation != w.info.Incarnation:
		s.confirmCrash(w.info.ID, now)
	default:
		s.dropSilence(w.info.ID)
	}
}

// dropSilence removes a silence and the suspicions that it has caused.
func (s *Scheduler) dropSilence(workerID string) {
	l := s.silences[workerID]
	for _, t := range l.tasks {
		if t.unit.broken.at.Equal(l.since) {
			t.unit.broken = brokenRun{}
		}
		e := &t.evidence
		if c, found := e.TakeSuspected(workerID); found && durable(e, c.Weight) {
			s.markTaskChanged(t)
		}
	}
	delete(s.silences, workerID)
}

// withdrawSuspicion removes the suspicion on a run that its worker never received.
func (s *Scheduler) withdrawSuspicion(p *placement) {
	if p.task != nil {
		p.task.evidence.TakeSuspected(p.worker.info.ID)
	}
}

// confirmReplaced handles an answer of a worker that was requested at requestedAt: workers that it has replaced at its address are gone,
// and so are their runs. A worker that is back after a crash usually has a new ID.
func (s *Scheduler) confirmReplaced(by *worker, requestedAt, now time.Time) {
	s.handleAnnounced(by, requestedAt, now)
	by.noteAnswer(requestedAt)
	for id, l := range s.silences {
		if id == by.info.ID || !by.replaced(l) {
			continue
		}
		w := s.workers[id]
		if w == nil || l.incarnation != w.info.Incarnation {
			s.confirmCrash(id, now) // nothing that is known to run belongs to the silent incarnation
			continue
		}
		if w.unreachable && w.calledOnlyAt(l.address) {
			s.confirmCrash(id, now)
			s.resetWorker(w, LossReplaced, now)
		}
	}
}

// replaced reports whether the answers of w show that the silent incarnation has ended. An address belongs to one process at a time, so
// a process that answers there for the first time after the silence began, and that started after the silent one, follows it. One that
// answered there before shares the address, by a proxy or an odd entry, and shows nothing.
func (w *worker) replaced(l *silence) bool {
	return w.calledOnlyAt(l.address) && !w.firstAnswer.Before(l.since) && w.info.Incarnation > l.incarnation
}

// calledOnlyAt reports whether all calls to the present incarnation of the worker went to the address, as far as this owner knows.
func (w *worker) calledOnlyAt(address string) bool { return w.info.Address == address && !w.moved }

// sharesAddress reports whether another worker has answered at the worker's address between two answers of the worker, or the reverse.
func (s *Scheduler) sharesAddress(w *worker) bool {
	return slices.ContainsFunc(s.sortedWorkers, func(o *worker) bool {
		return o != w && o.info.Address == w.info.Address && o.answered() && o.lastAnswer.After(w.firstAnswer) && w.lastAnswer.After(o.firstAnswer)
	})
}

// answered reports whether the worker's present incarnation has answered this owner.
func (w *worker) answered() bool {
	return !w.firstAnswer.IsZero() && w.answeredAs == w.info.Incarnation
}

// noteAnswer notes an answer of the worker's present incarnation that was requested at the given time.
func (w *worker) noteAnswer(requestedAt time.Time) {
	if !w.answered() {
		w.answeredAs, w.firstAnswer, w.lastAnswer = w.info.Incarnation, requestedAt, requestedAt
	}
	if requestedAt.After(w.lastAnswer) {
		w.lastAnswer = requestedAt
	}
}

// expireSilences forgets crashes, and drops the silences of workers that did not come back.
func (s *Scheduler) expireSilences(now time.Time) {
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return now.Sub(c.since) > silenceRetention })
	for id, l := range s.silences {
		if w := s.workers[id]; (w == nil || len(w.placements) == 0) && now.Sub(l.since) > silenceRetention {
			s.dropSilence(id)
		}
	}
}

// unexplainedCrashes returns how many other workers stopped answering at the moment of a silence without having accepted a run just
// before. Workers that are still silent count like those that are known to have crashed.
func (s *Scheduler) unexplainedCrashes(l *silence) int {
	n := 0
	count := func(since time.Time, explained bool) {
		if !explained && since.Sub(l.since).Abs() <= sameCrashWindow {
			n++
		}
	}
	for _, c := range s.crashes {
		count(c.since, c.explained)
	}
	for _, other := range s.silences {
		count(other.since, other.explained)
	}
	return n
}
