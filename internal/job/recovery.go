package job

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/commitlog"
	"github.com/greengagewing/greengagewing/internal/wait"
)

// After a takeover, the books are rebuilt from the journal, and workers' reports complete them. A task that may still run
// somewhere is held back until the partition is settled. The journal is compacted to records that restore the same books.

// restore rebuilds the books from journal records. Workers' reports complete them.
func (p *partition) restore(records [][]byte) error {
	for _, raw := range records {
		if isArchive(raw) {
			id, jobs, err := decodeArchive(raw)
			if err != nil {
				return err
			}
			p.addArchive(id, jobs)
			continue
		}
		r, err := decodeRecord(raw)
		if err != nil {
			return err
		}
		p.replay(r)
	}
	now := time.Now()
	for _, j := range p.jobs {
		p.restoreJob(j, now)
	}
	p.sortEndedJobs()
	p.expire(now)
	return nil
}

func (p *partition) replay(r record) {
	switch r.T {
	case recordWorker:
		w := newWorkerInfo(r.Worker, r.Addr, r.Domain, r.Rack)
		w.journaled = true
		p.workers[w.id] = w
		return
	case recordGone:
		delete(p.workers, r.Worker)
		return
	case recordArchive:
		jobs := make([]*job, len(r.Jobs))
		for i, ended := range r.Jobs {
			jobs[i] = jobOfEndedRecord(ended)
		}
		p.addArchive(r.Archive, jobs)
		return
	case recordJob:
		if r.Spec != nil && p.supersedes(r.Job, r.At) {
			p.replayJob(r)
		}
		return
	}
	j := p.jobs[r.Job]
	if j == nil || j.tasks == nil {
		return
	}
	if r.T == recordCancel {
		j.cancelled, j.endState, j.reason = true, r.State, r.Reason
		return
	}
	if r.Task < 0 || r.Task >= len(j.tasks) {
		return
	}
	p.replayTask(j, j.tasks[r.Task], r)
}

// supersedes says whether the record of a job accepted at the given time is in force. One that repeats the record on the books
// is not. Another one is of a job with the same key that was accepted after the job on the books had been dropped.
func (p *partition) supersedes(id string, at time.Time) bool {
	old := p.jobs[id]
	if old == nil {
		return true
	}
	if at.Equal(old.at) {
		return false
	}
	p.openTasks -= old.open()
	for _, t := range old.tasks {
		if t.current != nil {
			p.removeAssignment(t.current)
		}
	}
	p.endedJobs = slices.DeleteFunc(p.endedJobs, func(j *job) bool { return j == old })
	p.untrackJob(old)
	return true
}

func (p *partition) replayJob(r record) {
	if !r.EndedAt.IsZero() {
		p.addEndedJob(jobOfEndedRecord(r))
		return
	}
	j := p.addJob(*r.Spec, r.Fingerprint, r.At)
	j.accepted = true
	close(j.decided)
}

// jobOfEndedRecord is the opposite of endedRecord.
func jobOfEndedRecord(r record) *job {
	return &job{
		id: r.Job, spec: *r.Spec, fingerprint: r.Fingerprint, at: r.At, counts: r.Counts, endedAt: r.EndedAt, reason: r.Reason,
	}
}

// closedChan is for jobs whose decision nobody can wait for.
var closedChan = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// addEndedJob puts a job that has ended on the books. It has no tasks.
func (p *partition) addEndedJob(j *job) {
	j.accepted, j.decided = true, closedChan
	p.trackJob(j)
	p.endedJobs = append(p.endedJobs, j)
}

func (p *partition) replayTask(j *job, t *task, r record) {
	switch r.T {
	case recordStart:
		if !t.state.Final() {
			p.replayStart(t, r)
		}
	case recordVoid:
		if t.current != nil && t.current.attempt == r.Attempt {
			p.removeAssignment(t.current)
			t.setState(Pending)
		}
	case recordResult:
		p.replayResult(j, t, r)
	}
}

// replayStart puts an attempt on the books that may be running. The predecessor sent nothing after base.
func (p *partition) replayStart(t *task, r record) {
	if t.current != nil {
		p.removeAssignment(t.current)
	}
	w := p.workers[r.Worker]
	if w == nil {
		w = newWorkerInfo(r.Worker, "", "", "")
		p.workers[w.id] = w
	}
	pl := &assignment{task: t, w: w, attempt: r.Attempt, size: t.size, phase: phaseSent, responseLostAt: p.predecessorEnd, leaseUntil: p.predecessorEnd.Add(leaseExpiry)}
	p.addAssignment(pl)
	t.setState(Starting)
}

func (p *partition) replayResult(j *job, t *task, r record) {
	if t.current != nil {
		p.removeAssignment(t.current)
	}
	t.lastAttempt, t.lastEnded = max(t.lastAttempt, r.Attempt), max(t.lastEnded, r.Attempt)
	if r.State == Pending {
		t.recordFailure(r.Worker)
		return
	}
	if !t.state.Final() {
		p.openTasks--
	}
	t.setState(r.State)
	if j.open() == 0 && !j.ended() {
		j.endedAt = r.At
		p.endedJobs = append(p.endedJobs, j)
	}
}

func (p *partition) restoreJob(j *job, now time.Time) {
	if j.ended() {
		j.spec.Payload = nil
		if j.counts[Unknown] == 0 {
			j.tasks, j.spread = nil, nil
		}
		return
	}
	if j.spec.TimeoutMS > 0 {
		p.deadlines[j.id] = j
	}
	if j.cancelled {
		p.cancels = append(p.cancels, j)
	}
	for _, t := range j.tasks {
		// A non-idempotent task without a start record certainly does not run.
		t.maybeRunning = t.state == Pending && t.current == nil && j.spec.Idempotent
	}
	if !j.spec.Idempotent && !j.cancelled {
		p.restoreNonIdempotent(j, now)
	}
	p.endJobIfDone(j, now)
}

