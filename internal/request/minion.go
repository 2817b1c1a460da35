package request

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
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
	maxAnswerBytes    = 4 << 20
)

var (
	// ErrNotSent says that no byte of the request reached the minion, or that it refused before starting.
	ErrNotSent = errors.New("request: not run by the minion")
	// ErrAnswerLost says that the minion may have run the request but no whole answer arrived.
	ErrAnswerLost = errors.New("request: no whole answer from the minion")
)

// MinionClient sends attempts to minions.
type MinionClient struct{ hc *http.Client }

// NewMinionClient returns a client with its own connections.
func NewMinionClient() *MinionClient {
	return &MinionClient{hc: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: minionDialTimeout}).DialContext,
	}}}
}

// Execute sends one attempt and returns the minion's whole answer.
func (c *MinionClient) Execute(ctx context.Context, addr, attemptID string, payload []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/execute", bytes.NewReader(payload))
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	req.GetBody = nil // the transport must never send an attempt twice
	req.Header.Set(HeaderAttemptID, attemptID)
	resp, err := c.hc.Do(req)
	if err != nil {
		return nil, sendFailure(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotRun) == "true" {
		return nil, errors.Wrap(ErrNotSent, "refused by the minion")
	}
	return readAnswer(resp, attemptID)
}

func sendFailure(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	return errors.Wrap(ErrAnswerLost, err.Error())
}

func readAnswer(resp *http.Response, attemptID string) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, errors.Wrap(ErrAnswerLost, err.Error())
	}
	sum := sha256.Sum256(body)
	switch {
	case resp.StatusCode != http.StatusOK:
		return nil, errors.Wrapf(ErrAnswerLost, "status %d", resp.StatusCode)
	case resp.Header.Get(HeaderAttemptID) != attemptID:
		return nil, errors.Wrap(ErrAnswerLost, "answer is for another attempt")
	case resp.ContentLength != int64(len(body)):
		return nil, errors.Wrap(ErrAnswerLost, "answer is truncated")
	case resp.Header.Get(HeaderDigest) != hex.EncodeToString(sum[:]):
		return nil, errors.Wrap(ErrAnswerLost, "answer does not match its digest")
	}
	return body, nil
}
