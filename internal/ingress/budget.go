package ingress

// Reason is why a client was refused or its connection closed. The texts are values of the label reason of the metric.
type Reason int

// Reasons.
const (
	admitted            Reason = iota
	noRoom                     // the budget of the process or of the listener is used up
	largeShareUsed             // large bodies use all that they may
	addressShareUsed           // large bodies of the client's address use all that they may
	connectionShareUsed        // the body is larger than the share of its connection
	headersTooLong             // there is no room for a long header
	bodyStalled
	bodyTooSlow
	bodyPastDeadline
	answerNotRead
	closedUnused  // a connection without a complete request, closed for a new one
	closedStalled // a connection whose client makes no progress, closed for a new one
	closedIdle    // the connection that was idle for the longest time, closed for a new one
	noConnection  // a new connection, since all others are in use
	decodingBusy  // no room to decode came free in time
	routeBusy     // too many requests of operators' routes at once
	reasonCount
)

var reasonNames = [reasonCount]string{"", "no_room", "large_bodies", "address", "connection", "headers", "body_stalled", "body_slow",
	"body_deadline", "answer_not_read", "connection_unused", "connection_stalled", "connection_idle", "no_connection", "decoding", "route_busy"}

func (r Reason) String() string { return reasonNames[r] }

// Shares of the budget in eighths. Small bodies may use all of their listener's share; the rest of the budget is kept for other listeners.
// The share of an address applies to large bodies only, since all callers may come from the address of a load balancer.
const (
	eighths = 8

	largeEighths          = 5
	addressEighths        = 4
	callerBodyEighths     = 2 // of one connection
	peerBodyEighths       = 4 // of one connection
	readinessEighths      = 1
	otherListenersEighths = 6
)

// client is whose bytes an account holds.
type client struct {
	listener Listener
	address  string
}

// account is what one connection holds of the budget.
type account struct {
	client
	bytes int64
	large int64 // equals bytes once they are more than smallBody
}

// budget is the budget of all bodies of a process. It is not safe for concurrent use.
type budget struct {
	total     int64
	used      int64
	listeners [listenerCount]int64
	large     [listenerCount]int64
	addresses map[client]int64 // bytes of large bodies
}

func newBudget(total int64) *budget { return &budget{total: total, addresses: map[client]int64{}} }

// share returns a part of the budget in bytes.
func (b *budget) share(parts int64) int64 { return b.total * parts / eighths }

func (b *budget) listenerShare(l Listener) int64 {
	if l == Readiness {
		return b.share(readinessEighths)
	}
	return b.share(otherListenersEighths)
}

// connectionShare returns how much one connection may hold.
func (b *budget) connectionShare(l Listener) int64 {
	switch l {
	case Peers:
		return b.share(peerBodyEighths)
	case Readiness:
		return smallBody
	}
	return b.share(callerBodyEighths)
}

// reserve adds n bytes to the account, or returns why there is no room for them.
func (b *budget) reserve(a *account, n int64) Reason {
	bytes := a.bytes + n
	large := int64(0)
	if bytes > smallBody {
		large = bytes
	}
	if r := b.refusal(a, n, large); r != admitted {
		return r
	}
	b.book(a, bytes, large)
	return admitted
}

func (b *budget) refusal(a *account, n, large int64) Reason {
	l := a.listener
	switch {
	case a.bytes+n > b.connectionShare(l):
		return connectionShareUsed
	case b.used+n > b.total, b.listeners[l]+n > b.listenerShare(l):
		return noRoom
	case large == 0:
		return admitted
	case b.large[l]+large-a.large > b.share(largeEighths):
		return largeShareUsed
	case b.addresses[a.client]+large-a.large > b.share(addressEighths):
		return addressShareUsed
	}
	return admitted
}

// release takes all bytes out of the account.
func (b *budget) release(a *account) { b.book(a, 0, 0) }

// book sets what the account holds.
func (b *budget) book(a *account, bytes, large int64) {
	b.used += bytes - a.bytes
	b.listeners[a.listener] += bytes - a.bytes
	if large != a.large {
		b.large[a.listener] += large - a.large
		b.addresses[a.client] += large - a.large
		if b.addresses[a.client] == 0 {
			delete(b.addresses, a.client)
		}
	}
	a.bytes, a.large = bytes, large
}
