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
}

// model lets a scheduler place tasks on model workers whose answers get lost, are repeated or arrive late, and that start again.
type model struct {
	*fixture
	rt      *rapid.T
	now     time.Time
	workers []*modelWorker
	running map[workload.TaskID]int // runs that are active
	done    map[workload.TaskID]bool
}

func newModel(rt *rapid.T) *model {
	m := &model{fixture: newFixture(1, 0), rt: rt, now: t0, running: map[workload.TaskID]int{}, done: map[workload.TaskID]bool{}}
	for i := range 2 {
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
	*w = modelWorker{id: w.id, incarnation: w.incarnation + 1, active: map[workload.TaskID]int64{}, lastRun: map[workload.TaskID]int64{}, delayed: w.delayed}
	m.UpsertWorker(m.now, WorkerInfo{ID: w.id, Service: testService, Address: w.id, Rack: "r1", Incarnation: w.incarnation,
		Capacity: workload.Resources{CPUMilli: 16_000, MemoryMB: 16_000}})
}

// start carries out a start; it may be repeated. The answer may be lost.
func (m *model) start(w *modelWorker, s Start) {
	if s.Worker.Incarnation != w.incarnation {
		return
	}
	if run, active := w.active[s.Task]; (!active || run < s.Run) && s.Run > w.lastRun[s.Task] {
		w.active[s.Task] = s.Run
		m.running[s.Task]++
		if m.running[s.Task] > 1 {
			m.rt.Fatalf("%s run %d starts on %s while another run is active", s.Task, s.Run, w.id)
		}
		if m.done[s.Task] {
			m.rt.Fatalf("%s run %d starts on %s after the task was done", s.Task, s.Run, w.id)
		}
	}
	outcome := StartAccepted
	if rapid.IntRange(0, 4).Draw(m.rt, "lost start") == 0 {
		outcome = StartUnknown
	}
	m.HandleStartResult(m.now, StartResult{Task: s.Task, Run: s.Run, Worker: w.id, Outcome: outcome, AnsweredAt: m.now, LeaseUntil: m.now.Add(time.Hour)})
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
	if s.Worker.Incarnation != w.incarnation {
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
	acked := m.LastDurableEnd(w.id, w.incarnation)
	for len(w.ended) > 0 && w.ended[0].Number <= acked {
		w.ended = w.ended[1:]
	}
	listed := w.ended[:min(len(w.ended), modelPage)]
	r := Report{Worker: w.id, Incarnation: w.incarnation, SentAt: m.now, LeaseUntil: m.now.Add(time.Hour), Ended: append([]EndedRun(nil), listed...),
		MoreEnded: len(listed) == modelPage}
	for _, id := range w.sortedActive() {
		r.Active = append(r.Active, ActiveRun{Task: id, Run: w.active[id]})
	}
	switch rapid.IntRange(0, 5).Draw(m.rt, "answer") {
	case 0:
		m.MarkUnreachable(m.now, w.id, m.now.Add(time.Hour))
	case 1:
		w.delayed = append(w.delayed, r)
	case 2:
		m.HandleReport(m.now, r)
		m.HandleReport(m.now, r)
	default:
		m.HandleReport(m.now, r)
	}
}

// step does one thing at random, in a random order of workers.
func (m *model) step(storeDown bool) {
	m.now = m.now.Add(50 * time.Millisecond)
	w := m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(m.rt, "worker")]
	switch rapid.IntRange(0, 9).Draw(m.rt, "action") {
	case 0, 1:
		if !storeDown {
			m.commit()
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
			m.HandleReport(m.now, r)
		}
	case 6:
		if rapid.IntRange(0, 5).Draw(m.rt, "restarts") == 0 {
			m.restart(w)
		}
	default:
		m.renew(w)
	}
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
// get lost, are repeated or overtake each other, and it starts again.
func TestNoSecondRunWhateverAWorkerAnswers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rt)
		for i := range 3 {
			m.AddJob(t0, m.job(fmt.Sprintf("j%d", i), t0, simpleStep(6), simpleStep(4)), nil, false)
		}
		m.commit()
		storeDown := false
		for range rapid.IntRange(20, 200).Draw(rt, "steps") {
			if rapid.IntRange(0, 15).Draw(rt, "store") == 0 {
				storeDown = !storeDown
			}
			m.step(storeDown)
		}
	})
}
