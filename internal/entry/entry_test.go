package entry

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewing/greengagewing/internal/network"

	"github.com/greengagewing/greengagewing/internal/peer"
	"github.com/greengagewing/greengagewing/internal/request"
)

// attempt is the scripted result of sending a call once.
type attempt struct {
	err      error
	notOwner bool
	duration time.Duration
	// ownerPauses makes the owner stop answering heartbeats after this attempt.
	ownerPauses bool
}

type fakeOwners struct{ paused *atomic.Bool }

func (f fakeOwners) OwnerOf(string) (Owner, bool) {
	return Owner{Addr: "peer", Unresponsive: f.paused.Load()}, true
}

// routeAttempts routes a call whose attempts have the given results; the last result repeats.
func routeAttempts(steps ...attempt) (sent int, lost bool, took time.Duration, err error) {
	owners := fakeOwners{new(atomic.Bool)}
	began := time.Now()
	_, lost, err = route(context.Background(), owners, call[bool]{
		remote: func(context.Context, string) (bool, error) {
			s := steps[min(sent, len(steps)-1)]
			sent++
			time.Sleep(s.duration)
			owners.paused.Store(s.ownerPauses)
			return s.notOwner, s.err
		},
		notOwner: func(m bool) bool { return m },
	})
	return sent, lost, time.Since(began), err
}

// TestRoute guards against waiting on an owner that cannot be reached, against endless retries, and against reporting
// "not run" although an earlier attempt may still run.
func TestRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a call to the owner of a partition", t, func() {
			Convey("the owner's answer is returned", func() {
				sent, lost, _, err := routeAttempts(attempt{})
				So(err, ShouldBeNil)
				So(lost, ShouldBeFalse)
				So(sent, ShouldEqual, 1)
			})
			Convey("an owner that cannot be reached is reported at once", func() {
				sent, _, took, err := routeAttempts(attempt{err: peer.ErrNotSent})
				So(errors.Is(err, ErrOwnerGone), ShouldBeTrue)
				So(sent, ShouldEqual, 1)
				So(took, ShouldEqual, 0)
			})
			Convey("a call is retried after a lost answer, a bounded number of times", func() {
				sent, lost, _, err := routeAttempts(attempt{err: peer.ErrLost})
				So(errors.Is(err, ErrLost), ShouldBeTrue)
				So(lost, ShouldBeTrue)
				So(sent, ShouldEqual, 1+maxLostAnswers)
			})
			Convey("an owner that does not answer heartbeats is not called again", func() {
				sent, lost, _, err := routeAttempts(attempt{err: peer.ErrLost, ownerPauses: true})
				So(errors.Is(err, ErrLost), ShouldBeTrue)
				So(lost, ShouldBeTrue)
				So(sent, ShouldEqual, 1)
				sent, lost, took, err := routeAttempts(attempt{notOwner: true, ownerPauses: true})
				So(errors.Is(err, ErrOwnerGone), ShouldBeTrue)
				So(lost, ShouldBeFalse)
				So(sent, ShouldEqual, 1)
				So(took, ShouldBeLessThanOrEqualTo, ownerPollInterval)
			})
			Convey("an answer after a lost one reports that an earlier attempt may still run", func() {
				_, lost, _, err := routeAttempts(attempt{err: peer.ErrLost}, attempt{})
				So(err, ShouldBeNil)
				So(lost, ShouldBeTrue)
			})
			Convey("an unreachable owner after a lost answer leaves the outcome unknown", func() {
				_, lost, took, err := routeAttempts(attempt{err: peer.ErrLost}, attempt{err: peer.ErrNotSent})
				So(errors.Is(err, ErrLost), ShouldBeTrue)
				So(lost, ShouldBeTrue)
				So(took, ShouldBeLessThanOrEqualTo, maxOwnerWait+ownerPollInterval)
			})
			Convey("a call to a partition without an owner fails after the maximum wait", func() {
				_, _, took, err := routeAttempts(attempt{notOwner: true})
				So(errors.Is(err, ErrNoOwner), ShouldBeTrue)
				So(took, ShouldBeLessThanOrEqualTo, maxOwnerWait+ownerPollInterval)
			})
			Convey("a call that waited in the queue of the old owner reaches the new one", func() {
				sent, _, _, err := routeAttempts(attempt{notOwner: true, duration: 3 * time.Second}, attempt{notOwner: true}, attempt{})
				So(err, ShouldBeNil)
				So(sent, ShouldEqual, 3)
			})
		})
	})
}

