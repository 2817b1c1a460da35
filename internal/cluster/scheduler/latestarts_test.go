package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/queues"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

const testLateCallLimit = 13 * time.Second

// newLateFixture returns a fixture whose workers carry out unanswered calls late.
func newLateFixture(epoch int64, workers int) *fixture {
	f := newFixture(epoch, workers)
	f.cfg.LateCallLimit, f.cfg.StaleLease = testLateCallLimit, 5*time.Second
	return f
}

// answer applies the outcome of a start, which was known at the given time; retried means that an earlier attempt got no answer.
func (f *fixture) answer(s Start, outcome StartOutcome, retried bool, now time.Time) {
	if outcome == StartAccepted {
		f.active[s.Worker.ID] = append(f.active[s.Worker.ID], ActiveRun{Task: s.Task, Run: s.Run})
	}
	f.HandleStartResult(now, StartResult{Task: s.Task, Run: s.Run, Worker: s.Worker.ID, Outcome: outcome, Retried: retried, AnsweredAt: now})
}

// giveUp gives up the start of a run, which the worker then rejects.
func (f *fixture) giveUp(s Start, now time.Time) {
	f.answer(s, StartUnknown, true, now)
	for _, stop := range f.Plan(now).Stops {
		f.HandleStopAck(now, stop.Worker.ID, stop.Task, stop.Run)
	}
	f.report(s.Worker.ID, now.Add(time.Millisecond))
}

// startAll returns the starts of a plan, without outcomes.
func (f *fixture) startAll(now time.Time) []Start {
	f.now = now
	f.commit()
	return f.Plan(now).Starts
}

// Guards against a task that runs again after its end was acknowledged: the next incarnation of its worker carries out an attempt of its start
// that had no answer, and nothing is remembered of it once a later attempt was answered.
func TestEndOfARetriedStartIsAcknowledgedLate(t *testing.T) {
	for name, reason := range map[string]EndReason{"done": EndDone, "failed": EndFailed} {
		Convey("Given a run that ends as "+name+", with an attempt of its start that had no answer", t, func() {
			f := newLateFixture(1, 1)
			f.AddJob(t0, f.job("a", t0, simpleStep(1)), nil, false)
			f.AddJob(t0, f.job("b", t0, simpleStep(1)), nil, false)
			starts := f.startAll(t0)
			So(starts, ShouldHaveLength, 2)
			f.answer(starts[0], StartAccepted, true, at(200*time.Millisecond))
			f.answer(starts[1], StartAccepted, false, at(200*time.Millisecond))
			f.end(starts[0], reason, at(time.Second))
			f.end(starts[1], reason, at(2*time.Second))
			f.commit()
			Convey("Its end and the later ones are acknowledged only once the attempt can't be carried out any more", func() {
				So(f.LastDurableEnd("w0", 1), ShouldEqual, 0)
				So(f.EndsHeldBack(), ShouldEqual, 2)
				So(f.AcknowledgeEnds(at(13100*time.Millisecond)), ShouldBeEmpty)
				So(f.AcknowledgeEnds(at(13300*time.Millisecond)), ShouldResemble, []string{"w0"})
				So(f.LastDurableEnd("w0", 1), ShouldEqual, 2)
			})
			Convey("Meanwhile no commit is needed for it", func() {
				_, needed := f.BeginBatch()
				So(needed, ShouldBeFalse)
			})
		})
	}
}

// Guards against acknowledgements that are held back for nothing: a start that was answered at once, or that carries a ticket, can't be
// carried out by another incarnation.
func TestEndsOfAnsweredStartsAreAcknowledgedAtOnce(t *testing.T) {
	for name, prepare := range map[string]func(f *fixture){
		"answered at once": func(*fixture) {},
		"with a ticket": func(f *fixture) {
			f.queue.PolicyService = &queues.PolicyService{}
		},
	} {
		Convey("Given a start "+name, t, func() {
			f := newLateFixture(1, 1)
			prepare(f)
			f.AddJob(t0, f.job("a", t0, simpleStep(1)), nil, false)
			if f.queue.PolicyService != nil {
				f.commit()
				f.Plan(t0)
				for _, r := range f.nextAdviceRequests(t0) {
					f.HandleAdvice(t0, AdviceResult{Step: r.Step, RequestedWorkers: r.Workers, Approved: []Approval{{Worker: "w0", Ticket: "ticket"}}, Validity: time.Minute})
				}
			}
			starts := f.startAll(t0)
			So(starts, ShouldHaveLength, 1)
			f.answer(starts[0], StartAccepted, f.queue.PolicyService != nil, at(200*time.Millisecond))
			f.end(starts[0], EndDone, at(time.Second))
			f.commit()
			So(f.LastDurableEnd("w0", 1), ShouldEqual, 1)
		})
	}
}

