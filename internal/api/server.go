// Package api serves the callers' listener.
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

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = 1 << 20

// defaultTimeoutMS is how long a caller waits for a request that does not say.
const defaultTimeoutMS = 5000

// Requests serves short requests.
type Requests interface {
	// Submit runs a request and returns its final outcome.
	Submit(ctx context.Context, r request.Request) request.Outcome
	// Lookup returns the outcome that is recorded for a key.
	Lookup(ctx context.Context, service, customer, key string) request.Outcome
}

// RegisterRequestRoutes registers the routes of short requests.
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

// decode reads the body strictly: an unknown field, a wrong type or trailing data refuses the call.
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
	out := request.Refuse(code, err.Error(), 0)
	return &out
}

func writeOutcome(c *gin.Context, o request.Outcome) {
	status := request.StatusOf(o)
	SetRetryAfter(c, status, o.RetryAfterMS)
	c.JSON(status, o)
}

// SetRetryAfter sets Retry-After, in whole seconds rounded up, on a status that asks the caller to come back.
func SetRetryAfter(c *gin.Context, status int, ms int64) {
	if status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable {
		return
	}
	d := max(time.Duration(ms)*time.Millisecond, time.Second)
	c.Header("Retry-After", strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10))
}
