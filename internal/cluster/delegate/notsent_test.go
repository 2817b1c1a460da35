package delegate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
)

// Guards against a task that waits for the lease of a silent worker although no part of its start was sent there.
func TestStartThatWasNotSentIsNotUnknown(t *testing.T) {
	for _, notSent := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := newRestartFixture(t)
			defer f.Close()
			f.raiseToken()
			time.Sleep(2 * time.Second)
			f.workers.setSilent(true)
			f.workers.mu.Lock()
			f.workers.notSent = notSent
			f.workers.mu.Unlock()
			order := startOn("w1", 0)
			order.Start.Incarnation = 2
			f.Apply([]Order{order})
			time.Sleep(2 * time.Second)
			f.mu.Lock()
			defer f.mu.Unlock()
			want := scheduler.StartUnknown
			if notSent {
				want = scheduler.RejectedUnhealthy
			}
			if _, starts, _ := f.workers.counts(); starts == 0 || len(f.started) != 1 || f.started[0].Outcome != want {
				t.Errorf("after %d attempts the results are %+v, want the outcome %s", starts, f.started, want)
			}
		})
	}
}
