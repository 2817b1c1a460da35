package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestWaits guards against waits that continue after their context has ended, and against loops that drift or spin.
func TestWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a context that ends after 10 s", t, func() {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			began := time.Now()
			Convey("a longer wait ends with the context", func() {
				So(For(ctx, time.Second), ShouldBeTrue)
				So(For(ctx, time.Hour), ShouldBeFalse)
				So(For(ctx, 0), ShouldBeFalse)
				So(time.Since(began), ShouldEqual, 10*time.Second)
			})
			Convey("a loop starts calls once per interval, measured from start to start", func() {
				var starts []time.Duration
				Every(ctx, 2*time.Second, func(ctx context.Context) {
					starts = append(starts, time.Since(began))
					For(ctx, time.Duration(len(starts))*900*time.Millisecond)
				})
				So(starts[:4], ShouldResemble, []time.Duration{0, 2 * time.Second, 4 * time.Second, 6700*time.Millisecond + minTimerDuration})
			})
			Convey("the backoff doubles up to a limit, even after very many attempts", func() {
				for n, want := range map[int]time.Duration{0: 5, 1: 10, 3: 40, 4: 60, 1000: 60} {
					So(Backoff(5, 60, n), ShouldEqual, want)
				}
				So(Backoff(5, 3, 0), ShouldEqual, 3)
				So(Jitter(100, 0), ShouldEqual, 50)
				So(Jitter(100, 0.5), ShouldEqual, 75)
			})
			Convey("a signal ends a wait early and adds a call to a loop without delaying the others", func() {
				signal := make(chan struct{}, 1)
				time.AfterFunc(time.Second, func() { signal <- struct{}{} })
				So(ForOrSignal(ctx, time.Hour, signal), ShouldBeTrue)
				So(time.Since(began), ShouldEqual, time.Second)
				time.AfterFunc(5*time.Second, func() { signal <- struct{}{} })
				var starts []time.Duration
				EveryOrSignal(ctx, 2*time.Second, signal, func(context.Context) { starts = append(starts, time.Since(began)) })
				So(starts, ShouldResemble, []time.Duration{
					time.Second, 3 * time.Second, 5 * time.Second, 6 * time.Second, 7 * time.Second, 9 * time.Second,
				})
			})
		})
	})
}
