package frontend

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/cluster/coordinator"
	"github.com/greengagewing/greengagewing/internal/cluster/election"
	"github.com/greengagewing/greengagewing/internal/cluster/peers"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
	"github.com/greengagewing/greengagewing/internal/network"
)

// fakeOwner answers lookups as the owner, and counts them.
type fakeOwner struct {
	lookups atomic.Int64
	busy    atomic.Bool
}

func (o *fakeOwner) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	o.lookups.Add(1)
	_ = json.NewEncoder(w).Encode(peers.LookupAnswer{Known: true, State: workload.Running, OwnerBusy: o.busy.Load()})
}

// Guards against callers that keep a busy owner from catching up, by asking it for the states of their jobs ever more often.
func TestBusyOwnerIsNotAskedForStates(t *testing.T) {
	Convey("Given an accepted job and an owner that answers lookups", t, func() {
		owner := &fakeOwner{}
		server := httptest.NewServer(owner)
		defer server.Close()
		watch := election.NewWatch(zap.NewNop())
		row, err := json.Marshal(election.Owner{Identity: election.Identity{Host: "o", Addr: strings.TrimPrefix(server.URL, "http://"), BootID: "b"}, Epoch: 1})
		So(err, ShouldBeNil)
		watch.Apply([]rowstore.Row{{Key: rowstore.Key{Table: election.OwnerTable, Partition: election.Partition, Name: "owner"}, Value: row, Version: 1}})
		s := New(Deps{Store: rowstore.NewMemory(), Roster: peers.NewRoster(zap.NewNop()), Log: zap.NewNop(), Metrics: tally.NoopScope, Watch: watch,
			Coordinator: coordinator.New(coordinator.Config{}, coordinator.Deps{}), Peers: peers.NewClient(network.TCP())})
		defer s.Peers.Close()
		_, err = s.StoreJob(context.Background(), &workload.Spec{ID: testJob, Steps: []workload.Step{{Count: 1}}}, workload.Access{}, 0)
		So(err, ShouldBeNil)
		lookup := func() workload.State {
			state, err := s.Lookup(context.Background(), testJob, workload.Access{})
			So(err, ShouldBeNil)
			return state
		}
		Convey("it is asked while it has time", func() {
			So(lookup(), ShouldEqual, workload.Running)
			So(lookup(), ShouldEqual, workload.Running)
			So(owner.lookups.Load(), ShouldEqual, 2)
		})
		Convey("once it has said that it is busy, the store is asked instead", func() {
			owner.busy.Store(true)
			So(lookup(), ShouldEqual, workload.Running)
			So(lookup(), ShouldEqual, workload.Queued)
			So(owner.lookups.Load(), ShouldEqual, 1)
		})
	})
	Convey("What a process has said expires, and holds for that process only", t, func() {
		var b ownerBusy
		now := time.Unix(1_700_000_000, 0)
		b.record("a", true, now)
		So(b.at("a", now), ShouldBeTrue)
		So(b.at("b", now), ShouldBeFalse)
		So(b.at("a", now.Add(busyExpiry)), ShouldBeFalse)
	})
}
