package job

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/job/worker"
	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	// probeAfter is the number of missed renewals after which leases are no longer renewed, so that the tasks of an
	// unreachable worker end in bounded time. An answered probe resumes the renewals.
	probeAfter = 3
	// renewSlots is the number of points in time over which renewals are spread.
	renewSlots = 64
	// maxSends bounds the starts of one attempt whose responses are lost.
	maxSends = 3
	// moveTimeout is how long a task may take for a checkpoint before it is stopped.
	moveTimeout = 30 * time.Second
)

func newWorkerBook(id, addr, domain, rack string) *workerBook {
	return &workerBook{
		id: id, addr: addr, domain: domain, rack: rack, placed: map[string]*placed{},
		unknown: map[worker.TaskRef]Resources{}, wake: make(chan struct{}, 1), kick: make(chan struct{}, 1), quit: func() {},
	}
}

// control starts the two goroutines of a worker: one renews leases and reads reports, one sends starts and orders, so
// that slow starts do not delay renewals.
func (p *partition) control(w *workerBook) {
	ctx, cancel := context.WithCancel(p.ctx)
	w.quit = cancel
	p.spawn(func() { p.renewLoop(ctx, w) })
	p.spawn(func() { p.commandLoop(ctx, w) })
}

func (p *partition) renewLoop(ctx context.Context, w *workerBook) {
	// The first renewals of all workers come at once; the later ones are spread over the interval.
	p.renew(ctx, w)
	if wait.ForOrSignal(ctx, renewInterval*time.Duration(bucket(w.id, renewSlots))/renewSlots, w.kick) {
		wait.EveryOrSignal(ctx, renewInterval, w.kick, func(ctx context.Context) { p.renew(ctx, w) })
	}
}

// renew extends the leases on a worker, applies its report and acknowledges journaled results.
func (p *partition) renew(ctx context.Context, w *workerBook) {
	p.mu.Lock()
	asked := time.Now()
	msg, renewed := p.renewal(w, asked)
	addr := w.addr
	p.mu.Unlock()
	var rep worker.Report
	err := p.guard.Check()
	if err == nil {
		rep, err = p.deps.Workers.Renew(ctx, addr, msg)
	}
	p.mu.Lock()
	now := time.Now()
	for _, pl := range renewed {
		pl.leaseUntil = now.Add(leaseEnd) // the call may have been delivered as late as this
	}
	if err != nil || rep.WorkerID != w.id {
		if errors.Is(err, worker.ErrLeaving) {
			p.deps.Members.ReportLeaving(w.id)
			p.leave(w, now)
		}
		p.missed(w, now)
		p.mu.Unlock()
		return
	}
	p.applyReport(w, rep, asked, now)
	acks := w.acks
	w.acks = nil
	p.mu.Unlock()
	if len(acks) == 0 || p.guard.Check() != nil {
		return
	}
	// A lost acknowledgement is repeated when the worker reports the attempt again.
	_ = p.deps.Workers.Ack(ctx, addr, worker.Ack{Epoch: p.guard.Epoch(), Tasks: acks})
}

// renewal builds the next renewal. Attempts whose start is not confirmed and those that are to stop are left out, so
// that the end of their lease stays known.
func (p *partition) renewal(w *workerBook, now time.Time) (msg worker.Renew, renewed []*placed) {
	msg = worker.Renew{Epoch: p.guard.Epoch(), LeaseMS: taskLease.Milliseconds(), Tasks: []worker.TaskRef{}}
	if w.misses >= probeAfter {
		return msg, nil
	}
	msg.NotAfterMS = w.notAfter(now)
	for id, pl := range w.placed {
		if pl.phase != phaseConfirmed || pl.stop != stopNone && pl.stop != stopMove {
			continue
		}
		msg.Tasks = append(msg.Tasks, worker.TaskRef{TaskID: id, Attempt: pl.attempt})
		renewed = append(renewed, pl)
	}
	return msg, renewed
}

// notAfter returns the time on the worker's clock until which a message sent now may take effect.
func (w *workerBook) notAfter(now time.Time) int64 {
	if w.clockMS == 0 {
		return 0
	}
	// The clock was read between the request and the response, so this is at most leaseMargin from now.
	return w.clockMS + (now.Sub(w.clockAt)).Milliseconds() + leaseMargin.Milliseconds()
}

