package versionedlist

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/wait"
	"github.com/greengagewing/greengagewing/table"
)

const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// maxAttempts bounds the attempts of an edit as long as nothing can have been written. With the delays they take
	// about 4 s.
	maxAttempts = 8
)

// Validate checks the list as it would be after an edit. An error rejects the edit. The edit is committed only if the
// returned conditions hold; a Validate that depends on other rows returns conditions on them, so that it cannot accept an
// edit because of outdated rows. If a condition fails, Validate is called again.
type Validate func(ctx context.Context, next *Snapshot) ([]table.Condition, error)

// EditorConfig configures an Editor. Zero values mean the defaults.
type EditorConfig struct {
	Validate Validate         // default: accepts every edit
	Now      func() time.Time // default: time.Now
	Rand     func() float64   // in [0,1), for the jitter of retries
}

// Editor changes one list. It is safe for concurrent use.
type Editor struct {
	reader
	cfg EditorConfig
	// latest is the newest snapshot that this editor has read. Load continues from it.
	latest atomic.Pointer[Snapshot]
}

// NewEditor returns an editor for the list.
func NewEditor(client table.Client, list string, cfg EditorConfig) *Editor {
	if cfg.Validate == nil {
		cfg.Validate = func(context.Context, *Snapshot) ([]table.Condition, error) { return nil, nil }
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.Float64
	}
	e := &Editor{reader: reader{client: client, list: list}, cfg: cfg}
	e.latest.Store(NewSnapshot(0, nil))
	return e
}

// Load reads the list from the store. The returned condition holds as long as the list stays at this version. Errors:
// ErrUnavailable, ErrCorrupt.
func (e *Editor) Load(ctx context.Context) (*Snapshot, table.Condition, error) {
	version, row, err := e.head(ctx)
	if err != nil {
		return nil, table.Condition{}, err
	}
	from := e.latest.Load()
	if from.version > version {
		from = NewSnapshot(0, nil)
	}
	snap, _, err := e.readUpTo(ctx, from, version)
	if err != nil {
		return nil, table.Condition{}, err
	}
	if snap.version > version {
		// An edit was committed after the head was read, so the condition on the head would fail.
		return nil, table.Condition{}, errors.Wrap(ErrUnavailable, "list changed while it was read")
	}
	if snap.version < version {
		return nil, table.Condition{}, errors.Wrapf(ErrUnavailable, "log row %d is absent", snap.version+1)
	}
	if old := e.latest.Load(); old.version < version {
		e.latest.CompareAndSwap(old, snap)
	}
	return snap, table.Condition{Key: headKey(e.list), Version: row}, nil
}

// Edit commits an edit if the list is at the edit's base version and the result is valid. If an earlier call with the same
// id and author has committed the edit, Edit returns that change. If the outcome of a commit is unknown, Edit retries
// until the outcome is certain or ctx ends. Errors: *ConflictError, ErrInvalid (wraps the error of Validate),
// ErrUnavailable, ErrUnknownOutcome, ErrCorrupt.
func (e *Editor) Edit(ctx context.Context, ed Edit) (Change, error) {
	if err := checkEdit(ed); err != nil {
		return Change{}, err
	}
	uncertain := false
	for attempt := 1; ; attempt++ {
		c, retry, err := e.tryEdit(ctx, ed)
		uncertain = uncertain || errors.Is(err, ErrUnknownOutcome)
		switch {
		case err == nil:
			return c, nil
		case retry && (uncertain || attempt < maxAttempts) && wait.For(ctx, retryDelay(attempt, e.cfg.Rand())):
		case uncertain && (retry || !errors.Is(err, ErrConflict)):
			// Only the log shows whether the earlier commit took effect. A later validation or read does not.
			return Change{}, errors.Wrap(ErrUnknownOutcome, err.Error())
		default:
			return Change{}, err
		}
	}
}

