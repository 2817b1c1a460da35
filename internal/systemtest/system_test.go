// Package systemtest runs complete daemons and a fake platform in one process, on an in-memory network and in virtual
// time (testing/synctest). Scenarios inject faults; afterwards the guarantees of the system are checked.
package systemtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/greengagewing/greengagewing/internal/daemon"
	"github.com/greengagewing/greengagewing/internal/memnet"
	"github.com/greengagewing/greengagewing/internal/settings"
	"github.com/greengagewing/greengagewing/internal/standin"
)

const (
	secret  = "system-test-secret"
	service = "textos" // also the name of the pool

	tablePort, controlPort           = 7000, 7001
	minionBasePort, workerBasePort   = 7100, 7200
	daemonBasePort, daemonPeerOffset = 7300, 100

	// takeoverBound is the maximum time until the customers of a crashed daemon are served again: 4.5 s until its
	// session is fenced, 1 s until another daemon claims the partition, plus the journal replay and the retry intervals
	// of callers.
	takeoverBound = 12 * time.Second
	// settlingTime is how long partitions may change owners after a start: if the desired owner does not claim a
	// partition within 2 s, another daemon claims it and keeps it for 30 s.
	settlingTime = 45 * time.Second
	// editBound is the maximum time until an accepted edit is in force on every live daemon.
	editBound = 5 * time.Second
)

// TestMain starts the runtime's signal-handling goroutine. Otherwise fx would start it inside a synctest bubble, where
// it never ends.
func TestMain(m *testing.M) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, os.Interrupt)
	code := m.Run()
	signal.Stop(c)
	os.Exit(code)
}

// system is a fake platform with the daemons that run on it.
type system struct {
	t        *testing.T
	seed     uint64
	net      *memnet.Net
	platform *standin.Platform
	daemons  []*process
	log      zapcore.WriteSyncer
	history  *history
	owners   *ownershipMonitor
	began    time.Time
	edits    int
}

// process is a daemon with fixed addresses that can be crashed or drained and started again.
type process struct {
	s          *system
	name       string
	callerAddr string // address of the listener for callers
	peer       string // address of the listener for peers and operators, also the daemon's id
	region     string
	party      atomic.Pointer[memnet.Party] // network identity of the current start
	// closedToCallers is true while the load balancer sends no callers to this daemon.
	closedToCallers atomic.Bool
	app             *fx.App
	httpClient      *http.Client // used by callers and operators
	stopping        sync.WaitGroup
}

// runScenario runs a scenario with the given number of daemons in a synctest bubble and checks the guarantees at its
// end.
func runScenario(t *testing.T, seed uint64, daemons int, scenario func(s *system)) {
	t.Helper()
	runInRegions(t, seed, slices.Repeat([]string{"gt-central"}, daemons), scenario)
}

// runInRegions is like runScenario, with one daemon for each element of regions.
func runInRegions(t *testing.T, seed uint64, regions []string, scenario func(s *system)) {
	t.Helper()
	t.Logf("seed %d", seed)
	var logs syncBuffer
	defer func() {
		if t.Failed() {
			t.Log("daemons' log:\n" + logs.String())
		}
	}()
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, seed, regions, &logs)
		defer s.shutDown()
		s.startAndLoadLists()
		scenario(s)
		s.checkGuarantees()
	})
}

// syncBuffer collects the logs of all daemons. Writes are safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func newSystem(t *testing.T, seed uint64, regions []string, logs *syncBuffer) *system {
	s := &system{t: t, seed: seed, net: memnet.New(), log: zapcore.AddSync(logs), began: time.Now(), history: &history{}}
	cell := standin.Textos()
	cell.Minions, cell.Workers, cell.WorkersPerRack = 6, 6, 2
	cell.Capacity = standin.Resources{CPUMilli: 4000, MemoryMB: 8192, Accelerators: 2}
	var err error
	s.platform, err = standin.Start(standin.Config{
		Cells: []standin.Cell{cell}, TablePort: tablePort, ControlPort: controlPort, MinionBasePort: minionBasePort,
		WorkerBasePort: workerBasePort, Lag: standin.DefaultLag, Listen: s.net.Join("").Listen,
	})
	if err != nil {
		t.Fatal(err)
	}
	s.owners = newOwnershipMonitor(s)
	for i, region := range regions {
		p := &process{
			s: s, name: fmt.Sprintf("daemon-%d", i), callerAddr: fmt.Sprintf("127.0.0.1:%d", daemonBasePort+i),
			peer: fmt.Sprintf("127.0.0.1:%d", daemonBasePort+daemonPeerOffset+i), region: region,
		}
		s.daemons = append(s.daemons, p)
		s.platform.Membership.Put(standin.Host{ID: p.name, Addr: p.peer, Kind: standin.KindDaemon})
		p.httpClient = &http.Client{Transport: &http.Transport{DialContext: s.net.Join("caller").Dial, DisableKeepAlives: true}}
	}
	return s
}

