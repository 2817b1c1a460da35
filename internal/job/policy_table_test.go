package job

import (
	"container/heap"
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/job/placement"
	"github.com/greengagewing/greengagewing/internal/job/worker"
)

// TestPolicyTable guards against a policy whose bin packing is worse than first fit, that lets short tasks wait behind long
// ones, or that trusts declared sizes over reported usage. It prints each result beside a first-come-first-served, first-fit
// baseline.
func TestPolicyTable(t *testing.T) {
	out := &strings.Builder{}
	Convey("The placement policy packs at least as well as first fit", t, func() {
		fmt.Fprintf(out, "\nin use at the first refusal, %% of cpu / memory\n%8s %5s %15s %15s %15s\n", "workers", "seed", "bound", "greengagewing", "first fit")
		for _, workers := range []int{50, 25_000} {
			for seed := int64(1); seed <= 3 && (seed == 1 || workers < 1000); seed++ {
				bound, ours, base := packing(workers, seed)
				fmt.Fprintf(out, "%8d %5d %15s %15s %15s\n", workers, seed, bound, ours, base)
				So(max(ours.cpu, ours.memory), ShouldBeGreaterThanOrEqualTo, max(base.cpu, base.memory)-0.02)
			}
		}
	})
	Convey("Short tasks do not wait behind long ones", t, func() {
		fmt.Fprintf(out, "\nwait of batch tasks, 50 workers, s\n%5s %-26s %10s %10s %10s %10s\n", "seed", "policy", "short mean", "short p99", "long mean", "long p99")
		for seed := int64(1); seed <= 3; seed++ {
			arrivals := waitArrivals(seed)
			ours, base := waitsOf(arrivals, newScheduled(50)), waitsOf(arrivals, newFCFS())
			fmt.Fprintf(out, "%5d %-26s %s\n%5d %-26s %s\n", seed, "greengagewing", ours, seed, "first come, first fit", base)
			So(ours.mean(false)*10, ShouldBeLessThan, base.mean(false))
		}
	})
	Convey("Once usage is reported, no worker's memory stays overcommitted and each assignment has at least the size that its task uses", t, func() {
		fmt.Fprintf(out, "\ndeclared sizes off by up to 10 times, 50 workers, %% of cpu / memory\n%5s %-33s %15s %15s\n", "seed", "policy", "in use", "workers over")
		for seed := int64(1); seed <= 3; seed++ {
			row := func(policy string, actual []Resources, where map[int]int) (over shares) {
				inUse, over := actualUse(actual, where)
				fmt.Fprintf(out, "%5d %-33s %15s %15s\n", seed, policy, inUse, over)
				return over
			}
			base := newFCFS()
			row("first fit, trusts declared sizes", fillWrongSized(seed, base, func(int, []Resources) time.Duration { return 0 }), base.where)
			for _, reports := range []bool{false, true} {
				s, now := newScheduled(50), time.Duration(0)
				actual := fillWrongSized(seed, s, func(i int, actual []Resources) time.Duration {
					if reports && i%10 == 9 {
						now += s.report(actual, now)
					}
					return now
				})
				row(fmt.Sprintf("greengagewing, reports: %t", reports), actual, s.where())
				// overuseStepInterval and a report take 6 s. Two steps may be needed against each of up to 25 tasks of a worker.
				for end := now + 5*time.Minute; now < end; now += s.report(actual, now) {
					s.place(now)
				}
				So(row("  5 min of reports later", actual, s.where()), ShouldResemble, shares{})
				for i, t := range s.tasks {
					So(t.current == nil || actual[i].FitsIn(t.current.size), ShouldBeTrue)
				}
			}
		}
	})
	t.Log(out.String())
}

// shares are fractions of the capacity.
type shares struct{ cpu, memory float64 }

func (s shares) String() string { return fmt.Sprintf("%.1f / %.1f", 100*s.cpu, 100*s.memory) }

func sharesOf(used, capacity Resources) shares {
	return shares{float64(used.CPUMilli) / float64(capacity.CPUMilli), float64(used.MemoryMB) / float64(capacity.MemoryMB)}
}

var tableWorker = Resources{CPUMilli: 32_000, MemoryMB: 128_000}

// arrival is one job that arrives in the packing comparison.
type arrival struct {
	kind  Kind
	tasks int
	size  Resources
}

func randomUnit(rng *rand.Rand) arrival {
	cores := []int64{250, 500, 1000, 1000, 2000, 4000, 6000, 8000}[rng.Intn(8)]
	u := arrival{kind: Batch, tasks: 1, size: Resources{CPUMilli: cores, MemoryMB: cores * (1 + rng.Int63n(7))}}
	switch rng.Intn(10) {
	case 0:
		u.kind, u.tasks = Gang, 2+rng.Intn(15)
	case 1, 2:
		u.kind, u.tasks = Service, 1+rng.Intn(6)
	}
	return u
}

