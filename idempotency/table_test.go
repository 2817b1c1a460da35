package idempotency_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/greengagewing/greengagewing/commitlog"
	"github.com/greengagewing/greengagewing/idempotency"
	"github.com/greengagewing/greengagewing/internal/tabletest"
	"github.com/greengagewing/greengagewing/table"
)

func TestMain(m *testing.M) { tabletest.Main(m) }

// memoryLog is a Log in memory. If blockAppend is set, Append waits until it is closed. If appendErr is set, Append
// returns it and records nothing.
type memoryLog struct {
	mu          sync.Mutex
	records     [][]byte
	appendErr   error
	blockAppend chan struct{}
}

func (l *memoryLog) Append(_ context.Context, records ...[]byte) error {
	if l.blockAppend != nil {
		<-l.blockAppend
	}
	if l.appendErr != nil {
		return l.appendErr
	}
	l.AppendAsync(records...)
	return nil
}

func (l *memoryLog) AppendAsync(records ...[]byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, records...)
}

// restoreTable returns a table restored from records. Its own journal is discarded.
func restoreTable(records [][]byte, cfg idempotency.Config) *idempotency.Table {
	t := idempotency.New(&memoryLog{}, cfg)
	if err := t.Restore(records); err != nil {
		panic(err)
	}
	return t
}

// snapshot returns the records of a snapshot of the table.
func snapshot(t *idempotency.Table) [][]byte {
	c, _ := t.Compaction()
	return c.Snapshot
}

func key(k string) idempotency.Key { return idempotency.Key{Customer: "c", Key: k} }

