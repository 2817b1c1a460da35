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

// ErrCorrupt means that a record of the journal is neither an entry nor an archive.
var ErrCorrupt = errors.New("idempotency: record cannot be decoded")

// Default limits of a Table.
const (
	DefaultRetention = 24 * time.Hour
	// DefaultMinRetention is far longer than callers retry. It lets a table of the default size sustain 277 new keys per
	// second.
	DefaultMinRetention = time.Hour
	// DefaultMaxEntries lets a table accept 11 new keys per second and keep each for the whole retention. At 34 bytes per
	// entry they need 34 MB.
	DefaultMaxEntries = 1_000_000
	// DefaultMaxRecent bounds the size of a compaction, because all journals of a daemon wait while it is written. With
	// 10,000 entries a claim waited for 0.19 s, with 100,000 for 1.4 s (BenchmarkKeyHistory).
	DefaultMaxRecent   = 4096     // entries of about 340 bytes each, plus their answers
	DefaultAnswerBytes = 64 << 10 // bytes of one recorded answer
	// DefaultTotalAnswerBytes bounds the memory for answers. If every entry had an answer of 64 KB, they would not fit
	// into a host's memory.
	DefaultTotalAnswerBytes = 64 << 20
)

// minQueueCleanup is the minimum length of the expiry queue at which outdated items are removed from it.
const minQueueCleanup = 1024

// Config sets the limits of a Table. Zero values mean the defaults.
type Config struct {
	Retention        time.Duration // counted from an entry's last change; entries in progress do not expire
	MinRetention     time.Duration // a full table evicts ended entries that are at least this old
	MaxEntries       int           // a full table evicts an old entry, or Begin returns ErrNotClaimed
	MaxRecent        int           // ended entries that a compaction keeps with their answers; older ones are archived
	AnswerBytes      int           // the body of a larger answer is not recorded
	TotalAnswerBytes int           // once the table holds this much, further answers are recorded without their bodies
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

// TableState is the part of the daemon's state dump that describes a Table.
type TableState struct {
	Entries     int   `json:"entries"`
	Archived    int   `json:"archived"` // entries in archives; Done and Unknown do not count them
	Archives    int   `json:"archives"` // archives, each of which is one row
	Claimed     int   `json:"claimed"`
	Done        int   `json:"done"`
	NotRun      int   `json:"not_run"`
	Unknown     int   `json:"unknown"`
	AnswerBytes int   `json:"answer_bytes"`
	MaxEntries  int   `json:"max_entries"`
	Joined      int64 `json:"joined"`  // calls of Begin that waited for another call's outcome
	Refused     int64 `json:"refused"` // calls of Begin refused because the table was full
	Failed      int64 `json:"failed"`  // claims that were not recorded, or may not have been
	Expired     int64 `json:"expired"` // entries removed after Retention
	Evicted     int64 `json:"evicted"` // entries removed before Retention because the table was full
}

// activeRun tracks a claimed request that this process is running.
type activeRun struct {
	finished chan struct{} // closed when result is set or the claim failed
	result   *Entry        // has the whole answer, however large; nil if the claim failed
	// recorded is true once the claim is durable.
	recorded bool
	// inSnapshot is true once a snapshot contains the claim. The claim may then be replayed even if its own record was
	// not written.
	inSnapshot bool
	previous   *Entry // entry of the key before the claim, nil if there was none
}

// tableEntry is the in-memory state of a key.
type tableEntry struct {
	entry Entry
	run   *activeRun // nil unless the entry is claimed
}

// expiryItem is an element of the expiry queue. It is outdated if the entry of key has changed after at.
type expiryItem struct {
	key Key
	at  time.Time
}

// Table holds the claims and outcomes of one partition. It is safe for concurrent use.
type Table struct {
	log Log
	cfg Config

	mu          sync.Mutex
	entries     map[Key]*tableEntry
	expiryQueue []expiryItem // changes of ended entries, oldest first
	archives    archiveSet
	openClaims  map[string]int // by customer, claims without an outcome that Restore found
	state       TableState
}

var _ Beginner = (*Table)(nil)

// New returns an empty table that journals its entries in log.
func New(log Log, cfg Config) *Table {
	return &Table{log: log, cfg: cfg.withDefaults(), entries: map[Key]*tableEntry{}}
}

// Restore loads the records that Opener.Open of package commitlog returned. It must be called before any other method.
// Claims without an outcome become Unknown permanently, because the previous owner may have run their requests. Restore
// journals this, so that the next owner does not count them as open again. Errors: ErrCorrupt.
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
			t.archives.add(a)
			continue
		}
		var e Entry
		if err := json.Unmarshal(r, &e); err != nil || e.State == "" {
			return errors.Wrapf(ErrCorrupt, "record %.100q", r)
		}
		latest[e.Key] = e
	}
	t.openClaims = map[string]int{}
	for k, e := range latest {
		if e.State == Claimed {
			t.openClaims[k.Customer]++
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
	slices.SortStableFunc(t.archives.list, func(a, b *archive) int { return a.newest.Compare(b.newest) })
	return nil
}

// OpenClaims returns, by customer, the number of claims that the previous owner left without an outcome. Their requests may
// still run for a while.
func (t *Table) OpenClaims() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.openClaims)
}

