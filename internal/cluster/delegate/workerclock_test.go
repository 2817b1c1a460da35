package delegate

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a restart that goes unnoticed because the clock of the next incarnation is taken for that of the earlier one, and against
// restarts that are only seen because a clock drifts or an answer is late.
func TestWorkerClockContinues(t *testing.T) {
	before := workerClock{known: true, ms: 500_000, askedAt: time.Hour, readAt: time.Hour + 200*time.Millisecond}
	later := func(ms int64, silence, took time.Duration) workerClock {
		askedAt := before.readAt + silence
		return workerClock{known: true, ms: ms, askedAt: askedAt, readAt: askedAt + took}
	}
	Convey("A clock continues at its own rate, be it 2 % slow, whenever the worker read it during the call", t, func() {
		So(before.continues(later(510_000, 10*time.Second, 0)), ShouldBeTrue)
		So(before.continues(later(509_800, 10*time.Second, 0)), ShouldBeTrue)
		So(before.continues(later(510_850, 10*time.Second, 850*time.Millisecond)), ShouldBeTrue)
		So(before.continues(later(510_200, 10*time.Second, 0)), ShouldBeTrue) // the last answer took 200 ms to arrive
	})
	Convey("A clock that went back, or ahead by more than the time that has passed, is another one", t, func() {
		So(before.continues(later(499_000, 10*time.Second, 0)), ShouldBeFalse)
		So(before.continues(later(512_000, 10*time.Second, 0)), ShouldBeFalse)
		So(before.continues(later(500_500, 10*time.Second, 0)), ShouldBeFalse)
	})
	Convey("An answer that overtakes the one before is of the same clock", t, func() { // a start is answered 0.9 s before a long poll, and read after it
		poll := workerClock{known: true, ms: 500_000, askedAt: time.Hour - time.Second, readAt: time.Hour}
		So(poll.continues(workerClock{known: true, ms: 499_100, askedAt: time.Hour - 950*time.Millisecond, readAt: time.Hour + time.Millisecond}), ShouldBeTrue)
	})
	Convey("The first reading continues any clock", t, func() {
		So(workerClock{}.continues(later(1, 0, 0)), ShouldBeTrue)
	})
}
