package frontend

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"

	"github.com/greengagewing/greengagewing/internal/cluster/peers"
	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// lateStore keeps the commits for which loses holds, without performing them, and reports an unknown outcome.
type lateStore struct {
	*rowstore.Memory
	mu    sync.Mutex // guards late, and makes the calls of loses one by one
	loses func(rowstore.Txn) bool
	late  []rowstore.Txn
}

func (s *lateStore) Commit(ctx context.Context, txn rowstore.Txn) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loses != nil && s.loses(txn) {
		s.late = append(s.late, txn)
		return 0, rowstore.ErrUnknownOutcome
	}
	return s.Memory.Commit(ctx, txn)
}

// performLate performs the commits that were lost, if their conditions still hold.
func (s *lateStore) performLate(t *testing.T) {
	t.Helper()
	for _, txn := range s.late {
		if _, err := s.Memory.Commit(t.Context(), txn); err != nil && !errors.Is(err, rowstore.ErrConflict) {
			t.Fatal(err)
		}
	}
	s.late = nil
}

// jobRows returns the number of rows of the test's job.
func jobRows(t *testing.T, store rowstore.Store) int {
	t.Helper()
	n := 0
	for alternative := range records.AlternativePartitions {
		k := records.JobKey(testJob, alternative)
		rows, _, err := rowstore.ReadAll(t.Context(), store, k.Table, k.Partition)
		if err != nil {
			t.Fatal(err)
		}
		n += len(slices.DeleteFunc(rows, func(r rowstore.Row) bool { _, _, cancels := records.CancelledJob(r.Key); return cancels }))
	}
	return n
}

// lateService returns a service on a lateStore.
func lateService() (*JobService, *lateStore) {
	s, memory := ownerlessService()
	store := &lateStore{Memory: memory}
	s.Store, s.breaker.store = store, store
	return s, store
}

// Guards against a job that runs after its cancelling was answered: the store performs its lost insertion seconds later, in any of the partitions
// that may hold the job, also if the job has several rows or belongs to a team.
func TestLateInsertionOfACancelledJob(t *testing.T) {
	for name, payloadBytes := range map[string]int{"one row": 0, "several rows": 100_000} {
		for caller, access := range map[string]workload.Access{"no keys": anybody, "a team": teamA} {
			t.Run(name+", "+caller, func(t *testing.T) {
				s, store := lateService()
				store.loses = func(rowstore.Txn) bool { return true }
				for alternative := range records.AlternativePartitions {
					if outcome, _ := s.StoreJob(t.Context(), specOf(access.Team, payloadBytes), access, alternative); outcome != peers.StoreUnknown {
						t.Fatalf("insertion: %s", outcome)
					}
				}
				store.loses = nil
				if err := s.Cancel(t.Context(), testJob, access); !errors.Is(err, ErrNoSuchJob) {
					t.Errorf("cancellation: %v", err)
				}
				store.performLate(t)
				if n := jobRows(t, store); n != 0 {
					t.Errorf("%d rows of the job", n)
				}
			})
		}
	}
}

// Guards against the answer that there is no such job while one of the partitions does not have the cancellation, so that the job can still be
// inserted there.
func TestCancellationThatOnePartitionLacks(t *testing.T) {
	for name, result := range map[string]error{"refuses": rowstore.ErrUnavailable, "does not answer": rowstore.ErrUnknownOutcome} {
		for alternative := range records.AlternativePartitions {
			t.Run(name, func(t *testing.T) {
				s, store := lateService()
				failing := &failingPartition{store.Memory, records.JobKey(testJob, alternative).Partition, result}
				s.Store = failing
				for range 2 {
					if outcome, _ := s.StoreCancel(t.Context(), testJob, anybody, 0); outcome != peers.StoreUnknown {
						t.Errorf("outcome %s", outcome)
					}
				}
				failing.result = nil
				if outcome, err := s.StoreCancel(t.Context(), testJob, anybody, 0); outcome != peers.NoSuchJob {
					t.Errorf("outcome %s, %v after the partition is back", outcome, err)
				}
			})
		}
	}
}

// failingPartition fails the commits of one partition while result is set.
type failingPartition struct {
	*rowstore.Memory
	partition string
	result    error
}

func (s *failingPartition) Commit(ctx context.Context, txn rowstore.Txn) (int64, error) {
	if s.result != nil && txn.Puts[0].Key.Partition == s.partition {
		return 0, s.result
	}
	return s.Memory.Commit(ctx, txn)
}

