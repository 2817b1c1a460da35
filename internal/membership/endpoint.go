// Package membership maintains the list of workers and minions that exist and of those that are leaving.
package membership

// Endpoint is one worker or minion.
type Endpoint struct {
	ID            string `json:"id"`
	Addr          string `json:"addr"` // IP:port
	FailureDomain string `json:"failure_domain"`
	Rack          string `json:"rack"`
	Leaving       bool   `json:"leaving"` // the endpoint must get no new work
}

// Source lists the endpoints of services and pools. The returned slices are shared and must not be changed.
type Source interface {
	// Minions returns the minions of a service.
	Minions(service string) []Endpoint
	// Workers returns the workers of a pool.
	Workers(pool string) []Endpoint
	// ReportLeaving records that an endpoint itself said that it is leaving, before the platform's list shows it.
	ReportLeaving(id string)
}
