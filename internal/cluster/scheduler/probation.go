package scheduler

import (
	"slices"
	"time"
)

const (
	// riskyQueueTime is how long after the crash of a worker that had just started a task of a queue the tasks of that queue are
	// started where the least work is at stake.
	riskyQueueTime = 10 * time.Second
	// maxProbation is how long a unit without a place keeps away from workers on which its start would blur the attribution of a
	// crash. A job with room must not have nothing running for 3 s.
	maxProbation = 2 * time.Second
	// checkpointLoss is the most work that a run with checkpoints loses, and restartCost what any run loses beside its work.
	checkpointLoss = time.Second
	restartCost    = 200 * time.Millisecond
)

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
//
// On workers that start runs of other jobs all the time, a suspected task would never find a place. It keeps away from them for maxProbation
// at most while it has none.
func (c candidate) withoutBlurring(workers []*worker, now time.Time) []*worker {
	u := c.unit
	suspected := false
	if !u.step.Gang {
		for t := range u.tasks.kept() {
			suspected = suspected || t.waits(now) && t.suspected()
		}
	}
	blurs := func(w *worker) bool { return w.blursCrash(u, suspected, now) }
	switch {
	case !slices.ContainsFunc(workers, blurs):
		u.blursSince = time.Time{}
	case u.blursSince.IsZero():
		u.blursSince = now
	case now.Sub(u.blursSince) >= maxProbation:
		return workers
	}
	return slices.DeleteFunc(workers, blurs)
}

// risky reports whether the task may crash its worker: it is suspected, or tasks of its queue have crashed workers lately.
func (s *Scheduler) risky(t *task, now time.Time) bool {
	return t.suspected() || now.Before(s.riskyQueues[t.unit.job.queue.Name])
}

// leastAtStake returns the worker on which the least work of other jobs would be lost if the task crashed it, out of those with the
// lowest penalty, or nil if the task fits on none.
func leastAtStake(t *task, workers []*worker, now time.Time) *worker {
	var best *worker
	var bestPenalty, bestStake int64
	for _, w := range workers {
		if !w.fits(t.unit) {
			continue
		}
		penalty, stake := t.penalty(w, now), w.stake(t.unit.job, now)
		if best == nil || penalty < bestPenalty || penalty == bestPenalty && stake < bestStake {
			best, bestPenalty, bestStake = w, penalty, stake
		}
	}
	return best
}

// stake returns the work of jobs other than j that would be lost in a crash of the worker, in millicore-milliseconds.
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
	return int64(members) * max(p.resources.CPUMilli, 1) * (lost + restartCost).Milliseconds()
}
