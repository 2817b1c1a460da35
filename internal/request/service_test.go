package request

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/greengagewing/greengagewing/commitlog"
	"github.com/greengagewing/greengagewing/idempotency"
	"github.com/greengagewing/greengagewing/internal/membership"
	"github.com/greengagewing/greengagewing/internal/plan"
)

const testPartition = "request/textos/3"

// runInSynctest runs a test in virtual time, on a partition with the given number of minions.
func runInSynctest(t *testing.T, title string, minions int, body func(b *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		Convey(title, t, func() {
			b := newFixture(testPartition, minions, nil)
			defer b.close()
			body(b)
		})
	})
}

// TestAnswers guards against an outcome "done" for an answer that is incomplete or belongs to another attempt, against
// "not run" without certainty, and against the reuse of a connection that carried such an answer.
func TestAnswers(t *testing.T) {
	for fault, want := range map[string]Result{
		"": Done, "lost": Unknown, "dropped": Unknown, "crossed": Unknown, "unnamed": Unknown, "truncated": Unknown,
		"corrupted": Unknown, "error": Unknown, "crossed refusal": Unknown, "refuse": NotRun, "leaving": NotRun,
	} {
		runInSynctest(t, "Non-idempotent request, fault "+fault, 3, func(b *fixture) {
			o := b.submitOnce(time.Second, workload{Key: "k", Fault: fault})
			So(o.Result, ShouldEqual, want)
			again := b.submitOnce(time.Second, workload{Key: "k", Fault: fault})
			So(again.Result, ShouldEqual, want)
			So(again.Code, ShouldEqual, o.Code)
			So(b.net.runCount("k"), ShouldBeLessThanOrEqualTo, 1)
			if want == NotRun {
				So(HTTPStatus(o), ShouldEqual, http.StatusServiceUnavailable)
				So(o.RetryAfterMS, ShouldBeGreaterThan, 0)
			}
		})
		runInSynctest(t, "Idempotent request, fault "+fault, 3, func(b *fixture) {
			So(b.submitIdempotent(time.Second, workload{Key: "k", Fault: fault}).Result, ShouldEqual, want)
			So(b.net.runCount("k"), ShouldBeLessThanOrEqualTo, 1+maxRetries)
		})
		runInSynctest(t, "Reuse of the connection after fault "+fault, 1, func(b *fixture) {
			b.submitOnce(time.Second, workload{Key: "k", Fault: fault})
			before := b.net.dialed()
			b.submitOnce(time.Second, workload{Key: "next"})
			if want == Done {
				So(b.net.dialed(), ShouldEqual, before)
			} else if fault != "leaving" {
				So(b.net.dialed(), ShouldEqual, before+1)
			}
		})
	}
	runInSynctest(t, "A duplicated answer is not taken for the answer to the next attempt", 1, func(b *fixture) {
		So(b.submitOnce(time.Second, workload{Key: "k", Fault: "duplicated"}).Result, ShouldEqual, Done)
		o := b.submitOnce(time.Second, workload{Key: "next"})
		So(o.Result == Done && string(o.Answer) == `{"key":"k"}`, ShouldBeFalse)
		So(b.net.runCount("next"), ShouldBeLessThanOrEqualTo, 1)
	})
	runInSynctest(t, "A request with a lost attempt is unknown even if its retry expires in the queue", 1, func(b *fixture) {
		b.occupySlots(7, 5000)
		synctest.Wait()
		lost := b.submitAsync(b.request(true, 2*time.Second, workload{Key: "k", Fault: "dropped", MS: 3000}))
		So((<-lost).Result, ShouldEqual, Unknown)
		time.Sleep(500 * time.Millisecond)
		So(b.maxRunningPerMinion(), ShouldEqual, 8) // the slot of the lost attempt remains occupied
		So(b.net.runCount("k"), ShouldEqual, 1)
	})
	runInSynctest(t, "An answer after the caller's deadline is recorded, and no outcome is reported without a record", 1, func(b *fixture) {
		o := b.submitOnce(time.Second, workload{Key: "k", MS: 3000})
		So(o.Result, ShouldEqual, Unknown)
		So(b.Lookup(testPartition, b.customer, "k").Code, ShouldEqual, CodeInProgress)
		So(HTTPStatus(b.Lookup(testPartition, b.customer, "k")), ShouldEqual, http.StatusAccepted)
		time.Sleep(3 * time.Second)
		So(b.Lookup(testPartition, b.customer, "k").Result, ShouldEqual, Done)
		o = b.Lookup(testPartition, b.customer, "other")
		So(o.Result, ShouldEqual, Unknown) // a missing record does not prove that the request did not run
		So(HTTPStatus(o), ShouldEqual, http.StatusNotFound)
		So(HTTPStatus(b.Lookup("request/textos/0", b.customer, "k")), ShouldEqual, http.StatusServiceUnavailable)
	})
}

