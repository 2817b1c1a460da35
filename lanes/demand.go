package lanes

import (
	"math"
	"slices"
	"time"
)

const (
	// peakWindow is how long a peak of urgent and normal items is remembered, at least; at most it is twice as long.
	peakWindow = time.Minute

	// loadWindow is the time whose median is the ordinary load, in seconds. A crest that lasts less than half of it does
	// not count as ordinary.
	loadWindow = 60

	// swingHeadroom is how many standard deviations above its average a crest may need.
	swingHeadroom = 2.0
)

// demand follows the number of urgent and normal items that wait or run.
type demand struct {
	// Highest count in the last one to two windows.
	started    time.Time
	peak, last int

	// Averages of the last full seconds, over the counts that arriving items found.
	second   time.Time
	sum, n   int
	averages []float64
	next     int     // the oldest one, once there are loadWindow
	ordinary float64 // their median
}

// note records the count that an arriving item found.
func (d *demand) note(now time.Time, count int) {
	d.advance(now)
	d.peak = max(d.peak, count+1)
	d.sum += count
	d.n++
}

// advance forgets what is too old. It is called when bulk items are served, too, since without urgent and normal items
// nothing else would.
func (d *demand) advance(now time.Time) {
	if age := now.Sub(d.started); age >= peakWindow {
		d.last, d.peak, d.started = d.peak, 0, now
		if age >= 2*peakWindow {
			d.last = 0
		}
	}
	if d.second.IsZero() {
		d.second = now
	}
	passed := int(now.Sub(d.second) / time.Second)
	if passed == 0 {
		return
	}
	d.second = d.second.Add(time.Duration(passed) * time.Second)
	d.add(float64(d.sum) / float64(max(1, d.n)))
	for range min(passed-1, loadWindow) {
		d.add(0)
	}
	d.sum, d.n = 0, 0
	sorted := slices.Sorted(slices.Values(d.averages))
	d.ordinary = sorted[(len(sorted)-1)/2]
}

func (d *demand) add(average float64) {
	if len(d.averages) < loadWindow {
		d.averages = append(d.averages, average)
		return
	}
	d.averages[d.next] = average
	d.next = (d.next + 1) % loadWindow
}

// reserve returns how many of the slots urgent and normal items may need soon: as many as at their recent peak, and as
// many as a crest of factor times the ordinary load needs so that hardly an item waits, but no less than what long items
// must leave free at any time. The number of items in a crest varies by about its square root.
func (d *demand) reserve(slots int, factor float64) int {
	crest := factor * d.ordinary
	foreseen := int(math.Ceil(crest + swingHeadroom*math.Sqrt(crest)))
	return max(d.peak, d.last, foreseen, slots*(100-longPercent)/100)
}
