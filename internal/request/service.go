package request

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/commitlog"
	"github.com/greengagewing/greengagewing/idempotency"
	"github.com/greengagewing/greengagewing/internal/membership"
	"github.com/greengagewing/greengagewing/internal/plan"
	"github.com/greengagewing/greengagewing/lanes"
	"github.com/greengagewing/greengagewing/ownership"
)

// ErrBadPartition is returned by Service.Start if the partition's name is not a name of a request partition, or if the
// partition is already started.
var ErrBadPartition = errors.New("request: partition name is invalid or partition is already started")

// ClaimTable is the at-most-once table of one partition. Before a non-idempotent request is sent, its key is claimed
// there, and its outcome is recorded under the key.
type ClaimTable interface {
	idempotency.Beginner
	// Compaction returns a snapshot that restores the table, including entries whose Append has not returned yet, and a
	// function that must be called with the result of the compaction.
	Compaction() (commitlog.Compaction, func(error))
	// OpenClaims returns, per customer, the number of claims that a previous owner left without an outcome.
	OpenClaims() map[string]int
}

// RestoreClaims restores the at-most-once table of a partition from the records of its journal. The outcome of an entry
// that was claimed but not finished becomes unknown.
type RestoreClaims func(log idempotency.Log, records [][]byte) (ClaimTable, error)

// Lender borrows idle slots from other daemons.
type Lender interface {
	// IdleSlots returns the number of idle slots that other daemons last reported for the service. It must return at once
	// and must not call the Service.
	IdleSlots(service string) int
	// Borrow has another daemon execute one attempt. It returns ErrNotSent if the loan has certainly not reached any
	// daemon; after any other error the attempt may have run.
	Borrow(ctx context.Context, l Loan) (LoanReply, error)
}

