package job

import (
	"bytes"
	"encoding/gob"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/commitlog"
)

// Ended jobs are kept for Config.Retention, a day by default, and no longer change. A compaction of the journal moves them
// out of the snapshot into archives: rows of their own that later compactions leave as they are. The cost of a compaction
// therefore depends on the open jobs and not on the history.

// archive describes one archive row. The row itself holds the encoded jobs.
type archive struct {
	id     int64
	newest time.Time // latest end of its jobs; the row is dropped when the retention after it is over
}

// archives lists the archive rows of a partition, oldest first.
type archives struct {
	list    []archive
	lastID  int64 // IDs are never reused, because a commit whose response was lost may still take effect later
	pending *archiveChange
}

// archiveChange holds the archive rows that the next compaction writes and deletes. It is retried unchanged until a
// compaction succeeds, because a compaction with an unknown outcome may have taken effect or may still do so.
type archiveChange struct {
	add  []archive
	rows []commitlog.Archive
	jobs []*job
	drop []int64
}

// prepareArchiving returns the archive rows that the next compaction writes and deletes. Rows are filled up to
// Config.ArchiveBytes; the ended jobs that do not fill a row stay in the snapshot. The caller holds p.mu.
func (p *partition) prepareArchiving(now time.Time) *archiveChange {
	if p.archives.pending != nil {
		return p.archives.pending
	}
	a := &archiveChange{}
	for _, old := range p.archives.list {
		if now.Sub(old.newest) > p.cfg.Retention {
			a.drop = append(a.drop, old.id)
		}
	}
	var w *archiveWriter
	for _, j := range p.endedJobs {
		if j.archived || j.tasks != nil {
			continue
		}
		if w == nil {
			w = newArchiveWriter(p.archives.lastID + 1)
		}
		w.add(j)
		if w.raw.Len() >= p.cfg.ArchiveBytes {
			p.archives.lastID++
			a.add = append(a.add, archive{id: p.archives.lastID, newest: j.endedAt})
			a.rows = append(a.rows, commitlog.Archive{ID: p.archives.lastID, Record: w.raw.Bytes()})
			a.jobs = append(a.jobs, w.jobs...)
			w = nil
		}
	}
	p.archives.pending = a
	return a
}

// applyArchiveChange records in memory that a compaction has made the change durable. The caller holds p.mu.
func (p *partition) applyArchiveChange(a *archiveChange) {
	p.archives.pending = nil
	for _, j := range a.jobs {
		j.archived = true
	}
	p.archives.list = append(slices.DeleteFunc(p.archives.list, func(old archive) bool {
		return slices.Contains(a.drop, old.id)
	}), a.add...)
}

// addArchive adds the jobs of an archive that was read from the journal to the in-memory state.
func (p *partition) addArchive(id int64, jobs []*job) {
	row := archive{id: id}
	for _, j := range jobs {
		j.archived = true
		if p.supersedes(j.id, j.at) {
			p.addEndedJob(j)
		}
		if j.endedAt.After(row.newest) {
			row.newest = j.endedAt
		}
	}
	p.archives.list = append(p.archives.list, row)
	p.archives.lastID = max(p.archives.lastID, row.id)
}

// recordOfEndedJob returns the journal record from which jobOfEndedRecord restores an ended job.
func recordOfEndedJob(j *job) record {
	spec := j.spec
	return record{
		T: recordJob, At: j.at, Job: j.id, Spec: &spec, Fingerprint: j.fingerprint,
		Counts: j.counts, EndedAt: j.endedAt, Reason: j.reason,
	}
}

// archiveFormat is the first byte of an archive in gob format. Other journal records are JSON and begin with a brace, and
// so do the JSON archives of earlier versions, which can still be read.
const archiveFormat = 1

// A new owner decodes all archives. With JSON archives nested in the JSON of the journal row and of the store's response,
// JSON decoding took 88 % of the takeover (BenchmarkJobHistory). An archive is therefore a gob stream: its ID, then its jobs.

// archivedJob is the part of an ended job that status queries and repeated submissions need. Times are Unix times in
// nanoseconds since 1970. Gob writes the field names into the stream, so they must not change.
type archivedJob struct {
	Customer, Key                    string
	Kind                             Kind
	Class                            Class
	Fingerprint, Reason              string
	At, EndedAt                      int64
	Done, Failed, Cancelled, Unknown int
}

// archiveWriter encodes ended jobs into one archive.
type archiveWriter struct {
	raw  bytes.Buffer
	gob  *gob.Encoder
	jobs []*job
}

func newArchiveWriter(id int64) *archiveWriter {
	w := &archiveWriter{}
	w.raw.WriteByte(archiveFormat)
	w.gob = gob.NewEncoder(&w.raw)
	w.encode(id)
	return w
}

func (w *archiveWriter) add(j *job) {
	w.jobs = append(w.jobs, j)
	w.encode(archivedJob{
		Customer: j.spec.Customer, Key: j.spec.Key, Kind: j.spec.Kind, Class: j.spec.Class, Fingerprint: j.fingerprint,
		Reason: j.reason, At: j.at.UnixNano(), EndedAt: j.endedAt.UnixNano(),
		Done: j.counts[Done], Failed: j.counts[Failed], Cancelled: j.counts[Cancelled], Unknown: j.counts[Unknown],
	})
}

func (w *archiveWriter) encode(v any) {
	if err := w.gob.Encode(v); err != nil {
		panic(err) // strings and numbers always encode
	}
}

// isArchive reports whether a journal record is an archive in gob format.
func isArchive(record []byte) bool { return len(record) > 0 && record[0] == archiveFormat }

// decodeArchive returns the ID and the jobs of an archive in gob format.
func decodeArchive(raw []byte) (id int64, jobs []*job, err error) {
	dec := gob.NewDecoder(bytes.NewReader(raw[1:]))
	if err := dec.Decode(&id); err != nil {
		return 0, nil, errors.Wrap(err, "job: decode id of archive")
	}
	for {
		var a archivedJob // declared in the loop: gob omits zero fields and would leave old values in place
		if err := dec.Decode(&a); errors.Is(err, io.EOF) {
			return id, jobs, nil
		} else if err != nil {
			return 0, nil, errors.Wrapf(err, "job: decode archive %d", id)
		}
		counts := map[State]int{Done: a.Done, Failed: a.Failed, Cancelled: a.Cancelled, Unknown: a.Unknown}
		maps.DeleteFunc(counts, func(_ State, n int) bool { return n == 0 })
		jobs = append(jobs, &job{
			id: jobID(a.Customer, a.Key), spec: Spec{Customer: a.Customer, Key: a.Key, Kind: a.Kind, Class: a.Class},
			fingerprint: a.Fingerprint, reason: a.Reason, at: time.Unix(0, a.At), endedAt: time.Unix(0, a.EndedAt),
			counts: counts,
		})
	}
}
