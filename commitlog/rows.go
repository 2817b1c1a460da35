package commitlog

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/ownership"
	"github.com/greengagewing/greengagewing/table"
)

// segmentRow is the value of a segment row: the records of one partition in one commit.
type segmentRow struct {
	Tag     string   `json:"tag"` // random; a writer recognizes its own row by it
	Records [][]byte `json:"records"`
}

// snapshotRow is the value of the row of one part of a snapshot.
type snapshotRow struct {
	Tag     string   `json:"tag"`
	Part    int      `json:"part"`
	Parts   int      `json:"parts"`
	Records [][]byte `json:"records"`
}

// archiveFormat is the first byte of an archive's row. The record follows unencoded, because a replay reads all archives
// and would have to decode each of them.
const archiveFormat = 1

// archiveRow is the JSON value of an archive's row that an earlier version of this package wrote.
type archiveRow struct {
	Record []byte `json:"record"`
}

func encodeArchive(record []byte) []byte { return append([]byte{archiveFormat}, record...) }

func decodeArchive(value []byte) ([]byte, error) {
	if len(value) > 0 && value[0] == archiveFormat {
		return value[1:], nil
	}
	var v archiveRow
	err := json.Unmarshal(value, &v)
	return v.Record, err
}

// position identifies a segment. The position of a snapshot is that of the last segment that it covers.
type position struct{ epoch, seq int64 }

func (p position) after(q position) bool {
	return p.epoch > q.epoch || p.epoch == q.epoch && p.seq > q.seq
}

func segmentPrefix(partition string) string  { return "journal/" + partition + "/" }
func snapshotPrefix(partition string) string { return "snapshot/" + partition + "/" }

func archivePrefix(partition string) string { return "archive/" + partition + "/" }

func archiveKey(partition string, id int64) string {
	return fmt.Sprintf("%s%016d", archivePrefix(partition), id)
}

func segmentKey(partition string, p position) string {
	return fmt.Sprintf("%s%010d/%012d", segmentPrefix(partition), p.epoch, p.seq)
}

func snapshotKey(partition string, p position, part int) string {
	return fmt.Sprintf("%s%010d/%012d/%04d", snapshotPrefix(partition), p.epoch, p.seq, part)
}

// parseKey reads the numbers after the prefix of a segment key (2 numbers) or of a snapshot key (3 numbers).
func parseKey(key, prefix string, n int) ([]int64, error) {
	fields := strings.Split(strings.TrimPrefix(key, prefix), "/")
	if len(fields) != n {
		return nil, errors.Wrapf(ErrCorrupt, "key %q", key)
	}
	out := make([]int64, n)
	for i, f := range fields {
		v, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return nil, errors.Wrapf(ErrCorrupt, "key %q", key)
		}
		out[i] = v
	}
	return out, nil
}

// encodedBytes returns the size of a record within a row.
func encodedBytes(record []byte) int { return base64.StdEncoding.EncodedLen(len(record)) + len(`"",`) }

// rowOverheadBytes is the space reserved in a row for fields other than its records.
const rowOverheadBytes = 256

// splitParts divides the records of a snapshot into parts of at most maxRowBytes each. It returns at least one part.
func splitParts(records [][]byte) [][][]byte {
	parts := [][][]byte{nil}
	size := rowOverheadBytes
	for _, r := range records {
		n := encodedBytes(r)
		if last := len(parts) - 1; size+n > maxRowBytes && len(parts[last]) > 0 {
			parts = append(parts, nil)
			size = rowOverheadBytes
		}
		last := len(parts) - 1
		parts[last] = append(parts[last], r)
		size += n
	}
	return parts
}

// replayResult is the decoded content of a partition's rows.
type replayResult struct {
	records     [][]byte
	coveredRows []string // keys of all rows found, which the next compaction deletes
	bytes       int      // size of the segments after the snapshot

	snapshotPosition position // zero if there is no snapshot
	lastPosition     position // of the last segment, or snapshotPosition if there is none after it
}

