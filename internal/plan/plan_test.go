package plan_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/greengagewing/greengagewing/internal/plan"
	"github.com/greengagewing/greengagewing/internal/tabletest"
	"github.com/greengagewing/greengagewing/table"
	"github.com/greengagewing/greengagewing/versionedlist"
)

func TestMain(m *testing.M) { tabletest.Main(m) }

// problems formats the Problems in err, one string for each. Any other error is returned as its text.
func problems(err error) []string {
	var p plan.Problems
	if !errors.As(err, &p) || !errors.Is(err, plan.ErrInvalid) {
		return []string{fmt.Sprint(err)}
	}
	var out []string
	for _, x := range p {
		out = append(out, fmt.Sprintf("%d %s: %s", x.Line, x.Field, x.Message))
	}
	return out
}

// TestParse guards against an invalid list that is accepted, and against validation that stops at the first problem or
// reports the wrong line.
func TestParse(t *testing.T) {
	Convey("Documents", t, func() {
		Convey("a valid list of allowances", func() {
			e, err := plan.ParseDocument(plan.AllowancesList, []byte(`{"gold": {"requests_per_second": 2.5, "burst": 10}}`))
			So(err, ShouldBeNil)
			var a plan.Allowance
			So(json.Unmarshal(e["gold"], &a), ShouldBeNil)
			So(a, ShouldResemble, plan.Allowance{RequestsPerSecond: 2.5, Burst: 10})
		})
		Convey("all problems are reported with their line and field", func() {
			_, err := plan.ParseDocument(plan.AllowancesList, []byte(`{
  "gold": {
    "requests_per_second": -1.5,
    "burst": 2.5,
    "brust": 1,
    "queue": "many", "tasks": 99999999999
  },
  "silver": [],
  "gold": {"cpu_milli": -0, "burst": -7, "memory_mb": 99999999999999999999, "accelerators": null}
}`))
			So(problems(err), ShouldResemble, []string{
				"9 gold: field is repeated",
				"3 gold.requests_per_second: must not be negative, is -1.5",
				"4 gold.burst: must be a whole number, is 2.5",
				"5 gold.brust: unknown field",
				"6 gold.queue: must be a whole number, is string",
				"6 gold.tasks: must be at most 2147483647, is 99999999999",
				"8 silver: must be an object, is array",
				"9 gold.burst: must not be negative, is -7",
				"9 gold.memory_mb: must be at most 9223372036854775807, is 99999999999999999999",
				"9 gold.accelerators: must be a whole number, is null",
			})
		})
		Convey("problems in all fields of an edit are reported", func() {
			_, err := plan.ParseEdit(plan.PlansList, []byte("{\n\"base\": -1,\n\"author\": 3,\n\"sett\": {},\n"+
				"\"remove\": [\"b\",\n \"a\", 7],\n\"set\": {\"a\": \"\",\n\"\": \"gold\"}\n}"))
			So(problems(err), ShouldResemble, []string{
				"2 base: must not be negative, is -1",
				"3 author: must be a string, is number",
				"4 sett: unknown field",
				"7 set.a: must not be empty",
				"8 set.: name must have 1 to 256 bytes",
				"1 edit_id: field is missing",
				"6 remove.a: entry is both set and removed",
				"6 remove: must be a string, is number",
			})
		})
		for doc, want := range map[string]int{
			"{\n\"a\": \"b\",\n}": 3, "{\n\"a\": \"b\"": 2, "{\n\n\"a\": nope}": 3, "{}\n{}": 2, "": 1,
			strings.Repeat("[", 100): 1, "{\"a\":\n\n\"b\x01\"}": 3,
		} {
			Convey(fmt.Sprintf("a syntax error is reported with its line: %.20q", doc), func() {
				_, err := plan.ParseDocument(plan.PlansList, []byte(doc))
				var p plan.Problems
				So(errors.As(err, &p), ShouldBeTrue)
				So(len(p), ShouldEqual, 1)
				So(p[0].Line, ShouldEqual, want)
			})
		}
	})
}

func apply(ed *plan.Editor, list string, base int64, id, set string) error {
	_, err := ed.Apply(context.Background(), list, fmt.Appendf(nil,
		`{"base": %d, "author": "ana", "edit_id": %q, %s}`, base, id, set))
	return err
}

