package delegate

// fenceBits is the size of the second part of a fencing token. With 28 bits, the tokens of 33 million epochs are exact also for a worker
// that reads numbers as floating point.
const fenceBits = 28

// FencingToken returns the token of the calls that an owner's delegates make to a worker. A worker ignores calls with a lower token than
// the highest one that its present incarnation has seen. The fence rises with each assignment of the worker and with each restart of its
// process, so that calls for an earlier incarnation are ignored from the first call on that is meant for the present one.
func FencingToken(epoch, fence int64) int64 {
	return epoch<<fenceBits | min(fence, 1<<fenceBits-1)
}

// A stale call is one that was meant for an earlier incarnation of the worker. It names only the worker's id, so the next incarnation
// carries it out, perhaps seconds later: that one has seen no token, and an absolute deadline on another clock sets any lease up to the
// longest that the worker grants.

// fenceAfter notes that stale calls with tokens up to the given one may still be carried out. Until a call with a higher token is
// answered, no call extends the lease. The caller holds mu.
func (r *leaseRenewer) fenceAfter(token int64) {
	r.staleToken = max(r.staleToken, token)
	r.reopenReady()
}

// noteFence notes an answer to a call with the given token. Stale calls may have set a lease until then. The caller holds mu.
func (r *leaseRenewer) noteFence(token int64) {
	if r.staleToken == 0 {
		return
	}
	r.leaseUntil = max(r.leaseUntil, r.a.deps.Clock()+r.a.cfg.StaleLeaseBound())
	if token > r.staleToken {
		r.staleToken = 0
	}
}

// ownerUnaware reports whether the owner has sent an order before it knew of all restarts that this delegate has seen: the order tells of how
// many it knew. Owners of earlier releases don't tell. The caller holds mu.
func (r *leaseRenewer) ownerUnaware(restarts int) bool {
	return r.fencesClockJumps && restarts < r.restarts
}

// unfenced reports whether stale calls may still be carried out.
func (r *leaseRenewer) unfenced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.staleToken != 0
}
