package peers

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/cluster/coordinator"
	"github.com/greengagewing/greengagewing/internal/cluster/forecast"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/cluster/wire"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
	"github.com/greengagewing/greengagewing/internal/network"
)

var (
	// ErrUnreachable means that a peer did not answer; the call may have taken effect.
	ErrUnreachable = errors.New("peers: no answer")
	// ErrConnectionRefused means that no process listens at the peer's address.
	ErrConnectionRefused = errors.New("peers: connection refused")
	// ErrNotOwner means that the peer is not the owner.
	ErrNotOwner = errors.New("peers: peer is not the owner")
	// ErrFailed means that the peer answered with an error.
	ErrFailed = errors.New("peers: call failed")
)

// Paths of the HTTP calls between daemons.
const (
	lookupPath  = "/peer/v1/lookup"
	pendingPath = "/peer/v1/pending"
	advisePath  = "/peer/v1/advise"
	watchPath   = "/peer/v1/watch"
	submitPath  = "/peer/v1/submit"
	cancelPath  = "/peer/v1/cancel"
	offerPath   = "/peer/v1/offer"
	takePath    = "/peer/v1/take"
	ordersPath  = "/peer/v1/orders"
	deliverPath = "/peer/v1/deliver"
)

type lookupRequest struct {
	Job    string          `json:"job"`
	Access workload.Access `json:"access,omitzero"`
}

// LookupAnswer is the owner's answer to a query for the state of a job.
type LookupAnswer struct {
	Known bool           `json:"known"` // false if the owner does not know the job, or the caller may not access it
	State workload.State `json:"state,omitempty"`
	// OwnerBusy means that the owner is about to fall behind. Queries that the store can answer should go there for a while.
	OwnerBusy bool `json:"busy,omitempty"`
	// StoreSilentMS is for how many milliseconds the store has answered none of the owner's calls, if that is unusually long.
	StoreSilentMS int64 `json:"store_silent_ms,omitempty"`
	// Forecast tells which queues are overloaded.
	Forecast *forecast.Digest `json:"forecast,omitempty"`
}

type pendingRequest struct {
	Queue string `json:"queue"`
}

type pendingAnswer struct {
	Jobs int `json:"jobs"`
}

type adviseRequest struct {
	Step    workload.StepID `json:"step"`
	Workers []string        `json:"workers"`
}

type adviseAnswer struct {
	Approved   []scheduler.Approval `json:"approved"`
	ValidityMS int64                `json:"validity_ms"`
}

// takeRequest notifies the owner of a stored change: a new job, or the cancellation of a job. One field is set.
type takeRequest struct {
	Job    *workload.Spec `json:"job,omitempty"`
	Cancel string         `json:"cancel,omitempty"`
}

// TakeAnswer is the owner's answer to a notification. The fields are those of a LookupAnswer.
type TakeAnswer struct {
	OwnerBusy bool             `json:"busy,omitempty"`
	Forecast  *forecast.Digest `json:"forecast,omitempty"`
}

// offerRequest offers the ownership of the process with this BootID to a peer; see Client.OfferOwnership.
type offerRequest struct {
	BootID  string `json:"boot"`
	LastSeq int64  `json:"last_seq"`
}

type offerAnswer struct {
	Claimed bool `json:"claimed"`
}

// watchRequest is a long poll that monitors the process with this BootID; see Client.WatchProcess.
type watchRequest struct {
	BootID string        `json:"boot"`
	Wait   time.Duration `json:"wait"` // how long the owner delays its answer
}

type watchAnswer struct {
	BootID string `json:"boot"`
	Owner  bool   `json:"owner"`
}

const (
	dialTimeout = 500 * time.Millisecond
	// idleConnections is the highest number of idle connections to one peer that are kept open.
	idleConnections = 4
	idleTimeout     = 30 * time.Second
)

// Client calls other daemons.
type Client struct {
	http *http.Client
}

