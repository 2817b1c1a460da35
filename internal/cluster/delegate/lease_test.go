package delegate

import (
	"math"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
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

// Guards against a lease that outlives the owner's computation: the owner learns that a worker was silent, then is paused, and
// does not learn that the worker answers again. It gives up the runs after the lease that the delegate has reported last.
func TestLeaseAfterSilenceWaitsForOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startDelegate(t.Context())
		defer a.stop()
		a.owner.addOrders(assign("w1"))
		time.Sleep(time.Second)
		a.workers.setSilent(true)
		for missed := false; !missed; time.Sleep(time.Millisecond) {
			for _, e := range a.owner.events() {
				missed = missed || e.MissedRenewal != nil
			}
		}
		reported := a.workers.deadline()
		a.owner.update(func() { a.owner.unreachable = true })
		a.workers.setSilent(false)
		answered, _, _ := a.workers.counts()
		time.Sleep(1500 * time.Millisecond)
		if renews, _, _ := a.workers.counts(); renews < answered+2 {
			t.Errorf("%d renewals after the silence; the worker's state has to be read meanwhile", renews-answered)
		}
		if now := a.workers.deadline(); now != reported {
			t.Errorf("the lease was extended by %d ms before the owner knew that the worker answers", now-reported)
		}
		a.owner.update(func() { a.owner.unreachable = false })
		time.Sleep(time.Second)
		if a.workers.deadline() == reported {
			t.Error("the lease is not extended after the owner has learned that the worker answers")
		}
	})
}

// Guards against an owner that gives up a run too soon because the deadline of a start is reported only with the start's
// outcome, after the report that the worker does not answer.
func TestMissedRenewalReportsLeaseOfStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAgentFixture(t.Context())
		defer f.Close()
		time.Sleep(2*renewPollTimeout - 200*time.Millisecond) // the third renewal is about to begin
		f.workers.setSilent(true)
		time.Sleep(700 * time.Millisecond)
		startedAt := f.clock.since()
		f.Apply([]Order{startOn("w1", 0)})
		time.Sleep(400 * time.Millisecond)
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, e := range f.events {
			if m := e.MissedRenewal; m != nil {
				if want := startedAt + testConfig.LeaseBound(); m.LeaseUntil < want {
					t.Errorf("the reported end of the lease is %v too early", want-m.LeaseUntil)
				}
				return
			}
		}
		t.Error("no missed renewal was reported")
	})
}

// Guards against a deadline that is too late by the drift of the worker's clock, after the process was suspended or kept
// excusing missed answers: the margin of LeaseBound covers the drift of a few seconds only.
func TestOldClockReadingDoesNotExtendLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAgentFixture(t.Context())
		defer f.Close()
		time.Sleep(time.Second)
		f.workers.setSilent(true)
		time.Sleep(renewPollTimeout)
		before := f.workers.deadline()
		f.clock.suspend(time.Minute)
		time.Sleep(renewTimeout)
		f.Apply([]Order{startOn("w1", 0)})
		time.Sleep(time.Second)
		if after := f.workers.deadline(); after != before {
			t.Errorf("the lease was extended by %d ms with a reading of the clock from before the suspension", after-before)
		}
		if _, starts, _ := f.workers.counts(); starts != 0 {
			t.Errorf("%d starts were sent with a reading of the clock from before the suspension", starts)
		}
	})
}

// Guards against a silent worker that is never reported because this process is often short of processor time, so that each
// missed answer is excused.
func TestExcusesAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAgentFixture(t.Context())
		defer f.Close()
		time.Sleep(time.Second)
		f.workers.setSilent(true)
		for range 100 {
			f.clock.suspend(2 * maxTimerDelay)
			time.Sleep(100 * time.Millisecond)
		}
		if counted, excused := f.missedRenewals(); counted == 0 || excused == 0 {
			t.Errorf("%d missed renewals count and %d are excused; want both", counted, excused)
		}
	})
}

// Guards against the clock of a worker's earlier process: an answer of that process that is read after the restart became
// known would put the deadlines of the new process, whose clock begins anew, far into the future.
func TestAnswerOfEarlierIncarnationIsIgnored(t *testing.T) {
	r := &leaseRenewer{a: &Agent{cfg: testConfig, deps: Deps{Clock: newTestClock().since}}, ready: make(chan struct{}), info: testWorker("w1")}
	restarted := testWorker("w1")
	restarted.Incarnation = 2
	r.updateAssignment(Assignment{Worker: restarted, Generation: 1})
	r.recordAnswer(RenewalAnswer{ClockMS: 600_000, Incarnation: 1})
	if deadline, _ := r.leaseDeadline(r.a.deps.Clock()); deadline != 0 {
		t.Errorf("the deadline is %d on the clock of the earlier process", deadline)
	}
}

// Guards against a lease that is extended after the permit has run out, because the process was paused between the check of the
// permit and the computing of the deadline.
func TestPauseAfterPermitCheckDoesNotExtendLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &agentFixture{workers: &fakeWorkers{}, clock: newTestClock()}
		permitEnd := f.clock.since() + 2*time.Second
		var pauseAfterCheck atomic.Bool
		a := NewAgent(t.Context(), testConfig, Deps{Client: f.workers, Clock: f.clock.since, Log: zap.NewNop()}, testEpoch, func() bool {
			valid := f.clock.since() < permitEnd
			if pauseAfterCheck.Swap(false) {
				f.clock.suspend(3 * time.Second)
			}
			return valid
		}, func(Event) {})
		defer a.Close()
		a.Apply([]Order{assign("w1")})
		time.Sleep(renewPollTimeout / 2)
		before := f.workers.deadline()
		pauseAfterCheck.Store(true)
		time.Sleep(renewPollTimeout)
		if after := f.workers.deadline(); after != before {
			t.Errorf("the lease was extended by %d ms after the permit had run out", after-before)
		}
	})
}

