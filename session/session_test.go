package session

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/greengagewing/greengagewing/table"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// faultyStore is one daemon's access to the table, with injected faults.
type faultyStore struct {
	*table.Memory
	failReads, failCommits atomic.Bool
	commitLatency          atomic.Int64 // nanoseconds from a commit to its response
}

// setUnreachable makes all reads and commits fail, or work again.
func (c *faultyStore) setUnreachable(v bool) {
	c.failReads.Store(v)
	c.failCommits.Store(v)
}

func (c *faultyStore) Get(ctx context.Context, key string) (table.Row, error) {
	if c.failReads.Load() {
		return table.Row{}, table.ErrUnavailable
	}
	return c.Memory.Get(ctx, key)
}

func (c *faultyStore) Scan(ctx context.Context, prefix, after string, n int) ([]table.Row, error) {
	if c.failReads.Load() {
		return nil, table.ErrUnavailable
	}
	return c.Memory.Scan(ctx, prefix, after, n)
}

func (c *faultyStore) Commit(ctx context.Context, txn table.Txn) (table.Result, error) {
	if c.failCommits.Load() {
		return table.Result{}, table.ErrUnavailable
	}
	defer time.Sleep(time.Duration(c.commitLatency.Load()))
	return c.Memory.Commit(ctx, txn)
}

// node is one daemon of a test; network holds the daemons by address.
type node struct {
	store        *faultyStore
	keeper       *Keeper
	guarantor    *Guarantor
	observer     *Observer
	stop         context.CancelFunc
	unresponsive atomic.Bool // alive, but does not answer peers
	unlisted     atomic.Bool // missing from the platform's list
}

// network simulates a set of daemons that share one table.
type network struct {
	mem *table.Memory

	mu    sync.Mutex
	nodes map[string]*node
}

var errNoAnswer = errors.New("no answer")

// get returns the daemon at an address, or nil.
func (n *network) get(addr string) *node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[addr]
}

// set replaces the process at an address and stops the old one; nil removes the process.
func (n *network) set(addr string, p *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.nodes[addr]; old != nil {
		old.stop()
	}
	if n.nodes[addr] = p; p == nil {
		delete(n.nodes, addr)
	}
}

// reachableNode returns the daemon that answers at an address, or the error that a caller gets.
func (n *network) reachableNode(addr string) (*node, error) {
	p := n.get(addr)
	switch {
	case p == nil:
		return nil, ErrConnectionRefused
	case p.unresponsive.Load():
		return nil, errNoAnswer
	}
	return p, nil
}

func (n *network) Promise(_ context.Context, to Peer, req PromiseRequest) (PromiseReply, error) {
	p, err := n.reachableNode(to.PeerAddr)
	if err != nil {
		return PromiseReply{}, err
	}
	return p.guarantor.Promise(req), nil
}

func (n *network) Consent(_ context.Context, to Peer, req ConsentRequest) (ConsentReply, error) {
	p, err := n.reachableNode(to.PeerAddr)
	if err != nil {
		return ConsentReply{}, err
	}
	return p.guarantor.Consent(req), nil
}

func (n *network) Probe(_ context.Context, addr string) (ProbeReply, error) {
	p, err := n.reachableNode(addr)
	if err != nil {
		return ProbeReply{}, err
	}
	return p.keeper.Probe(), nil
}

func (n *network) HostListed(addr string) (bool, bool) {
	p := n.get(addr)
	return p == nil || !p.unlisted.Load(), true
}

// start starts a daemon in a failure domain of its own.
func (n *network) start(id string) *node {
	cfg := Config{ID: id, PeerAddr: id, FailureDomain: "domain of " + id}
	p := &node{store: &faultyStore{Memory: n.mem}}
	p.observer = NewObserver(cfg, p.store, n, n)
	p.keeper = NewKeeper(cfg, p.store, n, p.observer.Live)
	p.guarantor = NewGuarantor(cfg, p.keeper.Boot())
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	go p.keeper.Run(ctx)
	go p.observer.Run(ctx)
	n.set(id, p)
	return p
}

// kill stops a process at once, without closing its session.
func (n *network) kill(id string) { n.set(id, nil) }

// row returns the session row of a daemon.
func (n *network) row(id string) Row {
	got, err := n.mem.Get(context.Background(), Key(id))
	So(err, ShouldBeNil)
	r, err := decode(got.Value)
	So(err, ShouldBeNil)
	return r
}

