package membership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

type fakeFetcher struct {
	hosts []Host
	err   error
}

func (f *fakeFetcher) Hosts(context.Context) ([]Host, error) { return f.hosts, f.err }

// TestList guards against work for a leaving endpoint that the lagging list still shows live, against an outage of the
// list that empties it, and against taking an unread list as proof that a host is gone.
func TestList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a list with a minion and a daemon", t, func() {
			f := &fakeFetcher{hosts: []Host{
				{ID: "m1", Kind: KindMinion, ServiceOrPool: "textos", State: "live"},
				{ID: "d1", Addr: "127.0.0.1:1", Kind: KindDaemon, State: "live"},
			}}
			l := NewList(f)
			l.Poll(t.Context())
			Convey("an endpoint's own word goes before the list, for a while", func() {
				l.ReportLeaving("m1")
				So(l.Minions("textos")[0].Leaving, ShouldBeTrue)
				l.Poll(t.Context())
				So(l.Minions("textos")[0].Leaving, ShouldBeTrue)
				time.Sleep(reportHold + time.Second)
				l.Poll(t.Context())
				So(l.Minions("textos")[0].Leaving, ShouldBeFalse)
			})
			Convey("an outage of the list keeps the last one", func() {
				f.err = ErrUnavailable
				l.Poll(t.Context())
				So(len(l.Minions("textos")), ShouldEqual, 1)
			})
			Convey("only a fresh list proves that a host is gone", func() {
				gone := func(addr string) bool {
					listed, known := l.HostListed(addr)
					return known && !listed
				}
				So(gone("127.0.0.1:1"), ShouldBeFalse)
				So(gone("127.0.0.1:9"), ShouldBeFalse)
				f.hosts = nil
				l.Poll(t.Context())
				So(gone("127.0.0.1:1"), ShouldBeTrue)
				time.Sleep(freshFor)
				So(gone("127.0.0.1:1"), ShouldBeFalse)
			})
			Convey("a report of another daemon counts but is not passed on", func() {
				l.HearLeaving([]string{"m1"})
				So(l.Minions("textos")[0].Leaving, ShouldBeTrue)
				So(l.Reported(), ShouldBeEmpty)
			})
		})
	})
}
