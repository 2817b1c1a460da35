package lanes

import (
	"slices"
	"time"
)

const (
	demoteFactor   = 10.0 // times the class's median run time
	minCost        = 0.1  // of the quantum
	maxCost        = 10.0 // of the quantum
	averageWeight  = 0.2  // of the newest run time in a moving average
	minObserved    = 3    // run times of a customer before it may be demoted, so that one slow run demotes nobody
	minSamples     = 16   // run times of a class before its median counts
	sampleCount    = 128
	customerShare  = sampleCount / 4 // samples of one customer, so that a flood of long work does not move the median
	medianInterval = 8               // observations between two computations of a median
)

type pair struct {
	customer string
	class    Lane
}

// pairStats is what is known of a customer's items of one class.
type pairStats struct {
	average float64 // ns
	count   int
	samples int // in the window of the lane it runs in
	turn    int // of its samples, the one replaced last
	seen    time.Time
}

// window holds the latest run times in a lane.
type window struct {
	values [sampleCount]float64 // ns
	from   [sampleCount]*pairStats
	used   int
	next   int
	count  int
	median float64
	mean   float64 // moving average of all run times, ns
}

// runTimes holds observed run times per customer and class and per lane.
type runTimes struct {
	pairs map[pair]*pairStats
	lanes *[laneCount]window
}

func newRunTimes() runTimes {
	return runTimes{pairs: map[pair]*pairStats{}, lanes: &[laneCount]window{}}
}

func (r runTimes) observe(now time.Time, customer string, class, ran Lane, run time.Duration) {
	v := float64(max(run, 1))
	k := pair{customer, class}
	s := r.pairs[k]
	if s == nil {
		s = &pairStats{average: v}
		r.pairs[k] = s
	}
	s.average += averageWeight * (v - s.average)
	s.count++
	s.seen = now
	r.lanes[ran].add(v, s)
}

func (w *window) add(v float64, s *pairStats) {
	if w.count == 0 {
		w.mean = v
	}
	w.mean += averageWeight / 2 * (v - w.mean)
	w.put(v, s)
	w.count++
	if w.count < medianInterval || w.count%medianInterval == 0 {
		sorted := w.values
		slices.Sort(sorted[:w.used])
		w.median = sorted[(w.used-1)/2]
	}
}

func (w *window) put(v float64, s *pairStats) {
	if s.samples >= customerShare {
		s.turn = (s.turn + 1) % s.samples // replace the customer's samples one after the other
		for i, skip := 0, s.turn; i < w.used; i++ {
			if w.from[i] == s {
				if skip == 0 {
					w.values[i] = v
					return
				}
				skip--
			}
		}
	}
	if old := w.from[w.next]; old != nil {
		old.samples--
	}
	w.values[w.next], w.from[w.next] = v, s
	s.samples++
	w.next = (w.next + 1) % sampleCount
	w.used = min(w.used+1, sampleCount)
}

func (r runTimes) demoted(customer string, class Lane) bool {
	s := r.pairs[pair{customer, class}]
	w := &r.lanes[class]
	return s != nil && s.count >= minObserved && w.used >= minSamples && s.average > demoteFactor*w.median
}

// cost returns the expected run time in units of the lane's median.
func (r runTimes) cost(customer string, class, at Lane) float64 {
	s := r.pairs[pair{customer, class}]
	median := r.lanes[at].median
	if s == nil || median <= 0 {
		return quantum
	}
	return min(max(s.average/median, minCost), maxCost)
}

// average returns the customer's average run time in nanoseconds, if any is known.
func (r runTimes) average(customer string, class Lane) (float64, bool) {
	s := r.pairs[pair{customer, class}]
	if s == nil {
		return 0, false
	}
	return s.average, true
}

// mean returns the average run time in the lane in nanoseconds, or zero when nothing has run.
func (r runTimes) mean(l Lane) float64 { return r.lanes[l].mean }

func (r runTimes) forget(before time.Time) {
	for k, s := range r.pairs {
		if s.seen.Before(before) {
			delete(r.pairs, k)
		}
	}
}
