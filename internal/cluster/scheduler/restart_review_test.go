package scheduler

import (
	"testing"
	"time"
)

// Guards against a restart that goes unnoticed by the next delegate or owner because the earlier process was young: a stale deadline means a
// time that is some seconds later on the next clock, and the ends are numbered anew.
func TestYoungWorkerRestartsWithTheSameStartTime(t *testing.T) {
	first := clockZeroAt(1000, at(time.Second)) // started at t0
	second := clockZeroAt(200, at(4*time.Second))
	if first.continues(second) {
		t.Error("a clock that showed 1 s, and 3 s later 0.2 s, is taken for one that continues")
	}
}
