// Package request serves short requests: admission control, queueing, routing to minions, and recording of outcomes.
// Requests are sharded into partitions by customer, and each partition is served by the one daemon that owns it.
package request

import (
	"encoding/json"
	"time"

	"github.com/greengagewing/greengagewing/lanes"
)

// Class is the priority class of a request.
type Class string

// The classes of requests.
const (
	Urgent Class = "urgent"
	Normal Class = "normal"
	Bulk   Class = "bulk"
)

// Request is one request of a caller.
type Request struct {
	Service    string          `json:"service"`
	Customer   string          `json:"customer"`
	Key        string          `json:"key,omitempty"` // idempotency key, unique per customer
	Class      Class           `json:"class"`
	Idempotent bool            `json:"idempotent"` // the request may be sent more than once
	TimeoutMS  int64           `json:"timeout_ms"` // time that the caller waits for the outcome
	Payload    json.RawMessage `json:"payload,omitempty"`
}

// Timeout returns how long the caller waits for the outcome.
func (r Request) Timeout() time.Duration { return time.Duration(r.TimeoutMS) * time.Millisecond }

// Result says whether a request ran.
type Result string

// The results.
const (
	Done    Result = "done"    // the minion's whole answer is in Outcome.Answer
	NotRun  Result = "not_run" // this submission did not run and never will; for earlier ones with the key see Service.Lookup
	Unknown Result = "unknown" // the request may have run; call Service.Lookup with its key
)

// Code is a stable error code that callers may rely on.
type Code string

// The codes of outcomes other than Done.
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
	CodeInProgress           Code = "in_progress" // the request is queued or running; only Lookup returns it
)

// Outcome is the final answer to a request.
type Outcome struct {
	Result       Result          `json:"outcome"`
	Code         Code            `json:"code,omitempty"`
	Message      string          `json:"message,omitempty"`
	Answer       json.RawMessage `json:"result,omitempty"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
	Key          string          `json:"key,omitempty"`
}

// NotRunOutcome returns an outcome with the result NotRun. A positive retryAfter tells the caller when to try again.
func NotRunOutcome(code Code, message string, retryAfter time.Duration) Outcome {
	return Outcome{Result: NotRun, Code: code, Message: message, RetryAfterMS: retryAfter.Milliseconds()}
}

// UnknownOutcome returns an outcome with the result Unknown.
func UnknownOutcome(code Code, message string) Outcome {
	return Outcome{Result: Unknown, Code: code, Message: message}
}

// laneOf returns the lane for a class, or false for an unknown class.
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
