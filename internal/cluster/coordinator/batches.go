package coordinator

import (
	"sync"

	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

const (
	// maxJobsPerBatch and maxBytesPerBatch limit the number of the jobs in one row and its size.
	maxJobsPerBatch  = 24
	maxBytesPerBatch = 24 << 10
)

// jobBatchIndex records which active jobs share a row, a batch. A commit has at most 100 entries. While the store is 80 times
// slower than usual, the owner makes two or three commits a second, but 150 jobs a second start and end. Therefore jobs that
// arrive together are written as one row, which is one entry. The row is removed when the last of its jobs ends. Until then the
// final states of all its jobs are kept: a successor reads the row, and would run a job again whose state is missing.
type jobBatchIndex struct {
	mu    sync.Mutex
	next  int64                // number of the last batch that this owner has written
	byJob map[string]*jobBatch // batches by the ids of their jobs
}

// jobBatch is a row with several active jobs.
type jobBatch struct {
	key    rowstore.Key
	jobs   []string
	active map[string]struct{} // jobs that have not ended
}

func newJobBatchIndex() *jobBatchIndex { return &jobBatchIndex{byJob: map[string]*jobBatch{}} }

// batchable reports whether a record is of a new job that will end soon. Long-running and repeated jobs are not batched: they
// would keep the row, and with it the states of the other jobs.
func batchable(r scheduler.Record) bool {
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

// encodedJob is the record of a new job with its specification as a row of several jobs holds it.
type encodedJob struct {
	record scheduler.Record
	value  []byte
}

// groupIntoBatches divides new jobs into groups that share a row of at most maxBytes. A job that is longer is a group of its own.
func groupIntoBatches(jobs []encodedJob, maxBytes int) [][]encodedJob {
	var out [][]encodedJob
	bytes := 0
	for _, j := range jobs {
		size := len(j.value) + 1
		last := len(out) - 1
		if last < 0 || len(out[last]) >= maxJobsPerBatch || bytes+size > maxBytes {
			out = append(out, nil)
			last, bytes = last+1, workload.BatchOverhead
		}
		out[last] = append(out[last], j)
		bytes += size
	}
	return out
}

// addNew adds a batch with new jobs to the index and returns its key and value.
func (p *jobBatchIndex) addNew(epoch int64, jobs []encodedJob) (rowstore.Key, []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	specs, values := make([]*workload.Spec, len(jobs)), make([][]byte, len(jobs))
	p.next++
	b := &jobBatch{key: records.JobBatchKey(epoch, p.next), active: map[string]struct{}{}}
	for i, j := range jobs {
		specs[i], values[i] = j.record.Spec, j.value
		b.active[j.record.JobID] = struct{}{}
	}
	p.index(b, specs)
	return b.key, workload.JoinJobBatch(values)
}

// index adds the jobs of a batch to the index. The caller holds mu.
func (p *jobBatchIndex) index(b *jobBatch, specs []*workload.Spec) {
	for _, s := range specs {
		b.jobs = append(b.jobs, s.ID)
		p.byJob[s.ID] = b
	}
}

// addStored adds a batch that an earlier owner has written, and reports whether any of its jobs is active. The function ended reports
// whether a job of it has ended. Without active jobs the row has to be removed, but its jobs stay in the index, so that their states
// are kept for this term: the index doesn't learn when the row is removed.
func (p *jobBatchIndex) addStored(key rowstore.Key, specs []*workload.Spec, ended func(id string) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := &jobBatch{key: key, active: map[string]struct{}{}}
	for _, s := range specs {
		if !ended(s.ID) {
			b.active[s.ID] = struct{}{}
		}
	}
	p.index(b, specs)
	return len(b.active) > 0
}

// jobEnded records the end of a job, which may be repeated, and returns the row to remove with it: the job's own row, the batch if this was its last
// active job, or none.
func (p *jobBatchIndex) jobEnded(id string) []rowstore.Key {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.byJob[id]
	if b == nil {
		return []rowstore.Key{records.ActiveJobKey(id)}
	}
	delete(b.active, id)
	if len(b.active) > 0 {
		return nil
	}
	p.remove(b)
	return []rowstore.Key{b.key}
}

// separate takes a job out of its batch, whose row was not stored: the job gets a row of its own.
func (p *jobBatchIndex) separate(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.byJob[id]; b != nil {
		delete(b.active, id)
		delete(p.byJob, id)
	}
}

// remove removes the jobs of a batch from the index. The caller holds mu.
func (p *jobBatchIndex) remove(b *jobBatch) {
	for _, id := range b.jobs {
		if p.byJob[id] == b {
			delete(p.byJob, id)
		}
	}
}

// contains reports whether a job is in a batch whose row is still stored, so that the job's state must be kept.
func (p *jobBatchIndex) contains(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byJob[id] != nil
}
