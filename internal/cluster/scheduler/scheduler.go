// Package scheduler decides which task runs on which worker.
//
// A Scheduler holds the in-memory state of one owner, the process that currently schedules the workers: jobs, their
// tasks, the workers and the runs on them. Methods that report events change the state; Plan returns the start and stop
// orders that result from it. The package uses no network, no clock and no goroutine: the caller serializes all calls and
// passes the current time.
//
// A job consists of steps, and a step of tasks. A job that repeats has several occurrences, each with all its steps. One
// attempt to execute a task on a worker is a run; a higher run number supersedes a lower one. The tasks of a gang step
// start and end together (gang scheduling). For some queues an external policy service decides which workers may run a
// step: it approves workers and issues a ticket for each, which has to accompany the start order.
package scheduler

import (
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/forecast"
	"github.com/greengagewing/greengagewing/internal/cluster/interference"
	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// Config holds the parameters of a Scheduler.
type Config struct {
	// Epoch is the fencing epoch of this owner; each owner has a higher one than its predecessor. Run numbers of jobs that
	// an earlier owner may have started are raised above (Epoch-1) * runsPerEpoch, so that they exceed every run number
	// that the earlier owner may have used.
	Epoch int64
	// Retention is how long the state of an ended job can still be looked up.
	Retention time.Duration
	// Began is when the term began.
	Began time.Time
	// StaleLease is the longest time for which runs may go on after a stale call has set their lease.
	StaleLease time.Duration
	// LateCallLimit is the longest time after which a worker carries out a call that it has not answered.
	LateCallLimit time.Duration
	// InterferenceAware means that tasks which slow each other down are kept apart where there is room.
	InterferenceAware bool
}

// runsPerEpoch is the maximum number of runs of one task under one owner.
const runsPerEpoch = 1 << 12

// Scheduler holds the state of one owner, from the start of its ownership to the end.
type Scheduler struct {
	cfg           Config
	queues        *queues.Config
	jobs          map[string]*job
	teams         teams
	planNumber    int64 // of the present plan
	workers       map[string]*worker
	sortedWorkers []*worker          // by ID
	open          map[*unit]struct{} // units with unfinished tasks whose dependencies are done
	changedUnits  map[*unit]struct{} // units whose state has changed since they were last planned; see PlanChanged
	suspended     bool               // see SuspendStarts
	// workersCheckedAt is when checkWorkers last ran.
	workersCheckedAt time.Time
	servicePools     map[string]*servicePool // by service
	// headroomsUpdatedAt is when updateHeadrooms last ran.
	headroomsUpdatedAt time.Time
	capacity           workload.Resources // of the workers without quarantine when the headrooms were last updated
	quarantined        int                // workers in quarantine when the headrooms were last updated
	startLimiter       startLimiter
	forecast           *forecast.Meter // nil unless enabled
	reservations       reservations    // workers reserved for gangs that did not fit, since the last complete plan began
	lowUseServices     map[string]bool // by service, since the last complete plan began; see lowUse
	// nominationsChanged is set when resources are freed on a worker that a gang is nominated for.
	nominationsChanged bool

	adviceQueue       adviceQueue // units for which the policy service has to be asked
	askBuffer         askHeap     // reused by every advice request to avoid allocations
	workersExamined   int64       // by advice requests so far; see WorkersExamined
	nextToExamine     int         // index in sortedWorkers at which the next advice request begins to examine workers
	fruitlessExams    fruitlessExams
	futureOccurrences map[*job]struct{} // jobs with occurrences that are not due yet, or wait until fewer units of the job wait
	// cancelled maps the IDs of jobs that were cancelled before they were added to the time of the cancellation: the rows of
	// a job and of its cancellation may be read in any order.
	cancelled    map[string]time.Time
	earlyCancels earlyCancels

	unresolved map[string]unresolvedWorker // by ID of a worker that may still run tasks of an earlier owner
	lastUses   map[string]lastUse          // by ID, within staleCallLimit
	silences   map[string]*silence         // by ID of a worker that does not answer
	crashes    []crash                     // within silenceRetention
	// riskyQueues maps the names of queues with tasks that crashed workers to the time until which their tasks count as risky.
	riskyQueues map[string]time.Time

	// withPendingAcks holds the workers with ends that were applied and may not be acknowledged yet.
	withPendingAcks map[*worker]struct{}

	// unconfirmedLosses maps the units whose runs were lost to the generation whose commit shows that no other owner had taken over
	// before the loss. Until then, another owner may have extended the leases of these runs, or acknowledged their ends.
	unconfirmedLosses map[*unit]int64
	// unconfirmedGiveUp is the generation whose commit shows the same for the last worker of an earlier owner that was given up without a
	// report; 0 if there is none.
	unconfirmedGiveUp int64

	dirty      map[*job]struct{} // jobs that have changed since their last record was taken or the present batch began
	batch      map[*job]struct{} // jobs of the present batch whose records have not been taken; see BeginBatch
	taken      map[*job]struct{} // jobs of which a record was taken in the present batch that is not known to be stored
	generation int64             // of the next batch
	// storedGeneration is the last one that is durable, and endsGeneration the one that makes all applied ends durable.
	storedGeneration, endsGeneration int64

	// earlierStartsUntil is when no attempt of a start that an earlier owner has ordered is carried out any more; zero if there was none.
	earlierStartsUntil time.Time
	earlierOwners      bool            // owners before the previous one may still order starts
	startsInFlight     []startInFlight // in the order of their orders

	endedJobs      []JobSummary              // since the last TakeEndedJobs
	losses         []WorkerLoss              // since the last TakeWorkerLosses
	expired        []ExpiredWorker           // since the last TakeExpiredWorkers
	givenUp        []GivenUpTask             // since the last TakeGivenUp
	lateStarts     []LateStart               // since the last TakeLateStarts
	stops          []Stop                    // to be returned by the next plan
	durationRatios map[string]*durationRatio // by queue name
	approvalCounts map[string]*approvalCount // by queue name

	interference   *interference.Model     // nil if it is switched off
	progressBuffer []interference.Progress // reused by every report to avoid allocations
}

// New returns an empty scheduler.
func New(cfg Config) *Scheduler {
	s := &Scheduler{
		cfg:               cfg,
		queues:            &queues.Config{},
		jobs:              map[string]*job{},
		teams:             newTeams(),
		workers:           map[string]*worker{},
		open:              map[*unit]struct{}{},
		changedUnits:      map[*unit]struct{}{},
		futureOccurrences: map[*job]struct{}{},
		cancelled:         map[string]time.Time{},
		earlyCancels:      earlyCancels{},
		unresolved:        map[string]unresolvedWorker{},
		lastUses:          map[string]lastUse{},
		silences:          map[string]*silence{},
		riskyQueues:       map[string]time.Time{},
		withPendingAcks:   map[*worker]struct{}{},
		unconfirmedLosses: map[*unit]int64{},
		dirty:             map[*job]struct{}{},
		batch:             map[*job]struct{}{},
		taken:             map[*job]struct{}{},
		generation:        1,
		reservations:      reservations{},
		lowUseServices:    map[string]bool{},
		servicePools:      map[string]*servicePool{},
		durationRatios:    map[string]*durationRatio{},
		approvalCounts:    map[string]*approvalCount{},
	}
	if cfg.InterferenceAware {
		s.interference = interference.New()
	}
	return s
}

// SetQueues replaces the queue configuration. Jobs of a queue that the new configuration lacks keep the queue's previous
// properties.
func (s *Scheduler) SetQueues(c *queues.Config) {
	s.queues = c
	s.teams.setQueues(c)
	for _, j := range s.jobs {
		if q, ok := c.ByName(j.spec.Queue.Name); ok {
			j.queue = q
		}
	}
}

// SuspendStarts sets whether plans start no runs. They still stop runs, and the policy service is still asked.
func (s *Scheduler) SuspendStarts(suspended bool) { s.suspended = suspended }

// WorkersInUse returns the IDs of the workers that may run a task now or get one soon. A successor waits for the reports of
// these workers, so a worker that is lost or draining is left out as soon as nothing can run on it any more.
func (s *Scheduler) WorkersInUse() []string {
	used := s.UnresolvedWorkers()
	for _, w := range s.sortedWorkers {
		if _, listed := s.unresolved[w.info.ID]; !listed && (len(w.placements) > 0 || w.acceptsStarts()) {
			used = append(used, w.info.ID)
		}
	}
	return used
}

// AddJob adds an accepted job and reports whether it was new; a known job is not changed. progress is nil unless an earlier
// owner stored progress of the job. inherited means that an earlier owner may have started tasks of the job.
func (s *Scheduler) AddJob(now time.Time, spec *workload.Spec, progress *workload.Progress, inherited bool) bool {
	if _, known := s.jobs[spec.ID]; known {
		return false
	}
	j := &job{spec: spec, queue: spec.Queue, state: workload.Queued, durableState: workload.Queued, inherited: inherited, stored: inherited,
		dependencies: newDependencies(spec.Steps), chunks: newChunks(spec)}
	if !inherited {
		s.dirty[j] = struct{}{}
	}
	if q, ok := s.queues.ByName(spec.Queue.Name); ok {
		j.queue = q
	}
	s.jobs[spec.ID] = j
	j.occurrences = make([]*occurrence, spec.Occurrences())
	s.assignTeam(j)
	s.futureOccurrences[j] = struct{}{}
	if progress != nil {
		j.progressStored = true
		s.restore(j, progress, now)
	}
	s.openDueOccurrences(j, now)
	if _, cancelled := s.cancelled[spec.ID]; cancelled || s.earlyCancels.apply(spec.ID, spec.Team) {
		s.finishJob(j, workload.Cancelled, now)
	}
	return true
}

// AddEndedJob adds a job that ended under an earlier owner. Only its state is kept, for lookups, and its team, whose quota its runs use as long
// as workers report them.
func (s *Scheduler) AddEndedJob(id string, p *workload.Progress) {
	s.jobs[id] = &job{spec: &workload.Spec{ID: id, Team: p.Team}, team: s.teamNamed(p.Team), state: p.State, durableState: p.State, endedAt: p.Ended,
		endedWithUnanswered: p.Unanswered}
}

// inRange reports whether i is an index of a slice of the length.
func inRange(i, length int) bool { return i >= 0 && i < length }

// openDueOccurrences opens the occurrences of a job that are due, as long as fewer than maxWaitingUnits of its units wait. A job may
// have 100,000 occurrences that are due at once, and one that is not open takes no memory beside its pointer.
func (s *Scheduler) openDueOccurrences(j *job, now time.Time) {
	for ; j.nextOccurrence < len(j.occurrences); j.nextOccurrence++ {
		if j.occurrences[j.nextOccurrence] != nil {
			continue
		}
		if j.openUnits.waiting >= maxWaitingUnits || j.spec.Repetitions > 0 && j.spec.Due(j.nextOccurrence).After(now) {
			return
		}
		s.openOccurrence(j, j.nextOccurrence)
	}
	delete(s.futureOccurrences, j)
}

// openOccurrence returns an occurrence of a job. It creates the occurrence, and opens the units without dependencies, if
// that has not been done yet.
func (s *Scheduler) openOccurrence(j *job, number int) *occurrence {
	if j.occurrences[number] != nil {
		return j.occurrences[number]
	}
	o := newOccurrence(j, number)
	j.occurrences[number] = o
	for _, u := range o.units {
		if u.unmet == 0 {
			s.openUnit(u)
		}
	}
	return o
}

// Cancel cancels a job at its caller's request. It reports whether the state of a job has changed. If the job is unknown,
// the cancellation is remembered and applied when the job is added.
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

// HasJob reports whether the job was added and not forgotten since.
func (s *Scheduler) HasJob(id string) bool {
	_, ok := s.jobs[id]
	return ok
}

// finishJob sets the final state of a job and stops its remaining runs.
func (s *Scheduler) finishJob(j *job, state workload.State, now time.Time) {
	s.noteInheritedEnd(j, now)
	if j.team != nil {
		s.teams.noteUnfinished(j.team, -1)
	}
	j.state, j.endedAt = state, now
	s.dirty[j] = struct{}{}
	s.endedJobs = append(s.endedJobs, s.summarize(j))
	delete(s.futureOccurrences, j)
	j.openUnits, j.failsOn = openUnits{}, nil
	if j.unreadable {
		s.stopRunsOf(j.spec.ID, "job "+string(state))
	}
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, u := range o.units {
			delete(s.open, u)
			u.clearExpectedDemand()
			u.dropNomination()
			u.endQuotaWait()
			if state == workload.Completed && u.step.Gang {
				continue // the members of a gang complete together; the worker reports are about to list their ends
			}
			s.stopUnit(u, "job "+string(state))
		}
	}
}