// Begin implements Beginner. A key in state NotRun is claimed again.
func (t *Table) Begin(ctx context.Context, k Key, fingerprint string) (Claim, error) {
	for {
		claim, run, err := t.tryBegin(k, fingerprint)
		switch {
		case err != nil:
			return Claim{}, err
		case claim.Run:
			if err := t.recordClaim(ctx, claim.Entry, run); err != nil {
				return Claim{}, err
			}
			return claim, nil
		case run == nil:
			return claim, nil
		}
		select {
		case <-run.finished:
			if run.result != nil {
				return Claim{Entry: *run.result}, nil
			}
			// The other call failed to record its claim, so this call tries to claim the key.
		case <-ctx.Done():
			return Claim{}, errors.Wrap(ErrInProgress, ctx.Err().Error())
		}
	}
}

// tryBegin claims the key in memory and returns a Claim with Run set. If the key has an outcome, it returns that. If
// another call is running the request, it returns that run, for the caller to wait for.
func (t *Table) tryBegin(k Key, fingerprint string) (Claim, *activeRun, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	s := t.entries[k]
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
		if e, ok := t.findArchived(k); ok {
			if !e.Matches(fingerprint) {
				return Claim{}, nil, ErrKeyReused
			}
			return Claim{Entry: e}, nil, nil
		}
		if len(t.entries)+t.archives.entryCount >= t.cfg.MaxEntries && !t.evictOldest() {
			t.state.Refused++
			return Claim{}, nil, errors.Wrap(ErrNotClaimed, "table is full")
		}
	}
	run := &activeRun{finished: make(chan struct{})}
	if s != nil {
		previous := s.entry
		run.previous = &previous
	}
	e := Entry{Key: k, Fingerprint: fingerprint, State: Claimed, At: t.cfg.Now()}
	t.put(e, run)
	return Claim{Run: true, Entry: e}, run, nil
}

// recordClaim makes a claim durable. If that fails, nobody has run the request, so the key may be claimed again. If a
// replay could still find the record of the claim, recordClaim appends another one with state NotRun.
func (t *Table) recordClaim(ctx context.Context, e Entry, run *activeRun) error {
	err := t.log.Append(ctx, encode(e))
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		run.recorded = true
		return nil
	}
	t.state.Failed++
	notWritten := errors.Is(err, commitlog.ErrNotWritten) || errors.Is(err, commitlog.ErrFenced)
	switch {
	case !notWritten || run.inSnapshot:
		e.State, e.At = NotRun, t.cfg.Now()
		t.put(e, nil)
		t.log.AppendAsync(encode(e))
	case run.previous != nil:
		t.put(*run.previous, nil)
	default:
		t.remove(e.Key)
	}
	close(run.finished)
	if notWritten {
		return errors.Wrap(ErrNotClaimed, err.Error())
	}
	return errors.Wrap(ErrClaimUnknown, err.Error())
}

