package coordinator

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/delegate"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/wire"
)

// Guards against leases that outlive the owner's bound for a released worker: a delegate with more orders than share a message gets a
// longer permit before it gets the release.
func TestNoPermitBeforeARelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a delegate that loses a worker behind orders that fill a message", t, func() {
			o := runOwner(t, rowstore.NewMemory(), 0, 1)
			defer o.end()
			a := o.testDelegate(t, "a")
			a.serve(400 * time.Millisecond)
			tm := o.current()
			tm.mu.Lock()
			ex := tm.assigner.remote["a"]
			ex.send(delegate.Order{Start: &delegate.StartOrder{WorkerID: "w0", Payload: strings.Repeat("x", wire.MaxBatchBytes)}})
			ex.send(delegate.Order{Release: "w0"})
			ex.send(delegate.Order{Ack: &delegate.Ack{WorkerID: "w0"}})
			tm.mu.Unlock()
			fetch := func() delegate.OrderBatch {
				b, err := o.FetchOrders(t.Context(), delegate.OrdersRequest{Host: "a", Session: a.session, Epoch: o.ownership.Epoch(), After: a.after, Now: o.clock()})
				So(err, ShouldBeNil)
				a.after = b.Last
				return b
			}
			before := fetch()
			So(before.Orders, ShouldHaveLength, 1)
			So(before.Permit, ShouldBeZeroValue)
			with := fetch()
			So(with.Orders, ShouldHaveLength, 2)
			So(with.Permit, ShouldBeGreaterThan, delegate.PermitLimit/2)
		})
	})
}
