package daemon

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestAnswered guards against peers that are never asked for the versions of their lists although they answer no
// heartbeats: without the store these lists would go unconfirmed.
func TestAnswered(t *testing.T) {
	Convey("A peer is left out only while its answers are recent, and is forgotten when it leaves", t, func() {
		now := time.Now()
		a := &answered{asked: map[string]time.Time{}}
		a.note("10.0.0.1:8081", now)
		a.note("10.0.0.2:8081", now.Add(-heardFor-time.Millisecond))
		a.note("10.0.0.3:8081", now)
		So(a.missing([]string{"10.0.0.1:8081", "10.0.0.2:8081", "10.0.0.4:8081"}, now), ShouldResemble,
			[]string{"10.0.0.2:8081", "10.0.0.4:8081"})
		So(a.asked, ShouldNotContainKey, "10.0.0.3:8081")
	})
}
