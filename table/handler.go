package table

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"
)

// Handler serves c over HTTP with the protocol of HTTPClient.
func Handler(c Client) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows", func(w http.ResponseWriter, r *http.Request) {
		row, err := c.Get(r.Context(), r.URL.Query().Get("key"))
		writeResponse(w, row, err)
	})
	mux.HandleFunc("GET /v1/scan", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		limit, err := strconv.Atoi(q.Get("limit"))
		if err != nil || limit < 1 {
			http.Error(w, "limit must be a positive number", http.StatusBadRequest)
			return
		}
		rows, err := c.Scan(r.Context(), q.Get("prefix"), q.Get("after"), limit)
		writeResponse(w, rows, err)
	})
	mux.HandleFunc("POST /v1/commit", func(w http.ResponseWriter, r *http.Request) {
		var txn Txn
		if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		res, err := c.Commit(r.Context(), txn)
		writeResponse(w, res, err)
	})
	return mux
}

// writeResponse writes v, or the status that stands for err.
func writeResponse(w http.ResponseWriter, v any, err error) {
	status := http.StatusOK
	var conflict *ConflictError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		status, v = http.StatusConflict, conflictResponse{Key: conflict.Key, Version: conflict.Version}
	case errors.Is(err, ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	case errors.Is(err, ErrUnknownOutcome):
		// To the client, a lost response looks like a connection that is closed before the first byte.
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
