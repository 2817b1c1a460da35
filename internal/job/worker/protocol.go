// Package worker holds the messages between the owner of a pool and its workers, and the HTTP client that sends them.
package worker

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"
)

var (
	// ErrNotDelivered says that the order certainly had no effect: the dial failed or the worker refused it.
	ErrNotDelivered = errors.New("worker: order not delivered")
	// ErrResponseLost says that the order may have taken effect.
	ErrResponseLost = errors.New("worker: response lost")
	// ErrLeaving says that the worker refused a start because it is leaving. It wraps ErrNotDelivered.
	ErrLeaving = errors.Wrap(ErrNotDelivered, "worker is leaving")
	// ErrStaleEpoch says that the worker has seen a newer epoch. It wraps ErrNotDelivered.
	ErrStaleEpoch = errors.Wrap(ErrNotDelivered, "worker has seen a newer epoch")
)

// HeaderLeaving is "true" on a 503 response of a worker that takes no new work.
const HeaderLeaving = "Leaving"

// Resources are amounts of what a worker has or a task uses.
type Resources struct {
	CPUMilli     int64 `json:"cpu_milli"` // thousandths of a processor
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators"`
}

// Plus returns r + o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPUMilli + o.CPUMilli, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns r - o. Amounts may become negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPUMilli - o.CPUMilli, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{r.CPUMilli * int64(n), r.MemoryMB * int64(n), r.Accelerators * int64(n)}
}

// Max returns the larger amount of each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPUMilli, o.CPUMilli), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// Fits reports whether r is within o in every resource.
func (r Resources) Fits(o Resources) bool {
	return r.CPUMilli <= o.CPUMilli && r.MemoryMB <= o.MemoryMB && r.Accelerators <= o.Accelerators
}

// State is the state of a task on a worker.
type State string

// The states that a worker reports. All but Running are final; the worker reports them until they are acknowledged.
const (
	Running      State = "running"
	Done         State = "done"
	Failed       State = "failed"
	Stopped      State = "stopped"      // by a stop order or because the lease expired
	Checkpointed State = "checkpointed" // saved its state and stopped, on a checkpoint order
)

// Start orders a worker to run a task. A worker that already has this attempt of the task answers 200 and starts
// nothing.
type Start struct {
	TaskID    string          `json:"task_id"`
	Attempt   int64           `json:"attempt"` // rises with every start of the task, also across owners
	Epoch     int64           `json:"epoch"`
	LeaseMS   int64           `json:"lease_ms"` // from receipt
	Resources Resources       `json:"resources"`
	Kind      string          `json:"kind"`
	RunMS     int64           `json:"run_ms"` // declared
	Payload   json.RawMessage `json:"payload,omitempty"`
	// NotAfterMS is on the worker's clock (Report.ClockMS). A worker that supports it refuses the start afterwards, so
	// that a delayed message cannot start a task that was given up. 0: no limit.
	NotAfterMS int64 `json:"not_after_ms,omitempty"`
}

// TaskRef names one attempt of a task.
type TaskRef struct {
	TaskID  string `json:"task_id"`
	Attempt int64  `json:"attempt"`
}

// Renew extends the leases of the named attempts. Its response is a Report. An expired lease is not revived.
type Renew struct {
	Epoch   int64     `json:"epoch"`
	LeaseMS int64     `json:"lease_ms"` // from receipt
	Tasks   []TaskRef `json:"tasks"`
	// NotAfterMS is as in Start: afterwards no lease is extended.
	NotAfterMS int64 `json:"not_after_ms,omitempty"`
}

// Order is the body of stop, throttle and checkpoint.
type Order struct {
	Attempt int64 `json:"attempt"`
	Epoch   int64 `json:"epoch"`
}

// Ack lets a worker forget finished attempts.
type Ack struct {
	Epoch int64     `json:"epoch"`
	Tasks []TaskRef `json:"tasks"`
}

// Report is the worker's account of itself, including finished attempts that were not acknowledged.
type Report struct {
	WorkerID string    `json:"worker_id"`
	BootID   string    `json:"boot_id"` // changes when the worker restarts
	MaxEpoch int64     `json:"max_epoch"`
	ClockMS  int64     `json:"clock_ms,omitempty"` // monotonic; 0 if NotAfterMS is not supported
	Leaving  bool      `json:"leaving,omitempty"`
	Capacity Resources `json:"capacity"`
	Tasks    []Task    `json:"tasks"`
}

// Task is one attempt in a Report.
type Task struct {
	TaskID           string    `json:"task_id"`
	Attempt          int64     `json:"attempt"`
	State            State     `json:"state"`
	Exit             int       `json:"exit"`
	Resources        Resources `json:"resources"` // as declared in the start
	Usage            Resources `json:"usage"`     // observed, with a lag
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
