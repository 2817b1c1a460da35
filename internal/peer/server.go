package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
)

// Authenticate returns middleware that refuses calls without the shared secret. It compares hashes in constant time, so
// the time reveals neither the secret nor its length.
func Authenticate(secret string) gin.HandlerFunc {
	want := sha256.Sum256([]byte(secret))
	return func(c *gin.Context) {
		token, ok := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(token))
		if !ok || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			c.AbortWithStatusJSON(http.StatusUnauthorized, envelope{Error: "unauthorized"})
		}
	}
}

// Handle serves calls to path with fn. The context of fn does not end when the caller disconnects, so fn finishes its work
// and records it.
func Handle[Req, Resp any](r gin.IRoutes, path string, fn func(context.Context, Req) (Resp, error)) {
	r.POST(path, func(c *gin.Context) {
		req, ok := decodeCall[Req](c)
		if !ok {
			return
		}
		answer := make(chan envelope, 1)
		ctx := context.WithoutCancel(c.Request.Context())
		go func() { answer <- callHandler(ctx, req, fn) }()
		writeWithKeepalives(c, answer)
	})
}

// HandleAtOnce serves calls to path with fn, which must not block. The answer needs no keepalives, so header and body are
// sent together.
func HandleAtOnce[Req, Resp any](r gin.IRoutes, path string, fn func(context.Context, Req) (Resp, error)) {
	r.POST(path, func(c *gin.Context) {
		if req, ok := decodeCall[Req](c); ok {
			writeMinimalHeader(c)
			_ = json.NewEncoder(c.Writer).Encode(callHandler(c.Request.Context(), req, fn))
		}
	})
}

// decodeCall decodes the body of a call. If that fails, it answers the call with an error and returns false.
func decodeCall[Req any](c *gin.Context) (req Req, ok bool) {
	if err := json.NewDecoder(http.MaxBytesReader(c.Writer, c.Request.Body, maxMessageBytes)).Decode(&req); err != nil {
		c.JSON(http.StatusBadRequest, envelope{Error: err.Error()})
		return req, false
	}
	return req, true
}

func callHandler[Req, Resp any](ctx context.Context, req Req, fn func(context.Context, Req) (Resp, error)) envelope {
	resp, err := fn(ctx, req)
	if err != nil {
		return envelope{Error: err.Error()}
	}
	encoded, err := json.Marshal(resp)
	if err != nil {
		return envelope{Error: err.Error()}
	}
	return envelope{Value: encoded}
}

// writeMinimalHeader sets the status without the headers that no peer reads: both ends know that the answer is JSON, and
// the date does not matter. Nil values keep net/http from adding its own headers.
func writeMinimalHeader(c *gin.Context) {
	h := c.Writer.Header()
	h["Content-Type"], h["Date"] = nil, nil
	c.Status(http.StatusOK)
}

// writeWithKeepalives sends the header at once, then keepalives until the answer is ready, and then the answer.
func writeWithKeepalives(c *gin.Context, answer <-chan envelope) {
	writeMinimalHeader(c)
	c.Writer.Flush()
	for {
		t := time.NewTimer(keepaliveInterval)
		select {
		case env := <-answer:
			t.Stop()
			_ = json.NewEncoder(c.Writer).Encode(env)
			return
		case <-t.C:
			if _, err := c.Writer.WriteString(" "); err != nil {
				return
			}
			c.Writer.Flush()
		}
	}
}
