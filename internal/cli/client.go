package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
)

const maxResponseBytes = 64 << 20 // bytes

var (
	// errNotSent reports that no daemon received the call.
	errNotSent = errors.New("cli: call not sent")
	// errLost reports that the response was lost; the call may have taken effect.
	errLost = errors.New("cli: response lost")
)

// response is a complete HTTP response of a daemon.
type response struct {
	isRead bool // the call was a GET, which has no effect; also set if the call failed
	status int
	body   []byte
}

// problem is the body of an error response.
type problem struct {
	Code           string `json:"code"`
	Message        string `json:"message"`
	CurrentVersion int64  `json:"current_version"`
	Author         string `json:"author"`
	Errors         []struct {
		Line    int    `json:"line"`
		Field   string `json:"field"`
		Message string `json:"message"`
	} `json:"errors"`
}

func (r response) problem() problem {
	var p problem
	_ = json.Unmarshal(r.body, &p) // a body that is no such object yields no code
	if p.Code == "" {
		p.Code = strings.ReplaceAll(strings.ToLower(http.StatusText(r.status)), " ", "_")
	}
	return p
}

// send makes one call to addr. Errors: errNotSent, errLost.
func (a *app) send(addr, method, path, bearer string, body []byte) (response, error) {
	ctx, cancel := context.WithTimeout(a.ctx, a.Timeout)
	defer cancel()
	r := response{isRead: method == http.MethodGet}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return r, errors.Wrap(errNotSent, err.Error())
	}
	req.GetBody = nil // keeps the transport from retrying: this tool decides whether that is safe
	req.Header.Set("Content-Type", "application/json")
	if bearer != "" {
		req.Header.Set("Authorization", "Bearer "+bearer)
	}
	hc := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := hc.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return r, errors.Wrap(errNotSent, err.Error())
		}
		return r, errors.Wrap(errLost, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return r, errors.Wrap(errLost, err.Error())
	}
	r.status, r.body = resp.StatusCode, raw
	return r, nil
}

// callAdmin tries the admin listeners in order until one responds with a status other than 503.
func (a *app) callAdmin(method, path string, body []byte) (response, error) {
	if len(a.Admin) == 0 {
		return response{}, newError(ExitUsage, "usage", "set --admin or GREENGAGE_ADMIN")
	}
	return a.callFirstAvailable(a.Admin, method, path, a.Secret, body)
}

// callCallers does the same as callAdmin with the callers' listeners.
func (a *app) callCallers(method, path string, body []byte) (response, error) {
	if len(a.Callers) == 0 {
		return response{}, newError(ExitUsage, "usage", "set --callers or GREENGAGE_CALLERS")
	}
	return a.callFirstAvailable(a.Callers, method, path, "", body)
}

// callFirstAvailable makes a call to the addresses in order. It tries the next address only if the call certainly had no
// effect.
func (a *app) callFirstAvailable(addrs []string, method, path, bearer string, body []byte) (r response, err error) {
	for _, addr := range addrs {
		r, err = a.send(addr, method, path, bearer, body)
		noEffect := errors.Is(err, errNotSent) || err == nil && r.status == http.StatusServiceUnavailable
		if !noEffect && (method != http.MethodGet || err == nil) {
			break
		}
	}
	return r, err
}

// asError converts a failed call or an error response into an Error. It returns nil for a successful response.
func asError(r response, err error) error {
	switch {
	case errors.Is(err, errNotSent):
		return newError(ExitUnavailable, "unavailable", "no daemon is reachable: %s", causeText(err, errNotSent))
	case errors.Is(err, errLost) && r.isRead:
		return newError(ExitUnavailable, "unavailable", "the response was lost: %s", causeText(err, errLost))
	case errors.Is(err, errLost):
		return newError(ExitUnknown, "outcome_unknown", "the response was lost: %s", causeText(err, errLost))
	case err != nil:
		return err
	case r.status < 300:
		return nil
	}
	p := r.problem()
	exit := exitCode(r.status)
	if exit == ExitUnknown && r.isRead {
		exit = ExitUnavailable
	}
	return newError(exit, p.Code, "%s", describe(p))
}

// causeText returns the text of err without the text of the sentinel error that it wraps.
func causeText(err, sentinel error) string {
	return strings.TrimSuffix(err.Error(), ": "+sentinel.Error())
}

func exitCode(status int) int {
	switch status {
	case http.StatusServiceUnavailable:
		return ExitUnavailable
	case http.StatusConflict:
		return ExitConflict
	case http.StatusGatewayTimeout:
		return ExitUnknown
	}
	if status >= 500 {
		return ExitUnknown // the call may have taken effect before a proxy or a crash produced this response
	}
	return ExitFailed
}
