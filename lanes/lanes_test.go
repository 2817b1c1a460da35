package lanes_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/greengagewing/greengagewing/lanes"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

var startTime = time.Time{}

// TestQueueProperties guards against items that are lost or returned twice, items that start after their deadline, and
// lanes that use more slots than their limits allow, under any order of calls.
func TestQueueProperties(t *testing.T) {
	Convey("Any sequence of calls", t, func() { rapid.Check(t, checkRandomCalls) })
}

func checkRandomCalls(t *rapid.T) {
	total := rapid.IntRange(1, 20).Draw(t, "slots")
	q := lanes.New[int](lanes.Config{MaxItems: 10, MaxWait: 50 * time.Second})
	q.SetSlots(total)
	var waiting, running []*lanes.Ticket[int]
	departures := map[int]int{} // how often each item left the queue for good
	var offered, lent, now int
	removeRandom := func(ts *[]*lanes.Ticket[int], label string) *lanes.Ticket[int] {
		if len(*ts) == 0 {
			return nil
		}
		i := rapid.IntRange(0, len(*ts)-1).Draw(t, label)
		defer func() { *ts = append((*ts)[:i:i], (*ts)[i+1:]...) }()
		return (*ts)[i]
	}
	at := func() time.Time { return startTime.Add(time.Duration(now) * time.Second) }
	for range rapid.IntRange(1, 200).Draw(t, "steps") {
		switch rapid.IntRange(0, 8).Draw(t, "step") {
		case 0, 1, 2:
			end := at().Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "patience")) * time.Second)
			customer := fmt.Sprint("c", rapid.IntRange(0, 3).Draw(t, "customer"))
			if tk, err := q.Enqueue(at(), customer, lanes.Lane(rapid.IntRange(0, 2).Draw(t, "lane")), end, offered); err == nil {
				offered++
				waiting = append(waiting, tk)
			}
		case 3:
			if n := len(waiting); n > 0 {
				q.MarkReady(waiting[rapid.IntRange(0, n-1).Draw(t, "ready")])
			}
		case 4:
			if tk := q.Next(at()); tk != nil {
				if !tk.Deadline.After(at()) {
					t.Fatal("item was started after its deadline")
				}
				running = append(running, tk)
			}
		case 5:
			if tk := removeRandom(&running, "end"); tk != nil {
				q.Release(tk)
				q.RecordRunTime(at(), tk.Customer, tk.Class, tk.Lane, time.Duration(rapid.IntRange(1, 1000).Draw(t, "run")))
				departures[tk.Value]++
			}
		case 6:
			if tk := removeRandom(&running, "requeue"); tk != nil {
				q.Requeue(tk)
			}
		case 7:
			if tk := removeRandom(&waiting, "remove"); tk != nil && q.Remove(tk) {
				departures[tk.Value]++
			}
			if q.LendSlot(lanes.Bulk) {
				lent++
			} else if lent > 0 {
				lent--
				q.ReturnSlot(lanes.Bulk)
			}
		default:
			now += rapid.IntRange(0, 20).Draw(t, "wait")
			for _, tk := range q.TakeExpired(at()) {
				departures[tk.Value]++
			}
		}
		r := q.Running()
		low := r[lanes.Normal] + r[lanes.Bulk]
		if r[0]+low > total || low > max(1, total*80/100) || r[lanes.Bulk] > max(1, total*50/100) {
			t.Fatalf("limits exceeded: %v of %d slots in use", r, total)
		}
	}
	for _, tk := range append(q.RemoveAll(), running...) {
		departures[tk.Value]++
	}
	for i := range offered {
		if departures[i] != 1 {
			t.Fatalf("item %d left the queue %d times", i, departures[i])
		}
	}
}

// enqueueReady adds an item that is ready to run.
func enqueueReady(q *lanes.Queue[string], customer string, l lanes.Lane, v string) error {
	tk, err := q.Enqueue(startTime, customer, l, startTime.Add(time.Hour), v)
	if err == nil {
		q.MarkReady(tk)
	}
	return err
}

// TestFairness guards against one customer's flood that delays or displaces another customer's items.
func TestFairness(t *testing.T) {
	Convey("A customer's only item waits for at most one item of a flood", t, func() {
		q := lanes.New[string](lanes.Config{MaxItems: 100})
		q.SetSlots(1)
		for range 50 {
			So(enqueueReady(q, "flood", lanes.Urgent, "f"), ShouldBeNil)
		}
		So(enqueueReady(q, "flood", lanes.Urgent, "f"), ShouldEqual, lanes.ErrFull)
		So(enqueueReady(q, "other", lanes.Urgent, "o"), ShouldBeNil)
		first := q.Next(startTime)
		q.Release(first)
		second := q.Next(startTime)
		So(first.Value+second.Value, ShouldContainSubstring, "o")
	})
	Convey("Customers get equal run time, not equal numbers of items", t, func() {
		q := lanes.New[string](lanes.Config{MaxItems: 10_000})
		q.SetSlots(1)
		for range 100 {
			q.RecordRunTime(startTime, "short", lanes.Normal, lanes.Normal, time.Millisecond)
			q.RecordRunTime(startTime, "mid", lanes.Normal, lanes.Normal, 4*time.Millisecond)
		}
		for range 1000 {
			So(enqueueReady(q, "short", lanes.Normal, "short"), ShouldBeNil)
			So(enqueueReady(q, "mid", lanes.Normal, "mid"), ShouldBeNil)
		}
		n := map[string]int{}
		for range 500 {
			tk := q.Next(startTime)
			n[tk.Value]++
			q.Release(tk)
		}
		So(n["short"], ShouldBeBetweenOrEqual, 390, 410)
	})
	Convey("A requeued item keeps its position", t, func() {
		q := lanes.New[string](lanes.Config{})
		q.SetSlots(1)
		So(enqueueReady(q, "c", lanes.Urgent, "first"), ShouldBeNil)
		So(enqueueReady(q, "c", lanes.Urgent, "second"), ShouldBeNil)
		q.Requeue(q.Next(startTime))
		So(q.Next(startTime).Value, ShouldEqual, "first")
	})
	Convey("Lower lanes are not starved by a sustained load of urgent items", t, func() {
		q := lanes.New[string](lanes.Config{})
		q.SetSlots(10)
		for range 100 {
			So(enqueueReady(q, "u", lanes.Urgent, "u"), ShouldBeNil)
		}
		So(enqueueReady(q, "b", lanes.Bulk, "b"), ShouldBeNil)
		So(q.Next(startTime).Value, ShouldEqual, "b")
		So(q.Next(startTime).Value, ShouldEqual, "u")
	})
}