// Guards against a lease that outlives what a new owner waits for: it has the runs of an earlier owner expire at a time that it
// computes from its claim, or at a reassignment, and does not learn in time that the delegate has extended them.
func TestFirstExtensionWaitsForOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startDelegate(t.Context())
		defer a.stop()
		a.owner.addOrders(assign("w1"))
		for renews := 0; renews == 0; time.Sleep(100 * time.Microsecond) {
			renews, _, _ = a.workers.counts()
		}
		a.owner.update(func() { a.owner.unreachable = true })
		time.Sleep(1500 * time.Millisecond)
		if d := a.workers.deadline(); d != 0 {
			t.Error("the lease was extended before the owner had applied a report of the worker")
		}
		a.owner.update(func() { a.owner.unreachable = false })
		time.Sleep(time.Second)
		if a.workers.deadline() == 0 {
			t.Error("the lease is not extended after the owner has applied a report")
		}
	})
}

// Guards against giving up all runs of a worker because of one answer without content, which would list no runs.
func TestAnswerWithoutContentIsNoReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAgentFixture(t.Context())
		defer f.Close()
		time.Sleep(time.Second)
		f.workers.mu.Lock()
		f.workers.malformed = true
		f.workers.mu.Unlock()
		time.Sleep(2 * renewPollTimeout)
		f.mu.Lock()
		seen := len(f.events)
		f.mu.Unlock()
		time.Sleep(time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		if len(f.events) == seen {
			t.Error("the answers are not reported as missing")
		}
		for _, e := range f.events[seen:] {
			if e.Report != nil {
				t.Fatal("an answer without content was reported as one that lists no runs")
			}
		}
	})
}

// Guards against a delegate that crashes on an odd batch of orders.
func TestOddOrderBatchesAreTolerated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAgentFixture(t.Context())
		defer f.Close()
		unset := []Order{{}, {Release: "unknown"}, {Ack: &Ack{WorkerID: "unknown"}}, {Stop: &StopOrder{WorkerID: "unknown"}}}
		for _, last := range []int64{math.MinInt64, -1, 0, 1, math.MaxInt64} {
			for _, lastOrder := range []int64{0, 5, math.MaxInt64} {
				s := &session{manager: &SessionManager{}, agent: f.Agent, lastOrder: lastOrder}
				s.apply(OrderBatch{Last: last, Orders: unset, RenewPollTimeout: -1})
				s.apply(OrderBatch{Last: last})
			}
		}
	})
}

// Guards against a run that outlives the owner's bound after its worker has restarted: a deadline on the clock of the earlier process,
// which the new process shortens only to the longest lease that it grants, may have reached it.
func TestReportOfRestartedWorkerTellsTheLongestLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testConfig
		cfg.MaxLease = 10 * time.Second
		workers, clock := &fakeWorkers{}, newTestClock()
		var reports []Report
		a := NewAgent(t.Context(), cfg, Deps{Client: workers, Clock: clock.since, Log: zap.NewNop()}, testEpoch, func() bool { return true },
			func(e Event) {
				if e.Report != nil {
					reports = append(reports, *e.Report)
				}
			})
		a.Apply([]Order{assign("w1")})
		time.Sleep(2 * time.Second)
		workers.restart()
		time.Sleep(2 * time.Second)
		a.Close()
		i := slices.IndexFunc(reports, func(r Report) bool { return r.Incarnation == 2 })
		if i < 1 {
			t.Fatalf("no report of the new process among %d", len(reports))
		}
		if granted := reports[i].LeaseUntil - reports[i].SentAt; granted < cfg.MaxLease {
			t.Errorf("the first report of the new process tells a lease of %s; it may last %s", granted, cfg.MaxLease)
		}
		if granted := reports[i-1].LeaseUntil - reports[i-1].SentAt; granted != cfg.LeaseBound() {
			t.Errorf("the last report of the earlier process tells a lease of %s; want %s", granted, cfg.LeaseBound())
		}
	})
}

// Guards against a lease that is extended after a second silence because the owner has applied a report from before it: the owner has
// been told of the second silence since, and computes the end of the lease from it.
func TestReportFromBeforeSilenceConfirmsNothing(t *testing.T) {
	r := &leaseRenewer{a: &Agent{cfg: testConfig, deps: Deps{Clock: newTestClock().since}}, ready: make(chan struct{}), info: testWorker("w1"), unresponsive: true}
	applied := r.recordAnswer(RenewalAnswer{ClockMS: 1000, Incarnation: 1})
	r.recordFailure(false)
	appliedLater := r.recordAnswer(RenewalAnswer{ClockMS: 2000, Incarnation: 1})
	applied()
	if deadline, _ := r.leaseDeadline(r.a.deps.Clock()); deadline != 0 {
		t.Error("the lease is extended before the owner has applied a report from after the silence")
	}
	appliedLater()
	if deadline, _ := r.leaseDeadline(r.a.deps.Clock()); deadline == 0 {
		t.Error("the lease is not extended after the owner has applied a report from after the silence")
	}
}
