package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// largeDay is the load of a fleet of 1,100 workers: short urgent jobs, wide batch jobs and gangs, whose workers a policy
// service approves. Each host asks it one question at a time.
type largeDay struct {
	*day
	random  *rand.Rand
	answers []dayAnswer
	hosts   int
	jobs    int
}

type dayAnswer struct {
	due    time.Duration
	result AdviceResult
}

type dayClass struct {
	queue  queues.Queue
	perS   float64
	width  int
	cpu    int64
	gang   bool
	work   time.Duration
	good   float64
	advice queues.Advice
}

func largeClasses() []dayClass {
	queue := func(name string, priority int, slack float64, target time.Duration) queues.Queue {
		return queues.Queue{Name: name, Service: testService, MaxAttempts: 3, SlackFactor: slack, TargetLatency: target, Priority: priority}
	}
	validity := 1500 * time.Millisecond
	return []dayClass{
		{queue("preview", 0, 1.5, 250*time.Millisecond), 140, 4, 7800, false, 680 * time.Millisecond, 0.7,
			queues.Advice{Base: 14 * time.Millisecond, PerWorker: 200 * time.Microsecond, Validity: validity}},
		{queue("check", 2, 4, 3*time.Second), 11, 60, 5500, false, 2300 * time.Millisecond, 0.45,
			queues.Advice{Base: 180 * time.Millisecond, PerWorker: 2600 * time.Microsecond, Validity: validity}},
		{queue("batch", 1, 2.2, time.Second), 6.5, 36, 9000, true, 5300 * time.Millisecond, 0.3,
			queues.Advice{Base: 640 * time.Millisecond, PerWorker: 9100 * time.Microsecond, Validity: validity}},
	}
}

func newLargeDay(workers int) *largeDay {
	random := rand.New(rand.NewPCG(1, 2))
	l := &largeDay{random: random, hosts: 140}
	work := map[string]time.Duration{}
	for _, c := range largeClasses() {
		work[c.queue.Name] = c.work
	}
	l.day = newDay(0, func(s Start) time.Duration {
		return time.Duration(float64(work[s.Queue]) * (0.5 + random.Float64()))
	})
	for i := range workers {
		id := fmt.Sprintf("i-%08x", i)
		l.UpsertWorker(t0, WorkerInfo{ID: id, Service: testService, Address: id, Rack: fmt.Sprintf("r%d", i/20),
			Capacity: workload.Resources{CPUMilli: 32_000, MemoryMB: 64_000}, Born: 1})
		l.report(id, t0)
	}
	return l
}

// arrive adds the jobs of one step of time.
func (l *largeDay) arrive(load float64) {
	for _, c := range largeClasses() {
		for n := load * c.perS * dayStep.Seconds(); n > 0 && l.random.Float64() < n; n-- {
			l.jobs++
			step := workload.Step{Count: 1 + l.random.IntN(2*c.width-1), Gang: c.gang, Estimate: c.work,
				Resources: workload.Resources{CPUMilli: c.cpu, MemoryMB: 10_000}}
			spec := l.job(fmt.Sprintf("%016x", l.jobs), at(l.now), step)
			spec.Queue = c.queue
			spec.Queue.Advice = &c.advice
			l.AddJob(at(l.now), spec, nil, false)
		}
	}
}

// advise answers the questions that are due and asks others on the hosts that are free.
func (l *largeDay) advise() {
	now := at(l.now)
	var later []dayAnswer
	for _, a := range l.answers {
		if a.due > l.now {
			later = append(later, a)
			continue
		}
		l.AdviceDone(now, a.result)
	}
	l.answers = later
	good := map[string]float64{}
	for _, c := range largeClasses() {
		good[c.queue.Name] = c.good
	}
	for len(l.answers) < l.hosts {
		q, ok := l.NextQuestion(now, true)
		if !ok {
			return
		}
		r := AdviceResult{Step: q.Step, Asked: q.Workers, Validity: 1500 * time.Millisecond}
		for _, w := range q.Workers {
			if l.random.Float64() < good[q.Queue] {
				r.Approved = append(r.Approved, Approval{Worker: w, Ticket: "t"})
			}
		}
		l.answers = append(l.answers, dayAnswer{l.now + q.Cost, r})
	}
}

func (l *largeDay) play(until time.Duration, load float64) {
	for l.now < until {
		l.arrive(load)
		l.step()
		l.advise()
	}
}

// BenchmarkLargeDay shows what the decisions for 1,100 workers cost: one operation is a second of the load.
func BenchmarkLargeDay(b *testing.B) {
	for _, load := range []float64{1, 1.5} {
		b.Run(fmt.Sprintf("load %.1f", load), func(b *testing.B) {
			l := newLargeDay(1100)
			l.play(5*time.Second, load)
			for b.Loop() {
				l.play(l.now+time.Second, load)
			}
			b.ReportMetric(float64(len(l.starts))/l.now.Seconds(), "starts/s")
			u := l.Usage(at(l.now))
			b.ReportMetric(float64(u.Used.CPUMilli)/float64(u.Capacity.CPUMilli), "used")
		})
	}
}
