// Package standin implements a fake platform for tests and demonstrations: the table service, the membership list, the
// workers and the minions. Faults can be injected into each of them, and an audit records what ran where.
package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/network"
	"github.com/greengagewing/greengagewing/table"
)

const (
	commitRate = 400  // commits per second that the table service accepts
	readRate   = 2000 // reads per second that the table service accepts
	// DefaultLag is the default delay until a change shows in the membership list.
	DefaultLag = 2 * time.Second
	// DefaultUsageLag is the default age of a task at which its usage first appears in worker reports.
	DefaultUsageLag = 2 * time.Second
)

// Cell describes the minions and workers of one organization that uses the platform.
type Cell struct {
	Name           string // name of both the service and the pool
	Minions        int
	Workers        int
	Capacity       Resources // of each worker
	WorkersPerRack int
	FailureDomains []string
}

// Textos returns the preset cell of the Asociación.
func Textos() Cell {
	return Cell{
		Name: "textos", Minions: 50, Workers: 50, Capacity: Resources{CPUMilli: 32_000, MemoryMB: 131_072},
		WorkersPerRack: 6, FailureDomains: []string{"gt-central-a", "gt-central-b", "gt-central-c", "gt-central-d"},
	}
}

// Eierabo returns the preset cell of Stadtwerke Aarwil.
func Eierabo() Cell {
	return Cell{
		Name: "eierabo", Minions: 50, Workers: 50, Capacity: Resources{CPUMilli: 16_000, MemoryMB: 32_768},
		WorkersPerRack: 8, FailureDomains: []string{"mittelland-a", "mittelland-b", "mittelland-c"},
	}
}

// Config configures a platform. With a port of 0 the operating system chooses a free port; with a base port of 0 it
// does so for each minion or worker.
type Config struct {
	Cells          []Cell
	TablePort      int
	ControlPort    int // serves the membership list, faults and audit
	MinionBasePort int
	WorkerBasePort int
	Lag            time.Duration      // until a change shows in the membership list
	CompareEpochs  bool               // workers reject commands whose epoch (fencing token) is older than the highest seen
	Clock          bool               // workers report a clock and obey not_after_ms
	UsageRatio     float64            // actual usage of a task relative to its declared size; 0 means 1
	UsageLag       time.Duration      // age of a task at which its usage first appears in reports
	Listen         network.ListenFunc // nil: TCP
}

// Platform is a running fake platform that listens on 127.0.0.1.
type Platform struct {
	Table      *table.Memory
	Membership *Membership
	Audit      *Audit

	listenOn    network.ListenFunc
	checkpoints checkpointStore
	endpoints   []*endpoint
	table       *endpoint
	control     *endpoint
	cancel      context.CancelFunc
	wg          sync.WaitGroup

	faultsMu    sync.Mutex
	targets     map[string]faultTarget
	listOutage  bool // guarded by faultsMu
	tableFaults Faults
}

// Start starts all listeners. The configured minions and workers are on the membership list immediately, without the
// lag.
func Start(cfg Config) (*Platform, error) {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Platform{
		Table: table.NewMemory(), Membership: NewMembership(0), Audit: NewAudit(),
		cancel: cancel, targets: map[string]faultTarget{},
	}
	p.faultsMu.Lock() // the control listener accepts calls before all fault targets are registered
	defer p.faultsMu.Unlock()
	if err := p.start(ctx, cfg); err != nil {
		p.Close()
		return nil, err
	}
	p.Membership.Hosts() // makes the hosts visible before the lag is set
	p.Membership.SetLag(cfg.Lag)
	p.targets["membership"] = faultTarget{
		kind:     "membership",
		get:      func() Faults { return Faults{Outage: p.listOutage, LagMS: p.Membership.Lag().Milliseconds()} },
		defaults: Faults{LagMS: cfg.Lag.Milliseconds()},
		set: func(f Faults) error {
			p.listOutage = f.Outage
			p.Membership.SetLag(time.Duration(f.LagMS) * time.Millisecond)
			return nil
		},
	}
	return p, nil
}

