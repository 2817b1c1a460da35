package lanes

import (
	"math"
	"slices"
	"time"
)

const (
	// peakWindow is the minimum time for which a peak of urgent and normal items is remembered. The maximum is twice as
	// long.
	peakWindow = time.Minute

	// baselineWindow is the number of seconds whose median load is the baseline load. A spike that lasts less than half
	// of this time does not raise the baseline.
	baselineWindow = 60

	// spikeHeadroomSigmas is the number of standard deviations above the average of a spike for which slots are
	// reserved.
	spikeHeadroomSigmas = 2.0
)

// demand tracks the load of urgent and normal items: how many of them wait or run.
type demand struct {
	// Highest load in the current and in the previous window, which together cover one to two times peakWindow.
	windowStart        time.Time
	peak, previousPeak int

	// Average load of each of the last full seconds, taken over the counts that arriving items found.
	secondStart  time.Time
	sum, samples int
	averages     []float64
	oldest       int     // index of the oldest average, once there are baselineWindow of them
	baseline     float64 // median of averages
}

// record records the load that an arriving item found.
func (d *demand) record(now time.Time, count int) {
	d.advance(now)
	d.peak = max(d.peak, count+1)
	d.sum += count
	d.samples++
}

// advance moves the windows forward to the current time. It is also called when only bulk items are served: without
// urgent and normal items, no call of record would drop the old values.
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

// addAverage stores the average load of one second in place of the oldest one.
func (d *demand) addAverage(average float64) {
	if len(d.averages) < baselineWindow {
		d.averages = append(d.averages, average)
		return
	}
	d.averages[d.oldest] = average
	d.oldest = (d.oldest + 1) % baselineWindow
}

// slotsToReserve returns how many of the slots urgent and normal items may need soon. This is the maximum of the recent
// peak, of the slots with which hardly any item waits in a spike of factor times the baseline load, and of the slots
// that long-running bulk items must always leave free. The number of items in a spike has a standard deviation of about
// its square root.
func (d *demand) slotsToReserve(slots int, factor float64) int {
	spike := factor * d.baseline
	forecast := int(math.Ceil(spike + spikeHeadroomSigmas*math.Sqrt(spike)))
	return max(d.peak, d.previousPeak, forecast, slots*(100-longBulkPercent)/100)
}
