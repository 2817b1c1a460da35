package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// team is a team with jobs: its limits, as the configuration has named them last, and what its tasks use.
type team struct {
	name  string
	teams *teams
	known bool // a configuration of this term has named it
	quota queues.Quota
	// quotaOf is when the job was accepted from which the quota was taken, of a team that no configuration has named.
	quotaOf time.Time
	weight  float64
	used    workload.Resources // by runs that are placed
	held    workload.Resources // by gangs that are nominated for workers
	// uncertain is what inherited tasks without a known run may use on workers that have not reported, as of the last update; see
	// updateUncertainUse. uncertainEnded is the part of jobs that have ended since.
	uncertain, uncertainEnded possibleUse
	claims                    quotaClaims
	gangHold                  gangHold
	lowUseHeldSince           time.Time   // since when gangs keep the quota although the team uses little of it; zero otherwise
	waiting                   []candidate // units that wait for the quota, in planning order, since the last complete plan began
	quotaLog                  quotaLog
	bucket                    shareBucket
	unfinishedJobs            int
}

// teams holds the teams of one owner.
type teams struct {
	byName     map[string]*team
	configured bool               // there is a configuration
	released   map[*team]struct{} // teams with waiting units whose use or limits have changed since the last plan
	withWaits  map[*team]struct{} // teams with waiting units, or of which a log line has said so
	// inherited are the jobs with a team that earlier owners may have started; ended ones are removed by updateUncertainUse.
	inherited []*job
	// unresolvedCapacity is that of the workers that have not reported, as of the last update.
	unresolvedCapacity workload.Resources
	uncertainChanged   bool // inherited has changed since the last update
	changes            []QuotaWait
	unclassified       []*job             // jobs of which it is not known yet whether they are within the share of their team
	activeWeight       float64            // sum of the weights of teams with unfinished jobs
	withBeyond         map[*team]struct{} // teams with jobs beyond their share
}

func newTeams() teams {
	return teams{byName: map[string]*team{}, released: map[*team]struct{}{}, withWaits: map[*team]struct{}{},
		withBeyond: map[*team]struct{}{}}
}

// setQueues applies the limits and weights of a configuration. Teams that it lacks keep theirs.
func (ts *teams) setQueues(c *queues.Config) {
	ts.configured = true
	ts.activeWeight = 0
	for _, t := range ts.byName {
		t.configure(c)
		ts.released[t] = struct{}{}
		if t.unfinishedJobs > 0 {
			ts.activeWeight += t.weight
		}
	}
}

func (t *team) configure(c *queues.Config) {
	if configured, found := c.TeamByName(t.name); found {
		t.known, t.quota, t.weight = true, configured.Quota, configured.Weight
	}
}

// noteUnfinished adds n to the unfinished jobs of a team.
func (ts *teams) noteUnfinished(t *team, n int) {
	before := t.unfinishedJobs
	t.unfinishedJobs += n
	switch {
	case before == 0:
		ts.activeWeight += t.weight
	case t.unfinishedJobs == 0:
		ts.activeWeight -= t.weight
	}
}

// assignTeam determines the team of a job, which has none if its caller needed no key.
func (s *Scheduler) assignTeam(j *job) {
	name := j.spec.Team
	if name == "" {
		return
	}
	t := s.teamNamed(name)
	if !t.known && !j.spec.Accepted.Before(t.quotaOf) { // the last limits that an earlier owner may have known
		t.quota, t.quotaOf = j.spec.Quota, j.spec.Accepted
	}
	j.team = t
	s.teams.noteUnfinished(t, 1)
	s.teams.unclassified = append(s.teams.unclassified, j)
	if j.inherited && !j.state.Final() {
		s.teams.inherited = append(s.teams.inherited, j)
		s.teams.uncertainChanged = true
	}
}

// teamNamed returns the team with the name, or nil if the name is empty.
func (s *Scheduler) teamNamed(name string) *team {
	t := s.teams.byName[name]
	if t == nil && name != "" {
		t = &team{name: name, teams: &s.teams}
		t.configure(s.queues)
		s.teams.byName[name] = t
	}
	return t
}

// charge counts a run against the quota of its job's team, from the time when it is placed until it is removed. The use of a task that is
// not known is the capacity of its worker.
func (s *Scheduler) charge(p *placement) {
	if p.task != nil {
		p.team, p.quotaUse = p.task.unit.job.team, p.task.unit.quotaUse()
		return
	}
	if j := s.jobs[p.id.Job]; j != nil {
		p.team, p.quotaUse = j.team, p.resources
	}
}

// count adds the run to the use of its team, once.
func (p *placement) count() {
	if p.team == nil || p.counted {
		return
	}
	p.counted = true
	p.team.used = p.team.used.Add(p.quotaUse)
}

// uncount removes the run from the use of its team.
func (p *placement) uncount() {
	if !p.counted {
		return
	}
	p.counted = false
	p.team.used = p.team.used.Sub(p.quotaUse)
	p.team.noteReleased()
}

// noteReleased lets PlanChanged consider units that wait for the quota.
func (t *team) noteReleased() {
	if len(t.waiting) > 0 {
		t.teams.released[t] = struct{}{}
	}
}

// times returns n times the resources.
func times(r workload.Resources, n int) workload.Resources {
	return workload.Resources{CPUMilli: r.CPUMilli * int64(n), MemoryMB: r.MemoryMB * int64(n), Accelerators: r.Accelerators * int64(n)}
}

