package standin

import (
	"sync"
	"time"
)

// Values of Host.Kind.
const (
	KindWorker = "worker"
	KindMinion = "minion"
	KindDaemon = "daemon"
)

// Values of Host.State.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Host is one entry of the membership list.
type Host struct {
	ID            string `json:"id"`
	Addr          string `json:"addr"` // IP:port
	Kind          string `json:"kind"` // worker, minion or daemon
	ServiceOrPool string `json:"service_or_pool"`
	FailureDomain string `json:"failure_domain"`
	Rack          string `json:"rack"`
	State         string `json:"state"` // live or leaving
}

type hostChange struct {
	at      time.Time
	host    Host
	removed bool
}

// Membership is the platform's list of hosts. Readers see a change only after the lag.
type Membership struct {
	mu      sync.Mutex
	lag     time.Duration
	order   []string        // ids of visible hosts in the order in which they became visible
	latest  map[string]Host // includes pending changes
	visible map[string]Host // what readers see
	pending []hostChange    // not visible yet, oldest first
}

// NewMembership returns an empty list with the given lag.
func NewMembership(lag time.Duration) *Membership {
	return &Membership{lag: lag, latest: map[string]Host{}, visible: map[string]Host{}}
}

// SetLag sets the lag, which also applies to pending changes.
func (m *Membership) SetLag(lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lag = lag
}

// Lag returns the current lag.
func (m *Membership) Lag() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lag
}

// Put adds or replaces a host. An empty state means live.
func (m *Membership) Put(h Host) {
	if h.State == "" {
		h.State = StateLive
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.latest[h.ID] = h
	m.pending = append(m.pending, hostChange{at: time.Now(), host: h})
}

// Remove removes a host from the list.
func (m *Membership) Remove(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.latest, id)
	m.pending = append(m.pending, hostChange{at: time.Now(), host: Host{ID: id}, removed: true})
}

// setLeaving sets the state of a host to leaving or live. It ignores hosts that are not on the list.
func (m *Membership) setLeaving(id string, leaving bool) {
	m.mu.Lock()
	h, ok := m.latest[id]
	m.mu.Unlock()
	state := StateLive
	if leaving {
		state = StateLeaving
	}
	if !ok || h.State == state {
		return
	}
	h.State = state
	m.Put(h)
}

// Hosts applies the pending changes whose lag has passed and returns the visible hosts, in the order in which they
// became visible.
func (m *Membership) Hosts() []Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	applied := 0
	for _, c := range m.pending {
		if time.Since(c.at) < m.lag {
			break
		}
		m.apply(c)
		applied++
	}
	m.pending = m.pending[applied:]
	out := make([]Host, 0, len(m.order))
	for _, id := range m.order {
		if h, ok := m.visible[id]; ok {
			out = append(out, h)
		}
	}
	return out
}

func (m *Membership) apply(c hostChange) {
	_, known := m.visible[c.host.ID]
	switch {
	case c.removed && known:
		delete(m.visible, c.host.ID)
		for i, id := range m.order {
			if id == c.host.ID {
				m.order = append(m.order[:i], m.order[i+1:]...)
				break
			}
		}
	case !c.removed:
		if !known {
			m.order = append(m.order, c.host.ID)
		}
		m.visible[c.host.ID] = c.host
	}
}
