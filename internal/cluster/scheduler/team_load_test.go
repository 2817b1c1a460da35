package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// teamLoad is what one team sends.
type teamLoad struct {
	name    string
	weight  float64
	rate    func(now time.Duration) float64 // jobs per second
	classes []teamClass                     // chosen at random with equal probability
}

// teamClass is a kind of jobs that teams send.
type teamClass struct {
	queue    queues.Queue
	tasks    int
	cpu      int64
	gang     bool
	duration time.Duration
}

// teamSimulation plays what teams send on workers with 10 cores each.
type teamSimulation struct {
	*simulation
	random    *rand.Rand
	loads     []teamLoad
	jobs      int
	arrivals  []teamArrival
	durations map[string]time.Duration // of the tasks, by job
}

// teamArrival is a job of the load.
type teamArrival struct {
	id, team    string
	at          time.Duration
	latestStart time.Duration
}

func newTeamSimulation(seed uint64, workers int, loads []teamLoad) *teamSimulation {
	l := &teamSimulation{random: rand.New(rand.NewPCG(seed, 7)), loads: loads, durations: map[string]time.Duration{}}
	l.simulation = newSimulation(workers, func(s Start) time.Duration { return l.durations[s.Task.Job] })
	c := &queues.Config{}
	for _, t := range loads {
		c.Teams = append(c.Teams, queues.Team{Name: t.name, Weight: t.weight})
	}
	l.SetQueues(c)
	return l
}

// play plays the load until the given time. Durations of tasks are between half and one and a half times those of their class.
func (l *teamSimulation) play(until time.Duration) {
	l.run(until, func(now time.Duration) {
		for _, t := range l.loads {
			for n := t.rate(now) * simulationStep.Seconds(); n > 0 && l.random.Float64() < n; n-- {
				l.send(t, t.classes[l.random.IntN(len(t.classes))])
			}
		}
	})
}

func (l *teamSimulation) send(t teamLoad, c teamClass) {
	l.jobs++
	step := workload.Step{Count: c.tasks, Gang: c.gang, Estimate: c.duration, Resources: workload.Resources{CPUMilli: c.cpu, MemoryMB: 100}}
	spec := l.job(fmt.Sprintf("%08x", l.jobs), at(l.now), step)
	spec.Queue, spec.Team = c.queue, t.name
	l.durations[spec.ID] = time.Duration((0.5 + l.random.Float64()) * float64(c.duration))
	l.AddJob(at(l.now), spec, nil, false)
	slack := time.Duration((c.queue.SlackFactor - 1) * float64(c.duration))
	l.arrivals = append(l.arrivals, teamArrival{spec.ID, t.name, l.now, l.now + c.queue.TargetLatency + slack})
}

// inTime returns, by team, the share of the jobs that arrived in the span and whose first task started by their latest start.
func (l *teamSimulation) inTime(from, until time.Duration) map[string]float64 {
	total, inTime := map[string]float64{}, map[string]float64{}
	for _, a := range l.arrivals {
		if a.at < from || a.at >= until {
			continue
		}
		total[a.team]++
		if started, ok := l.started[a.id]; ok && started <= a.latestStart {
			inTime[a.team]++
		}
	}
	for team, n := range total {
		inTime[team] /= n
	}
	return inTime
}

// worstBut returns the lowest share, and the mean of all, of the teams except one.
func worstBut(inTime map[string]float64, left string) (worst, mean float64) {
	worst = 1
	for team, share := range inTime {
		if team != left {
			worst = min(worst, share)
			mean += share / float64(len(inTime)-1)
		}
	}
	return worst, mean
}

var (
	shortQueue = loadQueue("short", 0, 1.5, 250*time.Millisecond)
	stepQueue  = loadQueue("steps", 1, 3, time.Second)
)

// hotTeam is the name of the team that sends too much.
const hotTeam = "hot"