// NewClient returns a client that connects to other daemons through n.
func NewClient(n network.Network) *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:         network.WithTimeout(n.Dial, dialTimeout),
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
	}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Lookup asks the owner for a job's state.
func (c *Client) Lookup(ctx context.Context, addr, id string, access workload.Access) (LookupAnswer, error) {
	var a LookupAnswer
	err := c.call(ctx, addr, lookupPath, lookupRequest{id, access}, &a)
	return a, err
}

// Pending asks the owner for the number of a queue's jobs that have not started any task yet.
func (c *Client) Pending(ctx context.Context, addr, queue string) (int, error) {
	var a pendingAnswer
	err := c.call(ctx, addr, pendingPath, pendingRequest{queue}, &a)
	return a.Jobs, err
}

// Advise asks a peer to query the policy service about workers for a step.
func (c *Client) Advise(ctx context.Context, addr string, step workload.StepID, workers []string) (coordinator.Advice, error) {
	var a adviseAnswer
	err := c.call(ctx, addr, advisePath, adviseRequest{step, workers}, &a)
	return coordinator.Advice{Approved: a.Approved, Validity: time.Duration(a.ValidityMS) * time.Millisecond}, err
}

// WatchProcess returns the id of the peer's process and whether it is the owner. If the process has this bootID and is the
// owner, it delays its answer for the duration wait. The connection breaks when the process ends, so the caller notices that at
// once.
func (c *Client) WatchProcess(ctx context.Context, addr, bootID string, wait time.Duration) (string, bool, error) {
	var a watchAnswer
	err := c.call(ctx, addr, watchPath, watchRequest{bootID, wait}, &a)
	return a.BootID, a.Owner, err
}

// NotifyJobStored notifies the owner of a stored job, so that the owner sees it before its change feed delivers it.
func (c *Client) NotifyJobStored(ctx context.Context, addr string, spec *workload.Spec) (TakeAnswer, error) {
	return c.take(ctx, addr, takeRequest{Job: spec})
}

// NotifyCancelStored notifies the owner of a stored cancellation.
func (c *Client) NotifyCancelStored(ctx context.Context, addr, id string) (TakeAnswer, error) {
	return c.take(ctx, addr, takeRequest{Cancel: id})
}

func (c *Client) take(ctx context.Context, addr string, r takeRequest) (TakeAnswer, error) {
	var a TakeAnswer
	err := c.call(ctx, addr, takePath, r, &a)
	return a, err
}

// OfferOwnership asks a peer to claim the ownership from the process with this bootID, unless that process commits a
// transaction after lastSeq in the meantime. It reports whether the peer has claimed it.
func (c *Client) OfferOwnership(ctx context.Context, addr, bootID string, lastSeq int64) (bool, error) {
	var a offerAnswer
	err := c.call(ctx, addr, offerPath, offerRequest{bootID, lastSeq}, &a)
	return a.Claimed, err
}

// call posts in to a path of the daemon at addr and decodes the answer into out.
func (c *Client) call(ctx context.Context, addr, path string, in, out any) error {
	return c.callUpTo(ctx, addr, path, in, out, wire.MaxMessageBytes)
}

// callUpTo is call with another limit for the size of the answer.
func (c *Client) callUpTo(ctx context.Context, addr, path string, in, out any, maxBytes int) error {
	body, err := wire.Encode(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build call")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return errors.Wrap(ErrConnectionRefused, addr)
		}
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, int64(maxBytes)+1))
	if err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	if len(data) > maxBytes {
		return errors.Wrapf(ErrFailed, "%s answered more than %d bytes to %s", addr, maxBytes, path)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		if err := json.Unmarshal(data, out); err != nil {
			return errors.Wrap(err, "decode answer")
		}
		return nil
	case http.StatusMisdirectedRequest:
		return ErrNotOwner
	}
	return errors.Wrapf(ErrFailed, "%s answered %d to %s", addr, resp.StatusCode, path)
}
