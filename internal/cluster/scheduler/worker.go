package scheduler

import (
	"slices"
	"sort"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/interference"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// WorkerInfo describes a worker, as the worker itself announces it.
type WorkerInfo struct {
	ID            string             `json:"ID"`
	Address       string             `json:"Address"`
	Service       string             `json:"Service"` // it runs only tasks of queues with this service
	FailureDomain string             `json:"Domain"`
	Rack          string             `json:"Rack"`
	Labels        []string           `json:"Labels"` // a step may require one of them (Step.Requirement)
	Capacity      workload.Resources `json:"Capacity"`
	Incarnation   int64              `json:"Born"` // start time of the process in milliseconds since 1970; identifies its incarnation
	Draining      bool               `json:"Draining"`
	// DrainRemaining is the minimum time for which a draining worker keeps running tasks.
	DrainRemaining time.Duration `json:"DrainLeft"`
}

// worker is a worker that is listed, reports to this owner or may still run something.
type worker struct {
	info        WorkerInfo
	listed      bool // the platform's list of workers has it
	undescribed bool // it has restarted, and info still holds the capacity and labels of an earlier incarnation
	// announced is the entry of another incarnation that has not answered yet, while the present one may go on.
	announced   *WorkerInfo
	announcedAt time.Time            // when that entry was read
	ignored     *WorkerInfo          // the last entry, if it names an incarnation that another one has replaced
	earlier     ReplacedIncarnations // those that have answered this owner before the present one
	fenced      bool                 // it has reported to this owner, so it rejects orders of earlier owners
	unreachable bool                 // it did not answer the last call
	silentSince time.Time            // when the first call without an answer failed; zero while it answers
	answeredAs  int64                // the incarnation that firstAnswer and lastAnswer belong to
	firstAnswer time.Time            // when the first answer of the incarnation to this owner was requested; zero before
	lastAnswer  time.Time            // when the last one was requested
	moved       bool                 // the list has given the incarnation another address than before
	leaseUntil  time.Time            // when all runs on it have stopped unless the lease is renewed
	clockZero   ClockZero            // of the present incarnation, as this owner has read it
	restarts    int                  // restarts that this owner has seen or suspected
	// mayGetStaleCalls is set until a report shows that stale calls can't reach the present incarnation any more.
	mayGetStaleCalls bool
	staleLeaseUntil  time.Time          // when a lease that a stale call has set has expired at the latest
	entryDraining    bool               // the last entry says that it drains
	drainSuspect     bool               // it may have restarted since it began to drain, so the next entry tells
	shutdownAt       time.Time          // when a draining worker shuts down
	used             workload.Resources // by its placements
	urgentUses       []urgentUse        // by requirement; see headroom
	suspectedRuns    int                // placements with suspected set
	held             workload.Resources // for gangs that are nominated for the worker
	expectedDemand   workload.Resources // of units that wait for an answer of the policy service
	// expectedGangDemand is the part of expectedDemand that is due to gangs.
	expectedGangDemand workload.Resources
	placements         []*placement     // few, so a linear search is faster than a map
	kinds              interference.Set // those of the placements, and of some that have gone since the last report
	tracker            interference.Tracker

	lastAppliedEnd int64 // EndedRun.Number of the last end that was applied
	lastDurableEnd int64 // EndedRun.Number of the last end that may be acknowledged; see LastDurableEnd
	pendingAcks    []pendingAck

	health health
}

type runKey struct {
	task workload.TaskID
	run  int64
}

type placementState int

const (
	starting placementState = iota // ordered, not confirmed by the worker yet
	running                        // confirmed by the worker
	stopping                       // a stop was ordered, or a start was rejected as old; dropped once a report confirms the end
)

// placement is one run on a worker, from its start order until the scheduler learns that it has ended. It uses the
// worker's resources for all that time.
type placement struct {
	id          workload.TaskID
	run         int64
	task        *task // nil if the task is unknown
	worker      *worker
	state       placementState
	resources   workload.Resources
	urgent      bool  // see headroom
	team        *team // whose quota it counts against; nil if there is none
	quotaUse    workload.Resources
	counted     bool // in the use of its team
	suspected   bool // when it started, its task was suspected of having crashed a worker
	adopted     bool // an earlier owner started it
	sound       bool // see checkSound
	orderedAt   time.Time
	retried     bool      // an attempt of its start was not answered before one was
	confirmedAt time.Time // when the worker accepted the start, or when the first report that lists the run was requested
	stopAckedAt time.Time // when the worker accepted the stop
	onOther     bool      // another incarnation than the known one has answered the order to start it
	withTicket  bool      // the order to start it carried a ticket
	givenUpAt   time.Time // when the last attempt to start it was given up without an answer; zero before

	expectedEnd      time.Time // extrapolated from its progress; zero while that is not possible
	percent          int
	percentChangedAt time.Time     // when percent last changed
	firstPercent     int           // percent in the first report that lists the run
	firstReportAt    time.Time     // when that report was received; zero before
	lastListedAt     time.Time     // when the last report that lists the run was requested
	unchangedFor     time.Duration // how long reports have shown the same percent
	checkpoint       string
	rate             *interference.Run // nil before its rate is observed
}

// free returns the resources that are neither used nor held. It may be negative while runs are being stopped.
func (w *worker) free() workload.Resources { return w.info.Capacity.Sub(w.used).Sub(w.held) }

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
	p.count()
	if p.urgent {
		w.addUrgent(p.requirement(), p.resources.CPUMilli)
	}
	if p.suspected {
		w.suspectedRuns++
	}
	if p.task != nil {
		w.kinds |= p.task.unit.kind.Bit()
	}
}

