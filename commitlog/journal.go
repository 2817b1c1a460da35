package commitlog

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/ownership"
	"github.com/greengagewing/greengagewing/table"
)

// errClosed is the error of a journal after Close.
var errClosed = errors.Wrap(ErrNotWritten, "closed")

// Compactor is implemented by the journals of a Committer. A caller can hold its own lock while it takes a snapshot and
// calls StartCompact, so that no record is appended in between.
type Compactor interface {
	// StartCompact queues a compaction like Log.Compact, but returns at once. The channel receives the outcome.
	StartCompact(c Compaction) <-chan error
}

// item is a queued call of Append, AppendAsync, Flush or Compact. Its fields are guarded by the committer's mutex.
type item struct {
	records    [][]byte
	size       int         // encoded bytes of records
	done       chan error  // receives the outcome; capacity 1; nil for AppendAsync, which does not wait
	compaction *Compaction // nil unless the call is Compact
	queued     time.Time
	inCommit   bool
	withdrawn  bool
	completed  bool
}

// journal implements Log. The fields below c are guarded by the committer's mutex.
type journal struct {
	partition  string
	epoch      int64
	rowKey     string
	rowVersion int64
	guard      ownership.Guard
	c          *Committer

	queue            []*item
	bufferedBytes    int // encoded bytes of records that are queued or part of a commit
	inFlight         bool
	seq              int64    // sequence number of the last durable segment of this epoch
	coveredRows      []string // rows that the next compaction deletes
	segmentBytes     int
	snapshotPosition position // of the last durable snapshot
	droppedRecords   int      // dropped by AppendAsync since the last compaction
	endErr           error    // ErrFenced or errClosed; nil while the journal is open
}

var (
	_ Log       = (*journal)(nil)
	_ Compactor = (*journal)(nil)
)

// Append implements Log. It returns ErrNotWritten at once if the records do not fit into the buffer or into one row.
func (j *journal) Append(ctx context.Context, records ...[]byte) error {
	if err := ctx.Err(); err != nil {
		return errors.Wrap(ErrNotWritten, err.Error())
	}
	it := newItem(records)
	it.done = make(chan error, 1)
	if err := j.enqueue(it, j.c.cfg.BufferBytes); err != nil {
		return err
	}
	return j.wait(ctx, it, ErrNotWritten)
}

// AppendAsync implements Log. It drops and counts records that do not fit into the buffer. Flush then fails until a
// compaction has replaced the journal's content.
func (j *journal) AppendAsync(records ...[]byte) {
	if err := j.enqueue(newItem(records), 2*j.c.cfg.BufferBytes); err == nil {
		return
	}
	j.c.mu.Lock()
	defer j.c.mu.Unlock()
	if j.endErr != nil {
		return
	}
	j.droppedRecords += len(records)
	j.c.stats.Dropped += int64(len(records))
}

// Flush implements Log. If ctx ends first, it returns ErrOutcomeUnknown, and the records stay queued.
func (j *journal) Flush(ctx context.Context) error {
	it := &item{done: make(chan error, 1)}
	if err := j.enqueue(it, j.c.cfg.BufferBytes); err != nil {
		return err
	}
	return j.wait(ctx, it, ErrOutcomeUnknown)
}

// Compact implements Log. The caller must not append between taking the snapshot and this call; see Compactor. If the
// store refuses the compaction, or there is nothing to replace, Compact returns ErrNotWritten and changes nothing.
func (j *journal) Compact(ctx context.Context, c Compaction) error {
	it, err := j.startCompact(c)
	if err != nil {
		return err
	}
	return j.wait(ctx, it, ErrNotWritten)
}

// StartCompact implements Compactor.
func (j *journal) StartCompact(c Compaction) <-chan error {
	it, err := j.startCompact(c)
	if err != nil {
		failed := make(chan error, 1)
		failed <- err
		return failed
	}
	return it.done
}

func (j *journal) startCompact(c Compaction) (*item, error) {
	for _, a := range c.Archive {
		if len(a.Record) > MaxRecordBytes {
			return nil, errors.Wrapf(ErrNotWritten, "archive %d is too large: %d bytes", a.ID, len(a.Record))
		}
	}
	c.Snapshot = slices.Clone(c.Snapshot)
	it := &item{compaction: &c, done: make(chan error, 1)}
	return it, j.enqueue(it, j.c.cfg.BufferBytes)
}

func newItem(records [][]byte) *item {
	it := &item{records: make([][]byte, len(records))}
	for i, r := range records {
		it.records[i] = slices.Clone(r)
		it.size += encodedBytes(r)
	}
	return it
}

