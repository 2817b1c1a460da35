package rowstore

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
)

// timedStore answers commits and reads after a delay each; a delay of 0 stands for no answer. It counts the commits.
type timedStore struct {
	*Memory
	commit, read atomic.Int64
	commits      atomic.Int64
}

func newTimedStore() *timedStore {
	s := &timedStore{Memory: NewMemory()}
	s.set(10*time.Millisecond, 6*time.Millisecond)
	return s
}

func (s *timedStore) set(commit, read time.Duration) {
	s.commit.Store(int64(commit))
	s.read.Store(int64(read))
}

// sleep reports whether the call is answered before ctx ends.
func sleep(ctx context.Context, d *atomic.Int64) bool {
	delay := time.Duration(d.Load())
	if delay == 0 {
		<-ctx.Done()
		return false
	}
	select {
	case <-time.After(delay):
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *timedStore) Commit(ctx context.Context, txn Txn) (int64, error) {
	s.commits.Add(1)
	if !sleep(ctx, &s.commit) {
		return 0, ErrUnknownOutcome
	}
	return s.Memory.Commit(ctx, txn)
}

func (s *timedStore) Read(ctx context.Context, r Range) (Page, error) {
	if !sleep(ctx, &s.read) {
		return Page{}, ErrUnavailable
	}
	return s.Memory.Read(ctx, r)
}

// runAdaptive runs a test on a store that has answered 20 commits and a read at the usual latency.
func runAdaptive(t *testing.T, test func(t *testing.T, s *timedStore, commit func() error)) {
	synctest.Test(t, func(t *testing.T) {
		s := newTimedStore()
		a := NewAdaptiveStore(s, nil)
		commit := func() error {
			return errorOf(a.Commit(context.Background(), Txn{Puts: []Put{{Key: testKey}}}))
		}
		for range 20 {
			if err := commit(); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := a.Read(context.Background(), Range{Table: "t", Partition: "p"}); err != nil {
			t.Fatal(err)
		}
		s.commits.Store(0)
		test(t, s, commit)
		time.Sleep(2 * maxCommitTimeout) // let probes end
	})
}

// Guards against a commit that is sent several times because the store has become slow for everyone.
func TestSlowCommitIsSentOnce(t *testing.T) {
	runAdaptive(t, func(t *testing.T, s *timedStore, commit func() error) {
		s.set(380*time.Millisecond, 300*time.Millisecond)
		if err := commit(); err != nil {
			t.Errorf("the commit was given up: %v", err)
		}
		if n := s.commits.Load(); n != 1 {
			t.Errorf("the commit was sent %d times, want once", n)
		}
	})
}

// Guards against a lost answer that is noticed late while the store answers other calls as usual.
func TestLostAnswerIsNoticedWhileStoreIsFast(t *testing.T) {
	runAdaptive(t, func(t *testing.T, s *timedStore, commit func() error) {
		s.set(0, 6*time.Millisecond)
		began := time.Now()
		if err := commit(); !errors.Is(err, ErrUnknownOutcome) {
			t.Errorf("the commit without an answer: %v", err)
		}
		if took := time.Since(began); took > 2*minCommitTimeout {
			t.Errorf("the lost answer was noticed after %s, want at most %s", took, 2*minCommitTimeout)
		}
	})
}

// Guards against a commit that waits for the whole timeout although the store has returned from an outage in which it was silent.
func TestCommitIsGivenUpOnceSilentStoreReturns(t *testing.T) {
	runAdaptive(t, func(t *testing.T, s *timedStore, commit func() error) {
		const outage = 700 * time.Millisecond
		s.set(0, 0)
		time.AfterFunc(outage, func() { s.set(10*time.Millisecond, 6*time.Millisecond) })
		began := time.Now()
		if err := commit(); !errors.Is(err, ErrUnknownOutcome) {
			t.Errorf("a commit that was sent while the store was silent: %v", err)
		}
		if took := time.Since(began); took < outage || took > outage+probeInterval+20*time.Millisecond {
			t.Errorf("the commit was given up after %s, want soon after the outage of %s", took, outage)
		}
		if err := commit(); err != nil {
			t.Errorf("the next commit: %v", err)
		}
	})
}

// largeAnswers is a Store whose answers to reads begin to arrive after 10 ms and take 600 ms to receive.
type largeAnswers struct{ *Memory }

func (s largeAnswers) Read(ctx context.Context, r Range) (Page, error) {
	time.Sleep(10 * time.Millisecond)
	NoteResponse(ctx)
	time.Sleep(600 * time.Millisecond)
	return s.Memory.Read(ctx, r)
}

// Guards against a store that counts as silent, so that jobs are refused, while a large answer is received on a slow link.
func TestLargeAnswerIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := NewAdaptiveStore(NewRecoveringStore(largeAnswers{NewMemory()}), nil)
		done := make(chan error, 1)
		read := func() {
			_, err := a.Read(t.Context(), Range{Table: "t", Partition: "p"})
			done <- err
		}
		go read()
		time.Sleep(500 * time.Millisecond)
		if silent, _ := a.SilentFor(); silent > 0 {
			t.Errorf("silent for %v while an answer is received", silent)
		}
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		go read()
		time.Sleep(5 * time.Millisecond)
		if silent, _ := a.SilentFor(); silent != 5*time.Millisecond {
			t.Errorf("silent for %v after the next call was sent 5 ms ago", silent)
		}
		<-done
	})
}
