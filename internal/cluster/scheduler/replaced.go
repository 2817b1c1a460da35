package scheduler

import "slices"

// maxReplaced is how many earlier incarnations of a worker are remembered. What still names one of them, an entry or an order, is late by
// seconds, in which a worker restarts a few times at most.
const maxReplaced = 16

// ReplacedIncarnations are the incarnations of a worker that were the present one before. An incarnation is named by its start time, which
// says nothing about the order: the time of day of the worker's host may be set back.
type ReplacedIncarnations []int64

// Contains reports whether the incarnation is an earlier one.
func (r ReplacedIncarnations) Contains(incarnation int64) bool {
	return slices.Contains(r, incarnation)
}

// Replace notes that another incarnation than the earlier one is present now.
func (r *ReplacedIncarnations) Replace(earlier, present int64) {
	kept := slices.DeleteFunc(*r, func(i int64) bool { return i == present || i == earlier })
	kept = append(kept, earlier)
	*r = kept[max(len(kept)-maxReplaced, 0):]
}
