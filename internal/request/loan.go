package request

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/lanes"
)

// ErrNotSent is returned if a request or a loan has certainly not reached any minion or daemon.
var ErrNotSent = errors.New("request: not sent")

// loanRetention is how long the attempt ids of loans, including refused ones, are remembered. A duplicate of a loan may
// arrive after the borrower has sent the attempt elsewhere, and must not run it again. The retention is twice the
// maximum duration of an attempt.
const loanRetention = 2 * maxTimeout

// Loan asks another daemon to execute one attempt in one of its idle slots. If the request needs a claim, the borrower
// has recorded it before it sends the loan.
type Loan struct {
	Service   string          `json:"service"`
	Partition string          `json:"partition"`  // partition of the borrower
	AttemptID string          `json:"attempt_id"` // unique
	Lane      Class           `json:"lane"`       // the lender counts the slot against this lane's limit
	TimeoutMS int64           `json:"timeout_ms"` // maximum duration of the attempt
	Payload   json.RawMessage `json:"payload,omitempty"`
}

// LoanStatus is the result of a loan.
type LoanStatus string

// The results of a loan.
const (
	LoanDone    LoanStatus = "done"    // Result holds the whole answer
	LoanRefused LoanStatus = "refused" // invalid loan or no idle slot; nothing was sent
	LoanNotRun  LoanStatus = "not_run" // an attempt was made, but no minion ran it
	LoanLost    LoanStatus = "lost"    // the attempt may have run, but no whole answer arrived
)

// LoanReply is the answer to a loan.
type LoanReply struct {
	Status  LoanStatus      `json:"status"`
	Message string          `json:"message,omitempty"`
	Result  json.RawMessage `json:"result,omitempty"`
}

// noLender is a Lender that never lends a slot.
type noLender struct{}

func (noLender) IdleSlots(string) int { return 0 }

func (noLender) Borrow(context.Context, Loan) (LoanReply, error) { return LoanReply{}, ErrNotSent }

// ExecuteLoan executes one attempt for another daemon, in a slot of a partition that this daemon owns and only while it
// owns that partition. It refuses at once if no slot is idle. The attempt continues if ctx ends.
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

// lend executes a loan in a slot of the first eligible partition that can lend one. It returns nil if none can.
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

// awaitLoan returns the reply to a running loan. If ctx ends first, it returns LoanLost with the given reason.
func awaitLoan(ctx context.Context, done <-chan LoanReply, reason string) LoanReply {
	select {
	case reply := <-done:
		return reply
	case <-ctx.Done():
		return LoanReply{Status: LoanLost, Message: reason}
	}
}

// validate returns the loan's lane, or the reason why the loan cannot be executed.
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

// recordLoan remembers the attempt id of a loan. It returns false if a loan with this id was received before.
func (s *Service) recordLoan(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, seen := s.seenLoans[id]; seen {
		return false
	}
	s.seenLoans[id] = now
	return true
}

// forgetOldLoans drops the attempt ids whose retention has ended.
func (s *Service) forgetOldLoans(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, at := range s.seenLoans {
		if now.Sub(at) > loanRetention {
			delete(s.seenLoans, id)
		}
	}
}
