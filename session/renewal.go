package session

import (
	"context"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/wait"
	"github.com/greengagewing/greengagewing/table"
)

// The keeper writes its row every RenewInterval. If the outcome of a write is unknown, the keeper sends the same row
// again until a read or a conflict shows whether the row was written.

// renewLoop joins or renews every RenewInterval, and at once when requested, until ctx ends.
func (k *Keeper) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		k.joinOrRenew(ctx)
		t := wait.NewTimer(time.Until(started.Add(k.cfg.RenewInterval)))
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-k.renewSignal:
		}
		t.Stop()
	}
}

// joinOrRenew joins if this daemon holds no session, and renews the session otherwise.
func (k *Keeper) joinOrRenew(ctx context.Context) {
	select {
	case k.rowLock <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-k.rowLock }()
	ctx, cancel := context.WithTimeout(ctx, k.cfg.StoreTimeout)
	defer cancel()
	k.mu.Lock()
	closed, hasLease := k.closed, k.hasLease()
	k.mu.Unlock()
	switch {
	case closed:
	case hasLease:
		k.renew(ctx)
	default:
		k.join(ctx)
	}
}

// nextRow returns the row to write next, with the next sequence number. The caller holds mu.
func (k *Keeper) nextRow(incarnation int64) Row {
	k.seq++
	r := Row{
		ID: k.cfg.ID, Boot: k.boot, Incarnation: incarnation, PeerAddr: k.cfg.PeerAddr,
		Region: k.cfg.Region, FailureDomain: k.cfg.FailureDomain, Groups: k.cfg.Groups,
		State: k.desiredState, Seq: k.seq, TTLMS: k.cfg.TTL.Milliseconds(),
		Tag: k.boot + "/" + strconv.FormatInt(k.seq, 10),
	}
	if k.peers != nil && k.liveSessions != nil {
		r.Guarantors = chooseGuarantors(r, k.liveSessions(), k.cfg.MaxGuarantors)
	}
	return r
}

// join replaces any existing row by one with the next incarnation. The daemon id is an address that this process has
// bound, so the existing row is either our own or that of a dead predecessor.
func (k *Keeper) join(ctx context.Context) {
	old, version, err := k.readRow(ctx)
	if err != nil {
		return
	}
	k.mu.Lock()
	a := &writeAttempt{row: k.nextRow(max(old.Incarnation, k.confirmed.Incarnation) + 1), sentAt: time.Now()}
	k.mu.Unlock()
	res, err := k.writeRow(ctx, a.row, version)
	if errors.Is(err, table.ErrUnknownOutcome) {
		// If the outcome cannot be determined here, the next join does not recognize this write and takes a higher
		// incarnation.
		var now Row
		if now, version, err = k.readRow(ctx); err == nil && now.Tag != a.row.Tag {
			return
		}
		res = version
	}
	if err != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	deadline := a.sentAt.Add(k.cfg.validity())
	if k.closed || !time.Now().Before(deadline) {
		return
	}
	k.confirmed, k.version, k.renewedAt = a.row, res, a.sentAt
	k.lease.Store(&lease{incarnation: a.row.Incarnation, deadline: deadline})
	k.cfg.Log.Info("session joined", zap.String("id", k.cfg.ID), zap.Int64("incarnation", a.row.Incarnation))
	k.notify()
}

// readRow returns the row in the store and its version. The version is 0 if there is no row.
func (k *Keeper) readRow(ctx context.Context) (Row, int64, error) {
	got, err := k.store.Get(ctx, Key(k.cfg.ID))
	if errors.Is(err, table.ErrNotFound) {
		return Row{}, 0, nil
	}
	if err != nil {
		return Row{}, 0, err
	}
	r, err := decode(got.Value)
	return r, got.Version, err
}

// writeRow writes the row if it still has the given version, and returns the new version.
func (k *Keeper) writeRow(ctx context.Context, r Row, version int64) (int64, error) {
	key := Key(k.cfg.ID)
	res, err := k.store.Commit(ctx, table.Txn{
		Conditions: []table.Condition{{Key: key, Version: version}},
		Ops:        []table.Op{{Key: key, Value: encode(r)}},
	})
	k.storeFailing.Store(errors.Is(err, table.ErrUnavailable))
	return res.Versions[key], err
}

