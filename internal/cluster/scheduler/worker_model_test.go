package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// modelPage is how many ends a model worker lists in one answer.
const modelPage = 3

// modelStartTime is about the start time of all workers.
const modelStartTime = 1_000_000

// modelWorker is a worker as the protocol describes it: it runs what it is told to start, numbers its ends, forgets those that are
// acknowledged, and lists at most modelPage of the others.
type modelWorker struct {
	id          string
	incarnation int64
	active      map[workload.TaskID]int64
	ended       []EndedRun
	lastEnd     int64
	lastRun     map[workload.TaskID]int64
	delayed     []Report // answers that have not arrived yet
	cutOff      bool     // no call reaches it
	clockKnown  bool     // it has answered the last renewal: the next one carries a deadline
	// expiresAt is when its runs expire, as its own clock measures it.
	expiresAt time.Time
}

// model lets a scheduler place tasks on model workers whose answers get lost, are repeated or arrive late, and that start again or are
// cut off. Its owner may be replaced by another one that knows what is stored.
type model struct {
	*fixture
	rt      *rapid.T
	now     time.Time
	lease   time.Duration // of the runs, from each call that a worker receives
	epoch   int64
	workers []*modelWorker
	// restarts counts the starts of all workers. An incarnation's start time is above or below those before it, since clocks may be set.
	restarts int64
	specs    []*workload.Spec
	stored   map[string]*workload.Progress // by job
	running  map[workload.TaskID]int       // runs that are active
	done     map[workload.TaskID]bool      // an end as done is acknowledged, or will be: neither a restart nor a lapsed lease came between
	// applied holds the tasks of which an end as done has reached the owner. No start may be ordered afterwards, even if the lease
	// of the run had expired in between. durable holds those of which the successor knows.
	applied, durable map[workload.TaskID]bool
	// onStart, if set, is called after a run has become active.
	onStart func(id workload.TaskID)
}

func newModel(rt *rapid.T, workers int, lease time.Duration) *model {
	m := &model{fixture: newFixture(1, 0), rt: rt, now: t0, lease: lease, epoch: 1, stored: map[string]*workload.Progress{},
		running: map[workload.TaskID]int{}, done: map[workload.TaskID]bool{}, applied: map[workload.TaskID]bool{}, durable: map[workload.TaskID]bool{}}
	for i := range workers {
		w := &modelWorker{id: fmt.Sprintf("w%d", i), active: map[workload.TaskID]int64{}, lastRun: map[workload.TaskID]int64{}}
		m.workers = append(m.workers, w)
		m.restart(w)
	}
	return m
}

// restart ends the worker's process, with all its runs and ends, and starts the next one. Ends that nobody has acknowledged are lost.
func (m *model) restart(w *modelWorker) {
	for id := range w.active {
		m.running[id]--
	}
	for _, e := range w.ended {
		delete(m.done, e.Task)
	}
	m.restarts++
	incarnation := modelStartTime + m.restarts
	if m.restarts%3 == 0 {
		incarnation = modelStartTime - m.restarts
	}
	*w = modelWorker{id: w.id, incarnation: incarnation, active: map[workload.TaskID]int64{}, lastRun: map[workload.TaskID]int64{},
		delayed: w.delayed, cutOff: w.cutOff}
	m.list(w)
}

// list lets the scheduler read the worker from the platform's list.
func (m *model) list(w *modelWorker) {
	m.UpsertWorker(m.now, WorkerInfo{ID: w.id, Service: testService, Address: w.id, Rack: "r1", Incarnation: w.incarnation,
		Capacity: workload.Resources{CPUMilli: 16_000, MemoryMB: 16_000}})
}

// extendLease extends the lease of the worker's runs, as a call does that reaches it. Its clock is 2 % slow.
func (m *model) extendLease(w *modelWorker) { w.expiresAt = m.now.Add(m.lease * 102 / 100) }

// leaseBound returns the time by which the runs have certainly expired that a call at the present time may reach.
func (m *model) leaseBound() time.Time { return m.now.Add(m.lease*103/100 + 300*time.Millisecond) }

// expire ends the runs whose leases have expired. The ends that are not acknowledged by then no longer forbid another start.
func (m *model) expire() {
	for _, w := range m.workers {
		if m.now.Before(w.expiresAt) {
			continue
		}
		acked := m.LastDurableEnd(w.id, w.incarnation)
		for _, e := range w.ended {
			if e.Number > acked {
				delete(m.done, e.Task)
			}
		}
		for _, id := range w.sortedActive() {
			m.end(w, id, EndLeaseExpired)
		}
	}
}

