package job

import (
	"encoding/binary"
	"encoding/hex"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/journal"
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
	list   []archive
	lastID int64 // ids are never used twice, because a commit with a lost response may take effect late
	next   *archiving
}

// archiving is a change of the archives. It is repeated unchanged until a compaction succeeds, since one with an unknown
// outcome may have taken effect, or may do so later.
type archiving struct {
	add  []archive
	rows []journal.Archive
	jobs []*job
	drop []int64
}

// prepareArchiving returns the change that the next compaction makes. It is called with the books locked.
func (p *partition) prepareArchiving(now time.Time) *archiving {
	if p.archives.next != nil {
		return p.archives.next
	}
	a := &archiving{}
	for _, old := range p.archives.list {
		if now.Sub(old.newest) > p.cfg.Retention {
			a.drop = append(a.drop, old.id)
		}
	}
	var raw []byte
	var jobs []*job
	for _, j := range p.endedJobs {
		if j.archived || j.tasks != nil {
			continue
		}
		if len(jobs) == 0 {
			raw = archiveHeader(p.archives.lastID + 1)
		}
		raw, jobs = appendEnded(raw, j), append(jobs, j)
		if len(raw) >= p.cfg.ArchiveBytes {
			p.archives.lastID++
			a.add = append(a.add, archive{id: p.archives.lastID, newest: j.endedAt})
			a.rows = append(a.rows, journal.Archive{ID: p.archives.lastID, Record: raw})
			a.jobs = append(a.jobs, jobs...)
			jobs = nil
		}
	}
	p.archives.next = a
	return a
}

// archived applies a change that has become durable. It is called with the books locked.
func (p *partition) archived(a *archiving) {
	p.archives.next = nil
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
		if p.replaces(j.id, j.at) {
			p.addEnded(j)
		}
		if j.endedAt.After(row.newest) {
			row.newest = j.endedAt
		}
	}
	p.archives.list = append(p.archives.list, row)
	p.archives.lastID = max(p.archives.lastID, row.id)
}

// endedRecord restores a job that has ended.
func endedRecord(j *job) record {
	spec := j.spec
	return record{
		T: recordJob, At: j.at, Job: j.id, Spec: &spec, Fingerprint: j.fingerprint,
		Counts: j.counts, EndedAt: j.endedAt, Reason: j.reason,
	}
}

// archiveFormat is the first byte of an archive's record; other records begin with a brace. Archives that were written
// as JSON, as the other records are, begin with a brace, too, and are still read.
const archiveFormat = 1

// archivedStates are the states whose numbers of tasks an archive holds, in this order.
var archivedStates = []State{Done, Failed, Cancelled, Unknown}

// A takeover decodes all archives. JSON within the JSON of the journal's row and of the store's response took 88 % of it
// (BenchmarkJobHistory), so an archive holds binary fields, and of the Spec only what is still asked for.

func archiveHeader(id int64) []byte {
	return binary.AppendVarint([]byte{archiveFormat}, id)
}

// appendEnded appends a job that has ended.
func appendEnded(raw []byte, j *job) []byte {
	// The fingerprint is hexadecimal. One that were not would not match a repeated call, which is then refused.
	fingerprint, _ := hex.DecodeString(j.fingerprint)
	texts := []string{j.spec.Customer, j.spec.Key, string(j.spec.Kind), string(j.spec.Class), j.reason, string(fingerprint)}
	for _, t := range texts {
		raw = binary.AppendUvarint(raw, uint64(len(t)))
		raw = append(raw, t...)
	}
	raw = binary.AppendVarint(raw, j.at.UnixNano())
	raw = binary.AppendVarint(raw, j.endedAt.UnixNano())
	for _, s := range archivedStates {
		raw = binary.AppendVarint(raw, int64(j.counts[s]))
	}
	return raw
}

func isArchive(record []byte) bool { return len(record) > 0 && record[0] == archiveFormat }

// decodeArchive returns the id of an archive and its jobs.
func decodeArchive(raw []byte) (id int64, jobs []*job, err error) {
	d := archiveDecoder{raw: raw[1:]}
	id = d.number()
	for len(d.raw) > 0 {
		j := &job{counts: map[State]int{}}
		j.spec = Spec{Customer: d.text(), Key: d.text(), Kind: Kind(d.text()), Class: Class(d.text())}
		j.reason, j.fingerprint = d.text(), hex.EncodeToString([]byte(d.text()))
		j.at, j.endedAt = time.Unix(0, d.number()), time.Unix(0, d.number())
		for _, s := range archivedStates {
			if n := d.number(); n != 0 {
				j.counts[s] = int(n)
			}
		}
		j.id = jobID(j.spec.Customer, j.spec.Key)
		jobs = append(jobs, j)
	}
	if d.short {
		return 0, nil, errors.Errorf("job: archive of %d bytes is cut off", len(raw))
	}
	return id, jobs, nil
}

// archiveDecoder reads fields. When one is incomplete, it sets short and returns zero values.
type archiveDecoder struct {
	raw   []byte
	short bool
}

func (d *archiveDecoder) number() int64 {
	v, n := binary.Varint(d.raw)
	if n <= 0 {
		d.raw, d.short = nil, true
		return 0
	}
	d.raw = d.raw[n:]
	return v
}

func (d *archiveDecoder) text() string {
	size, n := binary.Uvarint(d.raw)
	if n <= 0 || size > uint64(len(d.raw)-n) {
		d.raw, d.short = nil, true
		return ""
	}
	t := string(d.raw[n : n+int(size)])
	d.raw = d.raw[n+int(size):]
	return t
}
