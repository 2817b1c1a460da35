package delegate

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
)

// Guards against a delegate that was suspended, or can't reach its owner, and acts on a permit that has run out.
func TestNoCallsWithoutValidPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a delegate with a worker", t, func() {
			a := startDelegate(t.Context())
			defer a.stop()
			a.owner.addOrders(assign("w1"))
			time.Sleep(time.Second)
			before, _, _ := a.workers.counts()
			So(before, ShouldBeGreaterThan, 0)
			Convey("whose owner stops answering, its calls end with the permit", func() {
				a.owner.update(func() { a.owner.unreachable = true })
				time.Sleep(2 * time.Second)
				last, _, _ := a.workers.counts()
				time.Sleep(5 * time.Second)
				now, _, _ := a.workers.counts()
				So(now, ShouldEqual, last)
				Convey("and begin again with a new session", func() {
					a.owner.update(func() { a.owner.unreachable, a.owner.orders = false, []Order{assign("w1")} })
					time.Sleep(3 * time.Second)
					again, _, _ := a.workers.counts()
					So(again, ShouldBeGreaterThan, now)
					So(a.owner.sessionCount(), ShouldEqual, 2)
				})
			})
			Convey("that is suspended, nothing is sent after it wakes until it has another permit", func() {
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

// Guards against orders that are carried out twice and events that are lost or counted twice when answers get lost.
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
			Convey("each start is sent once and its outcome comes once", func() {
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

// Guards against a delegate that stops and leaves its workers to be missed.
func TestStoppingDelegateNotifiesOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A delegate that stops tells the owner, and sends nothing more", t, func() {
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

// Guards against a takeover that takes a second longer because the hosts ask a new owner before it has read its jobs.
func TestNewOwnerIsRetriedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given an owner that can't answer its delegates for 0.4 s yet", t, func() {
			a := startDelegateWith(t.Context(), func(o *fakeOwner) { o.notOwner = true })
			defer a.stop()
			a.owner.addOrders(assign("w1"))
			time.Sleep(400 * time.Millisecond)
			a.owner.update(func() { a.owner.notOwner = false })
			time.Sleep(150 * time.Millisecond)
			Convey("its workers are called 0.15 s later", func() {
				renews, _, _ := a.workers.counts()
				So(renews, ShouldBeGreaterThan, 0)
			})
		})
	})
}

// Guards against a takeover that waits for calls to the owner before it, which is silent.
func TestOwnerChangeAbortsPendingCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a delegate whose owner has fallen silent", t, func() {
			a := startDelegate(t.Context())
			defer a.stop()
			a.owner.addOrders(assign("w1"))
			time.Sleep(time.Second)
			a.owner.update(func() { a.owner.unreachable = true })
			time.Sleep(300 * time.Millisecond)
			Convey("it attends the next one as soon as it learns of it", func() {
				a.epoch.Store(testEpoch + 1)
				a.owner.update(func() { a.owner.unreachable = false })
				time.Sleep(100 * time.Millisecond)
				So(a.owner.sessionCount(), ShouldEqual, 2)
			})
		})
	})
}

// Guards against a delegate that goes on for an owner which has been replaced.
func TestSessionEndsWhenOwnerIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a delegate whose owner says that it is none any more", t, func() {
			a := startDelegate(t.Context())
			defer a.stop()
			a.owner.addOrders(assign("w1"))
			time.Sleep(time.Second)
			a.owner.update(func() { a.owner.notOwner = true })
			time.Sleep(300 * time.Millisecond)
			last, _, _ := a.workers.counts()
			time.Sleep(3 * time.Second)
			Convey("nothing is sent any more, though the permit would last", func() {
				now, _, _ := a.workers.counts()
				So(now, ShouldEqual, last)
			})
		})
	})
}
