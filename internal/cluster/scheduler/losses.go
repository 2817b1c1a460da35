package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// LossCause is how the scheduler learned that the runs of a worker are gone.
type LossCause string

// Causes of the loss of a worker's runs.
const (
	LossRestarted    LossCause = "restarted"     // a newer incarnation answers under its ID
	LossReplaced     LossCause = "replaced"      // another worker answers at its address
	LossEnded        LossCause = "process ended" // a call to it was answered by another worker
	LossLeaseExpired LossCause = "lease expired" // it did not answer until the lease of its runs had expired
	LossUnlisted     LossCause = "not listed"    // its report lists the runs neither as active nor as ended
)

// WorkerLoss is a worker whose runs are gone without an end, for logs and metrics.
type WorkerLoss struct {
	Worker      string
	Incarnation int64 // of the worker whose runs are gone
	Cause       LossCause
	NoticedAt   time.Time // when the first call without an answer failed, or the present time if all were answered
	// LeaseLeft is the longest time for which the runs could go on if the worker were only cut off; negative once they have
	// expired, zero if no lease is known.
	LeaseLeft time.Duration
	Runs      []LostRun // the youngest first
}

// LostRun is a run that ended with its worker.
type LostRun struct {
	Task workload.TaskID
	Run  int64
	Age  time.Duration // from its start until the loss was noticed
}

// recordLoss records the loss of runs that were placed on the worker. Their tasks wait until a commit confirms the ownership.
func (s *Scheduler) recordLoss(w *worker, lost []*placement, cause LossCause, now time.Time) {
	if len(lost) == 0 {
		return
	}
	l := WorkerLoss{Worker: w.info.ID, Incarnation: w.info.Incarnation, Cause: cause, NoticedAt: w.silentSince}
	if l.NoticedAt.IsZero() {
		l.NoticedAt = now
	}
	if !w.leaseUntil.IsZero() {
		l.LeaseLeft = w.leaseUntil.Sub(now)
	}
	for _, p := range lost {
		if p.task != nil {
			s.unconfirmedLosses[p.task.unit] = s.generation
		}
		l.Runs = append(l.Runs, LostRun{p.id, p.run, l.NoticedAt.Sub(p.startedAt())})
	}
	slices.SortFunc(l.Runs, func(a, b LostRun) int { return cmp.Compare(a.Age, b.Age) })
	s.losses = append(s.losses, l)
}

// startedAt returns the latest time at which the run may have started: when its start was ordered, or when the worker is known
// to have accepted it.
func (p *placement) startedAt() time.Time {
	if p.confirmedAt.After(p.orderedAt) {
		return p.confirmedAt
	}
	return p.orderedAt
}

// orderedBy returns when this owner ordered the run, or the zero time if it did not or has given the run up.
func (p *placement) orderedBy() time.Time {
	if p == nil || p.adopted {
		return time.Time{}
	}
	return p.orderedAt
}

// TakeWorkerLosses returns the losses since the last call.
func (s *Scheduler) TakeWorkerLosses() []WorkerLoss {
	losses := s.losses
	s.losses = nil
	return losses
}
