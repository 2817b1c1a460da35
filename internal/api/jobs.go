package api

import (
	"context"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/greengagewing/greengagewing/internal/entry"
	"github.com/greengagewing/greengagewing/internal/job"
)

// Jobs performs operations on the jobs of a pool.
type Jobs interface {
	Do(ctx context.Context, pool string, c entry.JobCall) entry.JobAnswer
}

// refusalBody is the response body of a refused call. Kept says whether the job was recorded: "no" or "unknown".
type refusalBody struct {
	Code         job.Code     `json:"code"`
	Message      string       `json:"message"`
	Kept         job.Recorded `json:"kept"`
	RetryAfterMS int64        `json:"retry_after_ms,omitempty"`
}

// RegisterJobRoutes registers the routes for jobs.
func RegisterJobRoutes(e *gin.Engine, js Jobs) {
	e.POST("/v1/pools/:pool/jobs", func(c *gin.Context) {
		var spec job.Spec
		if r := decode(c, &spec); r != nil {
			writeJob(c, entry.JobAnswer{Refusal: &job.Refusal{
				Code: job.Code(r.Code), Message: r.Message, Recorded: job.RecordedNo,
			}}, http.StatusOK)
			return
		}
		call := entry.JobCall{Verb: entry.JobSubmit, Customer: spec.Customer, Key: spec.Key, Spec: spec}
		writeJob(c, js.Do(c.Request.Context(), c.Param("pool"), call), http.StatusAccepted)
	})
	e.GET("/v1/pools/:pool/jobs", func(c *gin.Context) {
		call := entry.JobCall{Verb: entry.JobList, Customer: c.Query("customer")}
		a := js.Do(c.Request.Context(), c.Param("pool"), call)
		if a.Refusal != nil {
			writeJob(c, a, http.StatusOK)
			return
		}
		c.JSON(http.StatusOK, gin.H{"jobs": a.Statuses})
	})
	forJob := func(verb entry.JobVerb) gin.HandlerFunc {
		return func(c *gin.Context) {
			call := entry.JobCall{Verb: verb, Customer: c.Param("customer"), Key: c.Param("key")}
			writeJob(c, js.Do(c.Request.Context(), c.Param("pool"), call), http.StatusOK)
		}
	}
	e.GET("/v1/pools/:pool/jobs/:customer/:key", forJob(entry.JobStatus))
	e.DELETE("/v1/pools/:pool/jobs/:customer/:key", forJob(entry.JobCancel))
}

// writeJob writes the refusal of an answer, or its single job status with the HTTP status success.
func writeJob(c *gin.Context, a entry.JobAnswer, success int) {
	if a.Refusal == nil {
		c.JSON(success, a.Statuses[0])
		return
	}
	r := a.Refusal
	status := httpStatus(r)
	body := refusalBody{Code: r.Code, Message: r.Message, Kept: r.Recorded, RetryAfterMS: int64(r.RetryAfter / time.Millisecond)}
	SetRetryAfter(c, status, body.RetryAfterMS)
	c.JSON(status, body)
}

// httpStatusByCode maps the codes of refusals to HTTP statuses. All other codes become 503.
var httpStatusByCode = map[job.Code]int{
	job.CodeInvalidRequest:        http.StatusBadRequest,
	job.CodeKeyRequired:           http.StatusBadRequest,
	job.CodeUnknownCustomer:       http.StatusForbidden,
	job.CodeNotFound:              http.StatusNotFound,
	job.CodeTooLarge:              http.StatusRequestEntityTooLarge,
	job.CodeKeyReused:             http.StatusUnprocessableEntity,
	job.CodeAllowanceTasks:        http.StatusTooManyRequests,
	job.CodeAllowanceCPU:          http.StatusTooManyRequests,
	job.CodeAllowanceMemory:       http.StatusTooManyRequests,
	job.CodeAllowanceAccelerators: http.StatusTooManyRequests,
	job.CodeQueueFull:             http.StatusTooManyRequests,
	job.CodeOutcomeUnknown:        http.StatusGatewayTimeout,
}

func httpStatus(r *job.Refusal) int {
	if r.Recorded == job.RecordedUnknown {
		return http.StatusGatewayTimeout
	}
	if status, ok := httpStatusByCode[r.Code]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}
