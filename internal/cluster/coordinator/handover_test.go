package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
)

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
			other := fixedWorkers{testWorker("w0")}
			if run.WorkerID == "w0" {
				other = fixedWorkers{testWorker("w1")}
			}
			third := runOwnerWith(t, store, 2, other, true, longLeases)
			defer third.end()
			c := third.testDelegate(t, "c")
			for limit := time.Now().Add(time.Second); len(c.workers) < 1 && time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
				So(c.exchange(), ShouldBeNil)
			}
			c.awaitStartElsewhere(run)
			So(time.Since(listedAt), ShouldBeGreaterThan, longLeases.StaleLeaseBound())
		})
	})
}
