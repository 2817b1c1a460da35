package job

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/job/worker"
	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	// A worker on which quarantineJobs distinct jobs fail within quarantineWindow is quarantined: it gets no new tasks for
	// quarantineMin at first and quarantineMax at most.
	quarantineJobs   = 3
	quarantineWindow = time.Minute
	quarantineMin    = 30 * time.Second
	quarantineMax    = 10 * time.Minute
	// quarantineDivisor bounds the quarantined workers to one in this many, but allows at least one. If more workers than that
	// fail, the jobs are more likely at fault.
	quarantineDivisor   = 4
	penaltyPerFailure   = 0.25 // added to a worker's penalty in the placement index
	maxFailuresRecorded = 16   // per worker

	// A task that fails on this many distinct workers is regarded as unable to run, and its job fails.
	maxFailedWorkers = 3
	// A task that fails this many times fails its job even if too few workers take the task for maxFailedWorkers to be reached.
	maxTaskFailures = 10
	// quickFailure is the run time below which a failure counts as a failed start. It separates a service that cannot start
	// from one that crashes now and then.
	quickFailure = time.Minute
	// Bounds of the backoff delay before a failed task runs again.
	retryMin = time.Second
	retryMax = 30 * time.Second

	// overuseStepInterval is how long a step against a task that uses too much is given to show its effect before the next one.
	overuseStepInterval = 4 * time.Second
)

// failure is a failed attempt on a worker.
type failure struct {
	job string
	at  time.Time
}

// workerHealth records the recent failures on a worker and its quarantine.
type workerHealth struct {
	failures         []failure
	quarantinedUntil time.Time     // zero if it was never quarantined
	backoff          time.Duration // length of the latest quarantine
}

// recentFailures removes the failures that are older than quarantineWindow and returns the others.
func (h *workerHealth) recentFailures(now time.Time) []failure {
	h.failures = slices.DeleteFunc(h.failures, func(f failure) bool { return now.Sub(f.at) > quarantineWindow })
	return h.failures
}

// penalty returns the penalty that makes the placement index prefer workers without recent failures.
func (h *workerHealth) penalty(now time.Time) float64 {
	return penaltyPerFailure * float64(len(h.recentFailures(now)))
}

// addFailure records a failure and reports whether enough distinct jobs have failed to quarantine the worker.
func (h *workerHealth) addFailure(job string, now time.Time) bool {
	list := h.recentFailures(now)
	jobs := map[string]bool{job: true}
	for _, f := range list {
		jobs[f.job] = true
	}
	if len(list) < maxFailuresRecorded {
		h.failures = append(list, failure{job: job, at: now})
	}
	return len(jobs) >= quarantineJobs
}

// quarantine sets the end of the quarantine. Its length doubles if the previous one ended less than quarantineMax ago.
func (h *workerHealth) quarantine(now time.Time) {
	if now.Sub(h.quarantinedUntil) > quarantineMax {
		h.backoff = 0
	}
	h.backoff = min(max(2*h.backoff, quarantineMin), quarantineMax)
	h.quarantinedUntil = now.Add(h.backoff)
	h.failures = nil
}

// recordFailure records a failure on a worker and quarantines the worker if the policy says so.
func (p *partition) recordFailure(w *workerInfo, jobID string, now time.Time) {
	if now.Before(w.health.quarantinedUntil) || !w.health.addFailure(jobID, now) {
		return
	}
	quarantined := 0
	for _, o := range p.workers {
		if now.Before(o.health.quarantinedUntil) {
			quarantined++
		}
	}
	if quarantined >= max(1, len(p.workers)/quarantineDivisor) {
		return
	}
	w.health.quarantine(now)
	p.logger.Warn("worker is quarantined", zap.String("worker", w.id), zap.Duration("for", w.health.backoff))
	p.addToCounter("quarantines", 1)
	p.updateWorkerOpen(w, now)
}

