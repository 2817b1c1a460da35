package scheduler

import (
	"slices"
	"time"
)

// LongQuestion is the duration from which a question to the policy service counts as long. Long ones are limited, so that
// questions of short tasks find a free host.
const LongQuestion = 200 * time.Millisecond

// adviceQueue are the units that need an answer of the policy service, the most urgent first. A complete plan finds them
// anew, and plans of changes add to them. One that needs none any more is passed over when it comes up.
type adviceQueue struct {
	short, long []candidate
}

func (q *adviceQueue) clear() {
	q.short, q.long = q.short[:0], q.long[:0]
}

// add inserts a unit at its place in the order, which is the end within a complete plan.
func (q *adviceQueue) add(c candidate) {
	list := &q.short
	if c.unit.job.queue.Advice.Cost(minAskedWorkers) >= LongQuestion {
		list = &q.long
	}
	i, _ := slices.BinarySearchFunc(*list, c, candidate.compare)
	*list = slices.Insert(*list, i, c)
}

// next removes and returns the most urgent unit.
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
