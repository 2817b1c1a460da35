// Package election elects the daemon that owns the workers, and fences off its predecessors. The owner is the leader of the
// cluster, its term has an epoch that serves as the fencing token, and a claim starts a new term. The store keeps two rows
// for this: the head row, which every commit of the owner is conditional on, and the owner row, which names the owner and
// whose updates are its heartbeats. The package also decides when another daemon should claim the ownership.
//
// Every commit of an owner replaces the head row with a compare-and-swap on its version. Therefore the commits of an owner
// are applied in order and at most once, even if the answer to one is lost and it takes effect late, and a claim by another
// daemon makes all later commits of its predecessor fail.
package election

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

// Partition is the partition of the store that holds all rows of the owner, so that one transaction can write them.
const Partition = "owner"

// Tables of the head row and the owner row.
const (
	HeadTable  = "head"
	OwnerTable = "owner"
)

var (
	headKey  = rowstore.Key{Table: HeadTable, Partition: Partition, Name: "head"}
	ownerKey = rowstore.Key{Table: OwnerTable, Partition: Partition, Name: "owner"}
)

const (
	// HeartbeatInterval is the interval of the heartbeats: a commit also writes the owner row if that was last written this
	// long ago.
	HeartbeatInterval = 500 * time.Millisecond
	// LeaseDuration is the length of the owner's lease: it may send orders for this long after it sent its last confirmed
	// commit. The lease covers the usual outages of the store. A successor waits for its end before it gives up on workers
	// that it can't reach.
	LeaseDuration = 8 * time.Second

	// refusedLimit and unansweredLimit are how long the store may refuse an owner's commits, or leave them unanswered,
	// before the owner offers the ownership to other daemons. Ordinary commits take 10 ms.
	refusedLimit    = 150 * time.Millisecond
	unansweredLimit = 500 * time.Millisecond
	// takeoverReadLimit is the maximum duration of a read with which the store counts as fast for a host. A host that is
	// offered the ownership declines if its own reads take longer, since a takeover would not help then. Ordinary reads take
	// 6 ms.
	takeoverReadLimit = 120 * time.Millisecond

	// resetThreshold separates two reasons for an unknown outcome: a commit that fails sooner was cut off, for example by a
	// store that resets connections; one that fails later was not answered.
	resetThreshold = 80 * time.Millisecond

	commitRetryDelay = 20 * time.Millisecond
)

// ErrLost means that the ownership is over: another daemon owns the workers, or this one has released them.
var ErrLost = errors.New("election: ownership lost")

// ErrStoreSlow means that a daemon declined an offer of the ownership because the store is slow for it too.
var ErrStoreSlow = errors.New("election: the store is slow for this daemon too")

// Identity names one process of a daemon. A restarted daemon has another BootID.
type Identity struct {
	Host   string `json:"host"`
	Addr   string `json:"addr"` // peer address
	BootID string `json:"boot"` // random id of the process
}

// Owner is the content of the owner row.
type Owner struct {
	Identity
	Epoch     int64  `json:"epoch"`
	Released  bool   `json:"released,omitempty"`
	Successor string `json:"successor,omitempty"` // host that should claim a released ownership first
}

// head is the content of the head row. Epoch and BootID name the owner that wrote it, and Seq its transaction.
type head struct {
	Epoch  int64  `json:"epoch"`
	Seq    int64  `json:"seq"`
	BootID string `json:"boot"`
}

// Ownership is this process's term as the owner of the workers. Use Claim to start one.
type Ownership struct {
	store   rowstore.Store
	self    Identity
	epoch   int64
	elapsed func() time.Duration // monotonic clock that also counts while the host is suspended

	mu            sync.Mutex // locked during a commit
	version       int64      // of the head row
	lastHeartbeat time.Time
	released      bool

	seq          atomic.Int64 // number of the last transaction that was built; each transaction has its own
	refusedSince atomic.Int64 // elapsed() when the first of consecutive refused commits was sent; 0 if the last one was not refused
	pendingSince atomic.Int64 // elapsed() when the first unanswered commit was sent; 0 if there is none
	confirmedAt  atomic.Int64 // elapsed() when the last confirmed commit was sent
	lost         atomic.Bool
}

