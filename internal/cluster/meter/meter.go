// Package meter provides counters and latency histograms for the daemon's calls.
package meter

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// latencyBuckets range from the latency of a call under normal conditions (1 to 20 ms) to beyond the time that callers wait
// (3 s).
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)

// Calls counts calls of one kind by outcome and records their latency. A nil *Calls records nothing.
type Calls struct {
	scope   tally.Scope
	latency tally.Histogram

	mu       sync.Mutex
	counters map[string]tally.Counter // by outcome
}

// NewCalls returns the meter of a kind of calls. Its metrics are the counter NAME_total, tagged by outcome, and the histogram
// NAME_latency.
func NewCalls(scope tally.Scope, name string) *Calls {
	return &Calls{scope: scope.SubScope(name), latency: scope.SubScope(name).Histogram("latency", latencyBuckets), counters: map[string]tally.Counter{}}
}

// Record records a call that began at the given time and has just ended. Each outcome is a metric tag, so there must be few
// different ones.
func (c *Calls) Record(outcome string, began time.Time) {
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
