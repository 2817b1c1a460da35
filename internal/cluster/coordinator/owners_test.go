package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/delegate"
	"github.com/greengagewing/greengagewing/internal/cluster/election"
	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
)

// successorOf returns a loaded term that replaces o, whose process has ended. The term is not run.
func successorOf(t *testing.T, o *testOwner, epoch int64) *term {
	t.Helper()
	ownership, err := election.Claim(t.Context(), o.store, election.Identity{Host: "successor", BootID: "s"}, election.Predecessor{Epoch: epoch}, o.clock)
	if err != nil {
		t.Fatal(err)
	}
	next := newTerm(t.Context(), o.Coordinator, ownership, func() bool { return true })
	t.Cleanup(next.assigner.local.agent.Close)
	if err := next.load(t.Context()); err != nil {
		t.Fatal(err)
	}
	return next
}

// unresolvedAfterShortWait returns the workers that a term still waits for once every run has expired whose lease the previous
// owner has extended last.
func unresolvedAfterShortWait(next *term) []string {
	now := time.Now()
	next.updateUnresolved(now)
	next.sched.Plan(now.Add(next.inheritedRunLimit() + time.Second))
	return next.sched.UnresolvedWorkers()
}

// Guards against runs that are started twice after several owners in series: the first one is cut off from the store and goes on
// renewing the lease of a worker, the second one ends without having reached that worker, and the third one gives the runs there
// up because the second one has ended.
func TestEndOfOwnerSaysNothingAboutOwnersBeforeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given an owner that used the worker w0, and a second owner that ends without a report of it", t, func() {
			store := rowstore.NewMemory()
			runUntilListed(t, runOwner(t, store, 0, 1), "w0")
			Convey("When the second owner ends before it writes the list of workers, a third one waits for the first owner's lease", func() {
				second := runOwner(t, store, 1, 0)
				second.end()
				So(unresolvedAfterShortWait(successorOf(t, second, 2)), ShouldResemble, []string{"w0"})
			})
			Convey("When the second owner ends after it used w9 as well, a third one waits for the first owner's lease on w0 only", func() {
				second := runOwner(t, store, 1, 0)
				synctest.Wait() // until the owner has read its list, which is empty and would delist the worker
				second.current().Upsert(testWorker("w9"))
				runUntilListed(t, second, "w0", "w9")
				So(unresolvedAfterShortWait(successorOf(t, second, 2)), ShouldResemble, []string{"w0"})
			})
		})
	})
}

// Guards against a takeover that waits for owners of which none can act any more, and so delays the jobs in progress.
func TestEndOfAllEarlierOwnersShortensWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given an owner that used the worker w0", t, func() {
			store := rowstore.NewMemory()
			runUntilListed(t, runOwner(t, store, 0, 1), "w0")
			Convey("When the second owner ends and knew that the first one has ended, a third one waits only for the runs' leases", func() {
				second := runSuccessor(t, store, 1, 0, true)
				runUntilListed(t, second, "w0")
				So(unresolvedAfterShortWait(successorOf(t, second, 2)), ShouldBeEmpty)
			})
			Convey("When the second owner ends after a report of w0, a third one waits only for the runs' leases", func() {
				second := runOwner(t, store, 1, 1)
				runUntilListed(t, second, "w0")
				So(unresolvedAfterShortWait(successorOf(t, second, 2)), ShouldBeEmpty)
			})
		})
	})
}

// Guards against runs that are given up too early by a successor that is paused between reading its clock and learning that the previous
// owner is gone, which has renewed leases meanwhile.
func TestEndOfPreviousOwnerCountsFromWhenItIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a successor that is paused for 3 s in a plan, while the previous owner ends", t, func() {
			o := runOwner(t, rowstore.NewMemory(), 0, 1)
			runUntilListed(t, o, "w0")
			next := successorOf(t, o, 1)
			paused := false
			next.predecessorGone = func() bool {
				if !paused {
					time.Sleep(3 * time.Second)
				}
				paused = true
				return true
			}
			next.updateUnresolved(time.Now())
			Convey("Its runs are waited for from the end of the pause on", func() {
				limit := next.inheritedRunLimit()
				next.sched.Plan(time.Now().Add(limit - time.Millisecond))
				So(next.sched.UnresolvedWorkers(), ShouldResemble, []string{"w0"})
				next.sched.Plan(time.Now().Add(limit + time.Millisecond))
				So(next.sched.UnresolvedWorkers(), ShouldBeEmpty)
			})
		})
	})
}

// Guards against takeovers under which a list of an earlier release, which does not tell who wrote it, shortens the wait.
func TestListOfEarlierReleaseIsInherited(t *testing.T) {
	Convey("A list without an epoch, and one of an owner before the previous one, are inherited as a whole", t, func() {
		ids := []string{"w0", "w1"}
		So(records.WorkersInUse{IDs: ids}.InheritedBy(1), ShouldResemble, ids)
		So(records.WorkersInUse{IDs: ids}.InheritedBy(7), ShouldResemble, ids)
		So(records.WorkersInUse{IDs: ids, Epoch: 5}.InheritedBy(7), ShouldResemble, ids)
		So(records.WorkersInUse{IDs: ids, Epoch: 6, Inherited: ids[:1]}.InheritedBy(7), ShouldResemble, ids[:1])
	})
}

