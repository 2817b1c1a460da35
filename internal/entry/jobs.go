package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/job"
	"github.com/greengagewing/greengagewing/internal/peer"
)

// PathJob is the path of the peer calls that forward job operations to the owner of the partition.
const PathJob = "/peer/v1/forward/job"

// jobTimeout bounds one job operation. It leaves time for the write to the store that accepting a job waits for.
const jobTimeout = 5 * time.Second

// JobVerb is the kind of a job operation.
type JobVerb string

// The job operations.
const (
	JobSubmit JobVerb = "submit"
	JobStatus JobVerb = "status"
	JobCancel JobVerb = "cancel"
	JobList   JobVerb = "list"
)

// JobCall is the message that forwards a job operation to the owner of the partition.
type JobCall struct {
	Partition string   `json:"partition"`
	Verb      JobVerb  `json:"verb"`
	Customer  string   `json:"customer"`
	Key       string   `json:"key,omitempty"`
	Spec      job.Spec `json:"spec,omitzero"` // set for JobSubmit only
}

// JobAnswer is the answer to a JobCall: either a refusal or the statuses of the jobs.
type JobAnswer struct {
	Refusal  *job.Refusal `json:"refusal,omitempty"`
	Statuses []job.Status `json:"statuses,omitempty"`
}

// Jobs routes job operations to the owners of their partitions.
type Jobs struct {
	owners   OwnerResolver
	client   *peer.Client
	pool     *job.Pool
	pools    map[string]bool
	draining func() bool
}

// NewJobs returns a router for the jobs of the given pools. draining reports whether new jobs are refused because of a
// drain.
func NewJobs(o OwnerResolver, c *peer.Client, p *job.Pool, pools []string, draining func() bool) *Jobs {
	known := make(map[string]bool, len(pools))
	for _, name := range pools {
		known[name] = true
	}
	return &Jobs{owners: o, client: c, pool: p, pools: known, draining: draining}
}

// Do has the owner perform an operation. It sets the call's partition itself.
func (e *Jobs) Do(ctx context.Context, pool string, c JobCall) JobAnswer {
	switch {
	case e.draining() && c.Verb == JobSubmit:
		return refusedAnswer(job.CodeDraining, "this daemon is draining; ask another one", job.RecordedNo, time.Second)
	case !e.pools[pool]:
		return refusedAnswer(job.CodeNotFound, "unknown pool "+pool, job.RecordedNo, 0)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), jobTimeout)
	defer cancel()
	c.Partition = e.pool.PartitionForCustomer(pool, c.Customer)
	answer, lost, err := route(ctx, e.owners, call[JobAnswer]{
		partition: c.Partition,
		local:     func(ctx context.Context) JobAnswer { return e.serve(ctx, c) },
		remote: func(ctx context.Context, addr string) (JobAnswer, error) {
			return peer.Call[JobAnswer](ctx, e.client, addr, PathJob, c)
		},
		notOwner: func(a JobAnswer) bool {
			return a.Refusal != nil && (a.Refusal.Code == job.CodeNoOwner || a.Refusal.Code == job.CodeDraining)
		},
	})
	return finalJobAnswer(answer, lost, err)
}

// finalJobAnswer converts the result of route into the answer for the caller.
func finalJobAnswer(a JobAnswer, lost bool, err error) JobAnswer {
	switch {
	case errors.Is(err, ErrLost):
		return refusedAnswer(job.CodeOutcomeUnknown, "the owner's answer was lost; repeat with the same key", job.RecordedUnknown, time.Second)
	case errors.Is(err, ErrOwnerGone):
		return refusedAnswer(job.CodeNoOwner, "the owner of the pool's partition cannot be reached", job.RecordedNo, ownerGoneRetry)
	case err != nil:
		return refusedAnswer(job.CodeNoOwner, "the pool's partition changes its owner", job.RecordedNo, noOwnerRetry)
	case lost && a.Refusal != nil && a.Refusal.Recorded == job.RecordedNo:
		a.Refusal.Recorded = job.RecordedUnknown
	}
	return a
}

func refusedAnswer(code job.Code, message string, kept job.Recorded, retry time.Duration) JobAnswer {
	return JobAnswer{Refusal: &job.Refusal{Code: code, Message: message, Recorded: kept, RetryAfter: retry}}
}

// Serve performs an operation that another daemon forwarded.
func (e *Jobs) Serve(ctx context.Context, c JobCall) (JobAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	return e.serve(ctx, c), nil
}

func (e *Jobs) serve(ctx context.Context, c JobCall) JobAnswer {
	var status job.Status
	var statuses []job.Status
	var err error
	switch c.Verb {
	case JobSubmit:
		status, err = e.pool.Submit(ctx, c.Partition, c.Spec)
	case JobStatus:
		status, err = e.pool.Status(c.Partition, c.Customer, c.Key)
	case JobCancel:
		status, err = e.pool.Cancel(ctx, c.Partition, c.Customer, c.Key)
	case JobList:
		statuses, err = e.pool.List(c.Partition, c.Customer)
	default:
		return refusedAnswer(job.CodeInvalidRequest, "unknown verb "+string(c.Verb), job.RecordedNo, 0)
	}
	switch r := job.AsRefusal(err); {
	case r != nil:
		return JobAnswer{Refusal: r}
	case err != nil:
		return refusedAnswer(job.CodeOutcomeUnknown, err.Error(), job.RecordedUnknown, time.Second)
	case c.Verb == JobList:
		return JobAnswer{Statuses: statuses}
	}
	return JobAnswer{Statuses: []job.Status{status}}
}