func (p *partition) missed(w *workerBook, now time.Time) {
	w.misses++
	if w.misses == probeAfter {
		p.zap.Warn("worker is unreachable", zap.String("worker", w.id))
	}
	p.refresh(w, now)
	p.expireLeases(w, now)
}

func (p *partition) expireLeases(w *workerBook, now time.Time) {
	for _, pl := range w.placed {
		if pl.phase >= phaseSent && !pl.inFlight && now.After(pl.leaseUntil) && pl.current() {
			p.gone(pl, now)
		}
	}
}

func (p *partition) commandLoop(ctx context.Context, w *workerBook) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
		for ctx.Err() == nil && p.command(ctx, w) {
		}
	}
}

// command sends the next start or order. They take turns, so that a wave of cancellations leaves half of the control
// budget to starts.
func (p *partition) command(ctx context.Context, w *workerBook) bool {
	p.mu.Lock()
	if w.misses > 0 {
		w.orders = nil // each would take a timeout; the next report repeats them
	}
	if len(w.starts) == 0 && len(w.orders) == 0 {
		p.mu.Unlock()
		return false
	}
	w.turn = !w.turn
	if len(w.orders) == 0 || w.turn && len(w.starts) > 0 {
		pl := w.starts[0]
		w.starts = w.starts[1:]
		p.sendStart(ctx, w, pl)
		return true
	}
	o := w.orders[0]
	w.orders = w.orders[1:]
	addr := w.addr
	p.mu.Unlock()
	p.sendOrder(ctx, addr, o)
	return true
}

func (p *partition) sendOrder(ctx context.Context, addr string, o order) {
	body := worker.Order{Attempt: o.ref.Attempt, Epoch: p.guard.Epoch()}
	send := p.deps.Workers.Stop
	switch o.verb {
	case verbThrottle:
		send = p.deps.Workers.Throttle
	case verbCheckpoint:
		send = p.deps.Workers.Checkpoint
	}
	if p.guard.Check() != nil {
		return
	}
	// The next report shows whether the order had its effect; if not, it is repeated.
	_ = send(ctx, addr, o.ref.TaskID, body)
}

