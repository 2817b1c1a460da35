package request

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"time"
)

// PartitionsPerService is the number of partitions per service.
const PartitionsPerService = 8

const (
	maxTimeout      = 10 * time.Second // also the maximum duration of an attempt
	maxPayloadBytes = 1 << 20
	maxNameBytes    = 256 // of a service, customer or key

	partitionPrefix = "request/"
)

// InvalidError is returned for a request that is not well formed.
type InvalidError struct {
	Code    Code
	Field   string // JSON name of the invalid field
	Message string
}

// Error returns the field and what is wrong with it.
func (e *InvalidError) Error() string { return fmt.Sprintf("request: %s: %s", e.Field, e.Message) }

// Outcome returns the outcome that the caller gets.
func (e *InvalidError) Outcome() Outcome { return NotRunOutcome(e.Code, e.Field+": "+e.Message, 0) }

// Validate returns an *InvalidError if the request is not well formed.
func Validate(r Request) error {
	if e := validate(r); e != nil {
		return e
	}
	return nil
}

// validate returns the first error in the request, or nil.
func validate(r Request) *InvalidError {
	invalid := func(field, message string) *InvalidError {
		return &InvalidError{Code: CodeInvalidRequest, Field: field, Message: message}
	}
	switch {
	case !validName(r.Service):
		return invalid("service", "must be 1 to 256 bytes without slashes")
	case !validName(r.Customer):
		return invalid("customer", "must be 1 to 256 bytes without slashes")
	case len(r.Key) > maxNameBytes:
		return invalid("key", "must be at most 256 bytes")
	case r.Class != Urgent && r.Class != Normal && r.Class != Bulk:
		return invalid("class", "must be urgent, normal or bulk")
	case r.TimeoutMS <= 0:
		return &InvalidError{Code: CodeDeadlinePast, Field: "timeout_ms", Message: "must be at least 1"}
	case r.TimeoutMS > maxTimeout.Milliseconds():
		return invalid("timeout_ms", "must be at most 10000; longer work is a job")
	case len(r.Payload) > maxPayloadBytes:
		return &InvalidError{Code: CodeTooLarge, Field: "payload", Message: "must be at most 1 MiB"}
	case len(r.Payload) > 0 && !json.Valid(r.Payload):
		return invalid("payload", "must be JSON")
	case !r.Idempotent && r.Key == "":
		return &InvalidError{Code: CodeKeyRequired, Field: "key", Message: "non-idempotent requests need a key"}
	}
	return nil
}

// validName reports whether a service or customer name has a valid length and no slashes or control characters.
func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for _, c := range []byte(s) {
		if c == '/' || c < ' ' || c == 0x7f {
			return false
		}
	}
	return true
}

// PartitionNames returns the names of all partitions of a service.
func PartitionNames(service string) []string {
	names := make([]string, PartitionsPerService)
	for n := range names {
		names[n] = partitionPrefix + service + "/" + strconv.Itoa(n)
	}
	return names
}

// PartitionForCustomer returns the name of the partition that serves a customer.
func PartitionForCustomer(service, customer string) string { return partitionName(service, customer) }

// PartitionForMinion returns the name of the partition that uses a minion.
func PartitionForMinion(service, minionID string) string { return partitionName(service, minionID) }

func partitionName(service, id string) string {
	return partitionPrefix + service + "/" + strconv.Itoa(partitionIndex(id))
}

// partitionIndex hashes the id of a customer or minion to the number of a partition.
func partitionIndex(id string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	// The low bits of FNV distribute ids well only if these differ in just the last character; fold in the high bits.
	v := h.Sum32()
	return int((v ^ v>>16) % PartitionsPerService)
}

// HTTPStatus returns the HTTP status code for an outcome.
func HTTPStatus(o Outcome) int {
	switch o.Code {
	case CodeInvalidRequest, CodeKeyRequired, CodeDeadlinePast:
		return http.StatusBadRequest
	case CodeUnknownCustomer:
		return http.StatusForbidden
	case CodeNotFound:
		return http.StatusNotFound
	case CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeKeyReused:
		return http.StatusUnprocessableEntity
	case CodeAllowanceRate, CodeAllowanceConcurrency, CodeQueueFull, CodeDeadlineUnreachable, CodeExpired:
		return http.StatusTooManyRequests
	case CodeStoreUnavailable, CodeNoOwner, CodeNoMinion, CodeDraining, CodeMinionFailed:
		return http.StatusServiceUnavailable
	case CodeInProgress:
		return http.StatusAccepted
	}
	if o.Result == Done {
		return http.StatusOK
	}
	return http.StatusGatewayTimeout
}
