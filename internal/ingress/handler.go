package ingress

import (
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// maxDiscard is the largest unread body, in bytes, that is read to its end and dropped so that the connection can be used again.
	maxDiscard = 64 << 10
	// discardTime is how long that may take.
	discardTime = 500 * time.Millisecond
)

// handler tracks what the connections of a listener do.
type handler struct{ next http.Handler }

// ServeHTTP implements http.Handler.
func (h handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := connOf(r.Context())
	if c == nil {
		h.next.ServeHTTP(w, r)
		return
	}
	c.setPhase(handling)
	if r.Body == http.NoBody {
		defer c.endRequest()
		h.next.ServeHTTP(w, r)
		return
	}
	b := &c.bodyReader
	b.begin(c, r)
	c.ended.Store(int32(admitted))
	r.Body = b
	defer c.endRequestWithBody(w, r)
	h.next.ServeHTTP(w, r)
}

// endRequest gives back what the request held.
func (c *conn) endRequest() {
	if c.headerBytes > headerAllowance {
		c.release()
	}
	c.headerBytes = 0
	c.setPhase(idle)
}

// endRequestWithBody gives back what the request held, and ends its body if the handler has not read it.
func (c *conn) endRequestWithBody(w http.ResponseWriter, r *http.Request) {
	b := &c.bodyReader
	c.headerBytes = 0
	if !b.atEnd {
		c.dropRest(w, b)
	}
	r.Body = b.ReadCloser // the server's own, which it knows how to end
	c.bodyReader = body{}
	c.release()
	c.setPhase(idle)
}

// dropRest ends a body that the handler has not read. The server would otherwise wait for its rest without a limit.
func (c *conn) dropRest(w http.ResponseWriter, b *body) {
	if b.declared > 0 && b.declared <= maxDiscard && c.ended.Load() == int32(admitted) {
		_ = c.SetReadDeadline(time.Now().Add(discardTime)) // if it fails, the connection is closed already
		c.headerBytes = int(b.received - b.declared)
		return
	}
	_ = c.SetReadDeadline(pastDeadline)
	closeAfterAnswer(w)
}

// closeAfterAnswer lets the server close the connection after the answer, with a delay in which the client can read it. MaxBytesReader is
// the only way to ask the server for this.
func closeAfterAnswer(w http.ResponseWriter) {
	exceeded := http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0)
	_, _ = exceeded.Read(make([]byte, 1))
}
