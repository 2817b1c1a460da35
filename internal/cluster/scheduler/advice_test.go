package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
)

func newAdviceFixture() *fixture {
	f := newFixture(1, 3)
	f.queue.PolicyService = &queues.PolicyService{Base: 10 * time.Millisecond, PerWorker: time.Millisecond, Validity: 2 * time.Second}
	return f
}

// Guards against starts on workers that the policy service has not approved, or with an expired ticket.
func TestTickets(t *testing.T) {
	Convey("Given a step that needs advice", t, func() {
		f := newAdviceFixture()
		f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, false)
		p := f.plan(t0)
		So(p.Starts, ShouldBeEmpty)
		requests := f.nextAdviceRequests(t0)
		So(requests, ShouldHaveLength, 1)
		f.plan(at(10 * time.Millisecond))
		So(f.nextAdviceRequests(at(10*time.Millisecond)), ShouldBeEmpty)
		answer := AdviceResult{Step: requests[0].Step, RequestedWorkers: requests[0].Workers, Approved: []Approval{{"w1", "t"}}, Validity: 2 * time.Second}
		Convey("It starts on an approved worker with the ticket", func() {
			f.HandleAdvice(at(20*time.Millisecond), answer)
			starts := f.plan(at(30 * time.Millisecond)).Starts
			So(starts, ShouldHaveLength, 1)
			So(starts[0].Worker.ID, ShouldEqual, "w1")
			So(starts[0].Ticket, ShouldEqual, "t")
		})
		Convey("An expired unused ticket is requested again, and only for workers that were not denied", func() {
			f.MarkUnreachable(at(20*time.Millisecond), "w1", at(5*time.Second))
			f.HandleAdvice(at(20*time.Millisecond), answer)
			So(f.plan(at(30*time.Millisecond)).Starts, ShouldBeEmpty)
			f.report("w1", at(3*time.Second))
			p := f.plan(at(3 * time.Second))
			So(p.Starts, ShouldBeEmpty)
			requests := f.nextAdviceRequests(at(3 * time.Second))
			So(requests, ShouldHaveLength, 1)
			So(requests[0].Workers, ShouldResemble, []string{"w1"})
		})
		Convey("A failed call is retried after a delay", func() {
			f.HandleAdvice(at(20*time.Millisecond), AdviceResult{Step: requests[0].Step, Failed: true})
			f.plan(at(30 * time.Millisecond))
			So(f.nextAdviceRequests(at(30*time.Millisecond)), ShouldBeEmpty)
			f.plan(at(30*time.Millisecond + adviceRetryDelay))
			So(f.nextAdviceRequests(at(30*time.Millisecond+adviceRetryDelay)), ShouldHaveLength, 1)
		})
	})
}

// Guards against advice requests of late steps that delay those of steps that can still meet their objective, when there are
// more requests than the policy service can answer.
func TestLateStepsAskPolicyServiceLast(t *testing.T) {
	Convey("Given a late step and one that is not, the late one asks last", t, func() {
		f := newAdviceFixture()
		now := at(time.Minute)
		f.AddJob(now, f.job("late", t0, simpleStep(1)), nil, false)
		f.AddJob(now, f.job("fresh", now, simpleStep(1)), nil, false)
		f.plan(now)
		advice := f.nextAdviceRequests(now)
		So(advice, ShouldHaveLength, 2)
		So(advice[0].Step.Job, ShouldEqual, "fresh")
	})
	Convey("A late step sends no request while there is no room", t, func() {
		f := newAdviceFixture()
		f.queue.PolicyService = nil
		f.AddJob(t0, f.job("full", t0, simpleStep(15)), nil, false)
		So(f.plan(t0).Starts, ShouldHaveLength, 15)
		f.queue = newAdviceFixture().queue
		now := at(2 * time.Second)
		f.AddJob(now, f.job("late", t0.Add(-time.Minute), simpleStep(1)), nil, false)
		f.plan(now)
		So(f.nextAdviceRequests(now), ShouldBeEmpty)
	})
}

