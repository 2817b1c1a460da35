package job

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/greengagewing/greengagewing/internal/job/worker"
	"github.com/greengagewing/greengagewing/internal/plan"
)

var (
	smallTask  = Resources{CPUMilli: 1000, MemoryMB: 1000}
	workerSize = Resources{CPUMilli: 4000, MemoryMB: 8000}
)

// scenario runs f in virtual time on a pool of n workers whose partition has an owner and has settled. It fails if a guarantee
// was violated.
func scenario(t *testing.T, what string, n int, f func(f *fixture, c *fakeCluster)) {
	synctest.Test(t, func(t *testing.T) {
		Convey(what, t, func() {
			c := newCluster(1, n, workerSize)
			fx := newFixture(c)
			So(fx.startOwner(false), ShouldBeNil)
			defer fx.stop()
			time.Sleep(time.Second)
			f(fx, c)
			So(c.violations, ShouldBeEmpty)
		})
	})
}

func refusalCode(err error) Code {
	if r := AsRefusal(err); r != nil {
		return r.Code
	}
	return ""
}

// mustAccept submits a job that must be accepted.
func (f *fixture) mustAccept(s Spec) {
	_, err := f.submit(s)
	So(err, ShouldBeNil)
}

func (f *fixture) counts(key string) map[State]int {
	st, err := f.pool.Status(testPartition, "c", key)
	So(err, ShouldBeNil)
	return st.Counts
}

func (f *fixture) cancel(key string) error {
	_, err := f.pool.Cancel(context.Background(), testPartition, "c", key)
	return err
}

// TestRefusals guards against refusals with a wrong error code, and against a key that stands for two jobs.
func TestRefusals(t *testing.T) {
	scenario(t, "refusals have the documented codes and record nothing", 2, func(f *fixture, c *fakeCluster) {
		ok := batch("k", 1, smallTask)
		for want, change := range map[Code]func(*Spec){
			CodeInvalidRequest: func(s *Spec) { s.Kind = "other" }, CodeKeyRequired: func(s *Spec) { s.Key = "" },
			CodeUnknownCustomer: func(s *Spec) { s.Customer = "nobody" }, CodeTooLarge: func(s *Spec) { s.Resources.MemoryMB = 9000 },
		} {
			s := ok
			change(&s)
			_, err := f.submit(s)
			So(refusalCode(err), ShouldEqual, want)
			So(AsRefusal(err).Recorded, ShouldEqual, RecordedNo)
		}
		gang := Spec{Customer: "c", Key: "g", Kind: Gang, Tasks: 9, Resources: smallTask}
		_, err := f.submit(gang)
		So(refusalCode(err), ShouldEqual, CodeTooLarge)
		for want, a := range map[Code]plan.Allowance{
			CodeAllowanceTasks: {CPUMilli: 1000, MemoryMB: 1000}, CodeAllowanceCPU: {Tasks: 1, MemoryMB: 1000},
			CodeAllowanceMemory: {Tasks: 1, CPUMilli: 1000},
		} {
			f.plans.change(a)
			_, err := f.submit(ok)
			So(refusalCode(err), ShouldEqual, want)
		}
		f.plans.change(unlimited)
		first, err := f.submit(ok)
		So(err, ShouldBeNil)
		again, err := f.submit(ok)
		So(err, ShouldBeNil)
		So(again.ID, ShouldEqual, first.ID)
		ok.Tasks = 2
		_, err = f.submit(ok)
		So(refusalCode(err), ShouldEqual, CodeKeyReused)
		_, err = f.pool.Submit(context.Background(), "pool/p/7", ok)
		So(refusalCode(err), ShouldEqual, CodeNoOwner)
		list, err := f.pool.List(testPartition, "c")
		So(err, ShouldBeNil)
		So(len(list), ShouldEqual, 1)
	})
}

