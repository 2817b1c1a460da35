package request

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/lanes"
)

const (
	policySlots  = 48 // six minions
	shortRun     = 20 * time.Millisecond
	longRun      = 100 * shortRun
	crestStart   = 4 * time.Second
	crestLength  = 2 * time.Second
	crestFactor  = 10
	policyLength = 10 * time.Second
	shortPatient = 500 * time.Millisecond
	longPatient  = 10 * time.Second
)

// arrival is one request of an experiment and what became of it.
type arrival struct {
	at, run, patience time.Duration
	customer          string
	class             lanes.Lane

	began, ended  time.Duration // zero: did not run
	refused, late bool          // at once; after waiting
}

type policy interface {
	offer(now time.Time, a *arrival) bool
	next(now time.Time) *arrival
	done(now time.Time, a *arrival)
}

type lanePolicy struct {
	q       *lanes.Queue[*arrival]
	tickets map[*arrival]*lanes.Ticket[*arrival]
}

func newLanePolicy() *lanePolicy {
	p := &lanePolicy{q: lanes.New[*arrival](lanes.Config{}), tickets: map[*arrival]*lanes.Ticket[*arrival]{}}
	p.q.SetSlots(policySlots)
	return p
}

func (p *lanePolicy) offer(now time.Time, a *arrival) bool {
	if p.q.Hopeless(a.customer, a.class, a.patience) {
		return false
	}
	t, err := p.q.Offer(now, a.customer, a.class, now.Add(a.patience), a)
	if err == nil {
		p.q.Ready(t)
	}
	return err == nil
}

func (p *lanePolicy) next(now time.Time) *arrival {
	for _, t := range p.q.Expire(now) {
		t.Value.late = true
	}
	t := p.q.Next(now)
	if t == nil {
		return nil
	}
	p.tickets[t.Value] = t
	return t.Value
}

func (p *lanePolicy) done(now time.Time, a *arrival) {
	t := p.tickets[a]
	delete(p.tickets, a)
	p.q.Release(t)
	p.q.Observe(now, a.customer, t.Class, t.Lane, a.run)
}

// fifoPolicy is the baseline: first come, first served, with the same bound on the length.
type fifoPolicy struct {
	queue []*arrival
	inUse int
}

func (p *fifoPolicy) offer(_ time.Time, a *arrival) bool {
	if len(p.queue) >= 3*4096 {
		return false
	}
	p.queue = append(p.queue, a)
	return true
}

func (p *fifoPolicy) next(now time.Time) *arrival {
	for len(p.queue) > 0 && p.inUse < policySlots {
		a := p.queue[0]
		p.queue = p.queue[1:]
		if now.Sub(time.Time{}) < a.at+a.patience {
			p.inUse++
			return a
		}
		a.late = true
	}
	return nil
}

func (p *fifoPolicy) done(time.Time, *arrival) { p.inUse-- }

type byEnd []*arrival

func (h byEnd) Len() int           { return len(h) }
func (h byEnd) Less(i, j int) bool { return h[i].ended < h[j].ended }
func (h byEnd) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *byEnd) Push(x any)        { *h = append(*h, x.(*arrival)) }
func (h *byEnd) Pop() any {
	old := *h
	a := old[len(old)-1]
	*h = old[:len(old)-1]
	return a
}

// play runs arrivals, ordered by time, against a policy in virtual time. It returns the most slots in use.
func play(p policy, as []*arrival) int {
	var running byEnd
	most := 0
	start := func(now time.Duration) {
		for a := p.next(time.Time{}.Add(now)); a != nil; a = p.next(time.Time{}.Add(now)) {
			a.began, a.ended = now, now+a.run
			heap.Push(&running, a)
		}
		most = max(most, len(running))
	}
	for i := 0; i < len(as) || len(running) > 0; {
		if len(running) > 0 && (i == len(as) || running[0].ended <= as[i].at) {
			a := heap.Pop(&running).(*arrival)
			p.done(time.Time{}.Add(a.ended), a)
			start(a.ended)
			continue
		}
		as[i].refused = !p.offer(time.Time{}.Add(as[i].at), as[i])
		start(as[i].at)
		i++
	}
	return most
}

// stream returns arrivals at random times at a rate, times factor within the crest.
func stream(seed uint64, rate, factor float64, run, patience time.Duration, class lanes.Lane, customers ...string) []*arrival {
	rng := rand.New(rand.NewPCG(seed, 1))
	var as []*arrival
	for t := time.Duration(0); t < policyLength; {
		r := rate
		if t >= crestStart && t < crestStart+crestLength {
			r *= factor
		}
		t += time.Duration(rng.ExpFloat64() / r * float64(time.Second))
		length := time.Duration((0.5 + rng.Float64()) * float64(run))
		as = append(as, &arrival{at: t, run: length, patience: patience, class: class, customer: customers[rng.IntN(len(customers))]})
	}
	return as
}

