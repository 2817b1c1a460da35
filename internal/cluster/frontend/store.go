package frontend

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/cluster/peers"
	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	// minRetryDelay and maxRetryDelay bound the exponential backoff between attempts to store a change, so that a store
	// that recovers from an outage is not overloaded by retries.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 160 * time.Millisecond
	// failureExpiry is how long a partition that failed to take a write is tried last.
	failureExpiry = time.Second
)

// route is one way to store a change: by this host or by a peer, and in one of the alternative partitions that may hold a job's
// row. Sometimes the store refuses some hosts and serves others, or serves only some of its partitions.
type route struct {
	viaPeer     bool
	alternative int // index of the alternative partition, from 0 to records.AlternativePartitions-1
}

// allRoutes returns all routes in the order of preference: the first one is used if no write has failed lately.
func allRoutes() []route {
	var out []route
	for _, byPeer := range []bool{false, true} {
		for alternative := range records.AlternativePartitions {
			out = append(out, route{byPeer, alternative})
		}
	}
	return out
}

// routeHealth remembers which partitions have recently failed to take a write of this host. If many have, the host's own access
// to the store counts as failed too.
type routeHealth struct {
	mu          *sync.Mutex
	failedUntil map[string]time.Time // by partition: until when it is tried last
}

func newRouteHealth() routeHealth {
	return routeHealth{mu: &sync.Mutex{}, failedUntil: map[string]time.Time{}}
}

// sortedRoutes returns the routes to store a change of a job, those without recent failures first.
func (t routeHealth) sortedRoutes(id string, now time.Time) []route {
	t.mu.Lock()
	defer t.mu.Unlock()
	cost := func(w route) int {
		cost := 0
		if now.Before(t.failedUntil[records.JobKey(id, w.alternative).Partition]) {
			cost += 2
		}
		if !w.viaPeer && t.failedPartitionCount(now) > hostFailureThreshold {
			cost++
		}
		return cost
	}
	out := allRoutes()
	slices.SortStableFunc(out, func(a, b route) int { return cost(a) - cost(b) })
	return out
}

// hostFailureThreshold is the number of failed partitions above which this host's access to the store is taken to be the cause.
const hostFailureThreshold = 3

// failedPartitionCount returns the number of partitions with recent failures. The caller holds the lock.
func (t routeHealth) failedPartitionCount(now time.Time) int {
	n := 0
	for _, until := range t.failedUntil {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// recordWrite records whether a write by this host to a partition has succeeded.
func (t routeHealth) recordWrite(partition string, ok bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ok {
		delete(t.failedUntil, partition)
		return
	}
	t.failedUntil[partition] = now.Add(failureExpiry)
}

// change is a write for a caller, with the two functions that carry it out.
type change struct {
	id          string // of the job
	storeLocal  func(alternative int) (peers.StoreOutcome, error)
	storeAtPeer func(addr string, alternative int) (peers.StoreOutcome, error)
}

// storeChange tries all routes until the change is stored. If every route refuses the change, it returns NotStored. But once
// the outcome of an attempt is unknown, it continues until an attempt succeeds or ctx ends, because the unknown one may have
// taken effect. A job that is stored in two partitions counts as one job.
func (s *JobService) storeChange(ctx context.Context, c change) (peers.StoreOutcome, error) {
	unknown := false
	for failures := 0; ; {
		if s.breaker.checkSilence() {
			outcome, resume, err := s.storeDuringOutage(ctx, c, unknown)
			if !resume {
				return outcome, err
			}
			unknown = outcome == peers.StoreUnknown
		}
		refused := 0
		sortedRoutes := s.routeHealth.sortedRoutes(c.id, time.Now())
		var err error
		for _, w := range sortedRoutes {
			var outcome peers.StoreOutcome
			outcome, err = s.attempt(c, w)
			switch outcome {
			case peers.Stored, peers.StoredBefore, peers.NoSuchJob, peers.IDInUse, peers.CancelledBefore, peers.TooManyCancels:
				return outcome, err
			case peers.NotStored:
				refused++
			default:
				unknown = true
			}
			if s.breaker.open.Load() {
				break
			}
			if !wait.For(ctx, wait.Backoff(minRetryDelay, maxRetryDelay, failures)) {
				return outcomeAtDeadline(unknown), err
			}
			failures++
		}
		if !unknown && refused == len(sortedRoutes) {
			return peers.NotStored, err
		}
	}
}

// outcomeAtDeadline returns the outcome if ctx ends before the change is stored; unknown means that an attempt may have taken
// effect.
func outcomeAtDeadline(unknown bool) peers.StoreOutcome {
	if unknown {
		return peers.StoreUnknown
	}
	return peers.NotStored
}

// attempt tries one route and records the result of this host's own writes.
func (s *JobService) attempt(c change, w route) (peers.StoreOutcome, error) {
	if w.viaPeer {
		return s.viaPeer(c, w.alternative)
	}
	outcome, err := s.storeLocal(c, w.alternative)
	ok := outcome != peers.NotStored && outcome != peers.StoreUnknown
	s.routeHealth.recordWrite(records.JobKey(c.id, w.alternative).Partition, ok, time.Now())
	return outcome, err
}

// attemptResult is the result of an attempt to store a change.
type attemptResult struct {
	outcome peers.StoreOutcome
	err     error
}

// storeLocal stores the change from this host. If the store turns out to be silent meanwhile, a peer is asked as well, since the store may
// answer others; the attempt in progress goes on, as the store may only be slow.
func (s *JobService) storeLocal(c change, alternative int) (peers.StoreOutcome, error) {
	done := make(chan attemptResult, 1)
	go func() {
		outcome, err := c.storeLocal(alternative)
		done <- attemptResult{outcome, err}
	}()
	for {
		timer := time.NewTimer(silenceCheckInterval)
		select {
		case r := <-done:
			timer.Stop()
			return r.outcome, r.err
		case <-timer.C:
		}
		if !s.breaker.checkSilence() {
			continue
		}
		atPeer, err := s.tryPeer(c, time.Now())
		if atPeer == peers.Stored || atPeer == peers.StoredBefore || atPeer == peers.NoSuchJob || atPeer == peers.CancelledBefore {
			return atPeer, err
		}
		r := <-done
		if r.outcome == peers.NotStored && atPeer != peers.NotStored {
			return peers.StoreUnknown, err // the peer's attempt may have taken effect
		}
		return r.outcome, r.err
	}
}

// viaPeer asks a randomly chosen peer to store the change.
func (s *JobService) viaPeer(c change, alternative int) (peers.StoreOutcome, error) {
	hosts := slices.DeleteFunc(s.Roster.Hosts(), func(h peers.Host) bool { return h.Host == s.Self.Host })
	if len(hosts) == 0 {
		return peers.NotStored, errNoPeer
	}
	return c.storeAtPeer(hosts[rand.IntN(len(hosts))].Addr, alternative)
}

// StoreJob writes the row of a peer's job from this host to the alternative partition with this index. While the store does not answer
// this host, it refuses: the peer has other hosts to ask, and knows at once that nothing was written.
func (s *JobService) StoreJob(ctx context.Context, spec *workload.Spec, access workload.Access, alternative int) (peers.StoreOutcome, error) {
	if s.breaker.silentLongerThan(suspicionLimit, 1) {
		return peers.NotStored, errStoreUnresponsive
	}
	value, err := workload.EncodeSpec(spec)
	if err != nil {
		return peers.NotStored, errors.Wrap(err, "encode job")
	}
	return s.storeEncodedJob(ctx, spec.ID, value, access, alternative)
}
