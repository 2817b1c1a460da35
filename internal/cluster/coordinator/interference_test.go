package coordinator

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/interference"
	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
)

// model calls f with what the owner knows about interference.
func (o *testOwner) model(f func(*interference.Model)) {
	t := o.current()
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.sched.Interference())
}

// learnPair lets the owner know a pair of kinds.
func (o *testOwner) learnPair() {
	pair := fmt.Sprintf(`{"v":1,"at":%d,"kinds":[{"n":"B"},{"n":"A"}],"pairs":[{"k":0,"by":1,"m":470,"s":20,"c":20}]}`, time.Now().UnixMilli())
	o.model(func(m *interference.Model) { So(m.Restore([]byte(pair), time.Now()), ShouldBeNil) })
}

// Guards against what was learned being lost with its owner or overwritten by a successor that has not read it yet, against a write with
// each commit, and against an owner that fails because of the row.
func TestInterferenceSurvivesAChangeOfOwner(t *testing.T) {
	run := func(t *testing.T, store *rowstore.Memory, epoch int64, aware bool) *testOwner {
		cfg := Config{Delegate: longLeases, Retention: time.Minute, InterferenceAware: aware}
		return runOwnerConfig(t, store, epoch, fixedWorkers{testWorker("w0")}, false, cfg)
	}
	synctest.Test(t, func(t *testing.T) {
		Convey("Given an owner that keeps a pair of kinds apart", t, func() {
			store := rowstore.NewMemory()
			o := run(t, store, 0, true)
			time.Sleep(time.Second)
			o.learnPair()
			time.Sleep(2 * interferenceInterval)
			rows := ownerRows(t, store, records.Interference)
			So(rows, ShouldHaveLength, 1)
			time.Sleep(time.Minute)
			So(ownerRows(t, store, records.Interference), ShouldResemble, rows) // nothing has changed
			o.end()
			Convey("A successor does the same", func() {
				next := run(t, store, 1, true)
				defer next.end()
				time.Sleep(time.Second)
				next.model(func(m *interference.Model) { So(m.Stats().PairsApart, ShouldEqual, 1) })
			})
			Convey("A successor without the feature neither reads nor writes the row", func() {
				next := run(t, store, 1, false)
				defer next.end()
				time.Sleep(2 * interferenceInterval)
				next.model(func(m *interference.Model) { So(m, ShouldBeNil) })
				So(ownerRows(t, store, records.Interference), ShouldResemble, rows)
			})
			Convey("A successor that can't read the row, or finds a newer format, knows nothing and writes a row of its own", func() {
				for epoch, value := range []string{"{", `{"v":99}`} {
					putRow(t, store, records.InterferenceKey, []byte(value))
					next := run(t, store, int64(epoch)+1, true)
					time.Sleep(time.Second)
					next.model(func(m *interference.Model) { So(m.Stats().PairsApart, ShouldEqual, 0) })
					next.learnPair()
					time.Sleep(2 * interferenceInterval)
					next.end()
					stored := ownerRows(t, store, records.Interference)
					So(interference.New().Restore(stored[0].Value, time.Now()), ShouldBeNil)
				}
			})
		})
	})
}