func merge(streams ...[]*arrival) []*arrival {
	all := slices.Concat(streams...)
	slices.SortStableFunc(all, func(a, b *arrival) int { return int(a.at - b.at) })
	return all
}

// summary is the figures of the arrivals of some customers within the crest.
type summary struct {
	n                   int
	p50, p99, worst     time.Duration // waits of those served
	inTime, atOnce, end float64       // shares: answered within their patience, refused at once, refused late
}

func summarize(as []*arrival, of func(*arrival) bool) summary {
	var s summary
	var waits []time.Duration
	for _, a := range as {
		if a.at < crestStart || a.at >= crestStart+crestLength || !of(a) {
			continue
		}
		s.n++
		switch {
		case a.refused:
			s.atOnce++
		case a.late:
			s.end++
		default:
			waits = append(waits, a.began-a.at)
			if a.ended-a.at <= a.patience {
				s.inTime++
			}
		}
	}
	s.inTime, s.atOnce, s.end = s.inTime/float64(s.n), s.atOnce/float64(s.n), s.end/float64(s.n)
	if slices.Sort(waits); len(waits) > 0 {
		s.p50, s.p99, s.worst = waits[len(waits)/2], waits[len(waits)*99/100], waits[len(waits)-1]
	}
	return s
}

func (s summary) String() string {
	return fmt.Sprintf("%6d  %7.1f  %7.1f  %7.1f   %5.1f%%  %5.1f%%  %5.1f%%", s.n,
		ms(s.p50), ms(s.p99), ms(s.worst), 100*s.inTime, 100*s.atOnce, 100*s.end)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

var counters = []string{"c1", "c2", "c3", "c4", "c5", "c6", "c7", "c8"}

// crest returns urgent arrivals with a crest, and long bulk work that wants more than all slots if asked for.
func crest(seed uint64, rate float64, long bool) []*arrival {
	urgent := stream(seed, rate, crestFactor, shortRun, shortPatient, lanes.Urgent, counters...)
	if !long {
		return urgent
	}
	return merge(urgent, stream(seed+1000, 30, 1, longRun, longPatient, lanes.Bulk, "batch1", "batch2"))
}

func isUrgent(a *arrival) bool { return a.class == lanes.Urgent }
func isLong(a *arrival) bool   { return a.class == lanes.Bulk }

// TestPolicyTable guards against long work that delays urgent work at a crest, and against one customer's flood that
// delays another's short work. It prints the lanes beside a first-come-first-served baseline on the same arrivals.
func TestPolicyTable(t *testing.T) {
	Convey("The lanes beside first come, first served", t, func() {
		t.Logf("%-44s %6s  %7s  %7s  %7s   %6s  %6s  %6s", "case", "n", "p50 ms", "p99 ms", "worst", "intime", "atonce", "late")
		run := func(name string, p policy, as []*arrival, of func(*arrival) bool) summary {
			most := play(p, as)
			So(most, ShouldBeLessThanOrEqualTo, policySlots)
			s := summarize(as, of)
			t.Logf("%-44s %s", name, s)
			return s
		}
		for seed := uint64(1); seed <= 3; seed++ {
			for _, rate := range []float64{60, 100, 400} {
				name := fmt.Sprintf("seed %d, crest at %3.0f%% of slots, ", seed, rate*crestFactor*shortRun.Seconds()/policySlots*100)
				run(name+"fifo", &fifoPolicy{}, crest(seed, rate, false), isUrgent)
				run(name+"fifo+long", &fifoPolicy{}, crest(seed, rate, true), isUrgent)
				without := run(name+"lanes", newLanePolicy(), crest(seed, rate, false), isUrgent)
				as := crest(seed, rate, true)
				with := run(name+"lanes+long", newLanePolicy(), as, isUrgent)
				longWork := summarize(as, isLong)
				t.Logf("%-44s %s", name+"lanes, the long", longWork)
				_ = without
				_ = with
			}
			flood := func() []*arrival {
				return merge(stream(seed, 400, crestFactor, shortRun, shortPatient, lanes.Normal, "flood"),
					stream(seed+2000, 50, 1, shortRun, shortPatient, lanes.Normal, "other"))
			}
			isOther := func(a *arrival) bool { return a.customer == "other" }
			run(fmt.Sprintf("seed %d, flood, other's, fifo", seed), &fifoPolicy{}, flood(), isOther)
			run(fmt.Sprintf("seed %d, flood, other's, lanes", seed), newLanePolicy(), flood(), isOther)
		}
	})
}
