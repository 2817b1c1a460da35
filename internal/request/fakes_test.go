package request

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/commitlog"
	"github.com/greengagewing/greengagewing/idempotency"
	"github.com/greengagewing/greengagewing/internal/membership"
	"github.com/greengagewing/greengagewing/internal/plan"
	"github.com/greengagewing/greengagewing/internal/tabletest"
	"github.com/greengagewing/greengagewing/ownership"
)

func TestMain(m *testing.M) { tabletest.MainWithChecks(m, 30) }

// workload is the request payload that the fake minions understand.
type workload struct {
	Key   string `json:"key"`
	MS    int64  `json:"ms,omitempty"`
	Fault string `json:"fault,omitempty"`
}

// fakeNetwork is a set of fake minions that are reached over net.Pipe connections.
type fakeNetwork struct {
	wg         sync.WaitGroup
	mu         sync.Mutex
	conns      []net.Conn
	running    map[string]int  // attempts running now, per minion
	most       map[string]int  // highest number of attempts running at the same time, per minion
	runs       map[string]int  // executions, per key
	served     map[string]int  // attempts received, including refused ones, per minion
	open       map[string]int  // open connections, per minion
	maxOpen    int             // highest number of connections open to one minion at the same time
	down       map[string]bool // minions that refuse connections
	received   map[string]int  // attempts, including incompletely read ones, per attempt id
	silent     bool            // a connection that gets a request while this is set never answers again
	pingBody   string          // body of the answer to a ping
	closeAfter int             // number of answers after which a connection is closed; 0: never
	closed     bool            // no connection can be dialed any more
	closeMode  string          // how it is closed: "idle", at once; "read", after reading one more attempt; "partial", while reading it
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{running: map[string]int{}, most: map[string]int{}, runs: map[string]int{}, served: map[string]int{},
		open: map[string]int{}, received: map[string]int{}, down: map[string]bool{}}
}

func (n *fakeNetwork) dial(_ context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || n.down[addr] {
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	n.accept(addr, server)
	return client, nil
}

func (n *fakeNetwork) accept(addr string, server net.Conn) {
	n.conns = append(n.conns, server)
	n.open[addr]++
	n.maxOpen = max(n.maxOpen, n.open[addr])
	n.wg.Go(func() {
		n.serve(addr, server)
		withLock(&n.mu, func() { n.open[addr]-- })
	})
}

// listen accepts TCP connections until the listener is closed.
func (n *fakeNetwork) listen(l net.Listener) {
	n.wg.Go(func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			withLock(&n.mu, func() { n.accept(l.Addr().String(), c) })
		}
	})
}

func withLock(mu *sync.Mutex, f func()) { mu.Lock(); defer mu.Unlock(); f() }

func (n *fakeNetwork) dialed() int             { n.mu.Lock(); defer n.mu.Unlock(); return len(n.conns) }
func (n *fakeNetwork) runCount(key string) int { n.mu.Lock(); defer n.mu.Unlock(); return n.runs[key] }

func (n *fakeNetwork) close() {
	withLock(&n.mu, func() {
		n.closed = true
		for _, c := range n.conns {
			_ = c.Close()
		}
	})
	n.wg.Wait()
}

func (n *fakeNetwork) serve(addr string, c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for i := 1; n.closeAfter == 0 || i <= n.closeAfter || n.closeMode != "idle"; i++ {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		n.mu.Lock()
		n.received[req.Header.Get(HeaderAttemptID)]++
		silent, pong, last := n.silent, n.pingBody, n.closeAfter > 0 && i > n.closeAfter
		n.mu.Unlock()
		if last && n.closeMode == "partial" {
			return // the rest of the body is not read, so the peer sees a connection reset
		}
		body, err := io.ReadAll(req.Body)
		switch {
		case err != nil || last:
			return
		case silent:
			_, _ = io.Copy(io.Discard, c)
			return
		case req.URL.Path == "/v1/ping":
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(pong), pong)
		case !n.execute(addr, c, req.Header.Get(HeaderAttemptID), body):
			return
		}
	}
}

func (n *fakeNetwork) execute(addr string, c net.Conn, id string, body []byte) bool {
	var j workload
	_ = json.Unmarshal(body, &j)
	n.mu.Lock()
	n.served[addr]++
	refuse := j.Fault == "refuse" || j.Fault == "leaving" || j.Fault == "crossed refusal"
	if !refuse {
		n.runs[j.Key]++
		n.running[addr]++
		n.most[addr] = max(n.most[addr], n.running[addr])
	}
	n.mu.Unlock()
	if j.Fault == "dropped" { // the attempt continues after its connection is closed
		_ = c.Close()
	}
	time.Sleep(time.Duration(j.MS) * time.Millisecond)
	if !refuse {
		withLock(&n.mu, func() { n.running[addr]-- })
	}
	_, err := c.Write(reply(j, id))
	return err == nil && j.Fault != "lost" && j.Fault != "truncated"
}

