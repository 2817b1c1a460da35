package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

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