// replay reads the rows of a partition. It checks the version of the partition row before and after. An older version
// than the guard's means that the store serves stale reads, which could lack the last records of the previous owner. A
// newer version means that another owner may have changed the rows meanwhile.
func replay(ctx context.Context, c table.Client, g ownership.Guard) (replayResult, error) {
	if err := checkOwnership(ctx, c, g); err != nil {
		return replayResult{}, err
	}
	snaps, err := table.ScanAllLarge(ctx, c, snapshotPrefix(g.Partition()))
	if err != nil {
		return replayResult{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	archives, err := table.ScanAllLarge(ctx, c, archivePrefix(g.Partition()))
	if err != nil {
		return replayResult{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	segs, err := table.ScanAll(ctx, c, segmentPrefix(g.Partition()))
	if err != nil {
		return replayResult{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	if err := checkOwnership(ctx, c, g); err != nil {
		return replayResult{}, err
	}
	var out replayResult
	if err := out.addSnapshot(g.Partition(), snaps); err != nil {
		return replayResult{}, err
	}
	if err := out.addSegments(g, segs); err != nil {
		return replayResult{}, err
	}
	return out, out.addArchives(archives)
}

// checkOwnership compares the version of the partition row with the guard's. Errors: ErrUnavailable, ErrFenced.
func checkOwnership(ctx context.Context, c table.Client, g ownership.Guard) error {
	row, err := c.Get(ctx, g.RowKey())
	switch {
	case err != nil:
		return errors.Wrap(ErrUnavailable, err.Error())
	case row.Version < g.RowVersion():
		return errors.Wrap(ErrUnavailable, "stale read of the partition's row")
	case row.Version > g.RowVersion():
		return ErrFenced
	}
	return nil
}

// addSnapshot adds the records of the latest snapshot. An older snapshot can still exist if a compaction took effect late.
func (r *replayResult) addSnapshot(partition string, rows []table.Row) error {
	next, parts := 0, 0
	for _, row := range rows {
		r.coveredRows = append(r.coveredRows, row.Key)
		n, err := parseKey(row.Key, snapshotPrefix(partition), 3)
		if err != nil {
			return err
		}
		var v snapshotRow
		if err := json.Unmarshal(row.Value, &v); err != nil {
			return errors.Wrapf(ErrCorrupt, "row %q: %v", row.Key, err)
		}
		if p := (position{n[0], n[1]}); p != r.snapshotPosition {
			r.snapshotPosition, next, parts, r.records = p, 0, v.Parts, nil
		}
		if v.Part == next && v.Parts == parts {
			next++
		}
		r.records = append(r.records, v.Records...)
	}
	if next != parts {
		return errors.Wrapf(ErrCorrupt, "snapshot of %q has %d of %d parts", partition, next, parts)
	}
	return nil
}

// addArchives inserts the records of the archives before the other records.
func (r *replayResult) addArchives(rows []table.Row) error {
	records := make([][]byte, 0, len(rows)+len(r.records))
	for _, row := range rows {
		record, err := decodeArchive(row.Value)
		if err != nil {
			return errors.Wrapf(ErrCorrupt, "row %q: %v", row.Key, err)
		}
		records = append(records, record)
	}
	r.records = append(records, r.records...)
	return nil
}

// addSegments appends the records of the segments after the snapshot. The sequence numbers of an epoch have no gaps, so a
// gap means that rows were lost.
func (r *replayResult) addSegments(g ownership.Guard, rows []table.Row) error {
	r.lastPosition = r.snapshotPosition
	for _, row := range rows {
		r.coveredRows = append(r.coveredRows, row.Key)
		n, err := parseKey(row.Key, segmentPrefix(g.Partition()), 2)
		if err != nil {
			return err
		}
		p := position{n[0], n[1]}
		if !p.after(r.snapshotPosition) {
			continue
		}
		want := position{p.epoch, 1}
		if p.epoch == r.lastPosition.epoch {
			want.seq = r.lastPosition.seq + 1
		}
		if p != want {
			return errors.Wrapf(ErrCorrupt, "row %q found, want sequence number %d", row.Key, want.seq)
		}
		var v segmentRow
		if err := json.Unmarshal(row.Value, &v); err != nil {
			return errors.Wrapf(ErrCorrupt, "row %q: %v", row.Key, err)
		}
		r.lastPosition = p
		r.records = append(r.records, v.Records...)
		r.bytes += len(row.Value)
	}
	if r.lastPosition.epoch > g.Epoch() {
		return errors.Wrapf(ErrFenced, "found rows of newer epoch %d", r.lastPosition.epoch)
	}
	return nil
}
