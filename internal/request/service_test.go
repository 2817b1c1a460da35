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

const part = "request/textos/3"

// inBubble runs a test of a partition with the given number of minions in virtual time.
func inBubble(t *testing.T, title string, minions int, body func(b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		Convey(title, t, func() {
			b := newBench(part, minions, nil)
			defer b.close()
			body(b)
		})
	})
}

// TestAnswers guards against success on an answer that is not whole or not the attempt's own, against "not run" without
// certainty, and against the reuse of a connection that carried such an answer.
func TestAnswers(t *testing.T) {
	for fault, want := range map[string]Result{
		"": Done, "lost": Unknown, "dropped": Unknown, "crossed": Unknown, "unnamed": Unknown, "truncated": Unknown,
		"corrupted": Unknown, "error": Unknown, "crossed refusal": Unknown, "refuse": NotRun, "leaving": NotRun,
	} {
		inBubble(t, "Once, fault "+fault, 3, func(b *bench) {
			o := b.once(time.Second, job{Key: "k", Fault: fault})
			So(o.Outcome, ShouldEqual, want)
			again := b.once(time.Second, job{Key: "k", Fault: fault})
			So(again.Outcome, ShouldEqual, want)
			So(again.Code, ShouldEqual, o.Code)
			So(b.net.runsOf("k"), ShouldBeLessThanOrEqualTo, 1)
			if want == NotRun {
				So(StatusOf(o), ShouldEqual, http.StatusServiceUnavailable)
				So(o.RetryAfterMS, ShouldBeGreaterThan, 0)
			}
		})
		inBubble(t, "With retries, fault "+fault, 3, func(b *bench) {
			So(b.many(time.Second, job{Key: "k", Fault: fault}).Outcome, ShouldEqual, want)
			So(b.net.runsOf("k"), ShouldBeLessThanOrEqualTo, 1+maxRetries)
		})
		inBubble(t, "The connection after fault "+fault, 1, func(b *bench) {
			b.once(time.Second, job{Key: "k", Fault: fault})
			before := b.net.dialed()
			b.once(time.Second, job{Key: "next"})
			if want == Done {
				So(b.net.dialed(), ShouldEqual, before)
			} else if fault != "leaving" {
				So(b.net.dialed(), ShouldEqual, before+1)
			}
		})
	}
	inBubble(t, "A duplicated answer is not taken for the next attempt's", 1, func(b *bench) {
		So(b.once(time.Second, job{Key: "k", Fault: "duplicated"}).Outcome, ShouldEqual, Done)
		o := b.once(time.Second, job{Key: "next"})
		So(o.Outcome == Done && string(o.Result) == `{"key":"k"}`, ShouldBeFalse)
		So(b.net.runsOf("next"), ShouldBeLessThanOrEqualTo, 1)
	})
	inBubble(t, "A request whose attempt was lost is unknown also when its retry expires", 1, func(b *bench) {
		b.busy(7, 5000)
		synctest.Wait()
		lost := b.async(b.request(true, 2*time.Second, job{Key: "k", Fault: "dropped", MS: 3000}))
		So((<-lost).Outcome, ShouldEqual, Unknown)
		time.Sleep(500 * time.Millisecond)
		So(b.mostRunning(), ShouldEqual, 8) // the slot of the lost attempt stays taken
		So(b.net.runsOf("k"), ShouldEqual, 1)
	})
	inBubble(t, "An answer after the caller's deadline is recorded but not invented", 1, func(b *bench) {
		o := b.once(time.Second, job{Key: "k", MS: 3000})
		So(o.Outcome, ShouldEqual, Unknown)
		So(b.Lookup(part, b.customer, "k").Code, ShouldEqual, CodeInProgress)
		So(StatusOf(b.Lookup(part, b.customer, "k")), ShouldEqual, http.StatusAccepted)
		time.Sleep(3 * time.Second)
		So(b.Lookup(part, b.customer, "k").Outcome, ShouldEqual, Done)
		o = b.Lookup(part, b.customer, "other")
		So(o.Outcome, ShouldEqual, Unknown) // no record is no proof
		So(StatusOf(o), ShouldEqual, http.StatusNotFound)
		So(StatusOf(b.Lookup("request/textos/0", b.customer, "k")), ShouldEqual, http.StatusServiceUnavailable)
	})
}

