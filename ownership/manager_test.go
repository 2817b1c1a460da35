package ownership_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/ownership"
	"github.com/greengagewing/greengagewing/session"
	"github.com/greengagewing/greengagewing/table"
)

// TestDrain guards against a planned shutdown that leaves partitions without an owner until the session is fenced.
func TestDrain(t *testing.T) {
	for _, notify := range []bool{true, false} {
		runCluster(t, "A drain hands over every partition and claims none", notify, func(c *cluster) {
			p := c.largestOwner()
			errs := make(chan error, 1)
			go func() { errs <- p.manager.Drain(context.Background()) }()
			bound := 1100 * time.Millisecond // time until the successor's next scan
			if notify {
				bound = 50 * time.Millisecond
			}
			So(c.runChecked(5*time.Second), ShouldBeLessThanOrEqualTo, bound)
			So(<-errs, ShouldBeNil)
			So(p.keeper.Close(context.Background()), ShouldBeNil)
			So(c.runChecked(30*time.Second), ShouldEqual, 0)
			for _, name := range c.partitions {
				So(c.owners(name)[0].p.id, ShouldNotEqual, p.id)
				So(c.owners(name)[0].FencedAt().IsZero(), ShouldBeTrue)
				o, known := p.manager.OwnerOf(name)
				So(known, ShouldBeTrue)
				So(o.ID, ShouldEqual, c.owners(name)[0].p.id)
			}
		})
	}
	runCluster(t, "A drain during an outage of the store returns when its context ends", true, func(c *cluster) {
		p := c.largestOwner()
		c.mem.SetFaults(table.Faults{Down: true})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		So(p.manager.Drain(ctx), ShouldEqual, context.DeadlineExceeded)
	})
}

// TestCrash guards against a takeover that takes longer than observation, fencing and claim need, and against a
// takeover that does not report when the previous owner was fenced.
func TestCrash(t *testing.T) {
	runCluster(t, "The partitions of a crashed daemon move to other daemons with a higher epoch", true, func(c *cluster) {
		p := c.largestOwner()
		p.kill()
		killed := time.Now()
		So(c.runChecked(20*time.Second), ShouldBeLessThanOrEqualTo, 6*time.Second)
		moved := 0
		for _, name := range c.partitions {
			if g := c.owners(name)[0]; g.FencedAt().After(killed) {
				moved++
			}
		}
		So(moved, ShouldBeGreaterThan, 0)
		c.start(p.id)
		So(c.runChecked(30*time.Second), ShouldBeLessThan, time.Second) // handovers to the restarted daemon
	})
}

// TestRejoin guards against a daemon that keeps using its old claims after its session was replaced.
func TestRejoin(t *testing.T) {
	runCluster(t, "After a pause no guard of the old incarnation passes, and the daemon claims partitions again", true, func(c *cluster) {
		p := c.largestOwner()
		_, before := c.history()
		p.pause(true)
		c.runChecked(3600 * time.Millisecond)
		for _, g := range before {
			if g.p == p {
				So(g.Check(), ShouldNotBeNil)
			}
		}
		p.pause(false)
		c.runChecked(20 * time.Second) // also checks that no guard that failed passes again
		So(c.runChecked(5*time.Second), ShouldEqual, 0)
	})
}

// TestStoreOutage guards against an outage of the store that ends ownership or stops handlers.
func TestStoreOutage(t *testing.T) {
	runCluster(t, "An outage of the store while all guarantors are reachable changes no owner", true, func(c *cluster) {
		_, before := c.history()
		c.mem.SetFaults(table.Faults{Down: true})
		So(c.runChecked(5*time.Minute), ShouldEqual, 0)
		c.mem.SetFaults(table.Faults{})
		So(c.runChecked(time.Minute), ShouldEqual, 0)
		_, after := c.history()
		So(len(after), ShouldEqual, len(before))
	})
}

