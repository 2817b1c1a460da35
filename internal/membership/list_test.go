package membership

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// fakeFetcher returns fixed hosts or an error.
type fakeFetcher struct {
	hosts []Host
	err   error
}

func (f *fakeFetcher) Hosts(context.Context) ([]Host, error) { return f.hosts, f.err }

// TestList guards against assigning work to a leaving endpoint that the lagging list still shows as live, against an
// outage that empties the list, and against treating a list that could not be read as proof that a host is gone.
func TestList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a list with a minion and a daemon", t, func() {
			f := &fakeFetcher{hosts: []Host{
				{ID: "m1", Kind: KindMinion, ServiceOrPool: "textos", State: "live"},
				{ID: "d1", Addr: "127.0.0.1:1", Kind: KindDaemon, State: "live"},
			}}
			l := NewList(f)
			l.Poll(t.Context())
			Convey("an endpoint's report overrides the list for a while, and longer while the list cannot be read", func() {
				l.ReportLeaving("m1")
				So(l.Minions("textos")[0].Leaving, ShouldBeTrue)
				l.Poll(t.Context())
				So(l.Minions("textos")[0].Leaving, ShouldBeTrue)
				time.Sleep(reportPrecedence + time.Second)
				f.err = ErrUnavailable
				l.Poll(t.Context())
				l.ReportLeaving("m2") // a new report rebuilds the groups
				So(l.Minions("textos")[0].Leaving, ShouldBeTrue)
				f.err = nil
				l.Poll(t.Context())
				So(l.Minions("textos")[0].Leaving, ShouldBeFalse)
			})
			Convey("the last list stays in use while the list cannot be read", func() {
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
				time.Sleep(evidenceMaxAge)
				So(gone("127.0.0.1:1"), ShouldBeFalse)
			})
			Convey("a report passed on by another daemon takes effect but is not passed on again", func() {
				l.RecordPeerReports([]string{"m1"})
				So(l.Minions("textos")[0].Leaving, ShouldBeTrue)
				So(l.OwnLeavingReports(), ShouldBeEmpty)
			})
		})
	})
}

// TestHTTPFetcher guards against treating a changed list as unchanged, and against treating an outage as an empty list.
func TestHTTPFetcher(t *testing.T) {
	Convey("Given a platform that supplies entity tags", t, func() {
		version, fullResponses, status := 1, 0, http.StatusOK
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			etag := strconv.Quote(strconv.Itoa(version))
			w.Header().Set("ETag", etag)
			switch {
			case status != http.StatusOK:
				w.WriteHeader(status)
			case r.Header.Get("If-None-Match") == etag:
				w.WriteHeader(http.StatusNotModified)
			default:
				fullResponses++
				_, _ = fmt.Fprintf(w, `{"hosts":[{"id":"m%d"}]}`, version)
			}
		}))
		Reset(srv.Close)
		f := NewHTTPFetcher(strings.TrimPrefix(srv.URL, "http://"), srv.Client())
		id := func() string {
			hosts, err := f.Hosts(t.Context())
			So(err, ShouldBeNil)
			return hosts[0].ID
		}
		So([]string{id(), id(), id()}, ShouldResemble, []string{"m1", "m1", "m1"})
		So(fullResponses, ShouldEqual, 1)
		version = 2
		So(id(), ShouldEqual, "m2")
		status = http.StatusServiceUnavailable
		_, err := f.Hosts(t.Context())
		So(errors.Is(err, ErrUnavailable), ShouldBeTrue)
		status = http.StatusOK
		So(id(), ShouldEqual, "m2")
		So(fullResponses, ShouldEqual, 2)
	})
}