// reply returns the bytes that a fake minion with the given fault sends as its answer.
func reply(j workload, id string) []byte {
	body := []byte(`{"key":"` + j.Key + `"}`)
	sum := sha256.Sum256(body)
	whole := func(id string, length int) []byte {
		return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nAnswer-Sha256: %s\r\nContent-Length: %d\r\n\r\n%s",
			id, hex.EncodeToString(sum[:]), length, body)
	}
	refusal := func(headers string) []byte {
		return []byte("HTTP/1.1 503 X\r\nNot-Run: true\r\n" + headers + "\r\nContent-Length: 0\r\n\r\n")
	}
	correct := whole(id, len(body))
	return map[string][]byte{
		"":                correct,
		"lost":            nil,
		"crossed":         whole("another", len(body)),
		"unnamed":         whole("", len(body)),
		"truncated":       whole(id, len(body)+10),
		"corrupted":       bytes.Replace(correct, []byte(`{"key"`), []byte(`{"Key"`), 1),
		"duplicated":      slices.Concat(correct, correct),
		"error":           []byte("HTTP/1.1 500 X\r\nAttempt-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"),
		"refuse":          refusal("Attempt-Id: " + id),
		"leaving":         refusal("Leaving: true\r\nAttempt-Id: " + id),
		"crossed refusal": refusal("Attempt-Id: another"),
	}[j.Fault]
}

type fakeGuard struct {
	ownership.Guard
	partition string
	epoch     int64
	fenced    time.Time
	lost      atomic.Bool
}

func (g *fakeGuard) Partition() string   { return g.partition }
func (g *fakeGuard) Epoch() int64        { return g.epoch }
func (g *fakeGuard) FencedAt() time.Time { return g.fenced }
func (g *fakeGuard) Check() error {
	if g.lost.Load() {
		return ownership.ErrNotOwner
	}
	return nil
}

// fakeJournal is a journal in memory. Its records, and with them the at-most-once table, outlive a service.
type fakeJournal struct {
	mu            sync.Mutex
	records       [][]byte
	blockUntil    chan struct{} // if not nil, Append blocks until it is closed
	ignoreContext bool          // Append does not return when its context ends
	unhealthy     bool          // reported by Healthy
	closed        int
}

func (s *fakeJournal) Open(context.Context, ownership.Guard) (commitlog.Log, [][]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s, append([][]byte{}, s.records...), nil
}

func (s *fakeJournal) Append(ctx context.Context, records ...[]byte) error {
	s.mu.Lock()
	blockUntil, ignoreContext := s.blockUntil, s.ignoreContext
	s.mu.Unlock()
	if ignoreContext {
		ctx = context.WithoutCancel(ctx)
	}
	if blockUntil != nil {
		select {
		case <-blockUntil:
		case <-ctx.Done():
			return commitlog.ErrNotWritten
		}
	}
	s.AppendAsync(records...)
	return nil
}

func (s *fakeJournal) AppendAsync(records ...[]byte) {
	withLock(&s.mu, func() { s.records = append(s.records, records...) })
}

func (s *fakeJournal) Compact(_ context.Context, c commitlog.Compaction) error {
	if s.blockUntil != nil {
		<-s.blockUntil
	}
	withLock(&s.mu, func() {
		s.records = nil
		for _, a := range c.Archive {
			s.records = append(s.records, a.Record)
		}
		s.records = append(s.records, c.Snapshot...)
	})
	return nil
}

func (s *fakeJournal) Flush(context.Context) error { return nil }
func (s *fakeJournal) Healthy() bool               { s.mu.Lock(); defer s.mu.Unlock(); return !s.unhealthy }
func (s *fakeJournal) Bytes() int                  { return 0 }
func (s *fakeJournal) Close()                      { s.mu.Lock(); defer s.mu.Unlock(); s.closed++ }

// claimTableWith returns a function that restores the at-most-once table that the daemon uses. When these tests used a
// table of their own, they missed that a new owner did not learn of the claims that its predecessor had left open.
func claimTableWith(cfg idempotency.Config) RestoreClaims {
	return func(log idempotency.Log, records [][]byte) (ClaimTable, error) {
		t := idempotency.New(log, cfg)
		return t, t.Restore(records)
	}
}

// fakeLists serves as the membership list and as the list of plans.
type fakeLists struct {
	membership.Source
	mu              sync.Mutex
	minions         []membership.Endpoint
	allowed         plan.Allowance
	err             error
	reportedLeaving map[string]bool
}

func (l *fakeLists) Minions(string) []membership.Endpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.minions
}
func (l *fakeLists) ReportLeaving(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportedLeaving[id] = true
}
func (l *fakeLists) Allowance(string) (plan.Allowance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allowed, l.err
}

