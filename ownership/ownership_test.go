package ownership_test

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/greengagewing/greengagewing/ownership"
	"github.com/greengagewing/greengagewing/session"
	"github.com/greengagewing/greengagewing/table"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var errNoAnswer = errors.New("no answer")

// process is one daemon process. While it is paused no call leaves it and no answer reaches it.
type process struct {
	id      string
	cl      *cluster
	k       *session.Keeper
	o       *session.Observer
	g       *session.Guarantor
	m       *ownership.Manager
	cut     atomic.Bool  // the store does not answer; calls end with their context
	lose    atomic.Int64 // percentage of calls whose response is lost
	late    atomic.Int64 // percentage of commits that take effect only after the caller has given up
	paused  atomic.Bool
	resumed chan struct{}
	cancel  context.CancelFunc
	done    chan struct{}
	dead    atomic.Bool
	refuse  atomic.Bool // Start fails
	blind   atomic.Bool // partition rows cannot be read back one by one
}

// cluster is a set of daemons on one table.
type cluster struct {
	mem    *table.Memory
	rnd    *rand.Rand // under mu
	parts  []string
	notify bool

	mu      sync.Mutex
	procs   map[string]*process
	cuts    map[[2]string]bool
	guards  []*held
	running map[string]int64 // highest epoch started, by partition
	active  map[*process]map[string]bool
	faults  []string
	ops     []porcupine.Operation // claims, and guards that passed
	sample  int
}

// tenure is the input of an operation on the register of a partition's epoch: a claim raises it, and a guard passes only
// while no higher epoch has been claimed.
type tenure struct {
	partition string
	epoch     int64
	claim     bool
}

// sampleEvery is how many checks of the guards there are for one that is added to the history.
const sampleEvery = 10

var epochs = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byName := map[string][]porcupine.Operation{}
		for _, op := range ops {
			name := op.Input.(tenure).partition
			byName[name] = append(byName[name], op)
		}
		return slices.Collect(maps.Values(byName))
	},
	Init: func() any { return int64(0) },
	Step: func(state, input, _ any) (bool, any) {
		t := input.(tenure)
		if t.claim {
			return t.epoch > state.(int64), t.epoch
		}
		return t.epoch == state.(int64), state
	},
}

// record adds an operation that ended now. A claim took effect at some time before its handler was started.
func (c *cluster) record(t tenure) {
	now := time.Now().UnixNano()
	call := now
	if t.claim {
		call = 0
	}
	c.ops = append(c.ops, porcupine.Operation{Input: t, Call: call, Return: now})
}

// held is a guard that some process got.
type held struct {
	ownership.Guard
	p      *process
	failed time.Time // when Check first failed
}

func newCluster(seed uint64, parts ...string) *cluster {
	return &cluster{mem: table.NewMemory(), rnd: rand.New(rand.NewPCG(seed, 1)), parts: parts, procs: map[string]*process{},
		cuts: map[[2]string]bool{}, running: map[string]int64{}, active: map[*process]map[string]bool{}}
}

// random returns a number below n from a source that the calls of all processes share.
func (c *cluster) random(n int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rnd.Int64N(n)
}

func (c *cluster) chance(percent int64) bool { return percent > 0 && c.random(100) < percent }

// history returns the violations and all guards so far.
func (c *cluster) history() ([]string, []*held) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.faults), slices.Clone(c.guards)
}

// start runs a new process at an address; the former one is dead.
func (c *cluster) start(id string) *process {
	p := &process{id: id, cl: c, done: make(chan struct{})}
	cfg := session.Config{ID: id, PeerAddr: id, FailureDomain: id[:1]}
	store, peers := &storeLink{p}, &peerLink{p}
	p.o = session.NewObserver(cfg, store, peers, peers)
	p.k = session.NewKeeper(cfg, store, peers, p.o.Live)
	p.g = session.NewGuarantor(cfg, p.k.Boot())
	p.m = ownership.New(ownership.Config{Notifier: peers}, store, p.k, p.o)
	p.m.Register("pool/", c.parts, p)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){p.k.Run, p.o.Run, p.m.Run} {
		wg.Go(func() { run(ctx) })
	}
	go func() { wg.Wait(); close(p.done) }()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.procs[id], c.active[p] = p, map[string]bool{}
	return p
}

