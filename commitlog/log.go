// Package commitlog makes small records durable by group commit to the table service, fenced by the ownership epoch.
package commitlog

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/ownership"
)

var (
	// ErrNotWritten says that the records are certainly not durable and never will be.
	ErrNotWritten = errors.New("journal: records not written")
	// ErrOutcomeUnknown says that the records may or may not become durable.
	ErrOutcomeUnknown = errors.New("journal: outcome unknown")
	// ErrFenced says that another owner has claimed the partition; the journal accepts nothing more.
	ErrFenced = errors.New("journal: fenced by a newer owner")
)

// Log is the journal of one partition. It is safe for concurrent use.
type Log interface {
	// Append returns nil once the records are durable, in the order of the calls. When ctx ends first it returns
	// ErrNotWritten if the records were not yet part of a commit and were withdrawn, and ErrOutcomeUnknown otherwise.
	// ErrFenced also means that the records were not written.
	Append(ctx context.Context, records ...[]byte) error
	// AppendAsync queues records without waiting. They keep their place in the order.
	AppendAsync(records ...[]byte)
	// Flush returns nil once everything queued before the call is durable.
	Flush(ctx context.Context) error
	// Healthy is false while commits fail or hang, so that callers can refuse at once instead of waiting.
	Healthy() bool
	// Bytes returns the size of the segments since the last snapshot, for deciding when to compact.
	Bytes() int
	// Compact replaces all that was appended before the call.
	Compact(ctx context.Context, c Compaction) error
	// Close stops the journal. Records that are not yet part of a commit are withdrawn.
	Close()
}

// Compaction replaces what was appended to a journal. It takes effect as a whole or not at all.
type Compaction struct {
	// Snapshot is in force from now on, instead of the last snapshot and all that was appended after it.
	Snapshot [][]byte
	// Archive holds records that stay in force until a later compaction drops them, so that it need not repeat them.
	Archive []Archive
	// Drop holds the ids of archives that are no longer in force. Those that do not exist are ignored.
	Drop []int64
}

// Archive is a record that is kept in a row of its own. An owner must not use an id for two different records, and a new
// owner only higher ids than those in force.
type Archive struct {
	ID     int64
	Record []byte // at most MaxRecordBytes
}

// Opener opens the journal of a partition that this daemon owns.
type Opener interface {
	// Open returns the journal and the records that are in force, oldest first: the archives, the last snapshot and the
	// segments after it.
	Open(ctx context.Context, g ownership.Guard) (Log, [][]byte, error)
}
