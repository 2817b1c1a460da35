// Package standin plays the platform for tests and demonstrations: table service, membership list, workers, minions.
package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Minion is a back end with a bounded number of slots.
type Minion struct {
	ID    string
	slots chan struct{}

	mu   sync.Mutex
	runs map[string]int // runs per payload "key"
}

// NewMinion returns a minion with the given number of slots.
func NewMinion(id string, slots int) *Minion {
	return &Minion{ID: id, slots: make(chan struct{}, slots), runs: map[string]int{}}
}

// work is the payload that a minion understands.
type work struct {
	Key    string `json:"key"`
	WorkMS int64  `json:"work_ms"`
}

// ServeHTTP serves POST /v1/execute, GET /v1/ping and GET /v1/runs.
func (m *Minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/execute":
		m.execute(w, r)
	case "/v1/runs":
		m.mu.Lock()
		defer m.mu.Unlock()
		_ = json.NewEncoder(w).Encode(m.runs)
	case "/v1/ping":
	default:
		http.NotFound(w, r)
	}
}

func (m *Minion) execute(w http.ResponseWriter, r *http.Request) {
	select {
	case m.slots <- struct{}{}:
		defer func() { <-m.slots }()
	default:
		w.Header().Set("Not-Run", "true")
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var job work
	_ = json.Unmarshal(raw, &job)
	m.mu.Lock()
	m.runs[job.Key]++
	m.mu.Unlock()
	time.Sleep(time.Duration(job.WorkMS) * time.Millisecond)
	body, _ := json.Marshal(map[string]string{"minion": m.ID, "key": job.Key})
	sum := sha256.Sum256(body)
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Answer-Sha256", hex.EncodeToString(sum[:]))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}