// TestKeys guards against a second run of a key that has an outcome or is running, and against a recorded outcome that
// changes because the caller disconnected.
func TestKeys(t *testing.T) {
	runInSynctest(t, "A running request is joined and a recorded outcome returned, both without use of the allowance", 1, func(b *fixture) {
		for i, idempotent := range []bool{false, true} {
			j := workload{Key: fmt.Sprint("k", i), MS: 500}
			ctx, cancel := context.WithCancel(context.Background())
			gone := make(chan Outcome, 1)
			go func() { gone <- b.Submit(ctx, testPartition, b.request(idempotent, 5*time.Second, j)) }()
			synctest.Wait()
			again := b.request(idempotent, 5*time.Second, j)
			again.Payload = append([]byte(" "), again.Payload...) // as another entry host may forward it
			joined := b.submitAsync(again)
			synctest.Wait()
			cancel()
			So((<-gone).Result, ShouldEqual, Unknown)
			So((<-joined).Result, ShouldEqual, Done)
			withLock(&b.fakeLists.mu, func() { b.fakeLists.allowed.Concurrency = 0 })
			So(b.Submit(context.Background(), testPartition, b.request(idempotent, time.Second, j)).Result, ShouldEqual, Done)
			So(b.net.runCount(j.Key), ShouldEqual, 1)
			j.MS++
			o := b.Submit(context.Background(), testPartition, b.request(idempotent, time.Second, j))
			So(o.Code, ShouldEqual, CodeKeyReused)
			So(HTTPStatus(o), ShouldEqual, http.StatusUnprocessableEntity)
			withLock(&b.fakeLists.mu, func() { b.fakeLists.allowed.Concurrency = 10 })
		}
	})
	synctest.Test(t, func(t *testing.T) {
		Convey("An archived key returns the outcome of its own request only", t, func() {
			b := newFixture(testPartition, 1, func(d *Deps) { d.RestoreClaims = claimTableWith(idempotency.Config{MaxRecent: 1}) })
			defer b.close()
			for _, key := range []string{"old", "new"} {
				So(b.submitOnce(time.Second, workload{Key: key}).Result, ShouldEqual, Done)
			}
			b.Service.partition(testPartition).compact()
			next := b.successor()
			defer next.Close() // before the network that both services use is closed
			for _, owner := range []*fixture{b, next} {
				o := owner.submitOnce(time.Second, workload{Key: "old"})
				So(o.Result, ShouldEqual, Done)
				So(o.Message, ShouldContainSubstring, "no longer kept")
				So(owner.Lookup(testPartition, b.customer, "old").Result, ShouldEqual, Done)
				So(owner.submitOnce(time.Second, workload{Key: "old", MS: 7}).Code, ShouldEqual, CodeKeyReused)
			}
			So(b.net.runCount("old"), ShouldEqual, 1)
		})
	})
}

