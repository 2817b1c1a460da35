package delegate

// ackToSend returns the number up to which the next renewal acknowledges ends, or 0 if it has nothing new to acknowledge. The worker forgets
// the ends with the first renewal that says so. A number that is repeated would do nothing there, but could make the worker's next
// incarnation, which numbers its ends anew, forget other ends.
func (r *leaseRenewer) ackToSend(st renewerState) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ackedIncarnation != st.info.Incarnation || st.lastAckedEnd < r.ackedEnd { // the worker numbers its ends anew
		r.ackedIncarnation, r.ackedEnd = st.info.Incarnation, 0
	}
	if st.unresponsive || st.lastAckedEnd == r.ackedEnd { // a worker that does not answer may have restarted
		return 0
	}
	return st.lastAckedEnd
}

// noteAcked notes that an incarnation has answered a renewal that acknowledged its ends up to a number; 0 acknowledged none.
func (r *leaseRenewer) noteAcked(incarnation, number int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ackedIncarnation == incarnation {
		r.ackedEnd = max(r.ackedEnd, number)
	}
}
