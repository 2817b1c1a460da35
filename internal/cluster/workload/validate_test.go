package workload

import (
	"fmt"
	"math"
	"testing"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a submission that ends each owner in turn: its number of tasks overflows, so it is accepted, and the owner then
// fails to allocate its occurrences.
func TestNumberOfTasksIsLimited(t *testing.T) {
	for _, c := range []struct{ repetitions, count int }{
		{1, maxTasks + 1}, {maxTasks, 2}, {1 << 62, 4}, {math.MaxInt, 2}, {math.MaxInt, 1},
	} {
		Convey(fmt.Sprintf("%d repetitions of %d tasks are refused", c.repetitions, c.count), t, func() {
			s := Spec{ID: "j", Repetitions: c.repetitions, Steps: []Step{{Count: c.count}}}
			So(errors.Is(s.Validate(), ErrInvalid), ShouldBeTrue)
		})
	}
	Convey("The greatest allowed number is accepted", t, func() {
		So((&Spec{ID: "j", Repetitions: maxTasks, Steps: []Step{{Count: 1}}}).Validate(), ShouldBeNil)
	})
}
