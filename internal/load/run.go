package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/request"
	"github.com/greengagewing/greengagewing/internal/wait"
)

// ErrNotLoopback is returned if a target address is not a loopback address of this machine.
var ErrNotLoopback = errors.New("load: targets must be loopback addresses")

const (
	callTimeoutMargin = 2 * time.Second // added to the request's timeout for the HTTP call
	maxIdleConns      = 512
)

// Target says where to send requests.
type Target struct {
	Entries []string // IP:port of the daemons' listeners for callers
	Service string
	RunID   string // prefix of the idempotency keys
	// Direct sends requests to minions instead of daemons, as a baseline. Entries are then addresses of minions.
	Direct bool
}

// requireLoopback returns ErrNotLoopback for targets outside this machine, so that a mistyped address never puts load
// on other machines.
func (t Target) requireLoopback() error {
	for _, a := range t.Entries {
		ap, err := netip.ParseAddrPort(a)
		if err != nil || !ap.Addr().IsLoopback() {
			return errors.Wrap(ErrNotLoopback, a)
		}
	}
	return nil
}

// Run sends every arrival at its time, whether or not earlier requests have been answered (open loop), and returns one
// sample per request sent. It takes at least the duration of the pattern, unless ctx ends it early.
func Run(ctx context.Context, p Pattern, t Target) ([]Sample, error) {
	if err := t.requireLoopback(); err != nil {
		return nil, err
	}
	arrivals := p.Arrivals()
	samples := make([]Sample, len(arrivals))
	httpClient := &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: maxIdleConns,
	}}
	defer httpClient.CloseIdleConnections()
	start := time.Now()
	var wg sync.WaitGroup
	for i, a := range arrivals {
		if !wait.For(ctx, time.Until(start.Add(a.At))) {
			samples = samples[:i]
			break
		}
		wg.Go(func() { samples[i] = sendArrival(ctx, httpClient, t, p.Mix[a.Share], a.Customer, i) })
	}
	wait.For(ctx, time.Until(start.Add(p.Duration)))
	wg.Wait()
	return samples, nil
}

// workPayload is the payload format that the minions and workers of the fake platform understand.
type workPayload struct {
	Key    string `json:"key"`
	WorkMS int64  `json:"work_ms"`
	Once   bool   `json:"once"` // the audit of the fake platform reports a second run as a violation
}

func sendArrival(ctx context.Context, hc *http.Client, t Target, s Share, customer, i int) Sample {
	key := fmt.Sprintf("%s-%d", t.RunID, i)
	payload, _ := json.Marshal(workPayload{Key: key, WorkMS: s.Work.Milliseconds(), Once: !s.Idempotent})
	body, _ := json.Marshal(map[string]any{
		"customer": fmt.Sprintf("customer-%d", customer), "key": key, "class": s.Class, "idempotent": s.Idempotent,
		"timeout_ms": s.Timeout.Milliseconds(), "payload": json.RawMessage(payload),
	})
	call := sendToDaemon
	if t.Direct {
		call, body = sendToMinion, payload
	}
	sentAt := time.Now()
	out, err := call(ctx, hc, t, s, body)
	sample := Sample{Class: s.Class, Latency: time.Since(sentAt), Work: s.Work, Outcome: out.Result, Code: out.Code}
	if err != nil {
		sample.Outcome, sample.Code = request.Unknown, "transport_error"
		return sample
	}
	if out.Result == request.Done {
		var echo workPayload
		sample.Wrong = json.Unmarshal(out.Answer, &echo) != nil || echo.Key != key
	}
	return sample
}

// sendToDaemon sends a request to a random daemon and returns its outcome.
func sendToDaemon(ctx context.Context, hc *http.Client, t Target, s Share, body []byte) (request.Outcome, error) {
	var out request.Outcome
	_, err := postToRandomEntry(ctx, hc, t, s, "/v1/services/"+t.Service+"/requests", body, &out)
	return out, err
}

// sendToMinion sends an attempt directly to a random minion and returns its outcome.
func sendToMinion(ctx context.Context, hc *http.Client, t Target, s Share, body []byte) (request.Outcome, error) {
	var result json.RawMessage
	status, err := postToRandomEntry(ctx, hc, t, s, "/v1/execute", body, &result)
	switch {
	case status == http.StatusServiceUnavailable:
		return request.NotRunOutcome(request.CodeNoMinion, "no free slot", 0), nil
	case err != nil:
		return request.Outcome{}, err
	}
	return request.Outcome{Result: request.Done, Answer: result}, nil
}

// postToRandomEntry posts body to path on a random entry of the target.
func postToRandomEntry(ctx context.Context, hc *http.Client, t Target, s Share, path string, body []byte, out any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout+callTimeoutMargin)
	defer cancel()
	url := "http://" + t.Entries[rand.IntN(len(t.Entries))] + path
	return exchangeJSON(ctx, hc, http.MethodPost, url, http.Header{request.HeaderAttemptID: {t.RunID}}, body, out)
}

// exchangeJSON makes one HTTP call, decodes the JSON response into out whatever the status, and returns the status.
func exchangeJSON(ctx context.Context, hc *http.Client, method, url string, h http.Header, body []byte, out any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	for name, values := range h {
		req.Header[name] = values
	}
	resp, err := hc.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode, json.NewDecoder(resp.Body).Decode(out)
}
