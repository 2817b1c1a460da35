package clock

import (
	"syscall"
	"time"
)

// ProcessorFunc returns the processor time that this process has used so far, or 0 if that is unknown.
type ProcessorFunc func() time.Duration

// ProcessorTime returns the processor time that this process has used so far, as the system accounts for it.
func ProcessorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
