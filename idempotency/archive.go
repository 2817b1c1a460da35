package idempotency

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/commitlog"
)

const (
	// archiveFormat is the first byte of an archive's record. The record of an entry begins with a brace.
	archiveFormat = 1
	digestBytes   = 16
	// archivedBytes is the encoded size of one key: digest, fingerprint, time and state.
	archivedBytes     = digestBytes + 8 + 4 + 1
	archiveHeader     = 1 + 8 // format and id
	maxArchiveEntries = (commitlog.MaxRecordBytes - archiveHeader) / archivedBytes
)

// archived is what remains of an entry that ended long ago: enough to never run its request again. Its answer and its
// code are gone.
type archived struct {
	digest      [digestBytes]byte // of the key
	fingerprint uint64            // digest of the entry's fingerprint
	at          uint32            // seconds since 1970
	state       byte              // index in archivedStates
}

// archivedStates are the final states. A request that was not run may be run again, so it need not be remembered.
var archivedStates = []State{Done, Unknown}

// archive is one row of old entries, ordered by digest. It never changes.
type archive struct {
	id      int64
	newest  time.Time
	entries []archived
	filter  filter
}

// filterBits is a power of two with about ten bits for each entry of a full archive: 1.5 % of the digests that an archive
// does not hold are searched for in vain.
const filterBits = 1 << 17

// filter is a Bloom filter of digests. Almost every key is new, and a table has up to a hundred archives: without it, a
// search through 42 of them took 8.4 µs (BenchmarkArchivedKey).
type filter []uint64

// probes returns three bit positions. The digests are evenly distributed, so their bytes serve as hashes.
func probes(d [digestBytes]byte) (out [3]uint32) {
	for i := range out {
		out[i] = binary.BigEndian.Uint32(d[4*i:]) % filterBits
	}
	return out
}

func (f filter) add(d [digestBytes]byte) {
	for _, p := range probes(d) {
		f[p/64] |= 1 << (p % 64)
	}
}

func (f filter) mayHold(d [digestBytes]byte) bool {
	for _, p := range probes(d) {
		if f[p/64]&(1<<(p%64)) == 0 {
			return false
		}
	}
	return true
}

func digestOf(k Key) (d [digestBytes]byte) {
	// The length keeps two pairs of customer and key apart whose concatenations are equal.
	sum := sha256.Sum256(fmt.Appendf(nil, "%d %s%s", len(k.Customer), k.Customer, k.Key))
	copy(d[:], sum[:])
	return d
}

func digestFingerprint(f string) uint64 {
	sum := sha256.Sum256([]byte(f))
	return binary.BigEndian.Uint64(sum[:])
}

func archivedEntry(e Entry) archived {
	return archived{
		digest: digestOf(e.Key), fingerprint: digestFingerprint(e.Fingerprint), at: uint32(e.At.Unix()),
		state: byte(slices.Index(archivedStates, e.State)),
	}
}

// entry returns what is known of an archived key.
func (a archived) entry(k Key) Entry {
	state := archivedStates[a.state]
	return Entry{
		Key: k, State: state, AnswerOmitted: state == Done, At: time.Unix(int64(a.at), 0), digest: &a.fingerprint,
	}
}

func compareDigest(a archived, d [digestBytes]byte) int { return bytes.Compare(a.digest[:], d[:]) }

func newArchive(id int64, entries []archived) *archive {
	slices.SortFunc(entries, func(a, b archived) int { return compareDigest(a, b.digest) })
	a := &archive{id: id, entries: entries, filter: make(filter, filterBits/64)}
	for _, e := range entries {
		a.filter.add(e.digest)
		if at := time.Unix(int64(e.at), 0); at.After(a.newest) {
			a.newest = at
		}
	}
	return a
}

func (a *archive) find(d [digestBytes]byte) (archived, bool) {
	if !a.filter.mayHold(d) {
		return archived{}, false
	}
	i, ok := slices.BinarySearchFunc(a.entries, d, compareDigest)
	if !ok {
		return archived{}, false
	}
	return a.entries[i], true
}

