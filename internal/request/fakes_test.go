package request

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/goleak"

	"github.com/greengagewing/greengagewing/idempotency"
	"github.com/greengagewing/greengagewing/internal/membership"
	"github.com/greengagewing/greengagewing/internal/plan"
	"github.com/greengagewing/greengagewing/journal"
	"github.com/greengagewing/greengagewing/ownership"
)

// TestMain fixes the seed of the property tests and guards against goroutines that outlive a service.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "30", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

// job is the payload that the fake minion understands.
type job struct {
	Key   string `json:"key"`
	MS    int64  `json:"ms,omitempty"`
	Fault string `json:"fault,omitempty"`
}

// network is a set of fake minions behind net.Pipe connections.
type network struct {
	wg      sync.WaitGroup
	mu      sync.Mutex
	conns   []net.Conn
	running map[string]int
	most    map[string]int // most attempts running at once per minion
	runs    map[string]int // per key
	served  map[string]int // attempts per minion, refused ones included
	open    map[string]int // connections per minion
	wide    int            // most connections to a minion at once
	down    map[string]bool
	silent  bool // connections made so far never answer again
	idle    string
}

func newNetwork() *network {
	return &network{running: map[string]int{}, most: map[string]int{}, runs: map[string]int{}, served: map[string]int{}, open: map[string]int{}, down: map[string]bool{}}
}

func (n *network) dial(_ context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down[addr] {
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	n.conns = append(n.conns, server)
	n.open[addr]++
	n.wide = max(n.wide, n.open[addr])
	n.wg.Go(func() {
		n.serve(addr, server)
		n.set(func() { n.open[addr]-- })
	})
	return client, nil
}

func (n *network) dialed() int { n.mu.Lock(); defer n.mu.Unlock(); return len(n.conns) }

func (n *network) runsOf(key string) int { n.mu.Lock(); defer n.mu.Unlock(); return n.runs[key] }

func (n *network) set(change func()) { n.mu.Lock(); defer n.mu.Unlock(); change() }

func (n *network) close() {
	n.mu.Lock()
	for _, c := range n.conns {
		_ = c.Close()
	}
	n.mu.Unlock()
	n.wg.Wait()
}

func (n *network) serve(addr string, c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		n.mu.Lock()
		silent, idle := n.silent, n.idle
		n.mu.Unlock()
		if silent {
			_, _ = io.Copy(io.Discard, c)
			return
		}
		if req.URL.Path == "/v1/ping" {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nIdle-Slots: %s\r\nContent-Length: 0\r\n\r\n", idle)
			continue
		}
		if !n.execute(addr, c, req.Header.Get(HeaderAttemptID), body) {
			return
		}
	}
}

func (n *network) execute(addr string, c net.Conn, id string, body []byte) bool {
	var j job
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
	if j.Fault == "dropped" { // the attempt runs on without its connection
		_ = c.Close()
	}
	time.Sleep(time.Duration(j.MS) * time.Millisecond)
	if !refuse {
		n.mu.Lock()
		n.running[addr]--
		n.mu.Unlock()
	}
	_, err := c.Write(reply(j, id))
	return err == nil && j.Fault != "lost" && j.Fault != "truncated"
}

// reply returns the bytes that a minion with the given fault answers.
func reply(j job, id string) []byte {
	body := []byte(`{"key":"` + j.Key + `"}`)
	sum := sha256.Sum256(body)
	whole := func(id string, length int) []byte {
		return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nAnswer-Sha256: %s\r\nContent-Length: %d\r\n\r\n%s",
			id, hex.EncodeToString(sum[:]), length, body)
	}
	status := func(code int, headers string) []byte {
		return fmt.Appendf(nil, "HTTP/1.1 %d X\r\n%sContent-Length: 0\r\n\r\n", code, headers)
	}
	switch j.Fault {
	case "lost":
		return nil
	case "crossed":
		return whole("another", len(body))
	case "unnamed":
		return whole("", len(body))
	case "truncated":
		return whole(id, len(body)+10)
	case "corrupted":
		return bytes.Replace(whole(id, len(body)), []byte(`{"key"`), []byte(`{"Key"`), 1)
	case "duplicated":
		return append(whole(id, len(body)), whole(id, len(body))...)
	case "error":
		return status(500, "Attempt-Id: "+id+"\r\n")
	case "refuse":
		return status(503, "Not-Run: true\r\nAttempt-Id: "+id+"\r\n")
	case "leaving":
		return status(503, "Not-Run: true\r\nLeaving: true\r\nAttempt-Id: "+id+"\r\n")
	case "crossed refusal":
		return status(503, "Not-Run: true\r\nAttempt-Id: another\r\n")
	}
	return whole(id, len(body))
}

