package scheduler

import (
	"slices"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// EarlyCancel is the cancellation of a job that was not found when its caller cancelled it. It applies to a job with the ID that the caller may
// access.
type EarlyCancel struct {
	By workload.Access
	At time.Time
}

// earlyCancels holds the early cancellations by ID of the job, until their rows are removed.
type earlyCancels map[string][]EarlyCancel

// apply reports whether the job of a team is cancelled.
func (m earlyCancels) apply(id, team string) bool {
	return slices.ContainsFunc(m[id], func(c EarlyCancel) bool { return c.By.Allows(team) })
}

// applyToAll reports whether a job is cancelled whatever its team is.
func (m earlyCancels) applyToAll(id string) bool {
	return slices.ContainsFunc(m[id], func(c EarlyCancel) bool { return !c.By.Restricted })
}

// CancelEarly applies an early cancellation to the job if it is known, and remembers it otherwise. It reports whether the state of a job has
// changed. The cancellation may be read several times.
func (s *Scheduler) CancelEarly(now time.Time, id string, c EarlyCancel) bool {
	if c.At.After(now) {
		c.At = now // the time of day of another host
	}
	if !slices.ContainsFunc(s.earlyCancels[id], func(other EarlyCancel) bool { return other.By == c.By }) {
		s.earlyCancels[id] = append(s.earlyCancels[id], c)
	}
	j := s.jobs[id]
	if j == nil || j.state.Final() || !c.By.Allows(j.spec.Team) || j.unreadable && c.By.Restricted {
		return false
	}
	s.finishJob(j, workload.Cancelled, now)
	return true
}

// ExpiredEarlyCancels returns the early cancellations, of at most limit jobs, whose retention has passed.
func (s *Scheduler) ExpiredEarlyCancels(now time.Time, limit int) map[string][]EarlyCancel {
	expired := map[string][]EarlyCancel{}
	for id, cancels := range s.earlyCancels {
		if len(expired) == limit {
			break
		}
		for _, c := range cancels {
			if now.Sub(c.At) > s.cfg.Retention {
				expired[id] = append(expired[id], c)
			}
		}
	}
	return expired
}

// RemoveEarlyCancels removes early cancellations whose rows have been removed.
func (s *Scheduler) RemoveEarlyCancels(expired map[string][]EarlyCancel) {
	for id, cancels := range expired {
		left := slices.DeleteFunc(s.earlyCancels[id], func(c EarlyCancel) bool { return slices.Contains(cancels, c) })
		if s.earlyCancels[id] = left; len(left) == 0 {
			delete(s.earlyCancels, id)
		}
	}
}
