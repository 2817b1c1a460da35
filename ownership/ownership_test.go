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

// process simulates one daemon process. While it is paused, no call leaves it and no response reaches it.
type process struct {
	id                  string
	cl                  *cluster
	keeper              *session.Keeper
	observer            *session.Observer
	guarantor           *session.Guarantor
	manager             *ownership.Manager
	storeUnreachable    atomic.Bool  // the store does not answer; calls block until their context ends
	lostResponsePercent atomic.Int64 // percentage of calls whose response is lost
	lateCommitPercent   atomic.Int64 // percentage of commits that take effect only after the caller has given up
	paused              atomic.Bool
	resumed             chan struct{}
	cancel              context.CancelFunc
	done                chan struct{}
	killed              atomic.Bool
	failStart           atomic.Bool // Start returns an error
	failRowReads        atomic.Bool // Get of partition rows fails; scans still work
}

// cluster simulates a set of daemons that share one table.
type cluster struct {
	mem        *table.Memory
	rnd        *rand.Rand // guarded by mu
	partitions []string
	notify     bool // row notices are delivered

	mu           sync.Mutex
	processes    map[string]*process
	blockedLinks map[[2]string]bool // by sender and receiver
	guards       []*recordedGuard
	maxStarted   map[string]int64             // highest epoch started, by partition
	started      map[*process]map[string]bool // partitions started and not yet stopped
	violations   []string
	ops          []porcupine.Operation // claims, and checks of guards that passed
	guardChecks  int
}

// epochOp is the input of an operation on a register that holds a partition's epoch: a claim raises the epoch, and a
// guard passes only while no higher epoch has been claimed.
type epochOp struct {
	partition string
	epoch     int64
	claim     bool
}

// guardSampleInterval is the number of guard checks per check that is added to the history, which keeps the history
// short.
const guardSampleInterval = 10

// epochModel is the sequential specification of the epoch registers, one per partition.
var epochModel = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byName := map[string][]porcupine.Operation{}
		for _, op := range ops {
			name := op.Input.(epochOp).partition
			byName[name] = append(byName[name], op)
		}
		return slices.Collect(maps.Values(byName))
	},
	Init: func() any { return int64(0) },
	Step: func(state, input, _ any) (bool, any) {
		t := input.(epochOp)
		if t.claim {
			return t.epoch > state.(int64), t.epoch
		}
		return t.epoch == state.(int64), state
	},
}

// record adds an operation that ended now. For a claim it leaves the start open, because the claim took effect at some
// time before its handler was started.
func (c *cluster) record(t epochOp) {
	now := time.Now().UnixNano()
	call := now
	if t.claim {
		call = 0
	}
	c.ops = append(c.ops, porcupine.Operation{Input: t, Call: call, Return: now})
}

// recordedGuard is a guard that some process obtained.
type recordedGuard struct {
	ownership.Guard
	p      *process
	failed time.Time // when Check was first seen to fail
}

func newCluster(seed uint64, partitions ...string) *cluster {
	return &cluster{mem: table.NewMemory(), rnd: rand.New(rand.NewPCG(seed, 1)), partitions: partitions,
		processes: map[string]*process{}, blockedLinks: map[[2]string]bool{}, maxStarted: map[string]int64{},
		started: map[*process]map[string]bool{}}
}

// random returns a number below n from a random source that the calls of all processes share.
func (c *cluster) random(n int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rnd.Int64N(n)
}

// randomChance returns true with a probability of percent.
func (c *cluster) randomChance(percent int64) bool { return percent > 0 && c.random(100) < percent }

// history returns the violations and all guards recorded so far.
func (c *cluster) history() ([]string, []*recordedGuard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations), slices.Clone(c.guards)
}

