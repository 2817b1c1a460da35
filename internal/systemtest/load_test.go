package systemtest

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/greengagewing/greengagewing/internal/job"
	"github.com/greengagewing/greengagewing/internal/request"
)

// submit sends a request and records its outcome.
func (p *process) submit(r request.Request) request.Outcome {
	h, began := p.s.history, time.Now()
	status, sent, body := p.call(http.MethodPost, p.callerAddr, "/v1/services/"+service+"/requests", map[string]any{
		"customer": r.Customer, "key": r.Key, "class": r.Class, "idempotent": r.Idempotent, "timeout_ms": r.TimeoutMS,
		"payload": r.Payload,
	})
	var out request.Outcome
	switch {
	case status == 0 && sent:
		out = request.UnknownOutcome("no_answer", string(body))
	case status == 0:
		out = request.NotRunOutcome("not_sent", string(body), 0)
	case json.Unmarshal(body, &out) != nil:
		h.addProblem("request %s: status %d with %q", r.Key, status, body)
		return out
	}
	var result struct{ Key string }
	if out.Result == request.Done && (json.Unmarshal(out.Answer, &result) != nil || result.Key != r.Key) {
		h.addProblem("request %s got the response %q", r.Key, out.Answer)
	}
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		if out.RetryAfterMS <= 0 {
			h.addProblem("request %s: %s without a retry-after time", r.Key, out.Code)
		}
	}
	h.withLock(func() {
		h.outcomeCounts[fmt.Sprintf("%s %s", out.Result, out.Code)]++
		h.outcomes[r.Key] = append(h.outcomes[r.Key], fmt.Sprintf("%.3f-%.3f %s: %s %s %s",
			began.Sub(p.s.began).Seconds(), time.Since(p.s.began).Seconds(), p.name, out.Result, out.Code, out.Message))
		h.mayHaveRun[r.Key] = h.mayHaveRun[r.Key] || out.Result != request.NotRun
		if !r.Idempotent {
			h.onceSubmissions = append(h.onceSubmissions, porcupine.Operation{
				Input: submission{key: r.Key}, Output: out,
				Call: int64(began.Sub(p.s.began)), Return: int64(time.Since(p.s.began)),
			})
		}
	})
	return out
}

// newRequest returns a request with a payload that the fake minions understand. work is the service time.
func newRequest(customer, key string, class request.Class, idempotent bool, work time.Duration) request.Request {
	payload, _ := json.Marshal(map[string]any{"key": key, "work_ms": work.Milliseconds(), "once": !idempotent})
	return request.Request{
		Customer: customer, Key: key, Class: class, Idempotent: idempotent, TimeoutMS: 5000, Payload: payload,
	}
}

// callerLoad is a closed-loop load: a fixed number of callers, each of which sends one request after the other.
type callerLoad struct {
	s         *system
	stop      atomic.Bool
	wg        sync.WaitGroup
	mu        sync.Mutex
	doneCount int
}

const (
	loadCallers = 5
	// maxAttempts is how many times a caller sends a request until it is done.
	maxAttempts    = 4
	maxPause       = 100 * time.Millisecond // between two requests of a caller
	maxServiceTime = 120 * time.Millisecond
)

// startLoad starts the callers. After an outcome other than done, a caller retries the request with the same key at
// another daemon.
func (s *system) startLoad() *callerLoad {
	l := &callerLoad{s: s}
	for i := range loadCallers {
		r := s.rand(uint64(i) + 1)
		l.wg.Go(func() {
			for n := 0; !l.stop.Load(); n++ {
				l.sendOne(r, fmt.Sprintf("caller-%d-%d", i, n))
				time.Sleep(time.Duration(r.Int64N(int64(maxPause))))
			}
		})
	}
	return l
}

