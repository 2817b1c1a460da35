package app

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/pprof"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/admin"
	"github.com/greengagewing/greengagewing/internal/asynclog"
	"github.com/greengagewing/greengagewing/internal/cluster/clock"
	"github.com/greengagewing/greengagewing/internal/cluster/configage"
	"github.com/greengagewing/greengagewing/internal/cluster/coordinator"
	"github.com/greengagewing/greengagewing/internal/cluster/delegate"
	"github.com/greengagewing/greengagewing/internal/cluster/election"
	"github.com/greengagewing/greengagewing/internal/cluster/frontend"
	"github.com/greengagewing/greengagewing/internal/cluster/meter"
	"github.com/greengagewing/greengagewing/internal/cluster/peers"
	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/ingress"
	"github.com/greengagewing/greengagewing/internal/network"
	"github.com/greengagewing/greengagewing/internal/release"
	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	// electionInterval is how often the daemon checks whether it should claim the ownership.
	electionInterval = 50 * time.Millisecond
	claimTimeout     = 1500 * time.Millisecond
	// claimBackoff is the delay after a failed claim, so that claims don't overload a store that has problems.
	claimBackoff = 300 * time.Millisecond
	// watchPollTimeout is the long-poll timeout of a watch call: how long the owner delays its answer.
	// smallHostWatchPollTimeout is the same for small hosts, which claim the ownership last: there may be hundreds of them,
	// and their watch calls would take much of the owner's processor time. watchCallMargin is added to get the timeout of
	// the call.
	watchPollTimeout          = 500 * time.Millisecond
	smallHostWatchPollTimeout = 2500 * time.Millisecond
	watchCallMargin           = 400 * time.Millisecond
	watchRetryDelay           = 100 * time.Millisecond
	// takeOverTimeout is how long a peer tries to claim an ownership that it was offered; offerTimeout adds the time on the
	// network.
	takeOverTimeout = 500 * time.Millisecond
	offerTimeout    = 700 * time.Millisecond
	offerRetryDelay = 250 * time.Millisecond
	// yieldInterval is how often an owner on a small host checks whether a larger host is available.
	yieldInterval = time.Second
	// hostsFeedTimeout is how long a feed call for the table Hosts waits for a change. It is long because the hosts change
	// rarely.
	hostsFeedTimeout = 4 * time.Second
	// releaseTimeout is the timeout for releasing the ownership, and for registering the host as draining, when the daemon
	// stops.
	releaseTimeout = 1500 * time.Millisecond
	// ownerGCPercent is the heap growth between garbage collections, in percent, while this host is the owner. The owner
	// allocates more than the other hosts and needs its processor time for decisions, so it trades memory for fewer collections.
	// The memory limit of the process still applies.
	ownerGCPercent = 200
	// peerIdleTimeout is longer than peers keep idle connections, so that they don't use one that is being closed.
	peerIdleTimeout    = time.Minute
	peerMaxHeaderBytes = 16 << 10
	// operatorRequests is how many state dumps and profiles, and how many pages of metrics, are made at a time.
	operatorRequests = 4
)

// Parts are the components of a Node.
type Parts struct {
	fx.In
	Config       Config
	Platform     Platform
	Store        *rowstore.AdaptiveStore
	Network      network.Network
	Clock        clock.Func
	Self         election.Identity
	ConfigHolder *queues.ConfigHolder
	Tracker      *configage.Tracker
	Scope        tally.Scope
	Watch        *election.Watch
	Roster       *peers.Roster
	Peers        *peers.Client
	Coordinator  *coordinator.Coordinator
	JobService   *frontend.JobService
	Readiness    *admin.Readiness
	Gate         *ingress.Gate
	States       *admin.States
	Metrics      http.Handler
	Duties       *meter.Duties
	Log          *zap.Logger
}

// Node runs the daemon's duties: it serves callers and peers, follows the store's tables, takes part in the election of the
// owner and works as a delegate.
type Node struct {
	parts            Parts
	ctx              context.Context // ends when the daemon stops
	cancel           context.CancelFunc
	dutiesCtx        context.Context // ends when the drain begins
	stopDuties       context.CancelFunc
	wg               sync.WaitGroup
	duties           sync.WaitGroup // duties that end when the drain begins
	delegateSessions *delegate.SessionManager
	peerSrv          *http.Server
	stopServe        func(context.Context) error
}

