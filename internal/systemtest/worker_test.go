package systemtest

import (
	"bytes"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/greengagewing/greengagewing/internal/job"
)

// TestWorkers guards against a task that runs in two places, a worker over its capacity, a second run of a
// non-idempotent task, and accepted jobs that never end, when responses to task starts are lost, workers are
// unreachable or restart, and the owner of the pool crashes.
func TestWorkers(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]func(s *system){
		"lost start responses": func(s *system) {
			var n atomic.Int64
			s.net.LoseResponses(func(_ string, message []byte) bool {
				return bytes.HasPrefix(message, []byte("POST /v1/tasks ")) && n.Add(1)%3 == 0
			})
			time.Sleep(20 * time.Second)
			s.net.LoseResponses(func(string, []byte) bool { return false })
		},
		"unreachable worker": func(s *system) {
			for _, id := range []string{"00", "01"} {
				addr := platformAddrPrefix + "72" + id
				s.net.Cut(addr, func(a, b string) bool { return strings.HasPrefix(a, "daemon-") && b == addr })
			}
			time.Sleep(20 * time.Second)
			for _, id := range []string{"00", "01"} {
				s.net.Heal(platformAddrPrefix + "72" + id)
			}
		},
		"owner crash": func(s *system) {
			p := s.ownerOf("pool/" + service + "/0")
			p.crash()
			time.Sleep(15 * time.Second)
			p.start()
		},
		"owner restart": func(s *system) {
			p := s.ownerOf("pool/" + service + "/0")
			p.crash()
			time.Sleep(500 * time.Millisecond)
			p.start()
		},
		"unreachable worker and owner crash": func(s *system) {
			addr := platformAddrPrefix + "7202"
			s.net.Cut(addr, func(a, b string) bool { return strings.HasPrefix(a, "daemon-") && b == addr })
			time.Sleep(3 * time.Second)
			p := s.ownerOf("pool/" + service + "/0")
			p.crash()
			time.Sleep(17 * time.Second)
			s.net.Heal(addr)
			p.start()
		},
		"worker restart": func(s *system) {
			s.setFaults(`{"target":"textos-worker-04","restart":true}`)
			s.setFaults(`{"target":"textos-worker-05","paused":true}`)
			time.Sleep(20 * time.Second)
			s.setFaults(`{"target":"textos-worker-05","paused":false}`)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScenario(t, 11, 3, func(s *system) {
				var jobs jobLoad
				jobs.start(s, 12, 5*time.Second)
				if status, _, code := s.daemons[0].submitJob(newJob("radio", "service", job.Service, 3, true, 0)); status != 202 {
					t.Errorf("service: %d %s", status, code)
				}
				time.Sleep(3 * time.Second)
				faults(s)
				jobs.end(s)
				for end := time.Now().Add(time.Minute); ; time.Sleep(time.Second) {
					st, ok := s.jobStatus("radio", "service")
					if ok && st.Counts[job.Running] == 3 {
						break
					}
					if time.Now().After(end) {
						t.Errorf("service runs %v", st.Counts)
						break
					}
				}
			})
		})
	}
}
