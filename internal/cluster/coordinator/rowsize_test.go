package coordinator

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/delegate"
	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// chainOfSteps returns steps of one task that run one after the other.
func chainOfSteps(n int) []workload.Step {
	steps := make([]workload.Step, n)
	for i := range steps {
		steps[i] = testStep(1)
		steps[i].Image, steps[i].DataRack = "image-of-the-step", "r1-1"
		if i > 0 {
			steps[i].DependsOn = []int{i - 1}
		}
	}
	return steps
}

// Guards against an owner whose commits the store rejects for good, because jobs with many steps that arrive together share a row
// that is longer than the store allows.
func TestBurstOfJobsWithManySteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given 60 jobs of 32 steps that arrive at once", t, func() {
			const jobs = 60
			o := runOwner(t, rowstore.NewMemory(), 0, 20)
			defer o.end()
			a := o.testDelegate(t, "a")
			a.serve(400 * time.Millisecond)
			for i := range jobs {
				o.submitSteps(fmt.Sprintf("j%d", i), chainOfSteps(32)...)
			}
			a.serve(500 * time.Millisecond)
			Convey("all of them start", func() {
				So(len(a.starts), ShouldEqual, jobs)
			})
		})
	})
}

// rejectingStore rejects each transaction with a row whose value contains a text.
type rejectingStore struct {
	*rowstore.Memory
	text string
}

func (s *rejectingStore) Commit(ctx context.Context, txn rowstore.Txn) (int64, error) {
	for _, p := range txn.Puts {
		if strings.Contains(string(p.Value), s.text) {
			return 0, errors.Wrap(rowstore.ErrRejected, s.text)
		}
	}
	return s.Memory.Commit(ctx, txn)
}

// Guards against one job that stops all others, because the owner and each of its successors repeat a commit for ever that the store
// rejects for what it holds.
func TestRejectedJobDoesNotStopOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given jobs that arrive together with one that the store rejects", t, func() {
			store := &rejectingStore{rowstore.NewMemory(), "poison"}
			o := runOwnerOn(t, store, 0, 8)
			defer o.end()
			a := o.testDelegate(t, "a")
			a.serve(400 * time.Millisecond)
			rejected := testStep(1)
			rejected.Image = "poison"
			o.submit("j1", 1)
			o.submitSteps("j2", rejected)
			o.submit("j3", 1)
			a.serve(300 * time.Millisecond)
			Convey("the others start, the rejected one fails, and the owner stays the owner", func() {
				So(len(a.starts), ShouldEqual, 2)
				So(hasStart(a.starts, "j2"), ShouldBeFalse)
				state, known, err := o.Lookup("j2", workload.Access{})
				So(err, ShouldBeNil)
				So(known, ShouldBeTrue)
				So(state, ShouldEqual, workload.Failed)
				o.submit("j4", 1)
				a.serve(300 * time.Millisecond)
				So(hasStart(a.starts, "j4"), ShouldBeTrue)
				So(o.ownership.Lost(), ShouldBeFalse)
			})
		})
	})
}

// Guards against jobs that never start because they are longer than a row, and against a successor that loses them.
func TestJobLongerThanARow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a running job of 300 KB", t, func() {
			store := rowstore.NewMemory()
			o := runOwner(t, store, 0, 2)
			a := o.testDelegate(t, "a")
			a.serve(400 * time.Millisecond)
			steps := chainOfSteps(2000)
			for i := range steps {
				steps[i].Image = strings.Repeat("i", 100)
			}
			o.submitSteps("large", steps...)
			a.serve(200 * time.Millisecond)
			So(len(a.starts), ShouldEqual, 1)
			a.finishRun(a.starts[0])
			a.serve(200 * time.Millisecond)
			o.end()
			Convey("a successor continues it after the step that is done", func() {
				next := runOwner(t, store, o.ownership.Epoch(), 2)
				defer next.end()
				b := next.testDelegate(t, "b")
				b.serve(20 * time.Second)
				So(len(b.starts), ShouldEqual, 1)
				So(b.starts[0].Task.Step, ShouldEqual, 1)
				Convey("and leaves no row of it once it is cancelled", func() {
					next.NotifyCancelStored("large")
					b.serve(time.Second)
					So(ownerRows(t, store, records.ActiveJobs), ShouldBeEmpty)
				})
			})
		})
	})
}

