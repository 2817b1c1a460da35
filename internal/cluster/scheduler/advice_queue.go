package scheduler

import (
	"slices"
	"time"
)

// LongAdviceRequest is the duration of an advice request from which it counts as long. The caller limits the number of long
// requests in flight, so that a host is free for the requests of short tasks.
const LongAdviceRequest = 200 * time.Millisecond

// adviceQueue holds the units for which the policy service has to be asked, in planning order. A complete plan rebuilds it,
// and PlanChanged adds to it. Units that need no advice any more are skipped when they are removed from it.
type adviceQueue struct {
	short, long []candidate
}

func (q *adviceQueue) clear() {
	q.short, q.long = q.short[:0], q.long[:0]
}

// asksLong reports whether the advice requests of the unit are long. The duration of the smallest request decides, since the
// workers to name are not chosen yet.
func (c candidate) asksLong() bool {
	return c.unit.job.queue.PolicyService.ExpectedDuration(minAskedWorkers) >= LongAdviceRequest
}

// add inserts a unit at its position in the planning order. During a complete plan this is the end of the list.
func (q *adviceQueue) add(c candidate) {
	list := &q.short
	if c.asksLong() {
		list = &q.long
	}
	i, _ := slices.BinarySearchFunc(*list, c, candidate.compare)
	*list = slices.Insert(*list, i, c)
}

func (q *adviceQueue) empty() bool { return len(q.short) == 0 && len(q.long) == 0 }

// next removes and returns the most urgent unit. Units with long requests are considered only if long is true.
func (q *adviceQueue) next(long bool) (candidate, bool) {
	list := &q.short
	if long && len(q.long) > 0 && (len(q.short) == 0 || q.long[0].before(q.short[0])) {
		list = &q.long
	}
	if len(*list) == 0 {
		return candidate{}, false
	}
	c := (*list)[0]
	*list = (*list)[1:]
	return c, true
}