// TestTakeover guards against a second run after the owner was lost while requests ran, and against more than 8
// attempts on a minion that still runs attempts of the previous owner.
func TestTakeover(t *testing.T) {
	runInSynctest(t, "A new owner never sends a request that the previous owner claimed", 1, func(b *fixture) {
		var running []<-chan Outcome
		for i := range 8 {
			running = append(running, b.submitAsync(b.request(false, 9*time.Second, workload{Key: fmt.Sprint("old", i), MS: 8000})))
		}
		synctest.Wait()
		queued := b.submitAsync(b.request(false, 9*time.Second, workload{Key: "queued"}))
		time.Sleep(time.Second)
		b.fakeGuard.lost.Store(true)
		n := b.successor()
		defer n.Close()
		time.Sleep(100 * time.Millisecond)
		b.Stop(context.Background(), testPartition, false)
		So((<-queued).Code, ShouldEqual, CodeNoOwner)
		So(n.submitOnce(time.Second, workload{Key: "old0", MS: 8000}).Result, ShouldEqual, Unknown)
		So(n.submitOnce(time.Second, workload{Key: "new"}).Code, ShouldEqual, CodeDeadlineUnreachable)
		withLock(&b.fakeLists.mu, func() { b.fakeLists.allowed.Concurrency = 9 }) // used up by the open claims of the previous owner
		So(n.submitOnce(9500*time.Millisecond, workload{Key: "new"}).Code, ShouldEqual, CodeAllowanceConcurrency)
		withLock(&b.fakeLists.mu, func() { b.fakeLists.allowed.Concurrency = 100 })
		patient := n.submitAsync(n.request(true, 10*time.Second, workload{Key: "patient"}))
		for _, r := range running {
			So((<-r).Result, ShouldEqual, Done)
		}
		So((<-patient).Result, ShouldEqual, Done)
		So(b.maxRunningPerMinion(), ShouldEqual, 8)
		for i := range 8 {
			So(b.net.runCount(fmt.Sprint("old", i)), ShouldEqual, 1)
		}
		So(b.net.runCount("queued"), ShouldEqual, 0)
	})
	runInSynctest(t, "Slots that the minion reports idle are used at once", 1, func(b *fixture) {
		b.fakeGuard.lost.Store(true)
		withLock(&b.net.mu, func() { b.net.pingBody = `{"slots":8,"in_use":6}` })
		n := b.successor()
		defer n.Close()
		synctest.Wait()
		So(n.submitOnce(time.Second, workload{Key: "early"}).Code, ShouldEqual, CodeAllowanceRate) // no burst after a takeover
		time.Sleep(10 * time.Millisecond)
		for i := range 4 {
			n.submitAsync(n.request(true, 5*time.Second, workload{Key: fmt.Sprint(i), MS: 1000}))
		}
		time.Sleep(500 * time.Millisecond)
		So(b.maxRunningPerMinion(), ShouldEqual, 2)
	})
	runInSynctest(t, "A daemon that has lost the partition sends nothing", 1, func(b *fixture) {
		b.fakeGuard.lost.Store(true)
		So(b.submitOnce(time.Second, workload{Key: "k"}).Code, ShouldEqual, CodeNoOwner)
		loan := Loan{Service: service, AttemptID: "a", Lane: Urgent, TimeoutMS: 1000}
		So(b.ExecuteLoan(context.Background(), loan).Status, ShouldEqual, LoanRefused)
		So(len(b.net.served), ShouldEqual, 0)
	})
}

