// Package coordinator runs the owner's duties: it follows the accepted jobs and the workers, lets the scheduler decide,
// sends its orders, and stores progress before ends are acknowledged to the workers.
package coordinator

import (
	"context"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

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

// Order is a start as it is sent.
type Order struct {
	scheduler.Start
	Epoch    int64
	Deadline int64 // on the worker's clock, in milliseconds
}

// WorkerClient sends orders to workers. An order carries the epoch, and a worker ignores those of an earlier epoch.
type WorkerClient interface {
	Renew(ctx context.Context, w scheduler.WorkerInfo, r Renewal) (RenewalAnswer, error)
	// Start sends a start once. StartUnknown covers every case without a certain answer.
	Start(ctx context.Context, o Order) (scheduler.StartOutcome, error)
	Stop(ctx context.Context, s scheduler.Stop, epoch int64) error
}

// Advice is the answer of the policy service.
type Advice struct {
	Approved []scheduler.Approval
	Validity time.Duration // of the tickets, from the answer on
}

// Advisers ask the policy service from one of the daemons' hosts. The service handles the calls of a host one by one.
type Advisers interface {
	Hosts() []string
	Ask(ctx context.Context, host string, step workload.StepID, workers []string) (Advice, error)
}

// WorkerSink receives the list of workers.
type WorkerSink interface {
	Listed(workers []scheduler.WorkerInfo) // replaces the list
	Upsert(w scheduler.WorkerInfo)
	Gone(id string)
}

// Discovery follows the platform's list of workers until ctx ends.
type Discovery interface {
	Follow(ctx context.Context, sink WorkerSink)
}
