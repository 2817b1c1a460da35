package delegate

import (
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// Order is one instruction of the owner; one field is set. Orders of a session are carried out in their sequence.
type Order struct {
	Assign  *Assignment `json:"assign,omitempty"`
	Release string      `json:"release,omitempty"` // id of a worker that the delegate gives back
	Start   *StartOrder `json:"start,omitempty"`
	Stop    *StopOrder  `json:"stop,omitempty"`
	Ack     *Ack        `json:"ack,omitempty"`
}

// Assignment gives a worker to a delegate, or tells a change of the worker's entry.
type Assignment struct {
	Worker     scheduler.WorkerInfo `json:"worker"`
	Generation int64                `json:"gen"` // rises with each change of hands; events of an earlier one are void
	LastEnd    int64                `json:"last_end"`
}

// StartOrder starts a run.
type StartOrder struct {
	Task       workload.TaskID `json:"task"`
	Run        int64           `json:"run"`
	WorkerID   string          `json:"worker"`
	Born       int64           `json:"born"` // the life of the worker that the order is meant for
	Generation int64           `json:"gen"`
	Payload    string          `json:"payload,omitempty"`
	Checkpoint string          `json:"ckpt,omitempty"`
	Ticket     string          `json:"ticket,omitempty"`
	Waited     time.Duration   `json:"waited"` // since the job was accepted
	// Repeated tells that another delegate may have sent the same start before.
	Repeated bool `json:"again,omitempty"`
}

// StopOrder ends a run.
type StopOrder struct {
	Task       workload.TaskID `json:"task"`
	Run        int64           `json:"run"`
	WorkerID   string          `json:"worker"`
	Born       int64           `json:"born"`
	Generation int64           `json:"gen"`
	Reason     string          `json:"reason"`
}

// Ack tells that a worker's ends up to a number are durable.
type Ack struct {
	WorkerID string `json:"worker"`
	LastEnd  int64  `json:"last_end"`
}

// Batch is what the owner answers to a delegate that asks for orders.
type Batch struct {
	Wanted bool    `json:"wanted"` // false: the owner has no work for this host now
	Last   int64   `json:"last"`   // number of the last order; the first one of a session has the number 1
	Orders []Order `json:"orders,omitempty"`
	// Permit is how long the delegate may act, counted from the sending of its request.
	Permit time.Duration `json:"permit"`
	// RenewWait is how long workers hold their answers back until a run ends.
	RenewWait time.Duration `json:"renew_wait"`
	// Pace is the least time between two calls of a delegate: it gathers orders and events, and bounds the owner's work.
	Pace time.Duration `json:"pace"`
}

// Request asks for the orders after a number. It acknowledges those up to it.
type Request struct {
	Host    string        `json:"host"`
	Domain  string        `json:"domain"` // failure domain of the host
	Session string        `json:"session"`
	Epoch   int64         `json:"epoch"`
	After   int64         `json:"after"`
	Now     time.Duration `json:"now"` // the delegate's clock, suspensions included
	Leaving bool          `json:"leaving,omitempty"`
	// First and Events are as in a Delivery. An owner that gets events answers at once.
	First  int64   `json:"first,omitempty"`
	Events []Event `json:"events,omitempty"`
}

// Delivery passes events to the owner while another call waits for orders.
type Delivery struct {
	Host    string  `json:"host"`
	Session string  `json:"session"`
	Epoch   int64   `json:"epoch"`
	First   int64   `json:"first"` // number of the first event; the first one of a session has the number 1
	Events  []Event `json:"events"`
}

// Event is something that a delegate learned from a worker; one of the pointers is set. Times are on the delegate's clock.
type Event struct {
	WorkerID   string       `json:"worker"`
	Generation int64        `json:"gen"`
	Report     *Report      `json:"report,omitempty"`
	Silence    *Silence     `json:"silence,omitempty"`
	Started    *StartResult `json:"started,omitempty"`
	Stopped    *StopResult  `json:"stopped,omitempty"`
}

// Report is a worker's answer to a renewal.
type Report struct {
	Born       int64                 `json:"born"`
	Asked      time.Duration         `json:"asked"`
	LeaseUntil time.Duration         `json:"lease"` // when everything there has lapsed without another renewal; 0 if nothing was extended
	Active     []scheduler.ActiveRun `json:"active,omitempty"`
	Ended      []scheduler.EndedRun  `json:"ended,omitempty"`
}

// Silence is a renewal without an answer.
type Silence struct {
	LeaseUntil time.Duration `json:"lease"`
	// Excused tells that the delegate was late itself, so that the missing answer says nothing of the worker.
	Excused bool `json:"excused,omitempty"`
}

// StartResult is the outcome of a start.
type StartResult struct {
	Task       workload.TaskID        `json:"task"`
	Run        int64                  `json:"run"`
	At         time.Duration          `json:"at"`
	LeaseUntil time.Duration          `json:"lease"`
	Outcome    scheduler.StartOutcome `json:"outcome"`
	Took       time.Duration          `json:"took"`
}

// StopResult tells that a worker has accepted a stop.
type StopResult struct {
	Task workload.TaskID `json:"task"`
	Run  int64           `json:"run"`
	At   time.Duration   `json:"at"`
}
