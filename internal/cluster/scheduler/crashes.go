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
//
// The members of a gang start only together, so what is counted against any of them delays the next run of all. Whether a member is
// given up depends on the crashes under that member only: one of many members is hit by nearly every crash of a worker.

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
	minCrashedWorkers = 2
	maxCrashes        = 5
	minCrashAddresses = 3

	// Delay of the next run after the second crash, and the limit to which it doubles. A job with room must not have nothing running for
	// 3 s, and a gang whose workers crash for other causes is delayed, too.
	minCrashBackoff = 500 * time.Millisecond
	maxCrashBackoff = 2 * time.Second

	// maxProvingTime limits how long a run has to last to prove that its task is harmless.
	maxProvingTime = 10 * time.Second
)

// startEvidence returns the evidence that decides when and where the task may start: the sum of that against all members of its gang,
// or that against the task.
func (t *task) startEvidence() *workload.CrashEvidence {
	if t.unit.step.Gang {
		return &t.unit.evidence
	}
	return &t.evidence
}

// suspected reports whether a worker crashed just after it had started the task, or a member of its gang.
func (t *task) suspected() bool { return pointsToStart(t.startEvidence()) }

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
		if p.task != nil && !p.onOther && p.justStarted(at) {
			started = append(started, p)
		}
	}
	return started
}

// restoreEvidence takes over the evidence that an earlier owner stored for a task and, with one of its members, for a gang.
func (s *Scheduler) restoreEvidence(t *task, p workload.TaskProgress, now time.Time) {
	own := p.Crash
	if t.unit.step.Gang {
		own = p.MemberCrash
		if p.Crash != nil {
			t.unit.evidence = *p.Crash
			t.unit.evidence.Suspected = nil // of an earlier release, which did not tell the members apart
		}
	}
	if own == nil {
		return
	}
	t.evidence = *own
	for _, c := range own.Suspected {
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
		c, found := t.evidence.TakeSuspected(workerID)
		j := t.unit.job
		if !found || t.done || j.state.Final() {
			continue
		}
		if coincidence {
			c.Weight = min(c.Weight, weakWeight)
		}
		t.countCrash(c)
		s.markTaskChanged(t)
		if c.Weight >= startWeight {
			s.riskyQueues[j.queue.Name] = now.Add(riskyQueueTime)
		}
		t.delayAfterCrash(now)
		if e := &t.evidence; isConclusive(e) {
			s.givenUp = append(s.givenUp, GivenUpTask{Task: t.id(), Crashes: max(e.Crashes, e.Total), Weight: e.Weight})
			s.finishJob(j, workload.Failed, now)
		}
	}
}

// countCrash counts a crash against the task, and against its gang.
func (t *task) countCrash(c workload.SuspectedCrash) {
	t.evidence.Count(c)
	if t.unit.step.Gang {
		t.unit.evidence.Count(c)
	}
}

// delayAfterCrash delays the next run of a task, or its gang, under which workers have crashed repeatedly. A task that crashes workers
// faster than the evidence against it adds up would otherwise take many of them within a moment.
func (t *task) delayAfterCrash(now time.Time) {
	e := t.startEvidence()
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

// isConclusive reports whether a task with the evidence is given up: workers have crashed under it, at least minCrashedWorkers of which
// are known to have started it. A task that crashes each worker before the start is answered is known only by maxCrashes prompt crashes.
func isConclusive(e *workload.CrashEvidence) bool {
	switch {
	case e.Crashes >= maxCrashes && e.Weight == e.Crashes*promptWeight:
		return true
	case e.Total < minCrashedWorkers:
		return false
	case e.Crashes >= maxCrashes && pointsToStart(e), e.Total >= maxCrashes && len(e.Addresses) >= minCrashAddresses:
		return true
	case e.Accepted < minCrashedWorkers:
		return false // a worker that did not receive the start crashed for another cause
	case e.Weight >= sureWeight:
		return true
	}
	return e.LastWeight == promptWeight && e.Weight >= givenUpWeight
}

// clearEvidence removes the counted crashes of a task, or of its gang, that has turned out to be harmless.
func (s *Scheduler) clearEvidence(t *task, e *workload.CrashEvidence) {
	if e.Counted() {
		e.Clear()
		s.markTaskChanged(t)
	}
}

// checkHarmless clears the evidence against the task of a run, and that against its gang, if the run, or those of all members, have
// lasted longer than those that crashed.
func (s *Scheduler) checkHarmless(p *placement) {
	t := p.task
	gang := t.unit.step.Gang && t.unit.evidence.Counted()
	if !gang && !t.evidence.Counted() {
		return
	}
	since, atWork := t.atWorkSince()
	if !atWork {
		return
	}
	if t.evidence.Counted() && t.outlasts(&t.evidence, since) {
		s.clearEvidence(t, &t.evidence)
	}
	if gang {
		for m := range t.unit.tasks.kept() { // all members, since all are at work
			if m.placement.worker.unreachable || !m.outlasts(&t.unit.evidence, since) {
				return
			}
		}
		s.clearEvidence(t, &t.unit.evidence)
	}
}

// atWorkSince returns when the run of a task began its work, a member of a gang once all of them have started. The second result is
// false before.
func (t *task) atWorkSince() (time.Time, bool) {
	if !t.unit.step.Gang {
		return t.placement.startedAt(), true
	}
	var since time.Time
	for member := range t.unit.tasks.all() {
		p := member.placement
		if p == nil || p.state == starting {
			return time.Time{}, false
		}
		if p.startedAt().After(since) {
			since = p.startedAt()
		}
	}
	return since, true
}

// outlasts reports whether the worker has listed the run of a task, which is at work since the given time, for longer than the crashed
// runs lasted.
func (t *task) outlasts(e *workload.CrashEvidence, since time.Time) bool {
	return t.placement.lastListedAt.Sub(since) >= startCrashWindow+min(e.MaxAge, maxProvingTime)
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