// startAndLoadLists starts all daemons, waits until partitions have settled, and loads the allowances and plans lists.
func (s *system) startAndLoadLists() {
	for _, p := range s.daemons {
		p.start()
	}
	time.Sleep(settlingTime)
	if status, body := s.daemons[0].editList("allowances", 0, map[string]any{"gold": goldAllowance}); status != http.StatusOK {
		s.t.Fatalf("allowances were not loaded: %d %s", status, body)
	}
	plans := map[string]any{}
	for _, c := range customers {
		plans[c] = "gold"
	}
	if status, body := s.daemons[0].editList("plans", 0, plans); status != http.StatusOK {
		s.t.Fatalf("plans were not loaded: %d %s", status, body)
	}
	time.Sleep(time.Second)
}

// customers covers all partitions of the service except request/textos/2.
var customers = []string{"bakery", "school", "council", "library", "radio", "festival", "chorus", "museum", "archive", "theatre"}

var goldAllowance = map[string]any{
	"requests_per_second": 1000, "burst": 1000, "concurrency": 200, "queue": 200, "cpu_milli": 100_000, "memory_mb": 200_000,
	"tasks": 500,
}

func (p *process) start() {
	p.s.t.Helper()
	cfg, err := settings.Parse([]string{
		"--listen", p.callerAddr, "--peer-listen", p.peer, "--failure-domain", "gt-central-" + string(rune('a'+len(p.name)%2)),
		"--region", p.region, "--table", p.s.platform.TableAddr(), "--membership", p.s.platform.ControlAddr(),
		"--secret", secret, "--services", service, "--pools", service,
	})
	if err != nil {
		p.s.t.Fatal(err)
	}
	self := p.s.net.Join(p.name)
	p.party.Store(self)
	p.app = daemon.New(cfg, self.Network(),
		fx.Decorate(func() (tally.Scope, http.Handler) { return tally.NoopScope, http.NotFoundHandler() }),
		fx.Decorate(func() *zap.Logger {
			enc := zapcore.NewJSONEncoder(zapcore.EncoderConfig{
				TimeKey: "t", MessageKey: "msg", NameKey: "n", LevelKey: "l", EncodeLevel: zapcore.LowercaseLevelEncoder,
				EncodeTime: func(t time.Time, e zapcore.PrimitiveArrayEncoder) {
					e.AppendString(fmt.Sprintf("%.3f", t.Sub(p.s.began).Seconds()))
				},
			})
			return zap.New(zapcore.NewCore(enc, p.s.log, zap.InfoLevel)).With(zap.String("d", p.name))
		}))
	ctx, cancel := context.WithTimeout(context.Background(), p.app.StartTimeout())
	defer cancel()
	if err := p.app.Start(ctx); err != nil {
		p.s.t.Fatalf("%s failed to start: %v", p.name, err)
	}
}

// crash ends the process immediately. Its goroutines still run until they stop, but nothing they send reaches the
// network.
func (p *process) crash() {
	p.party.Load().Kill()
	app := p.app
	p.stopping.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		_ = app.Stop(ctx)
	})
}

// drain shuts the process down gracefully, as SIGTERM does.
func (p *process) drain() error {
	ctx, cancel := context.WithTimeout(context.Background(), p.app.StopTimeout())
	defer cancel()
	err := p.app.Stop(ctx)
	p.party.Load().Kill()
	return err
}

// shutDown stops everything, so that no goroutine remains in the synctest bubble.
func (s *system) shutDown() {
	for _, p := range s.daemons {
		if !p.party.Load().Dead() {
			p.crash()
		}
		p.stopping.Wait()
	}
	s.owners.stop()
	s.platform.Close()
	s.net.KillAll()
}

// setFaults injects or clears faults of the fake platform. The formatted text is the body of a POST /v1/faults.
func (s *system) setFaults(format string, args ...any) {
	s.t.Helper()
	if err := s.platform.SetFaults(fmt.Appendf(nil, format, args...)); err != nil {
		s.t.Fatal(err)
	}
}

func (s *system) rand(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(s.seed, stream)) }

// call makes one HTTP call. sent is false if the request certainly was not sent; status is 0 if no response arrived.
func (p *process) call(method, addr, path string, body any) (status int, sent bool, answer []byte) {
	raw, err := json.Marshal(body)
	if err != nil {
		p.s.t.Error(err)
		return 0, false, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), 13*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(raw))
	if err != nil {
		p.s.t.Error(err)
		return 0, false, nil
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+secret)
	resp, err := p.httpClient.Do(req)
	if err != nil {
		var op *net.OpError
		return 0, !errors.As(err, &op) || op.Op != "dial", []byte(err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, true, []byte(err.Error())
	}
	return resp.StatusCode, true, answer
}

// editList sends an edit that sets entries of a list, based on version base.
func (p *process) editList(list string, base int64, set map[string]any) (int, []byte) {
	p.s.edits++
	status, _, body := p.call(http.MethodPatch, p.peer, "/admin/v1/lists/"+list, map[string]any{
		"base": base, "author": p.name, "edit_id": fmt.Sprintf("edit-%d", p.s.edits), "set": set,
	})
	return status, body
}

// readState decodes one part of the daemon's state dump and reports whether that succeeded.
func (p *process) readState(part string, into any) bool {
	status, _, body := p.call(http.MethodGet, p.peer, "/state?part="+part, nil)
	if status != http.StatusOK {
		return false
	}
	outer := map[string]json.RawMessage{}
	return json.Unmarshal(body, &outer) == nil && json.Unmarshal(outer[part], into) == nil
}