// Predecessor is the owner that a claim replaces.
type Predecessor struct {
	Epoch int64 // 0 for the first claim
	// LastSeq, if positive, is the number of the last transaction that the owner had built when it offered the ownership. If
	// the owner has committed a later one, the store serves it again, and it keeps the ownership.
	LastSeq int64
}

// Claim takes over the ownership and starts a new epoch. It fails with ErrLost if another daemon has claimed the ownership,
// if the owner commits during the claim, or if the owner no longer needs the offer. It fails with ErrStoreSlow if the ownership
// was offered but the store is slow for this daemon too. The store has to limit the duration of a commit.
func Claim(ctx context.Context, store rowstore.Store, self Identity, from Predecessor, elapsed func() time.Duration) (*Ownership, error) {
	began := time.Now()
	old, version, err := readHead(ctx, store)
	if err != nil {
		return nil, err
	}
	if from.LastSeq > 0 && time.Since(began) > takeoverReadLimit {
		return nil, ErrStoreSlow
	}
	if old.Epoch != from.Epoch || from.LastSeq > 0 && old.Seq > from.LastSeq {
		return nil, ErrLost
	}
	o := &Ownership{store: store, self: self, epoch: old.Epoch + 1, version: version, elapsed: elapsed}
	o.seq.Store(old.Seq)
	if err := o.Commit(ctx, nil, nil); err != nil {
		return nil, err
	}
	return o, nil
}

// readHead returns the content of the head row and its version, which is 0 if the row does not exist.
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

// LastSeq returns the number of the last transaction that was built.
func (o *Ownership) LastSeq() int64 { return o.seq.Load() }

// Epoch returns the number of this term. Each new owner has a higher one, so that it serves as a fencing token.
func (o *Ownership) Epoch() int64 { return o.epoch }

// LeaseValid reports whether the owner may send orders now: it has not lost the ownership, and its last confirmed commit was
// sent less than LeaseDuration ago.
func (o *Ownership) LeaseValid() bool {
	return !o.lost.Load() && o.elapsed()-time.Duration(o.confirmedAt.Load()) < LeaseDuration
}

// SinceLastCommit returns the time since the last confirmed commit was sent.
func (o *Ownership) SinceLastCommit() time.Duration {
	return o.elapsed() - time.Duration(o.confirmedAt.Load())
}

// CommitsFailing reports whether the store has refused this owner's commits for longer than refusedLimit, or left them
// unanswered for longer than unansweredLimit. The store may still serve other hosts, so the owner should offer them the
// ownership; they check whether the store is fast for them.
func (o *Ownership) CommitsFailing() bool {
	refused, pending := o.refusedSince.Load(), o.pendingSince.Load()
	return refused != 0 && o.elapsed()-time.Duration(refused) > refusedLimit ||
		pending != 0 && o.elapsed()-time.Duration(pending) > unansweredLimit
}

// StoreResponsive reports whether the store answers a read of this owner within takeoverReadLimit. If it does, the owner is not
// cut off from the store: the answers to commits get lost for every host, and a takeover would not help.
func (o *Ownership) StoreResponsive(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, takeoverReadLimit)
	defer cancel()
	_, _, err := readHead(ctx, o.store)
	return err == nil && ctx.Err() == nil
}

// MarkLost ends the ownership after another daemon has reported that it claimed it.
func (o *Ownership) MarkLost() { o.lost.Store(true) }

// Lost reports whether this process knows that its ownership is over.
func (o *Ownership) Lost() bool { return o.lost.Load() }

// Commit writes and removes rows of Partition and returns once the changes are durable. It resends a commit with an unknown
// outcome until ctx ends. Errors: ErrLost, rowstore.ErrUnavailable, rowstore.ErrRejected, rowstore.ErrUnknownOutcome.
func (o *Ownership) Commit(ctx context.Context, puts []rowstore.Put, removes []rowstore.Key) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.commit(ctx, puts, removes)
}

// Release ends the ownership and names the host that should claim it first. With an empty successor any host may claim it
// first.
func (o *Ownership) Release(ctx context.Context, successor string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.released = true
	put, err := o.ownerRow(successor)
	if err != nil {
		return err
	}
	err = o.commit(ctx, []rowstore.Put{put}, nil)
	o.lost.Store(true)
	return err
}

