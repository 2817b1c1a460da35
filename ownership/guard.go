// Package ownership divides work into partitions and gives each partition to one daemon at a time.
//
// A partition's row in the table names the owner's session and an epoch that rises with every change of owner. An owner
// proves with a Guard, before each order that it sends, that it still owns the partition.
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
	// Start loads the partition's state and begins to serve it. An error gives the partition back.
	Start(ctx context.Context, g Guard) error
	// Stop ends the service of the partition. When handover is true the daemon still owns the partition, and Stop
	// returns once nothing is in flight or ctx ends. Otherwise the ownership is already lost and nothing may be sent.
	Stop(ctx context.Context, partition string, handover bool)
}
