// Package membership knows which workers and minions exist and which of them are leaving.
package membership

// Endpoint is one worker or minion.
type Endpoint struct {
	ID            string `json:"id"`
	Addr          string `json:"addr"` // IP:port
	FailureDomain string `json:"failure_domain"`
	Rack          string `json:"rack"`
	Leaving       bool   `json:"leaving"` // gets no new work
}

// Source lists endpoints. The returned slice is shared and must not be changed.
type Source interface {
	Minions(service string) []Endpoint
	Workers(pool string) []Endpoint
	// ReportLeaving notes that an endpoint itself said that it is leaving, ahead of the platform's list.
	ReportLeaving(id string)
}
