package job

import (
	"context"
	"time"
)

// The caller of Cancel waits only until the cancellation is journaled. A loop of its own then stops the tasks in small
// chunks, so that a burst of cancellations neither holds p.mu for long nor delays the starts of other jobs.

const (
	maxCancellations = 1024 // cancelled jobs whose tasks are still to be stopped
	cancelChunkTasks = 64   // tasks that the cancellation loop handles before it releases p.mu
)

// cancelByKey journals the cancellation of a job and marks the job as cancelled.
func (p *partition) cancelByKey(ctx context.Context, customer, key string) (Status, error) {
	j, st, err := p.beginCancel(customer, key)
	if j == nil {
		return st, err
	}
	if !p.gate.beginAppend(ctx, p.ctx) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.cancelling--
		return Status{}, refuse(CodeStoreUnavailable, retrySoon, "the journal is being compacted")
	}
	defer p.gate.endAppend()
	err = p.log.Append(ctx, record{T: recordCancel, At: time.Now(), Job: j.id, State: Cancelled}.encode())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancelling--
	if err != nil {
		return Status{}, p.appendRefusal(err, "the cancellation was not journaled", "the cancellation may take effect")
	}
	p.markCancelled(j, Cancelled, "cancelled by the customer")
	p.addToCounter("cancellations", 1)
	return j.status(), nil
}

// beginCancel checks whether a cancellation can be accepted and counts it as being journaled. It returns a nil job if there
// is nothing to cancel or the cancellation is refused.
func (p *partition) beginCancel(customer, key string) (*job, Status, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j := p.acceptedJob(customer, key)
	switch {
	case j == nil:
		return nil, Status{}, refuse(CodeNotFound, 0, "no job with this key")
	case j.ended() || j.cancelled:
		return nil, j.status(), nil
	case len(p.cancels)+p.cancelling >= maxCancellations:
		return nil, Status{}, refuse(CodeQueueFull, retrySoon, "too many cancellations are waiting")
	case !p.log.Healthy():
		return nil, Status{}, refuse(CodeStoreUnavailable, retryStore, "the cancellation cannot be journaled now")
	}
	p.cancelling++
	return j, Status{}, nil
}

// failJob ends a job as failed: the failure is journaled in the background and the cancellation loop stops its tasks.
func (p *partition) failJob(j *job, reason string, now time.Time) {
	if !j.cancelled && !j.ended() {
		p.journalBestEffort(record{T: recordCancel, At: now, Job: j.id, State: Failed, Reason: reason})
		p.markCancelled(j, Failed, reason)
	}
}

// cancelLoop stops the remaining tasks of cancelled and failed jobs, a chunk of tasks at a time.
func (p *partition) cancelLoop() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-p.wakeCancel:
		}
		for p.cancelNextJob() {
		}
	}
}

// cancelNextJob stops the tasks of the first job in cancels. It returns false if there is none.
func (p *partition) cancelNextJob() bool {
	p.mu.Lock()
	if len(p.cancels) == 0 {
		p.mu.Unlock()
		return false
	}
	j := p.cancels[0]
	p.cancels = p.cancels[1:]
	tasks := j.tasks
	p.mu.Unlock()
	for len(tasks) > 0 {
		n := min(cancelChunkTasks, len(tasks))
		p.mu.Lock()
		now := time.Now()
		for _, t := range tasks[:n] {
			switch {
			case t.current != nil:
				p.requestStop(t.current, stopEnd, now)
			case t.state == Pending && !t.maybeRunning && !t.finishing:
				p.endTask(t, j.endState, now)
			}
		}
		p.mu.Unlock()
		tasks = tasks[n:]
	}
	return true
}
