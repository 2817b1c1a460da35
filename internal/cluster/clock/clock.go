// Package clock has a clock that goes on while the machine is suspended. Validity that others rely on, such as a lease's,
// is measured with it: Go's monotonic clock stands still during a suspension.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Func returns the time since a fixed moment, suspensions included.
type Func func() time.Duration

// SinceBoot returns the time since the machine's start, suspensions included.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without the clock nothing may count as valid, so the farthest time is returned.
		return 1<<63 - 1
	}
	return time.Duration(ts.Nano())
}