// tryEdit makes one attempt. retry is true if another attempt may succeed, or may find that an earlier one succeeded.
func (e *Editor) tryEdit(ctx context.Context, ed Edit) (c Change, retry bool, err error) {
	if c, known, err := e.Outcome(ctx, ed); known || err != nil {
		return c, !known, err
	}
	current, head, err := e.Load(ctx)
	if err != nil {
		return Change{}, true, err
	}
	if current.version > ed.Base {
		return Change{}, true, errors.Wrap(ErrUnavailable, "list changed while it was read")
	}
	if current.version < ed.Base {
		// Either the base version does not exist or the store's reads are stale.
		return Change{}, true, e.conflictError(ctx, current.version)
	}
	change := Change{
		Version: ed.Base + 1, Author: ed.Author, ID: ed.ID, Time: e.cfg.Now().UTC(), Set: ed.Set,
		Remove: sortedUnique(ed.Remove),
	}
	txn, err := e.transaction(ctx, current, head, change)
	if err != nil {
		return Change{}, errors.Is(err, ErrUnavailable), err
	}
	return e.commit(ctx, ed, change, txn)
}

// Outcome reports whether an edit was committed. This is known once the base version is not current, because the edit
// then either was committed or never will be; if it was not, the error is a *ConflictError. Outcome returns false if the
// list is still at the base version. Errors: *ConflictError, ErrUnavailable, ErrCorrupt.
func (e *Editor) Outcome(ctx context.Context, ed Edit) (Change, bool, error) {
	version, _, err := e.head(ctx)
	if err != nil || version <= ed.Base {
		return Change{}, false, err
	}
	c, ok, err := e.change(ctx, ed.Base+1)
	switch {
	case err != nil:
		return Change{}, false, err
	case ok && c.ID == ed.ID && c.Author == ed.Author:
		return c, true, nil
	case !ok && version-ed.Base <= HistoryVersions:
		return Change{}, false, errors.Wrapf(ErrUnavailable, "log row %d is absent", ed.Base+1)
	}
	return Change{}, true, e.conflictError(ctx, version)
}

// commit commits the transaction of an edit. Its results are those of tryEdit.
func (e *Editor) commit(ctx context.Context, ed Edit, change Change, txn table.Txn) (Change, bool, error) {
	_, err := e.client.Commit(ctx, txn)
	var conflict *table.ConflictError
	switch {
	case err == nil:
		return change, false, nil
	case errors.As(err, &conflict) && conflict.Key == headKey(e.list):
		// The list is past the base version, because of an earlier commit of this edit or because of another edit.
		c, known, err := e.Outcome(ctx, ed)
		if !known && err == nil {
			err = errors.Wrap(ErrUnavailable, "the head row was changed, but reads do not show the change yet")
		}
		if !known {
			// An earlier call with this edit may have changed the head row.
			err = errors.Wrap(ErrUnknownOutcome, err.Error())
		}
		return c, !known, err
	case errors.Is(err, table.ErrUnavailable) || errors.Is(err, table.ErrConflict):
		return Change{}, true, errors.Wrap(ErrUnavailable, err.Error())
	}
	return Change{}, true, errors.Wrap(ErrUnknownOutcome, err.Error())
}

// conflictError returns a *ConflictError for the given current version. It reads the author from the log.
func (e *Editor) conflictError(ctx context.Context, version int64) error {
	c, _, err := e.change(ctx, version)
	if err != nil {
		c.Author = ""
	}
	return &ConflictError{List: e.list, Version: version, Author: c.Author}
}

