package versionedlist_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/greengagewing/greengagewing/internal/tabletest"
	"github.com/greengagewing/greengagewing/table"
	"github.com/greengagewing/greengagewing/versionedlist"
)

func TestMain(m *testing.M) { tabletest.Main(m) }

const list = "plans"

func edit(base int64, author, id string) versionedlist.Edit {
	return versionedlist.Edit{
		Base: base, Author: author, ID: id,
		Set: map[string]json.RawMessage{id: json.RawMessage(`"` + author + `"`)},
	}
}

// commitEdits commits one edit for each version after from, up to to.
func commitEdits(ctx context.Context, ed *versionedlist.Editor, from, to int64) {
	for v := from; v < to; v++ {
		if _, err := ed.Edit(ctx, edit(v, "operator", fmt.Sprintf("e%d", v+1))); err != nil {
			panic(err)
		}
	}
}

// scanCounter is a table client that counts the rows that Scan returned.
type scanCounter struct {
	table.Client
	rows atomic.Int64
}

func (c *scanCounter) Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	rows, err := c.Client.Scan(ctx, prefix, after, limit)
	c.rows.Add(int64(len(rows)))
	return rows, err
}

func TestEditor(t *testing.T) {
	ctx := context.Background()
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a list at version 70", t, func() {
			mem := table.NewMemory()
			ed := versionedlist.NewEditor(mem, list, versionedlist.EditorConfig{
				Validate: func(_ context.Context, next *versionedlist.Snapshot) ([]table.Condition, error) {
					if _, bad := next.Get("bad"); bad {
						return nil, errors.New("bad entry")
					}
					return nil, nil
				},
			})
			commitEdits(ctx, ed, 0, 70)
			other := versionedlist.NewEditor(mem, list, versionedlist.EditorConfig{})
			Convey("an edit based on an older version fails with the current version and its author", func() {
				_, err := other.Edit(ctx, edit(70, "ana", "x"))
				So(err, ShouldBeNil)
				_, err = ed.Edit(ctx, edit(70, "ben", "y"))
				var conflict *versionedlist.ConflictError
				So(errors.As(err, &conflict), ShouldBeTrue)
				So(errors.Is(err, versionedlist.ErrConflict), ShouldBeTrue)
				So(*conflict, ShouldResemble, versionedlist.ConflictError{List: list, Version: 71, Author: "ana"})
			})
			Convey("an edit with a lost response succeeds, and submitting it again returns the same change", func() {
				mem.SetFaults(table.Faults{LoseAnswers: 1})
				c, err := ed.Edit(ctx, edit(70, "ana", "x"))
				So(err, ShouldBeNil)
				commitEdits(ctx, other, 71, 75)
				again, err := ed.Edit(ctx, edit(70, "ana", "x"))
				So(err, ShouldBeNil)
				So(again, ShouldResemble, c)
				snap, _, err := ed.Load(ctx)
				So(err, ShouldBeNil)
				So(snap.Version(), ShouldEqual, 75)
			})
			Convey("an invalid edit is never committed to the table", func() {
				before := mem.Stats().Commits
				bad := edit(70, "ana", "bad")
				_, err := ed.Edit(ctx, bad)
				So(errors.Is(err, versionedlist.ErrInvalid), ShouldBeTrue)
				_, err = ed.Edit(ctx, versionedlist.Edit{Base: 70, Author: "ana", ID: "x", Remove: []string{"no", "e1", "nor"}})
				var absent *versionedlist.AbsentError
				So(errors.As(err, &absent), ShouldBeTrue)
				So(absent.Keys, ShouldResemble, []string{"no", "nor"})
				for _, e := range []versionedlist.Edit{
					{Base: 70, ID: "x", Remove: []string{"e1"}}, {Base: 70, Author: "a", Remove: []string{"e1"}},
					{Base: -1, Author: "a", ID: "x", Remove: []string{"e1"}}, {Base: 70, Author: "a", ID: "x"},
					{Base: 70, Author: "a", ID: "x", Set: map[string]json.RawMessage{"k": json.RawMessage("{")}},
					{Base: 70, Author: "a", ID: "x", Set: map[string]json.RawMessage{"e1": json.RawMessage("1")}, Remove: []string{"e1"}},
				} {
					_, err = ed.Edit(ctx, e)
					So(errors.Is(err, versionedlist.ErrInvalid), ShouldBeTrue)
				}
				So(mem.Stats().Commits, ShouldEqual, before)
			})
			Convey("the history is newest first and bounded", func() {
				h, err := ed.History(ctx, 66)
				So(err, ShouldBeNil)
				So(len(h), ShouldEqual, 66)
				So(h[0].ID, ShouldEqual, "e70")
				So(h[65].ID, ShouldEqual, "e5")
			})
			Convey("a new editor reads at most 64 log rows", func() {
				commitEdits(ctx, ed, 70, 191)
				c := &scanCounter{Client: mem}
				snap, _, err := versionedlist.NewEditor(c, list, versionedlist.EditorConfig{}).Load(ctx)
				So(err, ShouldBeNil)
				So(snap.Len(), ShouldEqual, 191)
				So(c.rows.Load(), ShouldBeLessThanOrEqualTo, 64)
			})
			Convey("an edit fails as unavailable during an outage, and never commits on an old version after stale reads", func() {
				mem.SetFaults(table.Faults{Down: true})
				_, err := ed.Edit(ctx, edit(70, "ana", "x"))
				So(errors.Is(err, versionedlist.ErrUnavailable), ShouldBeTrue)
				mem.SetFaults(table.Faults{StaleReads: true})
				_, err = other.Edit(ctx, edit(70, "ben", "y"))
				So(err, ShouldBeNil)
				short, cancel := context.WithTimeout(ctx, time.Second)
				defer cancel()
				_, err = ed.Edit(short, edit(70, "ana", "x"))
				So(errors.Is(err, versionedlist.ErrUnknownOutcome), ShouldBeTrue)
				mem.SetFaults(table.Faults{})
				_, err = ed.Edit(ctx, edit(70, "ana", "x"))
				So(errors.Is(err, versionedlist.ErrConflict), ShouldBeTrue)
			})
		})
	})
}

