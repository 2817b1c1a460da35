package load

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/request"
)

// TestArrivals guards against arrivals that differ between runs with the same seed or that have no crest.
func TestArrivals(t *testing.T) {
	Convey("A pattern gives the same arrivals for the same seed, with the crest at the configured time", t, func() {
		p := Pattern{
			Rate: 100, Duration: 10 * time.Second, CrestFactor: 10, CrestAt: 4 * time.Second, CrestFor: 2 * time.Second,
			Customers: 5, Seed: 7, Mix: []Share{{Weight: 1}, {Weight: 3}},
		}
		as := p.Arrivals()
		So(as, ShouldResemble, p.Arrivals())
		arrivalsInCrest := 0
		for _, a := range as {
			if a.At >= p.CrestAt && a.At < p.CrestAt+p.CrestFor {
				arrivalsInCrest++
			}
		}
		So(arrivalsInCrest, ShouldBeBetween, 1800, 2200)
		So(len(as)-arrivalsInCrest, ShouldBeBetween, 700, 900)
	})
}

// TestSummarize guards against counting late refusals or a response that belongs to another request as good service.
func TestSummarize(t *testing.T) {
	Convey("Samples are summarized by class", t, func() {
		lines := Summarize([]Sample{
			{Class: request.Urgent, Outcome: request.Done, Latency: 7 * time.Millisecond, Work: 5 * time.Millisecond},
			{Class: request.Urgent, Outcome: request.Done, Latency: 9 * time.Millisecond, Work: 5 * time.Millisecond, Wrong: true},
			{Class: request.Urgent, Outcome: request.NotRun, Code: request.CodeQueueFull, Latency: time.Second},
			{Class: request.Bulk, Outcome: request.Unknown},
		}, time.Second)
		So(len(lines), ShouldEqual, 2)
		So(lines[0].Unknown, ShouldEqual, 1)
		u := lines[1]
		So([]int{u.Sent, u.Done, u.NotRun, u.NotRunLate, u.Wrong}, ShouldResemble, []int{3, 2, 1, 1, 1})
		So(u.AddedP50, ShouldEqual, 2*time.Millisecond)
		So(u.AddedWorst, ShouldEqual, 4*time.Millisecond)
	})
	Convey("A target on another machine is refused", t, func() {
		_, err := Run(context.Background(), Pattern{}, Target{Entries: []string{"10.0.0.1:80"}})
		So(errors.Is(err, ErrNotLoopback), ShouldBeTrue)
	})
}

// TestComparison guards against latency ratios that are not relative to the direct run, and against a burst of writes
// that is hidden by the average over the run.
func TestComparison(t *testing.T) {
	Convey("Reports are compared with the direct run, whatever its position", t, func() {
		at := func(ms int64) time.Time { return time.UnixMilli(ms) }
		readings := []commitReading{{at(0), 100}, {at(1000), 399}, {at(2000), 400}, {at(2100), 520}}
		belowLimit := writeRates(readings)
		So(belowLimit.WorstSecond, ShouldEqual, 299)
		So(belowLimit.PerSecond, ShouldEqual, 200)
		samples := func(d time.Duration) []Sample {
			return []Sample{{Outcome: request.Done, Latency: d + time.Second, Work: time.Second}, {Outcome: request.NotRun}}
		}
		daemons := NewReport("daemons", false, samples(9*time.Millisecond), time.Second)
		daemons.Writes = &belowLimit
		reports := []Report{daemons, NewReport("minions", true, samples(2*time.Millisecond), time.Second)}
		var out strings.Builder
		So(WriteComparison(&out, reports), ShouldBeNil)
		lines := strings.Split(out.String(), "\n")
		So(strings.Fields(lines[1]), ShouldResemble,
			strings.Fields("daemons 2 50.00 % 50.00 % 0.00 % 0 9ms 9ms 4.50 4.50 200 299 -"))
		So(strings.Fields(lines[2])[10:], ShouldResemble, strings.Fields("2ms 2ms 1.00 1.00 - - -")[1:])
		So(lines[3], ShouldContainSubstring, "yes")

		readings[1].commits++
		*reports[0].Writes = writeRates(readings)
		So(summarizeWriteLimit(reports), ShouldContainSubstring, "NO")
		So(errors.Is(WriteComparison(&out, reports[:1]), ErrNoDirectRun), ShouldBeTrue)
	})
}
