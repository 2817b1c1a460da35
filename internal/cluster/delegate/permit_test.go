package delegate

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
)

// Guards against leases that outlive the owner's bound for a released worker: a delegate that is paused between the receipt and the
// application of a release extends them by the permit that came with it.
func TestPermitCountsOnceOrdersAreApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a session with a worker whose permit has expired", t, func() {
			owner, clock := newFakeOwner(), newTestClock()
			m := &SessionManager{Config: testConfig, Deps: Deps{Client: &fakeWorkers{}, Clock: clock.since, Log: zap.NewNop()}, Client: owner, Host: "h1"}
			s := &session{manager: m, owner: Owner{Addr: "o", Epoch: testEpoch}, id: "h1-1", eventsReady: make(chan struct{}, 1)}
			s.agent = newAgent(t.Context(), m.Config, m.Deps, testEpoch, s.permitValid, s.emit)
			defer s.agent.Close()
			owner.addOrders(assign("w1"))
			first, err := s.requestOrders(t.Context())
			So(err, ShouldBeNil)
			s.apply(first)
			So(s.permitValid(), ShouldBeTrue)
			clock.suspend(PermitLimit)
			So(s.permitValid(), ShouldBeFalse)
			Convey("The permit of an answer with a release counts only once the worker is released", func() {
				owner.addOrders(Order{Release: "w1"})
				b, err := s.requestOrders(t.Context())
				So(err, ShouldBeNil)
				So(s.permitValid(), ShouldBeFalse)
				s.apply(b)
				So(s.permitValid(), ShouldBeTrue)
				So(s.agent.Workers(), ShouldEqual, 0)
			})
			Convey("An answer without a permit, since further orders follow, leaves the permit as it is", func() {
				b, err := s.requestOrders(t.Context())
				So(err, ShouldBeNil)
				s.apply(b)
				owner.update(func() { owner.permit = 0 })
				time.Sleep(PermitLimit / 2)
				b, err = s.requestOrders(t.Context())
				So(err, ShouldBeNil)
				s.apply(b)
				So(s.permitValid(), ShouldBeTrue)
				time.Sleep(PermitLimit / 2)
				So(s.permitValid(), ShouldBeFalse)
			})
		})
	})
}
