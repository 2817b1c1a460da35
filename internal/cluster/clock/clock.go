// Package clock provides a clock that keeps running while the machine is suspended. It measures the validity of leases and of
// anything else that other hosts rely on; Go's monotonic clock stops during a suspension.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Func returns the time since a fixed moment, including the time that the machine was suspended.
type Func func() time.Duration

// SinceBoot returns the time since the machine booted, including the time that it was suspended.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without the clock nothing may count as valid, so return the latest possible time: everything has expired then.
		return 1<<63 - 1
	}
	return time.Duration(ts.Nano())
}
