package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// Guards against a job that runs although its caller had cancelled it before it was stored in the other partition, as an earlier release may
// store it, whichever row the owner or its successor reads first; against cancelling another team's job; and against rows that stay.
func TestEarlyCancellations(t *testing.T) {
	teamA := workload.Access{Restricted: true, Team: "a"}
	for name, c := range map[string]struct {
		by       workload.Access
		team     string
		jobFirst bool
		want     workload.State
	}{
		"of the job":                       {workload.Access{}, "", false, workload.Cancelled},
		"of a job that is read first":      {workload.Access{}, "", true, workload.Cancelled},
		"by the job's team":                {teamA, "a", false, workload.Cancelled},
		"by another team":                  {teamA, "b", false, workload.Queued},
		"by another team, job read first":  {teamA, "b", true, workload.Queued},
		"of a job without a team, by some": {teamA, "", false, workload.Cancelled},
	} {
		for _, takeover := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				Convey("Given an early cancellation "+name, t, func() {
					store := rowstore.NewMemory()
					o := runOwner(t, store, 0, 0)
					defer func() { o.end() }()
					value, err := records.Encode(records.EarlyCancel{By: c.by, AtMS: time.Now().UnixMilli()})
					So(err, ShouldBeNil)
					job, err := workload.EncodeSpec(&workload.Spec{ID: "j", Team: c.team, Queue: testQueue, Accepted: time.Now(), Steps: []workload.Step{testStep(1)}})
					So(err, ShouldBeNil)
					rows := []rowstore.Put{{Key: records.EarlyCancelKey("j", c.by, 1), Value: value}, {Key: records.JobKey("j", 0), Value: job}}
					if c.jobFirst {
						rows[0], rows[1] = rows[1], rows[0]
					}
					for _, r := range rows {
						putRow(t, store, r.Key, r.Value)
						time.Sleep(time.Second)
					}
					if takeover {
						o.end()
						o = runOwner(t, store, 1, 0)
						time.Sleep(time.Second)
					}
					state, known, err := o.Lookup("j", workload.Access{})
					So(err, ShouldBeNil)
					So(known, ShouldBeTrue)
					So(state, ShouldEqual, c.want)
					Convey("Its row is removed after the retention", func() {
						time.Sleep(2*time.Minute + expiryInterval)
						_, exists, err := rowstore.ReadRow(t.Context(), store, records.EarlyCancelKey("j", c.by, 1))
						So(err, ShouldBeNil)
						So(exists, ShouldBeFalse)
					})
				})
			})
		}
	}
}
