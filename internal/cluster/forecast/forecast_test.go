package forecast

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

const (
	testProcessors = 100
	testTick       = 10 * time.Millisecond
	digestInterval = 200 * time.Millisecond
	testTarget     = time.Second
	testSlack      = 2.0
)

// testQueue is a queue of jobs with one task of one processor each.
type testQueue struct {
	name     string
	priority int
	share    float64 // of the arriving work
}

// testJob is a job of the played overload.
type testJob struct {
	queue              testQueue
	arrived, ended     time.Time
	estimate, duration time.Duration
	refused            bool
}

func (j *testJob) objective() time.Duration {
	return testTarget + time.Duration(testSlack*float64(j.estimate))
}

func (j *testJob) latestStart() time.Time { return j.arrived.Add(j.objective() - j.estimate) }

// useless reports whether the job was accepted, but ended too late.
func (j *testJob) useless() bool {
	return !j.refused && j.ended.Sub(j.arrived) > usefulFactor*j.objective()
}

// play plays a pool of testProcessors processors, to which work arrives at a load that changes with time, in the order in which the scheduler
// plans it. With admission, jobs are refused by a digest that is up to digestInterval old.
type play struct {
	random    *rand.Rand
	now       time.Time
	admission bool
	meter     *Meter
	digest    *Digest
	digestAt  time.Time
	jobs      []*testJob
	waiting   []*testJob
	freeAt    []time.Time // of the processors
	// refusedWhileFree counts the jobs that were refused while a processor was free and nothing waited.
	refusedWhileFree int
}

var testQueues = []testQueue{{"urgent", 0, 0.3}, {"batch", 1, 0.4}, {"night", 2, 0.3}}

func newPlay(seed uint64, admission bool) *play {
	return &play{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0), admission: admission, meter: NewMeter(),
		freeAt: make([]time.Time, testProcessors)}
}

// run plays a time with a load, which is 1 if the arriving work fills the pool.
func (p *play) run(d time.Duration, load float64) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(testTick) {
		for _, q := range testQueues {
			const meanDuration = 0.6 // seconds
			expected := load * q.share * testProcessors / meanDuration * testTick.Seconds()
			for n := p.random.Float64(); n < expected; n++ {
				p.arrive(q)
			}
		}
		p.start()
		if p.now.Sub(p.digestAt) >= digestInterval {
			p.digestAt, p.digest = p.now, p.newDigest()
		}
	}
}

func (p *play) arrive(q testQueue) {
	j := &testJob{queue: q, arrived: p.now, duration: time.Duration((0.2 + 0.8*p.random.Float64()) * float64(time.Second))}
	j.estimate = time.Duration(float64(j.duration) * (0.5 + p.random.Float64())) // off by half
	p.jobs = append(p.jobs, j)
	_, refuse := p.digest.Refuses(Job{Queue: q.name, Service: "s", TargetLatency: testTarget,
		SlackFactor: testSlack, Path: j.estimate, Smallest: workload.Resources{CPUMilli: 1000}}, p.now.Sub(p.digestAt))
	if p.admission && refuse {
		j.refused = true
		if len(p.waiting) == 0 && p.free() > 0 {
			p.refusedWhileFree++
		}
		return
	}
	p.waiting = append(p.waiting, j)
}

func (p *play) free() int {
	n := 0
	for _, at := range p.freeAt {
		if !at.After(p.now) {
			n++
		}
	}
	return n
}

// start starts waiting jobs on free processors: by priority, then those that can be in time, then by latest start.
func (p *play) start() {
	slices.SortStableFunc(p.waiting, func(a, b *testJob) int {
		if a.queue.priority != b.queue.priority {
			return a.queue.priority - b.queue.priority
		}
		if lateA, lateB := p.now.After(a.latestStart()), p.now.After(b.latestStart()); lateA != lateB {
			if lateA {
				return 1
			}
			return -1
		}
		return a.latestStart().Compare(b.latestStart())
	})
	for i, at := range p.freeAt {
		if len(p.waiting) == 0 {
			return
		}
		if at.After(p.now) {
			continue
		}
		j := p.waiting[0]
		p.waiting = p.waiting[1:]
		j.ended = p.now.Add(j.duration)
		p.freeAt[i] = j.ended
		p.meter.Started(Class{Queue: j.queue.name}, p.now.After(j.latestStart()), j.estimate)
	}
}

