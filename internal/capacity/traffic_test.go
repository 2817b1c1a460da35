package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/greengagewing/greengagewing/commitlog"
	"github.com/greengagewing/greengagewing/internal/job"
	"github.com/greengagewing/greengagewing/internal/job/worker"
	"github.com/greengagewing/greengagewing/internal/membership"
	"github.com/greengagewing/greengagewing/table"
)

const (
	poolWorkers = 50
	// settleTime covers the first lease renewals, the journaling of the workers, and the time until later renewals are
	// spread evenly.
	settleTime = 5 * time.Second
	// idleWindow is a multiple of the renewal interval, so that every worker has the same number of renewals in it.
	idleWindow    = 4 * time.Second
	loadDuration  = 4 * time.Second
	jobEndTimeout = 30 * time.Second
	taskDuration  = 100 * time.Millisecond
)

var workerCapacity = worker.Resources{CPUMilli: 32_000, MemoryMB: 131_072}

// fakeWorkers simulates fault-free workers. A service task runs until it is stopped, any other task for its declared
// run time.
type fakeWorkers struct {
	emptyMembership
	mu         sync.Mutex
	endpoints  []membership.Endpoint
	tasks      map[string]map[worker.TaskRef]startedTask // by address
	ackedTasks int
}

type startedTask struct {
	worker.Start
	at time.Time
}

func (f *fakeWorkers) Workers(string) []membership.Endpoint { return f.endpoints }

func (f *fakeWorkers) Start(_ context.Context, addr string, s worker.Start) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tasks[addr][worker.TaskRef{TaskID: s.TaskID, Attempt: s.Attempt}] = startedTask{s, time.Now()}
	return nil
}

func (f *fakeWorkers) Renew(_ context.Context, addr string, r worker.Renew) (worker.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rep := worker.Report{WorkerID: addr, BootID: "0123456789abcdef", MaxEpoch: r.Epoch, Capacity: workerCapacity, Tasks: []worker.Task{}}
	for ref, s := range f.tasks[addr] {
		t := worker.Task{
			TaskID: ref.TaskID, Attempt: ref.Attempt, State: worker.Running, Resources: s.Resources, Usage: s.Resources,
			RemainingLeaseMS: r.LeaseMS,
		}
		if s.Kind != string(job.Service) && time.Since(s.at) >= time.Duration(s.RunMS)*time.Millisecond {
			t.State, t.Usage = worker.Done, worker.Resources{}
		}
		rep.Tasks = append(rep.Tasks, t)
	}
	return rep, nil
}

func (f *fakeWorkers) Ack(_ context.Context, addr string, a worker.Ack) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, ref := range a.Tasks {
		if _, ok := f.tasks[addr][ref]; ok {
			delete(f.tasks[addr], ref)
			f.ackedTasks++
		}
	}
	return nil
}

func (f *fakeWorkers) Stop(context.Context, string, string, worker.Order) error       { return nil }
func (f *fakeWorkers) Throttle(context.Context, string, string, worker.Order) error   { return nil }
func (f *fakeWorkers) Checkpoint(context.Context, string, string, worker.Order) error { return nil }

// poolBench is a pool whose journal is in an in-memory table and whose workers are called through a CountingClient.
type poolBench struct {
	store     *table.Memory
	committer *commitlog.Committer
	workers   *fakeWorkers
	counter   *CountingClient
	pool      *job.Pool
	jobs      int
}

const poolPartition = "pool/textos/0"

func newPoolBench(b *testing.B) *poolBench {
	c := &poolBench{store: table.NewMemory(), workers: &fakeWorkers{tasks: map[string]map[worker.TaskRef]startedTask{}}}
	for i := range poolWorkers {
		addr := hostAddr(i)
		c.workers.tasks[addr] = map[worker.TaskRef]startedTask{}
		c.workers.endpoints = append(c.workers.endpoints, membership.Endpoint{
			ID: addr, Addr: addr, FailureDomain: fmt.Sprintf("gt-central-%d", i%4), Rack: fmt.Sprintf("textos-rack-%02d", i/6),
		})
	}
	g := heldGuard{poolPartition}
	_, _ = c.store.Commit(context.Background(), table.Txn{Ops: []table.Op{{Key: g.RowKey(), Value: []byte("{}")}}})
	// The commit rate of one daemon if eight daemons share the table's limit.
	c.committer = commitlog.NewCommitter(c.store, commitlog.Config{CommitsPerSecond: 26})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = c.committer.Run(ctx); close(done) }()
	c.counter = NewCountingClient(c.workers)
	c.pool = job.New(job.Config{CompactBytes: 1 << 30}, job.Deps{
		Journals: c.committer, Members: c.workers, Plans: unlimitedAllowance{}, Workers: c.counter,
	})
	if err := c.pool.Start(ctx, g); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { c.pool.Stop(ctx, poolPartition, false); cancel(); <-done })
	time.Sleep(settleTime)
	return c
}

// submit submits job number n.
func (c *poolBench) submit(b *testing.B, n int, s job.Spec) {
	s.Customer, s.Key = fmt.Sprintf("customer-%03d", n%690), fmt.Sprintf("batch-%06d", n)
	if _, err := c.pool.Submit(context.Background(), poolPartition, s); err != nil {
		b.Error(err)
	}
}

// usageReading holds the counters of a pool at one time: worker traffic, table writes and journal bytes.
type usageReading struct {
	Traffic
	writes, journal int64
	at              time.Time
}