func (p *process) kill() {
	p.dead.Store(true)
	p.pause(false)
	p.cancel()
}

func (p *process) pause(on bool) {
	p.cl.mu.Lock()
	defer p.cl.mu.Unlock()
	if on == p.paused.Load() {
		return
	}
	if p.paused.Store(on); on {
		p.resumed = make(chan struct{})
	} else {
		close(p.resumed)
	}
}

// pass blocks while the process is paused.
func (p *process) pass() {
	for p.paused.Load() {
		p.cl.mu.Lock()
		ch := p.resumed
		p.cl.mu.Unlock()
		<-ch
	}
}

// Start and Stop record guards and check that a partition is started at most once at a time and with rising epochs.
func (p *process) Start(_ context.Context, g ownership.Guard) error {
	if p.refuse.Load() {
		return errNoAnswer
	}
	c := p.cl
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active[p][g.Partition()] {
		c.faults = append(c.faults, p.id+" started "+g.Partition()+" twice at the same time")
	}
	if g.Epoch() <= c.running[g.Partition()] && g.Check() == nil {
		c.faults = append(c.faults, fmt.Sprintf("%s started %s at epoch %d again", p.id, g.Partition(), g.Epoch()))
	}
	c.running[g.Partition()] = max(c.running[g.Partition()], g.Epoch())
	c.active[p][g.Partition()] = true
	c.guards = append(c.guards, &held{Guard: g, p: p})
	c.record(tenure{g.Partition(), g.Epoch(), true})
	return nil
}

func (p *process) Stop(ctx context.Context, partition string, handover bool) {
	p.cl.mu.Lock()
	defer p.cl.mu.Unlock()
	p.cl.active[p][partition] = false
	for _, h := range p.cl.guards {
		if !handover && h.p == p && h.Partition() == partition && h.Check() == nil {
			p.cl.faults = append(p.cl.faults, p.id+" was stopped as lost while its guard passes")
		}
	}
}

// owners returns the guards of the partition that pass now, and notes a violation if there are two. Paused processes
// count: they may resume now.
func (c *cluster) owners(partition string) (out []*held) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.guards {
		if h.Partition() != partition || h.p.dead.Load() {
			continue
		}
		switch err := h.Check(); {
		case err != nil && h.failed.IsZero():
			h.failed = time.Now()
		case err == nil && !h.failed.IsZero():
			c.faults = append(c.faults, h.p.id+": a guard that had failed passes again")
		}
		if h.failed.IsZero() {
			out = append(out, h)
			if c.sample++; c.sample%sampleEvery == 0 {
				c.record(tenure{partition, h.Epoch(), false})
			}
		}
	}
	if len(out) > 1 {
		c.faults = append(c.faults, fmt.Sprintf("%s is owned by %s at epoch %d and by %s at epoch %d", partition,
			out[0].p.id, out[0].Epoch(), out[1].p.id, out[1].Epoch()))
	}
	return out
}

// forget drops the guards that failed a minute ago, to keep the checks short.
func (c *cluster) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guards = slices.DeleteFunc(c.guards, func(h *held) bool {
		return h.p.dead.Load() || !h.failed.IsZero() && time.Since(h.failed) > time.Minute
	})
}

// watch lets virtual time pass, checks at each step that no partition has two owners, and returns the longest time for
// which some partition had none.
func (c *cluster) watch(d time.Duration) (gap time.Duration) {
	const step = 20 * time.Millisecond
	since := map[string]time.Duration{}
	for range d / step {
		time.Sleep(step)
		for _, name := range c.parts {
			if since[name] += step; len(c.owners(name)) > 0 {
				since[name] = 0
			}
			gap = max(gap, since[name])
		}
	}
	return gap
}

