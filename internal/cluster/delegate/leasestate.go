package delegate

import (
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/wait"
)

// maxExcusedMisses is the number of consecutive renewals whose missing answer is excused by a pause of this process. A process
// that is often short of processor time must still notice a silent worker.
const maxExcusedMisses = 5

// updateAssignment takes over a changed description of the worker. If the worker has restarted, its clock and the
// acknowledgements of its earlier incarnation are dropped. Of a description of an earlier incarnation than the one that has
// answered, only the generation is taken over.
func (r *leaseRenewer) updateAssignment(as Assignment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer wait.Signal(r.ownerActed)
	r.token = max(r.token, as.FencingToken)
	r.fencesClockJumps = as.FencesClockJumps
	if r.replaced.Contains(as.Worker.Incarnation) {
		r.generation = as.Generation
		return
	}
	if as.Worker.Incarnation != r.info.Incarnation {
		r.clock = workerClock{}
		r.durableEnd = 0
		r.namedAt = r.a.deps.Clock()
	}
	if as.MayGetStaleCalls {
		r.fenceAfter(as.FencingToken - 1)
	}
	r.info, r.generation = as.Worker, as.Generation
	if !r.ownerUnaware(as.Restarts) {
		r.durableEnd = max(r.durableEnd, as.LastAckedEnd)
	}
}

// acknowledge notes which ends the worker may forget, unless they belong to another incarnation: each numbers its ends anew.
func (r *leaseRenewer) acknowledge(a Ack) {
	r.mu.Lock()
	if a.Incarnation == r.info.Incarnation && !r.ownerUnaware(a.Restarts) {
		r.durableEnd = max(r.durableEnd, a.LastAckedEnd)
	}
	r.mu.Unlock()
	wait.Signal(r.acks)
}

// leaseDeadline returns the end of the lease for a call that is sent now, on the worker's clock in milliseconds, and the time
// on the agent's clock at which all tasks there have certainly expired. Both are 0 if the worker's clock has not been read
// within maxClockAge, the worker does not answer, the owner has not applied a report since it last did not answer, or stale calls may
// still be carried out there.
func (r *leaseRenewer) leaseDeadline(now time.Duration) (int64, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.clock.known || now-r.clock.readAt > maxClockAge || r.unresponsive || r.unconfirmed || r.staleToken != 0 {
		return 0, 0
	}
	leaseUntil := now + r.a.cfg.LeaseBound()
	r.leaseUntil = max(r.leaseUntil, leaseUntil)
	deadline := r.clock.ms + (now - r.clock.readAt + r.a.cfg.Lease).Milliseconds()
	r.maxDeadline = deadline
	return deadline, leaseUntil
}

// deadline returns the latest deadline that a call has carried, on the clock of the incarnation that it was meant for.
func (r *leaseRenewer) deadline() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.maxDeadline
}

// recordAnswer takes over what an answer says about the worker. It returns a function to call once the owner has applied the
// report. One renewal is sent after the other, so another incarnation than the one that answered before is a later one. Only an answer
// to a renewal that was in progress when the owner named another incarnation may be of an earlier one: then the result is nil.
func (r *leaseRenewer) recordAnswer(a RenewalAnswer) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.Incarnation != r.info.Incarnation {
		if a.sentAt <= r.namedAt {
			return nil
		}
		r.replaced.Replace(r.info.Incarnation, a.Incarnation)
		r.info.Incarnation = a.Incarnation
		r.noteRestart(true)
	} else if a.clockJumped {
		r.noteRestart(r.fencesClockJumps)
	}
	r.noteFence(a.token)
	if r.unresponsive {
		r.unresponsive, r.unconfirmed = false, true
		r.reopenReady()
	}
	r.excused, r.otherClock = 0, false
	r.clock = workerClock{known: true, ms: a.ClockMS, askedAt: a.sentAt, readAt: r.a.deps.Clock()}
	r.updateReady()
	silences := r.silences
	return func() { r.confirm(silences) }
}

// noteRestart notes that another incarnation answers: it numbers its ended runs anew, and earlier orders do not apply to it. The caller
// holds mu.
func (r *leaseRenewer) noteRestart(ownerFences bool) {
	r.restarts++
	r.durableEnd, r.ackedEnd = 0, 0
	r.leaseUntil = max(r.leaseUntil, r.a.deps.Clock()+r.a.cfg.StaleLeaseBound())
	if ownerFences && r.token != r.a.epoch { // an owner of an earlier release never raises it
		r.fenceAfter(r.token)
	}
}

// reopenReady replaces ready after it was closed. The caller holds mu.
func (r *leaseRenewer) reopenReady() {
	if r.readyClosed {
		r.ready, r.readyClosed = make(chan struct{}), false
	}
}

// updateReady closes ready if calls may extend the lease. The caller holds mu.
func (r *leaseRenewer) updateReady() {
	if !r.readyClosed && !r.unconfirmed && r.staleToken == 0 {
		close(r.ready)
		r.readyClosed = true
	}
}

// confirm notes that the owner has applied a report that the worker sent after this number of silences.
func (r *leaseRenewer) confirm(silences int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unconfirmed && silences == r.silences {
		r.unconfirmed = false
		r.updateReady()
		wait.Signal(r.ownerActed)
	}
}

// recordFailure notes a renewal without an answer, which a pause of this process may explain (excusable). It returns when all
// tasks have expired unless a later call extends the lease, which covers starts whose outcome is not known yet, and whether the
// failure is excused, so that later calls may extend the lease.
func (r *leaseRenewer) recordFailure(excusable bool) (leaseUntil time.Duration, excused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	excused = excusable && r.excused < maxExcusedMisses
	if excused {
		r.excused++
	} else {
		r.unresponsive = true
		r.silences++
	}
	return r.leaseUntil, excused
}

// lastClock returns the last reading of the worker's clock.
func (r *leaseRenewer) lastClock() workerClock {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock
}

// lastLeaseEnd returns when all tasks have certainly expired without another call, or 0 if no call has extended the lease.
func (r *leaseRenewer) lastLeaseEnd() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaseUntil
}

// knownRestarts returns how many restarts of the worker this delegate has seen or suspected.
func (r *leaseRenewer) knownRestarts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.restarts
}

// readySignal returns a channel that is closed once a call may extend the lease, unless the worker stops answering.
func (r *leaseRenewer) readySignal() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready
}

// renewerState is the state of a leaseRenewer that calls to the worker need.
type renewerState struct {
	info         scheduler.WorkerInfo
	generation   int64
	lastAckedEnd int64
	token        int64
	unresponsive bool
}

func (r *leaseRenewer) state() renewerState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return renewerState{r.info, r.generation, r.durableEnd, r.token, r.unresponsive}
}
