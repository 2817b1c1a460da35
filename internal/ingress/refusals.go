package ingress

import (
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

const (
	metricName = "client_limit_total"
	// quietTime is how long nothing has to be refused until a period of refusals is over.
	quietTime = 5 * time.Second
)

// refusals counts what was refused or closed and logs when that begins and ends.
type refusals struct {
	log      *zap.Logger
	counts   [reasonCount]atomic.Int64
	counters [reasonCount]tally.Counter

	// Only the sweep uses the rest.
	last   [reasonCount]int64 // at the last sweep
	begin  [reasonCount]int64 // at the sweep before the present period of refusals
	active bool
	quiet  time.Duration // since the last refusal
}

func newRefusals(scope tally.Scope, log *zap.Logger) *refusals {
	t := &refusals{log: log}
	for r := range reasonCount {
		if r != admitted {
			t.counters[r] = scope.Tagged(map[string]string{"reason": r.String()}).Counter(metricName)
		}
	}
	return t
}

func (t *refusals) count(r Reason) {
	t.counts[r].Add(1)
	t.counters[r].Inc(1)
}

// byReason returns the counts that have changed since earlier ones.
func (t *refusals) byReason(since *[reasonCount]int64) map[string]int64 {
	out := map[string]int64{}
	for r := range reasonCount {
		if n := t.counts[r].Load() - since[r]; n > 0 {
			out[r.String()] = n
		}
	}
	return out
}

// report logs the begin and the end of a period of refusals. It returns whether a body was refused since the last call for lack of room.
func (t *refusals) report(elapsed time.Duration) (pressure bool) {
	before := t.last
	changed := false
	for r := range reasonCount {
		t.last[r] = t.counts[r].Load()
		changed = changed || t.last[r] != before[r]
	}
	t.quiet += elapsed
	if changed {
		t.quiet = 0
	}
	switch {
	case changed && !t.active:
		t.active, t.begin = true, before
		t.log.Warn("limits for clients take effect", zap.Any("refused", t.byReason(&t.begin)))
	case t.active && t.quiet >= quietTime:
		t.active = false
		t.log.Info("limits for clients take effect no longer", zap.Any("refused", t.byReason(&t.begin)))
	}
	for _, r := range []Reason{noRoom, largeShareUsed, addressShareUsed, headersTooLong} {
		pressure = pressure || t.last[r] != before[r]
	}
	return pressure
}
