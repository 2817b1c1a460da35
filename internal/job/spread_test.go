package job

import (
	"context"
	"maps"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/job/placement"
)

// spreadCounts returns the spread counts that the owner keeps for a job, and the counts that follow from its assignments.
func (f *fixture) spreadCounts(key string) (counts, want *placement.Spread) {
	p := f.pool.parts[testPartition]
	p.mu.Lock()
	defer p.mu.Unlock()
	want = placement.NewSpread()
	j := p.jobs[jobID("c", key)]
	for _, t := range j.tasks {
		if t.current != nil {
			want.Count(t.current.w.node, 1)
		}
	}
	// Copied, because the owner continues to change them.
	return &placement.Spread{Domains: maps.Clone(j.spread.Domains), Racks: maps.Clone(j.spread.Racks), Nodes: maps.Clone(j.spread.Nodes)}, want
}

// TestServiceSpread guards against spread counts that are wrong after a worker was lost or left, or after a takeover. Later
// tasks of the service would then be placed in the same rack as others.
func TestServiceSpread(t *testing.T) {
	scenario(t, "a service keeps one task per rack through losses of workers and takeovers", 12, func(f *fixture, c *fakeCluster) {
		c.behaviourOf = func(string) taskBehaviour { return taskBehaviour{} }
		f.mustAccept(Spec{Customer: "c", Key: "s", Kind: Service, Tasks: 6, Resources: smallTask})
		check := func(after time.Duration) {
			time.Sleep(after)
			So(f.counts("s"), ShouldResemble, map[State]int{Running: 6})
			counts, want := f.spreadCounts("s")
			So(counts, ShouldResemble, want)
			So(len(counts.Racks), ShouldEqual, 6)
		}
		check(time.Second)
		on := c.running(jobID("c", "s"))
		c.withLock(func() { c.workers[on[0]].unreachableUntil = time.Now().Add(time.Minute) })
		check(40 * time.Second)
		c.withLock(func() { c.workers[on[1]].leaving = true })
		check(10 * time.Second)
		So(f.handOver(), ShouldBeNil)
		check(20 * time.Second)
		old := f.pool
		So(f.fence(2*time.Second), ShouldBeNil)
		old.Stop(context.Background(), testPartition, false)
		check(20 * time.Second)
	})
}

// TestRelocatedWorker guards against using the rack and failure domain with which a worker was first listed after it has moved.
// Tasks of a service would then share a failure domain.
func TestRelocatedWorker(t *testing.T) {
	scenario(t, "a service is spread by the current rack and failure domain of its workers", 4, func(f *fixture, c *fakeCluster) {
		c.behaviourOf = func(string) taskBehaviour { return taskBehaviour{} }
		f.mustAccept(Spec{Customer: "c", Key: "first", Kind: Service, Tasks: 4, Resources: smallTask})
		time.Sleep(time.Second)
		c.withLock(func() {
			c.workers["w02"].rack = "r0"
			c.workers["w03"].domain, c.workers["w03"].rack = "d2", "r0"
		})
		time.Sleep(2 * time.Second)
		counts, want := f.spreadCounts("first")
		So(counts, ShouldResemble, want)
		So(counts.Racks, ShouldResemble, map[string]int{"d0/r0": 2, "d1/r0": 1, "d2/r0": 1})
		f.mustAccept(Spec{Customer: "c", Key: "later", Kind: Service, Tasks: 3, Resources: smallTask})
		time.Sleep(time.Second)
		counts, _ = f.spreadCounts("later")
		So(counts.Domains, ShouldResemble, map[string]int{"d0": 1, "d1": 1, "d2": 1})
	})
}
