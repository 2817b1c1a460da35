package membership

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/wait"
)

// ErrUnavailable says that the platform's membership list could not be read.
var ErrUnavailable = errors.New("membership: list unavailable")

// Kind tells what a host is.
type Kind string

// The kinds of hosts.
const (
	KindMinion Kind = "minion"
	KindWorker Kind = "worker"
	KindDaemon Kind = "daemon"
)

// stateLeaving is the state of a host that is about to go.
const stateLeaving = "leaving"

// Host is one entry of the platform's list.
type Host struct {
	ID            string `json:"id"`
	Addr          string `json:"addr"` // IP:port
	Kind          Kind   `json:"kind"`
	ServiceOrPool string `json:"service_or_pool"`
	FailureDomain string `json:"failure_domain"`
	Rack          string `json:"rack"`
	State         string `json:"state"` // live or leaving
}

// Fetcher reads the platform's list once.
type Fetcher interface {
	Hosts(ctx context.Context) ([]Host, error)
}

const (
	pollInterval = time.Second
	pollTimeout  = time.Second
	// evidenceMaxAge is how long a list that was read counts as evidence that a host is gone.
	evidenceMaxAge = 3 * time.Second
	// reportPrecedence is how long an endpoint's own word that it is leaving outweighs a list that shows it live. The
	// platform's list lags; a restarted endpoint with the same id gets work again after this time.
	reportPrecedence = 30 * time.Second
)

type groupKey struct {
	kind Kind
	name string
}

// List follows the platform's list and merges it with what the daemons notice themselves. It implements Source.
type List struct {
	fetch Fetcher

	mu              sync.RWMutex
	hosts           []Host
	groups          map[groupKey][]Endpoint
	daemons         map[string]bool      // addresses that were listed at some time: listed now
	reported        map[string]time.Time // by this daemon's own calls to the endpoint
	reportedByPeers map[string]time.Time // by other daemons
	readAt          time.Time            // by this daemon itself
	copySource      copySource           // of the hosts that are held, while readAt is zero
	copyErr         error                // of the last round of calls to peers
	failedReads     int64
}

// NewList returns a list that is empty until the first poll.
func NewList(f Fetcher) *List {
	return &List{fetch: f, daemons: map[string]bool{}, reported: map[string]time.Time{}, reportedByPeers: map[string]time.Time{}}
}

// Run polls the list until ctx ends. While the list cannot be read, the last one stays in force, or a copy of a peer's.
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

// isSameSlice reports whether two lists are the same slice, as a fetcher returns it for an unchanged list.
func isSameSlice(a, b []Host) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// rebuildGroups makes new groups, because callers keep the slices that they were given.
func (l *List) rebuildGroups() {
	l.groups = map[groupKey][]Endpoint{}
	for _, h := range l.hosts {
		reported := reportInForce(l.reported, h.ID, l.listReadAt()) || reportInForce(l.reportedByPeers, h.ID, l.listReadAt())
		k := groupKey{h.Kind, h.ServiceOrPool}
		l.groups[k] = append(l.groups[k], Endpoint{
			ID: h.ID, Addr: h.Addr, FailureDomain: h.FailureDomain, Rack: h.Rack,
			Leaving: reported || h.State == stateLeaving,
		})
	}
}

// listReadAt returns when the list that is held was read from the platform, by this daemon or by the one that it comes from. It
// is zero while none is held. The caller holds mu.
func (l *List) listReadAt() time.Time {
	if l.readAt.IsZero() {
		return l.copySource.platformReadAt
	}
	return l.readAt
}

// reportInForce reports whether a report still outweighs the list that was read at readAt, and forgets it otherwise. While the list
// cannot be read, it shows an endpoint as it was before the report.
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

func (l *List) group(kind Kind, name string) []Endpoint {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.groups[groupKey{kind, name}]
}

// ReportLeaving implements Source.
func (l *List) ReportLeaving(id string) { l.recordReport(l.reported, id) }

// HearLeaving notes reports of another daemon. They are not passed on, so that two daemons cannot keep a report alive
// by telling it to each other.
func (l *List) HearLeaving(ids []string) {
	for _, id := range ids {
		l.recordReport(l.reportedByPeers, id)
	}
}

func (l *List) recordReport(reports map[string]time.Time, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := reports[id]
	reports[id] = time.Now()
	if !known {
		l.rebuildGroups()
	}
}

// Reported returns the ids of the endpoints that told this daemon that they are leaving, for other daemons.
func (l *List) Reported() []string {
	l.mu.RLock()
	defer l.mu.RUnlock()
	ids := make([]string, 0, len(l.reported))
	for id := range l.reported {
		ids = append(ids, id)
	}
	return ids
}

// HostListed reports whether the daemon at addr is listed. known is false unless this daemon has read the list recently
// and it has shown the daemon at some time, because a daemon that was never listed proves nothing by its absence. A copy
// of a peer's list is no evidence.
func (l *List) HostListed(addr string) (listed, known bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	listed, seen := l.daemons[addr]
	return listed, seen && time.Since(l.readAt) < evidenceMaxAge
}

// Age returns the time since the list that is held was read from the platform, by this daemon or by the one that a copy
// comes from, or a very long time if none is held.
func (l *List) Age() time.Duration {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return time.Since(l.listReadAt())
}

// Copied reports whether the list that is held is a copy of a peer's.
func (l *List) Copied() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.copySource.copies > 0
}

// State returns a dump for operators.
func (l *List) State() any {
	l.mu.RLock()
	defer l.mu.RUnlock()
	s := struct {
		Hosts      []Host               `json:"hosts"`
		Reported   map[string]time.Time `json:"reported_leaving"`
		Heard      map[string]time.Time `json:"heard_leaving"`
		ReadAt     time.Time            `json:"read_at"` // by this daemon
		AgeMS      int64                `json:"age_ms"`  // as of Age; -1: no list is held
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
