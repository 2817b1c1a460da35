package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/election"
	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
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

// runUntilListed runs an owner with a delegate until its list of workers in use names exactly these, and ends it.
func runUntilListed(t *testing.T, o *testOwner, ids ...string) {
	t.Helper()
	o.testDelegate(t, "a").serve(time.Second)
	So(o.readWorkersInUse(t).IDs, ShouldResemble, ids)
	o.end()
}