// TestKeys guards against a second run of a key that is known or running, and against a record that changes because the
// caller went away.
func TestKeys(t *testing.T) {
	inBubble(t, "A running key is joined, a known one answered, both without allowance", 1, func(b *bench) {
		for i, idempotent := range []bool{false, true} {
			j := job{Key: fmt.Sprint("k", i), MS: 500}
			ctx, cancel := context.WithCancel(context.Background())
			gone := make(chan Outcome, 1)
			go func() { gone <- b.Submit(ctx, part, b.request(idempotent, 5*time.Second, j)) }()
			synctest.Wait()
			again := b.request(idempotent, 5*time.Second, j)
			again.Payload = append([]byte(" "), again.Payload...) // as another entry host may forward it
			joined := b.async(again)
			synctest.Wait()
			cancel()
			So((<-gone).Outcome, ShouldEqual, Unknown)
			So((<-joined).Outcome, ShouldEqual, Done)
			locked(&b.lists.mu, func() { b.lists.allowed.Concurrency = 0 })
			So(b.Submit(context.Background(), part, b.request(idempotent, time.Second, j)).Outcome, ShouldEqual, Done)
			So(b.net.runsOf(j.Key), ShouldEqual, 1)
			j.MS++
			o := b.Submit(context.Background(), part, b.request(idempotent, time.Second, j))
			So(o.Code, ShouldEqual, CodeKeyReused)
			So(StatusOf(o), ShouldEqual, http.StatusUnprocessableEntity)
			locked(&b.lists.mu, func() { b.lists.allowed.Concurrency = 10 })
		}
	})
	synctest.Test(t, func(t *testing.T) {
		Convey("An archived key gives the outcome of its request again, and only of that", t, func() {
			b := newBench(part, 1, func(d *Deps) { d.Claims = newClaims(idempotency.Config{MaxRecent: 1}) })
			defer b.close()
			for _, key := range []string{"old", "new"} {
				So(b.once(time.Second, job{Key: key}).Outcome, ShouldEqual, Done)
			}
			b.Service.partition(part).compact()
			next := b.successor()
			defer next.Close() // before the network that both use
			for _, owner := range []*bench{b, next} {
				o := owner.once(time.Second, job{Key: "old"})
				So(o.Outcome, ShouldEqual, Done)
				So(o.Message, ShouldContainSubstring, "no longer kept")
				So(owner.Lookup(part, b.customer, "old").Outcome, ShouldEqual, Done)
				So(owner.once(time.Second, job{Key: "old", MS: 7}).Code, ShouldEqual, CodeKeyReused)
			}
			So(b.net.runsOf("old"), ShouldEqual, 1)
		})
	})
}

