package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// fleetCapacity is the capacity of a worker in the simulations of a large fleet.
var fleetCapacity = workload.Resources{CPUMilli: 32_000, MemoryMB: 64_000}

// examinedPerSecond returns how many workers the advice requests examine in a second, on average over a simulated time in which the
// load is constant.
func (l *fleetSimulation) examinedPerSecond(d time.Duration, load float64) float64 {
	before := l.WorkersExamined()
	l.simulate(l.now+d, load)
	return float64(l.WorkersExamined()-before) / d.Seconds()
}

// Guards against an owner that falls behind when workers are added although the load stays the same, because each request to the
// policy service examines all workers.
func TestAdviceCostDoesNotGrowWithTheFleet(t *testing.T) {
	Convey("With four times the workers and the same load, the requests examine hardly more workers", t, func() {
		small := newFleetSimulation(1, 550, 140, fleetCapacity, fleetJobClasses())
		large := newFleetSimulation(1, 2200, 140, fleetCapacity, fleetJobClasses())
		So(large.examinedPerSecond(5*time.Second, 0.3), ShouldBeLessThan, 1.5*small.examinedPerSecond(5*time.Second, 0.3))
	})
}

// Guards against an owner that does not recover from a backlog, because each step that waits for room makes its decisions dearer:
// every plan examined all workers for each of them.
func TestAdviceCostDoesNotGrowWithTheBacklog(t *testing.T) {
	Convey("Given a fleet with more work than it has room for", t, func() {
		l := newFleetSimulation(1, 200, 140, fleetCapacity, fleetJobClasses())
		l.simulate(3*time.Second, 0.6)
		early := l.examinedPerSecond(2*time.Second, 0.6)
		waiting := len(l.open)
		l.simulate(l.now+10*time.Second, 0.6)
		Convey("when many more steps wait, the requests examine at most twice as many workers", func() {
			So(len(l.open), ShouldBeGreaterThan, waiting*5/4)
			So(l.examinedPerSecond(2*time.Second, 0.6), ShouldBeLessThan, 2*early)
		})
	})
}
