package request

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/network"
)

// Headers of the HTTP protocol between a daemon and a minion.
const (
	HeaderAttemptID = "Attempt-Id"    // set by the daemon, echoed by the minion
	HeaderDigest    = "Answer-Sha256" // SHA-256 of the answer's body in hex
	HeaderNotRun    = "Not-Run"       // "true" with status 503: the minion refused the attempt before starting it
	HeaderLeaving   = "Leaving"       // "true" with status 503: the minion accepts no new attempts
)

const (
	minionDialTimeout = 500 * time.Millisecond
	probeTimeout      = 500 * time.Millisecond
	probeAfter        = 2 * time.Second  // a connection that was idle for this time is probed before use
	connIdleTimeout   = 60 * time.Second // a connection that was idle for this time is closed
	maxAnswerBytes    = 4 << 20
	maxHeaderBytes    = 16 << 10
)

var (
	errSecondSend = errors.New("request: attempt was sent before on another connection")
	errGateClosed = errors.New("request: connection is closed to writes of the attempt")
)

// sendResult says what is known about an attempt after it was sent.
type sendResult int

const (
	sendAnswered sendResult = iota // the whole answer to this attempt arrived
	sendNotRun                     // nothing was written, or the minion refused before starting
	sendLeaving                    // as sendNotRun, and the minion accepts no new attempts
	sendNotOwner                   // the guard failed; nothing was written
	sendFailed                     // the minion answered this attempt with an error; the attempt no longer runs
	sendLost                       // the attempt may be running or may have run
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	result  sendResult
	leaving bool // the minion reported that it is leaving
	reused  bool // the connection had been used for an earlier attempt
	body    []byte
	reason  string // why there is no answer
}

// attempt is one request to a minion. It is written to a connection at most once.
type attempt struct {
	id      string
	payload []byte
	check   func() error // see writeGate
}

// writeGate allows an attempt to be written to one connection only, once. If it reports that nothing was written, this
// is certain, no matter how the HTTP client retries on broken connections.
type writeGate struct {
	check func() error // called right before the first byte is written; an error prevents the write

	mu     sync.Mutex
	conn   net.Conn // the connection that the attempt was written to
	closed bool
	err    error // returned by check
}

// allowWrite returns an error if the attempt must not be written to the connection.
func (g *writeGate) allowWrite(c net.Conn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.closed:
		return errGateClosed
	case g.conn == c:
		return nil
	case g.conn != nil:
		return errSecondSend
	}
	if err := g.check(); err != nil {
		g.closed, g.err = true, err
		return err
	}
	g.conn = c
	return nil
}

// stopWrites prevents further writes. It reports whether any part of the attempt may have been written, and the error
// of check.
func (g *writeGate) stopWrites() (written bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	return g.conn != nil, g.err
}

// gatedConn is a connection that accepts only writes that the writeGate of the current attempt allows.
type gatedConn struct {
	net.Conn
	singleConn *singleConn
}

func (c *gatedConn) Write(b []byte) (int, error) {
	g := c.singleConn.writeGate.Load()
	if g == nil {
		return 0, errGateClosed
	}
	if err := g.allowWrite(c); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// singleConn is an HTTP transport with at most one connection. A transport of net/http does not let its user choose the
// connection, so a probe could check one connection and the attempt use another one. With one connection per transport,
// both use the same.
type singleConn struct {
	transport *http.Transport
	writeGate atomic.Pointer[writeGate]
	used      bool // has carried an attempt whose answer arrived
	idleSince time.Time

	mu     sync.Mutex
	conn   net.Conn
	closed bool
}

func newSingleConn(dial network.DialFunc) *singleConn {
	l := &singleConn{}
	dial = network.WithTimeout(dial, minionDialTimeout)
	l.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return l.setConn(c)
		},
		MaxConnsPerHost:        1,
		MaxIdleConnsPerHost:    1,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return l
}

// setConn makes c the connection of the transport, or closes c if the singleConn is closed.
func (l *singleConn) setConn(c net.Conn) (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = c.Close()
		return nil, errGateClosed
	}
	l.conn = &gatedConn{Conn: c, singleConn: l}
	return l.conn, nil
}

// close closes the connection at once. The singleConn cannot be used any more.
func (l *singleConn) close() {
	l.mu.Lock()
	l.closed = true
	c := l.conn
	l.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
	l.transport.CloseIdleConnections()
}

// connPool holds the connections to the address of one minion. There is one connection per attempt in flight and at
// most as many idle ones, so the minion's slots limit their number.
type connPool struct {
	addr string
	dial network.DialFunc

	mu     sync.Mutex
	idle   []*singleConn // the most recently used one is at the end
	closed bool
}

func newConnPool(addr string, dial network.DialFunc) *connPool {
	return &connPool{addr: addr, dial: dial}
}

// get returns the most recently used idle connection, or a new one.
func (p *connPool) get() *singleConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		l := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return l
	}
	return newSingleConn(p.dial)
}

// put returns a connection to the pool after use.
func (p *connPool) put(l *singleConn, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		l.close()
		return
	}
	l.used, l.idleSince = true, now
	p.idle = append(p.idle, l)
}

// closeIdle closes the idle connections that were last used before the given time.
func (p *connPool) closeIdle(before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	keep := p.idle[:0]
	for _, l := range p.idle {
		if l.idleSince.Before(before) {
			l.close()
		} else {
			keep = append(keep, l)
		}
	}
	clear(p.idle[len(keep):])
	p.idle = keep
}

