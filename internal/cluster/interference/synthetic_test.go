package interference

import (
	"math"
	"math/rand/v2"
	"time"
)

var t0 = time.Unix(1_700_000_000, 0)

// world is a simulated pool whose workers run tasks of some kinds that come and go at random.
type world struct {
	*Model
	random   *rand.Rand
	kinds    []string
	factor   func(slowed, by string) float64 // factor on the duration at full level
	levels   func(share float64) float64     // true level for a share of the worker; nil for 1 whenever the kind is there
	medians  []float64                       // typical length of each kind's tasks in seconds
	spread   float64                         // standard deviation of the logarithm of a step's length
	unsteady float64                         // standard deviation of the speed of a worker, and of a run, which change every few seconds
	faults   float64                         // share of the runs that stand still for 1.5 s, and of those that resume from a checkpoint
	workers  []*testWorker
	now      time.Time
	runs     int
}

type testWorker struct {
	Tracker
	speed, mood float64
	runs        []*testRun
	nextReport  float64
}

type testRun struct {
	Run
	kind             int
	cpu              int64
	length, done     float64 // seconds, share
	mood             float64
	stallAt, stalled float64
	alike            int
}

const (
	testCapacity = 10_000
	tick         = 0.1
	tasksBeside  = 5
)

func newWorld(seed uint64, workers int, kinds ...string) *world {
	w := &world{Model: New(), random: rand.New(rand.NewPCG(seed, 1)), kinds: kinds, spread: 0.6, unsteady: 0.1, faults: 0.03, now: t0,
		factor: func(string, string) float64 { return 1 }}
	for i := range kinds {
		w.medians = append(w.medians, []float64{2, 6, 12, 4, 25}[i%5])
	}
	for i := range workers {
		w.workers = append(w.workers, &testWorker{speed: []float64{0.8, 1, 1.25}[i%3], mood: 1, nextReport: w.random.Float64() * 0.6})
	}
	return w
}

// run simulates the pool for some seconds.
func (w *world) run(seconds float64) {
	for range int(seconds / tick) {
		w.now = w.now.Add(time.Duration(tick * float64(time.Second)))
		for _, k := range w.workers {
			w.step(k)
		}
	}
}

// step advances one worker.
func (w *world) step(k *testWorker) {
	if w.random.Float64() < tick/5 {
		k.mood = math.Exp(w.random.NormFloat64() * w.unsteady)
	}
	if len(k.runs) < tasksBeside && w.random.Float64() < tick*1.5 {
		w.start(k)
	}
	left := k.runs[:0:0]
	for _, r := range k.runs {
		if w.random.Float64() < tick/4 {
			r.mood = math.Exp(w.random.NormFloat64() * w.unsteady)
		}
		if r.done > r.stallAt && r.stalled > 0 {
			r.stalled -= tick
		} else {
			r.done += tick / r.length * k.speed * k.mood * r.mood / w.slowdown(k, r)
		}
		if r.done < 1 {
			left = append(left, r)
		}
	}
	k.runs = left
	if k.nextReport -= tick; k.nextReport <= 0 {
		k.nextReport += 0.6
		w.report(k)
	}
}

// slowdown returns the true factor on the duration of a run.
func (w *world) slowdown(k *testWorker, r *testRun) float64 {
	share := map[int]float64{}
	for _, o := range k.runs {
		if o != r {
			share[o.kind] += float64(o.cpu) / testCapacity
		}
	}
	total := 0.0
	for kind, s := range share {
		level := 1.0
		if w.levels != nil {
			level = w.levels(s)
		}
		total += math.Log(w.factor(w.kinds[r.kind], w.kinds[kind])) * level
	}
	return math.Exp(total)
}

// start starts a run of a random kind. One of four steps has 20 tasks, each elsewhere.
func (w *world) start(k *testWorker) {
	kind := w.random.IntN(len(w.kinds))
	length := min(max(w.medians[kind]*math.Exp(w.random.NormFloat64()*w.spread), 0.7), 40)
	targets, alike := []*testWorker{k}, 1
	if w.random.IntN(20) == 0 {
		targets, alike = w.workers, len(w.workers)
	}
	for _, target := range targets {
		if len(target.runs) >= tasksBeside {
			continue
		}
		r := &testRun{kind: kind, cpu: 500 * int64(1+w.random.IntN(4)), length: length, mood: 1, stallAt: w.random.Float64(), alike: alike}
		if w.random.Float64() < w.faults {
			r.stalled = 1.5
		}
		if w.random.Float64() < w.faults {
			r.done = w.random.Float64()
		}
		target.runs = append(target.runs, r)
		w.runs++
	}
}

// report applies a report of a worker. It takes up to 40 ms.
func (w *world) report(k *testWorker) {
	var progress []Progress
	for _, r := range k.runs {
		progress = append(progress, Progress{Run: &r.Run, Kind: w.Kind(w.kinds[r.kind], w.now), CPUMilli: r.cpu, Percent: int(r.done * 100), StepTasks: r.alike})
	}
	k.Observe(w.now.Add(time.Duration(w.random.IntN(40))*time.Millisecond), testCapacity, progress)
	w.Sweep(w.now)
}

// estimate returns the slowdown that the model assumes and its standard deviation, as a logarithm.
func (w *world) estimate(slowed, by string) (factor, sd float64) {
	mean, sd := w.effect(w.Model.Kind(slowed, w.now), w.Model.Kind(by, w.now)).at(w.now)
	return math.Exp(mean), sd
}

// apart returns the pairs that are kept apart.
func (w *world) apart() []string {
	var out []string
	for _, p := range w.Dump(w.now).Pairs {
		if p.Apart {
			out = append(out, p.Slowed+" by "+p.By)
		}
	}
	return out
}
