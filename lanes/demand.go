package lanes

import (
	"math"
	"slices"
	"time"
)

const (
	// peakWindow is how long a peak of urgent and normal items is remembered, at least; at most it is twice as long.
	peakWindow = time.Minute

	// baselineWindow is the time whose median is the ordinary load, in seconds. A crest that lasts less than half of it does
	// not count as ordinary.
	baselineWindow = 60

	// spikeHeadroomSigmas is how many standard deviations above its average a crest may need.
	spikeHeadroomSigmas = 2.0
)

// demand follows the number of urgent and normal items that wait or run.
type demand struct {
	// Highest count in the last one to two windows.
	windowStart        time.Time
	peak, previousPeak int

	// Averages of the last full seconds, over the counts that arriving items found.
	secondStart  time.Time
	sum, samples int
	averages     []float64
	oldest       int     // the oldest one, once there are loadWindow
	baseline     float64 // their median
}

// record records the count that an arriving item found.
func (d *demand) record(now time.Time, count int) {
	d.advance(now)
	d.peak = max(d.peak, count+1)
	d.sum += count
	d.samples++
}

// advance forgets what is too old. It is called when bulk items are served, too, since without urgent and normal items
// nothing else would.
func (d *demand) advance(now time.Time) {
	if age := now.Sub(d.windowStart); age >= peakWindow {
		d.previousPeak, d.peak, d.windowStart = d.peak, 0, now
		if age >= 2*peakWindow {
			d.previousPeak = 0
		}
	}
	if d.secondStart.IsZero() {
		d.secondStart = now
	}
	passed := int(now.Sub(d.secondStart) / time.Second)
	if passed == 0 {
		return
	}
	d.secondStart = d.secondStart.Add(time.Duration(passed) * time.Second)
	d.addAverage(float64(d.sum) / float64(max(1, d.samples)))
	for range min(passed-1, baselineWindow) {
		d.addAverage(0)
	}
	d.sum, d.samples = 0, 0
	sorted := slices.Sorted(slices.Values(d.averages))
	d.baseline = sorted[(len(sorted)-1)/2]
}

func (d *demand) addAverage(average float64) {
	if len(d.averages) < baselineWindow {
		d.averages = append(d.averages, average)
		return
	}
	d.averages[d.oldest] = average
	d.oldest = (d.oldest + 1) % baselineWindow
}

// slotsToReserve returns how many of the slots urgent and normal items may need soon: as many as at their recent peak, and as
// many as a crest of factor times the ordinary load needs so that hardly an item waits, but no less than what long items
// must leave free at any time. The number of items in a crest varies by about its square root.
func (d *demand) slotsToReserve(slots int, factor float64) int {
	spike := factor * d.baseline
	forecast := int(math.Ceil(spike + spikeHeadroomSigmas*math.Sqrt(spike)))
	return max(d.peak, d.previousPeak, forecast, slots*(100-longBulkPercent)/100)
}
