package systemtest

import (
	"fmt"
	"testing"
	"time"

	"github.com/greengagewing/greengagewing/internal/job"
	"github.com/greengagewing/greengagewing/internal/request"
)

// customersOwnedBy returns the customers whose partition a daemon owns. It fails the test if there are none.
func (s *system) customersOwnedBy(p *process) []string {
	s.t.Helper()
	var out []string
	for _, c := range customers {
		if s.ownerOf(request.PartitionForCustomer(service, c)) == p {
			out = append(out, c)
		}
	}
	if len(out) == 0 {
		s.t.Fatalf("%s owns no customer's partition", p.name)
	}
	return out
}

// probeInterval is the time between two probe requests for a customer that is not served.
const probeInterval = 200 * time.Millisecond

// awaitServed sends new non-idempotent requests of a customer to a daemon until one is done. It reports an error if
// that takes longer than bound.
func (s *system) awaitServed(p *process, customer, label string, bound time.Duration) {
	s.t.Helper()
	began := time.Now()
	var last request.Outcome
	for n := 0; time.Since(began) < bound; n++ {
		req := newRequest(customer, fmt.Sprintf("probe-%s-%s-%s-%d", label, p.name, customer, n), request.Urgent, false, 0)
		req.TimeoutMS = 1000
		if last = p.submit(req); last.Result == request.Done && time.Since(began) <= bound {
			return
		}
		time.Sleep(probeInterval)
	}
	s.t.Errorf("%s: %s is not served by %s within %v: %s %s", label, customer, p.name, bound, last.Code, last.Message)
}

// awaitAllServed checks that each of the given daemons serves every customer within bound.
func (s *system) awaitAllServed(label string, bound time.Duration, at ...*process) {
	s.t.Helper()
	done := make(chan struct{})
	for _, p := range at {
		for _, c := range customers {
			go func() {
				s.awaitServed(p, c, label, bound)
				done <- struct{}{}
			}()
		}
	}
	for range len(at) * len(customers) {
		<-done
	}
}

// TestCrash guards against requests that run twice when the owner of a customer's partition crashes and another daemon,
// or the restarted owner, takes over. It also guards against a takeover that leaves customers unserved for too long.
func TestCrash(t *testing.T) {
	t.Parallel()
	for name, downtime := range map[string]time.Duration{
		"restart at once": 0, "restart before the takeover": 2 * time.Second, "restart after the takeover": 20 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScenario(t, 2, 3, func(s *system) {
				l := s.startLoad()
				time.Sleep(5 * time.Second)
				victim := s.ownerOf(request.PartitionForCustomer(service, customers[0]))
				victimCustomers := s.customersOwnedBy(victim)
				victim.crash()
				crashed := time.Now()
				servedAgain := make(chan struct{})
				go func() {
					defer close(servedAgain)
					for _, c := range victimCustomers {
						for _, p := range s.daemons {
							if p != victim {
								s.awaitServed(p, c, "crash", takeoverBound-time.Since(crashed))
							}
						}
					}
				}()
				time.Sleep(downtime)
				victim.start()
				<-servedAgain
				time.Sleep(20 * time.Second)
				if n := l.end(); n < 50 {
					t.Errorf("only %d requests were done", n)
				}
				s.awaitAllServed("after", takeoverBound, s.daemons...)
			})
		})
	}
}

// outageDuration is the length of a store outage during which partitions must keep their owners.
const outageDuration = 30 * time.Second

// TestStoreOutage guards against failures during a store outage: idempotent requests or running tasks stop,
// non-idempotent work starts without a durable record, callers wait instead of being refused, or partitions change
// owners.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	runScenario(t, 3, 3, func(s *system) {
		accept := func(spec job.Spec) {
			if status, _, code := s.daemons[0].submitJob(spec); status != 202 {
				t.Errorf("job %s: %d %s", spec.Key, status, code)
			}
		}
		accept(newJob("radio", "service", job.Service, 2, true, 0))
		accept(newJob("festival", "batch", job.Batch, 6, false, 20*time.Second))
		s.awaitJob("radio", "service", 10*time.Second, job.Running)
		s.awaitJob("festival", "batch", 10*time.Second, job.Running)
		time.Sleep(3 * time.Second)
		changes := s.owners.ownerChanges()
		s.setFaults(`{"target":"table","outage":true}`)
		began := time.Now()
		s.submitToEveryOwner()
		time.Sleep(2 * time.Second) // the journal is detected as down within 1 s
		for n := 0; time.Since(began) < outageDuration-time.Second; n++ {
			s.checkCallsDuringOutage(n)
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(outageDuration - time.Since(began))
		s.setFaults(`{"target":"table","outage":false}`)
		s.awaitAllServed("after", 5*time.Second, s.daemons...)
		accept(newJob("museum", "after", job.Batch, 3, true, time.Second))
		s.awaitJob("museum", "after", 10*time.Second, job.Done)
		if st := s.awaitJob("festival", "batch", 10*time.Second, job.Done); st.Counts[job.Done] != 6 {
			t.Errorf("batch ended with %v", st.Counts)
		}
		if st := s.awaitJob("radio", "service", time.Second, job.Running); st.Counts[job.Running] != 2 {
			t.Errorf("service has %v", st.Counts)
		}
		time.Sleep(5 * time.Second)
		for id, runs := range s.platform.Audit.Report().TaskRuns {
			if runs != 1 {
				t.Errorf("task %s was started %d times", id, runs)
			}
		}
		if now := s.owners.ownerChanges(); now != changes {
			t.Errorf("%d partitions changed their owner", now-changes)
		}
	})
}

