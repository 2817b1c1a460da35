// Package versionedlist keeps versioned lists of key-value entries in the table service. Operators change a list by
// compare-and-set edits. Every process keeps a copy of it, whose version never decreases.
//
// A list has these rows: list/<name>/head holds the current version, list/<name>/log/<version> holds one accepted edit,
// and list/<name>/snapshot holds all entries at the last version divisible by 64.
package versionedlist

import (
	"context"
	"encoding/json"
	"fmt"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/table"
)

const (
	// SnapshotEvery is the number of versions between snapshots. A new follower reads at most that many log rows.
	SnapshotEvery = 64
	// HistoryVersions is the minimum number of versions whose log rows are kept.
	HistoryVersions = 4096
)

var (
	// ErrConflict means that the list is not at the version that the edit was based on.
	ErrConflict = errors.New("versionedlist: list was changed by another edit")
	// ErrInvalid means that validation rejected the edit. Nothing was written.
	ErrInvalid = errors.New("versionedlist: invalid edit")
	// ErrUnavailable means that the store could not be read or did not process the edit. Nothing was written.
	ErrUnavailable = errors.New("versionedlist: store unavailable")
	// ErrUnknownOutcome means that the edit may have been written. The caller may retry the same edit with the same id.
	ErrUnknownOutcome = errors.New("versionedlist: outcome of the edit is unknown")
	// ErrCorrupt means that a row of the list is missing or cannot be decoded.
	ErrCorrupt = errors.New("versionedlist: rows are corrupt")
)

// ConflictError holds the current version of the list and the author of that version. It matches ErrConflict.
type ConflictError struct {
	List    string
	Version int64
	Author  string // empty if it could not be read
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("versionedlist: list %q is at version %d, edited by %q", e.List, e.Version, e.Author)
}

// Is makes errors.Is(err, ErrConflict) true.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Edit is a change that an author requests.
type Edit struct {
	Base   int64                      `json:"base"` // version that the edit is based on, 0 for an empty list
	Author string                     `json:"author"`
	ID     string                     `json:"edit_id"` // unique; makes it safe to submit the same edit again
	Set    map[string]json.RawMessage `json:"set,omitempty"`
	Remove []string                   `json:"remove,omitempty"`
}

// Change is an accepted edit. It is the value of a log row.
type Change struct {
	Version int64                      `json:"version"`
	Author  string                     `json:"author"`
	ID      string                     `json:"edit_id"`
	Time    time.Time                  `json:"time"` // from the clock of the process that wrote it, for display only
	Set     map[string]json.RawMessage `json:"set,omitempty"`
	Remove  []string                   `json:"remove,omitempty"`
}

// Snapshot is the list at one version. It is immutable: callers must not modify the values that it returns.
type Snapshot struct {
	version int64
	entries map[string]json.RawMessage
}

// NewSnapshot returns a snapshot of entries. The caller must not modify entries afterwards.
func NewSnapshot(version int64, entries map[string]json.RawMessage) *Snapshot {
	return &Snapshot{version: version, entries: entries}
}

// Version returns the version, which is 0 if the list was never edited.
func (s *Snapshot) Version() int64 { return s.version }

// Get returns the value of an entry.
func (s *Snapshot) Get(key string) (json.RawMessage, bool) {
	v, ok := s.entries[key]
	return v, ok
}

// Len returns the number of entries.
func (s *Snapshot) Len() int { return len(s.entries) }

// All iterates over the entries in no particular order.
func (s *Snapshot) All() iter.Seq2[string, json.RawMessage] { return maps.All(s.entries) }

// MarshalJSON writes the version and the entries.
func (s *Snapshot) MarshalJSON() ([]byte, error) {
	return json.Marshal(snapshotRow{Version: s.version, Entries: s.entries})
}

