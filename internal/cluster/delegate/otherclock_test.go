package delegate

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
)

// startAnsweredBehind sends a start that the worker answers with a clock that is behind that of its reports, and returns the agent and the
// result.
func startAnsweredBehind(t *testing.T, behind time.Duration) (*restartFixture, StartResult) {
	t.Helper()
	cfg := testConfig
	cfg.MaxLease = 10 * time.Second
	f := &restartFixture{workers: &fakeWorkers{}}
	f.Agent = NewAgent(t.Context(), cfg, Deps{Client: f.workers, Clock: newTestClock().since, Log: zap.NewNop()}, testEpoch,
		func() bool { return true }, f.apply)
	as := assign("w1")
	as.Assign.FencingToken = FencingToken(testEpoch, 1)
	f.Apply([]Order{as})
	time.Sleep(2 * time.Second)
	f.workers.mu.Lock()
	f.workers.clockBehind = behind
	f.workers.mu.Unlock()
	f.Apply([]Order{startOn("w1", 0)})
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.started) != 1 {
		t.Fatalf("%d starts have a result, want 1", len(f.started))
	}
	return f, f.started[0]
}

// Guards against a run that outlives what the owner counts with: the next incarnation of a worker accepts a start that was meant for the
// earlier one, whose deadline lies far ahead on its clock.
func TestStartAnsweredByAnotherClockCountsTheLongestLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, result := startAnsweredBehind(t, time.Hour)
		defer f.Close()
		longest := f.deps.Clock() - time.Millisecond + f.cfg.StaleLeaseBound()
		if !result.OtherClock || result.LeaseUntil < longest {
			t.Errorf("other clock: %t, lease %v shorter than the longest", result.OtherClock, longest-result.LeaseUntil)
		}
		before := f.latestDeadline(FencingToken(testEpoch, 1))
		f.Apply([]Order{startOn("w1", 1)})
		time.Sleep(time.Millisecond)
		if _, starts, _ := f.workers.counts(); starts != 1 {
			t.Errorf("%d starts were sent before the next report, want 1", starts)
		}
		if after := f.latestDeadline(FencingToken(testEpoch, 1)); after != before {
			t.Errorf("the lease was extended by %d ms before the next report", after-before)
		}
	})
}

// Guards against a lease that a renewal sets on the clock of the next incarnation after that one has answered a start.
func TestUnansweredRenewalAfterAnswerOfAnotherClockCountsTheLongestLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, result := startAnsweredBehind(t, time.Hour)
		defer f.Close()
		r := f.renewer("w1")
		failedAt := f.deps.Clock() + 800*time.Millisecond
		if got, want := r.noteUnanswered(1, failedAt), failedAt+f.cfg.StaleLeaseBound(); got != want || got <= result.LeaseUntil {
			t.Errorf("the lease ends at %v, want %v", got, want)
		}
		if got := r.noteUnanswered(0, failedAt+time.Hour); got != 0 {
			t.Errorf("a call without a deadline extends the lease to %v", got)
		}
		time.Sleep(renewPollTimeout + renewTimeout)
		if got := r.noteUnanswered(1, failedAt+time.Hour); got != 0 {
			t.Errorf("after a report, a call without an answer extends the lease to %v", got)
		}
	})
}

// Guards against the longest lease on workers that have not restarted: their clocks may be 2 % slow.
func TestSlowClockIsNoOtherClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, result := startAnsweredBehind(t, maxClockAge/50)
		defer f.Close()
		if result.OtherClock {
			t.Error("a clock that is 2 % slow is taken for that of another incarnation")
		}
	})
}
