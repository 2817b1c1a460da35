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
	// sameCrashWindow is the time between two crashes that count as simultaneous. With more than maxUnexplainedCrashes others at the
	// same moment, of workers that had not just accepted a run, the cause is assumed to lie outside the workers.
	sameCrashWindow       = 50 * time.Millisecond
	maxUnexplainedCrashes = 1

	// Weights of a crash as evidence against a run.
	promptWeight = 4 // prompt, and all runs that the worker had just accepted belong to the job
	startWeight  = 2 // the run was the last one that the worker had accepted, or one of the last
	weakWeight   = 1 // the worker had accepted another run later, or none just before, or the cause lies outside

	// Once two workers that had accepted the task have crashed, it is given up after a prompt crash if the weights of its crashes
	// add up to givenUpWeight, and after any crash if they add up to sureWeight. It is always given up after maxCrashes.
	givenUpWeight = promptWeight + startWeight
	sureWeight    = 4 * startWeight
	maxCrashes    = 5

	minCrashBackoff = 500 * time.Millisecond
	maxCrashBackoff = 4 * time.Second

	// riskyQueueTime is how long after such a crash the new tasks of a queue are started where the least work is at stake.
	riskyQueueTime = 10 * time.Second
	// checkpointLoss is the most work that a run with checkpoints loses, and restartCost what any run loses beside its work.
	checkpointLoss = time.Second
	restartCost    = 200 * time.Millisecond

	// maxProvingTime limits how long a run has to last to prove that its task is harmless.
	maxProvingTime = 10 * time.Second
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

// crashEvidence returns the evidence against the task, or against its gang, whose members run only together.
func (t *task) crashEvidence() *workload.CrashEvidence {
	if t.unit.step.Gang {
		return &t.unit.evidence
	}
	return &t.evidence
}

// suspected reports whether a worker crashed just after it had started the task.
func (t *task) suspected() bool { return t.crashEvidence().Weight >= startWeight }

// justStarted reports whether the worker may have accepted the run within startCrashWindow before the given time.
func (p *placement) justStarted(at time.Time) bool {
	return !p.adopted && (p.state == starting || at.Sub(p.startedAt()) < startCrashWindow)
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
		if p.task == nil || p.task.placement != p {
			continue
		}
		weight := crashWeight(p, started, since)
		if weight == 0 {
			continue
		}
		e := p.task.crashEvidence()
		e.Suspect(workload.SuspectedCrash{Worker: w.info.ID, Address: l.address, Incarnation: l.incarnation, Run: p.run, Weight: weight,
			Accepted: !p.confirmedAt.IsZero(), Age: max(since.Sub(p.startedAt()), 0), Since: since})
		l.tasks = append(l.tasks, p.task)
		if durable(e, weight) {
			s.markChanged(p.task.unit.job)
		}
	}
	s.silences[w.info.ID] = l
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

// endSilence ends the silence of a worker that answers. If another incarnation than the silent one answers, that one has crashed.
func (s *Scheduler) endSilence(w *worker, now time.Time) {
	switch l := s.silences[w.info.ID]; {
	case l == nil:
	case l.incarnation < w.info.Incarnation:
		s.confirmCrash(w.info.ID, now)
	default:
		s.dropSilence(w.info.ID)
	}
}

// dropSilence removes a silence and the suspicions that it has caused.
func (s *Scheduler) dropSilence(workerID string) {
	for _, t := range s.silences[workerID].tasks {
		e := t.crashEvidence()
		if c, found := e.TakeSuspected(workerID); found && durable(e, c.Weight) && !t.unit.job.state.Final() {
			s.markChanged(t.unit.job)
		}
	}
	delete(s.silences, workerID)
}

