package peer

import (
	"context"
	"sync"
	"time"

	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	heartbeatInterval = time.Second
	heartbeatTimeout  = time.Second
	// AliveFor is how long a peer counts as reachable after its last heartbeat.
	AliveFor = 3 * time.Second
)

// PathHeartbeat is the path of heartbeat calls.
const PathHeartbeat = "/peer/v1/heartbeat"

// Heartbeat is what daemons tell each other every second, in both directions of one call. Empty fields are not sent.
type Heartbeat struct {
	ID           string           `json:"id"` // the daemon's peer address
	Draining     bool             `json:"draining,omitempty"`
	ListVersions map[string]int64 `json:"list_versions,omitempty"` // accepted version by list
	IdleSlots    map[string]int   `json:"idle_slots,omitempty"`    // slots to lend by service
	Leaving      []string         `json:"leaving,omitempty"`       // endpoints that told this daemon that they are leaving
}

// Status is what is known of a peer.
type Status struct {
	Heartbeat Heartbeat `json:"heartbeat"`
	At        time.Time `json:"at"`       // time of the last heartbeat, zero if none
	Failures  int       `json:"failures"` // heartbeats in a row that were not answered
}

// unresponsiveAfterFailures is the number of unanswered heartbeats in a row from which on a peer counts as unresponsive.
const unresponsiveAfterFailures = 2

// Alive reports whether the peer was heard from recently.
func (s Status) Alive(now time.Time) bool { return !s.At.IsZero() && now.Sub(s.At) < AliveFor }

// Roster lists the addresses of the other daemons that should be alive.
type Roster func() []string

// Receiver takes a heartbeat of a peer. asked is a local time before the peer composed it, zero if none is known.
type Receiver func(hb Heartbeat, sentAt time.Time)

// Heartbeater exchanges heartbeats with all peers and keeps their last ones.
type Heartbeater struct {
	client  *Client
	roster  Roster
	self    func() Heartbeat
	receive Receiver

	mu    sync.RWMutex
	peers map[string]Status
}

// NewHeartbeater returns a heartbeater that tells peers what self returns and passes what they tell to receive.
func NewHeartbeater(c *Client, roster Roster, self func() Heartbeat, receive Receiver) *Heartbeater {
	return &Heartbeater{client: c, roster: roster, self: self, receive: receive, peers: map[string]Status{}}
}

// Run sends heartbeats until ctx ends.
func (h *Heartbeater) Run(ctx context.Context) {
	wait.Every(ctx, heartbeatInterval, h.sendAll)
}

// sendAll calls all peers at the same time and forgets those that are no longer in the roster.
func (h *Heartbeater) sendAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	addrs := h.roster()
	h.removeUnlisted(addrs)
	hb := h.self()
	var wg sync.WaitGroup
	for _, addr := range addrs {
		wg.Go(func() {
			sentAt := time.Now()
			answer, err := Call[Heartbeat](ctx, h.client, addr, PathHeartbeat, hb)
			if err != nil {
				h.recordFailure(addr)
				return
			}
			h.recordHeartbeat(answer, sentAt)
		})
	}
	wg.Wait()
}

// Serve answers a peer's heartbeat.
func (h *Heartbeater) Serve(_ context.Context, from Heartbeat) (Heartbeat, error) {
	h.recordHeartbeat(from, time.Time{})
	return h.self(), nil
}

// recordHeartbeat notes a heartbeat. One that the peer sent on its own says nothing about whether the peer answers calls, so it
// leaves the failures; asked is zero then.
func (h *Heartbeater) recordHeartbeat(hb Heartbeat, sentAt time.Time) {
	h.mu.Lock()
	s := Status{Heartbeat: hb, At: time.Now()}
	if sentAt.IsZero() {
		s.Failures = h.peers[hb.ID].Failures
	}
	h.peers[hb.ID] = s
	h.mu.Unlock()
	h.receive(hb, sentAt)
}

func (h *Heartbeater) recordFailure(addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.peers[addr]
	s.Heartbeat.ID = addr
	s.Failures++
	h.peers[addr] = s
}

func (h *Heartbeater) removeUnlisted(addrs []string) {
	keep := make(map[string]bool, len(addrs))
	for _, a := range addrs {
		keep[a] = true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for a, s := range h.peers {
		if !keep[a] && !s.Alive(time.Now()) {
			delete(h.peers, a)
		}
	}
}

// Alive returns the last heartbeats of the peers that were heard from recently.
func (h *Heartbeater) Alive() []Heartbeat {
	h.mu.RLock()
	defer h.mu.RUnlock()
	now := time.Now()
	var out []Heartbeat
	for _, s := range h.peers {
		if s.Alive(now) {
			out = append(out, s.Heartbeat)
		}
	}
	return out
}

// Unresponsive reports whether the peer at addr has not answered the last heartbeats. Calls to it would only wait.
func (h *Heartbeater) Unresponsive(addr string) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.peers[addr].Failures >= unresponsiveAfterFailures
}

// State returns a dump for operators.
func (h *Heartbeater) State() any {
	h.mu.RLock()
	defer h.mu.RUnlock()
	out := make(map[string]Status, len(h.peers))
	for a, s := range h.peers {
		out[a] = s
	}
	return out
}
