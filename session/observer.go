package session

import (
	"cmp"
	"context"
	"crypto/rand"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/wait"
	"github.com/greengagewing/greengagewing/table"
)

// endedSessionRetention is the minimum time for which the observer remembers a session after it ended.
const endedSessionRetention = time.Minute

// Info is what an Observer knows of one session. Times are in local time.
type Info struct {
	Row     Row   `json:"row"`
	Version int64 `json:"version"`
	// Unchanged is true once the observer has seen the row unchanged for longer than its TTL, with no failed read in
	// between.
	Unchanged bool `json:"unchanged"`
	// EndedAt is when the observer first saw that this incarnation had ended; zero while the session is live or
	// draining.
	EndedAt time.Time `json:"ended_at,omitzero"`
}

// observedSession is one session row as last read, with the local times of the observation.
type observedSession struct {
	row              Row
	version          int64
	unchangedSince   time.Time // end of the first read, since reads last failed, that showed this version
	startedOrEndedAt time.Time // when the observer first saw this incarnation, or first saw that it had ended
	fencing          bool      // a fencing attempt is running
	lastFenceAttempt time.Time // when this observer last attempted a fencing
}

// Observer reads all session rows periodically and fences sessions whose holders are gone. It is safe for concurrent
// use.
type Observer struct {
	cfg   Config
	store table.Client
	peers PeerCaller
	hosts HostList

	mu             sync.Mutex
	rows           map[string]*observedSession
	readSeries     int64     // number of interruptions of the series of successful reads
	lastReadFailed bool      // the last read failed
	lastReadEnd    time.Time // end of the last successful read
	changed        chan struct{}
}

// NewObserver returns an observer. hosts may be nil if there is no membership list, and peers may be nil if there are
// no peers; without peers the observer can fence only sessions without guarantors.
func NewObserver(cfg Config, store table.Client, peers PeerCaller, hosts HostList) *Observer {
	return &Observer{cfg: cfg.withDefaults(), store: store, peers: peers, hosts: hosts, rows: map[string]*observedSession{},
		changed: make(chan struct{})}
}

// Changed returns a channel that is closed when the observer next sees a session begin, end, or change its state.
func (o *Observer) Changed() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.changed
}

// notify wakes the goroutines that wait on Changed. The caller holds mu.
func (o *Observer) notify() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// Live returns the sessions that are live or draining, ordered by id.
func (o *Observer) Live() []Info {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []Info
	for _, s := range o.rows {
		if !s.row.State.Ended() {
			out = append(out, o.info(s))
		}
	}
	slices.SortFunc(out, func(a, b Info) int { return cmp.Compare(a.Row.ID, b.Row.ID) })
	return out
}

// Lookup returns the session of a daemon, whatever its state.
func (o *Observer) Lookup(id string) (Info, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.rows[id]
	if s == nil {
		return Info{}, false
	}
	return o.info(s), true
}

// Ended reports whether an incarnation of a session has ended for good, and since when by the local clock. The returned
// time may be later than the actual end, never earlier.
func (o *Observer) Ended(id string, incarnation int64) (since time.Time, ended bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.rows[id]
	if s == nil || s.row.Incarnation < incarnation || s.row.Incarnation == incarnation && !s.row.State.Ended() {
		return time.Time{}, false
	}
	return s.startedOrEndedAt, true
}

// EndedBefore returns the sessions that the observer first saw ended before the local time t, ordered by id.
func (o *Observer) EndedBefore(t time.Time) []Info {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []Info
	for _, s := range o.rows {
		if s.row.State.Ended() && s.startedOrEndedAt.Before(t) {
			out = append(out, o.info(s))
		}
	}
	slices.SortFunc(out, func(a, b Info) int { return cmp.Compare(a.Row.ID, b.Row.ID) })
	return out
}

// Fresh reports whether the last read succeeded and is at most two poll intervals old.
func (o *Observer) Fresh() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.lastReadFailed && !o.lastReadEnd.IsZero() && time.Since(o.lastReadEnd) <= 2*o.cfg.PollInterval
}

