package election

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
)

// unreliableStore refuses commits, loses their answers, or performs them up to 6 s late if their conditions hold then.
type unreliableStore struct {
	*rowstore.Memory
	mu     sync.Mutex
	random *rand.Rand
}

func (s *unreliableStore) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *unreliableStore) Commit(ctx context.Context, txn rowstore.Txn) (int64, error) {
	time.Sleep(time.Duration(5+s.intN(10)) * time.Millisecond)
	switch s.intN(10) {
	case 0:
		return 0, rowstore.ErrUnavailable
	case 1:
		if _, err := s.Memory.Commit(ctx, txn); err != nil {
			return 0, err
		}
		return 0, rowstore.ErrUnknownOutcome
	case 2, 3:
		time.AfterFunc(time.Duration(s.intN(6000))*time.Millisecond, func() { _, _ = s.Memory.Commit(context.Background(), txn) })
		return 0, rowstore.ErrUnknownOutcome
	}
	return s.Memory.Commit(ctx, txn)
}

// ownerRow returns what a read of the owner row shows.
func (s *unreliableStore) ownerRow() Owner {
	var o Owner
	if row, ok, err := rowstore.ReadRow(context.Background(), s.Memory, ownerKey); err == nil && ok {
		_ = json.Unmarshal(row.Value, &o)
	}
	return o
}

// Guards against a successor that counts leases from the end of another owner than the one that it has replaced: of several hosts that
// claim at once while the store loses answers and performs claims late, one gets each epoch, it has replaced the owner that it has named,
// and the replaced one is valid for LeaseDuration at most.
func TestConcurrentClaimsOnAnUnreliableStore(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			store := &unreliableStore{Memory: rowstore.NewMemory(), random: rand.New(rand.NewPCG(seed, 12))}
			began := time.Now()
			elapsed := func() time.Duration { return time.Hour + time.Since(began) }
			var mu sync.Mutex
			owners := map[int64]*Ownership{} // by epoch
			seenAt := map[int64]time.Time{}  // when a read first showed the epoch
			var hosts sync.WaitGroup
			for h := range 3 {
				hosts.Go(func() {
					self := Identity{Host: fmt.Sprint(h), BootID: fmt.Sprint(h)}
					for time.Since(began) < 20*time.Second {
						from := store.ownerRow().Epoch
						ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
						o, err := Claim(ctx, store, self, Predecessor{Epoch: from}, elapsed)
						cancel()
						if err != nil {
							time.Sleep(time.Duration(store.intN(300)) * time.Millisecond)
							continue
						}
						if row := store.ownerRow(); o.Epoch() != from+1 || row.Epoch == o.Epoch() && row.BootID != self.BootID {
							t.Errorf("seed %d: host %d has replaced epoch %d with %d, the row has %+v", seed, h, from, o.Epoch(), row)
						}
						mu.Lock()
						if owners[o.Epoch()] != nil {
							t.Errorf("seed %d: two hosts have epoch %d", seed, o.Epoch())
						}
						owners[o.Epoch()] = o
						mu.Unlock()
						for end := time.Now().Add(time.Duration(store.intN(2000)) * time.Millisecond); time.Now().Before(end); time.Sleep(15 * time.Millisecond) {
							ctx, cancel := context.WithTimeout(t.Context(), time.Second)
							_ = o.Commit(ctx, put("x", strconv.FormatInt(o.Epoch(), 10)), nil)
							cancel()
						}
					}
				})
			}
			written := int64(0)
			for time.Since(began) < 30*time.Second {
				epoch := store.ownerRow().Epoch
				if seenAt[epoch].IsZero() {
					seenAt[epoch] = time.Now()
				}
				x, _ := strconv.ParseInt(value(store, "x"), 10, 64)
				if x < written {
					t.Errorf("seed %d: epoch %d has written after epoch %d", seed, x, written)
				}
				written = x
				mu.Lock()
				for e, o := range owners {
					for later, at := range seenAt {
						if later > e && time.Since(at) >= LeaseDuration && o.LeaseValid() {
							t.Errorf("seed %d: epoch %d is valid %v after the claim of epoch %d", seed, e, time.Since(at), later)
						}
					}
				}
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
			hosts.Wait()
			if len(owners) < 5 {
				t.Errorf("seed %d: %d owners, want some", seed, len(owners))
			}
		})
	}
}
