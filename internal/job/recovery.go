package job

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/commitlog"
	"github.com/greengagewing/greengagewing/internal/wait"
)

// A new owner rebuilds the in-memory state of a partition from the journal, and the reports of the workers complete it. A task
// that may still run on some worker is not queued until the partition has settled (see trySettle). Compaction replaces the
// journal by a snapshot: records that restore the same state.

// restore rebuilds the in-memory state from journal records. The reports of the workers complete it later.
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

// replay applies one journal record to the in-memory state. Records of unknown jobs and tasks have no effect.
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

// supersedes reports whether a journal record of a job that was accepted at the given time takes effect. It does not if it
// repeats the record of the job in memory. With another time it belongs to a later job with the same key, which was accepted
// after the job in memory had been dropped; the job in memory is then removed.
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

// jobOfEndedRecord restores an ended job from a record that recordOfEndedJob returned.
func jobOfEndedRecord(r record) *job {
	return &job{
		id: r.Job, spec: *r.Spec, fingerprint: r.Fingerprint, at: r.At, counts: r.Counts, endedAt: r.EndedAt, reason: r.Reason,
	}
}

// closedChan is a closed channel for restored ended jobs: they are accepted, so nobody has to wait for the decision.
var closedChan = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// addEndedJob adds an ended job, which has no tasks, to the in-memory state.
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

// replayStart adds the assignment of an attempt that may be running. The previous owner sent nothing after predecessorEnd, so
// the lease of the attempt has expired by leaseExpiry after it.
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
		// A non-idempotent task without a start record certainly does not run: its start is journaled before it is sent.
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
		// Only some tasks of the gang have a start record. All starts of a gang are journaled in one entry, so this happens
		// only if undoing the gang was interrupted; the remaining tasks are undone too.
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

// trySettle ends the wait after a takeover. Once every worker has reported, or every lease that the previous owner can have
// granted has expired, a task that no worker has reported certainly does not run and may be started.
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

// settleJob queues or ends the tasks of a job that were not found on any worker. If only some tasks of a gang were found, they
// are stopped and the gang is queued again as a whole.
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

// compactionDue reports whether the journal has grown enough to be compacted. A large snapshot of open jobs is not written
// again before the new records have grown to the same size.
func (p *partition) compactionDue() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Bytes() >= max(p.cfg.CompactBytes, p.snapshotBytes) && p.log.Healthy()
}

// compact replaces the journal by a snapshot and moves ended jobs into archives. Appends wait meanwhile.
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

// snapshot returns the records that restore the in-memory state, except for the jobs that are in archives and those in
// toArchive, which the same compaction archives.
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

// snapshotTask adds the records that restore a task: its failures, and its result or its start.
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
		// The result is not durable yet. Without a start record, a successor would run the task again.
		add(record{T: recordStart, Job: j.id, Task: t.idx, Attempt: t.lastAttempt, Worker: t.lastWorker})
	}
}
