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

const (
	crashStep     = 10 * time.Millisecond
	crashDowntime = 3300 * time.Millisecond
	crashPoll     = 600 * time.Millisecond // interval of reports
	crashRetry    = 50 * time.Millisecond  // until the next call to a worker that does not answer
)

// crashSimulation plays workers that crash: some tasks crash each worker that starts them, 10 ms after the start. A crashed worker is
// back after crashDowntime under another ID at the same address.
type crashSimulation struct {
	*fixture
	workers   int
	now       time.Duration
	deadly    func(workload.TaskID) bool
	taskTime  time.Duration
	at        map[string]string                // by address: the worker there; empty while it is down
	back      map[string]time.Duration         // by address: when a crashed worker is back
	refuses   bool                             // the address of a crashed worker refuses connections; otherwise calls hang
	refused   map[string]time.Duration         // by crashed worker: when the owner notices that
	lives     map[string]int                   // by address
	running   map[string]map[runKey]crashedRun // by worker
	due       map[string]bool                  // workers that are to crash in the next step
	specs     map[string]*workload.Spec
	progress  map[string]*workload.Progress
	crashes   map[workload.TaskID]int // workers that crashed under a deadly task
	excess    map[workload.TaskID]int // starts of it after three crashes
	completed map[string]time.Duration
	// recordedAgain lists jobs with another record after the one of their final state.
	recordedAgain []string
}

type crashedRun struct {
	start Start
	began time.Duration
	ends  time.Duration
}

func newCrashSimulation(workers int, deadly func(workload.TaskID) bool) *crashSimulation {
	d := &crashSimulation{fixture: newFixture(1, 0), workers: workers, deadly: deadly, taskTime: time.Second, at: map[string]string{},
		back: map[string]time.Duration{}, refused: map[string]time.Duration{}, lives: map[string]int{}, running: map[string]map[runKey]crashedRun{}, due: map[string]bool{},
		specs: map[string]*workload.Spec{}, progress: map[string]*workload.Progress{}, crashes: map[workload.TaskID]int{},
		excess: map[workload.TaskID]int{}, completed: map[string]time.Duration{}}
	for i := range workers {
		d.join(fmt.Sprintf("a%d", i))
	}
	return d
}

// join starts the next life of the worker at an address.
func (d *crashSimulation) join(address string) {
	d.lives[address]++
	id := fmt.Sprintf("%s-%d", address, d.lives[address])
	d.at[address] = id
	d.running[id] = map[runKey]crashedRun{}
	d.list(address)
}

func (d *crashSimulation) list(address string) {
	id := d.at[address]
	d.UpsertWorker(at(d.now), WorkerInfo{ID: id, Service: testService, Address: address, Rack: "r1",
		Capacity: workload.Resources{CPUMilli: 10_000, MemoryMB: 10_000}, Incarnation: int64(d.now/time.Millisecond) + 1})
	d.answer(id)
}

// answer applies a report of a worker.
func (d *crashSimulation) answer(id string) {
	d.active[id] = nil
	for _, r := range d.sortedRuns(id) {
		percent := int(100 * (d.now - r.began) / max(r.ends-r.began, 1))
		d.active[id] = append(d.active[id], ActiveRun{Task: r.start.Task, Run: r.start.Run, Percent: min(percent, 99)})
	}
	d.report(id, at(d.now))
}

func (d *crashSimulation) submit(id string, steps ...workload.Step) {
	d.specs[id] = d.job(id, at(d.now), steps...)
	d.AddJob(at(d.now), d.specs[id], nil, false)
}

// crash ends the worker at an address. The owner notices it at once.
func (d *crashSimulation) crash(address string) {
	id := d.at[address]
	if id == "" {
		return
	}
	d.at[address], d.back[address] = "", d.now+crashDowntime
	delete(d.running, id)
	d.MarkUnreachable(at(d.now), id, at(d.now+5*time.Second))
	if d.refuses {
		d.refused[id] = d.now + crashRetry
	}
}

