// Package plan holds the two lists that operators edit: the plans that customers hold and what each plan may use.
package plan

import "github.com/go-faster/errors"

var (
	// ErrUnknownCustomer says that the customer holds no plan.
	ErrUnknownCustomer = errors.New("plan: unknown customer")
	// ErrStale says that the lists have not been confirmed recently enough to decide on them.
	ErrStale = errors.New("plan: lists are not confirmed")
)

// Allowance is what one plan may use. Zero means none of it.
type Allowance struct {
	RequestsPerSecond float64 `json:"requests_per_second"`
	Burst             int     `json:"burst"`       // requests
	Concurrency       int     `json:"concurrency"` // requests in flight or queued
	Queue             int     `json:"queue"`       // requests queued
	CPUMilli          int64   `json:"cpu_milli"`   // thousandths of a processor, over all running tasks
	MemoryMB          int64   `json:"memory_mb"`   // over all running tasks
	Accelerators      int64   `json:"accelerators"`
	Tasks             int     `json:"tasks"` // running tasks
}

// Lookup finds the allowance in force for a customer.
type Lookup interface {
	// Allowance returns ErrUnknownCustomer or ErrStale if there is none to decide on.
	Allowance(customer string) (Allowance, error)
}