type guard struct {
	partition string
	epoch     int64
	fenced    time.Time
	mu        sync.Mutex
	lost      bool
}

func (g *guard) Partition() string   { return g.partition }
func (g *guard) Epoch() int64        { return g.epoch }
func (g *guard) RowKey() string      { return "partition/" + g.partition }
func (g *guard) RowVersion() int64   { return g.epoch }
func (g *guard) FencedAt() time.Time { return g.fenced }
func (g *guard) Check() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lost {
		return ownership.ErrNotOwner
	}
	return nil
}

// store is a journal and the at-most-once tables on it, which outlive services.
type store struct {
	mu      sync.Mutex
	records [][]byte
	hang    chan struct{} // not nil: Append waits for it
	rigid   bool          // Append does not look at its context
	sick    bool
	closed  int
}

func (s *store) Open(context.Context, ownership.Guard) (journal.Log, [][]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s, append([][]byte{}, s.records...), nil
}

func (s *store) Append(ctx context.Context, records ...[]byte) error {
	s.mu.Lock()
	hang, rigid := s.hang, s.rigid
	s.mu.Unlock()
	if rigid {
		<-hang
	} else if hang != nil {
		select {
		case <-hang:
		case <-ctx.Done():
			return journal.ErrNotWritten
		}
	}
	s.AppendAsync(records...)
	return nil
}

func (s *store) AppendAsync(records ...[]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, records...)
}

func (s *store) Compact(_ context.Context, snapshot [][]byte) error {
	<-s.hang
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = snapshot
	return nil
}

func (s *store) Flush(context.Context) error { return nil }
func (s *store) Healthy() bool               { s.mu.Lock(); defer s.mu.Unlock(); return !s.sick }
func (s *store) Bytes() int                  { return 0 }
func (s *store) Close()                      { s.mu.Lock(); defer s.mu.Unlock(); s.closed++ }

// claims is a small at-most-once table.
type claims struct {
	log     idempotency.Log
	mu      sync.Mutex
	entries map[idempotency.Key]idempotency.Entry
	open    map[string]int
}

func newFakeClaims(log idempotency.Log, records [][]byte) (Claims, error) {
	c := &claims{log: log, entries: map[idempotency.Key]idempotency.Entry{}, open: map[string]int{}}
	for _, r := range records {
		var e idempotency.Entry
		if err := json.Unmarshal(r, &e); err != nil {
			return nil, err
		}
		if e.State == idempotency.Claimed {
			e.State, e.Code = idempotency.Unknown, string(CodeOutcomeUnknown)
		}
		c.entries[e.Key] = e
	}
	for _, e := range c.entries {
		if e.State == idempotency.Unknown {
			c.open[e.Key.Customer]++
		}
	}
	return c, nil
}

func (c *claims) Open() map[string]int { return c.open }

func (c *claims) Begin(ctx context.Context, k idempotency.Key, fp string) (idempotency.Claim, error) {
	c.mu.Lock()
	old, ok := c.entries[k]
	if ok && old.State != idempotency.NotRun {
		c.mu.Unlock()
		return idempotency.Claim{Entry: old}, nil
	}
	e := idempotency.Entry{Key: k, Fingerprint: fp, State: idempotency.Claimed}
	c.entries[k] = e
	c.mu.Unlock()
	raw, _ := json.Marshal(e)
	if err := c.log.Append(ctx, raw); err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.entries, k)
		return idempotency.Claim{}, idempotency.ErrNotClaimed
	}
	return idempotency.Claim{Run: true, Entry: e}, nil
}

func (c *claims) Finish(k idempotency.Key, s idempotency.State, code string, answer []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[k]
	e.State, e.Code, e.Answer = s, code, answer
	c.entries[k] = e
	raw, _ := json.Marshal(e)
	c.log.(*heldLog).AppendAsync(raw)
}

func (c *claims) Lookup(k idempotency.Key) (idempotency.Entry, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.entries[k]
	if !ok {
		return e, idempotency.ErrNoEntry
	}
	return e, nil
}

func (c *claims) Snapshot() [][]byte { return nil }

// members and plans in one.
type lists struct {
	mu      sync.Mutex
	minions []membership.Endpoint
	allowed plan.Allowance
	said    map[string]bool
}