// refuse lets the owner notice that the processes of crashed workers have ended.
func (d *crashSimulation) refuse() {
	for _, id := range slices.Sorted(maps.Keys(d.refused)) {
		if w := d.Scheduler.workers[id]; d.now >= d.refused[id] && w != nil {
			d.MarkEnded(at(d.now), id, w.info.Incarnation)
			delete(d.refused, id)
		}
	}
}

func (d *crashSimulation) step() {
	d.now += crashStep
	for i := range d.workers {
		address := fmt.Sprintf("a%d", i)
		id := d.at[address]
		switch {
		case id == "" && d.now >= d.back[address]:
			d.join(address)
		case d.due[id]:
			delete(d.due, id)
			d.crash(address)
		case id != "":
			d.endRuns(id)
			if (d.now+time.Duration(i)*crashStep)%crashPoll == 0 {
				d.answer(id)
			}
		}
	}
	d.refuse()
	d.store()
	p := d.Plan(at(d.now))
	d.stopRuns(p.Stops)
	for _, s := range p.Starts {
		d.start(s)
	}
}

func (d *crashSimulation) start(s Start) {
	now := at(d.now)
	result := StartResult{Task: s.Task, Run: s.Run, Worker: s.Worker.ID, AnsweredAt: now, LeaseUntil: now.Add(5 * time.Second)}
	runs, up := d.running[s.Worker.ID]
	if !up {
		result.Outcome = RejectedUnhealthy
		d.HandleStartResult(now, result)
		return
	}
	runs[runKey{s.Task, s.Run}] = crashedRun{s, d.now, d.now + d.taskTime}
	d.HandleStartResult(now, result)
	if d.deadly(s.Task) {
		if d.crashes[s.Task] >= 3 {
			d.excess[s.Task]++
		}
		d.crashes[s.Task]++
		d.due[s.Worker.ID] = true
	}
}

func (d *crashSimulation) endRuns(id string) {
	for _, r := range d.sortedRuns(id) {
		if d.now >= r.ends && d.complete(r.start) {
			delete(d.running[id], runKey{r.start.Task, r.start.Run})
			d.answer(id)
			d.end(r.start, EndDone, at(d.now))
		}
	}
}

// sortedRuns returns the runs of a worker in a fixed order, so that a simulation always plays the same.
func (d *crashSimulation) sortedRuns(id string) []crashedRun {
	runs := slices.Collect(maps.Values(d.running[id]))
	slices.SortFunc(runs, func(a, b crashedRun) int { return strings.Compare(a.start.Task.String(), b.start.Task.String()) })
	return runs
}

// complete reports whether a run may end: the members of a gang end together.
func (d *crashSimulation) complete(s Start) bool {
	step := d.specs[s.Task.Job].Steps[s.Task.Step]
	if !step.Gang {
		return true
	}
	present := 0
	for _, runs := range d.running {
		for k := range runs {
			if k.task.Job == s.Task.Job && k.run == s.Run {
				present++
			}
		}
	}
	return present == step.Count
}

func (d *crashSimulation) stopRuns(stops []Stop) {
	for _, stop := range stops {
		k := runKey{stop.Task, stop.Run}
		if r, running := d.running[stop.Worker.ID][k]; running {
			delete(d.running[stop.Worker.ID], k)
			d.HandleStopAck(at(d.now), stop.Worker.ID, stop.Task, stop.Run)
			d.answer(stop.Worker.ID)
			d.end(r.start, EndStopped, at(d.now))
		}
	}
}

// store makes all records durable, and lets the workers forget the ends.
func (d *crashSimulation) store() {
	for id, p := range d.persist() {
		if p != nil {
			if earlier := d.progress[id]; earlier != nil && earlier.State.Final() {
				d.recordedAgain = append(d.recordedAgain, id)
			}
			d.progress[id] = p
		}
		if state, _ := d.Lookup(id); state == workload.Completed {
			d.completed[id] = d.now
		}
	}
	for id := range d.ended {
		d.ended[id] = nil
	}
}

