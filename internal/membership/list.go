package membership

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/wait"
)

// ErrUnavailable is returned when the platform's membership list cannot be read.
var ErrUnavailable = errors.New("membership: list unavailable")

// Kind is the kind of a host.
type Kind string

// The kinds of hosts.
const (
	KindMinion Kind = "minion"
	KindWorker Kind = "worker"
	KindDaemon Kind = "daemon"
)

// stateLeaving is the state of a host that will be removed soon.
const stateLeaving = "leaving"

// Host is one entry of the platform's membership list.
type Host struct {
	ID            string `json:"id"`
	Addr          string `json:"addr"` // IP:port
	Kind          Kind   `json:"kind"`
	ServiceOrPool string `json:"service_or_pool"`
	FailureDomain string `json:"failure_domain"`
	Rack          string `json:"rack"`
	State         string `json:"state"` // live or leaving
}

// Fetcher reads the platform's membership list.
type Fetcher interface {
	// Hosts reads the list once.
	Hosts(ctx context.Context) ([]Host, error)
}

const (
	pollInterval = time.Second
	pollTimeout  = time.Second
	// evidenceMaxAge is how long a list is evidence, after it was read, that a host that it does not show is gone.
	evidenceMaxAge = 3 * time.Second
	// reportPrecedence is how long an endpoint's own report that it is leaving takes precedence over a list that shows
	// it as live. The platform's list lags behind the report. An endpoint that restarts with the same id gets work
	// again after this time.
	reportPrecedence = 30 * time.Second
)

// groupKey identifies the endpoints of one service or pool.
type groupKey struct {
	kind Kind
	name string
}

// List polls the platform's membership list and merges it with reports from endpoints that they are leaving. It
// implements Source.
type List struct {
	fetch Fetcher

	mu              sync.RWMutex
	hosts           []Host
	groups          map[groupKey][]Endpoint
	daemons         map[string]bool      // by address; false: listed earlier, but not now
	reported        map[string]time.Time // when this daemon last heard from an endpoint that it is leaving, by id
	reportedByPeers map[string]time.Time // when another daemon last passed on such a report, by id
	readAt          time.Time            // when this daemon last read the list itself
	copySource      copySource           // origin of hosts while readAt is zero
	copyErr         error                // error of the last round of calls to peers
	failedReads     int64
}

// NewList returns a list that is empty until the first poll.
func NewList(f Fetcher) *List {
	return &List{fetch: f, daemons: map[string]bool{}, reported: map[string]time.Time{},
		reportedByPeers: map[string]time.Time{}}
}

// Run polls the list until ctx ends. While the list cannot be read, the last list stays in use, or a copy of a peer's
// list.
func (l *List) Run(ctx context.Context) {
	wait.Every(ctx, pollInterval, l.Poll)
}

// Poll reads the list once.
func (l *List) Poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	hosts, err := l.fetch.Hosts(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failedReads++
		return
	}
	l.readAt, l.copySource, l.copyErr = time.Now(), copySource{}, nil
	if isSameSlice(l.hosts, hosts) && len(l.reported)+len(l.reportedByPeers) == 0 {
		return
	}
	l.hosts = hosts
	for addr := range l.daemons {
		l.daemons[addr] = false
	}
	for _, h := range hosts {
		if h.Kind == KindDaemon {
			l.daemons[h.Addr] = true
		}
	}
	l.rebuildGroups()
}

// isSameSlice reports whether two lists share their memory. A fetcher returns the same slice again for an unchanged
// list.
func isSameSlice(a, b []Host) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// rebuildGroups computes the groups from the hosts and reports. It creates new slices, because callers keep the slices
// that they received. The caller holds mu.
func (l *List) rebuildGroups() {
	l.groups = map[groupKey][]Endpoint{}
	for _, h := range l.hosts {
		reported := reportInForce(l.reported, h.ID, l.listReadAt()) ||
			reportInForce(l.reportedByPeers, h.ID, l.listReadAt())
		k := groupKey{h.Kind, h.ServiceOrPool}
		l.groups[k] = append(l.groups[k], Endpoint{
			ID: h.ID, Addr: h.Addr, FailureDomain: h.FailureDomain, Rack: h.Rack,
			Leaving: reported || h.State == stateLeaving,
		})
	}
}

