package systemtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/greengagewing/greengagewing/internal/job"
	"github.com/greengagewing/greengagewing/internal/plan"
	"github.com/greengagewing/greengagewing/internal/request"
)

// platformAddrPrefix is the prefix of the network names of everything in the fake platform: the store, the membership
// list, minions and workers. Daemons are named daemon-N instead.
const platformAddrPrefix = "127.0.0.1:"

// TestCutDaemon guards against a daemon that still acts as owner of its partitions after a network partition has cut it
// off from the store and its peers. In one case it still reaches minions, workers and callers; in the other it reaches
// nothing, like a paused process.
func TestCutDaemon(t *testing.T) {
	t.Parallel()
	const cutFor = 10 * time.Second
	for name, match := range map[string]func(s *system, victim string) func(a, b string) bool{
		"from the store and peers": func(s *system, victim string) func(a, b string) bool {
			return func(a, b string) bool {
				return a == victim && (b == s.platform.TableAddr() || strings.HasPrefix(b, "daemon-"))
			}
		},
		"from everything": func(_ *system, victim string) func(a, b string) bool {
			return func(a, _ string) bool { return a == victim }
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScenario(t, 5, 3, func(s *system) {
				l := s.startLoad()
				victim := s.ownerOf("pool/" + service + "/0")
				if status, _, code := victim.submitJob(newJob("festival", "batch", job.Batch, 6, false, 25*time.Second)); status != 202 {
					t.Errorf("job: %d %s", status, code)
				}
				time.Sleep(4 * time.Second)
				before := s.owners.ownerChanges()
				s.net.Cut("victim", match(s, victim.name))
				time.Sleep(cutFor)
				if s.owners.ownerChanges() == before {
					t.Error("no partition of the cut daemon was taken over")
				}
				s.net.Heal("victim")
				s.awaitAllServed("after", takeoverBound, s.daemons...)
				s.awaitJob("festival", "batch", time.Minute, job.Done, job.Failed, job.Unknown)
				l.end()
			})
		})
	}
}

// TestSilentConnections guards against calls that wait on a connection that silently drops all traffic while new
// connections work, and against requests or tasks that run twice when such a call is retried.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	for name, match := range map[string]func(a, b string) bool{
		"between daemons": func(a, b string) bool {
			return strings.HasPrefix(a, "daemon-") && strings.HasPrefix(b, "daemon-")
		},
		"to minions": func(a, b string) bool {
			return strings.HasPrefix(a, "daemon-") && strings.HasPrefix(b, platformAddrPrefix+"71")
		},
		"to workers": func(a, b string) bool {
			return strings.HasPrefix(a, "daemon-") && strings.HasPrefix(b, platformAddrPrefix+"72")
		},
		"to the store": func(a, b string) bool {
			return strings.HasPrefix(a, "daemon-") && b == platformAddrPrefix+"7000"
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScenario(t, 6, 3, func(s *system) {
				l := s.startLoad()
				if status, _, code := s.daemons[0].submitJob(newJob("festival", "batch", job.Batch, 6, false, 30*time.Second)); status != 202 {
					t.Errorf("job: %d %s", status, code)
				}
				time.Sleep(5 * time.Second)
				changes := s.owners.ownerChanges()
				for range 3 {
					s.net.Silence(match)
					time.Sleep(4 * time.Second)
				}
				s.awaitAllServed("after", 5*time.Second, s.daemons...)
				if now := s.owners.ownerChanges(); now != changes {
					t.Errorf("%d partitions changed their owner", now-changes)
				}
				if st := s.awaitJob("festival", "batch", time.Minute, job.Done); st.Counts[job.Done] != 6 {
					t.Errorf("batch ended with %v", st.Counts)
				}
				l.end()
			})
		})
	}
}

// TestCutFromStoreOnly guards against a daemon that loses its partitions, and against idempotent requests that are
// refused, when one daemon cannot reach the store but all daemons reach each other.
func TestCutFromStoreOnly(t *testing.T) {
	t.Parallel()
	runScenario(t, 13, 3, func(s *system) {
		const cutFor = 20 * time.Second
		victim := s.ownerOf("pool/" + service + "/0")
		victimCustomers := s.customersOwnedBy(victim)
		changes := s.owners.ownerChanges()
		s.net.Cut("victim", func(a, b string) bool { return a == victim.name && b == s.platform.TableAddr() })
		began := time.Now()
		for n := 0; time.Since(began) < cutFor; n++ {
			p := s.daemons[n%len(s.daemons)]
			for _, c := range victimCustomers {
				out := p.submit(newRequest(c, fmt.Sprintf("cut-%s-%d", c, n), request.Normal, true, 10*time.Millisecond))
				if out.Result != request.Done {
					t.Errorf("request of %s at %s: %s %s %s", c, p.name, out.Result, out.Code, out.Message)
				}
			}
			time.Sleep(300 * time.Millisecond)
		}
		s.net.Heal("victim")
		s.awaitAllServed("after", 5*time.Second, s.daemons...)
		time.Sleep(5 * time.Second)
		if now := s.owners.ownerChanges(); now != changes {
			t.Errorf("%d partitions changed their owner", now-changes)
		}
	})
}

// near and far are the names of two regions. The table is in near.
const near, far = "near", "far"

// runInTwoRegions runs a scenario with two daemons in each of two regions. The scenario calls cut to disconnect the
// regions from each other.
func runInTwoRegions(t *testing.T, seed uint64, scenario func(s *system, cut func())) {
	runInRegions(t, seed, []string{near, far, near, far}, func(s *system) {
		regionOf := map[string]string{s.platform.TableAddr(): near}
		for _, p := range s.daemons {
			regionOf[p.name] = p.region
			s.customersOwnedBy(p)
		}
		scenario(s, func() {
			s.net.Cut("regions", func(a, b string) bool {
				return regionOf[a] != "" && regionOf[b] != "" && regionOf[a] != regionOf[b]
			})
		})
	})
}

