//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
)

const (
	queueHost    = "textos.example"
	pathPrefix   = "/q/"
	heartbeat    = 1500 * time.Millisecond
	restartDelay = 300 * time.Millisecond
)

// cluster is a small deployment: the store, the workers and the daemons, each daemon a process of its own.
type cluster struct {
	dir, binary string
	record      *record
	store       *store
	storeAddr   string
	audit       *audit
	workers     []*worker
	daemons     []*daemon
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	http        *http.Client
	failed      error
}

type daemon struct {
	c                  *cluster
	name, ip, frontend string
	peer               string
	settings           string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	done    sync.WaitGroup
}

// freePorts returns n different free ports of an address. All are held until the last one is found. The process id is part of the
// daemons' addresses, so that scripts that run at the same time do not take each other's ports.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

func newCluster(dir, binary string, r *record, daemons, workers int, cpu int64, kind func(string) taskKind) (*cluster, error) {
	return newClusterOf(dir, binary, r, daemons, workers, cpu, kind, false)
}

// newClusterOf starts a deployment; with gated set, there is a gate in front of each worker.
func newClusterOf(dir, binary string, r *record, daemons, workers int, cpu int64, kind func(string) taskKind, gated bool) (*cluster, error) {
	c := &cluster{dir: dir, binary: binary, record: r, store: newStore(r), audit: newAudit(r), http: &http.Client{Timeout: 4 * time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: 50}}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	current.Store(c)
	addr, err := c.serve("127.0.0.1", c.store, c.store.connState)
	if err != nil {
		return c, err
	}
	c.storeAddr = addr
	config := fmt.Sprintf(`{"version":3,"routes":[{"name":"translation-check","host":%q,"pathPrefix":%q,"service":"textos","priority":1,"maxAttempts":3,`+
		`"slackFactor":2,"targetLatencyMs":3000,"timeoutMs":3000}],"services":[{"name":"textos","enforceCapacity":false}],"limits":{"maxBodyBytes":262144}}`,
		queueHost, pathPrefix)
	if err := c.put("op", "config", []byte(config)); err != nil {
		return c, err
	}
	g := &gangs{runs: map[gangKey]*gangRun{}}
	for i := range workers {
		id := fmt.Sprintf("i-%010x", 0x7e9abf0000+i)
		w := newWorker(id, "", cpu, kind, c.audit, r, g)
		if err := w.listen(); err != nil {
			return c, err
		}
		if gated {
			if err := w.openGate(); err != nil {
				return c, err
			}
		}
		c.workers = append(c.workers, w)
		if err := c.put("servers", id, w.entry(1)); err != nil {
			return c, err
		}
	}
	c.wg.Add(1)
	go c.beat()
	for i := range daemons {
		if err := c.addDaemon(i); err != nil {
			return c, err
		}
	}
	return c, nil
}

// serve starts a server on a free port and returns its address.
func (c *cluster) serve(ip string, h http.Handler, state func(net.Conn, http.ConnState)) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ConnState: state, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.Serve(l) }()
	go func() { <-c.ctx.Done(); _ = s.Close() }()
	return l.Addr().String(), nil
}

func (c *cluster) put(table, key string, value []byte) error {
	_, err := c.store.rows.Commit(context.Background(), rowstore.Txn{Puts: []rowstore.Put{{Key: rowstore.Key{Table: table, Name: key}, Value: value}}})
	return err
}

// beat writes the workers' entries, each about every heartbeat; not while the store is down.
func (c *cluster) beat() {
	defer c.wg.Done()
	for seq := 2; ; seq++ {
		for _, w := range c.workers {
			select {
			case <-c.ctx.Done():
				return
			case <-time.After(heartbeat / time.Duration(len(c.workers))):
			}
			if !c.store.down.Load() {
				w.mu.Lock()
				value := w.entry(seq)
				w.mu.Unlock()
				_ = c.put("servers", w.id, value)
			}
		}
	}
}

func (c *cluster) addDaemon(i int) error {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 10+pid/250%240, 1+pid%250, 13+i)
	ports, err := freePorts(ip, 4)
	if err != nil {
		return err
	}
	d := &daemon{c: c, name: fmt.Sprintf("frontend-gt-central-%c-1", 'a'+i), ip: ip, frontend: fmt.Sprintf("%s:%d", ip, ports[0]), peer: fmt.Sprintf("%s:%d", ip, ports[2])}
	d.settings = filepath.Join(c.dir, d.name+".yaml")
	text := fmt.Sprintf(`
nodeName: %q
role: "greengaged"
machineClass: "frontend"
servedRoles: ["frontend"]
ipAddress: %q
zone: "gt-central-%c"
region: "gt-central"
zones: {gt-central-a: "gt-central", gt-central-b: "gt-central", gt-central-c: "gt-central", gt-central-d: "gt-central"}
listenAddresses: {frontend: %q, ready: "%s:%d"}
internalPortRange: [%d, %d]
seedNodes: []
initialStart: true
limits: {cpuShare: 0.4, cpuCores: 1, memoryMb: 284, fileDescriptors: 4100, linkSpeedMbps: 1000.0, diskMb: 0}
discovery: "platform"
entryPoint: "virtual_ip"
heartbeatIntervalMs: 1500
contracts: ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
bounds: {seedLagS: 3, contactTimeoutMs: 3000, ackTimeoutMs: 4000, drainTimeoutMs: 2000, gracePeriodS: 6, lossSlackMs: 200, configApplyMs: 2000, maxExtensionMs: 5000, recoveryTimeS: 12, maxHoldMs: 6000, stopTimeoutMs: 900, gangTimeoutMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, leaseDurationMs: 3000}
commands: "invocation"
platform: {address: %q, form: "table", writesPerS: 800, readsPerS: 2000, transactionLatencyMs: 5.0, partWritesPerS: 200, maxRowBytes: %d, crossPartition: false, historyRetentionS: 20}
`, d.name, ip, 'a'+i, d.frontend, ip, ports[1], ports[2], ports[2]+1, c.storeAddr, maxRowBytes)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return err
	}
	c.daemons = append(c.daemons, d)
	d.done.Add(1)
	go d.keepRunning()
	return nil
}

