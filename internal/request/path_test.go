package request

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/membership"
)

// rude is a TCP listener that answers a number of attempts per connection and then closes it: without a word, after it
// has read the next request, or after a part of it.
type rude struct {
	net.Listener
	answers int    // per connection
	mode    string // "idle": closes after the last answer; "read": reads one more request; "partial": reads a part of it

	mu   sync.Mutex
	seen map[string]int // requests per attempt id, incomplete ones included
	wg   sync.WaitGroup
}

func newRude(answers int, mode string) *rude {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	r := &rude{Listener: l, answers: answers, mode: mode, seen: map[string]int{}}
	r.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.wg.Go(func() { r.serve(c) })
		}
	})
	return r
}

func (r *rude) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for n := 0; ; n++ {
		if n == r.answers && r.mode == "idle" {
			return
		}
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := req.Header.Get(HeaderAttemptID)
		r.mu.Lock()
		r.seen[id]++
		r.mu.Unlock()
		if n == r.answers && r.mode == "partial" {
			return // the rest of the body is unread, so the peer sees a reset
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if n == r.answers {
			return
		}
		_, _ = c.Write(reply(job{Key: "k"}, id))
	}
}

// TestNoReplay guards against an attempt that net/http sends again when a reused connection breaks, with a body that
// could be replayed and with an empty one.
func TestNoReplay(t *testing.T) {
	Convey("A minion that closes reused connections sees each attempt at most once", t, func() {
		for _, mode := range []string{"idle", "read", "partial"} {
			r := newRude(2, mode)
			p := newPath(r.Addr().String(), new(net.Dialer).DialContext)
			results := map[sendResult]int{}
			for i := range 60 {
				payload := []byte(`{"key":"k"}`)
				if i%2 == 1 {
					payload = nil
				}
				if mode == "partial" {
					payload = make([]byte, 1<<20)
				}
				s := p.execute(context.Background(), attempt{id: fmt.Sprint(i), payload: payload, check: func() error { return nil }})
				results[s.result]++
				r.mu.Lock()
				So(r.seen[fmt.Sprint(i)], ShouldBeLessThanOrEqualTo, 1)
				if s.result == sendNotRun {
					So(r.seen[fmt.Sprint(i)], ShouldEqual, 0)
				}
				r.mu.Unlock()
			}
			So(results[sendAnswered], ShouldBeGreaterThanOrEqualTo, 30)
			if mode != "idle" {
				So(results[sendLost], ShouldBeGreaterThan, 0)
			}
			p.close()
			_ = r.Close()
			r.wg.Wait()
		}
	})
	Convey("A gate lets an attempt pass on one connection only, and on none after a failed check", t, func() {
		a, b := net.Pipe()
		g := &gate{check: func() error { return nil }}
		So(g.pass(a), ShouldBeNil)
		So(g.pass(a), ShouldBeNil)
		So(g.pass(b), ShouldEqual, errSecondSend)
		written, _ := g.shut()
		So(written, ShouldBeTrue)
		So(g.pass(a), ShouldEqual, errGateClosed)
		g = &gate{check: func() error { return io.EOF }}
		So(g.pass(a), ShouldEqual, io.EOF)
		So(g.pass(a), ShouldEqual, errGateClosed)
		written, err := g.shut()
		So(written, ShouldBeFalse)
		So(err, ShouldEqual, io.EOF)
	})
}

// TestRouter guards against choices that ignore how busy minions are, and against counts of slots that drift.
func TestRouter(t *testing.T) {
	Convey("Attempts spread over minions by idle slots, and full ones are never chosen", t, func() {
		r := benchRouter(50)
		rng := rand.New(rand.NewPCG(3, 3))
		var inUse []*minion
		for range 20_000 {
			if m := r.pick(nil); m != nil && (len(inUse) == 0 || rng.IntN(100) < 55) {
				So(m.idle(), ShouldBeGreaterThan, 0)
				r.use(m)
				inUse = append(inUse, m)
				continue
			}
			i := rng.IntN(len(inUse))
			r.free(inUse[i], time.Time{})
			inUse = append(inUse[:i], inUse[i+1:]...)
		}
		So(r.total, ShouldEqual, 50*minionSlots)
		So(r.idleSlots(), ShouldEqual, 50*minionSlots-len(inUse))
		other := r.available[0]
		for range 100 {
			So(r.pick(other), ShouldNotEqual, other)
		}
	})
	Convey("Ejections double up to their limit", t, func() {
		So(ejection(0), ShouldEqual, time.Second)
		So(ejection(3), ShouldEqual, 8*time.Second)
		So(ejection(5), ShouldEqual, 30*time.Second)
		So(ejection(100), ShouldEqual, 30*time.Second)
	})
}

func benchRouter(n int) *router {
	r := newRouter(1)
	for i := range n {
		e := membership.Endpoint{ID: fmt.Sprint("m", i)}
		r.add(&minion{id: e.ID, listed: true})
	}
	return r
}

// BenchmarkRoute measures one routing decision: choose a minion, take its slot, give an older slot back.
func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{50, 500, 5_000, 25_000} {
		b.Run(fmt.Sprint(n, " minions"), func(b *testing.B) {
			r := benchRouter(n)
			inUse := make([]*minion, n*minionSlots*8/10) // a load of 80 %
			for i := range inUse {
				inUse[i] = r.pick(nil)
				r.use(inUse[i])
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				m := r.pick(nil)
				r.use(m)
				j := i % len(inUse)
				r.free(inUse[j], time.Time{})
				inUse[j] = m
			}
		})
	}
}

// TestRouteAllocations guards against allocation in the routing decision, which would cost more the more is routed.
func TestRouteAllocations(t *testing.T) {
	Convey("A routing decision does not allocate", t, func() {
		r := benchRouter(25_000)
		So(testing.AllocsPerRun(1000, func() {
			m := r.pick(nil)
			r.use(m)
			r.free(m, time.Time{})
		}), ShouldEqual, 0)
	})
}