// TestDemotion guards against long items that stay in the urgent lane, and against a flood of long items that shifts
// the median.
func TestDemotion(t *testing.T) {
	Convey("A customer far above the median is demoted, and promoted again when its run times fall", t, func() {
		q := lanes.New[string](lanes.Config{})
		for range 200 {
			q.RecordRunTime(startTime, "early", lanes.Urgent, lanes.Urgent, time.Second) // the only customer, so the median is its own run time
		}
		So(q.LaneOf("early", lanes.Urgent), ShouldEqual, lanes.Urgent)
		for i := range 40 {
			q.RecordRunTime(startTime, fmt.Sprint("c", i%4), lanes.Urgent, lanes.Urgent, 10*time.Millisecond)
		}
		for range 2 {
			q.RecordRunTime(startTime, "long", lanes.Urgent, lanes.Urgent, time.Second)
		}
		So(q.LaneOf("early", lanes.Urgent), ShouldEqual, lanes.Bulk)
		So(q.LaneOf("long", lanes.Urgent), ShouldEqual, lanes.Urgent) // two slow runs are too few for a demotion
		for range 100 {
			q.RecordRunTime(startTime, "long", lanes.Urgent, q.LaneOf("long", lanes.Urgent), time.Second)
		}
		So(q.LaneOf("long", lanes.Urgent), ShouldEqual, lanes.Bulk)
		So(q.LaneOf("long", lanes.Normal), ShouldEqual, lanes.Normal)
		So(q.LaneOf("c1", lanes.Urgent), ShouldEqual, lanes.Urgent)
		for range 30 {
			q.RecordRunTime(startTime, "long", lanes.Urgent, lanes.Bulk, 10*time.Millisecond)
		}
		So(q.LaneOf("long", lanes.Urgent), ShouldEqual, lanes.Urgent)
	})
}

// TestEstimate guards against rejections while a slot is free, and against estimates that charge one customer's flood
// to another customer.
func TestEstimate(t *testing.T) {
	Convey("The estimate counts only the backlog that is served before the new item", t, func() {
		q := lanes.New[string](lanes.Config{})
		q.SetSlots(10)
		for range 50 {
			q.RecordRunTime(startTime, "a", lanes.Urgent, lanes.Urgent, 100*time.Millisecond)
		}
		So(q.EstimateWait("a", lanes.Urgent), ShouldEqual, 0)
		So(q.CannotMeetDeadline("a", lanes.Urgent, time.Millisecond), ShouldBeFalse)
		for range 110 {
			So(enqueueReady(q, "a", lanes.Urgent, "x"), ShouldBeNil)
		}
		for range 10 {
			So(q.Next(startTime), ShouldNotBeNil)
		}
		So(q.EstimateWait("a", lanes.Urgent), ShouldAlmostEqual, 1010*time.Millisecond, 20*time.Millisecond)
		So(q.EstimateWait("b", lanes.Urgent), ShouldBeLessThan, 50*time.Millisecond)
		So(q.CannotMeetDeadline("a", lanes.Urgent, 1050*time.Millisecond), ShouldBeTrue)
		So(q.CannotMeetDeadline("b", lanes.Urgent, 200*time.Millisecond), ShouldBeFalse)
	})
}

// TestReserve guards against bulk items that remain limited by a load spike long after it is over, for example at
// night.
func TestReserve(t *testing.T) {
	Convey("Long bulk items get their slots back minutes after a spike", t, func() {
		q := lanes.New[string](lanes.Config{MaxWait: time.Hour})
		q.SetSlots(48)
		q.RecordRunTime(startTime, "b", lanes.Bulk, lanes.Bulk, 2*time.Second)
		q.RecordRunTime(startTime, "u", lanes.Urgent, lanes.Urgent, 20*time.Millisecond)
		for range 46 {
			So(enqueueReady(q, "u", lanes.Urgent, "u"), ShouldBeNil)
		}
		var urgent []*lanes.Ticket[string]
		for tk := q.Next(startTime); tk != nil; tk = q.Next(startTime) {
			urgent = append(urgent, tk)
		}
		for _, tk := range urgent {
			q.Release(tk)
		}
		for range 48 {
			So(enqueueReady(q, "b", lanes.Bulk, "b"), ShouldBeNil)
		}
		running := func(at time.Time) int {
			for q.Next(at) != nil {
			}
			return q.Running()[lanes.Bulk]
		}
		So(running(startTime.Add(time.Second)), ShouldEqual, 2)
		So(running(startTime.Add(3*time.Minute)), ShouldEqual, 10) // 20 %, rounded up
	})
}
