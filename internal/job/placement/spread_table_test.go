package placement

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestSpreadPolicyTable guards against services that lose more than their fair share of tasks with one failure domain or
// rack, and against a spread that costs room. It prints the policy beside a plain best fit over the same arrivals.
func TestSpreadPolicyTable(t *testing.T) {
	out := &strings.Builder{}
	Convey("Services are spread and the pool is packed", t, func() {
		fmt.Fprintf(out, "\na fifth of the tasks belong to services; in use at the first refusal, %% of cpu; services that lose more than their fair\n")
		fmt.Fprintf(out, "share of tasks with one failure domain or rack, %%; the most tasks lost with it, in fair shares\n")
		fmt.Fprintf(out, "%8s %-6s %-9s %8s %6s %8s %6s %6s %5s\n", "workers", "pool", "policy", "services", "cpu", "domain", "most", "rack", "most")
		for _, c := range []spreadCase{{workers: 50}, {workers: 50, today: true}, {workers: 500}, {workers: 500, tight: true}, {workers: 2500, tight: true}, {workers: 25_000}} {
			pool := "even"
			if c.tight {
				pool = "tight"
			} else if c.today {
				pool = "today"
			}
			ours := runSpread(c, (*Index).Place)
			fmt.Fprintf(out, "%8d %-6s %-9s %s\n", c.workers, pool, "spread", ours)
			if c.workers > 5000 {
				continue // the baseline reads all workers for each decision
			}
			base := runSpread(c, scanBestFit)
			fmt.Fprintf(out, "%8d %-6s %-9s %s\n", c.workers, pool, "best fit", base)
			So(ours.cpu, ShouldBeGreaterThanOrEqualTo, base.cpu-0.02)
			So(ours.share(ours.domain), ShouldBeLessThan, base.share(base.domain)/4)
			So(ours.share(ours.rack), ShouldBeLessThan, base.share(base.rack)/4)
		}
	})
	t.Log(out.String())
}

// scanBestFit is the baseline: of all workers with room, the one with the smallest share of its dominant resource left.
func scanBestFit(x *Index, r Request) *Node {
	var found *Node
	left := 0.0
	for _, d := range x.domains {
		for _, k := range d.racks {
			for i := range k.seats {
				if c := &k.seats[i]; r.Size.Fits(c.free) {
					s := max(float64(c.free.CPUMilli-r.Size.CPUMilli)/c.whole.cpu, float64(c.free.MemoryMB-r.Size.MemoryMB)/c.whole.memory)
					if found == nil || s < left {
						found, left = c.node, s
					}
				}
			}
		}
	}
	return found
}

type spreadCase struct {
	workers int
	tight   bool // one failure domain has room on few workers
	today   bool // 4 failure domains and racks of 6 instead of 13 and 8
}

// loss is what services lose with one failure domain or one rack.
type loss struct {
	over int     // services that lose more than their fair share
	most float64 // in fair shares
}

func (l *loss) add(counts map[string]int, fair func(place string) int) {
	most := 0.0
	for place, n := range counts {
		most = max(most, float64(n)/float64(fair(place)))
	}
	if most > 1 {
		l.over++
	}
	l.most = max(l.most, most)
}

type spreadResult struct {
	services     int
	cpu          float64 // in use at the first refusal
	domain, rack loss
}

func (r spreadResult) share(l loss) float64 { return 100 * float64(l.over) / float64(r.services) }

func (r spreadResult) String() string {
	return fmt.Sprintf("%8d %6.1f %8.1f %6.1f %6.1f %5.1f", r.services, 100*r.cpu, r.share(r.domain), r.domain.most, r.share(r.rack), r.rack.most)
}

// spreadUnit is a batch task or a service.
type spreadUnit struct {
	uses   []benchUse
	spread *Spread
}

func (u *spreadUnit) end(x *Index) {
	for _, use := range u.uses {
		x.SetUsed(use.node, use.node.Used().Minus(use.size))
	}
}

// runSpread counts tasks over failure domains as a fair share; of racks, which may be small, also the tasks by the workers
// of a rack. It fills a pool to the first refusal. Then a tenth of what runs ends and others arrive, several times.
func runSpread(c spreadCase, place func(*Index, Request) *Node) (res spreadResult) {
	seeds := max(1, 1000/c.workers)
	for seed := range seeds {
		x, arrivals, ends := NewIndex(), rand.New(rand.NewSource(int64(seed+1))), rand.New(rand.NewSource(int64(-seed-1)))
		domains, perRack := 13, 8
		if c.today {
			domains, perRack = 4, 6
		}
		whole := Resources{CPUMilli: 32_000, MemoryMB: 128_000}
		for i := range c.workers {
			n := x.Add(fmt.Sprint(i), fmt.Sprint(i%domains), fmt.Sprint(i/domains/perRack), whole)
			x.SetOpen(n, true)
			if c.tight && i%domains == 0 && i/domains > 1 {
				x.SetUsed(n, whole)
			}
		}
		var units []*spreadUnit
		for round := range 10 {
			for {
				u := arriveSpread(x, arrivals, c.workers, place)
				if u == nil {
					break
				}
				units = append(units, u)
			}
			if round == 0 {
				total, used := x.Totals()
				res.cpu += share(used.CPUMilli, total.CPUMilli) / float64(seeds)
			}
			if round < 9 {
				ends.Shuffle(len(units), func(i, j int) { units[i], units[j] = units[j], units[i] })
				for _, u := range units[:len(units)/10] {
					u.end(x)
				}
				units = slices.Delete(units, 0, len(units)/10)
			}
		}
		for _, u := range units {
			if u.spread != nil {
				res.services++
				n := len(u.uses)
				res.domain.add(u.spread.Domains, func(string) int { return (n + domains - 1) / domains })
				res.rack.add(u.spread.Racks, func(rack string) int {
					all := len(x.byRack)
					return max((n+all-1)/all, (n*len(x.byRack[rack].seats)+c.workers-1)/c.workers)
				})
			}
		}
	}
	return res
}

// arriveSpread places the next arrival as a whole, or returns nil.
func arriveSpread(x *Index, rng *rand.Rand, workers int, place func(*Index, Request) *Node) *spreadUnit {
	u, tasks := &spreadUnit{}, 1
	cores := []int64{250, 500, 1000, 1000, 2000, 4000, 6000, 8000}[rng.Intn(8)]
	size := Resources{CPUMilli: cores, MemoryMB: cores * (1 + rng.Int63n(7))}
	if rng.Intn(1000) < 14 { // with 17 tasks on average, a fifth of all tasks
		u.spread = NewSpread()
		switch n := rng.Intn(20); {
		case n == 0 && workers >= 500:
			tasks = 200
		case n <= 5:
			tasks = 20
		default:
			tasks = 3
		}
	}
	for range tasks {
		n := place(x, Request{Size: size, Spread: u.spread})
		if n == nil {
			u.end(x)
			return nil
		}
		x.SetUsed(n, n.Used().Plus(size))
		u.uses = append(u.uses, benchUse{n, size})
		if u.spread != nil {
			u.spread.Count(n, 1)
		}
	}
	return u
}
