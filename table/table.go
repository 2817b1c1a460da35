// Package table is the interface to the platform's transactional table service, which stores all state that must survive
// the end of a process.
//
// Commits are atomic and linearizable. The service need not deduplicate transactions: a writer that does not know the
// outcome of its commit reads the row back and recognizes its own write.
package table

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
)

// AnyVersion in a Condition requires that the row exists, at any version.
const AnyVersion int64 = -1

var (
	// ErrNotFound means that the row does not exist.
	ErrNotFound = errors.New("table: row not found")
	// ErrConflict means that a condition did not hold. Nothing was written.
	ErrConflict = errors.New("table: condition failed")
	// ErrUnavailable means that the service did not process the call. Nothing was written.
	ErrUnavailable = errors.New("table: service unavailable")
	// ErrUnknownOutcome means that the response was lost. The write may have taken effect, or may do so later.
	ErrUnknownOutcome = errors.New("table: outcome of the commit is unknown")
)

// Row is one row of the table. Version 0 means that the row does not exist.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"`
}

// Condition requires a row to be at Version when the transaction commits. Version 0 requires that the row does not exist,
// AnyVersion that it exists.
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

// Txn is a set of operations that take effect atomically if all conditions hold.
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Ops        []Op        `json:"ops"`
}

// Result holds the new version of each row that a commit wrote. It does not list deleted rows.
type Result struct {
	Versions map[string]int64 `json:"versions"`
}

// ConflictError names the row whose condition failed. It matches ErrConflict.
type ConflictError struct {
	Key     string
	Version int64 // the row's version at the time of the commit, 0 if it did not exist
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
	// scanPageRows is the number of rows that ScanAll reads per call.
	scanPageRows = 500
	// largeScanPageRows keeps a page of rows of up to 512 KB each below the 64 MB that a client accepts in one response.
	largeScanPageRows = 32
)

// ScanAll returns all rows whose keys start with prefix, in key order. It reads them page by page, so they are not a
// consistent snapshot.
func ScanAll(ctx context.Context, c Client, prefix string) ([]Row, error) {
	return scan(ctx, c, prefix, scanPageRows)
}

// ScanAllLarge is like ScanAll, but reads smaller pages, for rows of up to 512 KB.
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
