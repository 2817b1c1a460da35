package delegate

import "time"

// maxClockLag is how far the worker's clock in the answer to a start may lag behind the one that the deadline was computed with. A reading
// that is as old as maxClockAge lags by 0.1 s on a clock that is 2 % slow.
const maxClockLag = 150 * time.Millisecond

// checkClock checks the answer to a start with the given deadline, which arrived at answeredAt. An answer does not name the worker's
// incarnation, but the clock of the next one began anew, so the same deadline may set a lease there up to the longest that the worker
// grants. checkClock returns when the lease has ended at the latest, and whether the answer is from another clock. In that case no call
// extends the lease until the next report names the incarnation.
func (r *leaseRenewer) checkClock(deadline, clockMS int64, answeredAt time.Duration) (leaseUntil time.Duration, otherClock bool) {
	left := time.Duration(deadline-clockMS) * time.Millisecond
	if clockMS == 0 || left <= r.a.cfg.Lease+maxClockLag {
		return 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unresponsive, r.otherClock = true, true
	r.silences++
	r.leaseUntil = max(r.leaseUntil, answeredAt+r.a.cfg.StaleLeaseBound())
	return r.leaseUntil, true
}

// noteUnanswered notes that a call with the given deadline got no answer until failedAt. After an answer from another clock it may have set
// the lease on that clock, too. It returns when the lease has ended at the latest, or 0 if the call changes nothing about that.
func (r *leaseRenewer) noteUnanswered(deadline int64, failedAt time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.otherClock || deadline == 0 {
		return 0
	}
	r.leaseUntil = max(r.leaseUntil, failedAt+r.a.cfg.StaleLeaseBound())
	return r.leaseUntil
}
