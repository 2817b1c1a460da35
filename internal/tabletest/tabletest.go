// Package tabletest has a table client with random faults and a plain ownership guard, for tests.
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
	maxLateCommitDelay = 3 * time.Second       // until a lost commit takes effect
)

// Faulty passes calls to a table, with random delays and faults. It is deterministic for calls in a fixed order.
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

// Wait returns once every late commit has reached the table.
func (f *Faulty) Wait() { f.late.Wait() }

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

// Commit implements table.Client. A fault refuses the commit, loses it, applies it and loses the response, or loses the
// response and applies the commit later.
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

// Guard is an ownership.Guard that always holds.
type Guard struct {
	PartitionName string
	AtEpoch       int64 // epoch
	Version       int64 // of the partition's row
}

var _ ownership.Guard = Guard{}

// Claim claims a partition at an epoch, without conditions.
func Claim(c table.Client, partition string, epoch int64) Guard {
	g := Guard{PartitionName: partition, AtEpoch: epoch}
	res, err := c.Commit(context.Background(), table.Txn{Ops: []table.Op{{Key: g.RowKey(), Value: []byte("{}")}}})
	if err != nil {
		panic(err)
	}
	g.Version = res.Versions[g.RowKey()]
	return g
}

// Partition implements ownership.Guard, as do the methods below.
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
