package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits and latencies of the store, as in the settings of a small deployment.
const (
	maxTxnEntries   = 100
	maxTxnBytes     = 1 << 20
	maxPageRows     = 500
	maxPageBytes    = 1 << 20
	maxRowBytes     = 65536
	txnLatency      = 5 * time.Millisecond
	readLatency     = 4 * time.Millisecond
	historyTime     = 20 * time.Second
	maxFeedWaitMS   = 30_000
	operatorTable   = "op"
	serversTable    = "servers"
	rowsInFeedLimit = 5000
)

// rowKey identifies a row of the store.
type rowKey struct{ table, part, key string }

// wireRow is a row as the store encodes it.
type wireRow struct {
	Table      string `json:"table"`
	Part       string `json:"part"`
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	RowVersion int64  `json:"rowVersion"`
	Deleted    bool   `json:"deleted,omitempty"`
}

func (r wireRow) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// change is an entry of the store's history.
type change struct {
	row wireRow
	at  time.Time
}

// store is a stand-in of the platform's store, of the form "table".
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]wireRow
	version int64
	history []change
	dropped int64         // version of the newest change that is no longer in history
	changed chan struct{} // is closed at the next change
	parts   map[string]*sync.Mutex
	began   time.Time
}

func newStore() *store {
	return &store{rows: map[rowKey]wireRow{}, changed: make(chan struct{}), parts: map[string]*sync.Mutex{}, began: time.Now()}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.handleTxn)
	mux.HandleFunc("GET /v1/rows-get", s.handleGet)
	mux.HandleFunc("GET /v1/rows-feed", s.handleFeed)
	mux.HandleFunc("GET /v1/rows-parts", s.handleParts)
	return mux
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

type rowsAnswer struct {
	Rows          []wireRow `json:"rows,omitempty"`
	HasMore       bool      `json:"hasMore,omitempty"`
	RowVersion    int64     `json:"rowVersion"`
	CurrentTimeMS int64     `json:"currentTimeMs"`
}

func (s *store) answer(rows []wireRow, more bool, version int64) rowsAnswer {
	return rowsAnswer{rows, more, version, time.Since(s.began).Milliseconds()}
}

// apply writes and removes rows under a new version. The caller holds mu.
func (s *store) apply(puts []wireRow, removes []rowKey) {
	s.version++
	now := time.Now()
	for _, p := range puts {
		p.RowVersion, p.Deleted = s.version, false
		s.rows[p.id()] = p
		s.history = append(s.history, change{p, now})
	}
	for _, k := range removes {
		if _, ok := s.rows[k]; !ok {
			continue
		}
		delete(s.rows, k)
		s.history = append(s.history, change{wireRow{Table: k.table, Part: k.part, Key: k.key, RowVersion: s.version, Deleted: true}, now})
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyTime {
		s.dropped = s.history[0].row.RowVersion
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row on behalf of the operator or a minion. It returns once the row is stored.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]wireRow{{Table: table, Key: key, Value: value}}, nil)
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []rowKey{{table: table, key: key}})
}

// partLock returns the lock of a part, which handles one transaction after another.
func (s *store) partLock(part string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[part] == nil {
		s.parts[part] = &sync.Mutex{}
	}
	return s.parts[part]
}

type txn struct {
	ExpectedRevision []wireRow `json:"expectedRevision"`
	Puts             []wireRow `json:"puts"`
	Remove           []wireRow `json:"remove"`
}

func (s *store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	body := http.MaxBytesReader(w, r.Body, maxTxnBytes+1)
	if err := json.NewDecoder(body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	all := slices.Concat(t.ExpectedRevision, t.Puts, t.Remove)
	if len(all) == 0 || len(all) > maxTxnEntries {
		http.Error(w, "number of entries", http.StatusBadRequest)
		return
	}
	for _, e := range all {
		if e.Part != all[0].Part || len(e.Value) > maxRowBytes {
			http.Error(w, "several parts, or a long row", http.StatusBadRequest)
			return
		}
	}
	for _, e := range slices.Concat(t.Puts, t.Remove) {
		if e.Table == operatorTable || e.Table == serversTable {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	lock := s.partLock(all[0].Part)
	lock.Lock()
	defer lock.Unlock()
	time.Sleep(txnLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []wireRow
	failed := false
	for _, e := range t.ExpectedRevision {
		row, ok := s.rows[e.id()]
		if ok {
			current = append(current, row)
		}
		failed = failed || row.RowVersion != e.RowVersion
	}
	if failed {
		writeJSON(w, http.StatusPreconditionFailed, s.answer(current, false, s.version))
		return
	}
	removes := make([]rowKey, len(t.Remove))
	for i, e := range t.Remove {
		removes[i] = e.id()
	}
	s.apply(t.Puts, removes)
	writeJSON(w, http.StatusOK, s.answer(nil, false, s.version))
}

func (s *store) handleGet(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readLatency)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []wireRow
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("fromRevision") && (q.Get("target") == "" || k.key < q.Get("target")) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	n, size := 0, 0
	for n < len(rows) && n < limit && (n == 0 || size+len(rows[n].Value) <= maxPageBytes) {
		size += len(rows[n].Value)
		n++
	}
	writeJSON(w, http.StatusOK, s.answer(rows[:n], n < len(rows), s.version))
}

func (s *store) handleParts(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	found := map[string]bool{}
	for k := range s.rows {
		if k.table == r.URL.Query().Get("table") && k.part > r.URL.Query().Get("after") {
			found[k.part] = true
		}
	}
	parts := []string{}
	for p := range found {
		parts = append(parts, p)
	}
	slices.SortFunc(parts, strings.Compare)
	writeJSON(w, http.StatusOK, map[string]any{"parts": parts[:min(len(parts), 1000)], "hasMore": len(parts) > 1000})
}

// changesAfter returns the changes of a table after a version, and false if some are no longer known. The caller holds mu.
func (s *store) changesAfter(table string, after int64) ([]wireRow, bool) {
	if after < s.dropped {
		return nil, false
	}
	var rows []wireRow
	from := sort.Search(len(s.history), func(i int) bool { return s.history[i].row.RowVersion > after })
	for _, c := range s.history[from:] {
		if c.row.Table == table && len(rows) < rowsInFeedLimit {
			rows = append(rows, c.row)
		}
	}
	return rows, true
}

func (s *store) handleFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	waitMS, _ := strconv.Atoi(q.Get("waitTimeoutMs"))
	timeout := time.After(time.Duration(min(waitMS, maxFeedWaitMS)) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		rows, ok := s.changesAfter(q.Get("table"), after)
		changed, version := s.changed, s.version
		s.mu.Unlock()
		if len(rows) == rowsInFeedLimit {
			version = rows[len(rows)-1].RowVersion
		}
		switch {
		case !ok:
			w.WriteHeader(http.StatusGone)
			return
		case len(rows) > 0 || !waiting:
			writeJSON(w, http.StatusOK, s.answer(rows, false, version))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}
