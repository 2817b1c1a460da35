package idempotency

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/commitlog"
	"github.com/greengagewing/greengagewing/internal/defaults"
)

// ErrCorrupt says that a record of the journal is not an entry.
var ErrCorrupt = errors.New("idempotency: record cannot be decoded")

// Default limits of a Table.
const (
	DefaultRetention = 24 * time.Hour
	// DefaultMinRetention is far longer than callers retry, and lets a table of the default size take 277 keys a second for
	// good.
	DefaultMinRetention = time.Hour
	// DefaultMaxEntries lets a table take 11 keys a second for the whole retention. At 34 bytes each they need 34 MB.
	DefaultMaxEntries = 1_000_000
	// DefaultMaxRecent bounds what one compaction writes: the journals of a daemon wait for it. With 10,000 entries a claim
	// waited for 0.19 s, with 100,000 for 1.4 s (BenchmarkKeyHistory).
	DefaultMaxRecent   = 4096     // at about 340 bytes each, and their answers
	DefaultAnswerBytes = 64 << 10 // bytes of one recorded answer
	// DefaultTotalAnswerBytes bounds the answers in memory: all of them at 64 KB would not fit into a host.
	DefaultTotalAnswerBytes = 64 << 20
)

// minChanges is the length from which the queue of expiries is cleaned.
const minChanges = 1024

// Config sets the limits of a Table. Zero values mean the defaults.
type Config struct {
	Retention        time.Duration // from an entry's last change; entries in progress do not expire
	MinRetention     time.Duration // entries older than that give way when the table is full
	MaxEntries       int           // Begin returns ErrNotClaimed beyond it, unless old entries give way
	MaxRecent        int           // ended entries that a compaction keeps with their answers; older ones are archived
	AnswerBytes      int           // a larger answer is recorded as done without its body
	TotalAnswerBytes int           // answers beyond it are recorded without their bodies
	Now              func() time.Time
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.Retention, DefaultRetention)
	defaults.Set(&c.MinRetention, DefaultMinRetention)
	defaults.Set(&c.MaxEntries, DefaultMaxEntries)
	defaults.Set(&c.MaxRecent, DefaultMaxRecent)
	defaults.Set(&c.AnswerBytes, DefaultAnswerBytes)
	defaults.Set(&c.TotalAnswerBytes, DefaultTotalAnswerBytes)
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// TableState is a Table's part of the state dump.
type TableState struct {
	Entries     int   `json:"entries"`
	Archived    int   `json:"archived"` // entries without answers, counted as done or unknown no more
	Archives    int   `json:"archives"` // rows that hold them
	Claimed     int   `json:"claimed"`
	Done        int   `json:"done"`
	NotRun      int   `json:"not_run"`
	Unknown     int   `json:"unknown"`
	AnswerBytes int   `json:"answer_bytes"`
	MaxEntries  int   `json:"max_entries"`
	Joined      int64 `json:"joined"`  // calls that waited for another call's outcome
	Refused     int64 `json:"refused"` // calls refused because the table was full
	Failed      int64 `json:"failed"`  // claims that were not recorded or whose recording is unknown
	Expired     int64 `json:"expired"` // entries removed after their retention
	Evicted     int64 `json:"evicted"` // entries removed earlier, because the table was full
}

// attempt is the run of a claimed request in this process.
type attempt struct {
	ended  chan struct{} // closed when result is set or the claim failed
	result *Entry        // nil if the claim failed; with the whole answer, however large
	// recorded is true once the claim is durable.
	recorded bool
	// inSnapshot says that a snapshot was taken while the claim was being recorded.
	inSnapshot bool
	before     *Entry // what the table held for the key before the claim
}

// slot is what the table holds for a key.
type slot struct {
	entry Entry
	run   *attempt // nil unless the entry is claimed
}

// change is an element of the queue of expiries.
type change struct {
	key Key
	at  time.Time
}

// Table holds the claims and outcomes of one partition. It is safe for concurrent use.
type Table struct {
	log Log
	cfg Config

	mu      sync.Mutex
	slots   map[Key]*slot
	changes []change // in the order in which they happened, for expiry
	old     archives
	open    map[string]int // claims that Restore found open, per customer
	state   TableState
}