// Deps holds the components that a Service uses.
type Deps struct {
	Journals      commitlog.Opener
	RestoreClaims RestoreClaims
	Members       membership.Source
	Plans         plan.AllowanceSource
	Lender        Lender // nil: the service never borrows slots
	Scope         tally.Scope
	Log           *zap.Logger
	// Dial connects to minions. If it is nil, they are dialed over TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Config holds the settings of a Service. Zero values are replaced by defaults.
type Config struct {
	Queue lanes.Config // of each partition
	Seed  uint64       // for the random choice of minions; zero: a random seed
}

// Service serves the request partitions that this daemon owns. It implements ownership.Handler.
type Service struct {
	cfg  Config
	deps Deps
	m    metrics

	mu        sync.Mutex
	parts     map[string]*partition
	seenLoans map[string]time.Time // when each loan was received, by attempt id; see loanRetention
	wg        sync.WaitGroup       // goroutines of the partitions
}

// NewService returns a service that owns no partition yet.
func NewService(cfg Config, d Deps) *Service {
	if d.Scope == nil {
		d.Scope = tally.NoopScope
	}
	if d.Log == nil {
		d.Log = zap.NewNop()
	}
	if d.Dial == nil {
		d.Dial = new(net.Dialer).DialContext
	}
	if d.Lender == nil {
		d.Lender = noLender{}
	}
	return &Service{
		cfg: cfg, deps: d, m: newMetrics(d.Scope),
		parts: map[string]*partition{}, seenLoans: map[string]time.Time{},
	}
}

// Start opens the partition's journal, restores its claims and starts to serve requests.
func (s *Service) Start(ctx context.Context, g ownership.Guard) error {
	service, ok := serviceOf(g.Partition())
	if !ok {
		return errors.Wrap(ErrBadPartition, g.Partition())
	}
	log, records, err := s.deps.Journals.Open(ctx, g)
	if err != nil {
		return errors.Wrap(err, "open journal")
	}
	journal := newPausableLog(log)
	claims, err := s.deps.RestoreClaims(journal, records)
	if err != nil {
		log.Close()
		return errors.Wrap(err, "restore claims")
	}
	p := newPartition(s, service, g, journal, claims)
	s.mu.Lock()
	if s.parts[p.name] != nil {
		s.mu.Unlock()
		log.Close()
		return errors.Wrap(ErrBadPartition, g.Partition())
	}
	s.parts[p.name] = p
	s.mu.Unlock()
	p.start()
	s.deps.Log.Info("partition started", zap.String("partition", p.name), zap.Int64("epoch", g.Epoch()))
	return nil
}

// serviceOf returns the service in a partition's name, or false if the name is invalid.
func serviceOf(partition string) (string, bool) {
	rest, ok := strings.CutPrefix(partition, partitionPrefix)
	service, n, ok2 := strings.Cut(rest, "/")
	return service, ok && ok2 && service != "" && len(n) == 1 && n[0] >= '0' && n[0] < '0'+PartitionsPerService
}

// Stop stops serving a partition and answers its queued requests at once with the result NotRun. With handover, it
// returns when no attempt is in flight and all outcomes are durable; when ctx ends, it cancels the attempts that are
// still running. Without handover, the ownership is already lost: no further attempt is sent, but the callers may still
// receive the answers to attempts that were sent before.
func (s *Service) Stop(ctx context.Context, partition string, handover bool) {
	s.mu.Lock()
	p := s.parts[partition]
	if p != nil && !handover {
		delete(s.parts, partition)
	}
	s.mu.Unlock()
	if p == nil {
		return
	}
	if handover {
		p.drain(ctx)
		s.mu.Lock()
		delete(s.parts, partition)
		s.mu.Unlock()
	} else {
		p.abandon()
	}
	s.deps.Log.Info("partition stopped", zap.String("partition", partition), zap.Bool("handover", handover))
}

// Close stops all partitions as after a loss of ownership, cancels the attempts in flight and waits until they have
// ended.
func (s *Service) Close() {
	s.mu.Lock()
	ps := s.parts
	s.parts = map[string]*partition{}
	s.mu.Unlock()
	for _, p := range ps {
		p.abandon()
		p.cancel()
	}
	s.wg.Wait()
}

// Submit serves a request in the given partition and returns its outcome. When ctx ends, only the wait ends: the
// request continues, and its outcome is recorded.
func (s *Service) Submit(ctx context.Context, partition string, r Request) Outcome {
	o := s.submit(ctx, partition, r)
	o.Key = r.Key
	s.m.countOutcome(o)
	return o
}

func (s *Service) submit(ctx context.Context, partition string, r Request) Outcome {
	if e := validate(r); e != nil {
		return e.Outcome()
	}
	p := s.partition(partition)
	if p == nil || PartitionForCustomer(r.Service, r.Customer) != partition {
		return NotRunOutcome(CodeNoOwner, "this daemon does not own the partition", ownerRetryAfter)
	}
	c, o := p.admit(r)
	if c == nil {
		return o
	}
	return p.wait(ctx, c, r.Timeout())
}

// Lookup returns the recorded outcome of the request with the given key. Without one it returns an outcome with the
// result Unknown and CodeInProgress, CodeNotFound or CodeNoOwner: a missing record does not prove that the request did
// not run.
func (s *Service) Lookup(partition, customer, key string) Outcome {
	p := s.partition(partition)
	if p == nil {
		o := UnknownOutcome(CodeNoOwner, "this daemon does not own the partition")
		o.Key, o.RetryAfterMS = key, ownerRetryAfter.Milliseconds()
		return o
	}
	o := p.lookup(idempotency.Key{Customer: customer, Key: key})
	o.Key = key
	return o
}

// IdleSlots returns, per service, the number of idle slots that other daemons may borrow.
func (s *Service) IdleSlots() map[string]int {
	idle := map[string]int{}
	for _, p := range s.partitions() {
		idle[p.service] += p.idleSlots()
	}
	return idle
}

// State returns the state of all partitions for operators. It can be encoded as JSON.
func (s *Service) State() any {
	states := []PartitionState{}
	for _, p := range s.partitions() {
		states = append(states, p.state())
	}
	return states
}

// partition returns the partition with the given name, or nil if this daemon does not serve it.
func (s *Service) partition(name string) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.parts[name]
}

// partitions returns the partitions sorted by name.
func (s *Service) partitions() []*partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	ps := make([]*partition, 0, len(s.parts))
	for _, p := range s.parts {
		ps = append(ps, p)
	}
	sortPartitions(ps)
	return ps
}