func TestTable(t *testing.T) {
	ctx := context.Background()
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a table", t, func() {
			log := &memoryLog{}
			tab := idempotency.New(log, idempotency.Config{})
			begin := func(k string) idempotency.Claim {
				c, err := tab.Begin(ctx, key(k), "f")
				So(err, ShouldBeNil)
				return c
			}
			Convey("a request runs once, and concurrent calls wait for its outcome", func() {
				So(begin("k").Run, ShouldBeTrue)
				_, err := tab.Begin(cancelled, key("k"), "f")
				So(errors.Is(err, idempotency.ErrInProgress), ShouldBeTrue)
				joined := make(chan idempotency.Claim)
				go func() {
					c, _ := tab.Begin(ctx, key("k"), "f")
					joined <- c
				}()
				synctest.Wait()
				tab.Finish(key("k"), idempotency.Done, "", []byte("answer"))
				c := <-joined
				So(c.Run, ShouldBeFalse)
				So(string(c.Entry.Answer), ShouldEqual, "answer")
				tab.Finish(key("k"), idempotency.NotRun, "late", nil)
				So(begin("k").Entry.State, ShouldEqual, idempotency.Done)
				_, err = tab.Begin(ctx, key("k"), "other")
				So(errors.Is(err, idempotency.ErrKeyReused), ShouldBeTrue)
			})
			Convey("a request that was not run may be claimed again, also by the next owner", func() {
				So(begin("k").Run, ShouldBeTrue)
				tab.Finish(key("k"), idempotency.NotRun, "no_minion", nil)
				tab = restoreTable(log.records, idempotency.Config{})
				So(begin("k").Run, ShouldBeTrue)
			})
			Convey("a claim without an outcome becomes permanently unknown for the next owner", func() {
				So(begin("k").Run, ShouldBeTrue)
				successorLog := &memoryLog{}
				successor := idempotency.New(successorLog, idempotency.Config{})
				So(successor.Restore(log.records), ShouldBeNil)
				So(successor.OpenClaims(), ShouldResemble, map[string]int{"c": 1})
				So(restoreTable(append(log.records, successorLog.records...), idempotency.Config{}).OpenClaims(), ShouldBeEmpty)
				afterCompaction := restoreTable(snapshot(successor), idempotency.Config{})
				afterCompaction.Finish(key("k"), idempotency.NotRun, "", nil)
				c, err := afterCompaction.Begin(ctx, key("k"), "f")
				So(err, ShouldBeNil)
				So(c.Run, ShouldBeFalse)
				So(c.Entry.State, ShouldEqual, idempotency.Unknown)
			})
			Convey("a request whose claim is not recorded is not run, and a waiting call tries to claim the key", func() {
				log.blockAppend, log.appendErr = make(chan struct{}), commitlog.ErrNotWritten
				errs := make(chan error, 2)
				for range 2 {
					go func() {
						_, err := tab.Begin(ctx, key("k"), "f")
						errs <- err
					}()
				}
				synctest.Wait()
				tab.Finish(key("k"), idempotency.Done, "", nil) // ignored, because the claim is not durable yet
				close(log.blockAppend)
				So(errors.Is(<-errs, idempotency.ErrNotClaimed), ShouldBeTrue)
				So(errors.Is(<-errs, idempotency.ErrNotClaimed), ShouldBeTrue)
				_, err := tab.Lookup(key("k"))
				So(errors.Is(err, idempotency.ErrNoEntry), ShouldBeTrue)
				So(log.records, ShouldBeEmpty)
			})
			Convey("a claim that may have been recorded is followed by a not_run record", func() {
				log.appendErr = commitlog.ErrOutcomeUnknown
				_, err := tab.Begin(ctx, key("k"), "f")
				So(errors.Is(err, idempotency.ErrClaimUnknown), ShouldBeTrue)
				e, err := restoreTable(log.records, idempotency.Config{}).Lookup(key("k"))
				So(err, ShouldBeNil)
				So(e.State, ShouldEqual, idempotency.NotRun)
			})
			Convey("a failed claim that a snapshot contains is followed by a not_run record", func() {
				log.blockAppend, log.appendErr = make(chan struct{}), commitlog.ErrNotWritten
				failed := make(chan error)
				go func() { _, err := tab.Begin(ctx, key("k"), "f"); failed <- err }()
				synctest.Wait()
				snapshot := snapshot(tab)
				close(log.blockAppend)
				<-failed
				log.appendErr = nil
				tab = restoreTable(append(snapshot, log.records...), idempotency.Config{})
				So(begin("k").Run, ShouldBeTrue)
			})
			Convey("an answer over 64 KB is recorded without its body", func() {
				So(begin("k").Run, ShouldBeTrue)
				tab.Finish(key("k"), idempotency.Done, "", make([]byte, 64<<10+1))
				e, err := restoreTable(log.records, idempotency.Config{}).Lookup(key("k"))
				So(err, ShouldBeNil)
				So(e.State, ShouldEqual, idempotency.Done)
				So(e.AnswerOmitted, ShouldBeTrue)
				So(e.Answer, ShouldBeEmpty)
			})
			Convey("a full table evicts the oldest ended entry, but none younger than MinRetention", func() {
				tab = idempotency.New(log, idempotency.Config{MaxEntries: 2})
				for _, k := range []string{"first", "second"} {
					So(begin(k).Run, ShouldBeTrue)
					tab.Finish(key(k), idempotency.Done, "", nil)
					time.Sleep(time.Second)
				}
				time.Sleep(idempotency.DefaultMinRetention - 2500*time.Millisecond)
				_, err := tab.Begin(ctx, key("third"), "f")
				So(errors.Is(err, idempotency.ErrNotClaimed), ShouldBeTrue)
				time.Sleep(time.Second)
				So(begin("third").Run, ShouldBeTrue)
				So(begin("second").Run, ShouldBeFalse)
				So(tab.State().Evicted, ShouldEqual, 1)
			})
			Convey("older entries are archived without their answers, and their requests never run again", func() {
				tab = idempotency.New(log, idempotency.Config{MaxRecent: 1})
				compactWith := func(err error) [][]byte {
					c, finish := tab.Compaction()
					finish(err)
					records := c.Snapshot
					for _, a := range c.Archive {
						records = slices.Insert(records, 0, a.Record)
					}
					return records
				}
				for i, state := range []idempotency.State{idempotency.Done, idempotency.Unknown, idempotency.NotRun, idempotency.Done} {
					k := fmt.Sprint("k", i)
					So(begin(k).Run, ShouldBeTrue)
					tab.Finish(key(k), state, "", []byte("answer"))
					time.Sleep(time.Second)
				}
				compactWith(commitlog.ErrOutcomeUnknown)
				So(tab.State().Archived, ShouldEqual, 0)
				records := compactWith(nil)
				So(tab.State().Archived, ShouldEqual, 2)
				for _, tab = range []*idempotency.Table{tab, restoreTable(records, idempotency.Config{})} {
					So(begin("k0").Entry.State, ShouldEqual, idempotency.Done)
					So(begin("k0").Entry.AnswerOmitted, ShouldBeTrue)
					So(begin("k1").Entry.State, ShouldEqual, idempotency.Unknown)
					_, err := tab.Begin(ctx, key("k0"), "other")
					So(errors.Is(err, idempotency.ErrKeyReused), ShouldBeTrue)
					So(begin("k2").Run, ShouldBeTrue)
					So(string(begin("k3").Entry.Answer), ShouldEqual, "answer")
				}
				time.Sleep(idempotency.DefaultRetention)
				So(begin("k0").Run, ShouldBeTrue)
			})
			Convey("the number of entries is bounded, and entries expire after the retention unless in progress", func() {
				tab = idempotency.New(log, idempotency.Config{MaxEntries: 2})
				So(begin("running").Run, ShouldBeTrue)
				So(begin("done").Run, ShouldBeTrue)
				tab.Finish(key("done"), idempotency.Done, "", nil)
				_, err := tab.Begin(ctx, key("third"), "f")
				So(errors.Is(err, idempotency.ErrNotClaimed), ShouldBeTrue)
				time.Sleep(idempotency.DefaultRetention)
				So(begin("third").Run, ShouldBeTrue)
				_, err = tab.Begin(cancelled, key("running"), "f")
				So(errors.Is(err, idempotency.ErrInProgress), ShouldBeTrue)
				So(tab.State().Expired, ShouldEqual, 1)
				So(restoreTable(log.records, idempotency.Config{}).State().Done, ShouldEqual, 0)
			})
		})
	})
}

