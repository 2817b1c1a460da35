package scheduler

import (
	"slices"
	"time"

	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	// quarantineThreshold is the number of different jobs whose tasks have to fail on a worker, without a success between
	// them, for the worker to be quarantined. Ordinary tasks fail in a few percent of their runs, so three in a row on one
	// worker are rare. Jobs that fail on several workers do not count.
	quarantineThreshold = 3

	// Weights of a job's failures on a worker as evidence against the worker. A stalled run is enough for a quarantine.
	failedWeight  = 1
	stalledWeight = quarantineThreshold

	// minFailingWorkers is the number of workers on which a job has to fail, and more than half of those on which its runs have
	// ended, for the cause to lie in the job.
	minFailingWorkers = 2

	// soundRunTime is how long a long-running task has to run for its worker to count as sound. It corresponds to the success of
	// other tasks.
	soundRunTime = 5 * time.Second

	// Duration of the first quarantine and the limit to which it doubles.
	firstQuarantine = 2 * time.Second
	maxQuarantine   = 16 * time.Second

	// stallTimeout is how long reports may show the same percent before the run is considered stalled.
	stallTimeout = 2500 * time.Millisecond
	// maxReportInterval is the longest interval between two undelayed reports of a worker. During a longer one the worker, its
	// delegate (the host that calls it for the owner) or the owner was paused or unreachable, so the interval does not count
	// as time without progress.
	maxReportInterval = 2200 * time.Millisecond
)

// health is the health of a worker as judged by how its runs end and progress.
type health struct {
	failedJobs       map[string]int // by ID of a job that has failed here since the last success: the weight of the evidence
	quarantinedAt    time.Time      // when the last quarantine began
	quarantinedUntil time.Time
	rejectsUntil     time.Time // the worker has just rejected a start; see rejectionDelay
	quarantines      int       // since the last success
}

// succeeded applies a successful run that began at the given time. It ends a quarantine that began before the run.
func (h *health) succeeded(began time.Time) {
	h.failedJobs = nil
	h.quarantines = 0
	if began.After(h.quarantinedAt) {
		h.quarantinedUntil = time.Time{}
	}
}

// failed applies a failed run of a job.
func (h *health) failed(now time.Time, jobID string) { h.blame(now, jobID, failedWeight) }

// blame adds evidence against the worker and quarantines it if there is enough. After a quarantine, one failure is enough for the
// next one.
func (h *health) blame(now time.Time, jobID string, weight int) {
	if h.failedJobs == nil {
		h.failedJobs = map[string]int{}
	}
	h.failedJobs[jobID] = max(h.failedJobs[jobID], weight)
	if h.quarantines > 0 || h.evidence() >= quarantineThreshold {
		h.quarantine(now)
	}
}

// evidence returns the sum of the evidence against the worker.
func (h *health) evidence() int {
	sum := 0
	for _, weight := range h.failedJobs {
		sum += weight
	}
	return sum
}

// exonerate withdraws the evidence that stems from a job, and the quarantine if what is left does not justify it.
func (h *health) exonerate(jobID string) {
	delete(h.failedJobs, jobID)
	if h.evidence() < quarantineThreshold {
		h.quarantinedUntil, h.quarantines = time.Time{}, 0
	}
}

// quarantine keeps new tasks off the worker for a time that doubles with each quarantine (exponential backoff).
func (h *health) quarantine(now time.Time) {
	if h.quarantined(now) {
		return
	}
	h.quarantinedAt, h.quarantinedUntil = now, now.Add(wait.Backoff(firstQuarantine, maxQuarantine, h.quarantines))
	h.quarantines++
}

func (h *health) quarantined(now time.Time) bool { return now.Before(h.quarantinedUntil) }

// rejects reports whether the worker has just rejected a start.
func (h *health) rejects(now time.Time) bool { return now.Before(h.rejectsUntil) }

// noteFailure applies a failure of a job on a worker as evidence.
func (s *Scheduler) noteFailure(w *worker, j *job, now time.Time) {
	s.noteFailures([]*worker{w}, j, failedWeight, true, now)
}

// noteFailures applies failures of a job at one moment on some workers, with the weight of each as evidence. A job that fails on most
// workers says nothing about any of them, so the evidence that it has caused before is withdrawn. independent is false if a failure on one
// of the workers may have caused the others.
func (s *Scheduler) noteFailures(workers []*worker, j *job, weight int, independent bool, now time.Time) {
	if j.failsOn == nil {
		j.failsOn = map[string]bool{}
	}
	for id, fails := range j.failsOn {
		if s.workers[id] == nil {
			delete(j.failsOn, id)
		}
		independent = independent || fails
	}
	for _, w := range workers {
		j.failsOn[w.info.ID] = true
	}
	if !independent || !j.failsOnMost() {
		for _, w := range workers {
			w.health.blame(now, j.spec.ID, weight)
		}
		return
	}
	for id, fails := range j.failsOn {
		if fails {
			s.workers[id].health.exonerate(j.spec.ID)
		}
	}
}

// noteSuccess applies a success of a job on a worker, with a run that began at the given time.
func (s *Scheduler) noteSuccess(w *worker, j *job, began time.Time) {
	if j.failsOn != nil {
		j.failsOn[w.info.ID] = false
	}
	w.health.succeeded(began)
}