// TestQuota guards against an edited allowance that does not apply to the next scheduling decision, or that stops running tasks.
func TestQuota(t *testing.T) {
	scenario(t, "after a quota is lowered, running tasks continue and no more are started", 3, func(f *fixture, c *fakeCluster) {
		c.behaviourOf = func(string) taskBehaviour { return taskBehaviour{time: time.Minute} }
		f.plans.change(plan.Allowance{CPUMilli: 1 << 20, MemoryMB: 1 << 20, Tasks: 4})
		f.mustAccept(batch("k", 8, smallTask))
		time.Sleep(time.Second)
		So(f.counts("k"), ShouldResemble, map[State]int{Running: 4, Pending: 4})
		f.plans.change(plan.Allowance{CPUMilli: 2000, MemoryMB: 1 << 20, Tasks: 4})
		time.Sleep(30 * time.Second)
		So(f.counts("k"), ShouldResemble, map[State]int{Running: 4, Pending: 4})
		time.Sleep(35 * time.Second)
		So(f.counts("k"), ShouldResemble, map[State]int{Done: 4, Running: 2, Pending: 2})
	})
}

// TestStoreOutage guards against tasks that lose their lease during an outage of the store, a job that is accepted without being
// journaled, a start of a non-idempotent task without a record, and a result that is acknowledged before it is durable.
func TestStoreOutage(t *testing.T) {
	scenario(t, "during an outage of the store tasks keep running, and no result is lost in a takeover", 2, func(f *fixture, c *fakeCluster) {
		c.behaviourOf = func(id string) taskBehaviour { return taskBehaviour{time: 20 * time.Second} }
		for key, idempotent := range map[string]bool{"idempotent": true, "once": false} {
			s := batch(key, 12, smallTask)
			s.Idempotent = idempotent
			f.mustAccept(s)
		}
		time.Sleep(time.Second)
		f.store.withLock(func() { f.store.down = true })
		asked := time.Now()
		_, err := f.submit(batch("late", 1, smallTask))
		So(refusalCode(err), ShouldEqual, CodeStoreUnavailable)
		So(AsRefusal(err).RetryAfter, ShouldBeGreaterThan, 0)
		So(time.Since(asked), ShouldEqual, 0)
		starts := c.started("once")
		time.Sleep(time.Minute)
		So(c.started("once"), ShouldEqual, starts)
		So(c.started("idempotent"), ShouldEqual, 12)
		So(f.counts("idempotent")[Done], ShouldEqual, 0)
		old := f.pool
		So(f.fence(2*time.Second), ShouldBeNil)
		old.Stop(context.Background(), testPartition, false)
		f.store.withLock(func() { f.store.down = false })
		time.Sleep(time.Minute)
		So(c.started("idempotent"), ShouldEqual, 12)
		So(f.counts("idempotent"), ShouldResemble, map[State]int{Done: 12})
		So(f.counts("once"), ShouldResemble, map[State]int{Done: 12})
	})
}

func (c *fakeCluster) started(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for id, k := range c.starts {
		if strings.HasPrefix(id, jobID("c", key)+"-") {
			n += k
		}
	}
	return n
}

// TestLostStart guards against a second start of a non-idempotent task on a lost worker, and against ignoring its result when it
// arrives late.
func TestLostStart(t *testing.T) {
	scenario(t, "a non-idempotent task on a lost worker is unknown until its result arrives", 2, func(f *fixture, c *fakeCluster) {
		c.behaviourOf = func(string) taskBehaviour { return taskBehaviour{time: 5 * time.Second, nonIdempotent: true} }
		s := batch("k", 1, smallTask)
		s.Idempotent = false
		f.mustAccept(s)
		time.Sleep(time.Second)
		w := c.workers[c.running(jobID("c", "k"))[0]]
		c.withLock(func() { w.unreachableUntil = time.Now().Add(time.Minute) })
		time.Sleep(14 * time.Second)
		So(f.counts("k"), ShouldResemble, map[State]int{Running: 1})
		// The third lost renewal ends up to 6.8 s after the cut, the lease expires 16 s later, and the next probe follows within 2.8 s.
		time.Sleep(11600 * time.Millisecond)
		So(f.counts("k"), ShouldResemble, map[State]int{Unknown: 1})
		time.Sleep(time.Minute)
		So(f.counts("k"), ShouldResemble, map[State]int{Done: 1})
		So(c.started("k"), ShouldEqual, 1)
	})
}

