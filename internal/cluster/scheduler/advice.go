package scheduler

import (
	"container/heap"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// AdviceRequest is a call to the policy service that asks which workers may run a step.
type AdviceRequest struct {
	Step             workload.StepID
	Queue            string
	Workers          []string      // IDs of the workers to ask for
	ExpectedDuration time.Duration // expected duration of the call
}

// Approval names a worker that may run a step. The ticket is the service's token for it and has to accompany a start order.
type Approval struct {
	Worker string `json:"Worker"`
	Ticket string `json:"Ticket"`
}

// AdviceResult is the answer to an AdviceRequest. If Failed is set, the call failed and the fields other than Step are
// ignored.
type AdviceResult struct {
	Step             workload.StepID
	RequestedWorkers []string // AdviceRequest.Workers
	Approved         []Approval
	Validity         time.Duration // remaining validity of the tickets
	Failed           bool
}

const (
	// ticketMargin is the minimum remaining validity of a ticket when a start is ordered with it: the start order has to
	// reach the worker before the ticket expires.
	ticketMargin = 200 * time.Millisecond
	// maxAskedWorkers is the maximum number of workers that one call may name.
	maxAskedWorkers = 100
	// askFactor is the number of places to ask for per waiting task. It exceeds one because other units may take some of
	// the places before the answer.
	askFactor = 1.6
	// gangAskFactor is the askFactor of gangs. A gang that lacks a single place can't start at all, and when the answer to a
	// second call arrives, the tickets of the first have almost expired. Asking for more workers is the cheaper choice: an
	// additional call costs as much as naming 70 more workers.
	gangAskFactor = 3
	// minAskedWorkers is the minimum number of workers to name, so that small steps need no second call.
	minAskedWorkers = 5
	// defaultApprovalRate is the share of asked workers that is assumed to be approved until a queue has enough answers.
	defaultApprovalRate = 0.4
	// adviceRetryDelay is the delay before a failed call is retried.
	adviceRetryDelay = 100 * time.Millisecond
	// adviceTimeout is the time after which an unanswered request no longer blocks its step.
	adviceTimeout = 5 * time.Second
)

// approvalCount counts the workers that were asked for and approved in a queue's advice requests.
type approvalCount struct{ asked, approved float64 }

// approvalRate returns the expected share of asked workers that the policy service approves for the queue.
func (s *Scheduler) approvalRate(queue string) float64 {
	r := s.approvalCounts[queue]
	if r == nil || r.asked < 10 {
		return defaultApprovalRate
	}
	return max(r.approved/r.asked, 0.05)
}

// HandleAdvice applies an answer of the policy service.
func (s *Scheduler) HandleAdvice(now time.Time, r AdviceResult) {
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
	for _, id := range r.RequestedWorkers {
		u.denied[id] = struct{}{}
	}
	for _, a := range r.Approved {
		delete(u.denied, a.Worker)
		u.tickets[a.Worker] = ticket{a.Ticket, now.Add(r.Validity - ticketMargin)}
	}
	s.countApprovals(j.spec.Queue.Name, len(r.RequestedWorkers), len(r.Approved))
}

// countApprovals adds an answer to the statistics of its queue.
func (s *Scheduler) countApprovals(queue string, asked, approved int) {
	r := s.approvalCounts[queue]
	if r == nil {
		r = &approvalCount{}
		s.approvalCounts[queue] = r
	}
	r.asked += float64(asked)
	r.approved += float64(approved)
}

// needsAdvice reports whether a request for the unit may be sent now: its queue requires advice, no request is in flight
// and the delay after a failed call has passed.
func (u *unit) needsAdvice(now time.Time) bool {
	if u.adviceInFlight && now.Sub(u.askedAt) < adviceTimeout {
		return false
	}
	return u.job.queue.PolicyService != nil && !now.Before(u.notBefore)
}

// NextAdviceRequest returns the advice request of the most urgent unit whose tasks found no worker, or false if there is none.
// Long requests are skipped unless long is true. The workers to name are chosen only now: if they were chosen when the unit
// began to wait, others could have filled them by the time a host is free to make the call.
func (s *Scheduler) NextAdviceRequest(now time.Time, long bool) (AdviceRequest, bool) {
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

// hasTicket reports whether the unit has a valid ticket. Whether its tickets are enough for its tasks turns out only when
// the tasks are placed.
func (u *unit) hasTicket(now time.Time) bool {
	for _, t := range u.tickets {
		if t.expires.After(now) {
			return true
		}
	}
	return false
}

// buildRequest builds the advice request of a unit whose tasks found no worker, or returns false if a request is not needed
// or can't help now.
func (s *Scheduler) buildRequest(c candidate, now time.Time) (AdviceRequest, bool) {
	u := c.unit
	if _, open := s.open[u]; !open || !u.needsAdvice(now) {
		return AdviceRequest{}, false
	}
	waiting := len(u.pending(now))
	if waiting == 0 {
		return AdviceRequest{}, false
	}
	advice := u.job.queue.PolicyService
	workers := s.workersToAsk(c, waiting, now)
	if len(workers) == 0 {
		return AdviceRequest{}, false
	}
	u.adviceInFlight, u.askedAt = true, now
	u.setExpectedDemand(workers, waiting)
	return AdviceRequest{
		Step: u.id(), Queue: u.job.spec.Queue.Name, Workers: workerIDs(workers), ExpectedDuration: advice.ExpectedDuration(len(workers)),
	}, true
}

// askCandidate is a worker that an advice request may name.
type askCandidate struct {
	worker        *worker
	expectedTasks float64 // expected number of tasks that are approved for the worker and fit on it
	position      int     // breaks ties between candidates with the same expectedTasks
}

// askHeap is a priority queue of candidates, the best first. A request names only a few of hundreds of workers, so sorting
// all of them would be a waste. It implements heap.Interface.
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

// targetTasks returns the expected number of places that a request for the waiting tasks should yield.
func (u *unit) targetTasks(waiting int) float64 {
	if u.step.Gang {
		return gangAskFactor * float64(waiting)
	}
	return askFactor * float64(waiting)
}

// workersToAsk chooses the workers to name in a request: first those on which the most tasks are expected to be approved and
// to fit, until the expected number of places reaches targetTasks. It returns none if a request would be useless: for a gang
// that is not expected to find places for all members, and for a late unit that is expected to find none at all.
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

// askCandidates returns the workers that a request may name. The second result is the expected number of tasks that are
// approved and fit on these workers and on those for which the unit has a valid ticket.
func (s *Scheduler) askCandidates(u *unit, now time.Time) (askHeap, float64) {
	size := u.resources()
	share := s.approvalRate(u.job.spec.Queue.Name)
	answeredAt := now.Add(u.job.queue.PolicyService.ExpectedDuration(maxAskedWorkers / 2))
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

// countFitting returns how many tasks of the given size fit into the free resources.
func countFitting(free, size workload.Resources) int {
	n := 1 << 20
	for _, d := range free.Pairs(size) {
		if d[1] > 0 {
			n = min(n, int(max(d[0], 0)/d[1]))
		}
	}
	return n
}