// store makes all records durable, and keeps what a successor reads.
func (m *model) store() {
	generation, records, _ := m.TakeAllRecords()
	for _, r := range records {
		if r.Progress != nil {
			m.stored[r.JobID] = r.Progress
		}
	}
	m.MarkStored(records)
	m.MarkGenerationStored(generation)
	maps.Copy(m.durable, m.applied)
}

// replaceOwner lets another owner take over, which knows what is stored. Answers that are on their way to the predecessor are lost.
func (m *model) replaceOwner() {
	m.epoch++
	m.fixture = newFixture(m.epoch, 0)
	m.applied = maps.Clone(m.durable)
	for _, spec := range m.specs {
		if p := m.stored[spec.ID]; p != nil && p.State.Final() {
			m.AddEndedJob(spec.ID, p)
			continue
		}
		m.AddJob(m.now, spec, m.stored[spec.ID], true)
	}
	for _, w := range m.workers {
		w.delayed, w.clockKnown = nil, false
		m.AddUnresolvedWorker(w.id, m.leaseBound())
		m.list(w)
	}
}

// deliver lets the scheduler read a worker's answer.
func (m *model) deliver(r Report) {
	for _, e := range m.HandleReport(m.now, r) {
		if EndReason(e.Outcome) == EndDone {
			m.applied[e.Task] = true
		}
	}
}

// start carries out a start; it may be repeated. The answer may be lost.
func (m *model) start(w *modelWorker, s Start) {
	if s.Worker.Incarnation != w.incarnation {
		return
	}
	if m.applied[s.Task] {
		m.rt.Fatalf("run %d of %s is ordered after the owner has read that the task is done", s.Run, s.Task)
	}
	if w.cutOff {
		m.HandleStartResult(m.now, StartResult{Task: s.Task, Run: s.Run, Worker: w.id, Outcome: StartUnknown, LeaseUntil: m.leaseBound()})
		return
	}
	m.extendLease(w)
	if run, active := w.active[s.Task]; (!active || run < s.Run) && s.Run > w.lastRun[s.Task] {
		w.active[s.Task] = s.Run
		m.running[s.Task]++
		if m.running[s.Task] > 1 {
			m.rt.Fatalf("%s run %d starts on %s while another run is active", s.Task, s.Run, w.id)
		}
		if m.done[s.Task] {
			m.rt.Fatalf("%s run %d starts on %s after the task was done", s.Task, s.Run, w.id)
		}
		if m.onStart != nil {
			m.onStart(s.Task)
		}
	}
	outcome := StartAccepted
	if rapid.IntRange(0, 4).Draw(m.rt, "lost start") == 0 {
		outcome = StartUnknown
	}
	m.HandleStartResult(m.now, StartResult{Task: s.Task, Run: s.Run, Worker: w.id, Outcome: outcome, AnsweredAt: m.now, LeaseUntil: m.leaseBound()})
}

func (m *model) end(w *modelWorker, id workload.TaskID, reason EndReason) {
	w.lastEnd++
	w.ended = append(w.ended, EndedRun{Number: w.lastEnd, Task: id, Run: w.active[id], Reason: reason})
	w.lastRun[id] = max(w.lastRun[id], w.active[id])
	delete(w.active, id)
	m.running[id]--
	m.done[id] = m.done[id] || reason == EndDone
}

func (m *model) stop(w *modelWorker, s Stop) {
	if s.Worker.Incarnation != w.incarnation || w.cutOff {
		return
	}
	if run, active := w.active[s.Task]; active && run <= s.Run {
		m.end(w, s.Task, EndStopped)
	}
	w.lastRun[s.Task] = max(w.lastRun[s.Task], s.Run)
	m.HandleStopAck(m.now, w.id, s.Task, s.Run)
}

