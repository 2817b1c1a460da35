package delegate

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
)

// restartFixture is an agent with one worker whose owner assigns fencing tokens. It collects the worker's reports.
type restartFixture struct {
	*Agent
	workers *fakeWorkers
	mu      sync.Mutex
	reports []Report
	started []StartResult
}

func newRestartFixture(t *testing.T) *restartFixture {
	cfg := testConfig
	cfg.MaxLease = 10 * time.Second
	f := &restartFixture{workers: &fakeWorkers{}}
	f.Agent = NewAgent(t.Context(), cfg, Deps{Client: f.workers, Clock: newTestClock().since, Log: zap.NewNop()}, testEpoch,
		func() bool { return true }, f.apply)
	as := assign("w1")
	as.Assign.FencingToken = FencingToken(testEpoch, 1)
	f.Apply([]Order{as})
	time.Sleep(2 * time.Second)
	f.workers.restart()
	time.Sleep(2 * time.Second)
	return f
}

func (f *restartFixture) apply(e Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.Report != nil {
		f.reports = append(f.reports, *e.Report)
	}
	if e.Started != nil {
		f.started = append(f.started, *e.Started)
	}
}

// reportsOf returns the reports of an incarnation.
func (f *restartFixture) reportsOf(incarnation int64) []Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Report
	for _, r := range f.reports {
		if r.Incarnation == incarnation {
			out = append(out, r)
		}
	}
	return out
}

// raiseToken applies the owner's assignment of the next incarnation.
func (f *restartFixture) raiseToken() {
	w := testWorker("w1")
	w.Incarnation = 2
	f.Apply([]Order{{Assign: &Assignment{Worker: w, Generation: 1, FencingToken: FencingToken(testEpoch, 2), MayGetStaleCalls: true}}})
}

// latestDeadline returns the latest deadline of the renewals with a token.
func (f *restartFixture) latestDeadline(token int64) int64 {
	f.workers.mu.Lock()
	defer f.workers.mu.Unlock()
	latest := int64(0)
	for _, r := range f.workers.renewals {
		if r.FencingToken == token {
			latest = max(latest, r.Deadline)
		}
	}
	return latest
}

// Guards against a start on a worker that may still carry out calls for its earlier incarnation: they set a longer lease than the owner
// counts with.
func TestNothingStartsBeforeStaleCallsAreFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestartFixture(t)
		defer f.Close()
		before := f.latestDeadline(FencingToken(testEpoch, 1))
		order := startOn("w1", 0)
		order.Start.Incarnation = 2
		f.Apply([]Order{order})
		time.Sleep(2 * time.Second)
		if _, starts, _ := f.workers.counts(); starts != 0 {
			t.Errorf("%d starts were sent with the token of the earlier incarnation", starts)
		}
		if after := f.latestDeadline(FencingToken(testEpoch, 1)); after != before {
			t.Errorf("the lease was extended by %d ms with the token of the earlier incarnation", after-before)
		}
		f.raiseToken()
		f.Apply([]Order{order})
		time.Sleep(2 * time.Second)
		if _, starts, _ := f.workers.counts(); starts != 1 {
			t.Errorf("%d starts were sent with the higher token, want 1", starts)
		}
		if f.latestDeadline(FencingToken(testEpoch, 2)) == 0 {
			t.Error("the lease is not extended with the higher token")
		}
	})
}

// Guards against an owner that counts the longest lease from the first answer of a restarted worker: a call for the earlier incarnation
// may be carried out until one with a higher token is answered.
func TestLongestLeaseCountsFromTheFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestartFixture(t)
		defer f.Close()
		for _, r := range f.reportsOf(2) {
			if !r.Unfenced {
				t.Fatal("a report says that calls for the earlier incarnation are fenced off before the token was raised")
			}
		}
		seen := len(f.reportsOf(2))
		f.raiseToken()
		time.Sleep(time.Second)
		reports := f.reportsOf(2)[seen:]
		for len(reports) > 0 && reports[0].Unfenced {
			reports = reports[1:] // requested before the token was raised
		}
		if len(reports) == 0 {
			t.Fatal("no report says that calls for the earlier incarnation are fenced off")
		}
		if granted := reports[0].LeaseUntil - reports[0].SentAt; granted < 10*time.Second {
			t.Errorf("the report tells a lease of %v; it may last 10 s", granted)
		}
	})
}

// Guards against a worker that can't be used after a restart because an owner of an earlier release assigns no tokens.
func TestRestartUnderAnOwnerWithoutTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAgentFixture(t.Context())
		defer f.Close()
		time.Sleep(time.Second)
		f.workers.restart()
		time.Sleep(time.Second)
		before := f.workers.deadline()
		time.Sleep(time.Second)
		if f.workers.deadline() == before {
			t.Error("the lease is not extended after the restart")
		}
	})
}

// Guards against tokens that do not order calls by epoch first.
func TestFencingTokensAreOrdered(t *testing.T) {
	tokens := []int64{0, 1, FencingToken(1, 0), FencingToken(1, 1), FencingToken(1, 1<<40), FencingToken(2, 0), FencingToken(2, 7), FencingToken(1<<25-1, 1<<40)}
	for i := 1; i < len(tokens); i++ {
		if tokens[i] <= tokens[i-1] {
			t.Errorf("token %d of the series, %d, does not follow %d", i, tokens[i], tokens[i-1])
		}
	}
	if highest := tokens[len(tokens)-1]; int64(float64(highest)) != highest {
		t.Errorf("a floating point number does not hold token %d", highest)
	}
}

