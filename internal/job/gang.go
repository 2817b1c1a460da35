package job

import (
	"time"

	"github.com/greengagewing/greengagewing/internal/wait"
)

// Gang scheduling: all tasks of a gang start together or none does. If one start fails, the start of the gang is undone: the
// other tasks are stopped, and once none of them is assigned to a worker the gang is queued again after a backoff delay.

const (
	gangConfirmTimeout = 10 * time.Second // within which all starts of a gang must be confirmed
	gangRetryMin       = 5 * time.Second
	gangRetryMax       = time.Minute
)

// gangState is the progress of starting a gang.
type gangState struct {
	confirmBy time.Time // deadline for confirming all starts; zero unless a start is in progress
	undoing   bool
	retries   int // undone starts since the last complete one
}

// undoGang stops the other tasks of a gang after one of its tasks did not start or was lost.
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

// requeueUndoneGang queues an undone gang again once none of its tasks is assigned to a worker.
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
			j.gang.undoing = true // wait for its result, or for the partition to settle after a takeover
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

// endStartIfConfirmed ends the start of a gang once all its tasks run.
func (j *job) endStartIfConfirmed() {
	if j.gang.confirmBy.IsZero() || j.counts[Starting] > 0 || j.counts[Pending] > 0 {
		return
	}
	j.gang.confirmBy, j.gang.retries = time.Time{}, 0
}