// TestGangs guards against a deadlock of two gangs that each hold a part of what the other needs, a gang that is starved by a
// stream of small tasks, and a partly started gang that keeps its resources.
func TestGangs(t *testing.T) {
	scenario(t, "two gangs and a stream of small tasks all run", 2, func(f *fixture, c *fakeCluster) {
		c.behaviourOf = func(string) taskBehaviour { return taskBehaviour{time: 8 * time.Second} }
		for i := range 40 {
			f.mustAccept(batch(fmt.Sprint("s", i), 2, smallTask))
			if i == 8 {
				for _, key := range []string{"g1", "g2"} {
					f.mustAccept(Spec{Customer: "c", Key: key, Kind: Gang, Idempotent: true, Tasks: 6, Resources: smallTask})
				}
			}
			time.Sleep(2 * time.Second)
		}
		time.Sleep(2 * time.Minute)
		So(f.counts("g1"), ShouldResemble, map[State]int{Done: 6})
		So(f.counts("g2"), ShouldResemble, map[State]int{Done: 6})
	})
	scenario(t, "a gang that starts only in part is undone and started again", 2, func(f *fixture, c *fakeCluster) {
		c.behaviourOf = func(string) taskBehaviour { return taskBehaviour{time: 20 * time.Second} }
		c.withLock(func() { c.workers["w01"].pausedUntil = time.Now().Add(12 * time.Second) })
		f.mustAccept(Spec{Customer: "c", Key: "g", Kind: Gang, Idempotent: true, Tasks: 2, Resources: Resources{CPUMilli: 3000, MemoryMB: 1}})
		time.Sleep(900 * time.Millisecond)
		So(len(c.running(jobID("c", "g"))), ShouldEqual, 1)
		time.Sleep(13 * time.Second)
		So(len(c.running(jobID("c", "g"))), ShouldEqual, 0)
		time.Sleep(time.Minute)
		So(f.counts("g"), ShouldResemble, map[State]int{Done: 2})
	})
}

// TestLeavingWorker guards against new tasks on a leaving worker, and against a service whose tasks stay there or run twice.
func TestLeavingWorker(t *testing.T) {
	scenario(t, "a service moves off a leaving worker", 2, func(f *fixture, c *fakeCluster) {
		c.behaviourOf = func(string) taskBehaviour { return taskBehaviour{} }
		f.mustAccept(Spec{Customer: "c", Key: "s", Kind: Service, Tasks: 2, Resources: smallTask})
		time.Sleep(time.Second)
		So(c.running(jobID("c", "s")), ShouldResemble, []string{"w00", "w01"})
		c.withLock(func() { c.workers["w00"].leaving = true })
		time.Sleep(6 * time.Second)
		So(c.running(jobID("c", "s")), ShouldResemble, []string{"w01", "w01"})
		c.withLock(func() {
			c.workers["w01"].unreachableUntil = time.Now().Add(time.Hour)
			c.workers["w00"].leaving = false
		})
		time.Sleep(30 * time.Second)
		So(c.running(jobID("c", "s")), ShouldResemble, []string{"w00", "w00"})
		So(f.cancel("s"), ShouldBeNil)
		time.Sleep(5 * time.Second)
		So(f.counts("s"), ShouldResemble, map[State]int{Cancelled: 2})
	})
}

// TestRenewals guards against an owner that wakes up for each worker's renewal separately. It also guards against a worker that
// waits for longer than an interval, or is renewed twice in one interval, when the number of workers changes.
func TestRenewals(t *testing.T) {
	scenario(t, "renewals of a pool come in a few batches per interval", 50, func(f *fixture, c *fakeCluster) {
		time.Sleep(5*time.Second + renewInterval/8) // between two batches
		c.withLock(func() { clear(c.renewals) })
		time.Sleep(10 * renewInterval)
		c.withLock(func() {
			sum := 0
			for _, n := range c.renewals {
				sum += n
			}
			So(sum, ShouldEqual, 10*50)
			So(len(c.renewals), ShouldBeLessThanOrEqualTo, 10*4)
		})
	})
	Convey("A change of the number of batches delays no renewal beyond an interval", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			since := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "since"))
			n := rapid.IntRange(1, 2000).Draw(t, "batches")
			d := untilBatch(since, rapid.IntRange(0, n-1).Draw(t, "batch"), n)
			if d <= 0 || d > renewInterval {
				t.Fatalf("next renewal in %v", d)
			}
		})
	})
}

