package table

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/network"
)

const (
	// dialTimeout bounds a dial, which continues in the background after the call that started it has ended. It is shorter
	// than callTimeout, so that a commit to an unreachable service fails while dialing and is known not to have been sent.
	dialTimeout = 500 * time.Millisecond
	// callTimeout bounds one call. A session is valid for 3.5 s, so a renewal that takes longer is of no use to it.
	callTimeout      = 2 * time.Second
	maxResponseBytes = 64 << 20
)

// conflictResponse is the body of a response with status 409.
type conflictResponse struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// HTTPClient is a Client that calls the table service with JSON over HTTP.
type HTTPClient struct {
	baseURL    string
	httpClient *http.Client
}

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// NewHTTPClient returns a client of the service at addr, an IP:port. If dial is nil, it dials with a net.Dialer.
func NewHTTPClient(addr string, dial DialFunc) *HTTPClient {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	tr := &http.Transport{
		DialContext:         network.WithTimeout(network.DialFunc(dial), dialTimeout),
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     10 * time.Second,
	}
	return &HTTPClient{baseURL: "http://" + addr, httpClient: &http.Client{Transport: tr}}
}

// Close closes the idle connections.
func (c *HTTPClient) Close() { c.httpClient.CloseIdleConnections() }

// Get implements Client.
func (c *HTTPClient) Get(ctx context.Context, key string) (Row, error) {
	var r Row
	err := c.get(ctx, "/v1/rows?"+url.Values{"key": {key}}.Encode(), &r)
	return r, err
}

// Scan implements Client.
func (c *HTTPClient) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var rows []Row
	err := c.get(ctx, "/v1/scan?"+q.Encode(), &rows)
	return rows, err
}

// get sends a GET request and decodes the response into out. Errors: ErrNotFound, ErrUnavailable.
func (c *HTTPClient) get(ctx context.Context, path string, out any) error {
	status, body, err := c.call(ctx, http.MethodGet, path, nil)
	switch {
	case err != nil:
		return errors.Wrap(ErrUnavailable, err.Error())
	case status == http.StatusNotFound:
		return ErrNotFound
	case status != http.StatusOK:
		return errors.Wrapf(ErrUnavailable, "status %d", status)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return nil
}

// Commit implements Client. It returns ErrUnknownOutcome for every failure after which the request may have been sent.
func (c *HTTPClient) Commit(ctx context.Context, txn Txn) (Result, error) {
	raw, err := json.Marshal(txn)
	if err != nil {
		return Result{}, errors.Wrap(err, "encode transaction")
	}
	status, body, err := c.call(ctx, http.MethodPost, "/v1/commit", raw)
	if err != nil {
		return Result{}, classifyCommitError(err)
	}
	switch status {
	case http.StatusOK:
		var res Result
		if err := json.Unmarshal(body, &res); err != nil {
			return Result{}, errors.Wrap(ErrUnknownOutcome, err.Error())
		}
		return res, nil
	case http.StatusConflict:
		var cb conflictResponse
		if err := json.Unmarshal(body, &cb); err != nil {
			return Result{}, errors.Wrap(ErrConflict, err.Error())
		}
		return Result{}, &ConflictError{Key: cb.Key, Version: cb.Version}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadRequest:
		return Result{}, errors.Wrapf(ErrUnavailable, "status %d", status)
	}
	return Result{}, errors.Wrapf(ErrUnknownOutcome, "status %d", status)
}

// classifyCommitError returns ErrUnavailable if the request was certainly not sent, because the dial failed, and
// ErrUnknownOutcome otherwise.
func classifyCommitError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return errors.Wrap(ErrUnknownOutcome, err.Error())
}

// call sends a request and returns the status and the body of the response.
func (c *HTTPClient) call(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if method == http.MethodPost {
		// Without GetBody the transport cannot resend a commit by itself.
		req.GetBody = nil
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, err
	}
	return resp.StatusCode, raw, nil
}
