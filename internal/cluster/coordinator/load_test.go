package coordinator

import (
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// invalidRows are rows that a daemon of this version can't have written, by the name of the row: a job without steps, a step
// that depends on one that does not exist, invalid JSON, a job with another id, and a step with a negative count.
var invalidRows = map[string]string{
	"b1": `{"v":1,"id":"b1","queue":{"Name":"q"}}`,
	"b2": `{"v":1,"id":"b2","queue":{"Name":"q"},"steps":[{"n":1,"res":{}},{"n":1,"res":{},"after":[7]}]}`,
	"b3": `{"v":1,"id":`,
	"b4": `{"v":1,"id":"other","queue":{"Name":"q"},"steps":[{"n":1,"res":{}}]}`,
	"b5": `{"v":1,"id":"b5","queue":{"Name":"q"},"steps":[{"n":-1,"res":{}}]}`,
}

// putRow writes a row.
func putRow(t *testing.T, store rowstore.Store, k rowstore.Key, value []byte) {
	t.Helper()
	if _, err := store.Commit(t.Context(), rowstore.Txn{Puts: []rowstore.Put{{Key: k, Value: value}}}); err != nil {
		t.Fatal(err)
	}
}

// Guards against one invalid row that ends the term of the owner, and then of each of its successors.
func TestLoadSkipsInvalidRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given invalid rows among the active jobs and in the inbox, and a valid job in each", t, func() {
			store := rowstore.NewMemory()
			for id, value := range invalidRows {
				putRow(t, store, records.ActiveJobKey(id), []byte(value))
				putRow(t, store, records.JobKey(id+"-inbox", 0), []byte(value))
			}
			for _, id := range []string{"good-1", "good-2"} {
				value, err := workload.EncodeSpec(&workload.Spec{ID: id, Queue: testQueue, Accepted: time.Now(),
					Steps: []workload.Step{{Count: 1, Resources: workload.Resources{CPUMilli: 1000}}}})
				So(err, ShouldBeNil)
				key := records.ActiveJobKey(id)
				if id == "good-2" {
					key = records.JobKey(id, 0)
				}
				putRow(t, store, key, value)
			}
			o := runOwner(t, store, 0, 1)
			defer o.end()
			a := o.testDelegate(t, "a")
			a.serve(time.Second)
			Convey("the valid jobs are started", func() {
				jobs := map[string]bool{}
				for _, s := range a.starts {
					jobs[s.Task.Job] = true
				}
				So(jobs, ShouldResemble, map[string]bool{"good-1": true, "good-2": true})
			})
		})
	})
}

// Guards against a successor that runs out of memory while it loads, because it holds an entry for each completed task of all jobs.
func TestLoadedProgressOfCompletedTasksIsSmall(t *testing.T) {
	Convey("Given stored progress of two jobs with 100,000 completed tasks each", t, func() {
		const tasks, perRow = 100_000, 256
		store := rowstore.NewMemory()
		for _, id := range []string{"a", "b"} {
			for first := 0; first < tasks; first += perRow {
				p := &workload.Progress{State: workload.Running}
				for n := first; n < min(first+perRow, tasks); n++ {
					p.Tasks = append(p.Tasks, workload.TaskProgress{Index: n, Done: true})
				}
				value, err := workload.EncodeProgressChunk(p)
				So(err, ShouldBeNil)
				key := records.ProgressKey(id)
				if first > 0 {
					key = records.ProgressChunkKey(id, first/perRow)
				}
				putRow(t, store, key, value)
			}
		}
		owner := &term{deps: Deps{Store: store}, rows: newRowIndex(rowstore.MaxValueBytes(0))}
		heap := func() int64 {
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			return int64(m.HeapAlloc)
		}
		before := heap()
		progress, err := owner.loadProgress(t.Context(), records.Progress)
		So(err, ShouldBeNil)
		Convey("it takes less than 25 bytes for each task, and all of them are known as completed", func() {
			So(heap()-before, ShouldBeLessThan, 2*tasks*25)
			for _, id := range []string{"a", "b"} {
				done := len(progress[id].Tasks)
				for _, r := range progress[id].DoneRanges {
					done += r.Count
				}
				So(done, ShouldEqual, tasks)
			}
			runtime.KeepAlive(owner)
		})
	})
}