// Finish implements Beginner. It does nothing if the key is not durably claimed. Any state other than Done and NotRun is
// recorded as Unknown.
func (t *Table) Finish(k Key, state State, code string, answer []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.entries[k]
	if s == nil || s.run == nil || !s.run.recorded {
		return
	}
	if state != Done && state != NotRun {
		state = Unknown
	}
	run := s.run
	e := s.entry
	e.State, e.Code, e.Answer, e.At = state, code, answer, t.cfg.Now()
	complete := e
	run.result = &complete
	if len(answer) > t.cfg.AnswerBytes || t.state.AnswerBytes+len(answer) > t.cfg.TotalAnswerBytes {
		e.Answer, e.AnswerOmitted = nil, true
	}
	t.put(e, nil)
	// Append under the lock, so that the records of a key are in the order of its state changes.
	t.log.AppendAsync(encode(e))
	close(run.finished)
}

// Lookup implements Beginner.
func (t *Table) Lookup(k Key) (Entry, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	if s := t.entries[k]; s != nil {
		return s.entry, nil
	}
	if e, ok := t.findArchived(k); ok {
		return e, nil
	}
	return Entry{}, ErrNoEntry
}

// findArchived returns the archived entry of a key, unless its retention has passed. The caller holds mu.
func (t *Table) findArchived(k Key) (Entry, bool) {
	found, ok := t.archives.find(k)
	if !ok {
		return Entry{}, false
	}
	e := found.entry(k)
	return e, t.cfg.Now().Sub(e.At) < t.cfg.Retention
}

// Compaction returns a compaction that contains the whole table, and a function that the caller must call with the
// compaction's outcome. Changes of entries between this call and the start of the compaction would be lost; Compact
// prevents that.
func (t *Table) Compaction() (commitlog.Compaction, func(error)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.prepareCompaction()
}

// prepareCompaction implements Compaction. The caller holds mu.
func (t *Table) prepareCompaction() (commitlog.Compaction, func(error)) {
	t.expire()
	if t.archives.pending == nil {
		t.archives.pending = t.archives.prepare(t.selectForArchive())
	}
	update := t.archives.pending
	removals := make(map[Key]bool, len(update.removals))
	for _, item := range update.removals {
		removals[item.key] = t.isUnchanged(item)
	}
	out := commitlog.Compaction{Drop: update.obsoleteIDs}
	for _, a := range update.add {
		out.Archive = append(out.Archive, commitlog.Archive{ID: a.id, Record: a.encode()})
	}
	for k, s := range t.entries {
		if s.run != nil {
			s.run.inSnapshot = true
		}
		if !removals[k] {
			out.Snapshot = append(out.Snapshot, encode(s.entry))
		}
	}
	return out, func(err error) { t.finishCompaction(update, err) }
}

// selectForArchive selects the oldest ended entries beyond MaxRecent. It returns the entries to archive, and the removals
// of all selected entries. Entries in state NotRun are removed without being archived.
func (t *Table) selectForArchive() (remembered []Entry, removals []expiryItem) {
	n := len(t.entries) - t.state.Claimed - t.cfg.MaxRecent
	for i := 0; i < len(t.expiryQueue) && len(removals) < n; i++ {
		item := t.expiryQueue[i]
		if !t.isUnchanged(item) {
			continue
		}
		removals = append(removals, item)
		if e := t.entries[item.key].entry; e.State != NotRun {
			remembered = append(remembered, e)
		}
	}
	return remembered, removals
}

// finishCompaction applies the update of a successful compaction. Since it was prepared, entries in state Done and Unknown
// can only have expired, but a key in state NotRun may have been claimed again.
func (t *Table) finishCompaction(update *archiveUpdate, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil || t.archives.pending != update {
		return
	}
	t.archives.pending = nil
	t.archives.apply(update)
	for _, item := range update.removals {
		if t.isUnchanged(item) {
			t.remove(item.key)
		}
	}
}