// enqueue appends an item to the queue. It returns ErrNotWritten if the item does not fit into one row, or would make the
// buffer larger than bound bytes.
func (j *journal) enqueue(it *item, bound int) error {
	if it.size > maxRowBytes-rowOverheadBytes {
		return errors.Wrapf(ErrNotWritten, "records of %d bytes do not fit into one row", it.size)
	}
	j.c.mu.Lock()
	defer j.c.mu.Unlock()
	if j.endErr != nil {
		return j.endErr
	}
	if it.size > 0 && j.bufferedBytes+it.size > bound {
		return errors.Wrap(ErrNotWritten, "buffer is full")
	}
	j.bufferedBytes += it.size
	it.queued = time.Now()
	j.queue = append(j.queue, it)
	j.c.wakeRun()
	return nil
}

// wait waits for the item's outcome and returns it. If ctx ends while the item is still queued, wait withdraws the item
// and returns the error withdrawn.
func (j *journal) wait(ctx context.Context, it *item, withdrawn error) error {
	select {
	case err := <-it.done:
		return err
	case <-ctx.Done():
	}
	j.c.mu.Lock()
	defer j.c.mu.Unlock()
	switch {
	case it.completed:
		return <-it.done
	case it.inCommit:
		return errors.Wrap(ErrOutcomeUnknown, ctx.Err().Error())
	}
	it.withdrawn = true
	j.bufferedBytes -= it.size
	j.c.stats.Withdrawn += int64(len(it.records))
	it.records = nil
	return errors.Wrap(withdrawn, ctx.Err().Error())
}

// Healthy implements Log. It is also false after the journal was closed or fenced.
func (j *journal) Healthy() bool {
	j.c.mu.Lock()
	defer j.c.mu.Unlock()
	return j.endErr == nil && j.c.healthy()
}

// Bytes implements Log. It counts encoded bytes.
func (j *journal) Bytes() int {
	j.c.mu.Lock()
	defer j.c.mu.Unlock()
	return j.segmentBytes
}

// Close implements Log.
func (j *journal) Close() {
	j.c.mu.Lock()
	defer j.c.mu.Unlock()
	j.c.endJournal(j, errClosed, ErrNotWritten)
}

// state returns the journal's state for the state dump. The caller holds the committer's mutex.
func (j *journal) state() JournalState {
	s := JournalState{
		Partition: j.partition, Epoch: j.epoch, Seq: j.seq, PendingItems: len(j.queue), PendingBytes: j.bufferedBytes,
		SegmentBytes: j.segmentBytes, CoveredRows: len(j.coveredRows), LostRecords: j.droppedRecords, CommitRunning: j.inFlight,
		State: "open",
	}
	if errors.Is(j.endErr, ErrFenced) {
		s.State = "fenced"
	} else if j.endErr != nil {
		s.State = "closed"
	}
	return s
}

// condition requires that the partition has not been claimed again since the journal was opened.
func (j *journal) condition() table.Condition {
	return table.Condition{Key: j.rowKey, Version: j.rowVersion}
}

// fencedBy reports whether the conflict shows that the journal's partition was claimed again.
func (j *journal) fencedBy(e *table.ConflictError) bool {
	return e.Key == j.rowKey && e.Version != j.rowVersion
}

// completeItem passes the outcome to the caller that waits for the item.
func (j *journal) completeItem(it *item, outcome error) {
	if it.completed || it.withdrawn {
		return
	}
	it.completed = true
	j.bufferedBytes -= it.size
	if it.done != nil {
		it.done <- outcome
	}
}

// completeWithoutCommit removes withdrawn items from the queue. It also completes the items at the front that need no
// commit: a flush, because all records before it are durable, and a compaction if nothing was appended since the last
// one.
func (j *journal) completeWithoutCommit() {
	j.queue = slices.DeleteFunc(j.queue, func(it *item) bool { return it.withdrawn })
	for len(j.queue) > 0 && !j.inFlight {
		it := j.queue[0]
		switch {
		case it.compaction != nil && j.snapshotPosition == j.pos() && j.droppedRecords == 0:
			j.completeItem(it, it.compaction.redundantOutcome())
		case it.isFlush():
			j.completeItem(it, j.flushOutcome())
		default:
			return
		}
		j.queue = j.queue[1:]
	}
}

// redundantOutcome returns the outcome of a compaction right after another one. The previous snapshot is still current,
// so there is no snapshot to write. Archives can only be written together with a snapshot, so they are refused.
func (c *Compaction) redundantOutcome() error {
	if len(c.Archive) > 0 || len(c.Drop) > 0 {
		return errors.Wrap(ErrNotWritten, "nothing was appended since the last compaction")
	}
	return nil
}

// isFlush reports whether the item has no records and only waits for those before it.
func (it *item) isFlush() bool { return it.compaction == nil && len(it.records) == 0 }

