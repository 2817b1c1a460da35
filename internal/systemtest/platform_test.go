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

// TestPausedWorkers guards against a task that runs in two places because a paused worker reads a task start or a lease
// renewal only after the pause, when the owner has already given the task up. Some workers have a clock and some do
// not; those with a clock pause.
func TestPausedWorkers(t *testing.T) {
	t.Parallel()
	const workersWithClock = "textos-worker-0[0-2]"
	addrsWithClock := []string{platformAddrPrefix + "7200", platformAddrPrefix + "7201", platformAddrPrefix + "7202"}
	for name, c := range map[string]struct{ runBeforePause, pause time.Duration }{
		// The owner gives the starts up after 16 s, and sends them to the other workers when those have ended their
		// first tasks.
		"start": {0, 22 * time.Second},
		// The leases have not expired yet when the workers resume.
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
					t.Errorf("%d starts were too late or repeated, want at least 3 for 3 paused workers", affectedStarts)
				}
			})
		})
	}
}

// TestMembershipOutage guards against new work for a minion or worker that itself reports that it is leaving while the
// membership list cannot be read, and against losing the known minions and workers during such an outage.
func TestMembershipOutage(t *testing.T) {
	t.Parallel()
	runScenario(t, 17, 3, func(s *system) {
		hosts, l, jobs := s.platform.Membership.Hosts(), s.startLoad(), jobLoad{}
		jobs.start(s, 20, 48*time.Second)
		time.Sleep(3 * time.Second)
		s.setFaults(`{"target":"membership","outage":true}`)
		served, limits := map[string]bool{}, map[string]time.Time{}
		for _, h := range hosts { // a minion in a partition without customers serves only requests of other partitions that borrow it, or none
			served[h.Addr] = h.Kind == standin.KindMinion && !s.owners.lastWorkSent(h.Addr).IsZero()
		}
		// The second group leaves only after the time for which a host's own report would override a readable list.
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
				t.Errorf("%s was sent new work %v after it began to report leaving", h.ID, last.Sub(limit)+leaveBound)
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

// TestFaultyMinions guards against a response that belongs to another request, a second run, and a wrong outcome, when
// minions crash before or after the work, and truncate, swap, duplicate or delay their responses under load.
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
				t.Errorf("%s applied its faults to only %d requests", id, m.Faults)
			}
		}
	})
}

// overuseBound is the maximum time for which the tasks of a worker may use more memory than it has: the lag of the
// reported usage, plus two rounds of report and throttle order, because two of its four tasks have to be throttled.
const overuseBound = 8 * time.Second

// TestWorkerFaults guards against a worker that is assigned more accelerators than it has, memory overuse that
// continues because declared sizes are too small, a worker that fails all tasks but still gets work, and jobs that
// never end.
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
				s.t.Errorf("a worker was assigned at most %d accelerators, want 2", n)
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
			jobs.adjustSpec = func(_ int, spec *job.Spec) { spec.Kind = job.Gang } // no member of a gang may be placed on the faulty worker
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
