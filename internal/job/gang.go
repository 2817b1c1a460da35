package job

import (
	"time"

	"github.com/greengagewing/greengagewing/internal/wait"
)

// All tasks of a gang start together. If one start fails, the gang is undone: its other tasks are stopped, and it is
// queued again after a delay when nothing of it is on the books.

const (
	gangConfirmTimeout = 10 * time.Second // for all starts of a gang
	gangRetryMin       = 5 * time.Second
	gangRetryMax       = time.Minute
)

// gangState is the progress of a gang's current start.
type gangState struct {
	confirmBy time.Time // zero unless a start is under way
	undoing   bool
	retries   int
}

// undoGang is called when a task of a gang waits again: the rest of the gang is undone.
func (p *partition) undoGang(j *job, now time.Time) {
	if !j.gang.undoing {
		j.gang.undoing = true
		for _, t := range j.tasks {
			if t.current != nil {
				p.requestStop(t.current, stopUndoGang, now)
			}
		}
	}
	p.requeueUndoneGang(j, now)
}

// requeueUndoneGang queues an undone gang again once nothing of it is on the books.
func (p *partition) requeueUndoneGang(j *job, now time.Time) {
	if j.spec.Kind != Gang || !j.gang.undoing || j.assignments > 0 || j.ended() {
		return
	}
	j.gang.undoing, j.gang.confirmBy = false, time.Time{}
	if j.cancelled {
		return
	}
	for _, t := range j.tasks {
		if t.finishing || t.maybeRunning {
			j.gang.undoing = true // its result, or the end of the wait after a takeover, comes first
			return
		}
	}
	delay := wait.Backoff(gangRetryMin, gangRetryMax, j.gang.retries)
	j.gang.retries++
	p.addToCounter("gangs_undone", 1)
	if j.open() > 0 {
		p.enqueueGang(j, now, now.Add(delay))
	}
}

// endStartIfConfirmed ends the start phase of a gang once all its tasks run.
func (j *job) endStartIfConfirmed() {
	if j.gang.confirmBy.IsZero() || j.counts[Starting] > 0 || j.counts[Pending] > 0 {
		return
	}
	j.gang.confirmBy, j.gang.retries = time.Time{}, 0
}
