// Package delegate carries out an owner's orders on a share of the workers: it renews their leases, passes their reports on,
// and sends starts and stops. One owner decides for all workers; the calls to hundreds of them take more processor time than
// one host has, so hosts that attend the owner make them on its behalf, under its epoch and only while its permit lasts.
package delegate

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
)

// ErrEnded means that the owner no longer takes part in a session, or is no owner.
var ErrEnded = errors.New("delegate: session ended")

// Renewal extends the lease of everything that runs on a worker and asks for a report.
type Renewal struct {
	Epoch    int64
	LastEnd  int64         // ends up to this number are forgotten there
	Deadline int64         // on the worker's clock, in milliseconds; 0 extends nothing
	Wait     time.Duration // the answer waits as long for an end
}

// RenewalAnswer is a worker's answer to a renewal.
type RenewalAnswer struct {
	ClockMS int64 // the worker's clock
	Born    int64
	Active  []scheduler.ActiveRun
	Ended   []scheduler.EndedRun
}

// StartCall is a start as it is sent.
type StartCall struct {
	StartOrder
	Worker   scheduler.WorkerInfo
	Epoch    int64
	Deadline int64 // on the worker's clock, in milliseconds
}

// StopCall is a stop as it is sent.
type StopCall struct {
	StopOrder
	Worker scheduler.WorkerInfo
	Epoch  int64
}

// WorkerClient sends orders to workers. An order carries the epoch, and a worker ignores those of an earlier epoch.
type WorkerClient interface {
	Renew(ctx context.Context, w scheduler.WorkerInfo, r Renewal) (RenewalAnswer, error)
	// Start sends a start once. StartUnknown covers every case without a certain answer.
	Start(ctx context.Context, c StartCall) (scheduler.StartOutcome, error)
	Stop(ctx context.Context, c StopCall) error
}

// Config are the figures that delegates work with; they are the same on all hosts.
type Config struct {
	Lease       time.Duration // how long tasks run on without a renewal
	GangTimeout time.Duration // how long members of a gang wait for each other
}

const (
	// leaseDriftFactor covers a worker's clock that is 2 % slow, and the reading of clocks.
	leaseDriftFactor = 1.03
	leaseMargin      = 300 * time.Millisecond
)

// LeaseBound is the longest time for which something may run on a worker after the last renewal was computed.
func (c Config) LeaseBound() time.Duration {
	return time.Duration(float64(c.Lease)*leaseDriftFactor) + leaseMargin
}

// PermitLimit is the longest time for which a host may act for an owner after it asked for orders. A successor that knows
// that the owner's process is gone still has to wait for it, so it is short; it covers a change of the owner.
const PermitLimit = 2 * time.Second
