package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/greengagewing/greengagewing/commitlog"
	"github.com/greengagewing/greengagewing/idempotency"
	"github.com/greengagewing/greengagewing/internal/job/worker"
	"github.com/greengagewing/greengagewing/internal/membership"
	"github.com/greengagewing/greengagewing/internal/peer"
	"github.com/greengagewing/greengagewing/internal/plan"
	"github.com/greengagewing/greengagewing/internal/request"
	"github.com/greengagewing/greengagewing/ownership"
	"github.com/greengagewing/greengagewing/session"
	"github.com/greengagewing/greengagewing/table"
	"github.com/greengagewing/greengagewing/versionedlist"
)

func jsonSize(b *testing.B, v any) float64 {
	raw, err := json.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(raw))
}

func hostAddr(i int) string { return fmt.Sprintf("10.0.%d.%d:8081", i/250, i%250) }

func sessionRow(i int) session.Row {
	g := session.Peer{ID: hostAddr(i + 1), Boot: "0123456789abcdef01234567", Incarnation: 1, PeerAddr: hostAddr(i + 1)}
	return session.Row{
		ID: hostAddr(i), Boot: "0123456789abcdef01234567", Incarnation: 3, PeerAddr: hostAddr(i), Region: "gt-central",
		FailureDomain: "gt-central-a", Groups: []string{"request/textos", "pool/textos"}, State: session.Live, Seq: 100000,
		TTLMS: 4000, Guarantors: []session.Peer{g, g}, Tag: "0123456789abcdef01234567/100000",
	}
}

// heapPer returns the heap bytes per item, when fill builds and returns n items.
func heapPer(n int, fill func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := fill()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / float64(n)
}

// BenchmarkSessionScan measures one scan of all session rows, which each daemon does every second.
func BenchmarkSessionScan(b *testing.B) {
	for _, n := range []int{8, 16, 104} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			store := table.NewMemory()
			bytes := 0.0
			for i := range n {
				raw, _ := json.Marshal(sessionRow(i))
				bytes += float64(len(raw))
				_, _ = store.Commit(context.Background(), table.Txn{Ops: []table.Op{{Key: session.Key(hostAddr(i)), Value: raw}}})
			}
			for b.Loop() {
				rows, _ := table.ScanAll(context.Background(), store, session.Prefix)
				for _, r := range rows {
					var row session.Row
					_ = json.Unmarshal(r.Value, &row)
				}
			}
			b.ReportMetric(bytes, "B/scan")
		})
	}
}

// BenchmarkHeartbeat measures encoding and decoding of one heartbeat. Each pair of daemons exchanges one in both
// directions every second.
func BenchmarkHeartbeat(b *testing.B) {
	hb := peer.Heartbeat{
		ID: hostAddr(1), ListVersions: map[string]int64{"plans": 100000, "allowances": 1000},
		IdleSlots: map[string]int{"textos": 40},
	}
	for b.Loop() {
		raw, _ := json.Marshal(hb)
		var out peer.Heartbeat
		_ = json.Unmarshal(raw, &out)
	}
	b.ReportMetric(jsonSize(b, hb), "B/message")
}

// heldGuard is an ownership guard whose check always passes, as for a partition that stays owned.
type heldGuard struct{ partition string }

func (o heldGuard) Partition() string   { return o.partition }
func (o heldGuard) Epoch() int64        { return 1 }
func (o heldGuard) RowKey() string      { return ownership.Key(o.partition) }
func (o heldGuard) RowVersion() int64   { return 1 }
func (o heldGuard) FencedAt() time.Time { return time.Time{} }
func (o heldGuard) Check() error        { return nil }

