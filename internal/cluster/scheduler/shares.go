package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// A team with a weight is promised service for so many jobs a second. A token bucket of that rate tells which of its jobs are within its
// share. The others come after all units of jobs within the shares, whatever their queue's priority, so that a team that sends many times
// its usual load delays its own jobs only.

const (
	// shareBurst is the time in which a team that sent nothing saves up the tokens that its bucket holds at most.
	shareBurst = time.Second
	// minShareBurst is the least number of tokens that a full bucket holds. Jobs of a team with a low rate arrive unevenly: with 1, some of
	// them were late beside a hot team although their team sent less than its rate.
	minShareBurst = 4
	// arrivalReserve is the share of a full bucket, beyond one token, that waiting jobs leave to those that arrive next. Without it a
	// backlog would take every token for jobs that are late already, and all new ones would be late, too.
	arrivalReserve = 0.5
	// fullTime is how long after a task found no room the workers of its service count as full.
	fullTime = 300 * time.Millisecond
)

// shareBucket is the token bucket of a team, with the jobs that found no token.
type shareBucket struct {
	tokens   float64
	filledAt time.Time // zero before the first job
	beyond   []*job    // by acceptance; ended ones are removed by moveUp
}

// burst returns how many tokens the bucket holds at most at a rate in jobs per second.
func burst(rate float64) float64 { return max(rate*shareBurst.Seconds(), minShareBurst) }

// refill adds the tokens for the time since the last call. The bucket is full at first. A time before the last one adds nothing.
func (b *shareBucket) refill(at time.Time, rate float64) {
	switch {
	case b.filledAt.IsZero():
		b.tokens, b.filledAt = burst(rate), at
	case at.After(b.filledAt):
		b.tokens = min(b.tokens+rate*at.Sub(b.filledAt).Seconds(), burst(rate))
		b.filledAt = at
	}
}

// take takes a token for a job and reports whether there was one.
func (b *shareBucket) take(at time.Time, rate float64) bool {
	b.refill(at, rate)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// moveUp takes tokens for the oldest jobs beyond the share, as long as the bucket has room.
func (b *shareBucket) moveUp(now time.Time, rate float64) {
	b.beyond = slices.DeleteFunc(b.beyond, func(j *job) bool { return j.state.Final() })
	b.refill(now, rate)
	moved := 0
	for moved < len(b.beyond) && (rate == 0 || b.tokens-1 >= arrivalReserve*(burst(rate)-1)) {
		if rate > 0 {
			b.tokens--
		}
		b.beyond[moved].beyondShare = false
		moved++
	}
	b.beyond = slices.Delete(b.beyond, 0, moved)
}

// classifyJobs determines which of the jobs that were added since the last call are beyond the share of their team, by the times at which
// they were accepted. A successor gets the jobs of its predecessor in any order, so they are sorted. A time ahead of now, from a host whose
// clock is ahead, counts as now: the bucket would get no tokens until then.
func (s *Scheduler) classifyJobs(now time.Time) {
	if len(s.teams.unclassified) == 0 || !s.teams.configured {
		return
	}
	slices.SortFunc(s.teams.unclassified, func(a, b *job) int {
		return cmp.Or(a.spec.Accepted.Compare(b.spec.Accepted), strings.Compare(a.spec.ID, b.spec.ID))
	})
	for _, j := range s.teams.unclassified {
		t := j.team
		if t.weight == 0 || j.state.Final() || j.onlyLongRunning() || t.bucket.take(minTime(j.spec.Accepted, now), t.weight) {
			continue
		}
		j.beyondShare = true
		t.bucket.beyond = append(t.bucket.beyond, j)
		s.teams.withBeyond[t] = struct{}{}
	}
	clear(s.teams.unclassified)
	s.teams.unclassified = s.teams.unclassified[:0]
}

// moveUpJobs moves waiting jobs into the shares of teams that send less than their share now.
func (s *Scheduler) moveUpJobs(now time.Time) {
	for t := range s.teams.withBeyond {
		t.bucket.moveUp(now, t.weight)
		if len(t.bucket.beyond) == 0 {
			delete(s.teams.withBeyond, t)
		}
	}
}

// onlyLongRunning reports whether all steps of the job are long-running.
func (j *job) onlyLongRunning() bool {
	for i := range j.spec.Steps {
		if !j.spec.Steps[i].LongRunning {
			return false
		}
	}
	return true
}

// beyondShare reports whether the unit comes after all units of jobs within the shares. Long-running units never do.
func (u *unit) beyondShare() bool { return u.job.beyondShare && !u.step.LongRunning }

// JobsBeyondShare returns the number of unfinished jobs beyond the shares of their teams.
func (s *Scheduler) JobsBeyondShare() int {
	n := 0
	for t := range s.teams.withBeyond {
		for _, j := range t.bucket.beyond {
			if !j.state.Final() {
				n++
			}
		}
	}
	return n
}

// dominantShare returns the highest share of the pool's capacity of a resource that the runs of the team use.
func (s *Scheduler) dominantShare(t *team) float64 {
	share := 0.0
	for _, d := range t.used.Pairs(s.capacity) {
		if d[1] > 0 {
			share = max(share, float64(d[0])/float64(d[1]))
		}
	}
	return share
}

// noteFull notes that the service's workers are full if tasks of the candidate may run now and found no room.
func (s *Scheduler) noteFull(c candidate, now time.Time) {
	if c.waiting > 0 && !c.adviceOnly && !c.beyondShare && (c.unit.job.queue.PolicyService == nil || c.unit.hasTicket(now)) {
		s.servicePool(c.unit.job.queue.Service).fullAt = now
	}
}

// aboveFairShare reports whether the unit's service is full and the team of the unit uses more of the pool than its weighted fair share, which is its part
// of the weights of all teams with unfinished jobs. Among the units of teams above their shares, and among those of the others, the order
// stays that of the latest starts: a finer order by share would let jobs be late although no team uses too much.
func (s *Scheduler) aboveFairShare(u *unit, now time.Time) bool {
	t := u.job.team
	if t == nil || t.weight == 0 || now.Sub(s.servicePool(u.job.queue.Service).fullAt) > fullTime {
		return false
	}
	return s.dominantShare(t)*s.teams.activeWeight > t.weight
}
