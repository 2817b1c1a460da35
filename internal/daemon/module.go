package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/commitlog"
	"github.com/greengagewing/greengagewing/idempotency"
	"github.com/greengagewing/greengagewing/internal/admin"
	"github.com/greengagewing/greengagewing/internal/entry"
	"github.com/greengagewing/greengagewing/internal/job"
	"github.com/greengagewing/greengagewing/internal/job/worker"
	"github.com/greengagewing/greengagewing/internal/membership"
	"github.com/greengagewing/greengagewing/internal/metrics"
	"github.com/greengagewing/greengagewing/internal/network"
	"github.com/greengagewing/greengagewing/internal/peer"
	"github.com/greengagewing/greengagewing/internal/request"
	"github.com/greengagewing/greengagewing/internal/settings"
	"github.com/greengagewing/greengagewing/lanes"
	"github.com/greengagewing/greengagewing/ownership"
	"github.com/greengagewing/greengagewing/session"
	"github.com/greengagewing/greengagewing/table"
)

const (
	membershipDialTimeout = 500 * time.Millisecond
)

// Module provides all components of the daemon.
var Module = fx.Options(
	fx.Provide(
		newLogger, metrics.New, newBackground, admin.NewReadiness, admin.NewStates,
		newTable, newMembership, newPeerClient,
		newSessionConfig, newKeeper, newObserver, newGuarantor, newManager,
		newCommitter, newRoster, newMembers, newLists, newAnnouncer, newHeartbeatExchange, newHeartbeater, peer.NewLender, newGauges,
		newRequestService, newPool, newEntry,
	),
	fx.Invoke(func(b *heartbeatExchange, rs *request.Service) { b.service = rs }),
	fx.Invoke(registerPartitions, registerStates, registerReadinessChecks, runLifecycle),
)

func newLogger(s *settings.Settings) (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	level, err := zap.ParseAtomicLevel(s.LogLevel)
	if err != nil {
		return nil, err
	}
	cfg.Level = level
	return cfg.Build()
}

// background runs goroutines until the daemon has drained.
type background struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func newBackground() *background {
	ctx, cancel := context.WithCancel(context.Background())
	return &background{ctx: ctx, cancel: cancel}
}

func (b *background) run(task func(context.Context)) {
	b.wg.Go(func() { task(b.ctx) })
}

func (b *background) stop() {
	b.cancel()
	b.wg.Wait()
}

func newTable(s *settings.Settings, n network.Network) table.Client {
	return table.NewHTTPClient(s.Table.String(), table.DialFunc(n.Dial))
}

func newMembership(s *settings.Settings, n network.Network) *membership.List {
	hc := &http.Client{Transport: &http.Transport{DialContext: network.WithTimeout(n.Dial, membershipDialTimeout)}}
	return membership.NewList(membership.NewHTTPFetcher(s.Membership.String(), hc))
}

func newPeerClient(s *settings.Settings, n network.Network) *peer.Client {
	return peer.NewClient(s.Secret, n.Dial)
}

func newSessionConfig(s *settings.Settings, log *zap.Logger) session.Config {
	addr := s.PeerListen.String()
	return session.Config{
		ID: addr, PeerAddr: addr, Region: string(s.Region), FailureDomain: string(s.FailureDomain),
		Groups: groups(s), Log: log,
	}
}

func newObserver(cfg session.Config, t table.Client, c *peer.Client, l *membership.List) *session.Observer {
	return session.NewObserver(cfg, t, peer.Sessions{Client: c}, l)
}

func newKeeper(cfg session.Config, t table.Client, c *peer.Client, o *session.Observer) *session.Keeper {
	return session.NewKeeper(cfg, t, peer.Sessions{Client: c}, o.Live)
}

func newGuarantor(cfg session.Config, k *session.Keeper) *session.Guarantor {
	return session.NewGuarantor(cfg, k.Boot())
}