// submitToEveryOwner sends a non-idempotent request for every customer without waiting for it, so that every owner has
// something to write to its journal.
func (s *system) submitToEveryOwner() {
	for _, c := range customers {
		go s.daemons[0].submit(newRequest(c, "first-"+c, request.Normal, false, 0))
	}
}

// immediateRefusalBound is the maximum latency of a refusal that does not wait for anything: two network hops there and
// back.
const immediateRefusalBound = 20 * time.Millisecond

// checkCallsDuringOutage makes one round of calls while the store is down: idempotent requests must be done, other
// requests and jobs must be refused immediately.
func (s *system) checkCallsDuringOutage(n int) {
	p := s.daemons[n%len(s.daemons)]
	for _, customer := range customers {
		key := fmt.Sprintf("%s-%d", customer, n)
		if out := p.submit(newRequest(customer, "idempotent-"+key, request.Normal, true, 10*time.Millisecond)); out.Result != request.Done {
			s.t.Errorf("idempotent request of %s at %s in the outage: %s %s %s", customer, p.name, out.Result, out.Code, out.Message)
		}
		began := time.Now()
		out := p.submit(newRequest(customer, "once-"+key, request.Normal, false, 10*time.Millisecond))
		if took := time.Since(began); out.Result != request.NotRun || out.Code != request.CodeStoreUnavailable || took > immediateRefusalBound {
			s.t.Errorf("non-idempotent request of %s at %s in the outage after %v: %s %s", customer, p.name, took, out.Result, out.Code)
		}
	}
	began := time.Now()
	status, _, code := p.submitJob(newJob("school", fmt.Sprintf("job-%d", n), job.Batch, 1, true, time.Second))
	if took := time.Since(began); status != 503 || code != job.CodeStoreUnavailable || took > immediateRefusalBound {
		s.t.Errorf("job at %s in the outage after %v: %d %s", p.name, took, status, code)
	}
}

// TestStoreFaultsUnderLoad guards against requests that run twice or get a wrong outcome under load, when a daemon
// crashes during or shortly before a store outage, or when the store is slow or its responses are lost.
func TestStoreFaultsUnderLoad(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]func(s *system){
		"outage and crash": func(s *system) {
			s.setFaults(`{"target":"table","outage":true}`)
			time.Sleep(2 * time.Second)
			s.daemons[1].crash()
			time.Sleep(8 * time.Second)
			s.daemons[1].start()
			time.Sleep(5 * time.Second)
			s.setFaults(`{"target":"table","outage":false}`)
		},
		"crash and outage": func(s *system) {
			s.daemons[1].crash()
			time.Sleep(2 * time.Second)
			s.setFaults(`{"target":"table","outage":true}`)
			time.Sleep(15 * time.Second)
			s.setFaults(`{"target":"table","outage":false}`)
			time.Sleep(time.Second)
			s.daemons[1].start()
		},
		"slow": func(s *system) {
			changes := s.owners.ownerChanges()
			s.setFaults(`{"target":"table","delay_ms":800}`)
			time.Sleep(20 * time.Second)
			s.setFaults(`{"target":"table","delay_ms":0}`)
			time.Sleep(time.Second)
			if now := s.owners.ownerChanges(); now != changes {
				s.t.Errorf("%d partitions changed their owner because the store was slow", now-changes)
			}
		},
		"lost responses": func(s *system) {
			r := s.rand(100)
			for range 40 {
				s.setFaults(`{"target":"table","lose_responses":%d}`, 1+r.IntN(4))
				time.Sleep(time.Duration(r.Int64N(int64(time.Second))))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScenario(t, 4, 3, func(s *system) {
				l := s.startLoad()
				time.Sleep(3 * time.Second)
				faults(s)
				s.awaitAllServed("after", takeoverBound, s.daemons...)
				time.Sleep(10 * time.Second)
				if n := l.end(); n < 50 {
					t.Errorf("only %d requests were done", n)
				}
			})
		})
	}
}