// TestTakeover guards against a second run after the owner was lost in mid-request, and against more than 8 attempts on
// a minion that still runs the predecessor's.
func TestTakeover(t *testing.T) {
	inBubble(t, "A new owner never sends what its predecessor claimed", 1, func(b *bench) {
		var running []<-chan Outcome
		for i := range 8 {
			running = append(running, b.async(b.request(false, 9*time.Second, job{Key: fmt.Sprint("old", i), MS: 8000})))
		}
		synctest.Wait()
		queued := b.async(b.request(false, 9*time.Second, job{Key: "queued"}))
		time.Sleep(time.Second)
		b.guard.lost.Store(true)
		n := b.successor()
		defer n.Close()
		time.Sleep(100 * time.Millisecond)
		b.Stop(context.Background(), part, false)
		So((<-queued).Code, ShouldEqual, CodeNoOwner)
		So(n.once(time.Second, job{Key: "old0", MS: 8000}).Outcome, ShouldEqual, Unknown)
		So(n.once(time.Second, job{Key: "new"}).Code, ShouldEqual, CodeDeadlineUnreachable)
		locked(&b.lists.mu, func() { b.lists.allowed.Concurrency = 9 }) // used up by the claims left open
		So(n.once(9500*time.Millisecond, job{Key: "new"}).Code, ShouldEqual, CodeAllowanceConcurrency)
		locked(&b.lists.mu, func() { b.lists.allowed.Concurrency = 100 })
		patient := n.async(n.request(true, 10*time.Second, job{Key: "patient"}))
		for _, r := range running {
			So((<-r).Outcome, ShouldEqual, Done)
		}
		So((<-patient).Outcome, ShouldEqual, Done)
		So(b.mostRunning(), ShouldEqual, 8)
		for i := range 8 {
			So(b.net.runsOf(fmt.Sprint("old", i)), ShouldEqual, 1)
		}
		So(b.net.runsOf("queued"), ShouldEqual, 0)
	})
	inBubble(t, "Slots that the minion reports idle are used at once", 1, func(b *bench) {
		b.guard.lost.Store(true)
		locked(&b.net.mu, func() { b.net.ping = `{"slots":8,"in_use":6}` })
		n := b.successor()
		defer n.Close()
		synctest.Wait()
		So(n.once(time.Second, job{Key: "early"}).Code, ShouldEqual, CodeAllowanceRate) // no burst after a takeover
		time.Sleep(10 * time.Millisecond)
		for i := range 4 {
			n.async(n.request(true, 5*time.Second, job{Key: fmt.Sprint(i), MS: 1000}))
		}
		time.Sleep(500 * time.Millisecond)
		So(b.mostRunning(), ShouldEqual, 2)
	})
	inBubble(t, "An owner that lost its partition sends nothing", 1, func(b *bench) {
		b.guard.lost.Store(true)
		So(b.once(time.Second, job{Key: "k"}).Code, ShouldEqual, CodeNoOwner)
		loan := Loan{Service: service, AttemptID: "a", Lane: Urgent, TimeoutMS: 1000}
		So(b.ExecuteLoan(context.Background(), loan).Status, ShouldEqual, LoanRefused)
		So(len(b.net.served), ShouldEqual, 0)
	})
}

// TestJournalOutage guards against a non-idempotent request that is sent without a durable claim, and against idempotent
// ones that stop with the store.
func TestJournalOutage(t *testing.T) {
	inBubble(t, "While claims hang, requests expire without running, also after the journal is back", 1, func(b *bench) {
		locked(&b.store.mu, func() { b.store.hang = make(chan struct{}) })
		hung := b.async(b.request(false, 2*time.Second, job{Key: "hung"}))
		synctest.Wait()
		So(b.many(time.Second, job{Key: "i"}).Outcome, ShouldEqual, Done)
		start := time.Now()
		o := <-hung
		So(time.Since(start), ShouldEqual, 2*time.Second)
		So(o.Outcome, ShouldEqual, NotRun)
		So(o.Code, ShouldEqual, CodeStoreUnavailable)
		So(o.RetryAfterMS, ShouldBeGreaterThan, 0)
		locked(&b.store.mu, func() { close(b.store.hang); b.store.hang, b.store.sick = nil, true })
		time.Sleep(time.Second)
		So(b.net.runsOf("hung"), ShouldEqual, 0)
		start = time.Now()
		So(b.once(time.Second, job{Key: "sick"}).Code, ShouldEqual, CodeStoreUnavailable)
		So(time.Since(start), ShouldEqual, 0)
		locked(&b.store.mu, func() { b.store.sick = false })
		So(b.once(time.Second, job{Key: "hung"}).Outcome, ShouldEqual, Done)
	})
	inBubble(t, "A claim that becomes durable after its request expired is finished as not run", 1, func(b *bench) {
		locked(&b.store.mu, func() { b.store.hang, b.store.rigid = make(chan struct{}), true })
		So(b.once(time.Second, job{Key: "k"}).Outcome, ShouldEqual, NotRun)
		locked(&b.store.mu, func() { close(b.store.hang); b.store.hang, b.store.rigid = nil, false })
		synctest.Wait()
		So(b.Lookup(part, b.customer, "k").Outcome, ShouldEqual, NotRun)
		So(b.once(time.Second, job{Key: "k"}).Outcome, ShouldEqual, Done)
		So(b.net.runsOf("k"), ShouldEqual, 1)
	})
	synctest.Test(t, func(t *testing.T) {
		Convey("A record that is appended during a compaction is not replaced by the snapshot", t, func() {
			s := &store{hang: make(chan struct{})}
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
			close(s.hang)
			So(<-appended, ShouldBeNil)
			So(l.Flush(context.Background()), ShouldBeNil)
			So(ended, ShouldBeNil)
			So(fmt.Sprintf("%s", s.records), ShouldEqual, "[snapshot finish claim]")
		})
	})
}

