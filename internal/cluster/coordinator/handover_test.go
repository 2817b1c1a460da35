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

// otherWorker returns a list of the other one of two workers.
func otherWorker(id string) fixedWorkers {
	if id == "w0" {
		return fixedWorkers{testWorker("w1")}
	}
	return fixedWorkers{testWorker("w0")}
}

// Guards against two runs of a task: one owner learns from the list of workers that a worker has restarted, so that an unanswered start
// may run there with the longest lease, and for its successor the worker is not listed any more.
func TestListedRestartIsHandedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given an unanswered start on a worker whose restart only the list shows to the second of three owners", t, func() {
			store := rowstore.NewMemory()
			first, a := runOwnerWithStart(t, store)
			run := a.starts[0]
			first.end()
			listedAt := time.Now()
			second := runOwnerWith(t, store, 1, twoWorkersWithRestarted(run.WorkerID), true, longLeases)
			second.delegateOfTwoWorkers(t, "b")
			time.Sleep(time.Second)
			So(second.readWorkersInUse(t).Epoch, ShouldEqual, 2)
			second.end()
			third := runOwnerWith(t, store, 2, otherWorker(run.WorkerID), true, longLeases)
			defer third.end()
			third.testDelegate(t, "c").awaitStartElsewhere(run)
			So(time.Since(listedAt), ShouldBeGreaterThan, longLeases.StaleLeaseBound())
		})
	})
}

// Guards against two runs of a task after an upgrade: an owner of a release that does not store incarnations has started it on a worker that
// had just restarted, whose lease a call for the earlier incarnation has set.
func TestListWithoutIncarnationsMayHideStaleLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a run whose worker the list of an earlier release names without its incarnation, and that has no entry any more", t, func() {
			store := rowstore.NewMemory()
			first, a := runOwnerWithStart(t, store)
			run := a.starts[0]
			u := first.readWorkersInUse(t)
			first.end()
			u.Incarnations, u.StaleLeases = nil, nil
			value, err := records.Encode(u)
			So(err, ShouldBeNil)
			_, err = store.Commit(t.Context(), rowstore.Txn{Puts: []rowstore.Put{{Key: records.WorkersInUseKey, Value: value}}})
			So(err, ShouldBeNil)
			second := runOwnerWith(t, store, 1, otherWorker(run.WorkerID), true, longLeases)
			defer second.end()
			claimedAt := time.Now()
			b := second.testDelegate(t, "b")
			b.awaitStartElsewhere(run)
			So(time.Since(claimedAt), ShouldBeGreaterThan, longLeases.StaleLeaseBound())
		})
	})
}

// Guards against a successor that counts an earlier owner's leases from the end of an owner between the two, which has claimed and has
// neither read nor written anything: another one with a claim whose answer was lost, or that ended at once.
func TestOwnerThatOnlyClaimedHandsNothingOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a run on a restarted worker, an owner that may go on, and one that only claimed and is gone", t, func() {
			store := rowstore.NewMemory()
			first := runOwnerWith(t, store, 0, fixedWorkers{testWorker("w0"), testWorker("w1")}, false, longLeases)
			a := first.testDelegate(t, "a")
			a.serve(longLeases.StaleLeaseBound() + time.Second)
			a.restartWorkers()
			first.submit("j1", 1)
			a.serveRestarted(200 * time.Millisecond)
			So(a.starts, ShouldHaveLength, 1)
			run := a.starts[0]
			between, err := election.Claim(t.Context(), store, election.Identity{Host: "between", BootID: "b"}, election.Predecessor{Epoch: 1}, first.clock)
			So(err, ShouldBeNil)
			So(between.Epoch(), ShouldEqual, 2)
			other := otherWorker(run.WorkerID)
			other[0].Incarnation = 2
			third := runOwnerWith(t, store, 2, other, true, longLeases)
			defer third.end()
			claimedAt := time.Now()
			c := third.testDelegate(t, "c")
			for len(c.starts) == 0 && time.Since(claimedAt) < 40*time.Second {
				c.serveRestarted(100 * time.Millisecond)
			}
			So(c.starts, ShouldHaveLength, 1)
			So(c.starts[0].WorkerID, ShouldNotEqual, run.WorkerID)
			So(time.Since(claimedAt), ShouldBeGreaterThan, election.LeaseDuration+longLeases.StaleLeaseBound())
		})
	})
}

// Guards against a stored list that says that the lease of a restarted worker is the ordinary one before the longest lease has expired, for
// a successor that reads the new list as well as for one that reads the one before.
func TestStaleLeaseIsClearedOnceItHasExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a worker that has restarted", t, func() {
			o := runOwnerWith(t, rowstore.NewMemory(), 0, fixedWorkers{testWorker("w0")}, false, longLeases)
			defer o.end()
			a := o.testDelegate(t, "a")
			a.serve(longLeases.StaleLeaseBound() + time.Second)
			So(a.exchange(a.restartReport("w0", true)), ShouldBeNil)
			o.current().Upsert(restartedWorker("w0"))
			time.Sleep(200 * time.Millisecond)
			flagged := func() bool { return o.readWorkersInUse(t).Uses()["w0"].StaleLease }
			So(flagged(), ShouldBeTrue)
			for began := time.Now(); time.Since(began) < longLeases.StaleLeaseBound()+time.Second; time.Sleep(100 * time.Millisecond) {
				So(a.exchange(a.restartReport("w0", true)), ShouldBeNil) // stale calls may reach it until the fence
				So(flagged(), ShouldBeTrue)
			}
			So(a.exchange(a.restartReport("w0", false)), ShouldBeNil)
			fencedAt := time.Now()
			for flagged() {
				a.serveRestarted(20 * time.Millisecond)
				So(time.Since(fencedAt), ShouldBeLessThan, longLeases.StaleLeaseBound()+time.Second)
			}
			So(time.Since(fencedAt), ShouldBeGreaterThan, longLeases.StaleLeaseBound())
		})
	})
}