func (p *Platform) start(ctx context.Context, cfg Config) error {
	p.listenOn = cfg.Listen
	if p.listenOn == nil {
		p.listenOn = network.TCP().Listen
	}
	if err := p.startTable(cfg.TablePort); err != nil {
		return err
	}
	p.control = &endpoint{handler: p.controlHandler()}
	if err := p.listen(p.control, cfg.ControlPort, 0); err != nil {
		return err
	}
	var minions, workers int
	for _, c := range cfg.Cells {
		if c.WorkersPerRack < 1 || len(c.FailureDomains) == 0 {
			return errors.Errorf("cell %s: WorkersPerRack and FailureDomains are required", c.Name)
		}
		for i := range c.Minions {
			if err := p.startMinion(c, i, cfg.MinionBasePort, minions); err != nil {
				return err
			}
			minions++
		}
		for i := range c.Workers {
			if err := p.startWorker(ctx, cfg, c, i, workers); err != nil {
				return err
			}
			workers++
		}
	}
	return nil
}

func (p *Platform) listen(e *endpoint, base, offset int) error {
	port := base + offset
	if base == 0 {
		port = 0
	}
	p.endpoints = append(p.endpoints, e)
	e.network = p.listenOn
	return e.listen(net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
}

func (p *Platform) startTable(port int) error {
	mux := http.NewServeMux()
	mux.Handle("/", table.Handler(p.Table))
	mux.Handle("/v1/objects/{key...}", newObjectStore(func() bool { return p.Table.Faults().Down }))
	p.table = &endpoint{handler: limitRate(mux)}
	p.targets["table"] = faultTarget{
		kind: "table",
		get: func() Faults {
			f, m := p.tableFaults, p.Table.Faults()
			f.Outage, f.DelayMS = m.Down, m.Delay.Milliseconds()
			f.LoseResponses, f.StaleReads = m.LoseAnswers, m.StaleReads
			return f
		},
		set: func(f Faults) error {
			p.Table.SetFaults(table.Faults{
				Down: f.Outage, Delay: time.Duration(f.DelayMS) * time.Millisecond,
				LoseAnswers: f.LoseResponses, StaleReads: f.StaleReads,
			})
			p.tableFaults = Faults{Down: f.Down, Unreachable: f.Unreachable}
			return p.table.applyNetworkFaults(f)
		},
	}
	return p.listen(p.table, port, 0)
}

func (p *Platform) startMinion(c Cell, i, base, offset int) error {
	m := newMinion(fmt.Sprintf("%s-minion-%02d", c.Name, i), minionSlots, p.Audit)
	e := &endpoint{handler: m, maxConns: maxConnections, onConnCount: m.countConnections}
	if err := p.listen(e, base, offset); err != nil {
		return err
	}
	p.addHost(Host{ID: m.ID, Kind: KindMinion}, c, i, e, faultTarget{get: m.Faults, set: func(f Faults) error {
		m.SetFaults(f)
		return nil
	}})
	return nil
}

func (p *Platform) startWorker(ctx context.Context, cfg Config, c Cell, i, offset int) error {
	w := newWorker(fmt.Sprintf("%s-worker-%02d", c.Name, i), c.Capacity, p.Audit, &p.checkpoints)
	defaultFaults := Faults{
		CompareEpochs: cfg.CompareEpochs, Clock: cfg.Clock, UsageRatio: cfg.UsageRatio,
		UsageLagMS: cfg.UsageLag.Milliseconds(),
	}
	w.SetFaults(defaultFaults)
	e := &endpoint{handler: w}
	if err := p.listen(e, cfg.WorkerBasePort, offset); err != nil {
		return err
	}
	p.wg.Go(func() { w.Run(ctx) })
	p.addHost(Host{ID: w.ID, Kind: KindWorker}, c, i, e, faultTarget{defaults: defaultFaults, get: w.Faults, set: func(f Faults) error {
		if f.Restart {
			e.close()
		}
		w.SetFaults(f)
		return nil
	}})
	return nil
}

// addHost adds a minion or worker to the membership list and registers it as a fault target.
func (p *Platform) addHost(h Host, c Cell, i int, e *endpoint, t faultTarget) {
	rack := i / c.WorkersPerRack
	h.Addr, h.ServiceOrPool, h.State = e.addr, c.Name, StateLive
	h.FailureDomain = c.FailureDomains[rack%len(c.FailureDomains)]
	h.Rack = fmt.Sprintf("%s-rack-%02d", c.Name, rack)
	p.Membership.Put(h)
	set := t.set
	t.kind = h.Kind
	t.set = func(f Faults) error {
		silence := f.Silence
		f.Silence = false
		if err := set(f); err != nil {
			return err
		}
		p.Membership.setLeaving(h.ID, f.Leaving)
		f.Silence = silence
		return e.applyNetworkFaults(f)
	}
	p.targets[h.ID] = t
}

// applyNetworkFaults applies the network faults in f: unreachable, silence and down.
func (e *endpoint) applyNetworkFaults(f Faults) error {
	e.setUnreachable(f.Unreachable)
	if f.Silence {
		e.silenceOpenConns()
	}
	return e.setDown(f.Down)
}

// TableAddr returns the IP:port of the table service.
func (p *Platform) TableAddr() string { return p.table.addr }

// ControlAddr returns the IP:port of the listener that serves the membership list, the faults and the audit.
func (p *Platform) ControlAddr() string { return p.control.addr }

// Close stops all listeners and workers and waits for the workers to stop.
func (p *Platform) Close() {
	p.cancel()
	for _, e := range p.endpoints {
		e.close()
	}
	p.wg.Wait()
}

func (p *Platform) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", p.serveHosts)
	mux.HandleFunc("POST /v1/hosts", func(w http.ResponseWriter, r *http.Request) {
		var h Host
		if err := json.NewDecoder(r.Body).Decode(&h); err != nil || h.ID == "" || h.Addr == "" || h.Kind == "" {
			http.Error(w, "id, addr and kind are required", http.StatusBadRequest)
			return
		}
		p.Membership.Put(h)
		writeJSON(w, http.StatusOK, struct{}{})
	})
	mux.HandleFunc("DELETE /v1/hosts/{id}", func(w http.ResponseWriter, r *http.Request) {
		p.Membership.Remove(r.PathValue("id"))
		writeJSON(w, http.StatusOK, struct{}{})
	})
	mux.HandleFunc("POST /v1/faults", p.serveFaults)
	mux.HandleFunc("GET /v1/faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.FaultsInForce())
	})
	mux.HandleFunc("GET /v1/audit", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Audit.Report())
	})
	mux.HandleFunc("GET /v1/table", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Table.Stats())
	})
	return mux
}

