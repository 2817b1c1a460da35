package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/commitlog"
	"github.com/greengagewing/greengagewing/internal/admin"
	"github.com/greengagewing/greengagewing/internal/api"
	"github.com/greengagewing/greengagewing/internal/entry"
	"github.com/greengagewing/greengagewing/internal/membership"
	"github.com/greengagewing/greengagewing/internal/network"
	"github.com/greengagewing/greengagewing/internal/peer"
	"github.com/greengagewing/greengagewing/internal/request"
	"github.com/greengagewing/greengagewing/internal/settings"
	"github.com/greengagewing/greengagewing/internal/wait"
	"github.com/greengagewing/greengagewing/ownership"
	"github.com/greengagewing/greengagewing/session"
	"github.com/greengagewing/greengagewing/versionedlist"
)

const (
	readHeaderTimeout = 5 * time.Second
	// forwardingGracePeriod is how long the peer listener stays open after the handover. While partitions move, the other
	// daemons read the partition rows every second. Until they see the new owner they still call this daemon, which answers
	// that it is no longer the owner, so that they retry there.
	forwardingGracePeriod = 1500 * time.Millisecond
)

// ErrDrainIncomplete reports that the drain timed out before the daemon had handed over everything.
var ErrDrainIncomplete = errors.New("daemon: drain did not finish in time")

// lifecycle starts the daemon's background goroutines and listeners, and drains them in order.
type lifecycle struct {
	fx.In

	Settings    *settings.Settings
	Log         *zap.Logger
	MetricsPage http.Handler
	Network     network.Network
	Background  *background
	Ready       *admin.Readiness
	States      *admin.States
	Gate        *gate

	Keeper          *session.Keeper
	Observer        *session.Observer
	Guarantor       *session.Guarantor
	Manager         *ownership.Manager
	Committer       *commitlog.Committer
	Lists           *lists
	Announcer       *announcer
	Members         *membership.List
	PeerMemberships peer.Members // reads the membership lists of the other daemons
	Heartbeats      *peer.Heartbeater
	Gauges          *gauges
	Client          *peer.Client

	Requests *entry.Requests
	Jobs     *entry.Jobs
	Service  *request.Service

	Shutdowner fx.Shutdowner
}

// server is a listener with its HTTP server.
type server struct {
	name string
	addr string
	http *http.Server
}

func newServer(name, addr string, h http.Handler) *server {
	return &server{name: name, addr: addr, http: &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}}
}

func (s *server) start(listen network.ListenFunc, log *zap.Logger) error {
	l, err := listen("tcp", s.addr)
	if err != nil {
		return errors.Wrap(err, s.name+" listener")
	}
	log.Info("listening", zap.String("for", s.name), zap.Stringer("addr", l.Addr()))
	go func() { _ = s.http.Serve(l) }()
	return nil
}

// stop refuses new connections and waits until the calls in progress have ended or ctx is done.
func (s *server) stop(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.Wrap(err, s.name+" listener")
	}
	return nil
}

func runLifecycle(lc fx.Lifecycle, d lifecycle) {
	callers := newServer("callers", d.Settings.Listen.String(), d.callerRoutes())
	peers := newServer("peers", d.Settings.PeerListen.String(), d.peerRoutes())
	lc.Append(fx.StartStopHook(
		func() error {
			// Start the peer listener first: a session must never be live while its address refuses connections, because
			// other daemons take a refused connection as proof that the process has ended.
			if err := peers.start(d.Network.Listen, d.Log); err != nil {
				return err
			}
			startBackground(d.Background, d.Keeper, d.Observer, d.Manager, d.Committer, d.Lists, d.Members, d.PeerMemberships, d.Heartbeats)
			d.Background.run(d.Gauges.run)
			return callers.start(d.Network.Listen, d.Log)
		},
		func(ctx context.Context) error { return d.drain(ctx, callers, peers) },
	))
}

// drain stops the daemon without aborting requests. It reports not ready to the load balancer, hands over the partitions
// while it still serves new callers, and closes the session when nothing is left.
func (d lifecycle) drain(ctx context.Context, callers, peers *server) error {
	d.Log.Info("drain started")
	d.Ready.Drain()
	handover := make(chan error, 1)
	go func() {
		err := d.Manager.Drain(ctx)
		wait.For(ctx, forwardingGracePeriod)
		handover <- err
	}()
	wait.For(ctx, d.Settings.DrainNotice.Duration)
	d.Gate.closed.Store(true)
	err := errors.Join(callers.stop(ctx), <-handover, d.Keeper.Close(ctx), peers.stop(ctx))
	d.Background.stop()
	d.Service.Close()
	d.Client.Close()
	if err != nil {
		return errors.Wrap(ErrDrainIncomplete, err.Error())
	}
	d.Log.Info("drain finished")
	return nil
}

func (d lifecycle) callerRoutes() *gin.Engine {
	e := newEngine()
	api.RegisterRequestRoutes(e, d.Requests)
	api.RegisterJobRoutes(e, d.Jobs)
	e.GET("/readyz", admin.Ready(d.Ready)) // the load balancer may probe either listener
	return e
}

func (d lifecycle) peerRoutes() *gin.Engine {
	e := newEngine()
	admin.NewHealth(e, d.Ready, d.MetricsPage, Version)
	g := e.Group("/", peer.Authenticate(d.Settings.Secret))
	var once sync.Once
	admin.NewOperations(g, d.States, func() { once.Do(func() { _ = d.Shutdowner.Shutdown() }) })
	listRoutes := &admin.Lists{
		Editor:   d.Lists.editor,
		Announce: d.Announcer.announce,
		InForce:  func(list string) int64 { return d.Lists.followers[list].Snapshot().Version() },
		Publish: func(list string, c versionedlist.Change) {
			d.Lists.followers[list].Publish(c)
		},
	}
	listRoutes.RegisterRoutes(g)
	peer.RegisterSessions(g, d.Keeper, d.Guarantor, d.Manager)
	peer.RegisterLists(g, d.Lists.followers)
	peer.RegisterLender(g, d.Service)
	peer.RegisterMembers(g, d.Members)
	peer.HandleAtOnce(g, peer.PathHeartbeat, d.Heartbeats.Serve)
	peer.Handle(g, entry.PathRequest, d.Requests.ServeRequest)
	peer.Handle(g, entry.PathLookup, d.Requests.ServeLookup)
	peer.Handle(g, entry.PathJob, d.Jobs.Serve)
	return e
}

// stopTimeout bounds the whole drain.
func stopTimeout(s *settings.Settings) time.Duration {
	return s.DrainNotice.Duration + s.DrainTimeout.Duration
}