// info returns the Info of a session. The caller holds mu.
func (o *Observer) info(s *observedSession) Info {
	i := Info{Row: s.row, Version: s.version,
		Unchanged: !o.lastReadFailed && o.lastReadEnd.Sub(s.unchangedSince) > s.row.TTL()}
	if s.row.State.Ended() {
		i.EndedAt = s.startedOrEndedAt
	}
	return i
}

// Run reads the rows every PollInterval and fences the sessions that may be fenced, until ctx ends.
func (o *Observer) Run(ctx context.Context) {
	var fences sync.WaitGroup
	defer fences.Wait()
	next := time.Now()
	for ctx.Err() == nil {
		if !time.Now().Before(next) {
			next = time.Now().Add(o.cfg.PollInterval)
			o.poll(ctx)
		}
		due, wake := o.dueForFencing(next)
		for _, id := range due {
			fences.Go(func() { o.tryFence(ctx, id) })
		}
		t := wait.NewTimer(time.Until(wake))
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// poll reads all session rows once.
func (o *Observer) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, o.cfg.StoreTimeout)
	defer cancel()
	rows, err := table.ScanAll(ctx, o.store, Prefix)
	end := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.lastReadFailed = true
		return
	}
	// After a failed read or a long gap, such as a pause of this process causes, every holder gets the full time to
	// renew again: the outage or the pause may have stopped the holder too.
	if o.lastReadFailed || end.Sub(o.lastReadEnd) > o.cfg.TTL {
		o.readSeries++
		for _, s := range o.rows {
			s.unchangedSince = end
		}
	}
	o.lastReadFailed, o.lastReadEnd = false, end
	present := make(map[string]bool, len(rows))
	for _, r := range rows {
		present[r.Key] = true
		o.recordRow(r, end)
	}
	for id, s := range o.rows {
		// The row of an ended session is deleted some time after the end. A live row is never deleted, so a read
		// without it is stale.
		if s.row.State.Ended() && !present[Key(id)] && end.Sub(s.startedOrEndedAt) > endedSessionRetention {
			delete(o.rows, id)
		}
	}
}

// recordRow records one row that a read returned. The caller holds mu.
func (o *Observer) recordRow(got table.Row, at time.Time) {
	r, err := decode(got.Value)
	if err != nil || Key(r.ID) != got.Key {
		o.cfg.Log.Warn("invalid session row", zap.String("key", got.Key), zap.Error(err))
		return
	}
	s := o.rows[r.ID]
	switch {
	case s == nil:
		o.rows[r.ID] = &observedSession{row: r, version: got.Version, unchangedSince: at, startedOrEndedAt: at}
		o.notify()
		return
	case r.olderThan(s.row):
		// A stale read is no evidence about the current row.
		s.unchangedSince = at
		return
	case got.Version == s.version:
		return
	}
	if r.Incarnation != s.row.Incarnation || r.State != s.row.State {
		if r.Incarnation != s.row.Incarnation || r.State.Ended() {
			s.startedOrEndedAt = at
		}
		defer o.notify()
	}
	s.row, s.version, s.unchangedSince = r, got.Version, at
}

// dueForFencing returns the sessions to fence now, and the time at which to check again, which is limit at the latest.
func (o *Observer) dueForFencing(limit time.Time) (due []string, wake time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	wake = limit
	if o.lastReadFailed {
		return nil, wake
	}
	for id, s := range o.rows {
		if id == o.cfg.ID || s.row.State.Ended() || s.fencing {
			continue // the keeper is responsible for our own session
		}
		at := s.unchangedSince.Add(s.row.TTL() + o.cfg.Margin)
		if again := s.lastFenceAttempt.Add(o.cfg.PollInterval); again.After(at) {
			at = again
		}
		if at.After(now) {
			if at.Before(wake) {
				wake = at
			}
			continue
		}
		s.fencing, s.lastFenceAttempt = true, now
		due = append(due, id)
	}
	slices.Sort(due)
	return due, wake
}

// tryFence attempts to fence a session. dueForFencing selects the session again if the attempt fails.
func (o *Observer) tryFence(ctx context.Context, id string) {
	err := o.Fence(ctx, id)
	o.mu.Lock()
	if s := o.rows[id]; s != nil {
		s.fencing = false
	}
	o.mu.Unlock()
	if err == nil {
		o.cfg.Log.Info("session fenced", zap.String("id", id))
	}
}

