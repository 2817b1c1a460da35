package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/interference"
	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

const (
	poolTick       = 50 * time.Millisecond
	reportTicks    = 12 // a worker reports every 0.6 s, and when a run ends
	slowedKind     = "slowed"
	disturbingKind = "disturbing"
)

// sharedPool simulates workers on which tasks of the disturbing kind slow those of the slowed kind down.
type sharedPool struct {
	*fixture
	random   *rand.Rand
	slowdown float64
	ticks    int
	jobs     int
	began    map[string]time.Duration // by job: arrival, then its first start
	runs     []*sharedRun
	waits    map[string][]time.Duration // by image
	took     map[string][]time.Duration
}

type sharedRun struct {
	start        Start
	image        string
	cpu          int64
	began        time.Duration
	length, done time.Duration
}

func newSharedPool(seed uint64, workers int, aware bool, slowdown float64) *sharedPool {
	p := &sharedPool{fixture: newFixture(1, workers), random: rand.New(rand.NewPCG(seed, 1)), slowdown: slowdown,
		began: map[string]time.Duration{}, waits: map[string][]time.Duration{}, took: map[string][]time.Duration{}}
	if aware {
		p.interference = interference.New()
	}
	return p
}

func (p *sharedPool) now() time.Duration { return time.Duration(p.ticks) * poolTick }

// submit adds a job of one step.
func (p *sharedPool) submit(image string, count int, cpu int64, gang bool) {
	p.jobs++
	id := fmt.Sprintf("%s-%d", image, p.jobs)
	step := workload.Step{Count: count, Resources: workload.Resources{CPUMilli: cpu}, Estimate: 3 * time.Second, Image: image, Gang: gang}
	p.began[id] = p.now()
	p.AddJob(at(p.now()), p.job(id, at(p.now()), step), nil, false)
}

// run simulates the pool until the time. Each kind gets a job of one task so many times a second.
func (p *sharedPool) run(until time.Duration, jobsPerSecond float64) {
	for p.now() < until {
		p.ticks++
		for _, image := range []string{slowedKind, disturbingKind, "other"} {
			if p.random.Float64() < jobsPerSecond*poolTick.Seconds() {
				p.submit(image, 1, 500*int64(2+p.random.IntN(5)), false)
			}
		}
		p.advance()
		for i, w := range p.sortedWorkers {
			if (p.ticks+i)%reportTicks == 0 {
				p.report(w.info.ID, at(p.now()))
			}
		}
		for _, s := range p.plan(at(p.now())).Starts {
			step := p.stepOf(s)
			length := time.Duration(float64(time.Second) * (1 + 5*p.random.Float64()))
			p.runs = append(p.runs, &sharedRun{s, step.Image, step.Resources.CPUMilli, p.now(), length, 0})
			p.waits[step.Image] = append(p.waits[step.Image], p.now()-p.began[s.Task.Job])
		}
	}
}

func (p *sharedPool) stepOf(s Start) workload.Step {
	return p.Scheduler.jobs[s.Task.Job].spec.Steps[s.Task.Step]
}

// advance advances the runs by one tick, and reports those that have ended.
func (p *sharedPool) advance() {
	disturbed := map[string]bool{}
	for _, r := range p.runs {
		disturbed[r.start.Worker.ID] = disturbed[r.start.Worker.ID] || r.image == disturbingKind
	}
	left := p.runs[:0]
	for _, r := range p.runs {
		speed := 1.0
		if r.image == slowedKind && disturbed[r.start.Worker.ID] {
			speed = 1 / p.slowdown
		}
		r.done += time.Duration(float64(poolTick) * speed)
		if r.done >= r.length {
			p.end(r.start, EndDone, at(p.now()))
			p.ended[r.start.Worker.ID] = nil
			p.took[r.image] = append(p.took[r.image], time.Duration(float64(p.now()-r.began)/r.length.Seconds()))
			continue
		}
		left = append(left, r)
		for i, a := range p.active[r.start.Worker.ID] {
			if a.Task == r.start.Task {
				p.active[r.start.Worker.ID][i].Percent = int(100 * r.done / r.length)
			}
		}
	}
	p.runs = left
}

func mean(values []time.Duration) time.Duration {
	total := time.Duration(0)
	for _, v := range values {
		total += v
	}
	return total / time.Duration(max(len(values), 1))
}

// Guards against interference that callers pay for although there is room, and against a feature that costs more than it gains.
func TestInterferingTasksArePlacedApart(t *testing.T) {
	const learned, end = 60 * time.Second, 240 * time.Second
	Convey("In a half-empty pool, tasks that are slowed down by 1.6 beside others take less time than without the feature", t, func() {
		results := map[bool]time.Duration{}
		var aware *sharedPool
		for _, on := range []bool{false, true} {
			p := newSharedPool(1, 12, on, 1.6)
			p.run(learned, 2.3)
			first := len(p.took[slowedKind])
			p.run(end, 2.3)
			results[on] = mean(p.took[slowedKind][first:])
			So(mean(p.waits[slowedKind]), ShouldBeLessThan, 20*time.Millisecond)
			if on {
				aware = p
				t.Logf("learned from at most %d runs", first)
			}
		}
		t.Logf("mean duration per second of work: %s without, %s with", results[false], results[true])
		So(results[true]-time.Second, ShouldBeLessThan, (results[false]-time.Second)/3)
		So(aware.interference.Dump(at(end)).Pairs[0].Apart, ShouldBeTrue)
		Convey("A successor that restores the stored model places them apart from the start", func() {
			data, err := aware.interference.Encode(at(end))
			So(err, ShouldBeNil)
			p := newSharedPool(2, 12, true, 1.6)
			So(p.interference.Restore(data, t0), ShouldBeNil)
			p.run(60*time.Second, 2.3)
			So(mean(p.took[slowedKind])-time.Second, ShouldBeLessThan, (results[false]-time.Second)/3)
		})
	})
	Convey("Without interference, placements are the same with the feature and without it", t, func() {
		off, on := newSharedPool(3, 12, false, 1), newSharedPool(3, 12, true, 1)
		off.run(120*time.Second, 2.3)
		on.run(120*time.Second, 2.3)
		So(on.starts, ShouldResemble, off.starts)
	})
}