// start starts a new process at an address whose former process is dead.
func (c *cluster) start(id string) *process {
	p := &process{id: id, cl: c, done: make(chan struct{})}
	cfg := session.Config{ID: id, PeerAddr: id, FailureDomain: id[:1]}
	store, peers := &storeLink{p}, &peerLink{p}
	p.observer = session.NewObserver(cfg, store, peers, peers)
	p.keeper = session.NewKeeper(cfg, store, peers, p.observer.Live)
	p.guarantor = session.NewGuarantor(cfg, p.keeper.Boot())
	p.manager = ownership.New(ownership.Config{Notifier: peers}, store, p.keeper, p.observer)
	p.manager.Register("pool/", c.partitions, p)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){p.keeper.Run, p.observer.Run, p.manager.Run} {
		wg.Go(func() { run(ctx) })
	}
	go func() { wg.Wait(); close(p.done) }()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[id], c.started[p] = p, map[string]bool{}
	return p
}

// kill ends the process without a drain.
func (p *process) kill() {
	p.killed.Store(true)
	p.pause(false)
	p.cancel()
}

// pause pauses or resumes the calls of the process.
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

// waitWhilePaused blocks while the process is paused.
func (p *process) waitWhilePaused() {
	for p.paused.Load() {
		p.cl.mu.Lock()
		ch := p.resumed
		p.cl.mu.Unlock()
		<-ch
	}
}

// Start and Stop implement ownership.Handler. They record guards and check that a partition is never started twice at
// the same time and that its epochs rise.
func (p *process) Start(_ context.Context, g ownership.Guard) error {
	if p.failStart.Load() {
		return errNoAnswer
	}
	c := p.cl
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.started[p][g.Partition()] {
		c.violations = append(c.violations, p.id+" started "+g.Partition()+" twice at the same time")
	}
	if g.Epoch() <= c.maxStarted[g.Partition()] && g.Check() == nil {
		c.violations = append(c.violations, fmt.Sprintf("%s started %s at epoch %d again", p.id, g.Partition(), g.Epoch()))
	}
	c.maxStarted[g.Partition()] = max(c.maxStarted[g.Partition()], g.Epoch())
	c.started[p][g.Partition()] = true
	c.guards = append(c.guards, &recordedGuard{Guard: g, p: p})
	c.record(epochOp{g.Partition(), g.Epoch(), true})
	return nil
}

func (p *process) Stop(ctx context.Context, partition string, handover bool) {
	p.cl.mu.Lock()
	defer p.cl.mu.Unlock()
	p.cl.started[p][partition] = false
	for _, g := range p.cl.guards {
		if !handover && g.p == p && g.Partition() == partition && g.Check() == nil {
			p.cl.violations = append(p.cl.violations, p.id+" was told to stop because the ownership was lost, but its guard passes")
		}
	}
}

// owners returns the guards of the partition that pass now, and records a violation if there is more than one. Paused
// processes count, because they may resume at any time.
func (c *cluster) owners(partition string) (out []*recordedGuard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, g := range c.guards {
		if g.Partition() != partition || g.p.killed.Load() {
			continue
		}
		switch err := g.Check(); {
		case err != nil && g.failed.IsZero():
			g.failed = time.Now()
		case err == nil && !g.failed.IsZero():
			c.violations = append(c.violations, g.p.id+": a guard passes again after it had failed")
		}
		if g.failed.IsZero() {
			out = append(out, g)
			if c.guardChecks++; c.guardChecks%guardSampleInterval == 0 {
				c.record(epochOp{partition, g.Epoch(), false})
			}
		}
	}
	if len(out) > 1 {
		c.violations = append(c.violations, fmt.Sprintf("%s is owned by %s at epoch %d and by %s at epoch %d", partition,
			out[0].p.id, out[0].Epoch(), out[1].p.id, out[1].Epoch()))
	}
	return out
}

// dropFailedGuards drops the guards of dead processes and those that failed more than a minute ago, to keep the checks
// short.
func (c *cluster) dropFailedGuards() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guards = slices.DeleteFunc(c.guards, func(g *recordedGuard) bool {
		return g.p.killed.Load() || !g.failed.IsZero() && time.Since(g.failed) > time.Minute
	})
}

