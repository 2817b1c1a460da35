package configage

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
)

var errCut = errors.New("cut")

// testHost is a host with its own clock, whose store answers nothing.
type testHost struct {
	offset  atomic.Int64 // of its clock in nanoseconds, which a suspension sets forward
	tracker *Tracker
	holder  *queues.ConfigHolder
	checker *Checker
	asked   atomic.Int64 // calls to other hosts
	reads   atomic.Int64
	peers   map[string]*testHost
}

func (h *testHost) now() time.Duration { return time.Duration(time.Now().UnixNano() + h.offset.Load()) }

func newTestHost(offset time.Duration, version int64) *testHost {
	h := &testHost{holder: queues.NewConfigHolder(), peers: map[string]*testHost{}}
	h.offset.Store(int64(offset))
	h.tracker = NewTracker(Limits{Apply: 3 * time.Second, Extension: 6 * time.Second}, h.now)
	if version > 0 {
		h.holder.Update(&queues.Config{Version: version})
		h.tracker.ConfirmByStore(h.now())
	}
	h.checker = &Checker{Tracker: h.tracker, Holder: h.holder, Required: func() bool { return true }, Metrics: tally.NoopScope, Log: zap.NewNop(),
		Sources: Sources{
			Peers: func() []string {
				var addrs []string
				for addr := range h.peers {
					addrs = append(addrs, addr)
				}
				return addrs
			},
			Ask: func(_ context.Context, addr string, q Question) (Answer, error) {
				h.asked.Add(1)
				p := h.peers[addr]
				if p == nil {
					return Answer{}, errCut
				}
				return p.tracker.Answer(p.holder, q), nil
			},
			Reconnect: func() {},
			Read:      func(context.Context) error { h.reads.Add(1); return errCut },
		}}
	return h
}

// Guards against a host that keeps an old version while other hosts know a newer one, and against ages that are compared across clocks.
func TestNewerVersionOfAnotherHostIsAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, other := newTestHost(0, 1), newTestHost(100*time.Hour, 1)
		h.peers["other"] = other
		ctx, stop := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer stop()
		go h.checker.Run(ctx)
		time.Sleep(time.Second)
		other.holder.Update(&queues.Config{Version: 2, Teams: []queues.Team{{Name: "a", KeyDigests: []queues.KeyDigest{queues.DigestKey("k")}}}})
		other.tracker.ConfirmByStore(other.now())
		time.Sleep(600 * time.Millisecond)
		if _, ok := h.holder.Current().TeamOfKey("k"); !ok {
			t.Fatalf("version %d is in force", h.holder.Current().Version)
		}
		if age := h.tracker.State().Age(h.now()); age < 600*time.Millisecond || age > 650*time.Millisecond {
			t.Errorf("age %s, although the other host's copy was confirmed 0.6 s ago", age)
		}
		time.Sleep(8 * time.Second) // the store answers the other host no longer
		if v := h.tracker.Verdict(); v != Usable {
			t.Errorf("%s before the bound", v)
		}
		time.Sleep(300 * time.Millisecond)
		if v := h.tracker.Verdict(); v != TooOld {
			t.Errorf("%s after the bound", v)
		}
	})
}

// Guards against a host that starts while it can't read the configuration, and does not get it from the hosts of its roster.
func TestHostWithoutAConfigurationGetsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, other := newTestHost(0, 0), newTestHost(0, 1)
		h.peers["other"] = other
		if h.tracker.Usable(t.Context()) {
			t.Error("usable without a configuration")
		}
		ctx, stop := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer stop()
		go h.checker.Run(ctx)
		time.Sleep(300 * time.Millisecond)
		if current := h.holder.Current(); current == nil || !h.tracker.Usable(t.Context()) {
			t.Errorf("configuration %v", current)
		}
	})
}

// Guards against a host that decides by its old copy right after a suspension, although another host knows a newer version.
func TestFirstRequestAfterASuspensionWaitsForACheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, other := newTestHost(0, 1), newTestHost(0, 1)
		h.peers["other"] = other
		ctx, stop := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer stop()
		go h.checker.Run(ctx)
		time.Sleep(time.Millisecond)
		h.offset.Add(int64(5 * time.Second))
		other.holder.Update(&queues.Config{Version: 2})
		other.tracker.ConfirmByStore(other.now())
		began := time.Now()
		if !h.tracker.Usable(t.Context()) || h.holder.Current().Version != 2 {
			t.Errorf("version %d is used", h.holder.Current().Version)
		}
		if took := time.Since(began); took > 50*time.Millisecond {
			t.Errorf("the request waited for %s", took)
		}
		synctest.Wait() // the answer of the other host may have come first
		if h.reads.Load() != 1 {
			t.Errorf("%d reads of the store", h.reads.Load())
		}
	})
}

