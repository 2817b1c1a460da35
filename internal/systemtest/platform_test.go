package systemtest

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/greengagewing/greengagewing/internal/job"
	"github.com/greengagewing/greengagewing/internal/standin"
)

// TestPausedWorkers guards against a task in two places because a worker reads a start or the renewal of a lease only
// after a pause, when the owner has given the task up. Workers with a clock and without one are mixed; those with a clock
// pause.
func TestPausedWorkers(t *testing.T) {
	t.Parallel()
	const workersWithClock = "textos-worker-0[0-2]"
	addrsWithClock := []string{platformAddrPrefix + "7200", platformAddrPrefix + "7201", platformAddrPrefix + "7202"}
	for name, c := range map[string]struct{ runBeforePause, pause time.Duration }{
		// The starts are given up after 16 s, and sent to the others when those have ended their first tasks.
		"start": {0, 22 * time.Second},
		// The leases still run when the workers go on.
		"renewal": {2 * time.Second, 12500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScenario(t, 15, 3, func(s *system) {
				s.setFaults(`{"target":%q,"clock":true}`, workersWithClock)
				time.Sleep(5 * time.Second) // until the reports show the clock
				spec := newJob("festival", "whole", job.Batch, 6, true, 18*time.Second)
				spec.Resources.CPUMilli = 4000 // one task a worker
				s.setFaults(`{"target":%q,"paused":%t}`, workersWithClock, c.runBeforePause == 0)
				if status, _, code := s.daemons[0].submitJob(spec); status != 202 {
					t.Errorf("job: %d %s", status, code)
				}
				time.Sleep(c.runBeforePause)
				s.setFaults(`{"target":%q,"paused":true}`, workersWithClock)
				time.Sleep(c.pause)
				s.net.Cut("clocked", func(a, b string) bool { return strings.HasPrefix(a, "daemon-") && slices.Contains(addrsWithClock, b) })
				s.setFaults(`{"target":%q,"paused":false}`, workersWithClock)
				time.Sleep(20 * time.Second)
				s.net.Heal("clocked")
				s.awaitJob("festival", "whole", jobBound, job.Done)
				affectedStarts := -spec.Tasks
				for _, w := range s.platform.Audit.Report().Workers {
					affectedStarts += w.TooLate + w.Starts
				}
				if affectedStarts < 3 {
					t.Errorf("%d starts came too late or were repeated; 3 workers paused", affectedStarts)
				}
			})
		})
	}
}

// TestMembershipOutage guards against new work for a machine that leaves while the list cannot be read and says so
// itself, and against the loss of the machines that are known.
func TestMembershipOutage(t *testing.T) {
	t.Parallel()
	runScenario(t, 17, 3, func(s *system) {
		hosts, l, jobs := s.platform.Membership.Hosts(), s.startLoad(), jobLoad{}
		jobs.start(s, 20, 48*time.Second)
		time.Sleep(3 * time.Second)
		s.setFaults(`{"target":"membership","outage":true}`)
		served, limits := map[string]bool{}, map[string]time.Time{}
		for _, h := range hosts { // a minion in a partition without customers serves loans only, or nothing
			served[h.Addr] = h.Kind == standin.KindMinion && !s.owners.lastWorkSent(h.Addr).IsZero()
		}
		// The second ones follow later than a machine's own word outweighs a list that can be read.
		for i, suffix := range []string{"-00", "-03"} {
			for _, h := range hosts {
				if strings.HasSuffix(h.ID, suffix) {
					s.setFaults(`{"target":%q,"leaving":true}`, h.ID)
					limits[h.Addr] = time.Now().Add(leaveBound)
				}
			}
			time.Sleep([]time.Duration{35 * time.Second, 12 * time.Second}[i])
		}
		taskSentRecently := false
		for _, h := range hosts {
			last := s.owners.lastWorkSent(h.Addr)
			recent, limit := time.Since(last) < 20*time.Second, limits[h.Addr]
			if !limit.IsZero() && last.After(limit) {
				t.Errorf("%s was sent new work %v after it said that it leaves", h.ID, last.Sub(limit)+leaveBound)
			} else if limit.IsZero() && served[h.Addr] && !recent {
				t.Errorf("%s was last sent a request %v ago", h.ID, time.Since(last))
			}
			taskSentRecently = taskSentRecently || recent && h.Kind == standin.KindWorker
		}
		if !taskSentRecently {
			t.Error("no worker was sent a task in the last 20 s")
		}
		jobs.end(s)
		l.end()
		s.setFaults(`{"target":"membership","clear":true}`)
		s.awaitAllServed("after", 5*time.Second, s.daemons...)
	})
}