// Guards against runs that are given up while delegates of an owner in a series still renew their leases: owners without delegates
// follow, write the list of workers, and the flag is lost.
func TestDelegatesOfEarlierOwnersAreNotForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given an owner with a delegate, and a second owner without one that writes the list of workers", t, func() {
			store := rowstore.NewMemory()
			runUntilListed(t, runOwner(t, store, 0, 1), "w0")
			second := runOwner(t, store, 1, 0)
			time.Sleep(20 * time.Second)
			So(second.readWorkersInUse(t), ShouldResemble, records.WorkersInUse{Delegated: true, Epoch: 2})
			second.end()
			Convey("A third one allows for the permits of the first owner's delegates", func() {
				next := successorOf(t, second, 2)
				So(next.inheritedRunLimit(), ShouldEqual, next.cfg.Delegate.LeaseBound()+delegate.PermitLimit)
			})
		})
	})
}

// runUntilListed runs an owner with a delegate until its list of workers in use names exactly these, and ends it.
func runUntilListed(t *testing.T, o *testOwner, ids ...string) {
	t.Helper()
	o.testDelegate(t, "a").serve(time.Second)
	So(o.readWorkersInUse(t).IDs, ShouldResemble, ids)
	o.end()
}

// Guards against a process that owns the workers again and still acts by its earlier term: delegates that present the earlier
// epoch get no orders and deliver no events, and the earlier term's own agent sends no calls.
func TestEarlierTermOfSameProcessIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a process that owns the workers with epochs 1 and 3, and another one with epoch 2", t, func() {
			store := rowstore.NewMemory()
			o := runOwner(t, store, 0, 1)
			earlier := o.testDelegate(t, "a")
			earlier.awaitOneStart()
			between, err := election.Claim(t.Context(), store, election.Identity{Host: "other", BootID: "other"}, election.Predecessor{Epoch: 1}, o.clock)
			So(err, ShouldBeNil)
			So(between.Epoch(), ShouldEqual, 2)
			o.wg.Wait() // the next commit of epoch 1 finds that it is lost
			So(o.Epoch(), ShouldEqual, 0)
			first := o.ownership
			again, err := election.Claim(t.Context(), store, election.Identity{Host: "owner", BootID: "0"}, election.Predecessor{Epoch: 2}, o.clock)
			So(err, ShouldBeNil)
			ctx, cancel := context.WithCancel(t.Context())
			o.cancel, o.ownership = cancel, again
			o.wg.Go(func() { _ = o.Run(ctx, again, func() bool { return true }) })
			defer o.end()
			time.Sleep(time.Second)
			So(o.Epoch(), ShouldEqual, 3)
			Convey("The earlier term's ownership stays lost, and an offer of it starts no claim", func() {
				So(first.LeaseValid(), ShouldBeFalse)
				So(errors.Is(first.Commit(t.Context(), nil, nil), election.ErrLost), ShouldBeTrue)
				_, err := election.Claim(t.Context(), store, election.Identity{Host: "other", BootID: "other"},
					election.Predecessor{Epoch: 3, LastSeq: first.LastSeq()}, o.clock)
				So(errors.Is(err, election.ErrLost), ShouldBeTrue)
			})
			Convey("A delegate of the earlier term gets no orders and its events are void", func() {
				_, err := o.FetchOrders(t.Context(), delegate.OrdersRequest{Host: "a", Session: earlier.session, Epoch: 1, After: earlier.after, Now: o.clock()})
				So(errors.Is(err, delegate.ErrSessionEnded), ShouldBeTrue)
				err = o.DeliverEvents(delegate.EventBatch{Host: "a", Session: earlier.session, Epoch: 1, First: earlier.sent + 1,
					Events: []delegate.Event{earlier.startedEvent(earlier.starts[0], scheduler.StartAccepted)}})
				So(errors.Is(err, delegate.ErrSessionEnded), ShouldBeTrue)
			})
			Convey("A session of the earlier term does not continue under the new epoch", func() {
				_, err := o.FetchOrders(t.Context(), delegate.OrdersRequest{Host: "a", Session: earlier.session, Epoch: 3, After: earlier.after, Now: o.clock()})
				So(errors.Is(err, delegate.ErrSessionEnded), ShouldBeTrue)
			})
			Convey("The inherited task waits for the worker, and its next run has a higher number than all of earlier terms", func() {
				later := o.testDelegate(t, "b")
				later.serve(2 * time.Second)
				So(later.starts, ShouldHaveLength, 1)
				So(later.starts[0].Task, ShouldResemble, earlier.starts[0].Task)
				So(later.starts[0].Run, ShouldBeGreaterThan, earlier.starts[0].Run)
			})
		})
	})
}
