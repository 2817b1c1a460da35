// Package peer implements the remote calls between daemons: authentication, detection of dead connections, heartbeats.
//
// A callee sends its response header as soon as it has read a call, and then a space as a keepalive every
// keepaliveInterval until the answer is ready. A caller can therefore distinguish a slow callee from a dead connection,
// and closes a dead one within seconds.
package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/network"
)

const (
	dialTimeout       = 500 * time.Millisecond
	headerTimeout     = time.Second
	keepaliveInterval = 500 * time.Millisecond
	// silenceTimeout is how long a caller waits for the next keepalive before it closes the connection. It spans four
	// keepalives.
	silenceTimeout  = 2 * time.Second
	idleTimeout     = 30 * time.Second
	maxIdlePerPeer  = 64
	maxMessageBytes = 32 << 20
)

var (
	// ErrNotSent reports that no byte of the call reached the peer.
	ErrNotSent = errors.New("peer: call not sent")
	// ErrRefused reports that nothing listens at the peer's address, so its process has ended. It matches ErrNotSent.
	ErrRefused = errors.New("peer: connection refused")
	// ErrLost reports that the call may have reached the peer but its answer did not arrive.
	ErrLost = errors.New("peer: answer lost")
	// ErrFailed reports that the peer received the call and answered with an error.
	ErrFailed = errors.New("peer: call failed")
)

// refusedError makes a refused connection match both ErrRefused and ErrNotSent.
type refusedError struct{ cause error }

func (e *refusedError) Error() string { return ErrRefused.Error() + ": " + e.cause.Error() }

func (e *refusedError) Is(target error) bool { return target == ErrRefused || target == ErrNotSent }

// envelope is the body of every answer.
type envelope struct {
	Error string          `json:"error,omitempty"`
	Value json.RawMessage `json:"value,omitempty"`
}

// Client calls other daemons. It is safe for concurrent use.
type Client struct {
	secret string
	dial   network.DialFunc
	hc     *http.Client
}

// NewClient returns a client that authenticates with the shared secret and connects through dial.
func NewClient(secret string, dial network.DialFunc) *Client {
	tr := &http.Transport{
		DialContext:           network.WithTimeout(dial, dialTimeout),
		ResponseHeaderTimeout: headerTimeout,
		MaxIdleConnsPerHost:   maxIdlePerPeer,
		IdleConnTimeout:       idleTimeout,
		DisableCompression:    true, // no peer compresses its answers
	}
	return &Client{secret: secret, dial: dial, hc: &http.Client{Transport: tr}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.hc.CloseIdleConnections() }

// Call sends req to path at the peer addr and decodes its answer. Errors: ErrNotSent (ErrRefused), ErrLost, ErrFailed.
func Call[Resp any](ctx context.Context, c *Client, addr, path string, req any) (Resp, error) {
	var out Resp
	payload, err := json.Marshal(req)
	if err != nil {
		return out, errors.Wrap(err, "encode call")
	}
	value, err := c.call(ctx, addr, path, payload)
	if err != nil {
		return out, err
	}
	if err := json.Unmarshal(value, &out); err != nil {
		return out, errors.Wrap(ErrLost, err.Error())
	}
	return out, nil
}

func (c *Client) call(ctx context.Context, addr, path string, payload []byte) (json.RawMessage, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(payload))
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	req.GetBody = nil // keeps the transport from retrying: only the caller knows whether that is safe
	req.Header.Set("Authorization", "Bearer "+c.secret)
	req.Header["User-Agent"] = nil // an empty header keeps net/http from sending its own
	resp, err := c.hc.Do(req)
	if err != nil {
		return nil, classifySendError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := readUntilSilent(resp.Body, silenceTimeout, cancel)
	if err != nil {
		return nil, errors.Wrap(ErrLost, err.Error())
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrFailed, "status %d: %s", resp.StatusCode, bytes.TrimSpace(body))
	}
	var env envelope
	if err := json.Unmarshal(body, &env); err != nil {
		return nil, errors.Wrap(ErrLost, err.Error())
	}
	if env.Error != "" {
		return nil, errors.Wrap(ErrFailed, env.Error)
	}
	return env.Value, nil
}

func classifySendError(err error) error {
	var op *net.OpError
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return &refusedError{err}
	case errors.As(err, &op) && op.Op == "dial":
		return errors.Wrap(ErrNotSent, err.Error())
	}
	return errors.Wrap(ErrLost, err.Error())
}

// readUntilSilent reads r to its end, or calls abort if no data arrives for the time silence.
func readUntilSilent(r io.Reader, silence time.Duration, abort func()) ([]byte, error) {
	timer := time.AfterFunc(silence, abort)
	defer timer.Stop()
	var body bytes.Buffer
	buf := make([]byte, 32<<10)
	for {
		n, err := r.Read(buf)
		timer.Reset(silence)
		body.Write(buf[:n])
		switch {
		case errors.Is(err, io.EOF):
			return body.Bytes(), nil
		case err != nil:
			return nil, err
		case body.Len() > maxMessageBytes:
			return nil, errors.New("answer is too long")
		}
	}
}
