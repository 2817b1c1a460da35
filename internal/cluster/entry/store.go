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
	retryFirst = 20 * time.Millisecond
	retryLimit = 160 * time.Millisecond
	// troubleTime is how long a way that failed is tried last.
	troubleTime = time.Second
)

// way is one way to store a change: by this host's access to the store or by a peer's, at one of the places that a job's
// row may have. At times the store refuses some hosts and serves others, or serves only some of its parts.
type way struct {
	byPeer bool
	place  int
}

// ways returns all ways, the usual one first.
func ways() []way {
	var out []way
	for _, byPeer := range []bool{false, true} {
		for place := range records.Places {
			out = append(out, way{byPeer, place})
		}
	}
	return out
}

// trouble remembers which ways have failed lately: parts that did not take a write, and this host's access as a whole.
type trouble struct {
	mu    *sync.Mutex
	parts map[string]time.Time // by part: until when its way is tried last
}

func newTrouble() trouble { return trouble{mu: &sync.Mutex{}, parts: map[string]time.Time{}} }

// order sorts the ways to store a change of a job: those without trouble first.
func (t trouble) order(id string, now time.Time) []way {
	t.mu.Lock()
	defer t.mu.Unlock()
	cost := func(w way) int {
		cost := 0
		if now.Before(t.parts[records.JobKey(id, w.place).Part]) {
			cost += 2
		}
		if !w.byPeer && t.failedParts(now) > manyParts {
			cost++
		}
		return cost
	}
	out := ways()
	slices.SortStableFunc(out, func(a, b way) int { return cost(a) - cost(b) })
	return out
}

// manyParts is the number of parts in trouble from which on this host's access is taken to be the cause.
const manyParts = 3

func (t trouble) failedParts(now time.Time) int {
	n := 0
	for _, until := range t.parts {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// note remembers the outcome of an own write.
func (t trouble) note(part string, ok bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ok {
		delete(t.parts, part)
		return
	}
	t.parts[part] = now.Add(troubleTime)
}

// change is a row to store, by this host or by a peer.
type change struct {
	id  string
	own func(place int) (peers.StoreOutcome, error)
	by  func(addr string, place int) (peers.StoreOutcome, error)
}

// store tries all ways until the change is stored. Once an attempt may have taken effect, it goes on until one certainly
// has, or until ctx ends; before, it gives up after every way was refused. A job that is stored at two places is one job.
func (e *Entry) store(ctx context.Context, c change) (peers.StoreOutcome, error) {
	unknown := false
	for failures := 0; ; {
		refused := 0
		order := e.trouble.order(c.id, time.Now())
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
			if !wait.For(ctx, wait.Backoff(retryFirst, retryLimit, failures)) {
				return gaveUp(unknown), err
			}
			failures++
		}
		if !unknown && refused == len(order) {
			return peers.NotStored, err
		}
	}
}

func gaveUp(unknown bool) peers.StoreOutcome {
	if unknown {
		return peers.StoreUnknown
	}
	return peers.NotStored
}

func (e *Entry) attempt(c change, w way) (peers.StoreOutcome, error) {
	if w.byPeer {
		return e.byPeer(c, w.place)
	}
	outcome, err := c.own(w.place)
	ok := outcome == peers.Stored || outcome == peers.StoredBefore || outcome == peers.NoSuchJob
	e.trouble.note(records.JobKey(c.id, w.place).Part, ok, time.Now())
	return outcome, err
}

// byPeer lets one of the peers write, chosen at random.
func (e *Entry) byPeer(c change, place int) (peers.StoreOutcome, error) {
	hosts := slices.DeleteFunc(e.Roster.Hosts(), func(h peers.Host) bool { return h.Host == e.Self.Host })
	if len(hosts) == 0 {
		return peers.NotStored, errNoPeer
	}
	return c.by(hosts[rand.IntN(len(hosts))].Addr, place)
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
	if e.breaker.dark.Load() {
		return peers.NotStored, errDark
	}
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	accepted, err := e.accepted(readCtx, id)
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
	if e.breaker.dark.Load() {
		return peers.NotStored, errDark
	}
	outcome, err := e.commit(ctx, key, value)
	e.breaker.note(outcome)
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