// Compact replaces the journal by a snapshot of the table. The journal must not hold any records of others. The snapshot
// is taken and queued under the table's lock, so no record can be appended in between. Errors: those of
// commitlog.Log.Compact, except that when ctx ends, the compaction continues and Compact returns
// commitlog.ErrOutcomeUnknown.
func (t *Table) Compact(ctx context.Context, log commitlog.Compactor) error {
	t.mu.Lock()
	c, finish := t.prepareCompaction()
	done := log.StartCompact(c)
	t.mu.Unlock()
	select {
	case err := <-done:
		finish(err)
		return err
	case <-ctx.Done():
		return errors.Wrap(commitlog.ErrOutcomeUnknown, ctx.Err().Error())
	}
}

// State returns the table's counters for the state dump.
func (t *Table) State() TableState {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state
	s.Entries, s.MaxEntries = len(t.entries)+t.archives.entryCount, t.cfg.MaxEntries
	s.Archived, s.Archives = t.archives.entryCount, len(t.archives.list)
	return s
}

// put replaces the entry of a key. The caller of put and of the functions below holds mu.
func (t *Table) put(e Entry, run *activeRun) {
	t.remove(e.Key)
	t.entries[e.Key] = &tableEntry{entry: e, run: run}
	*t.stateCounter(e.State)++
	t.state.AnswerBytes += len(e.Answer)
	if run != nil {
		return
	}
	t.expiryQueue = append(t.expiryQueue, expiryItem{key: e.Key, at: e.At})
	if len(t.expiryQueue) > 2*len(t.entries)+minQueueCleanup {
		// Keys that are claimed repeatedly leave outdated items behind.
		t.expiryQueue = slices.DeleteFunc(t.expiryQueue, func(item expiryItem) bool { return !t.isUnchanged(item) })
	}
}

// isUnchanged reports whether the entry of item.key has not changed since item was queued.
func (t *Table) isUnchanged(item expiryItem) bool {
	s := t.entries[item.key]
	return s != nil && s.run == nil && s.entry.At.Equal(item.at)
}

func (t *Table) remove(k Key) {
	if s := t.entries[k]; s != nil {
		*t.stateCounter(s.entry.State)--
		t.state.AnswerBytes -= len(s.entry.Answer)
		delete(t.entries, k)
	}
}

// stateCounter returns the counter of the entries in state s.
func (t *Table) stateCounter(s State) *int {
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

// expire removes the entries whose retention has passed. An entry that changed again has a later item in the queue.
func (t *Table) expire() {
	for n := t.archives.dropOldest(t.cfg.Now(), t.cfg.Retention); n > 0; n = t.archives.dropOldest(t.cfg.Now(),
		t.cfg.Retention) {
		t.state.Expired += int64(n)
	}
	for t.dropOldest(t.cfg.Retention) {
		t.state.Expired++
	}
}

// evictOldest makes room for one entry by removing the oldest archive or, if there is none to remove, the oldest ended
// entry. It returns false if all ended entries are younger than MinRetention.
func (t *Table) evictOldest() bool {
	if n := t.archives.dropOldest(t.cfg.Now(), t.cfg.MinRetention); n > 0 {
		t.state.Evicted += int64(n)
		return true
	}
	dropped := t.dropOldest(t.cfg.MinRetention)
	if dropped {
		t.state.Evicted++
	}
	return dropped
}

// dropOldest removes the ended entry with the oldest last change, if that change is at least age ago.
func (t *Table) dropOldest(age time.Duration) bool {
	now := t.cfg.Now()
	for len(t.expiryQueue) > 0 && now.Sub(t.expiryQueue[0].at) >= age {
		item := t.expiryQueue[0]
		t.expiryQueue = t.expiryQueue[1:]
		if t.isUnchanged(item) {
			t.remove(item.key)
			return true
		}
	}
	return false
}

func encode(e Entry) []byte {
	raw, err := json.Marshal(e)
	if err != nil {
		panic(err) // cannot happen: strings, bytes and times can always be encoded
	}
	return raw
}
