// Package ownership divides work into partitions and gives each partition to one daemon at a time.
//
// A partition's row in the table names the owner's session and an epoch that rises with every change of owner. An owner
// proves with a Guard, before each order that it sends, that it still owns the partition.
//
// A Manager claims a partition that has no row, was released, or names a session that is fenced, closed or replaced. The
// claim is a commit conditional on the versions of the partition's row and of the daemon's own session row, so neither a
// stale read nor a claim that arrives late can give a partition a second owner. A claim whose response was lost is read
// back, or found by a later scan. The desired owner is the winner of a rendezvous hash over the live sessions; an owner
// that is not the desired one stops its handler, releases the row with the successor's name, and tells the successor.
//
// When the session is lost, all guards fail at once and the handlers are stopped without handover. The incarnation of the
// session never becomes valid again: the partitions are claimed anew, with higher epochs.
package ownership

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// ErrNotOwner says that this daemon does not own the partition now, or cannot be sure that it does.
var ErrNotOwner = errors.New("ownership: not the owner of the partition")

// Guard stands for one daemon's ownership of one partition at one epoch. It is safe for concurrent use.
type Guard interface {
	// Partition returns the partition's name, such as "request/textos/3".
	Partition() string
	// Epoch returns the epoch of this ownership. Every change of owner raises it.
	Epoch() int64
	// RowKey and RowVersion identify the partition's row as it was claimed. A commit that is conditional on them fails
	// once another daemon has claimed the partition.
	RowKey() string
	RowVersion() int64
	// FencedAt returns the local time at which the previous owner was fenced, or a later one. It is zero when the previous
	// owner handed the partition over or when there was none. It is set after a handover too if an earlier owner was
	// fenced shortly before.
	FencedAt() time.Time
	// Check returns ErrNotOwner unless the ownership certainly holds now.
	Check() error
}

// Handler runs a partition while this daemon owns it.
type Handler interface {
	// Start loads the partition's state and begins to serve it. An error gives the partition back. ctx ends when the
	// ownership ends, so what Start leaves running may use it.
	Start(ctx context.Context, g Guard) error
	// Stop ends the service of the partition. When handover is true the daemon still owns the partition, and Stop
	// returns once nothing is in flight or ctx ends; ctx also ends if the ownership is lost meanwhile. Otherwise the
	// ownership is already lost and nothing may be sent. The partition is not started again before Stop has returned.
	Stop(ctx context.Context, partition string, handover bool)
}
