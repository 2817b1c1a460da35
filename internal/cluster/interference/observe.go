package interference

import (
	"math"
	"time"
)

const (
	// maxInterval is the longest time between two reports of a worker that counts as one observation: who shared the worker in between is
	// known only at the ends.
	maxInterval = 2200 * time.Millisecond
	// lastPercent is the progress from which a run's rate is not used: it may wait for others, or have ended between two reports.
	lastPercent = 99
	// minPoints is the least gain in percent of a segment.
	minPoints = 2
	// newSegmentLevel is the change of a kind's level that begins a new segment.
	newSegmentLevel = 0.3
	// stallPoints is the gain in percent that a run has missed, at its rate, for a time without progress to count as standing still.
	stallPoints = 2.5
	// roundingVariance is that of the gain of a segment, since percents are whole numbers. Neighbouring segments share an error.
	roundingVariance = 0.25
	// jitter is the standard deviation in seconds of the time at which a report shows the progress.
	jitter = 0.03
	// fullShare is the share of a worker's processors from which a kind's level is 1, and presentLevel the least level of a kind of which
	// any task runs.
	fullShare    = 0.25
	presentLevel = 0.5
	// maxNeighbours limits the kinds that are told apart on one worker, and maxBaselines those whose earlier runs there are remembered.
	maxNeighbours = 16
	maxBaselines  = 8
	// baselineTime is the time constant with which the earlier runs on a worker are forgotten.
	baselineTime = 10 * time.Minute
)

// Progress is what a worker's report says about one run.
type Progress struct {
	Run      *Run // the state of the run, which the caller keeps between the reports; nil if its rate is not observed
	Kind     *Kind
	CPUMilli int64
	Percent  int
	// StepTasks is the number of tasks of the run's step, which have the same length. Synchronized means that they progress together, as
	// those of a gang.
	StepTasks    int
	Synchronized bool
}

// Run is the state of a run. The zero value is that of a run that has not been observed.
type Run struct {
	round        int64 // of the tracker, in which the run was last listed
	percent      int
	moved        bool // progress was seen
	pending      segment
	current      segment
	base         average // of the segments before
	kind         *Kind
	stepTasks    int
	synchronized bool
}

// segment is a part of a run in which the neighbours stayed about the same.
type segment struct {
	points       float64
	seconds      float64
	gaplessParts float64 // number of parts that gaps in the observation separate
	levels       vector  // times seconds
}

func (s *segment) reset() { *s = segment{levels: s.levels[:0]} }

// addAll adds a following segment.
func (s *segment) addAll(o *segment) {
	s.points += o.points
	s.seconds += o.seconds
	for _, l := range o.levels {
		s.levels = s.levels.add(l.kind, l.value)
	}
}

// average is a mean of logarithms of rates and of the levels beside them, weighted with the inverse of their variances.
type average struct {
	weight float64
	mean   float64
	levels vector
}

// add includes a value.
func (a *average) add(value, weight float64, levels vector) {
	a.weight += weight
	share := weight / a.weight
	a.mean += share * (value - a.mean)
	a.levels = a.levels.scale(1 - share)
	for _, l := range levels {
		a.levels = a.levels.add(l.kind, l.value*share)
	}
}

// Tracker follows the runs on one worker.
type Tracker struct {
	at                time.Time // of the last report
	round             int64
	previous, current []presence
	between           vector // levels between the last two reports, reused
	runs, ended       []*Run
	baselines         []baseline
}

// presence is how much of a kind runs on the worker.
type presence struct {
	kind  *Kind
	cpu   int64
	tasks int
}

// baseline is the average rate of earlier runs of a kind on the worker.
type baseline struct {
	kind    *Kind
	updated time.Time
	average
}

// level returns the level of a kind whose tasks use so much of a worker's processors.
func level(cpu, capacity int64, tasks int) float64 {
	if tasks <= 0 {
		return 0
	}
	share := float64(cpu) / float64(max(capacity, 1))
	return min(max(share/fullShare, presentLevel), 1)
}

// Observe applies a report of the worker, which was requested at the given time and lists all its runs. capacity is that of the worker in
// thousandths of a core. The cost is proportional to the number of runs times that of kinds on the worker, at most maxNeighbours.
func (t *Tracker) Observe(at time.Time, capacity int64, runs []Progress) {
	interval := at.Sub(t.at)
	if !t.at.IsZero() && interval <= 0 {
		return
	}
	usable := !t.at.IsZero() && interval <= maxInterval
	t.at = at
	t.round++
	t.previous, t.current = t.current, t.previous[:0]
	for i := range runs {
		t.countPresence(&runs[i])
	}
	t.runs, t.ended = t.ended[:0], t.runs
	for i := range runs {
		p := &runs[i]
		if p.Run == nil || !p.Kind.Known() {
			continue
		}
		t.runs = append(t.runs, p.Run)
		known := p.Run.round > 0 && p.Run.kind == p.Kind
		p.Run.kind, p.Run.stepTasks, p.Run.synchronized, p.Run.round = p.Kind, p.StepTasks, p.Synchronized, t.round
		if usable && known {
			t.advance(p, interval.Seconds(), capacity)
		}
		p.Run.percent = p.Percent
	}
	for _, r := range t.ended {
		if r.round != t.round && r.kind.Known() {
			t.finish(r)
		}
	}
}

