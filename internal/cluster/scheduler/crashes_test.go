package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

func isFirstOf(job string) func(workload.TaskID) bool {
	return func(id workload.TaskID) bool { return id.Job == job && id.Index == 0 }
}

// Guards against a task that crashes worker after worker, and takes the runs of other jobs with it.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	for _, endsSeen := range []bool{false, true} {
		Convey(fmt.Sprintf("Given a task that crashes each worker that starts it, among harmless jobs (ends are noticed at once: %t)", endsSeen), t, func() {
			d := newCrashSimulation(12, isFirstOf("deadly"))
			d.endsSeen = endsSeen
			d.background(time.Second)
			d.submit("deadly", simpleStep(4))
			d.background(15 * time.Second)
			d.run(25 * time.Second)
			Convey("It is given up after two or three crashes, and all other jobs complete", func() {
				d.expectGivenUp("deadly", 3)
				d.expectHarmlessCompleted()
			})
		})
	}
}

// Guards against evidence that is lost with the owner: each successor would let the task crash workers anew.
func TestCrashEvidenceOutlivesOwnerChanges(t *testing.T) {
	for _, interval := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second} {
		Convey(fmt.Sprintf("Given a task that crashes workers while the owner changes every %s", interval), t, func() {
			d := newCrashSimulation(12, isFirstOf("deadly"))
			d.endsSeen = interval > time.Second
			d.submit("deadly", simpleStep(4))
			for d.now < 40*time.Second {
				d.background(d.now + interval)
				if d.now < 20*time.Second {
					d.takeOver()
				}
			}
			d.run(60 * time.Second)
			Convey("It is given up after two or three crashes, and all other jobs complete", func() {
				d.expectGivenUp("deadly", 3)
				d.expectHarmlessCompleted()
			})
		})
	}
}

// Guards against a gang with a task that crashes its worker, each time with other workers.
func TestGangThatCrashesWorkersIsGivenUp(t *testing.T) {
	for name, deadly := range map[string]func(workload.TaskID) bool{
		"one member": isFirstOf("deadly"), "every member": func(id workload.TaskID) bool { return id.Job == "deadly" },
	} {
		Convey("Given a gang of which "+name+" crashes its worker", t, func() {
			d := newCrashSimulation(12, deadly)
			gang := simpleStep(6)
			gang.Gang = true
			d.background(time.Second)
			d.submit("deadly", gang)
			d.background(15 * time.Second)
			d.run(25 * time.Second)
			Convey("It is given up after two or three runs, and all other jobs complete", func() {
				d.expectGivenUp("deadly", 3)
				d.expectHarmlessCompleted()
			})
		})
	}
}

// Guards against harmless jobs that fail, or wait for long, because they were on workers that crashed for another cause, or beside
// tasks that crash workers.
func TestWorkerCrashesForOtherCausesFailNoJob(t *testing.T) {
	for seed := range uint64(20) {
		Convey(fmt.Sprintf("Given workers that crash at random and tasks that crash workers, seed %d", seed), t, func() {
			random := rand.New(rand.NewPCG(seed, 24))
			d := newCrashSimulation(24, func(id workload.TaskID) bool { return strings.HasPrefix(id.Job, "deadly") && id.Index == 0 })
			d.endsSeen = seed%2 == 0
			for n := 0; d.now < 20*time.Second; n++ {
				d.submit(fmt.Sprintf("harmless%04d", n), simpleStep(1+random.IntN(3)))
				if random.IntN(20) == 0 {
					d.submit(fmt.Sprintf("deadly%04d", n), simpleStep(1+random.IntN(4)))
				}
				switch random.IntN(50) {
				case 0:
					for range 1 + random.IntN(5) { // several at the same moment
						d.crash(fmt.Sprintf("a%d", random.IntN(24)))
					}
				case 1:
					d.crash(fmt.Sprintf("a%d", random.IntN(24)))
				}
				d.run(d.now + 100*time.Millisecond)
			}
			d.run(40 * time.Second)
			Convey("Only the tasks that crash workers are given up", func() {
				d.expectHarmlessCompleted()
				for id := range d.specs {
					if strings.HasPrefix(id, "deadly") {
						d.expectGivenUp(id, 5)
					}
				}
			})
		})
	}
}