// withdrawSuspicion removes the suspicion on a run that its worker never received.
func (s *Scheduler) withdrawSuspicion(p *placement) {
	if p.task != nil && !p.task.unit.step.Gang {
		p.task.evidence.TakeSuspected(p.worker.info.ID)
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
		s.markChanged(j)
		if c.Weight >= startWeight {
			s.riskyQueues[j.queue.Name] = now.Add(riskyQueueTime)
		}
		t.delayAfterCrash(now)
		if e := t.crashEvidence(); isConclusive(e) {
			s.givenUp = append(s.givenUp, GivenUpTask{Task: t.id(), Crashes: e.Crashes, Weight: e.Weight})
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
	case e.Crashes >= maxCrashes:
		return true
	case e.Accepted < 2:
		return false // a worker that did not receive the start crashed for another cause
	case e.Weight >= sureWeight:
		return true
	}
	return e.LastWeight == promptWeight && e.Weight >= givenUpWeight
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

// confirmReplaced handles an answer of a worker that was requested at requestedAt: other workers that were listed at its address and
// had stopped answering before are gone, and so are their runs. A worker that is back after a crash usually has a new ID.
func (s *Scheduler) confirmReplaced(by *worker, requestedAt, now time.Time) {
	for id, l := range s.silences {
		if id == by.info.ID || l.address != by.info.Address || l.since.After(requestedAt) {
			continue
		}
		s.confirmCrash(id, now)
		if w := s.workers[id]; w != nil && w.unreachable {
			s.resetWorker(w, LossReplaced, now)
		}
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

// clearEvidence removes the evidence against a task, or its gang, of which a run has lasted longer than those that crashed or has
// ended by itself.
func (s *Scheduler) clearEvidence(t *task) {
	if e := t.crashEvidence(); e.Crashes > 0 {
		e.Clear()
		s.markChanged(t.unit.job)
	}
}

// checkHarmless clears the evidence against the task of a run, or its gang, if all its runs have proven to last longer than those
// that crashed.
func (s *Scheduler) checkHarmless(p *placement) {
	e := p.task.crashEvidence()
	if e.Crashes == 0 {
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

// blursCrash reports whether a start of the unit on the worker now would leave open which job a crash has to be attributed to: a run
// of another job has just started there, and that job or the unit is suspected.
func (w *worker) blursCrash(u *unit, suspected bool, now time.Time) bool {
	if !suspected && w.suspectedRuns == 0 {
		return false
	}
	return slices.ContainsFunc(w.placements, func(p *placement) bool {
		return p.task != nil && p.task.unit.job != u.job && (suspected || p.suspected) && p.justStarted(now)
	})
}

// withoutBlurring removes the workers on which a start of the unit would blur the attribution of a crash. The members of a gang go to
// many workers, of which nearly all have accepted a run just before, so a suspected gang keeps away only from other suspected tasks.
func withoutBlurring(u *unit, waiting []*task, workers []*worker, now time.Time) []*worker {
	suspected := !u.step.Gang && slices.ContainsFunc(waiting, (*task).suspected)
	return slices.DeleteFunc(workers, func(w *worker) bool { return w.blursCrash(u, suspected, now) })
}

// leastAtStake returns the worker on which the least work of other jobs would be lost if the task crashed it, or nil if the task fits
// on none.
func leastAtStake(t *task, workers []*worker, now time.Time) *worker {
	var best *worker
	var bestStake int64
	for _, w := range workers {
		if !w.fits(t.unit) {
			continue
		}
		if stake := w.stake(t.unit.job, now); best == nil || stake < bestStake {
			best, bestStake = w, stake
		}
	}
	return best
}

// stake returns the work of jobs other than j that would be lost in a crash of the worker, in millicore-nanoseconds.
func (w *worker) stake(j *job, now time.Time) int64 {
	total := int64(0)
	for _, p := range w.placements {
		if p.task == nil || p.task.unit.job != j {
			total += p.stake(now)
		}
	}
	return total
}

// stake returns the work that would be lost with the run. With a member of a gang the work of all members is lost.
func (p *placement) stake(now time.Time) int64 {
	lost := now.Sub(p.orderedAt)
	members := 1
	if p.task != nil {
		if p.task.unit.step.Checkpointing {
			lost = min(lost, checkpointLoss)
		}
		if p.task.unit.step.Gang {
			members = p.task.unit.tasksLeft
		}
	}
	return int64(members) * max(p.resources.CPUMilli, 1) * int64(lost+restartCost)
}

// risky reports whether the task may crash its worker: it is suspected, or tasks of its queue have crashed workers lately.
func (s *Scheduler) risky(t *task, now time.Time) bool {
	return t.suspected() || now.Before(s.riskyQueues[t.unit.job.queue.Name])
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
