package frontend

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/cluster/clock"
	"github.com/greengagewing/greengagewing/internal/cluster/forecast"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

const (
	// refusalCheckTimeout limits the check whether the job of a caller who would be refused has been accepted before.
	refusalCheckTimeout = 500 * time.Millisecond
	// refusalsEndAfter is how long after the last refusal the log says that refusals have ended.
	refusalsEndAfter = 3 * time.Second
	// maxPath limits the duration of a chain of steps, so that the estimates of a caller do not overflow.
	maxPath = 365 * 24 * time.Hour
)

// OverloadedError means that a job was not accepted, and never will be, because it would end too late to be of use.
type OverloadedError struct {
	RetryAfter time.Duration // when the caller should come back
}

func (e *OverloadedError) Error() string { return "frontend: overloaded" }

// admission decides by the newest digest of the owner which jobs this host refuses.
type admission struct {
	clock clock.Func
	log   *zap.Logger

	mu     sync.Mutex
	digest *forecast.Digest
	madeAt time.Duration // reading of the clock when the digest was made, or an earlier one

	refused  int         // since refusals began
	endTimer *time.Timer // logs the end of refusals; nil if there are none
}

func newAdmission(c clock.Func, log *zap.Logger) *admission {
	if c == nil {
		began := time.Now()
		c = func() time.Duration { return time.Since(began) }
	}
	return &admission{clock: c, log: log}
}

func (a *admission) now() time.Duration { return a.clock() }

// record notes the digest in an answer of the owner to a question that was sent at sentAt; nil means that no queue is overloaded. The age
// in the digest is counted back from sentAt, so the digest counts as at least as old as it is.
func (a *admission) record(d *forecast.Digest, sentAt time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	madeAt := sentAt
	if d != nil {
		madeAt -= time.Duration(d.AgeMS) * time.Millisecond
	}
	if madeAt > a.madeAt {
		a.digest, a.madeAt = d, madeAt
	}
}

// refuses reports whether the job would end too late, and returns its expected wait.
func (a *admission) refuses(j forecast.Job) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.digest.Refuses(j, a.clock()-a.madeAt)
}

// noteRefusal counts a refusal, and logs when refusals begin and when there have been none for refusalsEndAfter.
func (a *admission) noteRefusal(queue string, wait time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused++
	if a.endTimer != nil {
		a.endTimer.Reset(refusalsEndAfter)
		return
	}
	a.log.Warn("jobs that would end too late are refused", zap.String("queue", queue), zap.Duration("expected_wait", wait))
	a.endTimer = time.AfterFunc(refusalsEndAfter, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.log.Info("no more jobs are refused", zap.Int("refused", a.refused))
		a.refused, a.endTimer = 0, nil
	})
}

// refuseIfOverloaded returns an OverloadedError if the job would end too late to be of use. A job that was accepted before is not refused,
// since its caller repeats the submission because the answer was lost; nor is a job for which the store can't tell. While the store is
// slow nothing is refused, because an earlier attempt of the caller with an unknown outcome may still be in progress.
func (s *JobService) refuseIfOverloaded(ctx context.Context, spec *workload.Spec, access workload.Access) error {
	if d, err := s.Coordinator.Forecast(); err == nil {
		s.admission.record(d, s.admission.now())
	}
	j, ok := forecastJob(spec)
	if !ok {
		return nil
	}
	wait, refuse := s.admission.refuses(j)
	if !refuse || s.storeSlow() {
		return nil
	}
	checkCtx, cancel := context.WithTimeout(ctx, refusalCheckTimeout)
	defer cancel()
	if known, err := s.acceptedBefore(checkCtx, spec.ID, access); known || err != nil {
		return nil
	}
	s.admission.noteRefusal(spec.Queue.Name, wait)
	return &OverloadedError{RetryAfter: forecast.RetryAfter(wait, rand.Float64())}
}

// acceptedBefore reports whether the job is stored in any of the partitions that may hold it. In contrast to accepted, an error of one of them
// counts even if another one does not hold the job, and a job that the caller may not access counts as well.
func (s *JobService) acceptedBefore(ctx context.Context, id string, access workload.Access) (bool, error) {
	access.Restricted = false
	return s.accepted(ctx, id, access)
}

// forecastJob returns what the forecast needs to know about a job, and false if the job is never refused: it repeats, or a step runs until it is
// cancelled.
func forecastJob(spec *workload.Spec) (forecast.Job, bool) {
	if spec.Repetitions > 0 || len(spec.Steps) == 0 {
		return forecast.Job{}, false
	}
	j := forecast.Job{Queue: spec.Queue.Name, Service: spec.Queue.Service, Team: spec.Team, TargetLatency: spec.Queue.TargetLatency,
		SlackFactor: spec.Queue.SlackFactor, Smallest: spec.Steps[0].Resources}
	path := make([]time.Duration, len(spec.Steps)) // that ends with the step; a step depends on earlier ones only
	for i, step := range spec.Steps {
		if step.LongRunning {
			return forecast.Job{}, false
		}
		for _, earlier := range step.DependsOn {
			path[i] = max(path[i], path[earlier])
		}
		path[i] = min(path[i]+step.Estimate, maxPath)
		j.Path = max(j.Path, path[i])
		if len(step.DependsOn) == 0 {
			j.Smallest = smaller(j.Smallest, step.Resources)
		}
		if step.BestEffort {
			j.Smallest.CPUMilli = 0 // it uses what other tasks leave idle
		}
	}
	return j, true
}

// smaller returns the lower need of each resource.
func smaller(a, b workload.Resources) workload.Resources {
	return workload.Resources{CPUMilli: min(a.CPUMilli, b.CPUMilli), MemoryMB: min(a.MemoryMB, b.MemoryMB), Accelerators: min(a.Accelerators, b.Accelerators)}
}
