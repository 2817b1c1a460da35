package ingress

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const testBudget = 800 << 10 // bytes; an eighth is 100 kB

// Guards against clients of one kind that take the room of others, and against limits that ordinary clients meet.
func TestBudgetRefusals(t *testing.T) {
	type hold struct {
		listener Listener
		address  string
		bytes    int64
	}
	many := func(n int, h hold) (out []hold) {
		for range n {
			out = append(out, h)
		}
		return out
	}
	const kB = 1 << 10
	cases := []struct {
		name string
		held []hold // by one connection each
		next hold
		want Reason
	}{
		{"an ordinary body", nil, hold{Callers, "a", 4 * kB}, admitted},
		{"150 ordinary bodies from one address", many(149, hold{Callers, "a", 4 * kB}), hold{Callers, "a", 4 * kB}, admitted},
		{"small bodies beyond the listener's share", many(150, hold{Callers, "a", 4 * kB}), hold{Callers, "a", 4 * kB}, noRoom},
		{"a peer while callers use all of their share", many(150, hold{Callers, "a", 4 * kB}), hold{Peers, "b", 100 * kB}, admitted},
		{"a body larger than a connection's share", nil, hold{Callers, "a", 201 * kB}, connectionShareUsed},
		{"a body of a peer as large", nil, hold{Peers, "a", 201 * kB}, admitted},
		{"a large body beyond the share of its address", many(4, hold{Callers, "a", 100 * kB}), hold{Callers, "a", 20 * kB}, addressShareUsed},
		{"a small body from that address", many(4, hold{Callers, "a", 100 * kB}), hold{Callers, "a", 16 * kB}, admitted},
		{"a large body from another address", many(4, hold{Callers, "a", 100 * kB}), hold{Callers, "b", 100 * kB}, admitted},
		{"a large body beyond the share of large ones", append(many(4, hold{Callers, "a", 100 * kB}), hold{Callers, "b", 100 * kB}),
			hold{Callers, "c", 20 * kB}, largeShareUsed},
		{"a small body then", append(many(4, hold{Callers, "a", 100 * kB}), hold{Callers, "b", 100 * kB}), hold{Callers, "c", 16 * kB}, admitted},
		{"more than the whole budget", append(many(150, hold{Callers, "a", 4 * kB}), many(50, hold{Peers, "a", 4 * kB})...),
			hold{Peers, "a", 4 * kB}, noRoom},
		{"a long header of a probe", nil, hold{Readiness, "a", 12 * kB}, admitted},
		{"more of them than their share", many(8, hold{Readiness, "a", 12 * kB}), hold{Readiness, "a", 12 * kB}, noRoom},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			b := newBudget(testBudget)
			for _, h := range c.held {
				So(b.reserve(&account{client: client{h.listener, h.address}}, h.bytes), ShouldEqual, admitted)
			}
			So(b.reserve(&account{client: client{c.next.listener, c.next.address}}, c.next.bytes), ShouldEqual, c.want)
		})
	}
}

// Guards against a budget that is exceeded, or that loses bytes when bodies end.
func TestBudgetIsKeptAndGivenBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBudget(testBudget)
		var accounts []*account
		for range 12 {
			l := Listener(rapid.IntRange(0, int(listenerCount)-1).Draw(t, "listener"))
			accounts = append(accounts, &account{client: client{l, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "address")}})
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			a := rapid.SampledFrom(accounts).Draw(t, "account")
			if rapid.Bool().Draw(t, "release") {
				b.release(a)
			} else {
				b.reserve(a, rapid.Int64Range(1, 300<<10).Draw(t, "bytes"))
			}
			var sum int64
			for _, a := range accounts {
				sum += a.bytes
			}
			if b.used != sum || b.used > b.total {
				t.Fatalf("used %d of %d, the accounts hold %d", b.used, b.total, sum)
			}
		}
		for _, a := range accounts {
			b.release(a)
		}
		if b.used != 0 || b.large != [listenerCount]int64{} || b.listeners != [listenerCount]int64{} || len(b.addresses) != 0 {
			t.Fatalf("bytes are left: %+v", b)
		}
	})
}

// Guards against limits that don't fit the machine.
func TestDefaultLimits(t *testing.T) {
	for _, c := range []struct {
		memoryMB, descriptors      int
		callers, peers, bodyMBytes int
	}{
		{144, 3075, 1024, 1024, 12},
		{536, 10250, 3738, 3768, 44},
		{536, 3075, 1047, 1078, 44},
		{0, 0, 1024, 1024, 12},
		{96, 600, 118, 150, 8},
		{16, 100, 16, 16, 1},
	} {
		Convey("Limits of a machine", t, func() {
			l := DefaultLimits(c.memoryMB, c.descriptors)
			So(l.Connections, ShouldResemble, [listenerCount]int{c.callers, c.peers, readinessConnections})
			So(l.BodyBytes>>20, ShouldEqual, c.bodyMBytes)
		})
	}
}
