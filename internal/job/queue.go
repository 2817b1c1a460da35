package job

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

const (
	// maxYield bounds how long a task lets shorter tasks that were queued later go first.
	maxYield = 5 * time.Minute
	// longRun is the declared run time from which batch tasks, like bulk tasks, leave a reserve of the pool free, so that short
	// tasks can still be placed when long ones fill the pool.
	longRun = 10 * time.Minute
	// tasksPerTurn is how many tasks of one group are placed before the next group's turn.
	tasksPerTurn = 16
)

// groupKey identifies tasks that are interchangeable for the scheduler: if one does not fit, no other task of the group does.
// A group that does not fit therefore costs one placement attempt per round and does not block other groups.
type groupKey struct {
	class       int
	customer    string
	size        Resources
	keepReserve bool // must leave the reserve of the pool free
	idempotent  bool
	distinctID  string // job ID of gangs and services, task ID of tasks that avoid workers; other jobs and tasks are not in their groups
}

// group is a FIFO queue of interchangeable tasks.
type group struct {
	key   groupKey
	items []item
	head  int // index of the first item; those before it were removed
}

// item is a queued task, or a whole gang if task is nil. It is void if the task or gang has a newer ticket.
type item struct {
	job      *job
	task     *task
	ticket   int64
	due      time.Time // sort key within a class: time of queueing plus the declared run time, of which at most maxYield counts
	queuedAt time.Time
}

// valid reports whether the item still stands for a task or gang that waits.
func (it item) valid() bool {
	if it.job.ended() || it.job.cancelled {
		return false
	}
	if it.task == nil {
		return it.job.ticket == it.ticket
	}
	return it.task.ticket == it.ticket && it.task.current == nil && it.task.state == Pending && !it.task.maybeRunning
}

// queue holds the tasks that wait to be placed on a worker. It is not safe for concurrent use.
type queue struct {
	groups  map[groupKey]*group
	delayed delayed // items that wait for the end of a backoff delay
}

func newQueue() *queue { return &queue{groups: map[groupKey]*group{}} }

// classRank returns the scheduling order of a class; lower ranks are placed first.
func classRank(c Class) int {
	switch c {
	case Urgent:
		return 0
	case Bulk:
		return 2
	default:
		return 1
	}
}

// keepReserve reports whether the tasks of a job must leave the reserve of the pool free.
func keepReserve(s Spec) bool {
	return s.Class == Bulk || s.Kind == Batch && s.Class != Urgent && s.RunMS >= longRun.Milliseconds()
}

// dueTime returns the sort key of a task that is queued at since; see item.due.
func dueTime(s Spec, since time.Time) time.Time {
	return since.Add(min(time.Duration(s.RunMS)*time.Millisecond, maxYield))
}

// groupKeyOf returns the key of the group in which an item is queued.
func groupKeyOf(it item) groupKey {
	s := it.job.spec
	k := groupKey{
		class: classRank(s.Class), customer: s.Customer, size: s.Resources, keepReserve: keepReserve(s), idempotent: s.Idempotent,
	}
	switch {
	case s.Kind != Batch:
		k.distinctID = it.job.id
	case len(it.task.failedOn) > 0:
		k.distinctID = it.task.id
	}
	if it.task != nil {
		k.size = it.task.size
	} else {
		k.size = it.job.tasks[0].size
	}
	return k
}

// add queues an item, which is not placed before notBefore.
func (q *queue) add(it item, now, notBefore time.Time) {
	if notBefore.After(now) {
		heap.Push(&q.delayed, delayedItem{at: notBefore, item: it})
		return
	}
	k := groupKeyOf(it)
	g := q.groups[k]
	if g == nil {
		g = &group{key: k}
		q.groups[k] = g
	}
	g.items = append(g.items, it)
}

// releaseDelayed moves delayed items whose delay is over to their groups.
func (q *queue) releaseDelayed(now time.Time) {
	for len(q.delayed) > 0 && !q.delayed[0].at.After(now) {
		it := heap.Pop(&q.delayed).(delayedItem).item
		if it.valid() {
			q.add(it, now, now)
		}
	}
}

// front removes void items and returns the first valid one without removing it.
func (g *group) front() (item, bool) {
	for ; g.head < len(g.items); g.head++ {
		if it := g.items[g.head]; it.valid() {
			return it, true
		}
		g.items[g.head] = item{}
	}
	return item{}, false
}

// pop removes the first item. It frees the space of removed items when they are at least 1024 and half of the slice.
func (g *group) pop() {
	g.items[g.head] = item{}
	if g.head++; g.head >= 1024 && g.head*2 >= len(g.items) {
		g.items = append([]item(nil), g.items[g.head:]...)
		g.head = 0
	}
}

// sortedGroups returns the groups in scheduling order: by class, then by the due time of their first item.
func (q *queue) sortedGroups() []*group {
	out := make([]*group, 0, len(q.groups))
	for k, g := range q.groups {
		if _, ok := g.front(); !ok {
			delete(q.groups, k)
			continue
		}
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b *group) int {
		x, y := a.items[a.head], b.items[b.head]
		return cmp.Or(cmp.Compare(a.key.class, b.key.class), x.due.Compare(y.due), cmp.Compare(x.job.id, y.job.id))
	})
	return out
}

// waiting returns the number of queued items, including void ones that were not removed yet.
func (q *queue) waiting() int {
	n := len(q.delayed)
	for _, g := range q.groups {
		n += len(g.items) - g.head
	}
	return n
}

// delayedItem is an item that is not placed before at.
type delayedItem struct {
	at   time.Time
	item item
}

// delayed is a heap of items with the earliest first.
type delayed []delayedItem

func (d delayed) Len() int           { return len(d) }
func (d delayed) Less(i, j int) bool { return d[i].at.Before(d[j].at) }
func (d delayed) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *delayed) Push(x any) { *d = append(*d, x.(delayedItem)) }

// Pop implements heap.Interface.
func (d *delayed) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}
