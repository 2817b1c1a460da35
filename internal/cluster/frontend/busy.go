package frontend

import (
	"sync"
	"time"
)

// busyExpiry is how long calls that the owner does not need are kept from it after it has said that it is busy.
const busyExpiry = time.Second

// ownerBusy remembers whether the owner has recently said that it is about to fall behind. Then states are read from the store, and
// the owner learns of new jobs from its change feed only: hundreds of hosts would otherwise take the processor time that the owner
// needs to end the backlog, and callers ask the more often the longer their jobs take.
type ownerBusy struct {
	mu     sync.Mutex
	bootID string // of the owner's process
	until  time.Time
}

// at reports whether the process is known to be busy at the time.
func (b *ownerBusy) at(bootID string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bootID == b.bootID && now.Before(b.until)
}

// record notes what the process has said at the time.
func (b *ownerBusy) record(bootID string, busy bool, now time.Time) {
	if !busy {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bootID, b.until = bootID, now.Add(busyExpiry)
}
