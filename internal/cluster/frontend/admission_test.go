package frontend

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/cluster/coordinator"
	"github.com/greengagewing/greengagewing/internal/cluster/election"
	"github.com/greengagewing/greengagewing/internal/cluster/forecast"
	"github.com/greengagewing/greengagewing/internal/cluster/peers"
	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// Guards against refusals of jobs that were accepted before, by digests that are too old or were withdrawn, of jobs that run until they are
// cancelled, and while the store can't tell whether the job was accepted.
func TestRefusalsByForecast(t *testing.T) {
	overload := func(ageMS int64) *forecast.Digest {
		return &forecast.Digest{Queues: []forecast.Queue{{Name: "q", InTimeMS: 60_000, LateMS: 60_000, Scale: 1}}, AgeMS: ageMS}
	}
	for name, c := range map[string]struct {
		digest  *forecast.Digest
		prepare func(s *JobService, store *rowstore.Memory, spec *workload.Spec)
		refused bool
	}{
		"a new job of an overloaded queue": {digest: overload(0), refused: true},
		"the digest is too old":            {digest: overload(forecast.MaxAge.Milliseconds() + 1)},
		"the owner has withdrawn the digest": {digest: overload(100), prepare: func(s *JobService, _ *rowstore.Memory, _ *workload.Spec) {
			s.admission.record(nil, s.admission.now())
		}},
		"another queue is overloaded": {digest: overload(0), prepare: func(_ *JobService, _ *rowstore.Memory, spec *workload.Spec) { spec.Queue.Name = "other" }},
		"the job was accepted before": {digest: overload(0), prepare: func(s *JobService, _ *rowstore.Memory, spec *workload.Spec) {
			if _, err := s.StoreJob(context.Background(), spec, workload.Access{}, 1); err != nil {
				t.Error(err)
			}
		}},
		"the store can't tell": {digest: overload(0), prepare: func(_ *JobService, store *rowstore.Memory, _ *workload.Spec) {
			calls := 0
			store.InjectError = func(string) error {
				if calls++; calls <= 2 {
					return rowstore.ErrUnavailable
				}
				return nil
			}
		}},
		"the job runs until it is cancelled": {digest: overload(0), prepare: func(_ *JobService, _ *rowstore.Memory, spec *workload.Spec) {
			spec.Steps[0].LongRunning = true
		}},
	} {
		t.Run(name, func(t *testing.T) {
			store := rowstore.NewMemory()
			s := New(Deps{Store: store, Roster: peers.NewRoster(zap.NewNop()), Log: zap.NewNop(), Metrics: tally.NoopScope,
				Watch: election.NewWatch(zap.NewNop()), Coordinator: coordinator.New(coordinator.Config{}, coordinator.Deps{}),
				Clock: func() time.Duration { return time.Hour }})
			spec := &workload.Spec{ID: testJob, Queue: queues.Queue{Name: "q", Service: "s", TargetLatency: time.Second},
				Steps: []workload.Step{{Count: 1, Estimate: time.Second, Resources: workload.Resources{CPUMilli: 100}}}}
			s.admission.record(c.digest, s.admission.now())
			if c.prepare != nil {
				c.prepare(s, store, spec)
			}
			err := s.Submit(context.Background(), spec, workload.Access{})
			var overloaded *OverloadedError
			if errors.As(err, &overloaded) != c.refused {
				t.Errorf("error %v, want a refusal: %v", err, c.refused)
			}
			if !c.refused && err != nil {
				t.Errorf("not accepted: %v", err)
			}
		})
	}
}
