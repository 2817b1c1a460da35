package ownership

import (
	"encoding/json"

	"github.com/go-faster/errors"
)

// Prefix is the key prefix of partition rows.
const Prefix = "partition/"

// RowState is the state of a partition row.
type RowState string

// The states of a partition row.
const (
	Owned    RowState = "owned"
	Released RowState = "released" // handed over: the next owner need not wait for a fencing
)

// RowOwner names the session that owns a partition, or that owned it last.
type RowOwner struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"incarnation"`
	PeerAddr    string `json:"peer_addr"`
}

// Row is the value of a partition row. Every claim raises the epoch by one and a release keeps it, so two versions of a
// row can be ordered without relying on the order of the table's own versions.
type Row struct {
	Partition string   `json:"partition"`
	Owner     RowOwner `json:"owner"`
	Epoch     int64    `json:"epoch"`
	State     RowState `json:"state"`
	// Successor is the id of the daemon to which the owner released the partition. Other daemons wait before they claim
	// it.
	Successor string `json:"successor,omitempty"`
	// FencedBefore is true if an owner was fenced shortly before this claim or release. Commands of the fenced owner
	// may still take effect, so the next owner must not assume an orderly handover.
	FencedBefore bool `json:"fenced_before,omitempty"`
	// Tag is unique to one claim or release. The writer recognizes its own write by it after a lost response.
	Tag string `json:"tag"`
}

// olderThan reports whether r was written before o. A stale read can return such a row.
func (r Row) olderThan(o Row) bool {
	if r.Epoch != o.Epoch {
		return r.Epoch < o.Epoch
	}
	return r.State == Owned && o.State == Released
}

// Key returns the key of a partition's row.
func Key(partition string) string { return Prefix + partition }

func encode(r Row) []byte {
	raw, err := json.Marshal(r)
	if err != nil {
		panic(err) // every value of Row can be encoded
	}
	return raw
}

func decode(raw []byte) (Row, error) {
	var r Row
	if err := json.Unmarshal(raw, &r); err != nil {
		return Row{}, errors.Wrap(err, "ownership: decode row")
	}
	return r, nil
}

// expectedOwner returns the id of the daemon that owns the partition, or the named successor if the partition was
// released.
func (r Row) expectedOwner() string {
	if r.State == Released {
		return r.Successor
	}
	return r.Owner.ID
}