// TestRegionCut guards against failures while two regions are disconnected from each other: they take over each other's
// partitions, work within a region stops, an edit is accepted but not in force everywhere, or pending dials accumulate.
func TestRegionCut(t *testing.T) {
	t.Parallel()
	const (
		cutFor        = 2 * time.Minute
		detectionTime = 8 * time.Second // until every daemon has detected the cut
		// Each daemon has at most a few calls in flight to each peer or platform service that it cannot reach.
		maxDialing = 100
	)
	runInTwoRegions(t, 21, func(s *system, cut func()) {
		if status, _, code := s.daemons[0].submitJob(newJob("radio", "service", job.Service, 2, true, 0)); status != 202 {
			t.Errorf("job: %d %s", status, code)
		}
		s.awaitJob("radio", "service", 10*time.Second, job.Running)
		changes := s.owners.ownerChanges()
		cut()
		began := time.Now()
		for time.Since(began) < detectionTime {
			s.checkEditInForce(s.daemons[0])
		}
		for n := 0; time.Since(began) < cutFor; n++ {
			s.checkCallsDuringRegionCut(n, near)
			time.Sleep(5 * time.Second)
		}
		if n := s.net.Dialing.Load(); n > maxDialing {
			t.Errorf("%d dials are open", n)
		}
		s.net.Heal("regions")
		s.awaitAllServed("after", 5*time.Second, s.daemons...)
		if st := s.awaitJob("radio", "service", time.Second, job.Running); st.Counts[job.Running] != 2 {
			t.Errorf("service has %v", st.Counts)
		}
		if now := s.owners.ownerChanges(); now != changes {
			t.Errorf("%d partitions changed their owner", now-changes)
		}
		if !s.checkEditInForce(s.daemons[1]) {
			t.Error("no edit is accepted after the cut")
		}
	})
}

// TestEditAtRegionCut guards against an edit that commits at the moment when the regions are disconnected, and the old
// list that then stays in force in the far region because the daemons there confirm it to each other.
func TestEditAtRegionCut(t *testing.T) {
	t.Parallel()
	runInTwoRegions(t, 22, func(s *system, cut func()) {
		var once sync.Once
		s.net.LoseResponses(func(to string, message []byte) bool {
			if to == s.platform.TableAddr() && bytes.HasPrefix(message, []byte("POST")) && bytes.Contains(message, []byte(`"list/allowances/log`)) {
				once.Do(cut)
			}
			return false
		})
		if !s.checkEditInForce(s.daemons[0]) {
			t.Error("the edit was not accepted")
		}
		time.Sleep(time.Minute)
		s.net.Heal("regions")
		s.awaitAllServed("after", 5*time.Second, s.daemons...)
		if !s.checkEditInForce(s.daemons[1]) {
			t.Error("no edit is accepted after the cut")
		}
	})
}

// checkEditInForce sends an edit and reports whether it was accepted. If so, it checks that after editBound no daemon
// admits work by an older version.
func (s *system) checkEditInForce(at *process) bool {
	status, body := at.resubmitAllowances()
	if status != http.StatusOK {
		time.Sleep(250 * time.Millisecond)
		return false
	}
	var accepted struct{ Version int64 }
	if err := json.Unmarshal(body, &accepted); err != nil {
		s.t.Error(err)
	}
	time.Sleep(editBound)
	for _, p := range s.daemons {
		var st plan.ListsState
		if p.readState("lists", &st) && st.Fresh && st.Allowances.Version < accepted.Version {
			s.t.Errorf("%s still uses version %d, %v after version %d was accepted", p.name, st.Allowances.Version, editBound, accepted.Version)
		}
	}
	return true
}

// checkCallsDuringRegionCut makes one round of calls at all daemons while only the daemons in storeRegion reach the
// store. Requests to an owner in the other region, and non-idempotent requests outside storeRegion, must be refused
// immediately; all other requests must be done. Edits must be refused everywhere.
func (s *system) checkCallsDuringRegionCut(n int, storeRegion string) {
	for _, p := range s.daemons {
		for _, owner := range s.daemons {
			for _, c := range s.customersOwnedBy(owner) {
				for _, idempotent := range []bool{true, false} {
					began := time.Now()
					out := p.submit(newRequest(c, fmt.Sprintf("region-%s-%s-%d-%v", c, p.name, n, idempotent), request.Normal, idempotent, 10*time.Millisecond))
					want := request.Code("")
					switch {
					case p.region != owner.region:
						want = request.CodeNoOwner
					case !idempotent && p.region != storeRegion:
						want = request.CodeStoreUnavailable
					}
					if out.Code != want || (out.Result == request.Done) != (want == "") {
						s.t.Errorf("round %d: %s to %s, idempotent %v: %s %s", n, p.region, owner.region, idempotent, out.Result, out.Code)
					}
					if took := time.Since(began); want != "" && took > immediateRefusalBound {
						s.t.Errorf("round %d: %s to %s, idempotent %v: refused after %v", n, p.region, owner.region, idempotent, took)
					}
				}
			}
		}
		if status, body := p.resubmitAllowances(); status != http.StatusServiceUnavailable {
			s.t.Errorf("edit at %s in the cut: %d %s", p.name, status, body)
		}
	}
}

// resubmitAllowances sends an edit that sets the allowances to the values that they already have.
func (p *process) resubmitAllowances() (int, []byte) {
	version, _ := p.allowancesVersion()
	return p.editList("allowances", version, map[string]any{"gold": goldAllowance})
}