func (w *worker) removePlacement(p *placement) {
	i := slices.Index(w.placements, p)
	if i < 0 {
		return
	}
	w.placements = slices.Delete(w.placements, i, i+1)
	w.used = w.used.Sub(p.resources)
	p.uncount()
	if p.urgent {
		w.addUrgent(p.requirement(), -p.resources.CPUMilli)
	}
	if p.suspected {
		w.suspectedRuns--
	}
}

// countTasksOf returns the number of tasks of a unit that are placed on the worker.
func (w *worker) countTasksOf(u *unit) int {
	n := 0
	for _, p := range w.placements {
		if p.task != nil && p.task.unit == u {
			n++
		}
	}
	return n
}

// UpsertWorker adds a worker or updates its description. Another incarnation under the same ID ends all runs of the present one once
// it answers: an entry alone may be from another writer. The entry of an earlier one is late and is ignored. A draining worker remains so
// until another incarnation replaces it, or until an entry says otherwise and it may have restarted with the same start time.
func (s *Scheduler) UpsertWorker(now time.Time, info WorkerInfo) {
	s.noteListed(info, now)
	w := s.workers[info.ID]
	if w == nil {
		w = &worker{info: info, mayGetStaleCalls: s.mayHaveEarlierIncarnation(info, now)}
		s.workers[info.ID] = w
		s.sortedWorkers = append(s.sortedWorkers, w)
		sort.Slice(s.sortedWorkers, func(i, j int) bool { return s.sortedWorkers[i].info.ID < s.sortedWorkers[j].info.ID })
	}
	if w.earlier.Contains(info.Incarnation) {
		w.ignored = &info
		return
	}
	w.ignored = nil
	announced := w.announced
	w.announced = nil
	if info.Incarnation != w.info.Incarnation {
		if w.answered() {
			w.announce(info, now)
			if announced == nil || announced.Incarnation != info.Incarnation {
				s.extendForStaleStarts(w, now)
			}
			return
		}
		s.resetWorker(w, LossRestarted, now)
		w.mayGetStaleCalls, w.clockZero = true, ClockZero{}
	}
	sameIncarnation := w.info.Incarnation == info.Incarnation
	// A process keeps its address. With two of them, nobody knows which one a call has reached.
	w.moved = sameIncarnation && (w.moved || w.info.Address != info.Address)
	wasDraining := w.info.Draining && sameIncarnation && !w.drainSuspect
	w.info = info
	w.info.Draining = info.Draining || wasDraining
	w.entryDraining, w.drainSuspect = info.Draining, false
	w.reserveForUnknownRuns()
	w.listed, w.undescribed = true, false
	if info.Draining {
		w.shutdownAt = now.Add(info.DrainRemaining)
	}
}

// announce notes the entry of another incarnation, which is called at its own address from now on.
func (w *worker) announce(info WorkerInfo, now time.Time) {
	w.moved = w.moved || w.info.Address != info.Address
	w.info.Address = info.Address
	w.announced, w.announcedAt, w.listed = &info, now, true
}

// handleAnnounced decides about the entry of another incarnation after an answer that was requested at requestedAt: the entry is used if
// that incarnation has answered, and dropped if the present one goes on.
func (s *Scheduler) handleAnnounced(w *worker, requestedAt, now time.Time) {
	if e := w.ignored; e != nil && e.Incarnation == w.info.Incarnation { // start times may repeat
		s.UpsertWorker(now, *e)
	}
	switch e := w.announced; {
	case e == nil:
	case e.Incarnation == w.info.Incarnation:
		w.announced = nil
		s.UpsertWorker(now, *e)
	case requestedAt.After(w.announcedAt):
		w.announced = nil
	}
}

// reserveForUnknownRuns lets each run of unknown size reserve the whole worker, also after its capacity has changed.
func (w *worker) reserveForUnknownRuns() {
	for _, p := range w.placements {
		if p.task == nil {
			w.used = w.used.Sub(p.resources).Add(w.info.Capacity)
			p.resources = w.info.Capacity
		}
	}
}

// DelistWorker records that the worker is no longer on the platform's list. It gets no new tasks; its runs continue as long
// as it answers.
func (s *Scheduler) DelistWorker(id string) {
	if w := s.workers[id]; w != nil {
		w.listed, w.announced, w.ignored = false, nil, nil
	}
}

// saveCheckpoint records the checkpoint from which the next run of a task, or of its gang, resumes.
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

// ExtendLease records that a call that the worker may have processed extended the lease of its runs until the given time.
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

// WorkerCount returns the number of workers that the owner has to keep in contact with.
func (s *Scheduler) WorkerCount() int { return len(s.sortedWorkers) }

// StartPending reports whether a start of the run was ordered on the worker, its outcome is not known yet and no stop was
// ordered since.
func (s *Scheduler) StartPending(workerID string, id workload.TaskID, run int64) bool {
	w := s.workers[workerID]
	if w == nil {
		return false
	}
	p := w.findPlacement(id, run)
	return p != nil && p.state == starting
}

// Workers returns the workers that the owner has to keep in contact with, sorted by ID.
func (s *Scheduler) Workers() []WorkerInfo {
	out := make([]WorkerInfo, len(s.sortedWorkers))
	for i, w := range s.sortedWorkers {
		out[i] = w.info
	}
	return out
}
