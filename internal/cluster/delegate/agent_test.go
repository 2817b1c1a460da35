package delegate

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
)

// agentFixture is an agent with one assigned worker. It records the events that the agent emits.
type agentFixture struct {
	*Agent
	workers *fakeWorkers
	clock   *testClock
	mu      sync.Mutex
	events  []Event
}

func newAgentFixture(ctx context.Context) *agentFixture {
	f := &agentFixture{workers: &fakeWorkers{}, clock: newTestClock()}
	f.Agent = NewAgent(ctx, testConfig, Deps{Client: f.workers, Clock: f.clock.since, Log: zap.NewNop()}, testEpoch,
		func() bool { return true }, func(e Event) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.events = append(f.events, e)
		})
	f.Apply([]Order{assign("w1")})
	time.Sleep(100 * time.Millisecond)
	return f
}

func (f *agentFixture) startOutcomes() []scheduler.StartOutcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []scheduler.StartOutcome
	for _, e := range f.events {
		if e.Started != nil {
			out = append(out, e.Started.Outcome)
		}
	}
	return out
}

func (f *agentFixture) missedRenewals() (counted, excused int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.events {
		switch {
		case e.MissedRenewal == nil:
		case e.MissedRenewal.Excused:
			excused++
		default:
			counted++
		}
	}
	return counted, excused
}

// Guards against counting a worker as silent when its answer was missed because the delegate's own process was suspended.
func TestTimeoutDuringProcessPauseIsExcused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given an agent with a renewal in progress", t, func() {
			f := newAgentFixture(t.Context())
			defer f.Close()
			f.workers.setSilent(true)
			time.Sleep(renewPollTimeout + renewPollTimeout/2)
			Convey("a timeout while the agent's process runs counts as a missed renewal", func() {
				time.Sleep(time.Second)
				counted, _ := f.missedRenewals()
				So(counted, ShouldBeGreaterThan, 0)
			})
			Convey("a timeout while the agent's process is suspended is excused", func() {
				f.clock.suspend(2 * time.Second)
				time.Sleep(100 * time.Millisecond)
				f.workers.setSilent(false)
				time.Sleep(time.Second)
				counted, excused := f.missedRenewals()
				So(counted, ShouldEqual, 0)
				So(excused, ShouldBeGreaterThan, 0)
			})
		})
	})
}

// Guards against reporting a start as rejected although another delegate, or an earlier attempt that was not answered, may
// have started the run.
func TestStartsWithoutAnswerHaveUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given an agent", t, func() {
			f := newAgentFixture(t.Context())
			defer f.Close()
			Convey("a start without an answer is retried with the same run number and reported as unknown", func() {
				f.workers.setSilent(true)
				f.Apply([]Order{startOn("w1", 0)})
				time.Sleep(2 * time.Second)
				So(f.startOutcomes(), ShouldResemble, []scheduler.StartOutcome{scheduler.StartUnknown})
				_, starts, _ := f.workers.counts()
				So(starts, ShouldBeGreaterThan, 1)
			})
			Convey("a start for a worker that is not assigned is reported as rejected, or as unknown if it may have been sent before", func() {
				f.Apply([]Order{startOn("w2", 0)})
				again := startOn("w2", 1)
				again.Start.Repeated = true
				time.Sleep(10 * time.Millisecond)
				f.Apply([]Order{again})
				time.Sleep(10 * time.Millisecond)
				So(f.startOutcomes(), ShouldResemble, []scheduler.StartOutcome{scheduler.RejectedOther, scheduler.StartUnknown})
			})
			Convey("a start for an earlier incarnation of the worker is not sent", func() {
				o := startOn("w1", 0)
				o.Start.Incarnation = 0
				f.Apply([]Order{o})
				time.Sleep(10 * time.Millisecond)
				_, starts, _ := f.workers.counts()
				So(starts, ShouldEqual, 0)
				So(f.startOutcomes(), ShouldResemble, []scheduler.StartOutcome{scheduler.RejectedOther})
			})
			Convey("a start that arrives together with the assignment waits until the worker's clock is known", func() {
				f.Apply([]Order{assign("w3"), startOn("w3", 0)})
				time.Sleep(100 * time.Millisecond)
				So(f.startOutcomes(), ShouldResemble, []scheduler.StartOutcome{scheduler.StartAccepted})
			})
		})
	})
}

