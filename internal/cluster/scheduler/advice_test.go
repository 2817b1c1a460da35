package scheduler

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
)

func advisedFixture() *fixture {
	f := newFixture(1, 3)
	f.queue.Advice = &queues.Advice{Base: 10 * time.Millisecond, PerWorker: time.Millisecond, Validity: 2 * time.Second}
	return f
}

// Guards against starts on workers that the policy service has not approved, or with a ticket that has lapsed.
func TestTickets(t *testing.T) {
	Convey("Given a step that needs advice", t, func() {
		f := advisedFixture()
		f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, false)
		p := f.plan(t0)
		So(p.Starts, ShouldBeEmpty)
		So(p.Advice, ShouldHaveLength, 1)
		So(f.plan(at(10*time.Millisecond)).Advice, ShouldBeEmpty)
		answer := AdviceResult{Step: p.Advice[0].Step, Asked: p.Advice[0].Workers, Approved: []Approval{{"w1", "t"}}, Validity: 2 * time.Second}
		Convey("It starts on an approved worker with the ticket", func() {
			f.AdviceDone(at(20*time.Millisecond), answer)
			starts := f.plan(at(30 * time.Millisecond)).Starts
			So(starts, ShouldHaveLength, 1)
			So(starts[0].Worker.ID, ShouldEqual, "w1")
			So(starts[0].Ticket, ShouldEqual, "t")
		})
		Convey("A ticket that lapses unused is asked for again, and only where it may be given", func() {
			f.CallFailed(at(20*time.Millisecond), "w1", at(5*time.Second))
			f.AdviceDone(at(20*time.Millisecond), answer)
			So(f.plan(at(30*time.Millisecond)).Starts, ShouldBeEmpty)
			f.report("w1", at(3*time.Second))
			p := f.plan(at(3 * time.Second))
			So(p.Starts, ShouldBeEmpty)
			So(p.Advice, ShouldHaveLength, 1)
			So(p.Advice[0].Workers, ShouldResemble, []string{"w1"})
		})
		Convey("A call that failed is made again", func() {
			f.AdviceDone(at(20*time.Millisecond), AdviceResult{Step: p.Advice[0].Step, Failed: true})
			So(f.plan(at(30*time.Millisecond)).Advice, ShouldBeEmpty)
			So(f.plan(at(30*time.Millisecond+adviceRetry)).Advice, ShouldHaveLength, 1)
		})
	})
}

// Load: more questions than the policy service answers. Guards against questions of late steps that hold up those of steps
// that can still be in time.
func TestQuestionsOfLateStepsComeLast(t *testing.T) {
	Convey("Given a step that is late and one that is not", t, func() {
		f := advisedFixture()
		now := at(time.Minute)
		f.AddJob(now, f.job("late", t0, simpleStep(1)), nil, false)
		f.AddJob(now, f.job("fresh", now, simpleStep(1)), nil, false)
		advice := f.plan(now).Advice
		So(advice, ShouldHaveLength, 2)
		slices.SortFunc(advice, AdviceRequest.Compare)
		So(advice[0].Step.Job, ShouldEqual, "fresh")
	})
	Convey("A late step does not ask while there is no room", t, func() {
		f := advisedFixture()
		f.queue.Advice = nil
		f.AddJob(t0, f.job("full", t0, simpleStep(15)), nil, false)
		So(f.plan(t0).Starts, ShouldHaveLength, 15)
		f.queue = advisedFixture().queue
		now := at(2 * time.Second)
		f.AddJob(now, f.job("late", t0.Add(-time.Minute), simpleStep(1)), nil, false)
		So(f.plan(now).Advice, ShouldBeEmpty)
	})
}
