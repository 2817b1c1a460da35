package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
)

// Guards against two runs of a task: the next incarnation of a worker carries out a start that was not answered, and is cut off before it
// answers or is listed. Other tasks must not wait for that.
func TestUnansweredStartMayRunUnseen(t *testing.T) {
	Convey("Given a worker that stops answering while a task starts", t, func() {
		f, now := newStaleLeaseFixture()
		lease := now.Add(5 * time.Second)
		step := simpleStep(1)
		f.queue.PolicyService = nil
		placeOn := func(outcome StartOutcome) Start {
			f.DelistWorker("w1")
			j := f.job("j", now, step)
			f.AddJob(now, j, nil, false)
			f.commit()
			if j.Queue.PolicyService != nil {
				requests := f.nextAdviceRequests(now)
				So(f.Plan(now).Starts, ShouldBeEmpty)
				requests = append(requests, f.nextAdviceRequests(now)...)
				So(requests, ShouldNotBeEmpty)
				f.HandleAdvice(now, AdviceResult{Step: requests[0].Step, RequestedWorkers: requests[0].Workers, Approved: []Approval{{"w0", "ticket"}}, Validity: time.Minute})
			}
			s := f.Plan(now).Starts[0]
			So(s.Worker.ID, ShouldEqual, "w0")
			f.HandleStartResult(now, StartResult{Task: s.Task, Run: s.Run, Worker: "w0", Outcome: outcome, AnsweredAt: now, LeaseUntil: lease})
			f.MarkUnreachable(now, "w0", lease)
			return s
		}
		waitsUntil := func() time.Duration {
			for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
				f.plan(now.Add(at))
				if f.jobs["j"].occurrences[0].units[0].tasks.peek(0).placement == nil {
					return at
				}
			}
			return time.Minute
		}
		Convey("Without a ticket the task waits for the longest lease, and is reported as lost once", func() {
			placeOn(StartUnknown)
			So(waitsUntil(), ShouldEqual, testStaleLease)
			So(f.TakeWorkerLosses(), ShouldHaveLength, 1)
			So(f.workers["w0"], ShouldNotBeNil)
		})
		Convey("An end that the worker numbers on after that is not applied twice", func() {
			f.workers["w0"].lastAppliedEnd = 7
			placeOn(StartUnknown)
			waitsUntil()
			So(f.workers["w0"].lastAppliedEnd, ShouldEqual, 7)
		})
		Convey("If the same incarnation answers again, the run is stopped and dropped as usual", func() {
			s := placeOn(StartUnknown)
			f.plan(now.Add(6 * time.Second))
			f.report("w0", now.Add(7*time.Second))
			f.HandleStopAck(now.Add(7100*time.Millisecond), "w0", s.Task, s.Run)
			f.report("w0", now.Add(7200*time.Millisecond))
			So(f.jobs["j"].occurrences[0].units[0].tasks.peek(0).placement, ShouldBeNil)
		})
		Convey("An accepted start waits for the ordinary lease", func() {
			placeOn(StartAccepted)
			So(waitsUntil(), ShouldBeBetween, 4900*time.Millisecond, 5200*time.Millisecond)
		})
		Convey("A start with a ticket waits for the ordinary lease", func() {
			f.queue.PolicyService = &queues.PolicyService{Validity: time.Minute}
			placeOn(StartUnknown)
			So(waitsUntil(), ShouldBeBetween, 4900*time.Millisecond, 5200*time.Millisecond)
		})
		Convey("A long-running task waits for the ordinary lease", func() {
			step.LongRunning = true
			placeOn(StartUnknown)
			So(waitsUntil(), ShouldBeBetween, 4900*time.Millisecond, 5200*time.Millisecond)
		})
	})
}
