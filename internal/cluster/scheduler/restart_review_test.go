package scheduler

import (
	"testing"
	"time"
)

// Guards against a task that crashes one worker after the other, whose crashes are not counted because the workers restart with the same start
// time.
func TestCrashCountsAlthoughTheWorkerNamesTheSameStartTime(t *testing.T) {
	for name, next := range map[string]int64{"another start time": 2, "same start time": 1} {
		f, now := newStaleLeaseFixture()
		f.DelistWorker("w1")
		f.AddJob(now, f.job("j", now, simpleStep(1)), nil, false)
		starts := f.plan(now).Starts
		if len(starts) != 1 {
			t.Fatal("nothing was started")
		}
		f.MarkUnreachable(now.Add(50*time.Millisecond), "w0", now.Add(5*time.Second))
		back := now.Add(time.Second)
		f.HandleReport(back, Report{Worker: "w0", Incarnation: next, SentAt: back, LeaseUntil: back.Add(5 * time.Second), ClockMS: 1000,
			ClockJumped: next == 1, Unfenced: true})
		if e := f.task(starts[0].Task).evidence; !e.Counted() {
			t.Errorf("with %s, the crash just after the start of a run that is gone is not counted against its task", name)
		}
	}
}

// Guards against a restart that goes unnoticed by the next delegate or owner because the earlier process was young: a stale deadline means a
// time that is some seconds later on the next clock, and the ends are numbered anew.
func TestYoungWorkerRestartsWithTheSameStartTime(t *testing.T) {
	first := clockZeroAt(1000, at(time.Second)) // started at t0
	second := clockZeroAt(200, at(4*time.Second))
	if first.continues(second) {
		t.Error("a clock that showed 1 s, and 3 s later 0.2 s, is taken for one that continues")
	}
}