// runChecked advances virtual time by d, checks at each step that no partition has two owners, and returns the longest
// time for which some partition had no owner.
func (c *cluster) runChecked(d time.Duration) (gap time.Duration) {
	const step = 20 * time.Millisecond
	since := map[string]time.Duration{}
	for range d / step {
		time.Sleep(step)
		for _, name := range c.partitions {
			if since[name] += step; len(c.owners(name)) > 0 {
				since[name] = 0
			}
			gap = max(gap, since[name])
		}
	}
	return gap
}

// stopAll kills all processes and waits until they have ended.
func (c *cluster) stopAll() {
	for _, p := range c.processes {
		p.kill()
	}
	for _, p := range c.processes {
		<-p.done
	}
}

// storeLink is the connection of one process to the table, with injected faults.
type storeLink struct{ p *process }

func (s *storeLink) call(ctx context.Context, op func() error) error {
	s.p.waitWhilePaused()
	defer s.p.waitWhilePaused()
	if s.p.storeUnreachable.Load() {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return table.ErrUnavailable
	}
	time.Sleep(2 * time.Millisecond)
	return op()
}

func (s *storeLink) Get(ctx context.Context, key string) (r table.Row, err error) {
	if s.p.failRowReads.Load() && strings.HasPrefix(key, ownership.Prefix) {
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
		if c.randomChance(s.p.lateCommitPercent.Load()) {
			go func() {
				time.Sleep(time.Duration(c.random(int64(10 * time.Second))))
				_, _ = c.mem.Commit(context.Background(), txn)
			}()
			<-ctx.Done()
			return table.ErrUnknownOutcome
		}
		if res, err = c.mem.Commit(ctx, txn); err == nil && c.randomChance(s.p.lostResponsePercent.Load()) {
			res, err = table.Result{}, table.ErrUnknownOutcome
		}
		return err
	})
	return res, err
}

// peerLink is the connection of one process to the other processes, with injected faults.
type peerLink struct{ p *process }

func (l *peerLink) call(ctx context.Context, addr string, f func(to *process)) error {
	l.p.waitWhilePaused()
	defer l.p.waitWhilePaused()
	time.Sleep(time.Millisecond)
	c := l.p.cl
	c.mu.Lock()
	to, blocked := c.processes[addr], c.blockedLinks[[2]string{l.p.id, addr}]
	c.mu.Unlock()
	switch {
	case blocked, to.paused.Load():
		<-ctx.Done()
		return errNoAnswer
	case to.killed.Load():
		return session.ErrConnectionRefused
	}
	f(to)
	if c.randomChance(l.p.lostResponsePercent.Load()) {
		return errNoAnswer
	}
	return nil
}

func (l *peerLink) Promise(ctx context.Context, to session.Peer, q session.PromiseRequest) (r session.PromiseReply, err error) {
	err = l.call(ctx, to.PeerAddr, func(p *process) { r = p.guarantor.Promise(q) })
	return r, err
}

func (l *peerLink) Consent(ctx context.Context, to session.Peer, q session.ConsentRequest) (r session.ConsentReply, err error) {
	err = l.call(ctx, to.PeerAddr, func(p *process) { r = p.guarantor.Consent(q) })
	return r, err
}

func (l *peerLink) Probe(ctx context.Context, addr string) (r session.ProbeReply, err error) {
	err = l.call(ctx, addr, func(p *process) { r = p.keeper.Probe() })
	return r, err
}

func (l *peerLink) NotifyRowChanged(ctx context.Context, addr string, n ownership.RowNotice) error {
	if !l.p.cl.notify {
		return errNoAnswer
	}
	return l.call(ctx, addr, func(p *process) { p.manager.HandleRowNotice(n) })
}

func (l *peerLink) HostListed(string) (listed, known bool) { return true, true }

// injectFault makes one random change to the faults in force.
func (c *cluster) injectFault(rnd *rand.Rand, ids []string) {
	id, other, kind, n := ids[rnd.IntN(len(ids))], ids[rnd.IntN(len(ids))], rnd.IntN(14), rnd.Int64N(40)
	p := c.processes[id]
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
		p.lostResponsePercent.Store(n)
		p.lateCommitPercent.Store(n / 2)
	case 9:
		p.storeUnreachable.Store(!p.storeUnreachable.Load())
	case 10:
		c.mu.Lock()
		c.blockedLinks[[2]string{id, other}] = !c.blockedLinks[[2]string{id, other}] && id != other
		c.mu.Unlock()
	case 11, 12: // restarts, more frequent than kills without a restart, so that most daemons are alive
		p.kill()
		<-p.done
		c.start(id)
	case 13:
		p.kill()
	}
}