// Guards against jobs whose rows stay in the inbox for ever, or that are lost there, because they take several rows.
func TestLongJobInTheInbox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a job of several rows in the inbox", t, func() {
			store := rowstore.NewMemory()
			steps := chainOfSteps(1000)
			value, err := workload.EncodeSpec(&workload.Spec{ID: "large", Queue: testQueue, Accepted: time.Now(), Steps: steps})
			So(err, ShouldBeNil)
			rows := records.Split(records.JobKey("large", 0), value, rowstore.MaxValueBytes(0))
			So(len(rows), ShouldBeGreaterThan, 1)
			_, err = store.Commit(t.Context(), rowstore.Txn{Puts: rows})
			So(err, ShouldBeNil)
			o := runOwner(t, store, 0, 2)
			defer o.end()
			a := o.testDelegate(t, "a")
			a.serve(600 * time.Millisecond)
			So(len(a.starts), ShouldEqual, 1)
			Convey("it has no row there once its retention has passed", func() {
				o.NotifyCancelStored("large")
				time.Sleep(2*time.Minute + expiryInterval)
				left, _, err := rowstore.ReadAll(t.Context(), store, records.Inbox, rows[0].Partition)
				So(err, ShouldBeNil)
				So(left, ShouldBeEmpty)
			})
		})
	})
}

// runTasks lets each started run end as done, for the duration d, and returns how many have ended.
func (td *testDelegate) runTasks(d time.Duration) int {
	ends := map[string][]scheduler.EndedRun{}
	done := 0
	for limit := time.Now().Add(d); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		var events []delegate.Event
		for _, s := range td.starts[done:] {
			events = append(events, td.startedEvent(s, scheduler.StartAccepted))
			ends[s.WorkerID] = append(ends[s.WorkerID], scheduler.EndedRun{Number: int64(len(ends[s.WorkerID]) + 1), Task: s.Task, Run: s.Run, Reason: scheduler.EndDone})
		}
		done = len(td.starts)
		for id := range td.workers {
			r := td.reportEvent(id)
			r.Report.Ended = ends[id]
			events = append(events, r)
		}
		if err := td.exchange(events...); err != nil {
			td.t.Errorf("%s: %v", td.name, err)
			break
		}
	}
	return done
}

// Guards against a job with so many tasks that its progress does not fit into a row: the store rejected the commits of the owner and
// of each successor until the end of the job.
func TestProgressOfManyTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a job of 6,000 tasks, half of which have ended", t, func() {
			const tasks, workers = 6000, 100
			store := rowstore.NewMemory()
			o := runOwner(t, store, 0, workers)
			a := o.testDelegate(t, "a")
			a.serve(400 * time.Millisecond)
			o.submit("many", tasks)
			done := 0
			for done < tasks/2 {
				done = a.runTasks(100 * time.Millisecond)
			}
			a.serve(200 * time.Millisecond)
			o.end()
			So(len(ownerRows(t, store, records.Progress)), ShouldBeGreaterThan, 5)
			Convey("a successor runs the other half, tells the job as completed and leaves no progress", func() {
				next := runOwner(t, store, o.ownership.Epoch(), workers)
				defer next.end()
				b := next.testDelegate(t, "b")
				b.serve(time.Second)
				rest := b.runTasks(40 * time.Second)
				So(done+rest, ShouldBeBetweenOrEqual, tasks, tasks+workers*4)
				state, _, err := next.Lookup("many", workload.Access{})
				So(err, ShouldBeNil)
				So(state, ShouldEqual, workload.Completed)
				So(ownerRows(t, store, records.Progress), ShouldBeEmpty)
				So(ownerRows(t, store, records.ActiveJobs), ShouldBeEmpty)
			})
			Convey("chunks that the owner could not remove before it ended are removed by a successor", func() {
				value, err := workload.EncodeProgress(&workload.Progress{State: workload.Completed, Ended: time.Now()})
				So(err, ShouldBeNil)
				putRow(t, store, records.EndedKey("many"), value)
				next := runOwner(t, store, o.ownership.Epoch(), workers)
				defer next.end()
				b := next.testDelegate(t, "b")
				b.serve(time.Second)
				next.submit("other", 1)
				b.serve(time.Second)
				for _, r := range ownerRows(t, store, records.Progress) {
					id, _ := records.ParseProgressKey(r.Key)
					So(id, ShouldNotEqual, "many")
				}
			})
		})
	})
}
