package standin

import (
	"sync"
	"time"
)

// Kinds of hosts in the membership list.
const (
	KindWorker = "worker"
	KindMinion = "minion"
	KindDaemon = "daemon"
)

// States of hosts in the membership list.
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

// Membership is the platform's list of hosts. A change shows only after the lag.
type Membership struct {
	mu      sync.Mutex
	lag     time.Duration
	order   []string        // ids in order of arrival
	latest  map[string]Host // with all changes
	visible map[string]Host
	pending []hostChange // in order of time
}

// NewMembership returns an empty list with the given lag.
func NewMembership(lag time.Duration) *Membership {
	return &Membership{lag: lag, latest: map[string]Host{}, visible: map[string]Host{}}
}

// SetLag changes the lag, for pending changes too.
func (m *Membership) SetLag(lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lag = lag
}

// Lag returns the lag in force.
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

// Remove takes a host off the list.
func (m *Membership) Remove(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.latest, id)
	m.pending = append(m.pending, hostChange{at: time.Now(), host: Host{ID: id}, removed: true})
}

// setLeaving changes the state of a host that is on the list.
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

// Hosts returns the list as readers see it, in order of arrival.
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
