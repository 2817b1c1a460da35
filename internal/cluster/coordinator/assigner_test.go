package coordinator

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/delegate"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
)

// Guards against orders that are lost when a delegate stops calling, and against a second run of a task that may already run.
func TestOrdersOfSilentDelegateAreReassigned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a delegate that has received a start and stops calling before it reports the outcome", t, func() {
			o := runOwner(t, rowstore.NewMemory(), 0, 1)
			defer o.end()
			a, b := o.testDelegate(t, "a"), o.testDelegate(t, "b")
			a.awaitOneStart()
			_ = b.exchange()
			b.serve(3 * time.Second)
			Convey("another delegate gets the start with the same run number, marked as repeated", func() {
				So(len(b.starts), ShouldEqual, 1)
				So(b.starts[0].Run, ShouldEqual, a.starts[0].Run)
				So(b.starts[0].Task, ShouldResemble, a.starts[0].Task)
				So(b.starts[0].Repeated, ShouldBeTrue)
				So(b.stops, ShouldBeEmpty)
			})
			Convey("the owner refuses what the first delegate reports later", func() {
				So(a.exchange(a.startedEvent(a.starts[0], scheduler.RejectedOther)), ShouldEqual, delegate.ErrSessionEnded)
				b.serve(time.Second)
				So(len(b.starts), ShouldEqual, 1)
			})
			Convey("a run that the worker reports as active goes on and is not started again", func() {
				s := b.starts[0]
				So(b.exchange(b.startedEvent(s, scheduler.StartAccepted)), ShouldBeNil)
				for range 20 {
					So(b.exchange(b.reportEvent("w0", scheduler.ActiveRun{Task: s.Task, Run: s.Run})), ShouldBeNil)
					time.Sleep(50 * time.Millisecond)
				}
				So(len(b.starts), ShouldEqual, 1)
				So(b.stops, ShouldBeEmpty)
			})
		})
	})
}

// Guards against repeating a start after the worker was restarted, when the owner has given up the run: the task may run
// elsewhere by then.
func TestStartOfRestartedWorkerIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a start without an outcome on a worker that was restarted since", t, func() {
			o := runOwner(t, rowstore.NewMemory(), 0, 1)
			defer o.end()
			a, b := o.testDelegate(t, "a"), o.testDelegate(t, "b")
			a.awaitOneStart()
			restarted := a.reportEvent("w0")
			restarted.Report.Incarnation = 2
			So(a.exchange(restarted), ShouldBeNil)
			_ = b.exchange()
			for limit := time.Now().Add(2 * time.Second); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
				_ = b.exchange()
			}
			for _, s := range b.starts {
				So(s.Repeated, ShouldBeFalse)
				So(s.Incarnation, ShouldEqual, 2)
			}
		})
	})
}

// Guards against ends that a restarted worker lists again and again, because they became durable before the owner's assignment of the
// worker knew the new incarnation.
func TestEndsOfRestartedWorkerAreAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a worker that was restarted and whose first report lists an end", t, func() {
			o := runOwner(t, rowstore.NewMemory(), 0, 1)
			defer o.end()
			a := o.testDelegate(t, "a")
			a.awaitOneStart()
			So(a.exchange(a.startedEvent(a.starts[0], scheduler.StartAccepted)), ShouldBeNil)
			restarted := a.reportEvent("w0")
			restarted.Report.Incarnation = 2
			restarted.Report.Ended = []scheduler.EndedRun{{Number: 1, Task: a.starts[0].Task, Run: a.starts[0].Run, Reason: scheduler.EndFailed}}
			So(a.exchange(restarted), ShouldBeNil)
			for limit := time.Now().Add(time.Second); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
				So(a.exchange(), ShouldBeNil)
			}
			So(a.acks, ShouldNotBeEmpty)
			So(a.acks[len(a.acks)-1], ShouldResemble, delegate.Ack{WorkerID: "w0", Incarnation: 2, LastAckedEnd: 1})
		})
	})
}

// Guards against dropping delegates because the owner's own process was paused and could not receive their calls.
func TestPausedOwnerKeepsDelegates(t *testing.T) {
	Convey("Given a delegate that called just before the owner was paused", t, func() {
		began := time.Now()
		as := &assigner{remote: map[string]*executor{"a": {host: "a", lastCall: began, ordersReady: make(chan struct{}, 1)}},
			rejoinAt: map[string]time.Time{}, lastTimeoutCheck: began, assignmentsValid: true}
		as.dropTimedOut(began.Add(5 * time.Second))
		Convey("it is not dropped at the first checks, and remains a delegate if it calls again", func() {
			So(len(as.remote), ShouldEqual, 1)
			as.dropTimedOut(began.Add(5*time.Second + 100*time.Millisecond))
			So(len(as.remote), ShouldEqual, 1)
			as.remote["a"].lastCall = began.Add(5*time.Second + 150*time.Millisecond)
			as.dropTimedOut(began.Add(5*time.Second + 900*time.Millisecond))
			So(len(as.remote), ShouldEqual, 1)
		})
	})
}

