package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
)

// logged returns the fields of the only entry with a message.
func logged(logs *observer.ObservedLogs, msg string) map[string]any {
	entries := logs.FilterMessage(msg).All()
	So(entries, ShouldHaveLength, 1)
	return entries[0].ContextMap()
}

// Guards against a task that runs twice after a change of the owner without a line that tells which lease was counted too low.
func TestWorkersOfEarlierOwnersThatAreGivenUpAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a successor of an owner that is gone, and a worker that does not report", t, func() {
			o := runOwner(t, rowstore.NewMemory(), 0, 1)
			runUntilListed(t, o, "w0")
			core, logs := observer.New(zap.InfoLevel)
			o.deps.Log = zap.New(core)
			next := successorOf(t, o, 1)
			began := time.Now()
			next.updateUnresolved(time.Now())
			time.Sleep(100 * time.Millisecond)
			next.updateUnresolved(time.Now())
			limited := logged(logs, "previous owner is gone, its workers are waited for less")
			So(limited["workers"], ShouldEqual, 1)
			So(limited["limit"], ShouldEqual, next.inheritedRunLimit())
			next.Upsert(testWorker("w0"))
			time.Sleep(next.inheritedRunLimit())
			next.sendOrders(t.Context(), next.sched.Plan(time.Now()))
			So(next.sched.UnresolvedWorkers(), ShouldBeEmpty)
			line := logged(logs, "worker of an earlier owner given up without a report")
			So(line, ShouldResemble, map[string]any{"epoch": int64(2), "worker": "w0", "stored_born": int64(1), "stored_stale_lease": true,
				"listed_born": int64(1), "stale_lease_counted": true, "inherited": false, "waited": time.Since(began)})
		})
	})
}
