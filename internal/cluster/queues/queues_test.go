package queues

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against an index by host that selects another queue than a search through all queues does.
func TestSelectUsesTheLongestPrefixOfTheHost(t *testing.T) {
	hosts := rapid.SampledFrom([]string{"a.example", "A.Example", "b.example", "ſ.example", "S.example", "\u212a", "k", "", "\xff"})
	paths := rapid.SampledFrom([]string{"", "/", "/a/", "/a/b/", "/A/"})
	rapid.Check(t, func(t *rapid.T) {
		c := &Config{Queues: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Queue {
			return Queue{Name: rapid.StringN(1, 3, -1).Draw(t, "name"), Host: hosts.Draw(t, "host"), PathPrefix: paths.Draw(t, "prefix")}
		}), 0, 12).Draw(t, "queues")}
		host, path := hosts.Draw(t, "request host"), paths.Draw(t, "path")+"x"
		best, found := Queue{}, false
		for _, q := range c.Queues {
			if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.PathPrefix) && (!found || len(q.PathPrefix) > len(best.PathPrefix)) {
				best, found = q, true
			}
		}
		got, ok := c.Select(host+rapid.SampledFrom([]string{"", ":8161"}).Draw(t, "port"), path)
		if ok != found || got != best {
			t.Fatalf("selected %v %v, expected %v %v", got, ok, best, found)
		}
	})
}

// Guards against an index that makes each request allocate memory.
func TestSelectAllocatesNothing(t *testing.T) {
	c := &Config{Queues: []Queue{{Host: "queue.example", PathPrefix: "/q/"}}}
	if n := testing.AllocsPerRun(100, func() { c.Select("queue.example:80", "/q/1") }); n > 0 {
		t.Errorf("%v allocations per call", n)
	}
}

// Guards against an answer of another host with a damaged digest that ends the process, and against digests that do not survive the way
// between hosts.
func TestDigestsOfWrongLengthAreRejected(t *testing.T) {
	want := DigestKey("k")
	var got KeyDigest
	if text, _ := want.MarshalText(); got.UnmarshalText(text) != nil || got != want {
		t.Errorf("digest %x, expected %x", got, want)
	}
	for _, length := range []int{0, 2, 62, 66, 512} {
		var d KeyDigest
		if err := d.UnmarshalText([]byte(strings.Repeat("a", length))); err == nil {
			t.Errorf("a digest of %d digits is accepted", length)
		}
	}
}
