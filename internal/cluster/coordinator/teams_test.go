package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// Guards against a team whose jobs wait for its quota without a line and a metric that tell so.
func TestTeamsAtTheirQuotaAreShown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a job of a team whose limit is lower than what one task needs", t, func() {
			o := runOwner(t, rowstore.NewMemory(), 0, 1)
			runUntilListed(t, o, "w0")
			core, logs := observer.New(zap.InfoLevel)
			o.deps.Log = zap.New(core)
			next := successorOf(t, o, 1)
			next.sched.SetQueues(&queues.Config{Teams: []queues.Team{{Name: "kaje80", Quota: queues.Quota{CPUMilli: 1}}}})
			now := time.Now()
			next.sched.AddJob(now, &workload.Spec{ID: "j", Queue: testQueue, Team: "kaje80", Accepted: now,
				Steps: []workload.Step{{Count: 1, Resources: workload.Resources{CPUMilli: 100}}}}, nil, false)
			next.sendOrders(t.Context(), next.sched.Plan(now))
			line := logged(logs, "team waits for its quota")
			So(line["team"], ShouldEqual, "kaje80")
			So(line["steps"], ShouldEqual, 1)
			So(line["limit"], ShouldResemble, workload.Resources{CPUMilli: 1})
			scope := tally.NewTestScope("", nil)
			next.deps.Metrics = scope
			next.teamGauges().update(next)
			So(scope.Snapshot().Gauges()["teams_at_quota+"].Value(), ShouldEqual, 1)
			next.sched.Cancel(now, "j")
			next.sendOrders(t.Context(), next.sched.Plan(now.Add(5*time.Second)))
			So(logged(logs, "team no longer waits for its quota")["team"], ShouldEqual, "kaje80")
		})
	})
}
