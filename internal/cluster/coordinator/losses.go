package coordinator

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
)

// maxLoggedRuns limits the runs in the log line of a lost worker. The youngest ones are listed first: a task that crashes its
// worker usually does so right after its start.
const maxLoggedRuns = 8

// logWorkerLosses logs the workers that took runs with them, and counts these runs. The caller holds mu.
func (t *term) logWorkerLosses() {
	for _, l := range t.sched.TakeWorkerLosses() {
		for _, r := range l.Runs {
			t.meters.ends.Record("lost", l.NoticedAt.Add(-r.Age))
		}
		t.log.Warn("worker lost with its runs", zap.String("worker", l.Worker), zap.Int64("born", l.Incarnation),
			zap.String("cause", string(l.Cause)), zap.Duration("lease_left", l.LeaseLeft), zap.Duration("since", time.Since(l.NoticedAt)), zap.Int("runs", len(l.Runs)),
			zap.Array("youngest", lostRuns(l.Runs[:min(len(l.Runs), maxLoggedRuns)])))
	}
}

// logExpiredWorkers logs the workers of earlier owners that did not report before all leases there had expired. The caller holds mu.
func (t *term) logExpiredWorkers() {
	for _, e := range t.sched.TakeExpiredWorkers() {
		t.log.Warn("worker of an earlier owner given up without a report", zap.String("worker", e.Worker),
			zap.Int64("stored_born", e.PreviousUse.Incarnation), zap.Bool("stored_stale_lease", e.PreviousUse.StaleLease),
			zap.Int64("listed_born", e.ListedAs), zap.Bool("stale_lease_counted", e.StaleLease), zap.Bool("inherited", e.Inherited),
			zap.Duration("waited", e.Waited))
	}
}

// logGivenUp logs the tasks that were given up because workers crashed under them. The caller holds mu.
func (t *term) logGivenUp() {
	for _, g := range t.sched.TakeGivenUp() {
		t.log.Warn("job fails: workers crash under its task", zap.String("job", g.Task.Job), zap.Stringer("task", g.Task),
			zap.Int("crashes", g.Crashes), zap.Int("weight", g.Weight))
	}
}

// logLateStarts logs and counts the starts that workers have carried out late. Beyond the limit that the scheduler relies on, a task may have
// run twice. The caller holds mu.
func (t *term) logLateStarts() {
	for _, l := range t.sched.TakeLateStarts() {
		outcome := "within the limit"
		if l.Beyond > 0 {
			outcome = "beyond the limit"
		}
		t.deps.Metrics.SubScope("late_start").Tagged(map[string]string{"outcome": outcome}).Counter("total").Inc(1)
		t.log.Warn("worker has carried out a start late", zap.String("worker", l.Worker), zap.Stringer("task", l.Task), zap.Int64("run", l.Run),
			zap.String("outcome", outcome), zap.Duration("beyond_limit", l.Beyond))
	}
}

// lostRuns logs each run as task, run number and age.
type lostRuns []scheduler.LostRun

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (rs lostRuns) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for _, r := range rs {
		if err := enc.AppendObject(lostRun(r)); err != nil {
			return err
		}
	}
	return nil
}

type lostRun scheduler.LostRun

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (r lostRun) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("task", r.Task.String())
	enc.AddInt64("run", r.Run)
	enc.AddDuration("age", r.Age)
	return nil
}