var _ Beginner = (*Table)(nil)

// New returns an empty table that records in log.
func New(log Log, cfg Config) *Table {
	return &Table{log: log, cfg: cfg.withDefaults(), slots: map[Key]*slot{}}
}

// Restore loads the records that were in force when the journal was opened, before any other call. Claims become
// Unknown for good: their former owner may have run them. This is journaled, so that the next owner does not count them as
// open again. Errors: ErrCorrupt.
func (t *Table) Restore(records [][]byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	latest := map[Key]Entry{}
	for _, r := range records {
		if isArchive(r) {
			a, err := decodeArchive(r)
			if err != nil {
				return err
			}
			t.old.add(a)
			continue
		}
		var e Entry
		if err := json.Unmarshal(r, &e); err != nil || e.State == "" {
			return errors.Wrapf(ErrCorrupt, "%.100q", r)
		}
		latest[e.Key] = e
	}
	t.open = map[string]int{}
	for k, e := range latest {
		if e.State == Claimed {
			t.open[k.Customer]++
			e.State, e.At = Unknown, now
			latest[k] = e
			t.log.AppendAsync(encode(e))
		}
	}
	oldestFirst := slices.SortedFunc(maps.Values(latest), func(a, b Entry) int { return a.At.Compare(b.At) })
	for _, e := range oldestFirst {
		if now.Sub(e.At) < t.cfg.Retention {
			t.put(e, nil)
		}
	}
	slices.SortStableFunc(t.old.list, func(a, b *archive) int { return a.newest.Compare(b.newest) })
	return nil
}

// Open returns the claims per customer that the former owner left open. Their attempts may still run for a while.
func (t *Table) Open() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.open)
}

// Begin implements Beginner. An entry in state NotRun is begun again.
func (t *Table) Begin(ctx context.Context, k Key, fingerprint string) (Claim, error) {
	for {
		claim, wait, err := t.begin(k, fingerprint)
		switch {
		case err != nil:
			return Claim{}, err
		case claim.Run:
			if err := t.record(ctx, claim.Entry, wait); err != nil {
				return Claim{}, err
			}
			return claim, nil
		case wait == nil:
			return claim, nil
		}
		select {
		case <-wait.ended:
			if wait.result != nil {
				return Claim{Entry: *wait.result}, nil
			}
			// The other call failed to claim the key; this one may do so.
		case <-ctx.Done():
			return Claim{}, errors.Wrap(ErrInProgress, ctx.Err().Error())
		}
	}
}

// begin claims the key in memory, or returns its outcome, or the attempt to wait for.
func (t *Table) begin(k Key, fingerprint string) (Claim, *attempt, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	s := t.slots[k]
	if s != nil && !s.entry.Matches(fingerprint) {
		return Claim{}, nil, ErrKeyReused
	}
	if s != nil && s.run != nil {
		t.state.Joined++
		return Claim{}, s.run, nil
	}
	if s != nil && s.entry.State != NotRun {
		return Claim{Entry: s.entry}, nil, nil
	}
	if s == nil {
		if e, ok := t.archived(k); ok {
			if !e.Matches(fingerprint) {
				return Claim{}, nil, ErrKeyReused
			}
			return Claim{Entry: e}, nil, nil
		}
		if len(t.slots)+t.old.count >= t.cfg.MaxEntries && !t.evict() {
			t.state.Refused++
			return Claim{}, nil, errors.Wrap(ErrNotClaimed, "table is full")
		}
	}
	run := &attempt{ended: make(chan struct{})}
	if s != nil {
		before := s.entry
		run.before = &before
	}
	e := Entry{Key: k, Fingerprint: fingerprint, State: Claimed, At: t.cfg.Now()}
	t.put(e, run)
	return Claim{Run: true, Entry: e}, run, nil
}

