package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// Guards against two concurrent runs of a task: after a full list of ends a successor extends the lease of what an earlier owner started,
// and starts its tasks again when the lease known at the takeover has expired.
func TestInheritedTaskWaitsForLeaseThatTheSuccessorExtended(t *testing.T) {
	Convey("Given a successor that knows a full list of ends of a worker, and whose next renewal there was not answered", t, func() {
		g := newFixture(2, 1)
		g.AddUnresolvedWorker("w9", at(10*time.Second))
		g.UpsertWorker(t0, WorkerInfo{ID: "w9", Service: testService, Address: "w9", Incarnation: 1})
		g.AddJob(t0, g.job("old", t0, simpleStep(1)), nil, true)
		g.HandleReport(at(time.Second), Report{Worker: "w9", Incarnation: 1, SentAt: at(time.Second), MoreEnded: true,
			Ended: []EndedRun{{Number: 1, Task: workload.TaskID{Job: "another"}, Run: 1, Reason: EndDone}}})
		g.MarkUnreachable(at(7*time.Second), "w9", at(12*time.Second))
		Convey("A task of the earlier owner starts once that lease has expired, not before", func() {
			g.LimitUnresolvedLease(at(9 * time.Second))
			So(g.plan(at(11*time.Second)).Starts, ShouldBeEmpty)
			So(g.plan(at(13*time.Second)).Starts, ShouldHaveLength, 1)
		})
	})
	Convey("Given a worker that has not reported to the successor, its tasks don't wait longer than the earlier owners' leases", t, func() {
		g := newFixture(2, 1)
		g.AddUnresolvedWorker("w9", at(10*time.Second))
		g.UpsertWorker(t0, WorkerInfo{ID: "w9", Service: testService, Address: "w9", Incarnation: 1})
		g.AddJob(t0, g.job("old", t0, simpleStep(1)), nil, true)
		g.ExtendLease("w9", at(20*time.Second))
		So(g.plan(at(9*time.Second)).Starts, ShouldBeEmpty)
		So(g.plan(at(11*time.Second)).Starts, ShouldHaveLength, 1)
	})
}
