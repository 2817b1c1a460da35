package job

import (
	"context"
	"slices"
	"time"

	"github.com/greengagewing/greengagewing/internal/job/placement"
	"github.com/greengagewing/greengagewing/internal/plan"
	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	// maxPlacementsPerRound bounds the length of a round, during which p.mu is held.
	maxPlacementsPerRound = 512
	// reserveAfter is how long a gang or a large task waits in the queue before workers are reserved for it.
	reserveAfter = 30 * time.Second
	// maxReservation bounds the time of a reservation, so that one that is never used does not block workers for ever.
	maxReservation = 10 * time.Minute

	roundInterval = 250 * time.Millisecond // between rounds that nothing triggers earlier
	minRoundPause = 5 * time.Millisecond   // a longer round is followed by a pause
)

// reservation keeps workers free for one job until the job fits on them. There is at most one at a time, so that two jobs
// cannot deadlock, each holding a part of the workers that the other one needs.
type reservation struct {
	job   *job
	task  *task // nil for a gang
	nodes []*placement.Node
	until time.Time
}

func (p *partition) scheduleLoop() {
	wait.EveryOrSignal(p.ctx, roundInterval, p.wakeScheduler, func(ctx context.Context) {
		p.mu.Lock()
		began := time.Now()
		if p.scheduleRound(began) {
			wait.Signal(p.wakeScheduler)
		}
		took := time.Since(began)
		p.mu.Unlock()
		// With very many waiting jobs a round is long. A pause of the same length lets reports and submissions lock p.mu.
		if took > minRoundPause {
			wait.For(ctx, took)
		}
	})
}

// scheduleRound places queued tasks until no more fit. It returns true if it stopped at maxPlacementsPerRound. The caller
// holds p.mu.
func (p *partition) scheduleRound(now time.Time) bool {
	if p.draining {
		return false
	}
	clear(p.allowances)
	p.queue.releaseDelayed(now)
	p.checkReservation(now)
	healthy := p.log.Healthy()
	groups := p.queue.sortedGroups()
	unplaceable := map[groupKey]bool{}
	placedCount := 0
	for from := 0; from < len(groups); {
		to := from
		for to < len(groups) && groups[to].key.class == groups[from].key.class {
			to++
		}
		if placedCount = p.placeGroups(groups[from:to], unplaceable, healthy, now, placedCount); placedCount >= maxPlacementsPerRound {
			return true
		}
		from = to
	}
	return false
}

// placeGroups places tasks of the groups of one class in turns until no group has a task that fits. unplaceable collects the
// task shapes that did not fit in this round. It returns the number of placements of the round so far.
func (p *partition) placeGroups(groups []*group, unplaceable map[groupKey]bool, healthy bool, now time.Time, placedCount int) int {
	live := append([]*group(nil), groups...)
	for len(live) > 0 {
		rest := live[:0]
		for _, g := range live {
			more := true
			for i := 0; i < tasksPerTurn && more; i++ {
				it, ok := g.front()
				if !ok {
					more = false
					break
				}
				if more = p.tryPlace(g, it, unplaceable, healthy, now); more {
					if placedCount++; placedCount >= maxPlacementsPerRound {
						return placedCount
					}
				}
			}
			if more {
				rest = append(rest, g)
			}
		}
		live = rest
	}
	return placedCount
}

// tryPlace places one item and removes it from its group. It returns false if the item must wait for a later round.
func (p *partition) tryPlace(g *group, it item, unplaceable map[groupKey]bool, healthy bool, now time.Time) bool {
	spec := it.job.spec
	if !spec.Idempotent && !healthy || it.job.gang.undoing {
		return false
	}
	n := placedTogether(it.job, it.task)
	if !p.withinQuota(spec, n) {
		return false
	}
	shape := groupKey{size: g.key.size, keepReserve: g.key.keepReserve, distinctID: g.key.distinctID}
	if unplaceable[shape] {
		return false
	}
	nodes := p.findNodes(g, it, n, now)
	if nodes == nil {
		unplaceable[shape] = true
		p.reserveIfWaitedLong(g, it, n, now)
		return false
	}
	if !p.assignTasks(it, nodes, now) {
		return false
	}
	g.pop()
	p.placeWait.Record(now.Sub(it.queuedAt))
	return true
}

// placedTogether returns how many tasks are placed at once: one, or all open tasks of a gang, for which t is nil.
func placedTogether(j *job, t *task) int {
	if t == nil {
		return j.open()
	}
	return 1
}

// allowance returns a customer's allowance as it was when it was first looked up in this round. An edit during a round takes
// effect in the next one: otherwise less urgent tasks could use the raised allowance before urgent tasks that were over the
// old one earlier in the round.
func (p *partition) allowance(customer string) plan.Allowance {
	a, ok := p.allowances[customer]
	if !ok {
		a, _ = p.deps.Plans.Allowance(customer) // an unknown customer may use nothing
		p.allowances[customer] = a
	}
	return a
}

// withinQuota reports whether a customer's allowance lets n more tasks of a job run.
func (p *partition) withinQuota(s Spec, n int) bool {
	a := p.allowance(s.Customer)
	var use customerUsage
	if u := p.usageByCustomer[s.Customer]; u != nil {
		use = *u
	}
	return use.tasks+n <= a.Tasks && use.size.Add(s.Resources.Mul(n)).FitsIn(allowanceResources(a))
}

func allowanceResources(a plan.Allowance) Resources {
	return Resources{CPUMilli: a.CPUMilli, MemoryMB: a.MemoryMB, Accelerators: a.Accelerators}
}

func placementRequest(g *group, it item, now time.Time) placement.Request {
	return placement.Request{
		JobID: it.job.id, Size: g.key.size, KeepReserve: g.key.keepReserve, Spread: it.job.spread, Avoid: it.workersToAvoid(now),
	}
}

