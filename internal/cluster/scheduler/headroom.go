package scheduler

import (
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

const (
	// headroomFactor is the share of the pool that is kept for urgent tasks, as a multiple of the share that they use. It
	// exceeds one because demand fluctuates within seconds, and because free processors are spread over many workers.
	headroomFactor = 2
	// maxHeadroomShare limits the share that is kept for urgent tasks.
	maxHeadroomShare = 0.35
	// headroomDecay is the time constant with which the headroom shrinks after the demand has fallen.
	headroomDecay = 5 * time.Second
	// headroomUpdateInterval is the minimum time between two updates, which visit all workers. Starts between them are counted.
	headroomUpdateInterval = 10 * time.Millisecond
)

// headroom is the share of the pool's processors that is kept for urgent tasks, those whose latency target is shorter than the
// time in which other runs can be stopped for them. It answers a pool that less urgent work would fill: an urgent task would have
// to wait for the end of a run that lasts many times longer than itself. It follows the processors that urgent tasks use, upwards
// at once and downwards slowly.
type headroom struct {
	share     float64
	updatedAt time.Time
	free      int64 // millicores that tasks of other queues may still take in the current plan
}

// update adapts the headroom to the processors that urgent tasks use and to those that are free, out of capacity, all in
// millicores.
func (h *headroom) update(now time.Time, urgent, free, capacity int64) {
	if capacity > 0 {
		wanted := min(headroomFactor*float64(urgent)/float64(capacity), maxHeadroomShare)
		decay := min(float64(now.Sub(h.updatedAt))/float64(headroomDecay), 1)
		h.share = max(wanted, h.share-decay*(h.share-wanted))
	}
	h.updatedAt = now
	h.free = free - max(int64(h.share*float64(capacity))-urgent, 0)
}

// updateHeadroom adapts the headroom to the current use, and counts the quarantined workers.
func (s *Scheduler) updateHeadroom(now time.Time) {
	var urgent, free, capacity int64
	s.capacity = workload.Resources{}
	s.quarantined = 0
	for _, w := range s.sortedWorkers {
		if w.health.quarantined(now) {
			s.quarantined++
		}
		if w.acceptsTasks(now) {
			urgent += w.urgentCPU
			free += max(w.free().CPUMilli, 0)
			capacity += w.info.Capacity.CPUMilli
			s.capacity = s.capacity.Add(w.info.Capacity)
		}
	}
	s.headroom.update(now, urgent, free, capacity)
	s.noteRoom(free, capacity)
}

// urgent reports whether the unit's tasks are urgent in the sense of headroom. Those beyond the share of their team are not.
func (s *Scheduler) urgent(u *unit) bool {
	target := u.job.queue.TargetLatency
	return !u.beyondShare() && target > 0 && target < s.stopLatency.estimate()
}

// leavesHeadroom reports whether a task of the unit may start without using the headroom. Long-running tasks may always; gangs
// are not asked, since they can't take less room than they need.
func (s *Scheduler) leavesHeadroom(u *unit) bool {
	return s.headroom.share == 0 || u.step.LongRunning || s.urgent(u) || s.headroom.free >= u.resources().CPUMilli
}