// Guards against workers that nobody calls because no host has joined as a delegate.
func TestOwnerWithoutDelegates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given an owner that wants delegates for its workers", t, func() {
			o := runOwner(t, rowstore.NewMemory(), 0, 3)
			defer o.end()
			Convey("it calls the workers itself once it has had no delegate for noDelegatesTimeout", func() {
				time.Sleep(noDelegatesTimeout / 2)
				So(o.renewals.Load(), ShouldEqual, 0)
				time.Sleep(noDelegatesTimeout)
				So(o.renewals.Load(), ShouldBeGreaterThanOrEqualTo, 3)
			})
			Convey("it assigns the workers to the first delegate that joins later", func() {
				time.Sleep(2 * noDelegatesTimeout)
				a := o.testDelegate(t, "a")
				a.serve(time.Second)
				So(len(a.workers), ShouldEqual, 3)
			})
			Convey("it also calls the workers itself after its only delegate has timed out", func() {
				a := o.testDelegate(t, "a")
				a.serve(time.Second)
				So(len(a.workers), ShouldEqual, 3)
				So(o.renewals.Load(), ShouldEqual, 0)
				time.Sleep(delegateTimeout + 2*noDelegatesTimeout)
				So(o.renewals.Load(), ShouldBeGreaterThanOrEqualTo, 3)
			})
		})
	})
}

// Guards against events that are applied twice or skipped when answers between the processes get lost.
func TestEventsAreAppliedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a delegate that has received a start", t, func() {
			o := runOwner(t, rowstore.NewMemory(), 0, 1)
			defer o.end()
			a := o.testDelegate(t, "a")
			a.awaitOneStart()
			Convey("a rejection that is delivered twice does not cancel the next start", func() {
				d := delegate.EventBatch{Host: "a", Session: a.session, Epoch: o.ownership.Epoch(), First: a.sent + 1,
					Events: []delegate.Event{a.startedEvent(a.starts[0], scheduler.RejectedOther)}}
				So(o.DeliverEvents(d), ShouldBeNil)
				a.sent++
				a.serve(200 * time.Millisecond)
				So(len(a.starts), ShouldEqual, 2)
				d.Events[0] = a.startedEvent(a.starts[1], scheduler.RejectedOther)
				So(o.DeliverEvents(d), ShouldBeNil)
				a.serve(200 * time.Millisecond)
				So(len(a.starts), ShouldEqual, 2)
			})
			Convey("a gap in the sequence of events ends the session", func() {
				So(o.DeliverEvents(delegate.EventBatch{Host: "a", Session: a.session, Epoch: o.ownership.Epoch(), First: a.sent + 2,
					Events: []delegate.Event{a.reportEvent("w0")}}), ShouldEqual, delegate.ErrSessionEnded)
			})
			Convey("events for an earlier epoch are refused", func() {
				So(o.DeliverEvents(delegate.EventBatch{Host: "a", Session: a.session, Epoch: o.ownership.Epoch() - 1, First: a.sent + 1}),
					ShouldEqual, delegate.ErrSessionEnded)
			})
		})
	})
}

// Guards against a successor that does not know that delegates may still act for its predecessor, because the predecessor
// assigned workers to them before it had stored that it uses delegates.
func TestDelegationIsStoredBeforeAssignment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given an owner with delegates", t, func() {
			store := rowstore.NewMemory()
			o := runOwner(t, store, 0, 3)
			a := o.testDelegate(t, "a")
			for len(a.workers) == 0 {
				So(a.exchange(), ShouldBeNil)
				time.Sleep(5 * time.Millisecond)
			}
			So(o.readWorkersInUse(t).Delegated, ShouldBeTrue)
			a.serve(300 * time.Millisecond)
			So(len(o.readWorkersInUse(t).IDs), ShouldEqual, 3)
			o.end()
			Convey("its successor waits for the delegates' permits in addition to the leases", func() {
				next := runOwner(t, store, o.ownership.Epoch(), 3)
				defer next.end()
				time.Sleep(100 * time.Millisecond)
				term := next.current()
				So(term == nil, ShouldBeFalse) // an assertion on the term itself would read all its fields, without the lock
				term.mu.Lock()
				bound := term.inheritedRunLimit()
				term.mu.Unlock()
				So(bound, ShouldEqual, delegate.PermitLimit+term.cfg.Delegate.LeaseBound())
			})
		})
	})
}

// Load: 1,100 workers, and 18 hosts that join, leave and rejoin. Guards against reassigning more workers than necessary, and
// against an uneven distribution of the workers.
func TestPickDelegateBalance(t *testing.T) {
	Convey("Given 1,100 workers and three hosts in each of six failure domains", t, func() {
		var hosts []candidate
		for i := range 18 {
			hosts = append(hosts, candidate{fmt.Sprintf("host-%d", i), fmt.Sprintf("z%d", i%6)})
		}
		shares, before := map[string]int{}, map[string]string{}
		for i := range 1100 {
			id := fmt.Sprintf("i-%08x", i*7919)
			h := pickDelegate(id, fmt.Sprintf("z%d", i%6), hosts)
			before[id] = h
			shares[h]++
		}
		Convey("each host gets about the same number of workers", func() {
			for _, h := range hosts {
				So(shares[h.host], ShouldBeBetween, 1100/18*6/10, 1100/18*15/10)
			}
		})
		Convey("only the workers of a host that leaves get another delegate", func() {
			for i := range 1100 {
				id := fmt.Sprintf("i-%08x", i*7919)
				now := pickDelegate(id, fmt.Sprintf("z%d", i%6), hosts[1:])
				if before[id] != hosts[0].host {
					So(now, ShouldEqual, before[id])
				}
			}
		})
		Convey("workers in a failure domain without hosts get a delegate in another one", func() {
			So(pickDelegate("w", "elsewhere", hosts), ShouldNotBeEmpty)
		})
	})
}
