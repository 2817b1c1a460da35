package ingress

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against bodies that stay open for ever, and against the end of bodies at an ordinary pace.
func TestVerdicts(t *testing.T) {
	p := DefaultLimits(0, 0).Progress
	cases := []struct {
		name     string
		transfer transfer
		pressure bool
		want     Reason
	}{
		{"4,000 bytes within 12 s", transfer{age: 12 * time.Second, stalled: time.Second, received: 3900}, false, admitted},
		{"4,000 bytes within 12 s under pressure", transfer{age: 12 * time.Second, stalled: time.Second, received: 3900}, true, admitted},
		{"256 kB at 8 kB/s", transfer{age: 30 * time.Second, received: 240 << 10, large: true}, false, admitted},
		{"256 kB at 8 kB/s under pressure", transfer{age: 30 * time.Second, received: 240 << 10, large: true}, true, admitted},
		{"no byte for 9 s", transfer{age: 9 * time.Second, stalled: 9 * time.Second}, false, admitted},
		{"no byte for 10 s", transfer{age: 20 * time.Second, stalled: 10 * time.Second, received: 1 << 20}, false, bodyStalled},
		{"no byte for 3 s under pressure", transfer{age: 3 * time.Second, stalled: 3 * time.Second}, true, bodyStalled},
		{"a byte a second", transfer{age: 11 * time.Second, received: 11}, false, bodyTooSlow},
		{"a large body at a byte a second under pressure", transfer{age: 4 * time.Second, received: 4, large: true}, true, bodyTooSlow},
		{"a small body at a byte a second under pressure", transfer{age: 4 * time.Second, received: 4}, true, admitted},
		{"a minute", transfer{age: time.Minute, received: 1 << 20}, false, bodyPastDeadline},
	}
	for _, c := range cases {
		Convey(c.name, t, func() { So(verdictOf(c.transfer, p, c.pressure), ShouldEqual, c.want) })
	}
}

// Guards against the end of requests in progress, or of connections in regular use, for connections that nobody uses.
func TestOrderOfClosedConnections(t *testing.T) {
	inOrder := []candidate{
		{phase: unused, since: 3, number: 7},
		{phase: unused, since: 3, number: 8},
		{phase: unused, since: 5, number: 2},
		{phase: receiving, since: 2, number: 1, stalled: true},
		{phase: idle, since: 4, number: 3, stalled: true},
		{phase: idle, since: 1, number: 4},
		{phase: idle, since: 6, number: 5},
		{phase: receiving, since: 0, number: 0},
		{phase: handling, since: 1, number: 6},
	}
	Convey("Connections are closed in this order", t, func() {
		for i, c := range inOrder {
			for _, later := range inOrder[i+1:] {
				So(c.closesBefore(later), ShouldBeTrue)
				So(later.closesBefore(c), ShouldBeFalse)
			}
		}
		var reasons []Reason
		for _, c := range inOrder {
			reasons = append(reasons, c.reason())
		}
		So(slices.Compact(reasons), ShouldResemble, []Reason{closedUnused, closedStalled, closedIdle, noConnection})
	})
}
