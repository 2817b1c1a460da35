package scheduler

import (
	"math"
	"time"
)

const (
	// zeroTolerance allows for the time of a call, and for times of day that differ between hosts or are set.
	zeroTolerance = 5 * time.Second
	// backTolerance allows for readings that are rounded or derived from a time of day.
	backTolerance = 100 * time.Millisecond
	// maxClockDrift is how much faster or slower than true time a worker's clock may run, with some allowance.
	maxClockDrift = 0.04
)

// ClockZero tells when a worker's clock showed zero, by the time of day. The clock is steady, so a worker of which it changes has
// restarted, even if it names the same start time. It is coarse, since it has to be compared by other delegates and owners.
type ClockZero struct {
	UnixMS int64     // 0 if it is not known
	ReadAt time.Time // when the clock was read
}

// clockZeroAt returns the zero of a clock that showed clockMS at the given time; a clockMS of 0 means that it was not read.
func clockZeroAt(clockMS int64, readAt time.Time) ClockZero {
	if clockMS == 0 {
		return ClockZero{}
	}
	return ClockZero{UnixMS: readAt.UnixMilli() - clockMS, ReadAt: readAt}
}

// clockMS returns what the clock showed when it was read, in milliseconds.
func (z ClockZero) clockMS() int64 { return z.ReadAt.UnixMilli() - z.UnixMS }

// continues reports whether a later reading can be of the same clock. A steady clock never goes back, whatever the time of day.
func (z ClockZero) continues(later ClockZero) bool {
	if z.UnixMS == 0 || later.UnixMS == 0 {
		return true
	}
	if later.clockMS() < z.clockMS()-backTolerance.Milliseconds() {
		return false
	}
	drift := time.Duration(float64(later.ReadAt.Sub(z.ReadAt).Abs()) * maxClockDrift)
	moved := math.Abs(float64(later.UnixMS) - float64(z.UnixMS)) // a clock may show any number: the difference may overflow
	return moved <= float64((zeroTolerance + drift).Milliseconds())
}

// SetPreviousClock records the zero of a worker's clock as the previous owner knew it. It is called after SetPreviousUse.
func (s *Scheduler) SetPreviousClock(workerID string, zero ClockZero) {
	u := s.lastUses[workerID]
	u.clockZero = zero
	s.lastUses[workerID] = u
}

// ClockZero returns the zero of a worker's clock as this owner or the previous one knows it.
func (s *Scheduler) ClockZero(workerID string) ClockZero {
	if w := s.workers[workerID]; w != nil && w.clockZero.UnixMS != 0 {
		return w.clockZero
	}
	return s.lastUses[workerID].clockZero
}

// noteClock notes a reading of the clock of a worker that names the same incarnation as before, and reports whether it is that of the
// reading before. The first reading of this owner is compared with what the previous one has stored about the incarnation.
func (s *Scheduler) noteClock(w *worker, zero ClockZero) bool {
	before := w.clockZero
	if u := s.lastUses[w.info.ID]; before.UnixMS == 0 && u.Incarnation == w.info.Incarnation {
		before = u.clockZero
	}
	w.clockZero = zero
	return before.continues(zero)
}
