package interference

import (
	"math"
	"time"
)

const (
	// priorSD is the standard deviation of the effect of an unknown pair, in natural logarithms. The mean is 0.
	priorSD = 0.4
	// forgetTime is the time constant with which an effect returns to that of an unknown pair. A slowdown by 1.6 that was well known and
	// is not observed any more, since the pair is kept apart, is forgotten after about 9 minutes.
	forgetTime = time.Hour
	// A pair becomes kept apart when the effect is above apartEffect with apartConfidence standard deviations, after minContrasts
	// observations, and stays so while it is above keptEffect with keptConfidence standard deviations.
	apartConfidence = 3.5
	keptConfidence  = 2.0
	minComparisons  = 6
	// dependence is by how much the variance of a comparison is raised, because comparisons are not independent: when the speed of a worker
	// changes for a while, it does so for all its runs and for several segments of each.
	dependence = 2.5
	// clipSD limits the weight of an outlier, as that of a run that stood still for a while: it counts as being so many standard
	// deviations from what was expected.
	clipSD = 2.5
	// minLevel is the least difference of levels from which a comparison says anything about a pair.
	minLevel = 0.1
)

var (
	apartEffect = math.Log(1.10)
	keptEffect  = math.Log(1.05)
)

// effect is the logarithm of the factor by which tasks of one kind take longer at level 1 of another. The zero value is that of an
// unknown pair.
type effect struct {
	mean     float64
	variance float64
	updated  time.Time // of mean and variance; zero for an unknown pair
	seen     time.Time // when the last comparison said something about the pair
	count    int       // such comparisons
	apart    bool      // the pair is kept apart
	// storedMean and storedSD are those in the stored model.
	storedMean, storedSD float64
}

// at returns the mean and the standard deviation at a time.
func (e *effect) at(now time.Time) (mean, sd float64) {
	if e.updated.IsZero() {
		return 0, priorSD
	}
	keep := math.Exp(-float64(max(now.Sub(e.updated), 0)) / float64(forgetTime))
	return e.mean * keep, math.Sqrt(keep*keep*e.variance + (1-keep*keep)*priorSD*priorSD)
}

// age brings mean and variance up to a time.
func (e *effect) age(now time.Time) {
	mean, sd := e.at(now)
	e.mean, e.variance, e.updated = mean, sd*sd, now
}

// credible reports whether the pair should be kept apart.
func (e *effect) credible(now time.Time) bool {
	mean, sd := e.at(now)
	if e.apart {
		return mean-keptConfidence*sd > keptEffect
	}
	return e.count >= minComparisons && mean-apartConfidence*sd > apartEffect
}

// dispersion is a variance that is estimated from residuals, starting with a prior that counts as a number of residuals.
type dispersion struct {
	variance float64
	count    float64
}

const (
	// priorWithin is the standard deviation of the logarithm of a run's rate between segments with the same neighbours, and priorBetween
	// that of the rates of different runs of one kind on one worker, before any were seen. Tasks of a kind may differ much in length.
	priorWithin       = 0.15
	priorWithinCount  = 10
	priorBetween      = 0.6
	priorBetweenCount = 5
	// minDispersion is the least standard deviation: no comparison is better.
	minDispersion = 0.05
	// maxDispersionCount bounds the memory of the estimate.
	maxDispersionCount = 200
)

func newDispersion(sd, count float64) dispersion { return dispersion{sd * sd, count} }

// add includes the square of a residual less the variance that is known to have other causes.
func (d *dispersion) add(squared, weight float64) {
	d.count = min(d.count+weight, maxDispersionCount)
	d.variance += (squared - d.variance) * weight / d.count
}

func (d *dispersion) value() float64 { return max(d.variance, minDispersion*minDispersion) }

// applyComparison applies a comparison: the logarithm of a rate of the kind differs by difference, with the variance, while the levels of the
// kinds beside it differ by levels. It returns the squared difference from what was expected, less the variance of the effects. It may be
// negative.
func (m *Model) applyComparison(k *Kind, difference, variance float64, levels vector, now time.Time) float64 {
	variance *= dependence
	total, expected := variance, 0.0
	for _, l := range levels {
		if !l.kind.Known() {
			continue
		}
		e := m.effect(k, l.kind)
		e.age(now)
		expected -= e.mean * l.value
		total += e.variance * l.value * l.value
	}
	surprise := difference - expected
	limit := clipSD * math.Sqrt(total)
	clipped := min(max(surprise, -limit), limit)
	for _, l := range levels {
		if !l.kind.Known() {
			continue
		}
		e := m.effect(k, l.kind)
		gain := -e.variance * l.value / total
		e.mean += gain * clipped
		e.variance *= 1 - e.variance*l.value*l.value/total
		if math.Abs(l.value) >= minLevel {
			e.seen = now
			e.count++
		}
		m.updateApart(k, l.kind, now)
	}
	m.comparisons++
	// An outlier makes the kind's rates count as less certain, but only to the extent to which it was used.
	residual := min(max(surprise, -2*limit), 2*limit)
	return residual*residual - (total - variance)
}