// keepRunning starts the process, and again after each exit, until stop.
func (d *daemon) keepRunning() {
	defer d.done.Done()
	for {
		cmd, err := d.start()
		if err != nil {
			d.c.record.say("daemon %s can't start: %v", d.name, err)
			return
		}
		if cmd == nil {
			return
		}
		d.c.record.printf("daemon %s started, process %d", d.name, cmd.Process.Pid)
		err = cmd.Wait()
		d.c.record.printf("daemon %s exited: %v", d.name, err)
		time.Sleep(restartDelay)
	}
}

func (d *daemon) start() (*exec.Cmd, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return nil, nil
	}
	out, err := os.OpenFile(filepath.Join(d.c.dir, d.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(d.c.binary, "platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "GREENGAGEWING_CONFIG=" + d.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	d.cmd = cmd
	return cmd, nil
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil && d.cmd.Process != nil {
		_ = d.cmd.Process.Signal(s)
	}
}

func (c *cluster) close() {
	for _, d := range c.daemons {
		d.mu.Lock()
		d.stopped = true
		d.mu.Unlock()
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
		d.done.Wait()
	}
	c.cancel()
	c.wg.Wait()
	for _, w := range c.workers {
		_ = w.server.Close()
		if w.gate != nil {
			w.gate.shut()
		}
	}
}

// owner returns the daemon that last wrote to the store under a condition as the owner, or nil.
func (c *cluster) owner() *daemon {
	page, err := c.store.rows.Read(context.Background(), rowstore.Range{Table: "owner", Partition: "owner"})
	if err != nil || len(page.Rows) == 0 {
		return nil
	}
	var o struct {
		Host string `json:"host"`
	}
	if json.Unmarshal(page.Rows[0].Value, &o) != nil {
		return nil
	}
	for _, d := range c.daemons {
		if d.name == o.Host {
			return d
		}
	}
	return nil
}

// ready waits until each daemon answers its callers and there is an owner.
func (c *cluster) ready(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ok := c.owner() != nil
		for _, d := range c.daemons {
			status, _ := c.call(d, http.MethodGet, "", nil)
			ok = ok && status == http.StatusOK
		}
		if ok {
			return true
		}
	}
	c.record.say("not ready: the owner is %v", c.owner() != nil)
	for _, d := range c.daemons {
		status, _ := c.call(d, http.MethodGet, "", nil)
		c.record.say("daemon %s answers %d; %s", d.name, status, d.lastLine())
	}
	return false
}

// lastLine returns the last line of a daemon's log.
func (d *daemon) lastLine() string {
	data, err := os.ReadFile(filepath.Join(d.c.dir, d.name+".log"))
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return lines[len(lines)-1]
}

// call sends a client's request to a daemon. It returns status 0 if there was no complete answer.
func (c *cluster) call(d *daemon, method, id string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+d.frontend+pathPrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = queueHost
	req.Header.Set("Greengagewing-Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// submit hands a job in, at another daemon after each failed attempt, with up to four retries. It reports whether the job was accepted.
func (c *cluster) submit(n int, id string, body []byte) bool {
	for try := range 5 {
		d := c.daemons[(n+try)%len(c.daemons)]
		status, _ := c.call(d, http.MethodPost, id, body)
		c.record.printf("client: POST %s to %s: %d", id, d.name, status)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job, at each daemon in turn until one answers with it.
func (c *cluster) state(n int, id string) string {
	last := "no answer"
	for try := range len(c.daemons) {
		d := c.daemons[(n+try)%len(c.daemons)]
		status, data := c.call(d, http.MethodGet, id, nil)
		var out struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal(data, &out) == nil {
			return out.State
		}
		last = fmt.Sprintf("status %d", status)
	}
	return last
}

// step is one step of a job, with the fields that are used here.
type step struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu"`
	MemMB         int64  `json:"memMb"`
	EstimateMS    int    `json:"estimatedDurationMs"`
	After         []int  `json:"after,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	GangScheduled bool   `json:"gangScheduled,omitempty"`
	Requirements  string `json:"requirements,omitempty"`
	Affinity      string `json:"affinity,omitempty"`
}

func job(steps ...step) []byte {
	data, err := json.Marshal(map[string]any{"taskSpec": strings.Repeat("lote de textos; ", 8), "steps": steps})
	if err != nil {
		panic(err)
	}
	return data
}

// crash ends a worker's process, and starts it again under its id after a while.
func (c *cluster) crash(w *worker, down time.Duration) {
	w.crash()
	c.record.printf("worker %s crashes", w.id)
	time.Sleep(down)
	if err := w.restart(); err != nil {
		c.record.say("worker %s can't be started again: %v", w.id, err)
		return
	}
	c.record.printf("worker %s is back, born %d", w.id, w.born)
	w.mu.Lock()
	value := w.entry(1)
	w.mu.Unlock()
	_ = c.put("servers", w.id, value)
}

// processorTime returns the processor time that the daemon's process has used so far.
func (d *daemon) processorTime() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil || d.cmd.Process == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	if len(fields) < 13 {
		return 0
	}
	var user, system int
	_, _ = fmt.Sscan(fields[11], &user)
	_, _ = fmt.Sscan(fields[12], &system)
	return time.Duration(user+system) * 10 * time.Millisecond
}
