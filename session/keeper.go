package session

import (
	"context"
	"crypto/rand"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/wait"
	"github.com/greengagewing/greengagewing/table"
)

// Keeper creates, renews and closes this daemon's session. It is safe for concurrent use.
//
// Validity never comes back: once the deadline has passed, a late answer does not revive the incarnation, and Run joins
// again with the next one.
type Keeper struct {
	cfg   Config
	store table.Client
	peers PeerCaller
	live  func() []Info
	boot  string

	lease   atomic.Pointer[lease] // nil while the session is not held
	failing atomic.Bool           // the store refused the last write of the session row
	// writes holds one token, taken for every write to the session row and for every commit that is conditional on it.
	writes chan struct{}
	kick   chan struct{} // asks for a renewal at once

	mu        sync.Mutex
	changed   chan struct{} // closed at the next change of the state
	closed    bool
	want      State
	confirmed Row       // last row that certainly was written
	version   int64     // version of confirmed
	seq       int64     // of the last row that was sent
	renewed   time.Time // when the renewal that wrote confirmed was sent
	pending   *attempt  // renewal that may have taken effect
}

type lease struct {
	incarnation int64
	deadline    time.Time
}

// attempt is a row that was sent to the store and may have been written. It is sent again unchanged until its outcome
// is known, so there is never more than one.
type attempt struct {
	row  Row
	sent time.Time // of the first time
}

// NewKeeper returns a keeper that has not joined yet. live lists the sessions from which guarantors are chosen, usually
// Observer.Live. Without peers the session has no guarantors.
func NewKeeper(cfg Config, store table.Client, peers PeerCaller, live func() []Info) *Keeper {
	k := &Keeper{
		cfg: cfg.withDefaults(), store: store, peers: peers, live: live, boot: rand.Text(), want: Live,
		writes: make(chan struct{}, 1), kick: make(chan struct{}, 1), changed: make(chan struct{}),
	}
	return k
}

// ID returns the daemon's id.
func (k *Keeper) ID() string { return k.cfg.ID }

// PeerAddr returns the daemon's peer address.
func (k *Keeper) PeerAddr() string { return k.cfg.PeerAddr }

// Boot returns the random id of this process.
func (k *Keeper) Boot() string { return k.boot }

// Incarnation returns the incarnation of the session, or of the last one if none is held, or 0.
func (k *Keeper) Incarnation() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.confirmed.Incarnation
}

// Probe answers a peer's probe of this process.
func (k *Keeper) Probe() ProbeReply {
	return ProbeReply{ID: k.cfg.ID, Boot: k.boot, Incarnation: k.Incarnation()}
}

// Valid reports whether the session certainly is in force now.
func (k *Keeper) Valid() bool {
	l := k.lease.Load()
	return l != nil && time.Now().Before(l.deadline)
}

// ValidFor reports whether the session certainly is in force now with that incarnation.
func (k *Keeper) ValidFor(incarnation int64) bool {
	l := k.lease.Load()
	return l != nil && l.incarnation == incarnation && time.Now().Before(l.deadline)
}

// Deadline returns the time until which the session is valid unless it is extended, or the zero time.
func (k *Keeper) Deadline() time.Time {
	if l := k.lease.Load(); l != nil {
		return l.deadline
	}
	return time.Time{}
}

// Changed returns a channel that is closed at the next change: joined, expired, closed, or another state.
func (k *Keeper) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// StoreReached reports whether the last renewal at the store is recent, so that the store probably works.
func (k *Keeper) StoreReached() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.held() && time.Since(k.renewed) <= k.promiseAfter()
}

// StoreFailing reports whether the store refused the last write of the session row. A lost response does not count.
func (k *Keeper) StoreFailing() bool { return k.failing.Load() }

// AcceptsWork reports whether the session is valid, and live rather than draining.
func (k *Keeper) AcceptsWork() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.want == Live && k.Valid()
}

// SetState makes the session Live or Draining. The row is renewed at once.
func (k *Keeper) SetState(s State) {
	k.mu.Lock()
	if k.want != s && !s.Ended() {
		k.want = s
		k.notify()
	}
	k.mu.Unlock()
	k.renewNow()
}

func (k *Keeper) renewNow() { wait.Signal(k.kick) }

// notify wakes those that wait for a change. The caller holds mu.
func (k *Keeper) notify() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// held reports whether the session is held, valid or about to be found expired. The caller holds mu.
func (k *Keeper) held() bool { return k.lease.Load() != nil }

// promiseAfter is the age of the last renewal from which guarantors are asked.
func (k *Keeper) promiseAfter() time.Duration { return k.cfg.RenewInterval * 3 / 2 }

// Run keeps the session until ctx ends: it joins, renews, asks for promises, and joins again after an expiry.
func (k *Keeper) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { k.renewLoop(ctx) })
	wg.Go(func() { k.promiseLoop(ctx) })
	k.watchDeadline(ctx)
	wg.Wait()
}

// watchDeadline ends the incarnation when its validity passes.
func (k *Keeper) watchDeadline(ctx context.Context) {
	for {
		changed, left := k.Changed(), k.cfg.TTL
		if l := k.lease.Load(); l != nil {
			left = time.Until(l.deadline)
		}
		t := wait.NewTimer(left)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-changed:
			t.Stop()
		case <-t.C:
			k.mu.Lock()
			if l := k.lease.Load(); l != nil && !time.Now().Before(l.deadline) {
				k.expire("validity has passed")
			}
			k.mu.Unlock()
		}
	}
}

