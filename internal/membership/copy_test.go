package membership

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// fakePeers simulates other daemons, with their lists by address.
type fakePeers struct {
	lists       map[string]*List
	calls       atomic.Int64
	beforeHosts func() // runs before hosts are returned
}

func (p *fakePeers) Addrs() []string {
	var addrs []string
	for a := range p.lists {
		addrs = append(addrs, a)
	}
	return addrs
}

func (p *fakePeers) Copy(_ context.Context, addr string, hosts bool) (Copy, error) {
	p.calls.Add(1)
	if hosts && p.beforeHosts != nil {
		p.beforeHosts()
	}
	if p.lists[addr] == nil {
		return Copy{}, errors.New("unreachable")
	}
	return p.lists[addr].Copy(hosts)
}

// TestCopyFromPeers guards against a daemon that knows no endpoints when it starts while the list cannot be read,
// against a copy that appears fresher than it is or is used as evidence that a host is gone, and against a copy that
// overrides the list that the daemon read itself or the report of an endpoint.
func TestCopyFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const addr = "127.0.0.1:1" // address of a daemon
		read := func(ids ...string) *List {
			f := &fakeFetcher{hosts: []Host{{ID: "d1", Addr: addr, Kind: KindDaemon, State: "live"}}}
			for _, id := range ids {
				f.hosts = append(f.hosts, Host{ID: id, Kind: KindMinion, ServiceOrPool: "textos", State: "live"})
			}
			l := NewList(f)
			l.Poll(t.Context())
			return l
		}
		// start starts a new daemon, runs it for the duration after, and returns its list.
		start := func(p *fakePeers, f *fakeFetcher, after time.Duration) *List {
			ctx, cancel := context.WithTimeout(t.Context(), after)
			defer cancel()
			l := NewList(f)
			go l.Run(ctx)
			l.CopyFromPeers(ctx, p)
			synctest.Wait()
			return l
		}
		unreadable := &fakeFetcher{err: ErrUnavailable}
		readable := &fakeFetcher{hosts: []Host{{ID: "m3", Kind: KindMinion, ServiceOrPool: "textos"}}}
		ids := func(l *List) (out []string) {
			for _, e := range l.Minions("textos") {
				out = append(out, e.ID)
			}
			return out
		}
		Convey("Given two peers that read the list 5 s apart and one that has none", t, func() {
			old := read("m1")
			time.Sleep(5 * time.Second)
			young := read("m1", "m2")
			peers := &fakePeers{lists: map[string]*List{"a": old, "b": young, "c": NewList(unreadable), "d": nil}}
			time.Sleep(time.Second)
			Convey("the daemon uses the freshest list, not as evidence, and the age adds up from daemon to daemon", func() {
				first := start(peers, unreadable, 200*time.Millisecond)
				So(ids(first), ShouldResemble, []string{"m1", "m2"})
				So(first.IsCopy(), ShouldBeTrue)
				_, known := first.HostListed(addr)
				So(known, ShouldBeFalse)
				time.Sleep(10 * time.Second)
				second := start(&fakePeers{lists: map[string]*List{"e": first}}, unreadable, 200*time.Millisecond)
				So(ids(second), ShouldResemble, []string{"m1", "m2"})
				So(second.Age(), ShouldBeBetweenOrEqual, young.Age(), young.Age()+10*time.Millisecond)
				So(fmt.Sprintf("%+v", second.State()), ShouldContainSubstring, "CopiedFrom:e Copies:2")
				second.fetch = readable
				second.Poll(t.Context())
				So(ids(second), ShouldResemble, []string{"m3"})
				So(second.IsCopy(), ShouldBeFalse)
				_, known = second.HostListed(addr) // only the copy has shown this address
				So(known, ShouldBeFalse)
			})
			Convey("the list that the daemon read itself takes precedence over a copy that arrives later", func() {
				l := NewList(readable)
				peers.beforeHosts = func() { l.Poll(t.Context()) }
				l.copyFreshest(t.Context(), peers)
				So(ids(l), ShouldResemble, []string{"m3"})
			})
			Convey("the daemon skips a list that is too large", func() {
				many := make([]string, MaxCopyHosts)
				peers.lists["huge"] = read(many...)
				So(len(ids(start(peers, unreadable, 200*time.Millisecond))), ShouldEqual, 2)
				_, err := peers.lists["huge"].Copy(true)
				So(errors.Is(err, ErrTooLarge), ShouldBeTrue)
			})
			Convey("an endpoint's report takes precedence over a copy, whichever daemon received the report", func() {
				young.RecordPeerReports([]string{"m1"})
				l := NewList(unreadable)
				l.RecordPeerReports([]string{"m2"})
				leaving := func() []bool {
					l.copyFreshest(t.Context(), peers)
					es := l.Minions("textos")
					return []bool{es[0].Leaving, es[1].Leaving}
				}
				So(leaving(), ShouldResemble, []bool{true, true})
				time.Sleep(reportPrecedence + time.Second)
				So(leaving(), ShouldResemble, []bool{true, true})
				young.Poll(t.Context())
				So(leaving(), ShouldResemble, []bool{false, false})
			})
			Convey("the daemon asks its peers with backoff, and stops once it has read the list", func() {
				start(peers, unreadable, time.Minute)
				So(peers.calls.Load(), ShouldBeBetweenOrEqual, 4*len(peers.lists), 10*len(peers.lists))
				peers.calls.Store(0)
				start(peers, &fakeFetcher{}, time.Minute)
				So(peers.calls.Load(), ShouldEqual, 0)
			})
		})
	})
}
