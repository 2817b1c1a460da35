package peer

import (
	"context"
	"math/rand/v2"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/request"
)

const pathExecute = "/peer/v1/execute"

// maxLenders bounds how many daemons one attempt to borrow a slot asks.
const maxLenders = 2

// Lender borrows idle slots from other daemons, which then run the request. It implements request.Lender.
type Lender struct {
	client     *Client
	heartbeats *Heartbeater
}

// NewLender returns a lender that finds idle slots in the heartbeats that h receives.
func NewLender(c *Client, h *Heartbeater) *Lender { return &Lender{client: c, heartbeats: h} }

// IdleSlots implements request.Lender. It counts the idle slots of all live daemons that are not draining.
func (l *Lender) IdleSlots(service string) int {
	total := 0
	for _, hb := range l.heartbeats.Alive() {
		if !hb.Draining {
			total += hb.IdleSlots[service]
		}
	}
	return total
}

// Borrow implements request.Lender. It tries another daemon only if the previous one certainly did not run the request.
func (l *Lender) Borrow(ctx context.Context, loan request.Loan) (request.LoanReply, error) {
	last := request.LoanReply{Status: request.LoanRefused, Message: "no daemon has idle slots"}
	tried := map[string]bool{}
	for range maxLenders {
		addr := chooseLender(l.heartbeats.Alive(), loan.Service, tried)
		if addr == "" {
			return last, nil
		}
		tried[addr] = true
		reply, err := Call[request.LoanReply](ctx, l.client, addr, pathExecute, loan)
		switch {
		case errors.Is(err, ErrNotSent):
			last = request.LoanReply{Status: request.LoanRefused, Message: err.Error()}
		case err != nil:
			return request.LoanReply{}, err
		case reply.Status != request.LoanRefused:
			return reply, nil
		default:
			last = reply
		}
	}
	return last, nil
}

// chooseLender picks two random daemons that were not tried yet and returns the one with more idle slots, or "" if there is
// none.
func chooseLender(heartbeats []Heartbeat, service string, tried map[string]bool) string {
	var candidates []Heartbeat
	for _, hb := range heartbeats {
		if !hb.Draining && !tried[hb.ID] && hb.IdleSlots[service] > 0 {
			candidates = append(candidates, hb)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	a, b := candidates[rand.IntN(len(candidates))], candidates[rand.IntN(len(candidates))]
	if b.IdleSlots[service] > a.IdleSlots[service] {
		a = b
	}
	return a.ID
}

// RegisterLender serves the calls of Lender: it runs requests on idle slots of s.
func RegisterLender(r gin.IRoutes, s *request.Service) {
	Handle(r, pathExecute, func(ctx context.Context, l request.Loan) (request.LoanReply, error) {
		return s.ExecuteLoan(ctx, l), nil
	})
}