// withChanges returns a new snapshot with consecutive changes applied.
func (s *Snapshot) withChanges(changes ...Change) *Snapshot {
	entries := maps.Clone(s.entries)
	if entries == nil {
		entries = map[string]json.RawMessage{}
	}
	version := s.version
	for _, c := range changes {
		maps.Copy(entries, c.Set)
		for _, k := range c.Remove {
			delete(entries, k)
		}
		version = c.Version
	}
	return NewSnapshot(version, entries)
}

// headRow is the value of row list/<name>/head.
type headRow struct {
	Version int64 `json:"version"`
}

// snapshotRow is the value of row list/<name>/snapshot.
type snapshotRow struct {
	Version int64                      `json:"version"`
	Entries map[string]json.RawMessage `json:"entries"`
}

func headKey(list string) string     { return "list/" + list + "/head" }
func snapshotKey(list string) string { return "list/" + list + "/snapshot" }
func logPrefix(list string) string   { return "list/" + list + "/log/" }
func logKey(list string, v int64) string {
	return fmt.Sprintf("%s%012d", logPrefix(list), v)
}

// reader reads the rows of one list.
type reader struct {
	client table.Client
	list   string
}

// get decodes a row into out and returns the row's version. If the row does not exist, it returns 0 and leaves out as it
// is.
func (r reader) get(ctx context.Context, key string, out any) (int64, error) {
	row, err := r.client.Get(ctx, key)
	switch {
	case errors.Is(err, table.ErrNotFound):
		return 0, nil
	case err != nil:
		return 0, errors.Wrap(ErrUnavailable, err.Error())
	}
	if err := json.Unmarshal(row.Value, out); err != nil {
		return 0, errors.Wrapf(ErrCorrupt, "row %q: %v", key, err)
	}
	return row.Version, nil
}

// head returns the list's version and the version of the head row.
func (r reader) head(ctx context.Context) (version, row int64, err error) {
	var h headRow
	row, err = r.get(ctx, headKey(r.list), &h)
	return h.Version, row, err
}

// change returns the log row of a version. ok is false if the row does not exist.
func (r reader) change(ctx context.Context, version int64) (c Change, ok bool, err error) {
	row, err := r.get(ctx, logKey(r.list, version), &c)
	return c, row != 0 && c.Version == version, err
}

// changes returns the consecutive log rows that follow a version, oldest first and at most limit.
func (r reader) changes(ctx context.Context, after int64, limit int) ([]Change, error) {
	rows, err := r.client.Scan(ctx, logPrefix(r.list), logKey(r.list, after), limit)
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	var out []Change
	for _, row := range rows {
		var c Change
		if err := json.Unmarshal(row.Value, &c); err != nil {
			return nil, errors.Wrapf(ErrCorrupt, "row %q: %v", row.Key, err)
		}
		if c.Version != after+1 {
			break
		}
		after++
		out = append(out, c)
	}
	return out, nil
}

// readUpTo reads the rows that are needed to bring the snapshot from up to version, among them at most SnapshotEvery log
// rows. If the store's reads are stale, the result is older than version. changes holds the changes between from and to;
// it is nil if the snapshot row was used.
func (r reader) readUpTo(ctx context.Context, from *Snapshot, version int64) (to *Snapshot, changes []Change, err error) {
	if from.version >= version {
		return from, nil, nil
	}
	to = from
	fromSnapshotRow := false
	if version-from.version > SnapshotEvery {
		var row snapshotRow
		if _, err := r.get(ctx, snapshotKey(r.list), &row); err != nil {
			return from, nil, err
		}
		if row.Version > from.version {
			to, fromSnapshotRow = NewSnapshot(row.Version, row.Entries), true
		}
	}
	if to.version >= version {
		return to, nil, nil
	}
	changes, err = r.changes(ctx, to.version, int(min(SnapshotEvery, version-to.version)))
	if err != nil {
		return from, nil, err
	}
	to = to.withChanges(changes...)
	if fromSnapshotRow {
		changes = nil
	}
	return to, changes, nil
}

// sortedUnique returns the keys in order and without duplicates.
func sortedUnique(keys []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(keys)))
}