// TestJournalOutage guards against a non-idempotent request that is sent without a durable claim, and against
// idempotent requests that fail while the journal is unavailable.
func TestJournalOutage(t *testing.T) {
	runInSynctest(t, "Requests whose claims are not written expire and do not run, even after the journal has recovered", 1, func(b *fixture) {
		withLock(&b.fakeJournal.mu, func() { b.fakeJournal.blockUntil = make(chan struct{}) })
		hung := b.submitAsync(b.request(false, 2*time.Second, workload{Key: "hung"}))
		synctest.Wait()
		So(b.submitIdempotent(time.Second, workload{Key: "i"}).Result, ShouldEqual, Done)
		start := time.Now()
		o := <-hung
		So(time.Since(start), ShouldEqual, 2*time.Second)
		So(o.Result, ShouldEqual, NotRun)
		So(o.Code, ShouldEqual, CodeStoreUnavailable)
		So(o.RetryAfterMS, ShouldBeGreaterThan, 0)
		withLock(&b.fakeJournal.mu, func() { close(b.fakeJournal.blockUntil); b.fakeJournal.blockUntil, b.fakeJournal.unhealthy = nil, true })
		time.Sleep(time.Second)
		So(b.net.runCount("hung"), ShouldEqual, 0)
		start = time.Now()
		So(b.submitOnce(time.Second, workload{Key: "sick"}).Code, ShouldEqual, CodeStoreUnavailable)
		So(time.Since(start), ShouldEqual, 0)
		withLock(&b.fakeJournal.mu, func() { b.fakeJournal.unhealthy = false })
		So(b.submitOnce(time.Second, workload{Key: "hung"}).Result, ShouldEqual, Done)
	})
	runInSynctest(t, "A claim that becomes durable after its request has expired is finished as not run", 1, func(b *fixture) {
		withLock(&b.fakeJournal.mu, func() { b.fakeJournal.blockUntil, b.fakeJournal.ignoreContext = make(chan struct{}), true })
		So(b.submitOnce(time.Second, workload{Key: "k"}).Result, ShouldEqual, NotRun)
		withLock(&b.fakeJournal.mu, func() {
			close(b.fakeJournal.blockUntil)
			b.fakeJournal.blockUntil, b.fakeJournal.ignoreContext = nil, false
		})
		synctest.Wait()
		So(b.Lookup(testPartition, b.customer, "k").Result, ShouldEqual, NotRun)
		So(b.submitOnce(time.Second, workload{Key: "k"}).Result, ShouldEqual, Done)
		So(b.net.runCount("k"), ShouldEqual, 1)
	})
	synctest.Test(t, func(t *testing.T) {
		Convey("A record that is appended during a compaction is not lost", t, func() {
			s := &fakeJournal{blockUntil: make(chan struct{})}
			l := newPausableLog(s)
			l.AppendAsync([]byte("old"))
			ended := context.Canceled // until the compaction reports its outcome
			snapshot := commitlog.Compaction{Snapshot: [][]byte{[]byte("snapshot")}}
			go func() {
				_ = l.compact(context.Background(), func() (commitlog.Compaction, func(error)) { return snapshot, func(err error) { ended = err } })
			}()
			synctest.Wait()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			So(l.Append(ctx, []byte("withdrawn")), ShouldEqual, commitlog.ErrNotWritten)
			l.AppendAsync([]byte("finish"))
			appended := make(chan error)
			go func() { appended <- l.Append(context.Background(), []byte("claim")) }()
			synctest.Wait()
			close(s.blockUntil)
			So(<-appended, ShouldBeNil)
			So(l.Flush(context.Background()), ShouldBeNil)
			So(ended, ShouldBeNil)
			So(fmt.Sprintf("%s", s.records), ShouldEqual, "[snapshot finish claim]")
		})
	})
}