func (c *cluster) stopAll() {
	for _, p := range c.procs {
		p.kill()
	}
	for _, p := range c.procs {
		<-p.done
	}
}

// storeLink is a process's connection to the table.
type storeLink struct{ p *process }

func (s *storeLink) call(ctx context.Context, f func() error) error {
	s.p.pass()
	defer s.p.pass()
	if s.p.cut.Load() {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return table.ErrUnavailable
	}
	time.Sleep(2 * time.Millisecond)
	return f()
}

func (s *storeLink) Get(ctx context.Context, key string) (r table.Row, err error) {
	if s.p.blind.Load() && strings.HasPrefix(key, ownership.Prefix) {
		return r, table.ErrUnavailable
	}
	err = s.call(ctx, func() (err error) { r, err = s.p.cl.mem.Get(ctx, key); return err })
	return r, err
}

func (s *storeLink) Scan(ctx context.Context, prefix, after string, n int) (rows []table.Row, err error) {
	err = s.call(ctx, func() (err error) { rows, err = s.p.cl.mem.Scan(ctx, prefix, after, n); return err })
	return rows, err
}

func (s *storeLink) Commit(ctx context.Context, txn table.Txn) (res table.Result, err error) {
	err = s.call(ctx, func() (err error) {
		c := s.p.cl
		if c.chance(s.p.late.Load()) {
			go func() {
				time.Sleep(time.Duration(c.random(int64(10 * time.Second))))
				_, _ = c.mem.Commit(context.Background(), txn)
			}()
			<-ctx.Done()
			return table.ErrUnknownOutcome
		}
		if res, err = c.mem.Commit(ctx, txn); err == nil && c.chance(s.p.lose.Load()) {
			res, err = table.Result{}, table.ErrUnknownOutcome
		}
		return err
	})
	return res, err
}

// peerLink is a process's connection to the others.
type peerLink struct{ p *process }

func (l *peerLink) call(ctx context.Context, addr string, f func(to *process)) error {
	l.p.pass()
	defer l.p.pass()
	time.Sleep(time.Millisecond)
	c := l.p.cl
	c.mu.Lock()
	to, cut := c.procs[addr], c.cuts[[2]string{l.p.id, addr}]
	c.mu.Unlock()
	switch {
	case cut, to.paused.Load():
		<-ctx.Done()
		return errNoAnswer
	case to.dead.Load():
		return session.ErrRefused
	}
	f(to)
	if c.chance(l.p.lose.Load()) {
		return errNoAnswer
	}
	return nil
}

func (l *peerLink) Promise(ctx context.Context, to session.Peer, q session.PromiseRequest) (r session.PromiseReply, err error) {
	err = l.call(ctx, to.PeerAddr, func(p *process) { r = p.g.Promise(q) })
	return r, err
}

func (l *peerLink) Consent(ctx context.Context, to session.Peer, q session.ConsentRequest) (r session.ConsentReply, err error) {
	err = l.call(ctx, to.PeerAddr, func(p *process) { r = p.g.Consent(q) })
	return r, err
}

func (l *peerLink) Probe(ctx context.Context, addr string) (r session.ProbeReply, err error) {
	err = l.call(ctx, addr, func(p *process) { r = p.k.Probe() })
	return r, err
}

func (l *peerLink) RowChanged(ctx context.Context, addr string, n ownership.RowNotice) error {
	if !l.p.cl.notify {
		return errNoAnswer
	}
	return l.call(ctx, addr, func(p *process) { p.m.RowChanged(n) })
}

func (l *peerLink) HostListed(string) (listed, known bool) { return true, true }

