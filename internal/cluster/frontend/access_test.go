package frontend

import (
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/cluster/coordinator"
	"github.com/greengagewing/greengagewing/internal/cluster/election"
	"github.com/greengagewing/greengagewing/internal/cluster/peers"
	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// ownerlessService returns a JobService on a store in memory, with neither an owner nor peers.
func ownerlessService() (*JobService, *rowstore.Memory) {
	store := rowstore.NewMemory()
	return New(Deps{Store: store, Roster: peers.NewRoster(zap.NewNop()), Watch: election.NewWatch(zap.NewNop()), Log: zap.NewNop(), Metrics: tally.NoopScope,
		Coordinator: coordinator.New(coordinator.Config{}, coordinator.Deps{})}), store
}

var (
	teamA    = workload.Access{Restricted: true, Team: "a"}
	teamB    = workload.Access{Restricted: true, Team: "b"}
	keyless  = workload.Access{Restricted: true}
	anybody  = workload.Access{}
	callers  = map[string]workload.Access{"own team": teamA, "other team": teamB, "without a key": keyless, "where no keys are required": anybody}
	allowedA = map[string]bool{"own team": true, "where no keys are required": true}
)

func specOf(team string, payloadBytes int) *workload.Spec {
	spec := &workload.Spec{ID: testJob, Team: team, Payload: strings.Repeat("p", payloadBytes)}
	for range payloadBytes / 100 {
		spec.Steps = append(spec.Steps, workload.Step{Count: 1, Requirement: strings.Repeat("r", 200)})
	}
	return spec
}

// Guards against another team's job that can be seen, cancelled or submitted again from what the store holds of it: rows of the inbox in
// either partition, of one or several parts, and rows with its state.
func TestJobsOfOtherTeamsLookUnknown(t *testing.T) {
	progress := func(key rowstore.Key) func(store *rowstore.Memory) error {
		return func(store *rowstore.Memory) error {
			value, err := workload.EncodeProgress(&workload.Progress{State: workload.Completed, Team: "a", Ended: time.Unix(1, 0)})
			if err != nil {
				return err
			}
			_, err = store.Commit(t.Context(), rowstore.Txn{Puts: []rowstore.Put{{Key: key, Value: value}}})
			return err
		}
	}
	inbox := func(alternative, payloadBytes, maxBytes int) func(store *rowstore.Memory) error {
		return func(store *rowstore.Memory) error {
			value, err := workload.EncodeSpec(specOf("a", payloadBytes))
			if err != nil {
				return err
			}
			_, err = store.Commit(t.Context(), rowstore.Txn{Puts: records.Split(records.JobKey(testJob, alternative), value, maxBytes)})
			return err
		}
	}
	for name, c := range map[string]struct {
		put   func(store *rowstore.Memory) error
		state workload.State
		inbox bool
	}{
		"accepted":                     {inbox(0, 0, 1000), workload.Queued, true},
		"in the alternative partition": {inbox(1, 0, 1000), workload.Queued, true},
		"of several parts":             {inbox(0, 4000, 1000), workload.Queued, true},
		"running":                      {progress(records.ProgressKey(testJob)), workload.Completed, false},
		"ended":                        {progress(records.EndedKey(testJob)), workload.Completed, false},
	} {
		for caller, access := range callers {
			t.Run(name+", "+caller, func(t *testing.T) {
				s, store := ownerlessService()
				if err := c.put(store); err != nil {
					t.Fatal(err)
				}
				state, err := s.Lookup(t.Context(), testJob, access)
				if allowedA[caller] && (err != nil || state != c.state) || !allowedA[caller] && !errors.Is(err, ErrNoSuchJob) {
					t.Errorf("state %q, error %v", state, err)
				}
				if !c.inbox {
					return
				}
				err = s.Cancel(t.Context(), testJob, access)
				if allowedA[caller] != (err == nil) || !allowedA[caller] && !errors.Is(err, ErrNoSuchJob) {
					t.Errorf("cancellation: %v", err)
				}
			})
		}
	}
}

// Guards against a second submission of a job ID that changes another team's job or is taken for an earlier attempt of it, and against
// repeated submissions of a team that are refused.
func TestSecondSubmissionOfAnID(t *testing.T) {
	for caller, access := range callers {
		for name, payloadBytes := range map[string]int{"one row": 0, "several rows": 100_000} {
			t.Run(caller+", "+name, func(t *testing.T) {
				s, store := ownerlessService()
				if err := s.Submit(t.Context(), specOf("a", payloadBytes), teamA); err != nil {
					t.Fatal(err)
				}
				before, _, err := rowstore.ReadAll(t.Context(), store, records.Inbox, records.JobKey(testJob, 0).Partition)
				if err != nil {
					t.Fatal(err)
				}
				err = s.Submit(t.Context(), specOf(access.Team, 0), access)
				if allowedA[caller] != (err == nil) || !allowedA[caller] && !errors.Is(err, ErrIDInUse) {
					t.Errorf("second submission: %v", err)
				}
				outcome, err := s.StoreJob(t.Context(), specOf(access.Team, 0), access, 1)
				if !allowedA[caller] && outcome != peers.IDInUse {
					t.Errorf("second submission to the alternative partition: %s, %v", outcome, err)
				}
				after, _, err := rowstore.ReadAll(t.Context(), store, records.Inbox, records.JobKey(testJob, 0).Partition)
				if err != nil || len(after) != len(before) || after[0].Version != before[0].Version {
					t.Errorf("the first job was changed: %v", err)
				}
			})
		}
	}
}

// Guards against jobs of releases without teams that their callers can't access any more.
func TestJobsWithoutATeamAreOpenToAll(t *testing.T) {
	s, _ := ownerlessService()
	if err := s.Submit(t.Context(), specOf("", 0), anybody); err != nil {
		t.Fatal(err)
	}
	for caller, access := range callers {
		if state, err := s.Lookup(t.Context(), testJob, access); err != nil || state != workload.Queued {
			t.Errorf("%s: state %q, error %v", caller, state, err)
		}
		if err := s.Cancel(t.Context(), testJob, access); err != nil {
			t.Errorf("%s: cancellation: %v", caller, err)
		}
	}
}
