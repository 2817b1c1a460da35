package lanes

import (
	"slices"
	"time"
)

const (
	demoteFactor       = 10.0 // a customer is demoted above this multiple of the class's median run time
	minCost            = 0.1  // in quanta
	maxCost            = 10.0 // in quanta
	averageWeight      = 0.2  // weight of the newest run time in a moving average
	minCustomerRuns    = 3    // recorded runs of a customer before it may be demoted, so that one slow run demotes nobody
	minMedianSamples   = 16   // samples of a class before its median is used for demotions
	windowSize         = 128
	maxCustomerSamples = windowSize / 4 // samples of one customer, so that a flood of long items does not shift the median
	medianInterval     = 8              // recorded runs between two computations of the median
)

type customerClass struct {
	customer string
	class    Lane
}

// customerStats holds the run time statistics of one customer's items of one class.
type customerStats struct {
	average      float64 // ns
	count        int
	samples      int // samples of the customer in the window of the lane in which its items run
	lastReplaced int // which of these samples was replaced last
	lastSeen     time.Time
}

// window holds the latest run times in a lane as a ring buffer.
type window struct {
	values   [windowSize]float64        // ns
	owners   [windowSize]*customerStats // customer of each value
	filled   int                        // number of values
	oldest   int                        // index that the next value is written to
	recorded int                        // run times recorded in total
	median   float64                    // of the values, ns
	mean     float64                    // moving average of all run times, ns
}

// runTimes holds the observed run times per customer and class, and per lane.
type runTimes struct {
	customers map[customerClass]*customerStats
	lanes     *[laneCount]window
}

func newRunTimes() runTimes {
	return runTimes{customers: map[customerClass]*customerStats{}, lanes: &[laneCount]window{}}
}

// record records that an item of the given class ran in a lane for the given time.
func (r runTimes) record(now time.Time, customer string, class, ran Lane, run time.Duration) {
	v := float64(max(run, 1))
	k := customerClass{customer, class}
	s := r.customers[k]
	if s == nil {
		s = &customerStats{average: v}
		r.customers[k] = s
	}
	s.average += averageWeight * (v - s.average)
	s.count++
	s.lastSeen = now
	r.lanes[ran].addSample(v, s)
}

// addSample updates the mean with a run time, stores the run time, and recomputes the median when it is due.
func (w *window) addSample(v float64, s *customerStats) {
	if w.recorded == 0 {
		w.mean = v
	}
	w.mean += averageWeight / 2 * (v - w.mean)
	w.storeSample(v, s)
	w.recorded++
	if w.recorded < medianInterval || w.recorded%medianInterval == 0 {
		sorted := w.values
		slices.Sort(sorted[:w.filled])
		w.median = sorted[(w.filled-1)/2]
	}
}

// storeSample stores a run time. A customer with the maximum number of samples replaces one of its own; otherwise the
// oldest sample of the window is replaced.
func (w *window) storeSample(v float64, s *customerStats) {
	if s.samples >= maxCustomerSamples {
		s.lastReplaced = (s.lastReplaced + 1) % s.samples // replace the customer's samples in turn
		for i, skip := 0, s.lastReplaced; i < w.filled; i++ {
			if w.owners[i] == s {
				if skip == 0 {
					w.values[i] = v
					return
				}
				skip--
			}
		}
	}
	if old := w.owners[w.oldest]; old != nil {
		old.samples--
	}
	w.values[w.oldest], w.owners[w.oldest] = v, s
	s.samples++
	w.oldest = (w.oldest + 1) % windowSize
	w.filled = min(w.filled+1, windowSize)
}

// isDemoted reports whether the customer's items of the class run so much longer than usual that they belong in Bulk.
func (r runTimes) isDemoted(customer string, class Lane) bool {
	s := r.customers[customerClass{customer, class}]
	w := &r.lanes[class]
	return s != nil && s.count >= minCustomerRuns && w.filled >= minMedianSamples && s.average > demoteFactor*w.median
}

// cost returns the expected run time of a customer's item in units of the lane's median, within minCost and maxCost.
func (r runTimes) cost(customer string, class, at Lane) float64 {
	s := r.customers[customerClass{customer, class}]
	median := r.lanes[at].median
	if s == nil || median <= 0 {
		return quantum
	}
	return min(max(s.average/median, minCost), maxCost)
}

// average returns the customer's average run time in nanoseconds, or false if none is known.
func (r runTimes) average(customer string, class Lane) (float64, bool) {
	s := r.customers[customerClass{customer, class}]
	if s == nil {
		return 0, false
	}
	return s.average, true
}

// mean returns the average run time in the lane in nanoseconds, or zero if nothing has run in it.
func (r runTimes) mean(l Lane) float64 { return r.lanes[l].mean }

// forget drops the statistics of customers that were last seen before the given time.
func (r runTimes) forget(before time.Time) {
	for k, s := range r.customers {
		if s.lastSeen.Before(before) {
			delete(r.customers, k)
		}
	}
}
