package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
)

// Processor time that an owner with delegates needs for its duties.
const (
	costOfPlan     = 300 * time.Microsecond
	costOfOpenUnit = 2 * time.Microsecond
	costOfExam     = 150 * time.Nanosecond // of one worker for an advice request
	costOfStart    = 80 * time.Microsecond
	costOfEnd      = 80 * time.Microsecond
	costOfAdvice   = 250 * time.Microsecond
)

// limitedOwner is a fleet simulation whose owner has only some processor time. Events that it has no time for wait in the order of
// their arrival, and it plans only when none waits.
type limitedOwner struct {
	*fleetSimulation
	perStep  time.Duration // processor time in each step of the simulation
	left     time.Duration
	events   []ownerEvent
	pressure float64 // as an exponential moving average of the use, see the coordinator's pressure
}

// ownerEvent is the end of a run or an answer of the policy service that the owner has not processed yet.
type ownerEvent struct {
	cost  time.Duration
	apply func()
}

func newLimitedOwner(workers int, cores float64) *limitedOwner {
	classes := fleetJobClasses()
	l := &limitedOwner{fleetSimulation: newFleetSimulation(1, workers, 140, fleetCapacity, classes),
		perStep: time.Duration(cores * float64(simulationStep))}
	var config queues.Config
	for _, c := range classes {
		config.Queues = append(config.Queues, c.queue)
	}
	l.SetQueues(&config)
	return l
}

// run simulates the load until the given time.
func (l *limitedOwner) run(until time.Duration, load float64) {
	for l.now < until {
		l.now += simulationStep
		l.left = min(l.left, 0) + l.perStep
		l.addJobs(load)
		l.collectEvents()
		for len(l.events) > 0 && l.left > 0 {
			l.left -= l.events[0].cost
			l.events[0].apply()
			l.events = l.events[1:]
		}
		if l.left > 0 {
			l.planAndAsk()
		}
		use := 1 - float64(max(l.left, 0))/float64(l.perStep)
		l.pressure += 0.1 * (use - l.pressure)
		l.AdaptStarts(at(l.now), min(max((l.pressure-0.6)/0.3, 0), 1))
	}
}

// collectEvents queues the ends of runs and the answers that are due.
func (l *limitedOwner) collectEvents() {
	for _, r := range l.takeEndedRuns() {
		l.events = append(l.events, ownerEvent{costOfEnd, func() { l.end(r.start, r.reason, at(l.now)) }})
	}
	var answers []pendingAnswer
	for _, a := range l.answers {
		if a.due > l.now {
			answers = append(answers, a)
			continue
		}
		l.events = append(l.events, ownerEvent{costOfAdvice, func() { l.HandleAdvice(at(l.now), a.result) }})
	}
	l.answers = answers
}

// planAndAsk makes a complete plan, sends the advice requests that result from it, and charges the processor time of both.
func (l *limitedOwner) planAndAsk() {
	examined := l.WorkersExamined()
	p := l.planOnce()
	l.answerQuestions()
	l.left -= costOfPlan + time.Duration(len(l.open))*costOfOpenUnit + time.Duration(len(p.Starts))*costOfStart +
		time.Duration(l.WorkersExamined()-examined)*costOfExam
}

// shareInTime returns the share of a queue's jobs that arrived in the span and started by their latest start.
func (l *limitedOwner) shareInTime(queue string, from, until time.Duration) float64 {
	total, inTime := map[string]float64{}, map[string]float64{}
	l.countStarted(from, until, total, inTime)
	return inTime[queue] / total[queue]
}

// startsBetween returns the number of a queue's jobs whose first task started in the span.
func (l *limitedOwner) startsBetween(queue string, from, until time.Duration) int {
	n := 0
	for _, a := range l.arrivals {
		if started, ok := l.started[a.id]; ok && a.queue == queue && started >= from && started < until {
			n++
		}
	}
	return n
}

// Guards against an owner that is late for every job once the load exceeds what its processors can handle, and that stays late after
// the load is back to normal.
func TestOverloadedOwnerKeepsUrgentJobsInTime(t *testing.T) {
	Convey("Given an owner at three quarters of what it can handle, then 4 s at three times that load, then the usual load again", t, func() {
		const load = 0.15
		const begin, end, last = 6 * time.Second, 10 * time.Second, 30 * time.Second
		l := newLimitedOwner(500, 0.08)
		l.run(begin, load)
		usual, waiting := l.shareInTime("preview", time.Second, begin), len(l.open)
		l.run(end, 3*load)
		l.run(last, load)
		Convey("nine tenths of the urgent jobs that are usually in time are in time during the overload, and after it", func() {
			So(l.shareInTime("preview", begin, end), ShouldBeGreaterThanOrEqualTo, 0.9*usual)
			So(l.shareInTime("preview", end, last-time.Second), ShouldBeGreaterThanOrEqualTo, 0.9*usual)
		})
		Convey("other jobs are started all the time, and do not wait any more 20 s after the overload", func() {
			for from := begin; from < last; from += 2 * time.Second {
				So(l.startsBetween("check", from, from+2*time.Second)+l.startsBetween(gangQueue, from, from+2*time.Second), ShouldBeGreaterThan, 0)
			}
			So(len(l.open), ShouldBeLessThan, 2*waiting)
		})
	})
}