func (p *play) newDigest() *Digest {
	var works []Work
	for _, q := range testQueues {
		w := Work{Class: Class{Queue: q.name}, Service: "s", Priority: q.priority, First: q.priority == 0, Scale: 1}
		for _, j := range p.waiting {
			switch {
			case j.queue.name != q.name:
			case p.now.After(j.latestStart()):
				w.Late += j.estimate
			default:
				w.InTime += j.estimate
			}
		}
		works = append(works, w)
	}
	free := int64(1000 * p.free())
	return p.meter.Digest(p.now, works, map[string]Pool{"s": {CPUMilli: 1000 * testProcessors, FreeCPUMilli: free,
		LargestFree: workload.Resources{CPUMilli: min(free, 1000)}}}, nil)
}

// playResult sums up the jobs of a play.
type playResult struct{ jobs, useful, useless, refused, refusedUrgent int }

func (p *play) result() playResult {
	r := playResult{jobs: len(p.jobs)}
	for _, j := range p.jobs {
		switch {
		case j.refused && j.queue.priority == 0:
			r.refused++
			r.refusedUrgent++
		case j.refused:
			r.refused++
		case j.useless():
			r.useless++
		default:
			r.useful++
		}
	}
	return r
}

// playOverload plays a time with an ordinary load, 12 s with nearly twice as much as the pool can do, and a time with little load.
func playOverload(seed uint64, admission bool) *play {
	p := newPlay(seed, admission)
	p.run(8*time.Second, 0.85)
	p.run(12*time.Second, 1.9)
	p.run(40*time.Second, 0.6)
	return p
}

// Guards against jobs that are accepted although they end too late to be of use, against refusals that cost useful work, and against refusals
// of urgent jobs or while processors are free.
func TestPlayedOverload(t *testing.T) {
	for seed := range uint64(5) {
		without, with := playOverload(seed, false), playOverload(seed, true)
		a, b := without.result(), with.result()
		t.Logf("seed %d: without %+v, with %+v", seed, a, b)
		if b.useless > a.useless/5 {
			t.Errorf("seed %d: %d accepted jobs were of no use, %d without admission", seed, b.useless, a.useless)
		}
		if b.useful < a.useful*97/100 {
			t.Errorf("seed %d: %d jobs were useful, %d without admission", seed, b.useful, a.useful)
		}
		if b.refusedUrgent > 0 || with.refusedWhileFree > 0 {
			t.Errorf("seed %d: %d urgent jobs were refused, and %d while processors were free", seed, b.refusedUrgent, with.refusedWhileFree)
		}
	}
}

// Guards against refusals under ordinary load.
func TestOrdinaryLoadIsAccepted(t *testing.T) {
	for seed := range uint64(5) {
		p := newPlay(seed, true)
		p.run(30*time.Second, 0.95)
		if r := p.result(); r.refused > 0 {
			t.Errorf("seed %d: %d of %d jobs were refused", seed, r.refused, r.jobs)
		}
	}
}

// Guards against refusals by an owner that has just begun: it knows what waits, but not yet at which rate work starts.
func TestNewOwnerExpectsTheWholePool(t *testing.T) {
	works := []Work{{Class: Class{Queue: "q"}, Service: "s", Priority: 1, InTime: 200 * time.Second, Late: 100 * time.Second, Scale: 1}}
	d := NewMeter().Digest(time.Unix(1_700_000_000, 0), works, map[string]Pool{"s": {CPUMilli: 1000 * testProcessors}}, nil)
	if wait, refuse := d.Refuses(Job{Queue: "q", Service: "s", TargetLatency: testTarget, SlackFactor: testSlack, Path: time.Second}, 0); refuse {
		t.Errorf("a job that waits for 300 s of work on %d processors is refused, with an expected wait of %s", testProcessors, wait)
	}
}

// Guards against refusals of teams within their shares because of the work of others that is beyond theirs.
func TestWorkBeyondSharesIsRefusedFirst(t *testing.T) {
	works := []Work{
		{Class: Class{Queue: "q"}, Service: "s", Priority: 1, InTime: 10 * time.Second, Scale: 1},
		{Class: Class{Queue: "q", Beyond: true}, Service: "s", Priority: 1, InTime: 4000 * time.Second, Scale: 1},
	}
	d := NewMeter().Digest(time.Unix(1_700_000_000, 0), works, map[string]Pool{"s": {CPUMilli: 1000 * testProcessors}}, []string{"hot"})
	for team, want := range map[string]bool{"hot": true, "other": false, "": false} {
		j := Job{Queue: "q", Service: "s", Team: team, TargetLatency: testTarget, SlackFactor: testSlack, Path: time.Second}
		if _, refuse := d.Refuses(j, 0); refuse != want {
			t.Errorf("team %q is refused: %v, want %v", team, refuse, want)
		}
	}
}
