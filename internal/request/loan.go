package request

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/lanes"
)

// ErrNotSent says that a request or a loan certainly reached nobody.
var ErrNotSent = errors.New("request: not sent")

// loanRetention is how long attempt ids of loans, refused ones included, are remembered. A repeated message that arrives
// after the borrower has sent the attempt elsewhere must not run it again. It is twice the longest attempt.
const loanRetention = 2 * maxTimeout

// Loan asks another daemon to execute one attempt in one of its slots. The borrower has made the claim, if one is
// needed, before it sends the loan.
type Loan struct {
	Service   string          `json:"service"`
	Partition string          `json:"partition"`  // of the borrower
	AttemptID string          `json:"attempt_id"` // unique
	Lane      Class           `json:"lane"`       // whose share the slot counts in
	TimeoutMS int64           `json:"timeout_ms"` // limit of the attempt
	Payload   json.RawMessage `json:"payload,omitempty"`
}

// LoanStatus is the result of a loan.
type LoanStatus string

// The results of a loan.
const (
	LoanDone    LoanStatus = "done"    // Result holds the whole answer
	LoanRefused LoanStatus = "refused" // no idle slot; nothing was sent
	LoanNotRun  LoanStatus = "not_run" // tried, but certainly not run by a minion
	LoanLost    LoanStatus = "lost"    // the attempt may have run; no whole answer arrived
)

// LoanReply answers a loan.
type LoanReply struct {
	Status  LoanStatus      `json:"status"`
	Message string          `json:"message,omitempty"`
	Result  json.RawMessage `json:"result,omitempty"`
}

// noLender never lends.
type noLender struct{}

func (noLender) Idle(string) int { return 0 }

func (noLender) Borrow(context.Context, Loan) (LoanReply, error) { return LoanReply{}, ErrNotSent }

// ExecuteLoan executes one attempt for another daemon, under the guard and in a slot of a partition that this daemon
// owns. Without an idle slot it refuses at once. The end of ctx does not cut the attempt.
func (s *Service) ExecuteLoan(ctx context.Context, l Loan) LoanReply {
	lane, reason := l.validate()
	if reason != "" {
		return LoanReply{Status: LoanRefused, Message: reason}
	}
	if !s.recordLoan(l.AttemptID, time.Now()) {
		return LoanReply{Status: LoanLost, Message: "this attempt was received before"}
	}
	done := s.lend(l, lane, func(*partition) bool { return true })
	if done == nil {
		return LoanReply{Status: LoanRefused, Message: "no idle slot"}
	}
	s.m.lent.Inc(1)
	return awaitLoan(ctx, done, "the borrower went away")
}

// lend executes a loan in a slot of the first partition of its service that may lend one. It returns nil if none does.
func (s *Service) lend(l Loan, lane lanes.Lane, eligible func(*partition) bool) <-chan LoanReply {
	for _, p := range s.partitions() {
		if p.service != l.Service || !eligible(p) {
			continue
		}
		if done := p.lend(l, lane); done != nil {
			return done
		}
	}
	return nil
}

// awaitLoan returns the reply to a loan under way, or lost for the given reason when ctx ends first.
func awaitLoan(ctx context.Context, done <-chan LoanReply, reason string) LoanReply {
	select {
	case reply := <-done:
		return reply
	case <-ctx.Done():
		return LoanReply{Status: LoanLost, Message: reason}
	}
}

// validate returns the loan's lane, or why the loan cannot be executed.
func (l Loan) validate() (lane lanes.Lane, reason string) {
	lane, ok := laneOf(l.Lane)
	switch {
	case !ok:
		return lane, "unknown lane"
	case l.AttemptID == "":
		return lane, "no attempt id"
	case l.TimeoutMS <= 0 || l.TimeoutMS > maxTimeout.Milliseconds():
		return lane, "limit of the attempt out of range"
	case len(l.Payload) > maxPayloadBytes:
		return lane, "payload too large"
	}
	return lane, ""
}

func (s *Service) recordLoan(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, seen := s.seenLoans[id]; seen {
		return false
	}
	s.seenLoans[id] = now
	return true
}

func (s *Service) forgetOldLoans(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, at := range s.seenLoans {
		if now.Sub(at) > loanRetention {
			delete(s.seenLoans, id)
		}
	}
}
