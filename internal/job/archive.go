package job

import (
	"slices"
	"time"

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
	var row record
	size := 0
	var jobs []*job
	for _, j := range p.endedJobs {
		if j.archived || j.tasks != nil {
			continue
		}
		r := endedRecord(j)
		row.Jobs, jobs, size = append(row.Jobs, r), append(jobs, j), size+len(r.encode())
		if size >= p.cfg.ArchiveBytes {
			p.archives.lastID++
			row.T, row.Archive = recordArchive, p.archives.lastID
			a.add = append(a.add, archive{id: row.Archive, newest: j.endedAt})
			a.rows = append(a.rows, journal.Archive{ID: row.Archive, Record: row.encode()})
			a.jobs = append(a.jobs, jobs...)
			row, jobs, size = record{}, nil, 0
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

func (p *partition) replayArchive(r record) {
	row := archive{id: r.Archive}
	for _, ended := range r.Jobs {
		p.replay(ended)
		if j := p.jobs[ended.Job]; j != nil {
			j.archived = true
		}
		if ended.EndedAt.After(row.newest) {
			row.newest = ended.EndedAt
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
