package scheduler

// maxWaitingUnits is the number of open units of a job that may wait for workers at a time. Each plan looks at all of them, so without
// a limit one job with thousands of independent steps would keep the owner from anything else.
const maxWaitingUnits = 2000

// openUnits counts the open units of a job of which no plan has placed all tasks yet, and holds those that wait until there are fewer.
type openUnits struct {
	waiting int
	delayed []*unit // their dependencies are done; in the order in which that happened
}

// openUnit makes the tasks of a unit eligible to start, now or once fewer units of the job wait.
func (s *Scheduler) openUnit(u *unit) {
	open := &u.job.openUnits
	if open.waiting >= maxWaitingUnits {
		open.delayed = append(open.delayed, u)
		return
	}
	open.waiting++
	u.countedAsWaiting = true
	s.open[u] = struct{}{}
	s.changedUnits[u] = struct{}{}
}

// unitPlaced records that all waiting tasks of a unit were placed, or are done, for the first time. Others of its job may then open.
func (s *Scheduler) unitPlaced(u *unit) {
	if !u.countedAsWaiting {
		return
	}
	u.countedAsWaiting = false
	open := &u.job.openUnits
	open.waiting--
	for len(open.delayed) > 0 && open.waiting < maxWaitingUnits {
		next := open.delayed[0]
		open.delayed = open.delayed[1:]
		if next.tasksLeft > 0 {
			s.openUnit(next)
		}
	}
}

// closeUnit ends the eligibility of a unit whose tasks are all done.
func (s *Scheduler) closeUnit(u *unit) {
	delete(s.open, u)
	s.unitPlaced(u)
}
