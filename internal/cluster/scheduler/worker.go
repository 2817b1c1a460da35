package scheduler

import (
	"slices"
	"sort"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// WorkerInfo is what a worker says of itself.
type WorkerInfo struct {
	ID       string             `json:"ID"`
	Address  string             `json:"Address"`
	Service  string             `json:"Service"`
	Domain   string             `json:"Domain"` // failure domain
	Rack     string             `json:"Rack"`
	Labels   []string           `json:"Labels"`
	Capacity workload.Resources `json:"Capacity"`
	Born     int64              `json:"Born"` // milliseconds of its start since 1970; another value is another life
	Draining bool               `json:"Draining"`
	// DrainLeft is how long a draining worker still serves at least.
	DrainLeft time.Duration `json:"DrainLeft"`
}

type worker struct {
	info           WorkerInfo
	listed         bool
	fenced         bool // it has reported to this owner, so orders of earlier owners have no effect any more
	unreachable    bool // the last call had no answer
	leaseUntil     time.Time
	shutdownAt     time.Time // of a draining worker
	used           workload.Resources
	expectedDemand workload.Resources // by units that wait for an answer of the policy service
	placements     []*placement       // few, so that a search through all is quicker than a map

	lastAppliedEnd int64 // number of the last end that was applied
	lastAckedEnd   int64 // number of the last end that is durable
	pendingAcks    []pendingAck

	health health
}

type runKey struct {
	task workload.TaskID
	run  int64
}

type pendingAck struct {
	number     int64
	generation int64
}

type placementState int

const (
	starting placementState = iota
	running
	stopping
)

// placement is one run on a worker, from its order until its end is listed.
type placement struct {
	id          workload.TaskID
	run         int64
	task        *task // nil if the run is of no known task
	worker      *worker
	state       placementState
	resources   workload.Resources
	orderedAt   time.Time
	confirmedAt time.Time // the worker has answered the start or has listed the run
	stopAckedAt time.Time

	expectedEnd      time.Time // by its progress; zero while that can't be told
	percent          int
	percentChangedAt time.Time // when the percent last changed
	firstPercent     int
	firstReportAt    time.Time
	lastListedAt     time.Time     // when the last report that lists the run was asked for
	unchangedFor     time.Duration // for how long reports have shown the same percent
	checkpoint       string
}

func (w *worker) free() workload.Resources { return w.info.Capacity.Sub(w.used) }

func (w *worker) findPlacement(id workload.TaskID, run int64) *placement {
	for _, p := range w.placements {
		if p.run == run && p.id.Index == id.Index && p.id == id {
			return p
		}
	}
	return nil
}

func (w *worker) addPlacement(p *placement) {
	w.placements = append(w.placements, p)
	w.used = w.used.Add(p.resources)
}

func (w *worker) removePlacement(p *placement) {
	i := slices.Index(w.placements, p)
	if i < 0 {
		return
	}
	w.placements = slices.Delete(w.placements, i, i+1)
	w.used = w.used.Sub(p.resources)
}

// countTasksOf returns how many tasks of a unit are on the worker.
func (w *worker) countTasksOf(u *unit) int {
	n := 0
	for _, p := range w.placements {
		if p.task != nil && p.task.unit == u {
			n++
		}
	}
	return n
}

func (w *worker) acknowledgeEnds(generation int64) {
	n := 0
	for n < len(w.pendingAcks) && w.pendingAcks[n].generation <= generation {
		w.lastAckedEnd = max(w.lastAckedEnd, w.pendingAcks[n].number)
		n++
	}
	w.pendingAcks = w.pendingAcks[n:]
}

// UpsertWorker takes a worker's entry. Another life under the same id ends what ran in the one before.
func (s *Scheduler) UpsertWorker(now time.Time, info WorkerInfo) {
	w := s.workers[info.ID]
	if w == nil {
		w = &worker{info: info}
		s.workers[info.ID] = w
		s.sortedWorkers = append(s.sortedWorkers, w)
		sort.Slice(s.sortedWorkers, func(i, j int) bool { return s.sortedWorkers[i].info.ID < s.sortedWorkers[j].info.ID })
	}
	if info.Born < w.info.Born {
		return
	}
	if info.Born > w.info.Born {
		s.resetWorker(w, now)
	}
	wasDraining := w.info.Draining && w.info.Born == info.Born
	w.info = info
	w.info.Draining = info.Draining || wasDraining
	w.listed = true
	if info.Draining {
		w.shutdownAt = now.Add(info.DrainLeft)
	}
}

// DelistWorker tells that the worker's entry is gone. It gets no new tasks; what runs there is kept while it answers.
func (s *Scheduler) DelistWorker(id string) {
	if w := s.workers[id]; w != nil {
		w.listed = false
	}
}

// resetWorker ends everything that ran on a worker: its process is gone or its lease has lapsed.
func (s *Scheduler) resetWorker(w *worker, now time.Time) {
	for _, p := range slices.Clone(w.placements) {
		s.dropPlacement(p, now)
	}
	w.placements = nil
	w.used = workload.Resources{}
	w.fenced = false
	w.lastAppliedEnd, w.lastAckedEnd, w.pendingAcks = 0, 0, nil
	w.health = health{}
	s.markResolved(w.info.ID)
}

// dropPlacement detaches a run that certainly no longer runs and queues its task again.
func (s *Scheduler) dropPlacement(p *placement, now time.Time) {
	p.worker.removePlacement(p)
	t := p.task
	if t == nil || t.placement != p {
		return
	}
	t.placement = nil
	s.saveCheckpoint(t, p.checkpoint)
	if t.unit.step.Gang && !t.done {
		s.stopUnit(t.unit, "a member of the gang was lost")
	}
}

func (s *Scheduler) saveCheckpoint(t *task, checkpoint string) {
	if checkpoint == "" || !t.unit.step.Checkpointing {
		return
	}
	if t.unit.step.Gang {
		t.unit.checkpoint = checkpoint
		return
	}
	t.checkpoint = checkpoint
}

// CallFailed tells that a worker did not answer. Runs of its predecessors' orders included, everything there has lapsed
// at leaseUntil.
func (s *Scheduler) CallFailed(_ time.Time, workerID string, leaseUntil time.Time) {
	w := s.workers[workerID]
	if w == nil {
		return
	}
	w.unreachable = true
	w.extendLease(leaseUntil)
}

// ExtendLease tells that a call that may have been carried out lets everything on the worker run on until a time.
func (s *Scheduler) ExtendLease(workerID string, until time.Time) {
	if w := s.workers[workerID]; w != nil {
		w.extendLease(until)
	}
}

func (w *worker) extendLease(until time.Time) {
	if until.After(w.leaseUntil) {
		w.leaseUntil = until
	}
}

// expireWorkers ends the tasks of workers that have not answered until their leases have certainly lapsed, and forgets
// unlisted workers without tasks.
func (s *Scheduler) expireWorkers(now time.Time) {
	for _, w := range s.sortedWorkers {
		if w.unreachable && w.fenced && now.After(w.leaseUntil) {
			lastEnd, lastAckedEnd, pendingAcks := w.lastAppliedEnd, w.lastAckedEnd, w.pendingAcks
			s.resetWorker(w, now)
			// The life of the process may go on: its ends keep their numbers.
			w.lastAppliedEnd, w.lastAckedEnd, w.pendingAcks = lastEnd, lastAckedEnd, pendingAcks
		}
	}
	s.sortedWorkers = slices.DeleteFunc(s.sortedWorkers, func(w *worker) bool {
		gone := !w.listed && (w.unreachable || !w.fenced) && len(w.placements) == 0
		if gone {
			delete(s.workers, w.info.ID)
		}
		return gone
	})
}

// WorkerCount returns the number of workers that should be called.
func (s *Scheduler) WorkerCount() int { return len(s.sortedWorkers) }

// Starting reports whether a start of the run was ordered on the worker, has no outcome yet and is still wanted.
func (s *Scheduler) Starting(workerID string, id workload.TaskID, run int64) bool {
	w := s.workers[workerID]
	if w == nil {
		return false
	}
	p := w.findPlacement(id, run)
	return p != nil && p.state == starting
}

// Workers returns the workers that should be called.
func (s *Scheduler) Workers() []WorkerInfo {
	out := make([]WorkerInfo, len(s.sortedWorkers))
	for i, w := range s.sortedWorkers {
		out[i] = w.info
	}
	return out
}
