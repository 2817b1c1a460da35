package job

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/greengagewing/greengagewing/internal/job/worker"
)

// TestRandomFaults guards against a violation of a guarantee under any mix of faults: a worker over its capacity, a task that
// runs on two workers at once, a non-idempotent task that is started twice, and a job that never ends although the faults have
// stopped.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Int64().Draw(rt, "seed")
		loss := rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(rt, "loss")
		var problems []string
		synctest.Test(t, func(t *testing.T) { problems = runFaults(seed, loss) })
		if len(problems) > 0 {
			rt.Fatalf("%s", strings.Join(problems, "\n"))
		}
	})
}

const (
	faultTime  = 150 * time.Second // during which faults are injected
	repairTime = 30 * time.Minute  // within which all jobs must end afterwards
)

// runFaults submits and cancels random jobs while it injects faults. It returns the violations and the jobs that did not end.
func runFaults(seed int64, loss float64) []string {
	rng := rand.New(rand.NewSource(seed))
	c := newCluster(seed, 6, Resources{CPUMilli: 8000, MemoryMB: 16_000, Accelerators: 1})
	behaviour := map[string]taskBehaviour{}
	c.behaviourOf = func(taskID string) taskBehaviour { jid, _, _ := splitTaskID(taskID); return behaviour[jid] }
	f := newFixture(c)
	f.cfg.CompactBytes, f.cfg.ArchiveBytes = 4000, 1000
	c.lossRate = loss
	if err := f.startOwner(false); err != nil {
		return []string{err.Error()}
	}
	accepted := map[string]Spec{}
	for end := time.Now().Add(faultTime); time.Now().Before(end); time.Sleep(time.Duration(rng.Intn(1000)) * time.Millisecond) {
		if n := len(behaviour); n < 60 && rng.Intn(2) == 0 {
			s, run := randomJob(rng, fmt.Sprintf("k%d", n))
			c.withLock(func() { behaviour[jobID(s.Customer, s.Key)] = run })
			if _, err := f.submit(s); err == nil || AsRefusal(err).Recorded == RecordedUnknown {
				accepted[s.Key] = s
			}
		}
		if rng.Intn(15) == 0 {
			_, _ = f.pool.Cancel(context.Background(), testPartition, "c", fmt.Sprintf("k%d", rng.Intn(60)))
		}
		if err := f.fault(rng); err != nil {
			return []string{err.Error()}
		}
	}
	f.repair()
	for deadline := time.Now().Add(repairTime); time.Now().Before(deadline); time.Sleep(10 * time.Second) {
		for key, s := range accepted {
			if s.Kind == Service {
				_, _ = f.pool.Cancel(context.Background(), testPartition, "c", key)
			}
		}
	}
	problems := append(c.violations, f.unfinished(accepted)...)
	f.stop()
	return problems
}

func randomJob(rng *rand.Rand, key string) (Spec, taskBehaviour) {
	s := Spec{
		Customer: "c", Key: key, Kind: []Kind{Batch, Batch, Gang, Service}[rng.Intn(4)],
		Class: []Class{Urgent, Normal, Bulk}[rng.Intn(3)], Idempotent: rng.Intn(2) == 0, Tasks: 1 + rng.Intn(5),
		Resources: Resources{CPUMilli: 500 + rng.Int63n(5000), MemoryMB: 500 + rng.Int63n(9000), Accelerators: rng.Int63n(8) / 7},
	}
	run := taskBehaviour{time: time.Duration(1+rng.Intn(60)) * time.Second, fails: rng.Intn(8) == 0}
	if s.Kind == Service {
		s.Idempotent, run.time = true, 0
	}
	if rng.Intn(6) == 0 {
		run.usage = Resources{MemoryMB: s.Resources.MemoryMB * 2}
	}
	run.nonIdempotent = !s.Idempotent
	s.RunMS = run.time.Milliseconds()
	return s, run
}

// fault injects or ends a random fault.
func (f *fixture) fault(rng *rand.Rand) error {
	c := f.cluster
	ws := c.Workers("")
	w := c.workers[ws[rng.Intn(len(ws))].ID]
	span := time.Duration(rng.Intn(25)) * time.Second
	switch rng.Intn(30) {
	case 0:
		c.withLock(func() { w.unreachableUntil = time.Now().Add(span) })
	case 1:
		c.withLock(func() { w.pausedUntil = time.Now().Add(span) })
		time.AfterFunc(span, func() { c.withLock(func() { c.resume(w) }) })
	case 2: // the worker restarts and forgets its tasks
		c.withLock(func() { w.boot++; w.tasks = map[worker.TaskRef]*fakeTask{}; w.buffered = nil; w.maxEpoch = 0 })
	case 3:
		c.withLock(func() { w.leaving = !w.leaving })
	case 4:
		c.withLock(func() { w.failsAll = !w.failsAll })
	case 5:
		f.store.withLock(func() { f.store.down = true })
		time.AfterFunc(span, func() { f.store.withLock(func() { f.store.down = false }) })
	case 6:
		f.store.withLock(func() { f.store.loseNextOutcome = true })
	case 7:
		return f.handOver()
	case 8:
		return f.takeOver(rng)
	}
	return nil
}

// takeOver makes the owner lose its session. A new owner fences it after 1 to 5 s, as when the session's time to live is over;
// the old owner runs on for up to 4 s and is then stopped.
func (f *fixture) takeOver(rng *rand.Rand) error {
	old := f.pool
	if err := f.fence(time.Duration(1000+rng.Intn(4000)) * time.Millisecond); err != nil {
		return err
	}
	time.AfterFunc(time.Duration(rng.Intn(5))*time.Second, func() { old.Stop(context.Background(), testPartition, false) })
	return nil
}

// repair ends all faults.
func (f *fixture) repair() {
	time.Sleep(30 * time.Second)
	f.store.withLock(func() { f.store.down, f.store.loseNextOutcome = false, false })
	f.cluster.withLock(func() {
		f.cluster.lossRate = 0
		for _, w := range f.cluster.workers {
			w.leaving, w.failsAll, w.unreachableUntil, w.pausedUntil = false, false, time.Time{}, time.Time{}
		}
	})
}

// unfinished describes the accepted jobs that have not ended.
func (f *fixture) unfinished(accepted map[string]Spec) []string {
	var out []string
	for key := range accepted {
		st, err := f.pool.Status(testPartition, "c", key)
		if r := AsRefusal(err); r != nil && r.Code == CodeNotFound {
			continue // the outcome of its submission was unknown, and it was not recorded
		}
		if err != nil || !st.State.Final() {
			out = append(out, fmt.Sprintf("job %s did not end: %+v %v", key, st, err))
		}
	}
	return out
}
