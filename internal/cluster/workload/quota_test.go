package workload

import (
	"math"
	"testing"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
)

// Guards against accepted jobs that can never start, and against refused ones that could.
func TestCheckQuota(t *testing.T) {
	check := func(st Step) bool {
		spec := Spec{Steps: []Step{{Count: 1}, st}}
		return errors.Is(spec.CheckQuota(queues.Quota{CPUMilli: 8000, MemoryMB: 100}), ErrOverQuota)
	}
	Convey("A task or a gang that is larger than a limit is refused", t, func() {
		So(check(Step{Count: 1, Resources: Resources{CPUMilli: 8001}}), ShouldBeTrue)
		So(check(Step{Count: 1, Resources: Resources{MemoryMB: 101}}), ShouldBeTrue)
		So(check(Step{Count: 3, Gang: true, Resources: Resources{CPUMilli: 3000}}), ShouldBeTrue)
		So(check(Step{Count: 100_000, Gang: true, Resources: Resources{CPUMilli: math.MaxInt64}}), ShouldBeTrue)
	})
	Convey("What fits is not refused, nor are wide steps of tasks that fit one by one, nor resources without a limit", t, func() {
		So(check(Step{Count: 4, Gang: true, Resources: Resources{CPUMilli: 2000, MemoryMB: 25}}), ShouldBeFalse)
		So(check(Step{Count: 1000, Resources: Resources{CPUMilli: 8000}}), ShouldBeFalse)
		So(check(Step{Count: 1, Resources: Resources{Accelerators: 9}}), ShouldBeFalse)
	})
}
