package scheduler

import (
	"slices"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

const (
	// unlimited is the amount of a resource that the quota does not limit. No sum of uses comes near it.
	unlimited = 1 << 60
	// maxCountedUse is the highest use of one task that is counted, above the capacity of any pool.
	maxCountedUse = 1 << 32
	// maxReleasedUnits is the highest number of units that a release of quota examines, so that the end of a run does not cost more with a
	// long backlog of the team.
	maxReleasedUnits = 64
	// maxQuotaHold is how long a gang may keep the quota of its team from units that come later, and maxQuotaHoldLowUse the same while
	// the team uses less than 1/lowUseDivisor of its quota, since jobs of such a team must not wait for 3 s.
	maxQuotaHold       = 10 * time.Second
	maxQuotaHoldLowUse = 2 * time.Second
	// quotaLogInterval is the least time between two log lines about a team that waits for its quota.
	quotaLogInterval = 3 * time.Second
)

// quotaUse returns what one task of the unit counts against the quota of its team: what the job asks for, also of best-effort tasks, which
// reserve no processors on their worker but use them.
func (u *unit) quotaUse() workload.Resources { return countedUse(u.step.Resources) }

// countedUse limits the use of one task, so that sums over the tasks of many jobs do not overflow.
func countedUse(r workload.Resources) workload.Resources {
	return workload.Resources{CPUMilli: min(r.CPUMilli, maxCountedUse), MemoryMB: min(r.MemoryMB, maxCountedUse),
		Accelerators: min(r.Accelerators, maxCountedUse)}
}

// gangHold keeps the quota of a team for a gang that lacks some of it. Without it, small tasks of the team would take each part of the quota
// as soon as it is free, and the gang would never start. It lasts until the next complete plan.
type gangHold struct {
	holder candidate
	need   workload.Resources
}

// quotaClaims is what units of a team that have no room have asked other units to give up in one plan, or reserved for themselves.
type quotaClaims struct {
	plan    int64
	claimed workload.Resources
}

// limited reports whether starts of the team are limited. Without a configuration its limits are not known, and nothing starts.
func (t *team) limited() bool { return t.quota.Limited() || t.limitsUnknown() }

// limitsUnknown reports whether the limits of the team are not known, since there is no configuration yet.
func (t *team) limitsUnknown() bool { return !t.known && !t.teams.configured }

// asResources returns the limits of a quota, with unlimited for a resource without a limit.
func asResources(q queues.Quota) workload.Resources {
	limit := func(n int64) int64 {
		if n == 0 {
			return unlimited
		}
		return n
	}
	return workload.Resources{CPUMilli: limit(q.CPUMilli), MemoryMB: limit(q.MemoryMB), Accelerators: limit(q.Accelerators)}
}

// quotaLeft returns what the tasks of the candidate may use so that its team stays within its quota.
func (s *Scheduler) quotaLeft(c candidate) workload.Resources {
	t := c.unit.job.team
	if t.limitsUnknown() {
		return workload.Resources{}
	}
	left := asResources(t.quota).Sub(t.used).Sub(t.held).Sub(s.uncertainUse(t)).Add(c.unit.heldQuota())
	if h := t.gangHold.holder; h.unit != nil && h.unit != c.unit && h.before(c) {
		left = left.Sub(t.gangHold.need)
	}
	return left
}

// quotaPlaces returns how many tasks of the candidate the quota of its team lets start now.
func (s *Scheduler) quotaPlaces(c candidate) int {
	t := c.unit.job.team
	if t == nil || !t.limited() {
		return c.waiting
	}
	if t.limitsUnknown() {
		return 0
	}
	return min(countFitting(s.quotaLeft(c), c.unit.quotaUse()), c.waiting)
}

// neededPlaces returns how many of its waiting tasks have to start at least for the candidate to start anything.
func (c candidate) neededPlaces() int {
	if c.unit.step.Gang {
		return c.waiting
	}
	return 1
}

// atQuota reports whether the quota of the candidate's team lets nothing of it start now.
func (s *Scheduler) atQuota(c candidate) bool { return s.quotaPlaces(c) < c.neededPlaces() }

// waitsForQuota reports whether the candidate has to wait because its team is at its quota, and notes that it does.
func (s *Scheduler) waitsForQuota(c candidate, now time.Time) bool {
	if c.unit.job.team == nil || !s.atQuota(c) {
		c.unit.endQuotaWait()
		return false
	}
	u := c.unit
	u.dropNomination()
	// A unit that waits for its quota does not lack workers.
	u.unplacedSince, u.heldBackSince, u.blursSince, u.makesRoom = time.Time{}, time.Time{}, time.Time{}, false
	s.holdQuota(c, now)
	u.job.team.addWaiting(c)
	return true
}

// quotaAllowsMore reports whether the quota lets tasks of the candidate that found no worker start. If not, it notes that they wait for the
// quota.
func (s *Scheduler) quotaAllowsMore(c candidate) bool {
	t := c.unit.job.team
	if t == nil || !s.atQuota(c) {
		return true
	}
	t.addWaiting(c)
	return false
}

// endQuotaWait notes that the quota of its team has room for the unit, or that its job has ended.
func (u *unit) endQuotaWait() {
	if !u.quotaHeldSince.IsZero() {
		u.quotaHeldSince, u.job.team.lowUseHeldSince = time.Time{}, time.Time{}
	}
}

// holdQuota keeps the quota of a team for the first gang of it that lacks some, in planning order.
func (s *Scheduler) holdQuota(c candidate, now time.Time) {
	u, t := c.unit, c.unit.job.team
	need := times(u.quotaUse(), c.waiting)
	if !u.step.Gang || !asResources(t.quota).CanFit(need) {
		return
	}
	if u.quotaHeldSince.IsZero() {
		u.quotaHeldSince = now
	}
	if now.Sub(u.quotaHeldSince) > maxQuotaHold || t.heldTooLong(now) {
		return
	}
	if h := t.gangHold.holder; h.unit == nil || h.unit == u || c.before(h) {
		t.gangHold = gangHold{c, need}
	}
}

// endQuotaHold gives the quota that is kept for a gang free, since it starts.
func (u *unit) endQuotaHold() {
	if t := u.job.team; t != nil && t.gangHold.holder.unit == u {
		t.gangHold = gangHold{}
		t.noteReleased()
	}
}

// heldTooLong reports whether gangs must not keep the quota of the team, since it uses little of it and they have kept it for long.
func (t *team) heldTooLong(now time.Time) bool {
	if !t.lowUse() {
		t.lowUseHeldSince = time.Time{}
		return false
	}
	if t.lowUseHeldSince.IsZero() {
		t.lowUseHeldSince = now
	}
	return now.Sub(t.lowUseHeldSince) > maxQuotaHoldLowUse
}

// lowUse reports whether the team uses less than 1/lowUseDivisor of each of its limits.
func (t *team) lowUse() bool {
	for _, d := range t.used.Pairs(asResources(t.quota)) {
		if d[0]*lowUseDivisor >= d[1] {
			return false
		}
	}
	return true
}

// addWaiting adds a unit at its position in the planning order. During a complete plan this is the end of the list.
func (t *team) addWaiting(c candidate) {
	i, found := slices.BinarySearchFunc(t.waiting, c, candidate.compare)
	if found && t.waiting[i].unit == c.unit {
		return
	}
	t.waiting = slices.Insert(t.waiting, i, c)
	t.teams.withWaits[t] = struct{}{}
}

// claimQuota reports whether the quota has room for n tasks of a candidate without a place, beside those for which other units of the team
// have got room in this plan, and notes that it gets room for them. It is asked before runs are stopped or workers are reserved.
func (s *Scheduler) claimQuota(c candidate, n int) bool {
	t := c.unit.job.team
	if t == nil || !t.limited() {
		return true
	}
	if t.claims.plan != s.planNumber {
		t.claims = quotaClaims{plan: s.planNumber}
	}
	need := times(c.unit.quotaUse(), n)
	if !s.quotaLeft(c).Sub(t.claims.claimed).CanFit(need) {
		return false
	}
	t.claims.claimed = t.claims.claimed.Add(need)
	return true
}

// heldQuota returns what the unit's nomination holds of the quota of its team.
func (u *unit) heldQuota() workload.Resources { return times(u.quotaUse(), len(u.nomination.workers)) }

// resetQuotaWaits removes what the last complete plan has noted about units that wait for the quota.
func (s *Scheduler) resetQuotaWaits() {
	for t := range s.teams.withWaits {
		clear(t.waiting)
		t.waiting = t.waiting[:0]
		t.gangHold = gangHold{}
	}
	clear(s.teams.released)
}

// replanReleased lets PlanChanged consider the first units of teams whose quota has room again, as many as may start.
func (s *Scheduler) replanReleased() {
	for t := range s.teams.released {
		t.waiting = s.releaseUnits(t)
	}
	clear(s.teams.released)
}

// releaseUnits lets PlanChanged consider the units of a team that may start now, and returns those that go on waiting.
func (s *Scheduler) releaseUnits(t *team) []candidate {
	if len(t.waiting) == 0 {
		return t.waiting
	}
	examined := t.waiting[:min(len(t.waiting), maxReleasedUnits)]
	var planned workload.Resources
	kept := examined[:0]
	for _, c := range examined {
		places := min(countFitting(s.quotaLeft(c).Sub(planned), c.unit.quotaUse()), c.waiting)
		if t.limited() && places < c.neededPlaces() {
			kept = append(kept, c)
			continue
		}
		planned = planned.Add(times(c.unit.quotaUse(), places))
		s.changedUnits[c.unit] = struct{}{}
	}
	return slices.Delete(t.waiting, len(kept), len(examined))
}

// QuotaWait tells that steps of a team begin or cease to wait because the team is at its quota, for logs.
type QuotaWait struct {
	Team      string
	Waiting   int // steps that wait; 0 when none does any more
	Used      workload.Resources
	Uncertain workload.Resources
	Limit     workload.Resources // 0 means no limit
}

// quotaLog is what the log says about a team.
type quotaLog struct {
	waits bool
	at    time.Time
}

// noteQuotaWaits notes for the log which teams have begun or ceased to wait, after a complete plan.
func (s *Scheduler) noteQuotaWaits(now time.Time) {
	for t := range s.teams.withWaits {
		waits := len(t.waiting) > 0
		if waits != t.quotaLog.waits && now.Sub(t.quotaLog.at) >= quotaLogInterval {
			t.quotaLog = quotaLog{waits, now}
			s.teams.changes = append(s.teams.changes, QuotaWait{Team: t.name, Waiting: len(t.waiting), Used: t.used, Uncertain: s.uncertainUse(t), Limit: workload.Resources(t.quota)})
		}
		if !waits && !t.quotaLog.waits {
			delete(s.teams.withWaits, t)
		}
	}
}

// TakeQuotaWaits returns the teams that have begun or ceased to wait for their quotas since the last call.
func (s *Scheduler) TakeQuotaWaits() []QuotaWait {
	changes := s.teams.changes
	s.teams.changes = nil
	return changes
}

// TeamsAtQuota returns the number of teams with steps that wait because the team is at its quota.
func (s *Scheduler) TeamsAtQuota() int {
	n := 0
	for t := range s.teams.withWaits {
		if len(t.waiting) > 0 {
			n++
		}
	}
	return n
}
