package job

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/wait"
)

// Once per pollInterval, a partition reads the membership list and handles what has become due: deadlines of jobs, timeouts
// of gang starts, and ended jobs whose retention is over.

const pollInterval = time.Second // between reads of the membership list and checks of deadlines

func (p *partition) pollLoop() {
	wait.Every(p.ctx, pollInterval, func(context.Context) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.poll(time.Now())
	})
}

// poll reads the membership list and handles everything that has become due. The caller holds p.mu.
func (p *partition) poll(now time.Time) {
	p.readMembers(now)
	p.trySettle(now)
	for _, w := range p.workers {
		p.updateWorkerOpen(w, now)
	}
	for _, j := range p.deadlines {
		if now.After(j.at.Add(time.Duration(j.spec.TimeoutMS) * time.Millisecond)) {
			delete(p.deadlines, j.id)
			p.failJob(j, "timeout_ms has passed", now)
		}
	}
	for id, j := range p.gangs {
		if j.endStartIfConfirmed(); j.gang.confirmBy.IsZero() || j.ended() {
			delete(p.gangs, id)
		} else if now.After(j.gang.confirmBy) {
			delete(p.gangs, id)
			j.gang.confirmBy = time.Time{}
			p.undoGang(j, now)
		}
	}
	p.expire(now)
	p.scope.Gauge("waiting").Update(float64(p.queue.waiting()))
	p.scope.Gauge("workers").Update(float64(len(p.workers)))
}

// readMembers updates the workers of this partition from the membership list. A pool's workers are divided among its
// partitions by a hash of their IDs.
func (p *partition) readMembers(now time.Time) {
	listed := map[string]bool{}
	p.eligibleWorkers = 0
	for _, e := range p.deps.Members.Workers(p.pool) {
		if bucket(e.ID, p.cfg.Partitions) != p.number {
			continue
		}
		listed[e.ID] = true
		w := p.workers[e.ID]
		if w == nil {
			w = newWorkerInfo(e.ID, e.Addr, e.FailureDomain, e.Rack)
			p.workers[e.ID] = w
			p.startWorkerLoops(w)
		}
		if e.Leaving && !w.leaving {
			p.logger.Info("worker is leaving", zap.String("worker", w.id))
		}
		if e.FailureDomain != w.domain || e.Rack != w.rack {
			p.relocate(w, e.FailureDomain, e.Rack)
		}
		w.addr, w.listed, w.leaving = e.Addr, true, e.Leaving
		if w.leaving {
			p.moveTasksAway(w, now)
		} else {
			p.eligibleWorkers++
		}
	}
	for id, w := range p.workers {
		if listed[id] {
			continue
		}
		w.listed = false
		idle := len(w.assignments) == 0 && len(w.unknown) == 0
		if idle && now.Sub(w.lastSeen) > leaseExpiry && now.Sub(p.started) > leaseExpiry {
			p.removeWorker(w, now)
		}
	}
}

// relocate updates the failure domain and rack of a worker. They change when the worker comes back in another place, for
// example after a repair, and when a worker that was restored from the journal has moved since.
func (p *partition) relocate(w *workerInfo, domain, rack string) {
	w.domain, w.rack = domain, rack
	if w.node == nil {
		return
	}
	for _, pl := range w.assignments {
		p.updateServiceCounts(pl, -1)
	}
	p.index.MoveNode(w.node, domain, rack)
	for _, pl := range w.assignments {
		p.updateServiceCounts(pl, 1)
	}
}

// removeWorker removes a worker that is no longer in the membership list and runs no tasks.
func (p *partition) removeWorker(w *workerInfo, now time.Time) {
	delete(p.workers, w.id)
	if w.node != nil {
		p.index.RemoveNode(w.node)
	}
	w.stopLoops()
	if w.journaled {
		p.journalBestEffort(record{T: recordGone, At: now, Worker: w.id})
	}
}

// expire removes the ended jobs whose retention is over.
func (p *partition) expire(now time.Time) {
	for len(p.endedJobs) > 0 && now.Sub(p.endedJobs[0].endedAt) > p.cfg.Retention {
		j := p.endedJobs[0]
		p.endedJobs = p.endedJobs[1:]
		p.untrackJob(j)
	}
}

// untrackJob removes a job from the jobs of the partition and of its customer.
func (p *partition) untrackJob(j *job) {
	delete(p.jobs, j.id)
	p.untrackCustomerJob(j)
}
