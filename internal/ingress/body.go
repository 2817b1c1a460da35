package ingress

import (
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

var (
	// ErrNoRoom means that there was no room for the body. It has not been kept, and the request may be repeated.
	ErrNoRoom = errors.New("ingress: too many open bodies")
	// ErrTooSlow means that the body did not arrive in time.
	ErrTooSlow = errors.New("ingress: the body is too slow")
	// ErrTooLarge means that the body is longer than allowed.
	ErrTooLarge = errors.New("ingress: the body is too large")
)

// Status returns the HTTP status that answers a failure to read a body.
func Status(err error) int {
	switch {
	case errors.Is(err, ErrNoRoom):
		return http.StatusServiceUnavailable
	case errors.Is(err, ErrTooSlow):
		return http.StatusRequestTimeout
	case errors.Is(err, ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// chunkedFactor is what a body of unknown length costs for each byte received: the buffer doubles when it is full.
const chunkedFactor = 2

const (
	// firstBuffer is the size in bytes of the first buffer of a body of unknown length.
	firstBuffer = 4 << 10
	// maxStep is the largest number of bytes that such a body reserves at once.
	maxStep = 64 << 10
)

// body is the body of a request. It reserves its bytes before it returns any of them.
type body struct {
	io.ReadCloser
	conn     *conn
	declared int64 // Content-Length, or -1 if it is unknown
	received int64
	reserved int64
	atEnd    bool
	failure  error // of the first failed reservation
}

func (b *body) begin(c *conn, r *http.Request) {
	*b = body{ReadCloser: r.Body, conn: c, declared: r.ContentLength}
}

// admit reserves room for what is read next. It fails if there is none.
func (b *body) admit() error {
	if b.failure != nil {
		return b.failure
	}
	more := b.missing()
	if more == 0 {
		return nil
	}
	if r := b.conn.reserve(more); r != admitted {
		b.conn.gate.refusals.count(r)
		b.failure = ErrNoRoom
		if r == connectionShareUsed {
			b.failure = ErrTooLarge
		}
		return b.failure
	}
	if b.reserved == 0 {
		b.conn.bodies.Add(1)
		b.conn.setPhase(receiving)
	}
	b.reserved += more
	return nil
}

// missing returns how many bytes have to be reserved before the next read. Bodies of unknown length double
// their reservation as long as it is small.
func (b *body) missing() int64 {
	if b.declared > 0 {
		return b.declared - b.reserved
	}
	if b.received*chunkedFactor < b.reserved {
		return 0
	}
	return min(max(b.reserved, firstBuffer*chunkedFactor), maxStep)
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if err := b.admit(); err != nil {
		return 0, err
	}
	if room := b.reserved/chunkedFactor - b.received; b.declared < 0 && int64(len(p)) > room {
		p = p[:room]
	}
	n, err := b.ReadCloser.Read(p)
	b.received += int64(n)
	if err == nil {
		return n, nil
	}
	b.conn.setPhase(handling)
	b.atEnd = errors.Is(err, io.EOF)
	if !b.atEnd && b.conn.ended.Load() != int32(admitted) {
		err = ErrTooSlow
	}
	return n, err
}

// ReadBody reads the body of a request, of at most limit bytes, into one buffer of its size. An error that wraps ErrNoRoom, ErrTooSlow or
// ErrTooLarge says what the client should be told.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, ErrTooLarge
	}
	if r.ContentLength < 0 {
		return readUnknown(r.Body, limit)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	if b, ok := r.Body.(*body); ok {
		if err := b.admit(); err != nil {
			return nil, err
		}
	}
	data := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, data); err != nil {
		return nil, errors.Wrap(err, "read the body")
	}
	return data, nil
}

// readUnknown reads a body of unknown length.
func readUnknown(r io.Reader, limit int64) ([]byte, error) {
	data := make([]byte, 0, min(firstBuffer, limit+1))
	for {
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, errors.Wrap(err, "read the body")
		}
		if len(data) == cap(data) {
			grown := make([]byte, len(data), min(int64(2*len(data)), limit+1))
			copy(grown, data)
			data = grown
		}
	}
}
