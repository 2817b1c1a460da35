package scheduler

import (
	"slices"
	"time"
)

// LongAdviceRequest is the duration of an advice request from which it counts as long. The caller limits the number of long
// requests in flight, so that a host is free for the requests of short tasks.
const LongAdviceRequest = 200 * time.Millisecond

// adviceQueue holds the units for which the policy service has to be asked, by service of their queues. The services take turns, so that units
// of one don't wait behind all those of another. A complete plan rebuilds it, and PlanChanged adds to it. Units that need no advice any more
// are skipped when they are removed from it.
type adviceQueue struct {
	services map[string]*adviceLists
	turns    int64 // units that were removed so far
}

// adviceLists holds the units of a service, in planning order.
type adviceLists struct {
	short, long []candidate
	lastTurn    int64 // when a unit of the service was removed last, in adviceQueue.turns
}

func (q *adviceQueue) clear() {
	for _, l := range q.services {
		l.short, l.long = l.short[:0], l.long[:0]
	}
}

// asksLong reports whether the advice requests of the unit are long. The duration of the smallest request decides, since the
// workers to name are not chosen yet.
func (c candidate) asksLong() bool {
	return c.unit.job.queue.PolicyService.ExpectedDuration(minAskedWorkers) >= LongAdviceRequest
}

// add inserts a unit at its position in the planning order. During a complete plan this is the end of the list.
func (q *adviceQueue) add(c candidate) {
	service := c.unit.job.queue.Service
	l := q.services[service]
	if l == nil {
		if q.services == nil {
			q.services = map[string]*adviceLists{}
		}
		l = &adviceLists{}
		q.services[service] = l
	}
	list := &l.short
	if c.asksLong() {
		list = &l.long
	}
	i, _ := slices.BinarySearchFunc(*list, c, candidate.compare)
	*list = slices.Insert(*list, i, c)
}

func (q *adviceQueue) empty() bool {
	for _, l := range q.services {
		if len(l.short) > 0 || len(l.long) > 0 {
			return false
		}
	}
	return true
}

// longUnits returns the number of units with long requests.
func (q *adviceQueue) longUnits() int {
	n := 0
	for _, l := range q.services {
		n += len(l.long)
	}
	return n
}

// next removes and returns the most urgent unit of the service that has waited for the most turns. Units with long requests are considered
// only if long is true.
func (q *adviceQueue) next(long bool) (candidate, bool) {
	var chosen *adviceLists
	for _, l := range q.services {
		list := l.first(long)
		if list == nil {
			continue
		}
		if chosen == nil || l.lastTurn < chosen.lastTurn || l.lastTurn == chosen.lastTurn && (*list)[0].before((*chosen.first(long))[0]) {
			chosen = l
		}
	}
	if chosen == nil {
		return candidate{}, false
	}
	q.turns++
	chosen.lastTurn = q.turns
	list := chosen.first(long)
	c := (*list)[0]
	*list = (*list)[1:]
	return c, true
}

// first returns the list that begins with the most urgent unit, or nil if there is none.
func (l *adviceLists) first(long bool) *[]candidate {
	if long && len(l.long) > 0 && (len(l.short) == 0 || l.long[0].before(l.short[0])) {
		return &l.long
	}
	if len(l.short) == 0 {
		return nil
	}
	return &l.short
}
