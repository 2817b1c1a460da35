package request

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/lanes"
)

const (
	policySlots   = 48 // slots of six minions
	shortRun      = 20 * time.Millisecond
	longRun       = 100 * shortRun
	firstSpike    = 4 * time.Second
	spikeLength   = 2 * time.Second
	spikeFactor   = 10
	simulatedTime = 24 * time.Second
	secondSpike   = 14 * time.Second
	shortDeadline = 500 * time.Millisecond
	longDeadline  = 10 * time.Second
)

// arrival is one request of a simulation and its result.
type arrival struct {
	at, run, timeout time.Duration
	customer         string
	class            lanes.Lane

	started, ended   time.Duration // zero: did not run
	refused, expired bool          // refused: when it arrived; expired: while it waited
	ticket           *lanes.Ticket[*arrival]
}

// policy is a queueing policy: it accepts or refuses arrivals and decides which one runs next.
type policy interface {
	offer(now time.Time, a *arrival) bool
	dequeue(now time.Time) *arrival
	done(now time.Time, a *arrival)
}

// lanePolicy is the policy of package lanes.
type lanePolicy struct{ q *lanes.Queue[*arrival] }

func newLanePolicy() *lanePolicy {
	p := &lanePolicy{q: lanes.New[*arrival](lanes.Config{})}
	p.q.SetSlots(policySlots)
	return p
}

func (p *lanePolicy) offer(now time.Time, a *arrival) bool {
	if p.q.CannotMeetDeadline(a.customer, a.class, a.timeout) {
		return false
	}
	t, err := p.q.Enqueue(now, a.customer, a.class, now.Add(a.timeout), a)
	if err == nil {
		p.q.MarkReady(t)
	}
	return err == nil
}

func (p *lanePolicy) dequeue(now time.Time) *arrival {
	for _, t := range p.q.TakeExpired(now) {
		t.Value.expired = true
	}
	if t := p.q.Next(now); t != nil {
		t.Value.ticket = t
		return t.Value
	}
	return nil
}

func (p *lanePolicy) done(now time.Time, a *arrival) {
	p.q.Release(a.ticket)
	p.q.RecordRunTime(now, a.customer, a.class, a.ticket.Lane, a.run)
}

// fifoPolicy is the baseline: first come, first served, without refusals.
type fifoPolicy struct {
	queue []*arrival
	inUse int
}

func (p *fifoPolicy) offer(_ time.Time, a *arrival) bool {
	p.queue = append(p.queue, a)
	return true
}

func (p *fifoPolicy) dequeue(now time.Time) *arrival {
	for len(p.queue) > 0 && p.inUse < policySlots {
		a := p.queue[0]
		p.queue = p.queue[1:]
		if now.Sub(time.Time{}) < a.at+a.timeout {
			p.inUse++
			return a
		}
		a.expired = true
	}
	return nil
}

func (p *fifoPolicy) done(time.Time, *arrival) { p.inUse-- }

func compareEnds(a, b *arrival) int { return int(a.ended - b.ended) }

// simulate runs arrivals, which are ordered by time, against a policy in virtual time. It returns the highest number of
// slots in use.
func simulate(p policy, as []*arrival) int {
	var running []*arrival
	maxRunning := 0
	start := func(now time.Duration) {
		for a := p.dequeue(time.Time{}.Add(now)); a != nil; a = p.dequeue(time.Time{}.Add(now)) {
			a.started, a.ended = now, now+a.run
			running = append(running, a)
		}
		maxRunning = max(maxRunning, len(running))
	}
	for i := 0; i < len(as) || len(running) > 0; {
		if len(running) > 0 && (i == len(as) || slices.MinFunc(running, compareEnds).ended <= as[i].at) {
			a := slices.MinFunc(running, compareEnds)
			running = slices.DeleteFunc(running, func(r *arrival) bool { return r == a })
			p.done(time.Time{}.Add(a.ended), a)
			start(a.ended)
			continue
		}
		as[i].refused = !p.offer(time.Time{}.Add(as[i].at), as[i])
		start(as[i].at)
		i++
	}
	return maxRunning
}

// randomArrivals returns arrivals of a Poisson process with the given rate, which is multiplied by factor during the
// spikes.
func randomArrivals(seed uint64, rate, factor float64, run, timeout time.Duration, class lanes.Lane, customers ...string) []*arrival {
	rng := rand.New(rand.NewPCG(seed, 1))
	var as []*arrival
	for t := time.Duration(0); t < simulatedTime; {
		r := rate
		if inSpike(t, firstSpike) || inSpike(t, secondSpike) {
			r *= factor
		}
		t += time.Duration(rng.ExpFloat64() / r * float64(time.Second))
		length := time.Duration((0.5 + rng.Float64()) * float64(run))
		as = append(as, &arrival{at: t, run: length, timeout: timeout, class: class, customer: customers[rng.IntN(len(customers))]})
	}
	return as
}

