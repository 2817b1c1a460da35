package rowstore

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

var testKey = Key{Table: "t", Partition: "p", Name: "k"}

// slowStore counts commits and answers each after a delay. A commit takes effect even if its caller stops waiting.
type slowStore struct {
	*Memory
	mu      sync.Mutex
	delay   time.Duration
	commits int
}

func (s *slowStore) Commit(ctx context.Context, txn Txn) (int64, error) {
	s.mu.Lock()
	s.commits++
	delay := s.delay
	s.mu.Unlock()
	version, err := s.Memory.Commit(ctx, txn)
	select {
	case <-time.After(delay):
		return version, err
	case <-ctx.Done():
		return 0, ErrUnknownOutcome
	}
}

// Guards against retrying commits while a slow store still processes them, which multiplies its load. On a store that answers
// 40 times slower than usual, only the first few commits may be sent twice.
func TestAdaptiveTimeoutFollowsSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := &slowStore{Memory: NewMemory(), delay: 10 * time.Millisecond}
		a := NewAdaptiveStore(slow, nil)
		commit := func(i int) {
			txn := Txn{Puts: []Put{{Key: Key{Table: "t", Partition: "p", Name: fmt.Sprint(i)}}}}
			for errors.Is(errorOf(a.Commit(context.Background(), txn)), ErrUnknownOutcome) {
			}
		}
		for i := range 20 {
			commit(i)
		}
		slow.delay, slow.commits = 400*time.Millisecond, 0
		for i := range 50 {
			commit(i)
		}
		if slow.commits > 53 {
			t.Errorf("%d commits were sent for 50 transactions, want at most 53", slow.commits)
		}
		slow.delay = 10 * time.Millisecond
		for i := range 20 {
			commit(i)
		}
		if commitTimeout := a.commitTimeout(0); commitTimeout > 2*minCommitTimeout {
			t.Errorf("the commit timeout is still %s after the store is fast again", commitTimeout)
		}
	})
}

func errorOf(_ int64, err error) error { return err }

// recorder is a Handler that keeps the newest value of each row and counts the snapshots.
type recorder struct {
	mu        sync.Mutex
	rows      map[string]string
	snapshots int
}

func (r *recorder) Snapshot(rows []Row) {
	r.mu.Lock()
	r.rows = map[string]string{}
	r.snapshots++
	r.mu.Unlock()
	r.Apply(rows)
}

func (r *recorder) Apply(rows []Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		if row.Deleted {
			delete(r.rows, row.Name)
			continue
		}
		r.rows[row.Name] = string(row.Value)
	}
}

func (r *recorder) get(name string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rows[name]
}

// Guards against a follower that misses changes made while the store refuses calls, or when the store has dropped its history
// of changes.
func TestFollowerDeliversAllChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewMemory()
		var refuse atomic.Bool
		store.InjectError = func(string) error {
			if refuse.Load() {
				return ErrUnavailable
			}
			return nil
		}
		write := func(name, value string) {
			txn := Txn{Puts: []Put{{Key: Key{Table: "t", Partition: "p", Name: name}, Value: []byte(value)}}}
			if _, err := store.Commit(context.Background(), txn); err != nil {
				t.Fatal(err)
			}
		}
		write("before", "1")
		rec := &recorder{}
		f := &Follower{Store: store, Table: "t", Partitions: []string{"p"}, Handler: rec, Log: zap.NewNop()}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { f.Run(ctx); close(done) }()
		time.Sleep(time.Second)
		write("live", "2")
		synctest.Wait()
		if rec.get("before") != "1" || rec.get("live") != "2" {
			t.Fatalf("follower has %v", rec.rows)
		}
		refuse.Store(true)
		time.Sleep(3 * time.Second)
		refuse.Store(false)
		write("live", "3")
		store.DropHistory()
		time.Sleep(2 * time.Second)
		if rec.get("live") != "3" || rec.snapshots != 2 {
			t.Errorf("after the outage and the loss of history, the follower has %v and took %d snapshots", rec.rows, rec.snapshots)
		}
		cancel()
		<-done
	})
}

// Guards against an in-memory store that accepts transactions which the platform's store would reject.
func TestMemoryRejectsUnmetConditions(t *testing.T) {
	store := NewMemory()
	ctx := context.Background()
	version, err := store.Commit(ctx, Txn{Conditions: []Condition{{Key: testKey}}, Puts: []Put{{Key: testKey, Value: []byte("1")}}})
	if err != nil {
		t.Fatal(err)
	}
	_, err = store.Commit(ctx, Txn{Conditions: []Condition{{Key: testKey}}, Puts: []Put{{Key: testKey, Value: []byte("2")}}})
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("inserting an existing row returned %v", err)
	}
	if row, ok := conflict.Find(testKey); !ok || row.Version != version || string(row.Value) != "1" {
		t.Errorf("the conflict contains the row %+v", row)
	}
}
