package placement

import (
	"fmt"
	"math/rand"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestIndexFindsAnyFit guards against an index that finds no worker although the task fits on one, or that returns a
// worker on which the task does not fit.
func TestIndexFindsAnyFit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := NewIndex()
		var nodes []*Node
		for i := range rapid.IntRange(1, 40).Draw(rt, "workers") {
			size := Resources{CPUMilli: int64(1+i%4) * 8000, MemoryMB: int64(1+i%3) * 20_000, Accelerators: int64(i % 3)}
			n := x.AddNode(fmt.Sprint(i), fmt.Sprint(i%3), fmt.Sprint(i/4), size)
			x.SetSchedulable(n, true)
			nodes = append(nodes, n)
		}
		amount := rapid.Custom(func(t *rapid.T) Resources {
			return Resources{
				CPUMilli: rapid.Int64Range(1, 40_000).Draw(t, "cpu"), MemoryMB: rapid.Int64Range(1, 70_000).Draw(t, "memory"),
				Accelerators: rapid.Int64Range(0, 2).Draw(t, "accelerators"),
			}
		})
		for step := range 60 {
			n := nodes[rapid.IntRange(0, len(nodes)-1).Draw(rt, "node")]
			switch step % 3 {
			case 0:
				x.SetUsed(n, amount.Draw(rt, "used"))
			case 1:
				x.SetSchedulable(n, rapid.Bool().Draw(rt, "schedulable"))
			}
			r := Request{Size: amount.Draw(rt, "size")}
			if step%2 == 0 {
				r.Spread = NewSpread()
			}
			fits := false
			for _, o := range nodes {
				fits = fits || o.schedulable && r.Size.FitsIn(o.Free())
			}
			got := x.Place(r)
			if got == nil && fits || got != nil && (!got.schedulable || !r.Size.FitsIn(got.Free())) {
				rt.Fatalf("size %v: fits %v, placed on %+v", r.Size, fits, got)
			}
		}
	})
}

// TestSpreadFollowsChanges guards against the placement of a service that reads an outdated rackNode, or that of
// another worker, after workers were removed, moved or changed.
func TestSpreadFollowsChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := NewIndex()
		size := func(label string) Resources {
			return Resources{CPUMilli: rapid.Int64Range(1, 9).Draw(rt, label+" cpu"), MemoryMB: rapid.Int64Range(1, 9).Draw(rt, label+" memory")}
		}
		for i := range 60 {
			id := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(rt, "worker")
			n := x.nodes[id]
			switch change := rapid.IntRange(0, 5).Draw(rt, "change"); {
			case n == nil:
				x.SetSchedulable(x.AddNode(id, "domain", "rack", size("capacity")), true)
			case change == 0:
				x.RemoveNode(n)
			case change == 1:
				x.SetCapacity(n, size("capacity"))
			case change == 2:
				x.SetPenalty(n, float64(i))
			case change == 3:
				x.SetSchedulable(n, !n.Schedulable())
			case change == 4:
				x.SetUsed(n, size("used"))
			case change == 5:
				x.MoveNode(n, "domain", "rack")
			}
			r := Request{Size: size("task"), Spread: NewSpread()}
			got := x.Place(r)
			for _, o := range x.nodes {
				if !o.schedulable || !r.Size.FitsIn(o.capacity.Sub(o.used)) {
					if got == o {
						rt.Fatalf("placed on worker %s, on which %v does not fit", o.ID, r.Size)
					}
				} else if got == nil || o.fitData.fitScore(r.Size) < got.fitData.fitScore(r.Size) {
					rt.Fatalf("worker %s fits %v better than the placement on %v", o.ID, r.Size, got)
				}
			}
		}
	})
}

