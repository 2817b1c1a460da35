// Package scheduler decides which task runs on which worker. It is the state of one owner of the workers: jobs, their
// tasks, the workers and what runs on them. Events change the state, Plan returns the orders that follow. It uses no
// network, no clock and no goroutine; its caller serializes all calls and passes the time.
package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// Config are the figures that a scheduler is built with.
type Config struct {
	// Epoch is the number of this ownership. Runs of jobs that an earlier owner may have started are numbered from
	// Epoch * runsPerEpoch, so that they are higher than any of its runs.
	Epoch int64
	// Retention is how long the state of an ended job is kept.
	Retention time.Duration
}

// runsPerEpoch bounds the runs of one task under one owner.
const runsPerEpoch = 1 << 12

// Scheduler is the state of one ownership.
type Scheduler struct {
	cfg             Config
	queues          *queues.Config
	jobs            map[string]*job
	workers         map[string]*worker
	sortedWorkers   []*worker // by id
	open            map[*unit]struct{}
	changedUnits    map[*unit]struct{} // open units for which something has changed since they were planned
	reservedWorkers map[*worker]bool   // workers that the last complete plan holds for gangs

	adviceQueue       adviceQueue       // units that need an answer of the policy service
	askBuffer         askHeap           // memory that each question uses again
	futureOccurrences map[*job]struct{} // jobs with occurrences that are not due yet
	// cancellations of jobs that are not known yet, with the time at which they came: rows of a job and of its cancellation
	// may be read in any order
	cancelled map[string]time.Time

	// predecessors' workers that may still run tasks, with the time after which they certainly don't
	unresolved map[string]time.Time

	dirty      map[*job]struct{}
	generation int64  // of the records that are gathered now
	newJobs    []*job // new jobs of which no record was taken, and a few of which one was

	stops          []Stop
	durationRatios map[string]*durationRatio // by queue
	approvalCounts map[string]*approvalCount // by queue
}

// New returns an empty scheduler.
func New(cfg Config) *Scheduler {
	return &Scheduler{
		cfg:               cfg,
		queues:            &queues.Config{},
		jobs:              map[string]*job{},
		workers:           map[string]*worker{},
		open:              map[*unit]struct{}{},
		changedUnits:      map[*unit]struct{}{},
		futureOccurrences: map[*job]struct{}{},
		cancelled:         map[string]time.Time{},
		unresolved:        map[string]time.Time{},
		dirty:             map[*job]struct{}{},
		generation:        1,
		durationRatios:    map[string]*durationRatio{},
		approvalCounts:    map[string]*approvalCount{},
	}
}

// SetQueues puts a configuration in force. Jobs of queues that it no longer has keep the properties that the queue had.
func (s *Scheduler) SetQueues(c *queues.Config) {
	s.queues = c
	for _, j := range s.jobs {
		if q, ok := c.ByName(j.spec.Queue.Name); ok {
			j.queue = q
		}
	}
}

// Inherit names a worker on which an earlier owner may have started tasks. Until it has reported or the time has passed,
// no task is started that the earlier owner may have started.
func (s *Scheduler) Inherit(workerID string, expiresAt time.Time) {
	s.unresolved[workerID] = expiresAt
}

// Unresolved returns the workers on which an earlier owner's tasks may still run unseen.
func (s *Scheduler) Unresolved() []string { return slices.Collect(maps.Keys(s.unresolved)) }

// Used returns the workers on which something may run, or may be started soon. A successor waits for their reports, so a
// worker that is lost or leaves is left out as soon as nothing can run there any more.
func (s *Scheduler) Used() []string {
	used := s.Unresolved()
	for _, w := range s.sortedWorkers {
		if _, listed := s.unresolved[w.info.ID]; !listed && (len(w.placements) > 0 || w.acceptsStarts()) {
			used = append(used, w.info.ID)
		}
	}
	return used
}

// LimitUnresolved tells that everything that earlier owners started has lapsed at a time.
func (s *Scheduler) LimitUnresolved(expiresAt time.Time) {
	for id, before := range s.unresolved {
		if expiresAt.Before(before) {
			s.unresolved[id] = expiresAt
		}
	}
}

func (s *Scheduler) markResolved(workerID string) { delete(s.unresolved, workerID) }

func (s *Scheduler) expireUnresolved(now time.Time) {
	for id, expiresAt := range s.unresolved {
		if now.After(expiresAt) {
			delete(s.unresolved, id)
		}
	}
}

// AddJob takes a job that was accepted. Progress is nil unless an earlier owner stored some. Inherited means that an
// earlier owner may have started tasks of the job. A job that is known already is left as it is.
func (s *Scheduler) AddJob(now time.Time, spec *workload.Spec, progress *workload.Progress, inherited bool) bool {
	if _, known := s.jobs[spec.ID]; known {
		return false
	}
	j := &job{spec: spec, queue: spec.Queue, state: workload.Queued, durableState: workload.Queued, inherited: inherited, stored: inherited}
	if !inherited {
		s.newJobs = append(s.newJobs, j)
		s.dirty[j] = struct{}{}
	}
	if q, ok := s.queues.ByName(spec.Queue.Name); ok {
		j.queue = q
	}
	s.jobs[spec.ID] = j
	j.occurrences = make([]*occurrence, spec.Occurrences())
	s.futureOccurrences[j] = struct{}{}
	if progress != nil {
		j.progressStored = true
		s.restore(j, progress)
	}
	s.openDueOccurrences(j, now)
	if _, cancelled := s.cancelled[spec.ID]; cancelled {
		s.finishJob(j, workload.Cancelled, now)
	}
	return true
}

