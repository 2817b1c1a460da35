package scheduler

import (
	"time"

	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	// quarantineThreshold is the number of different jobs whose tasks have to fail on a worker, without a success between
	// them, for the worker to be quarantined. Ordinary tasks fail in a few percent of their runs, so three in a row on one
	// worker are rare.
	quarantineThreshold = 3

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
	failedJobs       map[string]struct{} // IDs of jobs with failed runs since the last success
	quarantinedUntil time.Time
	rejectsUntil     time.Time // the worker has just rejected a start; see rejectionDelay
	quarantines      int       // since the last success
}

// succeeded applies a successful run.
func (h *health) succeeded() {
	h.failedJobs = nil
	h.quarantines = 0
}

// failed applies a failed run of a job.
func (h *health) failed(now time.Time, jobID string) {
	if h.failedJobs == nil {
		h.failedJobs = map[string]struct{}{}
	}
	h.failedJobs[jobID] = struct{}{}
	if len(h.failedJobs) >= quarantineThreshold {
		h.quarantine(now)
	}
}

// quarantine keeps new tasks off the worker for a time that doubles with each quarantine (exponential backoff). After it,
// one failure is enough for the next quarantine.
func (h *health) quarantine(now time.Time) {
	if now.Before(h.quarantinedUntil) {
		return
	}
	h.quarantinedUntil = now.Add(wait.Backoff(firstQuarantine, maxQuarantine, h.quarantines))
	h.quarantines++
	// Two placeholders: the failure of one more job reaches quarantineThreshold.
	h.failedJobs = map[string]struct{}{"": {}, "-": {}}
}

func (h *health) quarantined(now time.Time) bool {
	return now.Before(h.quarantinedUntil) || now.Before(h.rejectsUntil)
}

// stopStalled stops runs that make no progress, so that their tasks start elsewhere, and quarantines the workers of these
// runs.
func (s *Scheduler) stopStalled(now time.Time) {
	for _, w := range s.sortedWorkers {
		if w.unreachable || !w.fenced {
			continue
		}
		stalled := 0
		for _, p := range w.placements {
			if p.stalled() {
				stalled++
				s.stopRun(p, "no progress")
				s.stopGangOf(p, "no progress of another gang member")
			}
		}
		if stalled > 0 {
			w.health.quarantine(now)
		}
	}
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
