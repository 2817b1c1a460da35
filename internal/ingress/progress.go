package ingress

import "time"

// transfer is how far a client is with a body or with reading an answer. Times count only while the process runs, since a suspended
// process can't blame its clients.
type transfer struct {
	age      time.Duration // since the body began
	stalled  time.Duration // since the last byte
	received int64         // bytes of the body
	large    bool          // the body holds more than smallBody of the budget
}

// verdictOf tells whether the client's body has to be ended and why. Under pressure the budget refuses other bodies.
func verdictOf(t transfer, p Progress, pressure bool) Reason {
	stallTimeout, grace := p.StallTimeout, p.Grace
	if pressure {
		stallTimeout = min(stallTimeout, p.PressureTimeout)
	}
	if pressure && t.large {
		grace = min(grace, p.PressureTimeout)
	}
	switch {
	case t.stalled >= stallTimeout:
		return bodyStalled
	case t.age >= p.BodyDeadline:
		return bodyPastDeadline
	case t.age > grace && float64(t.received) < (t.age-grace).Seconds()*float64(p.MinRate):
		return bodyTooSlow
	}
	return admitted
}

// phase is what a connection does.
type phase int32

const (
	unused    phase = iota // no complete header has arrived yet
	receiving              // a handler reads the body
	handling               // a handler works without reading the body
	idle                   // between requests
)

// candidate is a connection that may be closed for a new one.
type candidate struct {
	phase   phase
	since   int64 // when the phase began, in sweeps
	number  int64 // order of acceptance
	stalled bool  // the client makes no progress with a body or an answer
}

// Order in which connections are closed. Those that are in use are never closed.
const (
	rankUnused = iota
	rankStalled
	rankIdle
	rankInUse
)

func (c candidate) rank() int {
	switch {
	case c.phase == unused:
		return rankUnused
	case c.stalled:
		return rankStalled
	case c.phase == idle:
		return rankIdle
	}
	return rankInUse
}

// closesBefore reports whether the connection is closed sooner than the other: by rank, then the one that is in its phase for longer.
func (c candidate) closesBefore(other candidate) bool {
	if c.rank() != other.rank() {
		return c.rank() < other.rank()
	}
	if c.since != other.since {
		return c.since < other.since
	}
	return c.number < other.number
}

// reason returns why the connection is closed for a new one, or noConnection if it is in use.
func (c candidate) reason() Reason {
	switch c.rank() {
	case rankUnused:
		return closedUnused
	case rankStalled:
		return closedStalled
	case rankIdle:
		return closedIdle
	}
	return noConnection
}