func (p *partition) restoreNonIdempotent(j *job, now time.Time) {
	if j.spec.Kind != Gang {
		p.enqueueJob(j, now)
		return
	}
	if j.counts[Pending] == j.open() {
		p.enqueueGang(j, now, now)
	} else if j.counts[Pending] > 0 {
		// The start of the gang was not journaled as a whole, which the journal's order excludes except after a partial
		// undo; the rest is undone too.
		j.gang.undoing = true
		for _, t := range j.tasks {
			if t.current != nil {
				t.current.stop = stopUndoGang
			}
		}
	}
}

func (p *partition) sortEndedJobs() {
	slices.SortStableFunc(p.endedJobs, func(a, b *job) int { return a.endedAt.Compare(b.endedAt) })
}

// trySettle ends the wait after a takeover: once every worker has reported, or every lease that the previous owner can
// have given has expired, a task that was not found does not run.
func (p *partition) trySettle(now time.Time) {
	if p.settled {
		return
	}
	if now.Before(p.predecessorEnd.Add(leaseExpiry)) {
		if len(p.workers) == 0 {
			return
		}
		for _, w := range p.workers {
			if !w.reported {
				return
			}
		}
	}
	p.settled = true
	for _, j := range p.jobs {
		if j.accepted && !j.ended() {
			p.settleJob(j, now)
		}
	}
}

func (p *partition) settleJob(j *job, now time.Time) {
	found, missing := 0, 0
	for _, t := range j.tasks {
		switch {
		case t.current != nil || t.finishing:
			found++
		case t.maybeRunning:
			t.maybeRunning = false
			missing++
			if j.cancelled {
				p.endTask(t, j.endState, now)
			} else if j.spec.Kind != Gang {
				p.enqueueTask(t, now, now)
			}
		}
	}
	if j.spec.Kind != Gang || j.cancelled || j.ended() {
		return
	}
	switch {
	case j.gang.undoing:
		p.requeueUndoneGang(j, now)
	case missing > 0 && found > 0:
		p.undoGang(j, now)
	case missing > 0:
		p.enqueueGang(j, now, now)
	}
}

const compactTimeout = 5 * time.Second

func (p *partition) compactLoop() {
	for wait.For(p.ctx, pollInterval) {
		if !p.compactionDue() {
			continue
		}
		if err := p.compact(); err != nil {
			p.logger.Warn("journal not compacted", zap.Error(err))
		}
	}
}

// compactionDue says whether the journal has grown enough. A large snapshot of open jobs is not written again before as
// many new records have come.
func (p *partition) compactionDue() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Bytes() >= max(p.cfg.CompactBytes, p.snapshotBytes) && p.log.Healthy()
}

func (p *partition) compact() error {
	if !p.gate.close(p.ctx) {
		return nil
	}
	defer p.gate.open()
	p.mu.Lock()
	change := p.prepareArchiving(time.Now())
	c := commitlog.Compaction{Snapshot: p.snapshot(change.jobs), Archive: change.rows, Drop: change.drop}
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(p.ctx, compactTimeout)
	defer cancel()
	if err := p.log.Compact(ctx, c); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyArchiveChange(change)
	p.snapshotBytes = 0
	for _, r := range c.Snapshot {
		p.snapshotBytes += len(r)
	}
	return nil
}

// snapshot returns records that restore to the same books, together with the archives and the jobs that are about to be
// archived.
func (p *partition) snapshot(toArchive []*job) [][]byte {
	var out [][]byte
	add := func(r record) { out = append(out, r.encode()) }
	for _, w := range p.workers {
		if w.journaled {
			add(record{T: recordWorker, Worker: w.id, Addr: w.addr, Domain: w.domain, Rack: w.rack})
		}
	}
	skip := make(map[*job]bool, len(toArchive))
	for _, j := range toArchive {
		skip[j] = true
	}
	for _, j := range p.jobs {
		if !j.accepted || j.archived || skip[j] {
			continue
		}
		if j.ended() && j.tasks == nil {
			add(recordOfEndedJob(j))
			continue
		}
		spec := j.spec
		add(record{T: recordJob, At: j.at, Job: j.id, Spec: &spec, Fingerprint: j.fingerprint})
		if j.cancelled {
			add(record{T: recordCancel, At: j.at, Job: j.id, State: j.endState, Reason: j.reason})
		}
		for _, t := range j.tasks {
			snapshotTask(t, add)
		}
	}
	return out
}

func snapshotTask(t *task, add func(record)) {
	j := t.job
	for _, w := range t.failedOn {
		add(record{T: recordResult, Job: j.id, Task: t.idx, Attempt: t.lastEnded, Worker: w, State: Pending})
	}
	switch {
	case t.state.Final():
		add(record{T: recordResult, At: j.endedAt, Job: j.id, Task: t.idx, Attempt: t.lastAttempt, State: t.state})
	case j.spec.Idempotent:
	case t.current != nil && t.current.phase != phaseJournaling:
		add(record{T: recordStart, Job: j.id, Task: t.idx, Attempt: t.current.attempt, Worker: t.current.w.id})
	case t.finishing:
		// The result is not durable yet; without a start record a successor would run the task again.
		add(record{T: recordStart, Job: j.id, Task: t.idx, Attempt: t.lastAttempt, Worker: t.lastWorker})
	}
}
