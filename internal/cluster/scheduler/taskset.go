package scheduler

import (
	"iter"
	"math/bits"
	"time"
)

// taskBlockSize is the number of tasks that a block of a taskSet covers, one for each bit of taskBlock.done.
const taskBlockSize = 64

// taskSet holds the tasks of a unit. A job may have 100,000 tasks, of which few run at a time, so a task takes memory only while its
// state is of use: one that has never been placed takes none, and one that is done and has no run takes a bit.
type taskSet struct {
	unit   *unit
	count  int
	blocks []taskBlock // nil until a task is kept or done
	// allDone means that all tasks are done and none has state; see completedOccurrence.
	allDone bool
}

// taskBlock holds consecutive tasks of a taskSet.
type taskBlock struct {
	done  uint64  // the bits of the tasks that are done
	tasks []*task // nil for tasks without state, and nil as a whole if kept is 0
	kept  int     // tasks with state
}

// block returns the block of a task and the position of the task in it.
func (s *taskSet) block(index int) (*taskBlock, int) {
	if s.blocks == nil {
		s.blocks = make([]taskBlock, (s.count+taskBlockSize-1)/taskBlockSize)
	}
	return &s.blocks[index/taskBlockSize], index % taskBlockSize
}

// peek returns a task to read. Unless the set keeps the state of the task, it returns a new value, and changes of it have no effect.
func (s *taskSet) peek(index int) *task {
	t, done := s.state(index)
	if t == nil {
		t = &task{unit: s.unit, index: index, done: done}
	}
	return t
}

// state returns a task if its state is kept, and otherwise whether the task is done.
func (s *taskSet) state(index int) (*task, bool) {
	if s.blocks == nil {
		return nil, s.allDone
	}
	b, i := s.block(index)
	if b.kept > 0 && b.tasks[i] != nil {
		return b.tasks[i], b.tasks[i].done
	}
	return nil, b.done&(1<<i) != 0
}

// get returns a task to change. The set keeps its state, unless it is done and has no run: nothing changes for such a task.
func (s *taskSet) get(index int) *task {
	t := s.peek(index)
	if !t.done {
		s.keep(t)
	}
	return t
}

// keep keeps the state of a task that peek has returned.
func (s *taskSet) keep(t *task) {
	b, i := s.block(t.index)
	if b.kept == 0 {
		b.tasks = make([]*task, min(taskBlockSize, s.count-t.index+i))
	}
	if b.tasks[i] == nil {
		b.tasks[i] = t
		b.kept++
	}
}

// release frees the state of a task that is done and has no run.
func (s *taskSet) release(t *task) {
	if !t.done || t.placement != nil {
		return
	}
	b, i := s.block(t.index)
	b.done |= 1 << i
	if b.kept == 0 || b.tasks[i] == nil {
		return
	}
	b.tasks[i] = nil
	if b.kept--; b.kept == 0 {
		b.tasks = nil
	}
}

// all returns all tasks to read, in order; see peek.
func (s *taskSet) all() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for index := range s.count {
			if !yield(s.peek(index)) {
				return
			}
		}
	}
}

// kept returns the tasks whose state is kept, in order. They include all that have a run.
func (s *taskSet) kept() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for n := range s.blocks {
			if s.blocks[n].kept == 0 {
				continue
			}
			for _, t := range s.blocks[n].tasks {
				if t != nil && !yield(t) {
					return
				}
			}
		}
	}
}

// waiting returns the tasks that wait to be placed on a worker, in order, to read or to start; see peek.
func (s *taskSet) waiting(now time.Time) iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for index := 0; index < s.count; index++ {
			if s.blocks != nil {
				b, i := s.block(index)
				if skip := bits.TrailingZeros64(^(b.done >> i)); skip > 0 { // a run of done tasks
					index += min(skip, taskBlockSize-i) - 1
					continue
				}
			}
			if t := s.peek(index); t.waits(now) && !yield(t) {
				return
			}
		}
	}
}

// countWaiting returns the number of tasks that waiting returns.
func (s *taskSet) countWaiting(now time.Time) int {
	n := s.unit.tasksLeft
	for t := range s.kept() {
		if !t.done && !t.waits(now) {
			n--
		}
	}
	return n
}

// waits reports whether the task waits to be placed on a worker.
func (t *task) waits(now time.Time) bool {
	return !t.done && t.placement == nil && !now.Before(t.notBefore)
}

// representedBy returns the tasks that are done once the task is: all members of its gang, or only itself.
func (t *task) representedBy() iter.Seq[*task] {
	if t.unit.step.Gang {
		return t.unit.tasks.all()
	}
	return func(yield func(*task) bool) { yield(t) }
}

// removePlacement takes the run off the task.
func (t *task) removePlacement() {
	t.placement = nil
	t.unit.tasks.release(t)
	t.unit.occurrence.releaseUnits()
}