// AddEnded takes a job that has ended under an earlier owner: only its state is still asked for.
func (s *Scheduler) AddEnded(id string, p *workload.Progress) {
	s.jobs[id] = &job{spec: &workload.Spec{ID: id}, state: p.State, durableState: p.State, endedAt: p.Ended}
}

// restore applies durable progress; the occurrences that it names are opened.
func (s *Scheduler) restore(j *job, p *workload.Progress) {
	for _, tp := range p.Tasks {
		if tp.Occurrence >= len(j.occurrences) || tp.Step >= len(j.spec.Steps) {
			continue
		}
		o := s.openOccurrence(j, tp.Occurrence)
		u := o.units[tp.Step]
		if tp.Index >= len(u.tasks) {
			continue
		}
		t := u.tasks[tp.Index]
		t.failedRuns, t.checkpoint, t.run = tp.FailedRuns, tp.Checkpoint, tp.Run
		if u.step.Gang {
			u.failedRuns = tp.FailedRuns
			u.checkpoint = tp.Checkpoint
			u.run = max(u.run, tp.Run)
		}
		if tp.Done {
			s.markDone(t)
		}
	}
	j.state = p.State
	j.durableState = p.State
	j.started = j.started || p.State == workload.Running
}

// openDueOccurrences opens the occurrences of a job whose time has come.
func (s *Scheduler) openDueOccurrences(j *job, now time.Time) {
	waiting := false
	for k := range j.occurrences {
		if j.occurrences[k] != nil {
			continue
		}
		if j.spec.Due(k).After(now) && j.spec.Repetitions > 0 {
			waiting = true
			break
		}
		s.openOccurrence(j, k)
	}
	if !waiting {
		delete(s.futureOccurrences, j)
	}
}

func (s *Scheduler) openOccurrence(j *job, number int) *occurrence {
	if j.occurrences[number] != nil {
		return j.occurrences[number]
	}
	o := newOccurrence(j, number)
	j.occurrences[number] = o
	for _, u := range o.units {
		if s.dependenciesDone(u) {
			s.openUnit(u)
		}
	}
	return o
}

// openUnit lets the tasks of a unit be started.
func (s *Scheduler) openUnit(u *unit) {
	s.open[u] = struct{}{}
	s.changedUnits[u] = struct{}{}
}

func (s *Scheduler) dependenciesDone(u *unit) bool {
	for _, dependency := range u.step.After {
		if u.occurrence.units[dependency].left > 0 {
			return false
		}
	}
	return true
}

// Cancel ends a job by its caller's wish. It reports whether that changed anything.
func (s *Scheduler) Cancel(now time.Time, id string) bool {
	j, ok := s.jobs[id]
	if !ok {
		s.cancelled[id] = now
		return false
	}
	if j.state.Final() {
		return false
	}
	s.finishJob(j, workload.Cancelled, now)
	return true
}

// Known reports whether the job was added.
func (s *Scheduler) Known(id string) bool {
	_, ok := s.jobs[id]
	return ok
}

// finishJob gives a job its final state and stops what still runs of it.
func (s *Scheduler) finishJob(j *job, state workload.State, now time.Time) {
	j.state, j.endedAt = state, now
	s.dirty[j] = struct{}{}
	delete(s.futureOccurrences, j)
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, u := range o.units {
			delete(s.open, u)
			u.clearExpectedDemand()
			if state == workload.Completed && u.step.Gang {
				continue // the members of a gang end done together; their ends are about to be listed
			}
			s.stopUnit(u, "job "+string(state))
		}
	}
}

// stopUnit orders that everything of a unit ends.
func (s *Scheduler) stopUnit(u *unit, reason string) {
	for _, t := range u.tasks {
		if t.placement != nil {
			s.stopRun(t.placement, reason)
		}
	}
}

// stopRun orders the end of one run, once.
func (s *Scheduler) stopRun(p *placement, reason string) {
	if p.state == stopping {
		return
	}
	p.state, p.stopAckedAt = stopping, time.Time{}
	s.stops = append(s.stops, Stop{Task: p.id, Run: p.run, Worker: p.worker.info, Reason: reason})
}

// StopDone tells that the worker has accepted a stop at a time. The run's place is free once a report that was asked for
// later shows that it is gone.
func (s *Scheduler) StopDone(at time.Time, workerID string, id workload.TaskID, run int64) {
	w := s.workers[workerID]
	if w == nil {
		return
	}
	if p := w.findPlacement(id, run); p != nil && p.state == stopping {
		p.stopAckedAt = at
	}
}

// Lookup returns the state of a job as callers may see it: final states only once they are durable.
func (s *Scheduler) Lookup(id string) (workload.State, bool) {
	j, ok := s.jobs[id]
	if !ok {
		return "", false
	}
	if j.durableState.Final() {
		return j.durableState, true
	}
	if j.started {
		return workload.Running, true
	}
	return workload.Queued, true
}

// Pending returns, by queue, the number of jobs of which no task has started.
func (s *Scheduler) Pending() map[string]int {
	counts := map[string]int{}
	for _, j := range s.jobs {
		if !j.state.Final() && !j.started {
			counts[j.spec.Queue.Name]++
		}
	}
	return counts
}
