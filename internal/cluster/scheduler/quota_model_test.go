package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// quotaModel is a model of which each job belongs to one of two teams, whose limits change.
type quotaModel struct {
	*model
	teams map[string]queues.Quota
	specs map[string]*workload.Spec // by ID
}

func newQuotaModel(rt *rapid.T, workers int) *quotaModel {
	m := &quotaModel{model: newModel(rt, workers, time.Second), teams: map[string]queues.Quota{}, specs: map[string]*workload.Spec{}}
	m.onStart = m.checkStart
	return m
}

// submitTeamJob adds a job of one of the teams with a step of single tasks, a gang, and a step of other tasks.
func (m *quotaModel) submitTeamJob() {
	i := len(m.specs)
	small, gang, last := simpleStep(5), simpleStep(3), simpleStep(2)
	gang.Gang, gang.Checkpointing, small.Checkpointing = true, true, true
	small.Count, small.Estimate = 5+4*(i%4), 3*time.Second
	last.BestEffort = i%3 == 2
	last.Resources.CPUMilli = 3000
	spec := m.job(fmt.Sprintf("j%d", i), m.now, small, gang, last)
	spec.Team, spec.Queue.MaxAttempts, spec.Queue.Priority = []string{"a", "b"}[i/2%2], 0, i%2
	m.specs[spec.ID] = spec
	m.submit(spec)
}

// planChanged carries out a plan of changes.
func (m *quotaModel) planChanged() {
	p := m.PlanChanged(m.now)
	for _, s := range p.Starts {
		m.start(m.worker(s.Worker.ID), s)
	}
	for _, s := range p.Stops {
		m.stop(m.worker(s.Worker.ID), s)
	}
}

// setLimits puts a configuration with random limits into force. A team that is left out keeps its limits.
func (m *quotaModel) setLimits() {
	for _, name := range []string{"a", "b"} {
		if rapid.IntRange(0, 3).Draw(m.rt, "changes") > 0 {
			m.teams[name] = queues.Quota{CPUMilli: int64(rapid.IntRange(0, 12).Draw(m.rt, "cpu")) * 1000, MemoryMB: int64(rapid.IntRange(0, 8).Draw(m.rt, "memory")) * 1000}
		}
	}
	m.configure()
}

func (m *quotaModel) configure() {
	c := &queues.Config{}
	for name, quota := range m.teams {
		c.Teams = append(c.Teams, queues.Team{Name: name, Quota: quota})
	}
	m.SetQueues(c)
}

// checkStart fails if the runs that are active on all workers after a start exceed the limits of the started run's team.
func (m *quotaModel) checkStart(id workload.TaskID) {
	team := m.specs[id.Job].Team
	var use workload.Resources
	for _, w := range m.workers {
		for active := range w.active {
			if spec := m.specs[active.Job]; spec.Team == team {
				use = use.Add(spec.Steps[active.Step].Resources)
			}
		}
	}
	need := m.specs[id.Job].Steps[id.Step].Resources
	for i, d := range use.Pairs(asResources(m.teams[team])) {
		if d[0] > d[1] && need.Pairs(need)[i][0] > 0 {
			m.rt.Fatalf("the start of %s brings team %s to %+v, above %+v", id, team, use, m.teams[team])
		}
	}
}

// checkUse fails if the use that the scheduler has counted differs from the sum over all runs that it has placed.
func (m *quotaModel) checkUse() {
	want := map[string]workload.Resources{}
	held := map[string]workload.Resources{}
	for _, w := range m.Scheduler.workers {
		for _, p := range w.placements {
			if spec := m.specs[p.id.Job]; p.task != nil {
				want[spec.Team] = want[spec.Team].Add(spec.Steps[p.id.Step].Resources)
			}
		}
	}
	for u := range m.open {
		held[u.job.spec.Team] = held[u.job.spec.Team].Add(u.heldQuota())
	}
	for name, t := range m.Scheduler.teams.byName {
		if t.used != want[name] || t.held != held[name] {
			m.rt.Fatalf("team %s uses %+v and holds %+v, but the scheduler has counted %+v and %+v", name, want[name], held[name], t.used, t.held)
		}
	}
}

// Guards against starts that bring a team above its limits, whatever happens to workers, answers, the store and the owner, and against use
// that is counted twice or never released.
func TestNoStartAboveTheQuota(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newQuotaModel(rt, 3)
		m.setLimits()
		for range 4 {
			m.submitTeamJob()
		}
		m.store()
		storeDown := false
		for range rapid.IntRange(20, 250).Draw(rt, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 4).Draw(rt, "pause")) * 50 * time.Millisecond)
			switch rapid.IntRange(0, 24).Draw(rt, "disruption") {
			case 0, 1:
				w := m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(rt, "cut off")]
				w.cutOff = !w.cutOff
			case 2:
				m.replaceOwner()
				m.configure()
			case 3:
				storeDown = !storeDown
			case 4, 5:
				m.setLimits()
			case 6, 7:
				m.submitTeamJob()
			case 8, 9, 10, 11:
				m.planChanged()
			}
			m.step(storeDown)
			m.checkUse()
		}
	})
}
