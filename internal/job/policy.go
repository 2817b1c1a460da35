package job

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/job/worker"
	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	// A worker on which this many distinct jobs fail within the window is quarantined.
	quarantineJobs   = 3
	quarantineWindow = time.Minute
	quarantineMin    = 30 * time.Second
	quarantineMax    = 10 * time.Minute
	// quarantineDivisor bounds the quarantined workers to one in this many, and at least one: failures on more workers
	// than that are more likely the fault of the jobs.
	quarantineDivisor   = 4
	penaltyPerFailure   = 0.25
	maxFailuresRecorded = 16

	// A task that fails on this many distinct workers can never run.
	maxFailedWorkers = 3
	// maxTaskFailures ends a task that cannot fail on enough distinct workers because too few take it.
	maxTaskFailures = 10
	// quickFailure separates a service that cannot start from one that crashes now and then.
	quickFailure = time.Minute
	retryMin     = time.Second
	retryMax     = 30 * time.Second

	// overuseStepInterval is how long each step against a task that uses too much memory gets to show its effect.
	overuseStepInterval = 4 * time.Second
)

type failure struct {
	job string
	at  time.Time
}

// workerHealth is what a worker's recent failures say about it.
type workerHealth struct {
	failures         []failure
	quarantinedUntil time.Time // quarantined until then
	backoff          time.Duration
}

func (h *workerHealth) recentFailures(now time.Time) []failure {
	h.failures = slices.DeleteFunc(h.failures, func(f failure) bool { return now.Sub(f.at) > quarantineWindow })
	return h.failures
}

func (h *workerHealth) penalty(now time.Time) float64 {
	return penaltyPerFailure * float64(len(h.recentFailures(now)))
}

// addFailure records a failure and reports whether the worker is to be quarantined.
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

// quarantine closes the worker for a time that doubles when it fails again soon after it was opened.
func (h *workerHealth) quarantine(now time.Time) {
	if now.Sub(h.quarantinedUntil) > quarantineMax {
		h.backoff = 0
	}
	h.backoff = min(max(2*h.backoff, quarantineMin), quarantineMax)
	h.quarantinedUntil = now.Add(h.backoff)
	h.failures = nil
}

// recordFailure records a failure on a worker.
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

func (t *task) retryDelay() time.Duration {
	return wait.Backoff(retryMin, retryMax, t.failures)
}

// retryOrFailJob runs a failed task again elsewhere, or gives its job up.
func (p *partition) retryOrFailJob(t *task, w *workerInfo, quick bool, now time.Time) {
	if !quick && t.job.spec.Kind == Service {
		t.failures, t.failedOn = 0, nil
	}
	first := len(t.failedOn) == 0
	t.recordFailure(w.id)
	if first && quick {
		// A task that failed elsewhere before is more likely at fault than the worker.
		p.recordFailure(w, t.job.id, now)
	}
	if len(t.failedOn) >= min(maxFailedWorkers, max(1, p.eligibleWorkers)) || t.failures >= maxTaskFailures {
		p.failJob(t.job, "a task failed on every worker that it was tried on", now)
	}
	p.requeue(t, now, t.retryDelay())
}

// overuseKind is one kind of resource that tasks may use beyond what they declare.
type overuseKind struct {
	amount func(Resources) int64
	// hard says that the worker fails when there is not enough of it. Processors are only shared by more tasks.
	hard bool
}

var overuseKinds = []overuseKind{
	{amount: func(r Resources) int64 { return r.MemoryMB }, hard: true},
	{amount: func(r Resources) int64 { return r.Accelerators }, hard: true},
	{amount: func(r Resources) int64 { return r.CPUMilli }},
}

// checkOveruse acts when the tasks of a worker use more than it has: the task with the largest overuse is throttled, then
// moved if it may run again. As a last resort it is stopped, unless processors are all that is short.
func (p *partition) checkOveruse(w *workerInfo, now time.Time) {
	for _, u := range overuseKinds {
		if u.amount(w.used) > u.amount(w.node.Capacity()) {
			p.reduceOveruse(w, u, now)
			return
		}
	}
}

// reduceOveruse takes the next step against the task with the largest overuse. A step that had no effect is followed by the next
// one when overusePatience has passed.
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

// overuse is by how much an attempt exceeds what it declared.
func (pl *assignment) overuse(u overuseKind) int64 {
	return u.amount(pl.size) - u.amount(pl.task.job.spec.Resources)
}

// movable says whether an attempt can be checkpointed and run again elsewhere. Gangs would have to move as a whole.
func (pl *assignment) movable() bool {
	return pl.task.job.spec.Idempotent && pl.task.job.spec.Kind != Gang
}
