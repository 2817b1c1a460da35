package systemtest

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/greengagewing/greengagewing/internal/job"
	"github.com/greengagewing/greengagewing/internal/request"
)

const (
	// leaveBound is the maximum time for which a leaving minion or worker may still get new work.
	leaveBound = 3 * time.Second
	// balancerLag is how long the load balancer keeps sending callers to a daemon that is no longer ready.
	balancerLag = time.Second
	// longServiceTime is the service time of requests that are still in flight when a draining daemon closes its
	// listener for callers.
	longServiceTime = 3 * time.Second
	// drainBound is the maximum time from the start of a drain until the process exits.
	drainBound = 20 * time.Second
)

// TestLeavingMachines guards against new work for a minion or worker that is leaving, and against requests that are cut
// off or tasks that are lost because it leaves.
func TestLeavingMachines(t *testing.T) {
	t.Parallel()
	runScenario(t, 9, 3, func(s *system) {
		l := s.startLoad()
		var jobs jobLoad
		jobs.start(s, 8, 3*time.Second)
		time.Sleep(5 * time.Second)
		leavingAddrs := map[string]string{}
		for _, h := range s.platform.Membership.Hosts() {
			if strings.HasSuffix(h.ID, "-00") || strings.HasSuffix(h.ID, "-03") {
				leavingAddrs[h.ID] = h.Addr
				s.setFaults(`{"target":%q,"leaving":true}`, h.ID)
			}
		}
		limit := time.Now().Add(leaveBound)
		time.Sleep(20 * time.Second)
		for id, addr := range leavingAddrs {
			if last := s.owners.lastWorkSent(addr); last.After(limit) {
				t.Errorf("%s was sent new work %v after it said that it leaves", id, last.Sub(limit)+leaveBound)
			}
		}
		l.end()
		jobs.end(s)
		for key, outcomes := range s.history.outcomes {
			if strings.Contains(strings.Join(outcomes, "\n"), ": unknown") {
				t.Errorf("request %s: %v", key, outcomes)
			}
		}
	})
}

// TestRollingReplacement guards against a drain that cuts off a request, gives an unknown outcome, takes too long, or
// loses or repeats a task, while all daemons are replaced one after the other under load.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	runScenario(t, 10, 5, func(s *system) {
		l := s.startLoad()
		var jobs jobLoad
		jobs.start(s, 10, 8*time.Second)
		for _, p := range s.daemons {
			time.Sleep(5 * time.Second)
			var longRequests sync.WaitGroup
			for i, c := range customers {
				longRequests.Go(func() {
					time.Sleep(balancerLag * time.Duration(i) / time.Duration(len(customers)))
					req := newRequest(c, fmt.Sprintf("long-%s-%s", p.name, c), request.Normal, i%2 == 0, longServiceTime)
					req.TimeoutMS = 10_000
					p.submit(req)
				})
			}
			time.AfterFunc(balancerLag, func() { p.closedToCallers.Store(true) })
			began := time.Now()
			if err := p.drain(); err != nil || time.Since(began) > drainBound {
				t.Errorf("%s drained for %v: %v", p.name, time.Since(began), err)
			}
			longRequests.Wait()
			time.Sleep(time.Second)
			p.start()
			time.Sleep(2 * time.Second)
			p.closedToCallers.Store(false)
		}
		time.Sleep(5 * time.Second)
		l.end()
		jobs.end(s)
		for outcome, n := range s.history.outcomeCounts {
			if strings.HasPrefix(outcome, "unknown") || strings.Contains(outcome, "not_sent") || outcome == "job 0 " {
				t.Errorf("%d requests: %s", n, outcome)
			}
		}
		for key, outcomes := range s.history.outcomes {
			// The long requests are not retried, so their last outcome may be a refusal.
			last := outcomes[len(outcomes)-1]
			if !strings.Contains(last, ": done") && !strings.HasPrefix(key, "long-") {
				t.Errorf("request %s was never done: %v", key, outcomes)
			}
		}
	})
}

// jobLoad submits jobs of random kinds and sizes.
type jobLoad struct {
	specs      []job.Spec
	done       chan struct{}
	adjustSpec func(i int, spec *job.Spec) // changes the random spec of job i, if not nil
}

