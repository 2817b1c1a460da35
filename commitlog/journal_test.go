package commitlog_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/greengagewing/greengagewing/commitlog"
	"github.com/greengagewing/greengagewing/internal/tabletest"
	"github.com/greengagewing/greengagewing/table"
)

func TestMain(m *testing.M) { tabletest.Main(m) }

// runningCommitter is a committer whose Run has been started. stop ends Run and waits for it.
type runningCommitter struct {
	c    *commitlog.Committer
	ctx  context.Context
	stop func()
}

func startCommitter(client table.Client, cfg commitlog.Config) *runningCommitter {
	ctx, cancel := context.WithCancel(context.Background())
	f := &runningCommitter{c: commitlog.NewCommitter(client, cfg), ctx: ctx}
	done := make(chan struct{})
	go func() { defer close(done); _ = f.c.Run(ctx) }()
	f.stop = func() { cancel(); <-done }
	return f
}

func (f *runningCommitter) open(g tabletest.Guard) commitlog.Log {
	l, _, err := f.c.Open(f.ctx, g)
	if err != nil {
		panic(err)
	}
	return l
}

// replay opens the partition at a new epoch and returns its records.
func replay(mem *table.Memory, partition string, epoch int64) []string {
	c := commitlog.NewCommitter(mem, commitlog.Config{})
	_, records, err := c.Open(context.Background(), tabletest.Claim(mem, partition, epoch))
	if err != nil {
		panic(err)
	}
	var out []string
	for _, r := range records {
		out = append(out, string(r))
	}
	return out
}

// conveyWithFakeClock runs f as a Convey test within synctest, so that its clock is simulated.
func conveyWithFakeClock(t *testing.T, what string, f func()) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { Convey(what, t, f) })
}

// contextWithTimeout returns a context that ends after d and then releases its resources.
func contextWithTimeout(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	context.AfterFunc(ctx, cancel)
	return ctx
}

// TestGroupCommit checks that concurrent records share commits, that a daemon stays within its share of the store's
// commits per second, and that a record on an idle system is committed without delay.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := table.NewMemory()
		f := startCommitter(mem, commitlog.Config{})
		defer f.stop()
		a, b := f.open(tabletest.Claim(mem, "a", 1)), f.open(tabletest.Claim(mem, "b", 1))
		start := time.Now()
		if err := a.Append(f.ctx, []byte("first")); err != nil || time.Since(start) != 0 {
			t.Fatalf("append on an idle journal: %v after %v", err, time.Since(start))
		}
		mem.SetFaults(table.Faults{Delay: 2 * time.Millisecond})
		const seconds, writers = 10, 40
		var wg sync.WaitGroup
		for i := range writers {
			wg.Go(func() {
				for n := 0; time.Since(start) < seconds*time.Second; n++ {
					if err := []commitlog.Log{a, b}[i%2].Append(f.ctx, fmt.Appendf(nil, "%d/%d", i, n)); err != nil {
						panic(err)
					}
				}
			})
		}
		wg.Wait()
		s := f.c.Stats()
		if limit := int64(seconds*commitlog.DefaultCommitsPerSecond) + commitlog.DefaultBurst + 1; s.Commits > limit {
			t.Errorf("%d commits in %d s, want at most %d", s.Commits, seconds, limit)
		}
		if want := s.Commits * writers * 9 / 10; s.Records < want {
			t.Errorf("%d records in %d commits, want at least %d", s.Records, s.Commits, want)
		}
	})
}