// Guards against tasks that are not told apart, and crash worker after worker, because several of them are started at the same moments.
func TestSimultaneousCrashesAreAttributed(t *testing.T) {
	Convey("Given five tasks that crash workers and are submitted together", t, func() {
		d := newCrashSimulation(40, func(id workload.TaskID) bool { return strings.HasPrefix(id.Job, "deadly") })
		d.endsSeen = true
		d.background(time.Second)
		for n := range 5 {
			d.submit(fmt.Sprintf("deadly%d", n), simpleStep(1))
		}
		d.background(10 * time.Second)
		d.run(15 * time.Second)
		Convey("Each is given up after two or three crashes", func() {
			for n := range 5 {
				d.expectGivenUp(fmt.Sprintf("deadly%d", n), 3)
			}
			d.expectHarmlessCompleted()
		})
	})
}

// Guards against a worker that was only silent: its runs go on, and nothing is held against their tasks.
func TestSilentWorkerIsNoCrash(t *testing.T) {
	Convey("Given a worker that stops answering just after a start, three times", t, func() {
		f := newFixture(1, 1)
		f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, false)
		s := f.plan(t0).Starts[0]
		for i := range 3 {
			now := at(time.Duration(i) * 100 * time.Millisecond)
			f.MarkUnreachable(now.Add(10*time.Millisecond), "w0", now.Add(5*time.Second))
			f.report("w0", now.Add(50*time.Millisecond))
		}
		Convey("Its run goes on, and the job completes", func() {
			So(f.plan(at(time.Second)).Stops, ShouldBeEmpty)
			f.end(s, EndDone, at(time.Second))
			f.persist()
			state, _ := f.Lookup("j")
			So(state, ShouldEqual, workload.Completed)
		})
		Convey("A lease that expires in a partition is no crash either", func() {
			for i := range 6 {
				now := at(time.Duration(1+6*i) * time.Second)
				f.MarkUnreachable(now, "w0", now.Add(5*time.Second))
				f.plan(now.Add(5100 * time.Millisecond))
				f.active["w0"] = nil
				f.report("w0", now.Add(5200*time.Millisecond))
				So(f.plan(now.Add(5200*time.Millisecond)).Starts, ShouldHaveLength, 1)
			}
			state, _ := f.Lookup("j")
			So(state, ShouldEqual, workload.Running)
		})
	})
}

// Guards against runs that wait for the expiry of a lease although another worker has already taken the place of their own.
func TestRunsOfReplacedWorkerStartAgain(t *testing.T) {
	Convey("Given a worker that stops answering", t, func() {
		d := newCrashSimulation(2, func(workload.TaskID) bool { return false })
		d.taskTime = 10 * time.Second
		d.submit("harmless", simpleStep(10)) // fills both workers
		d.run(time.Second)
		So(d.running["a0-1"], ShouldHaveLength, 5)
		d.crash("a0")
		d.run(time.Second + crashDowntime + crashStep)
		Convey("Its runs start again as soon as another worker answers at its address", func() {
			So(d.running["a0-2"], ShouldHaveLength, 5)
		})
	})
}

// Guards against runs that wait for the expiry of a lease although their worker's process is known to have ended, and against taking
// that for the end of a later incarnation.
func TestRunsOfEndedWorkerStartAgainAtOnce(t *testing.T) {
	Convey("Given a run on a worker that stops answering", t, func() {
		f := newFixture(1, 2)
		f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, false)
		s := f.plan(t0).Starts[0]
		now := at(time.Second)
		f.MarkUnreachable(now, s.Worker.ID, now.Add(5*time.Second))
		So(f.plan(now).Starts, ShouldBeEmpty)
		Convey("It starts again once its process has ended", func() {
			f.MarkEnded(now, s.Worker.ID, 1)
			p := f.plan(now)
			So(p.Starts, ShouldHaveLength, 1)
			So(p.Starts[0].Worker.ID, ShouldNotEqual, s.Worker.ID)
			So(p.Starts[0].Run, ShouldBeGreaterThan, s.Run)
		})
		Convey("The end of an earlier incarnation says nothing about it", func() {
			f.MarkEnded(now, s.Worker.ID, 0)
			So(f.plan(now).Starts, ShouldBeEmpty)
		})
	})
}