// renew asks a worker for a report. The answer arrives at once, later, or never.
func (m *model) renew(w *modelWorker) {
	var leaseUntil time.Time
	if w.clockKnown {
		leaseUntil = m.leaseBound()
	}
	if w.cutOff {
		w.clockKnown = false
		m.MarkUnreachable(m.now, w.id, leaseUntil)
		return
	}
	if w.clockKnown {
		m.extendLease(w)
	}
	acked := m.LastDurableEnd(w.id, w.incarnation)
	for len(w.ended) > 0 && w.ended[0].Number <= acked {
		w.ended = w.ended[1:]
	}
	listed := w.ended[:min(len(w.ended), modelPage)]
	r := Report{Worker: w.id, Incarnation: w.incarnation, SentAt: m.now, LeaseUntil: leaseUntil, Ended: append([]EndedRun(nil), listed...),
		MoreEnded: len(listed) == modelPage}
	for _, id := range w.sortedActive() {
		r.Active = append(r.Active, ActiveRun{Task: id, Run: w.active[id]})
	}
	switch rapid.IntRange(0, 5).Draw(m.rt, "answer") {
	case 0:
		w.clockKnown = false
		m.MarkUnreachable(m.now, w.id, leaseUntil)
	case 1:
		m.ExtendLease(w.id, leaseUntil)
		w.delayed = append(w.delayed, r)
	case 2:
		w.clockKnown = true
		m.deliver(r)
		m.deliver(r)
	default:
		w.clockKnown = true
		m.deliver(r)
	}
}

// step does one thing at random, in a random order of workers.
func (m *model) step(storeDown bool) {
	m.now = m.now.Add(50 * time.Millisecond)
	m.expire()
	w := m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(m.rt, "worker")]
	switch rapid.IntRange(0, 9).Draw(m.rt, "action") {
	case 0, 1:
		if !storeDown {
			m.store()
		}
		p := m.Plan(m.now)
		for _, s := range p.Starts {
			m.start(m.worker(s.Worker.ID), s)
		}
		for _, s := range p.Stops {
			m.stop(m.worker(s.Worker.ID), s)
		}
	case 2, 3, 4:
		if runs := w.sortedActive(); len(runs) > 0 {
			reason := EndDone
			if rapid.IntRange(0, 6).Draw(m.rt, "fails") == 0 {
				reason = EndFailed
			}
			m.end(w, runs[rapid.IntRange(0, len(runs)-1).Draw(m.rt, "run")], reason)
		}
	case 5:
		if len(w.delayed) > 0 {
			r := w.delayed[len(w.delayed)-1]
			w.delayed = w.delayed[:len(w.delayed)-1]
			m.deliver(r)
		}
	case 6:
		if rapid.IntRange(0, 5).Draw(m.rt, "restarts") == 0 {
			m.restart(w)
		}
	default:
		m.renew(w)
	}
}

func (m *model) submit(spec *workload.Spec) {
	m.specs = append(m.specs, spec)
	m.AddJob(m.now, spec, nil, false)
}

// sortedActive returns the active tasks in a fixed order, so that a failure can be replayed.
func (w *modelWorker) sortedActive() []workload.TaskID {
	return slices.SortedFunc(maps.Keys(w.active), func(a, b workload.TaskID) int { return strings.Compare(a.String(), b.String()) })
}

func (m *model) worker(id string) *modelWorker {
	for _, w := range m.workers {
		if w.id == id {
			return w
		}
	}
	m.rt.Fatalf("there is no worker %s", id)
	return nil
}

// Guards against second runs of tasks of which a run is active or has ended as done, when a worker lists its ends in parts, its answers
// get lost, are repeated or overtake each other, and it starts again, also with an earlier start time.
func TestNoSecondRunWhateverAWorkerAnswers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rt, 2, time.Hour)
		for i := range 3 {
			m.submit(m.job(fmt.Sprintf("j%d", i), t0, simpleStep(6), simpleStep(4)))
		}
		m.store()
		storeDown := false
		for range rapid.IntRange(20, 200).Draw(rt, "steps") {
			if rapid.IntRange(0, 15).Draw(rt, "store") == 0 {
				storeDown = !storeDown
			}
			m.step(storeDown)
		}
	})
}

// Guards against second runs of tasks of which a run is active or has ended as done, when workers are cut off until their runs are given
// up, come back with the ends of these, and the owner is replaced in between.
func TestNoSecondRunAfterRunsWereGivenUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rt, 3, time.Second)
		for i := range 2 {
			m.submit(m.job(fmt.Sprintf("j%d", i), t0, simpleStep(6), simpleStep(4)))
		}
		m.store()
		storeDown := false
		for range rapid.IntRange(20, 300).Draw(rt, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 4).Draw(rt, "pause")) * 50 * time.Millisecond)
			switch rapid.IntRange(0, 24).Draw(rt, "disruption") {
			case 0, 1:
				w := m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(rt, "cut off")]
				w.cutOff = !w.cutOff
			case 2:
				m.replaceOwner()
			case 3:
				storeDown = !storeDown
			}
			m.step(storeDown)
		}
	})
}