// TestFailures guards against an unhealthy worker that attracts tasks because it ends them fast, a job that is retried for ever,
// and failing jobs that quarantine healthy workers.
func TestFailures(t *testing.T) {
	scenario(t, "an unhealthy worker is quarantined and its tasks run elsewhere", 8, func(f *fixture, c *fakeCluster) {
		c.withLock(func() { c.workers["w03"].failsAll = true })
		for i := range 60 {
			f.mustAccept(batch(fmt.Sprint("k", i), 1, smallTask))
		}
		time.Sleep(20 * time.Second)
		state := f.pool.State().([]PartitionState)[0]
		So(state.Workers[3].QuarantinedUntil, ShouldHappenAfter, time.Now())
		time.Sleep(2 * time.Minute)
		for i := range 60 {
			So(f.counts(fmt.Sprint("k", i)), ShouldResemble, map[State]int{Done: 1})
		}
	})
	scenario(t, "jobs that always fail end as failed, and most workers stay schedulable", 8, func(f *fixture, c *fakeCluster) {
		c.behaviourOf = func(string) taskBehaviour { return taskBehaviour{time: time.Second, fails: true} }
		for i := range 20 {
			f.mustAccept(batch(fmt.Sprint("k", i), 1, smallTask))
		}
		time.Sleep(2 * time.Minute)
		for i := range 20 {
			So(f.counts(fmt.Sprint("k", i)), ShouldResemble, map[State]int{Failed: 1})
		}
		schedulable := 0
		for _, w := range f.pool.State().([]PartitionState)[0].Workers {
			if w.Schedulable {
				schedulable++
			}
		}
		So(schedulable, ShouldBeGreaterThanOrEqualTo, 6)
		_, err := json.Marshal(f.pool.State())
		So(err, ShouldBeNil)
	})
}

// TestOveruse guards against a worker whose tasks use more memory than it has.
func TestOveruse(t *testing.T) {
	scenario(t, "the task with the largest overuse is throttled, then moved with its observed size", 2, func(f *fixture, c *fakeCluster) {
		c.behaviourOf = func(id string) taskBehaviour {
			run := taskBehaviour{time: time.Minute}
			if strings.HasPrefix(id, jobID("c", "big")) {
				run.usage = Resources{MemoryMB: 6000}
			}
			return run
		}
		for _, key := range []string{"big", "k1", "k2", "k3"} {
			f.mustAccept(batch(key, 1, Resources{CPUMilli: 1000, MemoryMB: 2000}))
		}
		time.Sleep(20 * time.Second)
		for _, w := range f.pool.State().([]PartitionState)[0].Workers {
			So(w.Used.FitsIn(w.Capacity), ShouldBeTrue)
		}
		So(c.started("big"), ShouldBeGreaterThan, 1)
		time.Sleep(2 * time.Minute)
		So(f.counts("big"), ShouldResemble, map[State]int{Done: 1})
	})
}

// TestProcessorOveruse guards against workers whose tasks keep using more processors than the worker has, and against stopping a
// non-idempotent task for it.
func TestProcessorOveruse(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		scenario(t, fmt.Sprintf("the task with the largest overuse is moved if it is idempotent: %t", idempotent), 2, func(f *fixture, c *fakeCluster) {
			c.behaviourOf = func(id string) taskBehaviour {
				if strings.HasPrefix(id, jobID("c", "big")) {
					return taskBehaviour{time: time.Minute, usage: Resources{CPUMilli: 3500}, nonIdempotent: !idempotent}
				}
				return taskBehaviour{time: time.Minute}
			}
			for _, key := range []string{"big", "k1", "k2", "k3"} {
				s := batch(key, 1, Resources{CPUMilli: 1000, MemoryMB: 10})
				s.Idempotent = key != "big" || idempotent
				_, err := f.submit(s)
				So(err, ShouldBeNil)
			}
			time.Sleep(30 * time.Second)
			for _, w := range f.pool.State().([]PartitionState)[0].Workers {
				So(!idempotent || w.Used.FitsIn(w.Capacity), ShouldBeTrue)
			}
			time.Sleep(2 * time.Minute)
			for _, key := range []string{"big", "k1", "k2", "k3"} {
				So(f.counts(key), ShouldResemble, map[State]int{Done: 1})
			}
			So(c.started("big") == 1, ShouldEqual, !idempotent)
		})
	}
}

