package standin

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	minionSlots    = 8
	maxConnections = 64 // per minion
)

// Minion is a back end that executes at most a fixed number of requests (its slots) at a time. A request keeps its slot
// until its work ends, even if the caller has disconnected.
type Minion struct {
	ID    string
	slots int
	audit *Audit

	mu           sync.Mutex
	inUse        int
	conns        int
	faults       Faults
	lastResponse response // of the latest attempt, for crossed responses
}

// NewMinion returns a minion with the given number of slots.
func NewMinion(id string, slots int) *Minion { return newMinion(id, slots, NewAudit()) }

func newMinion(id string, slots int, a *Audit) *Minion {
	a.updateMinion(id, func(m *MinionAudit) { m.Slots = slots })
	return &Minion{ID: id, slots: slots, audit: a}
}

// payload is the part of a request's or task's payload that minions and workers understand.
type payload struct {
	Key    string `json:"key"`
	WorkMS int64  `json:"work_ms"`
	// Once makes the audit report a violation if the request or task runs more than once.
	Once bool `json:"once"`
	// Exit is the exit code that a task returns on a worker.
	Exit int `json:"exit"`
	// UsageRatio, if not 0, overrides the worker's ratio of actual usage to declared size.
	UsageRatio float64 `json:"usage_ratio"`
}

// response is a minion's response to one attempt of a request.
type response struct {
	attempt string
	body    []byte
}

func (r response) header() http.Header {
	sum := sha256.Sum256(r.body)
	return http.Header{
		"Attempt-Id":     {r.attempt},
		"Answer-Sha256":  {hex.EncodeToString(sum[:])},
		"Content-Length": {strconv.Itoa(len(r.body))},
		"Content-Type":   {"application/json"},
	}
}

// Faults returns the active faults. Faults that apply to a number of requests hold the remaining number.
func (m *Minion) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// SetFaults replaces the active faults. It does not apply network faults or change the membership list.
func (m *Minion) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// Audit returns the audit to which the minion reports.
func (m *Minion) Audit() *Audit { return m.audit }

func (m *Minion) countConnections(open int, overLimit bool) {
	m.mu.Lock()
	m.conns = open
	m.mu.Unlock()
	m.audit.updateMinion(m.ID, func(a *MinionAudit) {
		a.MaxConnections = max(a.MaxConnections, open)
		if overLimit {
			a.OverConnections++
		}
	})
}

// ServeHTTP serves POST /v1/execute, GET /v1/ping, and GET /v1/runs, which returns the number of runs by key.
func (m *Minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /v1/execute":
		m.execute(w, r)
	case "GET /v1/runs":
		writeJSON(w, http.StatusOK, m.audit.requestRunCounts())
	case "GET /v1/ping":
		m.ping(w)
	default:
		http.NotFound(w, r)
	}
}

func (m *Minion) ping(w http.ResponseWriter) {
	m.mu.Lock()
	leaving := m.faults.Leaving
	body := map[string]int{"slots": m.slots, "in_use": m.inUse, "connections": m.conns}
	m.mu.Unlock()
	if leaving {
		w.Header().Set("Leaving", "true")
	}
	w.Header().Set("Idle-Slots", strconv.Itoa(body["slots"]-body["in_use"]))
	writeJSON(w, http.StatusOK, body)
}

func (m *Minion) execute(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var parsed payload
	_ = json.Unmarshal(raw, &parsed) // a payload in another format runs without a key and ends immediately
	f, reason := m.acquire()
	if reason != "" {
		w.Header().Set("Not-Run", "true")
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		if f.Leaving {
			w.Header().Set("Leaving", "true")
		}
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	if f.CrashBefore > 0 {
		m.release()
		panic(http.ErrAbortHandler)
	}
	m.audit.recordRequestRun(parsed)
	m.audit.updateMinion(m.ID, func(a *MinionAudit) { a.Runs++ })
	time.Sleep(time.Duration(parsed.WorkMS) * time.Millisecond)
	m.release()
	body, _ := json.Marshal(map[string]string{"minion": m.ID, "key": parsed.Key})
	m.sendResponse(w, f, response{attempt: r.Header.Get("Attempt-Id"), body: body})
}

// acquire takes a slot and returns the at most one fault to apply to this request, or the reason for refusing it.
func (m *Minion) acquire() (Faults, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Leaving {
		return Faults{Leaving: true}, "leaving"
	}
	if m.inUse >= m.slots {
		m.audit.updateMinion(m.ID, func(a *MinionAudit) { a.Refused++ })
		return Faults{}, "no free slot"
	}
	m.inUse++
	used := m.inUse
	m.audit.updateMinion(m.ID, func(a *MinionAudit) { a.MaxInUse = max(a.MaxInUse, used) })
	active := Faults{LateMS: m.faults.LateMS}
	for _, n := range []struct{ remaining, triggered *int }{
		{&m.faults.CrashBefore, &active.CrashBefore}, {&m.faults.CrashAfter, &active.CrashAfter},
		{&m.faults.Truncate, &active.Truncate}, {&m.faults.Late, &active.Late},
		{&m.faults.Cross, &active.Cross}, {&m.faults.Duplicate, &active.Duplicate},
	} {
		if *n.remaining > 0 {
			*n.remaining--
			*n.triggered = 1
			m.audit.updateMinion(m.ID, func(a *MinionAudit) { a.Faults++ })
			break
		}
	}
	return active, ""
}

func (m *Minion) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inUse--
}

func (m *Minion) sendResponse(w http.ResponseWriter, f Faults, resp response) {
	m.mu.Lock()
	earlier := m.lastResponse
	m.lastResponse = resp
	m.mu.Unlock()
	switch {
	case f.CrashAfter > 0:
		panic(http.ErrAbortHandler)
	case f.Late > 0:
		time.Sleep(time.Duration(f.LateMS) * time.Millisecond)
	case f.Cross > 0 && earlier.attempt != "":
		resp = earlier
	case f.Cross > 0:
		resp = response{attempt: "other", body: []byte(`{"key":"other"}`)}
	case f.Duplicate > 0:
		sendDuplicate(w, resp)
		return
	}
	for k, v := range resp.header() {
		w.Header()[k] = v
	}
	if f.Truncate > 0 {
		_, _ = w.Write(resp.body[:len(resp.body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(resp.body)
}

// sendDuplicate sends resp, and sends it again in place of the response to the next request on the same connection.
func sendDuplicate(w http.ResponseWriter, resp response) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	var raw bytes.Buffer
	fmt.Fprint(&raw, "HTTP/1.1 200 OK\r\n")
	_ = resp.header().Write(&raw)
	fmt.Fprintf(&raw, "\r\n%s", resp.body)
	if _, err := c.Write(raw.Bytes()); err != nil {
		return
	}
	if _, err := c.Read(make([]byte, 64<<10)); err == nil {
		_, _ = c.Write(raw.Bytes())
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
