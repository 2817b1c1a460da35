package configage

import (
	"context"
	"sync"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/clock"
	"github.com/greengagewing/greengagewing/internal/wait"
)

// awaitTimeout is how long a caller's request waits for an attempt to confirm the copy.
const awaitTimeout = 500 * time.Millisecond

// Tracker records when this host's copy of the configuration was confirmed. A confirmation must be recorded after the versions that it
// covers are in force.
type Tracker struct {
	limits Limits
	clock  clock.Func

	mu      sync.Mutex
	state   State
	changed chan struct{} // closed and replaced when the state changes
	asked   chan struct{} // signals that a request waits for an attempt
}

// NewTracker returns a Tracker without a confirmation.
func NewTracker(l Limits, c clock.Func) *Tracker {
	return &Tracker{limits: l, clock: c, state: State{AnsweredAt: c()}, changed: make(chan struct{}), asked: make(chan struct{}, 1)}
}

// State returns the current state.
func (t *Tracker) State() State {
	s, _ := t.snapshot()
	return s
}

func (t *Tracker) snapshot() (State, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state, t.changed
}

// Verdict tells whether the copy may be used now.
func (t *Tracker) Verdict() Verdict { return t.State().Verdict(t.clock(), t.limits) }

// Usable reports whether requests may be decided by the copy now. If an attempt to confirm the copy is needed first, it waits for that, at
// most for awaitTimeout.
func (t *Tracker) Usable(ctx context.Context) bool {
	if v := t.Verdict(); v != CheckFirst {
		return v == Usable
	}
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	for {
		s, changed := t.snapshot()
		if v := s.Verdict(t.clock(), t.limits); v != CheckFirst {
			return v == Usable
		}
		wait.Signal(t.asked)
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// ConfirmByStore records that the store has answered a call that was sent at the given time.
func (t *Tracker) ConfirmByStore(sentAt time.Duration) {
	t.update(func(s *State) {
		s.AnsweredAt = t.clock()
		s.confirm(sentAt)
	})
}

// ConfirmByPeer records that the version in force, or an older one, was the newest at the given time.
func (t *Tracker) ConfirmByPeer(at time.Duration) { t.update(func(s *State) { s.confirm(at) }) }

// endAttempt records the end of an attempt that began at the given time.
func (t *Tracker) endAttempt(beganAt time.Duration) {
	t.update(func(s *State) { s.Attempted, s.AttemptedAt = true, beganAt })
}

func (s *State) confirm(at time.Duration) {
	if !s.Known || at > s.ConfirmedAt {
		s.Known, s.ConfirmedAt = true, at
	}
}

func (t *Tracker) update(change func(s *State)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.state)
	close(t.changed)
	t.changed = make(chan struct{})
}
