// Package tenure is the ownership of the workers by one daemon: a row that names the owner and its epoch, which everything
// that the owner stores is conditional on, and the decision when another daemon claims it.
//
// Every commit of an owner replaces the head row on the condition of its version. So commits of an owner apply in their
// order and at most once, also when the answer of one is lost and it takes effect late, and a claim by another daemon
// makes all later commits of its predecessor fail.
package tenure

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/wait"
)

// Part is the part of the store that holds the owner's rows, so that they can be written in one transaction.
const Part = "owner"

// Tables of the ownership.
const (
	HeadTable  = "head"
	OwnerTable = "owner"
)

var (
	headKey  = rowstore.Key{Table: HeadTable, Part: Part, Name: "head"}
	ownerKey = rowstore.Key{Table: OwnerTable, Part: Part, Name: "owner"}
)

const (
	// BeatInterval is how often the owner row is written at least.
	BeatInterval = 500 * time.Millisecond
	// Validity is how long an owner may send orders after the start of its last confirmed commit. It covers the usual
	// outages of the store, and a successor waits for it before it gives up on workers that it can't reach.
	Validity = 8 * time.Second

	// refusedLimit and unansweredLimit are for how long an owner's commits are refused or not answered until it offers the
	// ownership to others. Ordinary commits take 10 ms.
	refusedLimit    = 150 * time.Millisecond
	unansweredLimit = 500 * time.Millisecond
	// takeoverReadLimit is the longest read with which a store counts as quick for the host that takes an offer. If it is slow
	// for that host too, a takeover would not help. Ordinary reads take 6 ms.
	takeoverReadLimit = 120 * time.Millisecond

	// resetThreshold tells a commit that was cut off, as by a store that resets connections, from one that was not answered.
	resetThreshold = 80 * time.Millisecond

	commitRetryDelay = 20 * time.Millisecond
)

// ErrLost means that another daemon owns the workers now, or that this one has released them.
var ErrLost = errors.New("tenure: ownership lost")

// ErrSlow means that the store is not quick enough for a takeover to help.
var ErrSlow = errors.New("tenure: the store is slow for this daemon too")

// Identity is one process of a daemon.
type Identity struct {
	Host string `json:"host"`
	Addr string `json:"addr"` // peer address
	Boot string `json:"boot"` // random id of the process
}

// Owner is the content of the owner row.
type Owner struct {
	Identity
	Epoch     int64  `json:"epoch"`
	Released  bool   `json:"released,omitempty"`
	Successor string `json:"successor,omitempty"` // host that should claim a released ownership first
}

type head struct {
	Epoch int64  `json:"epoch"`
	Seq   int64  `json:"seq"`
	Boot  string `json:"boot"`
}

// Tenure is a held ownership.
type Tenure struct {
	store   rowstore.Store
	self    Identity
	epoch   int64
	elapsed func() time.Duration // clock that goes on during suspensions

	mu            sync.Mutex // held during a commit
	version       int64      // of the head row
	lastHeartbeat time.Time
	released      bool

	seq          atomic.Int64 // of the last transaction that was built; each has its own
	refusedSince atomic.Int64 // since() of the first of the commits that were refused in a row; 0 if the last was not
	pendingSince atomic.Int64 // since() when the first of the commits without an answer was sent; 0 if there is none
	confirmedAt  atomic.Int64 // since() before the last confirmed commit was sent
	lost         atomic.Bool
}

// Predecessor is the owner that a claim replaces.
type Predecessor struct {
	Epoch int64 // 0 for the first claim
	// LastSeq, if positive, is the last transaction that the owner had built when it offered the ownership. An owner that has
	// committed more since is served by the store again and keeps the ownership.
	LastSeq int64
}

// Claim takes the ownership over. It fails with ErrLost if another daemon has claimed it, the owner commits meanwhile, or
// it does not need the offer any more, and with ErrSlow if the ownership was offered and the store is not quick for this
// daemon either. The store has to limit the time of a commit.
func Claim(ctx context.Context, store rowstore.Store, self Identity, from Predecessor, elapsed func() time.Duration) (*Tenure, error) {
	began := time.Now()
	old, version, err := readHead(ctx, store)
	if err != nil {
		return nil, err
	}
	if from.LastSeq > 0 && time.Since(began) > takeoverReadLimit {
		return nil, ErrSlow
	}
	if old.Epoch != from.Epoch || from.LastSeq > 0 && old.Seq > from.LastSeq {
		return nil, ErrLost
	}
	t := &Tenure{store: store, self: self, epoch: old.Epoch + 1, version: version, elapsed: elapsed}
	t.seq.Store(old.Seq)
	if err := t.Commit(ctx, nil, nil); err != nil {
		return nil, err
	}
	return t, nil
}

// readHead returns the head row and its version, 0 if there is none.
func readHead(ctx context.Context, store rowstore.Store) (head, int64, error) {
	row, ok, err := rowstore.ReadRow(ctx, store, headKey)
	if err != nil || !ok {
		return head{}, 0, err
	}
	var h head
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return head{}, 0, errors.Wrap(err, "decode head")
	}
	return h, row.Version, nil
}

// LastSeq is the number of the last transaction that was built.
func (t *Tenure) LastSeq() int64 { return t.seq.Load() }

// Epoch is the number of the ownership; it rises with each owner.
func (t *Tenure) Epoch() int64 { return t.epoch }

// Valid reports whether orders may be sent now.
func (t *Tenure) Valid() bool {
	return !t.lost.Load() && t.elapsed()-time.Duration(t.confirmedAt.Load()) < Validity
}

// ConfirmedAge is the time since the last confirmed commit was sent.
func (t *Tenure) ConfirmedAge() time.Duration {
	return t.elapsed() - time.Duration(t.confirmedAt.Load())
}

