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
	// AliveFor is how long a peer counts as alive after its last heartbeat.
	AliveFor = 3 * time.Second
)

// PathHeartbeat is the path of heartbeat calls.
const PathHeartbeat = "/peer/v1/heartbeat"

// Heartbeat is the state that daemons exchange every second. One call carries the caller's heartbeat in the request and
// the callee's in the response. Empty fields are omitted.
type Heartbeat struct {
	ID           string           `json:"id"` // the daemon's peer address
	Draining     bool             `json:"draining,omitempty"`
	ListVersions map[string]int64 `json:"list_versions,omitempty"` // accepted version of each list
	IdleSlots    map[string]int   `json:"idle_slots,omitempty"`    // slots that other daemons may borrow, by service
	Leaving      []string         `json:"leaving,omitempty"`       // endpoints that announced to this daemon that they will leave
}

// Status is what this daemon knows about a peer.
type Status struct {
	Heartbeat Heartbeat `json:"heartbeat"`
	At        time.Time `json:"at"`       // time of the last heartbeat, zero if none
	Failures  int       `json:"failures"` // consecutive heartbeats that the peer did not answer
}

// unresponsiveAfterFailures is the number of consecutive unanswered heartbeats that makes a peer unresponsive.
const unresponsiveAfterFailures = 2

// Alive reports whether the peer's last heartbeat arrived within AliveFor.
func (s Status) Alive(now time.Time) bool { return !s.At.IsZero() && now.Sub(s.At) < AliveFor }

// Roster returns the peer addresses of the other daemons that should be alive.
type Roster func() []string

// Receiver processes a heartbeat from a peer. sentAt is a local time before the peer composed it: when this daemon sent
// the call that the heartbeat answers. It is zero if the peer sent the heartbeat in a call of its own.
type Receiver func(hb Heartbeat, sentAt time.Time)

// Heartbeater exchanges heartbeats with all peers and keeps the last one of each.
type Heartbeater struct {
	client  *Client
	roster  Roster
	self    func() Heartbeat
	receive Receiver

	mu    sync.RWMutex
	peers map[string]Status
}

// NewHeartbeater returns a heartbeater that sends the heartbeats that self builds and passes those of the peers to receive.
func NewHeartbeater(c *Client, roster Roster, self func() Heartbeat, receive Receiver) *Heartbeater {
	return &Heartbeater{client: c, roster: roster, self: self, receive: receive, peers: map[string]Status{}}
}

// Run sends heartbeats to all peers once per heartbeatInterval until ctx ends.
func (h *Heartbeater) Run(ctx context.Context) {
	wait.Every(ctx, heartbeatInterval, h.sendAll)
}

// sendAll sends a heartbeat to all peers concurrently. First it removes the peers that are no longer in the roster.
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

// Serve records a peer's heartbeat and answers with this daemon's.
func (h *Heartbeater) Serve(_ context.Context, from Heartbeat) (Heartbeat, error) {
	h.recordHeartbeat(from, time.Time{})
	return h.self(), nil
}

// recordHeartbeat stores a peer's heartbeat. A heartbeat that answers a call of this daemon resets the count of failures.
// One that the peer sent in a call of its own has a zero sentAt; it does not show that the peer answers calls, so the count
// stays.
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

// Alive returns the last heartbeats of the peers that are alive.
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

// Unresponsive reports whether the peer at addr left the last heartbeats unanswered. Other calls to it would time out too.
func (h *Heartbeater) Unresponsive(addr string) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.peers[addr].Failures >= unresponsiveAfterFailures
}

// State returns the status of all peers, for the state dump.
func (h *Heartbeater) State() any {
	h.mu.RLock()
	defer h.mu.RUnlock()
	out := make(map[string]Status, len(h.peers))
	for a, s := range h.peers {
		out[a] = s
	}
	return out
}
