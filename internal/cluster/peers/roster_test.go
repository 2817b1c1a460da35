package peers

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/cluster/election"
	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
)

// lateStore performs commits only when the test says so, and answers none.
type lateStore struct {
	*rowstore.Memory
	pending []rowstore.Txn
}

func (s *lateStore) Commit(_ context.Context, txn rowstore.Txn) (int64, error) {
	s.pending = append(s.pending, txn)
	return 0, rowstore.ErrUnknownOutcome
}

// Guards against a successor that takes the previous owner for gone while it goes on, since the registration of an earlier process of its
// host takes effect late.
func TestLateRegistrationDoesNotReplaceAProcess(t *testing.T) {
	Convey("Given an owner whose host has a registration of an earlier process, which takes effect only after the claim", t, func() {
		ctx := t.Context()
		memory := rowstore.NewMemory()
		owner := rowstore.Txn{Puts: []rowstore.Put{{Key: rowstore.Key{Table: election.OwnerTable, Partition: election.Partition, Name: "owner"}}}}
		_, err := memory.Commit(ctx, owner)
		So(err, ShouldBeNil)
		store := &lateStore{Memory: memory}
		process := func(boot string) Host {
			return Host{Identity: election.Identity{Host: "h1", Addr: "h1", BootID: boot}, Started: time.Now()}
		}
		first, cancel := context.WithTimeout(ctx, time.Millisecond)
		defer cancel()
		Register(first, store, process("first"), zap.NewNop())
		So(store.pending, ShouldNotBeEmpty)
		claimed, err := memory.Commit(ctx, owner)
		So(err, ShouldBeNil)
		_, err = memory.Commit(ctx, store.pending[0])
		So(err, ShouldBeNil)
		roster := NewRoster(zap.NewNop())
		read := func() {
			rows, _, err := rowstore.ReadAll(ctx, memory, records.Hosts, "")
			So(err, ShouldBeNil)
			So(rows, ShouldHaveLength, 1)
			roster.Snapshot(rows)
		}
		read()
		Convey("That registration does not show that the owner's process is gone", func() {
			So(roster.Replaced("h1", "owner", claimed), ShouldBeFalse)
		})
		Convey("The registration of a process that has started after the claim does", func() {
			Register(ctx, memory, process("next"), zap.NewNop())
			read()
			So(roster.Replaced("h1", "owner", claimed), ShouldBeTrue)
			So(roster.Replaced("h1", "next", claimed), ShouldBeFalse)
		})
		Convey("That of an earlier release counts from its row", func() {
			value, err := records.Encode(process("earlier release"))
			So(err, ShouldBeNil)
			_, err = memory.Commit(ctx, rowstore.Txn{Puts: []rowstore.Put{{Key: records.HostKey("h1"), Value: value}}})
			So(err, ShouldBeNil)
			read()
			So(roster.Replaced("h1", "owner", claimed), ShouldBeTrue)
		})
	})
}