func TestEditor(t *testing.T) {
	ctx := context.Background()
	Convey("Given a customer with a plan", t, func() {
		mem := table.NewMemory()
		ed := plan.NewEditor(mem, versionedlist.EditorConfig{})
		So(apply(ed, plan.AllowancesList, 0, "1", `"set": {"gold": {"burst": 1}, "spare": {}}`), ShouldBeNil)
		So(apply(ed, plan.PlansList, 0, "1", `"set": {"aarwil": "gold"}`), ShouldBeNil)
		Convey("an edit that gives customers a plan without allowance is rejected with the line of each", func() {
			err := apply(ed, plan.PlansList, 1, "2", "\"set\": {\"x\": \"gold\",\n\"y\": \"none\",\n\"z\": \"none\"},\"remove\":\n[\"w\"]")
			So(problems(err), ShouldResemble, []string{
				`4 remove.w: no such entry`,
				`2 set.y: plan "none" has no allowance`, `3 set.z: plan "none" has no allowance`,
			})
		})
		Convey("an allowance that a customer uses cannot be removed, but another one can", func() {
			err := apply(ed, plan.AllowancesList, 1, "2", "\"remove\":\n[\"gold\"]")
			So(problems(err), ShouldResemble, []string{`2 remove.gold: customer "aarwil" still uses this allowance`})
			So(apply(ed, plan.AllowancesList, 1, "2", `"remove": ["spare"]`), ShouldBeNil)
		})
		Convey("Replace is idempotent and rejects conflicts and missing allowances", func() {
			doc := []byte(`{"gold": {"burst": 1}, "silver": {"tasks": 2}}`)
			for range 2 {
				c, err := ed.Replace(ctx, plan.AllowancesList, 1, "ana", "2", doc)
				So(err, ShouldBeNil)
				So(c.Version, ShouldEqual, 2)
				So(c.Remove, ShouldResemble, []string{"spare"})
				So(len(c.Set), ShouldEqual, 1)
			}
			_, err := ed.Replace(ctx, plan.AllowancesList, 1, "ben", "3", doc)
			So(errors.Is(err, versionedlist.ErrConflict), ShouldBeTrue)
			_, err = ed.Replace(ctx, plan.AllowancesList, 2, "ben", "3", []byte(`{}`))
			So(problems(err), ShouldResemble, []string{`0 gold: customer "aarwil" still uses this allowance`})
		})
		Convey("an edit of an unknown list is rejected", func() {
			So(errors.Is(apply(ed, "plan", 0, "1", `"remove": ["a"]`), plan.ErrNoList), ShouldBeTrue)
		})
	})
}

// TestConcurrentListEdits guards against concurrent edits of the two lists that leave a customer with a plan that has
// no allowance.
func TestConcurrentListEdits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		rate := rapid.Float64Range(0, 0.4).Draw(rt, "fault rate")
		var dangling []string
		synctest.Test(t, func(*testing.T) { dangling = raceEdits(seed, rate) })
		if len(dangling) > 0 {
			rt.Fatalf("customers without allowance: %q", dangling)
		}
	})
}

// raceEdits edits both lists from 4 goroutines through a table with injected faults, and returns the customers whose
// plan has no allowance afterwards.
func raceEdits(seed uint64, rate float64) (dangling []string) {
	ctx := context.Background()
	mem := table.NewMemory()
	faulty := tabletest.NewFaulty(mem, seed, rate)
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			ed := plan.NewEditor(faulty, versionedlist.EditorConfig{Rand: rng.Float64})
			for n := range 8 {
				list := []string{plan.PlansList, plan.AllowancesList}[i%2]
				name := fmt.Sprintf("p%d", rng.IntN(3))
				set := fmt.Sprintf(`"set": {"c%d": %q}`, rng.IntN(3), name)
				if list == plan.AllowancesList {
					set = []string{fmt.Sprintf(`"set": {%q: {"tasks": %d}}`, name, n), fmt.Sprintf(`"remove": [%q]`, name)}[n%2]
				}
				s, err := ed.Current(ctx, list)
				if err != nil {
					continue
				}
				editCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
				_, _ = ed.Apply(editCtx, list, fmt.Appendf(nil, `{"base": %d, "author": "a", "edit_id": "%d-%d", %s}`,
					s.Version(), i, n, set))
				cancel()
			}
		})
	}
	wg.Wait()
	faulty.Wait()
	final := plan.NewEditor(mem, versionedlist.EditorConfig{})
	plans, _ := final.Current(ctx, plan.PlansList)
	allowances, _ := final.Current(ctx, plan.AllowancesList)
	for customer, raw := range plans.All() {
		if _, ok := allowances.Get(strings.Trim(string(raw), `"`)); !ok {
			dangling = append(dangling, customer)
		}
	}
	return dangling
}

func TestLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Lookups return the edited lists, and ErrStale once the last confirmation is too old", t, func() {
			mem := table.NewMemory()
			ed := plan.NewEditor(mem, versionedlist.EditorConfig{})
			plans := versionedlist.NewFollower(mem, plan.PlansList, versionedlist.FollowerConfig{})
			allowances := versionedlist.NewFollower(mem, plan.AllowancesList, versionedlist.FollowerConfig{})
			lists := plan.NewLists(plans, allowances)
			_, err := lists.Allowance("aarwil")
			So(errors.Is(err, plan.ErrStale), ShouldBeTrue)
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { _ = plans.Run(ctx) })
			wg.Go(func() { _ = allowances.Run(ctx) })
			defer wg.Wait()
			defer cancel()
			So(apply(ed, plan.AllowancesList, 0, "1", `"set": {"gold": {"burst": 1}}`), ShouldBeNil)
			So(apply(ed, plan.PlansList, 0, "1", `"set": {"aarwil": "gold"}`), ShouldBeNil)
			time.Sleep(1500 * time.Millisecond)
			a, err := lists.Allowance("aarwil")
			So(err, ShouldBeNil)
			So(a, ShouldResemble, plan.Allowance{Burst: 1})
			_, err = lists.Allowance("nobody")
			So(errors.Is(err, plan.ErrUnknownCustomer), ShouldBeTrue)
			So(apply(ed, plan.AllowancesList, 1, "2", `"set": {"gold": {"burst": 2}}`), ShouldBeNil)
			time.Sleep(1500 * time.Millisecond)
			a, err = lists.Allowance("aarwil")
			So(err, ShouldBeNil)
			So(a.Burst, ShouldEqual, 2)
			mem.SetFaults(table.Faults{Down: true})
			time.Sleep(plan.MaxConfirmationAge)
			_, err = lists.Allowance("aarwil")
			So(errors.Is(err, plan.ErrStale), ShouldBeTrue)
		})
	})
}
