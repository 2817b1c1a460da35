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
	// roundLimit bounds the placements of one round, during which the books are locked.
	roundLimit = 512
	// reserveAfter is how long a gang or a large task waits before workers are reserved for it.
	reserveAfter = 30 * time.Second
	// reserveFor bounds a reservation, so that one that never completes does not withhold workers.
	reserveFor = 10 * time.Minute

	roundInterval = 250 * time.Millisecond
	roundPause    = 5 * time.Millisecond
)

// reservation withholds workers from other jobs until one job fits. There is at most one at a time, so that two jobs
// never hold a part each of what the other needs.
type reservation struct {
	job   *job
	task  *task // nil for a gang
	nodes []*placement.Node
	until time.Time
}

func (p *partition) scheduleLoop() {
	wait.EveryOrSignal(p.ctx, roundInterval, p.wake, func(ctx context.Context) {
		p.mu.Lock()
		began := time.Now()
		if p.round(began) {
			wait.Signal(p.wake)
		}
		took := time.Since(began)
		p.mu.Unlock()
		// With very many waiting jobs a round is long. Reports and submissions get the books for as long as it took.
		if took > roundPause {
			wait.For(ctx, took)
		}
	})
}

// round places queued tasks until nothing more fits. It returns true if it stopped at its limit.
func (p *partition) round(now time.Time) bool {
	if p.draining {
		return false
	}
	clear(p.allowances)
	p.queue.wake(now)
	p.checkReservation(now)
	healthy := p.log.Healthy()
	groups := p.queue.order()
	refused := map[groupKey]bool{}
	done := 0
	for from := 0; from < len(groups); {
		to := from
		for to < len(groups) && groups[to].key.class == groups[from].key.class {
			to++
		}
		if done = p.serve(groups[from:to], refused, healthy, now, done); done >= roundLimit {
			return true
		}
		from = to
	}
	return false
}

// serve takes turns between the groups of one class until none has a task that fits.
func (p *partition) serve(groups []*group, refused map[groupKey]bool, healthy bool, now time.Time, done int) int {
	live := append([]*group(nil), groups...)
	for len(live) > 0 {
		rest := live[:0]
		for _, g := range live {
			more := true
			for i := 0; i < roundSlice && more; i++ {
				it, ok := g.front()
				if !ok {
					more = false
					break
				}
				if more = p.tryPlace(g, it, refused, healthy, now); more {
					if done++; done >= roundLimit {
						return done
					}
				}
			}
			if more {
				rest = append(rest, g)
			}
		}
		live = rest
	}
	return done
}

// tryPlace places one item and removes it from its group, or returns false if it must wait.
func (p *partition) tryPlace(g *group, it item, refused map[groupKey]bool, healthy bool, now time.Time) bool {
	spec := it.job.spec
	if !spec.Idempotent && !healthy || it.job.gang.undoing {
		return false
	}
	n := needed(it.job, it.task)
	if !p.withinQuota(spec, n) {
		return false
	}
	shape := groupKey{size: g.key.size, limited: g.key.limited, single: g.key.single}
	if refused[shape] {
		return false
	}
	nodes := p.findNodes(g, it, n, now)
	if nodes == nil {
		refused[shape] = true
		p.reserveIfOld(g, it, n, now)
		return false
	}
	if !p.commit(it, nodes, now) {
		return false
	}
	g.pop()
	p.placeWait.Record(now.Sub(it.since))
	return true
}

// needed returns how many tasks are placed together: one, or all of a gang, for which t is nil.
func needed(j *job, t *task) int {
	if t == nil {
		return j.open()
	}
	return 1
}

// allowance looks a customer's allowance up once per round. An edit within a round is in force from the next one:
// otherwise, urgent work that was refused earlier in the round would lose its places to other work.
func (p *partition) allowance(customer string) plan.Allowance {
	a, ok := p.allowances[customer]
	if !ok {
		a, _ = p.deps.Plans.Allowance(customer) // an unknown customer may use nothing
		p.allowances[customer] = a
	}
	return a
}

func (p *partition) withinQuota(s Spec, n int) bool {
	a := p.allowance(s.Customer)
	var use customerUse
	if u := p.uses[s.Customer]; u != nil {
		use = *u
	}
	return use.tasks+n <= a.Tasks && use.size.Plus(s.Resources.Times(n)).Fits(allowed(a))
}

