package records

import (
	"testing"
	"time"

	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
)

// Guards against a false alarm of all workers with slow clocks after two changes of the owner: the second owner has listed the clocks again
// before it has read them, so that the third one takes the readings for fresh.
func TestClocksThatAreListedAgainKeepTheirAge(t *testing.T) {
	readAt := time.UnixMilli(1_700_000_000_000)
	u := NewWorkersInUse(map[string]scheduler.WorkerUse{"w0": {Incarnation: 1}, "w1": {Incarnation: 1}})
	u.SetClocks(map[string]scheduler.ClockZero{"w0": {UnixMS: 5, ReadAt: readAt}}, readAt.Add(time.Hour))
	if got := u.Clocks()["w0"].ReadAt; got.After(readAt) {
		t.Errorf("the clock counts as read %v later than it was", got.Sub(readAt))
	}
	if got := u.Clocks()["w1"].UnixMS; got != 0 {
		t.Errorf("a clock that was not read shows %d", got)
	}
}
