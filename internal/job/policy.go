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
	// quarantineShare bounds the quarantined workers to one in this many, and at least one: failures on more workers
	// than that are more likely the fault of the jobs.
	quarantineShare  = 4
	penaltyPerFail   = 0.25
	failuresRecorded = 16

	// A task that fails on this many distinct workers can never run.
	failedWorkers = 3
	// maxFailures ends a task that cannot fail on enough distinct workers because too few take it.
	maxFailures = 10
	// quickFailure separates a service that cannot start from one that crashes now and then.
	quickFailure = time.Minute
	retryMin     = time.Second
	retryMax     = 30 * time.Second

	// overusePatience is how long each step against a task that uses too much memory gets to show its effect.
	overusePatience = 4 * time.Second
)

type failure struct {
	job string
	at  time.Time
}

// workerHealth is what a worker's recent failures say about it.
type workerHealth struct {
	failures []failure
	until    time.Time // quarantined until then
	backoff  time.Duration
}

func (h *workerHealth) recent(now time.Time) []failure {
	h.failures = slices.DeleteFunc(h.failures, func(f failure) bool { return now.Sub(f.at) > quarantineWindow })
	return h.failures
}

func (h *workerHealth) penalty(now time.Time) float64 {
	return penaltyPerFail * float64(len(h.recent(now)))
}

// fails records a failure and reports whether the worker is to be quarantined.
func (h *workerHealth) fails(job string, now time.Time) bool {
	list := h.recent(now)
	jobs := map[string]bool{job: true}
	for _, f := range list {
		jobs[f.job] = true
	}
	if len(list) < failuresRecorded {
		h.failures = append(list, failure{job: job, at: now})
	}
	return len(jobs) >= quarantineJobs
}

// quarantine closes the worker for a time that doubles when it fails again soon after it was opened.
func (h *workerHealth) quarantine(now time.Time) {
	if now.Sub(h.until) > quarantineMax {
		h.backoff = 0
	}
	h.backoff = min(max(2*h.backoff, quarantineMin), quarantineMax)
	h.until = now.Add(h.backoff)
	h.failures = nil
}

// noteFailure records a failure on a worker.
func (p *partition) noteFailure(w *workerBook, jobID string, now time.Time) {
	if now.Before(w.health.until) || !w.health.fails(jobID, now) {
		return
	}
	quarantined := 0
	for _, o := range p.workers {
		if now.Before(o.health.until) {
			quarantined++
		}
	}
	if quarantined >= max(1, len(p.workers)/quarantineShare) {
		return
	}
	w.health.quarantine(now)
	p.logger.Warn("worker is quarantined", zap.String("worker", w.id), zap.Duration("for", w.health.backoff))
	p.count("quarantines", 1)
	p.refresh(w, now)
}

func (t *task) noteFailure(workerID string) {
	t.failures++
	if !slices.Contains(t.failedOn, workerID) {
		t.failedOn = append(t.failedOn, workerID)
	}
}

func (t *task) retryDelay() time.Duration {
	return wait.Backoff(retryMin, retryMax, t.failures)
}

// attemptFailed runs a failed task again elsewhere, or gives its job up.
func (p *partition) attemptFailed(t *task, w *workerBook, quick bool, now time.Time) {
	if !quick && t.job.spec.Kind == Service {
		t.failures, t.failedOn = 0, nil
	}
	first := len(t.failedOn) == 0
	t.noteFailure(w.id)
	if first && quick {
		// A task that failed elsewhere before is more likely at fault than the worker.
		p.noteFailure(w, t.job.id, now)
	}
	if len(t.failedOn) >= min(failedWorkers, max(1, p.eligible)) || t.failures >= maxFailures {
		p.giveUp(t.job, "a task failed on every worker that it was tried on", now)
	}
	p.requeue(t, now, t.retryDelay())
}

// usage is one kind of resource that tasks may use beyond what they declare.
type usage struct {
	of func(Resources) int64
	// hard says that the worker fails when there is not enough of it. Processors are only shared by more tasks.
	hard bool
}

var usages = []usage{
	{of: func(r Resources) int64 { return r.MemoryMB }, hard: true},
	{of: func(r Resources) int64 { return r.Accelerators }, hard: true},
	{of: func(r Resources) int64 { return r.CPUMilli }},
}

// checkOveruse acts when the tasks of a worker use more than it has: the task with the largest overuse is throttled, then
// moved if it may run again. As a last resort it is stopped, unless processors are all that is short.
func (p *partition) checkOveruse(w *workerBook, now time.Time) {
	for _, u := range usages {
		if u.of(w.used) > u.of(w.node.Capacity()) {
			p.reduce(w, u, now)
			return
		}
	}
}

// reduce takes the next step against the task with the largest overuse. A step that had no effect is followed by the next
// one when overusePatience has passed.
func (p *partition) reduce(w *workerBook, u usage, now time.Time) {
	var worst *placed
	for _, pl := range w.placed {
		over := pl.overuse(u)
		if over <= 0 || pl.stop != stopNone || pl.phase != phaseConfirmed || !u.hard && pl.overStage > 0 && !pl.movable() {
			continue
		}
		if worst == nil || over > worst.overuse(u) || over == worst.overuse(u) && pl.task.id < worst.task.id {
			worst = pl
		}
	}
	if worst == nil || worst.overStage > 0 && now.Sub(worst.overSince) < overusePatience {
		return
	}
	worst.overStage++
	worst.overSince = now
	p.count("overuse_steps", 1)
	switch {
	case worst.overStage == 1:
		w.order(verbThrottle, worker.TaskRef{TaskID: worst.task.id, Attempt: worst.attempt})
	case worst.movable():
		p.stopPlaced(worst, stopMove, now)
	default:
		p.stopPlaced(worst, stopOveruse, now)
	}
}

// overuse is by how much an attempt exceeds what it declared.
func (pl *placed) overuse(u usage) int64 { return u.of(pl.size) - u.of(pl.task.job.spec.Resources) }

// movable says whether an attempt can be checkpointed and run again elsewhere. Gangs would have to move as a whole.
func (pl *placed) movable() bool {
	return pl.task.job.spec.Idempotent && pl.task.job.spec.Kind != Gang
}
