package systemtest

import (
	"testing"
	"time"
)

// TestOutageOfIdleSystem guards against callers that wait for a store that has been down for a while, because no commit
// was due that would have shown it, and against idempotent requests that find no slot because of such callers.
func TestOutageOfIdleSystem(t *testing.T) {
	t.Parallel()
	run(t, 12, 3, func(s *system) {
		time.Sleep(5 * time.Second)
		s.fault(`{"target":"table","outage":true}`)
		time.Sleep(2 * time.Second)
		for n := range 10 {
			s.duringOutage(n)
			time.Sleep(500 * time.Millisecond)
		}
		s.fault(`{"target":"table","outage":false}`)
		s.allServed("after", 5*time.Second, s.daemons...)
	})
}
