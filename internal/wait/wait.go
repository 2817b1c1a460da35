// Package wait provides sleeps and periodic loops that end with a context, signals that wake them early, and backoff with
// jitter.
package wait

import (
	"context"
	"time"
)

// minTimerDuration is the shortest duration of a timer. It keeps a loop that is behind its schedule from spinning.
const minTimerDuration = time.Millisecond

// NewTimer returns a timer that has not expired yet, for code that selects on more than a context. With Go 1.26.8 and the
// race detector, a synctest bubble that selects on an expired timer crashes the runtime.
func NewTimer(d time.Duration) *time.Timer { return time.NewTimer(max(d, minTimerDuration)) }

// For waits for d and returns true, or returns false as soon as ctx ends. It does not wait if d is not positive.
func For(ctx context.Context, d time.Duration) bool { return ForOrSignal(ctx, d, nil) }

// ForOrSignal does the same as For, but returns true early when it receives from signal or signal is closed.
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

// Signal sends a value to ch, a channel of capacity 1, without blocking. It does nothing if ch already holds a value.
func Signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// Backoff returns the exponential backoff after n failed attempts: first doubled n times, but at most limit.
func Backoff(first, limit time.Duration, n int) time.Duration {
	d := first
	for ; n > 0 && d < limit; n-- {
		d *= 2
	}
	return min(d, limit)
}

// Jitter returns a duration between d/2 and d. fraction, which is in [0,1), determines where between them.
func Jitter(d time.Duration, fraction float64) time.Duration {
	return d/2 + time.Duration(fraction*float64(d/2))
}

// Every calls fn at once and then once per interval until ctx ends. The interval is measured from the start of one call to
// the start of the next. A call that takes longer than the interval delays the next one.
//
// It sets a new timer for each call instead of using a ticker: with Go 1.26.8, a ticker in a synctest bubble crashed the
// runtime under the race detector.
func Every(ctx context.Context, interval time.Duration, fn func(context.Context)) {
	EveryOrSignal(ctx, interval, nil, fn)
}

// EveryOrSignal does the same as Every, and calls fn once more for each value that it receives from signal. These extra
// calls do not delay the periodic ones.
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
