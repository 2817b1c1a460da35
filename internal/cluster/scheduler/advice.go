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
	// askFactor is the number of places to ask for per waiting task, a place being free capacity for one task on a worker.
	// It exceeds one because other units may take some of the places before the answer.
	askFactor = 1.6
	// gangAskFactor is the askFactor of gangs. A gang that lacks a single place can't start at all, and when the answer to a
	// second call arrives, the tickets of the first have almost expired. Asking for more workers is the cheaper choice: an
	// additional call costs as much as naming 70 more workers.
	gangAskFactor = 3
	// minAskedWorkers is the minimum number of workers to name, so that small steps need no second call.
	minAskedWorkers = 5
	// sampleFactor is how many times the needed places, and workers, a request examines before it chooses among them. With a choice
	// of a few times what it needs, it finds workers nearly as good as the best of the whole fleet.
	sampleFactor = 4
	// maxFruitlessExams is how many workers the requests for units that find nobody to ask may examine per fruitlessExamWindow, and
	// fruitlessExamDelay is how long such a unit does not try again. Otherwise, each step that waits for room would make the owner
	// slower, until it falls behind the events that make room.
	maxFruitlessExams   = 4000
	fruitlessExamWindow = 100 * time.Millisecond
	fruitlessExamDelay  = 200 * time.Millisecond
	// defaultApprovalRate is the share of asked workers that is assumed to be approved until a queue has enough answers.
	defaultApprovalRate = 0.4
	// splitShareDivisor limits how far the workers of a request are split over several calls: the workers that each call names
	// take at least 1/splitShareDivisor of the fixed time of a call.
	splitShareDivisor = 3
	// adviceRetryDelay is the delay before a failed call is retried.
	adviceRetryDelay = 100 * time.Millisecond
	// adviceTimeout is the time after which an unanswered request no longer blocks its step.
	adviceTimeout = 5 * time.Second
)

// approvalCount counts the workers that were asked for and approved in a queue's advice requests.
type approvalCount struct{ asked, approved float64 }

// approvalRate returns the expected share of asked workers that the policy service approves for the queue: the share so
// far, but at least 0.05, or defaultApprovalRate if the queue has asked for fewer than 10 workers.
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
	u := j.occurrences[r.Step.Occurrence].unit(r.Step.Step)
	if u == nil {
		return
	}
	u.callsInFlight = max(u.callsInFlight-1, 0)
	if u.callsInFlight == 0 {
		u.clearExpectedDemand()
	}
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

// awaitsAdvice reports whether an advice request of the unit is in flight.
func (u *unit) awaitsAdvice(now time.Time) bool {
	return u.callsInFlight > 0 && now.Sub(u.askedAt) < adviceTimeout
}

// needsAdvice reports whether a request for the unit may be sent now: its queue requires advice, no request is in flight
// and the delay after a failed call has passed.
func (u *unit) needsAdvice(now time.Time) bool {
	return !u.awaitsAdvice(now) && u.job.queue.PolicyService != nil && !now.Before(u.notBefore)
}

// WantsAdvice reports whether units may be waiting for an advice request; see NextAdviceRequests.
func (s *Scheduler) WantsAdvice() bool { return !s.adviceQueue.empty() }

