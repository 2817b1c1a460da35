// Package ingress bounds what clients outside the operators' control can make a process hold: bytes of open request bodies and long
// headers, connections, and requests that are being decoded. A Gate is shared by all listeners of a process. What it decides is pure code
// (budget, candidate, verdictOf); a single goroutine looks for clients that make no progress, so that an ordinary request needs no timer.
package ingress

import "time"

// Listener is a kind of listener. Each has limits of its own, so that the clients of one can't starve the others.
type Listener int

// Listeners of a process.
const (
	Callers   Listener = iota
	Peers              // other daemons, operators and scrapers
	Readiness          // probes of the load balancer
	listenerCount
)

var listenerNames = [listenerCount]string{"callers", "peers", "readiness"}

func (l Listener) String() string { return listenerNames[l] }

// Limits are the limits of a process.
type Limits struct {
	// BodyBytes is the budget of all listeners for open bodies and for headers beyond headerAllowance.
	BodyBytes int64
	// DecodeBytes is the estimated memory of all bodies that are being decoded: half for costly bodies, half for the others. A body that
	// needs more than that is decoded while no other of its kind is.
	DecodeBytes int64
	Connections [listenerCount]int
	// ReceiveBuffer is the size in bytes of the kernel's receive buffer of a connection. Unread bytes there are memory of the machine.
	ReceiveBuffer int
	// SendBuffer is the same for sending. It holds answers that the client does not read.
	SendBuffer int
	Progress   Progress
}

// Progress is the progress that a client has to make with a body or an answer.
type Progress struct {
	StallTimeout  time.Duration // longest time without any byte
	Grace         time.Duration // time from the start of a body from which on MinRate applies
	MinRate       int64         // bytes per second
	BodyDeadline  time.Duration // for the whole body
	AnswerTimeout time.Duration // longest time that the write of writeStep bytes of an answer may block
	// PressureTimeout replaces StallTimeout, and Grace for large bodies, while the budget refuses bodies.
	PressureTimeout time.Duration
}

const (
	// Shares of the machine's memory. The heap may grow by the half between two collections, and the daemon itself needs 30 MB and more.
	bodyShare       = 12 // one part in this many is for bodies
	decodeShare     = 12
	connectionShare = 6

	// connectionBytes is what an open connection costs: its goroutine, two buffers of 4 kB, a request, and what the kernel holds.
	connectionBytes = 24 << 10

	// reservedDescriptors are kept for files.
	reservedDescriptors = 200
	// Parts of the other descriptors, in eighths: for connections to the store, workers and peers, and for those of peers to this process. An
	// owner has hundreds of peers with several connections each.
	outgoingEighths       = 2
	peerConnectionEighths = 3
	// readinessConnections is enough for several balancers and operators.
	readinessConnections = 32
	// minConnections keeps a listener usable on a machine with very low limits.
	minConnections = 16

	// Limits of the smallest machine, used where the settings have none.
	defaultMemoryMB    = 144
	defaultDescriptors = 3075

	// receiveBuffer holds several ordinary bodies, and lets a client send 256 kB in eight round trips.
	receiveBuffer = 32 << 10
	// sendBuffer holds two of the largest segments of the loopback interface. Large answers stall for 40 ms at a time if it holds less than one.
	sendBuffer = 128 << 10

	// smallBody is the largest body, in bytes, that may use the whole share of its listener. Ordinary jobs have 4 kB.
	smallBody = 16 << 10
	// headerAllowance is the part of a header that connectionBytes covers.
	headerAllowance = 4 << 10
)

// DefaultLimits returns the limits for a machine with this much memory and this many descriptors; 0 means unknown.
func DefaultLimits(memoryMB, descriptors int) Limits {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	memory := int64(memoryMB) << 20
	usable := max(descriptors-reservedDescriptors, 0)
	peers := usable * peerConnectionEighths / eighths
	callers := usable - usable*outgoingEighths/eighths - peers - readinessConnections
	byMemory := int(memory / connectionShare / connectionBytes)
	return Limits{
		BodyBytes:   memory / bodyShare,
		DecodeBytes: memory / decodeShare,
		Connections: [listenerCount]int{
			Callers:   max(min(callers, byMemory), minConnections),
			Peers:     max(min(peers, byMemory), minConnections),
			Readiness: readinessConnections,
		},
		ReceiveBuffer: receiveBuffer,
		SendBuffer:    sendBuffer,
		Progress: Progress{
			StallTimeout: 10 * time.Second, Grace: 10 * time.Second, MinRate: 1 << 10, BodyDeadline: time.Minute,
			AnswerTimeout: 10 * time.Second, PressureTimeout: 3 * time.Second,
		},
	}
}
