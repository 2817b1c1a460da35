package standin

import (
	"io"
	"net/http"
	"sync"
)

// maxObjectBytes is the maximum size of one object.
const maxObjectBytes = 64 << 20

// objectStore is an in-memory object store that serves PUT, GET and DELETE of /v1/objects/{key}. It shares the outages
// and the rate limits of the table service.
type objectStore struct {
	unavailable func() bool

	mu   sync.Mutex
	data map[string][]byte
}

func newObjectStore(unavailable func() bool) *objectStore {
	return &objectStore{unavailable: unavailable, data: map[string][]byte{}}
}

// ServeHTTP implements http.Handler.
func (o *objectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if o.unavailable() {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	key := r.PathValue("key")
	switch r.Method {
	case http.MethodPut:
		raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		o.mu.Lock()
		o.data[key] = raw
		o.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	case http.MethodGet:
		o.mu.Lock()
		raw, ok := o.data[key]
		o.mu.Unlock()
		if !ok {
			http.Error(w, "no such object", http.StatusNotFound)
			return
		}
		_, _ = w.Write(raw)
	case http.MethodDelete:
		o.mu.Lock()
		delete(o.data, key)
		o.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	default:
		http.Error(w, "PUT, GET or DELETE", http.StatusMethodNotAllowed)
	}
}
