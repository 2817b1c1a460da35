package ownership

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/session"
	"github.com/greengagewing/greengagewing/table"
)

// TestDeleteEndedSessions guards against rows of replaced daemons that accumulate, and against deleting the row of a
// session that still owns a partition, after which no daemon could ever claim that partition.
func TestDeleteEndedSessions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given sessions that ended, one of which owns a partition", t, func() {
			ctx, cancel := context.WithCancel(t.Context())
			store := table.NewMemory()
			put := func(key string, v any) {
				raw, err := json.Marshal(v)
				So(err, ShouldBeNil)
				_, err = store.Commit(ctx, table.Txn{Ops: []table.Op{{Key: key, Value: raw}}})
				So(err, ShouldBeNil)
			}
			for _, id := range []string{"gone", "owner"} {
				put(session.Key(id), session.Row{ID: id, Incarnation: 1, State: session.Fenced, TTLMS: 4000})
			}
			put(session.Key("other"), session.Row{ID: "other", Incarnation: 1, State: session.Live, TTLMS: 4000})
			put(Key("pool/p/0"), Row{Partition: "pool/p/0", Owner: RowOwner{ID: "owner", Incarnation: 1}, Epoch: 1, State: Owned})
			cfg := session.Config{ID: "self", PeerAddr: "self"}
			o := session.NewObserver(cfg, store, nil, nil)
			m := New(Config{}, store, session.NewKeeper(cfg, store, nil, o.Live), o)
			done := make(chan struct{})
			go func() { o.Run(ctx); close(done) }()
			Reset(func() { cancel(); <-done })
			time.Sleep(2 * time.Second)
			present := func(id string) bool {
				_, err := store.Get(ctx, session.Key(id))
				return !errors.Is(err, table.ErrNotFound)
			}
			So(m.deleteEndedSessions(ctx, time.Now()), ShouldBeNil)
			So(present("gone"), ShouldBeTrue)
			afterRetention := time.Now().Add(endedSessionRetention + time.Second)

			Convey("a stale read deletes nothing", func() {
				store.SetFaults(table.Faults{StaleReads: true})
				put(Key("pool/p/1"), Row{Partition: "pool/p/1", Owner: RowOwner{ID: "gone", Incarnation: 1}, Epoch: 1, State: Owned})
				put(Key("pool/p/0"), Row{Partition: "pool/p/0", Owner: RowOwner{ID: "gone", Incarnation: 1}, Epoch: 2, State: Owned})
				So(errors.Is(m.deleteEndedSessions(ctx, afterRetention), table.ErrConflict), ShouldBeTrue)
				store.SetFaults(table.Faults{})
				So(present("gone"), ShouldBeTrue)
			})
			Convey("only the session that owns no partition is deleted, and observers then forget it", func() {
				So(m.deleteEndedSessions(ctx, afterRetention), ShouldBeNil)
				So(present("gone"), ShouldBeFalse)
				So(present("owner"), ShouldBeTrue)
				So(present("other"), ShouldBeTrue)
				time.Sleep(2 * time.Minute)
				_, known := o.Lookup("gone")
				So(known, ShouldBeFalse)
				_, known = o.Lookup("owner")
				So(known, ShouldBeTrue)
			})
		})
	})
}