// TestQueue guards against requests that outlive their deadline in the queue, refusals without a time to come back,
// claims that stay open, and allowances that are read once only.
func TestQueue(t *testing.T) {
	inBubble(t, "An expired request is answered at its deadline and its claim is finished", 1, func(b *bench) {
		b.busy(8, 4000)
		synctest.Wait()
		start := time.Now()
		o := b.once(700*time.Millisecond, job{Key: "late"})
		So(time.Since(start), ShouldEqual, 700*time.Millisecond)
		So(o.Code, ShouldEqual, CodeExpired)
		So(StatusOf(o), ShouldEqual, http.StatusTooManyRequests)
		So(o.RetryAfterMS, ShouldBeGreaterThan, 0)
		So(b.Lookup(part, b.customer, "late").Outcome, ShouldEqual, NotRun)
		time.Sleep(4 * time.Second)
		So(b.net.runsOf("late"), ShouldEqual, 0)
		b.busy(8, 4000)
		synctest.Wait()
		start = time.Now()
		o = b.once(100*time.Millisecond, job{Key: "late"})
		So(time.Since(start), ShouldEqual, 0)
		So(o.Code, ShouldEqual, CodeDeadlineUnreachable)
		So(o.RetryAfterMS, ShouldBeGreaterThan, 100)
		So(b.once(9*time.Second, job{Key: "late"}).Outcome, ShouldEqual, Done)
	})
	inBubble(t, "Each limit of the plan holds and an edit is in force at once", 1, func(b *bench) {
		submit := func(key string) Outcome { return b.many(time.Second, job{Key: key}) }
		So(submit("0").Outcome, ShouldEqual, Done)
		b.lists.allowed.Burst, b.lists.allowed.RequestsPerSecond = 1, 0.5
		So(submit("1").Outcome, ShouldEqual, Done)
		o := submit("2")
		So(o.Code, ShouldEqual, CodeAllowanceRate)
		So(o.RetryAfterMS, ShouldEqual, 2000)
		time.Sleep(2 * time.Second)
		So(submit("2").Outcome, ShouldEqual, Done)
		locked(&b.lists.mu, func() { b.lists.allowed.RequestsPerSecond = 0.005 })
		time.Sleep(3 * accountIdleTimeout) // an idle customer's counter is not forgotten before it is full
		So(submit("2b").Code, ShouldEqual, CodeAllowanceRate)
		b.lists.allowed.Burst, b.lists.allowed.RequestsPerSecond = 1000, 1000
		time.Sleep(time.Second)
		b.busy(8, 2000)
		synctest.Wait()
		locked(&b.lists.mu, func() { b.lists.err = plan.ErrUnknownCustomer })
		So(StatusOf(submit("3")), ShouldEqual, http.StatusForbidden)
		locked(&b.lists.mu, func() { b.lists.err = plan.ErrStale })
		So(submit("3").Code, ShouldEqual, CodeStoreUnavailable)
		locked(&b.lists.mu, func() { b.lists.err, b.lists.allowed.Queue = nil, 0 })
		So(submit("3").Code, ShouldEqual, CodeQueueFull)
		locked(&b.lists.mu, func() { b.lists.allowed.Concurrency = 8 })
		So(submit("3").Code, ShouldEqual, CodeAllowanceConcurrency)
		time.Sleep(3 * time.Second)
		So(submit("3").Outcome, ShouldEqual, Done)
	})
}

