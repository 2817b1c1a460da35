package frontend

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/cluster/coordinator"
	"github.com/greengagewing/greengagewing/internal/cluster/election"
	"github.com/greengagewing/greengagewing/internal/cluster/forecast"
	"github.com/greengagewing/greengagewing/internal/cluster/peers"
	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// serialStore processes the commits of a partition one after the other, each taking latency, and refuses a commit if the
// partition has more than a second of commits queued.
type serialStore struct {
	*rowstore.Memory
	latency time.Duration

	mu     sync.Mutex
	idleAt map[string]time.Time // by partition: when all queued commits are done
}

func (s *serialStore) Commit(ctx context.Context, txn rowstore.Txn) (int64, error) {
	partition := txn.Puts[0].Partition
	s.mu.Lock()
	done := s.idleAt[partition]
	if now := time.Now(); done.Before(now) {
		done = now
	}
	if time.Until(done) > time.Second {
		s.mu.Unlock()
		return 0, rowstore.ErrUnavailable
	}
	done = done.Add(s.latency)
	s.idleAt[partition] = done
	s.mu.Unlock()
	select {
	case <-time.After(time.Until(done)):
		return s.Memory.Commit(ctx, txn)
	case <-ctx.Done():
		go func() { // the commit takes effect although its caller has left
			time.Sleep(time.Until(done))
			_, _ = s.Memory.Commit(context.Background(), txn)
		}()
		return 0, rowstore.ErrUnknownOutcome
	}
}

// Guards against dividing the inbox into too few partitions: a partition processes its commits one by one, so jobs would
// miss their callers' deadline. The load is 250 jobs a second on 40 hosts, a burst for 350 workers, while the store answers 40
// times slower than usual.
func TestBurstWhileTheStoreIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, perSecond, seconds = 40, 250, 6
		store := &serialStore{Memory: rowstore.NewMemory(), latency: 200 * time.Millisecond, idleAt: map[string]time.Time{}}
		roster := peers.NewRoster(zap.NewNop())
		var frontends []*JobService
		for range hosts {
			frontends = append(frontends, New(Deps{Store: rowstore.NewAdaptiveStore(store, nil), Roster: roster, Watch: election.NewWatch(zap.NewNop()),
				Coordinator: coordinator.New(coordinator.Config{}, coordinator.Deps{}), Log: zap.NewNop(), Metrics: tally.NoopScope}))
		}
		random := rand.New(rand.NewPCG(1, 1))
		var accepted atomic.Int64
		var calls sync.WaitGroup
		for n := range perSecond * seconds {
			time.Sleep(time.Second / perSecond)
			f := frontends[random.IntN(hosts)]
			spec := &workload.Spec{ID: fmt.Sprintf("%016x", random.Uint64()+uint64(n)), Steps: []workload.Step{{Count: 1}}}
			calls.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				if f.Submit(ctx, spec, workload.Access{}) == nil {
					accepted.Add(1)
				}
			})
		}
		calls.Wait()
		if share := float64(accepted.Load()) / (perSecond * seconds); share < 0.95 {
			t.Errorf("only %.2f of the jobs were accepted within their deadline, want at least 0.95", share)
		}
		time.Sleep(10 * time.Second) // let commits whose callers have left finish
	})
}

// slowReads is a store whose calls all take 200 ms.
type slowReads struct{ *rowstore.Memory }

func (s slowReads) Read(ctx context.Context, r rowstore.Range) (rowstore.Page, error) {
	time.Sleep(200 * time.Millisecond)
	return s.Memory.Read(ctx, r)
}

func (s slowReads) Commit(ctx context.Context, txn rowstore.Txn) (int64, error) {
	time.Sleep(200 * time.Millisecond)
	return s.Memory.Commit(ctx, txn)
}

// Guards against lookups of jobs that the owner does not know yet, and cancellations, that wait for several reads of a slow store one after
// the other.
func TestReadsOverlapWhileTheStoreIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(Deps{Store: rowstore.NewAdaptiveStore(slowReads{rowstore.NewMemory()}, nil), Roster: peers.NewRoster(zap.NewNop()),
			Watch: election.NewWatch(zap.NewNop()), Coordinator: coordinator.New(coordinator.Config{}, coordinator.Deps{}), Log: zap.NewNop(), Metrics: tally.NoopScope})
		for range 3 {
			if err := f.Submit(t.Context(), &workload.Spec{ID: testJob, Steps: []workload.Step{{Count: 1}}}, workload.Access{}); err != nil {
				t.Fatal(err)
			}
		}
		began := time.Now()
		if state, err := f.Lookup(t.Context(), testJob, workload.Access{}); err != nil || state != workload.Queued {
			t.Errorf("state %q, %v", state, err)
		}
		if took := time.Since(began); took > 250*time.Millisecond {
			t.Errorf("the lookup took %s, want one read of 200 ms", took)
		}
		began = time.Now()
		if err := f.Cancel(t.Context(), testJob, workload.Access{}); err != nil {
			t.Error(err)
		}
		if took := time.Since(began); took > 450*time.Millisecond {
			t.Errorf("the cancellation took %s, want one read and one commit", took)
		}
		time.Sleep(2 * time.Second) // let probes end
	})
}

// Guards against the refusal of a job of which an earlier attempt is still on its way to a slow store.
func TestNothingIsRefusedWhileTheStoreIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := New(Deps{Store: rowstore.NewAdaptiveStore(slowReads{rowstore.NewMemory()}, nil), Roster: peers.NewRoster(zap.NewNop()),
			Watch: election.NewWatch(zap.NewNop()), Coordinator: coordinator.New(coordinator.Config{}, coordinator.Deps{}), Log: zap.NewNop(), Metrics: tally.NoopScope})
		time.Sleep(time.Millisecond)
		f.admission.record(&forecast.Digest{Queues: []forecast.Queue{{Name: "q", InTimeMS: 60_000, LateMS: 60_000, Scale: 1}}}, f.admission.now())
		spec := func(id string) *workload.Spec {
			return &workload.Spec{ID: id, Queue: queues.Queue{Name: "q", TargetLatency: time.Second}, Steps: []workload.Step{{Count: 1, Resources: workload.Resources{CPUMilli: 100}}}}
		}
		var overloaded *OverloadedError
		if err := f.Submit(t.Context(), spec("0000000000000001"), workload.Access{}); !errors.As(err, &overloaded) {
			t.Errorf("a job before the first slow answer: %v, want a refusal", err)
		}
		if err := f.Submit(t.Context(), spec("0000000000000002"), workload.Access{}); err != nil {
			t.Errorf("a job while the store is slow: %v", err)
		}
		time.Sleep(2 * time.Second) // let probes end
	})
}
