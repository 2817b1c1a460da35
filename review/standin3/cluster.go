//go:build review3

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/platform/platformtest"
)

const (
	serviceName = "s"
	queueHost   = "queue.example"
	queuePrefix = "/q/"
	heartbeat   = 1500 * time.Millisecond
	port        = 8161
)

// cluster is a small deployment: the project's daemons as processes, and stand-ins of the platform's store and of the minions.
type cluster struct {
	dir, binary string
	block       int
	maxHold     time.Duration
	store       *rowstore.Memory
	storeServer *http.Server
	began       time.Time
	record      *os.File
	audit       *audit
	minions     []*minion
	daemons     []*daemon
	late        *lateOrders // nil while all orders are carried out at once
	losing      atomic.Bool
	writes      atomic.Int64

	mu sync.Mutex // guards the record
}

// daemon is a machine of the system. Its process is started again after it has ended, unless the machine is gone.
type daemon struct {
	c        *cluster
	name, ip string
	mu       sync.Mutex
	cmd      *exec.Cmd
	gone     bool
	off      time.Duration // how long the machine stays down after its process has ended
	done     chan struct{}
}

func newCluster(dir, binary, record string, maxHold time.Duration) (*cluster, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir, binary: binary, maxHold: maxHold, store: rowstore.NewMemory(), began: time.Now(), record: f}
	c.audit = newAudit(c)
	var l net.Listener
	for i := range 200 {
		c.block = 20 + (os.Getpid()+i)%200
		if l, err = net.Listen("tcp", c.storeAddr()); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	c.storeServer = &http.Server{Handler: c.loses(delayed(platformtest.StoreHandler(c.store)))}
	go func() { _ = c.storeServer.Serve(l) }()
	return c, nil
}

const (
	lostShare = 3 // one write of so many is done late and not answered while the store loses answers
	lateness  = 5500 * time.Millisecond
)

// loses lets the store perform some writes late, without an answer, while c.losing is set.
func (c *cluster) loses(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/rows-tx" || !c.losing.Load() || c.writes.Add(1)%lostShare != 0 {
			h.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err == nil {
			time.AfterFunc(lateness, func() {
				late := httptest.NewRequest(http.MethodPost, r.URL.Path, bytes.NewReader(body))
				out := httptest.NewRecorder()
				h.ServeHTTP(out, late)
				c.note("store: performs a write without an answer, %v late: status %d", lateness, out.Code)
			})
		}
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	})
}

// delayed lets each call take 4 ms, as the sheets say of the platform's store.
func delayed(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(4 * time.Millisecond)
		h.ServeHTTP(w, r)
	})
}

func (c *cluster) storeAddr() string { return fmt.Sprintf("127.%d.4.1:%d", c.block, port) }

// minionAddr returns the address of a minion's machine.
func (c *cluster) minionAddr(i int) string { return fmt.Sprintf("127.%d.5.%d:8080", c.block, i+1) }

// note adds a line to the record.
func (c *cluster) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Fprintf(c.record, "%8.3f  %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
}

func (c *cluster) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are plain
	}
	_, _ = c.store.Commit(context.Background(), rowstore.Txn{Puts: []rowstore.Put{{Key: rowstore.Key{Table: table, Name: key}, Value: data}}})
}

func (c *cluster) putEntry(id string, entry map[string]any) { c.put("servers", id, entry) }

func (c *cluster) removeEntry(id string) {
	_, _ = c.store.Commit(context.Background(), rowstore.Txn{Removes: []rowstore.Key{{Table: "servers", Name: id}}})
}

// queue is a route of the configuration.
type queue struct {
	name, prefix, service string
	priority, targetMS    int
	maxAttempts           int
}

// putConfig writes the operator's configuration: one queue and one service.
func (c *cluster) putConfig(version, maxAttempts int) {
	c.putQueues(version, queue{name: "r1", prefix: queuePrefix, service: serviceName, priority: 1, targetMS: 1000, maxAttempts: maxAttempts})
}

