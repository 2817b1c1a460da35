package delegate

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/cluster/wire"
	"github.com/greengagewing/greengagewing/internal/cluster/wire/wiretest"
)

// Guards against calls with so many events that the owner can't receive them in time, and that are repeated without an end.
func TestEventsWithAnyTextFitIntoMessages(t *testing.T) {
	for seed := range uint64(6) {
		Convey(fmt.Sprintf("Given reports of many runs with any checkpoints, seed %d", seed), t, func() {
			random := rand.New(rand.NewPCG(seed, 6))
			s := &session{eventsReady: make(chan struct{}, 1)}
			r := &leaseRenewer{id: "w", a: &Agent{log: zap.NewNop()}}
			const reports = 8
			for i := range reports {
				answer := randomAnswer(random)
				r.limitCheckpoints(&answer)
				s.emit(Event{WorkerID: "w", Generation: int64(i), Report: &Report{Active: answer.Active, Ended: answer.Ended}})
			}
			received := 0
			for received < reports {
				first, events := s.nextEvents(false)
				So(first, ShouldEqual, received+1)
				So(wire.Size(EventBatch{First: first, Events: events}), ShouldBeLessThanOrEqualTo, wire.MaxMessageBytes)
				received += len(events)
				s.finishSend(len(events), true)
			}
		})
	}
}

func randomAnswer(random *rand.Rand) RenewalAnswer {
	var a RenewalAnswer
	length := 1 << random.IntN(15)
	for i := range random.IntN(300) {
		a.Active = append(a.Active, scheduler.ActiveRun{Task: testTask(i), Run: 1, Checkpoint: wiretest.Text(random, length)})
	}
	for i := range random.IntN(300) {
		a.Ended = append(a.Ended, scheduler.EndedRun{Number: int64(i), Task: testTask(i), Run: 1, Checkpoint: wiretest.Text(random, length)})
	}
	return a
}

// Guards against the loss of checkpoints that are small enough.
func TestOnlyLargeCheckpointsAreDropped(t *testing.T) {
	Convey("Given a report with a checkpoint that is too large among others", t, func() {
		large := strings.Repeat("\x01", maxCheckpointBytes/maxEscape+1)
		answer := RenewalAnswer{Active: []scheduler.ActiveRun{{Checkpoint: "a"}, {Checkpoint: large}, {Checkpoint: strings.Repeat("b", maxCheckpointBytes-2)}}}
		(&leaseRenewer{id: "w", a: &Agent{log: zap.NewNop()}}).limitCheckpoints(&answer)
		Convey("The others are kept", func() {
			So(answer.Active[0].Checkpoint, ShouldEqual, "a")
			So(answer.Active[1].Checkpoint, ShouldBeEmpty)
			So(answer.Active[2].Checkpoint, ShouldHaveLength, maxCheckpointBytes-2)
		})
	})
}
