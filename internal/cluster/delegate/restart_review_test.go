package delegate

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
)

// jumpingWorkers are workers of which the clocks are ahead by an offset that a test changes.
type jumpingWorkers struct {
	fakeWorkers
	offset atomic.Int64 // milliseconds
}

func (w *jumpingWorkers) Renew(ctx context.Context, info scheduler.WorkerInfo, r Renewal) (RenewalAnswer, error) {
	a, err := w.fakeWorkers.Renew(ctx, info, r)
	a.ClockMS += w.offset.Load()
	return a, err
}

// Guards against a worker that can't be used any more, and whose runs lapse, after it was suspended: its owner is of the release before and
// raises the token only when a worker names another start time.
func TestClockJumpUnderAnOwnerThatDoesNotKnowOfThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := &jumpingWorkers{}
		a := NewAgent(t.Context(), testConfig, Deps{Client: workers, Clock: newTestClock().since, Log: zap.NewNop()}, testEpoch,
			func() bool { return true }, func(Event) {})
		defer a.Close()
		as := assign("w1")
		as.Assign.FencingToken = FencingToken(testEpoch, 1)
		a.Apply([]Order{as})
		time.Sleep(2 * time.Second)
		workers.offset.Store(-60_000)
		time.Sleep(5 * time.Second)
		workers.mu.Lock()
		renewals := workers.renewals
		workers.mu.Unlock()
		extended := 0
		for _, r := range renewals[len(renewals)-5:] {
			if r.Deadline != 0 {
				extended++
			}
		}
		if extended == 0 {
			t.Error("5 s after the clock has jumped, no renewal extends the lease")
		}
		a.Apply([]Order{startOn("w1", 0)})
		time.Sleep(2 * time.Second)
		if _, starts, _ := workers.counts(); starts != 1 {
			t.Errorf("%d starts were sent, want 1", starts)
		}
	})
}

// Guards against ends that are acknowledged unread when a worker restarts twice with the same start time before the delegate hears from the
// owner about the first restart: the owner's answer to the first one acknowledges ends of the second process.
func TestAnswerToTheFirstOfTwoRestartsAcknowledgesNothing(t *testing.T) {
	for name, names := range map[string][3]int64{"same start time": {1, 1, 1}, "alternating start times": {1, 2, 1}, "three start times": {1, 2, 3}} {
		clock := newTestClock()
		info := testWorker("w1")
		info.Incarnation = names[0]
		r := &leaseRenewer{a: &Agent{cfg: testConfig, deps: Deps{Clock: clock.since}}, ready: make(chan struct{}), info: info, token: FencingToken(testEpoch, 1),
			fencesClockJumps: true}
		answer := func(incarnation int64, jumped bool) {
			r.recordAnswer(RenewalAnswer{ClockMS: 1000, Incarnation: incarnation, token: r.token, sentAt: clock.since(), clockJumped: jumped})
		}
		answer(names[0], false)
		answer(names[1], names[1] == names[0])
		answer(names[2], names[2] == names[1])
		// The owner has stored three ends of the second process by now, and has not seen the third one.
		info.Incarnation = names[1]
		r.updateAssignment(Assignment{Worker: info, Generation: 1, FencingToken: FencingToken(testEpoch, 2), LastAckedEnd: 3, MayGetStaleCalls: true, FencesClockJumps: true})
		if got := r.state().lastAckedEnd; got != 0 {
			t.Errorf("%s: ends up to %d of the third process are acknowledged before the owner knows of it", name, got)
		}
	}
}