// close closes the idle connections now and the other ones when their attempts end.
func (p *connPool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle(time.Now().Add(time.Hour))
}

// getProbed returns a connection for an attempt. A connection that was idle for long is probed first: its peer may have
// disappeared without closing it, and an attempt that is lost on it would have an unknown outcome.
func (p *connPool) getProbed(ctx context.Context) *singleConn {
	l := p.get()
	if !l.used || time.Since(l.idleSince) < probeAfter {
		return l
	}
	if _, err := p.ping(ctx, l); err == nil {
		return l
	}
	l.close()
	// The other idle connections were used even earlier and go through the same network, so they are likely broken too.
	p.closeIdle(time.Now().Add(-probeAfter))
	return newSingleConn(p.dial)
}

// pingReply is the body of the answer to a ping. A minion may omit it.
type pingReply struct {
	Slots int `json:"slots"`
	InUse int `json:"in_use"`
}

// ping probes a connection with a request to the minion.
func (p *connPool) ping(ctx context.Context, l *singleConn) (pingReply, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	l.writeGate.Store(&writeGate{check: func() error { return nil }})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.addr+"/v1/ping", nil)
	if err != nil {
		return pingReply{}, err
	}
	resp, err := l.transport.RoundTrip(req)
	if err != nil {
		return pingReply{}, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxHeaderBytes))
	_ = resp.Body.Close()
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Errorf("status %d", resp.StatusCode)
	}
	var got pingReply
	if json.Unmarshal(body, &got) != nil {
		got = pingReply{} // the connection works, which is what the probe checks
	}
	return got, err
}

// execute sends one attempt and waits for the answer until ctx ends.
func (p *connPool) execute(ctx context.Context, a attempt) attemptResult {
	l := p.getProbed(ctx)
	s := p.roundTrip(ctx, l, a)
	s.reused = l.used
	if s.result == sendAnswered {
		p.put(l, time.Now())
		return s
	}
	l.close()
	if s.result == sendLost && s.reused && ctx.Err() != nil {
		// The peer may have disappeared without closing the connection, in which case the idle connections are broken too.
		p.closeIdle(time.Now())
	}
	return s
}

// roundTrip sends one attempt on the given connection and reads the answer.
func (p *connPool) roundTrip(ctx context.Context, l *singleConn, a attempt) attemptResult {
	payload := a.payload
	if len(payload) == 0 {
		payload = []byte("null") // the transport would resend a request without a body
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.addr+"/v1/execute", bytes.NewReader(payload))
	if err != nil {
		return attemptResult{result: sendNotRun, reason: err.Error()}
	}
	req.GetBody = nil // the transport must not replay the body
	req.Header.Set(HeaderAttemptID, a.id)
	g := &writeGate{check: a.check}
	l.writeGate.Store(g)
	// RoundTrip is used because an http.Client would follow redirects.
	resp, err := l.transport.RoundTrip(req)
	if err != nil {
		return classifyError(g, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if _, checkErr := g.stopWrites(); checkErr != nil {
		return attemptResult{result: sendNotOwner, reason: checkErr.Error()}
	}
	return classifyAnswer(answer{resp.StatusCode, resp.Header, resp.ContentLength, body, err}, a.id, l.used)
}

// classifyError returns the result of an attempt for which RoundTrip failed.
func classifyError(g *writeGate, err error) attemptResult {
	written, checkErr := g.stopWrites()
	switch {
	case checkErr != nil:
		return attemptResult{result: sendNotOwner, reason: checkErr.Error()}
	case written:
		return attemptResult{result: sendLost, reason: err.Error()}
	default:
		return attemptResult{result: sendNotRun, reason: err.Error()}
	}
}

// answer is the HTTP response that was read from a minion.
type answer struct {
	status  int
	header  http.Header
	length  int64 // Content-Length; negative if absent
	body    []byte
	readErr error
}

// classifyAnswer decides what an answer proves about the attempt. Only a complete answer that names the attempt is a
// success. Only a refusal that certainly belongs to the attempt proves that it did not run: a refusal that does not
// name the attempt counts only on a new connection, which cannot carry an answer to an earlier attempt.
func classifyAnswer(a answer, id string, reused bool) attemptResult {
	echoed := a.header.Get(HeaderAttemptID)
	leaving := a.status == http.StatusServiceUnavailable && a.header.Get(HeaderLeaving) == "true"
	lost := func(reason string) attemptResult {
		return attemptResult{result: sendLost, leaving: leaving, reason: reason}
	}
	sum := sha256.Sum256(a.body)
	switch {
	case echoed != id && echoed != "":
		return lost("answer is for another attempt")
	case a.status == http.StatusServiceUnavailable && a.header.Get(HeaderNotRun) == "true" && (echoed == id || !reused):
		if leaving {
			return attemptResult{result: sendLeaving, leaving: true, reason: "the minion is leaving"}
		}
		return attemptResult{result: sendNotRun, reason: "refused by the minion"}
	case echoed != id:
		return lost("answer does not name its attempt")
	case a.readErr != nil || a.length != int64(len(a.body)):
		return lost("answer is truncated")
	case a.status != http.StatusOK:
		return attemptResult{result: sendFailed, leaving: leaving, reason: http.StatusText(a.status)}
	case a.header.Get(HeaderDigest) != hex.EncodeToString(sum[:]):
		return lost("answer does not match its digest")
	}
	return attemptResult{result: sendAnswered, body: a.body}
}