// NextAdviceRequests returns the advice requests of the most urgent unit whose tasks found no worker, or none if there is no
// such unit. They are to be sent at once, each through a host of its own. freeHosts is the number of hosts that are free, and
// longLimit how many of them may send a long request. The workers to name are chosen only now: if they were chosen when the
// unit began to wait, other units could have filled them by the time a host is free to make the call.
func (s *Scheduler) NextAdviceRequests(now time.Time, freeHosts, longLimit int) []AdviceRequest {
	for freeHosts > 0 {
		long := min(freeHosts, longLimit)
		c, ok := s.adviceQueue.next(long > 0)
		if !ok {
			return nil
		}
		limit := 1
		if c.asksLong() {
			// The hosts are shared by the units that wait for them.
			limit = max(long/(s.adviceQueue.longUnits()+1), 1)
		}
		if requests := s.buildRequests(c, limit, now); len(requests) > 0 {
			return requests
		}
	}
	return nil
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

// buildRequests builds the advice requests, at most limit, of a unit whose tasks found no worker. It returns none if the unit
// needs no advice or if advice can't help now.
func (s *Scheduler) buildRequests(c candidate, limit int, now time.Time) []AdviceRequest {
	u := c.unit
	if _, open := s.open[u]; !open || !u.needsAdvice(now) {
		return nil
	}
	c.waiting = u.tasks.countWaiting(now)
	waiting := s.quotaPlaces(c)
	if waiting == 0 || waiting < c.neededPlaces() || !s.mayExamine(u, now) {
		return nil
	}
	examinedBefore := s.workersExamined
	workers := s.workersToAsk(c, waiting, limit*maxAskedWorkers, now)
	if len(workers) == 0 {
		s.fruitlessExams.count += s.workersExamined - examinedBefore
		u.nextExam = now.Add(fruitlessExamDelay)
		return nil
	}
	requests := u.splitRequest(workers, limit)
	u.callsInFlight, u.askedAt = len(requests), now
	u.setExpectedDemand(workers, waiting)
	return requests
}

// fruitlessExams counts the workers that were examined for units that found nobody to ask.
type fruitlessExams struct {
	count int64
	since time.Time // start of the window in which they are counted
}

// mayExamine reports whether a request for the unit may examine workers now: neither the unit nor others have recently examined too
// many in vain.
func (s *Scheduler) mayExamine(u *unit, now time.Time) bool {
	if now.Sub(s.fruitlessExams.since) >= fruitlessExamWindow {
		s.fruitlessExams = fruitlessExams{since: now}
	}
	return s.fruitlessExams.count < maxFruitlessExams && !now.Before(u.nextExam)
}

// splitRequest distributes the workers to name over at most limit requests. A call takes longer the more workers it names, and
// the tickets of a gang have to be valid at the same time. So a wide gang asks through several hosts at once; but a request
// that takes little longer than the shortest one is not split further, since each call occupies a host.
func (u *unit) splitRequest(workers []*worker, limit int) []AdviceRequest {
	advice := u.job.queue.PolicyService
	size := maxAskedWorkers
	if advice.PerWorker > 0 {
		size = min(size, max(int(advice.Base/(splitShareDivisor*advice.PerWorker)), minAskedWorkers))
	}
	calls := max(min((len(workers)+size-1)/size, limit), 1)
	requests := make([]AdviceRequest, 0, calls)
	for i := range calls {
		part := workers[i*len(workers)/calls : (i+1)*len(workers)/calls]
		requests = append(requests, AdviceRequest{
			Step: u.id(), Queue: u.job.spec.Queue.Name, Workers: workerIDs(part), ExpectedDuration: advice.ExpectedDuration(len(part)),
		})
	}
	return requests
}

// askCandidate is a worker that an advice request may name.
type askCandidate struct {
	worker        *worker
	expectedTasks float64 // expected number of tasks that are approved for the worker and fit on it
	rank          float64 // expectedTasks, less if the worker has harmful neighbours
	position      int     // breaks ties between candidates with the same rank
}

// askHeap is a priority queue of candidates, the best first. A request names only a few of hundreds of workers, so sorting
// all of them would be a waste. It implements heap.Interface.
type askHeap []askCandidate

func (h askHeap) Len() int { return len(h) }

func (h askHeap) Less(i, j int) bool {
	if h[i].rank != h[j].rank {
		return h[i].rank > h[j].rank
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

// workersToAsk chooses the workers to name in a request: first those on which the most tasks are expected to be approved
// and to fit, until the expected number of places reaches targetTasks, but at least minAskedWorkers and at most limit. It
// returns none if a request would be useless.
func (s *Scheduler) workersToAsk(c candidate, waiting, limit int, now time.Time) []*worker {
	u := c.unit
	candidates, expectedTotal := s.askCandidates(u, waiting, now)
	if u.step.Gang && !c.gangShouldAsk(waiting, len(candidates), expectedTotal, now) {
		return nil
	}
	if c.late && expectedTotal < s.approvalRate(u.job.spec.Queue.Name) {
		return nil // less than the yield of a single free place
	}
	var workers []*worker
	expected := 0.0
	heap.Init(&candidates)
	for len(candidates) > 0 && len(workers) < limit && (len(workers) < minAskedWorkers || expected < u.targetTasks(waiting)) {
		a := heap.Pop(&candidates).(askCandidate)
		workers = append(workers, a.worker)
		expected += a.expectedTasks
	}
	return workers
}

// gangShouldAsk reports whether advice can help a gang with waiting members, for which there are this many workers to ask and so
// many expected places on these and on those with tickets. A gang that waits for its nominated workers, or that has tickets for
// almost all workers, needs no more. One whose members are not expected to fit asks only if it is overdue and knows no approvals
// yet: then workers can be reserved for it.
func (c candidate) gangShouldAsk(waiting, candidates int, expectedPlaces float64, now time.Time) bool {
	u := c.unit
	if len(u.nomination.workers) > 0 || candidates < minAskedWorkers && u.hasTicket(now) {
		return false
	}
	return expectedPlaces >= float64(waiting) || len(u.tickets) == 0 && c.overdue(now)
}

// askCandidates returns workers that a request may name. The second result is the expected number of tasks that are approved and
// fit on these workers and on those for which the unit has a valid ticket. It examines the workers in turn, beginning where the last
// request has stopped, until there are sampleFactor times as many places and workers as the request needs, or all are examined.
// The answer is assumed to take as long as that to a request for half of maxAskedWorkers.
func (s *Scheduler) askCandidates(u *unit, waiting int, now time.Time) (askHeap, float64) {
	size := u.resources()
	share := s.approvalRate(u.job.spec.Queue.Name)
	answeredAt := now.Add(u.job.queue.PolicyService.ExpectedDuration(maxAskedWorkers / 2))
	candidates := s.askBuffer[:0]
	expectedTotal, places := 0.0, 0.0
	enough := sampleFactor * u.targetTasks(waiting)
	first := s.nextToExamine
	for i := range s.sortedWorkers {
		if places >= enough && len(candidates) >= sampleFactor*minAskedWorkers {
			break
		}
		s.nextToExamine = (first + i + 1) % len(s.sortedWorkers)
		w := s.sortedWorkers[(first+i)%len(s.sortedWorkers)]
		s.workersExamined++
		if _, denied := u.denied[w.info.ID]; denied || !s.canRun(u, w, now) {
			continue
		}
		free := w.freeAt(answeredAt)
		if u.step.Gang {
			free = w.obtainableAt(answeredAt, u, now)
		}
		expectedTasks := max(float64(countFitting(free, size))-inTasks(w.demandFor(u), size), 0)
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
		rank := expectedTasks
		if u.harmsNeighbours(w) {
			rank *= harmfulNeighbourFactor
		}
		candidates = append(candidates, askCandidate{w, expectedTasks, rank, len(candidates)})
		places += expectedTasks
	}
	s.askBuffer = candidates
	return candidates, expectedTotal
}

// WorkersExamined returns how many workers the advice requests so far have examined. It is the part of the owner's work that would
// grow with the fleet and with the number of waiting steps if every request examined every worker.
func (s *Scheduler) WorkersExamined() int64 { return s.workersExamined }

func workerIDs(workers []*worker) []string {
	ids := make([]string, len(workers))
	for i, w := range workers {
		ids[i] = w.info.ID
	}
	return ids
}

// countFitting returns how many tasks of the given size fit into the free resources, at most 1<<20.
func countFitting(free, size workload.Resources) int {
	n := 1 << 20
	for _, d := range free.Pairs(size) {
		if d[1] > 0 {
			n = min(n, int(max(d[0], 0)/d[1]))
		}
	}
	return n
}
