package coordinator

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against an owner that slows its delegates down, or turns callers away, although it has processor time left, and against one
// that does neither when it falls behind.
func TestPressureFollowsProcessorUse(t *testing.T) {
	Convey("The pressure is 0 while enough processor time is left and 1 when it is used up", t, func() {
		So(pressureLevel(0.5, 0.001), ShouldEqual, 0)
		So(pressureLevel(0.75, 0.001), ShouldBeBetween, 0, 1)
		So(pressureLevel(0.95, 0.001), ShouldEqual, 1)
	})
	Convey("It is 1 if timers fire late, even if the use of the processors is unknown", t, func() {
		So(share(time.Second, time.Second, 0), ShouldEqual, 0)
		So(pressureLevel(0, 2*highLag.Seconds()), ShouldEqual, 1)
	})
	Convey("It stretches the interval between the calls of a delegate", t, func() {
		var p pressure
		So(p.callInterval(10*time.Millisecond), ShouldEqual, 10*time.Millisecond)
		So(p.shedding(), ShouldBeFalse)
		p.setLevel(1)
		So(p.callInterval(10*time.Millisecond), ShouldEqual, maxCallIntervalFactor*10*time.Millisecond)
		So(p.shedding(), ShouldBeTrue)
	})
}
