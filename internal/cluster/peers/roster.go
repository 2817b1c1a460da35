// Package peers lets the daemons of a cluster find and call each other. Each daemon registers its host in a row of the store;
// the calls are HTTP requests with JSON bodies.
package peers

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/asynclog"
	"github.com/greengagewing/greengagewing/internal/cluster/election"
	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/wait"
)

// Host describes a daemon and its host, as registered in the table Hosts.
type Host struct {
	election.Identity
	FailureDomain string    `json:"domain"`
	Started       time.Time `json:"started"`
	// Processors is the processor time that the daemon may use, in cores.
	Processors float64 `json:"processors"`
	Draining   bool    `json:"draining,omitempty"`
	// AliveAt is a version of the store that this process has read before it registered, so that it ran at that time. Earlier releases
	// leave it out.
	AliveAt int64 `json:"alive_at,omitempty"`
}

// Roster lists the registered daemons. It implements rowstore.Handler to follow the table Hosts.
type Roster struct {
	log *zap.Logger

	mu        sync.Mutex
	hosts     map[string]rosterEntry // by host
	available []Host                 // the result of Hosts; nil if it has to be rebuilt
}

type rosterEntry struct {
	Host
	version int64 // of the row
}

// NewRoster returns an empty roster.
func NewRoster(log *zap.Logger) *Roster { return &Roster{log: log, hosts: map[string]rosterEntry{}} }

// Snapshot implements rowstore.Handler.
func (r *Roster) Snapshot(rows []rowstore.Row) {
	r.mu.Lock()
	r.hosts = map[string]rosterEntry{}
	r.mu.Unlock()
	r.Apply(rows)
}

// Apply implements rowstore.Handler.
func (r *Roster) Apply(rows []rowstore.Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed, version := r.apply(rows)
	r.available = nil
	if len(listed) > 0 {
		// One line lists all changed hosts, because each host learns of all others when the whole system starts.
		r.log.Info("hosts listed", zap.Strings("peers", listed), zap.Int64("version", version), zap.Int("hosts", len(r.hosts)))
	}
}

// apply updates the roster from rows. It returns a description of each host that was added or changed, and the highest
// version of their rows.
func (r *Roster) apply(rows []rowstore.Row) (listed []string, version int64) {
	for _, row := range rows {
		if row.Version < r.hosts[row.Name].version {
			continue
		}
		if row.Deleted {
			r.log.Info("host left", zap.String("peer", row.Name), zap.Int64("version", row.Version))
			delete(r.hosts, row.Name)
			continue
		}
		var h Host
		if err := records.Decode(row, &h); err != nil {
			r.log.Error("failed to decode the row of a host", zap.String("peer", row.Name), asynclog.Error(err))
			continue
		}
		text := h.Host + " " + h.Addr + " " + h.BootID
		if h.Draining {
			text += " draining"
		}
		listed, version = append(listed, text), max(version, row.Version)
		r.hosts[row.Name] = rosterEntry{h, row.Version}
	}
	return listed, version
}

// Find returns the daemon registered for a host, even if it is draining.
func (r *Roster) Find(host string) (Host, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.hosts[host]
	return e.Host, ok
}

// minOwnerProcessorShare is the minimum share of the largest host's processors that a host needs to become the owner while
// larger hosts are registered.
const minOwnerProcessorShare = 0.75

// OwnerCandidates returns the daemons on hosts that are large enough to be the owner: those with about as many processors as
// the largest host.
func (r *Roster) OwnerCandidates() []Host {
	hosts := r.Hosts()
	largest := 0.0
	for _, h := range hosts {
		largest = max(largest, h.Processors)
	}
	return slices.DeleteFunc(hosts, func(h Host) bool { return h.Processors < minOwnerProcessorShare*largest })
}

// Replaced reports whether a process with another bootID has registered the host after the store's version since. The row of an earlier
// process may take effect late; it was alive before that version only.
func (r *Roster) Replaced(host, bootID string, since int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.hosts[host]
	return ok && e.BootID != bootID && e.version > since && (e.AliveAt == 0 || e.AliveAt >= since)
}

// Hosts returns all daemons that are not draining, sorted by host.
func (r *Roster) Hosts() []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.available == nil {
		for _, e := range r.hosts {
			if !e.Draining {
				r.available = append(r.available, e.Host)
			}
		}
		slices.SortFunc(r.available, func(a, b Host) int { return strings.Compare(a.Host, b.Host) })
	}
	return slices.Clone(r.available)
}

// registerRetryDelay is the delay between attempts to write this host's row.
const registerRetryDelay = 200 * time.Millisecond

// Register writes the row of this daemon. It retries until the write succeeds or ctx ends. Writes are conditional on the row's
// version, so a write that takes effect late never replaces the row of a later process.
func Register(ctx context.Context, store rowstore.Store, h Host, log *zap.Logger) {
	var err error
	for failures := 0; ctx.Err() == nil; failures++ {
		if err = register(ctx, store, h); err == nil {
			log.Info("host registered", zap.Bool("draining", h.Draining), zap.Int("failures", failures))
			return
		}
		wait.For(ctx, registerRetryDelay)
	}
	log.Warn("gave up writing the row of this host", asynclog.Error(err))
}

func register(ctx context.Context, store rowstore.Store, h Host) error {
	k := records.HostKey(h.Host)
	page, err := store.Read(ctx, rowstore.Range{Table: k.Table, Partition: k.Partition, From: k.Name, To: k.Name + "\x00", Limit: 1})
	if err != nil {
		return errors.Wrap(err, "read the row of this host")
	}
	h.AliveAt = page.Version
	value, err := records.Encode(h)
	if err != nil {
		return err
	}
	version := int64(0)
	if len(page.Rows) > 0 {
		version = page.Rows[0].Version
	}
	_, err = store.Commit(ctx, rowstore.Txn{
		Conditions: []rowstore.Condition{{Key: k, Version: version}}, Puts: []rowstore.Put{{Key: k, Value: value}},
	})
	return err
}