// BenchmarkClaims measures the durable claim and the recorded outcome of requests with idempotency keys, by many
// concurrent callers.
func BenchmarkClaims(b *testing.B) {
	store := table.NewMemory()
	g := heldGuard{"request/textos/0"}
	_, _ = store.Commit(context.Background(), table.Txn{Ops: []table.Op{{Key: g.RowKey(), Value: []byte("{}")}}})
	c := commitlog.NewCommitter(store, commitlog.Config{CommitsPerSecond: 1000, Burst: 1000})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = c.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	log, _, err := c.Open(ctx, g)
	if err != nil {
		b.Fatal(err)
	}
	claims := idempotency.New(log, idempotency.Config{})
	answer := []byte(`{"minion":"textos-minion-07","key":"order-000000000"}`)
	b.SetParallelism(64)
	next := make(chan int, 1024)
	go func() {
		for i := 0; ; i++ {
			select {
			case next <- i:
			case <-ctx.Done():
				return
			}
		}
	}()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			k := idempotency.Key{Customer: "panaderia-sol", Key: fmt.Sprintf("order-%09d", <-next)}
			if _, err := claims.Begin(ctx, k, "fingerprint-fingerprint-fingerpr"); err != nil {
				b.Error(err)
			}
			claims.Finish(k, idempotency.Done, "", answer)
		}
	})
	b.StopTimer()
	_ = log.Flush(ctx)
	st := c.State().Stats
	b.ReportMetric(float64(st.Bytes)/float64(b.N), "journal-B/request")
	b.ReportMetric(float64(st.Records)/float64(max(st.Commits, 1)), "records/commit")
}

// discardLog is a log that accepts and discards all records.
type discardLog struct{}

func (discardLog) Append(context.Context, ...[]byte) error { return nil }
func (discardLog) AppendAsync(...[]byte)                   {}

// BenchmarkClaimMemory measures the heap per remembered idempotency key.
func BenchmarkClaimMemory(b *testing.B) {
	const n = 50_000
	var per float64
	for b.Loop() {
		per = heapPer(n, func() any {
			t := idempotency.New(discardLog{}, idempotency.Config{})
			for i := range n {
				k := idempotency.Key{Customer: "panaderia-sol", Key: fmt.Sprintf("order-%09d", i)}
				_, _ = t.Begin(context.Background(), k, "fingerprint-fingerprint-fingerpr")
				t.Finish(k, idempotency.Done, "", []byte(`{"minion":"textos-minion-07","key":"order"}`))
			}
			return t
		})
	}
	b.ReportMetric(per, "heap-B/key")
}

// BenchmarkListFollow measures how long a list follower takes to apply one accepted edit, with 690 customers.
func BenchmarkListFollow(b *testing.B) {
	const customers = 690
	entries := map[string]json.RawMessage{}
	for i := range customers {
		entries[fmt.Sprintf("customer-%03d", i)] = json.RawMessage(`"basic"`)
	}
	f := versionedlist.NewFollower(table.NewMemory(), plan.PlansList, versionedlist.FollowerConfig{})
	f.Accept(versionedlist.Update{Version: 1, Full: true, Entries: entries})
	change := versionedlist.Change{
		Author: "ana", ID: "0123456789abcdef01234567", Time: time.Unix(0, 0),
		Set: map[string]json.RawMessage{"customer-007": json.RawMessage(`"gold"`)},
	}
	version := int64(1)
	for b.Loop() {
		version++
		change.Version = version
		f.Accept(versionedlist.Update{Version: version, Changes: []versionedlist.Change{change}})
	}
	b.ReportMetric(jsonSize(b, change), "B/edit")
	b.ReportMetric(jsonSize(b, entries), "B/list")
}

// BenchmarkRenewWorker measures encoding and decoding of one lease renewal and its report, which the owner of a pool
// exchanges with each worker every 2 s.
func BenchmarkRenewWorker(b *testing.B) {
	for _, tasks := range []int{0, 5, 50} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			renew := worker.Renew{Epoch: 7, LeaseMS: 15000}
			report := worker.Report{
				WorkerID: "textos-worker-07", BootID: "0123456789abcdef", MaxEpoch: 7,
				Capacity: worker.Resources{CPUMilli: 32000, MemoryMB: 131072},
			}
			for i := range tasks {
				ref := worker.TaskRef{TaskID: fmt.Sprintf("273437d3d96fd6adfcfd6877-%d", i), Attempt: 1}
				renew.Tasks = append(renew.Tasks, ref)
				report.Tasks = append(report.Tasks, worker.Task{
					TaskID: ref.TaskID, Attempt: 1, State: worker.Running,
					Resources: worker.Resources{CPUMilli: 1000, MemoryMB: 512},
				})
			}
			for b.Loop() {
				raw, _ := json.Marshal(renew)
				var in worker.Renew
				_ = json.Unmarshal(raw, &in)
				raw, _ = json.Marshal(report)
				var out worker.Report
				_ = json.Unmarshal(raw, &out)
			}
			b.ReportMetric(jsonSize(b, renew), "B/renewal")
			b.ReportMetric(jsonSize(b, report), "B/report")
		})
	}
}

