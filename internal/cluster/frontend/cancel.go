package frontend

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"github.com/greengagewing/greengagewing/internal/cluster/peers"
	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// A caller that gets no answer to a submission may cancel the job before it is stored, and the store may perform the insertion seconds later. So
// the cancellation of a job that is not found is stored as well, as an early cancellation, in each partition that may hold the job. Each
// insertion of a job is conditional on the absence of these rows in its partition, so none is performed any more once all are stored. Only
// then is the caller told that there is no such job.

const (
	// earlyCancelRate and earlyCancelBurst limit the early cancellations that a host stores, in cancellations per second. Each takes two
	// commits and stays for as long as the state of an ended job, and a caller can cancel any number of IDs that were never submitted.
	earlyCancelRate  = 20
	earlyCancelBurst = 100
	// earlyCancelRetryAfter is when the caller of a cancellation beyond the limit should come back.
	earlyCancelRetryAfter = time.Second
)

func newEarlyCancelLimiter() *rate.Limiter { return rate.NewLimiter(earlyCancelRate, earlyCancelBurst) }

// StoreCancel writes the row of a job's cancellation from this host to the alternative partition with this index, if the job
// was accepted and the caller may access it. Otherwise it stores an early cancellation by this caller in all of them.
func (s *JobService) StoreCancel(ctx context.Context, id string, access workload.Access, alternative int) (peers.StoreOutcome, error) {
	if s.breaker.open.Load() {
		return peers.NotStored, errStoreUnresponsive
	}
	accepted, err := s.acceptedInTime(ctx, id, access)
	if err != nil {
		return peers.NotStored, err
	}
	if !accepted {
		if !s.earlyCancels.Allow() {
			return peers.TooManyCancels, nil
		}
		var outcome peers.StoreOutcome
		if outcome, err = s.storeEarlyCancel(ctx, id, access); outcome != peers.IDInUse {
			return outcome, err
		}
		// A job was stored meanwhile, or it is one that the caller may not access.
		if accepted, err = s.acceptedInTime(ctx, id, access); err != nil {
			return peers.StoreUnknown, err
		}
	}
	if !accepted {
		return peers.NoSuchJob, nil
	}
	return s.create(ctx, []rowstore.Put{{Key: records.CancelKey(id, alternative), Value: []byte("{}")}})
}

// acceptedInTime is accepted with a timeout.
func (s *JobService) acceptedInTime(ctx context.Context, id string, access workload.Access) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return s.accepted(ctx, id, access)
}

// storeEarlyCancel stores an early cancellation of a job in all partitions that may hold it. The outcome is NoSuchJob if all of them have it,
// and IDInUse if one of them holds a job with the ID.
func (s *JobService) storeEarlyCancel(ctx context.Context, id string, by workload.Access) (peers.StoreOutcome, error) {
	value, err := records.Encode(records.EarlyCancel{By: by, AtMS: time.Now().UnixMilli()})
	if err != nil {
		return peers.NotStored, err
	}
	var results [records.AlternativePartitions]attemptResult
	var attempts sync.WaitGroup
	for alternative := range results {
		attempts.Go(func() {
			outcome, err := s.create(ctx, []rowstore.Put{{Key: records.EarlyCancelKey(id, by, alternative), Value: value}}, records.JobKey(id, alternative))
			results[alternative] = attemptResult{outcome, err}
		})
	}
	attempts.Wait()
	return combineEarlyCancels(results[:])
}

// combineEarlyCancels returns the outcome of an early cancellation that was attempted in all partitions. It is unknown if only some have it.
func combineEarlyCancels(results []attemptResult) (peers.StoreOutcome, error) {
	stored, refused := 0, 0
	var failed error
	for _, r := range results {
		switch r.outcome {
		case peers.IDInUse:
			return peers.IDInUse, nil
		case peers.Stored, peers.StoredBefore:
			stored++
			continue
		case peers.NotStored:
			refused++
		}
		failed = r.err
	}
	switch len(results) {
	case stored:
		return peers.NoSuchJob, nil
	case refused:
		return peers.NotStored, failed
	}
	return peers.StoreUnknown, failed
}

// earlyCancelKeys returns the keys of the early cancellations that keep a job of this caller from being inserted in a partition.
func earlyCancelKeys(id string, access workload.Access, alternative int) []rowstore.Key {
	keys := []rowstore.Key{records.EarlyCancelKey(id, workload.Access{}, alternative)}
	if access.Restricted {
		keys = append(keys, records.EarlyCancelKey(id, access, alternative))
	}
	return keys
}

// refuseCancelled handles an insertion of a job that an early cancellation has prevented in one partition. An earlier attempt may have stored
// the job in another one, or may still do so: the cancellation is completed there, so that the refusal is true.
func (s *JobService) refuseCancelled(ctx context.Context, id string, access workload.Access) (peers.StoreOutcome, error) {
	switch outcome, err := s.storeEarlyCancel(ctx, id, access); outcome {
	case peers.NoSuchJob:
		return peers.CancelledBefore, nil
	case peers.IDInUse:
		return peers.StoredBefore, nil // the job was accepted, and is cancelled
	default:
		return peers.StoreUnknown, err
	}
}

// create inserts the rows of one value, unless the breaker is open. The outcome is StoredBefore if the value exists, and IDInUse if it does not
// and one of the others does, which belong to the same partition.
func (s *JobService) create(ctx context.Context, rows []rowstore.Put, others ...rowstore.Key) (peers.StoreOutcome, error) {
	if s.breaker.open.Load() {
		return peers.NotStored, errStoreUnresponsive
	}
	outcome, err := s.commit(ctx, rows, others)
	s.breaker.recordOutcome(outcome)
	return outcome, err
}

// commit inserts the rows of one value. A conflict means that an earlier attempt has already inserted them, or that one of the other rows exists.
func (s *JobService) commit(ctx context.Context, rows []rowstore.Put, others []rowstore.Key) (peers.StoreOutcome, error) {
	conditions := []rowstore.Condition{{Key: rows[0].Key}}
	for _, k := range others {
		conditions = append(conditions, rowstore.Condition{Key: k})
	}
	_, err := s.Store.Commit(ctx, rowstore.Txn{Conditions: conditions, Puts: rows})
	switch {
	case err == nil:
		return peers.Stored, nil
	case errors.Is(err, rowstore.ErrConflict):
		return conflictOutcome(err, rows[0].Key, others), nil
	case errors.Is(err, rowstore.ErrUnavailable), errors.Is(err, rowstore.ErrRejected):
		return peers.NotStored, err
	}
	return peers.StoreUnknown, err
}

// conflictOutcome tells which row has prevented an insertion.
func conflictOutcome(err error, own rowstore.Key, others []rowstore.Key) peers.StoreOutcome {
	var conflict *rowstore.ConflictError
	if !errors.As(err, &conflict) {
		return peers.StoredBefore
	}
	if _, exists := conflict.Find(own); exists {
		return peers.StoredBefore
	}
	for _, k := range others {
		if _, exists := conflict.Find(k); exists {
			return peers.IDInUse
		}
	}
	return peers.StoredBefore
}