// editInput is the input of a call of Edit or Load in a checked history.
type editInput struct {
	base int64
	id   string // author and edit id; empty for Load
}

type editResult struct {
	version int64
	author  string // from the *ConflictError, if there is one
	err     error
}

// listModel is the sequential model of a list. Its state is a string of the ids of the accepted edits, each followed by a
// space.
var listModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		log, in, out := state.(string), input.(editInput), output.(editResult)
		version := int64(strings.Count(log, " "))
		accepted := func(v int64) string {
			if v < 1 || v > version {
				return ""
			}
			return strings.Fields(log)[v-1]
		}
		switch {
		case in.id == "":
			return out.err != nil || out.version == version, log
		case out.err == nil && accepted(in.base+1) == in.id:
			return out.version == in.base+1, log
		case out.err == nil:
			return version == in.base && out.version == version+1, log + in.id + " "
		case errors.Is(out.err, versionedlist.ErrConflict):
			lost := version > in.base && accepted(in.base+1) != in.id
			return lost && out.version == version && (out.author == "" || out.author == accepted(version)), log
		case errors.Is(out.err, versionedlist.ErrUnknownOutcome):
			if version == in.base {
				return true, log + in.id + " "
			}
			return true, log
		}
		return true, log
	},
	Equal: func(a, b any) bool { return a == b },
}

// TestEditHistory checks with concurrent operators and with refused, lost and late commits that edits are linearizable.
// It guards against two accepted edits of one version, an accepted edit that is lost or reported as a conflict, and a
// rejected edit that is written.
func TestEditHistory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		rate := rapid.Float64Range(0, 0.6).Draw(rt, "fault rate")
		var ops []porcupine.Operation
		synctest.Test(t, func(*testing.T) { ops = runEditHistory(seed, rate) })
		if !porcupine.CheckOperations(listModel, ops) {
			rt.Fatalf("history of %d operations is not linearizable", len(ops))
		}
	})
}

