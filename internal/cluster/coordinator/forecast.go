package coordinator

import (
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/forecast"
)

// forecastInterval is the minimum time between two digests. Each visits all open units and all workers.
const forecastInterval = 200 * time.Millisecond

// timedDigest is a digest, which may be nil, and when it was computed.
type timedDigest struct {
	digest *forecast.Digest
	at     time.Duration // on the clock that counts suspensions
}

// updateForecast computes a new digest, if that is enabled and the last one is old. The caller holds mu and has just made a complete plan.
func (t *term) updateForecast(now time.Time) {
	if !t.cfg.Forecast || t.deps.Clock()-t.forecast.at < forecastInterval {
		return
	}
	t.forecast = timedDigest{t.sched.Forecast(now), t.deps.Clock()}
}

// Forecast returns the owner's newest digest with its age, or nil if no queue is overloaded or the forecast is off. Errors: ErrNotOwner.
func (c *Coordinator) Forecast() (*forecast.Digest, error) {
	t := c.current()
	if t == nil || !t.ownership.LeaseValid() {
		return nil, ErrNotOwner
	}
	if !t.cfg.Forecast {
		return nil, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.forecast.digest == nil {
		return nil, nil
	}
	d := *t.forecast.digest
	d.AgeMS = (t.deps.Clock() - t.forecast.at).Milliseconds()
	return &d, nil
}
