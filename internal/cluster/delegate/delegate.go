// Package delegate lets a host call workers on behalf of the owner, the one host that schedules all jobs at a time.
//
// The owner makes all scheduling decisions, but calling hundreds of workers takes more processor time than one host has. So
// it assigns each worker to a delegate, which may be any host. The delegate renews the leases of its workers, forwards their
// reports to the owner, and sends the owner's starts and stops. Its calls carry a fencing token, and it makes them only while it
// has a permit: a short lease that each answer of the owner renews.
//
// A host polls the owner for orders in a session. Both directions tolerate lost answers: orders and events are numbered and
// sent again until they are acknowledged.
package delegate

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
)

// ErrSessionEnded means that the owner has ended the session, or that the host called is not the owner.
var ErrSessionEnded = errors.New("delegate: session ended")

// ErrWorkerEnded means that the process of a worker has ended, and all its runs with it. Refused or reset connections do not
// show that: a partition may cause them while the worker keeps running.
var ErrWorkerEnded = errors.New("delegate: the worker's process has ended")

// Renewal extends the lease of all tasks on a worker and requests a report. It is a long poll: the worker answers as soon as
// a run has ended, or after Wait.
type Renewal struct {
	FencingToken int64
	LastAckedEnd int64         // acknowledges ended runs up to this number; the worker may forget them
	Deadline     int64         // new end of the lease on the worker's clock, in milliseconds; 0 does not extend it
	PollTimeout  time.Duration // the worker delays its answer up to this long until a run ends
}

// RenewalAnswer is a worker's answer to a renewal.
type RenewalAnswer struct {
	ClockMS     int64 // the worker's clock
	Incarnation int64 // incarnation of the worker
	Active      []scheduler.ActiveRun
	Ended       []scheduler.EndedRun
	MoreEnded   bool // further runs may have ended, which the worker lists once those in Ended are acknowledged

	token  int64         // of the renewal that it answers
	sentAt time.Duration // when that renewal was sent, on the agent's clock
	// clockJumped means that the clock does not continue that of the last answer, although the worker names the same incarnation.
	clockJumped bool
}

// StartCall is a start order with what the delegate adds before it sends the order to the worker.
type StartCall struct {
	StartOrder
	Worker       scheduler.WorkerInfo
	FencingToken int64
	Deadline     int64 // end of the lease on the worker's clock, in milliseconds
}

// StartAnswer is the result of sending a start once.
type StartAnswer struct {
	Outcome scheduler.StartOutcome
	// NotSent means that the outcome is StartUnknown only because no part of the start was sent in time, so the worker has not received it.
	NotSent bool
	ClockMS int64 // the worker's clock; 0 if the answer does not tell
}

// StopCall is a stop order with what the delegate adds before it sends the order to the worker.
type StopCall struct {
	StopOrder
	Worker       scheduler.WorkerInfo
	FencingToken int64
}

// WorkerClient calls workers. Each call carries a fencing token; see FencingToken.
type WorkerClient interface {
	// Renew renews the lease of a worker. The error wraps ErrWorkerEnded if another worker answers at the worker's address.
	Renew(ctx context.Context, w scheduler.WorkerInfo, r Renewal) (RenewalAnswer, error)
	// Start sends a start once, without retries. The outcome is StartUnknown whenever the run may have been started without
	// a definite answer.
	Start(ctx context.Context, c StartCall) (StartAnswer, error)
	Stop(ctx context.Context, c StopCall) error
}

// Config holds the settings of delegates. They must be the same on all hosts.
type Config struct {
	Lease       time.Duration // how long tasks keep running without a renewal
	MaxLease    time.Duration // longest lease that workers grant, if that is longer
	GangTimeout time.Duration // how long started members of a gang wait for the others
	// LateCallLimit is the longest time after which a worker carries out a call that it has not answered.
	LateCallLimit time.Duration
}

const (
	// leaseDriftFactor allows for a worker's clock that runs 2 % slow; leaseMargin allows for the time it takes to read
	// clocks.
	leaseDriftFactor = 1.03
	leaseMargin      = 300 * time.Millisecond
)

// LeaseBound returns the longest time that a task may run on a worker after the deadline of its last renewal was computed, unless a call
// for an earlier incarnation of the worker has set the lease.
func (c Config) LeaseBound() time.Duration { return leaseBound(c.Lease) }

// StaleLeaseBound returns the longest time that a task may run on a worker after a call for an earlier incarnation, with a deadline on
// another clock, was carried out there. The worker shortens such a deadline to the longest lease that it grants.
func (c Config) StaleLeaseBound() time.Duration { return leaseBound(max(c.Lease, c.MaxLease)) }

func leaseBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*leaseDriftFactor) + leaseMargin
}

// PermitLimit is the longest validity of a permit, counted from the delegate's request. It is short because a new owner has
// to wait for it even if it knows that the previous owner's process is gone, and long enough to last through a change of
// the owner.
const PermitLimit = 2 * time.Second
