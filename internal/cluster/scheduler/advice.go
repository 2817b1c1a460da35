package scheduler

import (
	"container/heap"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// AdviceRequest asks the policy service which workers may run a step.
type AdviceRequest struct {
	Step    workload.StepID
	Queue   string
	Workers []string
	Cost    time.Duration // how long the service takes
}

// Approval is one worker that may run a step.
type Approval struct {
	Worker string `json:"Worker"`
	Ticket string `json:"Ticket"`
}

// AdviceResult is the answer to an AdviceRequest. A failed one has no approvals and names no workers.
type AdviceResult struct {
	Step     workload.StepID
	Asked    []string
	Approved []Approval
	Validity time.Duration // left of the tickets
	Failed   bool
}

const (
	// ticketMargin is left of a ticket's validity when a start is ordered with it, for the way to the worker.
	ticketMargin = 200 * time.Millisecond
	// maxAskedWorkers is the most that one call may name.
	maxAskedWorkers = 100
	// askFactor is how many more places are asked for than a step has tasks: others may take some meanwhile.
	askFactor = 1.6
	// gangAskFactor is the same for gangs. One that is short of a single place can't start at all, and by the second answer
	// the tickets of the first have almost lapsed; a call costs as much as naming 70 more workers.
	gangAskFactor = 3
	// minAskedWorkers keeps small steps from asking twice.
	minAskedWorkers = 5
	// defaultApprovalRate is the share of approved workers that is assumed before a queue's first answer.
	defaultApprovalRate = 0.4
	// adviceRetryDelay is the delay after a call that failed.
	adviceRetryDelay = 100 * time.Millisecond
	// adviceTimeout frees a step whose question was never answered.
	adviceTimeout = 5 * time.Second
)

// approvalCount counts the workers of a queue's questions.
type approvalCount struct{ asked, approved float64 }

func (s *Scheduler) approvalRate(queue string) float64 {
	r := s.approvalCounts[queue]
	if r == nil || r.asked < 10 {
		return defaultApprovalRate
	}
	return max(r.approved/r.asked, 0.05)
}

// AdviceDone applies the answer of the policy service.
func (s *Scheduler) AdviceDone(now time.Time, r AdviceResult) {
	j := s.jobs[r.Step.Job]
	if j == nil || r.Step.Occurrence >= len(j.occurrences) || j.occurrences[r.Step.Occurrence] == nil {
		return
	}
	u := j.occurrences[r.Step.Occurrence].units[r.Step.Step]
	u.adviceInFlight = false
	u.clearExpectedDemand()
	if j.state.Final() {
		return
	}
	s.changedUnits[u] = struct{}{}
	if r.Failed {
		u.notBefore = now.Add(adviceRetryDelay)
		return
	}
	if u.tickets == nil {
		u.tickets, u.denied = map[string]ticket{}, map[string]struct{}{}
	}
	for _, id := range r.Asked {
		u.denied[id] = struct{}{}
	}
	for _, a := range r.Approved {
		delete(u.denied, a.Worker)
		u.tickets[a.Worker] = ticket{a.Ticket, now.Add(r.Validity - ticketMargin)}
	}
	s.countApprovals(j.spec.Queue.Name, len(r.Asked), len(r.Approved))
}

func (s *Scheduler) countApprovals(queue string, asked, approved int) {
	r := s.approvalCounts[queue]
	if r == nil {
		r = &approvalCount{}
		s.approvalCounts[queue] = r
	}
	r.asked += float64(asked)
	r.approved += float64(approved)
}

// needsAdvice reports whether a unit lacks valid tickets for the tasks that wait.
func (u *unit) needsAdvice(now time.Time) bool {
	if u.adviceInFlight && now.Sub(u.askedAt) < adviceTimeout {
		return false
	}
	return u.job.queue.Advice != nil && !now.Before(u.notBefore)
}

// NextQuestion returns the question of the most urgent unit whose tasks found no place, or false if none needs to be
// asked. Long ones are passed over unless they are allowed. The workers are chosen only here: a list that is made when the
// unit begins to wait names workers that others have filled when a host is free to ask.
func (s *Scheduler) NextQuestion(now time.Time, long bool) (AdviceRequest, bool) {
	for {
		c, ok := s.adviceQueue.next(long)
		if !ok {
			return AdviceRequest{}, false
		}
		if r, ok := s.buildRequest(c, now); ok {
			return r, true
		}
	}
}

// hasTicket reports whether a ticket of the unit is valid. Whether its tickets suffice shows when tasks can be placed.
func (u *unit) hasTicket(now time.Time) bool {
	for _, t := range u.tickets {
		if t.expires.After(now) {
			return true
		}
	}
	return false
}

// buildRequest builds the question for a unit whose tasks found no place, or returns false if asking can't help now.
func (s *Scheduler) buildRequest(c candidate, now time.Time) (AdviceRequest, bool) {
	u := c.unit
	if _, open := s.open[u]; !open || !u.needsAdvice(now) {
		return AdviceRequest{}, false
	}
	waiting := len(u.pending(now))
	if waiting == 0 {
		return AdviceRequest{}, false
	}
	advice := u.job.queue.Advice
	workers := s.workersToAsk(c, waiting, now)
	if len(workers) == 0 {
		return AdviceRequest{}, false
	}
	u.adviceInFlight, u.askedAt = true, now
	u.setExpectedDemand(workers, waiting)
	return AdviceRequest{
		Step: u.id(), Queue: u.job.spec.Queue.Name, Workers: workerIDs(workers), Cost: advice.Cost(len(workers)),
	}, true
}

type askCandidate struct {
	worker        *worker
	expectedTasks float64 // tasks that are expected to be approved and find room there
	position      int     // among candidates of the same fit
}

// askHeap gives the best candidates first. A question names a few of hundreds of workers, so they are not sorted. It
// implements heap.Interface.
type askHeap []askCandidate

func (h askHeap) Len() int { return len(h) }

func (h askHeap) Less(i, j int) bool {
	if h[i].expectedTasks != h[j].expectedTasks {
		return h[i].expectedTasks > h[j].expectedTasks
	}
	return h[i].position < h[j].position
}

func (h askHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *askHeap) Push(x any) { *h = append(*h, x.(askCandidate)) }

// Pop implements heap.Interface.
func (h *askHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// targetTasks is the expected number of places that a question should bring for tasks that wait.
func (u *unit) targetTasks(waiting int) float64 {
	if u.step.Gang {
		return gangAskFactor * float64(waiting)
	}
	return askFactor * float64(waiting)
}

// workersToAsk chooses the workers to ask for: those whose approval is known and those with most room, until the expected
// number of places exceeds the number of waiting tasks by enough. There are none if asking would be in vain: for a gang that
// will not find places for all of its members, and for a late unit that will find none at all.
func (s *Scheduler) workersToAsk(c candidate, waiting int, now time.Time) []*worker {
	u := c.unit
	candidates, expectedTotal := s.askCandidates(u, now)
	if u.step.Gang && expectedTotal < float64(waiting) || c.late && expectedTotal < s.approvalRate(u.job.spec.Queue.Name) {
		return nil
	}
	var workers []*worker
	expected := 0.0
	heap.Init(&candidates)
	for len(candidates) > 0 && len(workers) < maxAskedWorkers && (len(workers) < minAskedWorkers || expected < u.targetTasks(waiting)) {
		a := heap.Pop(&candidates).(askCandidate)
		workers = append(workers, a.worker)
		expected += a.expectedTasks
	}
	return workers
}

// askCandidates returns the workers that a question may name, and the tasks that are expected to be approved and find room
// on them and on those with a valid ticket.
func (s *Scheduler) askCandidates(u *unit, now time.Time) (askHeap, float64) {
	size := u.resources()
	share := s.approvalRate(u.job.spec.Queue.Name)
	answeredAt := now.Add(u.job.queue.Advice.Cost(maxAskedWorkers / 2))
	candidates := s.askBuffer[:0]
	expectedTotal := 0.0
	for _, w := range s.sortedWorkers {
		if _, denied := u.denied[w.info.ID]; denied || !s.canRun(u, w, now) {
			continue
		}
		expectedTasks := max(float64(countFitting(w.freeAt(answeredAt), size))-w.demandInTasks(size), 0)
		if u.step.MaxPerWorker > 0 {
			expectedTasks = min(expectedTasks, float64(u.step.MaxPerWorker))
		}
		t, known := u.tickets[w.info.ID]
		if !known {
			expectedTasks *= share
		}
		expectedTotal += expectedTasks
		if known && t.expires.After(now.Add(ticketMargin)) {
			continue
		}
		candidates = append(candidates, askCandidate{w, expectedTasks, len(candidates)})
	}
	s.askBuffer = candidates
	return candidates, expectedTotal
}

func workerIDs(workers []*worker) []string {
	ids := make([]string, len(workers))
	for i, w := range workers {
		ids[i] = w.info.ID
	}
	return ids
}

// countFitting returns how many tasks of the size fit into free.
func countFitting(free, size workload.Resources) int {
	n := 1 << 20
	for _, d := range free.Pairs(size) {
		if d[1] > 0 {
			n = min(n, int(max(d[0], 0)/d[1]))
		}
	}
	return n
}