// Guards against a separation that leaves tasks waiting, or breaks up the room that wide gangs need, in a pool that is nearly full.
func TestSeparationDelaysNothingInAFullPool(t *testing.T) {
	Convey("In a pool that is nearly full, neither single tasks nor wide gangs wait longer than without the feature", t, func() {
		waits := map[bool]map[string]time.Duration{false: {}, true: {}}
		for _, on := range []bool{false, true} {
			single, gang := time.Duration(0), time.Duration(0)
			for seed := range uint64(3) {
				p := newSharedPool(seed, 12, on, 1.6)
				for s := time.Duration(0); s < 120*time.Second; s += 10 * time.Second {
					p.submit("wide", 10, 4000, true)
					p.run(s+10*time.Second, 3.6)
				}
				single += mean(append(p.waits[slowedKind], p.waits[disturbingKind]...))
				gang += mean(p.waits["wide"])
			}
			waits[on]["single"], waits[on]["gang"] = single/3, gang/3
		}
		t.Logf("mean waits without %v, with %v", waits[false], waits[true])
		for kind, without := range waits[false] {
			So(waits[true][kind], ShouldBeLessThanOrEqualTo, without+without/10)
		}
	})
	Convey("A task starts beside a harmful neighbour if no other worker has room", t, func() {
		p := newSharedPool(1, 2, true, 1.6)
		p.run(60*time.Second, 0.6)
		So(p.interference.Stats().PairsApart, ShouldBeGreaterThan, 0)
		p.submit(disturbingKind, 2, 8000, false)
		p.run(p.now()+20*time.Second, 0)
		p.submit(disturbingKind, 2, 8000, false)
		p.run(p.now()+poolTick, 0)
		p.submit(slowedKind, 1, 2000, false)
		before := len(p.starts)
		p.run(p.now()+poolTick, 0)
		So(p.starts[before:], ShouldHaveLength, 1)
	})
}

// Guards against approvals for workers on which the tasks would be slowed down, although others have the same room.
func TestAdviceRequestPrefersWorkersWithoutHarmfulNeighbours(t *testing.T) {
	Convey("Given tasks on half of the workers from which the tasks of a step are kept apart", t, func() {
		p := newSharedPool(1, 40, true, 1.6)
		p.AddJob(t0, p.job("there", t0, workload.Step{Count: 40, MaxPerWorker: 1, Image: "other", Resources: workload.Resources{CPUMilli: 1000}}), nil, false)
		p.plan(t0)
		So(p.interference.Restore([]byte(pairApart), t0), ShouldBeNil)
		for i, w := range p.sortedWorkers {
			if i%2 == 0 {
				w.kinds |= p.interference.Kind("image disturbing", t0).Bit()
			}
		}
		p.queue.PolicyService = &queues.PolicyService{Base: time.Millisecond, PerWorker: time.Millisecond, Validity: time.Second}
		p.submit(slowedKind, 1, 2000, false)
		p.plan(t0)
		for _, r := range p.nextAdviceRequests(t0) {
			So(r.Workers, ShouldNotBeEmpty)
			for _, id := range r.Workers {
				So(p.workers[id].kinds&p.interference.Kind("image disturbing", t0).Bit(), ShouldEqual, 0)
			}
		}
	})
}

// pairApart is a stored model with one pair.
var pairApart = fmt.Sprintf(`{"v":1,"at":%d,"kinds":[{"n":"image slowed"},{"n":"image disturbing"}],"pairs":[{"k":0,"by":1,"m":470,"s":20,"c":20}]}`, t0.UnixMilli())

// BenchmarkBestFit measures the choice among 350 workers with ten runs each: without the feature, with a kind that harms nobody, and with
// one that is kept apart from the tasks on every other worker.
func BenchmarkBestFit(b *testing.B) {
	for _, image := range []string{"", "harmless", slowedKind} {
		b.Run("kind "+image, func(b *testing.B) {
			p := newSharedPool(1, 350, image != "", 1.6)
			for _, kind := range []string{"other", disturbingKind} {
				p.AddJob(t0, p.job(kind, t0, workload.Step{Count: 350 * 5, MaxPerWorker: 10, Image: kind, Resources: workload.Resources{CPUMilli: 900}}), nil, false)
				p.plan(t0)
			}
			if image != "" {
				if err := p.interference.Restore([]byte(pairApart), t0); err != nil {
					b.Fatal(err)
				}
			}
			p.AddJob(t0, p.job("waits", t0, workload.Step{Count: 1, Image: image, Resources: workload.Resources{CPUMilli: 900}}), nil, false)
			u := p.Scheduler.jobs["waits"].occurrences[0].units[0]
			p.identifyKind(u, t0)
			for b.Loop() {
				bestFit(u.tasks.peek(0), p.sortedWorkers, t0)
			}
		})
	}
}
