// Package table is the interface to the platform's transactional table service, where everything that must outlive a
// process is kept.
//
// A commit is all or nothing and linearizable. The package assumes nothing about transaction identifiers on the
// service's side: a writer recognizes its own write by reading the row back.
package table

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
)

// AnyVersion in a Condition requires that the row exists, at whatever version.
const AnyVersion int64 = -1

var (
	// ErrNotFound says that the row is absent.
	ErrNotFound = errors.New("table: row not found")
	// ErrConflict says that a condition did not hold; nothing was written.
	ErrConflict = errors.New("table: condition failed")
	// ErrUnavailable says that the service did not take the call; nothing was written.
	ErrUnavailable = errors.New("table: service unavailable")
	// ErrUnknownOutcome says that the answer was lost; the write may have taken effect.
	ErrUnknownOutcome = errors.New("table: outcome of the commit is unknown")
)

// Row is one row of the table. Version 0 means that the row is absent.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"`
}

// Condition requires a row to be at Version when the transaction commits: 0 for an absent row, AnyVersion for a row
// that exists.
type Condition struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Op writes or deletes one row.
type Op struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a set of operations that take effect together if all conditions hold.
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Ops        []Op        `json:"ops"`
}

// Result gives the new version of each row that a commit wrote. Deleted rows are not listed.
type Result struct {
	Versions map[string]int64 `json:"versions"`
}

// ConflictError names the row whose condition failed. It matches ErrConflict.
type ConflictError struct {
	Key     string
	Version int64 // the row's version at the time of the commit, 0 if absent
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("table: condition on %q failed: row is at version %d", e.Key, e.Version)
}

// Is makes errors.Is(err, ErrConflict) true.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Client talks to the table service. Implementations are safe for concurrent use.
type Client interface {
	// Get returns the row at key. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns at most limit rows, in key order, whose keys start with prefix and sort after the key after.
	// Errors: ErrUnavailable.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies txn if all its conditions hold. Errors: ErrConflict (as *ConflictError), ErrUnavailable,
	// ErrUnknownOutcome.
	Commit(ctx context.Context, txn Txn) (Result, error)
}

const (
	// scanPageRows is the number of rows that ScanAll reads with one call.
	scanPageRows = 500
	// largeScanPageRows keeps a page of rows of up to 512 KB below the 64 MB that a client accepts.
	largeScanPageRows = 32
)

// ScanAll returns all rows whose keys start with prefix, in key order. The rows are read page by page and are not one
// snapshot.
func ScanAll(ctx context.Context, c Client, prefix string) ([]Row, error) {
	return scan(ctx, c, prefix, scanPageRows)
}

// ScanAllLarge is ScanAll for rows of up to 512 KB.
func ScanAllLarge(ctx context.Context, c Client, prefix string) ([]Row, error) {
	return scan(ctx, c, prefix, largeScanPageRows)
}

func scan(ctx context.Context, c Client, prefix string, pageRows int) ([]Row, error) {
	var all []Row
	after := ""
	for {
		rows, err := c.Scan(ctx, prefix, after, pageRows)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if len(rows) < pageRows {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}