// Guards against a submission that is accepted, or that waits until its deadline, after its caller has cancelled the ID.
func TestSubmissionAfterItsCancellation(t *testing.T) {
	s, store := lateService()
	if err := s.Cancel(t.Context(), testJob, anybody); !errors.Is(err, ErrNoSuchJob) {
		t.Fatal(err)
	}
	if err := s.Submit(t.Context(), specOf("", 0), anybody); !errors.Is(err, ErrCancelled) {
		t.Errorf("submission: %v", err)
	}
	if outcome, err := s.StoreJob(t.Context(), specOf("", 0), anybody, 1); outcome != peers.CancelledBefore {
		t.Errorf("submission to the alternative partition: %s, %v", outcome, err)
	}
	if n := jobRows(t, store); n != 0 {
		t.Errorf("%d rows of the job", n)
	}
	if err := s.Cancel(t.Context(), testJob, anybody); !errors.Is(err, ErrNoSuchJob) {
		t.Errorf("second cancellation: %v", err)
	}
}

// Guards against a refusal that is not true: an earlier attempt of the submission is under way to the partition that lacks the cancellation.
func TestRefusalCompletesTheCancellation(t *testing.T) {
	s, store := lateService()
	store.loses = func(rowstore.Txn) bool { return true }
	if outcome, _ := s.StoreJob(t.Context(), specOf("", 0), anybody, 1); outcome != peers.StoreUnknown {
		t.Fatal(outcome)
	}
	late := store.late
	store.loses = func(txn rowstore.Txn) bool { return txn.Puts[0].Key.Partition == records.JobKey(testJob, 1).Partition }
	if outcome, _ := s.StoreCancel(t.Context(), testJob, anybody, 0); outcome != peers.StoreUnknown {
		t.Fatal(outcome)
	}
	store.loses, store.late = nil, late
	if outcome, err := s.StoreJob(t.Context(), specOf("", 0), anybody, 0); outcome != peers.CancelledBefore {
		t.Fatalf("submission: %s, %v", outcome, err)
	}
	store.performLate(t)
	if n := jobRows(t, store); n != 0 {
		t.Errorf("%d rows of the job", n)
	}
}

// Guards against a cancellation that finds no job and misses one that is stored between its read and its write.
func TestJobStoredDuringItsCancellation(t *testing.T) {
	for alternative := range records.AlternativePartitions {
		s, store := lateService()
		inserted := false
		store.loses = func(txn rowstore.Txn) bool {
			if _, early, _ := records.CancelledJob(txn.Puts[0].Key); early && !inserted {
				inserted = true
				other, _ := ownerlessService()
				other.Store = store.Memory
				if outcome, err := other.StoreJob(t.Context(), specOf("", 0), anybody, alternative); outcome != peers.Stored {
					t.Errorf("insertion: %s, %v", outcome, err)
				}
			}
			return false
		}
		if err := s.Cancel(t.Context(), testJob, anybody); err != nil {
			t.Errorf("cancellation: %v", err)
		}
	}
}

// Guards against a team that cancels another team's job in advance, or learns from the answer whether the ID exists.
func TestEarlyCancellationByAnotherTeam(t *testing.T) {
	s, _ := lateService()
	if err := s.Cancel(t.Context(), testJob, teamB); !errors.Is(err, ErrNoSuchJob) {
		t.Fatal(err)
	}
	if err := s.Submit(t.Context(), specOf("a", 0), teamA); err != nil {
		t.Errorf("submission: %v", err)
	}
	if err := s.Cancel(t.Context(), testJob, teamB); !errors.Is(err, ErrNoSuchJob) {
		t.Errorf("cancellation by the other team: %v", err)
	}
	if state, err := s.Lookup(t.Context(), testJob, teamA); err != nil || state != workload.Queued {
		t.Errorf("state %q, %v", state, err)
	}
	if err := s.Cancel(t.Context(), testJob, teamA); err != nil {
		t.Errorf("cancellation: %v", err)
	}
}

// Guards against a caller that fills the store with cancellations of IDs that were never submitted.
func TestEarlyCancellationsAreLimited(t *testing.T) {
	s, _ := lateService()
	for i := 0; ; i++ {
		err := s.Cancel(t.Context(), testJob, anybody)
		var overloaded *OverloadedError
		if errors.As(err, &overloaded) {
			if i < earlyCancelBurst || overloaded.RetryAfter <= 0 {
				t.Errorf("refused after %d, with Retry-After %s", i, overloaded.RetryAfter)
			}
			return
		}
		if !errors.Is(err, ErrNoSuchJob) || i > 10*earlyCancelBurst {
			t.Fatalf("cancellation %d: %v", i, err)
		}
	}
}
