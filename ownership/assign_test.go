package ownership

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/greengagewing/greengagewing/session"
)

// daemonIDs returns n daemon ids.
func daemonIDs(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("10.0.0.%d:8081", i+1)
	}
	return ids
}

// reassign gives every partition to its desired owner and returns how many partitions changed their owner.
func reassign(assignments []assignment, ids []string) (moved int) {
	ranking := rankOwners(assignments, ids)
	for i := range assignments {
		if next := ranking[assignments[i].partition][0]; next != assignments[i].owner {
			assignments[i].owner = next
			moved++
		}
	}
	return moved
}

// loadRange returns the smallest and the largest number of partitions that a daemon owns.
func loadRange(assignments []assignment, ids []string) (least, most int) {
	load := map[string]int{}
	for _, a := range assignments {
		load[a.owner]++
	}
	least = len(assignments)
	for _, id := range ids {
		least, most = min(least, load[id]), max(most, load[id])
	}
	return least, most
}

// TestAssign guards against a daemon that gets more than its share of the partitions, against the loss or arrival of a
// daemon that moves partitions between daemons that stay, and against an assignment that keeps changing.
func TestAssign(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		assignments := make([]assignment, rapid.IntRange(1, 24).Draw(t, "partitions"))
		for i := range assignments {
			assignments[i].partition = fmt.Sprintf("request/textos/%02d", i)
		}
		all := daemonIDs(12)
		ids := all[:rapid.IntRange(1, len(all)).Draw(t, "daemons")]
		reassign(assignments, ids)
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			owned := map[string]int{}
			for _, a := range assignments {
				owned[a.owner]++
			}
			allowed := 0
			if leave := rapid.Bool().Draw(t, "leave"); leave && len(ids) > 1 {
				gone := rapid.SampledFrom(ids).Draw(t, "gone")
				ids = slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == gone })
				allowed = owned[gone]
			} else if i := slices.IndexFunc(all, func(id string) bool { return !slices.Contains(ids, id) }); i >= 0 {
				ids = append(slices.Clone(ids), all[i])
				allowed = (len(assignments) + len(ids) - 1) / len(ids)
			}
			if moved := reassign(assignments, ids); moved > allowed {
				t.Fatalf("%d partitions moved, %d allowed", moved, allowed)
			}
			if least, most := loadRange(assignments, ids); most-least > 1 {
				t.Fatalf("daemons have %d to %d partitions", least, most)
			}
			if moved := reassign(assignments, ids); moved != 0 {
				t.Fatalf("%d partitions moved without a change", moved)
			}
		}
	})
}

// TestEligible guards against assigning partitions to daemons that do not serve their group.
func TestEligible(t *testing.T) {
	Convey("A session gets only partitions of its groups; a session without groups gets partitions of every group", t, func() {
		live := []session.Info{
			{Row: session.Row{ID: "a", State: session.Live, Groups: []string{"request/textos"}}},
			{Row: session.Row{ID: "b", State: session.Live, Groups: []string{"request/eierabo"}}},
			{Row: session.Row{ID: "c", State: session.Live}},
			{Row: session.Row{ID: "d", State: session.Draining}},
			{Row: session.Row{ID: "e", State: session.Live}, Unchanged: true},
		}
		So(eligibleDaemons("request/textos", "self", true, live), ShouldResemble, []string{"self", "a", "c"})
		So(eligibleDaemons("request/eierabo", "self", false, live), ShouldResemble, []string{"b", "c"})
		So(GroupOf("request/textos/3"), ShouldEqual, "request/textos")
	})
}
