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

// ErrBadPartition says that a partition's name is not one of this package's or that it is started already.
var ErrBadPartition = errors.New("request: partition cannot be started")

// Claims is the at-most-once table of one partition.
type Claims interface {
	idempotency.Beginner
	// Compaction returns what restores the table, including entries whose Append has not returned yet, and a function that
	// must be called with the compaction's outcome.
	Compaction() (commitlog.Compaction, func(error))
	// Open returns the claims per customer that a predecessor left open.
	Open() map[string]int
}

// RestoreClaims restores the at-most-once table of a partition from its journal's records. Entries that are claimed but not
// finished become unknown.
type RestoreClaims func(log idempotency.Log, records [][]byte) (Claims, error)

// Lender reaches other daemons that have idle slots.
type Lender interface {
	// Idle returns the number of idle slots that other daemons last reported for the service. It returns at once and
	// does not call the Service.
	Idle(service string) int
	// Borrow lets another daemon execute one attempt. It returns ErrNotSent if the loan certainly reached no daemon;
	// after any other error the attempt may have run.
	Borrow(ctx context.Context, l Loan) (LoanReply, error)
}

// Deps are the components that a Service uses.
type Deps struct {
	Journal commitlog.Opener
	Claims  RestoreClaims
	Members membership.Source
	Plans   plan.Lookup
	Lender  Lender // nil: never borrows
	Scope   tally.Scope
	Log     *zap.Logger
	// Dial connects to minions; nil: TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Config holds the sizes of a Service. Zero values are replaced by defaults.
type Config struct {
	Queue lanes.Config // per partition
	Seed  uint64       // of the random choice of minions; zero: random
}

// Service serves the request partitions that this daemon owns. It implements ownership.Handler.
type Service struct {
	cfg  Config
	deps Deps
	m    metrics

	mu        sync.Mutex
	parts     map[string]*partition
	seenLoans map[string]time.Time // attempt ids of loans taken, until their retention ends
	wg        sync.WaitGroup       // partitions with running goroutines
}

// NewService returns a service without partitions.
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

// Start opens the partition's journal, restores its claims and begins to serve it.
func (s *Service) Start(ctx context.Context, g ownership.Guard) error {
	service, ok := serviceOf(g.Partition())
	if !ok {
		return errors.Wrap(ErrBadPartition, g.Partition())
	}
	log, records, err := s.deps.Journal.Open(ctx, g)
	if err != nil {
		return errors.Wrap(err, "open journal")
	}
	journal := newPausableLog(log)
	claims, err := s.deps.Claims(journal, records)
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

func serviceOf(partition string) (string, bool) {
	rest, ok := strings.CutPrefix(partition, partitionPrefix)
	service, n, ok2 := strings.Cut(rest, "/")
	return service, ok && ok2 && service != "" && len(n) == 1 && n[0] >= '0' && n[0] < '0'+PartitionsPerService
}

// Stop ends the service of a partition. Queued requests are answered not_run at once. With handover it returns once
// nothing is in flight and all outcomes are durable, or when ctx ends; attempts that still run then are cut. Without
// handover nothing more is sent, and attempts that were sent before may still deliver their answers to callers.
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

// Close ends all partitions as after a loss of ownership, cuts what is in flight, and waits for it.
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

// Submit serves a request on the owner of its partition and returns its outcome. The end of ctx ends the wait only: the
// request runs on, and its outcome is recorded.
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
	if p == nil || PartitionOf(r.Service, r.Customer) != partition {
		return Refuse(CodeNoOwner, "this daemon does not own the partition", ownerRetryAfter)
	}
	c, o := p.admit(r)
	if c == nil {
		return o
	}
	return p.wait(ctx, c, r.Timeout())
}

// Lookup returns what is known of a keyed request: its outcome, in_progress, or not_found. The absence of a record is no
// proof that the request did not run, so it is reported as unknown.
func (s *Service) Lookup(partition, customer, key string) Outcome {
	p := s.partition(partition)
	if p == nil {
		o := Undecided(CodeNoOwner, "this daemon does not own the partition")
		o.Key, o.RetryAfterMS = key, ownerRetryAfter.Milliseconds()
		return o
	}
	o := p.lookup(idempotency.Key{Customer: customer, Key: key})
	o.Key = key
	return o
}

// IdleSlots returns the idle slots per service that other daemons may borrow.
func (s *Service) IdleSlots() map[string]int {
	idle := map[string]int{}
	for _, p := range s.partitions() {
		idle[p.service] += p.idleSlots()
	}
	return idle
}

// State returns a dump for operators that can be encoded as JSON.
func (s *Service) State() any {
	states := []PartitionState{}
	for _, p := range s.partitions() {
		states = append(states, p.state())
	}
	return states
}

func (s *Service) partition(name string) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.parts[name]
}

// partitions returns the partitions in the order of their names.
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
