package systemtest

import (
	"testing"
	"time"
)

// TestOutageOfIdleSystem guards against callers that wait for a store that has been down for a while, because no commit
// was due that would have shown it, and against idempotent requests that find no slot because of such callers.
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