// Guards against a second record of a job's final state: the row that the job shares with others would be removed while these still run,
// and the next owner would run their tasks again.
func TestEndedJobIsNotRecordedAgain(t *testing.T) {
	Convey("Given a cancelled job whose run has just started", t, func() {
		f := newFixture(1, 1)
		f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, false)
		s := f.plan(t0).Starts[0]
		f.Cancel(t0, "j")
		So(f.persist(), ShouldContainKey, "j")
		Convey("When its worker stops answering and answers again, there is nothing more to record", func() {
			f.MarkUnreachable(at(10*time.Millisecond), s.Worker.ID, at(5*time.Second))
			So(f.persist(), ShouldBeEmpty)
			f.report(s.Worker.ID, at(time.Second))
			So(f.persist(), ShouldBeEmpty)
		})
	})
}

// Guards against a job that fails although its task has crashed one worker only: another one crashed while the start was on its way.
func TestCrashWithoutAcceptedStartIsNotCounted(t *testing.T) {
	Convey("Given a task with two prompt crashes, of which the first worker had not answered the start", t, func() {
		f := newFixture(1, 4)
		f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, false)
		for i := range 2 {
			now := at(time.Duration(i) * time.Second)
			f.commit()
			s := f.Plan(now).Starts[0]
			if i == 1 {
				f.HandleStartResult(now, StartResult{Task: s.Task, Run: s.Run, Worker: s.Worker.ID, Outcome: StartAccepted, AnsweredAt: now})
			}
			f.MarkUnreachable(now.Add(10*time.Millisecond), s.Worker.ID, now.Add(5*time.Second))
			f.MarkEnded(now.Add(60*time.Millisecond), s.Worker.ID, 1)
			if i == 0 {
				f.HandleStartResult(now, StartResult{Task: s.Task, Run: s.Run, Worker: s.Worker.ID, Outcome: StartUnknown, AnsweredAt: now.Add(100 * time.Millisecond)})
			}
		}
		Convey("It is not given up yet, but after the next crash", func() {
			So(f.TakeGivenUp(), ShouldBeEmpty)
			s := f.plan(at(5 * time.Second)).Starts[0]
			f.MarkUnreachable(at(5010*time.Millisecond), s.Worker.ID, at(10*time.Second))
			f.MarkEnded(at(5060*time.Millisecond), s.Worker.ID, 1)
			So(f.TakeGivenUp(), ShouldHaveLength, 1)
		})
	})
}

// Guards against a job that fails although no worker is known to have started its task: the workers had crashed before the starts were
// sent, or crash beside other jobs. Only a task that none of five workers outlives by a moment is given up without an answer.
func TestUnansweredStartsOnCrashedWorkersFailNoJob(t *testing.T) {
	crashAfter := func(f *fixture, silence time.Duration) {
		f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, false)
		for i := range 6 {
			now := at(time.Duration(10*i) * time.Second)
			f.commit()
			for _, s := range f.Plan(now).Starts {
				f.MarkUnreachable(now.Add(silence), s.Worker.ID, now.Add(5*time.Second))
				f.MarkEnded(now.Add(silence+50*time.Millisecond), s.Worker.ID, 1)
			}
		}
	}
	Convey("Given a task whose starts are not answered by six workers, which turn out to have crashed", t, func() {
		f := newFixture(1, 8)
		Convey("its job goes on if the calls fail after a while", func() {
			crashAfter(f, 200*time.Millisecond)
			So(f.TakeGivenUp(), ShouldBeEmpty)
		})
		Convey("it is given up if all calls fail at once", func() {
			crashAfter(f, 10*time.Millisecond)
			So(f.TakeGivenUp(), ShouldHaveLength, 1)
		})
	})
}

// Guards against a job that fails because of workers that crash after its runs on them were stopped.
func TestCrashesAfterStopsFailNoJob(t *testing.T) {
	Convey("Given a task whose run is stopped on each of six workers, which crash before they report its end", t, func() {
		f := newFixture(1, 8)
		f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, false)
		for i := range 6 {
			now := at(time.Duration(10*i) * time.Second)
			p := f.plan(now)
			So(p.Starts, ShouldHaveLength, 1)
			w := f.workers[p.Starts[0].Worker.ID]
			f.stopRun(w.findPlacement(p.Starts[0].Task, p.Starts[0].Run), "preempted")
			f.HandleStopAck(now.Add(900*time.Millisecond), w.info.ID, p.Starts[0].Task, p.Starts[0].Run)
			f.MarkUnreachable(now.Add(time.Second), w.info.ID, now.Add(5*time.Second))
			f.MarkEnded(now.Add(time.Second), w.info.ID, 1)
		}
		Convey("its job goes on: the runs may have ended before", func() {
			So(f.TakeGivenUp(), ShouldBeEmpty)
		})
	})
}