// runEditHistory runs concurrent operators that edit a list with faults, and returns their operations.
func runEditHistory(seed uint64, rate float64) []porcupine.Operation {
	const operators, each = 4, 6
	faulty := tabletest.NewFaulty(table.NewMemory(), seed, rate)
	var clock atomic.Int64
	var mu sync.Mutex
	var ops []porcupine.Operation
	record := func(id int, in editInput, f func() editResult) editResult {
		op := porcupine.Operation{ClientId: id, Input: in, Call: clock.Add(1)}
		out := f()
		op.Output, op.Return = out, clock.Add(1)
		if errors.Is(out.err, versionedlist.ErrUnknownOutcome) {
			op.Return = 1 << 60 // it may still take effect
		}
		mu.Lock()
		defer mu.Unlock()
		ops = append(ops, op)
		return out
	}
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			ed := versionedlist.NewEditor(faulty, list, versionedlist.EditorConfig{Rand: rng.Float64})
			for n := range each {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(200+rng.IntN(4000))*time.Millisecond)
				base := record(i, editInput{}, func() editResult {
					s, _, err := ed.Load(ctx)
					if err != nil {
						return editResult{err: err}
					}
					return editResult{version: s.Version()}
				}).version
				id := fmt.Sprintf("%d-%d", i, n)
				for range 1 + rng.IntN(2) { // some edits are submitted again, regardless of their outcome
					record(i, editInput{base: base, id: id}, func() editResult {
						c, err := ed.Edit(ctx, edit(base, id, id))
						var conflict *versionedlist.ConflictError
						if errors.As(err, &conflict) {
							return editResult{version: conflict.Version, author: conflict.Author, err: err}
						}
						return editResult{version: c.Version, err: err}
					})
				}
				cancel()
			}
		})
	}
	wg.Wait()
	faulty.Wait()
	faulty.SetRate(0)
	record(operators, editInput{}, func() editResult {
		s, _, err := versionedlist.NewEditor(faulty, list, versionedlist.EditorConfig{}).Load(context.Background())
		if err != nil {
			panic(err)
		}
		return editResult{version: s.Version()}
	})
	return ops
}

// faultyPeer is a Peer that calls a follower and can refuse calls or hang.
type faultyPeer struct {
	f *versionedlist.Follower
	// fault is 0 if calls succeed, 1 if they are refused, and 2 if they hang.
	fault atomic.Int32
}

