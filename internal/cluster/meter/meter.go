// Package meter has the counters and latency histograms of the daemon's duties.
package meter

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// latencyBuckets cover a call on a calm day (1 to 20 ms) up to what callers wait (3 s).
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)

// Calls counts calls of one kind by outcome and measures their latency. The zero value of a pointer counts nothing.
type Calls struct {
	scope   tally.Scope
	latency tally.Histogram

	mu       sync.Mutex
	counters map[string]tally.Counter
}

// NewCalls returns the meter of a kind of call. Its metrics are NAME_total, by outcome, and NAME_latency.
func NewCalls(scope tally.Scope, name string) *Calls {
	return &Calls{scope: scope.SubScope(name), latency: scope.SubScope(name).Histogram("latency", latencyBuckets), counters: map[string]tally.Counter{}}
}

// Done counts a call that began at a time and has ended now. Outcomes have to be few.
func (c *Calls) Done(outcome string, began time.Time) {
	if c == nil {
		return
	}
	c.latency.RecordDuration(time.Since(began))
	c.counter(outcome).Inc(1)
}

func (c *Calls) counter(outcome string) tally.Counter {
	c.mu.Lock()
	defer c.mu.Unlock()
	counter, ok := c.counters[outcome]
	if !ok {
		counter = c.scope.Tagged(map[string]string{"outcome": outcome}).Counter("total")
		c.counters[outcome] = counter
	}
	return counter
}
