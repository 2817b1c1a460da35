package request

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestNoReplay guards against net/http sending an attempt again when a reused connection breaks, both with a body that
// could be replayed and with an empty body.
func TestNoReplay(t *testing.T) {
	Convey("A minion that closes reused connections receives each attempt at most once", t, func() {
		for _, mode := range []string{"idle", "read", "partial"} {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			n := newFakeNetwork()
			n.closeAfter, n.closeMode = 2, mode
			n.listen(l)
			p := newConnPool(l.Addr().String(), new(net.Dialer).DialContext)
			results := map[sendResult]int{}
			for i := range 60 {
				payload := [][]byte{[]byte(`{"key":"k"}`), nil}[i%2]
				if mode == "partial" {
					payload = make([]byte, 1<<20)
				}
				s := p.execute(context.Background(), attempt{fmt.Sprint(i), payload, func() error { return nil }})
				results[s.result]++
				n.mu.Lock()
				So(n.received[fmt.Sprint(i)], ShouldBeLessThanOrEqualTo, 1)
				if s.result == sendNotRun {
					So(n.received[fmt.Sprint(i)], ShouldEqual, 0)
				}
				n.mu.Unlock()
			}
			So(results[sendAnswered], ShouldBeGreaterThanOrEqualTo, 30)
			if mode != "idle" {
				So(results[sendLost], ShouldBeGreaterThan, 0)
			}
			p.close()
			_ = l.Close()
			n.close()
		}
	})
	Convey("A writeGate allows an attempt on one connection only, and on none after a failed check", t, func() {
		a, b := net.Pipe()
		g := &writeGate{check: func() error { return nil }}
		So(g.allowWrite(a), ShouldBeNil)
		So(g.allowWrite(a), ShouldBeNil)
		So(g.allowWrite(b), ShouldEqual, errSecondSend)
		So(func() bool { written, _ := g.stopWrites(); return written }(), ShouldBeTrue)
		So(g.allowWrite(a), ShouldEqual, errGateClosed)
		g = &writeGate{check: func() error { return io.EOF }}
		So(g.allowWrite(a), ShouldEqual, io.EOF)
		So(g.allowWrite(a), ShouldEqual, errGateClosed)
		written, err := g.stopWrites()
		So(written, ShouldBeFalse)
		So(err, ShouldEqual, io.EOF)
	})
}

// TestRouter guards against choices that ignore the load of the minions, and against slot counts that become wrong over
// time.
func TestRouter(t *testing.T) {
	Convey("Attempts are spread over the minions by idle slots, and a full minion is never chosen", t, func() {
		r := newIdleRouter(50)
		rng := rand.New(rand.NewPCG(3, 3))
		var inUse []*minion
		for range 20_000 {
			if m := r.pick(nil, true); m != nil && (len(inUse) == 0 || rng.IntN(100) < 55) {
				So(m.idle(), ShouldBeGreaterThan, 0)
				r.acquireSlot(m)
				inUse = append(inUse, m)
				continue
			}
			i := rng.IntN(len(inUse))
			r.releaseSlot(inUse[i], time.Time{})
			inUse = append(inUse[:i], inUse[i+1:]...)
		}
		So(r.totalSlots, ShouldEqual, 50*minionSlots)
		So(r.idleSlots(), ShouldEqual, 50*minionSlots-len(inUse))
		other := r.available[0]
		for range 100 {
			So(r.pick(other, true), ShouldNotEqual, other)
		}
	})
	Convey("The trial of an ejected minion uses an attempt that can be repeated", t, func() {
		r := newIdleRouter(2)
		failing, now := r.available[0], time.Now()
		for range failuresToEject {
			r.recordFailure(failing, now)
		}
		r.advance(now.Add(minEjection))
		for range 100 {
			So(r.pick(nil, true), ShouldEqual, failing)
			So(r.pick(nil, false), ShouldNotEqual, failing)
			So(r.pick(failing, true), ShouldNotEqual, failing)
		}
	})
	Convey("A routing decision does not allocate memory, whatever the number of minions", t, func() {
		r := newIdleRouter(25_000)
		So(testing.AllocsPerRun(1000, func() { r.acquireSlot(r.pick(nil, true)) }), ShouldEqual, 0)
	})
	Convey("The duration of ejections doubles up to its limit", t, func() {
		So(ejectionDuration(0), ShouldEqual, time.Second)
		So(ejectionDuration(3), ShouldEqual, 8*time.Second)
		So(ejectionDuration(5), ShouldEqual, 30*time.Second)
		So(ejectionDuration(100), ShouldEqual, 30*time.Second)
	})
}

// newIdleRouter returns a router with n idle minions.
func newIdleRouter(n int) *router {
	r := newRouter(1)
	for i := range n {
		r.add(&minion{id: fmt.Sprint("m", i), listed: true})
	}
	return r
}

// BenchmarkRoute measures one routing decision: choose a minion, acquire a slot, and release an older slot.
func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{50, 500, 5_000, 25_000} {
		b.Run(fmt.Sprint(n, " minions"), func(b *testing.B) {
			r := newIdleRouter(n)
			inUse := make([]*minion, n*minionSlots*8/10) // a load of 80 %
			for i := range inUse {
				inUse[i] = r.pick(nil, true)
				r.acquireSlot(inUse[i])
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				m := r.pick(nil, true)
				r.acquireSlot(m)
				j := i % len(inUse)
				r.releaseSlot(inUse[j], time.Time{})
				inUse[j] = m
			}
		})
	}
}