// renew writes the row once and resolves the outcome of the write if the store answers.
func (k *Keeper) renew(ctx context.Context) {
	k.mu.Lock()
	first := k.unresolved == nil
	if first {
		k.unresolved = &writeAttempt{row: k.nextRow(k.confirmed.Incarnation), sentAt: time.Now()}
	}
	a, version, sentAt := k.unresolved, k.version, time.Now()
	k.mu.Unlock()
	res, err := k.writeRow(ctx, a.row, version)
	k.mu.Lock()
	if k.unresolved != a { // the incarnation expired meanwhile
		k.mu.Unlock()
		return
	}
	switch {
	case err == nil:
		k.recordRenewal(a.row, res, sentAt)
	case errors.Is(err, table.ErrConflict) && first:
		k.expire("another daemon changed the row")
	case errors.Is(err, table.ErrConflict), errors.Is(err, table.ErrUnknownOutcome):
		k.mu.Unlock()
		k.resolveOutcome(ctx, a)
		return
	case first:
		k.unresolved = nil // the row was certainly not written
	}
	k.mu.Unlock()
}

// recordRenewal records that a commit that was sent at or after the time sent has written the row, and extends the
// lease. The caller holds mu.
func (k *Keeper) recordRenewal(r Row, version int64, sent time.Time) {
	if !k.extendLease(r.Incarnation, sent) {
		return
	}
	if r.State != k.confirmed.State {
		k.notify()
	}
	k.confirmed, k.version, k.unresolved, k.renewedAt = r, version, nil, sent
}

// resolveOutcome reads the row back after a lost response and recognizes the keeper's own write by its tag. A stale
// read changes nothing.
func (k *Keeper) resolveOutcome(ctx context.Context, a *writeAttempt) {
	r, version, err := k.readRow(ctx)
	if err != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	inc := k.confirmed.Incarnation
	switch {
	case k.unresolved != a:
	case r.Incarnation > inc, r.Incarnation == inc && r.State.Ended():
		k.expire("fenced")
	case r.Tag == a.row.Tag:
		k.recordRenewal(r, version, a.sentAt)
	}
}

// Commit commits txn on the condition that the session row is unchanged, and returns the incarnation under which it did
// so. Renewals wait until the commit has returned or timed out, so a commit that is still in flight after that fails
// once the next renewal has changed the row. Errors: ErrNoValidSession unless the session accepts work, ErrUnresolved,
// and those of table.Client.
func (k *Keeper) Commit(ctx context.Context, txn table.Txn) (table.Result, int64, error) {
	select {
	case k.rowLock <- struct{}{}:
	case <-ctx.Done():
		return table.Result{}, 0, errors.Wrap(ErrNoValidSession, ctx.Err().Error())
	}
	defer func() { <-k.rowLock }()
	k.mu.Lock()
	inc, version, unresolved := k.confirmed.Incarnation, k.version, k.unresolved
	ok := k.desiredState == Live && k.confirmed.State == Live && k.ValidFor(inc)
	k.mu.Unlock()
	switch {
	case !ok:
		return table.Result{}, 0, ErrNoValidSession
	case unresolved != nil:
		return table.Result{}, inc, ErrUnresolved
	}
	key := Key(k.cfg.ID)
	txn.Conditions = append(append([]table.Condition(nil), txn.Conditions...), table.Condition{Key: key, Version: version})
	ctx, cancel := context.WithTimeout(ctx, k.cfg.StoreTimeout)
	defer cancel()
	res, err := k.store.Commit(ctx, txn)
	var conflict *table.ConflictError
	if errors.As(err, &conflict) && conflict.Key == key {
		k.mu.Lock()
		if k.confirmed.Incarnation == inc {
			k.expire("another daemon changed the row")
		}
		k.mu.Unlock()
		return table.Result{}, inc, ErrNoValidSession
	}
	return res, inc, err
}