// TestFaultyMinions guards against an answer for another caller, a second run, and an outcome that is not true, when
// minions crash before or after the work, and cut, swap, repeat and delay their answers under load.
func TestFaultyMinions(t *testing.T) {
	t.Parallel()
	runScenario(t, 16, 3, func(s *system) {
		l, r := s.startLoad(), s.rand(2000)
		for range 6 {
			for i, kind := range []string{"crash_before", "crash_after", "truncate", "cross", "duplicate"} {
				s.setFaults(`{"target":"textos-minion-%02d",%q:%d}`, i, kind, 3+r.IntN(3)) // 3 in a row eject a minion
			}
			s.setFaults(`{"target":"textos-minion-05","late":1,"late_ms":6000}`) // after the deadline of the request
			time.Sleep(3 * time.Second)
		}
		s.setFaults(`{"target":"textos-minion-*","clear":true}`)
		s.awaitAllServed("after", 5*time.Second, s.daemons...)
		if done := l.end(); done < 100 || s.history.outcomeCounts["unknown outcome_unknown"] == 0 {
			t.Errorf("%d requests were done; outcomes %v", done, s.history.outcomeCounts)
		}
		for id, m := range s.platform.Audit.Report().Minions {
			if m.Faults < 3 {
				t.Errorf("%s played its fault for %d requests", id, m.Faults)
			}
		}
	})
}

// overuseBound is how long the tasks of a worker may use more memory than it has: the lag of the usage, and two reports
// and orders, because two of its four tasks have to be throttled.
const overuseBound = 8 * time.Second

// TestWorkerFaults guards against a worker over its accelerators, against overuse that goes on because sizes were
// declared too small, against a worker that fails everything and goes on getting work, and against jobs that never end.
func TestWorkerFaults(t *testing.T) {
	t.Parallel()
	const faultyWorker = "textos-worker-01"
	for name, scenario := range map[string]func(s *system, jobs *jobLoad){
		"accelerators": func(s *system, jobs *jobLoad) {
			allowance := maps.Clone(goldAllowance)
			allowance["accelerators"] = 100
			if status, body := s.daemons[0].editList("allowances", 1, map[string]any{"gold": allowance}); status != 200 {
				s.t.Errorf("allowances were not changed: %d %s", status, body)
			}
			time.Sleep(editBound)
			jobs.adjustSpec = func(i int, spec *job.Spec) { spec.Resources.Accelerators = int64(i % 3) }
			jobs.start(s, 16, 10*time.Second)
			time.Sleep(4 * time.Second)
			s.setFaults(`{"target":%q,"unreachable":true}`, faultyWorker)
			s.ownerOf("pool/" + service + "/0").crash()
			time.Sleep(20 * time.Second)
			s.setFaults(`{"target":%q,"unreachable":false}`, faultyWorker)
			jobs.end(s)
			if n := s.platform.Audit.Report().Workers["textos-worker-00"].MaxAssigned.Accelerators; n != 2 {
				s.t.Errorf("a worker was given at most %d of its 2 accelerators", n)
			}
		},
		"sizes that are too small": func(s *system, jobs *jobLoad) {
			s.setFaults(`{"target":"textos-worker-*","usage_ratio":3,"usage_lag_ms":2000}`)
			jobs.start(s, 16, 20*time.Second)
			jobs.end(s)
			var longest time.Duration
			for _, w := range s.platform.Audit.Report().Workers {
				longest = max(longest, time.Duration(w.LongestOveruseMS)*time.Millisecond)
			}
			if longest == 0 || longest > overuseBound {
				s.t.Errorf("a worker used more memory than it has for %v", longest)
			}
		},
		"a worker that fails everything": func(s *system, jobs *jobLoad) {
			s.setFaults(`{"target":%q,"fail_all":true}`, faultyWorker)
			jobs.adjustSpec = func(_ int, spec *job.Spec) { spec.Kind = job.Gang } // a gang has to avoid the worker as a whole
			jobs.start(s, 30, 30*time.Second)
			jobs.end(s)
			var parts []job.PartitionState
			var quarantined []string
			s.ownerOf("pool/"+service+"/0").readState("jobs", &parts)
			for _, w := range parts[0].Workers {
				if !w.QuarantinedUntil.IsZero() {
					quarantined = append(quarantined, w.ID)
				}
			}
			if !slices.Equal(quarantined, []string{faultyWorker}) {
				s.t.Errorf("quarantined: %v", quarantined)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScenario(t, 18, 3, func(s *system) { scenario(s, &jobLoad{}) })
		})
	}
}