// packing returns the shares of the pool in use when the first job does not fit: with our policy, with first fit, and as an
// upper bound for a packer without fragmentation, where a job does not fit only if the sum of all sizes exceeds the pool.
func packing(workers int, seed int64) (bound, ours, base shares) {
	total := tableWorker.Mul(workers)
	rng := rand.New(rand.NewSource(seed))
	var sum Resources
	for u := randomUnit(rng); sum.Add(u.size.Mul(u.tasks)).FitsIn(total); u = randomUnit(rng) {
		sum = sum.Add(u.size.Mul(u.tasks))
	}
	return sharesOf(sum, total), packIndex(workers, seed, total), packFirstFit(workers, seed, total)
}

func packIndex(workers int, seed int64, total Resources) shares {
	rng := rand.New(rand.NewSource(seed))
	x := placement.NewIndex()
	for i := range workers {
		x.SetSchedulable(x.AddNode(fmt.Sprint(i), fmt.Sprint(i%4), fmt.Sprint(i/4/6), tableWorker), true)
	}
	for {
		u := randomUnit(rng)
		r := placement.Request{Size: u.size}
		nodes := []*placement.Node(nil)
		if u.kind == Gang {
			nodes = x.PlaceGang(r, u.tasks, nil)
		}
		if u.kind == Service {
			r.Spread = placement.NewSpread()
		}
		for i := 0; u.kind != Gang && i < u.tasks; i++ {
			n := x.Place(r)
			if n == nil {
				break
			}
			x.SetUsed(n, n.Used().Add(u.size))
			if r.Spread != nil {
				r.Spread.Count(n, 1)
			}
			nodes = append(nodes, n)
		}
		if len(nodes) < u.tasks {
			_, used := x.Totals()
			return sharesOf(used, total)
		}
		for i := 0; u.kind == Gang && i < u.tasks; i++ {
			x.SetUsed(nodes[i], nodes[i].Used().Add(u.size))
		}
	}
}

// firstFit is the baseline: it chooses the first worker with enough free resources.
type firstFit struct {
	free      []Resources
	firstFree int // index of the first worker on which the smallest task may fit
}

var smallest = Resources{CPUMilli: 250, MemoryMB: 250}

func newFirstFit(workers int) *firstFit {
	return &firstFit{free: slices.Repeat([]Resources{tableWorker}, workers)}
}

func (f *firstFit) place(size Resources) int {
	for f.firstFree < len(f.free) && !smallest.FitsIn(f.free[f.firstFree]) {
		f.firstFree++
	}
	for i := f.firstFree; i < len(f.free); i++ {
		if size.FitsIn(f.free[i]) {
			f.free[i] = f.free[i].Sub(size)
			return i
		}
	}
	return -1
}

func packFirstFit(workers int, seed int64, total Resources) shares {
	rng := rand.New(rand.NewSource(seed))
	f := newFirstFit(workers)
	var used Resources
	for {
		u := randomUnit(rng)
		before := used
		for range u.tasks {
			if f.place(u.size) < 0 {
				if u.kind == Gang {
					used = before
				}
				return sharesOf(used, total)
			}
			used = used.Add(u.size)
		}
	}
}

// fillWrongSized adds tasks with wrong declared sizes until one does not fit, and returns their actual sizes. added is called
// after each task and returns the arrival time of the next one.
func fillWrongSized(seed int64, s scheduler, added func(i int, actual []Resources) time.Duration) (actual []Resources) {
	rng := rand.New(rand.NewSource(seed))
	off := func(n, most int64) int64 { return min(int64(float64(n)*math.Pow(10, 2*rng.Float64()-1)), most) }
	for i, now := 0, time.Duration(0); ; i++ {
		size := randomUnit(rng).size
		actual = append(actual, Resources{CPUMilli: off(size.CPUMilli, tableWorker.CPUMilli), MemoryMB: off(size.MemoryMB, tableWorker.MemoryMB)})
		s.arrive(i, waitArrival{run: time.Minute, size: size}, now)
		if !slices.Contains(s.place(now), i) {
			return actual
		}
		now = added(i, actual)
	}
}