// runNetwork runs f with the daemons a, b and c after they have found each other and their quarantine has ended.
func runNetwork(t *testing.T, name string, f func(n *network, a, b, c *node)) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{mem: table.NewMemory(), nodes: map[string]*node{}}
		defer func() { // also after a failed assertion
			for id := range n.nodes {
				n.kill(id)
			}
			time.Sleep(DefaultTTL) // wait for calls in flight
		}()
		Convey(name, t, func() {
			a, b, c := n.start("a"), n.start("b"), n.start("c")
			time.Sleep(10 * time.Second)
			So(len(n.row("a").Guarantors), ShouldEqual, 2)
			f(n, a, b, c)
		})
	})
}

// TestLostResponses guards against a keeper that does not recognize its own write after a lost response and so loses
// its session or renews another daemon's, and against a restarted daemon that waits until its predecessor is fenced.
func TestLostResponses(t *testing.T) {
	runNetwork(t, "A session survives lost responses", func(n *network, a, _, _ *node) {
		inc := a.keeper.Incarnation()
		for range 30 {
			n.mem.SetFaults(table.Faults{LoseAnswers: 3})
			time.Sleep(700 * time.Millisecond)
			So(a.keeper.ValidFor(inc), ShouldBeTrue)
		}
		n.mem.SetFaults(table.Faults{})
		n.kill("a")
		n.mem.SetFaults(table.Faults{LoseAnswers: 1})
		a = n.start("a")
		time.Sleep(50 * time.Millisecond)
		So(a.keeper.Valid(), ShouldBeTrue)
		So(a.keeper.Incarnation(), ShouldEqual, inc+1)
		n.mem.SetFaults(table.Faults{LoseAnswers: 1})
		So(a.keeper.Close(context.Background()), ShouldBeNil)
		So(a.keeper.Valid(), ShouldBeFalse)
		So(n.row("a").State, ShouldEqual, Closed)
	})
}

// TestLateResponses guards against a validity that is measured from the response, whose time an observer cannot know,
// and against a claim by a daemon whose session row another daemon has replaced.
func TestLateResponses(t *testing.T) {
	for _, lost := range []int{0, 1 << 20} {
		runNetwork(t, "The validity is measured from before the request", func(n *network, a, b, c *node) {
			const commitLatency = 1200 * time.Millisecond
			b.unresponsive.Store(true)
			c.unresponsive.Store(true)
			a.store.commitLatency.Store(int64(commitLatency))
			n.mem.SetFaults(table.Faults{LoseAnswers: lost})
			time.Sleep(DefaultTTL)
			for range 500 {
				time.Sleep(10 * time.Millisecond)
				if left := time.Until(a.keeper.Deadline()); left <= 0 || left > DefaultTTL-DefaultMargin-commitLatency {
					t.Fatalf("valid for %v more", left)
				}
			}
		})
	}
	runNetwork(t, "A claim fails once the session row has changed", func(n *network, a, _, _ *node) {
		txn := table.Txn{Ops: []table.Op{{Key: "x"}}}
		_, inc, err := a.keeper.Commit(context.Background(), txn)
		So(err == nil && inc == a.keeper.Incarnation(), ShouldBeTrue)
		_, _ = n.mem.Commit(context.Background(), table.Txn{Ops: []table.Op{{Key: Key("a"), Value: encode(n.row("a"))}}})
		_, _, err = a.keeper.Commit(context.Background(), txn)
		So(err, ShouldEqual, ErrNoValidSession)
		So(a.keeper.ValidFor(inc), ShouldBeFalse)
	})
}

// TestPausedHolder guards against a validity that depends on a goroutine being scheduled: a process that resumes from a
// pause must find its session expired before any of its goroutines has run.
func TestPausedHolder(t *testing.T) {
	runNetwork(t, "A paused holder is invalid after 3.5 s and rejoins with a new incarnation", func(n *network, a, _, _ *node) {
		inc := a.keeper.Incarnation()
		n.kill("a")
		synctest.Wait()
		l := a.keeper.lease.Load()
		time.Sleep(time.Until(l.deadline) - 1)
		So(a.keeper.ValidFor(inc), ShouldBeTrue)
		time.Sleep(time.Nanosecond)
		So(a.keeper.ValidFor(inc), ShouldBeFalse)
		So(a.keeper.extendLease(inc, time.Now()), ShouldBeFalse) // a late response does not extend the lease
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go a.keeper.Run(ctx)
		time.Sleep(50 * time.Millisecond)
		So(a.keeper.Valid(), ShouldBeTrue)
		So(a.keeper.ValidFor(inc), ShouldBeFalse)
		cancel()
	})
}

