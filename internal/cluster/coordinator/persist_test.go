package coordinator

import (
	"context"
	"fmt"
	"strings"
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

// delayedStore delays each commit by latency.
type delayedStore struct {
	*rowstore.Memory
	latency atomic.Int64
}

func (s *delayedStore) Commit(ctx context.Context, txn rowstore.Txn) (int64, error) {
	time.Sleep(time.Duration(s.latency.Load()))
	return s.Memory.Commit(ctx, txn)
}

// newProgressBacklog returns an owner of 600 jobs whose runs have just ended with their leases, and the delegate of its workers. The
// progress of the jobs has to be stored in seven commits that take 200 ms each, and the first one is in flight.
func newProgressBacklog(t *testing.T) (*testOwner, *testDelegate) {
	const jobs, workers = 600, 200
	store := &delayedStore{Memory: rowstore.NewMemory()}
	o := runOwnerOn(t, store, 0, workers)
	a := o.testDelegate(t, "a")
	a.serve(400 * time.Millisecond)
	for i := range jobs {
		o.submit(fmt.Sprintf("j%d", i), 1)
	}
	a.serve(500 * time.Millisecond)
	So(len(a.starts), ShouldEqual, jobs)
	var events, accepted []delegate.Event
	for _, s := range a.starts {
		accepted = append(accepted, a.startedEvent(s, scheduler.StartAccepted))
	}
	So(a.exchange(accepted...), ShouldBeNil)
	ends := map[string][]scheduler.EndedRun{}
	for _, s := range a.starts {
		n := int64(len(ends[s.WorkerID]) + 1)
		ends[s.WorkerID] = append(ends[s.WorkerID], scheduler.EndedRun{Number: n, Task: s.Task, Run: s.Run, Reason: scheduler.EndLeaseExpired})
	}
	for id, e := range ends {
		r := a.reportEvent(id)
		r.Report.Ended = e
		events = append(events, r)
	}
	store.latency.Store(int64(200 * time.Millisecond))
	So(a.exchange(events...), ShouldBeNil)
	time.Sleep(250 * time.Millisecond)
	return o, a
}

// Guards against new jobs that have to wait until the progress of all other jobs is stored before they start.
func TestNewJobStartsBeforeProgressBacklogIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given an owner with 600 jobs whose runs have just ended with their leases, and a slow store", t, func() {
			o, a := newProgressBacklog(t)
			defer o.end()
			before := len(a.starts)
			o.submit("new", 1)
			began := time.Now()
			for time.Since(began) < 3*time.Second && !hasStart(a.starts[before:], "new") {
				So(a.exchange(a.reportEvent("w0")), ShouldBeNil)
				time.Sleep(10 * time.Millisecond)
			}
			Convey("the new job starts after two commits", func() {
				So(time.Since(began), ShouldBeLessThan, 550*time.Millisecond)
			})
		})
	})
}

// Guards against jobs whose end is told only after the progress of all other jobs is stored.
func TestEndIsToldBeforeProgressBacklogIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given an owner with 600 jobs whose runs have just ended with their leases, and a slow store", t, func() {
			o, _ := newProgressBacklog(t)
			defer o.end()
			o.NotifyCancelStored("j599")
			began := time.Now()
			state, _, err := o.Lookup("j599", workload.Access{})
			for ; err == nil && !state.Final() && time.Since(began) < 3*time.Second; state, _, err = o.Lookup("j599", workload.Access{}) {
				time.Sleep(10 * time.Millisecond)
			}
			So(err, ShouldBeNil)
			So(state, ShouldEqual, workload.Cancelled)
			Convey("a job that ends now is told as ended after two commits", func() {
				So(time.Since(began), ShouldBeLessThan, 450*time.Millisecond)
			})
		})
	})
}

// Guards against progress that stays in the store for ever: it waits for a later commit of the batch, and the record of the job's end is made
// meanwhile.
func TestProgressThatWaitedIsRemovedWithTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given the progress of 20 jobs that waits behind 300 large new jobs, and a slow store", t, func() {
			const jobs, newJobs = 20, 300
			store := &delayedStore{Memory: rowstore.NewMemory()}
			o := runOwnerOn(t, store, 0, 10)
			defer o.end()
			a := o.testDelegate(t, "a")
			a.serve(400 * time.Millisecond)
			for i := range jobs {
				o.submit(fmt.Sprintf("j%d", i), 1)
			}
			a.serve(500 * time.Millisecond)
			So(len(a.starts), ShouldEqual, jobs)
			var events []delegate.Event
			ends := map[string][]scheduler.EndedRun{}
			for _, s := range a.starts {
				events = append(events, a.startedEvent(s, scheduler.StartAccepted))
				n := int64(len(ends[s.WorkerID]) + 1)
				ends[s.WorkerID] = append(ends[s.WorkerID], scheduler.EndedRun{Number: n, Task: s.Task, Run: s.Run, Reason: scheduler.EndLeaseExpired})
			}
			for id, e := range ends {
				r := a.reportEvent(id)
				r.Report.Ended = e
				events = append(events, r)
			}
			store.latency.Store(int64(200 * time.Millisecond))
			step := testStep(1)
			step.Image = strings.Repeat("x", 4000)
			time.Sleep(50 * time.Millisecond) // a commit is in progress, so that the rest becomes one batch
			So(a.exchange(events...), ShouldBeNil)
			for i := range newJobs {
				o.submitSteps(fmt.Sprintf("new%d", i), step)
			}
			for i := range jobs {
				time.Sleep(100 * time.Millisecond)
				o.NotifyCancelStored(fmt.Sprintf("j%d", i))
			}
			time.Sleep(5 * time.Second)
			So(ownerRows(t, store, records.Ended), ShouldHaveLength, jobs)
			var left []string
			for _, r := range ownerRows(t, store, records.Progress) {
				if strings.HasPrefix(r.Name, "j") {
					left = append(left, r.Name)
				}
			}
			So(left, ShouldBeEmpty)
		})
	})
}

// hasStart reports whether one of the starts is of a job.
func hasStart(starts []delegate.StartOrder, job string) bool {
	for _, s := range starts {
		if s.Task.Job == job {
			return true
		}
	}
	return false
}

// Guards against rows of ended jobs that are never removed because there are more than one round removes: at 150 jobs a
// second the store and the owner's memory would fill up.
func TestExpiredJobsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given 3,000 cancelled jobs whose retention has passed", t, func() {
			store := rowstore.NewMemory()
			o := runOwner(t, store, 0, 1)
			defer o.end()
			for i := range 3000 {
				id := fmt.Sprintf("j%d", i)
				putRow(t, store, records.JobKey(id, i%records.AlternativePartitions), []byte("{}"))
				o.submit(id, 1)
				o.NotifyCancelStored(id)
			}
			time.Sleep(2*time.Minute + expiryInterval)
			So(ownerRows(t, store, records.Ended), ShouldBeEmpty)
			left := 0
			for _, partition := range records.InboxPartitions() {
				rows, _, err := rowstore.ReadAll(t.Context(), store, records.Inbox, partition)
				So(err, ShouldBeNil)
				left += len(rows)
			}
			So(left, ShouldEqual, 0)
			_, known, err := o.Lookup("j0", workload.Access{})
			So(err, ShouldBeNil)
			So(known, ShouldBeFalse)
		})
	})
}