// workersToAvoid returns the IDs of the workers on which the task, or any task of the gang, failed. A gang avoids none once it
// has failed on so many workers that the gang is more likely at fault, or once it has waited so long that the other workers may
// be too few for it.
func (it item) workersToAvoid(now time.Time) (workers []string) {
	if it.task != nil {
		return it.task.failedOn
	}
	for _, t := range it.job.tasks {
		for _, w := range t.failedOn {
			if !slices.Contains(workers, w) {
				workers = append(workers, w)
			}
		}
	}
	if len(workers) >= maxFailedWorkers || now.Sub(it.queuedAt) >= reserveAfter {
		return nil
	}
	return workers
}

// findNodes returns one worker for each of the n tasks of an item, or nil if they do not all fit. Only the job for which
// workers are reserved may use the reserved ones.
func (p *partition) findNodes(g *group, it item, n int, now time.Time) []*placement.Node {
	r := placementRequest(g, it, now)
	var reserved []*placement.Node
	if p.reserved != nil && p.reserved.job == it.job && p.reserved.task == it.task {
		reserved = p.reserved.nodes
	}
	if it.task == nil || reserved != nil {
		return p.index.PlaceGang(r, n, reserved)
	}
	if node := p.index.Place(r); node != nil {
		return []*placement.Node{node}
	}
	return nil
}

// assignTasks assigns the tasks of an item to the chosen workers. Starts of idempotent tasks are queued at once; others are
// queued once their start records are durable. It returns false if the item must wait.
func (p *partition) assignTasks(it item, nodes []*placement.Node, now time.Time) bool {
	if !it.job.spec.Idempotent && len(p.journalCh) == cap(p.journalCh) {
		return false
	}
	tasks := it.pending()
	if len(tasks) != len(nodes) {
		return false
	}
	if it.task == nil {
		it.job.gang.confirmBy = now.Add(gangConfirmTimeout)
		it.job.ticket = 0
		p.gangs[it.job.id] = it.job
	}
	if p.reserved != nil && p.reserved.job == it.job {
		p.endReservation(it.job)
	}
	var records []record
	var starts []*assignment
	for i, t := range tasks {
		pl := p.newAssignment(t, p.workers[nodes[i].ID])
		starts = append(starts, pl)
		if !it.job.spec.Idempotent {
			pl.phase = phaseJournaling
			records = append(records, record{
				T: recordStart, At: now, Job: it.job.id, Task: t.idx, Attempt: pl.attempt, Worker: pl.w.id,
			})
		}
	}
	if records == nil {
		for _, pl := range starts {
			pl.queueStart()
		}
		return true
	}
	return p.queueRecords(records, func(now time.Time) { p.sendJournaledStarts(starts, now) })
}

// pending returns the tasks that an item places: one, or all pending tasks of a gang.
func (it item) pending() []*task {
	if it.task != nil {
		return []*task{it.task}
	}
	var tasks []*task
	for _, t := range it.job.tasks {
		if t.state == Pending {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// newAssignment assigns a new attempt of a task to a worker.
func (p *partition) newAssignment(t *task, w *workerInfo) *assignment {
	p.lastAttempt++
	pl := &assignment{task: t, w: w, attempt: p.lastAttempt, size: t.size, phase: phaseQueued}
	p.addAssignment(pl)
	t.setState(Starting)
	return pl
}

// queueStart queues the start of an attempt for the worker's command loop.
func (pl *assignment) queueStart() {
	pl.phase = phaseQueued
	pl.w.starts = append(pl.w.starts, pl)
	wait.Signal(pl.w.wakeCommands)
}

// sendJournaledStarts queues journaled starts for sending. A start is undone if its job was cancelled or its worker was closed
// to new tasks in the meantime.
func (p *partition) sendJournaledStarts(starts []*assignment, now time.Time) {
	for _, pl := range starts {
		if !pl.isCurrent() {
			continue
		}
		if pl.stop != stopNone || pl.task.job.cancelled || !pl.w.node.Schedulable() {
			pl.phase = phaseQueued
			p.undoStart(pl, now, 0)
			continue
		}
		pl.queueStart()
	}
}

// reserveIfWaitedLong reserves workers for a gang or a large task that has waited for reserveAfter. Otherwise a stream of small
// tasks could starve it.
func (p *partition) reserveIfWaitedLong(g *group, it item, n int, now time.Time) {
	if p.reserved != nil || now.Sub(it.queuedAt) < reserveAfter || it.job.spread != nil {
		return
	}
	nodes := p.index.Reserve(placementRequest(g, it, now), n)
	if nodes == nil {
		return
	}
	p.reserved = &reservation{job: it.job, task: it.task, nodes: nodes, until: now.Add(maxReservation)}
	p.addToCounter("reservations", 1)
}

// checkReservation ends the reservation if its job no longer waits, one of its workers was closed to new tasks, its time is
// over, or the customer's allowance does not let the job run now.
func (p *partition) checkReservation(now time.Time) {
	r := p.reserved
	if r == nil {
		return
	}
	waits := r.job.open() > 0 && !r.job.cancelled && (r.task == nil || r.task.current == nil && !r.task.state.Final())
	schedulable := true
	for _, node := range r.nodes {
		schedulable = schedulable && node.Schedulable()
	}
	if !waits || !schedulable || now.After(r.until) || !p.withinQuota(r.job.spec, placedTogether(r.job, r.task)) {
		p.endReservation(r.job)
	}
}

func (p *partition) endReservation(j *job) {
	if p.reserved == nil || p.reserved.job != j {
		return
	}
	p.index.Release(p.reserved.nodes)
	p.reserved = nil
	wait.Signal(p.wakeScheduler)
}
