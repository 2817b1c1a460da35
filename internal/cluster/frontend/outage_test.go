package frontend

import (
	"context"
	"fmt"
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
	"github.com/greengagewing/greengagewing/internal/cluster/peers"
	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// silentStore is a store that leaves calls without an answer while it is silent.
type silentStore struct {
	*rowstore.Memory
	silent atomic.Bool
}

func (s *silentStore) Commit(ctx context.Context, txn rowstore.Txn) (int64, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return 0, rowstore.ErrUnknownOutcome
	}
	return s.Memory.Commit(ctx, txn)
}

func (s *silentStore) Read(ctx context.Context, r rowstore.Range) (rowstore.Page, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return rowstore.Page{}, rowstore.ErrUnavailable
	}
	return s.Memory.Read(ctx, r)
}

func newOutageService(store rowstore.Store) *JobService {
	return New(Deps{Store: rowstore.NewAdaptiveStore(store, nil), Roster: peers.NewRoster(zap.NewNop()), Log: zap.NewNop(),
		Metrics: tally.NoopScope, Watch: election.NewWatch(zap.NewNop()), Coordinator: coordinator.New(coordinator.Config{}, coordinator.Deps{})})
}

// outageCaller submits a job as callers do: it comes back after a refusal while it has time and attempts left.
type outageCaller struct {
	id       string
	deadline time.Time
	outcome  error
	slowest  time.Duration // longest time until a refusal
	answered time.Time     // when the last attempt was answered
}

func (c *outageCaller) run(f *JobService) {
	const attempts = 5
	for range attempts {
		ctx, cancel := context.WithDeadline(context.Background(), c.deadline)
		began := time.Now()
		c.outcome = f.Submit(ctx, &workload.Spec{ID: c.id, Steps: []workload.Step{{Count: 1}}}, workload.Access{})
		cancel()
		c.answered = time.Now()
		left := time.Until(c.deadline)
		if !errors.Is(c.outcome, ErrNotAccepted) || left <= 0 {
			return
		}
		c.slowest = max(c.slowest, time.Since(began))
		time.Sleep(min(time.Second, left*2/5))
	}
}

// Guards against callers that are not served although the store returns before their last retry, and against refusals that come
// late: while the store is known to be silent, each call is refused at once. The load is 40 jobs a second with deadlines of 3 s
// and four retries, and a store that answers nobody for 4.2 s.
func TestCallersDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const outage, patience, detection = 4200 * time.Millisecond, 3 * time.Second, 400 * time.Millisecond
		store := &silentStore{Memory: rowstore.NewMemory()}
		f := newOutageService(store)
		began := time.Now()
		time.AfterFunc(time.Second, func() { store.silent.Store(true) })
		recovery := began.Add(time.Second + outage)
		time.AfterFunc(time.Second+outage, func() { store.silent.Store(false) })
		var callers []*outageCaller
		var wg sync.WaitGroup
		for n := range 240 {
			c := &outageCaller{id: fmt.Sprintf("%016x", n), deadline: time.Now().Add(patience)}
			callers = append(callers, c)
			wg.Go(func() { c.run(f) })
			time.Sleep(25 * time.Millisecond)
		}
		wg.Wait()
		saveable, served, unknown := 0, 0, 0
		firstAccepted := time.Hour // after the outage
		for _, c := range callers {
			arrived := c.deadline.Add(-patience)
			if arrived.Sub(began) > time.Second+detection && c.slowest > 20*time.Millisecond {
				t.Errorf("job %s was refused after %s, want at once", c.id, c.slowest)
			}
			if errors.Is(c.outcome, ErrNotAccepted) && store.hasJob(c.id) {
				t.Errorf("job %s was refused, but it is stored", c.id)
			}
			if errors.Is(c.outcome, ErrUnknown) {
				unknown++
			}
			if after := c.answered.Sub(recovery); c.outcome == nil && after > 0 {
				firstAccepted = min(firstAccepted, after)
			}
			if c.deadline.Sub(recovery) > 400*time.Millisecond {
				saveable++
				if c.outcome == nil {
					served++
				}
			}
		}
		if served < saveable*95/100 {
			t.Errorf("%d of %d callers were served whose deadlines were 400 ms or more after the outage", served, saveable)
		}
		if firstAccepted > 300*time.Millisecond {
			t.Errorf("the first call after the outage was accepted after %s, want at most 300 ms", firstAccepted)
		}
		if limit := int(detection / (25 * time.Millisecond)); unknown > limit {
			t.Errorf("%d callers do not know whether their job is accepted, want only those of the first %s: %d", unknown, detection, limit)
		}
		time.Sleep(2 * probeTimeout) // let probes end
	})
}

// hasJob reports whether the job is stored in one of its partitions.
func (s *silentStore) hasJob(id string) bool {
	for alternative := range records.AlternativePartitions {
		if _, ok, _ := rowstore.ReadRow(context.Background(), s.Memory, records.JobKey(id, alternative)); ok {
			return true
		}
	}
	return false
}

// Guards against the answer "not accepted" for a job that a peer may have stored, when this host's own attempt, during which the store was
// silent, is refused in the end.
func TestUnknownOutcomeAtPeerIsNotARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &silentStore{Memory: rowstore.NewMemory()}
		store.silent.Store(true)
		f := newOutageService(store)
		f.Roster.Apply([]rowstore.Row{{Key: rowstore.Key{Table: records.Hosts, Name: "h2"}, Version: 1,
			Value: []byte(`{"host":"h2","addr":"10.0.0.2:1","boot":"b2"}`)}})
		if len(f.Roster.Hosts()) != 1 {
			t.Fatal("the peer is not known")
		}
		probeCtx, endProbe := context.WithCancel(t.Context())
		go func() { _, _ = f.Store.Read(probeCtx, rowstore.Range{}) }() // keeps a call in progress
		outcome, _ := f.storeLocal(change{id: testJob,
			storeLocal: func(int) (peers.StoreOutcome, error) {
				time.Sleep(2 * silenceLimit)
				return peers.NotStored, nil
			},
			storeAtPeer: func(string, int) (peers.StoreOutcome, error) { return peers.StoreUnknown, nil },
		}, 0)
		if outcome != peers.StoreUnknown {
			t.Errorf("outcome %s, want %s", outcome, peers.StoreUnknown)
		}
		store.silent.Store(false)
		endProbe()
		time.Sleep(2 * probeTimeout) // let probes end
	})
}