// putQueues writes the operator's configuration with these queues and their services.
func (c *cluster) putQueues(version int, queues ...queue) {
	var routes, services []any
	known := map[string]bool{}
	for _, q := range queues {
		routes = append(routes, map[string]any{"name": q.name, "host": queueHost, "pathPrefix": q.prefix, "kind": "non_idempotent", "timeoutMs": 3000,
			"targetLatencyMs": q.targetMS, "priority": q.priority, "service": q.service, "maxAttempts": q.maxAttempts, "slackFactor": 3})
		if !known[q.service] {
			known[q.service] = true
			services = append(services, map[string]any{"name": q.service, "healthPath": "/health", "connectionLimit": 64, "enforceCapacity": false})
		}
	}
	c.put("op", "config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxBodyBytes": 262144, "maxHeaderBytes": 16384, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	c.note("operator: configuration %d: %+v", version, queues)
}

// startAll starts minions of 16 cores and daemons, and waits until the daemons are ready.
func (c *cluster) startAll(minions, daemons int) error {
	for i := range minions {
		m, err := c.startMinion(fmt.Sprintf("i-%02d-0", i), c.minionAddr(i), []string{"a", "r1"}, 16000, 32768)
		if err != nil {
			return err
		}
		c.minions = append(c.minions, m)
	}
	for i := range daemons {
		if err := c.startDaemon(i); err != nil {
			return err
		}
	}
	return c.awaitReady(10 * time.Second)
}

const settingsText = `nodeName: %q
role: "greengaged"
machineClass: "frontend"
servedRoles: ["frontend"]
ipAddress: %q
zone: "z1"
region: "r"
zones: {z1: "r"}
listenAddresses: {frontend: "%s:8161", ready: "%s:8167"}
internalPortRange: [7720, 7735]
initialStart: true
limits: {cpuShare: 0.4, cpuCores: 1, memoryMb: 284, fileDescriptors: 4100, linkSpeedMbps: 1000.0, diskMb: 0}
dataDirectory: null
discovery: "platform"
entryPoint: "virtual_ip"
heartbeatIntervalMs: 1500
contracts: ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
bounds:
  contactTimeoutMs: 3000
  ackTimeoutMs: 4000
  drainTimeoutMs: 2000
  gracePeriodS: 6
  configApplyMs: 2000
  maxExtensionMs: 5000
  recoveryTimeS: 12
  maxHoldMs: %d
  stopTimeoutMs: 400
  gangTimeoutMs: 3000
  cancel_ms: 3000
  visible_ms: 3000
  early_ms: 250
  finish_s: 14
  status_s: 120
  leaseDurationMs: 3000
commands: "invocation"
platform:
  address: %q
  form: "table"
  writesPerS: 600
  readsPerS: 2000
  transactionLatencyMs: 5.0
  partWritesPerS: 200
  maxRowBytes: 65536
  crossPartition: false
  historyRetentionS: 20
`

// startDaemon starts the process of a machine of the system, which comes back by itself.
func (c *cluster) startDaemon(i int) error {
	d := &daemon{c: c, name: fmt.Sprintf("frontend-%d", i+1), ip: fmt.Sprintf("127.%d.1.%d", c.block, i+1), done: make(chan struct{})}
	settings := fmt.Sprintf(settingsText, d.name, d.ip, d.ip, d.ip, c.maxHold.Milliseconds(), c.storeAddr())
	if err := os.WriteFile(d.settings(), []byte(settings), 0o600); err != nil {
		return err
	}
	c.daemons = append(c.daemons, d)
	if err := d.start(); err != nil {
		return err
	}
	go d.keep()
	return nil
}

func (d *daemon) settings() string { return filepath.Join(d.c.dir, d.name+".yaml") }

func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(d.c.dir, d.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(d.c.binary, "platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "GREENGAGEWING_CONFIG=" + d.settings()}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd = cmd
	d.c.note("%s: process starts", d.name)
	return nil
}

// keep starts the process again after it has ended.
func (d *daemon) keep() {
	defer close(d.done)
	for {
		_ = d.cmd.Wait()
		d.mu.Lock()
		gone, off := d.gone, d.off
		d.off = 0
		d.mu.Unlock()
		if gone {
			return
		}
		d.c.note("%s: process has ended", d.name)
		time.Sleep(max(off, 300*time.Millisecond))
		d.mu.Lock()
		gone = d.gone
		d.mu.Unlock()
		if gone || d.start() != nil {
			return
		}
	}
}

// kill ends the process with SIGKILL. The machine is back after off, or never if off is negative.
func (d *daemon) kill(off time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.off, d.gone = off, off < 0
	d.c.note("%s: SIGKILL, back after %v", d.name, off)
	_ = d.cmd.Process.Signal(syscall.SIGKILL)
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.c.note("%s: %v", d.name, s)
	_ = d.cmd.Process.Signal(s)
}

// owner returns the daemon that the owner row names, or nil.
func (c *cluster) owner() *daemon {
	p, err := c.store.Read(context.Background(), rowstore.Range{Table: "owner", Partition: "owner"})
	if err != nil || len(p.Rows) == 0 {
		return nil
	}
	var row struct {
		Host     string `json:"host"`
		Released bool   `json:"released"`
	}
	if json.Unmarshal(p.Rows[0].Value, &row) != nil || row.Released {
		return nil
	}
	for _, d := range c.daemons {
		if d.name == row.Host {
			return d
		}
	}
	return nil
}

// awaitReady waits until all daemons are ready and one of them is the owner.
func (c *cluster) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		ready := c.owner() != nil
		for _, d := range c.daemons {
			resp, err := http.Get("http://" + d.ip + ":8167/v1/readiness")
			if err != nil {
				ready = false
				continue
			}
			_ = resp.Body.Close()
			ready = ready && resp.StatusCode == http.StatusOK
		}
		if ready {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the daemons are not ready in time")
}

// close ends all processes and stand-ins.
func (c *cluster) close() {
	for _, d := range c.daemons {
		d.mu.Lock()
		d.gone = true
		_ = d.cmd.Process.Signal(syscall.SIGCONT)
		_ = d.cmd.Process.Kill()
		d.mu.Unlock()
	}
	for _, d := range c.daemons {
		<-d.done
	}
	for _, m := range c.minions {
		m.close()
	}
	_ = c.storeServer.Close()
	_ = c.record.Close()
}
