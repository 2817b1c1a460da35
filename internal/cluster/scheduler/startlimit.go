package scheduler

import "time"

const (
	// limitAdjustInterval is the minimum time between two changes of the limit.
	limitAdjustInterval = 200 * time.Millisecond
	// limitingPressure is the owner's pressure from which the limit falls, by limitDecrease each time, and relaxedPressure the one
	// below which it rises, by limitIncrease.
	limitingPressure = 1.0
	relaxedPressure  = 0.85
	limitDecrease    = 0.85
	limitIncrease    = 1.15
	// idleLimitTime is how long the limit must not have held a task back before it is lifted.
	idleLimitTime = time.Second
	// minStartRate is the lowest limit, in starts per second, so that no queue starves.
	minStartRate = 50
	// limitBurst is how much of the limit may be saved up while fewer tasks start.
	limitBurst = 250 * time.Millisecond
	// demandWindow is how long after the limit was last asked for a start of a service the service counts as having demand.
	demandWindow = time.Second
)

// startLimiter limits the starts of tasks while the owner is about to fall behind. Each start brings calls, events and records that
// the owner has to process. If it started all that fits, the events of urgent jobs would wait behind them, and every job would be
// late. The limit applies to all queues but those of the first priority; long-running tasks are exempt. It falls and rises in
// proportion while the pressure is high or low, and is lifted once it no longer holds tasks back. The services with demand share it
// equally, so that the tasks of one do not wait behind all those of another.
type startLimiter struct {
	rate       float64                 // starts per second; 0 means no limit
	buckets    map[string]*startBucket // by service
	adjustedAt time.Time
	started    int       // starts since adjustedAt to which the limit applies
	heldBackAt time.Time // when it last held a task back
}

// startBucket is the token bucket of a service.
type startBucket struct {
	tokens     float64 // starts that are allowed now; negative after a gang
	refilledAt time.Time
	askedAt    time.Time // when the limit was last asked for a start
}

// adjust adapts the limit to the owner's pressure.
func (l *startLimiter) adjust(now time.Time, pressure float64) {
	l.refill(now)
	elapsed := now.Sub(l.adjustedAt)
	if elapsed < limitAdjustInterval {
		return
	}
	observed := float64(l.started) / min(elapsed, 2*limitAdjustInterval).Seconds()
	l.started, l.adjustedAt = 0, now
	binding := now.Sub(l.heldBackAt) < idleLimitTime
	switch {
	case pressure >= limitingPressure && l.rate == 0:
		l.rate = max(limitDecrease*observed, minStartRate)
		l.beginLimit()
	case pressure >= limitingPressure:
		l.rate = max(limitDecrease*l.rate, minStartRate)
	case pressure < relaxedPressure && binding:
		l.rate *= limitIncrease
	case pressure < relaxedPressure:
		l.rate = 0
	}
}

// beginLimit lets each service start one task now, and the others at its share of the limit.
func (l *startLimiter) beginLimit() {
	for _, b := range l.buckets {
		b.tokens = 1
	}
}

func (b *startBucket) hasDemand(now time.Time) bool { return now.Sub(b.askedAt) < demandWindow }

// share returns the part of the limit of each service with demand, in starts per second.
func (l *startLimiter) share(now time.Time) float64 {
	services := 0
	for _, b := range l.buckets {
		if b.hasDemand(now) {
			services++
		}
	}
	return l.rate / float64(max(services, 1))
}

// refill adds the starts that the limit allows for the time since the last call.
func (l *startLimiter) refill(now time.Time) {
	share := l.share(now)
	for _, b := range l.buckets {
		b.tokens = min(b.tokens+share*now.Sub(b.refilledAt).Seconds(), share*limitBurst.Seconds())
		b.refilledAt = now
	}
}

// bucket returns the bucket of a service; a new one is full.
func (l *startLimiter) bucket(service string, now time.Time) *startBucket {
	b := l.buckets[service]
	if b == nil {
		if l.buckets == nil {
			l.buckets = map[string]*startBucket{}
		}
		b = &startBucket{tokens: l.share(now) * limitBurst.Seconds(), refilledAt: now}
		l.buckets[service] = b
	}
	return b
}

// holdsBack reports whether no further task of a service may start now.
func (l *startLimiter) holdsBack(service string, now time.Time) bool {
	b := l.bucket(service, now)
	b.askedAt = now
	if l.rate == 0 || b.tokens > 0 {
		return false
	}
	l.heldBackAt = now
	return true
}

// record counts a start of a service.
func (l *startLimiter) record(service string, now time.Time) {
	l.started++
	l.bucket(service, now).tokens--
}

// AdaptStarts limits the starts of less urgent tasks according to the owner's pressure, from 0 to 1; see startLimiter.
func (s *Scheduler) AdaptStarts(now time.Time, pressure float64) {
	s.startLimiter.adjust(now, pressure)
}

// StartLimit returns the limit in starts per second, or 0 if there is none.
func (s *Scheduler) StartLimit() float64 { return s.startLimiter.rate }

// startsHeldBack reports whether the limit keeps tasks of the unit from starting now.
func (s *Scheduler) startsHeldBack(u *unit, now time.Time) bool {
	return s.limitsStarts(u) && s.startLimiter.holdsBack(u.job.queue.Service, now)
}

// limitsStarts reports whether the limit applies to the unit.
func (s *Scheduler) limitsStarts(u *unit) bool {
	return !u.step.LongRunning && (u.beyondShare() || u.job.queue.Priority > s.queues.FirstPriority())
}
