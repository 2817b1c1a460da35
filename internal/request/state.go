package request

import (
	"cmp"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/greengagewing/greengagewing/lanes"
)

// PartitionState is the state of one partition as operators see it.
type PartitionState struct {
	Partition   string                   `json:"partition"`
	Epoch       int64                    `json:"epoch"`
	Phase       string                   `json:"phase"`
	Slots       int                      `json:"slots"` // in use and idle
	Lanes       map[string]lanes.Stats   `json:"lanes"`
	InFlight    int                      `json:"in_flight"`
	Borrowed    int                      `json:"borrowed"`     // attempts in borrowed slots
	OpenKeys    int                      `json:"open_keys"`    // keyed requests without an outcome
	RetryBudget float64                  `json:"retry_budget"` // retries that the budget allows now
	BlockedMS   int64                    `json:"blocked_ms"`   // remaining time in which a fenced previous owner's attempts may run
	Customers   map[string]CustomerUsage `json:"customers"`
	Minions     []MinionState            `json:"minions"`
}

// CustomerUsage holds the numbers of a customer's requests that have no outcome yet.
type CustomerUsage struct {
	Active int `json:"active"` // queued or in flight
	Queued int `json:"queued"`
}

// MinionState is the state of one minion as operators see it.
type MinionState struct {
	ID           string `json:"id"`
	Addr         string `json:"addr"`
	InUse        int    `json:"in_use"`
	LostAttempts int    `json:"held"` // slots that remain occupied by lost attempts, which may still run
	Leaving      bool   `json:"leaving"`
	Ejected      bool   `json:"ejected"`  // gets no work after repeated failures, except for trials
	Failures     int    `json:"failures"` // consecutive
}

// state returns the partition's state for operators.
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

// metrics holds the counters of the request service.
type metrics struct {
	scope        tally.Scope
	existing     tally.Counter // requests whose key already had a recorded outcome
	joinedCalls  tally.Counter // requests that joined a queued or running request with the same key
	retried      tally.Counter // attempts that were repeated after a failure
	borrowed     tally.Counter // loans requested from other partitions and daemons
	refused      tally.Counter // requested loans that were refused or not sent
	lent         tally.Counter // loans executed for other daemons
	attemptsLost tally.Counter // attempts whose slot remains occupied because they may still run
	ejections    tally.Counter // minions ejected
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

// countOutcome counts an outcome by its result and code.
func (m metrics) countOutcome(o Outcome) {
	m.scope.Tagged(map[string]string{"outcome": string(o.Result), "code": cmp.Or(string(o.Code), "none")}).
		Counter("outcomes").Inc(1)
}