// TestPolicies guards against gangs that keep resources while they are only partly placed, services whose tasks share a
// failure domain although another one is free, and tasks that use the reserve that they must keep.
func TestPolicies(t *testing.T) {
	Convey("Given eight equal workers in two failure domains and four racks", t, func() {
		x := NewIndex()
		for i := range 8 {
			n := x.AddNode(fmt.Sprint(i), fmt.Sprint(i%2), fmt.Sprint(i/4), Resources{CPUMilli: 1000, MemoryMB: 1000})
			x.SetSchedulable(n, true)
		}
		size := Resources{CPUMilli: 600, MemoryMB: 100}
		Convey("a gang is placed as a whole or not at all, and PlaceGang leaves the index unchanged", func() {
			So(x.PlaceGang(Request{Size: size}, 9, nil), ShouldBeNil)
			So(len(x.PlaceGang(Request{Size: size}, 8, nil)), ShouldEqual, 8)
			_, used := x.Totals()
			So(used, ShouldResemble, Resources{})
		})
		Convey("the tasks of a service are spread over all failure domains and racks", func() {
			s := NewSpread()
			for range 4 {
				n := x.Place(Request{Size: Resources{CPUMilli: 10, MemoryMB: 10}, Spread: s})
				s.Count(n, 1)
			}
			So(s.Domains, ShouldResemble, map[string]int{"0": 2, "1": 2})
			So(len(s.Racks), ShouldEqual, 4)
		})
		Convey("tasks with KeepReserve leave a tenth of the pool free", func() {
			placed := 0
			for {
				n := x.Place(Request{Size: Resources{CPUMilli: 100, MemoryMB: 1}, KeepReserve: true})
				if n == nil {
					break
				}
				x.SetUsed(n, n.Used().Add(Resources{CPUMilli: 100, MemoryMB: 1}))
				placed++
			}
			So(placed, ShouldEqual, 72)
		})
		Convey("no other job is placed on reserved workers", func() {
			nodes := x.Reserve(Request{JobID: "a", Size: size}, 8)
			So(len(nodes), ShouldEqual, 8)
			So(x.Place(Request{Size: size}), ShouldBeNil)
			So(len(x.PlaceGang(Request{JobID: "a", Size: size}, 8, nodes)), ShouldEqual, 8)
			x.Release(nodes)
			So(x.Place(Request{Size: size}), ShouldNotBeNil)
		})
	})
}

// TestSpreadAroundFullWorkers guards against too many tasks of a service in a rack that is the only one of its failure
// domain with free capacity.
func TestSpreadAroundFullWorkers(t *testing.T) {
	Convey("Given a failure domain with free capacity in one of its four racks, and two with free capacity in all", t, func() {
		x, s := NewIndex(), NewSpread()
		for i := range 12 {
			if n := x.AddNode(fmt.Sprint(i), fmt.Sprint(i%3), fmt.Sprint(i/3), Resources{CPUMilli: 1000, MemoryMB: 1000}); i%3 > 0 || i == 0 {
				x.SetSchedulable(n, true)
			}
		}
		Convey("a service of 12 tasks has at most 2 in each rack", func() {
			for range 12 {
				n := x.Place(Request{Size: Resources{CPUMilli: 10, MemoryMB: 10}, Spread: s})
				s.Count(n, 1)
			}
			So(s.Domains, ShouldResemble, map[string]int{"0": 2, "1": 5, "2": 5})
			So(s.Racks, ShouldContainKey, "0/0")
			for _, tasks := range s.Racks {
				So(tasks, ShouldBeLessThanOrEqualTo, 2)
			}
		})
	})
}

// TestSpreadBeyondExaminedRacks guards against a service whose tasks all run on one worker because the racks that are
// examined first are full.
func TestSpreadBeyondExaminedRacks(t *testing.T) {
	Convey("In a failure domain with free capacity in the last 8 of its 24 racks, 8 tasks run in 8 racks", t, func() {
		x, s := NewIndex(), NewSpread()
		for i := range 24 {
			n := x.AddNode(fmt.Sprint(i), "domain", fmt.Sprint(i), Resources{CPUMilli: 1000, MemoryMB: 1000})
			x.SetSchedulable(n, i >= 16)
		}
		for range 8 {
			s.Count(x.Place(Request{Size: Resources{CPUMilli: 10, MemoryMB: 10}, Spread: s}), 1)
		}
		So(len(s.Racks), ShouldEqual, 8)
	})
}

// TestRemovedRacks guards against racks and failure domains that still take part in placement after their last worker
// was removed.
func TestRemovedRacks(t *testing.T) {
	Convey("Given two failure domains of two racks, after 16 racks of one and 40 failure domains were removed", t, func() {
		x, s := NewIndex(), NewSpread()
		add := func(domain, rack int) *Node {
			n := x.AddNode(fmt.Sprint(domain, rack), fmt.Sprint(domain), fmt.Sprint(rack), Resources{CPUMilli: 1000, MemoryMB: 1000})
			x.SetSchedulable(n, true)
			return n
		}
		var removed []*Node
		for i := range 4 {
			add(i%2, i/2)
		}
		for i := range 40 {
			removed = append(removed, add(2+i, 0))
			if i < 16 {
				removed = append(removed, add(0, 2+i))
			}
		}
		for _, n := range removed {
			x.RemoveNode(n)
		}
		Convey("a service of 16 tasks has half of them in each, and Place does not allocate memory", func() {
			r := Request{Size: Resources{CPUMilli: 10, MemoryMB: 10}, Spread: s}
			for range 16 {
				s.Count(x.Place(r), 1)
			}
			So(s.Domains, ShouldResemble, map[string]int{"0": 8, "1": 8})
			So(testing.AllocsPerRun(100, func() { x.Place(r) }), ShouldEqual, 0)
		})
	})
}

