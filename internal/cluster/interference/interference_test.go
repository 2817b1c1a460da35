package interference

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// onlyBByA returns a factor that applies to tasks of kind B beside those of kind A only.
func onlyBByA(factor float64) func(slowed, by string) float64 {
	return func(slowed, by string) float64 {
		if slowed == "B" && by == "A" {
			return factor
		}
		return 1
	}
}

// Guards against a model that takes chance for interference: lengths that differ by a factor of 3, workers and runs whose speed wanders,
// runs that stand still or resume, and steps with a task on each worker.
func TestNothingIsLearnedFromNoise(t *testing.T) {
	Convey("Without interference, no pair of kinds is kept apart at any time", t, func() {
		for seed := range uint64(10) {
			w := newWorld(seed, 20, "A", "B", "C", "D", "E")
			for range 60 {
				w.run(10)
				So(w.apart(), ShouldBeEmpty)
			}
			So(w.comparisons, ShouldBeGreaterThan, 5000)
		}
	})
}

// Guards against a model that needs too many runs, blames the wrong kind, or takes the factor for much more or less than it is.
func TestInterferenceIsLearned(t *testing.T) {
	proportional := func(share float64) float64 { return min(share/fullShare, 1) }
	for _, c := range []struct {
		name     string
		factor   float64
		levels   func(float64) float64
		min, max float64
		seconds  float64
		length   float64 // median of the tasks of kind B in seconds
	}{
		{"at any presence", 1.6, nil, 1.4, 2.4, 40, 6},
		{"in proportion to the share", 1.6, proportional, 1.2, 2, 60, 6},
		{"by less", 1.3, nil, 1.15, 1.8, 60, 6},
		{"when its tasks are short", 1.6, nil, 1.2, 2.6, 120, 2},
	} {
		Convey("Kind B that A slows down "+c.name+" is kept apart from A alone", t, func() {
			for seed := range uint64(4) {
				w := newWorld(seed, 20, "A", "B", "C", "D", "E")
				w.factor, w.levels, w.medians[1] = onlyBByA(c.factor), c.levels, c.length
				w.run(c.seconds)
				Convey(fmt.Sprintf("Seed %d", seed), func() {
					So(w.apart(), ShouldResemble, []string{"B by A"})
					f, _ := w.estimate("B", "A")
					So(f, ShouldBeBetween, c.min, c.max)
				})
			}
		})
	}
}

// pressureModel explains the effects by what each kind exerts and feels: the effect of a pair is the product. It is fitted to the pairwise
// estimates, weighted with the inverse of their variances, by alternating least squares.
type pressureModel struct{ exerts, feels map[string]float64 }

func fitPressure(w *world) pressureModel {
	p := pressureModel{map[string]float64{}, map[string]float64{}}
	for _, k := range w.kinds {
		p.exerts[k], p.feels[k] = 0.3, 0.3
	}
	fit := func(target, other map[string]float64, effect func(own, other string) (mean, sd float64)) {
		for _, k := range w.kinds {
			sum, weight := 0.0, 1.0 // a weak prior at 0
			for _, o := range w.kinds {
				mean, sd := effect(k, o)
				sum += mean * other[o] / (sd * sd)
				weight += other[o] * other[o] / (sd * sd)
			}
			target[k] = sum / weight
		}
	}
	of := func(slowed, by string) (float64, float64) {
		f, sd := w.estimate(slowed, by)
		return math.Log(f), sd
	}
	for range 50 {
		fit(p.feels, p.exerts, of)
		fit(p.exerts, p.feels, func(by, slowed string) (float64, float64) { return of(slowed, by) })
	}
	return p
}

// Guards against the choice of an estimator that assumes more than is true: a model of pressure on one resource misses pairs where not all
// that interfere use the same resource.
func TestPairwiseEstimateAgainstPressure(t *testing.T) {
	separate := func(slowed, by string) float64 { return 1 + 0.6*float64(strings.Count("BA DC", slowed+by)) }
	shared := func(slowed, by string) float64 {
		return 1 + 0.6*float64(strings.Count("BD", slowed)*strings.Count("AC", by))
	}
	const seeds = 4
	// errorsOf returns the mean errors of both, and the least effect that each finds for a pair that has one, on average.
	errorsOf := func(factor func(slowed, by string) float64, seconds float64) (pairwise, pressure, found, foundByPressure float64) {
		for seed := range uint64(seeds) {
			w := newWorld(seed, 20, "A", "B", "C", "D", "E")
			w.factor = factor
			w.levels = func(share float64) float64 { return level(int64(share*testCapacity), testCapacity, 1) }
			w.run(seconds)
			p := fitPressure(w)
			least, leastByPressure := 1.0, 1.0
			for _, slowed := range w.kinds {
				for _, by := range w.kinds {
					truth := math.Log(factor(slowed, by))
					f, _ := w.estimate(slowed, by)
					pairwise += math.Abs(math.Log(f)-truth) / seeds / 25
					pressure += math.Abs(p.feels[slowed]*p.exerts[by]-truth) / seeds / 25
					if truth > 0 {
						least, leastByPressure = min(least, math.Log(f)), min(leastByPressure, p.feels[slowed]*p.exerts[by])
					}
				}
			}
			found, foundByPressure = found+least/seeds, foundByPressure+leastByPressure/seeds
		}
		return pairwise, pressure, found, foundByPressure
	}
	Convey("Where pairs use different resources, pressure misses one; where one explains all, the pairwise estimate will do", t, func() {
		for _, factor := range []func(string, string) float64{separate, shared} {
			for _, seconds := range []float64{20, 60, 300} {
				pairwise, pressure, found, foundByPressure := errorsOf(factor, seconds)
				t.Logf("after %.0f s: mean error pairwise %.3f, pressure %.3f; least effect of 0.47 found pairwise %.2f, by pressure %.2f",
					seconds, pairwise, pressure, found, foundByPressure)
				So(pairwise, ShouldBeLessThan, 0.1)
				So(found, ShouldBeGreaterThan, 0.25)
				if factor("D", "A") == 1 {
					So(foundByPressure, ShouldBeLessThan, found/2)
				}
			}
		}
	})
}

