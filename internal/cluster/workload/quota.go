package workload

import (
	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
)

// ErrOverQuota is returned for a submitted job of which a single task, or a gang, is larger than the quota of its team, so that it could never
// start.
var ErrOverQuota = errors.New("workload: larger than the quota of the team")

// CheckQuota returns an error that wraps ErrOverQuota if a single task or a gang of the job is larger than the quota of its team. A step of
// single tasks that is wider than the quota runs in several waves.
func (s *Spec) CheckQuota(q queues.Quota) error {
	limits := Resources{q.CPUMilli, q.MemoryMB, q.Accelerators}
	for i := range s.Steps {
		st := &s.Steps[i]
		needed, what := int64(1), "a task"
		if st.Gang {
			needed, what = int64(st.Count), "the gang"
		}
		for k, d := range st.Resources.Pairs(limits) {
			// The division avoids an overflow of the product.
			if limit := d[1]; limit > 0 && d[0] > limit/needed {
				return errors.Wrapf(ErrOverQuota, "step %d: %s needs more than the team's limit of %d %s", i, what, limit, resourceNames[k])
			}
		}
	}
	return nil
}

// resourceNames are the names of resources in messages to callers, in the order of Resources.Pairs.
var resourceNames = [...]string{"thousandths of a core", "MB of memory", "accelerators"}