// start submits n jobs one after the other, spread over the given time. It retries each submission at another daemon
// until it is accepted.
func (j *jobLoad) start(s *system, n int, over time.Duration) {
	r := s.rand(1000)
	for i := range n {
		kind := []job.Kind{job.Batch, job.Batch, job.Gang}[r.IntN(3)]
		runs := time.Second + time.Duration(r.Int64N(int64(15*time.Second)))
		spec := newJob(customers[r.IntN(len(customers))], fmt.Sprintf("job-%d", i), kind, 1+r.IntN(6), r.IntN(2) == 0, runs)
		if j.adjustSpec != nil {
			j.adjustSpec(i, &spec)
		}
		j.specs = append(j.specs, spec)
	}
	j.done = make(chan struct{})
	go func() {
		defer close(j.done)
		for i, spec := range j.specs {
			for at := i; ; at++ {
				p := s.daemons[at%len(s.daemons)]
				if p.closedToCallers.Load() {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				if status, _, _ := p.submitJob(spec); status == 202 {
					break
				}
				time.Sleep(500 * time.Millisecond)
			}
			time.Sleep(over / time.Duration(n))
		}
	}()
}

// jobBound is the maximum time for a job to end after all faults are cleared. It covers placement after a takeover, run
// times of up to 16 s for jobs that wait for each other, and retries of gangs.
const jobBound = 3 * time.Minute

// end waits until all jobs have ended. Jobs with idempotent tasks must be done, and the tasks of every job must all be
// in a final state.
func (j *jobLoad) end(s *system) {
	s.t.Helper()
	<-j.done
	for _, spec := range j.specs {
		st := s.awaitJob(spec.Customer, spec.Key, jobBound, job.Done, job.Failed, job.Cancelled, job.Unknown)
		if spec.Idempotent && st.State != job.Done {
			s.t.Errorf("job %s of idempotent tasks ended as %s: %s %v", spec.Key, st.State, st.Reason, st.Counts)
		}
		if n := st.Counts[job.Done] + st.Counts[job.Failed] + st.Counts[job.Cancelled] + st.Counts[job.Unknown]; n != spec.Tasks {
			s.t.Errorf("job %s ended with %v of %d tasks", spec.Key, st.Counts, spec.Tasks)
		}
	}
}

// TestReplacementDuringMembershipOutage guards against daemons that lose the membership list, or the information that a
// minion is leaving, when all of them are replaced one after the other while the membership list cannot be read.
func TestReplacementDuringMembershipOutage(t *testing.T) {
	t.Parallel()
	runScenario(t, 19, 3, func(s *system) {
		type members struct {
			Reported map[string]time.Time `json:"reported_leaving"`
			Copies   int                  `json:"copies"`
			AgeMS    int64                `json:"age_ms"`
		}
		l, began := s.startLoad(), time.Now()
		time.Sleep(3 * time.Second)
		s.setFaults(`{"target":"membership","outage":true}`)
		s.setFaults(`{"target":"textos-minion-0[0-2]","leaving":true}`)
		time.Sleep(leaveBound)
		limit, leavingHosts := time.Now(), map[string]bool{} // only hosts whose leaving some daemon has seen
		for _, p := range s.daemons {
			var m members
			p.readState("membership", &m)
			for id := range m.Reported {
				leavingHosts[id] = true
			}
		}
		if len(leavingHosts) == 0 {
			t.Error("no daemon has seen a minion report that it is leaving")
		}
		for _, p := range s.daemons {
			p.closedToCallers.Store(true)
			if err := p.drain(); err != nil {
				t.Errorf("%s: %v", p.name, err)
			}
			p.start()
			time.Sleep(5 * time.Second)
			p.closedToCallers.Store(false)
		}
		s.awaitAllServed("replaced", 5*time.Second, s.daemons...)
		spec := newJob("festival", "replaced", job.Batch, 4, true, 100*time.Millisecond)
		if status, _, code := s.daemons[0].submitJob(spec); status != http.StatusAccepted {
			t.Errorf("job: %d %s", status, code)
		}
		s.awaitJob("festival", "replaced", jobBound, job.Done)
		l.end()
		for _, p := range s.daemons {
			var m members
			p.readState("membership", &m)
			// The outage began 3 s after the start of the load.
			if age := time.Duration(m.AgeMS) * time.Millisecond; m.Copies == 0 || age < time.Since(began)-3*time.Second {
				t.Errorf("%s: membership list copied %d times is %v old, but the outage began %v ago", p.name, m.Copies, age,
					time.Since(began)-3*time.Second)
			}
		}
		for _, h := range s.platform.Membership.Hosts() {
			if last := s.owners.lastWorkSent(h.Addr); leavingHosts[h.ID] && last.After(limit) {
				t.Errorf("%s was sent new work %v after the limit", h.ID, last.Sub(limit))
			}
		}
		s.setFaults(`{"target":"membership","clear":true}`)
		s.awaitAllServed("after", 5*time.Second, s.daemons...)
	})
}