// TestGangAvoidsFailedWorkers guards against a gang that is placed again and again on the one worker that fails its tasks, until
// the job has failed.
func TestGangAvoidsFailedWorkers(t *testing.T) {
	Convey("Given a gang with failed tasks", t, func() {
		now := time.Now()
		gang := item{job: &job{tasks: []*task{{failedOn: []string{"w1"}}, {failedOn: []string{"w1", "w2"}}}}, queuedAt: now}
		So(gang.workersToAvoid(now), ShouldResemble, []string{"w1", "w2"})
		Convey("it avoids none of their workers after a long wait, as the others may be too few", func() {
			So(gang.workersToAvoid(now.Add(reserveAfter)), ShouldBeEmpty)
		})
		Convey("it avoids none after failures on so many workers that it is more likely at fault itself", func() {
			gang.job.tasks[0].failedOn = append(gang.job.tasks[0].failedOn, "w3")
			So(gang.workersToAvoid(now), ShouldBeEmpty)
		})
	})
}

// TestTakeover guards against a successor that starts a task while the task may still run for the previous owner, and against an
// owner without a session that still sends calls.
func TestTakeover(t *testing.T) {
	scenario(t, "a successor waits for the report of every worker or for the expiry of the leases", 3, func(f *fixture, c *fakeCluster) {
		c.behaviourOf = func(string) taskBehaviour { return taskBehaviour{time: time.Minute} }
		f.mustAccept(batch("k", 3, Resources{CPUMilli: 3000, MemoryMB: 1000}))
		time.Sleep(time.Second)
		c.withLock(func() { c.workers["w02"].unreachableUntil = time.Now().Add(time.Hour) })
		old := f.pool
		So(f.fence(2*time.Second), ShouldBeNil)
		old.Stop(context.Background(), testPartition, false)
		time.Sleep(5 * time.Second)
		So(f.counts("k"), ShouldResemble, map[State]int{Running: 2, Pending: 1})
		time.Sleep(2 * time.Minute)
		So(f.counts("k"), ShouldResemble, map[State]int{Done: 3})
		So(c.started("k"), ShouldEqual, 4)
	})
	scenario(t, "an owner that lost its session sends no more calls", 3, func(f *fixture, c *fakeCluster) {
		f.plans.change(plan.Allowance{CPUMilli: 1 << 20, MemoryMB: 1 << 20, Tasks: 6})
		for _, key := range []string{"stopped", "waiting"} {
			f.mustAccept(batch(key, 5, smallTask))
		}
		time.Sleep(time.Second)
		So(f.counts("waiting"), ShouldResemble, map[State]int{Running: 1, Pending: 4})
		f.guard.lost.Store(true)
		f.plans.change(unlimited)
		So(f.cancel("stopped"), ShouldBeNil)
		before := c.calls
		time.Sleep(30 * time.Second)
		So(c.calls, ShouldEqual, before)
		_, err := f.submit(batch("late", 1, smallTask))
		So(refusalCode(err), ShouldEqual, CodeNoOwner)
	})
	scenario(t, "a handover keeps tasks running and loses no accepted job", 3, func(f *fixture, c *fakeCluster) {
		c.behaviourOf = func(string) taskBehaviour { return taskBehaviour{time: 10 * time.Second} }
		f.mustAccept(batch("k", 20, smallTask))
		time.Sleep(time.Second)
		So(f.handOver(), ShouldBeNil)
		time.Sleep(time.Minute)
		So(f.counts("k"), ShouldResemble, map[State]int{Done: 20})
		So(c.started("k"), ShouldEqual, 20)
	})
}

// TestMassCancellation guards against cancellations that starve starts, and against an unbounded queue of cancellations.
func TestMassCancellation(t *testing.T) {
	scenario(t, "many cancellations at once take effect and other jobs continue", 4, func(f *fixture, c *fakeCluster) {
		c.behaviourOf = func(string) taskBehaviour { return taskBehaviour{time: 10 * time.Second} }
		for i := range 200 {
			f.mustAccept(batch(fmt.Sprint("k", i), 50, smallTask))
		}
		for i := range 199 {
			So(f.cancel(fmt.Sprint("k", i)), ShouldBeNil)
		}
		time.Sleep(5 * time.Second)
		for i := range 199 {
			So(f.counts(fmt.Sprint("k", i))[Running], ShouldEqual, 0)
		}
		time.Sleep(2 * time.Minute)
		So(f.counts("k199"), ShouldResemble, map[State]int{Done: 50})
		p := f.pool.parts[testPartition]
		p.mu.Lock()
		p.cancels = make([]*job, maxCancellations) // the cancellation loop is not signalled
		p.mu.Unlock()
		f.mustAccept(batch("last", 1, smallTask))
		So(refusalCode(f.cancel("last")), ShouldEqual, CodeQueueFull)
	})
}

