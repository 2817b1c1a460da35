package job

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/commitlog"
	"github.com/greengagewing/greengagewing/internal/job/placement"
	"github.com/greengagewing/greengagewing/internal/plan"
)

// A submitted job is first added to the in-memory state as undecided. It is accepted once its record is durable in the journal.
// Calls with the same key wait for this decision, so a key never stands for two jobs.

// Values of Refusal.RetryAfter.
const (
	retrySoon  = time.Second
	retryStore = 2 * time.Second // the store did not answer or a limit is reached
)

// submit accepts a job, or returns the status of the job that was accepted under the same key.
func (p *partition) submit(ctx context.Context, s Spec) (Status, error) {
	j, st, err := p.propose(ctx, s)
	if j == nil {
		return st, err
	}
	rec := record{T: recordJob, At: j.at, Job: j.id, Spec: &s, Fingerprint: j.fingerprint}
	if !p.gate.beginAppend(ctx, p.ctx) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.discardJob(j)
		return Status{}, refuse(CodeStoreUnavailable, retrySoon, "the journal is being compacted")
	}
	defer p.gate.endAppend()
	err = p.log.Append(ctx, rec.encode())
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.accept(j, time.Now())
		return j.status(), nil
	}
	refusal := p.appendRefusal(err, "the job was not journaled", "the job may have been accepted")
	// The journal loop appends the record again and then accepts the job. Until then a call with the same key waits.
	if refusal.Recorded != RecordedUnknown || !p.queueRecords([]record{rec}, func(now time.Time) { p.accept(j, now) }) {
		p.discardJob(j)
	}
	return Status{}, refusal
}

// appendRefusal translates the error of a failed append into a refusal. The parameters are the messages for a record that was
// certainly not written (not) and for one that may have been written (maybe).
func (p *partition) appendRefusal(err error, not, maybe string) *Refusal {
	switch {
	case errors.Is(err, commitlog.ErrFenced):
		return refuse(CodeNoOwner, retrySoon, "another daemon owns %s", p.name)
	case errors.Is(err, commitlog.ErrNotWritten):
		return refuse(CodeStoreUnavailable, retryStore, "%s", not)
	}
	return &Refusal{Code: CodeOutcomeUnknown, Message: maybe, Recorded: RecordedUnknown, RetryAfter: retryStore}
}

// propose adds a new job as undecided. It returns a nil job if the key belongs to a known job or the job is refused.
func (p *partition) propose(ctx context.Context, s Spec) (*job, Status, error) {
	fingerprint := s.fingerprint()
	for {
		p.mu.Lock()
		j := p.jobs[jobID(s.Customer, s.Key)]
		if j == nil {
			defer p.mu.Unlock()
			if err := p.admit(s); err != nil {
				p.addToCounter("jobs_refused", 1)
				return nil, Status{}, err
			}
			return p.addJob(s, fingerprint, time.Now()), Status{}, nil
		}
		st, accepted := j.status(), j.accepted
		p.mu.Unlock()
		if j.fingerprint != fingerprint {
			return nil, Status{}, refuse(CodeKeyReused, 0, "the key was used for another job")
		}
		if accepted {
			return nil, st, nil
		}
		select {
		case <-j.decided:
		case <-ctx.Done():
			return nil, Status{}, &Refusal{
				Code: CodeOutcomeUnknown, Message: "the job may have been accepted", Recorded: RecordedUnknown, RetryAfter: retryStore,
			}
		case <-p.ctx.Done():
			return nil, Status{}, &Refusal{
				Code: CodeNoOwner, Message: "the partition moves to another daemon", Recorded: RecordedUnknown, RetryAfter: retrySoon,
			}
		}
	}
}

