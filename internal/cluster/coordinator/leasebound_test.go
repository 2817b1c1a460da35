package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/delegate"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
)

// Guards against giving up a run before its lease has expired, because the owner was delayed between reading its clock for a plan
// and taking the worker from its executor, which extended the lease meanwhile.
func TestLeaseBoundCountsFromRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a run on a worker that is assigned to another executor in a plan that began 3 s ago", t, func() {
			o := runOwner(t, rowstore.NewMemory(), 0, 1)
			defer o.end()
			a := o.testDelegate(t, "a")
			a.awaitOneStart()
			So(a.exchange(a.startedEvent(a.starts[0], scheduler.StartAccepted)), ShouldBeNil)
			tm := o.current()
			tm.mu.Lock()
			defer tm.mu.Unlock()
			as, planBegan := tm.assigner, time.Now().Add(-3*time.Second)
			as.dropDelegate(planBegan.Add(-noDelegatesTimeout), as.remote["a"], "test")
			as.assignWorkers(planBegan, tm.sched.Workers())
			So(as.assignments["w0"].executor, ShouldEqual, as.local)
			tm.sched.MarkEnded(time.Now(), "w0", 1)
			losses := tm.sched.TakeWorkerLosses()
			So(len(losses), ShouldEqual, 1)
			Convey("its lease is bounded by the time of the release", func() {
				So(losses[0].LeaseLeft, ShouldBeGreaterThanOrEqualTo, delegate.PermitLimit+tm.cfg.Delegate.LeaseBound())
			})
		})
	})
}