// TestRetention guards against ended jobs that are never dropped, a snapshot that loses jobs, and a snapshot that contains
// archived jobs again.
func TestRetention(t *testing.T) {
	scenario(t, "ended jobs survive a compaction and are dropped after a day", 2, func(f *fixture, c *fakeCluster) {
		f.cfg.ArchiveBytes = 1
		So(f.handOver(), ShouldBeNil)
		c.behaviourOf = func(string) taskBehaviour { return taskBehaviour{time: time.Hour} }
		s := batch("deadline", 1, smallTask)
		s.TimeoutMS = 5000
		for _, s := range []Spec{s, batch("open", 2, smallTask)} {
			f.mustAccept(s)
		}
		time.Sleep(10 * time.Second)
		So(f.counts("deadline"), ShouldResemble, map[State]int{Failed: 1})
		f.store.withLock(func() { f.store.down = true })
		So(f.pool.parts[testPartition].compact(), ShouldNotBeNil)
		f.store.withLock(func() { f.store.down = false })
		for range 2 {
			So(f.pool.parts[testPartition].compact(), ShouldBeNil)
			So(len(f.store.archives), ShouldEqual, 1)
			So(fmt.Sprintf("%s", f.store.records), ShouldNotContainSubstring, "deadline")
			So(f.handOver(), ShouldBeNil)
			So(f.counts("deadline"), ShouldResemble, map[State]int{Failed: 1})
			f.mustAccept(s) // the same Spec: returns the status of the ended job
			other := s
			other.RunMS++
			_, err := f.submit(other)
			So(refusalCode(err), ShouldEqual, CodeKeyReused)
		}
		time.Sleep(2 * time.Hour)
		So(f.counts("open"), ShouldResemble, map[State]int{Done: 2})
		time.Sleep(25 * time.Hour)
		_, err := f.pool.Status(testPartition, "c", "open")
		So(refusalCode(err), ShouldEqual, CodeNotFound)
		So(f.pool.parts[testPartition].compact(), ShouldBeNil)
		So(f.store.archives, ShouldBeEmpty)
	})
}

// TestReusedKey guards against the loss of an accepted job whose key belonged to an earlier job. The earlier job was dropped
// after its retention, but its record is still in the journal.
func TestReusedKey(t *testing.T) {
	for _, earlier := range []string{"done", "archived", "cancelled"} {
		scenario(t, "the key of a job is used again after its retention: "+earlier, 1, func(f *fixture, c *fakeCluster) {
			f.cfg.ArchiveBytes, f.cfg.Retention = 1, time.Hour
			So(f.handOver(), ShouldBeNil)
			f.mustAccept(batch("k", 1, smallTask))
			time.Sleep(2 * time.Second)
			if earlier == "cancelled" {
				So(f.cancel("k"), ShouldBeNil) // its end is not journaled
			}
			time.Sleep(10 * time.Second)
			if earlier == "archived" {
				So(f.pool.parts[testPartition].compact(), ShouldBeNil)
				So(len(f.store.archives), ShouldEqual, 1)
			}
			time.Sleep(f.cfg.Retention + time.Minute)
			f.mustAccept(batch("k", 2, smallTask))
			for range 2 {
				So(f.handOver(), ShouldBeNil)
				time.Sleep(10 * time.Second)
				So(f.counts("k"), ShouldResemble, map[State]int{Done: 2})
			}
			p := f.pool.parts[testPartition]
			So([]int{len(p.jobs), len(p.customers["c"]), len(p.endedJobs), p.openTasks}, ShouldResemble, []int{1, 1, 1, 0})
		})
	}
}