// clearFaults ends all faults; killed processes stay dead.
func (c *cluster) clearFaults() {
	c.mem.SetFaults(table.Faults{})
	c.mu.Lock()
	clear(c.blockedLinks)
	c.mu.Unlock()
	for _, p := range c.processes {
		p.storeUnreachable.Store(false)
		p.lostResponsePercent.Store(0)
		p.lateCommitPercent.Store(0)
		p.pause(false)
	}
}

// maxReassignTime is the time within which every partition has an owner after faults have ended: 4.5 s of observation,
// or a guarantor's quarantine of 4.5 s after that, then the consent, 2 s until other daemons claim, and one second for
// each scan.
const maxReassignTime = 15 * time.Second

// maxHandoverGap is the longest time for which a partition has no owner during a handover whose notice is lost: one
// scan and the commits.
const maxHandoverGap = 1100 * time.Millisecond

// These flags allow longer runs of TestOneOwner.
var (
	seeds = flag.Uint64("seeds", 25, "number of random histories")
	first = flag.Uint64("first", 0, "first seed")
)

// TestOneOwner guards against a partition that has two owners at any time, and against a partition that stays without
// an owner, under random pauses, store outages, lost responses, late commits, stale reads, network partitions, crashes
// and restarts.
func TestOneOwner(t *testing.T) {
	ids := []string{"1a", "1b", "2c", "3d"}
	for seed := *first; seed < *first+*seeds; seed++ {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(seed, "pool/x/0", "pool/x/1", "pool/x/2")
			c.notify = seed%2 == 0
			rnd := rand.New(rand.NewPCG(seed, 2)) // the sequence of faults depends only on the seed
			defer c.stopAll()
			for _, id := range ids {
				c.start(id)
			}
			c.runChecked(15 * time.Second)
			for range 80 {
				c.injectFault(rnd, ids)
				c.dropFailedGuards()
				c.runChecked(time.Duration(rnd.Int64N(int64(3 * time.Second))))
			}
			c.clearFaults()
			if c.processes[ids[0]].killed.Load() {
				c.start(ids[0]) // the other dead processes stay dead, and the guarantors of a session may be among them
			}
			c.runChecked(maxReassignTime)
			if gap := c.runChecked(40 * time.Second); gap > maxHandoverGap {
				t.Errorf("seed %d: a partition had no owner for %v after the faults ended", seed, gap)
			}
			if !porcupine.CheckOperations(epochModel, c.ops) {
				t.Errorf("seed %d: a guard passed after a higher epoch was claimed", seed)
			}
			violations, _ := c.history()
			for _, f := range violations {
				t.Errorf("seed %d: %s", seed, f)
			}
		})
	}
}

// runCluster runs f with three daemons that own the partitions and whose guarantors have passed their quarantine.
func runCluster(t *testing.T, name string, notify bool, f func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, "pool/x/0", "pool/x/1", "pool/x/2", "pool/x/3", "pool/x/4", "pool/x/5")
		c.notify = notify
		defer c.stopAll()
		Convey(name, t, func() {
			for _, id := range []string{"1a", "2b", "3c"} {
				c.start(id)
			}
			c.runChecked(20 * time.Second)
			f(c)
			faults, _ := c.history()
			So(faults, ShouldBeEmpty)
		})
	})
}

// largestOwner returns the process that owns the most partitions.
func (c *cluster) largestOwner() (best *process) {
	count := map[*process]int{}
	for _, name := range c.partitions {
		for _, g := range c.owners(name) {
			if count[g.p]++; best == nil || count[g.p] > count[best] {
				best = g.p
			}
		}
	}
	return best
}
