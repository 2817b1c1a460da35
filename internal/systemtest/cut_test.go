package systemtest

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/greengagewing/greengagewing/internal/job"
	"github.com/greengagewing/greengagewing/internal/request"
)

// platformAddrs starts the names of all of the platform's parties: the store, the membership list, minions and workers.
const platformAddrs = "127.0.0.1:"

// TestCutDaemon guards against a daemon that still acts on its old ownership after it was cut from the store and its
// peers, while it still reaches minions, workers and callers, or reaches nobody, as a paused process does.
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
			run(t, 5, 3, func(s *system) {
				l := s.startLoad()
				victim := s.ownerOf("pool/" + service + "/0")
				if status, _, code := victim.submitJob(newJob("festival", "batch", job.Batch, 6, false, 25*time.Second)); status != 202 {
					t.Errorf("job: %d %s", status, code)
				}
				time.Sleep(4 * time.Second)
				before := s.owners.ownerChanges()
				s.net.cut("victim", match(s, victim.name))
				time.Sleep(cutFor)
				if s.owners.ownerChanges() == before {
					t.Error("no partition of the cut daemon was taken over")
				}
				s.net.heal("victim")
				s.allServed("after", takeoverBound, s.daemons...)
				s.awaitJob("festival", "batch", time.Minute, job.Done, job.Failed, job.Unknown)
				l.end()
			})
		})
	}
}

// TestSilentConnections guards against calls that wait on a connection that carries nothing any more while new ones
// work, and against running such a call twice.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	for name, match := range map[string]func(a, b string) bool{
		"between daemons": func(a, b string) bool {
			return strings.HasPrefix(a, "daemon-") && strings.HasPrefix(b, "daemon-")
		},
		"to minions": func(a, b string) bool {
			return strings.HasPrefix(a, "daemon-") && strings.HasPrefix(b, platformAddrs+"71")
		},
		"to workers": func(a, b string) bool {
			return strings.HasPrefix(a, "daemon-") && strings.HasPrefix(b, platformAddrs+"72")
		},
		"to the store": func(a, b string) bool {
			return strings.HasPrefix(a, "daemon-") && b == platformAddrs+"7000"
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			run(t, 6, 3, func(s *system) {
				l := s.startLoad()
				if status, _, code := s.daemons[0].submitJob(newJob("festival", "batch", job.Batch, 6, false, 30*time.Second)); status != 202 {
					t.Errorf("job: %d %s", status, code)
				}
				time.Sleep(5 * time.Second)
				changes := s.owners.ownerChanges()
				for range 3 {
					s.net.silence(match)
					time.Sleep(4 * time.Second)
				}
				s.allServed("after", 5*time.Second, s.daemons...)
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

// TestCutFromStoreOnly guards against a daemon that loses its partitions, or against callers of idempotent requests that
// are refused, because one daemon does not reach the store while all daemons reach each other.
func TestCutFromStoreOnly(t *testing.T) {
	t.Parallel()
	run(t, 13, 3, func(s *system) {
		const cutFor = 20 * time.Second
		victim := s.ownerOf("pool/" + service + "/0")
		mine := s.customersOf(victim)
		changes := s.owners.ownerChanges()
		s.net.cut("victim", func(a, b string) bool { return a == victim.name && b == s.platform.TableAddr() })
		began := time.Now()
		for n := 0; time.Since(began) < cutFor; n++ {
			p := s.daemons[n%len(s.daemons)]
			for _, c := range mine {
				out := p.submit(newRequest(c, fmt.Sprintf("cut-%s-%d", c, n), request.Normal, true, 10*time.Millisecond))
				if out.Outcome != request.Done {
					t.Errorf("request of %s at %s: %s %s %s", c, p.name, out.Outcome, out.Code, out.Message)
				}
			}
			time.Sleep(300 * time.Millisecond)
		}
		s.net.heal("victim")
		s.allServed("after", 5*time.Second, s.daemons...)
		time.Sleep(5 * time.Second)
		if now := s.owners.ownerChanges(); now != changes {
			t.Errorf("%d partitions changed their owner", now-changes)
		}
	})
}
