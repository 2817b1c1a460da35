// Package idempotency is a table of at-most-once claims on top of a journal.
package idempotency

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

var (
	// ErrKeyReused says that the key was used before for a request with another fingerprint.
	ErrKeyReused = errors.New("idempotency: key was used for another request")
	// ErrNotClaimed says that the claim was certainly not recorded, so the request was not run.
	ErrNotClaimed = errors.New("idempotency: claim not recorded")
	// ErrClaimUnknown says that the claim may have been recorded; the request was not run by this call.
	ErrClaimUnknown = errors.New("idempotency: outcome of recording the claim is unknown")
	// ErrInProgress says that another call still runs the request.
	ErrInProgress = errors.New("idempotency: request in progress")
	// ErrNoEntry says that nothing is recorded for the key.
	ErrNoEntry = errors.New("idempotency: no entry for the key")
)

// State is the state of an entry.
type State string

// The states of an entry.
const (
	Claimed State = "claimed"
	Done    State = "done"
	NotRun  State = "not_run"
	Unknown State = "unknown"
)

// Key identifies a request of one customer.
type Key struct {
	Customer string `json:"customer"`
	Key      string `json:"key"`
}

// Entry is what is recorded for a key.
type Entry struct {
	Key         Key    `json:"key"`
	Fingerprint string `json:"fingerprint"`
	State       State  `json:"state"`
	Code        string `json:"code,omitempty"`   // stable code of the outcome, empty when done
	Answer      []byte `json:"answer,omitempty"` // the minion's answer when done
	// AnswerOmitted says that the request is done but its answer was too large to be recorded, or is no longer kept.
	AnswerOmitted bool      `json:"answer_omitted,omitempty"`
	At            time.Time `json:"at"` // time of the last change, for retention only

	fingerprintDigest *uint64 // of the fingerprint of an archived entry, which has no Fingerprint
}

// Matches reports whether the entry was recorded for a request with the fingerprint. Otherwise the key was used for
// another one.
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
	// Append returns nil once the records are durable, commitlog.ErrNotWritten or commitlog.ErrFenced if they certainly are
	// not and never will be, and another error if that is unknown.
	Append(ctx context.Context, records ...[]byte) error
	// AppendAsync queues records without waiting, in the order of the calls. It must not call back into the table.
	AppendAsync(records ...[]byte)
}

// Beginner is the part of a table that the request path uses.
type Beginner interface {
	// Begin claims the key. The claim is durable before Begin returns Run true. A call for a key in progress waits for
	// its outcome until ctx ends (ErrInProgress). Errors: ErrKeyReused, ErrNotClaimed, ErrClaimUnknown, ErrInProgress.
	Begin(ctx context.Context, k Key, fingerprint string) (Claim, error)
	// Finish records the outcome of a claim. It takes effect in memory at once, is journaled in the background, and
	// answers the calls that wait in Begin.
	Finish(k Key, state State, code string, answer []byte)
	// Lookup returns the entry of a key, or ErrNoEntry.
	Lookup(k Key) (Entry, error)
}
