package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/peer"
	"github.com/greengagewing/greengagewing/internal/request"
)

// Paths of the peer calls that forward requests and lookups to the owner of their partition.
const (
	PathRequest = "/peer/v1/forward/request"
	PathLookup  = "/peer/v1/forward/lookup"
)

// answerGrace is the time beyond the caller's timeout in which the owner's final answer may still arrive.
const answerGrace = 500 * time.Millisecond

// Delays after which a refused caller should retry.
const (
	noOwnerRetry   = time.Second     // the partition is being handed over or claimed
	ownerGoneRetry = 5 * time.Second // a failover takes 4.5 s until the owner's session is fenced, then another daemon claims the partition
)

// Service runs requests of the partitions that this daemon owns. request.Service implements it.
type Service interface {
	Submit(ctx context.Context, partition string, r request.Request) request.Outcome
	Lookup(partition, customer, key string) request.Outcome
}

// ForwardedRequest is the message that forwards a request to the owner of its partition.
type ForwardedRequest struct {
	Partition string          `json:"partition"`
	Request   request.Request `json:"request"` // its TimeoutMS is the part of the caller's timeout that remains
}

// ForwardedLookup is the message that asks the owner of a partition for the recorded outcome of a request.
type ForwardedLookup struct {
	Partition string `json:"partition"`
	Customer  string `json:"customer"`
	Key       string `json:"key"`
}

// Requests routes short requests to the owners of their partitions. It implements api.Requests.
type Requests struct {
	owners   OwnerResolver
	client   *peer.Client
	service  Service
	services map[string]bool // the services that this daemon serves
	draining func() bool     // reports whether new requests are refused because of a drain
}

// NewRequests returns a router for the requests of the given services. draining reports whether new requests are refused
// because of a drain.
func NewRequests(o OwnerResolver, c *peer.Client, s Service, services []string, draining func() bool) *Requests {
	known := make(map[string]bool, len(services))
	for _, name := range services {
		known[name] = true
	}
	return &Requests{owners: o, client: c, service: s, services: known, draining: draining}
}

// Submit routes a request to the owner of its customer's partition and returns its final outcome.
func (e *Requests) Submit(ctx context.Context, r request.Request) request.Outcome {
	if e.draining() {
		return request.NotRunOutcome(request.CodeDraining, "this daemon is draining; ask another one", time.Second)
	}
	var invalid *request.InvalidError
	if err := request.Validate(r); errors.As(err, &invalid) {
		return invalid.Outcome()
	}
	if !e.services[r.Service] {
		return request.NotRunOutcome(request.CodeNotFound, "unknown service "+r.Service, 0)
	}
	// The request is run and recorded even if the caller closes its connection.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.Timeout()+answerGrace)
	defer cancel()
	deadline := time.Now().Add(r.Timeout())
	partition := request.PartitionForCustomer(r.Service, r.Customer)
	out, lost, err := route(ctx, e.owners, call[request.Outcome]{
		partition: partition,
		local: func(ctx context.Context) request.Outcome {
			return e.service.Submit(ctx, partition, withRemainingTimeout(r, deadline))
		},
		remote: func(ctx context.Context, addr string) (request.Outcome, error) {
			msg := ForwardedRequest{Partition: partition, Request: withRemainingTimeout(r, deadline)}
			return peer.Call[request.Outcome](ctx, e.client, addr, PathRequest, msg)
		},
		notOwner: isNotOwner,
	})
	out = finalOutcome(out, lost, err)
	out.Key = r.Key
	return out
}

// isNotOwner reports whether the daemon did not run the request because it does not own the partition or is about to hand
// it over. The next owner can run it.
func isNotOwner(o request.Outcome) bool {
	return o.Result == request.NotRun && (o.Code == request.CodeNoOwner || o.Code == request.CodeDraining)
}

// withRemainingTimeout returns r with its timeout reduced to the time left until deadline.
func withRemainingTimeout(r request.Request, deadline time.Time) request.Request {
	r.TimeoutMS = max(time.Until(deadline).Milliseconds(), 1)
	return r
}

// finalOutcome converts the result of route into the outcome for the caller.
func finalOutcome(o request.Outcome, lost bool, err error) request.Outcome {
	switch {
	case errors.Is(err, ErrLost):
		return request.UnknownOutcome(request.CodeOutcomeUnknown, "the owner's answer was lost; ask by key")
	case errors.Is(err, ErrOwnerGone):
		return request.NotRunOutcome(request.CodeNoOwner, "the owner of the customer's partition cannot be reached", ownerGoneRetry)
	case err != nil:
		return request.NotRunOutcome(request.CodeNoOwner, "the customer's partition changes its owner", noOwnerRetry)
	case lost && o.Result == request.NotRun:
		return request.UnknownOutcome(request.CodeOutcomeUnknown, "an earlier sending may still be run; ask by key")
	}
	return o
}

// Lookup asks the owner of the customer's partition for the outcome that is recorded for a key.
func (e *Requests) Lookup(ctx context.Context, service, customer, key string) request.Outcome {
	if !e.services[service] {
		return request.NotRunOutcome(request.CodeNotFound, "unknown service "+service, 0)
	}
	partition := request.PartitionForCustomer(service, customer)
	out, _, err := route(ctx, e.owners, call[request.Outcome]{
		partition: partition,
		local:     func(context.Context) request.Outcome { return e.service.Lookup(partition, customer, key) },
		remote: func(ctx context.Context, addr string) (request.Outcome, error) {
			msg := ForwardedLookup{Partition: partition, Customer: customer, Key: key}
			return peer.Call[request.Outcome](ctx, e.client, addr, PathLookup, msg)
		},
		notOwner: isNotOwner,
	})
	if err != nil {
		return request.UnknownOutcome(request.CodeNoOwner, "the owner could not be asked; ask again")
	}
	return out
}

// ServeRequest runs a request that another daemon forwarded. It never forwards the request again; a daemon that is not the
// owner answers with an outcome that says so.
func (e *Requests) ServeRequest(ctx context.Context, m ForwardedRequest) (request.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, m.Request.Timeout()+answerGrace)
	defer cancel()
	return e.service.Submit(ctx, m.Partition, m.Request), nil
}

// ServeLookup answers a lookup that another daemon forwarded.
func (e *Requests) ServeLookup(_ context.Context, m ForwardedLookup) (request.Outcome, error) {
	return e.service.Lookup(m.Partition, m.Customer, m.Key), nil
}
