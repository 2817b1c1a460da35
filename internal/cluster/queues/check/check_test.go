package check

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
)

func valid() *queues.Config {
	return &queues.Config{
		Version:  7,
		Queues:   []queues.Queue{{Name: "q", Host: "a.example", PathPrefix: "/q/", Service: "s", MaxAttempts: 3, SlackFactor: 2}},
		Services: []queues.Service{{Name: "s"}},
		Teams:    []queues.Team{{Name: "t", KeyDigests: []queues.KeyDigest{queues.DigestKey("k")}, Weight: 4, Quota: queues.Quota{CPUMilli: 9000}}},
		Limits:   queues.Limits{MaxBodyBytes: 1 << 18, MaxHeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// Guards against a configuration that is written although part of it can have no effect, or the opposite of the intended one.
func TestConfig(t *testing.T) {
	Convey("A sound configuration has no findings", t, func() { So(Config(valid()), ShouldBeEmpty) })
	for name, c := range map[string]struct {
		kind   Kind
		entry  string
		change func(c *queues.Config)
	}{
		"no version":                  {Invalid, "version", func(c *queues.Config) { c.Version = 0 }},
		"a queue without a name":      {Invalid, "queue 0", func(c *queues.Config) { c.Queues[0].Name = "" }},
		"an unknown service":          {NeverMatches, `queue "q"`, func(c *queues.Config) { c.Services[0].Name = "other"; c.Queues[0].Service = "s" }},
		"a host with a port":          {NeverMatches, `queue "q"`, func(c *queues.Config) { c.Queues[0].Host = "a.example:80" }},
		"a prefix without a slash":    {NeverMatches, `queue "q"`, func(c *queues.Config) { c.Queues[0].PathPrefix = "q/" }},
		"two queues with one address": {NeverMatches, `queue "r"`, func(c *queues.Config) { c.Queues = append(c.Queues, c.Queues[0]); c.Queues[1].Name = "r" }},
		"no attempts":                 {Invalid, `queue "q"`, func(c *queues.Config) { c.Queues[0].MaxAttempts = 0 }},
		"no time for the tasks":       {Contradiction, `queue "q"`, func(c *queues.Config) { c.Queues[0].SlackFactor = 0.5 }},
		"approvals that expire early": {Contradiction, `queue "q"`, func(c *queues.Config) {
			c.Queues[0].PolicyService = &queues.PolicyService{Base: time.Second, Validity: time.Second}
		}},
		"two services with one name": {Invalid, `service "s"`, func(c *queues.Config) { c.Services = append(c.Services, c.Services[0]) }},
		"an unused service":          {NeverMatches, `service "s2"`, func(c *queues.Config) { c.Services = append(c.Services, queues.Service{Name: "s2"}) }},
		"a key of two teams": {Invalid, "teams", func(c *queues.Config) {
			c.Teams = append(c.Teams, c.Teams[0])
			c.Teams[1].Name = "u"
		}},
		"a team without a key":       {NeverMatches, `team "t"`, func(c *queues.Config) { c.Teams[0].KeyDigests = nil }},
		"a limit below one task":     {Contradiction, `team "t"`, func(c *queues.Config) { c.Teams[0].Quota.CPUMilli = 1 }},
		"bodies that are too short":  {Contradiction, "limits", func(c *queues.Config) { c.Limits.MaxBodyBytes = 100 }},
		"idle before header timeout": {Contradiction, "limits", func(c *queues.Config) { c.Limits.IdleTimeout = time.Second }},
	} {
		Convey("Reports "+name, t, func() {
			config := valid()
			c.change(config)
			var found []Finding
			for _, f := range Config(config) {
				if f.Kind == c.kind && f.Entry == c.entry {
					found = append(found, f)
				}
			}
			So(found, ShouldHaveLength, 1)
		})
	}
}

// Guards against a change that an operator does not notice before writing it, and against keys in the output.
func TestDiff(t *testing.T) {
	Convey("Given two versions", t, func() {
		before, after := valid(), valid()
		after.Version = 8
		So(Diff(before, after), ShouldBeEmpty)
		Convey("Changed, added and removed entries are reported, keys by their fingerprints", func() {
			after.Queues[0].MaxAttempts = 5
			after.Teams[0].KeyDigests = []queues.KeyDigest{queues.DigestKey("k2")}
			oldKey, newKey := queues.DigestKey("k").Fingerprint(), queues.DigestKey("k2").Fingerprint()
			changes := Diff(before, after)
			So(changes, ShouldHaveLength, 3)
			So(changes, ShouldContain, Change{`queue "q" MaxAttempts`, "3", "5"})
			So(changes, ShouldContain, Change{Entry: `team "t" key ` + oldKey, Before: "held"})
			So(changes, ShouldContain, Change{Entry: `team "t" key ` + newKey, After: "held"})
		})
		Convey("A version that is not above the one in force is a conflict", func() {
			So(VersionConflict(before, after), ShouldBeEmpty)
			So(VersionConflict(after, before), ShouldNotBeEmpty)
		})
	})
}