// TestQueue guards against requests that stay in the queue after their deadline, refusals without a retry time, claims
// that remain open, and allowances that are read only once.
func TestQueue(t *testing.T) {
	runInSynctest(t, "An expired request is answered at its deadline and its claim is finished", 1, func(b *fixture) {
		b.occupySlots(8, 4000)
		synctest.Wait()
		start := time.Now()
		o := b.submitOnce(700*time.Millisecond, workload{Key: "late"})
		So(time.Since(start), ShouldEqual, 700*time.Millisecond)
		So(o.Code, ShouldEqual, CodeExpired)
		So(HTTPStatus(o), ShouldEqual, http.StatusTooManyRequests)
		So(o.RetryAfterMS, ShouldBeGreaterThan, 0)
		So(b.Lookup(testPartition, b.customer, "late").Result, ShouldEqual, NotRun)
		time.Sleep(4 * time.Second)
		So(b.net.runCount("late"), ShouldEqual, 0)
		b.occupySlots(8, 4000)
		synctest.Wait()
		start = time.Now()
		o = b.submitOnce(100*time.Millisecond, workload{Key: "late"})
		So(time.Since(start), ShouldEqual, 0)
		So(o.Code, ShouldEqual, CodeDeadlineUnreachable)
		So(o.RetryAfterMS, ShouldBeGreaterThan, 100)
		So(b.submitOnce(9*time.Second, workload{Key: "late"}).Result, ShouldEqual, Done)
	})
	runInSynctest(t, "Each limit of the plan is enforced, and an edited plan applies at once", 1, func(b *fixture) {
		submit := func(key string) Outcome { return b.submitIdempotent(time.Second, workload{Key: key}) }
		So(submit("0").Result, ShouldEqual, Done)
		b.fakeLists.allowed.Burst, b.fakeLists.allowed.RequestsPerSecond = 1, 0.5
		So(submit("1").Result, ShouldEqual, Done)
		o := submit("2")
		So(o.Code, ShouldEqual, CodeAllowanceRate)
		So(o.RetryAfterMS, ShouldEqual, 2000)
		time.Sleep(2 * time.Second)
		So(submit("2").Result, ShouldEqual, Done)
		withLock(&b.fakeLists.mu, func() { b.fakeLists.allowed.RequestsPerSecond = 0.005 })
		time.Sleep(3 * accountIdleTimeout) // an idle customer's token bucket is not dropped before it is full
		So(submit("2b").Code, ShouldEqual, CodeAllowanceRate)
		b.fakeLists.allowed.Burst, b.fakeLists.allowed.RequestsPerSecond = 1000, 1000
		time.Sleep(time.Second)
		b.occupySlots(8, 2000)
		synctest.Wait()
		withLock(&b.fakeLists.mu, func() { b.fakeLists.err = plan.ErrUnknownCustomer })
		So(HTTPStatus(submit("3")), ShouldEqual, http.StatusForbidden)
		withLock(&b.fakeLists.mu, func() { b.fakeLists.err = plan.ErrStale })
		So(submit("3").Code, ShouldEqual, CodeStoreUnavailable)
		withLock(&b.fakeLists.mu, func() { b.fakeLists.err, b.fakeLists.allowed.Queue = nil, 0 })
		So(submit("3").Code, ShouldEqual, CodeQueueFull)
		withLock(&b.fakeLists.mu, func() { b.fakeLists.allowed.Concurrency = 8 })
		So(submit("3").Code, ShouldEqual, CodeAllowanceConcurrency)
		time.Sleep(3 * time.Second)
		So(submit("3").Result, ShouldEqual, Done)
	})
}

// TestMinions guards against new attempts for a minion that is leaving, against a failing minion that keeps attracting
// attempts, and against an attempt on a connection whose peer no longer answers.
func TestMinions(t *testing.T) {
	runInSynctest(t, "A minion that reports that it is leaving gets no more attempts", 2, func(b *fixture) {
		So(b.submitOnce(time.Second, workload{Key: "k", Fault: "leaving"}).Result, ShouldEqual, NotRun)
		So(len(b.fakeLists.reportedLeaving), ShouldEqual, 1)
		for i := range 50 {
			So(b.submitOnce(time.Second, workload{Key: fmt.Sprint(i)}).Result, ShouldEqual, Done)
		}
		for id := range b.fakeLists.reportedLeaving {
			So(b.net.served[id+":1"], ShouldEqual, 1)
		}
	})
	runInSynctest(t, "A minion that the membership list shows as leaving finishes its attempts and gets no more", 1, func(b *fixture) {
		running := b.submitAsync(b.request(true, 5*time.Second, workload{Key: "running", MS: 3000}))
		synctest.Wait()
		m := b.fakeLists.minions[0]
		withLock(&b.fakeLists.mu, func() { b.fakeLists.minions = []membership.Endpoint{{ID: m.ID, Addr: m.Addr, Leaving: true}} })
		time.Sleep(refreshInterval + time.Millisecond)
		So(b.submitOnce(time.Second, workload{Key: "k"}).Code, ShouldEqual, CodeNoMinion)
		So((<-running).Result, ShouldEqual, Done)
		So(b.net.served[m.Addr], ShouldEqual, 1)
	})
	runInSynctest(t, "A minion that fails three times is ejected, and later tried with one attempt at a time", 1, func(b *fixture) {
		addr := b.fakeLists.minions[0].Addr
		withLock(&b.net.mu, func() { b.net.down[addr] = true })
		for i := range 3 {
			So(b.submitOnce(time.Second, workload{Key: fmt.Sprint("f", i)}).Code, ShouldEqual, CodeMinionFailed)
		}
		So(b.submitOnce(500*time.Millisecond, workload{Key: "ejected"}).Code, ShouldEqual, CodeDeadlineUnreachable)
		time.Sleep(900 * time.Millisecond)
		withLock(&b.net.mu, func() { delete(b.net.down, addr) })
		first := b.submitAsync(b.request(true, 5*time.Second, workload{Key: "trial", MS: 300}))
		second := b.submitAsync(b.request(true, 5*time.Second, workload{Key: "after", MS: 300}))
		So((<-first).Result, ShouldEqual, Done)
		So((<-second).Result, ShouldEqual, Done)
		So(b.maxRunningPerMinion(), ShouldEqual, 1)
	})
	runInSynctest(t, "The probe detects a silent connection before a non-idempotent attempt uses it", 1, func(b *fixture) {
		So(b.submitOnce(time.Second, workload{Key: "0"}).Result, ShouldEqual, Done)
		So(b.submitOnce(time.Second, workload{Key: "1"}).Result, ShouldEqual, Done)
		So(b.net.dialed(), ShouldEqual, 1)
		withLock(&b.net.mu, func() { b.net.silent = true })
		time.Sleep(probeAfter)
		next := b.submitAsync(b.request(false, 3*time.Second, workload{Key: "2"}))
		time.Sleep(probeTimeout / 2)
		// Only the old connection stays silent: it reads the probe and nothing else.
		withLock(&b.net.mu, func() { b.net.silent = false })
		So((<-next).Result, ShouldEqual, Done)
		So(b.net.dialed(), ShouldEqual, 2)
		So(b.net.runCount("2"), ShouldEqual, 1)
	})
}