// operation is a call of Begin or, if finish is set, a call of Finish with that state.
type operation struct {
	key    string
	finish idempotency.State
}

// operationResult is the result of Begin; it is zero for Finish.
type operationResult struct {
	run   bool
	state idempotency.State
	err   error
}

// keyModel is the model of one key across all owners.
type keyModel struct {
	mayRun          bool // no run has started, or the last one was finished as NotRun
	claimAttempted  bool // Begin was called
	done            bool // a run was finished as Done
	unknownReturned bool // Begin returned state Unknown
}

// atMostOnce accepts a history if no run of a key starts while an earlier one may have run, or after Begin has returned
// state Unknown for the key.
var atMostOnce = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			k := op.Input.(operation).key
			byKey[k] = append(byKey[k], op)
		}
		return slices.Collect(maps.Values(byKey))
	},
	Init: func() any { return keyModel{mayRun: true} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(keyModel), input.(operation), output.(operationResult)
		switch {
		case in.finish == idempotency.Done:
			s.mayRun, s.done = false, true
			return true, s
		case in.finish == idempotency.NotRun:
			s.mayRun = !s.unknownReturned
			return true, s
		case out.err != nil:
			s.claimAttempted = true
			return true, s
		case out.run:
			return s.mayRun, keyModel{claimAttempted: true, done: s.done}
		case out.state == idempotency.Unknown:
			return s.claimAttempted, keyModel{claimAttempted: true, done: s.done, unknownReturned: true}
		case out.state == idempotency.Done:
			return s.done, s
		}
		return s.claimAttempted, s
	},
}

// TestAtMostOnce checks that no request runs twice under lost responses, outages, compactions and changes of owner during
// which the previous owners keep running.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		rate := rapid.Float64Range(0, 0.6).Draw(rt, "fault rate")
		var ops []porcupine.Operation
		synctest.Test(t, func(*testing.T) { ops = runHistory(seed, rate) })
		if !porcupine.CheckOperations(atMostOnce, ops) {
			rt.Fatalf("history of %d operations violates at-most-once execution", len(ops))
		}
	})
}