func newNode(p Parts) *Node {
	n := &Node{parts: p}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.dutiesCtx, n.stopDuties = context.WithCancel(n.ctx)
	n.delegateSessions = n.newSessionManager()
	p.Readiness.Check("configuration", func() error {
		if p.ConfigHolder.Current() == nil {
			return errors.New("no version has been read yet")
		}
		return nil
	})
	p.States.Add("owner", func() any { return p.Watch.View() })
	p.States.Add("hosts", func() any { return p.Roster.Hosts() })
	p.States.Add("coordinator", p.Coordinator.Dump)
	p.States.Add("delegate", func() any { return map[string]int{"workers": n.delegateSessions.Workers()} })
	p.States.Add("configuration", n.configurationState)
	p.States.Add("clients", p.Gate.Dump)
	p.States.Add("queues", func() any { return p.ConfigHolder.Current() })
	return n
}

// Start opens the listeners and starts the goroutines of the daemon.
func (n *Node) Start(context.Context) error {
	if err := n.servePeers(); err != nil {
		return err
	}
	stop, err := n.parts.Platform.Serve(n.parts.JobService, n.parts.ConfigHolder, n.parts.Tracker, n.parts.Readiness)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	n.stopServe = stop
	n.followConfig()
	n.follow(election.OwnerTable, election.Partition, n.parts.Watch, n.parts.Watch.RecordFeedAnswer, 0)
	n.follow(records.Hosts, "", n.parts.Roster, nil, hostsFeedTimeout)
	n.wg.Go(func() { n.watchOwner(n.ctx) })
	n.wg.Go(func() { n.parts.Gate.Run(n.ctx) })
	n.duties.Go(func() { n.elect(n.dutiesCtx) })
	n.duties.Go(func() { n.delegateSessions.Run(n.dutiesCtx) })
	host := n.host()
	host.Started = time.Now()
	n.duties.Go(func() { peers.Register(n.dutiesCtx, n.parts.Store, host, n.parts.Log) })
	n.parts.Log.Info("daemon started", zap.String("release", release.Version()), zap.String("peer_addr", n.parts.Self.Addr), zap.String("boot", n.parts.Self.BootID),
		zap.Duration("lease", n.parts.Config.Delegate.Lease))
	return nil
}

// host returns the description of this daemon for the roster.
func (n *Node) host() peers.Host {
	return peers.Host{Identity: n.parts.Self, FailureDomain: n.parts.Config.FailureDomain, Processors: n.parts.Config.Processors}
}

// canOwn reports whether this host is large enough to be the owner. While no host is registered, it returns true.
func (n *Node) canOwn() bool {
	canOwn := n.parts.Roster.OwnerCandidates()
	return len(canOwn) == 0 || slices.ContainsFunc(canOwn, func(h peers.Host) bool { return h.Host == n.parts.Self.Host })
}

// follow starts a follower of one partition of a table. A positive wait replaces the usual wait for changes.
func (n *Node) follow(table, partition string, h rowstore.Handler, onFeedAnswer func(time.Time), wait time.Duration) {
	f := &rowstore.Follower{Store: n.parts.Store, Table: table, Partitions: []string{partition}, Handler: h, Log: n.parts.Log, OnFeedAnswer: onFeedAnswer, PollTimeout: wait}
	n.wg.Go(func() { f.Run(n.ctx) })
}

func (n *Node) servePeers() error {
	e := gin.New()
	peers.NewServer(n.parts.Coordinator, n.parts.Platform, n.parts.JobService, n, n.parts.Self.BootID, n.parts.Log, n.parts.Duties).Register(e)
	peers.RegisterConfig(e, func(q configage.Question) configage.Answer { return n.parts.Tracker.Answer(n.parts.ConfigHolder, q) })
	admin.NewHealth(e, n.parts.Readiness, n.parts.Gate.AtMost(operatorRequests, n.parts.Metrics), Version)
	operators := e.Group("", n.parts.Gate.LimitRoutes(operatorRequests))
	operators.GET("/state", func(c *gin.Context) { c.IndentedJSON(http.StatusOK, n.parts.States.Dump(c.Query("part"))) })
	operators.GET("/debug/pprof/profile", gin.WrapF(pprof.Profile))
	operators.GET("/debug/pprof/:profile", func(c *gin.Context) {
		pprof.Handler(c.Param("profile")).ServeHTTP(c.Writer, c.Request)
	})
	l, err := n.parts.Network.Listen("tcp", n.parts.Self.Addr)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	n.peerSrv = &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: peerIdleTimeout, MaxHeaderBytes: peerMaxHeaderBytes}
	guarded := n.parts.Gate.Guard(ingress.Peers, n.peerSrv, l)
	n.wg.Go(func() { n.servePeersOn(guarded) })
	return nil
}

func (n *Node) servePeersOn(l net.Listener) {
	if err := n.peerSrv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		n.parts.Log.Error("listener for peers failed", asynclog.Error(err))
	}
}

// Version is the version of the daemon.
const Version = "0.2.0"