// Guards against two runs of a task at the same time, and against a start after its acknowledged end: run 2 starts on another worker while
// the first one, which may restart, can still carry out run 1.
func TestTaskWithAnUnansweredStartStaysOnItsWorker(t *testing.T) {
	step, gang := simpleStep(1), simpleStep(2)
	gang.Gang, gang.MaxPerWorker = true, 1
	for name, s := range map[string]workload.Step{"a task": step, "a gang": gang} {
		Convey("Given "+name+" whose start was given up without an answer", t, func() {
			f := newLateFixture(1, 4)
			f.AddJob(t0, f.job("a", t0, s), nil, false)
			first := f.startAll(t0)
			So(first, ShouldHaveLength, s.Count)
			for _, start := range first[1:] {
				f.answer(start, StartAccepted, false, at(time.Second))
			}
			f.giveUp(first[0], at(time.Second))
			for _, start := range first[1:] {
				f.end(start, EndStopped, at(1100*time.Millisecond))
			}
			worker := first[0].Worker.ID
			Convey("Its next run starts there", func() {
				next := f.startAll(at(1200 * time.Millisecond))
				So(next, ShouldHaveLength, s.Count)
				So(next[0].Worker.ID, ShouldEqual, worker)
				Convey("And the end of that run is acknowledged once the first one can't start any more", func() {
					for _, start := range next {
						f.answer(start, StartAccepted, false, at(1300*time.Millisecond))
					}
					f.end(next[0], EndDone, at(2*time.Second))
					f.commit()
					held := f.LastDurableEnd(worker, 1)
					f.AcknowledgeEnds(at(14100 * time.Millisecond))
					So(f.LastDurableEnd(worker, 1), ShouldBeGreaterThan, held)
				})
			})
			Convey("If the worker drains, it starts elsewhere, but only once the first run can't start any more", func() {
				info := f.workers[worker].info
				info.Draining, info.DrainRemaining = true, time.Minute
				f.UpsertWorker(at(1200*time.Millisecond), info)
				So(f.startAll(at(1300*time.Millisecond)), ShouldBeEmpty)
				So(f.startAll(at(13900*time.Millisecond)), ShouldBeEmpty)
				next := f.startAll(at(14100 * time.Millisecond))
				So(next, ShouldHaveLength, s.Count)
				So(next[0].Worker.ID, ShouldNotEqual, worker)
			})
			Convey("If the worker restarts, it waits until calls to the earlier incarnation are fenced off", func() {
				r := Report{Worker: worker, Incarnation: 2, SentAt: at(1300 * time.Millisecond), Unfenced: true}
				f.HandleReport(at(1300*time.Millisecond), r)
				info := f.workers[worker].info
				f.UpsertWorker(at(1300*time.Millisecond), info)
				So(f.startAll(at(1400*time.Millisecond)), ShouldBeEmpty)
				r.Unfenced, r.SentAt = false, at(1500*time.Millisecond)
				f.HandleReport(at(1500*time.Millisecond), r)
				So(f.startAll(at(1600*time.Millisecond)), ShouldHaveLength, s.Count)
			})
		})
	}
}

// Guards against tasks of the same step that wait because another one is bound to a worker without room.
func TestBoundTaskHoldsUpNoOthers(t *testing.T) {
	Convey("Given a step whose first task is bound to a draining worker", t, func() {
		f := newLateFixture(1, 2)
		f.AddJob(t0, f.job("a", t0, simpleStep(8)), nil, false)
		first := f.startAll(t0)
		f.giveUp(first[0], at(time.Second))
		info := f.workers[first[0].Worker.ID].info
		info.Draining, info.DrainRemaining = true, time.Minute
		f.UpsertWorker(at(1200*time.Millisecond), info)
		started := len(first)
		for _, s := range first[1:] {
			f.answer(s, StartAccepted, false, at(1300*time.Millisecond))
			if s.Worker.ID != info.ID {
				f.end(s, EndFailed, at(1400*time.Millisecond))
				started--
			}
		}
		So(started, ShouldBeLessThan, len(first))
		So(f.startAll(at(1500*time.Millisecond)), ShouldHaveLength, len(first)-started)
	})
}