// Guards against a member of a gang that crashes its workers without being given up, because the ends of the other members are reported
// before the crash is noticed.
func TestCrashNoticedAfterTheGangEndedCounts(t *testing.T) {
	Convey("Given a gang with a member that crashes its workers half a second after the start, which is noticed 0.3 s later", t, func() {
		d := newCrashSimulation(20, isFirstOf("deadly"))
		d.endsSeen, d.crashDelay, d.callPause, d.taskTime = true, 500*time.Millisecond, 300*time.Millisecond, 3*time.Second
		d.submit("deadly", gangStep(12, 1))
		d.run(40 * time.Second)
		Convey("It is given up after the fifth crash", func() { d.expectGivenUp("deadly", maxCrashes) })
	})
}

// crashUnder lets the worker of a job's only run crash at an age of the run, and returns the time at which that is known.
func (f *fixture) crashUnder(now time.Time, age time.Duration) time.Time {
	p := f.plan(now)
	So(p.Starts, ShouldHaveLength, 1)
	s := p.Starts[0]
	f.report(s.Worker.ID, now.Add(age-10*time.Millisecond))
	now = now.Add(age)
	f.MarkUnreachable(now, s.Worker.ID, now.Add(5*time.Second))
	f.MarkEnded(now, s.Worker.ID, 1)
	return now.Add(time.Millisecond)
}

// Guards against a long task that fails because the workers on which it runs crash for other causes, long after its start.
func TestCrashesLongAfterStartsFailNoJob(t *testing.T) {
	Convey("Given a task whose workers crash six times", t, func() {
		f := newFixture(1, 7)
		f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, false)
		now := t0
		Convey("its job goes on if each run outlasts those that crashed", func() {
			for i := range 6 {
				now = f.crashUnder(now, time.Duration(i+1)*time.Second)
			}
			So(f.plan(now).Starts, ShouldHaveLength, 1)
			So(f.TakeGivenUp(), ShouldBeEmpty)
		})
		Convey("its job goes on if they crash at two addresses only", func() {
			for i, id := range slices.Sorted(maps.Keys(f.Scheduler.workers)) {
				f.Scheduler.workers[id].info.Address = fmt.Sprintf("a%d", i%2)
			}
			for range 6 {
				now = f.crashUnder(now, time.Second)
			}
			So(f.plan(now).Starts, ShouldHaveLength, 1)
			So(f.TakeGivenUp(), ShouldBeEmpty)
		})
	})
}

// Guards against a task that crashes worker after worker, each time long after its start, while other runs start on them.
func TestTaskThatCrashesWorkersLateIsGivenUp(t *testing.T) {
	for _, delay := range []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second} {
		Convey(fmt.Sprintf("Given a task that crashes its worker %s after its start, among harmless jobs", delay), t, func() {
			d := newCrashSimulation(12, isFirstOf("deadly"))
			d.crashDelay = delay
			d.taskTime = max(time.Second, delay+time.Second)
			d.background(time.Second)
			d.submit("deadly", simpleStep(4))
			d.background(30 * time.Second)
			d.run(70 * time.Second)
			Convey("It is given up after the fifth crash, and all other jobs complete", func() {
				d.expectGivenUp("deadly", maxCrashes)
				d.expectHarmlessCompleted()
			})
		})
	}
}

// Guards against tasks that go back to a worker on which they have failed, because their queue has crashed workers lately.
func TestRiskyTaskAvoidsWorkerOnWhichItFailed(t *testing.T) {
	Convey("Given a task of a risky queue that has failed on an idle worker, and a worker with another run", t, func() {
		f := newFixture(1, 1)
		f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, false)
		f.end(f.plan(t0).Starts[0], EndFailed, at(time.Second))
		f.addWorker("w1")
		f.AddJob(at(time.Second), f.job("other", at(time.Second), simpleStep(1)), nil, false)
		f.riskyQueues["q"] = at(time.Minute)
		Convey("It starts on the other one", func() {
			for _, s := range f.plan(at(time.Second)).Starts {
				if s.Task.Job == "j" {
					So(s.Worker.ID, ShouldEqual, "w1")
				}
			}
		})
	})
}
