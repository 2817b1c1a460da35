// Package coordinator does the work of the owner, the elected daemon that schedules all tasks, during one term. It feeds
// accepted jobs, the list of workers and the workers' reports to the scheduler, and passes the scheduler's orders on to the
// workers.
//
// Calling hundreds of workers takes more processor time than one host has. In a large pool the owner therefore assigns each
// worker to another host, its delegate, which renews the worker's leases and sends its starts and stops. An executor is
// either such a delegate or the owner's own process.
//
// A worker keeps the end of a run until it is acknowledged. The coordinator stores the progress of a job before that, so that
// the end is not lost if another daemon takes over.
package coordinator

import (
	"context"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// Advice is an answer of the policy service: the workers on which it approves a step.
type Advice struct {
	Approved []scheduler.Approval
	Validity time.Duration // how long the tickets are valid after the answer
}

// PolicyClient calls the policy service through the hosts of the daemons. The service handles the calls of one host one by one.
type PolicyClient interface {
	Hosts() []string // hosts that can make a call
	Ask(ctx context.Context, host string, step workload.StepID, workers []string) (Advice, error)
}

// WorkerSink receives the platform's list of workers and its changes.
type WorkerSink interface {
	ReplaceAll(workers []scheduler.WorkerInfo) // replaces the whole list
	Upsert(w scheduler.WorkerInfo)             // adds or updates a worker
	Remove(id string)                          // removes a worker
	Confirm()                                  // the list is as up to date as the store was at some time after the last Confirm
}

// Discovery watches the platform's list of workers.
type Discovery interface {
	// FollowWorkers passes the list and its changes to sink until ctx ends.
	FollowWorkers(ctx context.Context, sink WorkerSink)
}
