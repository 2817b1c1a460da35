package daemon

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestWithoutRecentAnswer guards against never asking a peer for its list versions although it answers no heartbeats.
// While the store is unavailable, the lists would then become unconfirmed.
func TestWithoutRecentAnswer(t *testing.T) {
	Convey("A peer is omitted only while its last answer is recent, and its record is deleted when it leaves", t, func() {
		now := time.Now()
		a := &answerTimes{sentAt: map[string]time.Time{}}
		a.record("10.0.0.1:8081", now)
		a.record("10.0.0.2:8081", now.Add(-answerValidity-time.Millisecond))
		a.record("10.0.0.3:8081", now)
		So(a.withoutRecentAnswer([]string{"10.0.0.1:8081", "10.0.0.2:8081", "10.0.0.4:8081"}, now), ShouldResemble,
			[]string{"10.0.0.2:8081", "10.0.0.4:8081"})
		So(a.sentAt, ShouldNotContainKey, "10.0.0.3:8081")
	})
}
