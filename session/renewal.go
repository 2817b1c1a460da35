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

// The keeper writes its row every RenewInterval. A write with an unknown outcome is sent again unchanged until a read or a
// conflict shows what became of it.

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

// joinOrRenew joins or renews once.
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

// nextRow returns the row to write next. The caller holds mu.
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

// join replaces whatever row there is by one with the next incarnation. The id is a bound address, so the row is our
// own or that of a dead predecessor.
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
		// Not found out here: the next join recognizes nothing and simply takes a higher incarnation.
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

// readRow returns the row in the store and its version, 0 if it is absent.
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

func (k *Keeper) writeRow(ctx context.Context, r Row, version int64) (int64, error) {
	key := Key(k.cfg.ID)
	res, err := k.store.Commit(ctx, table.Txn{
		Conditions: []table.Condition{{Key: key, Version: version}},
		Ops:        []table.Op{{Key: key, Value: encode(r)}},
	})
	k.storeFailing.Store(errors.Is(err, table.ErrUnavailable))
	return res.Versions[key], err
}

// renew writes the row once and resolves the outcome as far as the store answers.
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
	if k.unresolved != a { // expired meanwhile
		k.mu.Unlock()
		return
	}
	switch {
	case err == nil:
		k.recordRenewal(a.row, res, sentAt)
	case errors.Is(err, table.ErrConflict) && first:
		k.expire("row was changed by another daemon")
	case errors.Is(err, table.ErrConflict), errors.Is(err, table.ErrUnknownOutcome):
		k.mu.Unlock()
		k.resolveOutcome(ctx, a)
		return
	case first:
		k.unresolved = nil // certainly not written
	}
	k.mu.Unlock()
}

// recordRenewal notes that a row was written by a commit that was sent at the time sent or later. The caller holds mu.
func (k *Keeper) recordRenewal(r Row, version int64, sent time.Time) {
	if !k.extendLease(r.Incarnation, sent) {
		return
	}
	if r.State != k.confirmed.State {
		k.notify()
	}
	k.confirmed, k.version, k.unresolved, k.renewedAt = r, version, nil, sent
}

// resolveOutcome reads the row back after a lost response and recognizes its own write by the tag. A stale read changes nothing.
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

// Commit commits txn on the condition that the session row is unchanged, and returns the incarnation for which it did.
// It excludes renewals meanwhile, so a commit that was sent earlier and is still on its way fails after the next renewal.
// Errors: ErrNotHeld unless the session accepts work, ErrUnresolved, and those of table.Client.
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
			k.expire("row was changed by another daemon")
		}
		k.mu.Unlock()
		return table.Result{}, inc, ErrNoValidSession
	}
	return res, inc, err
}