// injectFault returns an error, or hangs until ctx ends, according to fault.
func (p *faultyPeer) injectFault(ctx context.Context) error {
	switch p.fault.Load() {
	case 1:
		return errors.New("refused")
	case 2:
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (p *faultyPeer) Version(ctx context.Context, _ string) (int64, error) {
	return p.f.Snapshot().Version(), p.injectFault(ctx)
}

func (p *faultyPeer) After(ctx context.Context, _ string, after int64) (versionedlist.Update, error) {
	u := p.f.After(after)
	raw, _ := json.Marshal(u) // processes exchange updates as JSON
	var copied versionedlist.Update
	return copied, errors.Join(json.Unmarshal(raw, &copied), p.injectFault(ctx))
}

func (p *faultyPeer) Push(ctx context.Context, _ string, u versionedlist.Update) error {
	p.f.Accept(u)
	return p.injectFault(ctx)
}

// fixedPeer is a peer that always responds with the same update.
type fixedPeer struct{ u versionedlist.Update }

func (p fixedPeer) Version(context.Context, string) (int64, error) { return p.u.Version, nil }
func (p fixedPeer) After(context.Context, string, int64) (versionedlist.Update, error) {
	return p.u, nil
}

func startFollower(c table.Client, peers ...versionedlist.Peer) (f *versionedlist.Follower, stop func()) {
	f = versionedlist.NewFollower(c, list, versionedlist.FollowerConfig{
		Peers: func() []versionedlist.Peer { return peers },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Run(ctx) }()
	return f, func() { cancel(); <-done }
}

func TestFollower(t *testing.T) {
	ctx := context.Background()
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a list at version 10", t, func() {
			mem := table.NewMemory()
			ed := versionedlist.NewEditor(mem, list, versionedlist.EditorConfig{})
			commitEdits(ctx, ed, 0, 10)
			Convey("stale reads of the store and updates of older versions never decrease the version", func() {
				old := versionedlist.Update{Version: 3, Full: true}
				outdated := table.NewMemory()
				commitEdits(ctx, versionedlist.NewEditor(outdated, list, versionedlist.EditorConfig{}), 0, 9)
				store := &storeAccess{Client: mem}
				f, stop := startFollower(store, fixedPeer{old})
				defer stop()
				time.Sleep(time.Second)
				store.stale.Store(outdated)
				for range 20 {
					f.Accept(old)
					f.Accept(versionedlist.Update{Version: 5, Changes: []versionedlist.Change{{Version: 5}}})
					time.Sleep(500 * time.Millisecond)
					So(f.Snapshot().Version(), ShouldEqual, 10)
				}
				So(f.State().StaleReads, ShouldBeGreaterThan, 0)
			})
			Convey("stale reads do not confirm the version, and an update after a gap is ignored", func() {
				store := &storeAccess{Client: mem}
				f, stop := startFollower(store)
				defer stop()
				time.Sleep(time.Second)
				store.stale.Store(table.NewMemory())
				time.Sleep(10 * time.Second)
				So(f.Confirmed(), ShouldBeGreaterThan, 9*time.Second)
				So(f.Accept(versionedlist.Update{Version: 12, Changes: []versionedlist.Change{{Version: 12}}}), ShouldBeFalse)
				So(f.Snapshot().Version(), ShouldEqual, 10)
			})
			Convey("a follower is ready only with the highest version of the store and the peers", func() {
				mem.SetFaults(table.Faults{StaleReads: true})
				f, stop := startFollower(mem, fixedPeer{versionedlist.Update{Version: 12, Full: true}})
				defer stop()
				for !f.Ready() {
					time.Sleep(time.Millisecond)
				}
				So(f.Snapshot().Version(), ShouldEqual, 12)
			})
			Convey("without any response a follower is not ready, and the age of its last confirmation grows", func() {
				mem.SetFaults(table.Faults{Down: true})
				f, stop := startFollower(mem)
				defer stop()
				time.Sleep(10 * time.Second)
				So(f.Ready(), ShouldBeFalse)
				So(f.Confirmed(), ShouldEqual, versionedlist.NeverConfirmed)
				mem.SetFaults(table.Faults{})
				time.Sleep(time.Second)
				So(f.Ready(), ShouldBeTrue)
				So(f.Confirmed(), ShouldBeLessThanOrEqualTo, versionedlist.DefaultPoll)
				mem.SetFaults(table.Faults{Down: true})
				time.Sleep(10 * time.Second)
				So(f.Confirmed(), ShouldBeGreaterThanOrEqualTo, 10*time.Second)
				f.Heard(nil, 10, time.Now())
				So(f.Confirmed(), ShouldEqual, 0)
			})
			Convey("an accepted edit is pushed to the peers", func() {
				peer, stopPeer := startFollower(mem)
				defer stopPeer()
				f, stop := startFollower(mem, &faultyPeer{f: peer})
				defer stop()
				time.Sleep(1500 * time.Millisecond)
				c, err := ed.Edit(ctx, edit(10, "ana", "x"))
				So(err, ShouldBeNil)
				f.Publish(c)
				synctest.Wait()
				So(peer.Snapshot().Version(), ShouldEqual, 11)
			})
			Convey("a newer version in a heartbeat is pulled at once", func() {
				f, stop := startFollower(mem)
				defer stop()
				time.Sleep(100 * time.Millisecond)
				f.Heard(fixedPeer{versionedlist.Update{Version: 99, Full: true}}, 99, time.Now())
				synctest.Wait()
				So(f.Snapshot().Version(), ShouldEqual, 99)
			})
		})
	})
}