// Troubled reports whether the store has refused this owner's commits or left them without an answer for a while. Other
// hosts may be served, so the ownership is better offered to them; they find out whether the store is quick for them.
func (t *Tenure) Troubled() bool {
	refused, pending := t.refusedSince.Load(), t.pendingSince.Load()
	return refused != 0 && t.elapsed()-time.Duration(refused) > refusedLimit ||
		pending != 0 && t.elapsed()-time.Duration(pending) > unansweredLimit
}

// Served reports whether the store answers a read of this owner quickly. Then it is not cut off: commits without an answer
// are lost on the way for every host, and a takeover would not help.
func (t *Tenure) Served(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, takeoverReadLimit)
	defer cancel()
	_, _, err := readHead(ctx, t.store)
	return err == nil && ctx.Err() == nil
}

// GiveUp ends the ownership after another daemon has said that it claimed it.
func (t *Tenure) GiveUp() { t.lost.Store(true) }

// Lost reports whether the ownership is known to be over.
func (t *Tenure) Lost() bool { return t.lost.Load() }

// Commit writes rows of Part and returns once they are durable. It resends a commit whose outcome is unknown until ctx
// ends. Errors: ErrLost, rowstore.ErrUnavailable, rowstore.ErrUnknownOutcome.
func (t *Tenure) Commit(ctx context.Context, puts []rowstore.Put, removes []rowstore.Key) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commit(ctx, puts, removes)
}

// Release gives the ownership up for a successor; an empty one leaves it to all.
func (t *Tenure) Release(ctx context.Context, successor string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.released = true
	put, err := t.ownerRow(successor)
	if err != nil {
		return err
	}
	err = t.commit(ctx, []rowstore.Put{put}, nil)
	t.lost.Store(true)
	return err
}

func (t *Tenure) commit(ctx context.Context, puts []rowstore.Put, removes []rowstore.Key) error {
	if t.lost.Load() {
		return ErrLost
	}
	txn, heartbeat, err := t.txn(puts, removes)
	if err != nil {
		return err
	}
	outcomeUnknown := false
	for {
		sentAt := t.elapsed()
		t.pendingSince.CompareAndSwap(0, int64(sentAt))
		version, err := t.store.Commit(ctx, txn)
		var conflict *rowstore.ConflictError
		switch {
		case err == nil:
			t.recordCommit(version, sentAt, heartbeat)
			return nil
		case errors.As(err, &conflict):
			done, err := t.resolveConflict(conflict, sentAt, heartbeat)
			if done || err != nil {
				return err
			}
			// An earlier commit of this owner took effect late.
			txn.Conditions[0].Version = t.version
			continue
		case errors.Is(err, rowstore.ErrUnavailable) && !outcomeUnknown:
			t.refusedSince.CompareAndSwap(0, int64(sentAt))
			t.pendingSince.Store(0)
			return err
		case errors.Is(err, rowstore.ErrUnknownOutcome):
			outcomeUnknown = true
			if t.elapsed()-sentAt < resetThreshold {
				t.refusedSince.CompareAndSwap(0, int64(sentAt))
			}
		}
		if !wait.For(ctx, commitRetryDelay) {
			// The next commit has the same condition, so at most one of the two takes effect.
			return rowstore.ErrUnknownOutcome
		}
	}
}

func (t *Tenure) txn(puts []rowstore.Put, removes []rowstore.Key) (rowstore.Txn, bool, error) {
	value, err := json.Marshal(head{Epoch: t.epoch, Seq: t.seq.Add(1), Boot: t.self.Boot})
	if err != nil {
		return rowstore.Txn{}, false, errors.Wrap(err, "encode head")
	}
	txn := rowstore.Txn{
		Conditions: []rowstore.Condition{{Key: headKey, Version: t.version}},
		Puts:       append([]rowstore.Put{{Key: headKey, Value: value}}, puts...),
		Removes:    removes,
	}
	heartbeat := !t.released && time.Since(t.lastHeartbeat) >= BeatInterval
	if heartbeat {
		put, err := t.ownerRow("")
		if err != nil {
			return rowstore.Txn{}, false, err
		}
		txn.Puts = append(txn.Puts, put)
	}
	return txn, heartbeat, nil
}

func (t *Tenure) ownerRow(successor string) (rowstore.Put, error) {
	value, err := json.Marshal(Owner{Identity: t.self, Epoch: t.epoch, Released: t.released, Successor: successor})
	if err != nil {
		return rowstore.Put{}, errors.Wrap(err, "encode owner")
	}
	return rowstore.Put{Key: ownerKey, Value: value}, nil
}

func (t *Tenure) recordCommit(version int64, sentAt time.Duration, heartbeat bool) {
	t.version = version
	t.refusedSince.Store(0)
	t.pendingSince.Store(0)
	t.confirmedAt.Store(int64(sentAt))
	if heartbeat {
		t.lastHeartbeat = time.Now()
	}
}

// resolveConflict tells a commit of our own that took effect without an answer from one of another daemon. It returns true if
// the commit took effect, and false without an error if an earlier one did.
func (t *Tenure) resolveConflict(c *rowstore.ConflictError, sentAt time.Duration, heartbeat bool) (bool, error) {
	row, ok := c.Find(headKey)
	var current head
	if !ok || json.Unmarshal(row.Value, &current) != nil || current.Epoch != t.epoch || current.Boot != t.self.Boot {
		t.lost.Store(true)
		return false, ErrLost
	}
	if current.Seq == t.seq.Load() {
		t.recordCommit(row.Version, sentAt, heartbeat)
		return true, nil
	}
	t.version = row.Version
	return false, nil
}