// Guards against advice requests that name workers which were filled after the step began to wait: the answers would be
// useless. In an overload more steps wait than hosts can ask, so most requests wait for a host.
func TestAdviceRequestNamesWorkersWithFreeCapacity(t *testing.T) {
	Convey("Given a step that waits for a host to send its advice request", t, func() {
		f := newAdviceFixture()
		f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, false)
		f.plan(t0)
		Convey("When all workers but one are filled meanwhile, the request names the one with free capacity first", func() {
			f.queue.PolicyService = nil
			f.AddJob(t0, f.job("full", t0, simpleStep(10)), nil, false)
			So(f.PlanChanged(t0).Starts, ShouldBeEmpty)
			f.commit()
			filled := map[string]bool{}
			for _, s := range f.PlanChanged(t0).Starts {
				filled[s.Worker.ID] = true
			}
			So(filled, ShouldHaveLength, 2)
			requests := f.nextAdviceRequests(t0)
			So(requests, ShouldHaveLength, 1)
			So(filled[requests[0].Workers[0]], ShouldBeFalse)
		})
		Convey("When its job is cancelled, no request is sent", func() {
			f.Cancel(t0, "j")
			So(f.nextAdviceRequests(t0), ShouldBeEmpty)
		})
	})
}

// BenchmarkNextQuestionUnderOverload measures the cost of planning and of one advice request while more than a thousand
// steps wait for the policy service, as after an outage. Since each answer triggers the next request, its cost must not grow
// with the number of waiting steps.
func BenchmarkNextQuestionUnderOverload(b *testing.B) {
	f := newFixture(1, 350)
	f.queue.PolicyService = &queues.PolicyService{Base: 10 * time.Millisecond, PerWorker: time.Millisecond, Validity: 2 * time.Second}
	for i := range 1300 {
		f.AddJob(t0, f.job(fmt.Sprint(i), t0, simpleStep(3)), nil, false)
	}
	f.plan(t0)
	b.Run("plan", func(b *testing.B) {
		for b.Loop() {
			f.Plan(t0)
		}
	})
	b.Run("advice request", func(b *testing.B) {
		for b.Loop() {
			if r := f.NextAdviceRequests(t0, 1, 1); len(r) > 0 {
				f.HandleAdvice(t0, AdviceResult{Step: r[0].Step, Failed: true})
				continue
			}
			b.StopTimer()
			f.Plan(t0.Add(time.Second))
			b.StartTimer()
		}
	})
}

// Guards against gangs that send request after request, because each answer yields too few places for the whole gang and
// the tickets of the previous answer expire meanwhile. The gangs run beside other work; the policy service approves three
// workers in ten, and a call takes a second.
func TestGangsRarelyAskTwice(t *testing.T) {
	Convey("Given gangs of ten and workers with room for two or three members each", t, func() {
		random := rand.New(rand.NewPCG(7, 7))
		f := newFixture(1, 100)
		for _, w := range f.workers {
			w.used.CPUMilli = 4000 + 2000*random.Int64N(2)
		}
		f.queue.PolicyService = &queues.PolicyService{Base: 700 * time.Millisecond, PerWorker: 10 * time.Millisecond, Validity: 1500 * time.Millisecond}
		gang := simpleStep(10)
		gang.Gang = true
		const gangs = 20
		asked, started := 0, 0
		for i := range gangs {
			now := at(time.Duration(i) * time.Minute)
			f.AddJob(now, f.job(fmt.Sprint(i), now, gang), nil, false)
			for range 10 {
				f.plan(now)
				requests := f.nextAdviceRequests(now)
				if len(requests) == 0 {
					break
				}
				asked++
				now = now.Add(requests[0].ExpectedDuration)
				f.HandleAdvice(now, approve(requests[0], random, 0.3))
			}
			starts := f.plan(now).Starts
			if starts = append(starts, f.starts...); len(starts) > 0 {
				started++
			}
			for _, s := range f.starts {
				f.end(s, EndDone, now)
			}
			f.starts = nil
			f.persist()
		}
		Convey("Every gang starts, four in five of them after a single call", func() {
			So(started, ShouldEqual, gangs)
			So(asked, ShouldBeLessThanOrEqualTo, gangs+gangs/5)
		})
	})
}

