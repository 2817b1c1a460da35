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
	pressureInterval = 50 * time.Millisecond
	// newestUseWeight is the weight of the newest measurement of the processor use in the exponential moving average.
	newestUseWeight = 0.3
	// lowUse and highUse are the shares of the host's processors at which the pressure is 0 and 1. Above highUse, waiting times grow
	// steeply.
	lowUse  = 0.6
	highUse = 0.9
	// maxTimerLag is by how much a timer may fire late before the pressure is 1, whatever the processor use.
	maxTimerLag = 60 * time.Millisecond
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
	level      atomic.Uint64
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
	average := 0.0
	at, used := time.Now(), p.used()
	for wait.For(ctx, pressureInterval) {
		now, usedNow := time.Now(), p.used()
		elapsed := now.Sub(at)
		average += newestUseWeight * (share(usedNow-used, elapsed, p.processors) - average)
		p.setLevel(pressureLevel(average, elapsed-pressureInterval))
		at, used = now, usedNow
	}
}

// share returns the share of the processors that was used.
func share(used, elapsed time.Duration, processors float64) float64 {
	if elapsed <= 0 || processors <= 0 {
		return 0
	}
	return used.Seconds() / elapsed.Seconds() / processors
}

// pressureLevel returns the pressure for the share of the processors that is used and the time by which a timer fired late.
func pressureLevel(use float64, lag time.Duration) float64 {
	if lag > maxTimerLag {
		return 1
	}
	return min(max((use-lowUse)/(highUse-lowUse), 0), 1)
}