// fenceable returns the row of a session that has been observed unchanged for long enough to be fenced, or
// ErrNotObserved.
func (o *Observer) fenceable(id string) (row Row, version, readSeries int64, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.rows[id]
	if s == nil || s.row.State.Ended() || o.lastReadFailed || time.Since(s.unchangedSince) < s.row.TTL()+o.cfg.Margin ||
		time.Since(o.lastReadEnd) > o.cfg.TTL {
		return Row{}, 0, 0, ErrNotObserved
	}
	return s.row, s.version, o.readSeries, nil
}

// Fence ends the session of a daemon if this observer has seen its row unchanged for long enough and either a guarantor
// consents, or no guarantor answers and there is evidence that the holder is gone. Errors: ErrNotObserved,
// ErrNoConsent, ErrNoEvidence, and those of table.Client.
func (o *Observer) Fence(ctx context.Context, id string) error {
	r, version, readSeries, err := o.fenceable(id)
	if err != nil {
		return err
	}
	if len(r.Guarantors) > 0 {
		if err := o.mayFence(ctx, r); err != nil {
			return err
		}
	}
	// Reads may have failed while this observer asked the guarantors.
	if _, v, s, err := o.fenceable(id); err != nil || v != version || s != readSeries {
		return ErrNotObserved
	}
	r.State, r.Tag = Fenced, rand.Text()
	ctx, cancel := context.WithTimeout(ctx, o.cfg.StoreTimeout)
	defer cancel()
	res, err := o.store.Commit(ctx, table.Txn{
		Conditions: []table.Condition{{Key: Key(id), Version: version}},
		Ops:        []table.Op{{Key: Key(id), Value: encode(r)}},
	})
	if err != nil {
		return errors.Wrap(err, "fence session") // if only the response was lost, the next poll shows the fenced row
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.recordRow(table.Row{Key: Key(id), Value: encode(r), Version: res.Versions[Key(id)]}, time.Now())
	return nil
}

// mayFence returns nil if fencing is allowed: a guarantor consents, or no guarantor answers and there is evidence that
// the holder is gone.
func (o *Observer) mayFence(ctx context.Context, r Row) error {
	if o.peers == nil {
		return ErrNoEvidence
	}
	callCtx, cancel := context.WithTimeout(ctx, o.cfg.PeerTimeout)
	defer cancel()
	type answer struct {
		granted bool
		err     error
	}
	answers := make(chan answer, len(r.Guarantors))
	req := ConsentRequest{Session: r.ID, Incarnation: r.Incarnation, Seq: r.Seq, Observer: o.cfg.ID}
	for _, g := range r.Guarantors {
		go func() {
			reply, err := o.peers.Consent(callCtx, g, req)
			answers <- answer{reply.Granted, err}
		}()
	}
	answered := false
	for range r.Guarantors {
		a := <-answers
		if a.err == nil && a.granted {
			return nil
		}
		answered = answered || a.err == nil
	}
	if answered {
		return ErrNoConsent
	}
	if o.holderGone(ctx, r) {
		return nil
	}
	return ErrNoEvidence
}

// holderGone reports whether there is evidence that the process that holds the session no longer runs.
func (o *Observer) holderGone(ctx context.Context, r Row) bool {
	if o.hosts != nil {
		if listed, known := o.hosts.HostListed(r.PeerAddr); known && !listed {
			return true
		}
	}
	ctx, cancel := context.WithTimeout(ctx, o.cfg.PeerTimeout)
	defer cancel()
	reply, err := o.peers.Probe(ctx, r.PeerAddr)
	if err != nil {
		return errors.Is(err, ErrConnectionRefused)
	}
	return reply.Boot != "" && reply.Boot != r.Boot || reply.Incarnation > r.Incarnation
}

// State returns a dump of the sessions, ordered by id, that can be encoded as JSON.
func (o *Observer) State() any {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]Info, 0, len(o.rows))
	for _, s := range o.rows {
		out = append(out, o.info(s))
	}
	slices.SortFunc(out, func(a, b Info) int { return cmp.Compare(a.Row.ID, b.Row.ID) })
	return out
}
