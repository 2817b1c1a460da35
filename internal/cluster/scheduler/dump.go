package scheduler

import (
	"sort"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/interference"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// Dump is a snapshot of the scheduler's state for operators.
type Dump struct {
	Jobs       map[workload.State]int `json:"jobs"`
	Pending    map[string]int         `json:"pending"`
	Unresolved int                    `json:"unresolved_workers"`
	Workers    []WorkerDump           `json:"workers"`
	Waiting    []UnitDump             `json:"waiting"`
	Teams      []TeamDump             `json:"teams,omitempty"`
	// Interference is nil if it is switched off.
	Interference *interference.Dump `json:"interference,omitempty"`
}

// WorkerDump is the state of one worker.
type WorkerDump struct {
	ID          string             `json:"id"`
	Listed      bool               `json:"listed"`
	Draining    bool               `json:"draining"`
	Reachable   bool               `json:"answers"`
	Quarantined bool               `json:"set_aside"`
	Used        workload.Resources `json:"used"`
	Runs        int                `json:"runs"`
}

// UnitDump is a unit, a step of one occurrence, with waiting tasks and the reason why they wait.
type UnitDump struct {
	Step    string `json:"step"`
	Queue   string `json:"queue"`
	Waiting int    `json:"waiting_tasks"`
	Reason  string `json:"reason"`
}

// maxDumpedUnits limits the size of a dump under load. Which units a larger number is reduced to is arbitrary.
const maxDumpedUnits = 200

// Dump returns a snapshot of the state.
func (s *Scheduler) Dump(now time.Time) Dump {
	d := Dump{Jobs: map[workload.State]int{}, Pending: s.Pending(), Unresolved: len(s.unresolved), Teams: s.dumpTeams(),
		Interference: s.interference.Dump(now)}
	for id := range s.jobs {
		state, _ := s.Lookup(id)
		d.Jobs[state]++
	}
	for _, w := range s.sortedWorkers {
		d.Workers = append(d.Workers, WorkerDump{w.info.ID, w.listed, w.info.Draining, w.fenced && !w.unreachable, w.health.quarantined(now) || w.health.rejects(now),
			w.used, len(w.placements)})
	}
	for u := range s.open {
		if waiting := u.tasks.countWaiting(now); waiting > 0 && len(d.Waiting) < maxDumpedUnits {
			d.Waiting = append(d.Waiting, UnitDump{u.id().String(), u.job.spec.Queue.Name, waiting, s.waitReason(u, now)})
		}
	}
	sort.Slice(d.Waiting, func(i, j int) bool { return d.Waiting[i].Step < d.Waiting[j].Step })
	return d
}

// waitReason returns why the tasks of a unit wait, for operators.
func (s *Scheduler) waitReason(u *unit, now time.Time) string {
	switch {
	case s.suspended:
		return "the list of workers is too old"
	case s.mayRunElsewhere(u):
		return "the task may run under the order of another owner"
	case s.atQuota(s.newCandidate(u, u.tasks.countWaiting(now), now)):
		return "team is at its quota"
	case now.Before(u.notBefore):
		return "delayed after a failed call"
	case u.step.Gang && !u.idle():
		return "the last run of the gang has not ended"
	case u.callsInFlight > 0:
		return "waits for the policy service"
	case len(s.approvedWorkers(u, now, now)) == 0:
		return "no worker may run it now"
	}
	if u.beyondShare() {
		return "no room, and the job is beyond the share of its team"
	}
	return "no room"
}

// JobDump is the state of one job.
type JobDump struct {
	ID       string         `json:"id"`
	Queue    string         `json:"queue"`
	State    workload.State `json:"state"`
	Stored   workload.State `json:"stored_state"`
	Accepted time.Time      `json:"accepted"`
	// Unreadable means that the stored job can't be read: its tasks are not started, and Accepted is not known.
	Unreadable bool       `json:"unreadable,omitempty"`
	Steps      []StepDump `json:"steps"`
}

// StepDump is the state of a step of one occurrence.
type StepDump struct {
	Step      string     `json:"step"`
	TasksLeft int        `json:"tasks_left"`
	Reason    string     `json:"waits_for,omitempty"`
	Tasks     []TaskDump `json:"tasks"`
}

// TaskDump is the state of a task.
type TaskDump struct {
	Index      int     `json:"index"`
	State      string  `json:"state"`
	Worker     string  `json:"worker,omitempty"`
	Run        int64   `json:"run,omitempty"`
	Percent    int     `json:"percent,omitempty"`
	FailedRuns []int64 `json:"failed_runs,omitempty"`
}

// Explain returns the state of a job, with the reason why its tasks wait.
func (s *Scheduler) Explain(id string, now time.Time) (JobDump, bool) {
	j, ok := s.jobs[id]
	if !ok {
		return JobDump{}, false
	}
	d := JobDump{ID: id, Queue: j.spec.Queue.Name, State: j.state, Stored: j.durableState, Accepted: j.spec.Accepted, Unreadable: j.unreadable}
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		if o.units == nil {
			o = completedOccurrence(j, o.number)
		}
		for _, u := range o.units {
			d.Steps = append(d.Steps, s.explainUnit(u, now))
		}
	}
	return d, true
}

func (s *Scheduler) explainUnit(u *unit, now time.Time) StepDump {
	d := StepDump{Step: u.id().String(), TasksLeft: u.tasksLeft}
	switch _, open := s.open[u]; {
	case u.tasksLeft == 0, u.job.state.Final():
	case !open && u.unmet == 0:
		d.Reason = "many steps of the job wait already"
	case !open:
		d.Reason = "an earlier step has not ended"
	case u.tasks.countWaiting(now) > 0:
		d.Reason = s.waitReason(u, now)
	}
	for t := range u.tasks.all() {
		d.Tasks = append(d.Tasks, t.dump())
	}
	return d
}

func (t *task) dump() TaskDump {
	d := TaskDump{Index: t.index, Run: t.run, FailedRuns: t.failedRuns, State: "waiting"}
	switch p := t.placement; {
	case t.done:
		d.State = "done"
	case p != nil:
		d.Worker, d.Percent = p.worker.info.ID, p.percent
		d.State = [...]string{"starting", "running", "stopping"}[p.state]
	}
	return d
}