func (l *lists) Minions(string) []membership.Endpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.minions
}
func (l *lists) Workers(string) []membership.Endpoint { return nil }
func (l *lists) ReportLeaving(id string)              { l.mu.Lock(); defer l.mu.Unlock(); l.said[id] = true }
func (l *lists) Allowance(customer string) (plan.Allowance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if customer == "stranger" {
		return plan.Allowance{}, plan.ErrUnknownCustomer
	}
	return l.allowed, nil
}

// peerLender lends the slots of another service over a bad network: it loses messages and replies and repeats messages.
type peerLender struct {
	peer   *Service
	mu     sync.Mutex
	loans  int
	counts map[LoanStatus]int
}

func (l *peerLender) Idle(service string) int { return l.peer.IdleSlots()[service] }
func (l *peerLender) Borrow(ctx context.Context, loan Loan) (LoanReply, error) {
	l.mu.Lock()
	l.loans++
	n := l.loans
	l.mu.Unlock()
	if n%7 == 0 {
		return LoanReply{}, errors.Wrap(ErrNotSent, "dial")
	}
	r := l.peer.ExecuteLoan(ctx, loan)
	if n%3 == 0 {
		l.peer.ExecuteLoan(ctx, loan)
	}
	l.mu.Lock()
	l.counts[r.Status]++
	l.mu.Unlock()
	if n%5 == 0 {
		return LoanReply{}, errors.New("reply lost")
	}
	return r, nil
}

const service = "textos"

// bench is a service with one partition and its surroundings.
type bench struct {
	*Service
	net       *network
	store     *store
	lists     *lists
	guard     *guard
	partition string
	customer  string
}

// minionsOf returns n minions of a partition; ids are chosen so that their hash fits.
func minionsOf(partition string, n int) []membership.Endpoint {
	var es []membership.Endpoint
	for i := 0; len(es) < n; i++ {
		if id := fmt.Sprintf("m%d", i); PartitionOfMinion(service, id) == partition {
			es = append(es, membership.Endpoint{ID: id, Addr: id + ":1"})
		}
	}
	return es
}

func customersOf(partition string, n int) []string {
	var cs []string
	for i := 0; len(cs) < n; i++ {
		if c := fmt.Sprintf("customer%d", i); PartitionOf(service, c) == partition {
			cs = append(cs, c)
		}
	}
	return cs
}

func newBench(partition string, minions int, change func(*Deps)) *bench {
	b := &bench{
		net: newNetwork(), store: &store{}, partition: partition, customer: customersOf(partition, 1)[0],
		guard: &guard{partition: partition, epoch: 1},
		lists: &lists{
			minions: minionsOf(partition, minions), said: map[string]bool{},
			allowed: plan.Allowance{RequestsPerSecond: 1e6, Burst: 1e6, Concurrency: 1e6, Queue: 1e6},
		},
	}
	d := Deps{Journal: b.store, Claims: newFakeClaims, Members: b.lists, Plans: b.lists, Dial: b.net.dial}
	if change != nil {
		change(&d)
	}
	b.Service = NewService(Config{Seed: 1}, d)
	if err := b.Start(context.Background(), b.guard); err != nil {
		panic(err)
	}
	return b
}

// successor takes the partition over after the owner was fenced now.
func (b *bench) successor() *bench {
	n := *b
	n.guard = &guard{partition: b.partition, epoch: b.guard.epoch + 1, fenced: time.Now()}
	n.Service = NewService(Config{Seed: 2}, b.deps)
	if err := n.Start(context.Background(), n.guard); err != nil {
		panic(err)
	}
	return &n
}

func (b *bench) close() {
	b.Close()
	b.net.close()
}

func (b *bench) request(idempotent bool, timeout time.Duration, j job) Request {
	raw, _ := json.Marshal(j)
	return Request{
		Service: service, Customer: b.customer, Key: j.Key, Class: Urgent, Idempotent: idempotent,
		TimeoutMS: timeout.Milliseconds(), Payload: raw,
	}
}

func (b *bench) once(timeout time.Duration, j job) Outcome {
	return b.Submit(context.Background(), b.partition, b.request(false, timeout, j))
}

// async submits a request and returns where its outcome arrives.
func (b *bench) async(r Request) <-chan Outcome {
	c := make(chan Outcome, 1)
	go func() { c <- b.Submit(context.Background(), b.partition, r) }()
	return c
}

func (b *bench) mostRunning() int {
	b.net.mu.Lock()
	defer b.net.mu.Unlock()
	most := 0
	for n := range maps.Values(b.net.most) {
		most = max(most, n)
	}
	return most
}
