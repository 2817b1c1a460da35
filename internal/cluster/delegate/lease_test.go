package delegate

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against lease extensions by the retries of a start after the worker was released: the owner bounds the lease at the
// moment of the release, and another executor renews it from then on.
func TestStartIsNotRetriedAfterRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAgentFixture(t.Context())
		defer f.Close()
		f.workers.setSilent(true)
		f.Apply([]Order{startOn("w1", 0)})
		time.Sleep(50 * time.Millisecond)
		_, before, _ := f.workers.counts()
		f.Apply([]Order{{Release: "w1"}})
		time.Sleep(2 * time.Second)
		if _, after, _ := f.workers.counts(); before != 1 || after != before {
			t.Errorf("%d attempts before the release, %d afterwards; want 1 and 0", before, after-before)
		}
	})
}
