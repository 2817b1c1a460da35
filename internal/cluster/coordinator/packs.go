package coordinator

import (
	"sync"

	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

const (
	// maxPackJobs and maxPackBytes bound the jobs of one row.
	maxPackJobs  = 24
	maxPackBytes = 24 << 10
	// jobBytes is about the size of a job without its payload.
	jobBytes = 600
)

// packIndex knows which live jobs share a row. Load: a commit has 100 entries; while the store is 80 times slower than usual
// the owner makes two or three a second, and 150 jobs a second begin and end. Jobs that begin together are one entry. The
// row goes with the last of them, and until then the states of all of them are kept: a successor reads the row, and would
// take a job whose state is forgotten for one that has not ended.
type packIndex struct {
	mu    sync.Mutex
	next  int64
	byJob map[string]*pack // by job
	// empty are rows whose jobs have all ended before this owner's term.
	empty []rowstore.Key
}

type pack struct {
	key        rowstore.Key
	jobs       []string
	unfinished int // jobs that have not ended
}

func newPackIndex() *packIndex { return &packIndex{byJob: map[string]*pack{}} }

// packable reports whether a record is of a new job that ends soon. Jobs that last would keep the states of others.
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

// groupIntoPacks divides records of new jobs into those that share a row.
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

// encodeNew returns the change that writes new jobs into one row.
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
	k := &pack{key: records.PackKey(epoch, p.next), unfinished: len(specs)}
	p.index(k, specs)
	return recordRows{puts: []rowstore.Put{{Key: k.key, Value: value}}, records: recs}, nil
}

func (p *packIndex) index(k *pack, specs []*workload.Spec) {
	for _, s := range specs {
		k.jobs = append(k.jobs, s.ID)
		p.byJob[s.ID] = k
	}
}

// addStored notes a row of an earlier owner. Ended tells the jobs of it that have ended.
func (p *packIndex) addStored(key rowstore.Key, specs []*workload.Spec, ended func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := &pack{key: key}
	for _, s := range specs {
		if !ended(s.ID) {
			k.unfinished++
		}
	}
	p.index(k, specs)
	if k.unfinished == 0 {
		// The states of its jobs are kept for this term: nothing tells when the row is gone.
		p.empty = append(p.empty, key)
	}
}

// jobEnded returns the row to remove with a job's jobEnded, or none.
func (p *packIndex) jobEnded(id string) []rowstore.Key {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.byJob[id]
	if k == nil {
		return []rowstore.Key{records.LiveKey(id)}
	}
	k.unfinished--
	if k.unfinished > 0 {
		return nil
	}
	p.remove(k)
	return []rowstore.Key{k.key}
}

func (p *packIndex) remove(k *pack) {
	for _, id := range k.jobs {
		delete(p.byJob, id)
	}
}

// takeEmpty returns rows to remove whose jobs have all ended.
func (p *packIndex) takeEmpty() []rowstore.Key {
	p.mu.Lock()
	defer p.mu.Unlock()
	empty := p.empty
	p.empty = nil
	return empty
}

// contains reports whether the job's row holds jobs that have not ended.
func (p *packIndex) contains(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byJob[id] != nil
}
