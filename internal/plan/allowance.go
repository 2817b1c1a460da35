// Package plan holds the two lists that operators edit: the plan of each customer, and the allowance (quota) of each
// plan. It parses, validates and commits edits of the lists, and looks up the allowance of a customer for admission
// control.
package plan

import "github.com/go-faster/errors"

var (
	// ErrUnknownCustomer means that the list of plans has no entry for the customer.
	ErrUnknownCustomer = errors.New("plan: unknown customer")
	// ErrStale means that the local copies of the lists may be out of date, because neither the store nor a peer has
	// confirmed them recently enough.
	ErrStale = errors.New("plan: lists are not confirmed")
)

// Allowance is the quota of one plan. A limit of 0 allows no use at all.
type Allowance struct {
	RequestsPerSecond float64 `json:"requests_per_second"`
	Burst             int     `json:"burst"`        // size of the token bucket, in requests
	Concurrency       int     `json:"concurrency"`  // limit on requests in flight or queued
	Queue             int     `json:"queue"`        // limit on queued requests
	CPUMilli          int64   `json:"cpu_milli"`    // thousandths of a CPU core, total of all running tasks
	MemoryMB          int64   `json:"memory_mb"`    // total of all running tasks
	Accelerators      int64   `json:"accelerators"` // total of all running tasks
	Tasks             int     `json:"tasks"`        // limit on running tasks
}

// AllowanceSource returns the current allowance of a customer.
type AllowanceSource interface {
	// Allowance returns ErrUnknownCustomer if the customer has no plan, and ErrStale if the lists may be out of date.
	Allowance(customer string) (Allowance, error)
}
