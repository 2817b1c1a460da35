package ownership

import (
	"encoding/json"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/session"
)

// Prefix is the prefix of the keys of partition rows.
const Prefix = "partition/"

// RowState is the state of a partition row.
type RowState string

// The states of a partition row.
const (
	Owned    RowState = "owned"
	Released RowState = "released" // handed over; the next claim needs no fencing
)

// RowOwner names the session that owns a partition, or that owned it last.
type RowOwner struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"incarnation"`
	PeerAddr    string `json:"peer_addr"`
}

// Row is the value of a partition row. Every claim raises the epoch by one and a release keeps it, so two versions of a
// row can be ordered whatever the table's own versions look like.
type Row struct {
	Partition string   `json:"partition"`
	Owner     RowOwner `json:"owner"`
	Epoch     int64    `json:"epoch"`
	State     RowState `json:"state"`
	// Successor is the id of the daemon for which the partition was released. Others wait before they claim it.
	Successor string `json:"successor,omitempty"`
	// FencedBefore says that an owner was fenced shortly before this claim or release, so that a command of that owner
	// may still have effects and the next owner must not assume an orderly handover.
	FencedBefore bool `json:"fenced_before,omitempty"`
	// Tag is unique to one claim or release, so that its writer recognizes it after a lost response.
	Tag string `json:"tag"`
}

// olderThan reports whether r was written before o, as a stale read shows it.
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
		panic(err) // Row has no value that cannot be encoded
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

// rank orders the ids of daemons by their rendezvous hash for a partition, the desired owner first.
func rank(partition string, ids []string) []string {
	type scored struct {
		id    string
		score uint64
	}
	list := make([]scored, len(ids))
	for i, id := range ids {
		h := fnv.New64a()
		_, _ = h.Write([]byte(partition + "\x00" + id))
		list[i] = scored{id, mix(h.Sum64())}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		return strings.Compare(a.id, b.id)
	})
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = s.id
	}
	return out
}

// mix is the finalizer of MurmurHash3. FNV alone leaves similar inputs with similar high bits, so ids that differ in
// their last digit would not share the partitions evenly.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// eligible returns the ids of the sessions that may get partitions. self says whether this daemon is one of them, which
// its keeper knows better than any read.
func eligible(id string, self bool, live []session.Info) []string {
	var ids []string
	if self {
		ids = append(ids, id)
	}
	for _, s := range live {
		if s.Row.ID != id && s.Row.State == session.Live && !s.Unchanged {
			ids = append(ids, s.Row.ID)
		}
	}
	return ids
}