func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	p.faultsMu.Lock()
	outage := p.listOutage
	p.faultsMu.Unlock()
	if outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	body := map[string]any{"hosts": p.Membership.Hosts()}
	raw, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	sum := sha256.Sum256(raw)
	etag := `"` + hex.EncodeToString(sum[:]) + `"`
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, body)
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch err := p.SetFaults(body); {
	case errors.Is(err, ErrUnknownTarget):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

// limitRate wraps h and answers 429 to calls beyond commitRate or readRate. Commits and reads are limited separately.
func limitRate(h http.Handler) http.Handler {
	commits, reads := newTokenBucket(commitRate), newTokenBucket(readRate)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := reads
		if r.Method != http.MethodGet {
			b = commits
		}
		if !b.take(time.Now()) {
			http.Error(w, "rate limit", http.StatusTooManyRequests)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// tokenBucket is a rate limiter that admits ratePerSecond calls per second, with a burst of one second's worth of
// calls.
type tokenBucket struct {
	mu            sync.Mutex
	ratePerSecond float64
	tokens        float64
	lastRefill    time.Time
}

func newTokenBucket(ratePerSecond float64) *tokenBucket {
	return &tokenBucket{ratePerSecond: ratePerSecond, tokens: ratePerSecond}
}

func (b *tokenBucket) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.lastRefill.IsZero() {
		b.tokens = min(b.ratePerSecond, b.tokens+now.Sub(b.lastRefill).Seconds()*b.ratePerSecond)
	}
	b.lastRefill = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
