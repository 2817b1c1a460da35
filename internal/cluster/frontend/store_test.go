package frontend

import (
	"context"
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

const testJob = "5c0e7a21d94b36f8"

// testService returns a JobService that knows no peers, so routes through peers are refused.
func testService() *JobService {
	return &JobService{Deps: Deps{Roster: peers.NewRoster(zap.NewNop()), Log: zap.NewNop()}, routeHealth: newRouteHealth()}
}

// scriptedStore returns the listed outcomes for the host's own attempts, one after the other and the last one from then on,
// and records the alternative partitions tried.
type scriptedStore struct {
	outcomes     []peers.StoreOutcome
	alternatives []int
}

func (s *scriptedStore) storeLocal(alternative int) (peers.StoreOutcome, error) {
	s.alternatives = append(s.alternatives, alternative)
	o := s.outcomes[min(len(s.alternatives), len(s.outcomes))-1]
	return o, nil
}

func (s *scriptedStore) change() change {
	return change{id: testJob, storeLocal: s.storeLocal, storeAtPeer: func(string, int) (peers.StoreOutcome, error) { return peers.NotStored, nil }}
}

// Guards against the answer "not accepted" for a change that may have been stored, and against submissions that wait until
// their deadline although every route has refused the change.
func TestStoreOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		outcomes []peers.StoreOutcome
		want     peers.StoreOutcome
		within   time.Duration
	}{
		"stored at once":                                {[]peers.StoreOutcome{peers.Stored}, peers.Stored, 0},
		"refused on all routes":                         {[]peers.StoreOutcome{peers.NotStored}, peers.NotStored, 500 * time.Millisecond},
		"refused by one partition":                      {[]peers.StoreOutcome{peers.NotStored, peers.Stored}, peers.Stored, 100 * time.Millisecond},
		"unknown, then refused until the deadline":      {[]peers.StoreOutcome{peers.StoreUnknown, peers.NotStored}, peers.StoreUnknown, 3 * time.Second},
		"unknown, then found stored":                    {[]peers.StoreOutcome{peers.StoreUnknown, peers.NotStored, peers.StoredBefore}, peers.StoredBefore, time.Second},
		"a cancellation of an unknown job ends at once": {[]peers.StoreOutcome{peers.NoSuchJob}, peers.NoSuchJob, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				began := time.Now()
				got, _ := testService().storeChange(ctx, (&scriptedStore{outcomes: c.outcomes}).change())
				if got != c.want {
					t.Errorf("outcome %s, want %s", got, c.want)
				}
				if took := time.Since(began); took > c.within {
					t.Errorf("took %s, want at most %s", took, c.within)
				}
			})
		})
	}
}

// Guards against submissions that first try a partition that has just failed to take a write.
func TestFailedPartitionsAreTriedLast(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	tr := newRouteHealth()
	usual := tr.sortedRoutes(testJob, now)
	if usual[0] != (route{viaPeer: false, alternative: 0}) || len(usual) != 2*records.AlternativePartitions {
		t.Fatalf("the order without failures is %v", usual)
	}
	tr.recordWrite(records.JobKey(testJob, 0).Partition, false, now)
	if first := tr.sortedRoutes(testJob, now)[0]; first != (route{viaPeer: false, alternative: 1}) {
		t.Errorf("after a failure of the first partition, the first route is %v", first)
	}
	for _, partition := range records.InboxPartitions() {
		tr.recordWrite(partition, false, now)
	}
	if first := tr.sortedRoutes(testJob, now)[0]; !first.viaPeer {
		t.Errorf("after failures of all partitions, the first route is %v", first)
	}
	if first := tr.sortedRoutes(testJob, now.Add(2*failureExpiry))[0]; first != usual[0] {
		t.Errorf("once the failures have expired, the first route is %v", first)
	}
}

// Guards against callers that wait until their deadline and get an unknown outcome although the store has answered nothing for
// a while, and against writes that are still refused after the store has recovered.
func TestUnresponsiveStoreOpensBreaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rowstore.NewMemory()
		f := New(Deps{Store: store, Roster: peers.NewRoster(zap.NewNop()), Log: zap.NewNop(), Metrics: tally.NoopScope,
			Watch: election.NewWatch(zap.NewNop()), Coordinator: coordinator.New(coordinator.Config{}, coordinator.Deps{})})
		submit := func(id string) (time.Duration, error) {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			began := time.Now()
			err := f.Submit(ctx, &workload.Spec{ID: id}, workload.Access{})
			return time.Since(began), err
		}
		var silent atomic.Bool // read by the probes too
		store.InjectError = func(string) error {
			if silent.Load() {
				return rowstore.ErrUnknownOutcome
			}
			return nil
		}
		silent.Store(true)
		if _, err := submit("0000000000000001"); !errors.Is(err, ErrUnknown) {
			t.Errorf("a write without an answer: %v", err)
		}
		took, err := submit("0000000000000002")
		if !errors.Is(err, ErrNotAccepted) || took > 500*time.Millisecond {
			t.Errorf("while the breaker is open: %v after %s", err, took)
		}
		silent.Store(false)
		time.Sleep(probeInterval + 2*probeTimeout)
		if _, err := submit("0000000000000003"); err != nil {
			t.Errorf("after the store has recovered: %v", err)
		}
	})
}

// Guards against refusing writes while only some answers are lost or only some partitions of the store are unavailable.
func TestPartlyAvailableStoreKeepsBreakerClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rowstore.NewMemory()
		partitions := records.InboxPartitions()
		store.InjectError = func(partition string) error {
			if partition != partitions[len(partitions)/2] {
				return rowstore.ErrUnknownOutcome
			}
			return nil
		}
		b := &breaker{store: store, log: zap.NewNop()}
		for range 2 * maxUnanswered {
			b.recordOutcome(peers.StoreUnknown)
		}
		time.Sleep(time.Second)
		if b.open.Load() {
			t.Error("the breaker is open although a partition answers")
		}
	})
}
