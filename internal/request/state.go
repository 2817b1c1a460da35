package request

import (
	"cmp"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/greengagewing/greengagewing/lanes"
)

// PartitionState is the dump of one partition.
type PartitionState struct {
	Partition   string                   `json:"partition"`
	Epoch       int64                    `json:"epoch"`
	Phase       string                   `json:"phase"`
	Slots       int                      `json:"slots"` // in use and idle
	Lanes       map[string]lanes.Stats   `json:"lanes"`
	InFlight    int                      `json:"in_flight"`
	Borrowed    int                      `json:"borrowed"`
	OpenKeys    int                      `json:"open_keys"`
	RetryBudget float64                  `json:"retry_budget"`
	BlockedMS   int64                    `json:"blocked_ms"` // until a fenced predecessor's attempts are over
	Customers   map[string]CustomerUsage `json:"customers"`
	Minions     []MinionState            `json:"minions"`
}

// CustomerUsage is what one customer has in hand.
type CustomerUsage struct {
	Active int `json:"active"`
	Queued int `json:"queued"`
}

// MinionState is the dump of one minion.
type MinionState struct {
	ID           string `json:"id"`
	Addr         string `json:"addr"`
	InUse        int    `json:"in_use"`
	LostAttempts int    `json:"held"` // slots of lost attempts that may still run
	Leaving      bool   `json:"leaving"`
	Ejected      bool   `json:"ejected"`
	Failures     int    `json:"failures"` // consecutive
}

func (p *partition) state() PartitionState {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := PartitionState{
		Partition: p.name, Epoch: p.guard.Epoch(), Phase: string(p.phase), Slots: p.router.totalSlots,
		Lanes: p.queue.Stats(), InFlight: p.inFlight, Borrowed: p.borrowed, OpenKeys: len(p.calls), RetryBudget: p.budget.saved,
		BlockedMS: max(0, time.Until(p.blockedUntil).Milliseconds()), Customers: map[string]CustomerUsage{},
	}
	for customer, a := range p.accounts {
		if a.active > 0 {
			d.Customers[customer] = CustomerUsage{Active: a.active, Queued: a.queued}
		}
	}
	for _, m := range p.router.minions {
		d.Minions = append(d.Minions, MinionState{
			ID: m.id, Addr: m.addr, InUse: m.inUse, LostAttempts: len(m.lostUntil), Leaving: !m.usable(),
			Ejected: m.ejected, Failures: m.failures,
		})
	}
	slices.SortFunc(d.Minions, func(a, b MinionState) int { return cmp.Compare(a.ID, b.ID) })
	return d
}

// metrics counts what the slice does.
type metrics struct {
	scope        tally.Scope
	existing     tally.Counter // requests answered from a recorded outcome
	joinedCalls  tally.Counter // requests that wait for a running call of the same key
	retried      tally.Counter
	borrowed     tally.Counter // loans asked for
	refused      tally.Counter // loans that a lender refused
	lent         tally.Counter // loans executed for others
	attemptsLost tally.Counter // attempts whose slot stays taken because they may still run
	ejections    tally.Counter // minions
	compactions  tally.Counter // journal compactions
}

func newMetrics(s tally.Scope) metrics {
	s = s.SubScope("request")
	return metrics{
		scope:        s,
		existing:     s.Counter("keys_known"),
		joinedCalls:  s.Counter("keys_joined"),
		retried:      s.Counter("retries"),
		borrowed:     s.Counter("loans_asked"),
		refused:      s.Counter("loans_refused"),
		lent:         s.Counter("loans_given"),
		attemptsLost: s.Counter("attempts_lost"),
		ejections:    s.Counter("ejections"),
		compactions:  s.Counter("compactions"),
	}
}

func (m metrics) countOutcome(o Outcome) {
	m.scope.Tagged(map[string]string{"outcome": string(o.Outcome), "code": cmp.Or(string(o.Code), "none")}).
		Counter("outcomes").Inc(1)
}
