package scheduler

import (
	"slices"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
	"github.com/greengagewing/greengagewing/internal/wait"
)

// A task can crash every worker that starts it. If it were only started again, it would crash one worker after the other, and each
// takes the runs of other jobs with it. Therefore the scheduler gives a task up once the crashes of at least two workers are
// attributed to it. Workers also crash for other causes, and a task that only ran on such a worker must not be given up.
//
// A crash counts in proportion to how well the start of a run explains it: most if the worker crashed promptly after it had accepted
// runs of a single job, and least if it had accepted none or if unrelated workers crashed at the same moment. The count ends once a
// later run has lasted longer than those that crashed. To tell jobs apart, a suspected task is started only where no run of another
// job has just started, and no run of another job starts there in the moment after it.

const (
	// startCrashWindow is how long after a start the loss of the worker is attributed to that start. It covers the time until the
	// loss is noticed, of which the pause between two renewals is the largest part.
	startCrashWindow = 400 * time.Millisecond
	// promptCrashWindow is how soon after a start a crash can hardly be a coincidence.
	promptCrashWindow = 100 * time.Millisecond
	// sameStartWindow is how long before the last start another run may have started to be as likely a cause.
	sameStartWindow = 60 * time.Millisecond

	// Weights of a crash as evidence against a run.
	promptWeight = 4 // prompt, and all runs that the worker had just accepted belong to the job
	startWeight  = 2 // the run was the last one that the worker had accepted, or one of the last
	weakWeight   = 1 // the worker had accepted another run later, or none just before, or the cause lies outside

	// Once two workers that had accepted the task have crashed, it is given up after a prompt crash if the weights of its crashes
	// add up to givenUpWeight, and after any crash if they add up to sureWeight. After maxCrashes it is given up if at least one is more
	// than weak evidence, or if they happened at minCrashAddresses: a task that crashes its workers long after its start leaves no other
	// trace. A harmless one seldom meets so many crashes before it ends or outlasts them.
	givenUpWeight     = promptWeight + startWeight
	sureWeight        = 4 * startWeight
	maxCrashes        = 5
	minCrashAddresses = 3

	// Delay of the next run after the second crash, and the limit to which it doubles.
	minCrashBackoff = 500 * time.Millisecond
	maxCrashBackoff = 4 * time.Second

	// maxProvingTime limits how long a run has to last to prove that its task is harmless.
	maxProvingTime = 10 * time.Second
)

// crashEvidence returns the evidence against the task, or against its gang, whose members run only together.
func (t *task) crashEvidence() *workload.CrashEvidence {
	if t.unit.step.Gang {
		return &t.unit.evidence
	}
	return &t.evidence
}

// suspected reports whether a worker crashed just after it had started the task.
func (t *task) suspected() bool { return pointsToStart(t.crashEvidence()) }

// pointsToStart reports whether at least one of the crashes is more than weak evidence.
func pointsToStart(e *workload.CrashEvidence) bool { return e.Weight > e.Crashes*weakWeight }

// justStarted reports whether the worker may have accepted the run within startCrashWindow before the given time.
func (p *placement) justStarted(at time.Time) bool {
	return !p.adopted && (p.state == starting || at.Sub(p.startedAt()) < startCrashWindow)
}

// durable reports whether a suspicion with the weight is stored at once. Each loss of a worker is a weak suspicion against all its
// runs; storing these would delay the records that callers wait for.
func durable(e *workload.CrashEvidence, weight int) bool {
	return weight >= startWeight || e.Crashes > 0
}

// crashWeight returns the weight that a crash of the worker at the given time has as evidence against one of its runs, out of those
// that it had just started.
func crashWeight(p *placement, started []*placement, at time.Time) int {
	if len(started) == 0 {
		return weakWeight
	}
	if !slices.Contains(started, p) {
		return 0
	}
	last, onlyJob := p.startedAt(), true
	for _, other := range started {
		if other.startedAt().After(last) {
			last = other.startedAt()
		}
		onlyJob = onlyJob && other.task.unit.job == p.task.unit.job
	}
	switch {
	case last.Sub(p.startedAt()) > sameStartWindow:
		return weakWeight
	case onlyJob && at.Sub(p.startedAt()) < promptCrashWindow:
		return promptWeight
	}
	return startWeight
}

// justStarted returns the runs that the worker may have accepted within startCrashWindow before the given time.
func (w *worker) justStarted(at time.Time) []*placement {
	var started []*placement
	for _, p := range w.placements {
		if p.task != nil && p.justStarted(at) {
			started = append(started, p)
		}
	}
	return started
}

