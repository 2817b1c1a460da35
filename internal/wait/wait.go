// Package wait has waits that end with a context, the signals that end them early, and the delays between attempts.
package wait

import (
	"context"
	"time"
)

// minTimerDuration is the shortest timer that is set: a loop that is late must not spin.
const minTimerDuration = time.Millisecond

// NewTimer returns a timer that is not due yet, for a wait that selects on more than a context. With Go 1.26.8 and the race
// detector, a synctest bubble that selects on a timer that is already due crashes the runtime.
func NewTimer(d time.Duration) *time.Timer { return time.NewTimer(max(d, minTimerDuration)) }

// For waits for d and returns true, or returns false as soon as ctx ends. It does not wait if d is not positive.
func For(ctx context.Context, d time.Duration) bool { return ForOrSignal(ctx, d, nil) }

// ForOrSignal is For, but returns true earlier when signal is received from or closed.
func ForOrSignal(ctx context.Context, d time.Duration, signal <-chan struct{}) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-signal:
		return true
	case <-ctx.Done():
		return false
	}
}

// Signal puts a value into a channel of capacity 1 unless it holds one already.
func Signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// Backoff returns first doubled n times, at most limit.
func Backoff(first, limit time.Duration, n int) time.Duration {
	d := first
	for ; n > 0 && d < limit; n-- {
		d *= 2
	}
	return min(d, limit)
}

// Jitter returns a time between half of d and d; r in [0,1) chooses it.
func Jitter(d time.Duration, fraction float64) time.Duration {
	return d/2 + time.Duration(fraction*float64(d/2))
}

// Every calls fn now and then once per interval, measured from start to start, until ctx ends. A call that takes longer
// than the interval delays the next one.
//
// It sets a new timer for each round instead of using a ticker: with Go 1.26.8 a ticker in a synctest bubble crashed the
// runtime under the race detector.
func Every(ctx context.Context, interval time.Duration, fn func(context.Context)) {
	EveryOrSignal(ctx, interval, nil, fn)
}

// EveryOrSignal is Every with one more call of fn for each value received from signal. These do not put off the calls
// of the interval.
func EveryOrSignal(ctx context.Context, interval time.Duration, signal <-chan struct{}, fn func(context.Context)) {
	var next time.Time
	for ctx.Err() == nil {
		if now := time.Now(); !now.Before(next) {
			next = now.Add(interval)
		}
		fn(ctx)
		if !ForOrSignal(ctx, max(time.Until(next), minTimerDuration), signal) {
			return
		}
	}
}