// expire ends the incarnation for good. The caller holds mu.
func (k *Keeper) expire(reason string) {
	if !k.held() {
		return
	}
	k.lease.Store(nil)
	k.pending = nil
	k.cfg.Log.Warn("session lost", zap.String("id", k.cfg.ID), zap.Int64("incarnation", k.confirmed.Incarnation),
		zap.String("reason", reason))
	k.notify()
	k.renewNow()
}

// extend moves the deadline of the incarnation. It does nothing once the deadline has passed.
func (k *Keeper) extend(incarnation int64, sent time.Time) bool {
	l := k.lease.Load()
	if l == nil || l.incarnation != incarnation {
		return false
	}
	if !time.Now().Before(l.deadline) {
		k.expire("validity has passed")
		return false
	}
	if d := sent.Add(k.cfg.validity()); d.After(l.deadline) {
		k.lease.Store(&lease{incarnation: incarnation, deadline: d})
	}
	return true
}

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

func (k *Keeper) promiseLoop(ctx context.Context) {
	for ctx.Err() == nil {
		t := wait.NewTimer(k.cfg.RenewInterval / 2)
		select {
		case <-ctx.Done():
		case <-t.C:
			k.askPromises(ctx)
		}
		t.Stop()
	}
}

// askPromises extends the validity if the store has not renewed it for a while and every guarantor promises.
func (k *Keeper) askPromises(ctx context.Context) {
	k.mu.Lock()
	sent := time.Now()
	if !k.held() || k.peers == nil || sent.Sub(k.renewed) <= k.promiseAfter() {
		k.mu.Unlock()
		return
	}
	rows := []Row{k.confirmed}
	if k.pending != nil {
		rows = append(rows, k.pending.row)
	}
	req := PromiseRequest{Session: k.cfg.ID, Incarnation: k.confirmed.Incarnation, Seq: k.confirmed.Seq}
	k.mu.Unlock()
	all, ok := allGuarantors(rows)
	if !ok || !k.promisedByAll(ctx, all, req) {
		return
	}
	k.mu.Lock()
	k.extend(req.Incarnation, sent)
	k.mu.Unlock()
}

// allGuarantors returns every process that could consent to the fencing of one of the rows. ok is false if one of them
// can be fenced without consent. The same id with two boots stays listed twice, and only one of the two can promise.
func allGuarantors(rows []Row) (all []Peer, ok bool) {
	seen := map[string]bool{}
	for _, r := range rows {
		if len(r.Guarantors) == 0 {
			return nil, false
		}
		for _, g := range r.Guarantors {
			if id := g.ID + "\x00" + g.Boot; !seen[id] {
				seen[id] = true
				all = append(all, g)
			}
		}
	}
	return all, true
}

func (k *Keeper) promisedByAll(ctx context.Context, all []Peer, req PromiseRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.PeerTimeout)
	defer cancel()
	granted := make(chan bool, len(all))
	for _, g := range all {
		go func() {
			r := req
			r.GuarantorBoot = g.Boot
			reply, err := k.peers.Promise(ctx, g, r)
			granted <- err == nil && reply.Granted
		}()
	}
	for range all {
		if !<-granted {
			return false
		}
	}
	return true
}

// Close ends the session: it is invalid at once, and the row is marked closed as soon as the store takes it. Ownership
// must have been handed over before. Run may still be running and does not join again.
func (k *Keeper) Close(ctx context.Context) error {
	k.mu.Lock()
	if !k.closed {
		k.closed = true
		k.lease.Store(nil)
		k.pending = nil
		k.notify()
	}
	k.mu.Unlock()
	select {
	case k.writes <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-k.writes }()
	for {
		done, err := k.closeOnce(ctx)
		if done {
			return nil
		}
		if !wait.For(ctx, k.cfg.RetryDelay) {
			return errors.Wrapf(ctx.Err(), "close session: %v", err)
		}
	}
}

// closeOnce reads the row and marks it closed if it is ours. It relies on nothing that was known before, so a lost
// response needs no other treatment than another call.
func (k *Keeper) closeOnce(ctx context.Context) (done bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.StoreTimeout)
	defer cancel()
	r, version, err := k.read(ctx)
	if err != nil {
		return false, err
	}
	if version == 0 || r.Boot != k.boot || r.State.Ended() {
		return true, nil
	}
	k.mu.Lock()
	k.seq++
	r.State, r.Seq, r.Tag = Closed, k.seq, k.boot+"/"+strconv.FormatInt(k.seq, 10)
	k.mu.Unlock()
	_, err = k.put(ctx, r, version)
	return err == nil, err
}

// KeeperState describes a Keeper.
type KeeperState struct {
	Row       Row   `json:"row"`
	Version   int64 `json:"version"`
	Valid     bool  `json:"valid"`
	ValidMS   int64 `json:"valid_ms"`   // remaining validity
	RenewedMS int64 `json:"renewed_ms"` // age of the last renewal at the store
	Pending   bool  `json:"pending"`
	Closed    bool  `json:"closed"`
}

// State returns a dump of the session.
func (k *Keeper) State() any {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := KeeperState{Row: k.confirmed, Version: k.version, Valid: k.Valid(), Pending: k.pending != nil, Closed: k.closed}
	if l := k.lease.Load(); l != nil {
		s.ValidMS, s.RenewedMS = time.Until(l.deadline).Milliseconds(), time.Since(k.renewed).Milliseconds()
	}
	return s
}
