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

// packs knows which live jobs share a row. Load: a commit has 100 entries; while the store is 80 times slower than usual
// the owner makes two or three a second, and 150 jobs a second begin and end. Jobs that begin together are one entry. The
// row goes with the last of them, and until then the states of all of them are kept: a successor reads the row, and would
// take a job whose state is forgotten for one that has not ended.
type packs struct {
	mu   sync.Mutex
	next int64
	of   map[string]*pack // by job
	// empty are rows whose jobs have all ended before this owner's term.
	empty []rowstore.Key
}

type pack struct {
	key  rowstore.Key
	jobs []string
	left int // jobs that have not ended
}

func newPacks() *packs { return &packs{of: map[string]*pack{}} }

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

// group divides records of new jobs into those that share a row.
func group(recs []scheduler.Record) [][]scheduler.Record {
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

// add returns the change that writes new jobs into one row.
func (p *packs) add(epoch int64, recs []scheduler.Record) (change, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	specs := make([]*workload.Spec, len(recs))
	for i, r := range recs {
		specs[i] = r.Spec
	}
	value, err := workload.EncodePack(specs)
	if err != nil {
		return change{}, err
	}
	p.next++
	k := &pack{key: records.PackKey(epoch, p.next), left: len(specs)}
	p.put(k, specs)
	return change{puts: []rowstore.Put{{Key: k.key, Value: value}}, records: recs}, nil
}

func (p *packs) put(k *pack, specs []*workload.Spec) {
	for _, s := range specs {
		k.jobs = append(k.jobs, s.ID)
		p.of[s.ID] = k
	}
}

// read notes a row of an earlier owner. Ended tells the jobs of it that have ended.
func (p *packs) read(key rowstore.Key, specs []*workload.Spec, ended func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := &pack{key: key}
	for _, s := range specs {
		if !ended(s.ID) {
			k.left++
		}
	}
	p.put(k, specs)
	if k.left == 0 {
		// The states of its jobs are kept for this term: nothing tells when the row is gone.
		p.empty = append(p.empty, key)
	}
}

// end returns the row to remove with a job's end, or none.
func (p *packs) end(id string) []rowstore.Key {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.of[id]
	if k == nil {
		return []rowstore.Key{records.LiveKey(id)}
	}
	k.left--
	if k.left > 0 {
		return nil
	}
	p.forget(k)
	return []rowstore.Key{k.key}
}

func (p *packs) forget(k *pack) {
	for _, id := range k.jobs {
		delete(p.of, id)
	}
}

// takeEmpty returns rows to remove whose jobs have all ended.
func (p *packs) takeEmpty() []rowstore.Key {
	p.mu.Lock()
	defer p.mu.Unlock()
	empty := p.empty
	p.empty = nil
	return empty
}

// shared reports whether the job's row holds jobs that have not ended.
func (p *packs) shared(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.of[id] != nil
}
