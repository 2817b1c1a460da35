// Package tabletest provides a table client with random faults and a simple ownership guard, for tests.
package tabletest

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/ownership"
	"github.com/greengagewing/greengagewing/table"
)

const (
	maxCallDelay       = 30 * time.Millisecond // of each call
	maxLateCommitDelay = 3 * time.Second       // until a commit whose response was lost takes effect
)

// Faulty forwards calls to Table with random delays and faults. For calls in a fixed order it is deterministic.
type Faulty struct {
	Table table.Client

	mu   sync.Mutex
	rng  *rand.Rand
	rate float64
	late sync.WaitGroup
}

// NewFaulty returns a client whose calls fail with the given probability.
func NewFaulty(c table.Client, seed uint64, rate float64) *Faulty {
	return &Faulty{Table: c, rng: rand.New(rand.NewPCG(seed, seed)), rate: rate}
}

// SetRate changes the probability of a fault.
func (f *Faulty) SetRate(rate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rate = rate
}

// Wait waits until all late commits have taken effect.
func (f *Faulty) Wait() { f.late.Wait() }

// drawFault draws the random values for one call: whether it fails, the kind of the fault, the delay of the call, and the
// delay after which a late commit takes effect.
func (f *Faulty) drawFault() (fails bool, kind int, delay, late time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delay = time.Duration(f.rng.Int64N(int64(maxCallDelay)))
	late = time.Duration(f.rng.Int64N(int64(maxLateCommitDelay)))
	return f.rng.Float64() < f.rate, f.rng.IntN(4), delay, late
}

// Get implements table.Client.
func (f *Faulty) Get(ctx context.Context, key string) (table.Row, error) {
	fails, _, delay, _ := f.drawFault()
	time.Sleep(delay)
	if fails {
		return table.Row{}, table.ErrUnavailable
	}
	return f.Table.Get(ctx, key)
}

// Scan implements table.Client.
func (f *Faulty) Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	fails, _, delay, _ := f.drawFault()
	time.Sleep(delay)
	if fails {
		return nil, table.ErrUnavailable
	}
	return f.Table.Scan(ctx, prefix, after, limit)
}

// Commit implements table.Client. There are four kinds of faults: the commit is refused, the request is lost, the commit
// takes effect but the response is lost, or the response is lost and the commit takes effect later.
func (f *Faulty) Commit(ctx context.Context, txn table.Txn) (table.Result, error) {
	fails, kind, delay, late := f.drawFault()
	time.Sleep(delay)
	if !fails {
		return f.Table.Commit(ctx, txn)
	}
	switch kind {
	case 0:
		return table.Result{}, table.ErrUnavailable
	case 1:
	case 2:
		_, _ = f.Table.Commit(ctx, txn)
	case 3:
		f.late.Go(func() {
			time.Sleep(late)
			_, _ = f.Table.Commit(context.Background(), txn)
		})
	}
	return table.Result{}, errors.Wrap(table.ErrUnknownOutcome, "response lost")
}

// Guard is an ownership.Guard that is never fenced.
type Guard struct {
	PartitionName string
	AtEpoch       int64
	Version       int64 // version of the partition's row at the claim
}

var _ ownership.Guard = Guard{}

// Claim writes the partition's row without conditions and returns the guard for the epoch.
func Claim(c table.Client, partition string, epoch int64) Guard {
	g := Guard{PartitionName: partition, AtEpoch: epoch}
	res, err := c.Commit(context.Background(), table.Txn{Ops: []table.Op{{Key: g.RowKey(), Value: []byte("{}")}}})
	if err != nil {
		panic(err)
	}
	g.Version = res.Versions[g.RowKey()]
	return g
}

// Partition returns the partition's name. It and the methods below implement ownership.Guard.
func (g Guard) Partition() string { return g.PartitionName }

// Epoch returns the epoch.
func (g Guard) Epoch() int64 { return g.AtEpoch }

// RowKey returns the key of the partition's row.
func (g Guard) RowKey() string { return "partition/" + g.PartitionName }

// RowVersion returns the row's version at the claim.
func (g Guard) RowVersion() int64 { return g.Version }

// FencedAt returns the zero time.
func (g Guard) FencedAt() time.Time { return time.Time{} }

// Check returns nil.
func (g Guard) Check() error { return nil }
