package systemtest

import (
	"net/http"
	"testing"
	"time"
)

// TestListsAfterRestart guards against a restarted daemon that becomes ready with an old version of a list because its
// reads from the store are stale.
func TestListsAfterRestart(t *testing.T) {
	t.Parallel()
	runScenario(t, 8, 3, func(s *system) {
		stop := make(chan struct{})
		watched := s.checkVersionsNeverFall(stop)
		s.setFaults(`{"target":"table","stale_reads":true}`)
		res := s.daemons[0].edit(1, "lower", 1)
		if res.status != http.StatusOK {
			t.Fatalf("edit: %d", res.status)
		}
		s.history.withLock(func() { s.history.edits = nil }) // the edit that loaded the list was not recorded, so the model would reject this one
		s.awaitVersionInForce(res.version, time.Now(), s.daemons...)
		s.daemons[2].crash()
		time.Sleep(time.Second)
		s.daemons[2].start()
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			status, _, _ := s.daemons[2].call(http.MethodGet, s.daemons[2].callerAddr, "/readyz", nil)
			if v, ok := s.daemons[2].allowancesVersion(); status == http.StatusOK && (!ok || v < res.version) {
				t.Errorf("the restarted daemon is ready with version %d, but version %d was accepted", v, res.version)
				break
			}
		}
		s.setFaults(`{"target":"table","stale_reads":false}`)
		time.Sleep(5 * time.Second)
		s.awaitVersionInForce(res.version, time.Now(), s.daemons...)
		close(stop)
		<-watched
	})
}