// listReadAt returns when the current list was read from the platform, either by this daemon or by the daemon that a
// copy comes from. It is zero while there is no list. The caller holds mu.
func (l *List) listReadAt() time.Time {
	if l.readAt.IsZero() {
		return l.copySource.platformReadAt
	}
	return l.readAt
}

// reportInForce reports whether a report still takes precedence over the list that was read at readAt, and deletes the
// report if it does not. The comparison uses readAt rather than the current time, because a list that cannot be read
// again shows the endpoint as it was before the report. The caller holds mu.
func reportInForce(reports map[string]time.Time, id string, readAt time.Time) bool {
	at, ok := reports[id]
	if ok && readAt.Sub(at) > reportPrecedence {
		delete(reports, id)
		return false
	}
	return ok
}

// Minions implements Source.
func (l *List) Minions(service string) []Endpoint { return l.group(KindMinion, service) }

// Workers implements Source.
func (l *List) Workers(pool string) []Endpoint { return l.group(KindWorker, pool) }

// group returns the endpoints of one service or pool.
func (l *List) group(kind Kind, name string) []Endpoint {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.groups[groupKey{kind, name}]
}

// ReportLeaving implements Source.
func (l *List) ReportLeaving(id string) { l.recordReport(l.reported, id) }

// RecordPeerReports records reports that another daemon passed on. This daemon does not pass them on again; otherwise two
// daemons could keep a report alive by sending it to each other.
func (l *List) RecordPeerReports(ids []string) {
	for _, id := range ids {
		l.recordReport(l.reportedByPeers, id)
	}
}

// recordReport records that an endpoint reported now that it is leaving.
func (l *List) recordReport(reports map[string]time.Time, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := reports[id]
	reports[id] = time.Now()
	if !known {
		l.rebuildGroups()
	}
}

// OwnLeavingReports returns the ids of the endpoints that reported to this daemon itself that they are leaving. The daemon
// passes them on to other daemons.
func (l *List) OwnLeavingReports() []string {
	l.mu.RLock()
	defer l.mu.RUnlock()
	ids := make([]string, 0, len(l.reported))
	for id := range l.reported {
		ids = append(ids, id)
	}
	return ids
}

// HostListed reports whether the daemon at addr is listed. known is false unless this daemon has read the list recently
// and some list that it read has shown the daemon: the absence of a daemon that was never listed proves nothing. A copy
// of a peer's list is no evidence.
func (l *List) HostListed(addr string) (listed, known bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	listed, seen := l.daemons[addr]
	return listed, seen && time.Since(l.readAt) < evidenceMaxAge
}

// Age returns the time since the current list was read from the platform, either by this daemon or by the daemon that a
// copy comes from. It is a very long time if there is no list.
func (l *List) Age() time.Duration {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return time.Since(l.listReadAt())
}

// IsCopy reports whether the current list is a copy of a peer's list.
func (l *List) IsCopy() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.copySource.copies > 0
}

// State returns a dump of the list for operators.
func (l *List) State() any {
	l.mu.RLock()
	defer l.mu.RUnlock()
	s := struct {
		Hosts      []Host               `json:"hosts"`
		Reported   map[string]time.Time `json:"reported_leaving"`
		Heard      map[string]time.Time `json:"heard_leaving"`
		ReadAt     time.Time            `json:"read_at"` // when this daemon last read the list itself
		AgeMS      int64                `json:"age_ms"`  // age of the list as Age returns it; -1: there is no list
		CopiedFrom string               `json:"copied_from,omitempty"`
		Copies     int                  `json:"copies,omitempty"` // how many times the list was passed on
		CopyError  string               `json:"copy_error,omitempty"`
		Failures   int64                `json:"failed_reads"`
	}{
		Hosts: l.hosts, Reported: maps.Clone(l.reported), Heard: maps.Clone(l.reportedByPeers), ReadAt: l.readAt, AgeMS: -1,
		CopiedFrom: l.copySource.from, Copies: l.copySource.copies, Failures: l.failedReads,
	}
	if at := l.listReadAt(); !at.IsZero() {
		s.AgeMS = time.Since(at).Milliseconds()
	}
	if l.copyErr != nil {
		s.CopyError = l.copyErr.Error()
	}
	return s
}
