package coordinator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/cluster/delegate"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
)

// commitFault is what a troubledStore does with a commit.
type commitFault int

const (
	noFault       commitFault = iota
	refused                   // it has no effect
	answerLost                // it takes effect
	performedLate             // it has no answer and takes effect 1 to 6 s later, if its conditions hold then
	unanswered                // as performedLate, but the caller waits for its timeout
	faultKinds
)

// troubledStore is a store with faults of commits.
type troubledStore struct {
	*rowstore.Memory
	mu     sync.Mutex
	random *rand.Rand
	fault  commitFault
}

func (s *troubledStore) setFault(f commitFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *troubledStore) Commit(ctx context.Context, txn rowstore.Txn) (int64, error) {
	s.mu.Lock()
	fault, late := s.fault, time.Second+time.Duration(s.random.IntN(5000))*time.Millisecond
	s.mu.Unlock()
	switch fault {
	case refused:
		return 0, rowstore.ErrUnavailable
	case answerLost:
		_, err := s.Memory.Commit(ctx, txn)
		if err == nil {
			err = rowstore.ErrUnknownOutcome
		}
		return 0, err
	case performedLate, unanswered:
		time.AfterFunc(late, func() { _, _ = s.Memory.Commit(context.Background(), txn) })
		if fault == unanswered {
			<-ctx.Done()
		}
		return 0, rowstore.ErrUnknownOutcome
	}
	return s.Memory.Commit(ctx, txn)
}

// Guards against a run on a restarted worker of which a successor does not know that its lease may be long, whatever the store does with
// the commits when the worker restarts: the use has to be stored before the start, and no earlier commit may replace it later.
func TestStoredUseIsNeverBehindTheRuns(t *testing.T) {
	for fault := noFault; fault < faultKinds; fault++ {
		for seed := range uint64(6) {
			synctest.Test(t, func(t *testing.T) {
				Convey(fmt.Sprintf("Given workers that restart while the store has fault %d, seed %d", fault, seed), t, func() {
					store := &troubledStore{Memory: rowstore.NewMemory(), random: rand.New(rand.NewPCG(seed, 11))}
					o := runOwnerWith(t, store, 0, fixedWorkers{testWorker("w0"), testWorker("w1")}, false, longLeases)
					defer o.end()
					a := o.testDelegate(t, "a")
					a.serve(longLeases.StaleLeaseBound() + time.Second)
					o.submit("running", 8) // fills the workers, so that the other one can start without a commit once these are lost
					a.serve(200 * time.Millisecond)
					o.submit("waiting", 2)
					a.serve(200 * time.Millisecond)
					So(a.starts, ShouldHaveLength, 8)
					for _, s := range a.starts {
						So(a.exchange(a.startedEvent(s, scheduler.StartAccepted)), ShouldBeNil)
					}
					a.starts = nil
					store.setFault(fault)
					began, trouble := time.Now(), 300*time.Millisecond+time.Duration(seed)*900*time.Millisecond
					a.restartWorkers()
					for time.Since(began) < longLeases.StaleLeaseBound()-100*time.Millisecond {
						if time.Since(began) > trouble {
							store.setFault(noFault)
						}
						a.serveRestarted(20 * time.Millisecond)
						for _, s := range a.starts {
							So(s.Incarnation, ShouldEqual, 2)
							So(o.readWorkersInUse(t).Uses()[s.WorkerID], ShouldResemble, scheduler.WorkerUse{Incarnation: 2, StaleLease: true})
						}
					}
					So(len(a.starts), ShouldBeGreaterThanOrEqualTo, 2)
				})
			})
		}
	}
}

// Guards against a run on a worker of which a successor does not know that its lease may be long, because the process that stale calls may
// reach has the stored incarnation: a worker whose clock does not advance may start again with the same one.
func TestNothingStartsBeforeAStaleLeaseIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a worker whose incarnation is stored, and that stale calls may reach while the store refuses writes", t, func() {
			store := &troubledStore{Memory: rowstore.NewMemory()}
			store.random = rand.New(rand.NewPCG(1, 11))
			o := runOwnerWith(t, store, 0, fixedWorkers{testWorker("w0")}, false, longLeases)
			defer o.end()
			a := o.testDelegate(t, "a")
			a.serve(longLeases.StaleLeaseBound() + time.Second)
			o.submit("running", 4)
			a.serve(200 * time.Millisecond)
			o.submit("waiting", 1)
			a.serve(200 * time.Millisecond)
			So(a.starts, ShouldHaveLength, 4)
			var events []delegate.Event
			for _, s := range a.starts {
				events = append(events, a.startedEvent(s, scheduler.StartAccepted))
			}
			So(a.exchange(events...), ShouldBeNil)
			a.starts = nil
			So(o.readWorkersInUse(t).Uses()["w0"], ShouldResemble, scheduler.WorkerUse{Incarnation: 1})
			store.setFault(refused)
			time.Sleep(time.Millisecond)
			unfenced := a.reportEvent("w0")
			unfenced.Report.Unfenced = true
			So(a.exchange(unfenced), ShouldBeNil)
			a.serve(time.Second)
			So(a.starts, ShouldBeEmpty)
			store.setFault(noFault)
			a.serve(time.Second)
			So(a.starts, ShouldNotBeEmpty)
			So(o.readWorkersInUse(t).Uses()["w0"], ShouldResemble, scheduler.WorkerUse{Incarnation: 1, StaleLease: true})
		})
	})
}
