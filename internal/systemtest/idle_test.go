package systemtest

import (
	"testing"
	"time"
)

// TestOutageOfIdleSystem guards against a store outage that is not detected because an idle system has nothing to
// commit: callers would then wait for the store, and idempotent requests would find no free slot because of the waiting
// callers.
func TestOutageOfIdleSystem(t *testing.T) {
	t.Parallel()
	runScenario(t, 12, 3, func(s *system) {
		time.Sleep(5 * time.Second)
		s.setFaults(`{"target":"table","outage":true}`)
		time.Sleep(2 * time.Second)
		for n := range 10 {
			s.checkCallsDuringOutage(n)
			time.Sleep(500 * time.Millisecond)
		}
		s.setFaults(`{"target":"table","outage":false}`)
		s.awaitAllServed("after", 5*time.Second, s.daemons...)
	})
}
