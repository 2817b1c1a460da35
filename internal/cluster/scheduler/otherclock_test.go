package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against two runs of a task: the next incarnation of a worker has accepted a start, and the owner or its successor counts the
// ordinary lease there.
func TestStartOnAnotherClockHasTheLongestLease(t *testing.T) {
	Convey("Given a start that another clock than the known one has answered", t, func() {
		f, now := newStaleLeaseFixture()
		f.DelistWorker("w1")
		f.AddJob(now, f.job("j", now, simpleStep(1)), nil, false)
		f.commit()
		s := f.Plan(now).Starts[0]
		lease := now.Add(5 * time.Second)
		f.HandleStartResult(now, StartResult{Task: s.Task, Run: s.Run, Worker: "w0", Outcome: StartAccepted, AnsweredAt: now, LeaseUntil: lease, OtherClock: true})
		Convey("Its run is given up only once the longest lease has expired", func() {
			f.MarkUnreachable(now, "w0", lease)
			f.plan(now.Add(testStaleLease - 100*time.Millisecond))
			So(f.TakeWorkerLosses(), ShouldBeEmpty)
			f.plan(now.Add(testStaleLease + 100*time.Millisecond))
			So(f.TakeWorkerLosses(), ShouldHaveLength, 1)
		})
		Convey("A successor is told", func() {
			So(f.Use("w0", now), ShouldResemble, WorkerUse{Incarnation: 1, StaleLease: true})
		})
		Convey("Nothing else starts there before the next report", func() {
			f.AddJob(now, f.job("k", now, simpleStep(1)), nil, false)
			f.commit()
			So(f.Plan(now.Add(otherClockDelay/2)).Starts, ShouldBeEmpty)
		})
	})
}

// Guards against a task that is suspected of the crash of a worker's earlier incarnation although the later one has accepted its start.
func TestStartOnAnotherClockIsNoCauseOfTheCrash(t *testing.T) {
	for _, silentFirst := range []bool{true, false} {
		f, now := newStaleLeaseFixture()
		f.DelistWorker("w1")
		f.AddJob(now, f.job("j", now, simpleStep(1)), nil, false)
		f.commit()
		s := f.Plan(now).Starts[0]
		lease := now.Add(5 * time.Second)
		if silentFirst {
			f.MarkUnreachable(now, "w0", lease)
		}
		f.HandleStartResult(now, StartResult{Task: s.Task, Run: s.Run, Worker: "w0", Outcome: StartAccepted, AnsweredAt: now, LeaseUntil: lease, OtherClock: true})
		if !silentFirst {
			f.MarkUnreachable(now, "w0", lease)
		}
		answered := now.Add(500 * time.Millisecond)
		f.HandleReport(answered, Report{Worker: "w0", Incarnation: 2, SentAt: answered, LeaseUntil: lease, Active: []ActiveRun{{Task: s.Task, Run: s.Run}}})
		task := f.jobs["j"].occurrences[0].units[0].tasks.peek(0)
		if !task.evidence.Empty() {
			t.Errorf("worker silent before the result: %t; evidence against the task: %+v", silentFirst, task.evidence)
		}
		if p := task.placement; p == nil || p.worker.info.Incarnation != 2 || p.state != running {
			t.Errorf("worker silent before the result: %t; the run is not taken over from the later incarnation: %+v", silentFirst, p)
		}
	}
}
