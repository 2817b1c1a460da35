package meter

import (
	"sync"
	"time"

	"go.uber.org/zap/zapcore"
)

// Duties sums up how often a process carries out each of its duties and for how long. The time includes waits for the
// processor, so on an overloaded host the sums of all duties exceed the time that has passed. A nil *Duties records nothing.
type Duties struct {
	mu   sync.Mutex
	sums map[string]DutySum
}

// DutySum is the number and the total duration of the executions of a duty.
type DutySum struct {
	Count int
	Time  time.Duration
}

// DutySums maps the names of duties to their sums.
type DutySums map[string]DutySum

// NewDuties returns a meter without any executions.
func NewDuties() *Duties { return &Duties{sums: DutySums{}} }

// Begin starts the measurement of one execution. The function that it returns ends it.
func (d *Duties) Begin(duty string) (end func()) {
	if d == nil {
		return func() {}
	}
	began := time.Now()
	return func() { d.add(duty, time.Since(began)) }
}

// Count counts an execution without measuring it, for duties that mostly wait.
func (d *Duties) Count(duty string) {
	if d != nil {
		d.add(duty, 0)
	}
}

func (d *Duties) add(duty string, spent time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := d.sums[duty]
	d.sums[duty] = DutySum{sum.Count + 1, sum.Time + spent}
}

// Take returns the sums since the last call.
func (d *Duties) Take() DutySums {
	if d == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.sums
	d.sums = DutySums{}
	return out
}

// MarshalLogObject implements zapcore.ObjectMarshaler: each duty is shown with its count and its time in milliseconds.
func (s DutySums) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	for duty, sum := range s {
		if err := enc.AddArray(duty, sum); err != nil {
			return err
		}
	}
	return nil
}

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (s DutySum) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	enc.AppendInt(s.Count)
	enc.AppendInt64(s.Time.Milliseconds())
	return nil
}
