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

// agentFixture is an agent with one worker, and the events that it emits.
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
		case e.Silence == nil:
		case e.Silence.Excused:
			excused++
		default:
			counted++
		}
	}
	return counted, excused
}

// Guards against a worker that counts as silent because the process that asked it did not get to run.
func TestTimeoutDuringProcessPauseIsExcused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given an agent that waits for a worker's answer", t, func() {
			f := newAgentFixture(t.Context())
			defer f.Close()
			f.workers.setSilent(true)
			time.Sleep(minRenewPoll + minRenewPoll/2)
			Convey("which it misses while it runs, the worker counts as silent", func() {
				time.Sleep(time.Second)
				counted, _ := f.missedRenewals()
				So(counted, ShouldBeGreaterThan, 0)
			})
			Convey("which it misses while it is suspended, the worker does not", func() {
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

// Guards against a start that is told as rejected although another delegate, or an attempt without an answer, may have
// started it.
func TestStartsWithoutAnswerHaveUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given an agent", t, func() {
			f := newAgentFixture(t.Context())
			defer f.Close()
			Convey("a start without an answer is repeated with its run and told as unknown", func() {
				f.workers.setSilent(true)
				f.Apply([]Order{startOn("w1", 0)})
				time.Sleep(2 * time.Second)
				So(f.startOutcomes(), ShouldResemble, []scheduler.StartOutcome{scheduler.StartUnknown})
				_, starts, _ := f.workers.counts()
				So(starts, ShouldBeGreaterThan, 1)
			})
			Convey("a start for a worker that it does not have is told as rejected, or as unknown if it was sent before", func() {
				f.Apply([]Order{startOn("w2", 0)})
				again := startOn("w2", 1)
				again.Start.Repeated = true
				time.Sleep(10 * time.Millisecond)
				f.Apply([]Order{again})
				time.Sleep(10 * time.Millisecond)
				So(f.startOutcomes(), ShouldResemble, []scheduler.StartOutcome{scheduler.RejectedOther, scheduler.StartUnknown})
			})
			Convey("a start that is meant for an earlier life of the worker is not sent", func() {
				o := startOn("w1", 0)
				o.Start.Born = 0
				f.Apply([]Order{o})
				time.Sleep(10 * time.Millisecond)
				_, starts, _ := f.workers.counts()
				So(starts, ShouldEqual, 0)
				So(f.startOutcomes(), ShouldResemble, []scheduler.StartOutcome{scheduler.RejectedOther})
			})
			Convey("a start that comes with the worker waits for the worker's clock", func() {
				f.Apply([]Order{assign("w3"), startOn("w3", 0)})
				time.Sleep(100 * time.Millisecond)
				So(f.startOutcomes(), ShouldResemble, []scheduler.StartOutcome{scheduler.StartAccepted})
			})
		})
	})
}

// Guards against ends that a worker forgets before anyone has seen them: after its restart they are numbered anew, and the
// number of the last end of the earlier life acknowledged them.
func TestRestartedWorkerKeepsItsEndedRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a worker whose ends up to 57 are durable, which restarts under its id", t, func() {
			f := newAgentFixture(t.Context())
			defer f.Close()
			f.Apply([]Order{{Ack: &Ack{WorkerID: "w1", LastEnd: 57}}})
			time.Sleep(2 * time.Second)
			So(f.workers.acked(), ShouldEqual, 57)
			f.workers.restart()
			time.Sleep(2 * time.Second)
			Convey("its ends are not acknowledged before the owner has told of its new life", func() {
				So(f.workers.acked(), ShouldEqual, 0)
				So(f.startOutcomes(), ShouldBeEmpty)
			})
			Convey("a start that was meant for the earlier life is not sent", func() {
				f.Apply([]Order{startOn("w1", 0)})
				time.Sleep(10 * time.Millisecond)
				_, starts, _ := f.workers.counts()
				So(starts, ShouldEqual, 0)
			})
		})
	})
}

// Guards against a lease that is extended while nobody knows whether the worker lives: what runs there has to lapse.
func TestLeaseOfSilentWorkerIsNotExtended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("After a call without an answer no deadline is sent", t, func() {
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