// countPresence adds a run to what runs on the worker.
func (t *Tracker) countPresence(p *Progress) {
	if !p.Kind.Known() {
		return
	}
	for i := range t.current {
		if t.current[i].kind == p.Kind {
			t.current[i].cpu += p.CPUMilli
			t.current[i].tasks++
			return
		}
	}
	if len(t.current) < maxNeighbours {
		t.current = append(t.current, presence{p.Kind, p.CPUMilli, 1})
	}
}

// levelsBeside returns the average levels between the last two reports beside a run.
func (t *Tracker) levelsBeside(p *Progress, capacity int64) vector {
	t.between = t.between[:0]
	for _, present := range [2][]presence{t.previous, t.current} {
		for _, n := range present {
			if n.kind == p.Kind {
				n.cpu -= p.CPUMilli
				n.tasks--
			}
			if l := level(n.cpu, capacity, n.tasks); l > 0 && n.kind.Known() {
				t.between = t.between.add(n.kind, l/2)
			}
		}
	}
	return t.between
}

// advance applies the time between two reports to a run that both list.
func (t *Tracker) advance(p *Progress, seconds float64, capacity int64) {
	r := p.Run
	gain := p.Percent - r.percent
	if gain < 0 || p.Percent >= lastPercent {
		r.pending.reset()
		r.moved = r.moved && gain >= 0
		return
	}
	levels := t.levelsBeside(p, capacity)
	r.pending.seconds += seconds
	for _, l := range levels {
		r.pending.levels = r.pending.levels.add(l.kind, l.value*seconds)
	}
	if gain == 0 {
		return
	}
	stood := r.pending.seconds - seconds
	if !r.moved && stood > 0 || stood*r.rate() > stallPoints { // it was being restored, or stood still for an unknown part of the time
		r.moved = true
		r.pending.reset()
		r.current.gaplessParts++
		return
	}
	r.moved = true
	r.pending.points = float64(gain)
	if r.current.differs(&r.pending) && r.current.points >= minPoints {
		t.closeSegment(r)
	}
	r.current.addAll(&r.pending)
	r.current.gaplessParts = max(r.current.gaplessParts, 1)
	r.pending.reset()
}

// rate returns the last known rate of a run in percent per second, or 0.
func (r *Run) rate() float64 {
	switch {
	case r.current.points >= minPoints:
		return r.current.points / r.current.seconds
	case r.base.weight > 0:
		return math.Exp(r.base.mean)
	}
	return 0
}

// differs reports whether the neighbours have changed between two segments.
func (s *segment) differs(o *segment) bool {
	for _, l := range s.levels {
		if math.Abs(l.value/s.seconds-o.levels.of(l.kind)/o.seconds) > newSegmentLevel {
			return true
		}
	}
	for _, l := range o.levels {
		if l.value/o.seconds > newSegmentLevel && s.levels.of(l.kind) == 0 {
			return true
		}
	}
	return false
}

// closeSegment ends the current segment of a run and compares it with those before.
func (t *Tracker) closeSegment(r *Run) {
	s, m := &r.current, r.kind.model
	value := math.Log(s.points / s.seconds)
	measured := s.gaplessParts*roundingVariance/(s.points*s.points) + 2*s.gaplessParts*jitter*jitter/(s.seconds*s.seconds)
	variance := measured + r.kind.within.value()
	levels := s.levels.scale(1 / s.seconds)
	if r.base.weight > 0 {
		// All members of a gang show the same change at the same time.
		samples := 1.0
		if r.synchronized {
			samples = float64(max(r.stepTasks, 1))
		}
		m.buffer = difference(m.buffer, levels, r.base.levels)
		total := samples * (variance + 1/r.base.weight)
		squared := m.applyComparison(r.kind, value-r.base.mean, total, m.buffer, t.at)
		r.kind.within.add(squared-measured-1/r.base.weight, 1/samples)
	}
	r.base.add(value, 1/variance, levels)
	s.reset()
	s.gaplessParts = 1
}

// finish compares a run that has ended with earlier runs of its kind on the worker. It leaves out runs of steps with several tasks: they have
// the same length and begin on many workers at the same time, so that one long step beside a kind would count as evidence on all of them.
func (t *Tracker) finish(r *Run) {
	if r.current.points >= minPoints {
		t.closeSegment(r)
	}
	if r.base.weight > 0 && r.stepTasks <= 1 {
		b, m := t.baseline(r.kind), r.kind.model
		b.forget(t.at)
		variance := 1/r.base.weight + r.kind.between.value()
		if b.weight > 0 {
			m.buffer = difference(m.buffer, r.base.levels, b.levels)
			squared := m.applyComparison(r.kind, r.base.mean-b.mean, variance+1/b.weight, m.buffer, t.at)
			r.kind.between.add(squared-1/r.base.weight-1/b.weight, 1)
		}
		b.add(r.base.mean, 1/variance, r.base.levels)
	}
	*r = Run{}
}

// baseline returns that of a kind, in place of the one that was not used for the longest time if need be.
func (t *Tracker) baseline(k *Kind) *baseline {
	oldest := -1
	for i := range t.baselines {
		b := &t.baselines[i]
		if b.kind == k {
			return b
		}
		if oldest < 0 || b.updated.Before(t.baselines[oldest].updated) {
			oldest = i
		}
	}
	if len(t.baselines) < maxBaselines {
		t.baselines = append(t.baselines, baseline{})
		oldest = len(t.baselines) - 1
	}
	t.baselines[oldest] = baseline{kind: k, updated: t.at}
	return &t.baselines[oldest]
}

// forget reduces the weight of what is old.
func (b *baseline) forget(now time.Time) {
	b.weight *= math.Exp(-float64(now.Sub(b.updated)) / float64(baselineTime))
	b.updated = now
}
