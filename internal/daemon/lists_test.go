package daemon

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestWithoutRecentAnswer guards against peers that are never asked for the versions of their lists although they answer no
// heartbeats: without the store these lists would go unconfirmed.
func TestWithoutRecentAnswer(t *testing.T) {
	Convey("A peer is left out only while its answers are recent, and is forgotten when it leaves", t, func() {
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