func merge(streams ...[]*arrival) []*arrival {
	all := slices.Concat(streams...)
	slices.SortStableFunc(all, func(a, b *arrival) int { return int(a.at - b.at) })
	return all
}

// summary holds the results for some customers' arrivals during a load spike.
type summary struct {
	n                                       int
	p50, p99, worst                         time.Duration // wait of the requests that were served
	response                                time.Duration // p99 of wait and run time together
	inTimeShare, refusedShare, expiredShare float64       // answered before their deadline, refused at once, expired while waiting
	recovery                                time.Duration // from the end of the spike until the last request that was refused or waited
}

func inSpike(t, start time.Duration) bool { return t >= start && t < start+spikeLength }

func summarize(as []*arrival, start time.Duration, of func(*arrival) bool) summary {
	var s summary
	var waits, responses []time.Duration
	for _, a := range as {
		if !of(a) {
			continue
		}
		if after := a.at - start - spikeLength; after >= 0 && after < secondSpike-firstSpike-spikeLength &&
			(a.refused || a.expired || a.started-a.at > shortRun/2) {
			s.recovery = max(s.recovery, after)
		}
		if !inSpike(a.at, start) {
			continue
		}
		s.n++
		switch {
		case a.refused:
			s.refusedShare++
		case a.expired:
			s.expiredShare++
		default:
			waits = append(waits, a.started-a.at)
			responses = append(responses, a.ended-a.at)
			if a.ended-a.at <= a.timeout {
				s.inTimeShare++
			}
		}
	}
	s.inTimeShare, s.refusedShare, s.expiredShare = s.inTimeShare/float64(s.n), s.refusedShare/float64(s.n), s.expiredShare/float64(s.n)
	if slices.Sort(waits); len(waits) > 0 {
		s.p50, s.p99, s.worst = waits[len(waits)/2], waits[len(waits)*99/100], waits[len(waits)-1]
		slices.Sort(responses)
		s.response = responses[len(responses)*99/100]
	}
	return s
}

func (s summary) String() string {
	return fmt.Sprintf("%6d  %7.1f  %7.1f  %7.1f   %5.1f%%  %5.1f%%  %5.1f%%  %8.0f", s.n,
		1e3*s.p50.Seconds(), 1e3*s.p99.Seconds(), 1e3*s.worst.Seconds(), 100*s.inTimeShare, 100*s.refusedShare, 100*s.expiredShare,
		1e3*s.recovery.Seconds())
}

var shortCustomers = []string{"c1", "c2", "c3", "c4", "c5", "c6", "c7", "c8"}

// spikeLoad returns urgent arrivals with load spikes. With long, it adds long-running bulk arrivals that could use more
// than all slots.
func spikeLoad(seed uint64, rate, factor float64, long bool) []*arrival {
	urgent := randomArrivals(seed, rate, factor, shortRun, shortDeadline, lanes.Urgent, shortCustomers...)
	if !long {
		return urgent
	}
	return merge(urgent, randomArrivals(seed+1000, 30, 1, longRun, longDeadline, lanes.Bulk, "batch1", "batch2"))
}

// floodLoad returns the short requests of one customer beside the load spikes of another customer.
func floodLoad(seed uint64) []*arrival {
	return merge(randomArrivals(seed, 400, spikeFactor, shortRun, shortDeadline, lanes.Normal, "flood"),
		randomArrivals(seed+2000, 50, 1, shortRun, shortDeadline, lanes.Normal, "other"))
}

func isUrgent(a *arrival) bool { return a.class == lanes.Urgent }
func isLong(a *arrival) bool   { return a.class == lanes.Bulk }
func isOther(a *arrival) bool  { return a.customer == "other" }

// spikeSummaries holds the results for the first and for the second spike.
type spikeSummaries [2]summary

// simulateSpikes simulates the arrivals and summarizes the selected ones in both spikes.
func simulateSpikes(p policy, as []*arrival, of func(*arrival) bool) spikeSummaries {
	So(simulate(p, as), ShouldBeLessThanOrEqualTo, policySlots)
	return spikeSummaries{summarize(as, firstSpike, of), summarize(as, secondSpike, of)}
}

