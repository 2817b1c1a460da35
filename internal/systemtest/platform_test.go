package systemtest

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/greengagewing/greengagewing/internal/job"
)

// TestPausedWorkers guards against a task in two places because a worker reads a start or the renewal of a lease only
// after a pause, when the owner has given the task up. Workers with a clock and without one are mixed; those with a clock
// pause.
func TestPausedWorkers(t *testing.T) {
	t.Parallel()
	const clocked = "textos-worker-0[0-2]"
	clockedAddrs := []string{platformAddrs + "7200", platformAddrs + "7201", platformAddrs + "7202"}
	pause := func(s *system, paused bool) { s.fault(`{"target":%q,"paused":%t}`, clocked, paused) }
	for name, scenario := range map[string]func(s *system, submit func()){
		"start": func(s *system, submit func()) {
			pause(s, true)
			submit()
			// The starts are given up after 16 s, and sent to the others when those have ended their first tasks.
			time.Sleep(22 * time.Second)
			pause(s, false)
		},
		"renewal": func(s *system, submit func()) {
			submit()
			time.Sleep(2 * time.Second)
			pause(s, true)
			time.Sleep(12500 * time.Millisecond) // the leases still run
			s.net.cut("clocked", func(a, b string) bool { return strings.HasPrefix(a, "daemon-") && slices.Contains(clockedAddrs, b) })
			pause(s, false)
			time.Sleep(20 * time.Second)
			s.net.heal("clocked")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			run(t, 15, 3, func(s *system) {
				s.fault(`{"target":%q,"clock":true}`, clocked)
				time.Sleep(5 * time.Second) // until the reports show the clock
				spec := newJob("festival", "whole", job.Batch, 6, true, 18*time.Second)
				spec.Resources.CPUMilli = 4000 // one task a worker
				scenario(s, func() {
					if status, _, code := s.daemons[0].submitJob(spec); status != 202 {
						t.Errorf("job: %d %s", status, code)
					}
				})
				s.awaitJob("festival", "whole", jobBound, job.Done)
				late, starts := 0, 0
				for _, w := range s.platform.Audit.Report().Workers {
					late, starts = late+w.TooLate, starts+w.Starts
				}
				if late == 0 && starts == spec.Tasks {
					t.Error("no start came too late, and no task was given up")
				}
			})
		})
	}
}