// restoreEvidence takes over the evidence that an earlier owner stored for a task or, with one of its members, for a gang.
func (s *Scheduler) restoreEvidence(t *task, e workload.CrashEvidence, now time.Time) {
	*t.crashEvidence() = e
	for _, c := range e.Suspected {
		l := s.silences[c.Worker]
		if l == nil {
			l = &silence{address: c.Address, incarnation: c.Incarnation, since: minTime(c.Since, now)}
			s.silences[c.Worker] = l
		}
		l.explained = l.explained || c.Weight == promptWeight
		l.tasks = append(l.tasks, t)
	}
}

// confirmCrash counts the crash of a silent worker against the tasks that are suspected of it.
func (s *Scheduler) confirmCrash(workerID string, now time.Time) {
	l := s.silences[workerID]
	if l == nil {
		return
	}
	delete(s.silences, workerID)
	coincidence := s.unexplainedCrashes(l) > maxUnexplainedCrashes
	s.crashes = append(s.crashes, crash{l.since, l.explained})
	for _, t := range l.tasks {
		c, found := t.crashEvidence().TakeSuspected(workerID)
		j := t.unit.job
		if !found || t.done || j.state.Final() {
			continue
		}
		if coincidence {
			c.Weight = min(c.Weight, weakWeight)
		}
		t.crashEvidence().Count(c)
		s.markTaskChanged(t)
		if c.Weight >= startWeight {
			s.riskyQueues[j.queue.Name] = now.Add(riskyQueueTime)
		}
		t.delayAfterCrash(now)
		if e := t.crashEvidence(); isConclusive(e) {
			s.givenUp = append(s.givenUp, GivenUpTask{Task: t.id(), Crashes: max(e.Crashes, e.Total), Weight: e.Weight})
			s.finishJob(j, workload.Failed, now)
		}
	}
}

// delayAfterCrash delays the next run of a task, or its gang, under which workers have crashed repeatedly. A task that crashes workers
// faster than the evidence against it adds up would otherwise take many of them within a moment.
func (t *task) delayAfterCrash(now time.Time) {
	e := t.crashEvidence()
	if e.Crashes < 2 || !t.suspected() {
		return
	}
	until := now.Add(wait.Backoff(minCrashBackoff, maxCrashBackoff, e.Crashes-2))
	if t.unit.step.Gang {
		t.unit.notBefore = until
		return
	}
	t.notBefore = until
}

// isConclusive reports whether a task with the evidence is given up.
func isConclusive(e *workload.CrashEvidence) bool {
	switch {
	case e.Crashes >= maxCrashes && pointsToStart(e), e.Total >= maxCrashes && len(e.Addresses) >= minCrashAddresses:
		return true
	case e.Accepted < 2:
		return false // a worker that did not receive the start crashed for another cause
	case e.Weight >= sureWeight:
		return true
	}
	return e.LastWeight == promptWeight && e.Weight >= givenUpWeight
}

// clearEvidence removes the evidence against a task, or its gang, of which a run has lasted longer than those that crashed or has
// ended by itself.
func (s *Scheduler) clearEvidence(t *task) {
	if e := t.crashEvidence(); e.Counted() {
		e.Clear()
		s.markTaskChanged(t)
	}
}

// checkHarmless clears the evidence against the task of a run, or its gang, if all its runs have proven to last longer than those
// that crashed.
func (s *Scheduler) checkHarmless(p *placement) {
	e := p.task.crashEvidence()
	if !e.Counted() {
		return
	}
	provingTime := startCrashWindow + min(e.MaxAge, maxProvingTime)
	tasks := []*task{p.task}
	if p.task.unit.step.Gang {
		tasks = p.task.unit.tasks
	}
	for _, t := range tasks {
		if t.placement == nil || t.placement.worker.unreachable || t.placement.lastListedAt.Sub(t.placement.startedAt()) < provingTime {
			return
		}
	}
	s.clearEvidence(p.task)
}

// GivenUpTask is a task whose job has failed because workers crashed under it, for logs.
type GivenUpTask struct {
	Task    workload.TaskID
	Crashes int
	Weight  int
}

// TakeGivenUp returns the tasks that were given up since the last call.
func (s *Scheduler) TakeGivenUp() []GivenUpTask {
	out := s.givenUp
	s.givenUp = nil
	return out
}
