package scheduler

import "github.com/greengagewing/greengagewing/internal/cluster/workload"

// LookupFor is Lookup for a caller: a job that the caller may not access is answered as an unknown one.
func (s *Scheduler) LookupFor(id string, access workload.Access) (workload.State, bool) {
	if j, ok := s.jobs[id]; ok && !access.Allows(j.spec.Team) {
		return "", false
	}
	return s.Lookup(id)
}
