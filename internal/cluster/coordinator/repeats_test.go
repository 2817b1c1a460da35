package coordinator

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/delegate"
	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// feedOutage is a store whose change feed is unavailable for as long as down is set.
type feedOutage struct {
	*rowstore.Memory
	down atomic.Bool
}

func (s *feedOutage) Feed(ctx context.Context, table string, after int64, wait time.Duration) (rowstore.Changes, error) {
	if s.down.Load() {
		return rowstore.Changes{}, rowstore.ErrUnavailable
	}
	return s.Memory.Feed(ctx, table, after, wait)
}

// Guards against a job that runs again after its end because the change feed of the inbox delivers its row only after its state
// was removed: at the end of an outage of the feed, the row and its removal arrive together.
func TestFeedRepeatsRowsOfExpiredJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given an owner that can't read the change feed, and a job that has ended and expired", t, func() {
			store := &feedOutage{Memory: rowstore.NewMemory()}
			o := runOwnerOn(t, store, 0, 1)
			defer o.end()
			store.down.Store(true)
			a := o.testDelegate(t, "a")
			a.serve(2 * time.Second) // the feed call in progress ends
			spec := &workload.Spec{ID: "j1", Queue: testQueue, Accepted: time.Now(), Steps: []workload.Step{testStep(1)}}
			value, err := workload.EncodeSpec(spec)
			So(err, ShouldBeNil)
			putRow(t, store, records.JobKey("j1", 0), value)
			a.awaitOneStart()
			start := a.starts[0]
			So(a.exchange(a.startedEvent(start, scheduler.StartAccepted)), ShouldBeNil)
			end := a.reportEvent(start.WorkerID)
			end.Report.Ended = []scheduler.EndedRun{{Number: 1, Task: start.Task, Run: start.Run, Reason: scheduler.EndDone}}
			So(a.exchange(end), ShouldBeNil)
			for range 100 {
				a.serve(time.Second)
			}
			_, known, err := o.Lookup("j1", workload.Access{})
			So(err, ShouldBeNil)
			So(known, ShouldBeFalse)
			Convey("When the feed is back, the job is not started again", func() {
				store.down.Store(false)
				a.serve(2 * time.Second)
				So(a.starts, ShouldResemble, []delegate.StartOrder{start})
			})
		})
	})
}