// TestMinions guards against new work for a minion that leaves, against a failing minion that keeps attracting work, and
// against an attempt on a connection that has gone silent.
func TestMinions(t *testing.T) {
	inBubble(t, "A minion that says it leaves gets nothing more", 2, func(b *bench) {
		So(b.once(time.Second, job{Key: "k", Fault: "leaving"}).Outcome, ShouldEqual, NotRun)
		So(len(b.lists.said), ShouldEqual, 1)
		for i := range 50 {
			So(b.once(time.Second, job{Key: fmt.Sprint(i)}).Outcome, ShouldEqual, Done)
		}
		for id := range b.lists.said {
			So(b.net.served[id+":1"], ShouldEqual, 1)
		}
	})
	inBubble(t, "A minion that the list shows as leaving finishes its work and gets nothing more", 1, func(b *bench) {
		running := b.async(b.request(true, 5*time.Second, job{Key: "running", MS: 3000}))
		synctest.Wait()
		m := b.lists.minions[0]
		locked(&b.lists.mu, func() { b.lists.minions = []membership.Endpoint{{ID: m.ID, Addr: m.Addr, Leaving: true}} })
		time.Sleep(refreshInterval + time.Millisecond)
		So(b.once(time.Second, job{Key: "k"}).Code, ShouldEqual, CodeNoMinion)
		So((<-running).Outcome, ShouldEqual, Done)
		So(b.net.served[m.Addr], ShouldEqual, 1)
	})
	inBubble(t, "A minion that fails three times is ejected and tried again, one attempt at a time", 1, func(b *bench) {
		addr := b.lists.minions[0].Addr
		locked(&b.net.mu, func() { b.net.down[addr] = true })
		for i := range 3 {
			So(b.once(time.Second, job{Key: fmt.Sprint("f", i)}).Code, ShouldEqual, CodeMinionFailed)
		}
		So(b.once(500*time.Millisecond, job{Key: "ejected"}).Code, ShouldEqual, CodeDeadlineUnreachable)
		time.Sleep(900 * time.Millisecond)
		locked(&b.net.mu, func() { delete(b.net.down, addr) })
		first := b.async(b.request(true, 5*time.Second, job{Key: "trial", MS: 300}))
		second := b.async(b.request(true, 5*time.Second, job{Key: "after", MS: 300}))
		So((<-first).Outcome, ShouldEqual, Done)
		So((<-second).Outcome, ShouldEqual, Done)
		So(b.mostRunning(), ShouldEqual, 1)
	})
	inBubble(t, "A silent connection is found by the probe before a non-idempotent attempt uses it", 1, func(b *bench) {
		So(b.once(time.Second, job{Key: "0"}).Outcome, ShouldEqual, Done)
		So(b.once(time.Second, job{Key: "1"}).Outcome, ShouldEqual, Done)
		So(b.net.dialed(), ShouldEqual, 1)
		locked(&b.net.mu, func() { b.net.silent = true })
		time.Sleep(probeAfter)
		next := b.async(b.request(false, 3*time.Second, job{Key: "2"}))
		time.Sleep(probeTimeout / 2)
		// Only the old connection is silent: it reads the probe and nothing else.
		locked(&b.net.mu, func() { b.net.silent = false })
		So((<-next).Outcome, ShouldEqual, Done)
		So(b.net.dialed(), ShouldEqual, 2)
		So(b.net.runsOf("2"), ShouldEqual, 1)
	})
}