// sendStart is called with the books locked and unlocks them.
func (p *partition) sendStart(ctx context.Context, w *workerBook, pl *placed) {
	now := time.Now()
	if !pl.current() || pl.phase != phaseSend {
		p.mu.Unlock()
		return
	}
	if pl.sends > 0 && w.misses > 0 {
		pl.phase = phaseSent // sent again after the next report
		p.mu.Unlock()
		return
	}
	if pl.sends == 0 && (pl.task.job.cancelled || !w.node.Open()) {
		p.unstart(pl, now, 0)
		p.mu.Unlock()
		return
	}
	t, s := pl.task, pl.task.job.spec
	msg := worker.Start{
		TaskID: t.id, Attempt: pl.attempt, Epoch: p.guard.Epoch(), LeaseMS: taskLease.Milliseconds(),
		Resources: s.Resources, Kind: string(s.Kind), RunMS: s.RunMS, Payload: s.Payload,
	}
	msg.NotAfterMS = w.notAfter(now)
	before := pl.leaseUntil
	pl.phase, pl.inFlight, pl.lostAt = phaseSent, true, time.Time{}
	pl.sends++
	pl.leaseUntil = now.Add(leaseEnd)
	addr := w.addr
	p.mu.Unlock()

	err := errors.Wrap(worker.ErrNotDelivered, "not the owner")
	if p.guard.Check() == nil {
		err = p.deps.Workers.Start(ctx, addr, msg)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	pl.inFlight = false
	if !pl.current() {
		return
	}
	p.startSent(pl, err, before, time.Now())
}

// startSent applies the outcome of a start.
func (p *partition) startSent(pl *placed, err error, before, now time.Time) {
	t := pl.task
	switch {
	case err == nil:
		pl.leaseUntil = now.Add(leaseEnd)
		p.confirm(pl, now)
		p.count("starts", 1)
	case !errors.Is(err, worker.ErrNotDelivered):
		pl.lostAt, pl.leaseUntil = now, now.Add(leaseEnd)
		p.count("starts_lost", 1)
	case pl.sends > 1:
		pl.lostAt, pl.leaseUntil = now, before // an earlier send may have started it
	default:
		p.startRefused(pl, err, now)
		p.unstart(pl, now, t.retryDelay())
	}
}

func (p *partition) startRefused(pl *placed, err error, now time.Time) {
	p.count("starts_refused", 1)
	w := pl.w
	if errors.Is(err, worker.ErrLeaving) {
		p.deps.Members.ReportLeaving(w.id)
		p.leave(w, now)
		return
	}
	if errors.Is(err, worker.ErrStaleEpoch) {
		return
	}
	p.noteFailure(w, pl.task.job.id, now)
}

// confirm notes that an attempt certainly started.
func (p *partition) confirm(pl *placed, now time.Time) {
	if pl.phase == phaseConfirmed {
		return
	}
	pl.phase, pl.confirmed = phaseConfirmed, now
	if pl.task.state == Starting {
		pl.task.setState(Running)
		pl.task.startedAt = now
	}
	pl.task.job.gangConfirmed()
	if pl.stop != stopNone {
		pl.w.order(verbStop, worker.TaskRef{TaskID: pl.task.id, Attempt: pl.attempt})
	}
}

func (p *partition) leave(w *workerBook, now time.Time) {
	if !w.leaving {
		w.leaving = true
		p.zap.Info("worker is leaving", zap.String("worker", w.id))
	}
	p.moveAway(w, now)
	p.refresh(w, now)
}

// moveAway checkpoints what can run again elsewhere. Gangs stay, since a gang would have to move as a whole.
func (p *partition) moveAway(w *workerBook, now time.Time) {
	for _, pl := range w.placed {
		s := pl.task.job.spec
		if s.Idempotent && s.Kind != Gang && pl.phase == phaseConfirmed && pl.stop == stopNone {
			p.stopPlaced(pl, stopMove, now)
		}
	}
}

// refresh decides whether a worker takes new tasks.
func (p *partition) refresh(w *workerBook, now time.Time) {
	if w.node == nil {
		return
	}
	open := w.listed && !w.leaving && w.reported && w.enrolled && w.misses == 0 && !now.Before(w.health.until)
	if open != w.node.Open() {
		p.index.SetOpen(w.node, open)
		if open {
			signal(p.wake)
		}
	}
	p.index.SetPenalty(w.node, w.health.penalty(now))
}

// applyReport reconciles the books with a worker's report. asked is when the report was requested.
func (p *partition) applyReport(w *workerBook, rep worker.Report, asked, now time.Time) {
	if w.misses >= probeAfter {
		p.zap.Info("worker is reachable again", zap.String("worker", w.id))
	}
	w.misses, w.lastSeen, w.bootID, w.clockMS, w.clockAt = 0, now, rep.BootID, rep.ClockMS, now
	p.noteCapacity(w, rep.Capacity)
	if rep.Leaving && !w.leaving {
		p.deps.Members.ReportLeaving(w.id)
		p.leave(w, now)
	}
	unknown := map[worker.TaskRef]Resources{}
	seen := make(map[string]bool, len(rep.Tasks))
	for _, rt := range rep.Tasks {
		pl := w.placed[rt.TaskID]
		if pl == nil || pl.attempt != rt.Attempt {
			pl = p.unplaced(w, rt, unknown, now)
		}
		if pl != nil {
			seen[rt.TaskID] = true
			p.applyTask(pl, rt, now)
		}
	}
	p.setUnknown(w, unknown)
	for id, pl := range w.placed {
		if !seen[id] && pl.current() {
			p.missing(pl, asked, now)
		}
	}
	p.expireLeases(w, now)
	p.checkOveruse(w, now)
	// An order of the previous owner may still be under way shortly after it was fenced.
	if !asked.Before(p.base.Add(leaseMargin)) || p.guard.FencedAt().IsZero() {
		w.reported = true
	}
	p.enroll(w, now)
	p.refresh(w, now)
	p.trySettle(now)
}

func (p *partition) noteCapacity(w *workerBook, c Resources) {
	if w.node != nil {
		p.index.SetCapacity(w.node, c)
		return
	}
	w.node = p.index.Add(w.id, w.domain, w.rack, c)
	p.index.SetUsed(w.node, w.used)
	for _, pl := range w.placed {
		p.countService(pl, 1)
	}
}

// enroll journals a worker before anything is started on it, so that a successor knows whose report to wait for even
// when the membership list does not show the worker then.
func (p *partition) enroll(w *workerBook, now time.Time) {
	if w.enrolled || w.enrolling || !w.reported {
		return
	}
	rec := record{T: recordWorker, At: now, Worker: w.id, Addr: w.addr, Domain: w.domain, Rack: w.rack}
	w.enrolling = p.journal([]record{rec}, func(now time.Time) {
		w.enrolled, w.enrolling = true, false
		p.refresh(w, now)
	})
}

func (p *partition) setUnknown(w *workerBook, unknown map[worker.TaskRef]Resources) {
	used := w.used
	for _, r := range w.unknown {
		used = used.Minus(r)
	}
	for _, r := range unknown {
		used = used.Plus(r)
	}
	w.unknown = unknown
	if used != w.used {
		p.setUsed(w, used)
		signal(p.wake)
	}
}

func (p *partition) findTask(id string) *task {
	jid, idx, ok := splitTaskID(id)
	j := p.jobs[jid]
	if !ok || j == nil || idx >= len(j.tasks) {
		return nil
	}
	return j.tasks[idx]
}

// unplaced handles a reported attempt that is not on the books of the worker. It returns a placement if the attempt is
// adopted.
func (p *partition) unplaced(w *workerBook, rt worker.Task, unknown map[worker.TaskRef]Resources, now time.Time) *placed {
	t := p.findTask(rt.TaskID)
	ref := worker.TaskRef{TaskID: rt.TaskID, Attempt: rt.Attempt}
	if t != nil && p.adoptable(t, rt) {
		return p.adopt(w, t, rt, now)
	}
	if rt.State != worker.Running {
		if t == nil || !t.held && (!t.finishing || t.lastAttempt != rt.Attempt) {
			p.lateResult(t, rt, now)
			w.acks = append(w.acks, ref)
		}
		return nil
	}
	unknown[ref] = rt.Resources.Max(rt.Usage)
	w.order(verbStop, ref)
	if t != nil && t.place != nil && t.place.phase == phaseConfirmed {
		p.doubleRuns++
		p.count("double_runs", 1)
		p.zap.Error("task runs in two places; one is stopped", zap.String("task", t.id), zap.String("worker", w.id))
	}
	return nil
}

// adoptable reports whether an attempt becomes the task's current one: after a takeover, or when it outlived its lease
// on a worker that was unreachable and the task was not started again.
func (p *partition) adoptable(t *task, rt worker.Task) bool {
	if t.place != nil || t.finishing || t.state != Pending || !t.job.accepted || !t.job.spec.Idempotent {
		return false
	}
	if rt.Attempt <= t.closed || t.job.cancelled && rt.State != worker.Running {
		return false
	}
	if t.held {
		// An attempt that ended without a result says nothing about a later one on another worker.
		return rt.State == worker.Running || rt.State == worker.Done
	}
	return t.job.spec.Kind != Gang
}

func (p *partition) adopt(w *workerBook, t *task, rt worker.Task, now time.Time) *placed {
	remaining := min(time.Duration(rt.RemainingLeaseMS)*time.Millisecond, taskLease)
	pl := &placed{
		task: t, w: w, attempt: rt.Attempt, size: t.size, phase: phaseConfirmed, confirmed: now,
		leaseUntil: now.Add(remaining + leaseMargin),
	}
	t.held = false
	t.setState(Running)
	t.startedAt = now
	p.occupy(pl)
	if t.job.cancelled {
		p.stopPlaced(pl, stopEnd, now)
	} else if t.job.gang.undoing {
		p.stopPlaced(pl, stopUndo, now)
	}
	signal(w.kick)
	p.count("adopted", 1)
	return pl
}

// lateResult resolves a non-idempotent task that was given up as unknown.
func (p *partition) lateResult(t *task, rt worker.Task, now time.Time) {
	if t == nil || t.state != Unknown || t.lastAttempt != rt.Attempt || rt.State != worker.Done && rt.State != worker.Failed {
		return
	}
	s := State(rt.State)
	t.setState(s)
	p.journalAsync(record{T: recordResult, At: now, Job: t.job.id, Task: t.idx, Attempt: rt.Attempt, State: s})
}

// applyTask applies a reported attempt to its placement.
func (p *partition) applyTask(pl *placed, rt worker.Task, now time.Time) {
	p.confirm(pl, now)
	if rt.State != worker.Running {
		p.finish(pl, rt, now)
		return
	}
	size := pl.task.size.Max(rt.Resources).Max(rt.Usage)
	if size != pl.size {
		p.resize(pl, size)
	}
	ref := worker.TaskRef{TaskID: rt.TaskID, Attempt: rt.Attempt}
	switch {
	case pl.stop == stopNone:
	case pl.stop == stopMove && now.Sub(pl.stopAt) < moveTimeout:
		pl.w.order(verbCheckpoint, ref)
	default:
		pl.w.order(verbStop, ref)
	}
}

// missing handles a placed attempt that a report does not show.
func (p *partition) missing(pl *placed, asked, now time.Time) {
	switch {
	case pl.inFlight || pl.phase < phaseSent:
	case pl.phase == phaseConfirmed:
		if asked.After(pl.confirmed) {
			p.gone(pl, now)
		}
	case pl.stop != stopNone || !pl.task.job.spec.Idempotent:
		// A non-idempotent start is never sent twice: the worker may have run it and lost it in a restart.
	case asked.After(pl.lostAt) && pl.sends > 0 && pl.sends < maxSends:
		pl.send()
	}
}

// finish handles an attempt that has ended on its worker. The worker repeats it until it is acknowledged.
func (p *partition) finish(pl *placed, rt worker.Task, now time.Time) {
	t, w := pl.task, pl.w
	ref := worker.TaskRef{TaskID: rt.TaskID, Attempt: rt.Attempt}
	end, again := outcome(pl, rt)
	if again && rt.State != worker.Failed {
		t.closed = pl.attempt
		w.acks = append(w.acks, ref)
		p.grow(pl, now)
		p.release(pl)
		p.requeue(t, now, 0)
		p.gangStep(t.job, now)
		p.checkEnded(t.job, now)
		return
	}
	rec := record{T: recordResult, At: now, Job: t.job.id, Task: t.idx, Attempt: pl.attempt, Worker: w.id, State: end}
	quick := now.Sub(t.startedAt) < quickFailure
	if !p.journal([]record{rec}, func(now time.Time) { p.resultDurable(t, w, ref, end, quick, now) }) {
		return // handled at a later report
	}
	t.finishing, t.lastWorker, t.closed = true, w.id, pl.attempt
	p.finishing++
	p.release(pl)
}

// outcome returns the state of a task after its attempt ended, and whether it runs again.
func outcome(pl *placed, rt worker.Task) (end State, again bool) {
	t := pl.task
	idempotent := t.job.spec.Idempotent
	switch {
	case rt.State == worker.Done:
		return Done, false
	case t.job.cancelled:
		return t.job.endAs, idempotent
	case idempotent:
		return Pending, true
	case rt.State == worker.Failed || pl.stop == stopOveruse || pl.stop == stopUndo:
		return Failed, false
	default:
		return Unknown, false // its lease expired while it ran
	}
}

// grow makes the next attempt as large as what was observed. Tasks of a gang are alike, so all of them grow. A job that
// was stopped for its overuse and is then too large for the pool can never run.
func (p *partition) grow(pl *placed, now time.Time) {
	j, n := pl.task.job, 1
	size := pl.task.size.Max(pl.size)
	if j.spec.Kind == Gang {
		n = j.spec.Tasks
	}
	if p.index.FitsEmpty(size, n) < n {
		if pl.overStage > 0 {
			p.giveUp(j, "the tasks use more than the pool has", now)
		}
		return
	}
	if j.spec.Kind != Gang {
		pl.task.size = size
		return
	}
	for _, t := range j.tasks {
		t.size = size
	}
}

// resultDurable applies a journaled result.
func (p *partition) resultDurable(t *task, w *workerBook, ref worker.TaskRef, end State, quick bool, now time.Time) {
	t.finishing = false
	p.finishing--
	w.acks = append(w.acks, ref)
	signal(w.kick)
	if end == Pending {
		p.attemptFailed(t, w, quick, now)
	} else {
		p.endTask(t, end, now)
		if end != Done && t.job.spec.Kind == Gang {
			p.giveUp(t.job, "a task of the gang failed", now)
		}
	}
	p.gangStep(t.job, now)
	t.job.gangConfirmed()
	p.checkEnded(t.job, now)
}