// TestRetryBudget guards against retries that multiply the load when everything fails.
func TestRetryBudget(t *testing.T) {
	runInSynctest(t, "Retries stay within a tenth of the requests and the saved budget", 20, func(b *fixture) {
		for i := range 400 {
			fault := "" // every other request succeeds, so that minions are not ejected
			if i%2 == 0 {
				fault = "refuse"
			}
			b.submitIdempotent(100*time.Millisecond, workload{Key: fmt.Sprint(i), Fault: fault})
			time.Sleep(time.Second)
		}
		served := 0
		for _, n := range b.net.served {
			served += n
		}
		So(served, ShouldBeGreaterThan, 400)
		So(served, ShouldBeLessThanOrEqualTo, 400+maxSavedRetries+40)
	})
}

// TestDrain guards against a planned stop that cancels running requests or leaves queued ones unanswered.
func TestDrain(t *testing.T) {
	runInSynctest(t, "A handover answers queued requests at once and waits for running ones", 1, func(b *fixture) {
		var running []<-chan Outcome
		for i := range 8 {
			running = append(running, b.submitAsync(b.request(false, 9*time.Second, workload{Key: fmt.Sprint(i), MS: 3000})))
		}
		synctest.Wait()
		queued := b.submitAsync(b.request(false, 9*time.Second, workload{Key: "queued"}))
		synctest.Wait()
		start := time.Now()
		stopped := make(chan struct{})
		go func() { b.Stop(context.Background(), testPartition, true); close(stopped) }()
		o := <-queued
		So(time.Since(start), ShouldEqual, 0)
		So(o.Result, ShouldEqual, NotRun)
		So(o.Code, ShouldEqual, CodeDraining)
		So(o.RetryAfterMS, ShouldBeBetweenOrEqual, 1, 1000)
		So(b.submitOnce(time.Second, workload{Key: "new"}).Code, ShouldEqual, CodeDraining)
		<-stopped
		So(time.Since(start), ShouldEqual, 3*time.Second)
		for _, r := range running {
			So((<-r).Result, ShouldEqual, Done)
		}
		So(b.fakeJournal.closed, ShouldEqual, 1)
		So(b.submitOnce(time.Second, workload{Key: "new"}).Code, ShouldEqual, CodeNoOwner)
		n := b.successor()
		defer n.Close()
		So(n.submitOnce(time.Second, workload{Key: "3", MS: 3000}).Result, ShouldEqual, Done)
		So(n.submitOnce(time.Second, workload{Key: "queued"}).Code, ShouldEqual, CodeDeadlineUnreachable)
		So(b.net.runCount("3"), ShouldEqual, 1)
	})
	runInSynctest(t, "A handover waits until a lost attempt can no longer run", 1, func(b *fixture) {
		start := time.Now()
		So(b.submitOnce(time.Second, workload{Key: "k", Fault: "dropped", MS: 5000}).Result, ShouldEqual, Unknown)
		b.Stop(context.Background(), testPartition, true)
		So(time.Since(start), ShouldEqual, maxTimeout)
	})
	runInSynctest(t, "A stop has a time limit: attempts still running at the limit are cancelled and have an unknown outcome", 1, func(b *fixture) {
		running := b.submitAsync(b.request(false, 9*time.Second, workload{Key: "k", MS: 8000}))
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		b.Stop(ctx, testPartition, true)
		So((<-running).Result, ShouldEqual, Unknown)
	})
}

