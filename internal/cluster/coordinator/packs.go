package coordinator

import (
	"sync"

	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

const (
	// maxPackJobs and maxPackBytes limit the number and the total size of the jobs in one row.
	maxPackJobs  = 24
	maxPackBytes = 24 << 10
	// jobBytes is the approximate size of a job without its payload.
	jobBytes = 600
)

// packIndex records which live jobs share a row, a pack. A commit has at most 100 entries. While the store is 80 times slower
// than usual, the owner makes two or three commits a second, but 150 jobs a second start and end. Therefore jobs that arrive
// together are written as one row, which is one entry. The row is removed when the last of its jobs ends. Until then the
// final states of all its jobs are kept: a successor reads the row, and would run a job again whose state is missing.
type packIndex struct {
	mu    sync.Mutex
	next  int64            // number of the last pack that this owner has written
	byJob map[string]*pack // packs by the ids of their jobs
	// empty lists the rows whose jobs had all ended before this owner's term; they have to be removed.
	empty []rowstore.Key
}

// pack is a row with several live jobs.
type pack struct {
	key        rowstore.Key
	jobs       []string
	unfinished int // number of jobs that have not ended
}

func newPackIndex() *packIndex { return &packIndex{byJob: map[string]*pack{}} }

// packable reports whether a record is of a new job that will end soon. Long-running and repeated jobs are not packed: they
// would keep the row, and with it the states of the other jobs.
func packable(r scheduler.Record) bool {
	if r.Spec == nil || r.Progress != nil || r.Spec.Repetitions > 0 {
		return false
	}
	for _, s := range r.Spec.Steps {
		if s.LongRunning {
			return false
		}
	}
	return true
}

// groupIntoPacks divides the records of new jobs into groups that share a row.
func groupIntoPacks(recs []scheduler.Record) [][]scheduler.Record {
	var out [][]scheduler.Record
	bytes := 0
	for _, r := range recs {
		size := jobBytes + len(r.Spec.Payload)
		last := len(out) - 1
		if last < 0 || len(out[last]) >= maxPackJobs || bytes+size > maxPackBytes {
			out = append(out, nil)
			last, bytes = last+1, 0
		}
		out[last] = append(out[last], r)
		bytes += size
	}
	return out
}

// encodeNew adds a pack with new jobs to the index and returns its row.
func (p *packIndex) encodeNew(epoch int64, recs []scheduler.Record) (recordRows, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	specs := make([]*workload.Spec, len(recs))
	for i, r := range recs {
		specs[i] = r.Spec
	}
	value, err := workload.EncodePack(specs)
	if err != nil {
		return recordRows{}, err
	}
	p.next++
	pk := &pack{key: records.PackKey(epoch, p.next), unfinished: len(specs)}
	p.index(pk, specs)
	return recordRows{puts: []rowstore.Put{{Key: pk.key, Value: value}}, records: recs}, nil
}

// index adds the jobs of a pack to the index. The caller holds mu.
func (p *packIndex) index(pk *pack, specs []*workload.Spec) {
	for _, s := range specs {
		pk.jobs = append(pk.jobs, s.ID)
		p.byJob[s.ID] = pk
	}
}

// addStored adds a pack that an earlier owner has written. Ended reports whether a job of the pack has ended.
func (p *packIndex) addStored(key rowstore.Key, specs []*workload.Spec, ended func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pk := &pack{key: key}
	for _, s := range specs {
		if !ended(s.ID) {
			pk.unfinished++
		}
	}
	p.index(pk, specs)
	if pk.unfinished == 0 {
		// The jobs stay in the index, so that their states are kept for this term: the index doesn't learn when the row is
		// removed.
		p.empty = append(p.empty, key)
	}
}

// jobEnded counts the end of a job, and returns the row to remove with it: the job's own row, the pack if this was its last
// live job, or none.
func (p *packIndex) jobEnded(id string) []rowstore.Key {
	p.mu.Lock()
	defer p.mu.Unlock()
	pk := p.byJob[id]
	if pk == nil {
		return []rowstore.Key{records.LiveKey(id)}
	}
	pk.unfinished--
	if pk.unfinished > 0 {
		return nil
	}
	p.remove(pk)
	return []rowstore.Key{pk.key}
}

// remove removes the jobs of a pack from the index. The caller holds mu.
func (p *packIndex) remove(pk *pack) {
	for _, id := range pk.jobs {
		delete(p.byJob, id)
	}
}

// takeEmpty returns the empty rows to remove, each of them once.
func (p *packIndex) takeEmpty() []rowstore.Key {
	p.mu.Lock()
	defer p.mu.Unlock()
	empty := p.empty
	p.empty = nil
	return empty
}

// contains reports whether a job is in a pack whose row is still stored, so that the job's state must be kept.
func (p *packIndex) contains(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byJob[id] != nil
}
