//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/platform/platformtest"
)

// Limits of the store, as the protocol page and the settings give them.
const (
	maxRowBytes  = 65536
	maxTxEntries = 100
	maxTxBytes   = 1 << 20
	maxReadRows  = 500
	txLatency    = 5 * time.Millisecond
	readLatency  = 4 * time.Millisecond
)

// store is the project's store in memory behind the limits of the protocol page. While it is down, it resets all connections.
type store struct {
	rows    *rowstore.Memory
	handler http.Handler
	record  *record
	down    atomic.Bool

	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	tooLarge map[string]int // refused rows by table
}

func newStore(r *record) *store {
	rows := rowstore.NewMemory()
	return &store{rows: rows, handler: platformtest.StoreHandler(rows), record: r, conns: map[net.Conn]struct{}{}, tooLarge: map[string]int{}}
}

func (s *store) setDown(down bool) {
	s.down.Store(down)
	if !down {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		resetConn(c)
	}
}

func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (s *store) connState(c net.Conn, st http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch st {
	case http.StateNew:
		s.conns[c] = struct{}{}
		if s.down.Load() {
			resetConn(c)
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.down.Load() {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/v1/rows-tx":
		time.Sleep(txLatency)
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if reason := s.tooMuch(body); reason != "" {
			http.Error(w, reason, http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
	case "/v1/rows-get":
		time.Sleep(readLatency)
		q := r.URL.Query()
		if n, _ := strconv.Atoi(q.Get("limit")); n <= 0 || n > maxReadRows {
			q.Set("limit", strconv.Itoa(maxReadRows))
			r.URL.RawQuery = q.Encode()
		}
	}
	if s.down.Load() {
		panic(http.ErrAbortHandler)
	}
	s.handler.ServeHTTP(w, r)
}

// tooMuch returns why a transaction exceeds the store's limits, or "". Such a transaction has no effect.
func (s *store) tooMuch(body []byte) string {
	var in struct {
		ExpectedRevision []json.RawMessage `json:"expectedRevision"`
		Puts             []struct {
			Table string `json:"table"`
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"puts"`
		Remove []json.RawMessage `json:"remove"`
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return err.Error()
	}
	if len(in.ExpectedRevision)+len(in.Puts)+len(in.Remove) > maxTxEntries || len(body) > maxTxBytes {
		s.record.printf("store: transaction refused, too large: %d entries, %d bytes", len(in.Puts)+len(in.Remove), len(body))
		return "transaction too large"
	}
	for _, p := range in.Puts {
		if len(p.Value) > maxRowBytes {
			s.mu.Lock()
			s.tooLarge[p.Table]++
			n := s.tooLarge[p.Table]
			s.mu.Unlock()
			if n <= 5 || n%100 == 0 {
				s.record.printf("store: transaction refused, row %s/%s has %d bytes, maxRowBytes is %d (refusal %d)", p.Table, p.Key, len(p.Value), maxRowBytes, n)
			}
			return "row too large"
		}
	}
	return ""
}
