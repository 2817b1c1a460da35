// Package worker defines the messages between the owner of a pool and its workers, and the HTTP client that sends them.
//
// The owner starts each task with a lease and renews it. The worker stops a task whose lease expires. The messages
// carry the owner's epoch as a fencing token, so that a worker can refuse those of an earlier owner.
package worker

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"
)

var (
	// ErrNotDelivered means that the order certainly had no effect, because the connection could not be opened or the
	// worker refused the order.
	ErrNotDelivered = errors.New("worker: order not delivered")
	// ErrResponseLost means that the order was possibly delivered and may have taken effect.
	ErrResponseLost = errors.New("worker: response lost")
	// ErrLeaving means that the worker refused a start because it is about to shut down. It wraps ErrNotDelivered.
	ErrLeaving = errors.Wrap(ErrNotDelivered, "worker is leaving")
	// ErrStaleEpoch means that the worker refused the order because it has seen a newer epoch, that of a later owner. It
	// wraps ErrNotDelivered.
	ErrStaleEpoch = errors.Wrap(ErrNotDelivered, "worker has seen a newer epoch")
)

// HeaderLeaving is the header that a worker that is about to shut down sets to "true" on the 503 response with which it
// refuses a start.
const HeaderLeaving = "Leaving"

// Resources are the amounts of each resource that a worker has or a task uses.
type Resources struct {
	CPUMilli     int64 `json:"cpu_milli"` // thousandths of a CPU core
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators"`
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUMilli + o.CPUMilli, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r - o. The result may have negative amounts.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUMilli - o.CPUMilli, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Mul returns r multiplied by n.
func (r Resources) Mul(n int) Resources {
	return Resources{r.CPUMilli * int64(n), r.MemoryMB * int64(n), r.Accelerators * int64(n)}
}

// Max returns the larger amount of each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPUMilli, o.CPUMilli), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// FitsIn reports whether r is at most o in every resource.
func (r Resources) FitsIn(o Resources) bool {
	return r.CPUMilli <= o.CPUMilli && r.MemoryMB <= o.MemoryMB && r.Accelerators <= o.Accelerators
}

// State is the state of a task on a worker.
type State string

// The states that a worker reports. All but Running are final. The worker includes a task in a final state in every
// report until the owner acknowledges it (Ack).
const (
	Running      State = "running"
	Done         State = "done"
	Failed       State = "failed"
	Stopped      State = "stopped"      // stopped by a stop order or because its lease expired
	Checkpointed State = "checkpointed" // saved its state and stopped after a checkpoint order
)

// Start is the body of the order to run a task. It is idempotent: a worker that already has this attempt of the task
// answers 200 and does not start it again.
type Start struct {
	TaskID    string          `json:"task_id"`
	Attempt   int64           `json:"attempt"` // increases with every start of the task, also after a change of the owner
	Epoch     int64           `json:"epoch"`
	LeaseMS   int64           `json:"lease_ms"` // duration of the lease, counted from receipt
	Resources Resources       `json:"resources"`
	Kind      string          `json:"kind"`
	RunMS     int64           `json:"run_ms"` // run time that the job declared
	Payload   json.RawMessage `json:"payload,omitempty"`
	// NotAfterMS is the time on the worker's clock (Report.ClockMS) after which a worker that supports the field refuses
	// the start, so that a delayed message cannot start a task that the owner has given up. 0 means no limit.
	NotAfterMS int64 `json:"not_after_ms,omitempty"`
}

// TaskRef identifies one attempt of a task.
type TaskRef struct {
	TaskID  string `json:"task_id"`
	Attempt int64  `json:"attempt"`
}

// Renew is the body of the request that extends the leases of the given attempts. The response is a Report. A lease
// that has expired is not extended.
type Renew struct {
	Epoch   int64     `json:"epoch"`
	LeaseMS int64     `json:"lease_ms"` // new duration of the leases, counted from receipt
	Tasks   []TaskRef `json:"tasks"`
	// NotAfterMS is the time on the worker's clock, as in Start, after which the worker extends no lease.
	NotAfterMS int64 `json:"not_after_ms,omitempty"`
}

// Order is the body of the stop, throttle and checkpoint orders.
type Order struct {
	Attempt int64 `json:"attempt"`
	Epoch   int64 `json:"epoch"`
}

// Ack is the body of the request that acknowledges finished attempts, so that the worker no longer reports them.
type Ack struct {
	Epoch int64     `json:"epoch"`
	Tasks []TaskRef `json:"tasks"`
}

// Report is the status of a worker and its tasks. It includes finished attempts until they are acknowledged.
type Report struct {
	WorkerID string    `json:"worker_id"`
	BootID   string    `json:"boot_id"`            // changes when the worker restarts
	MaxEpoch int64     `json:"max_epoch"`          // newest epoch that the worker has seen
	ClockMS  int64     `json:"clock_ms,omitempty"` // monotonic clock; 0 if the worker does not support NotAfterMS
	Leaving  bool      `json:"leaving,omitempty"`
	Capacity Resources `json:"capacity"`
	Tasks    []Task    `json:"tasks"`
}

// Task is the status of one attempt in a Report.
type Task struct {
	TaskID           string    `json:"task_id"`
	Attempt          int64     `json:"attempt"`
	State            State     `json:"state"`
	Exit             int       `json:"exit"`
	Resources        Resources `json:"resources"` // as declared in the Start
	Usage            Resources `json:"usage"`     // measured by the worker, with a delay
	RemainingLeaseMS int64     `json:"remaining_lease_ms"`
}

// Client sends orders to workers. Every error wraps ErrNotDelivered or ErrResponseLost.
type Client interface {
	Start(ctx context.Context, addr string, s Start) error
	Renew(ctx context.Context, addr string, r Renew) (Report, error)
	Stop(ctx context.Context, addr, taskID string, o Order) error
	Throttle(ctx context.Context, addr, taskID string, o Order) error
	Checkpoint(ctx context.Context, addr, taskID string, o Order) error
	Ack(ctx context.Context, addr string, a Ack) error
}
