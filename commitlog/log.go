// Package commitlog is a journal of small records in the table service. Each partition has its own journal, and all
// journals of a daemon share one group commit. Every commit is conditional on the partition's ownership epoch, which
// serves as a fencing token: a former owner cannot append any more.
package commitlog

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/ownership"
)

var (
	// ErrNotWritten means that the records are certainly not durable and never will be.
	ErrNotWritten = errors.New("journal: records not written")
	// ErrOutcomeUnknown means that the records may be durable, or may become durable later.
	ErrOutcomeUnknown = errors.New("journal: outcome unknown")
	// ErrFenced means that another owner has claimed the partition. The journal accepts no more records.
	ErrFenced = errors.New("journal: fenced by a newer owner")
)

// Log is the journal of one partition. It is safe for concurrent use.
type Log interface {
	// Append returns nil once the records are durable. The journal keeps the order of the calls. If ctx ends while the
	// records are still queued, Append withdraws them and returns ErrNotWritten; if they are already part of a commit, it
	// returns ErrOutcomeUnknown. ErrFenced also means that the records were not written.
	Append(ctx context.Context, records ...[]byte) error
	// AppendAsync queues records without waiting. They are written in the order of the calls of Append and AppendAsync.
	AppendAsync(records ...[]byte)
	// Flush returns nil once everything queued before the call is durable.
	Flush(ctx context.Context) error
	// Healthy is false while commits fail or hang. Callers can then refuse requests at once instead of waiting.
	Healthy() bool
	// Bytes returns the size of the segments since the last snapshot. Callers use it to decide when to compact.
	Bytes() int
	// Compact replaces everything that was appended before the call.
	Compact(ctx context.Context, c Compaction) error
	// Close stops the journal. Records that are not yet part of a commit are withdrawn.
	Close()
}

// Compaction replaces what was appended to a journal. It is atomic.
type Compaction struct {
	// Snapshot replaces the last snapshot and everything that was appended after it.
	Snapshot [][]byte
	// Archive holds records to keep until a later compaction drops them. Later compactions need not repeat them.
	Archive []Archive
	// Drop holds the ids of the archives to delete. Ids of archives that do not exist are ignored.
	Drop []int64
}

// Archive is a record that is kept in a row of its own. An owner must not use one id for two different records, and a new
// owner must use higher ids than those of the existing archives.
type Archive struct {
	ID     int64
	Record []byte // at most MaxRecordBytes
}

// Opener opens the journal of a partition that this daemon owns.
type Opener interface {
	// Open returns the journal and its current records, oldest first: the archives, the last snapshot and the segments
	// after it.
	Open(ctx context.Context, g ownership.Guard) (Log, [][]byte, error)
}
