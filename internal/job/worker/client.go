package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/network"
)

const (
	dialTimeout = 500 * time.Millisecond
	// CallTimeout is the timeout of one call. It is less than the owner's lease margin of 1 s, because a worker counts a
	// lease from the receipt of the message. It is well under the renewal interval of 2 s, so that an unresponsive
	// connection makes only one renewal fail.
	CallTimeout      = 800 * time.Millisecond
	idleConnTimeout  = 90 * time.Second
	connsPerWorker   = 4
	maxResponseBytes = 4 << 20
)

// HTTPClient implements Client with JSON over HTTP.
type HTTPClient struct {
	client    *http.Client
	transport *http.Transport
}

// NewHTTPClient returns a client with its own connection pool.
func NewHTTPClient(dial network.DialFunc) *HTTPClient {
	transport := &http.Transport{
		DialContext:         network.WithTimeout(dial, dialTimeout),
		MaxConnsPerHost:     connsPerWorker,
		MaxIdleConnsPerHost: connsPerWorker,
		IdleConnTimeout:     idleConnTimeout,
	}
	return &HTTPClient{client: &http.Client{Transport: transport}, transport: transport}
}

// Close closes idle connections.
func (c *HTTPClient) Close() { c.transport.CloseIdleConnections() }

// Start implements Client.
func (c *HTTPClient) Start(ctx context.Context, addr string, s Start) error {
	return c.post(ctx, addr, "/v1/tasks", s, nil)
}

// Renew implements Client.
func (c *HTTPClient) Renew(ctx context.Context, addr string, r Renew) (Report, error) {
	var rep Report
	err := c.post(ctx, addr, "/v1/renew", r, &rep)
	return rep, err
}

// Stop implements Client.
func (c *HTTPClient) Stop(ctx context.Context, addr, taskID string, o Order) error {
	return c.post(ctx, addr, "/v1/tasks/"+url.PathEscape(taskID)+"/stop", o, nil)
}

// Throttle implements Client.
func (c *HTTPClient) Throttle(ctx context.Context, addr, taskID string, o Order) error {
	return c.post(ctx, addr, "/v1/tasks/"+url.PathEscape(taskID)+"/throttle", o, nil)
}

// Checkpoint implements Client.
func (c *HTTPClient) Checkpoint(ctx context.Context, addr, taskID string, o Order) error {
	return c.post(ctx, addr, "/v1/tasks/"+url.PathEscape(taskID)+"/checkpoint", o, nil)
}

// Ack implements Client.
func (c *HTTPClient) Ack(ctx context.Context, addr string, a Ack) error {
	return c.post(ctx, addr, "/v1/ack", a, nil)
}

// Report returns a worker's report without sending an epoch. The owner of a pool calls Renew instead, which also
// returns the report.
func (c *HTTPClient) Report(ctx context.Context, addr string) (Report, error) {
	var rep Report
	err := c.call(ctx, http.MethodGet, addr, "/v1/report", nil, &rep)
	return rep, err
}

func (c *HTTPClient) post(ctx context.Context, addr, path string, body, out any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(ErrNotDelivered, err.Error())
	}
	return c.call(ctx, http.MethodPost, addr, path, raw, out)
}

func (c *HTTPClient) call(ctx context.Context, method, addr, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(ErrNotDelivered, err.Error())
	}
	req.GetBody = nil // without GetBody the transport cannot send an order a second time
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err != nil {
		return sendError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := statusError(resp); err != nil {
		return err
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(ErrResponseLost, err.Error())
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return errors.Wrap(ErrResponseLost, err.Error())
	}
	return nil
}

// sendError returns ErrNotDelivered if the dial failed and ErrResponseLost after any later failure, because the worker
// may have received the order by then.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrap(ErrNotDelivered, err.Error())
	}
	return errors.Wrap(ErrResponseLost, err.Error())
}

// statusError returns the error for the status of a response, or nil for a success.
func statusError(resp *http.Response) error {
	switch code := resp.StatusCode; {
	case code >= 200 && code < 300:
		return nil
	case code == http.StatusServiceUnavailable && resp.Header.Get(HeaderLeaving) == "true":
		return ErrLeaving
	case code == http.StatusConflict:
		return ErrStaleEpoch
	case code == http.StatusServiceUnavailable || code >= 400 && code < 500:
		return errors.Wrapf(ErrNotDelivered, "status %d", code)
	default:
		return errors.Wrapf(ErrResponseLost, "status %d", code)
	}
}