// record makes a claim durable. A claim that fails was not run by anybody, so the key may be begun again. If its record
// may nevertheless be replayed, a later record says that it was not run.
func (t *Table) record(ctx context.Context, e Entry, run *attempt) error {
	err := t.log.Append(ctx, encode(e))
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		run.recorded = true
		return nil
	}
	t.state.Failed++
	absent := errors.Is(err, commitlog.ErrNotWritten) || errors.Is(err, commitlog.ErrFenced)
	switch {
	case !absent || run.inSnapshot:
		e.State, e.At = NotRun, t.cfg.Now()
		t.put(e, nil)
		t.log.AppendAsync(encode(e))
	case run.before != nil:
		t.put(*run.before, nil)
	default:
		t.drop(e.Key)
	}
	close(run.ended)
	if absent {
		return errors.Wrap(ErrNotClaimed, err.Error())
	}
	return errors.Wrap(ErrClaimUnknown, err.Error())
}

// Finish implements Beginner. It does nothing for a key that is not claimed. Any state but Done and NotRun is recorded
// as Unknown.
func (t *Table) Finish(k Key, state State, code string, answer []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.slots[k]
	if s == nil || s.run == nil || !s.run.recorded {
		return
	}
	if state != Done && state != NotRun {
		state = Unknown
	}
	run := s.run
	e := s.entry
	e.State, e.Code, e.Answer, e.At = state, code, answer, t.cfg.Now()
	whole := e
	run.result = &whole
	if len(answer) > t.cfg.AnswerBytes || t.state.AnswerBytes+len(answer) > t.cfg.TotalAnswerBytes {
		e.Answer, e.AnswerOmitted = nil, true
	}
	t.put(e, nil)
	// Under the lock, so that records of one key have the order of its states.
	t.log.AppendAsync(encode(e))
	close(run.ended)
}

// Lookup implements Beginner.
func (t *Table) Lookup(k Key) (Entry, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	if s := t.slots[k]; s != nil {
		return s.entry, nil
	}
	if e, ok := t.archived(k); ok {
		return e, nil
	}
	return Entry{}, ErrNoEntry
}

// archived returns the archived entry of a key, unless its retention has passed. It is called with mu held.
func (t *Table) archived(k Key) (Entry, bool) {
	found, ok := t.old.find(k)
	if !ok {
		return Entry{}, false
	}
	e := found.entry(k)
	return e, t.cfg.Now().Sub(e.At) < t.cfg.Retention
}

// Compaction returns what restores the table, and a function that must be called with the compaction's outcome. Entries
// that change between this call and the start of the compaction would be lost; Compact rules that out.
func (t *Table) Compaction() (commitlog.Compaction, func(error)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.compaction()
}

func (t *Table) compaction() (commitlog.Compaction, func(error)) {
	t.expire()
	if t.old.next == nil {
		t.old.next = t.old.prepare(t.excess())
	}
	moving := t.old.next
	leaving := make(map[Key]bool, len(moving.leaving))
	for _, c := range moving.leaving {
		leaving[c.key] = t.current(c)
	}
	out := commitlog.Compaction{Drop: moving.drop}
	for _, a := range moving.add {
		out.Archive = append(out.Archive, commitlog.Archive{ID: a.id, Record: a.encode()})
	}
	for k, s := range t.slots {
		if s.run != nil {
			s.run.inSnapshot = true
		}
		if !leaving[k] {
			out.Snapshot = append(out.Snapshot, encode(s.entry))
		}
	}
	return out, func(err error) { t.compacted(moving, err) }
}

// excess returns the oldest ended entries beyond MaxRecent: those to remember without their answers, and the changes of
// all. Requests that were not run need not be remembered.
func (t *Table) excess() (old []Entry, leaving []change) {
	n := len(t.slots) - t.state.Claimed - t.cfg.MaxRecent
	for i := 0; i < len(t.changes) && len(leaving) < n; i++ {
		c := t.changes[i]
		if !t.current(c) {
			continue
		}
		leaving = append(leaving, c)
		if e := t.slots[c.key].entry; e.State != NotRun {
			old = append(old, e)
		}
	}
	return old, leaving
}