func TestJournal(t *testing.T) {
	conveyWithFakeClock(t, "A claim by another owner fences only that partition's journal, permanently", func() {
		mem := table.NewMemory()
		f := startCommitter(mem, commitlog.Config{})
		defer f.stop()
		a, b := f.open(tabletest.Claim(mem, "a", 1)), f.open(tabletest.Claim(mem, "b", 1))
		So(a.Append(f.ctx, []byte("a1")), ShouldBeNil)
		tabletest.Claim(mem, "a", 2)
		var wg sync.WaitGroup
		wg.Go(func() { _ = b.Append(f.ctx, []byte("b1")) })
		err := a.Append(f.ctx, []byte("a2"))
		wg.Wait()
		So(errors.Is(err, commitlog.ErrFenced), ShouldBeTrue)
		a.AppendAsync([]byte("a3"))
		So(errors.Is(a.Append(f.ctx, []byte("a4")), commitlog.ErrFenced), ShouldBeTrue)
		So(errors.Is(a.Compact(f.ctx, commitlog.Compaction{}), commitlog.ErrFenced), ShouldBeTrue)
		So(a.Healthy(), ShouldBeFalse)
		So(b.Healthy(), ShouldBeTrue)
		So(replay(mem, "a", 3), ShouldResemble, []string{"a1"})
		So(replay(mem, "b", 3), ShouldResemble, []string{"b1"})
	})
	conveyWithFakeClock(t, "A lost response is resolved by reading back, without another commit", func() {
		mem := table.NewMemory()
		f := startCommitter(mem, commitlog.Config{})
		defer f.stop()
		a := f.open(tabletest.Claim(mem, "a", 1))
		mem.SetFaults(table.Faults{LoseAnswers: 1})
		So(a.Append(f.ctx, []byte("a1")), ShouldBeNil)
		So(f.c.Stats().Commits, ShouldEqual, 1)
		So(replay(mem, "a", 2), ShouldResemble, []string{"a1"})
	})
	conveyWithFakeClock(t, "A second writer at the same epoch is fenced and overwrites nothing", func() {
		mem := table.NewMemory()
		first, second := startCommitter(mem, commitlog.Config{}), startCommitter(mem, commitlog.Config{})
		defer first.stop()
		defer second.stop()
		g := tabletest.Claim(mem, "a", 1)
		a, b := first.open(g), second.open(g)
		So(a.Append(first.ctx, []byte("a1")), ShouldBeNil)
		So(errors.Is(b.Append(second.ctx, []byte("b1")), commitlog.ErrFenced), ShouldBeTrue)
		So(replay(mem, "a", 2), ShouldResemble, []string{"a1"})
	})
	conveyWithFakeClock(t, "In an outage Append withdraws, AppendAsync keeps, and health recovers without traffic", func() {
		mem := table.NewMemory()
		f := startCommitter(mem, commitlog.Config{})
		defer f.stop()
		a := f.open(tabletest.Claim(mem, "a", 1))
		mem.SetFaults(table.Faults{Down: true})
		err := a.Append(contextWithTimeout(5*time.Second), []byte("withdrawn"))
		So(errors.Is(err, commitlog.ErrNotWritten), ShouldBeTrue)
		So(a.Healthy(), ShouldBeFalse)
		time.Sleep(time.Minute)
		So(a.Healthy(), ShouldBeFalse)
		So(f.c.Stats().Commits, ShouldBeBetween, 65, 135) // after the first second, one commit every 0.5 to 1 s
		mem.SetFaults(table.Faults{})
		time.Sleep(2 * time.Second)
		So(a.Healthy(), ShouldBeTrue)
		mem.SetFaults(table.Faults{Down: true})
		a.AppendAsync([]byte("kept"))
		time.Sleep(time.Minute)
		mem.SetFaults(table.Faults{})
		So(a.Flush(f.ctx), ShouldBeNil)
		So(replay(mem, "a", 2), ShouldResemble, []string{"kept"})
	})
	conveyWithFakeClock(t, "A commit that hangs makes the journal unhealthy after 1 s", func() {
		mem := table.NewMemory()
		f := startCommitter(mem, commitlog.Config{})
		defer f.stop()
		a := f.open(tabletest.Claim(mem, "a", 1))
		mem.SetFaults(table.Faults{Delay: 2 * time.Second})
		written := make(chan error, 1)
		go func() { written <- a.Append(f.ctx, []byte("slow")) }()
		time.Sleep(900 * time.Millisecond)
		So(a.Healthy(), ShouldBeTrue)
		time.Sleep(200 * time.Millisecond)
		So(a.Healthy(), ShouldBeFalse)
		So(<-written, ShouldBeNil)
		So(a.Healthy(), ShouldBeTrue)
	})
	conveyWithFakeClock(t, "Records of AppendAsync join the next commit and wait for it 100 ms at most", func() {
		mem := table.NewMemory()
		f := startCommitter(mem, commitlog.Config{})
		defer f.stop()
		a := f.open(tabletest.Claim(mem, "a", 1))
		before := f.c.Stats().Commits
		a.AppendAsync([]byte("1"))
		time.Sleep(50 * time.Millisecond)
		So(f.c.Stats().Commits, ShouldEqual, before)
		So(a.Append(f.ctx, []byte("2")), ShouldBeNil)
		So(f.c.Stats().Commits, ShouldEqual, before+1)
		a.AppendAsync([]byte("3"))
		time.Sleep(110 * time.Millisecond)
		So(f.c.Stats().Commits, ShouldEqual, before+2)
		So(replay(mem, "a", 2), ShouldResemble, []string{"1", "2", "3"})
	})
	conveyWithFakeClock(t, "The buffer is bounded, and a dropped record fails Flush until a compaction", func() {
		mem := table.NewMemory()
		f := startCommitter(mem, commitlog.Config{BufferBytes: 1000})
		defer f.stop()
		a := f.open(tabletest.Claim(mem, "a", 1))
		mem.SetFaults(table.Faults{Down: true})
		for range 4 {
			a.AppendAsync(make([]byte, 600))
		}
		So(errors.Is(a.Append(f.ctx, make([]byte, 600)), commitlog.ErrNotWritten), ShouldBeTrue)
		So(f.c.Stats().Dropped, ShouldEqual, 2)
		mem.SetFaults(table.Faults{})
		So(errors.Is(a.Flush(f.ctx), commitlog.ErrNotWritten), ShouldBeTrue)
		So(a.Compact(f.ctx, commitlog.Compaction{Snapshot: [][]byte{[]byte("all")}}), ShouldBeNil)
		So(a.Flush(f.ctx), ShouldBeNil)
		So(replay(mem, "a", 2), ShouldResemble, []string{"all"})
	})
	conveyWithFakeClock(t, "A compaction replaces what was appended before, in parts of at most 512 KB", func() {
		mem := table.NewMemory()
		f := startCommitter(mem, commitlog.Config{})
		defer f.stop()
		a := f.open(tabletest.Claim(mem, "a", 1))
		for i := range 10 {
			So(a.Append(f.ctx, fmt.Appendf(nil, "old %d", i)), ShouldBeNil)
		}
		big := strings.Repeat("x", 200<<10)
		So(a.Compact(f.ctx, commitlog.Compaction{Snapshot: [][]byte{[]byte(big), []byte(big), []byte(big)}}), ShouldBeNil)
		So(a.Bytes(), ShouldEqual, 0)
		So(a.Append(f.ctx, []byte("new")), ShouldBeNil)
		rows, err := mem.Scan(f.ctx, "", "", 100)
		So(err, ShouldBeNil)
		So(len(rows), ShouldEqual, 1+3+1) // the partition's row, three parts, one segment
		for _, r := range rows {
			So(len(r.Value), ShouldBeLessThanOrEqualTo, 512<<10)
		}
		So(replay(mem, "a", 2), ShouldResemble, []string{big, big, big, "new"})
	})
	conveyWithFakeClock(t, "An archive is kept until it is dropped, and a refused one is reported as not written", func() {
		mem := table.NewMemory()
		f := startCommitter(mem, commitlog.Config{})
		defer f.stop()
		a := f.open(tabletest.Claim(mem, "a", 1))
		compactWithArchive := func(id int64, drop ...int64) error {
			c := commitlog.Compaction{Snapshot: [][]byte{fmt.Appendf(nil, "snapshot %d", id)}, Drop: drop}
			c.Archive = []commitlog.Archive{{ID: id, Record: fmt.Appendf(nil, "archive %d", id)}}
			return a.Compact(f.ctx, c)
		}
		for i := range int64(2) {
			So(a.Append(f.ctx, []byte("old")), ShouldBeNil)
			So(compactWithArchive(i), ShouldBeNil)
		}
		So(errors.Is(compactWithArchive(2), commitlog.ErrNotWritten), ShouldBeTrue)
		So(a.Append(f.ctx, []byte("new")), ShouldBeNil)
		So(compactWithArchive(3, 0, 2), ShouldBeNil)
		So(replay(mem, "a", 2), ShouldResemble, []string{"archive 1", "archive 3", "snapshot 3"})
		// A row in the JSON format of an earlier version is read. A row in no known format is an error.
		row := table.Op{Key: "archive/a/0000000000000000", Value: []byte(`{"tag":"t","record":"b2xk"}`)}
		_, err := mem.Commit(f.ctx, table.Txn{Ops: []table.Op{row}})
		So(err, ShouldBeNil)
		So(replay(mem, "a", 3), ShouldResemble, []string{"old", "archive 1", "archive 3", "snapshot 3"})
		row.Value = []byte{}
		_, err = mem.Commit(f.ctx, table.Txn{Ops: []table.Op{row}})
		So(err, ShouldBeNil)
		_, _, err = f.c.Open(f.ctx, tabletest.Claim(mem, "a", 4))
		So(errors.Is(err, commitlog.ErrCorrupt), ShouldBeTrue)
	})
	conveyWithFakeClock(t, "An archive is reported as not written if an earlier compaction took effect there", func() {
		mem := &lossyTable{Memory: table.NewMemory()}
		f := startCommitter(mem, commitlog.Config{})
		defer f.stop()
		a := f.open(tabletest.Claim(mem.Memory, "a", 1))
		So(a.Append(f.ctx, []byte("old")), ShouldBeNil)
		mem.loseResponses = true
		snapshot := [][]byte{[]byte("snapshot")}
		So(errors.Is(a.Compact(f.ctx, commitlog.Compaction{Snapshot: snapshot}), commitlog.ErrOutcomeUnknown), ShouldBeTrue)
		mem.loseResponses = false
		c := commitlog.Compaction{Archive: []commitlog.Archive{{ID: 1, Record: []byte("archive")}}}
		So(errors.Is(a.Compact(f.ctx, c), commitlog.ErrNotWritten), ShouldBeTrue)
		So(replay(mem.Memory, "a", 2), ShouldResemble, []string{"snapshot"})
		_, _, err := f.c.Open(f.ctx, tabletest.Claim(mem.Memory, "a", 3))
		So(err, ShouldBeNil)
	})
	conveyWithFakeClock(t, "Open refuses stale reads, an outdated claim and lost rows", func() {
		mem := table.NewMemory()
		f := startCommitter(mem, commitlog.Config{})
		defer f.stop()
		first := tabletest.Claim(mem, "a", 1)
		a := f.open(first)
		_, _, err := f.c.Open(f.ctx, first)
		So(errors.Is(err, commitlog.ErrAlreadyOpen), ShouldBeTrue)
		mem.SetFaults(table.Faults{StaleReads: true})
		for range 3 {
			So(a.Append(f.ctx, []byte("r")), ShouldBeNil)
		}
		second := tabletest.Claim(mem, "a", 2)
		_, _, err = f.c.Open(f.ctx, second)
		So(errors.Is(err, commitlog.ErrUnavailable), ShouldBeTrue)
		mem.SetFaults(table.Faults{})
		_, _, err = f.c.Open(f.ctx, first)
		So(errors.Is(err, commitlog.ErrFenced), ShouldBeTrue)
		_, err = mem.Commit(f.ctx, table.Txn{Ops: []table.Op{{Key: "journal/a/0000000001/000000000002", Delete: true}}})
		So(err, ShouldBeNil)
		_, _, err = f.c.Open(f.ctx, second)
		So(errors.Is(err, commitlog.ErrCorrupt), ShouldBeTrue)
	})
}

