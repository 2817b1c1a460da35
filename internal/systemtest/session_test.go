package systemtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/greengagewing/greengagewing/internal/job"
	"github.com/greengagewing/greengagewing/internal/request"
)

// transcript records calls and their responses, for comparison with the golden file.
type transcript struct {
	s *system
	bytes.Buffer
}

// varyingFields matches JSON fields that differ between runs: the minion that served a request, and times that depend
// on goroutine scheduling.
var varyingFields = regexp.MustCompile(`"(minion|accepted_at|ended_at|retry_after_ms)":("[^"]*"|\d+)`)

func (tr *transcript) comment(format string, args ...any) { fmt.Fprintf(tr, "# "+format+"\n", args...) }

// call makes a call to the daemon's listener for callers, or to the one for peers and operators if the path starts with
// /admin/, and records it.
func (tr *transcript) call(daemon int, method, path string, body any) {
	p := tr.s.daemons[daemon]
	addr := p.callerAddr
	if bytes.HasPrefix([]byte(path), []byte("/admin/")) {
		addr = p.peer
	}
	raw, _ := json.Marshal(body)
	fmt.Fprintf(tr, "%s %s %s", p.name, method, path)
	if body != nil {
		fmt.Fprintf(tr, " %s", raw)
	}
	status, _, answer := p.call(method, addr, path, body)
	if status == 0 {
		answer = nil
	}
	fmt.Fprintf(tr, "\n  %d %s\n", status, varyingFields.ReplaceAll(bytes.TrimSpace(answer), []byte(`"$1":"..."`)))
}

func (tr *transcript) submit(daemon int, r request.Request) {
	tr.call(daemon, http.MethodPost, "/v1/services/textos/requests", map[string]any{
		"customer": r.Customer, "key": r.Key, "class": r.Class, "idempotent": r.Idempotent, "payload": r.Payload,
	})
}

func (tr *transcript) job(daemon int, spec job.Spec, states ...job.State) {
	tr.call(daemon, http.MethodPost, "/v1/pools/textos/jobs", spec)
	tr.s.awaitJob(spec.Customer, spec.Key, time.Minute, states...)
	tr.call((daemon+1)%len(tr.s.daemons), http.MethodGet, "/v1/pools/textos/jobs/"+spec.Customer+"/"+spec.Key, nil)
}

// TestSession guards against changes in what callers and operators see in a complete session without faults, and
// against an edit that does not come into force on the owner of a customer.
func TestSession(t *testing.T) {
	t.Parallel()
	runScenario(t, 1, 3, func(s *system) {
		tr := &transcript{s: s}
		tr.comment("the lists that were loaded")
		tr.call(0, http.MethodGet, "/admin/v1/lists/plans", nil)
		tr.call(1, http.MethodGet, "/admin/v1/lists/allowances", nil)
		tr.comment("a preview and a pause, each repeated at another daemon")
		preview := newRequest("bakery", "preview-1", request.Urgent, false, 80*time.Millisecond)
		pause := newRequest("school", "pause-1", request.Normal, false, 20*time.Millisecond)
		for daemon := range 2 {
			tr.submit(daemon, preview)
			tr.submit(daemon+1, pause)
		}
		tr.call(2, http.MethodGet, "/v1/services/textos/requests/bakery/preview-1", nil)
		tr.comment("calls that are refused")
		pause.Payload = json.RawMessage(`{"key":"pause-1","work_ms":30}`)
		tr.submit(0, pause)
		pause.Key = ""
		tr.submit(1, pause)
		tr.submit(2, newRequest("stranger", "preview-2", request.Urgent, false, 0))
		tr.comment("a batch, a gang and a service")
		tr.job(0, newJob("festival", "batch-1", job.Batch, 8, true, 2*time.Second), job.Done)
		tr.job(1, newJob("festival", "gang-1", job.Gang, 4, false, 2*time.Second), job.Done)
		tr.job(2, newJob("radio", "service-1", job.Service, 2, true, 0), job.Running)
		tr.call(0, http.MethodDelete, "/v1/pools/textos/jobs/radio/service-1", nil)
		s.awaitJob("radio", "service-1", time.Minute, job.Cancelled)
		tr.call(1, http.MethodGet, "/v1/pools/textos/jobs?customer=radio", nil)
		tr.comment("an edit that lowers an allowance, one on an old version, and requests 5 s later")
		low := map[string]any{"base": 1, "author": "ana", "edit_id": "lower", "set": map[string]any{
			"gold": map[string]any{"requests_per_second": 0.5, "burst": 1, "concurrency": 10, "queue": 10},
		}}
		tr.call(0, http.MethodPatch, "/admin/v1/lists/allowances", low)
		low["author"], low["edit_id"] = "bea", "other"
		tr.call(1, http.MethodPatch, "/admin/v1/lists/allowances", low)
		time.Sleep(editBound)
		for daemon := range 3 {
			tr.submit(daemon, newRequest("museum", fmt.Sprintf("after-%d", daemon), request.Normal, true, 0))
		}
		tr.comment("the allowance is restored")
		tr.call(2, http.MethodPatch, "/admin/v1/lists/allowances", map[string]any{
			"base": 2, "author": "ana", "edit_id": "restore", "set": map[string]any{"gold": goldAllowance},
		})
		tr.comment("a drain: readiness at once, service for another 2 s, then a refused connection")
		drained := make(chan error, 1)
		go func() { drained <- s.daemons[2].drain() }()
		time.Sleep(100 * time.Millisecond)
		tr.call(2, http.MethodGet, "/readyz", nil)
		time.Sleep(1200 * time.Millisecond) // the next scan of the partition rows shows the new owners
		tr.submit(2, newRequest("chorus", "during", request.Normal, true, 0))
		if err := <-drained; err != nil {
			t.Error(err)
		}
		tr.submit(2, newRequest("library", "after", request.Normal, true, 0))
		tr.submit(0, newRequest("library", "after", request.Normal, true, 0))
		goldie.New(t).Assert(t, "session", tr.Bytes())
	})
}
