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

// Ended jobs are remembered for a day, but do not change any more. A compaction moves them into archives, rows that later
// compactions keep, so that it writes what is open and not what has ended.

// archive is one row of ended jobs.
type archive struct {
	id     int64
	newest time.Time // end of the job that ended last
}

// archives are the rows of a partition, oldest first.
type archives struct {
	list    []archive
	lastID  int64 // ids are never used twice, because a commit with a lost response may take effect late
	pending *archiveChange
}

// archiveChange is a change of the archives. It is repeated unchanged until a compaction succeeds, since one with an unknown
// outcome may have taken effect, or may do so later.
type archiveChange struct {
	add  []archive
	rows []commitlog.Archive
	jobs []*job
	drop []int64
}

// prepareArchiving returns the change that the next compaction makes. It is called with the books locked.
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

// applyArchiveChange applies a change that has become durable. It is called with the books locked.
func (p *partition) applyArchiveChange(a *archiveChange) {
	p.archives.pending = nil
	for _, j := range a.jobs {
		j.archived = true
	}
	p.archives.list = append(slices.DeleteFunc(p.archives.list, func(old archive) bool {
		return slices.Contains(a.drop, old.id)
	}), a.add...)
}

// addArchive puts the jobs of an archive on the books.
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

// recordOfEndedJob restores a job that has ended.
func recordOfEndedJob(j *job) record {
	spec := j.spec
	return record{
		T: recordJob, At: j.at, Job: j.id, Spec: &spec, Fingerprint: j.fingerprint,
		Counts: j.counts, EndedAt: j.endedAt, Reason: j.reason,
	}
}

// archiveFormat is the first byte of an archive's record; other records begin with a brace. Archives that were written
// as JSON, as the other records are, begin with a brace, too, and are still read.
const archiveFormat = 1

// A takeover decodes all archives. JSON within the JSON of the journal's row and of the store's response took 88 % of it
// (BenchmarkJobHistory), so an archive is a gob stream of its id and its jobs.

// archivedJob is what is still asked of a job that has ended. Times are in nanoseconds since 1970.
type archivedJob struct {
	Customer, Key                    string
	Kind                             Kind
	Class                            Class
	Fingerprint, Reason              string
	At, EndedAt                      int64
	Done, Failed, Cancelled, Unknown int
}

// archiveWriter encodes one archive.
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

func isArchive(record []byte) bool { return len(record) > 0 && record[0] == archiveFormat }

// decodeArchive returns the id of an archive and its jobs.
func decodeArchive(raw []byte) (id int64, jobs []*job, err error) {
	dec := gob.NewDecoder(bytes.NewReader(raw[1:]))
	if err := dec.Decode(&id); err != nil {
		return 0, nil, errors.Wrap(err, "job: id of an archive")
	}
	for {
		var a archivedJob // a field that is zero is not in the stream
		if err := dec.Decode(&a); errors.Is(err, io.EOF) {
			return id, jobs, nil
		} else if err != nil {
			return 0, nil, errors.Wrapf(err, "job: archive %d", id)
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
