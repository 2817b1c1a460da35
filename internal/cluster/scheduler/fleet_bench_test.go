package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// fleetSimulation simulates a fleet of 1,100 workers that runs short urgent jobs, wide batch jobs and gangs. All of them need
// advice of the policy service; each host has one advice request in flight at a time.
type fleetSimulation struct {
	*simulation
	random  *rand.Rand
	answers []pendingAnswer
	hosts   int
	jobs    int
}

// pendingAnswer is an answer of the policy service that has not arrived yet.
type pendingAnswer struct {
	due    time.Duration
	result AdviceResult
}

// jobClass describes a kind of jobs in the simulated load.
type jobClass struct {
	queue         queues.Queue
	jobsPerSecond float64
	meanTasks     int
	cpu           int64
	gang          bool
	meanDuration  time.Duration
	approvalShare float64
	advice        queues.PolicyService
}

func fleetJobClasses() []jobClass {
	queue := func(name string, priority int, slack float64, target time.Duration) queues.Queue {
		return queues.Queue{Name: name, Service: testService, MaxAttempts: 3, SlackFactor: slack, TargetLatency: target, Priority: priority}
	}
	validity := 1500 * time.Millisecond
	return []jobClass{
		{queue("preview", 0, 1.5, 250*time.Millisecond), 140, 4, 7800, false, 680 * time.Millisecond, 0.7,
			queues.PolicyService{Base: 14 * time.Millisecond, PerWorker: 200 * time.Microsecond, Validity: validity}},
		{queue("check", 2, 4, 3*time.Second), 11, 60, 5500, false, 2300 * time.Millisecond, 0.45,
			queues.PolicyService{Base: 180 * time.Millisecond, PerWorker: 2600 * time.Microsecond, Validity: validity}},
		{queue("batch", 1, 2.2, time.Second), 6.5, 36, 9000, true, 5300 * time.Millisecond, 0.3,
			queues.PolicyService{Base: 640 * time.Millisecond, PerWorker: 9100 * time.Microsecond, Validity: validity}},
	}
}

func newFleetSimulation(workers int) *fleetSimulation {
	random := rand.New(rand.NewPCG(1, 2))
	l := &fleetSimulation{random: random, hosts: 140}
	meanDuration := map[string]time.Duration{}
	for _, c := range fleetJobClasses() {
		meanDuration[c.queue.Name] = c.meanDuration
	}
	l.simulation = newSimulation(0, func(s Start) time.Duration {
		return time.Duration(float64(meanDuration[s.Queue]) * (0.5 + random.Float64()))
	})
	for i := range workers {
		id := fmt.Sprintf("i-%08x", i)
		l.UpsertWorker(t0, WorkerInfo{ID: id, Service: testService, Address: id, Rack: fmt.Sprintf("r%d", i/20),
			Capacity: workload.Resources{CPUMilli: 32_000, MemoryMB: 64_000}, Incarnation: 1})
		l.report(id, t0)
	}
	return l
}

// addJobs adds the jobs that arrive during one simulation step, at load times the normal rate.
func (l *fleetSimulation) addJobs(load float64) {
	for _, c := range fleetJobClasses() {
		for n := load * c.jobsPerSecond * simulationStep.Seconds(); n > 0 && l.random.Float64() < n; n-- {
			l.jobs++
			step := workload.Step{Count: 1 + l.random.IntN(2*c.meanTasks-1), Gang: c.gang, Estimate: c.meanDuration,
				Resources: workload.Resources{CPUMilli: c.cpu, MemoryMB: 10_000}}
			spec := l.job(fmt.Sprintf("%016x", l.jobs), at(l.now), step)
			spec.Queue = c.queue
			spec.Queue.PolicyService = &c.advice
			l.AddJob(at(l.now), spec, nil, false)
		}
	}
}

// answerQuestions applies the answers that are due and sends new advice requests from the hosts that are free.
func (l *fleetSimulation) answerQuestions() {
	now := at(l.now)
	var later []pendingAnswer
	for _, a := range l.answers {
		if a.due > l.now {
			later = append(later, a)
			continue
		}
		l.HandleAdvice(now, a.result)
	}
	l.answers = later
	approvalShare := map[string]float64{}
	for _, c := range fleetJobClasses() {
		approvalShare[c.queue.Name] = c.approvalShare
	}
	for len(l.answers) < l.hosts {
		q, ok := l.NextAdviceRequest(now, true)
		if !ok {
			return
		}
		r := AdviceResult{Step: q.Step, RequestedWorkers: q.Workers, Validity: 1500 * time.Millisecond}
		for _, w := range q.Workers {
			if l.random.Float64() < approvalShare[q.Queue] {
				r.Approved = append(r.Approved, Approval{Worker: w, Ticket: "t"})
			}
		}
		l.answers = append(l.answers, pendingAnswer{l.now + q.ExpectedDuration, r})
	}
}

// simulate runs the simulation until the given time.
func (l *fleetSimulation) simulate(until time.Duration, load float64) {
	for l.now < until {
		l.addJobs(load)
		l.step()
		l.answerQuestions()
	}
}

// BenchmarkFleetSimulation measures the cost of scheduling 1,100 workers: one operation is one second of simulated load.
func BenchmarkFleetSimulation(b *testing.B) {
	for _, load := range []float64{1, 1.5} {
		b.Run(fmt.Sprintf("load %.1f", load), func(b *testing.B) {
			l := newFleetSimulation(1100)
			l.simulate(5*time.Second, load)
			for b.Loop() {
				l.simulate(l.now+time.Second, load)
			}
			b.ReportMetric(float64(len(l.starts))/l.now.Seconds(), "starts/s")
			u := l.Usage(at(l.now))
			b.ReportMetric(float64(u.Used.CPUMilli)/float64(u.Capacity.CPUMilli), "used")
		})
	}
}