// inject makes one random change to the faults in force.
func (c *cluster) inject(rnd *rand.Rand, ids []string) {
	id, other, kind, n := ids[rnd.IntN(len(ids))], ids[rnd.IntN(len(ids))], rnd.IntN(14), rnd.Int64N(40)
	p := c.procs[id]
	switch kind {
	case 0, 1:
		p.pause(true)
	case 2, 3:
		p.pause(false)
	case 4:
		c.mem.SetFaults(table.Faults{Down: true})
	case 5:
		c.mem.SetFaults(table.Faults{StaleReads: true})
	case 6:
		c.mem.SetFaults(table.Faults{Delay: time.Duration(n) * 50 * time.Millisecond})
	case 7:
		c.mem.SetFaults(table.Faults{})
	case 8:
		p.lose.Store(n)
		p.late.Store(n / 2)
	case 9:
		p.cut.Store(!p.cut.Load())
	case 10:
		c.mu.Lock()
		c.cuts[[2]string{id, other}] = !c.cuts[[2]string{id, other}] && id != other
		c.mu.Unlock()
	case 11, 12: // more often than deaths, so that most daemons live
		p.kill()
		<-p.done
		c.start(id)
	case 13:
		p.kill()
	}
}

func (c *cluster) heal() {
	c.mem.SetFaults(table.Faults{})
	c.mu.Lock()
	clear(c.cuts)
	c.mu.Unlock()
	for _, p := range c.procs {
		p.cut.Store(false)
		p.lose.Store(0)
		p.late.Store(0)
		p.pause(false)
	}
}

// reassignBound is the time within which every partition has an owner once faults have ended: observation 4.5 s or
// quarantine 4.5 s after it, consent, 2 s until others claim, and a second each for the scans.
const reassignBound = 15 * time.Second

// handoverBound is the longest time without an owner during a handover whose notice is lost: one scan and the commits.
const handoverBound = 1100 * time.Millisecond

// Flags for longer runs of TestOneOwner.
var (
	seeds = flag.Uint64("seeds", 25, "number of random histories")
	first = flag.Uint64("first", 0, "first seed")
)

// TestOneOwner guards against two owners of a partition at any time, and against a partition that stays without one,
// under random pauses, outages, lost and late commits, stale reads, cuts, deaths and restarts.
func TestOneOwner(t *testing.T) {
	ids := []string{"1a", "1b", "2c", "3d"}
	for seed := *first; seed < *first+*seeds; seed++ {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(seed, "pool/x/0", "pool/x/1", "pool/x/2")
			c.notify = seed%2 == 0
			rnd := rand.New(rand.NewPCG(seed, 2)) // the schedule of faults depends on the seed alone
			defer c.stopAll()
			for _, id := range ids {
				c.start(id)
			}
			c.watch(15 * time.Second)
			for range 80 {
				c.inject(rnd, ids)
				c.forget()
				c.watch(time.Duration(rnd.Int64N(int64(3 * time.Second))))
			}
			c.heal()
			if c.procs[ids[0]].dead.Load() {
				c.start(ids[0]) // the others stay dead, and perhaps their guarantors too
			}
			c.watch(reassignBound)
			if gap := c.watch(40 * time.Second); gap > handoverBound {
				t.Errorf("seed %d: a partition without owner for %v after the faults ended", seed, gap)
			}
			if !porcupine.CheckOperations(epochs, c.ops) {
				t.Errorf("seed %d: a guard passed after a higher epoch was claimed", seed)
			}
			faults, _ := c.history()
			for _, f := range faults {
				t.Errorf("seed %d: %s", seed, f)
			}
		})
	}
}

// bubble runs f with three daemons that own the partitions and have passed their quarantine.
func bubble(t *testing.T, name string, notify bool, f func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, "pool/x/0", "pool/x/1", "pool/x/2", "pool/x/3", "pool/x/4", "pool/x/5")
		c.notify = notify
		defer c.stopAll()
		Convey(name, t, func() {
			for _, id := range []string{"1a", "2b", "3c"} {
				c.start(id)
			}
			c.watch(20 * time.Second)
			f(c)
			faults, _ := c.history()
			So(faults, ShouldBeEmpty)
		})
	})
}

// most returns the process that owns the most partitions.
func (c *cluster) most() (best *process) {
	count := map[*process]int{}
	for _, name := range c.parts {
		for _, h := range c.owners(name) {
			if count[h.p]++; best == nil || count[h.p] > count[best] {
				best = h.p
			}
		}
	}
	return best
}
