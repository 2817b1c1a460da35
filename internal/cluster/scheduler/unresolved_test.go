package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/workload"
)

// Guards against two concurrent runs of a task: after a full list of ends a successor extends the lease of what an earlier owner started,
// and starts its tasks again when the lease known at the takeover has expired.
func TestInheritedTaskWaitsForLeaseThatTheSuccessorExtended(t *testing.T) {
	Convey("Given a successor that knows a full list of ends of a worker, and whose next renewal there was not answered", t, func() {
		g := newFixture(2, 1)
		g.AddUnresolvedWorker("w9", at(10*time.Second))
		g.UpsertWorker(t0, WorkerInfo{ID: "w9", Service: testService, Address: "w9", Incarnation: 1})
		g.AddJob(t0, g.job("old", t0, simpleStep(1)), nil, true)
		g.HandleReport(at(time.Second), Report{Worker: "w9", Incarnation: 1, SentAt: at(time.Second), MoreEnded: true,
			Ended: []EndedRun{{Number: 1, Task: workload.TaskID{Job: "another"}, Run: 1, Reason: EndDone}}})
		g.MarkUnreachable(at(7*time.Second), "w9", at(12*time.Second))
		Convey("A task of the earlier owner starts once that lease has expired, not before", func() {
			g.LimitUnresolvedLease(at(9 * time.Second))
			So(g.plan(at(11*time.Second)).Starts, ShouldBeEmpty)
			So(g.plan(at(13*time.Second)).Starts, ShouldHaveLength, 1)
		})
	})
	Convey("Given a worker that has not reported to the successor, its tasks don't wait longer than the earlier owners' leases", t, func() {
		g := newFixture(2, 1)
		g.AddUnresolvedWorker("w9", at(10*time.Second))
		g.UpsertWorker(t0, WorkerInfo{ID: "w9", Service: testService, Address: "w9", Incarnation: 1})
		g.AddJob(t0, g.job("old", t0, simpleStep(1)), nil, true)
		g.ExtendLease("w9", at(20*time.Second))
		So(g.plan(at(9*time.Second)).Starts, ShouldBeEmpty)
		So(g.plan(at(11*time.Second)).Starts, ShouldHaveLength, 1)
	})
}

// Guards against tasks that run twice by a successor that was paused: another owner has claimed meanwhile and has extended the lease of a
// run that an earlier owner started, or acknowledged its end, and the paused one takes the run for gone.
func TestWorkerIsGivenUpOnlyByAConfirmedOwner(t *testing.T) {
	for name, resolve := range map[string]func(g *fixture){
		"does not report": func(*fixture) {},
		"has reported a full list of ends and is silent since": func(g *fixture) {
			g.HandleReport(at(time.Second), Report{Worker: "w9", Incarnation: 1, SentAt: at(time.Second), LeaseUntil: at(6 * time.Second), MoreEnded: true,
				Ended: []EndedRun{{Number: 1, Task: workload.TaskID{Job: "another"}, Run: 1, Reason: EndDone}}})
			g.MarkUnreachable(at(2*time.Second), "w9", at(6*time.Second))
		},
		"has restarted since": func(g *fixture) {
			g.HandleReport(at(6*time.Second), Report{Worker: "w9", Incarnation: 2, SentAt: at(6 * time.Second), LeaseUntil: at(11 * time.Second)})
			g.DelistWorker("w9") // the task starts on the other one
			g.MarkUnreachable(at(7*time.Second), "w9", at(11*time.Second))
		},
	} {
		Convey("Given a successor and a worker that "+name, t, func() {
			g := newFixture(2, 1)
			g.AddUnresolvedWorker("w9", at(5*time.Second))
			g.SetPreviousUse("w9", WorkerUse{Incarnation: 1}, t0)
			g.UpsertWorker(t0, WorkerInfo{ID: "w9", Service: testService, Address: "w9", Incarnation: 1})
			g.AddJob(t0, g.job("old", t0, simpleStep(1)), nil, true)
			before, _, _ := g.TakeAllRecords()
			resolve(g)
			expired := at(7 * time.Second)
			So(g.Plan(expired).Starts, ShouldBeEmpty)
			So(g.UnresolvedWorkers(), ShouldBeEmpty)
			Convey("A commit that was built before its leases had expired confirms nothing", func() {
				g.MarkGenerationStored(before)
				So(g.Plan(expired).Starts, ShouldBeEmpty)
			})
			Convey("Its tasks start once a later commit has confirmed the ownership, without waiting for a complete plan", func() {
				generation, _, needed := g.TakeAllRecords()
				So(needed, ShouldBeTrue)
				g.MarkGenerationStored(generation)
				So(g.PlanChanged(expired).Starts, ShouldHaveLength, 1)
			})
		})
	}
}