// dayTeams returns 20 teams as on the observed day: weights from 3 to 86, about 0.7 jobs for each job of their weight, half of them short and
// urgent, and the hot team with a weight of 38. rate gives what the hot team sends.
func dayTeams(rate func(now time.Duration) float64, hotClasses []teamClass) []teamLoad {
	usual := []teamClass{
		{shortQueue, 2, 2000, false, 300 * time.Millisecond},
		{stepQueue, 3, 2000, false, 400 * time.Millisecond},
	}
	var loads []teamLoad
	for _, weight := range []float64{3, 3, 4, 5, 5, 6, 7, 8, 9, 10, 11, 12, 14, 16, 18, 22, 28, 40, 86} {
		loads = append(loads, teamLoad{fmt.Sprintf("t%02d", len(loads)), weight, func(time.Duration) float64 { return 0.7 * weight }, usual})
	}
	return append(loads, teamLoad{hotTeam, 38, rate, hotClasses})
}

// Guards against a team that sends many times its usual load and delays the jobs of all others. Load: 20 teams that use two thirds of the
// pool; one of them sends seven times its usual rate for 6 s, most of it short and urgent.
func TestHotTeamDelaysItself(t *testing.T) {
	Convey("Given a team that sends seven times its usual rate for 6 s, the jobs of the others are in time, and as many of its own as promised", t, func() {
		const begin, end = 2 * time.Second, 8 * time.Second
		l := newTeamSimulation(1, 48, dayTeams(func(now time.Duration) float64 {
			if now >= begin && now < end {
				return 7 * 0.7 * 38
			}
			return 0.7 * 38
		}, []teamClass{{shortQueue, 2, 2000, false, 600 * time.Millisecond}}))
		l.play(end + 4*time.Second)
		during := l.inTime(begin, end)
		worst, mean := worstBut(during, hotTeam)
		t.Logf("in time: worst %.3f, mean %.3f, hot %.3f; after: hot %.3f", worst, mean, during[hotTeam], l.inTime(end, end+3*time.Second)[hotTeam])
		So(worst, ShouldBeGreaterThanOrEqualTo, 0.95)
		So(mean, ShouldBeGreaterThanOrEqualTo, 0.98)
		// It still gets as many jobs in time as its weight promises, and those after the burst do not wait for the backlog.
		So(during[hotTeam]*7*0.7, ShouldBeGreaterThanOrEqualTo, 0.9)
		So(l.inTime(end, end+3*time.Second)[hotTeam], ShouldBeGreaterThanOrEqualTo, 0.9)
	})
}

// burstOf returns a rate of jobs that a team sends from the second second to the eighth, and nothing otherwise.
func burstOf(rate float64) func(now time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now >= 2*time.Second && now < 8*time.Second {
			return rate
		}
		return 0
	}
}

// evenTeams returns teams with the same weight that send load jobs for each job of it.
func evenTeams(n int, weight, load float64, classes ...teamClass) []teamLoad {
	loads := make([]teamLoad, n)
	for i := range n {
		loads[i] = teamLoad{fmt.Sprintf("t%04d", i), weight, func(time.Duration) float64 { return load * weight }, classes}
	}
	return loads
}

// Guards against a team that sends no more jobs than its weight allows, but so large ones that the others are late. Loads: 20 and 2,000 teams
// that use two thirds of the pool, and one whose jobs in queues of the same priority take more than the rest, as single tasks or as gangs.
func TestLargeJobsOfATeamDelayItself(t *testing.T) {
	small := teamClass{stepQueue, 3, 2000, false, 400 * time.Millisecond}
	wide := []teamClass{{stepQueue, 14, 2000, false, 600 * time.Millisecond}}
	gangs := []teamClass{{stepQueue, 30, 2000, true, 800 * time.Millisecond}}
	for _, load := range []struct {
		name      string
		loads     []teamLoad
		mean, hot float64 // least shares of jobs in time
	}{
		{"20 teams, wide steps", dayTeams(burstOf(34), wide), 0.97, 0.1},
		{"20 teams, gangs", dayTeams(burstOf(10), gangs), 0.79, 0.2},
		{"2,000 teams, wide steps", append(evenTeams(2000, 0.25, 0.3, small), teamLoad{hotTeam, 38, burstOf(30), wide}), 0.85, 0.3},
	} {
		Convey("The jobs of the others are in time: "+load.name, t, func() {
			l := newTeamSimulation(1, 48, load.loads)
			l.play(9 * time.Second)
			in := l.inTime(2*time.Second, 8*time.Second)
			_, mean := worstBut(in, hotTeam)
			t.Logf("%s: in time: mean %.3f, hot %.3f", load.name, mean, in[hotTeam])
			So(mean, ShouldBeGreaterThanOrEqualTo, load.mean)
			So(in[hotTeam], ShouldBeGreaterThanOrEqualTo, load.hot)
		})
	}
}

