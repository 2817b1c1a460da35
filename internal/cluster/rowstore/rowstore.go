// Package rowstore is the client interface to a transactional store of rows that are divided into parts. A transaction
// covers rows of one part; a feed tells the changes of a table in order.
package rowstore

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

var (
	// ErrUnavailable means that the store certainly did nothing.
	ErrUnavailable = errors.New("rowstore: store unavailable")
	// ErrUnknownOutcome means that the call may have taken effect, or may take effect later if its conditions still hold.
	ErrUnknownOutcome = errors.New("rowstore: outcome unknown")
	// ErrHistoryLost means that the store no longer has the changes that a feed asks for; the table must be read again.
	ErrHistoryLost = errors.New("rowstore: history lost")
	// ErrConflict means that a condition did not hold; nothing was written. It is wrapped by ConflictError.
	ErrConflict = errors.New("rowstore: conflict")
)

// Key names a row.
type Key struct {
	Table string
	Part  string
	Name  string
}

// Row is one row as the store has it.
type Row struct {
	Key
	Value   []byte
	Version int64 // taken from a counter that rises with each transaction
	Deleted bool  // in feeds only: the row was removed
}

// Condition is the version that a row must have for a transaction to be applied; 0 means that the row must be absent.
type Condition struct {
	Key
	Version int64
}

// Put writes a row.
type Put struct {
	Key
	Value []byte
}

// Txn is applied as a whole or not at all. All its rows share one part.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Removes    []Key
}

// Limits of a transaction.
const (
	MaxTxnEntries = 100
	MaxTxnBytes   = 1 << 20
)

// ConflictError carries the current rows of a transaction's conditions.
type ConflictError struct {
	Rows []Row
}

func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Unwrap makes errors.Is(err, ErrConflict) true.
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

// Range selects rows of one part with From <= name < To; empty bounds are open.
type Range struct {
	Table, Part, From, To string
	Limit                 int // 0: as many as the store returns at once
}

// Page holds rows as of one moment, by ascending name.
type Page struct {
	Rows    []Row
	More    bool
	Version int64 // the store's newest version at that moment
}

// Changes are the rows of a table that changed after a version.
type Changes struct {
	Rows    []Row
	Version int64 // where to continue
}

// Store is the platform's store. Its answers are linearizable.
type Store interface {
	// Commit applies txn and returns the version of the rows written. Errors: *ConflictError, ErrUnavailable,
	// ErrUnknownOutcome.
	Commit(ctx context.Context, txn Txn) (int64, error)
	// Read returns one page of a range.
	Read(ctx context.Context, r Range) (Page, error)
	// Feed returns as soon as the table has changed after the version, or after wait without changes. Errors:
	// ErrHistoryLost, ErrUnavailable.
	Feed(ctx context.Context, table string, after int64, wait time.Duration) (Changes, error)
}

// ReadRow returns one row, or false if it doesn't exist.
func ReadRow(ctx context.Context, s Store, k Key) (Row, bool, error) {
	p, err := s.Read(ctx, Range{Table: k.Table, Part: k.Part, From: k.Name, To: k.Name + "\x00", Limit: 1})
	if err != nil {
		return Row{}, false, errors.Wrapf(err, "read row %s of table %s", k.Name, k.Table)
	}
	if len(p.Rows) == 0 {
		return Row{}, false, nil
	}
	return p.Rows[0], true, nil
}

// ReadAll returns all rows of a part and the version of the first page, from which a feed may continue: changes made
// while later pages are read are told again.
func ReadAll(ctx context.Context, s Store, table, part string) ([]Row, int64, error) {
	var rows []Row
	var version int64
	from := ""
	for first := true; ; first = false {
		p, err := s.Read(ctx, Range{Table: table, Part: part, From: from})
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
