package lanes

// quantum is the credit that a customer gets per round, in units of the lane's median run time. An item costs at most
// maxCost, so a customer waits at most maxCost rounds for its turn.
const quantum = 1.0

// lane holds the waiting items of one lane, by customer.
type lane[T any] struct {
	flows   map[string]*flow[T]
	current *flow[T] // next customer in the ring of those with ready items
	waiting int
	ready   int
}

// flow holds the waiting items of one customer in one lane. Its list has the ready items in order of arrival.
type flow[T any] struct {
	customer          string
	head, tail        *Ticket[T]
	waiting           int
	deficit           float64
	creditedThisRound bool // has received its quantum in the current round
	prev, next        *flow[T]
}

func newLane[T any]() *lane[T] { return &lane[T]{flows: map[string]*flow[T]{}} }

// waitingFor returns the number of the customer's waiting items.
func (l *lane[T]) waitingFor(customer string) int {
	if f := l.flows[customer]; f != nil {
		return f.waiting
	}
	return 0
}

// itemsAhead returns how many items are served before a new item of the customer: all waiting items, but no more than a
// fair round robin lets pass.
func (l *lane[T]) itemsAhead(customer string) int {
	own := l.waitingFor(customer)
	others := len(l.flows)
	if own > 0 {
		others--
	}
	return min(l.waiting, own+(own+1)*others)
}

// addWaiting counts one more waiting item of the customer and returns the customer's flow.
func (l *lane[T]) addWaiting(customer string) *flow[T] {
	f := l.flows[customer]
	if f == nil {
		f = &flow[T]{customer: customer}
		l.flows[customer] = f
	}
	f.waiting++
	l.waiting++
	return f
}

// removeWaiting counts one waiting item less and deletes the flow when it has no more.
func (l *lane[T]) removeWaiting(f *flow[T]) {
	l.waiting--
	f.waiting--
	if f.waiting == 0 {
		delete(l.flows, f.customer)
	}
}

// insert adds an item to its customer's list of ready items, which is ordered by arrival.
func (l *lane[T]) insert(t *Ticket[T]) {
	f := t.flow
	if f.head == nil {
		l.activate(f)
	}
	after := f.tail
	for after != nil && after.seq > t.seq {
		after = after.prev
	}
	t.prev = after
	if after == nil {
		t.next, f.head = f.head, t
	} else {
		t.next, after.next = after.next, t
	}
	if t.next == nil {
		f.tail = t
	} else {
		t.next.prev = t
	}
	l.ready++
}

// remove takes an item out of its customer's list of ready items.
func (l *lane[T]) remove(t *Ticket[T]) {
	f := t.flow
	if t.prev == nil {
		f.head = t.next
	} else {
		t.prev.next = t.next
	}
	if t.next == nil {
		f.tail = t.prev
	} else {
		t.next.prev = t.prev
	}
	t.prev, t.next = nil, nil
	l.ready--
	if f.head == nil {
		l.deactivate(f)
	}
}

// activate adds a customer at the end of the round robin.
func (l *lane[T]) activate(f *flow[T]) {
	f.deficit, f.creditedThisRound = 0, false
	if l.current == nil {
		f.prev, f.next = f, f
		l.current = f
		return
	}
	f.next, f.prev = l.current, l.current.prev
	f.prev.next, f.next.prev = f, f
}

// deactivate removes a customer from the round robin.
func (l *lane[T]) deactivate(f *flow[T]) {
	if f.next == f {
		l.current = nil
	} else {
		f.prev.next, f.next.prev = f.next, f.prev
		if l.current == f {
			l.current = f.next
		}
	}
	f.prev, f.next = nil, nil
}

// pop removes and returns the next ready item by deficit round robin. The lane must have a ready item.
func (l *lane[T]) pop() *Ticket[T] {
	for {
		f := l.current
		if !f.creditedThisRound {
			f.deficit += quantum
			f.creditedThisRound = true
		}
		if t := f.head; f.deficit >= t.cost {
			f.deficit -= t.cost
			l.remove(t)
			return t
		}
		f.creditedThisRound = false
		l.current = f.next
	}
}
