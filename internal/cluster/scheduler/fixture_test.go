package scheduler

import (
	"fmt"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

var t0 = time.Unix(1_700_000_000, 0)

// at returns the time d after the start of a test.
func at(d time.Duration) time.Time { return t0.Add(d) }

const testService = "textos"

// fixture is a scheduler with simulated workers that accept every start.
type fixture struct {
	*Scheduler
	queue  queues.Queue
	ends   map[string]int64       // by worker: number of the last end
	ended  map[string][]EndedRun  // by worker: ends that are not acknowledged
	active map[string][]ActiveRun // by worker
	starts []Start                // all starts that plan has ordered
	now    time.Time              // of the last report or plan
}

func newFixture(epoch int64, workers int) *fixture {
	f := &fixture{
		Scheduler: New(Config{Epoch: epoch, Retention: time.Minute}),
		queue: queues.Queue{Name: "q", Service: testService, MaxAttempts: 3, SlackFactor: 2, TargetLatency: time.Second,
			Priority: 1},
		ends: map[string]int64{}, ended: map[string][]EndedRun{}, active: map[string][]ActiveRun{},
	}
	for i := range workers {
		f.addWorker(fmt.Sprintf("w%d", i))
	}
	return f
}

func (f *fixture) addWorker(id string) {
	f.UpsertWorker(t0, WorkerInfo{ID: id, Service: testService, Address: id, Rack: "r1",
		Capacity: workload.Resources{CPUMilli: 10_000, MemoryMB: 10_000}, Incarnation: 1})
	f.report(id, t0)
}

// report applies a report of the worker with its active and ended runs.
func (f *fixture) report(id string, now time.Time) {
	f.now = now
	f.HandleReport(now, Report{Worker: id, Incarnation: f.workers[id].info.Incarnation, SentAt: now, LeaseUntil: now.Add(5 * time.Second),
		Active: f.active[id], Ended: f.ended[id]})
}

func (f *fixture) job(id string, now time.Time, steps ...workload.Step) *workload.Spec {
	return &workload.Spec{ID: id, Queue: f.queue, Steps: steps, Accepted: now}
}

// plan commits all records, makes a complete plan and lets the workers accept every start and stop. If the plan has found runs that
// are lost or has given up workers, another commit confirms the ownership, and another plan follows.
func (f *fixture) plan(now time.Time) Plan {
	f.now = now
	f.commit()
	p := f.Plan(now)
	if len(f.unconfirmedLosses) > 0 || f.unconfirmedGiveUp > 0 {
		f.commit()
		next := f.Plan(now)
		p.Starts, p.Stops = append(p.Starts, next.Starts...), append(p.Stops, next.Stops...)
	}
	for _, s := range p.Starts {
		f.active[s.Worker.ID] = append(f.active[s.Worker.ID], ActiveRun{Task: s.Task, Run: s.Run})
		f.HandleStartResult(now, StartResult{Task: s.Task, Run: s.Run, Worker: s.Worker.ID, Outcome: StartAccepted, AnsweredAt: now, LeaseUntil: now.Add(5 * time.Second)})
	}
	f.starts = append(f.starts, p.Starts...)
	for _, s := range p.Stops {
		f.HandleStopAck(now, s.Worker.ID, s.Task, s.Run)
	}
	return p
}

// nextAdviceRequests returns all advice requests that are due.
func (f *fixture) nextAdviceRequests(now time.Time) []AdviceRequest {
	var out []AdviceRequest
	for {
		r := f.NextAdviceRequests(now, 1, 1)
		if len(r) == 0 {
			return out
		}
		out = append(out, r...)
	}
}

// end ends a run on its worker and applies the worker's report of it.
func (f *fixture) end(s Start, reason EndReason, now time.Time) {
	f.listEnd(s, reason)
	f.report(s.Worker.ID, now)
}

// listEnd ends a run on its worker, whose next report lists the end.
func (f *fixture) listEnd(s Start, reason EndReason) {
	id := s.Worker.ID
	f.ends[id]++
	f.ended[id] = append(f.ended[id], EndedRun{Number: f.ends[id], Task: s.Task, Run: s.Run, Reason: reason})
	var left []ActiveRun
	for _, a := range f.active[id] {
		if a.Task != s.Task || a.Run != s.Run {
			left = append(left, a)
		}
	}
	f.active[id] = left
}

// commit makes all records durable, which also confirms the ownership, and acknowledges the ends that may be acknowledged then.
func (f *fixture) commit() { f.persist() }

// persist makes all records durable and returns the progress that they hold, by job.
func (f *fixture) persist() map[string]*workload.Progress {
	generation, records, _ := f.TakeAllRecords()
	out := map[string]*workload.Progress{}
	for _, r := range records {
		out[r.JobID] = r.Progress
	}
	f.MarkStored(records)
	f.MarkGenerationStored(generation)
	f.AcknowledgeEnds(f.now)
	return out
}

func simpleStep(count int) workload.Step {
	return workload.Step{Count: count, Resources: workload.Resources{CPUMilli: 2000, MemoryMB: 1000}, Estimate: time.Second}
}