// flushOutcome returns the outcome of a flush once everything queued before it is durable.
func (j *journal) flushOutcome() error {
	if j.droppedRecords > 0 {
		return errors.Wrapf(ErrNotWritten, "%d records were dropped", j.droppedRecords)
	}
	return nil
}

// pos returns the position of the last durable segment.
func (j *journal) pos() position { return position{j.epoch, j.seq} }

// unit is the part of a commit that concerns one journal: a segment or a compaction.
type unit struct {
	j           *journal
	items       []*item
	snapshot    bool
	pos         position
	key         string // of the row that is read back
	tag         string
	deletedKeys []string
	ops         []table.Op
	writtenKeys []string // rows that the unit writes
	size        int      // bytes of records before encode, bytes of rows after it
}

// takeSegment moves the records at the front of the queue, up to the size of a row, into a unit.
func (j *journal) takeSegment() *unit {
	u := &unit{j: j, pos: position{j.epoch, j.seq + 1}}
	size, n := rowOverheadBytes, 0
	for n < len(j.queue) && j.queue[n].compaction == nil {
		it := j.queue[n]
		if len(u.items) > 0 && size+it.size > maxRowBytes {
			break
		}
		size += it.size
		it.inCommit = true
		u.items = append(u.items, it)
		n++
	}
	u.size = size
	j.queue = j.queue[n:]
	j.inFlight = true
	return u
}

// takeCompaction moves the compaction at the front of the queue into a unit.
func (j *journal) takeCompaction() *unit {
	it := j.queue[0]
	j.queue = j.queue[1:]
	j.inFlight = true
	it.inCommit = true
	return &unit{j: j, snapshot: true, items: []*item{it}, pos: j.pos(), deletedKeys: slices.Clone(j.coveredRows)}
}

// encode creates the unit's rows. Only Run uses the unit meanwhile, so it needs no lock.
func (u *unit) encode() {
	u.tag, u.size = newTag(), 0
	if !u.snapshot {
		row := segmentRow{Tag: u.tag, Records: [][]byte{}}
		for _, it := range u.items {
			row.Records = append(row.Records, it.records...)
		}
		u.addRow(segmentKey(u.j.partition, u.pos), row)
		return
	}
	c := u.items[0].compaction
	parts := splitParts(c.Snapshot)
	for i, records := range parts {
		u.addRow(snapshotKey(u.j.partition, u.pos, i), snapshotRow{Tag: u.tag, Part: i, Parts: len(parts), Records: records})
	}
	for _, a := range c.Archive {
		u.addPut(archiveKey(u.j.partition, a.ID), encodeArchive(a.Record))
	}
	for _, id := range c.Drop {
		u.ops = append(u.ops, table.Op{Key: archiveKey(u.j.partition, id), Delete: true})
	}
	for _, key := range u.deletedKeys {
		if !slices.Contains(u.writtenKeys, key) {
			u.ops = append(u.ops, table.Op{Key: key, Delete: true})
		}
	}
}

// addRow adds a segment or snapshot row, which the next compaction deletes.
func (u *unit) addRow(key string, row any) {
	if u.key == "" {
		u.key = key
	}
	u.writtenKeys = append(u.writtenKeys, key)
	value, err := json.Marshal(row)
	if err != nil {
		panic(err) // cannot happen: strings, numbers and bytes can always be encoded
	}
	u.addPut(key, value)
}

func (u *unit) addPut(key string, value []byte) {
	u.ops = append(u.ops, table.Op{Key: key, Value: value})
	u.size += len(value)
}

// transaction returns the transaction that writes the units. It is conditional on the partition row of every journal,
// which fences former owners, and on the absence of the new rows, which prevents a commit from taking effect twice.
func transaction(units []*unit) table.Txn {
	var txn table.Txn
	for _, u := range units {
		txn.Conditions = append(txn.Conditions, u.j.condition(), table.Condition{Key: u.key})
		txn.Ops = append(txn.Ops, u.ops...)
	}
	return txn
}

// apply updates the journal and the counters once the unit's outcome is known.
func (u *unit) apply(outcome error, s *Stats) {
	j := u.j
	switch {
	case outcome != nil && u.snapshot:
		// The snapshot may exist, or may appear later. The next compaction deletes it.
		j.coveredRows = append(j.coveredRows, u.writtenKeys...)
		return
	case outcome != nil:
		return
	case u.snapshot:
		j.coveredRows, j.segmentBytes, j.snapshotPosition, j.droppedRecords = u.writtenKeys, 0, u.pos, 0
		s.Compactions++
	default:
		j.seq = u.pos.seq
		j.coveredRows = append(j.coveredRows, u.key)
		j.segmentBytes += u.size
		for _, it := range u.items {
			s.Records += int64(len(it.records))
		}
	}
	s.Rows += int64(len(u.writtenKeys))
	s.Bytes += int64(u.size)
}
