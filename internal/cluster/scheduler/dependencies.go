package scheduler

import (
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// maxPath limits the estimated duration of a chain of steps, so that the estimates of a caller do not overflow.
const maxPath = 365 * 24 * time.Hour

// dependencies describes how the steps of a job depend on each other. A job may have thousands of steps and exponentially many
// paths through them, so it is computed once for each job, and each dependency is visited once.
type dependencies struct {
	// dependents holds, by step, the steps that come after it. A step that names another one twice is listed twice.
	dependents [][]int
	// pathFrom holds, by step, the estimated duration of the longest chain of dependent steps that begins with it.
	pathFrom []time.Duration
	// criticalPath is the longest of these chains.
	criticalPath time.Duration
}

func newDependencies(steps []workload.Step) dependencies {
	d := dependencies{dependents: make([][]int, len(steps)), pathFrom: make([]time.Duration, len(steps))}
	for i := len(steps) - 1; i >= 0; i-- { // a step depends on earlier ones only
		d.pathFrom[i] = min(d.pathFrom[i]+min(steps[i].Estimate, maxPath), maxPath)
		d.criticalPath = max(d.criticalPath, d.pathFrom[i])
		for _, earlier := range steps[i].DependsOn {
			d.dependents[earlier] = append(d.dependents[earlier], i)
			d.pathFrom[earlier] = max(d.pathFrom[earlier], d.pathFrom[i])
		}
	}
	return d
}

// openDependents opens the units that have waited for the unit as the last of those that they depend on.
func (s *Scheduler) openDependents(u *unit) {
	for _, i := range u.job.dependencies.dependents[u.index] {
		dependent := u.occurrence.units[i]
		dependent.unmet--
		if dependent.unmet == 0 && dependent.tasksLeft > 0 && !u.job.state.Final() {
			s.openUnit(dependent)
		}
	}
}