// takeOver replaces the owner by a successor that has only what was stored.
func (d *crashSimulation) takeOver() {
	d.store()
	inUse := d.WorkersInUse()
	d.Scheduler = New(Config{Epoch: d.cfg.Epoch + 1, Retention: time.Minute})
	for _, id := range inUse {
		d.AddUnresolvedWorker(id, at(d.now+13*time.Second))
	}
	for id, spec := range d.specs {
		p := d.progress[id]
		if p != nil && p.State.Final() {
			d.AddEndedJob(id, p)
			continue
		}
		if p != nil { // as it is read from its row
			data, err := workload.EncodeProgress(p)
			So(err, ShouldBeNil)
			p, err = workload.DecodeProgress(data)
			So(err, ShouldBeNil)
		}
		d.AddJob(at(d.now), spec, p, true)
	}
	for address, id := range d.at {
		if id != "" {
			d.list(address)
		}
	}
}

func (d *crashSimulation) run(until time.Duration) {
	for d.now < until {
		d.step()
	}
}

// background submits small harmless jobs, so that each worker has runs of several jobs.
func (d *crashSimulation) background(until time.Duration) {
	for n := 0; d.now < until; n++ {
		d.submit(fmt.Sprintf("harmless%04d", n), simpleStep(2))
		d.run(d.now + 100*time.Millisecond)
	}
}

// expectHarmlessCompleted checks that no harmless job has failed or is still waiting.
func (d *crashSimulation) expectHarmlessCompleted() {
	So(d.recordedAgain, ShouldBeEmpty)
	for id := range d.specs {
		if state, _ := d.Lookup(id); !strings.HasPrefix(id, "deadly") {
			So(fmt.Sprint(id, " ", state), ShouldEqual, fmt.Sprint(id, " ", workload.Completed))
		}
	}
}

// expectGivenUp checks that the deadly job has failed after at most as many crashes as given, at least two of them under its task.
func (d *crashSimulation) expectGivenUp(id string, most int) {
	state, _ := d.Lookup(id)
	So(state, ShouldEqual, workload.Failed)
	for task, n := range d.crashes {
		if task.Job == id {
			So(n, ShouldBeBetweenOrEqual, 2, most)
			So(d.excess[task], ShouldBeLessThan, 3)
		}
	}
}

func isFirstOf(job string) func(workload.TaskID) bool {
	return func(id workload.TaskID) bool { return id.Job == job && id.Index == 0 }
}

// Guards against a task that crashes worker after worker, and takes the runs of other jobs with it.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		Convey(fmt.Sprintf("Given a task that crashes each worker that starts it, among harmless jobs (refused calls: %t)", refuses), t, func() {
			d := newCrashSimulation(12, isFirstOf("deadly"))
			d.refuses = refuses
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
			d.refuses = interval > time.Second
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
			d.refuses = seed%2 == 0
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
		d.refuses = true
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

// Guards against a long task that fails because the workers on which it runs crash for other causes, long after its start.
func TestCrashesLongAfterStartsFailNoJob(t *testing.T) {
	Convey("Given a task whose workers crash a second after its start, six times", t, func() {
		f := newFixture(1, 7)
		f.AddJob(t0, f.job("j", t0, simpleStep(1)), nil, false)
		for i := range 6 {
			now := at(time.Duration(2*i) * time.Second)
			p := f.plan(now)
			So(p.Starts, ShouldHaveLength, 1)
			s := p.Starts[0]
			f.MarkUnreachable(now.Add(time.Second), s.Worker.ID, now.Add(6*time.Second))
			f.MarkEnded(now.Add(time.Second), s.Worker.ID, 1)
		}
		Convey("Its job goes on", func() {
			So(f.plan(at(20*time.Second)).Starts, ShouldHaveLength, 1)
			So(f.TakeGivenUp(), ShouldBeEmpty)
		})
	})
}
