// Package job runs the jobs of pools of workers. The owner of a pool partition accepts jobs, places their tasks on workers and
// controls them until they end.
//
// The owner keeps the state of its partition in memory. What a successor needs is written to a journal before it takes effect.
// Workers run a task under a lease, which the owner renews with a heartbeat that also returns the worker's report. Tasks of a
// worker that is unreachable end when their leases expire.
package job

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/job/worker"
)

// Kind is the way in which the tasks of a job are run.
type Kind string

// The kinds of jobs.
const (
	Batch   Kind = "batch"   // tasks run independently of each other
	Gang    Kind = "gang"    // gang scheduling: all tasks run at the same time or none does
	Service Kind = "service" // tasks run until cancelled and are restarted when they fail or their worker is lost
)

// Class is the priority class of a job: which jobs are placed first when resources are scarce.
type Class string

// The classes of jobs.
const (
	Urgent Class = "urgent"
	Normal Class = "normal"
	Bulk   Class = "bulk"
)

// Resources are amounts of processors, memory and accelerators that a worker has or a task uses.
type Resources = worker.Resources

// Spec describes a job that a caller submits.
type Spec struct {
	Customer   string          `json:"customer"`
	Key        string          `json:"key"` // idempotency key, unique per customer
	Kind       Kind            `json:"kind"`
	Class      Class           `json:"class"`      // default normal
	Idempotent bool            `json:"idempotent"` // tasks may run more than once, for example after a failure; implied for services
	Tasks      int             `json:"tasks"`
	Resources  Resources       `json:"resources"`            // per task
	RunMS      int64           `json:"run_ms"`               // declared run time of a task
	TimeoutMS  int64           `json:"timeout_ms,omitempty"` // from acceptance to the end of the job; 0: no limit
	Payload    json.RawMessage `json:"payload,omitempty"`
}

// Limits of a Spec.
const (
	MaxTasks        = 10_000
	MaxPayloadBytes = 64 << 10
	maxNameBytes    = 256
	maxAmount       = 1 << 40 // per resource; larger than any host has, and too small to overflow when multiplied by MaxTasks
)

// State is the state of a task or of a whole job.
type State string

// The states.
const (
	Pending   State = "pending"
	Starting  State = "starting" // assigned to a worker; the start is not confirmed
	Running   State = "running"
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
	Unknown   State = "unknown" // a non-idempotent task was lost; it may have run, so it is never started again
)

// Final reports whether a state is final. Only Unknown may still change, when the result of a lost task arrives late.
func (s State) Final() bool { return s == Done || s == Failed || s == Cancelled || s == Unknown }

// Status is the current state of a job, as callers see it.
type Status struct {
	ID         string        `json:"id"`
	Customer   string        `json:"customer"`
	Key        string        `json:"key"`
	Kind       Kind          `json:"kind"`
	Class      Class         `json:"class"`
	State      State         `json:"state"`
	Reason     string        `json:"reason,omitempty"` // why the job failed or was cancelled
	Tasks      int           `json:"tasks"`
	Counts     map[State]int `json:"counts"` // tasks per state
	AcceptedAt time.Time     `json:"accepted_at"`
	EndedAt    time.Time     `json:"ended_at,omitzero"`
}

// Code is an error code of a refused call. Callers may rely on it: codes never change.
type Code string

// The error codes.
const (
	CodeInvalidRequest        Code = "invalid_request"
	CodeUnknownCustomer       Code = "unknown_customer"
	CodeKeyRequired           Code = "key_required"
	CodeKeyReused             Code = "key_reused"
	CodeTooLarge              Code = "too_large"
	CodeAllowanceTasks        Code = "allowance_tasks"
	CodeAllowanceCPU          Code = "allowance_cpu"
	CodeAllowanceMemory       Code = "allowance_memory"
	CodeAllowanceAccelerators Code = "allowance_accelerators"
	CodeQueueFull             Code = "queue_full"
	CodeStoreUnavailable      Code = "store_unavailable"
	CodeNoOwner               Code = "no_owner"
	CodeDraining              Code = "draining"
	CodeOutcomeUnknown        Code = "outcome_unknown"
	CodeNotFound              Code = "not_found"
)