// stopUnit orders the stop of all runs of a unit.
func (s *Scheduler) stopUnit(u *unit, reason string) {
	for t := range u.tasks.kept() {
		if t.placement != nil {
			s.stopRun(t.placement, reason)
		}
	}
}

// stopRun orders the stop of one run, unless it was ordered already.
func (s *Scheduler) stopRun(p *placement, reason string) {
	if p.state == stopping {
		return
	}
	s.orderStop(p, reason)
}

// orderStop orders the stop of one run, also if an order to an earlier process of the worker was given before.
func (s *Scheduler) orderStop(p *placement, reason string) {
	p.state, p.stopAckedAt = stopping, time.Time{}
	s.stops = append(s.stops, Stop{Task: p.id, Run: p.run, Worker: p.worker.info, Reason: reason})
}

// HandleStopAck records that the worker accepted a stop order at the given time. The run uses its resources until a report
// requested after that time no longer lists it.
func (s *Scheduler) HandleStopAck(at time.Time, workerID string, id workload.TaskID, run int64) {
	w := s.workers[workerID]
	if w == nil {
		return
	}
	if p := w.findPlacement(id, run); p != nil && p.state == stopping {
		p.stopAckedAt = at
	}
}

// Lookup returns the state of a job as callers may see it: a final state is returned only once it is durable.
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

// Pending returns, by queue, the number of unfinished jobs of which no task has started.
func (s *Scheduler) Pending() map[string]int {
	counts := map[string]int{}
	for _, j := range s.jobs {
		if !j.state.Final() && !j.started {
			counts[j.spec.Queue.Name]++
		}
	}
	return counts
}
