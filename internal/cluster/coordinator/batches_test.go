package coordinator

import (
	"fmt"
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

// countBatchRows returns the number of rows that hold several active jobs.
func countBatchRows(t *testing.T, store rowstore.Store) int {
	t.Helper()
	n := 0
	for _, r := range ownerRows(t, store, records.ActiveJobs) {
		if records.IsJobBatch(r.Key) {
			n++
		}
	}
	return n
}

// finishRun reports that a run was started and has completed.
func (td *testDelegate) finishRun(s delegate.StartOrder) {
	if err := td.exchange(td.startedEvent(s, scheduler.StartAccepted)); err != nil {
		td.t.Fatal(err)
	}
	r := td.reportEvent(s.WorkerID)
	r.Report.Ended = []scheduler.EndedRun{{Number: 1, Task: s.Task, Run: s.Run, Reason: scheduler.EndDone}}
	if err := td.exchange(r); err != nil {
		td.t.Fatal(err)
	}
}

// Guards against a successor that runs an ended job again: the job's retention has passed, but the row that it shares with a
// job that still runs is still stored.
func TestBatchRowKeepsStatesOfEndedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given two jobs that share a row, one of which ended longer ago than the retention", t, func() {
			store := rowstore.NewMemory()
			o := runOwner(t, store, 0, 2)
			a := o.testDelegate(t, "a")
			a.serve(400 * time.Millisecond)
			o.submitTogether("j-long", "j-short")
			a.serve(200 * time.Millisecond)
			So(countBatchRows(t, store), ShouldEqual, 1)
			So(len(a.starts), ShouldEqual, 2)
			var long delegate.StartOrder
			for _, s := range a.starts {
				if s.Task.Job == "j-short" {
					a.finishRun(s)
				} else {
					long = s
				}
			}
			So(a.exchange(a.startedEvent(long, scheduler.StartAccepted)), ShouldBeNil)
			for limit := time.Now().Add(3 * time.Minute); time.Now().Before(limit); time.Sleep(200 * time.Millisecond) {
				So(a.exchange(a.reportEvent(long.WorkerID, scheduler.ActiveRun{Task: long.Task, Run: long.Run, Percent: int(time.Until(limit).Seconds())})), ShouldBeNil)
			}
			o.end()
			Convey("a successor starts neither of them again, and does not stop the other", func() {
				next := runOwner(t, store, o.ownership.Epoch(), 2)
				defer next.end()
				b := next.testDelegate(t, "b")
				for len(b.workers) < 2 {
					So(b.exchange(), ShouldBeNil)
				}
				for id := range b.workers {
					r := b.reportEvent(id)
					if id == long.WorkerID {
						r = b.reportEvent(id, scheduler.ActiveRun{Task: long.Task, Run: long.Run})
					}
					So(b.exchange(r), ShouldBeNil)
				}
				time.Sleep(200 * time.Millisecond)
				So(b.exchange(b.reportEvent(long.WorkerID, scheduler.ActiveRun{Task: long.Task, Run: long.Run})), ShouldBeNil)
				So(b.starts, ShouldBeEmpty)
				So(b.stops, ShouldBeEmpty)
			})
		})
	})
}

// Load: 300 jobs that arrive at once while a commit takes 400 ms, which is the burst of a large pool while the store is 80
// times slower than usual. Guards against jobs that wait for several commits because each job takes an entry of its own.
func TestBurstOfNewJobsFitsOneCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given an owner with a slow store and plenty of free workers", t, func() {
			store := &delayedStore{Memory: rowstore.NewMemory()}
			o := runOwnerOn(t, store, 0, 100)
			defer o.end()
			a := o.testDelegate(t, "a")
			a.serve(400 * time.Millisecond)
			store.latency.Store(int64(400 * time.Millisecond))
			for i := range 300 {
				o.submit(fmt.Sprintf("j%d", i), 1)
			}
			a.serve(1300 * time.Millisecond)
			Convey("all jobs have started after the commit in flight and the one that stores them", func() {
				So(len(a.starts), ShouldEqual, 300)
			})
			Convey("their rows are removed once all jobs have ended", func() {
				store.latency.Store(0)
				So(countBatchRows(t, store.Memory), ShouldBeGreaterThan, 0)
				for i := range 300 {
					o.NotifyCancelStored(fmt.Sprintf("j%d", i))
				}
				a.serve(time.Second)
				So(countBatchRows(t, store.Memory), ShouldEqual, 0)
			})
		})
	})
}

// Guards against a successor that can't commit any more because the rows that it has to remove don't fit into one commit.
func TestRemovalOfManyFinishedBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given 200 shared rows whose jobs have all ended, and a new job", t, func() {
			store := rowstore.NewMemory()
			for i := range 200 {
				id := fmt.Sprintf("j%d", i)
				job, err := workload.EncodeBatchJob(&workload.Spec{ID: id, Queue: testQueue, Steps: []workload.Step{{Count: 1}}})
				So(err, ShouldBeNil)
				putRow(t, store, records.JobBatchKey(1, int64(i)), workload.JoinJobBatch([][]byte{job}))
				value, err := workload.EncodeProgress(&workload.Progress{State: workload.Completed, Ended: time.Now()})
				So(err, ShouldBeNil)
				putRow(t, store, records.EndedKey(id), value)
			}
			o := runOwner(t, store, 0, 1)
			defer o.end()
			a := o.testDelegate(t, "a")
			a.serve(400 * time.Millisecond)
			o.submit("new", 1)
			a.serve(500 * time.Millisecond)
			So(len(a.starts), ShouldEqual, 1)
			So(countBatchRows(t, store), ShouldEqual, 1)
		})
	})
}

// Guards against a shared row that is removed while one of its jobs is active, because the end of another is recorded twice.
func TestRepeatedEndDoesNotRemoveBatch(t *testing.T) {
	Convey("Given two jobs that share a row, one of which has ended", t, func() {
		index := newJobBatchIndex()
		job := func(id string) encodedJob {
			return encodedJob{scheduler.Record{JobID: id, Spec: &workload.Spec{ID: id}}, []byte("{}")}
		}
		key, _ := index.addNew(1, []encodedJob{job("a"), job("b")})
		So(index.jobEnded("a"), ShouldBeEmpty)
		Convey("The row is removed with the end of the other only", func() {
			So(index.jobEnded("a"), ShouldBeEmpty)
			So(index.jobEnded("b"), ShouldResemble, []rowstore.Key{key})
		})
	})
}