// TestStoreOutage guards against a session that ends because of a store outage although its guarantors promise, and
// against a session that is extended and fenced at the same time.
func TestStoreOutage(t *testing.T) {
	runNetwork(t, "With the promises of all guarantors the session survives an outage of ten minutes", func(n *network, a, b, c *node) {
		a.store.setUnreachable(true) // the others still reach the store
		for range 6000 {
			time.Sleep(100 * time.Millisecond)
			if err := b.observer.Fence(context.Background(), "a"); !a.keeper.Valid() || err != ErrNoConsent && err != ErrNotObserved {
				t.Fatalf("valid: %t, fencing: %v", a.keeper.Valid(), err)
			}
		}
		So(n.row("a").State, ShouldEqual, Live)
		So(b.observer.Fence(context.Background(), "a"), ShouldEqual, ErrNoConsent)
		inc := a.keeper.Incarnation()
		n.mem.SetFaults(table.Faults{Down: true}) // now no daemon reaches the store
		time.Sleep(10 * time.Minute)
		So(a.keeper.ValidFor(inc) && b.keeper.Valid() && c.keeper.Valid(), ShouldBeTrue)
		a.store.setUnreachable(false)
		n.mem.SetFaults(table.Faults{})
		time.Sleep(10 * time.Second)
		So(a.keeper.ValidFor(inc), ShouldBeTrue)
		So(n.row("a").State, ShouldEqual, Live)
	})
	runNetwork(t, "With one guarantor dead the session ends, and the other consents to the fencing", func(n *network, a, b, _ *node) {
		inc := a.keeper.Incarnation()
		n.kill("c")
		a.store.setUnreachable(true)
		time.Sleep(DefaultTTL - DefaultMargin)
		So(a.keeper.Valid(), ShouldBeFalse)
		time.Sleep(DefaultTTL + 2*DefaultMargin)
		So(n.row("a").State, ShouldEqual, Fenced)
		_, ended := b.observer.Ended("a", inc)
		So(ended, ShouldBeTrue)
		a.store.setUnreachable(false)
		time.Sleep(2 * time.Second)
		So(a.keeper.Incarnation(), ShouldEqual, inc+1)
		So(a.keeper.Valid(), ShouldBeTrue)
	})
	runNetwork(t, "A guarantor that was restarted neither promises nor consents during its quarantine",
		func(n *network, a, _, _ *node) {
			a.store.setUnreachable(true)
			n.kill("b")
			b := n.start("b")
			n.get("c").unresponsive.Store(true)
			req := ConsentRequest{Session: "a", Incarnation: a.keeper.Incarnation(), Seq: n.row("a").Seq}
			So(b.guarantor.Consent(req).Granted, ShouldBeFalse)
			time.Sleep(DefaultTTL + DefaultMargin - 1)
			So(a.keeper.Valid(), ShouldBeFalse) // the row names the former process of b as guarantor
			So(b.guarantor.Consent(req).Granted, ShouldBeFalse)
			time.Sleep(time.Nanosecond)
			So(b.guarantor.Consent(req).Granted, ShouldBeTrue)
			promise := PromiseRequest{Session: "a", Incarnation: req.Incarnation, Seq: req.Seq, GuarantorBoot: b.keeper.Boot()}
			So(b.guarantor.Promise(promise).Granted, ShouldBeFalse)
			promise.Seq++ // the holder has renewed since, so the fencing can no longer take effect
			So(b.guarantor.Promise(promise).Granted, ShouldBeTrue)
			So(b.guarantor.Consent(req).Granted, ShouldBeFalse)
		})
}

// TestUnresolvedRenewal guards against an extension that omits the guarantors of a renewal whose response was lost: an
// observer could have the consent of a guarantor that was not asked for a promise.
func TestUnresolvedRenewal(t *testing.T) {
	runNetwork(t, "The guarantors of an unresolved renewal must promise too", func(n *network, a, _, _ *node) {
		rows := []Row{{Guarantors: []Peer{{ID: "b", Boot: "1"}}}, {Guarantors: []Peer{{ID: "b", Boot: "2"}, {ID: "c"}}}}
		all, ok := allGuarantors(rows)
		So(ok && len(all) == 3, ShouldBeTrue)
		_, ok = allGuarantors(append(rows, Row{}))
		So(ok, ShouldBeFalse)
		a.store.failReads.Store(true) // the responses of commits are lost, and the row cannot be read back
		n.mem.SetFaults(table.Faults{LoseAnswers: 1000})
		time.Sleep(2 * time.Second)
		a.keeper.mu.Lock()
		lost := *a.keeper.unresolved
		lost.row.Guarantors = append(slices.Clone(lost.row.Guarantors), Peer{ID: "d", PeerAddr: "d"})
		a.keeper.unresolved = &lost
		a.keeper.mu.Unlock()
		time.Sleep(DefaultTTL)
		So(a.keeper.Valid(), ShouldBeFalse)
	})
}

