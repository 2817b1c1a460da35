package scheduler

import (
	"testing"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// Guards against another team's job that the owner tells of, and against a team that is lost when the job ends or the owner changes.
func TestOwnerTellsTeamsOnlyOfTheirJobs(t *testing.T) {
	teamA, teamB := workload.Access{Restricted: true, Team: "a"}, workload.Access{Restricted: true, Team: "b"}
	now := time.Unix(1_700_000_000, 0)
	s := New(Config{Epoch: 1, Retention: time.Minute})
	s.AddJob(now, &workload.Spec{ID: "j", Team: "a", Steps: []workload.Step{{Count: 1}}, Accepted: now}, nil, false)
	check := func(when string, s *Scheduler) {
		t.Helper()
		if _, known := s.LookupFor("j", teamA); !known {
			t.Errorf("%s: unknown to its team", when)
		}
		if state, known := s.LookupFor("j", teamB); known || state != "" {
			t.Errorf("%s: another team sees it as %s", when, state)
		}
		if _, known := s.LookupFor("j", workload.Access{}); !known {
			t.Errorf("%s: unknown where no keys are required", when)
		}
	}
	check("queued", s)
	s.Cancel(now, "j")
	_, recs, _ := s.TakeAllRecords()
	s.MarkStored(recs)
	check("ended", s)
	successor := New(Config{Epoch: 2, Retention: time.Minute})
	for _, r := range recs {
		successor.AddEndedJob(r.JobID, r.Progress)
	}
	check("ended under an earlier owner", successor)
}
