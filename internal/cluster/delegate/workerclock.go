package delegate

import "time"

const (
	// maxClockAge is the age from which a reading of a worker's clock is not used for deadlines. A clock that is 2 % slow drifts
	// by 0.1 s in that time, and leaseMargin allows for more. A reading gets older while this process is suspended or excuses
	// missed answers.
	maxClockAge = 5 * time.Second

	// maxClockDrift is how much faster or slower than this host's clock a worker's may run, with some allowance.
	maxClockDrift = 0.03
	// clockTolerance is how far two readings of one clock may be apart beyond the drift and the time of the calls.
	clockTolerance = 100 * time.Millisecond
)

// workerClock is the last reading of a worker's clock. The clock is steady: it counts from the start of an incarnation, or from an earlier
// moment on its host, and is never set.
type workerClock struct {
	known           bool
	ms              int64
	askedAt, readAt time.Duration // when the call was sent and when its answer arrived, on the agent's clock
}

// expected returns the range in milliseconds within which the clock can show the time between the sending of a call and the arrival of its
// answer.
func (c workerClock) expected(askedAt, readAt time.Duration) (low, high int64) {
	shortest, longest := askedAt-c.readAt, readAt-c.askedAt // the shortest is negative if the calls overlap
	low = c.ms + int64(float64(shortest.Milliseconds())*(1-maxClockDrift)) - clockTolerance.Milliseconds()
	high = c.ms + int64(float64(longest.Milliseconds())*(1+maxClockDrift)) + clockTolerance.Milliseconds()
	return low, high
}

// continues reports whether a later reading can be of the same clock. If it is not, another incarnation has answered; one that was
// suspended looks the same if its clock does not count suspensions.
func (c workerClock) continues(later workerClock) bool {
	if !c.known {
		return true
	}
	low, high := c.expected(later.askedAt, later.readAt)
	return low <= later.ms && later.ms <= high
}