// elect claims the ownership when it is free and then runs as the owner, until ctx ends.
func (n *Node) elect(ctx context.Context) {
	for wait.For(ctx, electionInterval) {
		v := n.parts.Watch.View()
		v.LargerHostsExist = !n.canOwn()
		if n.parts.ConfigHolder.Current() == nil || !election.ShouldClaim(v, n.parts.Self, time.Now()) {
			continue
		}
		n.parts.Log.Info("claiming the ownership", zap.String("from", v.Owner.Host), zap.Int64("epoch", v.Owner.Epoch),
			zap.Bool("released", v.Owner.Released), zap.Bool("unreachable", v.Unreachable), zap.Bool("gone", !v.ProcessEndedAt.IsZero()),
			zap.Duration("row_age", time.Since(v.ChangedAt)), zap.Duration("feed_age", time.Since(v.FeedAnsweredAt)))
		claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
		term, err := election.Claim(claimCtx, n.parts.Store, n.parts.Self,
			election.Predecessor{Epoch: v.Owner.Epoch, LastSeq: v.Offered}, n.parts.Clock)
		cancel()
		if err != nil {
			n.parts.Log.Warn("claim failed", asynclog.Error(err))
			wait.For(ctx, claimBackoff)
			continue
		}
		n.runAsOwner(ctx, term, v)
	}
}

// runAsOwner runs the coordinator for the term of an ownership that was just claimed. When the term ends without having been
// lost to another host, it releases the ownership and names a successor. The view before the claim tells who the previous
// owner was.
func (n *Node) runAsOwner(ctx context.Context, term *election.Ownership, before election.View) {
	predecessorGone := func() bool {
		o := before.Owner
		return o.Released || n.parts.Roster.Replaced(o.Host, o.BootID, before.EpochVersion)
	}
	defer debug.SetGCPercent(debug.SetGCPercent(ownerGCPercent))
	termCtx, stop := context.WithCancel(ctx)
	n.duties.Go(func() { n.yieldToLargerHost(termCtx, stop) })
	n.duties.Go(func() { n.offerWhenCutOff(termCtx, term) })
	err := n.parts.Coordinator.Run(termCtx, term, predecessorGone)
	stop()
	if err != nil {
		n.parts.Log.Warn("term ended", zap.Int64("epoch", term.Epoch()), asynclog.Error(err))
	}
	if term.Lost() {
		// Wait, because the row of the new owner may not have arrived yet.
		wait.For(ctx, claimBackoff)
		return
	}
	releaseCtx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	successor := n.successor()
	if err := term.Release(releaseCtx, successor); err != nil {
		n.parts.Log.Warn("ownership not released", asynclog.Error(err))
		return
	}
	n.parts.Log.Info("ownership released", zap.Int64("epoch", term.Epoch()), zap.String("successor", successor))
}

// yieldToLargerHost ends the term of an owner on a small host by calling stop, once a larger host answers.
func (n *Node) yieldToLargerHost(ctx context.Context, stop context.CancelFunc) {
	for wait.For(ctx, yieldInterval) {
		if n.canOwn() {
			continue
		}
		h, ok := n.randomCandidate()
		if !ok || !n.isReachable(ctx, h) {
			continue
		}
		n.parts.Log.Info("a larger host is available, giving up the ownership", zap.String("to", h.Host),
			zap.Float64("processors", n.parts.Config.Processors))
		stop()
	}
}

// isReachable reports whether the host answers and still runs the registered process.
func (n *Node) isReachable(ctx context.Context, h peers.Host) bool {
	callCtx, cancel := context.WithTimeout(ctx, watchPollTimeout+watchCallMargin)
	defer cancel()
	bootID, _, err := n.parts.Peers.WatchProcess(callCtx, h.Addr, h.BootID, watchPollTimeout)
	return err == nil && bootID == h.BootID
}

// offerWhenCutOff offers the ownership to peers while the store refuses this owner's commits or does not answer them, since
// it may serve other hosts.
func (n *Node) offerWhenCutOff(ctx context.Context, term *election.Ownership) {
	for wait.For(ctx, electionInterval) && !term.Lost() {
		if !term.CommitsFailing() || term.StoreResponsive(ctx) {
			continue
		}
		if n.offerToAll(ctx, term) {
			term.MarkLost()
			return
		}
		wait.For(ctx, offerRetryDelay)
	}
}

// offerToAll offers the ownership to all other hosts that may be the owner, since some of them may be cut off from the store
// too. It reports whether one has claimed it.
func (n *Node) offerToAll(ctx context.Context, term *election.Ownership) bool {
	hosts := n.otherCandidates()
	answers := make(chan bool, len(hosts))
	for _, h := range hosts {
		n.duties.Go(func() { answers <- n.offerTo(ctx, term, h) })
	}
	for range hosts {
		if <-answers {
			return true
		}
	}
	return false
}