// randomPool returns a pool of n workers with about two thirds of its capacity in use.
func randomPool(n int) (*Index, *rand.Rand) {
	rng := rand.New(rand.NewSource(1))
	x := NewIndex()
	for i := range n {
		size := Resources{CPUMilli: 32_000, MemoryMB: 128_000, Accelerators: int64(i%7/6) * 8}
		node := x.AddNode(fmt.Sprint(i), fmt.Sprint(i%13), fmt.Sprint(i/13/8), size)
		x.SetSchedulable(node, true)
		x.SetUsed(node, Resources{CPUMilli: rng.Int63n(32_000), MemoryMB: 30_000 + rng.Int63n(90_000)})
	}
	return x, rng
}

// BenchmarkPlace measures one placement, its update of the index and of the spread counts, and the removal of an
// earlier task. Services are placed one task at a time until they have all their tasks. In the mixed load, four batch
// tasks are placed for each task of a service. In the full pool one worker in ten has free capacity.
func BenchmarkPlace(b *testing.B) {
	for _, kind := range []string{"batch", "service=3", "service=20", "service=200", "full=20", "mixed"} {
		for _, n := range []int{50, 500, 5_000, 25_000} {
			b.Run(fmt.Sprintf("%s/workers=%d", kind, n), func(b *testing.B) { benchPlace(b, n, kind) })
		}
	}
}

// benchTask is a placed task.
type benchTask struct {
	node *Node
	size Resources
}

// benchService is a service. It keeps its Spread and its list of tasks when it ends, so that the next run of the
// service does not allocate them again.
type benchService struct {
	spread  *Spread
	running []benchTask
	tasks   int // number of tasks after which the service is complete
}

func (s *benchService) release(x *Index) {
	for _, u := range s.running {
		x.SetUsed(u.node, u.node.Used().Sub(u.size))
		s.spread.Count(u.node, -1)
	}
	s.running = s.running[:0]
}

func benchPlace(b *testing.B, n int, kind string) {
	x, rng := randomPool(n)
	if kind == "full=20" {
		for i := range n {
			if node := x.nodes[fmt.Sprint(i)]; i%10 > 0 {
				x.SetUsed(node, Resources{CPUMilli: 31_900, MemoryMB: node.Used().MemoryMB})
			}
		}
	}
	sizes := map[string][]int{"service=3": {3}, "service=20": {20}, "service=200": {200}, "full=20": {20}, "mixed": {3, 20, 200}}[kind]
	mixed := len(sizes) > 1
	var services []*benchService
	for i := range 2 * len(sizes) {
		services = append(services, &benchService{spread: NewSpread(), tasks: sizes[i%len(sizes)]})
	}
	var recentBatch [64]benchTask
	serviceIndex, batchCount, refused := 0, 0, 0
	b.ReportAllocs()
	for b.Loop() {
		if len(services) > 0 && (!mixed || rng.Intn(5) == 0) {
			s := services[serviceIndex%len(services)]
			size := Resources{CPUMilli: 250 + rng.Int63n(1000), MemoryMB: 500 + rng.Int63n(2000)}
			node := x.Place(Request{Size: size, Spread: s.spread})
			if node == nil {
				refused++
			} else {
				x.SetUsed(node, node.Used().Add(size))
				s.spread.Count(node, 1)
				s.running = append(s.running, benchTask{node, size})
			}
			if node == nil || len(s.running) == s.tasks {
				serviceIndex++
				services[serviceIndex%len(services)].release(x)
			}
			continue
		}
		size := Resources{CPUMilli: 250 + rng.Int63n(8000), MemoryMB: 500 + rng.Int63n(16_000)}
		node := x.Place(Request{Size: size})
		if node == nil {
			refused++
			continue
		}
		x.SetUsed(node, node.Used().Add(size))
		old := &recentBatch[batchCount%len(recentBatch)]
		if old.node != nil {
			x.SetUsed(old.node, old.node.Used().Sub(old.size))
		}
		*old = benchTask{node, size}
		batchCount++
	}
	b.ReportMetric(float64(refused)/float64(b.N), "refused/op")
}

// BenchmarkRefuse measures a placement that finds no worker, in a pool where most workers have slightly too little free
// capacity.
func BenchmarkRefuse(b *testing.B) {
	for _, kind := range []string{"batch", "service"} {
		for _, n := range []int{50, 500, 5_000, 25_000} {
			b.Run(fmt.Sprintf("%s/workers=%d", kind, n), func(b *testing.B) {
				x, _ := randomPool(n)
				for i := range n {
					x.SetUsed(x.nodes[fmt.Sprint(i)], Resources{CPUMilli: 24_500 + int64(i%7), MemoryMB: 64_000 + int64(i%17)})
				}
				r := Request{Size: Resources{CPUMilli: 7900, MemoryMB: 16_000}}
				if kind == "service" {
					r.Spread = NewSpread()
				}
				b.ReportAllocs()
				for b.Loop() {
					if x.Place(r) != nil {
						b.Fatal("placed")
					}
				}
			})
		}
	}
}