func (c *poolBench) readUsage() usageReading {
	return usageReading{c.counter.Traffic(), c.store.Stats().Commits, c.committer.Stats().Bytes, time.Now()}
}

// idleRates holds rates per worker and second.
type idleRates struct{ messages, bytes, writes float64 }

func (c *poolBench) idle() idleRates {
	before := c.readUsage()
	time.Sleep(idleWindow)
	after := c.readUsage()
	n := poolWorkers * after.at.Sub(before.at).Seconds()
	t := after.Subtract(before.Traffic)
	return idleRates{float64(t.Messages()) / n, float64(t.Bytes) / n, float64(after.writes-before.writes) / n}
}

// BenchmarkIdleWorker measures the control traffic per worker while no tasks start or end.
func BenchmarkIdleWorker(b *testing.B) {
	for _, tasks := range []int{0, 5, 20} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			c := newPoolBench(b)
			if tasks > 0 {
				size := worker.Resources{CPUMilli: workerCapacity.CPUMilli / int64(tasks), MemoryMB: workerCapacity.MemoryMB / int64(tasks)}
				c.submit(b, 0, job.Spec{Kind: job.Service, Tasks: tasks * poolWorkers, Resources: size})
				time.Sleep(settleTime)
				if n := c.counter.Traffic().Starts; n != int64(tasks*poolWorkers) {
					b.Fatalf("%d tasks started", n)
				}
			}
			var r idleRates
			for b.Loop() {
				r = c.idle()
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(r.messages, "messages/s")
			b.ReportMetric(r.bytes, "B/s")
			b.ReportMetric(r.writes, "writes/s")
		})
	}
}

// BenchmarkPlacement measures the control traffic per placement of a short task, from the submission of the job to the
// last acknowledgement, minus the traffic of idle workers. Jobs arrive at a constant rate, whether or not earlier jobs
// have ended (open loop).
func BenchmarkPlacement(b *testing.B) {
	c := newPoolBench(b)
	idle := c.idle()
	for _, load := range []struct{ tasks, jobsPerSecond int }{{1, 10}, {1, 1000}, {100, 10}} {
		for _, idempotent := range []bool{true, false} {
			name := fmt.Sprintf("tasks=%d/rate=%d/idempotent=%t", load.tasks, load.jobsPerSecond, idempotent)
			b.Run(name, func(b *testing.B) {
				spec := job.Spec{
					Kind: job.Batch, Tasks: load.tasks, Idempotent: idempotent, RunMS: taskDuration.Milliseconds(),
					Resources: worker.Resources{CPUMilli: 50, MemoryMB: 32},
				}
				placed := 0
				before, began := c.readUsage(), time.Now()
				for b.Loop() {
					placed += c.runJobs(b, spec, load.jobsPerSecond)
				}
				after, took := c.readUsage(), time.Since(began).Seconds()
				t := after.Subtract(before.Traffic)
				if t.Starts != int64(placed) {
					b.Fatalf("%d starts of %d tasks", t.Starts, placed)
				}
				perPlacement := func(total int64, idle float64, unit string) {
					b.ReportMetric((float64(total)-idle*poolWorkers*took)/float64(placed), unit+"/placement")
				}
				b.ReportMetric(0, "ns/op")
				perPlacement(t.Messages(), idle.messages, "messages")
				perPlacement(t.Renewals, idle.messages, "renewals")
				perPlacement(t.Bytes, idle.bytes, "B")
				perPlacement(after.writes-before.writes, idle.writes, "writes")
				perPlacement(after.journal-before.journal, 0, "journal-B")
			})
		}
	}
}

// runJobs submits jobs for loadDuration, waits until all of their tasks are acknowledged, and returns the number of
// tasks.
func (c *poolBench) runJobs(b *testing.B, s job.Spec, jobsPerSecond int) int {
	jobs := int(loadDuration.Seconds()) * jobsPerSecond
	ackedTasks := func() int { c.workers.mu.Lock(); defer c.workers.mu.Unlock(); return c.workers.ackedTasks }
	want := ackedTasks() + jobs*s.Tasks
	began := time.Now()
	var wg sync.WaitGroup
	for i := range jobs {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / time.Duration(jobsPerSecond))))
		n := c.jobs
		c.jobs++
		wg.Go(func() { c.submit(b, n, s) })
	}
	wg.Wait()
	for ackedTasks() < want {
		if time.Since(began) > loadDuration+jobEndTimeout {
			b.Fatalf("%d tasks have not ended before the timeout", want-ackedTasks())
		}
		time.Sleep(10 * time.Millisecond)
	}
	return jobs * s.Tasks
}

// countedConn is a connection that counts the bytes read and written.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkWorkerHeaders measures the bytes that HTTP adds to the bodies of one renewal and its report, without TCP and
// IP headers.
func BenchmarkWorkerHeaders(b *testing.B) {
	const report = `{"worker_id":"textos-worker-07","tasks":[]}`
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, report)
	}))
	defer srv.Close()
	var bytes atomic.Int64
	c := worker.NewHTTPClient(func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		return countedConn{conn, &bytes}, err
	})
	defer c.Close()
	renew, addr := worker.Renew{Epoch: 7, LeaseMS: 15000, Tasks: []worker.TaskRef{}}, strings.TrimPrefix(srv.URL, "http://")
	for b.Loop() {
		if _, err := c.Renew(context.Background(), addr, renew); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N)-jsonSize(b, renew)-float64(len(report)), "headers-B/message")
}
