package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/cluster/peers"
	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	// The delay between attempts to store a change doubles up to its limit, so that an outage of the store does not turn
	// into a load on its return.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 160 * time.Millisecond
	// failureMemory is how long a way that failed is tried last.
	failureMemory = time.Second
)

// route is one route to store a change: by this host's access to the store or by a peer's, at one of the places that a job's
// row may have. At times the store refuses some hosts and serves others, or serves only some of its parts.
type route struct {
	byPeer bool
	place  int
}

// allRoutes returns all allRoutes, the usual one first.
func allRoutes() []route {
	var out []route
	for _, byPeer := range []bool{false, true} {
		for place := range records.Places {
			out = append(out, route{byPeer, place})
		}
	}
	return out
}

// routeHealth remembers which ways have failed lately: parts that did not take a write, and this host's access as a whole.
type routeHealth struct {
	mu          *sync.Mutex
	failedUntil map[string]time.Time // by part: until when its way is tried last
}

func newRouteHealth() routeHealth {
	return routeHealth{mu: &sync.Mutex{}, failedUntil: map[string]time.Time{}}
}

// sortedRoutes sorts the ways to store a change of a job: those without trouble first.
func (t routeHealth) sortedRoutes(id string, now time.Time) []route {
	t.mu.Lock()
	defer t.mu.Unlock()
	cost := func(w route) int {
		cost := 0
		if now.Before(t.failedUntil[records.JobKey(id, w.place).Part]) {
			cost += 2
		}
		if !w.byPeer && t.failedPartCount(now) > hostFailureThreshold {
			cost++
		}
		return cost
	}
	out := allRoutes()
	slices.SortStableFunc(out, func(a, b route) int { return cost(a) - cost(b) })
	return out
}

// hostFailureThreshold is the number of parts in trouble from which on this host's access is taken to be the cause.
const hostFailureThreshold = 3

func (t routeHealth) failedPartCount(now time.Time) int {
	n := 0
	for _, until := range t.failedUntil {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// recordWrite remembers the outcome of an own write.
func (t routeHealth) recordWrite(part string, ok bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ok {
		delete(t.failedUntil, part)
		return
	}
	t.failedUntil[part] = now.Add(failureMemory)
}

// change is a row to store, by this host or by a peer.
type change struct {
	id          string
	storeLocal  func(place int) (peers.StoreOutcome, error)
	storeAtPeer func(addr string, place int) (peers.StoreOutcome, error)
}

// storeChange tries all ways until the change is stored. Once an attempt may have taken effect, it goes on until one certainly
// has, or until ctx ends; before, it gives up after every way was refused. A job that is stored at two places is one job.
func (e *Entry) storeChange(ctx context.Context, c change) (peers.StoreOutcome, error) {
	unknown := false
	for failures := 0; ; {
		refused := 0
		order := e.routes.sortedRoutes(c.id, time.Now())
		var err error
		for _, w := range order {
			var outcome peers.StoreOutcome
			outcome, err = e.attempt(c, w)
			switch outcome {
			case peers.Stored, peers.StoredBefore, peers.NoSuchJob:
				return outcome, err
			case peers.NotStored:
				refused++
			default:
				unknown = true
			}
			if !wait.For(ctx, wait.Backoff(minRetryDelay, maxRetryDelay, failures)) {
				return outcomeAtDeadline(unknown), err
			}
			failures++
		}
		if !unknown && refused == len(order) {
			return peers.NotStored, err
		}
	}
}

func outcomeAtDeadline(unknown bool) peers.StoreOutcome {
	if unknown {
		return peers.StoreUnknown
	}
	return peers.NotStored
}

func (e *Entry) attempt(c change, w route) (peers.StoreOutcome, error) {
	if w.byPeer {
		return e.storeByPeer(c, w.place)
	}
	outcome, err := c.storeLocal(w.place)
	ok := outcome == peers.Stored || outcome == peers.StoredBefore || outcome == peers.NoSuchJob
	e.routes.recordWrite(records.JobKey(c.id, w.place).Part, ok, time.Now())
	return outcome, err
}

// storeByPeer lets one of the peers write, chosen at random.
func (e *Entry) storeByPeer(c change, place int) (peers.StoreOutcome, error) {
	hosts := slices.DeleteFunc(e.Roster.Hosts(), func(h peers.Host) bool { return h.Host == e.Self.Host })
	if len(hosts) == 0 {
		return peers.NotStored, errNoPeer
	}
	return c.storeAtPeer(hosts[rand.IntN(len(hosts))].Addr, place)
}

// StoreJob writes the row of a job at a place by this host's access to the store.
func (e *Entry) StoreJob(ctx context.Context, spec *workload.Spec, place int) (peers.StoreOutcome, error) {
	value, err := workload.EncodeSpec(spec)
	if err != nil {
		return peers.NotStored, errors.Wrap(err, "encode job")
	}
	return e.create(ctx, records.JobKey(spec.ID, place), value)
}

// StoreCancel writes the row of a job's cancellation at a place if the job is known.
func (e *Entry) StoreCancel(ctx context.Context, id string, place int) (peers.StoreOutcome, error) {
	if e.breaker.open.Load() {
		return peers.NotStored, errStoreUnresponsive
	}
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	accepted, err := e.isAccepted(readCtx, id)
	if err != nil {
		return peers.NotStored, err
	}
	if !accepted {
		return peers.NoSuchJob, nil
	}
	return e.create(ctx, records.CancelKey(id, place), []byte("{}"))
}

// create commits a row that must be absent, unless the store is known to answer nothing.
func (e *Entry) create(ctx context.Context, key rowstore.Key, value []byte) (peers.StoreOutcome, error) {
	if e.breaker.open.Load() {
		return peers.NotStored, errStoreUnresponsive
	}
	outcome, err := e.commit(ctx, key, value)
	e.breaker.recordOutcome(outcome)
	return outcome, err
}

// commit commits a row that must be absent. A conflict means that it is there already, by an earlier attempt.
func (e *Entry) commit(ctx context.Context, key rowstore.Key, value []byte) (peers.StoreOutcome, error) {
	_, err := e.Store.Commit(ctx, rowstore.Txn{
		Conditions: []rowstore.Condition{{Key: key}},
		Puts:       []rowstore.Put{{Key: key, Value: value}},
	})
	switch {
	case err == nil:
		return peers.Stored, nil
	case errors.Is(err, rowstore.ErrConflict):
		return peers.StoredBefore, nil
	case errors.Is(err, rowstore.ErrUnavailable):
		return peers.NotStored, err
	}
	return peers.StoreUnknown, err
}
