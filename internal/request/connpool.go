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

// Headers of the protocol between a daemon and a minion.
const (
	HeaderAttemptID = "Attempt-Id"    // set by the daemon, echoed by the minion
	HeaderDigest    = "Answer-Sha256" // hex SHA-256 of the answer's body
	HeaderNotRun    = "Not-Run"       // "true" on a 503: refused before starting
	HeaderLeaving   = "Leaving"       // "true" on a 503: the minion takes no new work
)

const (
	minionDialTimeout = 500 * time.Millisecond
	probeTimeout      = 500 * time.Millisecond
	probeAfter        = 2 * time.Second  // idle time from which on a connection is probed before use
	connIdleTimeout   = 60 * time.Second // idle time after which a connection is closed
	maxAnswerBytes    = 4 << 20
	maxHeaderBytes    = 16 << 10
)

var (
	errSecondSend = errors.New("request: attempt was sent before on another connection")
	errGateClosed = errors.New("request: attempt is over")
)

// sendResult says what is known after an attempt.
type sendResult int

const (
	sendAnswered sendResult = iota // whole answer to this attempt
	sendNotRun                     // nothing was written, or the minion refused before starting
	sendLeaving                    // as sendNotRun, and the minion takes no new work
	sendNotOwner                   // the guard failed; nothing was written
	sendFailed                     // the minion answered this attempt with an error; it no longer runs
	sendLost                       // the attempt may run or have run
)

// attemptResult is the end of one attempt.
type attemptResult struct {
	result  sendResult
	leaving bool // the minion said that it leaves
	reused  bool // the connection had served another attempt before
	body    []byte
	reason  string
}

// attempt is one request to a minion. It is written at most once.
type attempt struct {
	id      string
	payload []byte
	check   func() error // called immediately before the first byte is written
}

// writeGate lets one attempt be written to one connection once. It makes "nothing was written" certain, whatever the HTTP
// client does on broken connections.
type writeGate struct {
	check func() error

	mu     sync.Mutex
	conn   net.Conn // the connection that the attempt was written to
	closed bool
	err    error // of check
}

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

// stopWrites lets nothing more be written and reports whether any byte may have been, and the error of the check.
func (g *writeGate) stopWrites() (written bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	return g.conn != nil, g.err
}

// gatedConn is a connection whose writes pass the gate of the attempt that uses it.
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

// singleConn is a transport with at most one connection. The transport of net/http does not let its user choose a connection,
// so that a probe could check one connection and the attempt use another; with one connection per transport it cannot.
type singleConn struct {
	transport *http.Transport
	writeGate atomic.Pointer[writeGate]
	used      bool
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

// close closes the connection at once. The link cannot be used any more.
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

// connPool holds the connections to one minion address. There is one connection per attempt under way and at most as many
// idle ones, so that a minion's slots bound their number.
type connPool struct {
	addr string
	dial network.DialFunc

	mu     sync.Mutex
	idle   []*singleConn // the one used last is at the end
	closed bool
}

func newConnPool(addr string, dial network.DialFunc) *connPool {
	return &connPool{addr: addr, dial: dial}
}

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

// close closes idle connections now and the others when their attempts end.
func (p *connPool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle(time.Now().Add(time.Hour))
}

// getProbed returns a connection for an attempt. One that was idle for long is probed first: its peer may be gone without
// a trace, and an attempt that is lost on it would have an unknown outcome.
func (p *connPool) getProbed(ctx context.Context) *singleConn {
	l := p.get()
	if !l.used || time.Since(l.idleSince) < probeAfter {
		return l
	}
	if _, err := p.ping(ctx, l); err == nil {
		return l
	}
	l.close()
	// The other idle connections are older and go through the same network.
	p.closeIdle(time.Now().Add(-probeAfter))
	return newSingleConn(p.dial)
}

// pingReply is the body of the answer to a ping. A minion may leave it out.
type pingReply struct {
	Slots int `json:"slots"`
	InUse int `json:"in_use"`
}

// ping probes a connection.
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
		got = pingReply{} // the connection works, which is what a probe asks
	}
	return got, err
}

// execute sends one attempt and reads its answer until ctx ends.
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
		// The connection may have gone silent, and the idle ones with it.
		p.closeIdle(time.Now())
	}
	return s
}

func (p *connPool) roundTrip(ctx context.Context, l *singleConn, a attempt) attemptResult {
	payload := a.payload
	if len(payload) == 0 {
		payload = []byte("null") // the transport resends requests without a body
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.addr+"/v1/execute", bytes.NewReader(payload))
	if err != nil {
		return attemptResult{result: sendNotRun, reason: err.Error()}
	}
	req.GetBody = nil // the transport must not replay the body
	req.Header.Set(HeaderAttemptID, a.id)
	g := &writeGate{check: a.check}
	l.writeGate.Store(g)
	// RoundTrip instead of a http.Client: a client would follow redirects.
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

// answer is what was read from a minion.
type answer struct {
	status  int
	header  http.Header
	length  int64 // Content-Length, negative when absent
	body    []byte
	readErr error
}

// classifyAnswer decides what an answer proves about the attempt. Only a whole answer that names the attempt is a success, and
// only a refusal that certainly belongs to the attempt proves that it did not run: a refusal that does not name the
// attempt counts on a new connection only, which cannot carry an answer to an earlier attempt.
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
