package lanes

import (
	"slices"
	"time"
)

const (
	demoteFactor       = 10.0 // times the class's median run time
	minCost            = 0.1  // of the quantum
	maxCost            = 10.0 // of the quantum
	averageWeight      = 0.2  // of the newest run time in a moving average
	minCustomerRuns    = 3    // run times of a customer before it may be demoted, so that one slow run demotes nobody
	minMedianSamples   = 16   // run times of a class before its median counts
	windowSize         = 128
	maxCustomerSamples = windowSize / 4 // samples of one customer, so that a flood of long work does not move the median
	medianInterval     = 8              // observations between two computations of a median
)

type customerClass struct {
	customer string
	class    Lane
}

// customerStats is what is known of a customer's items of one class.
type customerStats struct {
	average      float64 // ns
	count        int
	samples      int // in the window of the lane it runs in
	lastReplaced int // of its samples, the one replaced last
	lastSeen     time.Time
}

// window holds the latest run times in a lane.
type window struct {
	values   [windowSize]float64 // ns
	owners   [windowSize]*customerStats
	filled   int
	oldest   int
	recorded int
	median   float64
	mean     float64 // moving average of all run times, ns
}

// runTimes holds observed run times per customer and class and per lane.
type runTimes struct {
	customers map[customerClass]*customerStats
	lanes     *[laneCount]window
}

func newRunTimes() runTimes {
	return runTimes{customers: map[customerClass]*customerStats{}, lanes: &[laneCount]window{}}
}

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

func (w *window) storeSample(v float64, s *customerStats) {
	if s.samples >= maxCustomerSamples {
		s.lastReplaced = (s.lastReplaced + 1) % s.samples // replace the customer's samples one after the other
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

func (r runTimes) isDemoted(customer string, class Lane) bool {
	s := r.customers[customerClass{customer, class}]
	w := &r.lanes[class]
	return s != nil && s.count >= minCustomerRuns && w.filled >= minMedianSamples && s.average > demoteFactor*w.median
}

// cost returns the expected run time in units of the lane's median.
func (r runTimes) cost(customer string, class, at Lane) float64 {
	s := r.customers[customerClass{customer, class}]
	median := r.lanes[at].median
	if s == nil || median <= 0 {
		return quantum
	}
	return min(max(s.average/median, minCost), maxCost)
}

// average returns the customer's average run time in nanoseconds, if any is known.
func (r runTimes) average(customer string, class Lane) (float64, bool) {
	s := r.customers[customerClass{customer, class}]
	if s == nil {
		return 0, false
	}
	return s.average, true
}

// mean returns the average run time in the lane in nanoseconds, or zero when nothing has run.
func (r runTimes) mean(l Lane) float64 { return r.lanes[l].mean }

func (r runTimes) forget(before time.Time) {
	for k, s := range r.customers {
		if s.lastSeen.Before(before) {
			delete(r.customers, k)
		}
	}
}
