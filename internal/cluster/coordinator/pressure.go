package coordinator

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/clock"
	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	// pressureInterval is how often the pressure is measured.
	pressureInterval = 20 * time.Millisecond
	// newestWeight is the weight of the newest measurement in the exponential moving averages of the processor use and the lag.
	newestWeight = 0.1
	// lowUse and highUse are the shares of the host's processors at which the pressure is 0 and 1. Above highUse, waiting times grow
	// steeply. The process can't use all of it: some goes into work that the system does not account to the process.
	lowUse  = 0.6
	highUse = 0.85
	// lowLag and highLag are the average delays of a timer at which the pressure is 0 and 1, whatever the processor use. A timer that
	// fires late has waited for the processor like every other event, and the owner's answer to a call takes several such waits.
	lowLag  = 3 * time.Millisecond
	highLag = 12 * time.Millisecond
	// sheddingPressure is the pressure from which callers that have another way are turned away.
	sheddingPressure = 0.7
	// maxCallIntervalFactor is how many times longer than usual the interval between two calls of a delegate is under full pressure.
	maxCallIntervalFactor = 4
)

// pressure is how close the owner's host is to the limit of its processors: 0 while enough is left, 1 when the owner is about to fall
// behind. Under pressure the owner trades latency for fewer and larger calls, and turns away callers that have another way, so that
// it keeps up with what only it can do.
type pressure struct {
	processors float64 // processor time that this host may use, in cores; 0 if unknown
	used       clock.ProcessorFunc
	level      atomic.Uint64 // bits of a float64
	maxLag     atomic.Int64  // longest time by which a timer fired late since the last takeMaxLag
}

// Level returns the pressure, from 0 to 1.
func (p *pressure) Level() float64 { return math.Float64frombits(p.level.Load()) }

func (p *pressure) setLevel(level float64) { p.level.Store(math.Float64bits(level)) }

// shedding reports whether callers that have another way should use it.
func (p *pressure) shedding() bool { return p.Level() >= sheddingPressure }

// callInterval returns the interval between two calls of a delegate, given the usual one.
func (p *pressure) callInterval(usual time.Duration) time.Duration {
	return time.Duration(float64(usual) * (1 + (maxCallIntervalFactor-1)*p.Level()))
}

// watch measures the pressure until ctx ends.
func (p *pressure) watch(ctx context.Context) {
	var use, lag float64 // averages; lag in seconds
	at, used := time.Now(), p.used()
	for wait.For(ctx, pressureInterval) {
		now, usedNow := time.Now(), p.used()
		elapsed := now.Sub(at)
		late := elapsed - pressureInterval
		p.maxLag.Store(max(p.maxLag.Load(), int64(late)))
		use += newestWeight * (share(usedNow-used, elapsed, p.processors) - use)
		lag += newestWeight * (late.Seconds() - lag)
		p.setLevel(pressureLevel(use, lag))
		at, used = now, usedNow
	}
}

// takeMaxLag returns the longest time by which a timer fired late since the last call.
func (p *pressure) takeMaxLag() time.Duration { return time.Duration(p.maxLag.Swap(0)) }

// share returns the share of the processors that was used.
func share(used, elapsed time.Duration, processors float64) float64 {
	if elapsed <= 0 || processors <= 0 {
		return 0
	}
	return used.Seconds() / elapsed.Seconds() / processors
}

// pressureLevel returns the pressure for the share of the processors that is used and the seconds by which timers fire late.
func pressureLevel(use, lag float64) float64 {
	byUse := (use - lowUse) / (highUse - lowUse)
	byLag := (lag - lowLag.Seconds()) / (highLag - lowLag).Seconds()
	return min(max(byUse, byLag, 0), 1)
}