func (l *callerLoad) sendOne(r *rand.Rand, key string) {
	class := []request.Class{request.Urgent, request.Normal, request.Bulk}[r.IntN(3)]
	req := newRequest(customers[r.IntN(len(customers))], key, class, r.IntN(2) == 0, time.Duration(r.Int64N(int64(maxServiceTime))))
	at := r.IntN(len(l.s.daemons))
	for range maxAttempts {
		for l.s.daemons[at%len(l.s.daemons)].closedToCallers.Load() {
			at++
		}
		out := l.s.daemons[at%len(l.s.daemons)].submit(req)
		if out.Result == request.Done {
			l.mu.Lock()
			l.doneCount++
			l.mu.Unlock()
			return
		}
		at++
		time.Sleep(time.Duration(50+r.IntN(200)) * time.Millisecond)
	}
}

// end stops the callers and returns the number of requests that were done.
func (l *callerLoad) end() int {
	l.stop.Store(true)
	l.wg.Wait()
	return l.doneCount
}

// submitJob submits a job once and records the response.
func (p *process) submitJob(spec job.Spec) (int, job.Status, job.Code) {
	h := p.s.history
	status, sent, body := p.call(http.MethodPost, p.callerAddr, "/v1/pools/"+service+"/jobs", spec)
	var st job.Status
	var refusal struct {
		Code         job.Code
		Kept         job.Recorded
		RetryAfterMS int64 `json:"retry_after_ms"`
	}
	if status == http.StatusAccepted {
		_ = json.Unmarshal(body, &st)
	} else if status != 0 && json.Unmarshal(body, &refusal) != nil {
		h.addProblem("job %s: status %d with %q", spec.Key, status, body)
	}
	if status == http.StatusServiceUnavailable && refusal.RetryAfterMS <= 0 {
		h.addProblem("job %s: %s without a retry-after time", spec.Key, refusal.Code)
	}
	h.withLock(func() {
		h.outcomeCounts[fmt.Sprintf("job %d %s", status, refusal.Code)]++
		rec := h.jobs[spec.Key]
		if rec == nil {
			rec = &jobRecord{}
			h.jobs[spec.Key] = rec
		}
		rec.accepted = rec.accepted || status == http.StatusAccepted
		rec.maybeAccepted = rec.maybeAccepted || status == 0 && sent || refusal.Kept == job.RecordedUnknown
	})
	return status, st, refusal.Code
}

// newJob returns a job with a payload that the fake workers understand.
func newJob(customer, key string, kind job.Kind, tasks int, idempotent bool, runs time.Duration) job.Spec {
	payload, _ := json.Marshal(map[string]any{"key": key, "work_ms": runs.Milliseconds(), "once": !idempotent && kind != job.Service})
	if kind == job.Service {
		payload, _ = json.Marshal(map[string]any{"key": key})
	}
	return job.Spec{
		Customer: customer, Key: key, Kind: kind, Class: job.Normal, Idempotent: idempotent, Tasks: tasks,
		Resources: job.Resources{CPUMilli: 1000, MemoryMB: 1024}, RunMS: runs.Milliseconds(), Payload: payload,
	}
}

// jobStatus returns the status of a job from the first daemon that knows it.
func (s *system) jobStatus(customer, key string) (job.Status, bool) {
	for _, p := range s.daemons {
		status, _, body := p.call(http.MethodGet, p.callerAddr, "/v1/pools/"+service+"/jobs/"+customer+"/"+key, nil)
		var st job.Status
		if status == http.StatusOK && json.Unmarshal(body, &st) == nil {
			return st, true
		}
	}
	return job.Status{}, false
}

// awaitJob waits until a job is in one of the given states and returns its status. It reports an error if that takes
// longer than bound.
func (s *system) awaitJob(customer, key string, bound time.Duration, states ...job.State) job.Status {
	s.t.Helper()
	var last job.Status
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		st, ok := s.jobStatus(customer, key)
		if !ok {
			continue
		}
		last = st
		for _, want := range states {
			if st.State == want {
				return st
			}
		}
	}
	s.t.Errorf("job %s is not %v after %v: %+v", key, states, bound, last)
	return last
}