// Guards against shares that destroy the order of latest starts where no team sends more than its share. Load: 20 teams with the same
// weight, which together send a third more than the pool can run, with much and little slack.
func TestSharesKeepTheOrderOfLatestStarts(t *testing.T) {
	Convey("Given teams that all send alike, with weights as many jobs are in time as without", t, func() {
		inTime := func(weight float64) float64 {
			loads := evenTeams(20, 20, 0.5, teamClass{shortQueue, 2, 2000, false, 300 * time.Millisecond}, teamClass{stepQueue, 3, 2000, false, 400 * time.Millisecond},
				teamClass{loadQueue("slack", 1, 8, 3*time.Second), 6, 2000, false, 600 * time.Millisecond})
			for i := range loads {
				loads[i].weight = weight
			}
			l := newTeamSimulation(1, 40, loads)
			l.play(9 * time.Second)
			_, mean := worstBut(l.inTime(2*time.Second, 8*time.Second), hotTeam)
			return mean
		}
		with, without := inTime(20), inTime(0)
		t.Logf("in time: with weights %.3f, without %.3f", with, without)
		So(with, ShouldBeGreaterThanOrEqualTo, without-0.02)
	})
}

// Guards against shares that depend on the order in which jobs are read, against jobs that stay beyond a share for ever, and against
// long-running tasks that wait behind other work.
func TestJobsBeyondTheShare(t *testing.T) {
	const promised = 4 // jobs per second
	add := func(f *fixture, inherited bool, order []int) {
		f.SetQueues(&queues.Config{Teams: []queues.Team{{Name: "kaje80", Weight: promised}}})
		for _, i := range order {
			f.AddJob(at(time.Second), f.teamJob(fmt.Sprint(i), "kaje80", at(time.Duration(i)*10*time.Millisecond), simpleStep(1)), nil, inherited)
		}
	}
	beyond := func(f *fixture) []string {
		var ids []string
		for id, j := range f.jobs {
			if j.beyondShare {
				ids = append(ids, id)
			}
		}
		slices.Sort(ids)
		return ids
	}
	order := []int{5, 0, 3, 1, 6, 4, 2}
	Convey("Given seven jobs of a team with a burst of four, the last three that were accepted are beyond the share, whoever reads them how", t, func() {
		f := newFixture(1, 1)
		add(f, false, order)
		f.PlanChanged(at(70 * time.Millisecond))
		So(beyond(f), ShouldResemble, []string{"4", "5", "6"})
		g := newFixture(2, 1)
		slices.Reverse(order)
		add(g, true, order)
		g.PlanChanged(at(70 * time.Millisecond))
		So(beyond(g), ShouldResemble, beyond(f))
		So(f.JobsBeyondShare(), ShouldEqual, 3)
	})
	Convey("When the team sends nothing for a while, the oldest one moves up first, and those that arrive find tokens left", t, func() {
		f := newFixture(1, 0)
		add(f, false, order)
		f.plan(at(70 * time.Millisecond))
		f.plan(at(500 * time.Millisecond))
		So(beyond(f), ShouldHaveLength, 3)
		f.plan(at(750 * time.Millisecond))
		So(beyond(f), ShouldResemble, []string{"5", "6"})
		f.AddJob(at(760*time.Millisecond), f.teamJob("next", "kaje80", at(760*time.Millisecond), simpleStep(1)), nil, false)
		f.plan(at(760 * time.Millisecond))
		So(beyond(f), ShouldResemble, []string{"5", "6"})
	})
	Convey("A long-running job is never beyond the share, and a job beyond it comes after less urgent ones", t, func() {
		f := newFixture(1, 1)
		service := simpleStep(1)
		service.LongRunning = true
		f.queue.Priority = 0
		add(f, false, []int{0, 1, 2, 3, 4})
		f.AddJob(t0, f.teamJob("service", "kaje80", at(70*time.Millisecond), service), nil, false)
		f.queue.Priority = 5
		f.AddJob(t0, f.job("least", at(80*time.Millisecond), simpleStep(1)), nil, false)
		var started []string
		for now := 90 * time.Millisecond; len(started) < 7 && now < 2*time.Second; now += 10 * time.Millisecond {
			for _, s := range f.plan(at(now)).Starts {
				started = append(started, s.Task.Job)
			}
			for _, s := range f.starts {
				if s.Task.Job == started[len(started)-1] && s.Task.Job != "service" {
					f.end(s, EndDone, at(now))
				}
			}
		}
		So(started[0], ShouldEqual, "service")
		So(slices.Index(started, "4"), ShouldBeGreaterThan, slices.Index(started, "least"))
	})
	Convey("A gang beyond the share reserves no workers and stops no runs", t, func() {
		f := newFixture(1, 2)
		f.SetQueues(&queues.Config{Teams: []queues.Team{{Name: "kaje80", Weight: 1}}})
		small := simpleStep(10)
		small.Checkpointing, small.Estimate = true, 2*time.Second
		f.queue.Priority = 2
		f.AddJob(t0, f.job("others", t0, small), nil, false)
		f.plan(t0)
		for id := range f.active {
			f.report(id, at(10*time.Millisecond))
		}
		f.queue.Priority = 1
		gang := simpleStep(4)
		gang.Gang = true
		first := gang
		first.Requirement = "nowhere"
		for i := range minShareBurst {
			f.AddJob(t0, f.teamJob(fmt.Sprintf("first-%d", i), "kaje80", at(time.Millisecond), first), nil, false)
		}
		f.AddJob(t0, f.teamJob("gang", "kaje80", at(2*time.Millisecond), gang), nil, false)
		for now := 20 * time.Millisecond; now < 800*time.Millisecond; now += 20 * time.Millisecond {
			So(f.plan(at(now)).Stops, ShouldBeEmpty)
			So(f.reservations, ShouldBeEmpty)
		}
		So(f.JobsBeyondShare(), ShouldEqual, 1)
	})
}