// Guards against penalties for interference that has ended, whether or not the pair is still observed.
func TestInterferenceIsForgotten(t *testing.T) {
	Convey("Given a pair that is kept apart", t, func() {
		w := newWorld(1, 20, "A", "B", "C")
		w.factor = onlyBByA(1.6)
		w.run(60)
		So(w.apart(), ShouldResemble, []string{"B by A"})
		Convey("It is kept apart no longer, soon after tasks run beside each other without interference", func() {
			w.factor = onlyBByA(1)
			w.run(240)
			So(w.apart(), ShouldBeEmpty)
		})
		Convey("It is no longer kept apart after minutes without any observation, but not at once", func() {
			w.now = w.now.Add(2 * time.Minute)
			w.Sweep(w.now)
			So(w.apart(), ShouldNotBeEmpty)
			w.now = w.now.Add(20 * time.Minute)
			w.Sweep(w.now)
			So(w.apart(), ShouldBeEmpty)
		})
		Convey("Both changes are told", func() {
			w.Sweep(w.now.Add(time.Hour))
			changes := w.TakeChanges()
			So(changes, ShouldHaveLength, 2)
			So([]bool{changes[0].Apart, changes[1].Apart}, ShouldResemble, []bool{true, false})
			So(changes[0].Lower, ShouldBeBetween, 1.1, changes[0].Slowdown)
			So(w.TakeChanges(), ShouldBeEmpty)
		})
	})
}

// Guards against growth with the number of kinds, and against a kind that gets what was learned about another one.
func TestKindsAreBounded(t *testing.T) {
	Convey("Given as many kinds as the model holds, with a pair that is kept apart", t, func() {
		m := New()
		for i := range MaxKinds {
			So(m.Kind(fmt.Sprint("k", i), t0.Add(time.Duration(i)*time.Second)).Known(), ShouldBeTrue)
		}
		now := t0.Add(MaxKinds * time.Second)
		a, b := m.Kind("k0", t0), m.Kind("k1", now)
		*m.effect(a, b) = effect{mean: 1, variance: 0.001, updated: now, seen: now, count: 10}
		m.updateApart(a, b, now)
		So(b.KeptApartFrom(), ShouldEqual, a.Bit())
		Convey("A further kind takes the slot of the one that was not seen for the longest time, without its effects", func() {
			c := m.Kind("new", now)
			So(c.Known(), ShouldBeTrue)
			So(a.Known(), ShouldBeFalse)
			So([]Set{a.Bit(), b.KeptApartFrom(), c.KeptApartFrom()}, ShouldResemble, []Set{0, 0, 0})
			So(m.Stats(), ShouldResemble, Stats{Kinds: MaxKinds})
		})
		Convey("While all were seen recently, it is not known and has no effects", func() {
			for i := range MaxKinds {
				m.Kind(fmt.Sprint("k", i), now)
			}
			c := m.Kind("new", now)
			So(c, ShouldBeNil)
			So(c.Penalty(1000, 10_000, &Load{}), ShouldEqual, 0)
		})
	})
	Convey("Names are bounded and stay different", t, func() {
		long := strings.Repeat("x", 300)
		So(len(Name(long+"1", "q", "s")), ShouldBeLessThanOrEqualTo, maxNameBytes)
		So(Name(long+"1", "q", "s"), ShouldNotEqual, Name(long+"2", "q", "s"))
		So(Name("", "q", "s"), ShouldNotEqual, Name("q s", "", ""))
	})
}

