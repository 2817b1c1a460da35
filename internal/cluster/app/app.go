// Package app assembles the daemon that schedules the jobs of the platform's queues. Every host accepts jobs. One host at a
// time is the owner: it alone assigns tasks to the workers.
package app

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/admin"
	"github.com/greengagewing/greengagewing/internal/cluster/clock"
	"github.com/greengagewing/greengagewing/internal/cluster/configage"
	"github.com/greengagewing/greengagewing/internal/cluster/coordinator"
	"github.com/greengagewing/greengagewing/internal/cluster/delegate"
	"github.com/greengagewing/greengagewing/internal/cluster/election"
	"github.com/greengagewing/greengagewing/internal/cluster/frontend"
	"github.com/greengagewing/greengagewing/internal/cluster/meter"
	"github.com/greengagewing/greengagewing/internal/cluster/peers"
	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/ingress"
	"github.com/greengagewing/greengagewing/internal/metrics"
)

// Config holds the settings of a daemon.
type Config struct {
	Host          string
	FailureDomain string
	PeerAddr      string  // address of the listener for peers and operators
	Processors    float64 // processor time that the daemon may use, in cores
	Delegate      delegate.Config
	OwnWorkers    int // an owner with more workers than this lets other hosts call them as delegates
	Retention     time.Duration
	MaxListAge    time.Duration  // see coordinator.Config
	MaxRowBytes   int            // the store's limit for the value of a row; 0 means rowstore.DefaultMaxRowBytes
	KeysRequired  bool           // callers need API keys even if the operator's configuration has no teams
	Ingress       ingress.Limits // limits for clients
	ConfigAge     configage.Limits
	Forecast      bool          // jobs that would end too late to be of use are refused
	DrainNotice   time.Duration // how long after the start of a drain new connections may still arrive
	DrainLimit    time.Duration // how long after the start of a drain the process exits at the latest
	// InterferenceAware means that tasks which slow each other down are kept apart where there is room.
	InterferenceAware bool
}

// Platform is the daemon's interface to the platform, which an adapter implements.
type Platform interface {
	rowstore.Store
	delegate.WorkerClient
	coordinator.Discovery
	peers.Adviser
	// FollowQueues passes each new version of the operator's configuration to h.Update until ctx ends.
	// It calls confirmed after each answer of the store, with the time on the clock at which the call was sent.
	FollowQueues(ctx context.Context, h *queues.ConfigHolder, c clock.Func, confirmed func(sentAt time.Duration))
	// ReadQueues reads the operator's configuration once and passes it to h.Update.
	ReadQueues(ctx context.Context, h *queues.ConfigHolder) error
	// Serve starts the listeners for callers and for the load balancer's health checks. The function that it returns stops
	// accepting calls, waits for calls in progress and closes the listeners.
	Serve(f *frontend.JobService, h *queues.ConfigHolder, t *configage.Tracker, r *admin.Readiness) (func(context.Context) error, error)
	// Close closes idle connections.
	Close()
}

// Module provides the components of the daemon and starts and stops its Node. The caller supplies Config, Platform,
// network.Network, clock.Func, clock.ProcessorFunc and *zap.Logger.
var Module = fx.Options(
	fx.Provide(newStore, newIdentity, metrics.New, meter.NewDuties, newRoster, newWatch, queues.NewConfigHolder, newTracker, newCoordinator, newFrontend, newGate, newNode,
		peers.NewClient, newPolicyClient, admin.NewReadiness, admin.NewStates),
	fx.Invoke(func(lc fx.Lifecycle, n *Node) { lc.Append(fx.Hook{OnStart: n.Start, OnStop: n.Stop}) }),
)

// newStore returns the daemon's only client of the store, so that all commits share one estimate of the store's latency.
func newStore(p Platform, scope tally.Scope) *rowstore.AdaptiveStore {
	return rowstore.NewAdaptiveStore(p, meter.NewCalls(scope, "store_commit"))
}

// newGate returns the limits for clients that all listeners share.
func newGate(c Config, scope tally.Scope, log *zap.Logger) *ingress.Gate {
	return ingress.New(c.Ingress, scope, log)
}

// newIdentity identifies this process. BootID is a random id that distinguishes it from other processes of the same host.
func newIdentity(c Config) election.Identity {
	bootID := make([]byte, 8)
	_, _ = rand.Read(bootID) // crypto/rand never fails
	return election.Identity{Host: c.Host, Addr: c.PeerAddr, BootID: hex.EncodeToString(bootID)}
}

func newTracker(c Config, since clock.Func) *configage.Tracker {
	return configage.NewTracker(c.ConfigAge, since)
}

func newRoster(log *zap.Logger) *peers.Roster { return peers.NewRoster(log) }

func newWatch(log *zap.Logger) *election.Watch { return election.NewWatch(log) }

func newCoordinator(c Config, p Platform, store *rowstore.AdaptiveStore, h *queues.ConfigHolder, a *policyClient, since clock.Func,
	processorTime clock.ProcessorFunc, log *zap.Logger, scope tally.Scope, duties *meter.Duties) *coordinator.Coordinator {
	return coordinator.New(
		coordinator.Config{Delegate: c.Delegate, Processors: c.Processors, Retention: c.Retention, OwnWorkers: c.OwnWorkers,
			MaxListAge: c.MaxListAge, MaxRowBytes: c.MaxRowBytes, Forecast: c.Forecast, InterferenceAware: c.InterferenceAware},
		coordinator.Deps{Store: store, Queues: h, Workers: p, PolicyClient: a, Discovery: p, Clock: since, ProcessorTime: processorTime,
			Log: log, Metrics: scope, Duties: duties},
	)
}

func newFrontend(cfg Config, store *rowstore.AdaptiveStore, c *coordinator.Coordinator, w *election.Watch, r *peers.Roster, pc *peers.Client, self election.Identity,
	since clock.Func, log *zap.Logger, scope tally.Scope) *frontend.JobService {
	return frontend.New(frontend.Deps{Store: store, Coordinator: c, Watch: w, Roster: r, Peers: pc, Self: self, Log: log, Metrics: scope,
		Clock: since, MaxRowBytes: cfg.MaxRowBytes})
}