// TestFinalOutcome guards against reporting "not run" to a caller while an earlier attempt of the request may still run.
func TestFinalOutcome(t *testing.T) {
	Convey("Given results of routing", t, func() {
		refusal := request.NotRunOutcome(request.CodeAllowanceRate, "", time.Second)
		So(finalOutcome(refusal, false, nil).Result, ShouldEqual, request.NotRun)
		So(finalOutcome(refusal, true, nil).Result, ShouldEqual, request.Unknown)
		So(finalOutcome(request.Outcome{Result: request.Done}, true, nil).Result, ShouldEqual, request.Done)
		So(finalOutcome(request.Outcome{}, true, ErrLost).Result, ShouldEqual, request.Unknown)
		gone := finalOutcome(request.Outcome{}, false, ErrOwnerGone)
		So(gone.Result, ShouldEqual, request.NotRun)
		So(gone.RetryAfterMS, ShouldEqual, ownerGoneRetry.Milliseconds())
	})
}

// fakeService records the requests that reach the owner.
type fakeService struct{ requests chan request.Request }

func (f *fakeService) Submit(_ context.Context, _ string, r request.Request) request.Outcome {
	f.requests <- r
	return request.Outcome{Result: request.Done, Answer: []byte(`"` + r.Key + `"`)}
}

func (f *fakeService) Lookup(string, string, string) request.Outcome {
	return request.Outcome{Result: request.Done}
}

type fixedOwner string

func (o fixedOwner) OwnerOf(string) (Owner, bool) { return Owner{Addr: string(o)}, true }

// TestForwardRequest guards against losing the key, the customer or the remaining timeout of a request when it is
// forwarded.
func TestForwardRequest(t *testing.T) {
	Convey("Given two daemons, the other of which owns the customer's partition", t, func() {
		gin.SetMode(gin.TestMode)
		svc := &fakeService{requests: make(chan request.Request, 1)}
		open := func() bool { return false }
		client := peer.NewClient("secret", network.TCP().Dial)
		Reset(client.Close)
		e := gin.New()
		owner := NewRequests(nil, client, svc, []string{"textos"}, open)
		peer.Handle(e.Group("/", peer.Authenticate("secret")), PathRequest, owner.ServeRequest)
		srv := httptest.NewServer(e)
		Reset(srv.Close)
		entry := NewRequests(fixedOwner(strings.TrimPrefix(srv.URL, "http://")), client, nil, []string{"textos"}, open)
		r := request.Request{Service: "textos", Customer: "c", Key: "k", Class: request.Urgent, TimeoutMS: 9000}
		out := entry.Submit(context.Background(), r)
		So(out.Result, ShouldEqual, request.Done)
		So(string(out.Answer), ShouldEqual, `"k"`)
		got := <-svc.requests
		So(got.TimeoutMS, ShouldBeBetweenOrEqual, 1, 9000)
		got.TimeoutMS = r.TimeoutMS
		So(got, ShouldResemble, r)
		Convey("a request for an unknown service or during a drain is refused without a call to the owner", func() {
			r.Service = "other"
			So(entry.Submit(context.Background(), r).Code, ShouldEqual, request.CodeNotFound)
			r.Service = "textos"
			entry.draining = func() bool { return true }
			So(entry.Submit(context.Background(), r).Code, ShouldEqual, request.CodeDraining)
			So(len(svc.requests), ShouldEqual, 0)
		})
	})
}