// updateUncertainUse determines what inherited tasks may use on workers that have not reported to this owner. Between two updates a task
// whose run is reported counts twice, so the use may be too high but not too low.
func (s *Scheduler) updateUncertainUse(now time.Time) {
	ts := &s.teams
	if len(ts.inherited) == 0 {
		return
	}
	ts.uncertainChanged = false
	for _, j := range ts.inherited {
		j.team.uncertain = j.team.uncertainEnded
	}
	if len(s.unresolved) == 0 {
		for _, j := range ts.inherited {
			j.team.uncertain, j.team.uncertainEnded = possibleUse{}, possibleUse{}
			ts.released[j.team] = struct{}{}
		}
		ts.inherited = nil
		return
	}
	ts.inherited = slices.DeleteFunc(ts.inherited, func(j *job) bool { return j.state.Final() && j.team.uncertainEnded == possibleUse{} })
	for _, j := range ts.inherited {
		if !j.state.Final() {
			j.team.uncertain = j.team.uncertain.add(j.possibleUse(now))
		}
	}
	ts.unresolvedCapacity = s.unresolvedCapacity()
}

// possibleUse is what tasks may use whose runs are not known.
type possibleUse struct {
	reserving  workload.Resources // of tasks that reserve what they use, so that they fit into the capacity of their workers
	bestEffort workload.Resources
}

func (p possibleUse) add(o possibleUse) possibleUse {
	return possibleUse{p.reserving.Add(o.reserving), p.bestEffort.Add(o.bestEffort)}
}

// within returns the use if all tasks run on workers with the given capacity.
func (p possibleUse) within(capacity workload.Resources) workload.Resources {
	r := p.reserving
	return p.bestEffort.Add(workload.Resources{CPUMilli: min(r.CPUMilli, capacity.CPUMilli), MemoryMB: min(r.MemoryMB, capacity.MemoryMB),
		Accelerators: min(r.Accelerators, capacity.Accelerators)})
}

// unresolvedCapacity returns the capacity of the workers that have not reported to this owner, or unlimited if one of them is not listed.
func (s *Scheduler) unresolvedCapacity() workload.Resources {
	var capacity workload.Resources
	for id := range s.unresolved {
		w := s.workers[id]
		if w == nil || !w.listed {
			return asResources(queues.Quota{})
		}
		c := w.info.Capacity
		if w.announced != nil { // nobody knows which of both runs the tasks
			c = c.Add(w.announced.Capacity)
		}
		capacity = capacity.Add(c)
	}
	return capacity
}

// possibleUse returns what the unfinished tasks of the job without a known run may use. Steps whose dependencies are not done count, too:
// an earlier owner may have started them before it stored the ends of the others.
func (j *job) possibleUse(now time.Time) possibleUse {
	var use possibleUse
	for k, o := range j.occurrences {
		switch {
		case o != nil:
			for _, u := range o.units {
				use.addTasks(u.step, u.countUnplaced())
			}
		case j.spec.Due(k).After(now):
			return use
		default:
			for i := range j.spec.Steps {
				use.addTasks(&j.spec.Steps[i], j.spec.Steps[i].Count)
			}
		}
	}
	return use
}

// addTasks adds n tasks of a step.
func (p *possibleUse) addTasks(step *workload.Step, n int) {
	sum := &p.reserving
	if step.BestEffort {
		sum = &p.bestEffort
	}
	*sum = sum.Add(times(countedUse(step.Resources), n))
}

// countUnplaced returns the number of tasks that are not done and have no known run.
func (u *unit) countUnplaced() int {
	n := u.tasksLeft
	for t := range u.tasks.kept() {
		if !t.done && t.placement != nil {
			n--
		}
	}
	return n
}

// noteInheritedEnd keeps counting what may run of an inherited job that ends now.
func (s *Scheduler) noteInheritedEnd(j *job, now time.Time) {
	if j.team == nil || !j.inherited || len(s.unresolved) == 0 {
		return
	}
	j.team.uncertainEnded = j.team.uncertainEnded.add(j.possibleUse(now))
	s.teams.uncertainChanged = true
}

// uncertainUse returns what inherited tasks of the team may use beside the known runs.
func (s *Scheduler) uncertainUse(t *team) workload.Resources {
	if len(s.unresolved) == 0 {
		return workload.Resources{}
	}
	return t.uncertain.within(s.teams.unresolvedCapacity)
}

// TeamDump is the state of a team.
type TeamDump struct {
	Name      string             `json:"name"`
	Used      workload.Resources `json:"used"`
	Uncertain workload.Resources `json:"uncertain"`
	Limit     workload.Resources `json:"limit"` // a resource without a limit is left out
	Weight    float64            `json:"weight"`
	// DominantShare is the highest share of the pool's capacity of a resource that the team uses.
	DominantShare float64 `json:"dominant_share"`
	// WithinShare and BeyondShare are the numbers of jobs of which no task has started, within and beyond the team's share.
	WithinShare int `json:"waiting_within_share"`
	BeyondShare int `json:"waiting_beyond_share"`
	// WaitingForQuota is the number of steps that wait because the team is at its quota.
	WaitingForQuota int `json:"waiting_for_quota"`
}

// dumpTeams returns the state of all teams that have jobs, by name.
func (s *Scheduler) dumpTeams() []TeamDump {
	within, beyond := map[*team]int{}, map[*team]int{}
	for _, j := range s.jobs {
		switch {
		case j.team == nil || j.state.Final() || j.started:
		case j.beyondShare:
			beyond[j.team]++
		default:
			within[j.team]++
		}
	}
	var out []TeamDump
	for _, t := range s.teams.byName {
		out = append(out, TeamDump{Name: t.name, Used: t.used, Uncertain: s.uncertainUse(t), Limit: workload.Resources(t.quota), Weight: t.weight,
			DominantShare: s.dominantShare(t), WithinShare: within[t], BeyondShare: beyond[t], WaitingForQuota: len(t.waiting)})
	}
	slices.SortFunc(out, func(a, b TeamDump) int { return strings.Compare(a.Name, b.Name) })
	return out
}