// lossyTable is a table that, while loseResponses is set, applies commits but loses their responses, and fails all reads
// by Get. It refuses scans with oversized pages.
type lossyTable struct {
	*table.Memory
	loseResponses bool
}

func (t *lossyTable) Commit(ctx context.Context, txn table.Txn) (table.Result, error) {
	r, err := t.Memory.Commit(ctx, txn)
	if t.loseResponses {
		return table.Result{}, table.ErrUnknownOutcome
	}
	return r, err
}

// Scan checks that a page of rows of the maximum size fits into the largest response that a client accepts: 64 MB,
// including the base64 encoding.
func (t *lossyTable) Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if large := !strings.HasPrefix(prefix, "journal/"); large && limit*512<<10*4/3 > 64<<20 {
		return nil, errors.Errorf("%d rows of %s in one page", limit, prefix)
	}
	return t.Memory.Scan(ctx, prefix, after, limit)
}

func (t *lossyTable) Get(ctx context.Context, key string) (table.Row, error) {
	if t.loseResponses {
		return table.Row{}, table.ErrUnavailable
	}
	return t.Memory.Get(ctx, key)
}

// appendOutcomes holds the result of Append for each record.
type appendOutcomes struct {
	mu       sync.Mutex
	byRecord map[string]error
}

func (o *appendOutcomes) set(record string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.byRecord[record] = err
}