// commit is Commit with mu locked.
func (o *Ownership) commit(ctx context.Context, puts []rowstore.Put, removes []rowstore.Key) error {
	if o.lost.Load() {
		return ErrLost
	}
	txn, heartbeat, err := o.txn(puts, removes)
	if err != nil {
		return err
	}
	outcomeUnknown := false
	for {
		sentAt := o.elapsed()
		o.pendingSince.CompareAndSwap(0, int64(sentAt))
		version, err := o.store.Commit(ctx, txn)
		var conflict *rowstore.ConflictError
		switch {
		case err == nil:
			o.recordCommit(version, sentAt, heartbeat)
			return nil
		case errors.As(err, &conflict):
			done, err := o.resolveConflict(conflict, sentAt, heartbeat)
			if done || err != nil {
				return err
			}
			// An earlier commit of this owner took effect late; resolveConflict has read the version that it left.
			txn.Conditions[0].Version = o.version
			continue
		case errors.Is(err, rowstore.ErrUnavailable) && !outcomeUnknown:
			o.refusedSince.CompareAndSwap(0, int64(sentAt))
			o.pendingSince.Store(0)
			return err
		case errors.Is(err, rowstore.ErrRejected):
			// The store answers, and an earlier attempt without an answer had no effect either.
			o.refusedSince.Store(0)
			o.pendingSince.Store(0)
			return err
		case errors.Is(err, rowstore.ErrUnknownOutcome):
			outcomeUnknown = true
			if o.elapsed()-sentAt < resetThreshold {
				o.refusedSince.CompareAndSwap(0, int64(sentAt))
			}
		}
		if !wait.For(ctx, commitRetryDelay) {
			// The caller's next commit is conditional on the same version, so at most one of the two takes effect.
			return rowstore.ErrUnknownOutcome
		}
	}
}

// txn builds the next transaction. It also writes the owner row if a heartbeat is due, and reports whether it does.
func (o *Ownership) txn(puts []rowstore.Put, removes []rowstore.Key) (rowstore.Txn, bool, error) {
	value, err := json.Marshal(head{Epoch: o.epoch, Seq: o.seq.Add(1), BootID: o.self.BootID})
	if err != nil {
		return rowstore.Txn{}, false, errors.Wrap(err, "encode head")
	}
	txn := rowstore.Txn{
		Conditions: []rowstore.Condition{{Key: headKey, Version: o.version}},
		Puts:       append([]rowstore.Put{{Key: headKey, Value: value}}, puts...),
		Removes:    removes,
	}
	heartbeat := !o.released && time.Since(o.lastHeartbeat) >= HeartbeatInterval
	if heartbeat {
		put, err := o.ownerRow("")
		if err != nil {
			return rowstore.Txn{}, false, err
		}
		txn.Puts = append(txn.Puts, put)
	}
	return txn, heartbeat, nil
}

// ownerRow returns the write of the owner row.
func (o *Ownership) ownerRow(successor string) (rowstore.Put, error) {
	value, err := json.Marshal(Owner{Identity: o.self, Epoch: o.epoch, Released: o.released, Successor: successor})
	if err != nil {
		return rowstore.Put{}, errors.Wrap(err, "encode owner")
	}
	return rowstore.Put{Key: ownerKey, Value: value}, nil
}

// recordCommit updates the state after a commit that took effect and left the head row at version.
func (o *Ownership) recordCommit(version int64, sentAt time.Duration, heartbeat bool) {
	o.version = version
	o.refusedSince.Store(0)
	o.pendingSince.Store(0)
	o.confirmedAt.Store(int64(sentAt))
	if heartbeat {
		o.lastHeartbeat = time.Now()
	}
}

// resolveConflict finds out who changed the head row before a commit that failed its condition. It returns true if the
// commit itself had already taken effect and only its answer was lost. It returns false without an error if an earlier
// commit of this owner took effect late, and ErrLost if another daemon has claimed the ownership.
func (o *Ownership) resolveConflict(c *rowstore.ConflictError, sentAt time.Duration, heartbeat bool) (bool, error) {
	row, ok := c.Find(headKey)
	var current head
	if !ok || json.Unmarshal(row.Value, &current) != nil || current.Epoch != o.epoch || current.BootID != o.self.BootID {
		o.lost.Store(true)
		return false, ErrLost
	}
	if current.Seq == o.seq.Load() {
		o.recordCommit(row.Version, sentAt, heartbeat)
		return true, nil
	}
	o.version = row.Version
	return false, nil
}