// TestSlots guards against more than 8 attempts on a minion when own attempts, loans and failures mix, against lost
// requests, and against a second run of non-idempotent ones.
func TestSlots(t *testing.T) {
	Convey("A daemon that borrows slots from another daemon", t, func() {
		rapid.Check(t, func(rt *rapid.T) {
			synctest.Test(t, func(t *testing.T) { checkMixedLoad(rt) })
		})
	})
}

// checkMixedLoad submits random requests to two daemons, of which one borrows slots from the other one.
func checkMixedLoad(t *rapid.T) {
	lender := newFixture("request/textos/5", 2, nil)
	defer lender.close()
	b := newFixture(testPartition, 2, func(d *Deps) { d.Lender = &unreliableLender{peer: lender.Service} })
	defer b.close()
	var out []<-chan Outcome
	var once []bool
	n := rapid.IntRange(40, 120).Draw(t, "requests")
	for i := range n {
		at := rapid.SampledFrom([]*fixture{b, b, b, lender}).Draw(t, "at")
		r := at.request(rapid.Bool().Draw(t, "idempotent"), 10*time.Second, workload{
			Key: fmt.Sprint("k", i), MS: rapid.Int64Range(0, 300).Draw(t, "ms"),
			Fault: rapid.SampledFrom([]string{"", "", "", "", "", "", "lost", "dropped", "refuse", "error"}).Draw(t, "fault"),
		})
		r.Class = rapid.SampledFrom([]Class{Urgent, Normal, Bulk}).Draw(t, "class")
		out, once = append(out, at.submitAsync(r)), append(once, !r.Idempotent)
		time.Sleep(time.Duration(rapid.IntRange(0, 10).Draw(t, "gap")) * time.Millisecond)
	}
	var results []Result
	for _, o := range out {
		results = append(results, (<-o).Result)
	}
	for _, at := range []*fixture{b, lender} {
		if m := at.maxRunningPerMinion(); m > minionSlots || at.net.maxOpen > 2*minionSlots {
			t.Fatalf("%d attempts at the same time on a minion, %d connections", m, at.net.maxOpen)
		}
	}
	for i := range n {
		runs := b.net.runCount(fmt.Sprint("k", i)) + lender.net.runCount(fmt.Sprint("k", i))
		switch {
		case runs > 1+maxRetries, once[i] && runs > 1:
			t.Fatalf("request %d ran %d times", i, runs)
		case results[i] == NotRun && runs > 0, results[i] == Done && runs == 0, results[i] == "":
			t.Fatalf("request %d: %s after %d runs", i, results[i], runs)
		}
	}
}

// TestLoans guards against loans that wait at the lender, run twice, or use slots beyond the limits of the lanes.
func TestLoans(t *testing.T) {
	runInSynctest(t, "A lender without an idle slot refuses at once, and never runs an attempt twice", 1, func(b *fixture) {
		lend := func(id string, lane Class) LoanStatus {
			payload := []byte(`{"key":"loan","ms":1000}`)
			return b.ExecuteLoan(context.Background(), Loan{service, testPartition, id, lane, 5000, payload}).Status
		}
		So(b.IdleSlots()[service], ShouldEqual, 8)
		for i := range 12 {
			go lend(fmt.Sprint(i), Bulk)
		}
		synctest.Wait()
		So(b.net.runCount("loan"), ShouldEqual, 4) // half of 8
		So(b.IdleSlots()[service], ShouldEqual, 4)
		for i := range 12 {
			go lend(fmt.Sprint("u", i), Urgent)
		}
		synctest.Wait()
		So(b.net.runCount("loan"), ShouldEqual, 8)
		start := time.Now()
		So(lend("x", Urgent), ShouldEqual, LoanRefused)
		So(lend("0", Bulk), ShouldEqual, LoanLost)
		So(time.Since(start), ShouldEqual, 0)
		time.Sleep(2 * time.Second)
		So(lend("x", Urgent), ShouldEqual, LoanLost)
		So(lend("y", Urgent), ShouldEqual, LoanDone)
		So(b.net.runCount("loan"), ShouldEqual, 9)
		So(b.State(), ShouldNotBeNil)
	})
}

