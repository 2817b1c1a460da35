package coordinator

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
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