// actualUse returns the shares of the workers' resources that the tasks actually use, and the shares of workers whose tasks ask
// for more than the capacity.
func actualUse(actual []Resources, where map[int]int) (inUse, over shares) {
	workers := make([]Resources, 50)
	for i, w := range where {
		workers[w] = workers[w].Add(actual[i])
	}
	for _, u := range workers {
		part := sharesOf(u, tableWorker)
		inUse.cpu, inUse.memory = inUse.cpu+min(part.cpu, 1)/50, inUse.memory+min(part.memory, 1)/50
		over.cpu += float64(min(u.CPUMilli/(tableWorker.CPUMilli+1), 1)) / 50
		over.memory += float64(min(u.MemoryMB/(tableWorker.MemoryMB+1), 1)) / 50
	}
	return inUse, over
}

// waitArrival is one batch task that arrives in the waiting-time comparison.
type waitArrival struct {
	at   time.Duration
	run  time.Duration
	long bool
	size Resources
}

// waitArrivals returns a burst of long tasks that need one and a half times the pool, and short tasks during half an hour.
func waitArrivals(seed int64) []waitArrival {
	rng := rand.New(rand.NewSource(seed))
	var out []waitArrival
	for range 600 {
		out = append(out, waitArrival{
			at: time.Duration(rng.Intn(60_000)) * time.Millisecond, run: time.Duration(1800+rng.Intn(3600)) * time.Second, long: true,
			size: Resources{CPUMilli: 4000, MemoryMB: 8000},
		})
	}
	for range 12 * 1800 {
		out = append(out, waitArrival{
			at: time.Duration(rng.Intn(1_800_000)) * time.Millisecond, run: time.Duration(1+rng.Intn(19)) * time.Second,
			size: Resources{CPUMilli: 1000, MemoryMB: 2000},
		})
	}
	slices.SortStableFunc(out, func(a, b waitArrival) int { return int(a.at - b.at) })
	return out
}

// scheduler is a policy in the waiting-time comparison. Tasks are identified by their index in the list of arrivals.
type scheduler interface {
	arrive(i int, a waitArrival, now time.Duration)
	place(now time.Duration) (started []int)
	finish(i int, now time.Duration)
}

// waits are the waiting times of the short and the long tasks, in seconds.
type waits struct{ short, long []float64 }

func (w *waits) mean(long bool) float64 {
	list, sum := w.short, 0.0
	if long {
		list = w.long
	}
	for _, x := range list {
		sum += x
	}
	return sum / float64(len(list))
}

func (w *waits) String() string {
	p99 := func(list []float64) float64 { slices.Sort(list); return list[len(list)*99/100] }
	return fmt.Sprintf("%10.1f %10.1f %10.1f %10.1f", w.mean(false), p99(w.short), w.mean(true), p99(w.long))
}

// finishing is the end of the task with index i.
type finishing struct {
	at time.Duration
	i  int
}

// finishes is a heap of ends, the earliest first.
type finishes []finishing

func (f finishes) Len() int           { return len(f) }
func (f finishes) Less(i, j int) bool { return f[i].at < f[j].at }
func (f finishes) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *finishes) Push(x any)        { *f = append(*f, x.(finishing)) }
func (f *finishes) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

// waitsOf simulates the arrivals in virtual time and returns how long the tasks waited.
func waitsOf(arrivals []waitArrival, s scheduler) *waits {
	w, next, ends := &waits{}, 0, &finishes{}
	for next < len(arrivals) || ends.Len() > 0 {
		var now time.Duration
		if ends.Len() == 0 || next < len(arrivals) && arrivals[next].at <= (*ends)[0].at {
			now = arrivals[next].at
			s.arrive(next, arrivals[next], now)
			next++
		} else {
			e := heap.Pop(ends).(finishing)
			now = e.at
			s.finish(e.i, now)
		}
		for _, i := range s.place(now) {
			a := arrivals[i]
			heap.Push(ends, finishing{now + a.run, i})
			if a.long {
				w.long = append(w.long, (now - a.at).Seconds())
			} else {
				w.short = append(w.short, (now - a.at).Seconds())
			}
		}
	}
	return w
}

// fcfs is the baseline: first come, first served, on the first worker that fits.
type fcfs struct {
	fit   *firstFit
	queue []int
	tasks map[int]waitArrival
	where map[int]int
}

func newFCFS() *fcfs {
	return &fcfs{fit: newFirstFit(50), tasks: map[int]waitArrival{}, where: map[int]int{}}
}

func (f *fcfs) arrive(i int, a waitArrival, _ time.Duration) {
	f.queue = append(f.queue, i)
	f.tasks[i] = a
}

func (f *fcfs) place(time.Duration) (started []int) {
	for len(f.queue) > 0 {
		w := f.fit.place(f.tasks[f.queue[0]].size)
		if w < 0 {
			return started
		}
		f.where[f.queue[0]] = w
		started = append(started, f.queue[0])
		f.queue = f.queue[1:]
	}
	return started
}

