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
		k.write(ctx)
		t := wait.NewTimer(time.Until(started.Add(k.cfg.RenewInterval)))
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-k.kick:
		}
		t.Stop()
	}
}

// write joins or renews once.
func (k *Keeper) write(ctx context.Context) {
	select {
	case k.writes <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-k.writes }()
	ctx, cancel := context.WithTimeout(ctx, k.cfg.StoreTimeout)
	defer cancel()
	k.mu.Lock()
	closed, held := k.closed, k.held()
	k.mu.Unlock()
	switch {
	case closed:
	case held:
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
		State: k.want, Seq: k.seq, TTLMS: k.cfg.TTL.Milliseconds(),
		Tag: k.boot + "/" + strconv.FormatInt(k.seq, 10),
	}
	if k.peers != nil && k.live != nil {
		r.Guarantors = chooseGuarantors(r, k.live(), k.cfg.MaxGuarantors)
	}
	return r
}

// join replaces whatever row there is by one with the next incarnation. The id is a bound address, so the row is our
// own or that of a dead predecessor.
func (k *Keeper) join(ctx context.Context) {
	old, version, err := k.read(ctx)
	if err != nil {
		return
	}
	k.mu.Lock()
	a := &attempt{row: k.nextRow(max(old.Incarnation, k.confirmed.Incarnation) + 1), sent: time.Now()}
	k.mu.Unlock()
	res, err := k.put(ctx, a.row, version)
	if errors.Is(err, table.ErrUnknownOutcome) {
		// Not found out here: the next join recognizes nothing and simply takes a higher incarnation.
		var now Row
		if now, version, err = k.read(ctx); err == nil && now.Tag != a.row.Tag {
			return
		}
		res = version
	}
	if err != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	deadline := a.sent.Add(k.cfg.validity())
	if k.closed || !time.Now().Before(deadline) {
		return
	}
	k.confirmed, k.version, k.renewed = a.row, res, a.sent
	k.lease.Store(&lease{incarnation: a.row.Incarnation, deadline: deadline})
	k.cfg.Log.Info("session joined", zap.String("id", k.cfg.ID), zap.Int64("incarnation", a.row.Incarnation))
	k.notify()
}

// read returns the row in the store and its version, 0 if it is absent.
func (k *Keeper) read(ctx context.Context) (Row, int64, error) {
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

func (k *Keeper) put(ctx context.Context, r Row, version int64) (int64, error) {
	key := Key(k.cfg.ID)
	res, err := k.store.Commit(ctx, table.Txn{
		Conditions: []table.Condition{{Key: key, Version: version}},
		Ops:        []table.Op{{Key: key, Value: encode(r)}},
	})
	k.failing.Store(errors.Is(err, table.ErrUnavailable))
	return res.Versions[key], err
}

// renew writes the row once and resolves the outcome as far as the store answers.
func (k *Keeper) renew(ctx context.Context) {
	k.mu.Lock()
	first := k.pending == nil
	if first {
		k.pending = &attempt{row: k.nextRow(k.confirmed.Incarnation), sent: time.Now()}
	}
	a, version, sent := k.pending, k.version, time.Now()
	k.mu.Unlock()
	res, err := k.put(ctx, a.row, version)
	k.mu.Lock()
	if k.pending != a { // expired meanwhile
		k.mu.Unlock()
		return
	}
	switch {
	case err == nil:
		k.confirm(a.row, res, sent)
	case errors.Is(err, table.ErrConflict) && first:
		k.expire("row was changed by another daemon")
	case errors.Is(err, table.ErrConflict), errors.Is(err, table.ErrUnknownOutcome):
		k.mu.Unlock()
		k.resolve(ctx, a)
		return
	case first:
		k.pending = nil // certainly not written
	}
	k.mu.Unlock()
}

// confirm notes that a row was written by a commit that was sent at the time sent or later. The caller holds mu.
func (k *Keeper) confirm(r Row, version int64, sent time.Time) {
	if !k.extend(r.Incarnation, sent) {
		return
	}
	if r.State != k.confirmed.State {
		k.notify()
	}
	k.confirmed, k.version, k.pending, k.renewed = r, version, nil, sent
}

// resolve reads the row back after a lost response and recognizes its own write by the tag. A stale read changes nothing.
func (k *Keeper) resolve(ctx context.Context, a *attempt) {
	r, version, err := k.read(ctx)
	if err != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	inc := k.confirmed.Incarnation
	switch {
	case k.pending != a:
	case r.Incarnation > inc, r.Incarnation == inc && r.State.Ended():
		k.expire("fenced")
	case r.Tag == a.row.Tag:
		k.confirm(r, version, a.sent)
	}
}

// Commit commits txn on the condition that the session row is unchanged, and returns the incarnation for which it did.
// It excludes renewals meanwhile, so a commit that was sent earlier and is still on its way fails after the next renewal.
// Errors: ErrNotHeld unless the session accepts work, ErrUnresolved, and those of table.Client.
func (k *Keeper) Commit(ctx context.Context, txn table.Txn) (table.Result, int64, error) {
	select {
	case k.writes <- struct{}{}:
	case <-ctx.Done():
		return table.Result{}, 0, errors.Wrap(ErrNotHeld, ctx.Err().Error())
	}
	defer func() { <-k.writes }()
	k.mu.Lock()
	inc, version, pending := k.confirmed.Incarnation, k.version, k.pending
	ok := k.want == Live && k.confirmed.State == Live && k.ValidFor(inc)
	k.mu.Unlock()
	switch {
	case !ok:
		return table.Result{}, 0, ErrNotHeld
	case pending != nil:
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
		return table.Result{}, inc, ErrNotHeld
	}
	return res, inc, err
}