// BenchmarkForward measures encoding and decoding of one request that is forwarded to its owner, and of its outcome.
func BenchmarkForward(b *testing.B) {
	r := request.Request{
		Service: "textos", Customer: "panaderia-sol", Key: "order-000000017", Class: request.Urgent, TimeoutMS: 3000,
		Payload: json.RawMessage(`{"text":"La paciencia es amarga, pero su fruto es dulce."}`),
	}
	o := request.Outcome{Result: request.Done, Key: r.Key, Answer: json.RawMessage(`{"minion":"textos-minion-07"}`)}
	for b.Loop() {
		raw, _ := json.Marshal(r)
		var in request.Request
		_ = json.Unmarshal(raw, &in)
		raw, _ = json.Marshal(o)
		var out request.Outcome
		_ = json.Unmarshal(raw, &out)
	}
	b.ReportMetric(jsonSize(b, r), "B/request")
	b.ReportMetric(jsonSize(b, o), "B/outcome")
}

// BenchmarkMembershipCopy measures encoding and decoding of the copy of the membership list that a daemon sends to
// another daemon that cannot read the list itself. It also reports the size of the response that contains only the age.
func BenchmarkMembershipCopy(b *testing.B) {
	for _, n := range []int{100, 25_000} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			l := membership.NewList(staticHosts(workerHosts(n)))
			l.Poll(context.Background())
			var raw []byte
			for b.Loop() {
				c, err := l.Copy(true)
				if err != nil {
					b.Fatal(err)
				}
				raw, _ = json.Marshal(c)
				var out membership.Copy
				_ = json.Unmarshal(raw, &out)
			}
			age, _ := l.Copy(false)
			b.ReportMetric(jsonSize(b, age), "B/age")
			b.ReportMetric(float64(len(raw)), "B/copy")
		})
	}
}

type staticHosts []membership.Host

func (h staticHosts) Hosts(context.Context) ([]membership.Host, error) { return h, nil }

func workerHosts(n int) []membership.Host {
	hosts := make([]membership.Host, n)
	for i := range hosts {
		hosts[i] = membership.Host{
			ID: fmt.Sprintf("textos-worker-%05d", i), Addr: hostAddr(i), Kind: membership.KindWorker, ServiceOrPool: "textos",
			FailureDomain: "gt-central-a", Rack: "textos-rack-03", State: "live",
		}
	}
	return hosts
}

// BenchmarkMembership measures one poll of the platform's membership list by one daemon, with a list that has or has
// not changed since the last poll.
func BenchmarkMembership(b *testing.B) {
	for _, n := range []int{100, 25_000} {
		for _, changed := range []bool{false, true} {
			b.Run(fmt.Sprintf("hosts=%d/changed=%t", n, changed), func(b *testing.B) {
				raw, _ := json.Marshal(map[string]any{"hosts": workerHosts(n)})
				version := 0
				srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					etag := strconv.Quote(strconv.Itoa(version))
					w.Header().Set("ETag", etag)
					if r.Header.Get("If-None-Match") == etag {
						w.WriteHeader(http.StatusNotModified)
						return
					}
					_, _ = w.Write(raw)
				}))
				defer srv.Close()
				l := membership.NewList(membership.NewHTTPFetcher(strings.TrimPrefix(srv.URL, "http://"), srv.Client()))
				l.Poll(context.Background())
				for b.Loop() {
					if changed {
						version++
					}
					l.Poll(context.Background())
				}
				if changed {
					b.ReportMetric(float64(len(raw)), "B/poll")
				}
			})
		}
	}
}