func (a *archive) encode() []byte {
	raw := make([]byte, 0, archiveHeader+len(a.entries)*archivedBytes)
	raw = append(raw, archiveFormat)
	raw = binary.BigEndian.AppendUint64(raw, uint64(a.id))
	for _, e := range a.entries {
		raw = append(raw, e.digest[:]...)
		raw = binary.BigEndian.AppendUint64(raw, e.fingerprint)
		raw = binary.BigEndian.AppendUint32(raw, e.at)
		raw = append(raw, e.state)
	}
	return raw
}

func isArchive(record []byte) bool { return len(record) > 0 && record[0] == archiveFormat }

func decodeArchive(raw []byte) (*archive, error) {
	if len(raw) < archiveHeader || (len(raw)-archiveHeader)%archivedBytes != 0 {
		return nil, errors.Wrapf(ErrCorrupt, "archive of %d bytes", len(raw))
	}
	id := int64(binary.BigEndian.Uint64(raw[1:]))
	entries := make([]archived, 0, (len(raw)-archiveHeader)/archivedBytes)
	for raw = raw[archiveHeader:]; len(raw) > 0; raw = raw[archivedBytes:] {
		e := archived{state: raw[archivedBytes-1]}
		copy(e.digest[:], raw)
		e.fingerprint = binary.BigEndian.Uint64(raw[digestBytes:])
		e.at = binary.BigEndian.Uint32(raw[digestBytes+8:])
		if int(e.state) >= len(archivedStates) {
			return nil, errors.Wrapf(ErrCorrupt, "archived state %d", e.state)
		}
		entries = append(entries, e)
	}
	return newArchive(id, entries), nil
}

// archives are the old entries of a table, oldest first.
type archives struct {
	list   []*archive
	count  int     // entries
	nextID int64   // ids are never used twice, because a commit with a lost response may take effect late
	drop   []int64 // rows that the next compaction deletes
	next   *archiving
}

// archiving is a change of the archives that a compaction makes durable. It is repeated unchanged until a compaction
// succeeds, since one with an unknown outcome may have taken effect, or may do so later.
type archiving struct {
	add     []*archive
	replace *archive // the last one, if add contains its entries
	drop    []int64
	leaving []change // entries that leave the table unless they change before
}

func (a *archives) find(k Key) (archived, bool) {
	if len(a.list) == 0 {
		return archived{}, false
	}
	d := digestOf(k)
	for i := len(a.list) - 1; i >= 0; i-- {
		if e, ok := a.list[i].find(d); ok {
			return e, true
		}
	}
	return archived{}, false
}

func (a *archives) add(ar *archive) {
	a.list = append(a.list, ar)
	a.count += len(ar.entries)
	a.nextID = max(a.nextID, ar.id+1)
}

// dropOldest removes the oldest archive if all its entries changed at least age ago. It returns their number.
func (a *archives) dropOldest(now time.Time, age time.Duration) int {
	if len(a.list) == 0 || now.Sub(a.list[0].newest) < age {
		return 0
	}
	return a.remove(0)
}

func (a *archives) remove(i int) int {
	n := len(a.list[i].entries)
	a.drop = append(a.drop, a.list[i].id)
	a.list = slices.Delete(a.list, i, i+1)
	a.count -= n
	return n
}

// prepare returns the change that moves old entries into the archives. Small archives are merged, so that their number
// stays in proportion to that of the entries.
func (a *archives) prepare(entries []Entry, leaving []change) *archiving {
	c := &archiving{drop: slices.Clone(a.drop), leaving: leaving}
	moved := make([]archived, len(entries))
	for i, e := range entries {
		moved[i] = archivedEntry(e)
	}
	if n := len(a.list); n > 0 && len(moved) > 0 && len(a.list[n-1].entries)+len(moved) <= maxArchiveEntries {
		c.replace = a.list[n-1]
		moved = append(moved, c.replace.entries...)
		c.drop = append(c.drop, c.replace.id)
	}
	for part := range slices.Chunk(moved, maxArchiveEntries) {
		c.add = append(c.add, newArchive(a.nextID, part))
		a.nextID++
	}
	return c
}

// apply takes over a change that has become durable.
func (a *archives) apply(c *archiving) {
	if i := slices.Index(a.list, c.replace); i >= 0 {
		a.remove(i)
	}
	a.drop = slices.DeleteFunc(a.drop, func(id int64) bool { return slices.Contains(c.drop, id) })
	for _, ar := range c.add {
		a.add(ar)
	}
}