// approve answers an advice request by approving a random share of its workers.
func approve(r AdviceRequest, random *rand.Rand, share float64) AdviceResult {
	a := AdviceResult{Step: r.Step, RequestedWorkers: r.Workers, Validity: 1500 * time.Millisecond}
	for _, w := range r.Workers {
		if random.Float64() < share {
			a.Approved = append(a.Approved, Approval{w, "t"})
		}
	}
	return a
}

// Guards against concurrent gangs that all ask for the workers with the most free capacity and find them filled by each
// other. Together the gangs need more than half of the free capacity, and an answer takes a second.
func TestConcurrentGangsAskForDifferentWorkers(t *testing.T) {
	Convey("Given sixteen gangs of ten and 200 places, two on each worker", t, func() {
		const gangs, step = 16, 100 * time.Millisecond
		random := rand.New(rand.NewPCG(3, 3))
		f := newFixture(1, 100)
		for _, w := range f.workers {
			w.used.CPUMilli = 6000
		}
		f.queue.PolicyService = &queues.PolicyService{Base: 700 * time.Millisecond, PerWorker: 10 * time.Millisecond, Validity: 1500 * time.Millisecond}
		f.queue.SlackFactor = 100
		gang := simpleStep(10)
		gang.Gang = true
		for i := range gangs {
			f.AddJob(t0, f.job(fmt.Sprint(i), t0, gang), nil, false)
		}
		approved := map[string]bool{} // by step and worker: what the policy service always answers
		asked, started := 0, 0
		inFlight := map[time.Duration][]AdviceRequest{}
		for now := time.Duration(0); now < 10*time.Second; now += step {
			for _, r := range inFlight[now] {
				a := AdviceResult{Step: r.Step, RequestedWorkers: r.Workers, Validity: 1500 * time.Millisecond}
				for _, w := range r.Workers {
					key := r.Step.Job + w
					if _, decided := approved[key]; !decided {
						approved[key] = random.Float64() < 0.3
					}
					if approved[key] {
						a.Approved = append(a.Approved, Approval{w, "t"})
					}
				}
				f.HandleAdvice(at(now), a)
			}
			started += len(f.plan(at(now)).Starts)
			for _, r := range f.nextAdviceRequests(at(now)) {
				asked++
				due := now + r.ExpectedDuration.Round(step)
				inFlight[due] = append(inFlight[due], r)
			}
		}
		Convey("All start, four in five of them after a single request", func() {
			So(started, ShouldEqual, gangs*10)
			So(asked, ShouldBeLessThanOrEqualTo, gangs+gangs/5)
		})
	})
}

// Guards against capacity that stays idle while the advice request of a gang is in flight, because the gang asks only once
// the capacity is free. The pool is full, and the request takes as long as a third of a task.
func TestGangAsksBeforeRunningTasksEnd(t *testing.T) {
	Convey("Given a full pool, and a gang that needs all of it", t, func() {
		f := newFixture(1, 10)
		f.AddJob(t0, f.job("full", t0, simpleStep(50)), nil, false)
		So(f.plan(t0).Starts, ShouldHaveLength, 50)
		f.queue.PolicyService = &queues.PolicyService{Base: 700 * time.Millisecond, PerWorker: 10 * time.Millisecond, Validity: 1500 * time.Millisecond}
		f.approvalCounts["q"] = &approvalCount{asked: 100, approved: 100}
		gang := simpleStep(50)
		gang.Gang = true
		progress := func(now time.Duration, percent int) {
			for id := range f.active {
				for i := range f.active[id] {
					f.active[id][i].Percent = percent
				}
				f.report(id, at(now))
			}
		}
		progress(time.Second, 10)
		f.AddJob(at(time.Second), f.job("gang", at(time.Second), gang), nil, false)
		Convey("It does not ask while the running tasks still have long to run", func() {
			progress(2*time.Second, 30)
			f.plan(at(2 * time.Second))
			So(f.nextAdviceRequests(at(2*time.Second)), ShouldBeEmpty)
		})
		Convey("It asks when the running tasks are about to end", func() {
			progress(4*time.Second, 85)
			f.plan(at(4 * time.Second))
			So(f.nextAdviceRequests(at(4*time.Second)), ShouldHaveLength, 1)
		})
	})
}
