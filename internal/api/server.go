// Package api implements the HTTP API for callers: submitting short requests and jobs and looking up their state.
package api

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/request"
)

// maxBodyBytes limits the size of a request body.
const maxBodyBytes = 1 << 20

// defaultTimeoutMS is the timeout of a request that sets none.
const defaultTimeoutMS = 5000

// Requests runs short requests and looks up their outcomes.
type Requests interface {
	// Submit runs a request and returns its final outcome.
	Submit(ctx context.Context, r request.Request) request.Outcome
	// Lookup returns the outcome that is recorded for a key.
	Lookup(ctx context.Context, service, customer, key string) request.Outcome
}

// RegisterRequestRoutes registers the routes for short requests.
func RegisterRequestRoutes(e *gin.Engine, rs Requests) {
	e.POST("/v1/services/:service/requests", func(c *gin.Context) {
		r := request.Request{TimeoutMS: defaultTimeoutMS, Class: request.Normal}
		if refusal := decode(c, &r); refusal != nil {
			writeOutcome(c, *refusal)
			return
		}
		r.Service = c.Param("service")
		writeOutcome(c, rs.Submit(c.Request.Context(), r))
	})
	e.GET("/v1/services/:service/requests/:customer/:key", func(c *gin.Context) {
		writeOutcome(c, rs.Lookup(c.Request.Context(), c.Param("service"), c.Param("customer"), c.Param("key")))
	})
}

// decode reads the body into v. It returns a refusal for an unknown field, a wrong type, trailing data or a body that is
// too large, and nil otherwise.
func decode(c *gin.Context, v any) *request.Outcome {
	body := http.MaxBytesReader(c.Writer, c.Request.Body, maxBodyBytes)
	dec := json.NewDecoder(body)
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	if err == nil {
		if _, err = dec.Token(); errors.Is(err, io.EOF) {
			return nil
		}
		err = errors.New("data after the JSON value")
	}
	var tooLarge *http.MaxBytesError
	code := request.CodeInvalidRequest
	if errors.As(err, &tooLarge) {
		code = request.CodeTooLarge
	}
	out := request.NotRunOutcome(code, err.Error(), 0)
	return &out
}

func writeOutcome(c *gin.Context, o request.Outcome) {
	status := request.HTTPStatus(o)
	SetRetryAfter(c, status, o.RetryAfterMS)
	c.JSON(status, o)
}

// SetRetryAfter sets the Retry-After header on responses with status 429 or 503: ms rounded up to whole seconds, and at
// least one.
func SetRetryAfter(c *gin.Context, status int, ms int64) {
	if status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable {
		return
	}
	d := max(time.Duration(ms)*time.Millisecond, time.Second)
	c.Header("Retry-After", strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10))
}