// TestPropagation checks that the version of a follower never decreases, and that every follower has an accepted edit
// after 5 s. At least one process can reach the store, other processes refuse calls or hang, and the store's reads are
// slow.
func TestPropagation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		var err error
		synctest.Test(t, func(*testing.T) { err = checkPropagation(seed) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// storeAccess is the table client of one process. Its reads can be cut off from the store or be stale.
type storeAccess struct {
	table.Client
	unreachable atomic.Bool
	stale       atomic.Pointer[table.Memory] // if set, serves the reads
}

func (s *storeAccess) Get(ctx context.Context, key string) (table.Row, error) {
	if s.unreachable.Load() {
		<-ctx.Done()
		return table.Row{}, table.ErrUnavailable
	}
	if m := s.stale.Load(); m != nil {
		return m.Get(ctx, key)
	}
	return s.Client.Get(ctx, key)
}

// checkPropagation commits edits in several rounds, each with new faults, and checks all followers 5 s after the edits.
func checkPropagation(seed uint64) error {
	const processes, rounds = 4, 4
	ctx := context.Background()
	mem := table.NewMemory()
	rng := rand.New(rand.NewPCG(seed, 0))
	ed := versionedlist.NewEditor(mem, list, versionedlist.EditorConfig{})
	var faultyPeers []*faultyPeer
	var peers []versionedlist.Peer
	stores := make([]*storeAccess, processes)
	for i := range processes {
		stores[i] = &storeAccess{Client: tabletest.NewFaulty(mem, seed+uint64(i), 0)}
		p := &faultyPeer{}
		p.f = versionedlist.NewFollower(stores[i], list, versionedlist.FollowerConfig{
			Peers: func() []versionedlist.Peer { return peers },
		})
		faultyPeers = append(faultyPeers, p)
		peers = append(peers, p)
	}
	ctxRun, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for _, p := range faultyPeers {
		wg.Go(func() { _ = p.f.Run(ctxRun) })
	}
	defer wg.Wait()
	defer cancel()
	checkVersions := watchVersions(ctxRun, &wg, faultyPeers)
	version := int64(0)
	for range rounds {
		connected := rng.IntN(processes)
		for i := range faultyPeers {
			stores[i].unreachable.Store(i != connected && rng.IntN(2) == 0)
			faultyPeers[i].fault.Store(0)
			if i != connected {
				faultyPeers[i].fault.Store(rng.Int32N(3))
			}
		}
		edits := 1 + rng.Int64N(100)
		commitEdits(ctx, ed, version, version+edits)
		version += edits
		time.Sleep(5 * time.Second)
		for i, p := range faultyPeers {
			if have := p.f.Snapshot().Version(); have < version {
				return errors.Errorf("process %d is at version %d after 5 s, want %d", i, have, version)
			}
			if n := p.f.Snapshot().Len(); int64(n) != version {
				return errors.Errorf("process %d has %d entries at version %d", i, n, version)
			}
		}
	}
	return checkVersions()
}

// TestAnnouncedEdit checks that a peer cannot confirm a version while an announced edit may have replaced it, and that the
// hold ends with the edit, also if the editor does not release it.
func TestAnnouncedEdit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a follower whose version only a peer can confirm", t, func() {
			store := &storeAccess{Client: table.NewMemory()}
			f := versionedlist.NewFollower(store, list, versionedlist.FollowerConfig{})
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { _ = f.Run(ctx) })
			defer wg.Wait()
			defer cancel()
			synctest.Wait()
			store.unreachable.Store(true)
			time.Sleep(time.Second)
			confirmedByPeer := func() bool {
				time.Sleep(time.Millisecond)
				f.Heard(nil, 0, time.Now())
				return f.Confirmed() == 0
			}
			So(confirmedByPeer(), ShouldBeTrue)
			f.Hold("edit")
			So(confirmedByPeer(), ShouldBeFalse)
			Convey("the release of a rejected edit ends the hold", func() {
				f.Release("edit", 0)
				So(confirmedByPeer(), ShouldBeTrue)
			})
			Convey("the release of an accepted edit ends the hold once the follower has its version", func() {
				f.Release("edit", 1)
				So(confirmedByPeer(), ShouldBeFalse)
				f.Accept(versionedlist.Update{Version: 1, Full: true})
				So(confirmedByPeer(), ShouldBeTrue)
			})
			Convey("without a release, a read of the store after the hold limit ends the hold, an earlier one does not", func() {
				store.unreachable.Store(false)
				time.Sleep(versionedlist.DefaultHoldLimit - time.Second)
				So(confirmedByPeer(), ShouldBeFalse)
				time.Sleep(2 * time.Second)
				So(confirmedByPeer(), ShouldBeTrue)
			})
		})
	})
}

// watchVersions samples the versions of the followers until ctx ends. The returned function returns an error if a version
// has decreased.
func watchVersions(ctx context.Context, wg *sync.WaitGroup, faultyPeers []*faultyPeer) func() error {
	var mu sync.Mutex
	var err error
	wg.Go(func() {
		last := make([]int64, len(faultyPeers))
		for ctx.Err() == nil {
			for i, p := range faultyPeers {
				v := p.f.Snapshot().Version()
				if v < last[i] {
					mu.Lock()
					err = errors.Errorf("process %d went from version %d to %d", i, last[i], v)
					mu.Unlock()
				}
				last[i] = v
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	return func() error { mu.Lock(); defer mu.Unlock(); return err }
}

func BenchmarkLookup(b *testing.B) {
	f := versionedlist.NewFollower(table.NewMemory(), list, versionedlist.FollowerConfig{})
	entries := map[string]json.RawMessage{}
	for i := range 10_000 {
		entries[fmt.Sprint(i)] = json.RawMessage(`"gold"`)
	}
	f.Accept(versionedlist.Update{Version: 1, Full: true, Entries: entries})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, ok := f.Snapshot().Get("4711"); !ok {
				b.Error("entry is missing")
			}
		}
	})
}
