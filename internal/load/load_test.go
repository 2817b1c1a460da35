package load

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/request"
)

// TestArrivals guards against a stream that differs between runs or that has no crest.
func TestArrivals(t *testing.T) {
	Convey("A pattern gives the same stream for the same seed, with the crest where it was asked for", t, func() {
		p := Pattern{
			Rate: 100, Duration: 10 * time.Second, CrestFactor: 10, CrestAt: 4 * time.Second, CrestFor: 2 * time.Second,
			Customers: 5, Seed: 7, Mix: []Share{{Weight: 1}, {Weight: 3}},
		}
		as := p.Arrivals()
		So(as, ShouldResemble, p.Arrivals())
		inCrest := 0
		for _, a := range as {
			if a.At >= p.CrestAt && a.At < p.CrestAt+p.CrestFor {
				inCrest++
			}
		}
		So(inCrest, ShouldBeBetween, 1800, 2200)
		So(len(as)-inCrest, ShouldBeBetween, 700, 900)
	})
}

// TestSummarize guards against counting late refusals or another request's answer as good service.
func TestSummarize(t *testing.T) {
	Convey("Samples are summed up by class", t, func() {
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
	Convey("Load beyond this machine is refused", t, func() {
		_, err := Run(context.Background(), Pattern{}, Target{Entries: []string{"10.0.0.1:80"}})
		So(errors.Is(err, ErrNotLoopback), ShouldBeTrue)
	})
}
