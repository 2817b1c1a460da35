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
	classes  []jobClass
	random   *rand.Rand
	answers  []pendingAnswer
	hosts    int
	jobs     int
	approved map[approvalKey]bool // what the policy service always answers
	arrivals []arrival
}

// arrival is a job of the load.
type arrival struct {
	id          string
	queue       string
	at          time.Duration
	latestStart time.Duration // to meet its objective if it takes as long as the jobs of its class on average
}

// approvalKey is a question to the policy service: may the step run on the worker?
type approvalKey struct {
	step   workload.StepID
	worker string
}

// pendingAnswer is an answer of the policy service that has not arrived yet.
type pendingAnswer struct {
	due    time.Duration
	long   bool
	result AdviceResult
}

// gangQueue is the queue of the gangs.
const gangQueue = "batch"

// gangRun identifies a run of a gang.
type gangRun struct {
	job string
	run int64
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
	checkpointing bool
	advice        queues.PolicyService
}

// loadQueue returns the queue of a jobClass.
func loadQueue(name string, priority int, slack float64, target time.Duration) queues.Queue {
	return queues.Queue{Name: name, Service: testService, MaxAttempts: 3, SlackFactor: slack, TargetLatency: target, Priority: priority}
}

func fleetJobClasses() []jobClass {
	validity := 1500 * time.Millisecond
	return []jobClass{
		{loadQueue("preview", 0, 1.5, 250*time.Millisecond), 140, 4, 7800, false, 680 * time.Millisecond, 0.7, false,
			queues.PolicyService{Base: 14 * time.Millisecond, PerWorker: 200 * time.Microsecond, Validity: validity}},
		{loadQueue("check", 2, 4, 3*time.Second), 11, 60, 5500, false, 2300 * time.Millisecond, 0.45, false,
			queues.PolicyService{Base: 180 * time.Millisecond, PerWorker: 2600 * time.Microsecond, Validity: validity}},
		{loadQueue(gangQueue, 1, 2.2, time.Second), 6.5, 36, 9000, true, 5300 * time.Millisecond, 0.3, false,
			queues.PolicyService{Base: 640 * time.Millisecond, PerWorker: 9100 * time.Microsecond, Validity: validity}},
	}
}

func newFleetSimulation(seed uint64, workers, hosts int, capacity workload.Resources, classes []jobClass) *fleetSimulation {
	random := rand.New(rand.NewPCG(seed, seed+1))
	l := &fleetSimulation{classes: classes, random: random, hosts: hosts, approved: map[approvalKey]bool{}}
	meanDuration := map[string]time.Duration{}
	for _, c := range classes {
		meanDuration[c.queue.Name] = c.meanDuration
	}
	gangEnds := map[gangRun]time.Duration{}
	l.simulation = newSimulation(0, func(s Start) time.Duration {
		d := time.Duration(float64(meanDuration[s.Queue]) * (0.5 + random.Float64()))
		if s.Queue != gangQueue {
			return d
		}
		run := gangRun{s.Task.Job, s.Run}
		if _, known := gangEnds[run]; !known {
			gangEnds[run] = d // the members of a gang end together
		}
		return gangEnds[run]
	})
	for i := range workers {
		id := fmt.Sprintf("i-%08x", i)
		l.UpsertWorker(t0, WorkerInfo{ID: id, Service: testService, Address: id, Rack: fmt.Sprintf("r%d", i/20),
			Capacity: capacity, Incarnation: 1})
		l.report(id, t0)
	}
	return l
}

// addJobs adds the jobs that arrive during one simulation step, at load times the normal rate.
func (l *fleetSimulation) addJobs(load float64) {
	for _, c := range l.classes {
		for n := load * c.jobsPerSecond * simulationStep.Seconds(); n > 0 && l.random.Float64() < n; n-- {
			l.jobs++
			step := workload.Step{Count: 1 + l.random.IntN(2*c.meanTasks-1), Gang: c.gang, Checkpointing: c.checkpointing, Estimate: c.meanDuration,
				Resources: workload.Resources{CPUMilli: c.cpu, MemoryMB: 10_000}}
			spec := l.job(fmt.Sprintf("%016x", l.jobs), at(l.now), step)
			spec.Queue = c.queue
			spec.Queue.PolicyService = &c.advice
			l.AddJob(at(l.now), spec, nil, false)
			slack := time.Duration((c.queue.SlackFactor - 1) * float64(c.meanDuration))
			l.arrivals = append(l.arrivals, arrival{spec.ID, c.queue.Name, l.now, l.now + c.queue.TargetLatency + slack})
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
	for _, c := range l.classes {
		approvalShare[c.queue.Name] = c.approvalShare
	}
	for len(l.answers) < l.hosts {
		longCalls := 0
		for _, a := range l.answers {
			if a.long {
				longCalls++
			}
		}
		requests := l.NextAdviceRequests(now, l.hosts-len(l.answers), l.hosts/2-longCalls)
		if len(requests) == 0 {
			return
		}
		for _, q := range requests {
			r := AdviceResult{Step: q.Step, RequestedWorkers: q.Workers, Validity: 1500 * time.Millisecond}
			for _, w := range q.Workers {
				if l.approves(approvalKey{q.Step, w}, approvalShare[q.Queue]) {
					r.Approved = append(r.Approved, Approval{Worker: w, Ticket: "t"})
				}
			}
			l.answers = append(l.answers, pendingAnswer{l.now + q.ExpectedDuration, q.ExpectedDuration >= LongAdviceRequest, r})
		}
	}
}

// approves decides each question once.
func (l *fleetSimulation) approves(k approvalKey, share float64) bool {
	if _, decided := l.approved[k]; !decided {
		l.approved[k] = l.random.Float64() < share
	}
	return l.approved[k]
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
			l := newFleetSimulation(1, 1100, 140, workload.Resources{CPUMilli: 32_000, MemoryMB: 64_000}, fleetJobClasses())
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
