package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// putInboxJob stores a valid job with one task in the inbox.
func putInboxJob(t *testing.T, store rowstore.Store, id string) {
	t.Helper()
	value, err := workload.EncodeSpec(&workload.Spec{ID: id, Queue: testQueue, Accepted: time.Now(), Steps: []workload.Step{testStep(1)}})
	So(err, ShouldBeNil)
	putRow(t, store, records.JobKey(id, 0), value)
}

// Guards against tasks that run again because the row of their active job can't be read, and against the end of the runs that go on.
func TestUnreadableActiveJobIsKeptAside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given an active job whose row can't be read, with a run of it on a worker", t, func() {
			store := rowstore.NewMemory()
			putInboxJob(t, store, "broken")
			putRow(t, store, records.ActiveJobKey("broken"), []byte(`{"v":1,"id":`))
			o := runOwner(t, store, 0, 2)
			defer o.end()
			a := o.testDelegate(t, "a")
			a.serve(400 * time.Millisecond)
			run := scheduler.ActiveRun{Task: workload.TaskID{Job: "broken"}, Run: 3}
			report := func() { So(a.exchange(a.reportEvent("w0", run), a.reportEvent("w1")), ShouldBeNil) }
			exchange := func() {
				for range 20 {
					report()
					time.Sleep(50 * time.Millisecond)
				}
			}
			Convey("It is shown as running, its run goes on, and other jobs start", func() {
				o.submit("other", 1)
				o.submit("broken", 1)
				exchange()
				state, known, err := o.Lookup("broken", workload.Access{})
				So(err, ShouldBeNil)
				So(known, ShouldBeTrue)
				So(state, ShouldEqual, workload.Running)
				So(a.stops, ShouldBeEmpty)
				So(a.starts, ShouldHaveLength, 1)
				So(a.starts[0].Task.Job, ShouldEqual, "other")
				So(a.starts[0].WorkerID, ShouldEqual, "w1")
				explained, _, _ := o.Explain("broken")
				So(explained.Unreadable, ShouldBeTrue)
			})
			Convey("It can be cancelled, which stops its run, also for a successor", func() {
				exchange()
				o.NotifyCancelStored("broken")
				exchange()
				So(a.stops, ShouldHaveLength, 1)
				state, _, err := o.Lookup("broken", workload.Access{})
				So(err, ShouldBeNil)
				So(state, ShouldEqual, workload.Cancelled)
				o.end()
				next := runOwner(t, store, 1, 2)
				defer next.end()
				state, _, err = next.Lookup("broken", workload.Access{})
				So(err, ShouldBeNil)
				So(state, ShouldEqual, workload.Cancelled)
			})
		})
		Convey("Given a row of several active jobs that can't be read", t, func() {
			store := rowstore.NewMemory()
			putInboxJob(t, store, "before")
			putRow(t, store, records.JobBatchKey(1, 1), []byte(`{"v":1,"jobs":[{`))
			putInboxJob(t, store, "after")
			o := runOwner(t, store, 0, 2)
			defer o.end()
			a := o.testDelegate(t, "a")
			Convey("Jobs that were accepted before it was written are not started, later ones are", func() {
				o.submit("before", 1)
				a.serve(time.Second)
				So(a.starts, ShouldHaveLength, 1)
				So(a.starts[0].Task.Job, ShouldEqual, "after")
				state, known, err := o.Lookup("before", workload.Access{})
				So(err, ShouldBeNil)
				So(known, ShouldBeTrue)
				So(state, ShouldEqual, workload.Running)
			})
		})
	})
}
