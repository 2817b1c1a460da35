// Package app assembles a daemon that schedules jobs of the platform's queues: every host accepts jobs, and one of them
// owns the workers at a time.
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
	"github.com/greengagewing/greengagewing/internal/cluster/coordinator"
	"github.com/greengagewing/greengagewing/internal/cluster/delegate"
	"github.com/greengagewing/greengagewing/internal/cluster/entry"
	"github.com/greengagewing/greengagewing/internal/cluster/meter"
	"github.com/greengagewing/greengagewing/internal/cluster/peers"
	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/tenure"
	"github.com/greengagewing/greengagewing/internal/metrics"
)

// Config is what a daemon has to know of its host and its platform.
type Config struct {
	Host        string
	Domain      string  // failure domain
	PeerAddr    string  // listener for peers and operators
	Processors  float64 // cores that the host has
	Delegate    delegate.Config
	OwnWorkers  int // an owner with more workers lets other hosts call them
	Retention   time.Duration
	DrainNotice time.Duration // new connections may still come for so long after a drain began
	DrainLimit  time.Duration // the process ends at the latest so long after a drain began
}

// Platform is the adapter's side of a daemon.
type Platform interface {
	rowstore.Store
	delegate.WorkerClient
	coordinator.Discovery
	peers.Adviser
	// FollowQueues offers each version of the operator's configuration to the holder until ctx ends.
	FollowQueues(ctx context.Context, h *queues.Holder)
	// Serve starts the listeners for callers and for the balancer's probe. The function that it returns stops accepting,
	// waits for calls in progress and closes the listeners.
	Serve(e *entry.Entry, h *queues.Holder, r *admin.Readiness) (func(context.Context) error, error)
	// Close closes idle connections.
	Close()
}

// Module holds the parts of the daemon. Config, Platform, network.Network, clock.Func and *zap.Logger are supplied by the
// caller.
var Module = fx.Options(
	fx.Provide(newStore, newIdentity, metrics.New, newRoster, newWatch, queues.NewHolder, newCoordinator, newEntry, newNode,
		peers.NewClient, newAdvisers, admin.NewReadiness, admin.NewStates),
	fx.Invoke(func(lc fx.Lifecycle, n *Node) { lc.Append(fx.Hook{OnStart: n.Start, OnStop: n.Stop}) }),
)

// newStore is the one client of the store: its commits share what they learn of its latency.
func newStore(p Platform, scope tally.Scope) *rowstore.Adaptive {
	return rowstore.NewAdaptive(p, meter.NewCalls(scope, "store_commit"))
}

func newIdentity(c Config) tenure.Identity {
	boot := make([]byte, 8)
	_, _ = rand.Read(boot) // crypto/rand never fails
	return tenure.Identity{Host: c.Host, Addr: c.PeerAddr, Boot: hex.EncodeToString(boot)}
}

func newRoster(log *zap.Logger) *peers.Roster { return peers.NewRoster(log) }

func newWatch(log *zap.Logger) *tenure.Watch { return tenure.NewWatch(log) }

func newCoordinator(c Config, p Platform, store *rowstore.Adaptive, h *queues.Holder, a *advisers, since clock.Func, log *zap.Logger,
	scope tally.Scope) *coordinator.Coordinator {
	return coordinator.New(
		coordinator.Config{Delegate: c.Delegate, Retention: c.Retention, OwnWorkers: c.OwnWorkers},
		coordinator.Deps{Store: store, Queues: h, Workers: p, Advisers: a, Discovery: p, Clock: since, Log: log, Metrics: scope},
	)
}

func newEntry(store *rowstore.Adaptive, c *coordinator.Coordinator, w *tenure.Watch, r *peers.Roster, pc *peers.Client, self tenure.Identity,
	log *zap.Logger, scope tally.Scope) *entry.Entry {
	return entry.New(entry.Deps{Store: store, Coordinator: c, Watch: w, Roster: r, Peers: pc, Self: self, Log: log, Metrics: scope})
}