// compacted applies the outcome of a compaction. Done and unknown entries have not changed since, unless their retention
// has passed; a request that was not run may have been begun again.
func (t *Table) compacted(moved *archiving, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil || t.old.next != moved {
		return
	}
	t.old.next = nil
	t.old.apply(moved)
	for _, c := range moved.leaving {
		if t.current(c) {
			t.drop(c.key)
		}
	}
}

// Compact replaces the journal by a snapshot of the table, which must be all that the journal holds. No record can come
// between the snapshot and its place in the journal. Errors: those of commitlog.Log.Compact, except that ctx ending
// leaves the compaction running and returns commitlog.ErrOutcomeUnknown.
func (t *Table) Compact(ctx context.Context, log commitlog.Compactor) error {
	t.mu.Lock()
	c, ended := t.compaction()
	done := log.StartCompact(c)
	t.mu.Unlock()
	select {
	case err := <-done:
		ended(err)
		return err
	case <-ctx.Done():
		return errors.Wrap(commitlog.ErrOutcomeUnknown, ctx.Err().Error())
	}
}

// State returns the table's part of the state dump.
func (t *Table) State() TableState {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state
	s.Entries, s.MaxEntries = len(t.slots)+t.old.count, t.cfg.MaxEntries
	s.Archived, s.Archives = t.old.count, len(t.old.list)
	return s
}

// put stores an entry. It is called with mu held, as are the functions below.
func (t *Table) put(e Entry, run *attempt) {
	t.drop(e.Key)
	t.slots[e.Key] = &slot{entry: e, run: run}
	*t.counter(e.State)++
	t.state.AnswerBytes += len(e.Answer)
	if run != nil {
		return
	}
	t.changes = append(t.changes, change{key: e.Key, at: e.At})
	if len(t.changes) > 2*len(t.slots)+minChanges {
		// Keys that are begun again and again leave outdated changes behind.
		t.changes = slices.DeleteFunc(t.changes, func(c change) bool { return !t.current(c) })
	}
}

// current says whether the entry has not changed since.
func (t *Table) current(c change) bool {
	s := t.slots[c.key]
	return s != nil && s.run == nil && s.entry.At.Equal(c.at)
}

func (t *Table) drop(k Key) {
	if s := t.slots[k]; s != nil {
		*t.counter(s.entry.State)--
		t.state.AnswerBytes -= len(s.entry.Answer)
		delete(t.slots, k)
	}
}

func (t *Table) counter(s State) *int {
	switch s {
	case Claimed:
		return &t.state.Claimed
	case Done:
		return &t.state.Done
	case NotRun:
		return &t.state.NotRun
	}
	return &t.state.Unknown
}

// expire removes the entries whose retention has passed. An entry that changed later has a later change in the queue.
func (t *Table) expire() {
	for n := t.old.dropOldest(t.cfg.Now(), t.cfg.Retention); n > 0; n = t.old.dropOldest(t.cfg.Now(), t.cfg.Retention) {
		t.state.Expired += int64(n)
	}
	for t.dropOldest(t.cfg.Retention) {
		t.state.Expired++
	}
}

// evict makes room for one entry, by the oldest archive if there is one. It returns false if all ended entries are too
// young to give way.
func (t *Table) evict() bool {
	if n := t.old.dropOldest(t.cfg.Now(), t.cfg.MinRetention); n > 0 {
		t.state.Evicted += int64(n)
		return true
	}
	dropped := t.dropOldest(t.cfg.MinRetention)
	if dropped {
		t.state.Evicted++
	}
	return dropped
}

// dropOldest removes the ended entry that changed first if that is at least age ago.
func (t *Table) dropOldest(age time.Duration) bool {
	now := t.cfg.Now()
	for len(t.changes) > 0 && now.Sub(t.changes[0].at) >= age {
		c := t.changes[0]
		t.changes = t.changes[1:]
		if t.current(c) {
			t.drop(c.key)
			return true
		}
	}
	return false
}

func encode(e Entry) []byte {
	raw, err := json.Marshal(e)
	if err != nil {
		panic(err) // strings, bytes and times always encode
	}
	return raw
}
