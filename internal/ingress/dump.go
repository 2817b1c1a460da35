package ingress

// Dump is what clients use, for the state dump.
type Dump struct {
	Listeners   []ListenerDump   `json:"listeners"`
	BodyBytes   int64            `json:"body_bytes"` // reserved now
	BodyLimit   int64            `json:"body_limit"`
	DecodeLimit int64            `json:"decode_limit"`
	Addresses   int              `json:"addresses"` // that have large bodies open
	Refused     map[string]int64 `json:"refused"`   // since the start, by reason
}

// ListenerDump is what the clients of a listener use.
type ListenerDump struct {
	Listener        string `json:"listener"`
	Connections     int    `json:"connections"`
	ConnectionLimit int    `json:"connection_limit"`
	BodyBytes       int64  `json:"body_bytes"`
	BodyLimit       int64  `json:"body_limit"`
}

// Dump returns what clients use.
func (g *Gate) Dump() any {
	d := Dump{BodyLimit: g.limits.BodyBytes, DecodeLimit: g.limits.DecodeBytes, Refused: g.refusals.byReason(&[reasonCount]int64{})}
	for l := range listenerCount {
		d.Listeners = append(d.Listeners, ListenerDump{Listener: l.String(), Connections: g.connections[l].count(), ConnectionLimit: g.limits.Connections[l]})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	d.BodyBytes, d.Addresses = g.budget.used, len(g.budget.addresses)
	for l := range listenerCount {
		d.Listeners[l].BodyBytes, d.Listeners[l].BodyLimit = g.budget.listeners[l], g.budget.listenerShare(l)
	}
	return d
}