// TestFenceNeedsEvidence guards against a fencing without evidence that the holder is gone when no guarantor answers.
func TestFenceNeedsEvidence(t *testing.T) {
	withoutAnswers := func(f func(n *network, a *node)) func(*network, *node, *node, *node) {
		return func(n *network, a, b, c *node) {
			d := n.start("d")
			time.Sleep(3 * time.Second)
			b.unresponsive.Store(true)
			c.unresponsive.Store(true)
			d.unresponsive.Store(true)
			a.store.setUnreachable(true)
			f(n, a)
		}
	}
	runNetwork(t, "A holder that does not answer is fenced once the list lacks its host", withoutAnswers(func(n *network, a *node) {
		a.unresponsive.Store(true)
		time.Sleep(time.Minute)
		So(n.row("a").State, ShouldEqual, Live)
		So(n.get("d").observer.Fence(context.Background(), "a"), ShouldEqual, ErrNoEvidence)
		a.unlisted.Store(true)
		time.Sleep(2 * time.Second)
		So(n.row("a").State, ShouldEqual, Fenced)
	}))
	runNetwork(t, "A holder that answers is not fenced", withoutAnswers(func(n *network, a *node) {
		time.Sleep(time.Minute)
		So(n.row("a").State, ShouldEqual, Live)
	}))
	runNetwork(t, "A holder whose address refuses connections is fenced", withoutAnswers(func(n *network, _ *node) {
		n.kill("a")
		time.Sleep(6 * time.Second)
		So(n.row("a").State, ShouldEqual, Fenced)
	}))
	runNetwork(t, "A holder whose address answers with another process is fenced", withoutAnswers(func(n *network, _ *node) {
		n.kill("a")
		cfg := Config{ID: "a", PeerAddr: "a"}
		n.set("a", &node{keeper: NewKeeper(cfg, n.mem, nil, nil), guarantor: NewGuarantor(cfg, ""), stop: func() {}})
		time.Sleep(6 * time.Second)
		So(n.row("a").State, ShouldEqual, Fenced)
	}))
}

// TestObserverOutage guards against an observer that mistakes its own failed reads, or its own pause, for a holder that
// does not renew.
func TestObserverOutage(t *testing.T) {
	runNetwork(t, "An observer restarts its observation after a failed read", func(n *network, a, b, c *node) {
		n.kill("a")
		c.store.failReads.Store(true)
		time.Sleep(100 * time.Millisecond) // not at the same time as a poll
		for i := range 40 {
			b.store.failReads.Store(i%4 == 0) // a failed read every 4 s, less than TTL + margin
			time.Sleep(time.Second)
			So(b.observer.Fence(context.Background(), "a"), ShouldEqual, ErrNotObserved)
		}
		So(n.row("a").State, ShouldEqual, Live)
		time.Sleep(6 * time.Second)
		So(n.row("a").State, ShouldEqual, Fenced)
	})
	runNetwork(t, "After an outage holders get the full time to renew", func(n *network, a, b, c *node) {
		b.unresponsive.Store(true)
		c.unresponsive.Store(true)
		n.mem.SetFaults(table.Faults{Down: true})
		time.Sleep(time.Minute)
		n.mem.SetFaults(table.Faults{})
		a.store.failCommits.Store(true)
		time.Sleep(1200 * time.Millisecond)
		So(b.observer.Fence(context.Background(), "a"), ShouldEqual, ErrNotObserved)
		So(n.row("a").State, ShouldEqual, Live)
	})
}

// TestChooseGuarantors guards against guarantors that fail together with the holder although other daemons are
// available.
func TestChooseGuarantors(t *testing.T) {
	Convey("Guarantors come from other failure domains where possible", t, func() {
		self := Row{ID: "a", FailureDomain: "1"}
		session := func(id, domain string, s State) Info { return Info{Row: Row{ID: id, FailureDomain: domain, State: s}} }
		chosen := func(live ...Info) (ids []string) {
			for _, p := range chooseGuarantors(self, live, 2) {
				ids = append(ids, p.ID)
			}
			slices.Sort(ids)
			return ids
		}
		own, b, c, d := session("a", "1", Live), session("b", "1", Live), session("c", "2", Live), session("d", "2", Live)
		So(chosen(own), ShouldBeEmpty)
		So(chosen(own, b), ShouldResemble, []string{"b"})
		So(chosen(own, b, c), ShouldResemble, []string{"b", "c"})
		So(chosen(own, b, c, d), ShouldResemble, []string{"c", "d"})
		So(chosen(b, c, d, session("e", "3", Live)), ShouldContain, "e")
		So(chosen(own, b, session("c", "2", Draining)), ShouldResemble, []string{"b"})
	})
}