// Guards against an end that a restarted worker forgets before it is read: each incarnation numbers its ends anew, so an acknowledgement
// for the earlier one may cover the end of a run that was started late.
func TestSilentWorkerGetsNoAcknowledgement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAgentFixture(t.Context())
		defer f.Close()
		f.Apply([]Order{{Ack: &Ack{WorkerID: "w1", Incarnation: 1, LastAckedEnd: 5}}})
		time.Sleep(time.Second)
		if acked := f.workers.acked(); acked != 5 {
			t.Fatalf("a worker that answers is told that ends up to %d are stored, want 5", acked)
		}
		f.workers.setSilent(true)
		time.Sleep(2 * time.Second)
		if acked := f.workers.acked(); acked != 0 {
			t.Errorf("a silent worker is told that ends up to %d are stored", acked)
		}
		f.Apply([]Order{{Ack: &Ack{WorkerID: "w1", Incarnation: 1, LastAckedEnd: 6}}})
		time.Sleep(time.Second)
		if acked := f.workers.acked(); acked != 0 {
			t.Errorf("a silent worker is told that ends up to %d are stored", acked)
		}
		f.workers.setSilent(false)
		time.Sleep(2 * time.Second)
		if acked := f.workers.acked(); acked != 6 {
			t.Errorf("after the silence the worker is told that ends up to %d are stored, want 6", acked)
		}
	})
}

// Guards against ends that the next incarnation forgets: most renewals that are under way at a crash must not acknowledge anything, but an
// acknowledgement without an answer, or to an earlier incarnation, must not be taken for one that the worker has applied.
func TestAcknowledgementsAreNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAgentFixture(t.Context())
		defer f.Close()
		sent := func() (numbers []int64) {
			f.workers.mu.Lock()
			defer f.workers.mu.Unlock()
			for _, r := range f.workers.renewals {
				if r.LastAckedEnd > 0 {
					numbers = append(numbers, r.LastAckedEnd)
				}
			}
			return numbers
		}
		f.Apply([]Order{{Ack: &Ack{WorkerID: "w1", Incarnation: 1, LastAckedEnd: 5}}})
		time.Sleep(3 * time.Second)
		f.Apply([]Order{{Ack: &Ack{WorkerID: "w1", Incarnation: 1, LastAckedEnd: 8}}})
		time.Sleep(3 * time.Second)
		if got := sent(); !slices.Equal(got, []int64{5, 8}) {
			t.Errorf("renewals have acknowledged ends up to %v, want 5 and 8", got)
		}
		f.workers.restart()
		time.Sleep(3 * time.Second)
		w := testWorker("w1")
		w.Incarnation = 2
		f.Apply([]Order{{Assign: &Assignment{Worker: w, Generation: 1, FencingToken: FencingToken(testEpoch, 2), MayGetStaleCalls: true}}})
		f.Apply([]Order{{Ack: &Ack{WorkerID: "w1", Incarnation: 2, LastAckedEnd: 3}}})
		time.Sleep(3 * time.Second)
		if got := sent(); !slices.Equal(got, []int64{5, 8, 3}) {
			t.Errorf("renewals have acknowledged ends up to %v, want 5, 8 and, after the restart, 3", got)
		}
	})
}

// Guards against a worker that a delegate calls without a pause while its listed incarnation has not answered.
func TestAnswersOfAnEarlierIncarnationCauseNoBusyLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAgentFixture(t.Context())
		defer f.Close()
		time.Sleep(time.Second)
		w := testWorker("w1")
		w.Incarnation = 2
		f.Apply([]Order{{Assign: &Assignment{Worker: w, Generation: 1, FencingToken: FencingToken(testEpoch, 2), MayGetStaleCalls: true}}})
		before, _, _ := f.workers.counts()
		time.Sleep(time.Second)
		after, _, _ := f.workers.counts()
		if after-before > 50 {
			t.Errorf("%d renewals in a second", after-before)
		}
	})
}

// Guards against ends of a restarted worker that are acknowledged unseen, by numbers that the owner meant for the earlier process with the
// same start time.
func TestAcknowledgementsFromBeforeASuspectedRestartAreIgnored(t *testing.T) {
	clock := newTestClock()
	info := testWorker("w1")
	r := &leaseRenewer{a: &Agent{cfg: testConfig, deps: Deps{Clock: clock.since}}, ready: make(chan struct{}), info: info, token: FencingToken(testEpoch, 1),
		fencesClockJumps: true}
	r.recordAnswer(RenewalAnswer{ClockMS: 600_000, Incarnation: 1})
	ack := Ack{WorkerID: info.ID, Incarnation: 1, LastAckedEnd: 57}
	r.acknowledge(ack)
	r.recordAnswer(RenewalAnswer{ClockMS: 1000, Incarnation: 1, token: r.token, clockJumped: true})
	r.acknowledge(ack)
	r.updateAssignment(Assignment{Worker: info, Generation: 1, FencingToken: r.token, LastAckedEnd: 57, FencesClockJumps: true})
	if got := r.state().lastAckedEnd; got != 0 {
		t.Errorf("ends up to %d are acknowledged before the owner knows of the restart", got)
	}
	r.updateAssignment(Assignment{Worker: info, Generation: 1, FencingToken: r.token + 1, MayGetStaleCalls: true, FencesClockJumps: true, Restarts: 1})
	r.acknowledge(Ack{WorkerID: info.ID, Incarnation: 1, LastAckedEnd: 3, Restarts: 1})
	if got := r.state().lastAckedEnd; got != 3 {
		t.Errorf("ends up to %d are acknowledged after the owner has seen the restart; want 3", got)
	}
}
