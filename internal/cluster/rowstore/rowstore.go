// Package rowstore defines the client interface of the platform's transactional store. Its tables are divided into
// partitions. A transaction covers rows of one partition; a change feed returns the changes of a table in order.
package rowstore

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

var (
	// ErrUnavailable means that the call failed and certainly had no effect.
	ErrUnavailable = errors.New("rowstore: store unavailable")
	// ErrOverloaded is wrapped together with ErrUnavailable if all hosts together call the store more often than it allows.
	ErrOverloaded = errors.New("rowstore: too many calls")
	// ErrRejected means that the store does not take this transaction for what it holds, so it had no effect and would have none if
	// it were sent again.
	ErrRejected = errors.New("rowstore: transaction rejected")
	// ErrUnknownOutcome means that the call may have taken effect, or may take effect later if its conditions still hold.
	ErrUnknownOutcome = errors.New("rowstore: outcome unknown")
	// ErrHistoryLost means that the store no longer has all changes that a feed call asks for; the table must be read again.
	ErrHistoryLost = errors.New("rowstore: history lost")
	// ErrConflict means that a condition did not hold, so nothing was written. ConflictError wraps it.
	ErrConflict = errors.New("rowstore: conflict")
)

// Key identifies a row.
type Key struct {
	Table     string
	Partition string
	Name      string
}

// Row is a row and the version at which it was last written.
type Row struct {
	Key
	Value   []byte
	Version int64 // the store's version counter, which each transaction increases
	Deleted bool  // in feeds only: the row was removed
}

// Condition is the version that a row must have for a transaction to be applied; 0 means that the row must be absent.
type Condition struct {
	Key
	Version int64
}

// Put inserts or replaces a row.
type Put struct {
	Key
	Value []byte
}

// Txn is an atomic transaction. All its rows belong to one partition.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Removes    []Key
}

// Limits of a transaction.
const (
	MaxTxnEntries = 100
	MaxTxnBytes   = 1 << 20 // of the encoded transaction, in which values are base64
)

// DefaultMaxRowBytes is the usual limit of the store for the value of a row.
const DefaultMaxRowBytes = 64 << 10

// MaxValueBytes returns how long a value may be if the store limits rows to maxRowBytes; 0 stands for DefaultMaxRowBytes. The store
// may count the value or its base64 encoding, which is a third longer.
func MaxValueBytes(maxRowBytes int) int {
	if maxRowBytes <= 0 {
		maxRowBytes = DefaultMaxRowBytes
	}
	return maxRowBytes / 4 * 3
}

// ConflictError is returned for a transaction with a condition that does not hold. It contains the current rows of all its
// conditions; rows that are absent are left out.
type ConflictError struct {
	Rows []Row
}

func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Unwrap returns ErrConflict, for errors.Is.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Find returns the current row with the key, or false if it is absent.
func (e *ConflictError) Find(k Key) (Row, bool) {
	for _, r := range e.Rows {
		if r.Key == k && r.Version != 0 && !r.Deleted {
			return r, true
		}
	}
	return Row{}, false
}

// Range selects the rows of one partition with From <= name < To. An empty bound does not restrict the rows.
type Range struct {
	Table, Partition, From, To string
	Limit                      int // maximum number of rows; 0 means as many as the store returns at once
}

// Page is a consistent snapshot of the first rows of a range, sorted by name.
type Page struct {
	Rows    []Row
	More    bool  // the range has more rows
	Version int64 // the store's newest version at the time of the snapshot
}

// Changes are the rows of a table that changed after a version.
type Changes struct {
	Rows    []Row
	Version int64 // version from which the next feed call continues
}

// Store is a client of the platform's store, which is linearizable.
type Store interface {
	// Commit applies txn atomically and returns the version of the rows written. Errors: *ConflictError, ErrUnavailable,
	// ErrRejected, ErrUnknownOutcome.
	Commit(ctx context.Context, txn Txn) (int64, error)
	// Read returns one page of a range.
	Read(ctx context.Context, r Range) (Page, error)
	// Feed is a long poll for changes of a table. It returns as soon as there are changes after the version, or without
	// changes after wait. Errors: ErrHistoryLost, ErrUnavailable.
	Feed(ctx context.Context, table string, after int64, wait time.Duration) (Changes, error)
}

// ReadRow returns one row, or false if it doesn't exist.
func ReadRow(ctx context.Context, s Store, k Key) (Row, bool, error) {
	p, err := s.Read(ctx, Range{Table: k.Table, Partition: k.Partition, From: k.Name, To: k.Name + "\x00", Limit: 1})
	if err != nil {
		return Row{}, false, errors.Wrapf(err, "read row %s of table %s", k.Name, k.Table)
	}
	if len(p.Rows) == 0 {
		return Row{}, false, nil
	}
	return p.Rows[0], true, nil
}

// ReadAll returns all rows of a partition and the version of the first page. A feed from that version repeats the changes made
// while later pages were read, so none is missed.
func ReadAll(ctx context.Context, s Store, table, partition string) ([]Row, int64, error) {
	var rows []Row
	var version int64
	from := ""
	for first := true; ; first = false {
		p, err := s.Read(ctx, Range{Table: table, Partition: partition, From: from})
		if err != nil {
			return nil, 0, errors.Wrapf(err, "read table %s", table)
		}
		if first {
			version = p.Version
		}
		rows = append(rows, p.Rows...)
		if !p.More || len(p.Rows) == 0 {
			return rows, version, nil
		}
		from = p.Rows[len(p.Rows)-1].Name + "\x00"
	}
}