// Guards against a team whose bucket gets no tokens because one of its jobs was accepted by a host whose clock is ahead.
func TestBucketRefillsDespiteAcceptanceTimeInTheFuture(t *testing.T) {
	Convey("Given a team whose first job was accepted an hour ahead, its later jobs are within its share", t, func() {
		f := newFixture(1, 4)
		f.SetQueues(&queues.Config{Teams: []queues.Team{{Name: "kaje80", Weight: 4}}})
		f.AddJob(t0, f.teamJob("ahead", "kaje80", at(time.Hour), simpleStep(1)), nil, false)
		f.plan(t0)
		for i := range 5 {
			now := at(time.Duration(i+1) * 2 * time.Second)
			for k := range 3 {
				f.AddJob(now, f.teamJob(fmt.Sprintf("%d-%d", i, k), "kaje80", now, simpleStep(1)), nil, false)
			}
			f.plan(now)
			So(f.JobsBeyondShare(), ShouldEqual, 0)
		}
	})
}

// Guards against a plan that takes seconds when the operator removes the weight of a team with a long backlog beyond its share: before, 100,000
// jobs took 17.5 s.
func TestBacklogMovesUpAtOnce(t *testing.T) {
	const backlog, limit = 300_000, 5 * time.Second
	b := shareBucket{beyond: slices.Repeat([]*job{{state: workload.Queued, beyondShare: true}}, backlog)}
	began := time.Now()
	b.moveUp(t0, 0)
	if took := time.Since(began); took > limit {
		t.Errorf("%d jobs took %s", backlog, took)
	}
	if len(b.beyond) > 0 {
		t.Errorf("%d jobs stay beyond the share", len(b.beyond))
	}
}