// TestLocalLoan guards against a partition without minions that refuses requests while slots of another partition of the
// same daemon are idle.
func TestLocalLoan(t *testing.T) {
	runInSynctest(t, "A partition without minions uses the idle slots of another partition of its daemon", 2, func(b *fixture) {
		other := "request/textos/7"
		So(other, ShouldNotEqual, testPartition)
		So(b.Start(context.Background(), &fakeGuard{partition: other, epoch: 1}), ShouldBeNil)
		customer := idsOf(other, "customer", 1)[0]
		synctest.Wait()
		outcomes := make(chan Outcome, 20)
		for i := range cap(outcomes) {
			go func() {
				outcomes <- b.Submit(context.Background(), other, Request{
					Service: service, Customer: customer, Class: Urgent, Idempotent: i%2 == 0, Key: fmt.Sprint("k", i),
					TimeoutMS: 5000, Payload: []byte(`{"key":"local","ms":100}`),
				})
			}()
		}
		for range cap(outcomes) {
			So((<-outcomes).Result, ShouldEqual, Done)
		}
		So(b.net.runCount("local"), ShouldEqual, cap(outcomes))
	})
}

// TestValidate guards against a refusal of an invalid request with the wrong code or status.
func TestValidate(t *testing.T) {
	ok := Request{Service: "s", Customer: "c", Key: "k", Class: Urgent, TimeoutMS: 1000}
	Convey("Each kind of invalid request has its code", t, func() {
		So(Validate(ok), ShouldBeNil)
		refused := func(code Code, status int, r Request) {
			err := Validate(r)
			So(err, ShouldHaveSameTypeAs, &InvalidError{})
			o := err.(*InvalidError).Outcome()
			So(o.Code, ShouldEqual, code)
			So(HTTPStatus(o), ShouldEqual, status)
		}
		refused(CodeInvalidRequest, 400, Request{Service: "a/b", Customer: "c", Key: "k", Class: Urgent, TimeoutMS: 1})
		refused(CodeInvalidRequest, 400, Request{Service: "s", Key: "k", Class: Urgent, TimeoutMS: 1})
		refused(CodeInvalidRequest, 400, Request{Service: "s", Customer: "c", Key: "k", Class: "late", TimeoutMS: 1})
		refused(CodeDeadlinePast, 400, Request{Service: "s", Customer: "c", Key: "k", Class: Urgent})
		refused(CodeInvalidRequest, 400, Request{Service: "s", Customer: "c", Key: "k", Class: Urgent, TimeoutMS: 10001})
		refused(CodeKeyRequired, 400, Request{Service: "s", Customer: "c", Class: Urgent, TimeoutMS: 1})
		ok.Payload = []byte("{")
		refused(CodeInvalidRequest, 400, ok)
		ok.Payload = make([]byte, maxPayloadBytes+1)
		refused(CodeTooLarge, 413, ok)
		So(string(answerAsJSON([]byte(`{"a":1}`)))+string(answerAsJSON([]byte("a"))), ShouldEqual, `{"a":1}"a"`)
		So(HTTPStatus(Outcome{Result: Done}), ShouldEqual, 200)
		So(HTTPStatus(UnknownOutcome(CodeOutcomeUnknown, "")), ShouldEqual, 504)
		So(HTTPStatus(NotRunOutcome(CodeMinionFailed, "", 0)), ShouldEqual, 503)
		So(HTTPStatus(NotRunOutcome(CodeUnknownCustomer, "", 0)), ShouldEqual, 403)
	})
}