// admit is the admission control: it returns a refusal for a job that cannot be accepted now. The caller holds p.mu.
func (p *partition) admit(s Spec) error {
	if p.draining {
		return refuse(CodeDraining, retrySoon, "the partition is being handed over")
	}
	if p.guard.Check() != nil {
		return refuse(CodeNoOwner, retrySoon, "this daemon does not own %s", p.name)
	}
	a, err := p.deps.Plans.Allowance(s.Customer)
	switch {
	case errors.Is(err, plan.ErrUnknownCustomer):
		return refuse(CodeUnknownCustomer, 0, "customer %q holds no plan", s.Customer)
	case err != nil:
		return refuse(CodeStoreUnavailable, retryStore, "allowances are not confirmed")
	}
	if err := checkAllowance(s, a); err != nil {
		return err
	}
	if n := s.minConcurrentTasks(); p.index.Len() > 0 && p.index.FitCountWhenEmpty(s.Resources, n) < n {
		return refuse(CodeTooLarge, 0, "%d tasks of this size do not fit on the workers of the pool", n)
	}
	if p.openTasks+s.Tasks > p.cfg.MaxTasks {
		return refuse(CodeQueueFull, retryStore, "the pool has %d tasks that have not ended", p.openTasks)
	}
	if !p.log.Healthy() {
		return refuse(CodeStoreUnavailable, retryStore, "the job cannot be journaled now")
	}
	return nil
}

// minConcurrentTasks returns how many tasks must fit on the pool at the same time for the job to run.
func (s Spec) minConcurrentTasks() int {
	if s.Kind == Batch {
		return 1
	}
	return s.Tasks
}

// checkAllowance refuses a job that needs more at once than the customer's allowance, and so could never run.
func checkAllowance(s Spec, a plan.Allowance) error {
	need := s.Resources.Mul(s.minConcurrentTasks())
	over := func(code Code, what string, need, have int64) error {
		return refuse(code, 0, "the job needs %d %s at once; the allowance is %d", need, what, have)
	}
	switch {
	case s.minConcurrentTasks() > a.Tasks:
		return over(CodeAllowanceTasks, "tasks", int64(s.minConcurrentTasks()), int64(a.Tasks))
	case need.CPUMilli > a.CPUMilli:
		return over(CodeAllowanceCPU, "cpu_milli", need.CPUMilli, a.CPUMilli)
	case need.MemoryMB > a.MemoryMB:
		return over(CodeAllowanceMemory, "memory_mb", need.MemoryMB, a.MemoryMB)
	case need.Accelerators > a.Accelerators:
		return over(CodeAllowanceAccelerators, "accelerators", need.Accelerators, a.Accelerators)
	}
	return nil
}

// addJob adds a new, undecided job with its tasks to the in-memory state.
func (p *partition) addJob(s Spec, fingerprint string, at time.Time) *job {
	j := &job{
		id: jobID(s.Customer, s.Key), spec: s, fingerprint: fingerprint, at: at, decided: make(chan struct{}),
		counts: map[State]int{Pending: s.Tasks},
	}
	if s.Kind == Service {
		j.spread = placement.NewSpread()
	}
	j.tasks = make([]*task, s.Tasks)
	for i := range j.tasks {
		j.tasks[i] = &task{job: j, idx: i, id: taskID(j.id, i), state: Pending, size: s.Resources}
	}
	p.trackJob(j)
	p.openTasks += s.Tasks
	return j
}

// trackJob adds a job to the jobs of the partition and of its customer.
func (p *partition) trackJob(j *job) {
	p.jobs[j.id] = j
	p.customers[j.spec.Customer] = append(p.customers[j.spec.Customer], j)
}

// accept marks a journaled job as accepted and queues its tasks.
func (p *partition) accept(j *job, now time.Time) {
	if j.accepted {
		return
	}
	j.accepted = true
	close(j.decided)
	if j.spec.TimeoutMS > 0 {
		p.deadlines[j.id] = j
	}
	p.enqueueJob(j, now)
	p.addToCounter("jobs_accepted", 1)
}

// discardJob removes an undecided job that was not journaled.
func (p *partition) discardJob(j *job) {
	p.untrackJob(j)
	p.openTasks -= len(j.tasks)
	close(j.decided)
}

func (p *partition) untrackCustomerJob(j *job) {
	list := p.customers[j.spec.Customer]
	for i, o := range list {
		if o == j {
			list = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(p.customers, j.spec.Customer)
		return
	}
	p.customers[j.spec.Customer] = list
}
