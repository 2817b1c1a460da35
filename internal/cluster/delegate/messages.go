package delegate

import (
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// Order is one instruction of the owner; exactly one field is set. A delegate carries out the orders of a session in their
// sequence.
type Order struct {
	Assign  *Assignment `json:"assign,omitempty"`
	Release string      `json:"release,omitempty"` // id of a worker that the delegate must stop calling
	Start   *StartOrder `json:"start,omitempty"`
	Stop    *StopOrder  `json:"stop,omitempty"`
	Ack     *Ack        `json:"ack,omitempty"`
}

// Assignment assigns a worker to a delegate, or updates the description of a worker that is assigned already.
type Assignment struct {
	Worker       scheduler.WorkerInfo `json:"worker"`
	Generation   int64                `json:"gen"`      // rises each time the worker gets another delegate; the owner ignores events of earlier generations
	LastAckedEnd int64                `json:"last_end"` // the owner has stored the worker's ended runs up to this number
	// FencingToken is the token of calls to the worker. Owners of earlier releases leave it out; then it is their epoch.
	FencingToken int64 `json:"token,omitempty"`
	// MayGetStaleCalls means that calls for an earlier incarnation of the worker, with lower tokens, may still reach this one.
	MayGetStaleCalls bool `json:"stale,omitempty"`
	// FencesClockJumps means that the owner raises the token after a Report with ClockJumped, and tells of how many restarts it knows. Owners
	// of earlier releases don't.
	FencesClockJumps bool `json:"clocks,omitempty"`
	Restarts         int  `json:"restarts,omitempty"` // as in the last Report that the owner has applied
}

// StartOrder starts a run, which is one attempt to execute a task.
type StartOrder struct {
	Task        workload.TaskID `json:"task"`
	Run         int64           `json:"run"`
	WorkerID    string          `json:"worker"`
	Incarnation int64           `json:"born"` // incarnation of the worker that the order is meant for
	Generation  int64           `json:"gen"`
	Payload     string          `json:"payload,omitempty"`
	Checkpoint  string          `json:"ckpt,omitempty"`
	Ticket      string          `json:"ticket,omitempty"`
	Waited      time.Duration   `json:"waited"` // time since the job was accepted
	// Repeated means that another delegate may have sent the same start before.
	Repeated bool `json:"again,omitempty"`
}

// StopOrder stops a run.
type StopOrder struct {
	Task        workload.TaskID `json:"task"`
	Run         int64           `json:"run"`
	WorkerID    string          `json:"worker"`
	Incarnation int64           `json:"born"`
	Generation  int64           `json:"gen"`
	Reason      string          `json:"reason"`
}

// Ack means that the owner has stored the ended runs of a worker's incarnation up to the number LastAckedEnd. Each incarnation
// numbers its ends anew.
type Ack struct {
	WorkerID     string `json:"worker"`
	Incarnation  int64  `json:"born"`
	LastAckedEnd int64  `json:"last_end"`
	Restarts     int    `json:"restarts,omitempty"` // as in an Assignment
}

// OrderBatch is the owner's answer to an OrdersRequest.
type OrderBatch struct {
	Wanted bool    `json:"wanted"` // false: the owner has no work for this host now
	Last   int64   `json:"last"`   // number of the last order in Orders; the first order of a session has the number 1
	Orders []Order `json:"orders,omitempty"`
	// Permit is how long the delegate may call workers, counted from the time at which it sent the request. 0 leaves the earlier permit
	// as it is.
	Permit time.Duration `json:"permit"`
	// RenewPollTimeout is the long-poll timeout of renewals: how long a worker delays its answer until a run ends.
	RenewPollTimeout time.Duration `json:"renew_wait"`
	// MinCallInterval is the minimum interval between two calls of a delegate. It batches orders and events and bounds the load
	// on the owner.
	MinCallInterval time.Duration `json:"pace"`
}

// OrdersRequest asks for the orders with a number above After, and acknowledges the orders up to After. It is a long poll: the
// owner answers as soon as there are orders, or after OrdersPollTimeout.
type OrdersRequest struct {
	Host          string        `json:"host"`
	FailureDomain string        `json:"domain"` // failure domain of the host
	Session       string        `json:"session"`
	Epoch         int64         `json:"epoch"`
	After         int64         `json:"after"`
	Now           time.Duration `json:"now"`               // the delegate's clock, which includes suspensions of the machine
	Leaving       bool          `json:"leaving,omitempty"` // the delegate stops; its workers need another one
	// First and Events are as in an EventBatch. The owner answers a request that carries events at once.
	First  int64   `json:"first,omitempty"`
	Events []Event `json:"events,omitempty"`
}

// EventBatch sends events to the owner while an OrdersRequest waits for orders.
type EventBatch struct {
	Host    string  `json:"host"`
	Session string  `json:"session"`
	Epoch   int64   `json:"epoch"`
	First   int64   `json:"first"` // number of the first event in Events; the first event of a session has the number 1
	Events  []Event `json:"events"`
}

// Event is the result of a delegate's call to a worker; exactly one of the pointers is set. Times are on the delegate's
// clock.
type Event struct {
	WorkerID      string         `json:"worker"`
	Generation    int64          `json:"gen"`
	Report        *Report        `json:"report,omitempty"`
	MissedRenewal *MissedRenewal `json:"silence,omitempty"`
	Started       *StartResult   `json:"started,omitempty"`
	Stopped       *StopResult    `json:"stopped,omitempty"`

	// applied, if set, is called on the delegate once the owner has applied the event.
	applied func()
}

// notifyApplied calls the function to call once the owner has applied the event.
func (e Event) notifyApplied() {
	if e.applied != nil {
		e.applied()
	}
}

// Report is a worker's answer to a renewal.
type Report struct {
	Incarnation int64                 `json:"born"`  // incarnation of the worker
	SentAt      time.Duration         `json:"asked"` // when the renewal was sent
	LeaseUntil  time.Duration         `json:"lease"` // when all tasks there have expired unless the lease is renewed again; 0 if it was not extended
	Active      []scheduler.ActiveRun `json:"active,omitempty"`
	Ended       []scheduler.EndedRun  `json:"ended,omitempty"`
	MoreEnded   bool                  `json:"more_ended,omitempty"` // as in a RenewalAnswer
	// Unfenced means that calls for an earlier incarnation of the worker may still reach this one.
	Unfenced bool `json:"unfenced,omitempty"`
	// ClockMS is what the worker's clock showed. ClockJumped means that it does not continue that of the report before, so that the worker
	// may have restarted although it names the same incarnation.
	ClockMS     int64 `json:"clock,omitempty"`
	ClockJumped bool  `json:"jumped,omitempty"`
	// Restarts is the number of restarts of the worker that the delegate has seen or suspected since it was assigned.
	Restarts int `json:"restarts,omitempty"`
}

// MissedRenewal is a renewal that the worker did not answer.
type MissedRenewal struct {
	LeaseUntil time.Duration `json:"lease"` // as in a Report, for all calls so far, including starts whose outcome is not known yet
	FailedAt   time.Duration `json:"at"`
	// Ended means that the incarnation of the worker that was called has ended.
	Ended       bool  `json:"ended,omitempty"`
	Incarnation int64 `json:"born,omitempty"`
	// Excused means that the delegate's own process was paused, so the missing answer is no evidence that the worker is
	// down.
	Excused bool `json:"excused,omitempty"`
}

// StartResult is the outcome of a start order, after all attempts.
type StartResult struct {
	Task       workload.TaskID        `json:"task"`
	Run        int64                  `json:"run"`
	AnsweredAt time.Duration          `json:"at"`
	LeaseUntil time.Duration          `json:"lease"`
	Outcome    scheduler.StartOutcome `json:"outcome"`
	// OtherClock means that another incarnation than the one that was called has answered, as the clock in the answer shows. The
	// deadline of the start may have set the longest lease there.
	OtherClock bool          `json:"other_clock,omitempty"`
	Took       time.Duration `json:"took"`
	// Retried means that an earlier attempt was not answered.
	Retried bool `json:"retried,omitempty"`
}

// StopResult means that a worker has accepted a stop.
type StopResult struct {
	Task       workload.TaskID `json:"task"`
	Run        int64           `json:"run"`
	AnsweredAt time.Duration   `json:"at"`
}
