package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	out   *os.File
	began time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// route is a queue of the operator's configuration.
type route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	PathPrefix      string  `json:"pathPrefix"`
	Kind            string  `json:"kind"`
	TimeoutMS       int64   `json:"timeoutMs"`
	TargetLatencyMS float64 `json:"targetLatencyMs"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	MaxAttempts     int     `json:"maxAttempts"`
	SlackFactor     float64 `json:"slackFactor"`
}

const (
	queueHost   = "queue.example"
	serviceName = "textos"
)

// Queues like those of a small site: a gang's queue, a larger one with a lower priority, and an urgent one.
func routes() []route {
	queue := func(name string, priority int, targetMS float64, attempts int, slack float64) route {
		return route{name, queueHost, "/" + name + "/", "non_idempotent", 3000, targetMS, priority, serviceName, attempts, slack}
	}
	return []route{queue("festival", 1, 1000, 3, 2.2), queue("check", 2, 3000, 3, 4), queue("preview", 0, 250, 4, 1.5)}
}

// cluster is the stand-in of the platform and the daemons as separate processes.
type cluster struct {
	log     *record
	dir     string
	root    string // of the project
	command []string
	subnet  string // the first two bytes of the cluster's loopback addresses
	store   *store
	fleet   *fleet
	daemons []*daemon
	servers []*http.Server
	client  *http.Client
	version int64
	killed  int // processes that were killed for their memory
}

// daemon is a process of the system.
type daemon struct {
	name, ip string
	cmd      *exec.Cmd
	exited   chan struct{}
	exitedAt time.Time // when the platform has killed it; zero while it runs
}

var errSetup = errors.New("the case can't run")

// deployCommand reads the command of the only role from the deploy file.
func deployCommand(root string) ([]string, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, errSetup
}

// newCluster starts a stand-in of the platform without minions and daemons.
func newCluster(root string, log *record, b func(string, int64, string) behavior) (*cluster, error) {
	command, err := deployCommand(root)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{log: log, dir: dir, root: root, command: command, store: newStore(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 3 * time.Second}}
	c.fleet = newFleet(c.store, log, serviceName, b)
	for range 50 {
		c.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		if err = c.serve(c.storeAddr(), c.store.handler()); err == nil {
			return c, nil
		}
	}
	return nil, err
}

func (c *cluster) storeAddr() string             { return c.subnet + ".250:8169" }
func (c *cluster) workerAddr(i int) string       { return fmt.Sprintf("%s.%d:8080", c.subnet, 30+i) }
func (c *cluster) daemonIP(i int) string         { return fmt.Sprintf("%s.%d", c.subnet, 2+i) }
func (d *daemon) frontend() string               { return d.ip + ":8161" }
func (d *daemon) ready() string                  { return d.ip + ":8167" }
func (c *cluster) settingsPath(d *daemon) string { return filepath.Join(c.dir, d.name+".yaml") }

func (c *cluster) serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h}
	c.servers = append(c.servers, s)
	go func() { _ = s.Serve(l) }()
	return nil
}

// configure stores a version of the configuration.
func (c *cluster) configure(rs []route) {
	c.version += 3
	value, _ := json.Marshal(map[string]any{"version": c.version, "routes": rs,
		"services": []map[string]any{{"name": serviceName, "healthPath": "/health", "enforceCapacity": false}},
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
	c.store.put(operatorTable, "config", value)
	c.log.printf("the operator stores version %d of the configuration with %d routes", c.version, len(rs))
}

const settingsText = `nodeName: %q
role: "greengaged"
machineClass: "frontend"
servedRoles: ["frontend"]
ipAddress: %q
zone: "zone-%c"
region: "region"
zones: {zone-a: "region", zone-b: "region", zone-c: "region", zone-d: "region"}
listenAddresses: {frontend: %q, ready: %q, controlPlane: "%s:8166"}
internalPortRange: [7720, 7735]
seedNodes: []
initialStart: true
countsTowardTolerance: false
limits: {cpuShare: 0.4, cpuCores: 1, memoryMb: 284, fileDescriptors: 4100, linkSpeedMbps: 1000.0, diskMb: 0}
dataDirectory: null
discovery: "platform"
entryPoint: "virtual_ip"
heartbeatIntervalMs: 1500
contracts: ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
faultTolerance: {machines: 2, zones: 0, regionFailures: 0}
bounds: {seedLagS: 3, addressReuseS: 2, contactTimeoutMs: 3000, ackTimeoutMs: 4000, catchUpS: 4, drainTimeoutMs: 2000, gracePeriodS: 6, lossSlackMs: 200, configApplyMs: 2000, regressionWindowMs: 250, maxExtensionMs: 5000, recoveryTimeS: 12, maxHoldMs: 6000, stopTimeoutMs: 900, gangTimeoutMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, distanceFactor: 1.5, checkpointIntervalS: 1, restoreLatencyMs: 600, noticePeriodMs: 4500, migrationS: 1.5, maintenanceS: 2, fencingEnforced: false, leaseDurationMs: 3000, thawSlackMs: 300, pacingMs: 100, disruptionMs: 4000}
commands: "invocation"
recommendation: ""
platform: {address: %q, form: "table", writesPerS: 800, readsPerS: 2000, transactionLatencyMs: 5.0, partWritesPerS: 200, maxRowBytes: 65536, crossPartition: false, historyRetentionS: 20, maxBlobBytes: 8388608, blobLatencyMs: 25.0, blobMbPerS: 80.0}
`

// startDaemon starts a process of the system with the command of the deploy file. It uses the store at storeAddr.
func (c *cluster) startDaemon(i int, storeAddr string) (*daemon, error) {
	d := &daemon{name: fmt.Sprintf("frontend-%d", i), ip: c.daemonIP(i), exited: make(chan struct{})}
	text := fmt.Sprintf(settingsText, d.name, d.ip, 'a'+i%4, d.frontend(), d.ready(), d.ip, storeAddr)
	if err := os.WriteFile(c.settingsPath(d), []byte(text), 0o600); err != nil {
		return nil, err
	}
	logFile, err := os.OpenFile(filepath.Join(c.dir, d.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = logFile.Close() }()
	d.cmd = exec.Command(filepath.Join(c.root, c.command[0]), c.command[1:]...)
	d.cmd.Dir = c.root
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GREENGAGEWING_CONFIG=" + c.settingsPath(d)}
	d.cmd.Stdout, d.cmd.Stderr = logFile, logFile
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = d.cmd.Wait()
		close(d.exited)
	}()
	c.log.printf("process %s of the system starts", d.name)
	c.daemons = append(c.daemons, d)
	return d, nil
}

// memoryLimit is what a process may use, as in its settings (memoryMb).
const memoryLimit = 284 << 20

// restartDelay is after what time the platform starts a process again that has ended.
const restartDelay = 500 * time.Millisecond

// limitMemory watches the processes for a time: it kills those that use more memory than they may, and starts them again.
func (c *cluster) limitMemory(d time.Duration) {
	for end := time.Now().Add(d); ; time.Sleep(20 * time.Millisecond) {
		for i, d := range c.daemons {
			if used := d.memory(); used > memoryLimit {
				c.killed++
				c.log.printf("process %s uses %d MB and is killed", d.name, used>>20)
				_ = d.cmd.Process.Kill()
				<-d.exited
				d.exitedAt = time.Now()
			}
			if !d.exitedAt.IsZero() && time.Since(d.exitedAt) > restartDelay {
				all := c.daemons
				again, err := c.startDaemon(i, c.storeAddr())
				c.daemons = all
				if err == nil {
					c.daemons[i] = again
				}
			}
		}
		if time.Now().After(end) {
			return
		}
	}
}

// memory returns the resident memory of a process in bytes, or 0 if it has ended.
func (d *daemon) memory() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", d.cmd.Process.Pid))
	if err != nil || !d.exitedAt.IsZero() {
		return 0
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}

// startDaemons starts n processes and waits until all are ready.
func (c *cluster) startDaemons(n int) error {
	for i := range n {
		if _, err := c.startDaemon(i, c.storeAddr()); err != nil {
			return err
		}
	}
	return c.awaitReady(20 * time.Second)
}

// awaitReady waits until all processes answer the readiness probe with 200.
func (c *cluster) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, d := range c.daemons {
		for {
			resp, err := c.client.Get("http://" + d.ready() + "/v1/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%w: %s is not ready", errSetup, d.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	c.log.printf("all processes are ready")
	return nil
}

// close ends all processes and stand-ins.
func (c *cluster) close() {
	for _, d := range c.daemons {
		_ = d.cmd.Process.Signal(syscall.SIGCONT)
		_ = d.cmd.Process.Kill()
		<-d.exited
	}
	for _, w := range c.fleet.live() {
		w.crash()
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs are in", c.dir)
	}
}

// step is a step of a job as clients send it.
type step map[string]any

// call sends a request of a client and returns the status and the body; the status is 0 if there was no answer.
func (c *cluster) call(d *daemon, method, path string, body any) (int, []byte) {
	var in io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		in = bytes.NewReader(data)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.frontend()+path, in)
	if err != nil {
		return 0, nil
	}
	req.Host = queueHost
	req.Header.Set("Greengagewing-Deadline-Ms", "3000")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		c.log.printf("%s %s at %s: no answer: %v", method, path, d.name, err)
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	c.log.printf("%s %s at %s: %d %s", method, path, d.name, resp.StatusCode, bytes.TrimSpace(data[:min(len(data), 200)]))
	return resp.StatusCode, data
}

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in, at one process after another, until it is accepted, and returns its id.
func (c *cluster) submit(queue, text string, steps ...step) (string, error) {
	return c.submitAs(newJobID(), queue, text, steps...)
}

func (c *cluster) submitAs(id, queue, text string, steps ...step) (string, error) {
	for try := range 20 {
		status, _ := c.call(c.daemons[try%len(c.daemons)], http.MethodPost, "/"+queue+"/"+id, map[string]any{"taskSpec": text, "steps": steps})
		if status == http.StatusOK {
			return id, nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return "", fmt.Errorf("%w: a job is not accepted", errSetup)
}

// state asks for the state of a job, at one process after another until one tells it.
func (c *cluster) state(queue, id string) string {
	for try := range 3 * len(c.daemons) {
		status, data := c.call(c.daemons[try%len(c.daemons)], http.MethodGet, "/"+queue+"/"+id, nil)
		var in struct {
			State string `json:"state"`
		}
		switch {
		case status == http.StatusOK && json.Unmarshal(data, &in) == nil:
			return in.State
		case status == http.StatusGone:
			return "gone"
		}
		time.Sleep(200 * time.Millisecond)
	}
	return "unknown"
}

// task returns the name of a task of a job without repetitions.
func task(job string, step, index int) string { return fmt.Sprintf("%s.0.%d.%d", job, step, index) }

// jobOf returns the job of a task.
func jobOf(task string) string { return task[:strings.IndexByte(task, '.')] }
