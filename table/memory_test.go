package table_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/table"
)

// TestClients guards against a client that reports a failed or lost commit as the wrong kind of error.
func TestClients(t *testing.T) {
	Convey("Given a table reached in process and over HTTP", t, func() {
		mem := table.NewMemory()
		srv := httptest.NewServer(table.Handler(mem))
		Reset(srv.Close)
		ctx := context.Background()
		for name, c := range map[string]table.Client{
			"memory": mem, "http": table.NewHTTPClient(strings.TrimPrefix(srv.URL, "http://"), nil),
		} {
			Convey(name+": conditions are all or nothing", func() {
				put := func(key string, at int64) error {
					_, err := c.Commit(ctx, table.Txn{
						Conditions: []table.Condition{{Key: key, Version: at}},
						Ops:        []table.Op{{Key: key, Value: []byte("v")}, {Key: key + "/2"}},
					})
					return err
				}
				So(put("a", 0), ShouldBeNil)
				err := put("a", 0)
				So(errors.Is(err, table.ErrConflict), ShouldBeTrue)
				var conflict *table.ConflictError
				So(errors.As(err, &conflict), ShouldBeTrue)
				So(conflict.Version, ShouldEqual, 1)
				So(put("a", table.AnyVersion), ShouldBeNil)
				rows, err := c.Scan(ctx, "a", "a", 10)
				So(err, ShouldBeNil)
				So(len(rows), ShouldEqual, 1)
				So(rows[0].Key, ShouldEqual, "a/2")
			})
			Convey(name+": a lost answer is an unknown outcome and an outage is not", func() {
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
