package scheduler

import (
	"time"

	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	// Failures of this many different jobs in a row, without a success between, set a worker aside. Ordinary tasks fail in
	// a few percent of their runs, so three in a row on one worker are rare.
	quarantineThreshold = 3

	quarantineMin = 2 * time.Second
	quarantineMax = 16 * time.Second

	// A run whose percent stands still for this long in its worker's reports is taken to hang.
	stallTimeout = 2500 * time.Millisecond
	// reportGap is the longest time between two reports of a worker that nothing delays. During a longer one the worker, its
	// delegate or the owner was silent or paused, so it says nothing of the run.
	reportGap = 2200 * time.Millisecond
)

// health is what the owner thinks of a worker from the ends of its tasks.
type health struct {
	failedJobs       map[string]struct{} // since the last success
	quarantinedUntil time.Time           // set aside until then
	quarantines      int
}

func (h *health) succeeded() {
	h.failedJobs = nil
	h.quarantines = 0
}

func (h *health) failed(now time.Time, jobID string) {
	if h.failedJobs == nil {
		h.failedJobs = map[string]struct{}{}
	}
	h.failedJobs[jobID] = struct{}{}
	if len(h.failedJobs) >= quarantineThreshold {
		h.quarantine(now)
	}
}

// quarantine keeps tasks away for a while that doubles with each time. One failure after it sets the worker aside again.
func (h *health) quarantine(now time.Time) {
	if now.Before(h.quarantinedUntil) {
		return
	}
	h.quarantinedUntil = now.Add(wait.Backoff(quarantineMin, quarantineMax, h.quarantines))
	h.quarantines++
	h.failedJobs = map[string]struct{}{"": {}, "-": {}}
}

func (h *health) quarantined(now time.Time) bool { return now.Before(h.quarantinedUntil) }

// stopStalled stops runs that make no progress, so that their tasks start elsewhere, and sets aside workers on which
// more than one stands still.
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
				s.stopGangOf(p, "a member of the gang made no progress")
			}
		}
		if stalled > 0 {
			w.health.quarantine(now)
		}
	}
}

// stopGangOf stops the other members of a run's gang, which can't end without it.
func (s *Scheduler) stopGangOf(p *placement, reason string) {
	if p.task != nil && p.task.unit.step.Gang {
		s.stopUnit(p.task.unit, reason)
	}
}

// gangReadyPercent is the percent from which on a member of a gang may only wait for the others to end with it.
const gangReadyPercent = 99

func (p *placement) stalled() bool {
	if p.state != running || p.task == nil || p.task.done || p.task.unit.step.LongRunning || p.firstReportAt.IsZero() {
		return false
	}
	unchangedFor := p.unchangedFor
	if p.task.unit.step.Gang && p.percent >= gangReadyPercent {
		unchangedFor = p.task.unit.unchangedFor()
	}
	// A gang's members wait for each other before they progress.
	if p.task.unit.step.Gang && p.percent == 0 {
		return unchangedFor > 2*stallTimeout
	}
	return unchangedFor > stallTimeout
}

// unchangedFor is for how long no task of the unit has made progress.
func (u *unit) unchangedFor() time.Duration {
	shortest := time.Duration(1<<63 - 1)
	for _, t := range u.tasks {
		if t.placement != nil {
			shortest = min(shortest, t.placement.unchangedFor)
		}
	}
	return shortest
}

// trackProgress adds the time since the last report to the time without progress, if both show the same percent.
func (p *placement) trackProgress(percent int, asked time.Time) {
	gap := asked.Sub(p.lastListedAt)
	switch {
	case percent != p.percent || p.firstReportAt.IsZero():
		p.unchangedFor = 0
	case !p.lastListedAt.IsZero() && gap > 0 && gap <= reportGap:
		p.unchangedFor += gap
	}
	p.lastListedAt = asked
}

// durationRatio is the learned relation between the declared and the actual duration of a queue's tasks.
type durationRatio struct {
	declared, actual time.Duration
}

// recordDuration takes the duration of a run that was done.
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

// expectedDuration returns the expected duration of a step's tasks: the declared one, corrected by what the queue's tasks took.
func (s *Scheduler) expectedDuration(u *unit) time.Duration {
	r := s.durationRatios[u.job.spec.Queue.Name]
	if r == nil || r.declared == 0 {
		return u.step.Estimate
	}
	ratio := min(max(float64(r.actual)/float64(r.declared), 0.25), 4)
	return time.Duration(float64(u.step.Estimate) * ratio)
}