// check compares the replayed records with the results of Append.
func (o *appendOutcomes) check(found []string) error {
	count := map[string]int{}
	last := map[string]int{} // by writer, the number of its last record
	for _, r := range found {
		count[r]++
		writer, n, _ := strings.Cut(r, "#")
		num, _ := strconv.Atoi(n)
		if num <= last[writer] {
			return errors.Errorf("record %s after #%d", r, last[writer])
		}
		last[writer] = num
	}
	for r, err := range o.byRecord {
		switch n := count[r]; {
		case n > 1:
			return errors.Errorf("record %s appears %d times", r, n)
		case err == nil && n == 0:
			return errors.Errorf("durable record %s is missing", r)
		case n > 0 && (errors.Is(err, commitlog.ErrNotWritten) || errors.Is(err, commitlog.ErrFenced)):
			return errors.Errorf("record %s appears after %v", r, err)
		}
	}
	return nil
}

// TestAppendOutcomes checks that no durable record is lost, repeated or reordered, and that no record appears for which
// Append returned ErrNotWritten or ErrFenced. Commits are refused, lost or delayed, deadlines are short, and compactions
// and changes of owner occur.
func TestAppendOutcomes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		rate := rapid.Float64Range(0, 0.7).Draw(rt, "fault rate")
		owners := rapid.IntRange(1, 4).Draw(rt, "owners")
		var err error
		synctest.Test(t, func(*testing.T) { err = runHistory(seed, rate, owners) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// runHistory runs writers on the journals of several successive owners, with faults, and checks the replayed records.
func runHistory(seed uint64, rate float64, owners int) error {
	mem := table.NewMemory()
	faulty := tabletest.NewFaulty(mem, seed, rate)
	o := &appendOutcomes{byRecord: map[string]error{}}
	partitions := []string{"p", "q"}
	var committers []*runningCommitter
	var logs []commitlog.Log
	var wg sync.WaitGroup
	for epoch := 1; epoch <= owners; epoch++ {
		f := startCommitter(faulty, commitlog.Config{Rand: rand.New(rand.NewPCG(seed, 1)).Float64})
		committers = append(committers, f)
		for i, p := range partitions {
			l, err := openWithRetry(f, tabletest.Claim(mem, p, int64(epoch)))
			if err != nil {
				return err
			}
			logs = append(logs, l)
			wg.Go(func() { runWriters(l, o, fmt.Sprintf("%s%d", p, epoch), seed+uint64(epoch*2+i)) })
		}
		time.Sleep(time.Duration(seed%5000) * time.Millisecond)
	}
	wg.Wait()
	// Without faults, every journal of the last owner must be able to write its records.
	faulty.SetRate(0)
	var flushErr error
	for _, l := range logs[len(logs)-len(partitions):] {
		flushErr = errors.Join(flushErr, l.Flush(contextWithTimeout(time.Minute)))
	}
	for _, f := range committers {
		f.stop()
	}
	faulty.Wait()
	if flushErr != nil {
		return errors.Wrap(flushErr, "journal is stuck")
	}
	var all []string
	for _, p := range partitions {
		all = append(all, replay(mem, p, int64(owners)+1)...)
	}
	return o.check(all)
}

// openWithRetry opens a journal and retries as long as the store is unavailable.
func openWithRetry(f *runningCommitter, g tabletest.Guard) (commitlog.Log, error) {
	for {
		l, _, err := f.c.Open(f.ctx, g)
		if !errors.Is(err, commitlog.ErrUnavailable) {
			return l, err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// runWriters runs rounds of concurrent writers with short deadlines, with a compaction between two rounds.
func runWriters(l commitlog.Log, o *appendOutcomes, owner string, seed uint64) {
	next := make([]int, 3)
	for round := range 3 {
		var wg sync.WaitGroup
		for w := range next {
			wg.Go(func() {
				rng := rand.New(rand.NewPCG(seed, uint64(round*10+w)))
				for range 6 {
					next[w]++
					r := fmt.Sprintf("%s-%d#%03d", owner, w, next[w])
					o.set(r, l.Append(contextWithTimeout(time.Duration(rng.IntN(800))*time.Millisecond), []byte(r)))
					time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
				}
			})
		}
		wg.Wait()
		if round == 1 {
			compact(l, o, owner)
		}
	}
}

// compact writes a snapshot of the owner's durable records. It does nothing after epoch 1, because later owners in this
// test do not know the records of previous owners.
func compact(l commitlog.Log, o *appendOutcomes, owner string) {
	if !strings.HasSuffix(owner, "1") {
		return
	}
	var durable []string
	o.mu.Lock()
	for r, err := range o.byRecord {
		if err == nil && strings.HasPrefix(r, owner) {
			durable = append(durable, r)
		}
	}
	o.mu.Unlock()
	slices.Sort(durable)
	snapshot := make([][]byte, len(durable))
	for i, r := range durable {
		snapshot[i] = []byte(r)
	}
	_ = l.Compact(contextWithTimeout(5*time.Second), commitlog.Compaction{Snapshot: snapshot})
}
