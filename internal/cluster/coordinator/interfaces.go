// Package coordinator runs the owner's duties: it follows the accepted jobs and the workers, lets the scheduler decide,
// hands its orders to the delegates of the workers, and stores progress before ends are acknowledged to the workers.
package coordinator

import (
	"context"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

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