// TestRetryBudget guards against retries that multiply the load when everything fails.
func TestRetryBudget(t *testing.T) {
	inBubble(t, "Retries stay within a tenth of the requests and the saved budget", 20, func(b *bench) {
		for i := range 400 {
			fault := "" // every other request succeeds, so that minions stay in service
			if i%2 == 0 {
				fault = "refuse"
			}
			b.many(100*time.Millisecond, job{Key: fmt.Sprint(i), Fault: fault})
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

// TestDrain guards against a planned stop that cuts running requests or leaves queued ones waiting.
func TestDrain(t *testing.T) {
	inBubble(t, "A handover answers what is queued and waits for what runs", 1, func(b *bench) {
		var running []<-chan Outcome
		for i := range 8 {
			running = append(running, b.async(b.request(false, 9*time.Second, job{Key: fmt.Sprint(i), MS: 3000})))
		}
		synctest.Wait()
		queued := b.async(b.request(false, 9*time.Second, job{Key: "queued"}))
		synctest.Wait()
		start := time.Now()
		stopped := make(chan struct{})
		go func() { b.Stop(context.Background(), part, true); close(stopped) }()
		o := <-queued
		So(time.Since(start), ShouldEqual, 0)
		So(o.Outcome, ShouldEqual, NotRun)
		So(o.Code, ShouldEqual, CodeDraining)
		So(o.RetryAfterMS, ShouldBeBetweenOrEqual, 1, 1000)
		So(b.once(time.Second, job{Key: "new"}).Code, ShouldEqual, CodeDraining)
		<-stopped
		So(time.Since(start), ShouldEqual, 3*time.Second)
		for _, r := range running {
			So((<-r).Outcome, ShouldEqual, Done)
		}
		So(b.store.closed, ShouldEqual, 1)
		So(b.once(time.Second, job{Key: "new"}).Code, ShouldEqual, CodeNoOwner)
		n := b.successor()
		defer n.Close()
		So(n.once(time.Second, job{Key: "3", MS: 3000}).Outcome, ShouldEqual, Done)
		So(n.once(time.Second, job{Key: "queued"}).Code, ShouldEqual, CodeDeadlineUnreachable)
		So(b.net.runsOf("3"), ShouldEqual, 1)
	})
	inBubble(t, "A handover waits for a lost attempt that may still run in its slot", 1, func(b *bench) {
		start := time.Now()
		So(b.once(time.Second, job{Key: "k", Fault: "dropped", MS: 5000}).Outcome, ShouldEqual, Unknown)
		b.Stop(context.Background(), part, true)
		So(time.Since(start), ShouldEqual, maxTimeout)
	})
	inBubble(t, "A stop is bounded: what still runs at the limit is cut and unknown", 1, func(b *bench) {
		running := b.async(b.request(false, 9*time.Second, job{Key: "k", MS: 8000}))
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		b.Stop(ctx, part, true)
		So((<-running).Outcome, ShouldEqual, Unknown)
	})
}

// TestSlots guards against more than 8 attempts on a minion when own and borrowed attempts and failures mix, against
// lost requests, and against a second run of non-idempotent ones.
func TestSlots(t *testing.T) {
	Convey("Two daemons that borrow from each other", t, func() {
		rapid.Check(t, func(rt *rapid.T) {
			synctest.Test(t, func(t *testing.T) { mixedLoad(rt) })
		})
	})
}

func mixedLoad(t *rapid.T) {
	lender := newBench("request/textos/5", 2, nil)
	defer lender.close()
	b := newBench(part, 2, func(d *Deps) { d.Lender = &peerLender{peer: lender.Service} })
	defer b.close()
	var out []<-chan Outcome
	var once []bool
	n := rapid.IntRange(40, 120).Draw(t, "requests")
	for i := range n {
		at := rapid.SampledFrom([]*bench{b, b, b, lender}).Draw(t, "at")
		r := at.request(rapid.Bool().Draw(t, "idempotent"), 10*time.Second, job{
			Key: fmt.Sprint("k", i), MS: rapid.Int64Range(0, 300).Draw(t, "ms"),
			Fault: rapid.SampledFrom([]string{"", "", "", "", "", "", "lost", "dropped", "refuse", "error"}).Draw(t, "fault"),
		})
		r.Class = rapid.SampledFrom([]Class{Urgent, Normal, Bulk}).Draw(t, "class")
		out, once = append(out, at.async(r)), append(once, !r.Idempotent)
		time.Sleep(time.Duration(rapid.IntRange(0, 10).Draw(t, "gap")) * time.Millisecond)
	}
	var results []Result
	for _, o := range out {
		results = append(results, (<-o).Outcome)
	}
	for _, at := range []*bench{b, lender} {
		if m := at.mostRunning(); m > minionSlots || at.net.wide > 2*minionSlots {
			t.Fatalf("%d attempts at once on a minion, %d connections", m, at.net.wide)
		}
	}
	for i := range n {
		runs := b.net.runsOf(fmt.Sprint("k", i)) + lender.net.runsOf(fmt.Sprint("k", i))
		switch {
		case runs > 1+maxRetries, once[i] && runs > 1:
			t.Fatalf("request %d ran %d times", i, runs)
		case results[i] == NotRun && runs > 0, results[i] == Done && runs == 0, results[i] == "":
			t.Fatalf("request %d: %s after %d runs", i, results[i], runs)
		}
	}
}

// TestLoans guards against loans that wait at the lender, run twice, or take the slots that the lanes reserve.
func TestLoans(t *testing.T) {
	inBubble(t, "A lender refuses at once without an idle slot and never runs an attempt twice", 1, func(b *bench) {
		lend := func(id string, lane Class) LoanStatus {
			payload := []byte(`{"key":"loan","ms":1000}`)
			return b.ExecuteLoan(context.Background(), Loan{service, part, id, lane, 5000, payload}).Status
		}
		So(b.IdleSlots()[service], ShouldEqual, 8)
		for i := range 12 {
			go lend(fmt.Sprint(i), Bulk)
		}
		synctest.Wait()
		So(b.net.runsOf("loan"), ShouldEqual, 4) // half of 8
		So(b.IdleSlots()[service], ShouldEqual, 4)
		for i := range 12 {
			go lend(fmt.Sprint("u", i), Urgent)
		}
		synctest.Wait()
		So(b.net.runsOf("loan"), ShouldEqual, 8)
		start := time.Now()
		So(lend("x", Urgent), ShouldEqual, LoanRefused)
		So(lend("0", Bulk), ShouldEqual, LoanLost)
		So(time.Since(start), ShouldEqual, 0)
		time.Sleep(2 * time.Second)
		So(lend("x", Urgent), ShouldEqual, LoanLost)
		So(lend("y", Urgent), ShouldEqual, LoanDone)
		So(b.net.runsOf("loan"), ShouldEqual, 9)
		So(b.State(), ShouldNotBeNil)
	})
}

// TestLocalLoan guards against a partition without minions that refuses requests while slots of another partition of the
// same daemon are idle.
func TestLocalLoan(t *testing.T) {
	inBubble(t, "A partition without minions uses the idle slots of its daemon", 2, func(b *bench) {
		other := "request/textos/7"
		So(other, ShouldNotEqual, part)
		So(b.Start(context.Background(), &guard{partition: other, epoch: 1}), ShouldBeNil)
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
			So((<-outcomes).Outcome, ShouldEqual, Done)
		}
		So(b.net.runsOf("local"), ShouldEqual, cap(outcomes))
	})
}

// TestValidate guards against a request that is refused with the wrong stable code or status.
func TestValidate(t *testing.T) {
	ok := Request{Service: "s", Customer: "c", Key: "k", Class: Urgent, TimeoutMS: 1000}
	Convey("Each fault has its code", t, func() {
		So(Validate(ok), ShouldBeNil)
		refused := func(code Code, status int, r Request) {
			err := Validate(r)
			So(err, ShouldHaveSameTypeAs, &InvalidError{})
			o := err.(*InvalidError).Outcome()
			So(o.Code, ShouldEqual, code)
			So(StatusOf(o), ShouldEqual, status)
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
		So(StatusOf(Outcome{Outcome: Done}), ShouldEqual, 200)
		So(StatusOf(Undecided(CodeOutcomeUnknown, "")), ShouldEqual, 504)
		So(StatusOf(Refuse(CodeMinionFailed, "", 0)), ShouldEqual, 503)
		So(StatusOf(Refuse(CodeUnknownCustomer, "", 0)), ShouldEqual, 403)
	})
}