func (t *task) recordFailure(workerID string) {
	t.failures++
	if !slices.Contains(t.failedOn, workerID) {
		t.failedOn = append(t.failedOn, workerID)
	}
}

// retryDelay returns the exponential backoff delay before the next attempt.
func (t *task) retryDelay() time.Duration {
	return wait.Backoff(retryMin, retryMax, t.failures)
}

// retryOrFailJob queues a failed task again, to run on another worker after a backoff delay, or fails its job. quick says that
// the attempt failed within quickFailure.
func (p *partition) retryOrFailJob(t *task, w *workerInfo, quick bool, now time.Time) {
	if !quick && t.job.spec.Kind == Service {
		t.failures, t.failedOn = 0, nil
	}
	first := len(t.failedOn) == 0
	t.recordFailure(w.id)
	if first && quick {
		// Only the first failure of a task counts against the worker: a task that failed before on another worker is more
		// likely at fault itself.
		p.recordFailure(w, t.job.id, now)
	}
	if len(t.failedOn) >= min(maxFailedWorkers, max(1, p.eligibleWorkers)) || t.failures >= maxTaskFailures {
		p.failJob(t.job, "a task failed on every worker that it was tried on", now)
	}
	p.requeue(t, now, t.retryDelay())
}

// overuseKind is one kind of resource of which tasks may use more than they declared.
type overuseKind struct {
	amount func(Resources) int64
	// hard says that the worker fails when its tasks use more of the resource than it has. A shortage of processors only slows
	// its tasks down.
	hard bool
}

var overuseKinds = []overuseKind{
	{amount: func(r Resources) int64 { return r.MemoryMB }, hard: true},
	{amount: func(r Resources) int64 { return r.Accelerators }, hard: true},
	{amount: func(r Resources) int64 { return r.CPUMilli }},
}

// checkOveruse acts when the tasks of a worker use more than its capacity. The task with the largest overuse is first
// throttled. If that does not help, it is moved to another worker if it is idempotent and not part of a gang; otherwise it is
// stopped, unless only processors are short.
func (p *partition) checkOveruse(w *workerInfo, now time.Time) {
	for _, u := range overuseKinds {
		if u.amount(w.used) > u.amount(w.node.Capacity()) {
			p.reduceOveruse(w, u, now)
			return
		}
	}
}

// reduceOveruse takes the next step against the task with the largest overuse, at the earliest overuseStepInterval after the
// previous step against this task.
func (p *partition) reduceOveruse(w *workerInfo, u overuseKind, now time.Time) {
	var worst *assignment
	for _, pl := range w.assignments {
		over := pl.overuse(u)
		if over <= 0 || pl.stop != stopNone || pl.phase != phaseConfirmed || !u.hard && pl.overuseSteps > 0 && !pl.movable() {
			continue
		}
		if worst == nil || over > worst.overuse(u) || over == worst.overuse(u) && pl.task.id < worst.task.id {
			worst = pl
		}
	}
	if worst == nil || worst.overuseSteps > 0 && now.Sub(worst.lastOveruseStep) < overuseStepInterval {
		return
	}
	worst.overuseSteps++
	worst.lastOveruseStep = now
	p.addToCounter("overuse_steps", 1)
	switch {
	case worst.overuseSteps == 1:
		w.order(actionThrottle, worker.TaskRef{TaskID: worst.task.id, Attempt: worst.attempt})
	case worst.movable():
		p.requestStop(worst, stopMove, now)
	default:
		p.requestStop(worst, stopOveruse, now)
	}
}

// overuse returns by how much an attempt exceeds its declared size.
func (pl *assignment) overuse(u overuseKind) int64 {
	return u.amount(pl.size) - u.amount(pl.task.job.spec.Resources)
}

// movable reports whether the task can be checkpointed and run again on another worker. Tasks of a gang cannot, since the
// gang would have to move as a whole.
func (pl *assignment) movable() bool {
	return pl.task.job.spec.Idempotent && pl.task.job.spec.Kind != Gang
}
