package membership

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/go-faster/errors"
)

// HTTPFetcher reads the list from the platform over HTTP. It is safe for concurrent use.
//
// It sends the entity tag of the last list if the platform supplied one, so that an unchanged list is neither sent nor
// decoded again.
type HTTPFetcher struct {
	url string
	hc  *http.Client

	mu    sync.Mutex
	etag  string
	hosts []Host // the list that has the entity tag etag
}

// NewHTTPFetcher returns a fetcher that reads the list from the platform at addr, an IP:port.
func NewHTTPFetcher(addr string, hc *http.Client) *HTTPFetcher {
	return &HTTPFetcher{url: "http://" + addr + "/v1/hosts", hc: hc}
}

// Hosts implements Fetcher. The slice is shared between calls and must not be changed. Errors: ErrUnavailable.
func (f *HTTPFetcher) Hosts(ctx context.Context) ([]Host, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url, nil)
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	if f.etag != "" {
		req.Header.Set("If-None-Match", f.etag)
	}
	resp, err := f.hc.Do(req)
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusNotModified && f.etag != "":
		return f.hosts, nil
	case resp.StatusCode != http.StatusOK:
		return nil, errors.Wrapf(ErrUnavailable, "status %d", resp.StatusCode)
	}
	var body struct {
		Hosts []Host `json:"hosts"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	f.etag, f.hosts = resp.Header.Get("ETag"), body.Hosts
	return f.hosts, nil
}
