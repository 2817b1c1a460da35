package meter

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a log of the owner's load that counts an execution twice, or in the wrong second.
func TestDutiesAreCountedOnce(t *testing.T) {
	Convey("Given a meter with executions of two duties", t, func() {
		d := NewDuties()
		end := d.Begin("plan")
		time.Sleep(time.Millisecond)
		end()
		d.Count("call")
		d.Count("call")
		sums := d.Take()
		So(sums["plan"].Count, ShouldEqual, 1)
		So(sums["plan"].Time, ShouldBeGreaterThanOrEqualTo, time.Millisecond)
		So(sums["call"], ShouldResemble, DutySum{Count: 2})
		Convey("the next sums contain only later ones", func() {
			d.Count("call")
			So(d.Take(), ShouldResemble, DutySums{"call": {Count: 1}})
			So(d.Take(), ShouldBeEmpty)
		})
	})
	Convey("A nil meter records nothing", t, func() {
		var d *Duties
		d.Begin("plan")()
		So(d.Take(), ShouldBeNil)
	})
}