// transaction validates a change and returns the transaction that writes it. At every version divisible by SnapshotEvery
// the transaction also writes a snapshot and deletes the log rows that are not among the last HistoryVersions.
func (e *Editor) transaction(ctx context.Context, current *Snapshot, head table.Condition,
	change Change) (table.Txn, error) {
	next := current.withChanges(change)
	conditions, err := e.cfg.Validate(ctx, next)
	if errors.Is(err, ErrUnavailable) {
		return table.Txn{}, err
	}
	if absent := checkKeysPresent(current, change.Remove); absent != nil {
		err = errors.Join(absent, err)
	}
	if err != nil {
		return table.Txn{}, &invalidError{cause: err}
	}
	txn := table.Txn{Conditions: append([]table.Condition{head}, conditions...)}
	put := func(key string, v any) {
		if err == nil {
			var raw []byte
			raw, err = json.Marshal(v)
			txn.Ops = append(txn.Ops, table.Op{Key: key, Value: raw})
		}
	}
	put(logKey(e.list, change.Version), change)
	put(headKey(e.list), headRow{Version: change.Version})
	if change.Version%SnapshotEvery == 0 {
		put(snapshotKey(e.list), next)
		for v := change.Version - HistoryVersions - SnapshotEvery + 1; v <= change.Version-HistoryVersions; v++ {
			if v > 0 {
				txn.Ops = append(txn.Ops, table.Op{Key: logKey(e.list, v), Delete: true})
			}
		}
	}
	if err != nil {
		return table.Txn{}, &invalidError{cause: err}
	}
	return txn, nil
}

// History returns the last accepted edits, newest first, at most limit and at most HistoryVersions plus SnapshotEvery.
// Errors: ErrUnavailable, ErrCorrupt.
func (e *Editor) History(ctx context.Context, limit int) ([]Change, error) {
	version, _, err := e.head(ctx)
	if err != nil || limit < 1 {
		return nil, err
	}
	oldest := max(0, version-int64(min(limit, HistoryVersions)))
	var out []Change
	for after := oldest; after < version; {
		page, err := e.changes(ctx, after, SnapshotEvery)
		if err != nil {
			return nil, err
		}
		if len(page) == 0 {
			break
		}
		out = append(out, page...)
		after += int64(len(page))
	}
	slices.Reverse(out)
	return out[:min(limit, len(out))], nil
}

// AbsentError lists the keys that an edit removes but that the list does not have. An error with it in its chain matches
// ErrInvalid.
type AbsentError struct{ Keys []string }

func (e *AbsentError) Error() string { return fmt.Sprintf("remove: no entries %q", e.Keys) }

// checkKeysPresent returns an *AbsentError with the keys in remove that the list does not have.
func checkKeysPresent(s *Snapshot, remove []string) error {
	var absent []string
	for _, k := range remove {
		if _, ok := s.Get(k); !ok {
			absent = append(absent, k)
		}
	}
	if absent == nil {
		return nil
	}
	return &AbsentError{Keys: absent}
}

// invalidError wraps the reason why an edit is invalid, and also matches ErrInvalid.
type invalidError struct{ cause error }

func (e *invalidError) Error() string        { return ErrInvalid.Error() + ": " + e.cause.Error() }
func (e *invalidError) Unwrap() error        { return e.cause }
func (e *invalidError) Is(target error) bool { return target == ErrInvalid }

// checkEdit makes the checks that do not depend on the current list.
func checkEdit(ed Edit) error {
	switch {
	case ed.Author == "":
		return errors.Wrap(ErrInvalid, "author is missing")
	case ed.ID == "":
		return errors.Wrap(ErrInvalid, "edit_id is missing")
	case ed.Base < 0:
		return errors.Wrap(ErrInvalid, "base is negative")
	case len(ed.Set)+len(ed.Remove) == 0:
		return errors.Wrap(ErrInvalid, "edit changes nothing")
	}
	for _, k := range ed.Remove {
		if _, both := ed.Set[k]; both {
			return errors.Wrapf(ErrInvalid, "entry %q is both set and removed", k)
		}
	}
	for k, v := range ed.Set {
		if !json.Valid(v) {
			return errors.Wrapf(ErrInvalid, "value of entry %q is not JSON", k)
		}
	}
	return nil
}

// retryDelay returns the backoff after the given attempt, which counts from 1. r in [0,1) is the jitter.
func retryDelay(attempt int, r float64) time.Duration {
	return wait.Jitter(wait.Backoff(minRetryDelay, maxRetryDelay, attempt-1), r)
}
