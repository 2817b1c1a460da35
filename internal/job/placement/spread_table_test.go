package placement

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestSpreadPolicyTable guards against services that lose more than their fair share of tasks when one failure domain
// or rack fails, and against a spread that packs the pool worse. It prints the results of the spread policy and of a
// plain best fit over the same arrivals.
func TestSpreadPolicyTable(t *testing.T) {
	out := &strings.Builder{}
	Convey("Services are spread and the pool is packed", t, func() {
		fmt.Fprintf(out, "\na fifth of the tasks belong to services; CPU in use at the first refusal, %%; services that lose more than their fair\n")
		fmt.Fprintf(out, "share of tasks when one failure domain or rack fails, %%; the largest such loss, in fair shares\n")
		fmt.Fprintf(out, "%8s %-6s %-9s %8s %6s %8s %6s %6s %5s\n", "workers", "pool", "policy", "services", "cpu", "domain", "worst", "rack", "worst")
		for _, c := range []spreadCase{{workers: 50}, {workers: 50, fewDomains: true}, {workers: 500}, {workers: 500, fullDomain: true}, {workers: 2500, fullDomain: true}, {workers: 25_000}} {
			pool := "even"
			if c.fullDomain {
				pool = "full"
			} else if c.fewDomains {
				pool = "small"
			}
			policy := simulateSpread(c, (*Index).Place)
			fmt.Fprintf(out, "%8d %-6s %-9s %s\n", c.workers, pool, "spread", policy)
			if c.workers > 5000 {
				continue // the baseline scans all workers for each placement, which takes too long
			}
			baseline := simulateSpread(c, scanBestFit)
			fmt.Fprintf(out, "%8d %-6s %-9s %s\n", c.workers, pool, "best fit", baseline)
			So(policy.cpu, ShouldBeGreaterThanOrEqualTo, baseline.cpu-0.02)
			So(policy.share(policy.domain), ShouldBeLessThan, baseline.share(baseline.domain)/4)
			So(policy.share(policy.rack), ShouldBeLessThan, baseline.share(baseline.rack)/4)
		}
	})
	t.Log(out.String())
}

// scanBestFit is the baseline, a plain best fit: of all workers on which the task fits, it returns the one whose larger
// free share of CPU or memory is smallest after the placement.
func scanBestFit(x *Index, r Request) *Node {
	var found *Node
	lowest := 0.0
	for _, d := range x.domains {
		for _, k := range d.racks {
			for i := range k.nodes {
				if c := &k.nodes[i]; r.Size.FitsIn(c.free) {
					s := max(float64(c.free.CPUMilli-r.Size.CPUMilli)/c.divisor.cpu, float64(c.free.MemoryMB-r.Size.MemoryMB)/c.divisor.memory)
					if found == nil || s < lowest {
						found, lowest = c.node, s
					}
				}
			}
		}
	}
	return found
}

// spreadCase describes the pool of one simulation.
type spreadCase struct {
	workers    int
	fullDomain bool // one failure domain has few workers with free capacity
	fewDomains bool // 4 failure domains with racks of 6 workers, instead of 13 with racks of 8
}

// loss describes how many tasks services lose when one failure domain or one rack fails.
type loss struct {
	overFairShare int     // number of services that lose more than their fair share
	worst         float64 // largest loss of a service, in fair shares
}

// add adds the loss of one service with the given counts of tasks per place. fair returns the fair share of a place.
func (l *loss) add(counts map[string]int, fair func(place string) int) {
	worst := 0.0
	for place, n := range counts {
		worst = max(worst, float64(n)/float64(fair(place)))
	}
	if worst > 1 {
		l.overFairShare++
	}
	l.worst = max(l.worst, worst)
}

// spreadResult is the result of one simulation.
type spreadResult struct {
	services     int
	cpu          float64 // share of the CPU in use when the first task is refused
	domain, rack loss
}

func (r spreadResult) share(l loss) float64 {
	return 100 * float64(l.overFairShare) / float64(r.services)
}

func (r spreadResult) String() string {
	return fmt.Sprintf("%8d %6.1f %8.1f %6.1f %6.1f %5.1f", r.services, 100*r.cpu, r.share(r.domain), r.domain.worst, r.share(r.rack), r.rack.worst)
}

// workload is a batch task or a service.
type workload struct {
	running []benchTask
	spread  *Spread
}

func (u *workload) release(x *Index) {
	for _, task := range u.running {
		x.SetUsed(task.node, task.node.Used().Sub(task.size))
	}
}

// simulateSpread fills a pool until a task is refused. Then, several times, a tenth of the running workloads ends and
// new ones arrive until one is refused. The fair share of a failure domain is the service's tasks divided by the number
// of failure domains. That of a rack is computed likewise, or from the rack's part of all workers if that gives more,
// since some racks may be small.
func simulateSpread(c spreadCase, place func(*Index, Request) *Node) (res spreadResult) {
	seeds := max(1, 1000/c.workers)
	for seed := range seeds {
		x, arrivals, ends := NewIndex(), rand.New(rand.NewSource(int64(seed+1))), rand.New(rand.NewSource(int64(-seed-1)))
		domains, perRack := 13, 8
		if c.fewDomains {
			domains, perRack = 4, 6
		}
		capacity := Resources{CPUMilli: 32_000, MemoryMB: 128_000}
		for i := range c.workers {
			n := x.AddNode(fmt.Sprint(i), fmt.Sprint(i%domains), fmt.Sprint(i/domains/perRack), capacity)
			x.SetSchedulable(n, true)
			if c.fullDomain && i%domains == 0 && i/domains > 1 {
				x.SetUsed(n, capacity)
			}
		}
		var workloads []*workload
		for round := range 10 {
			for {
				u := placeNextArrival(x, arrivals, c.workers, place)
				if u == nil {
					break
				}
				workloads = append(workloads, u)
			}
			if round == 0 {
				total, used := x.Totals()
				res.cpu += share(used.CPUMilli, total.CPUMilli) / float64(seeds)
			}
			if round < 9 {
				ends.Shuffle(len(workloads), func(i, j int) { workloads[i], workloads[j] = workloads[j], workloads[i] })
				for _, u := range workloads[:len(workloads)/10] {
					u.release(x)
				}
				workloads = slices.Delete(workloads, 0, len(workloads)/10)
			}
		}
		for _, u := range workloads {
			if u.spread != nil {
				res.services++
				n := len(u.running)
				res.domain.add(u.spread.Domains, func(string) int { return (n + domains - 1) / domains })
				res.rack.add(u.spread.Racks, func(rack string) int {
					all := len(x.byRack)
					return max((n+all-1)/all, (n*len(x.byRack[rack].nodes)+c.workers-1)/c.workers)
				})
			}
		}
	}
	return res
}

// placeNextArrival draws the next workload and places all its tasks. If one of them does not fit, it places none and
// returns nil.
func placeNextArrival(x *Index, rng *rand.Rand, workers int, place func(*Index, Request) *Node) *workload {
	u, tasks := &workload{}, 1
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
			u.release(x)
			return nil
		}
		x.SetUsed(n, n.Used().Add(size))
		u.running = append(u.running, benchTask{n, size})
		if u.spread != nil {
			u.spread.Count(n, 1)
		}
	}
	return u
}