func (f *fcfs) finish(i int, _ time.Duration) {
	w := f.where[i]
	f.fit.free[w] = f.fit.free[w].Add(f.tasks[i].size)
	f.fit.firstFree = 0
}

// scheduled runs the scheduling rounds of a partition without its goroutines.
type scheduled struct {
	p     *partition
	tasks map[int]*task
	index map[*task]int
}

func newScheduled(workers int) *scheduled {
	p, err := openPartition(context.Background(), Config{}, Deps{
		Journals: &fakeStore{}, Plans: &fakePlans{a: unlimited}, Metrics: noMetrics, Log: noLog,
	}, &fakeGuard{epoch: 1})
	if err != nil {
		panic(err)
	}
	for i := range workers {
		w := newWorkerInfo(fmt.Sprint(i), "", fmt.Sprint(i%4), fmt.Sprint(i/4/6))
		w.node = p.index.AddNode(w.id, w.domain, w.rack, tableWorker)
		p.index.SetSchedulable(w.node, true)
		p.workers[w.id] = w
	}
	return &scheduled{p: p, tasks: map[int]*task{}, index: map[*task]int{}}
}

var tableStart = time.Unix(1_000_000, 0)

func (s *scheduled) arrive(i int, a waitArrival, now time.Duration) {
	spec := batch(fmt.Sprint(i), 1, a.size)
	spec.RunMS = a.run.Milliseconds()
	j := s.p.addJob(spec.normalized(), "", tableStart.Add(now))
	s.tasks[i], s.index[j.tasks[0]] = j.tasks[0], i
	s.p.accept(j, tableStart.Add(now))
}

func (s *scheduled) place(now time.Duration) (started []int) {
	s.p.scheduleRound(tableStart.Add(now))
	for _, w := range s.p.workers {
		for _, pl := range w.starts {
			started = append(started, s.index[pl.task])
		}
		w.starts = nil
	}
	slices.Sort(started)
	return started
}

func (s *scheduled) finish(i int, now time.Duration) {
	t := s.tasks[i]
	if t.current == nil {
		return
	}
	s.p.removeAssignment(t.current)
	s.p.endTask(t, Done, tableStart.Add(now))
}

// where returns the index of the worker of each assigned task.
func (s *scheduled) where() map[int]int {
	out := map[int]int{}
	for w := range len(s.p.workers) {
		for _, pl := range s.p.workers[fmt.Sprint(w)].assignments {
			out[s.index[pl.task]] = w
		}
	}
	return out
}

// report carries out the orders to the workers and applies their reports. Throttling does not reduce memory use here.
func (s *scheduled) report(actual []Resources, now time.Duration) (took time.Duration) {
	at := tableStart.Add(now)
	for i := range len(s.p.workers) {
		w, rep := s.p.workers[fmt.Sprint(i)], worker.Report{Capacity: tableWorker}
		for _, pl := range slices.SortedFunc(maps.Values(w.assignments), func(a, b *assignment) int { return strings.Compare(a.task.id, b.task.id) }) {
			pl.leaseUntil = at.Add(leaseExpiry)
			state := map[bool]worker.State{false: worker.Running, true: worker.Checkpointed}[pl.stop != stopNone]
			rep.Tasks = append(rep.Tasks, worker.Task{TaskID: pl.task.id, Attempt: pl.attempt, State: state, Usage: actual[s.index[pl.task]]})
		}
		w.orders, w.acks, w.listed, w.journaled = nil, nil, true, true
		s.p.applyReport(w, rep, at, at)
	}
	return renewInterval
}

// BenchmarkRound measures a scheduling round per placed task: queue, quota, decision, assignment and the later release.
func BenchmarkRound(b *testing.B) {
	for _, workers := range []int{50, 500, 5_000, 25_000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s := newScheduled(workers)
			rng := rand.New(rand.NewSource(1))
			var live []int
			step := func(i int) {
				u := randomUnit(rng)
				s.arrive(i, waitArrival{run: time.Second, size: u.size}, 0)
				s.p.scheduleRound(tableStart)
				if s.tasks[i].current != nil {
					s.tasks[i].current.w.starts = nil
				}
				live = append(live, i)
			}
			n := 0
			for ; n < 8*workers; n++ { // about 70 % of the processors
				step(n)
			}
			b.ReportAllocs()
			for b.Loop() {
				step(n)
				n++
				old := live[0]
				live = live[1:]
				s.finish(old, 0)
				delete(s.tasks, old)
			}
		})
	}
}