// TestArchiveFormat guards against archives that lose part of a job, against a truncated archive that is read as a shorter one,
// and against ignoring the JSON archives of earlier versions, whose jobs would run again.
func TestArchiveFormat(t *testing.T) {
	Convey("an archive restores its jobs", t, func() {
		at := time.Now()
		j := &job{
			spec: Spec{Customer: "c", Key: "k", Kind: Gang, Class: Bulk}, fingerprint: batch("k", 1, smallTask).fingerprint(), reason: "r",
			at: at.Add(-time.Hour), endedAt: at, counts: map[State]int{Done: 1, Failed: 2, Cancelled: 3, Unknown: 300},
		}
		j.id = jobID("c", "k")
		w := newArchiveWriter(7)
		empty := w.raw.Len()
		w.add(j)
		raw := w.raw.Bytes()
		former := record{T: recordArchive, Archive: 7, Jobs: []record{recordOfEndedJob(j)}}.encode()
		for _, raw := range [][]byte{raw, former} {
			p := &partition{cfg: Config{Retention: time.Hour}, jobs: map[string]*job{}, customers: map[string][]*job{}}
			So(p.restore([][]byte{raw}), ShouldBeNil)
			So(p.archives.list, ShouldHaveLength, 1)
			So(p.archives.lastID, ShouldEqual, 7)
			So(p.archives.list[0].newest.Equal(at), ShouldBeTrue)
			got := p.acceptedJob("c", "k")
			So(got.archived, ShouldBeTrue)
			So(got.fingerprint, ShouldEqual, j.fingerprint)
			want, st := j.status(), got.status()
			So(st.AcceptedAt.Equal(want.AcceptedAt) && st.EndedAt.Equal(want.EndedAt), ShouldBeTrue)
			st.AcceptedAt, st.EndedAt = want.AcceptedAt, want.EndedAt
			So(st, ShouldResemble, want)
		}
		for n := empty + 1; n < len(raw); n++ {
			So(new(partition).restore([][]byte{raw[:n]}), ShouldNotBeNil)
		}
	})
}

// TestUnknownTask guards against a running task of an unknown job that keeps its resources, and against placing tasks on the
// resources that it uses.
func TestUnknownTask(t *testing.T) {
	scenario(t, "a task of an unknown job is counted and stopped", 1, func(f *fixture, c *fakeCluster) {
		c.behaviourOf = func(string) taskBehaviour { return taskBehaviour{} }
		c.withLock(func() { c.workers["w00"].ignoresOrders = true })
		start := worker.Start{TaskID: "stray-0", Attempt: 1, Epoch: 1, LeaseMS: 600_000, Resources: workerSize}
		So(c.Start(context.Background(), "w00", start), ShouldBeNil)
		time.Sleep(2100 * time.Millisecond)
		f.mustAccept(batch("k", 1, smallTask))
		time.Sleep(10 * time.Second)
		So(c.started("k"), ShouldEqual, 0)
		c.withLock(func() { c.workers["w00"].ignoresOrders = false })
		time.Sleep(10 * time.Second)
		So(c.running("stray"), ShouldBeEmpty)
		So(c.started("k"), ShouldEqual, 1)
	})
}

// TestSchedulingOrder guards against urgent tasks that wait behind others, and against a job that does not fit and blocks the
// jobs behind it.
func TestSchedulingOrder(t *testing.T) {
	scenario(t, "urgent tasks come first, and a job that does not fit does not block others", 1, func(f *fixture, c *fakeCluster) {
		c.behaviourOf = func(string) taskBehaviour { return taskBehaviour{time: 10 * time.Second} }
		whole := Resources{CPUMilli: 4000, MemoryMB: 1000}
		for _, key := range []string{"running", "large", "bulk", "normal", "urgent"} {
			s := batch(key, 3, smallTask)
			switch key {
			case "running":
				s.Tasks = 2
			case "large":
				s.Tasks, s.Resources = 1, whole
			case "bulk", "urgent":
				s.Class = Class(key)
			}
			f.mustAccept(s)
			if key == "running" {
				time.Sleep(time.Second)
				f.plans.change(plan.Allowance{CPUMilli: 1 << 20, MemoryMB: 1 << 20, Tasks: 2})
			}
		}
		f.plans.withLock(func() { f.plans.next = &unlimited }) // an edit that takes effect during a scheduling round
		time.Sleep(time.Second)
		So(f.counts("urgent"), ShouldResemble, map[State]int{Running: 2, Pending: 1})
		So(f.counts("normal"), ShouldResemble, map[State]int{Pending: 3})
		time.Sleep(11 * time.Second)
		So(f.counts("urgent")[Pending], ShouldEqual, 0)
		So(f.counts("normal")[Pending], ShouldEqual, 0)
		So(f.counts("large"), ShouldResemble, map[State]int{Pending: 1})
		So(f.counts("bulk"), ShouldResemble, map[State]int{Pending: 3})
		time.Sleep(2 * time.Minute)
		for _, key := range []string{"large", "bulk", "normal"} {
			So(f.counts(key)[Done], ShouldBeGreaterThan, 0)
		}
	})
}