// Guards against a long-running task whose users are without it because its start on a lost worker had no answer.
func TestLongRunningTaskMovesAfterAnUnansweredStart(t *testing.T) {
	Convey("Given a long-running task whose start was given up, on a worker that drains", t, func() {
		f := newLateFixture(1, 2)
		step := simpleStep(1)
		step.LongRunning = true
		f.AddJob(t0, f.job("a", t0, step), nil, false)
		first := f.startAll(t0)
		f.giveUp(first[0], at(time.Second))
		info := f.workers[first[0].Worker.ID].info
		info.Draining, info.DrainRemaining = true, time.Minute
		f.UpsertWorker(at(1200*time.Millisecond), info)
		So(f.startAll(at(1300*time.Millisecond)), ShouldHaveLength, 1)
	})
}

// Guards against a successor that knows nothing of attempts without an answer: it acknowledges ends, or starts tasks elsewhere, that the
// workers of its predecessor can still start late.
func TestSuccessorCountsOnUnansweredStarts(t *testing.T) {
	Convey("Given an owner that has given up one start, and that has started another run", t, func() {
		f := newLateFixture(1, 3)
		f.AddJob(t0, f.job("a", t0, simpleStep(1)), nil, false)
		f.AddJob(t0, f.job("b", t0, simpleStep(1)), nil, false)
		f.AddJob(t0, f.job("c", t0, simpleStep(1)), nil, false)
		starts := f.startAll(t0)
		So(starts, ShouldHaveLength, 3)
		f.giveUp(starts[0], at(time.Second))
		f.answer(starts[1], StartAccepted, false, at(time.Second))
		f.answer(starts[2], StartAccepted, true, at(time.Second))
		f.end(starts[2], EndDone, at(1100*time.Millisecond))
		stored := f.persist()
		Convey("Its successor starts the first task on the same worker only, and holds back the ends of the others", func() {
			g := newLateFixture(2, 0)
			for _, id := range []string{"w0", "w1", "w2"} {
				g.AddUnresolvedWorker(id, at(10*time.Second))
			}
			g.SetEarlierStarts(at(10 * time.Second))
			g.AddJob(at(2*time.Second), f.job("a", t0, simpleStep(1)), stored["a"], true)
			g.AddJob(at(2*time.Second), f.job("b", t0, simpleStep(1)), stored["b"], true)
			g.AddEndedJob("c", stored["c"])
			g.LimitEarlierStarts(at(3 * time.Second))
			for _, id := range []string{"w0", "w1", "w2"} {
				g.active[id], g.ended[id], g.ends[id] = f.active[id], f.ended[id], f.ends[id]
				g.addWorker(id)
				g.report(id, at(3*time.Second))
			}
			next := g.startAll(at(3 * time.Second))
			So(next, ShouldHaveLength, 1)
			So(next[0].Task.Job, ShouldEqual, "a")
			So(next[0].Worker.ID, ShouldEqual, starts[0].Worker.ID)
			g.end(starts[1], EndDone, at(4*time.Second))
			g.commit()
			worker := starts[2].Worker.ID
			So(g.LastDurableEnd(worker, 1), ShouldEqual, 0)
			g.AcknowledgeEnds(at(15900 * time.Millisecond))
			So(g.LastDurableEnd(worker, 1), ShouldEqual, 0)
			g.AcknowledgeEnds(at(16100 * time.Millisecond))
			So(g.LastDurableEnd(worker, 1), ShouldBeGreaterThan, 0)
			So(g.EndsHeldBack(), ShouldEqual, 0)
		})
	})
}

// Guards against late starts that nobody notices, above all those that come later than the limit on which the scheduler relies.
func TestLateStartsAreReported(t *testing.T) {
	for name, c := range map[string]struct {
		at     time.Duration
		beyond bool
	}{"within the limit": {5 * time.Second, false}, "beyond it": {16 * time.Second, true}} {
		Convey("Given a run that was given up and that its worker lists "+name, t, func() {
			f := newLateFixture(1, 1)
			f.AddJob(t0, f.job("a", t0, simpleStep(1)), nil, false)
			s := f.startAll(t0)[0]
			f.giveUp(s, at(time.Second))
			f.active["w0"] = []ActiveRun{{Task: s.Task, Run: s.Run}}
			f.report("w0", at(c.at))
			late := f.TakeLateStarts()
			So(late, ShouldHaveLength, 1)
			So(late[0].Run, ShouldEqual, s.Run)
			So(late[0].Beyond > 0, ShouldEqual, c.beyond)
		})
	}
}