// historyRecorder records the operations of concurrent clients for porcupine, with a logical clock.
type historyRecorder struct {
	clock atomic.Int64
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func (r *historyRecorder) record(client int, in operation, f func() operationResult) operationResult {
	op := porcupine.Operation{ClientId: client, Input: in, Call: r.clock.Add(1)}
	out := f()
	op.Output, op.Return = out, r.clock.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, op)
	return out
}

// runHistory runs clients on a table of each of several successive owners, with faults, and returns their operations.
func runHistory(seed uint64, rate float64) []porcupine.Operation {
	const owners, clients = 3, 3
	mem := table.NewMemory()
	faulty := tabletest.NewFaulty(mem, seed, rate)
	rec := &historyRecorder{}
	var runs, clientsDone sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	for epoch := range owners {
		c := commitlog.NewCommitter(faulty, commitlog.Config{})
		runs.Go(func() { _ = c.Run(ctx) })
		guard := tabletest.Claim(mem, "p", int64(epoch+1))
		log, records, err := c.Open(ctx, guard)
		for errors.Is(err, commitlog.ErrUnavailable) {
			log, records, err = c.Open(ctx, guard)
		}
		if err != nil {
			panic(err)
		}
		tab := idempotency.New(log, idempotency.Config{MaxRecent: 1})
		if err := tab.Restore(records); err != nil {
			panic(err)
		}
		for i := range clients {
			id := epoch*clients + i
			clientsDone.Go(func() { runClient(id, tab, log, rec, rand.New(rand.NewPCG(seed, uint64(id)))) })
		}
		time.Sleep(time.Duration(seed%2000) * time.Millisecond)
		mem.SetFaults(table.Faults{Down: epoch == 1})
		time.Sleep(time.Second)
		mem.SetFaults(table.Faults{})
	}
	clientsDone.Wait()
	stop()
	runs.Wait()
	faulty.Wait()
	return rec.ops
}

// runClient begins and finishes requests with random keys, and sometimes compacts the journal.
func runClient(id int, tab *idempotency.Table, log commitlog.Log, rec *historyRecorder, rng *rand.Rand) {
	for range 12 {
		k := strconv.Itoa(rng.IntN(4))
		wait, cancel := context.WithTimeout(context.Background(), time.Duration(rng.IntN(600))*time.Millisecond)
		out := rec.record(id, operation{key: k}, func() operationResult {
			c, err := tab.Begin(wait, key(k), "f")
			return operationResult{run: c.Run, state: c.Entry.State, err: err}
		})
		cancel()
		if out.run {
			time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
			state := []idempotency.State{idempotency.Done, idempotency.NotRun}[rng.IntN(2)]
			rec.record(id, operation{key: k, finish: state}, func() operationResult {
				tab.Finish(key(k), state, "", nil)
				return operationResult{}
			})
		}
		if rng.IntN(5) == 0 {
			_ = tab.Compact(context.Background(), log.(commitlog.Compactor))
		}
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	}
}

func BenchmarkBegin(b *testing.B) {
	var n atomic.Int64
	benchmark := func(b *testing.B, log idempotency.Log) {
		tab := idempotency.New(log, idempotency.Config{MaxEntries: 1 << 30})
		b.ReportAllocs()
		b.SetParallelism(64)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				k := key(fmt.Sprint(n.Add(1)))
				if c, err := tab.Begin(context.Background(), k, "f"); err != nil || !c.Run {
					b.Error(c, err)
				}
				tab.Finish(k, idempotency.Done, "", []byte("answer"))
			}
		})
	}
	b.Run("log in memory", func(b *testing.B) { benchmark(b, discardLog{}) })
	b.Run("journal on table in memory", func(b *testing.B) {
		mem := table.NewMemory()
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		c := commitlog.NewCommitter(mem, commitlog.Config{CommitsPerSecond: 1e6, Burst: 1000})
		go func() { _ = c.Run(ctx) }()
		log, _, err := c.Open(ctx, tabletest.Claim(mem, "p", 1))
		if err != nil {
			b.Fatal(err)
		}
		benchmark(b, log)
	})
}

// discardLog is a Log that discards all records.
type discardLog struct{}

func (discardLog) Append(context.Context, ...[]byte) error { return nil }
func (discardLog) AppendAsync(...[]byte)                   {}
