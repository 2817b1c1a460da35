package api

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/gin-gonic/gin"

	"github.com/greengagewing/greengagewing/internal/entry"
	"github.com/greengagewing/greengagewing/internal/job"
	"github.com/greengagewing/greengagewing/internal/request"
)

// validatingBackend accepts every request and job that passes validation, and runs none.
type validatingBackend struct{}

func (validatingBackend) Submit(_ context.Context, r request.Request) request.Outcome {
	if err := request.Validate(r); err != nil {
		return request.NotRunOutcome(request.CodeInvalidRequest, err.Error(), 0)
	}
	return request.Outcome{Result: request.Done, Answer: r.Payload}
}

func (validatingBackend) Lookup(context.Context, string, string, string) request.Outcome {
	return request.Outcome{Result: request.Done}
}

func (validatingBackend) Do(_ context.Context, _ string, c entry.JobCall) entry.JobAnswer {
	if r := job.AsRefusal(job.Validate(c.Spec)); r != nil {
		return entry.JobAnswer{Refusal: r}
	}
	return entry.JobAnswer{Statuses: []job.Status{{Key: c.Key}}}
}

// FuzzBodies guards against bodies that crash the daemon or that are answered with an undocumented HTTP status.
func FuzzBodies(f *testing.F) {
	for _, body := range []string{
		`{"customer":"c","key":"k","class":"urgent","payload":{"a":1}}`, `{"customer":1}`, `{"timeout_ms":-1}`, ``, `{} {}`,
		`{"customer":"c","key":"k","kind":"gang","tasks":3,"resources":{"cpu_milli":1,"memory_mb":1}}`, `null`, `[`,
		`{"customer":"c","key":"k","kind":"batch","tasks":-3,"resources":{"cpu_milli":9223372036854775807}}`, `{"unknown":1}`,
	} {
		f.Add([]byte(body))
	}
	gin.SetMode(gin.TestMode)
	e := gin.New()
	RegisterRequestRoutes(e, validatingBackend{})
	RegisterJobRoutes(e, validatingBackend{})
	knownStatuses := map[int]bool{200: true, 202: true, 400: true, 403: true, 404: true, 413: true, 422: true, 429: true, 503: true}
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, path := range []string{"/v1/services/textos/requests", "/v1/pools/textos/jobs"} {
			w := httptest.NewRecorder()
			e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body)))
			if !knownStatuses[w.Code] {
				t.Fatalf("%s %q: status %d", path, body, w.Code)
			}
			if !json.Valid(w.Body.Bytes()) {
				t.Fatalf("%s %q: answer is not JSON: %q", path, body, w.Body)
			}
			if w.Code == http.StatusServiceUnavailable && w.Header().Get("Retry-After") == "" {
				t.Fatalf("%s %q: 503 without Retry-After", path, body)
			}
		}
	})
}