// failsOnMost reports whether the job fails on several workers and on most of those on which its runs have ended since its first
// failure.
func (j *job) failsOnMost() bool {
	failing := 0
	for _, fails := range j.failsOn {
		if fails {
			failing++
		}
	}
	return failing >= minFailingWorkers && 2*failing > len(j.failsOn)
}

// checkSound lets a long-running task that has run for soundRunTime count as a success. Such tasks never end as done.
func (s *Scheduler) checkSound(p *placement) {
	if p.sound || !p.task.unit.step.LongRunning || p.lastListedAt.Sub(p.startedAt()) < soundRunTime {
		return
	}
	p.sound = true
	p.task.failedWorkers = nil
	s.noteSuccess(p.worker, p.task.unit.job, p.orderedBy())
}

// stopStalled stops runs that make no progress, so that their tasks start elsewhere. They are evidence against their workers. One member
// of a gang that makes no progress may hold up all others.
func (s *Scheduler) stopStalled(now time.Time) {
	var stalled []*unit
	workers := map[*unit][]*worker{}
	for _, w := range s.sortedWorkers {
		if w.unreachable || !w.fenced {
			continue
		}
		for _, p := range w.placements {
			if !p.stalled() {
				continue
			}
			u := p.task.unit
			if workers[u] == nil {
				stalled = append(stalled, u)
			}
			if !slices.Contains(workers[u], w) {
				workers[u] = append(workers[u], w)
			}
			if !u.step.Gang {
				p.task.noteFailedOn(w)
			}
			s.stopRun(p, "no progress")
			s.stopGangOf(p, "no progress of another gang member")
		}
	}
	for _, u := range stalled {
		s.noteFailures(workers[u], u.job, stalledWeight, !u.step.Gang, now)
	}
}

// noteFailedOn lets the task avoid a worker on which it has failed.
func (t *task) noteFailedOn(w *worker) {
	if t.failedWorkers == nil {
		t.failedWorkers = map[string]struct{}{}
	}
	t.failedWorkers[w.info.ID] = struct{}{}
}

// stopGangOf stops the other members of a run's gang, which can't complete without it.
func (s *Scheduler) stopGangOf(p *placement, reason string) {
	if p.task != nil && p.task.unit.step.Gang {
		s.stopUnit(p.task.unit, reason)
	}
}

// gangReadyPercent is the progress from which a gang member may have finished its own work and be waiting for the other
// members, so that they end together.
const gangReadyPercent = 99

// stalled reports whether the run has made no progress for so long that its task should run elsewhere.
func (p *placement) stalled() bool {
	if p.state != running || p.task == nil || p.task.done || p.task.unit.step.LongRunning || p.firstReportAt.IsZero() {
		return false
	}
	unchangedFor := p.unchangedFor
	if p.task.unit.step.Gang && p.percent >= gangReadyPercent {
		unchangedFor = p.task.unit.unchangedFor()
	}
	// The members of a gang wait for each other before they make any progress, so they get twice the time for it.
	if p.task.unit.step.Gang && p.percent == 0 {
		return unchangedFor > 2*stallTimeout
	}
	return unchangedFor > stallTimeout
}

// unchangedFor returns how long no task of the unit has made progress.
func (u *unit) unchangedFor() time.Duration {
	shortest := time.Duration(1<<63 - 1)
	for t := range u.tasks.kept() {
		if t.placement != nil {
			shortest = min(shortest, t.placement.unchangedFor)
		}
	}
	return shortest
}

// trackProgress adds the interval since the last report to the time without progress if both reports show the same percent,
// and resets that time if the percent has changed.
func (p *placement) trackProgress(percent int, requestedAt time.Time) {
	interval := requestedAt.Sub(p.lastListedAt)
	switch {
	case percent != p.percent || p.firstReportAt.IsZero():
		p.unchangedFor = 0
	case !p.lastListedAt.IsZero() && interval > 0 && interval <= maxReportInterval:
		p.unchangedFor += interval
	}
	p.lastListedAt = requestedAt
}

// durationRatio sums up the declared and the actual durations of a queue's completed tasks.
type durationRatio struct {
	declared, actual time.Duration
}

// recordDuration adds the duration of a completed run to the statistics of its queue.
func (s *Scheduler) recordDuration(t *task, d time.Duration) {
	name := t.unit.job.spec.Queue.Name
	r := s.durationRatios[name]
	if r == nil {
		r = &durationRatio{}
		s.durationRatios[name] = r
	}
	r.declared += t.unit.step.Estimate
	r.actual += d
}

// expectedDuration returns the expected duration of a step's tasks.
func (s *Scheduler) expectedDuration(u *unit) time.Duration {
	return s.scaleEstimate(u.job, u.step.Estimate)
}

// scaleEstimate scales a declared duration (Step.Estimate), or a sum of them, by the ratio of actual to declared durations in the
// job's queue. The ratio is limited to the range from 0.25 to 4.
func (s *Scheduler) scaleEstimate(j *job, declared time.Duration) time.Duration {
	r := s.durationRatios[j.spec.Queue.Name]
	if r == nil || r.declared == 0 {
		return declared
	}
	ratio := min(max(float64(r.actual)/float64(r.declared), 0.25), 4)
	return time.Duration(float64(declared) * ratio)
}