func allowed(a plan.Allowance) Resources {
	return Resources{CPUMilli: a.CPUMilli, MemoryMB: a.MemoryMB, Accelerators: a.Accelerators}
}

func request(g *group, it item, now time.Time) placement.Request {
	return placement.Request{
		Job: it.job.id, Size: g.key.size, Limited: g.key.limited, Spread: it.job.spread, Avoid: it.avoid(now),
	}
}

// avoid returns the workers on which a task, or any task of a gang, failed. A gang avoids none when it has failed on so
// many workers that the gang is more likely at fault, nor when it has waited so long that the others may be too few for it.
func (it item) avoid(now time.Time) (workers []string) {
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
	if len(workers) >= failedWorkers || now.Sub(it.since) >= reserveAfter {
		return nil
	}
	return workers
}

func (p *partition) findNodes(g *group, it item, n int, now time.Time) []*placement.Node {
	r := request(g, it, now)
	var reserved []*placement.Node
	if p.reserved != nil && p.reserved.job == it.job && p.reserved.task == it.task {
		reserved = p.reserved.nodes
	}
	if it.task == nil || reserved != nil {
		return p.index.PlaceAll(r, n, reserved)
	}
	if node := p.index.Place(r); node != nil {
		return []*placement.Node{node}
	}
	return nil
}

// commit puts a decision on the books and passes the starts on.
func (p *partition) commit(it item, nodes []*placement.Node, now time.Time) bool {
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
	var starts []*placed
	for i, t := range tasks {
		pl := p.place(t, p.workers[nodes[i].ID])
		starts = append(starts, pl)
		if !it.job.spec.Idempotent {
			pl.phase = phaseJournal
			records = append(records, record{
				T: recordStart, At: now, Job: it.job.id, Task: t.idx, Attempt: pl.attempt, Worker: pl.w.id,
			})
		}
	}
	if records == nil {
		for _, pl := range starts {
			pl.send()
		}
		return true
	}
	return p.journal(records, func(now time.Time) { p.startsDurable(starts, now) })
}

// pending returns the tasks that an item places: one, or all of a gang that wait.
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

// place puts a new attempt of a task on the books.
func (p *partition) place(t *task, w *workerBook) *placed {
	p.attempts++
	pl := &placed{task: t, w: w, attempt: p.attempts, size: t.size, phase: phaseSend}
	p.occupy(pl)
	t.setState(Starting)
	return pl
}

func (pl *placed) send() {
	pl.phase = phaseSend
	pl.w.starts = append(pl.w.starts, pl)
	wait.Signal(pl.w.wake)
}

// startsDurable sends journaled starts, unless the decision is out of date by now.
func (p *partition) startsDurable(starts []*placed, now time.Time) {
	for _, pl := range starts {
		if !pl.current() {
			continue
		}
		if pl.stop != stopNone || pl.task.job.cancelled || !pl.w.node.Open() {
			pl.phase = phaseSend
			p.unstart(pl, now, 0)
			continue
		}
		pl.send()
	}
}

// reserveIfOld reserves workers for a gang or a large task that has waited too long.
func (p *partition) reserveIfOld(g *group, it item, n int, now time.Time) {
	if p.reserved != nil || now.Sub(it.since) < reserveAfter || it.job.spread != nil {
		return
	}
	nodes := p.index.Reserve(request(g, it, now), n)
	if nodes == nil {
		return
	}
	p.reserved = &reservation{job: it.job, task: it.task, nodes: nodes, until: now.Add(reserveFor)}
	p.count("reservations", 1)
}

// checkReservation ends a reservation that is over or whose customer may not run the job now.
func (p *partition) checkReservation(now time.Time) {
	r := p.reserved
	if r == nil {
		return
	}
	waits := r.job.open() > 0 && !r.job.cancelled && (r.task == nil || r.task.place == nil && !r.task.state.Final())
	open := true
	for _, node := range r.nodes {
		open = open && node.Open()
	}
	if !waits || !open || now.After(r.until) || !p.withinQuota(r.job.spec, needed(r.job, r.task)) {
		p.endReservation(r.job)
	}
}

func (p *partition) endReservation(j *job) {
	if p.reserved == nil || p.reserved.job != j {
		return
	}
	p.index.Release(p.reserved.nodes)
	p.reserved = nil
	wait.Signal(p.wake)
}
