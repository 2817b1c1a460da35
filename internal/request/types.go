// Package request serves short requests: admission, queueing, routing to minions, and outcomes.
package request

import (
	"encoding/json"
	"time"

	"github.com/greengagewing/greengagewing/lanes"
)

// Class orders requests when slots are scarce.
type Class string

// The classes of requests.
const (
	Urgent Class = "urgent"
	Normal Class = "normal"
	Bulk   Class = "bulk"
)

// Request is what a caller asks for.
type Request struct {
	Service    string          `json:"service"`
	Customer   string          `json:"customer"`
	Key        string          `json:"key,omitempty"` // idempotency key, unique per customer
	Class      Class           `json:"class"`
	Idempotent bool            `json:"idempotent"`
	TimeoutMS  int64           `json:"timeout_ms"`
	Payload    json.RawMessage `json:"payload,omitempty"`
}

// Timeout returns how long the caller waits.
func (r Request) Timeout() time.Duration { return time.Duration(r.TimeoutMS) * time.Millisecond }

// Result is one of the three outcomes of a request.
type Result string

// The outcomes.
const (
	Done    Result = "done"    // the minion's whole answer is in Outcome.Result
	NotRun  Result = "not_run" // this submission certainly did not run and will not; see Service.Lookup for earlier ones
	Unknown Result = "unknown" // the request may have run; ask by key
)

// Code is a stable error code that callers may rely on.
type Code string

// The codes of outcomes other than done.
const (
	CodeInvalidRequest       Code = "invalid_request"
	CodeUnknownCustomer      Code = "unknown_customer"
	CodeKeyRequired          Code = "key_required"
	CodeKeyReused            Code = "key_reused"
	CodeTooLarge             Code = "too_large"
	CodeDeadlinePast         Code = "deadline_past"
	CodeAllowanceRate        Code = "allowance_rate"
	CodeAllowanceConcurrency Code = "allowance_concurrency"
	CodeQueueFull            Code = "queue_full"
	CodeDeadlineUnreachable  Code = "deadline_unreachable"
	CodeExpired              Code = "expired"
	CodeStoreUnavailable     Code = "store_unavailable"
	CodeNoOwner              Code = "no_owner"
	CodeNoMinion             Code = "no_minion"
	CodeDraining             Code = "draining"
	CodeMinionFailed         Code = "minion_failed"
	CodeOutcomeUnknown       Code = "outcome_unknown"
	CodeNotFound             Code = "not_found"
	CodeInProgress           Code = "in_progress" // only of Lookup: the request is queued or running
)

// Outcome is the final answer to a request.
type Outcome struct {
	Outcome      Result          `json:"outcome"`
	Code         Code            `json:"code,omitempty"`
	Message      string          `json:"message,omitempty"`
	Result       json.RawMessage `json:"result,omitempty"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
	Key          string          `json:"key,omitempty"`
}

// Refuse returns a not_run outcome. A positive retryAfter tells the caller when to come back.
func Refuse(code Code, message string, retryAfter time.Duration) Outcome {
	return Outcome{Outcome: NotRun, Code: code, Message: message, RetryAfterMS: retryAfter.Milliseconds()}
}

// Undecided returns an unknown outcome.
func Undecided(code Code, message string) Outcome {
	return Outcome{Outcome: Unknown, Code: code, Message: message}
}

func laneOf(c Class) (lanes.Lane, bool) {
	switch c {
	case Urgent:
		return lanes.Urgent, true
	case Normal:
		return lanes.Normal, true
	case Bulk:
		return lanes.Bulk, true
	}
	return 0, false
}

func classOf(l lanes.Lane) Class { return Class(l.String()) }