// Guards against a penalty that exceeds those for racks and failures, or that breaks up room when the pool is nearly full.
func TestPenaltyIsWhatCallersLose(t *testing.T) {
	Convey("Given that A slows B down by 1.6", t, func() {
		m := New()
		a, b, c := m.Kind("A", t0), m.Kind("B", t0), m.Kind("C", t0)
		*m.effect(b, a) = effect{mean: math.Log(1.6), variance: 0.001, updated: t0, seen: t0, count: 10}
		m.updateApart(b, a, t0)
		load := func(k *Kind, cpu int64) *Load {
			var l Load
			l.Add(k, cpu)
			return &l
		}
		Convey("Either costs the same work beside the other, and others cost nothing", func() {
			m.SetFreeShare(0)
			So(b.Penalty(2000, 10_000, load(a, 4000)), ShouldEqual, minWeight*750)
			So(a.Penalty(4000, 10_000, load(b, 2000)), ShouldEqual, minWeight*750)
			So(c.Penalty(2000, 10_000, load(a, 4000)), ShouldEqual, 0)
		})
		Convey("A second task of A beside B costs less than the first", func() {
			first := a.Penalty(1000, 10_000, load(b, 2000))
			both := load(b, 2000)
			both.Add(a, 2500)
			So(first, ShouldBeGreaterThan, 0)
			So(a.Penalty(1000, 10_000, both), ShouldEqual, 0)
		})
		Convey("With room it outweighs any difference of room, and it never exceeds its bound", func() {
			m.SetFreeShare(0.7)
			So(b.Penalty(2000, 10_000, load(a, 4000)), ShouldBeGreaterThan, 10_000)
			So(b.Penalty(1<<40, 1<<40, load(a, 1<<40)), ShouldEqual, MaxPenalty)
		})
	})
}

// Guards against a successor that starts without what was learned, or fails because of a damaged or newer row, and against rows that the
// store does not take.
func TestStoredModel(t *testing.T) {
	Convey("Given a model that has learned", t, func() {
		w := newWorld(1, 20, "A", "B", "C")
		w.factor = onlyBByA(1.6)
		So(w.Changed(w.now), ShouldBeFalse)
		w.run(60)
		So(w.Changed(w.now), ShouldBeTrue)
		data, err := w.Encode(w.now)
		So(err, ShouldBeNil)
		So(w.Changed(w.now), ShouldBeFalse)
		Convey("Another one that restores it keeps the same pairs apart, with less certainty after some time", func() {
			m := New()
			So(m.Restore(data, w.now), ShouldBeNil)
			So(m.Kind("B", w.now).KeptApartFrom(), ShouldEqual, m.Kind("A", w.now).Bit())
			So(m.Dump(w.now).Pairs[0].Slowdown, ShouldAlmostEqual, w.Dump(w.now).Pairs[0].Slowdown, 0.01)
			So(m.Changed(w.now), ShouldBeFalse)
			late := New()
			So(late.Restore(data, w.now.Add(time.Hour)), ShouldBeNil)
			So(late.Stats().PairsApart, ShouldEqual, 0)
		})
		Convey("What is damaged, or of a newer format, changes nothing", func() {
			for _, bad := range []string{"", "{", `{"v":2}`, `{"v":1,"pairs":[{"k":3}]}`, `{"v":1,"kinds":[{"n":"` + strings.Repeat("x", 65) + `"}]}`} {
				m := New()
				So(m.Restore([]byte(bad), w.now), ShouldNotBeNil)
				So(m.Stats().PairsApart, ShouldEqual, 0)
			}
		})
	})
	Convey("The largest model stays below 48 KB", t, func() {
		m := New()
		for i := range MaxKinds {
			m.Kind(strings.Repeat("\x01", 60)+fmt.Sprintf("%04d", i), t0)
		}
		for i := range m.effects {
			for j := range m.effects[i] {
				m.effects[i][j] = effect{mean: -2.999, variance: 0.16, updated: t0, seen: t0.Add(-time.Hour), count: 1 << 40, apart: true}
			}
		}
		data, err := m.Encode(t0)
		So(err, ShouldBeNil)
		So(len(data), ShouldBeLessThan, 48<<10)
		So(New().Restore(data, t0), ShouldBeNil)
	})
}

// BenchmarkObserve measures one report of a worker with ten runs of four kinds.
func BenchmarkObserve(b *testing.B) {
	m, now := New(), t0
	var t Tracker
	runs := make([]Run, 10)
	progress := make([]Progress, len(runs))
	for i := range runs {
		progress[i] = Progress{Run: &runs[i], Kind: m.Kind(fmt.Sprint(i%4), now), CPUMilli: 1000, StepTasks: 1}
	}
	for i := 0; b.Loop(); i++ {
		now = now.Add(600 * time.Millisecond)
		for j := range progress {
			progress[j].Percent = (i*7 + j*10) % 100
		}
		t.Observe(now, testCapacity, progress[:8+i%3])
	}
}

// BenchmarkPenalty measures the comparison of one worker with ten runs, of which some harm a task.
func BenchmarkPenalty(b *testing.B) {
	m := New()
	slowed, by := m.Kind("B", t0), m.Kind("A", t0)
	*m.effect(slowed, by) = effect{mean: 0.5, variance: 0.001, updated: t0, seen: t0, count: 10}
	m.updateApart(slowed, by, t0)
	for b.Loop() {
		var l Load
		for range 10 {
			l.Add(by, 1000)
		}
		slowed.Penalty(1000, testCapacity, &l)
	}
}
