package worker

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestHTTPClient guards against ErrNotDelivered for an order that the worker may have carried out, against an order
// that is sent twice, and against changes of the message format.
func TestHTTPClient(t *testing.T) {
	Convey("Given a worker over HTTP", t, func() {
		var calls atomic.Int32
		var path, body string
		handler := func(w http.ResponseWriter, _ *http.Request) {}
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			raw, _ := io.ReadAll(r.Body)
			path, body = r.URL.Path, string(raw)
			handler(w, r)
		}))
		c := NewHTTPClient(new(net.Dialer).DialContext)
		Reset(func() { c.Close(); srv.Close() })
		addr, ctx := strings.TrimPrefix(srv.URL, "http://"), context.Background()

		Convey("messages have the documented format", func() {
			So(c.Start(ctx, addr, Start{TaskID: "a-0", Attempt: 2, Epoch: 3, LeaseMS: 15000, Kind: "batch"}), ShouldBeNil)
			So(path, ShouldEqual, "/v1/tasks")
			So(body, ShouldEqual, `{"task_id":"a-0","attempt":2,"epoch":3,"lease_ms":15000,`+
				`"resources":{"cpu_milli":0,"memory_mb":0,"accelerators":0},"kind":"batch","run_ms":0}`)
			So(c.Checkpoint(ctx, addr, "a-0", Order{Attempt: 2, Epoch: 3}), ShouldBeNil)
			So(path, ShouldEqual, "/v1/tasks/a-0/checkpoint")
			So(c.Ack(ctx, addr, Ack{Epoch: 3, Tasks: []TaskRef{{"a-0", 2}}}), ShouldBeNil)
			So(body, ShouldEqual, `{"epoch":3,"tasks":[{"task_id":"a-0","attempt":2}]}`)
		})
		Convey("a renewal returns the report", func() {
			handler = func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(Report{WorkerID: "w"}) }
			rep, err := c.Renew(ctx, addr, Renew{Epoch: 1})
			So(err, ShouldBeNil)
			So(rep.WorkerID, ShouldEqual, "w")
		})
		Convey("a refused order and a failed dial return ErrNotDelivered", func() {
			handler = func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(HeaderLeaving, "true")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			err := c.Start(ctx, addr, Start{})
			So(errors.Is(err, ErrLeaving) && errors.Is(err, ErrNotDelivered), ShouldBeTrue)
			handler = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) }
			So(errors.Is(c.Start(ctx, addr, Start{}), ErrStaleEpoch), ShouldBeTrue)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			_ = l.Close()
			So(errors.Is(c.Start(ctx, l.Addr().String(), Start{}), ErrNotDelivered), ShouldBeTrue)
		})
		Convey("a connection that breaks returns ErrResponseLost, and the order is sent only once", func() {
			So(c.Start(ctx, addr, Start{}), ShouldBeNil) // leaves an idle connection, which the next call uses
			calls.Store(0)
			handler = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
			So(errors.Is(c.Start(ctx, addr, Start{}), ErrResponseLost), ShouldBeTrue)
			So(calls.Load(), ShouldEqual, 1)
		})
		Convey("a worker that does not respond in time returns ErrResponseLost", func() {
			unblock := make(chan struct{})
			handler = func(http.ResponseWriter, *http.Request) { <-unblock }
			So(errors.Is(c.Start(ctx, addr, Start{}), ErrResponseLost), ShouldBeTrue)
			close(unblock)
		})
	})
}