// Guards against a successor that counts the longest lease from the moment at which the list shows a restart, while the previous owner may
// still send calls that the later incarnation carries out.
func TestListedRestartUnderAnOwnerThatGoesOn(t *testing.T) {
	const goesOn = 8 * time.Second
	for name, staleLease := range map[string]bool{"which did not know of an earlier restart": false, "which has seen an earlier restart": true} {
		Convey("Given a previous owner that may go on, "+name+", and a worker that is listed as restarted", t, func() {
			g := newFixture(2, 0)
			g.cfg.Began, g.cfg.StaleLease = t0, testStaleLease
			g.AddUnresolvedWorker("w9", at(goesOn+5*time.Second))
			g.SetPreviousUse("w9", WorkerUse{Incarnation: 1, StaleLease: staleLease}, at(goesOn))
			g.UpsertWorker(at(time.Second), WorkerInfo{ID: "w9", Service: testService, Address: "w9", Incarnation: 2})
			Convey("It is waited for until the longest lease has expired since that owner stops", func() {
				g.plan(at(goesOn + testStaleLease - time.Millisecond))
				So(g.UnresolvedWorkers(), ShouldHaveLength, 1)
				g.plan(at(goesOn + testStaleLease + time.Millisecond))
				So(g.UnresolvedWorkers(), ShouldBeEmpty)
			})
			Convey("If that owner is known to be gone, the lease counts from then, and from the listing", func() {
				g.LimitUnresolvedLease(at(2 * time.Second))
				g.LimitPreviousUse(at(2 * time.Second))
				g.plan(at(2*time.Second + testStaleLease - time.Millisecond))
				So(g.UnresolvedWorkers(), ShouldHaveLength, 1)
				g.plan(at(2*time.Second + testStaleLease + time.Millisecond))
				So(g.UnresolvedWorkers(), ShouldBeEmpty)
			})
		})
	}
}

// Guards against two runs of a task: a restarted worker is cut off from the platform, too, so that its entry expires before its lease, and
// the successor forgets with the entry that the lease may be the longest one.
func TestStaleLeaseOutlastsTheEntryOfItsWorker(t *testing.T) {
	for name, use := range map[string]WorkerUse{
		"as the previous owner has stored it": {Incarnation: 2, StaleLease: true},
		"as its entry has shown":              {Incarnation: 1},
	} {
		Convey("Given a worker of the previous owner, which has restarted "+name, t, func() {
			g := newFixture(2, 1)
			g.cfg.Began, g.cfg.StaleLease = t0, testStaleLease
			g.AddUnresolvedWorker("w9", at(5*time.Second))
			g.SetPreviousUse("w9", use, t0)
			g.AddJob(t0, g.job("old", t0, simpleStep(1)), nil, true)
			g.UpsertWorker(t0, WorkerInfo{ID: "w9", Service: testService, Address: "w9", Incarnation: 2})
			g.plan(at(time.Second))
			g.DelistWorker("w9")
			g.plan(at(2 * time.Second))
			Convey("Its tasks start once the longest lease has expired", func() {
				So(g.plan(at(testStaleLease-time.Millisecond)).Starts, ShouldBeEmpty)
				So(g.plan(at(testStaleLease+time.Millisecond)).Starts, ShouldHaveLength, 1)
			})
			Convey("A successor has to know that until then", func() {
				So(g.Use("w9", at(3*time.Second)), ShouldResemble, WorkerUse{Incarnation: use.Incarnation, StaleLease: true})
			})
		})
	}
}

// Guards against two runs of a task: with the entry of a silent worker that has reported a full list of ends, the successor forgets the
// lease that its own unanswered calls may have extended.
func TestExtendedLeaseOutlastsTheEntryOfItsWorker(t *testing.T) {
	Convey("Given a worker of the previous owner that has reported a full list of ends, is silent and not listed any more", t, func() {
		g := newFixture(2, 1)
		g.AddUnresolvedWorker("w9", at(5*time.Second))
		g.SetPreviousUse("w9", WorkerUse{Incarnation: 1}, t0)
		g.AddJob(t0, g.job("old", t0, simpleStep(1)), nil, true)
		g.UpsertWorker(t0, WorkerInfo{ID: "w9", Service: testService, Address: "w9", Incarnation: 1})
		g.HandleReport(at(time.Second), Report{Worker: "w9", Incarnation: 1, SentAt: at(time.Second), LeaseUntil: at(6 * time.Second), MoreEnded: true,
			Ended: []EndedRun{{Number: 1, Task: workload.TaskID{Job: "another"}, Run: 1, Reason: EndDone}}})
		g.MarkUnreachable(at(3*time.Second), "w9", at(8*time.Second))
		g.DelistWorker("w9")
		g.plan(at(4 * time.Second))
		Convey("Its tasks start once that lease has expired", func() {
			So(g.plan(at(7*time.Second)).Starts, ShouldBeEmpty)
			So(g.plan(at(8*time.Second+time.Millisecond)).Starts, ShouldHaveLength, 1)
			So(g.workers["w9"], ShouldBeNil)
		})
	})
}