// TestLostClaim guards against a partition whose row names an owner that does not know that it owns the partition,
// because the response to its claim was lost.
func TestLostClaim(t *testing.T) {
	for _, failRowReads := range []bool{false, true} {
		runCluster(t, "A daemon finds a claim whose response was lost by reading the row back or by a scan", true, func(c *cluster) {
			p := c.largestOwner()
			for _, q := range c.processes {
				q.lostResponsePercent.Store(100)
				q.failRowReads.Store(failRowReads)
			}
			p.kill()
			c.runChecked(20 * time.Second)
			So(c.runChecked(5*time.Second), ShouldEqual, 0)
			for _, name := range c.partitions {
				So(c.owners(name)[0].Epoch(), ShouldBeLessThanOrEqualTo, 3)
			}
		})
	}
}

// TestStartFailure guards against a partition that stays assigned to a daemon that cannot start it.
func TestStartFailure(t *testing.T) {
	runCluster(t, "A partition that its desired owner cannot start goes to another daemon", true, func(c *cluster) {
		p := c.largestOwner()
		p.kill()
		<-p.done
		c.runChecked(20 * time.Second)
		p = c.start(p.id)
		p.failStart.Store(true)
		So(c.runChecked(2*time.Minute), ShouldBeLessThan, 100*time.Millisecond)
	})
}

// TestIdleStoreLoad guards against reads or writes that grow with the number of partitions.
func TestIdleStoreLoad(t *testing.T) {
	runCluster(t, "An idle daemon scans sessions every second and partitions every 5 s, and commits once a second", true, func(c *cluster) {
		before := c.mem.Stats()
		c.runChecked(100 * time.Second)
		after := c.mem.Stats()
		So(after.Reads-before.Reads, ShouldBeBetweenOrEqual, 3*(98+19), 3*(101+21))
		So(after.Commits-before.Commits, ShouldBeBetweenOrEqual, 3*98, 3*101)
		raw, err := json.Marshal([]any{c.largestOwner().manager.State(), c.largestOwner().keeper.State(),
			c.largestOwner().observer.State(), c.largestOwner().guarantor.State()})
		So(err, ShouldBeNil)
		So(string(raw), ShouldContainSubstring, string(session.Live))
	})
}

// TestSettledPollInterval guards against a lost notice that no scan makes up for, and against a takeover that is
// decided on rows as old as SettledPollInterval.
func TestSettledPollInterval(t *testing.T) {
	runCluster(t, "A daemon sees a change without a notice within SettledPollInterval", false, func(c *cluster) {
		got, err := c.mem.Get(context.Background(), ownership.Key("pool/x/0"))
		So(err, ShouldBeNil)
		var row ownership.Row
		So(json.Unmarshal(got.Value, &row), ShouldBeNil)
		row.Tag = "changed"
		raw, err := json.Marshal(row)
		So(err, ShouldBeNil)
		_, err = c.mem.Commit(context.Background(), table.Txn{Ops: []table.Op{{Key: got.Key, Value: raw}}})
		So(err, ShouldBeNil)
		c.runChecked(ownership.DefaultSettledPollInterval + 100*time.Millisecond)
		for _, p := range c.processes {
			So(p.manager.State().(ownership.ManagerState).Partitions["pool/x/0"].Row.Tag, ShouldEqual, "changed")
		}
	})
	runCluster(t, "A daemon that observes the end of a session scans at once", false, func(c *cluster) {
		victim := c.largestOwner()
		incarnation := victim.keeper.Incarnation()
		victim.kill()
		for _, p := range c.processes {
			if p == victim {
				continue
			}
			since, ended := p.observer.Ended(victim.id, incarnation)
			for !ended {
				time.Sleep(time.Millisecond)
				since, ended = p.observer.Ended(victim.id, incarnation)
			}
			time.Sleep(10 * time.Millisecond)
			So(p.manager.State().(ownership.ManagerState).ScanMS, ShouldBeLessThanOrEqualTo, time.Since(since).Milliseconds())
		}
	})
}
