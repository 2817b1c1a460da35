package table_test

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/table"
)

// TestClients checks that clients report failed commits and lost responses as the right kind of error.
func TestClients(t *testing.T) {
	Convey("Given a table that is called in process and over HTTP", t, func() {
		mem := table.NewMemory()
		srv := httptest.NewServer(table.Handler(mem))
		Reset(srv.Close)
		ctx := context.Background()
		for name, c := range map[string]table.Client{
			"memory": mem, "http": table.NewHTTPClient(strings.TrimPrefix(srv.URL, "http://"), nil),
		} {
			Convey(name+": a commit whose condition fails writes nothing", func() {
				commitAt := func(key string, at int64) error {
					_, err := c.Commit(ctx, table.Txn{
						Conditions: []table.Condition{{Key: key, Version: at}},
						Ops:        []table.Op{{Key: key, Value: []byte("v")}, {Key: key + "/2"}},
					})
					return err
				}
				So(commitAt("a", 0), ShouldBeNil)
				err := commitAt("a", 0)
				So(errors.Is(err, table.ErrConflict), ShouldBeTrue)
				var conflict *table.ConflictError
				So(errors.As(err, &conflict), ShouldBeTrue)
				So(conflict.Version, ShouldEqual, 1)
				So(commitAt("a", table.AnyVersion), ShouldBeNil)
				rows, err := c.Scan(ctx, "a", "a", 10)
				So(err, ShouldBeNil)
				So(len(rows), ShouldEqual, 1)
				So(rows[0].Key, ShouldEqual, "a/2")
			})
			Convey(name+": a lost response is ErrUnknownOutcome, an outage is ErrUnavailable", func() {
				mem.SetFaults(table.Faults{LoseAnswers: 1})
				_, err := c.Commit(ctx, table.Txn{Ops: []table.Op{{Key: "x", Value: []byte("1")}}})
				So(errors.Is(err, table.ErrUnknownOutcome), ShouldBeTrue)
				r, err := c.Get(ctx, "x")
				So(err, ShouldBeNil)
				So(string(r.Value), ShouldEqual, "1")
				mem.SetFaults(table.Faults{Down: true})
				_, err = c.Commit(ctx, table.Txn{Ops: []table.Op{{Key: "y"}}})
				So(errors.Is(err, table.ErrUnavailable), ShouldBeTrue)
				mem.SetFaults(table.Faults{})
				_, err = c.Get(ctx, "y")
				So(errors.Is(err, table.ErrNotFound), ShouldBeTrue)
			})
		}
	})
}

// TestUnreachableService guards against two failures while packets to the service are dropped: dials that continue after
// their calls have ended and accumulate, and a commit that was not sent but is reported as one that may have taken effect.
func TestUnreachableService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A dial without a response times out before the call does", t, func() {
			var open atomic.Int32
			c := table.NewHTTPClient("127.0.0.1:1", func(ctx context.Context, _, _ string) (net.Conn, error) {
				open.Add(1)
				defer open.Add(-1)
				<-ctx.Done()
				return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
			})
			for _, limit := range []time.Duration{100 * time.Millisecond, time.Second} {
				ctx, cancel := context.WithTimeout(t.Context(), limit)
				_, err := c.Commit(ctx, table.Txn{Ops: []table.Op{{Key: "k"}}})
				cancel()
				So(errors.Is(err, table.ErrUnavailable), ShouldEqual, limit == time.Second)
			}
			time.Sleep(time.Second)
			So(open.Load(), ShouldEqual, 0)
		})
	})
}