// Guards against ended runs that a worker forgets before the owner has stored them: a restarted worker numbers its ended
// runs anew, so the last acknowledged number of its earlier incarnation must not acknowledge them.
func TestRestartedWorkerKeepsItsEndedRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a worker with ended runs acknowledged up to number 57 that restarts under the same id", t, func() {
			f := newAgentFixture(t.Context())
			defer f.Close()
			f.Apply([]Order{{Ack: &Ack{WorkerID: "w1", Incarnation: 1, LastAckedEnd: 57}}})
			time.Sleep(2 * time.Second)
			So(f.workers.acked(), ShouldEqual, 57)
			f.workers.restart()
			time.Sleep(2 * time.Second)
			Convey("its ended runs are not acknowledged before the owner knows the new incarnation", func() {
				So(f.workers.acked(), ShouldEqual, 0)
				So(f.startOutcomes(), ShouldBeEmpty)
			})
			Convey("a start for the earlier incarnation is not sent", func() {
				f.Apply([]Order{startOn("w1", 0)})
				time.Sleep(10 * time.Millisecond)
				_, starts, _ := f.workers.counts()
				So(starts, ShouldEqual, 0)
			})
		})
	})
}

// Guards against ends that a restarted worker forgets before they are stored: an acknowledgement, or an entry of the list of
// workers, that was on its way when the worker restarted refers to the numbers of the earlier process.
func TestLateOrdersForEarlierIncarnation(t *testing.T) {
	for name, late := range map[string]Order{
		"acknowledgement": {Ack: &Ack{WorkerID: "w1", Incarnation: 1, LastAckedEnd: 57}},
		"assignment":      {Assign: &Assignment{Worker: scheduler.WorkerInfo{ID: "w1", Incarnation: 1}, Generation: 1, LastAckedEnd: 57}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newAgentFixture(t.Context())
				defer f.Close()
				time.Sleep(time.Second)
				f.workers.restart()
				time.Sleep(time.Second)
				f.Apply([]Order{late})
				time.Sleep(2 * time.Second)
				if acked := f.workers.acked(); acked != 0 {
					t.Errorf("the restarted worker was told to forget its ends up to %d", acked)
				}
			})
		})
	}
}

// Guards against extending the lease of a worker that does not answer: the tasks that run there have to expire.
func TestLeaseOfSilentWorkerIsNotExtended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("After a renewal without an answer, later renewals do not extend the deadline", t, func() {
			f := newAgentFixture(t.Context())
			defer f.Close()
			time.Sleep(time.Second)
			f.workers.setSilent(true)
			time.Sleep(2 * time.Second)
			before := f.workers.deadline()
			So(before, ShouldBeGreaterThan, 0)
			time.Sleep(4 * time.Second)
			So(f.workers.deadline(), ShouldEqual, before)
		})
	})
}

// Guards against ends that are reported a quarter of a second late because the owner, whose store is slow, has not acknowledged earlier
// ends on the same worker.
func TestEndsAreReportedWhileOthersWaitForAcks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given an agent whose worker lists an end that the owner does not acknowledge", t, func() {
			f := newAgentFixture(t.Context())
			defer f.Close()
			f.workers.setEnded(1)
			time.Sleep(time.Second)
			before, _, _ := f.workers.counts()
			time.Sleep(time.Second)
			Convey("the worker is asked for further ends at least every 100 ms", func() {
				after, _, _ := f.workers.counts()
				So(after-before, ShouldBeBetweenOrEqual, 10, 20)
			})
		})
	})
}