// checkGoal checks that long work at most doubles the p99 wait. If nobody waits without long work, the ratio of the
// waits is meaningless, and the response times are compared instead.
func checkGoal(without, with summary) {
	if without.p99 >= time.Millisecond {
		So(with.p99, ShouldBeLessThanOrEqualTo, 2*without.p99)
	}
	So(with.response, ShouldBeLessThanOrEqualTo, 2*without.response)
	So(with.inTimeShare, ShouldBeGreaterThanOrEqualTo, without.inTimeShare-0.2)
}

// endedAfter returns the number of selected arrivals that ended after the given time.
func endedAfter(as []*arrival, t time.Duration, of func(*arrival) bool) int {
	n := 0
	for _, a := range as {
		if of(a) && a.ended > t && a.ended <= simulatedTime {
			n++
		}
	}
	return n
}

// TestPolicyTable guards against long-running work that delays urgent requests during a load spike, and against one
// customer's flood that delays another customer's short requests. It prints the results of the lanes beside those of a
// first-come-first-served baseline with the same arrivals.
func TestPolicyTable(t *testing.T) {
	var out strings.Builder
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(&out, "\n"+format, args...) }
	Convey("The lanes compared with first come, first served", t, func() {
		row("%-40s spike %6s  %7s  %7s  %7s   %6s  %6s  %6s  %8s", "urgent requests, seed 1", "n", "p50 ms", "p99 ms", "worst", "intime", "atonce", "late", "recov ms")
		for seed := uint64(1); seed <= 3; seed++ {
			show := func(name string, r spikeSummaries) {
				if seed == 1 {
					row("%-40s     1 %s", name, r[0])
					row("%-40s     2 %s", name, r[1])
				}
			}
			for _, rate := range []float64{60, 100, 160, 200, 400} {
				load := rate * spikeFactor * shortRun.Seconds() / policySlots
				name := fmt.Sprintf("spike %3.0f%% of slots, ", 100*load)
				as := spikeLoad(seed, rate, spikeFactor, true)
				fifo := simulateSpikes(&fifoPolicy{}, spikeLoad(seed, rate, spikeFactor, false), isUrgent)
				without := simulateSpikes(newLanePolicy(), spikeLoad(seed, rate, spikeFactor, false), isUrgent)
				with := simulateSpikes(newLanePolicy(), as, isUrgent)
				show(name+"fcfs", fifo)
				show(name+"fcfs, long work", simulateSpikes(&fifoPolicy{}, spikeLoad(seed, rate, spikeFactor, true), isUrgent))
				show(name+"lanes", without)
				show(name+"lanes, long work", with)
				long := endedAfter(as, firstSpike+spikeLength, isLong)
				if seed == 1 {
					row("%-40s       %d long requests ended, %d after the first spike", name, endedAfter(as, 0, isLong), long)
				}
				checkGoal(without[0], with[0])
				checkGoal(without[1], with[1])
				So(long, ShouldBeGreaterThan, 0)
				if load >= 1 {
					So(with[1].expiredShare, ShouldBeLessThan, fifo[1].expiredShare)
					So(with[1].inTimeShare, ShouldBeGreaterThan, fifo[1].inTimeShare)
					So(with[1].recovery, ShouldBeLessThan, fifo[1].recovery)
				}
			}
			show("beside a flood, fcfs", simulateSpikes(&fifoPolicy{}, floodLoad(seed), isOther))
			other := simulateSpikes(newLanePolicy(), floodLoad(seed), isOther)
			show("beside a flood, lanes", other)
			So(other[0].inTimeShare, ShouldEqual, 1)
			So(other[0].p99, ShouldBeLessThan, shortRun)
		}
	})
	t.Log(out.String()) // in one call, because the assertions print their own marks
}

// TestPolicyFirstSpike guards against long-running work that delays urgent requests in the first spike that a queue
// sees: one that needs most of the slots, and one that is twice as high as forecast. The goal is a p99 wait within 2
// times the wait without long-running work.
func TestPolicyFirstSpike(t *testing.T) {
	Convey("The first load spike", t, func() {
		for seed := uint64(1); seed <= 3; seed++ {
			for _, c := range []struct{ rate, factor float64 }{{200, spikeFactor}, {80, 2 * spikeFactor}} {
				without := simulateSpikes(newLanePolicy(), spikeLoad(seed, c.rate, c.factor, false), isUrgent)
				with := simulateSpikes(newLanePolicy(), spikeLoad(seed, c.rate, c.factor, true), isUrgent)
				t.Logf("seed %d, %2.0f times, without long work %s", seed, c.factor, without[0])
				t.Logf("seed %d, %2.0f times, with long work    %s", seed, c.factor, with[0])
				checkGoal(without[0], with[0])
			}
		}
	})
}
