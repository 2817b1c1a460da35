// Package ownership divides work into partitions and assigns each partition to one daemon at a time.
//
// A partition's row in the table names the owner's session and an epoch, the fencing token, which rises with every
// change of owner. Before each command that it sends, an owner checks with a Guard that it still owns the partition.
//
// A Manager claims a partition that has no row, that was released, or whose row names a session that has been fenced,
// closed or replaced. The claim is a commit that is conditional on the versions of the partition's row and of the
// daemon's own session row, so neither a stale read nor a claim that arrives late can give a partition a second owner.
// If the response to a claim is lost, the daemon reads the row back, or finds its claim in a later scan. The assignment
// is balanced, and rendezvous hashing over the live sessions breaks ties. An owner that is no longer the desired one
// stops its handler, releases the row with the name of the successor, and notifies the other daemons.
//
// When a daemon loses its session, all its guards fail at once and the Manager stops the handlers without a handover.
// That incarnation of the session never becomes valid again: the partitions are claimed again, with higher epochs.
package ownership

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// ErrNotOwner is returned when this daemon does not own the partition now, or cannot be sure that it does.
var ErrNotOwner = errors.New("ownership: not the owner of the partition")

// Guard represents one daemon's ownership of one partition at one epoch. It is safe for concurrent use.
type Guard interface {
	// Partition returns the partition's name, such as "request/textos/3".
	Partition() string
	// Epoch returns the epoch of this ownership, which serves as the fencing token. Every change of owner raises it.
	Epoch() int64
	// RowKey and RowVersion identify the partition's row as this daemon claimed it. A commit that is conditional on
	// them fails once another daemon has claimed the partition.
	RowKey() string
	RowVersion() int64
	// FencedAt returns the local time at which the previous owner was fenced, or a later time. It is zero if the
	// previous owner handed the partition over or if there was no previous owner, except that it is also set after a
	// handover if an earlier owner was fenced shortly before.
	FencedAt() time.Time
	// Check returns nil if this daemon certainly owns the partition now, and ErrNotOwner otherwise.
	Check() error
}

// Handler serves a partition while this daemon owns it.
type Handler interface {
	// Start loads the partition's state and begins to serve it. If Start returns an error, the Manager releases the
	// partition. ctx is cancelled when the ownership ends, so goroutines that Start leaves running may use it.
	Start(ctx context.Context, g Guard) error
	// Stop stops serving the partition. If handover is true, the daemon still owns the partition, and Stop returns once
	// nothing is in flight or ctx is cancelled, which also happens if the daemon loses the ownership meanwhile. If
	// handover is false, the ownership is already lost and the handler must send nothing more. The Manager does not
	// start the partition again before Stop has returned.
	Stop(ctx context.Context, partition string, handover bool)
}
