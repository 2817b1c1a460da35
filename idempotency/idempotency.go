// Package idempotency runs each request at most once. A caller claims a request's idempotency key before it runs the
// request, and records the outcome under the key afterwards. Claims and outcomes are made durable in a journal.
package idempotency

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

var (
	// ErrKeyReused means that the key was used before for a request with another fingerprint.
	ErrKeyReused = errors.New("idempotency: key was used for another request")
	// ErrNotClaimed means that the claim was certainly not recorded, so the request was not run.
	ErrNotClaimed = errors.New("idempotency: claim not recorded")
	// ErrClaimUnknown means that the claim may have been recorded. This call did not run the request.
	ErrClaimUnknown = errors.New("idempotency: outcome of recording the claim is unknown")
	// ErrInProgress means that another call is still running the request.
	ErrInProgress = errors.New("idempotency: request in progress")
	// ErrNoEntry means that nothing is recorded for the key.
	ErrNoEntry = errors.New("idempotency: no entry for the key")
)

// State is the state of an entry.
type State string

// The states of an entry.
const (
	Claimed State = "claimed" // in progress
	Done    State = "done"    // ran and was answered
	NotRun  State = "not_run" // certainly did not run; the key may be claimed again
	Unknown State = "unknown" // may have run; the key is never claimed again
)

// Key identifies a request of one customer.
type Key struct {
	Customer string `json:"customer"`
	Key      string `json:"key"`
}

// Entry is the record of a key: its claim or the outcome of its request.
type Entry struct {
	Key         Key    `json:"key"`
	Fingerprint string `json:"fingerprint"`
	State       State  `json:"state"`
	Code        string `json:"code,omitempty"`   // stable code of the outcome, empty when done
	Answer      []byte `json:"answer,omitempty"` // the minion's answer when done
	// AnswerOmitted is set if the request is done, but its answer was too large to record or is no longer kept.
	AnswerOmitted bool      `json:"answer_omitted,omitempty"`
	At            time.Time `json:"at"` // time of the last change, for retention only

	fingerprintDigest *uint64 // set in archived entries, in place of Fingerprint
}

// Matches reports whether the entry belongs to a request with this fingerprint. If not, the key was reused for another
// request.
func (e Entry) Matches(fingerprint string) bool {
	if e.fingerprintDigest != nil {
		return *e.fingerprintDigest == digestFingerprint(fingerprint)
	}
	return e.Fingerprint == fingerprint
}

// Claim is the result of Begin. When Run is true the caller must run the request and then call Finish; otherwise Entry
// holds the recorded outcome.
type Claim struct {
	Run   bool
	Entry Entry
}

// Log makes records durable, in order. commitlog.Log implements it.
type Log interface {
	// Append returns nil once the records are durable. It returns commitlog.ErrNotWritten or commitlog.ErrFenced if they
	// certainly are not durable and never will be, and another error if the outcome is unknown.
	Append(ctx context.Context, records ...[]byte) error
	// AppendAsync queues records in the order of the calls and returns without waiting. It must not call back into the
	// table, which calls it with its lock held.
	AppendAsync(records ...[]byte)
}

// Beginner is the part of a table that the request path uses.
type Beginner interface {
	// Begin claims the key. When it returns a Claim with Run set, the claim is durable. If another call has claimed the
	// key, Begin waits for the outcome, and returns ErrInProgress if ctx ends first. Errors: ErrKeyReused, ErrNotClaimed,
	// ErrClaimUnknown, ErrInProgress.
	Begin(ctx context.Context, k Key, fingerprint string) (Claim, error)
	// Finish records the outcome of a claim. It updates the table in memory at once, wakes the calls that wait in Begin,
	// and journals the outcome in the background.
	Finish(k Key, state State, code string, answer []byte)
	// Lookup returns the entry of a key, or ErrNoEntry.
	Lookup(k Key) (Entry, error)
}
