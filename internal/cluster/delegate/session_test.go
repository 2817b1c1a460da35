package delegate

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
)

// Guards against a delegate that calls workers after its permit has expired because it was suspended or can't reach its owner.
func TestNoCallsWithoutValidPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a delegate with a worker", t, func() {
			a := startDelegate(t.Context())
			defer a.stop()
			a.owner.addOrders(assign("w1"))
			time.Sleep(time.Second)
			before, _, _ := a.workers.counts()
			So(before, ShouldBeGreaterThan, 0)
			Convey("when the owner stops answering, the calls to workers end when the permit expires", func() {
				a.owner.update(func() { a.owner.unreachable = true })
				time.Sleep(2 * time.Second)
				last, _, _ := a.workers.counts()
				time.Sleep(5 * time.Second)
				now, _, _ := a.workers.counts()
				So(now, ShouldEqual, last)
				Convey("and they resume in a new session once the owner answers", func() {
					a.owner.update(func() { a.owner.unreachable, a.owner.orders = false, []Order{assign("w1")} })
					time.Sleep(3 * time.Second)
					again, _, _ := a.workers.counts()
					So(again, ShouldBeGreaterThan, now)
					So(a.owner.sessionCount(), ShouldEqual, 2)
				})
			})
			Convey("when its host resumes after a suspension, it calls no worker before it has a new permit", func() {
				a.owner.addOrders(startOn("w1", 0))
				a.owner.update(func() { a.owner.unreachable = true })
				a.clock.suspend(4 * time.Second)
				renews, _, _ := a.workers.counts()
				time.Sleep(2 * time.Second)
				now, starts, _ := a.workers.counts()
				So(starts, ShouldEqual, 0)
				So(now, ShouldEqual, renews)
			})
		})
	})
}

// Guards against orders that are carried out twice, and events that are lost or delivered twice, when answers between owner
// and delegate are lost.
func TestLostAnswersCauseNoDuplicates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a delegate and an owner whose answers are lost for a while", t, func() {
			a := startDelegate(t.Context())
			defer a.stop()
			a.owner.addOrders(assign("w1"))
			time.Sleep(time.Second)
			a.owner.update(func() { a.owner.losingAnswers = true })
			for i := range 5 {
				a.owner.addOrders(startOn("w1", i))
				time.Sleep(100 * time.Millisecond)
			}
			a.owner.update(func() { a.owner.losingAnswers = false })
			time.Sleep(2 * time.Second)
			Convey("each start is sent to the worker once and the owner receives its outcome once", func() {
				_, starts, _ := a.workers.counts()
				So(starts, ShouldEqual, 5)
				outcomes := map[int]int{}
				for _, e := range a.owner.events() {
					if e.Started != nil {
						outcomes[e.Started.Task.Index]++
						So(e.Started.Outcome, ShouldEqual, scheduler.StartAccepted)
					}
				}
				So(outcomes, ShouldResemble, map[int]int{0: 1, 1: 1, 2: 1, 3: 1, 4: 1})
			})
		})
	})
}

// Guards against a delegate that stops without notifying its owner, which would find its workers without a delegate only
// after a timeout.
func TestStoppingDelegateNotifiesOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A delegate that stops notifies the owner and calls no worker afterwards", t, func() {
			a := startDelegate(t.Context())
			a.owner.addOrders(assign("w1"))
			time.Sleep(time.Second)
			a.stop()
			So(a.owner.leaving, ShouldBeTrue)
			last, _, _ := a.workers.counts()
			time.Sleep(3 * time.Second)
			now, _, _ := a.workers.counts()
			So(now, ShouldEqual, last)
		})
	})
}

// Guards against a takeover that takes a second longer because hosts send their first request before the new owner has read
// its jobs, and then wait as long as for an owner that has no work for them.
func TestNewOwnerIsRetriedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given an owner that can't answer its delegates during its first 0.4 s", t, func() {
			a := startDelegateWith(t.Context(), func(o *fakeOwner) { o.notOwner = true })
			defer a.stop()
			a.owner.addOrders(assign("w1"))
			time.Sleep(400 * time.Millisecond)
			a.owner.update(func() { a.owner.notOwner = false })
			time.Sleep(150 * time.Millisecond)
			Convey("the delegate calls its worker within 0.15 s after that", func() {
				renews, _, _ := a.workers.counts()
				So(renews, ShouldBeGreaterThan, 0)
			})
		})
	})
}

// Guards against a takeover that is delayed by a pending call to the previous owner, which does not answer.
func TestOwnerChangeAbortsPendingCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a delegate whose owner has stopped answering", t, func() {
			a := startDelegate(t.Context())
			defer a.stop()
			a.owner.addOrders(assign("w1"))
			time.Sleep(time.Second)
			a.owner.update(func() { a.owner.unreachable = true })
			time.Sleep(300 * time.Millisecond)
			Convey("it opens a session with the next owner as soon as it learns of it", func() {
				a.epoch.Store(testEpoch + 1)
				a.owner.update(func() { a.owner.unreachable = false })
				time.Sleep(100 * time.Millisecond)
				So(a.owner.sessionCount(), ShouldEqual, 2)
			})
		})
	})
}

// Guards against a delegate that continues to work for an owner that has been replaced.
func TestSessionEndsWhenOwnerIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a delegate whose owner answers that it is no longer the owner", t, func() {
			a := startDelegate(t.Context())
			defer a.stop()
			a.owner.addOrders(assign("w1"))
			time.Sleep(time.Second)
			a.owner.update(func() { a.owner.notOwner = true })
			time.Sleep(300 * time.Millisecond)
			last, _, _ := a.workers.counts()
			time.Sleep(3 * time.Second)
			Convey("it calls no worker any more, although its permit is still valid", func() {
				now, _, _ := a.workers.counts()
				So(now, ShouldEqual, last)
			})
		})
	})
}