// offerTo offers the ownership to one host and reports whether the host has claimed it.
func (n *Node) offerTo(ctx context.Context, term *election.Ownership, h peers.Host) bool {
	callCtx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	claimed, err := n.parts.Peers.OfferOwnership(callCtx, h.Addr, n.parts.Self.BootID, term.LastSeq())
	n.parts.Log.Info("ownership offered", zap.String("to", h.Host), zap.Int64("epoch", term.Epoch()), zap.Bool("claimed", claimed),
		zap.Duration("confirmed_age", term.SinceLastCommit()), asynclog.Error(err))
	return claimed
}

// otherCandidates returns the other hosts that are large enough to be the owner.
func (n *Node) otherCandidates() []peers.Host {
	return slices.DeleteFunc(n.parts.Roster.OwnerCandidates(), func(h peers.Host) bool { return h.Host == n.parts.Self.Host })
}

func (n *Node) randomCandidate() (peers.Host, bool) {
	hosts := n.otherCandidates()
	if len(hosts) == 0 {
		return peers.Host{}, false
	}
	return hosts[rand.IntN(len(hosts))], true
}

// TakeOver implements peers.Successor. It makes the offer known to elect and waits for the result of the election.
func (n *Node) TakeOver(ctx context.Context, bootID string, lastSeq int64) bool {
	v := n.parts.Watch.View()
	if v.Owner.BootID != bootID || n.parts.Readiness.Draining() {
		return false
	}
	n.parts.Watch.RecordOffer(bootID, lastSeq)
	defer n.parts.Watch.RecordOffer(bootID, 0)
	limit := time.Now().Add(takeOverTimeout)
	for time.Now().Before(limit) && wait.For(ctx, electionInterval) {
		if n.parts.Coordinator.Epoch() > v.Owner.Epoch {
			return true
		}
		if now := n.parts.Watch.View().Owner; now.BootID != bootID {
			return now.BootID == n.parts.Self.BootID
		}
	}
	return false
}

// successor returns the host that this owner hands the ownership to: the one that was started last. In a rolling restart that
// host has been restarted already, so the ownership does not move again soon.
func (n *Node) successor() string {
	var best peers.Host
	for _, h := range n.parts.Roster.OwnerCandidates() {
		if h.Host != n.parts.Self.Host && (best.Host == "" || h.Started.After(best.Started)) {
			best = h
		}
	}
	return best.Host
}

// watchOwner keeps a long-poll call to the owner open, so that this host notices at once when the owner's process ends.
func (n *Node) watchOwner(ctx context.Context) {
	for ctx.Err() == nil {
		owner := n.parts.Watch.View().Owner
		if owner.Addr == "" || owner.BootID == n.parts.Self.BootID || owner.Released {
			wait.For(ctx, watchRetryDelay)
			continue
		}
		pollTimeout := n.watchPollTimeout()
		callCtx, cancel := context.WithTimeout(ctx, pollTimeout+watchCallMargin)
		bootID, isOwner, err := n.parts.Peers.WatchProcess(callCtx, owner.Addr, owner.BootID, pollTimeout)
		cancel()
		if ctx.Err() != nil {
			return
		}
		switch {
		case errors.Is(err, peers.ErrConnectionRefused), err == nil && bootID != owner.BootID:
			n.parts.Watch.RecordProcessEnded(owner.BootID)
		default:
			n.parts.Watch.RecordReachable(owner.BootID, err == nil)
		}
		if err != nil || !isOwner {
			wait.For(ctx, watchRetryDelay)
		}
	}
}

// watchPollTimeout returns the long-poll timeout of this host's watch calls.
func (n *Node) watchPollTimeout() time.Duration {
	if n.canOwn() {
		return watchPollTimeout
	}
	return smallHostWatchPollTimeout
}

// Stop drains the daemon: it fails the readiness check for the load balancer, hands over the ownership, registers the host as
// draining, waits until DrainNotice has passed since the start of the drain, and waits for calls in progress.
func (n *Node) Stop(ctx context.Context) error {
	began := time.Now()
	n.parts.Log.Info("daemon draining", zap.Int64("epoch", n.parts.Coordinator.Epoch()))
	n.parts.Readiness.Drain()
	n.stopDuties()
	n.duties.Wait()
	draining := n.host()
	draining.Draining = true
	registerCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	peers.Register(registerCtx, n.parts.Store, draining, n.parts.Log)
	cancel()
	wait.For(ctx, n.parts.Config.DrainNotice-time.Since(began))
	err := n.stopServe(ctx)
	_ = n.peerSrv.Close() // a peer whose call breaks asks another host
	n.cancel()
	n.wg.Wait()
	n.parts.Peers.Close()
	n.parts.Platform.Close()
	n.parts.Log.Info("daemon stopped", zap.Duration("took", time.Since(began)), asynclog.Error(err))
	return err
}
