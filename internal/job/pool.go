package job

import (
	"context"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/commitlog"
	"github.com/greengagewing/greengagewing/internal/defaults"
	"github.com/greengagewing/greengagewing/internal/job/worker"
	"github.com/greengagewing/greengagewing/internal/membership"
	"github.com/greengagewing/greengagewing/internal/plan"
	"github.com/greengagewing/greengagewing/ownership"
)

// Config has the settings of a Pool. Zero values select the defaults.
type Config struct {
	Partitions   int           // partitions per pool; default 1
	Retention    time.Duration // how long ended jobs are kept; default 24 h
	MaxTasks     int           // maximum of tasks that have not ended, per partition; default 1,000,000
	CompactBytes int           // minimum journal size for a compaction; default 2 MB
	ArchiveBytes int           // size at which an archive is full, its last job included; ended jobs that fill none stay in the snapshot; default 45 KB
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.Partitions, 1)
	defaults.Set(&c.Retention, 24*time.Hour)
	defaults.Set(&c.MaxTasks, 1_000_000)
	defaults.Set(&c.CompactBytes, 2<<20)
	defaults.Set(&c.ArchiveBytes, commitlog.MaxRecordBytes/8)
	return c
}

// Deps has the components that a Pool uses.
type Deps struct {
	Journals commitlog.Opener
	Members  membership.Source
	Plans    plan.AllowanceSource
	Workers  worker.Client
	Metrics  tally.Scope
	Log      *zap.Logger
}

// Pool runs the pool partitions that this daemon owns. A pool is a set of workers; it is divided into partitions, each with
// one owner at a time. Pool implements ownership.Handler.
type Pool struct {
	cfg  Config
	deps Deps

	mu    sync.Mutex
	parts map[string]*partition
}

var _ ownership.Handler = (*Pool)(nil)

// New returns a Pool that owns no partitions yet.
func New(cfg Config, deps Deps) *Pool {
	if deps.Metrics == nil {
		deps.Metrics = tally.NoopScope
	}
	if deps.Log == nil {
		deps.Log = zap.NewNop()
	}
	return &Pool{cfg: cfg.withDefaults(), deps: deps, parts: map[string]*partition{}}
}

const partitionPrefix = "pool/"

// PartitionNames returns all partitions of a pool.
func (c Config) PartitionNames(pool string) []string {
	names := make([]string, c.withDefaults().Partitions)
	for n := range names {
		names[n] = partitionPrefix + pool + "/" + strconv.Itoa(n)
	}
	return names
}

// PartitionForCustomer returns the partition that accepts the jobs of a customer.
func (p *Pool) PartitionForCustomer(pool, customer string) string {
	return partitionPrefix + pool + "/" + strconv.Itoa(bucket(customer, p.cfg.Partitions))
}

func bucket(name string, n int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int(h.Sum32() % uint32(n))
}

// parsePartition splits "pool/<pool>/<n>".
func parsePartition(name string) (pool string, n int, err error) {
	rest, ok := strings.CutPrefix(name, partitionPrefix)
	i := strings.LastIndexByte(rest, '/')
	if !ok || i < 1 {
		return "", 0, errors.Errorf("job: %q is not a pool partition", name)
	}
	if n, err = strconv.Atoi(rest[i+1:]); err != nil {
		return "", 0, errors.Errorf("job: %q is not a pool partition", name)
	}
	return rest[:i], n, nil
}

// Start implements ownership.Handler. It replays the journal of a partition and starts to run its jobs.
func (p *Pool) Start(ctx context.Context, g ownership.Guard) error {
	part, err := openPartition(ctx, p.cfg, p.deps, g)
	if err != nil {
		return err
	}
	p.mu.Lock()
	old := p.parts[g.Partition()]
	p.parts[g.Partition()] = part
	p.mu.Unlock()
	if old != nil {
		old.abort()
	}
	part.run()
	return nil
}

// Stop implements ownership.Handler. Before a handover it drains the partition first.
func (p *Pool) Stop(ctx context.Context, name string, handover bool) {
	part, err := p.part(name)
	if err != nil {
		return
	}
	if handover {
		part.drain(ctx)
	}
	part.abort()
	p.mu.Lock()
	if p.parts[name] == part {
		delete(p.parts, name)
	}
	p.mu.Unlock()
}

func (p *Pool) part(name string) (*partition, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if part := p.parts[name]; part != nil {
		return part, nil
	}
	return nil, refuse(CodeNoOwner, retrySoon, "this daemon does not own %s", name)
}

// Submit accepts a job and returns once the job is journaled. The key makes the call idempotent: a repeated call with the
// same key and the same Spec returns the status of the job. Errors are *Refusal.
func (p *Pool) Submit(ctx context.Context, name string, s Spec) (Status, error) {
	if err := Validate(s); err != nil {
		return Status{}, err
	}
	part, err := p.part(name)
	if err != nil {
		return Status{}, err
	}
	return part.submit(ctx, s.normalized())
}

// Status returns the status of a job. Errors are *Refusal.
func (p *Pool) Status(name, customer, key string) (Status, error) {
	part, err := p.part(name)
	if err != nil {
		return Status{}, err
	}
	return part.status(customer, key)
}

// List returns the jobs of a customer, oldest first. Errors are *Refusal.
func (p *Pool) List(name, customer string) ([]Status, error) {
	part, err := p.part(name)
	if err != nil {
		return nil, err
	}
	return part.list(customer), nil
}

// Cancel cancels a job and returns once the cancellation is journaled. Running tasks are stopped afterwards. Errors are
// *Refusal.
func (p *Pool) Cancel(ctx context.Context, name, customer, key string) (Status, error) {
	part, err := p.part(name)
	if err != nil {
		return Status{}, err
	}
	return part.cancelByKey(ctx, customer, key)
}

// State returns the state of the owned partitions, for operators. It can be encoded as JSON.
func (p *Pool) State() any {
	p.mu.Lock()
	parts := make([]*partition, 0, len(p.parts))
	for _, part := range p.parts {
		parts = append(parts, part)
	}
	p.mu.Unlock()
	slices.SortFunc(parts, func(a, b *partition) int { return strings.Compare(a.name, b.name) })
	out := make([]PartitionState, 0, len(parts))
	for _, part := range parts {
		out = append(out, part.currentState())
	}
	return out
}