// Guards against a host that refuses everything while nobody answers, although its copy is within the bound, and against calls to other
// hosts while the store answers or where no keys are required.
func TestAttemptsAreMadeOnlyWhenNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHost(0, 1)
		h.peers["dead"] = nil
		var unlocked atomic.Bool
		h.checker.Required = func() bool { return !unlocked.Load() }
		ctx, stop := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer stop()
		go h.checker.Run(ctx)
		for range 10 {
			sent := h.now()
			time.Sleep(800 * time.Millisecond)
			h.tracker.ConfirmByStore(sent)
		}
		if n := h.asked.Load() + h.reads.Load(); n > 0 {
			t.Errorf("%d calls while the store answers", n)
		}
		for range 6 {
			time.Sleep(time.Second)
			if !h.tracker.Usable(t.Context()) {
				t.Errorf("refused at an age of %s", h.tracker.State().Age(h.now()))
			}
		}
		if h.asked.Load() < 15 || h.reads.Load() > 2 {
			t.Errorf("%d questions and %d reads in 6 s", h.asked.Load(), h.reads.Load())
		}
		unlocked.Store(true)
		time.Sleep(10 * time.Millisecond) // an attempt may have begun
		before := h.asked.Load()
		time.Sleep(time.Second)
		if now := h.asked.Load(); now != before {
			t.Errorf("%d questions where no keys are required", now-before)
		}
	})
}

// Guards against an answer that confirms more than the answering host knows, and against one that is taken although it is invalid.
func TestInvalidAnswersConfirmNothing(t *testing.T) {
	h := newTestHost(0, 3)
	unconfirmed := newTestHost(0, 0)
	unconfirmed.holder.Update(&queues.Config{Version: 9})
	invalid := newTestHost(0, 0)
	invalid.holder.Update(&queues.Config{Version: 9, Teams: []queues.Team{{Name: ""}}})
	invalid.tracker.ConfirmByStore(invalid.now())
	before := h.tracker.State()
	for addr, p := range map[string]*testHost{"unconfirmed": unconfirmed, "invalid": invalid} {
		h.peers = map[string]*testHost{addr: p}
		h.checker.ask(t.Context(), addr)
		if h.holder.Current().Version != 3 || h.tracker.State() != before {
			t.Errorf("%s: version %d", addr, h.holder.Current().Version)
		}
	}
}

// Guards against a large configuration that is cut on a slow link, again with each attempt.
func TestLargeAnswerOnSlowLinkIsReceived(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(attemptTimeout + 200*time.Millisecond)
		_, _ = io.WriteString(w, "2")
	}))
	defer server.Close()
	h := newTestHost(0, 1)
	h.peers["p"] = nil
	h.checker.Sources.Ask = func(ctx context.Context, _ string, _ Question) (Answer, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
		if err != nil {
			return Answer{}, err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return Answer{}, err
		}
		defer func() { _ = resp.Body.Close() }()
		_, err = io.ReadAll(resp.Body)
		return Answer{Known: true, Config: &queues.Config{Version: 2}}, err
	}
	began := h.now()
	for range 3 {
		h.checker.attempt(context.Background(), h.now(), h.tracker.State())
	}
	if v := h.holder.Current().Version; v != 2 {
		t.Errorf("version %d is in force after %v, not 2", v, h.now()-began)
	}
}

// Guards against attempts that wait for hosts which do not answer.
func TestSilentHostEndsAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHost(0, 1)
		h.peers["p"] = nil
		h.checker.Sources.Ask = func(ctx context.Context, _ string, _ Question) (Answer, error) {
			<-ctx.Done()
			return Answer{}, ctx.Err()
		}
		began := h.now()
		h.checker.attempt(t.Context(), began, h.tracker.State())
		if took := h.now() - began; took != attemptTimeout {
			t.Errorf("the attempt took %v", took)
		}
	})
}
