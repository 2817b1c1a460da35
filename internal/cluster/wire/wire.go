// Package wire encodes the messages between daemons, to workers and to the store, and the values of rows, and limits their sizes. A
// size is always that of the encoded message: text may take up to six times as many bytes in JSON as in memory.
package wire

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"
)

const (
	// MaxMessageBytes is the maximum size of a message between daemons.
	MaxMessageBytes = 1 << 20
	// MaxBatchBytes is the size up to which several entries, as orders or events, share a message. An entry by itself may be larger.
	MaxBatchBytes = 256 << 10
)

// Encode encodes a message as JSON. Other than json.Marshal it does not escape characters that only matter in HTML pages, which would
// take up to six times as much room as in the caller's request.
func Encode(v any) ([]byte, error) {
	var out bytes.Buffer
	e := json.NewEncoder(&out)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	return bytes.TrimSuffix(out.Bytes(), []byte("\n")), nil
}

// Size returns the size in bytes of the encoded message, or 0 if it can't be encoded.
func Size(v any) int {
	data, err := Encode(v)
	if err != nil {
		return 0
	}
	return len(data)
}

// Batch returns how many of the entries with these sizes share the next message: as many as fit into MaxBatchBytes, and at most limit,
// but one in any case.
func Batch[E any](entries []E, size func(E) int, limit int) int {
	n, total := 0, 0
	for n < min(len(entries), limit) {
		total += size(entries[n]) + 1 // and a comma
		if n > 0 && total > MaxBatchBytes {
			break
		}
		n++
	}
	return n
}