func newManager(t table.Client, k *session.Keeper, o *session.Observer, c *peer.Client, log *zap.Logger) *ownership.Manager {
	return ownership.New(ownership.Config{Notifier: peer.Sessions{Client: c}, Log: log}, t, k, o)
}

// Limits of the journals' commits. All daemons share the write capacity of the store, which is several hundred writes per
// second. With eight daemons the journals write at most 288 times in any second: 26 and a burst of 10 each.
const (
	journalCommits    = 208.0 // commits per second of all daemons together
	maxJournalCommits = 80.0  // commits per second of one daemon
)

func newCommitter(t table.Client, o *session.Observer, k *session.Keeper, log *zap.Logger) *commitlog.Committer {
	rate := func() float64 { return min(journalCommits/float64(max(len(o.Live()), 1)), maxJournalCommits) }
	return commitlog.NewCommitter(t, commitlog.Config{Rate: rate, StoreFailing: k.LastWriteUnavailable, Logger: log})
}

// newClaims builds an idempotency.Table from the records of a journal, as the claims of the request service.
func newClaims(log idempotency.Log, records [][]byte) (request.ClaimTable, error) {
	t := idempotency.New(log, idempotency.Config{})
	return t, t.Restore(records)
}

func newRequestService(s *settings.Settings, j *commitlog.Committer, m *membership.List, l *lists, lender *peer.Lender,
	scope tally.Scope, log *zap.Logger, n network.Network) *request.Service {
	cfg := request.Config{Queue: lanes.Config{SwingFactor: s.SwingFactor.Value}}
	return request.NewService(cfg, request.Deps{
		Journals: j, RestoreClaims: newClaims, Members: m, Plans: l.lookup, Lender: lender,
		Scope: scope, Log: log, Dial: n.Dial,
	})
}

func newPool(j *commitlog.Committer, m *membership.List, l *lists, scope tally.Scope, log *zap.Logger,
	n network.Network) *job.Pool {
	return job.New(poolConfig, job.Deps{
		Journals: j, Members: m, Plans: l.lookup, Workers: worker.NewHTTPClient(n.Dial), Metrics: scope.SubScope("job"), Log: log,
	})
}

// ownerResolver adapts ownership.Manager to entry.OwnerResolver.
type ownerResolver struct {
	m          *ownership.Manager
	heartbeats *peer.Heartbeater
}

func (o ownerResolver) OwnerOf(partition string) (entry.Owner, bool) {
	owner, known := o.m.OwnerOf(partition)
	return entry.Owner{
		Self: owner.Self, Addr: owner.PeerAddr, Unresponsive: !owner.Self && o.heartbeats.Unresponsive(owner.PeerAddr),
	}, known
}

// callerEntries provides the routers for requests and jobs and the gate that closes them during a drain.
type callerEntries struct {
	fx.Out
	Requests *entry.Requests
	Jobs     *entry.Jobs
	Gate     *gate
}

func newEntry(s *settings.Settings, m *ownership.Manager, h *peer.Heartbeater, c *peer.Client, rs *request.Service,
	p *job.Pool) callerEntries {
	g, o := &gate{}, ownerResolver{m, h}
	return callerEntries{
		Requests: entry.NewRequests(o, c, rs, s.Services, g.closed.Load),
		Jobs:     entry.NewJobs(o, c, p, s.Pools, g.closed.Load),
		Gate:     g,
	}
}

func newRoster(s *settings.Settings, o *session.Observer) peer.Roster {
	return peer.RosterOf(o, s.PeerListen.String(), groups(s))
}

func newMembers(c *peer.Client, r peer.Roster) peer.Members {
	return peer.Members{Client: c, Roster: r}
}

func newHeartbeater(c *peer.Client, r peer.Roster, b *heartbeatExchange) *peer.Heartbeater {
	return peer.NewHeartbeater(c, r, b.compose, b.receive)
}

func newEngine() *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.Use(gin.Recovery())
	return e
}