// unreliableLender lends the slots of another service over an unreliable network, which loses loans, loses replies and
// duplicates loans.
type unreliableLender struct {
	peer  *Service
	loans atomic.Int64
}

func (l *unreliableLender) IdleSlots(service string) int { return l.peer.IdleSlots()[service] }
func (l *unreliableLender) Borrow(ctx context.Context, loan Loan) (LoanReply, error) {
	n := l.loans.Add(1)
	if n%7 == 0 {
		return LoanReply{}, errors.Wrap(ErrNotSent, "dial")
	}
	r := l.peer.ExecuteLoan(ctx, loan)
	if n%3 == 0 {
		l.peer.ExecuteLoan(ctx, loan)
	}
	if n%5 == 0 {
		return LoanReply{}, errors.New("reply lost")
	}
	return r, nil
}

const service = "textos"

// fixture is a service with one partition, together with its fake network, journal and lists.
type fixture struct {
	*Service
	net         *fakeNetwork
	fakeJournal *fakeJournal
	fakeLists   *fakeLists
	fakeGuard   *fakeGuard
	partition   string
	customer    string
}

// idsOf returns n ids that have the given prefix and belong to the partition.
func idsOf(partition, prefix string, n int) []string {
	var ids []string
	for i := 0; len(ids) < n; i++ {
		if id := fmt.Sprint(prefix, i); partitionName(service, id) == partition {
			ids = append(ids, id)
		}
	}
	return ids
}

// newFixture starts a service that owns the partition and has the given number of minions.
func newFixture(partition string, minions int, change func(*Deps)) *fixture {
	b := &fixture{
		net: newFakeNetwork(), fakeJournal: &fakeJournal{}, partition: partition, customer: idsOf(partition, "customer", 1)[0],
		fakeGuard: &fakeGuard{partition: partition, epoch: 1},
		fakeLists: &fakeLists{reportedLeaving: map[string]bool{}},
	}
	b.fakeLists.allowed = plan.Allowance{RequestsPerSecond: 1e6, Burst: 1e6, Concurrency: 1e6, Queue: 1e6}
	for _, id := range idsOf(partition, "m", minions) {
		b.fakeLists.minions = append(b.fakeLists.minions, membership.Endpoint{ID: id, Addr: id + ":1"})
	}
	d := Deps{Journals: b.fakeJournal, RestoreClaims: claimTableWith(idempotency.Config{}), Members: b.fakeLists, Plans: b.fakeLists, Dial: b.net.dial}
	if change != nil {
		change(&d)
	}
	b.Service = NewService(Config{Seed: 1}, d)
	if err := b.Start(context.Background(), b.fakeGuard); err != nil {
		panic(err)
	}
	return b
}

// successor starts a new owner of the partition, whose previous owner has just been fenced.
func (b *fixture) successor() *fixture {
	n := *b
	n.fakeGuard = &fakeGuard{partition: b.partition, epoch: b.fakeGuard.epoch + 1, fenced: time.Now()}
	n.Service = NewService(Config{Seed: 2}, b.deps)
	if err := n.Start(context.Background(), n.fakeGuard); err != nil {
		panic(err)
	}
	return &n
}

func (b *fixture) close() { b.Close(); b.net.close() }

// request returns a request with the given workload.
func (b *fixture) request(idempotent bool, timeout time.Duration, j workload) Request {
	raw, _ := json.Marshal(j)
	return Request{
		Service: service, Customer: b.customer, Key: j.Key, Class: Urgent, Idempotent: idempotent,
		TimeoutMS: timeout.Milliseconds(), Payload: raw,
	}
}

// submitOnce submits a non-idempotent request.
func (b *fixture) submitOnce(timeout time.Duration, j workload) Outcome {
	return b.Submit(context.Background(), b.partition, b.request(false, timeout, j))
}

// submitIdempotent submits an idempotent request.
func (b *fixture) submitIdempotent(timeout time.Duration, j workload) Outcome {
	return b.Submit(context.Background(), b.partition, b.request(true, timeout, j))
}

// submitAsync submits a request and returns the channel that receives its outcome.
func (b *fixture) submitAsync(r Request) <-chan Outcome {
	c := make(chan Outcome, 1)
	go func() { c <- b.Submit(context.Background(), b.partition, r) }()
	return c
}

// occupySlots occupies n slots with requests that run for the given number of milliseconds.
func (b *fixture) occupySlots(n int, ms int64) {
	for i := range n {
		b.submitAsync(b.request(true, 9*time.Second, workload{Key: fmt.Sprint("busy", b.net.dialed(), "/", i), MS: ms}))
	}
}

// maxRunningPerMinion returns the highest number of attempts that any minion has run at the same time.
func (b *fixture) maxRunningPerMinion() int {
	b.net.mu.Lock()
	defer b.net.mu.Unlock()
	return slices.Max(append(slices.Collect(maps.Values(b.net.most)), 0))
}