// Recorded says whether a refused call may have been recorded.
type Recorded string

// The values of Recorded.
const (
	RecordedNo      Recorded = "no"      // nothing was recorded; the call may be repeated
	RecordedUnknown Recorded = "unknown" // it may have been recorded; repeat the call with the same key, or look the job up by its key
)

// Refusal is the error that the methods of Pool return for a refused call.
type Refusal struct {
	Code       Code          `json:"Code"`
	Message    string        `json:"Message"`
	Recorded   Recorded      `json:"Kept"`
	RetryAfter time.Duration `json:"RetryAfter"` // delay before a repetition; 0: repeating does not help
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("job: %s: %s", r.Code, r.Message) }

// AsRefusal returns the refusal in err, or nil.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return nil
}

func refuse(code Code, retry time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), Recorded: RecordedNo, RetryAfter: retry}
}

// Validate returns a *Refusal for a Spec that no owner would accept. It does not check allowances or the capacity of workers.
func Validate(s Spec) error {
	invalid := func(format string, args ...any) error { return refuse(CodeInvalidRequest, 0, format, args...) }
	res := s.Resources
	switch {
	case s.Customer == "" || len(s.Customer) > maxNameBytes:
		return invalid("customer must have 1 to %d bytes", maxNameBytes)
	case s.Key == "":
		return refuse(CodeKeyRequired, 0, "key is missing")
	case len(s.Key) > maxNameBytes:
		return invalid("key must have at most %d bytes", maxNameBytes)
	case s.Kind != Batch && s.Kind != Gang && s.Kind != Service:
		return invalid("kind %q is not one of batch, gang, service", s.Kind)
	case s.Class != "" && s.Class != Urgent && s.Class != Normal && s.Class != Bulk:
		return invalid("class %q is not one of urgent, normal, bulk", s.Class)
	case s.Tasks < 1:
		return invalid("tasks must be at least 1")
	case s.Tasks > MaxTasks:
		return refuse(CodeTooLarge, 0, "tasks must be at most %d", MaxTasks)
	case res.CPUMilli < 1 || res.MemoryMB < 1 || res.Accelerators < 0:
		return invalid("resources need at least 1 cpu_milli and 1 memory_mb")
	case !res.FitsIn(Resources{CPUMilli: maxAmount, MemoryMB: maxAmount, Accelerators: maxAmount}):
		return refuse(CodeTooLarge, 0, "resources are larger than any worker")
	case s.RunMS < 0 || s.TimeoutMS < 0:
		return invalid("run_ms and timeout_ms must not be negative")
	case len(s.Payload) > MaxPayloadBytes:
		return refuse(CodeTooLarge, 0, "payload has more than %d bytes", MaxPayloadBytes)
	case len(s.Payload) > 0 && !json.Valid(s.Payload):
		return invalid("payload is not JSON")
	}
	return nil
}

// normalized fills in defaults, so that equivalent requests have the same fingerprint.
func (s Spec) normalized() Spec {
	if s.Class == "" {
		s.Class = Normal
	}
	if s.Kind == Service {
		s.Idempotent = true
	}
	return s
}

// fingerprint returns a hash of the Spec. It shows whether a repeated key stands for the same job.
func (s Spec) fingerprint() string {
	raw, _ := json.Marshal(s) // a validated Spec always encodes
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// jobID derives the ID of a job from its customer and key, so it is the same on every owner. It is safe in URL paths.
func jobID(customer, key string) string {
	sum := sha256.Sum256([]byte(customer + "\x00" + key))
	return hex.EncodeToString(sum[:12])
}
