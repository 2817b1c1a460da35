package systemtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/greengagewing/greengagewing/internal/memnet"
	"github.com/greengagewing/greengagewing/internal/plan"
)

// allowancesVersion returns the version of the allowances in force on a daemon.
func (p *process) allowancesVersion() (int64, bool) {
	var st plan.ListsState
	if !p.readState("lists", &st) {
		return 0, false
	}
	return st.Allowances.Version, true
}

// edit sends one edit of the allowances, retries it after an unknown outcome, and records its final result.
func (p *process) edit(base int64, id string, burst int) editResult {
	s := p.s
	limits := map[string]any{}
	for k, v := range goldAllowance {
		limits[k] = v
	}
	limits["burst"] = burst
	var res editResult
	began := time.Now()
	for range 4 {
		status, _, body := p.call(http.MethodPatch, p.peer, "/admin/v1/lists/allowances", map[string]any{
			"base": base, "author": p.name, "edit_id": id, "set": map[string]any{"gold": limits},
		})
		var answer struct {
			Version        int64
			CurrentVersion int64 `json:"current_version"`
		}
		_ = json.Unmarshal(body, &answer)
		res = editResult{status: status, version: max(answer.Version, answer.CurrentVersion)}
		if status != 0 && status != http.StatusGatewayTimeout {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.history.withLock(func() {
		s.history.outcomeCounts[fmt.Sprintf("edit %d", res.status)]++
		s.history.edits = append(s.history.edits, porcupine.Operation{
			Input: edit{list: "allowances", base: base}, Output: res,
			Call: int64(began.Sub(s.began)), Return: int64(time.Since(s.began)),
		})
	})
	return res
}

// checkVersionsNeverFall checks, until stop is closed, that the version of the allowances in force on a daemon never
// decreases while the daemon runs. The returned channel is closed when the check has ended.
func (s *system) checkVersionsNeverFall(stop <-chan struct{}) (finished <-chan struct{}) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		last := map[*memnet.Party]int64{}
		for {
			for _, p := range s.daemons {
				instance := p.party.Load()
				if v, ok := p.allowancesVersion(); ok && instance == p.party.Load() {
					if v < last[instance] {
						s.history.addProblem("%s went back from version %d to %d", p.name, last[instance], v)
					}
					last[instance] = v
				}
			}
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	}()
	return done
}

// awaitVersionInForce waits until each of the given daemons has at least the given version in force. It reports an
// error if that takes longer than editBound since the edit was accepted.
func (s *system) awaitVersionInForce(version int64, accepted time.Time, at ...*process) {
	s.t.Helper()
	for _, p := range at {
		for {
			v, ok := p.allowancesVersion()
			if ok && v >= version {
				break
			}
			if time.Since(accepted) > editBound {
				s.t.Errorf("%s has version %d in force %v after version %d was accepted", p.name, v, time.Since(accepted), version)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// TestRacingOperators guards against failures of concurrent edits: an edit is lost, overwrites another edit that its
// author had not seen, is reported with a wrong outcome, or is not in force everywhere in time.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	runScenario(t, 7, 3, func(s *system) {
		// The edit that loaded the list as version 1 was not recorded, so it is added to the history.
		s.history.withLock(func() {
			s.history.edits = append(s.history.edits, porcupine.Operation{
				Input: edit{list: "allowances"}, Output: editResult{http.StatusOK, 1}, Call: 0, Return: 1,
			})
		})
		stop := make(chan struct{})
		watched := s.checkVersionsNeverFall(stop)
		editors := make(chan int)
		for i := range 2 {
			r := s.rand(uint64(i))
			go func() {
				accepted, base := 0, int64(1)
				for n := range 25 {
					res := s.daemons[i].edit(base, fmt.Sprintf("edit-%d-%d", i, n), 500+n)
					switch res.status {
					case http.StatusOK:
						accepted++
						s.awaitVersionInForce(res.version, time.Now(), s.daemons...)
						base = res.version
					case http.StatusConflict:
						base = res.version
					}
					if r.IntN(2) == 0 {
						s.setFaults(`{"target":"table","lose_responses":%d}`, 1+r.IntN(2))
					}
					time.Sleep(time.Duration(r.Int64N(int64(500 * time.Millisecond))))
				}
				editors <- accepted
			}()
		}
		if a, b := <-editors, <-editors; a < 5 || b < 5 {
			t.Errorf("only %d and %d edits were accepted", a, b)
		}
		close(stop)
		<-watched
	})
}
