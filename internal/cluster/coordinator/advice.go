package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/asynclog"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	// adviceTimeoutMargin is added to the expected duration of a call to get its timeout.
	adviceTimeoutMargin = 200 * time.Millisecond
	// hostBackoff is how long no advice request is sent to a host whose call has failed. It doubles with each further failure,
	// up to hostBackoffLimit, since each failed call delays a step.
	hostBackoff      = time.Second
	hostBackoffLimit = 16 * time.Second
)

// adviceDispatcher sends the scheduler's advice requests to the policy service through the hosts, one request at a time for
// each host. The callers of its methods, except callHost, hold the term's mu.
type adviceDispatcher struct {
	t        *term
	busy     map[string]time.Duration // expected duration of the current call, by host
	retryAt  map[string]time.Time     // when hosts with failed calls may be used again
	failures map[string]int           // consecutive failed calls, by host
}

func newAdviceDispatcher(t *term) *adviceDispatcher {
	return &adviceDispatcher{t: t, busy: map[string]time.Duration{}, retryAt: map[string]time.Time{}, failures: map[string]int{}}
}

// dispatch sends the most urgent advice requests while there are free hosts. Long requests use at most half of the hosts.
func (d *adviceDispatcher) dispatch(ctx context.Context) {
	if !d.t.sched.WantsAdvice() {
		return
	}
	defer d.t.deps.Duties.Begin(dutyAdvice)()
	hosts := d.t.deps.PolicyClient.Hosts()
	longLimit := max((len(hosts)+1)/2, 1)
	free := d.freeHosts(hosts)
	for len(free) > 0 {
		requests := d.t.sched.NextAdviceRequests(time.Now(), len(free), longLimit-d.countLongCalls())
		if len(requests) == 0 {
			return
		}
		for i, r := range requests {
			host := free[i]
			d.busy[host] = r.ExpectedDuration
			d.t.wg.Go(func() { d.callHost(ctx, host, r) })
		}
		free = free[len(requests):]
	}
}

// freeHosts returns the hosts without a current call or backoff.
func (d *adviceDispatcher) freeHosts(hosts []string) []string {
	now := time.Now()
	var free []string
	for _, h := range hosts {
		if _, busy := d.busy[h]; !busy && now.After(d.retryAt[h]) {
			free = append(free, h)
		}
	}
	return free
}

// countLongCalls returns the number of current calls with a long request.
func (d *adviceDispatcher) countLongCalls() int {
	n := 0
	for _, expected := range d.busy {
		if expected >= scheduler.LongAdviceRequest {
			n++
		}
	}
	return n
}

// callHost sends an advice request through a host and passes the answer, or the failure, on to the scheduler.
func (d *adviceDispatcher) callHost(ctx context.Context, host string, r scheduler.AdviceRequest) {
	began := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, r.ExpectedDuration+adviceTimeoutMargin)
	a, err := d.t.deps.PolicyClient.Ask(callCtx, host, r.Step, r.Workers)
	cancel()
	result := scheduler.AdviceResult{Step: r.Step, RequestedWorkers: r.Workers, Approved: a.Approved, Validity: a.Validity, Failed: err != nil}
	d.t.log.Info("advice", zap.String("job", r.Step.Job), zap.Stringer("step", r.Step), zap.String("adviser", host),
		zap.Int("asked", len(r.Workers)), zap.Int("approved", len(a.Approved)), zap.Duration("took", time.Since(began)), asynclog.Error(err))
	d.t.meters.advice.Record(outcomeLabel(err), began)
	d.t.mu.Lock()
	defer d.t.mu.Unlock()
	delete(d.busy, host)
	if err != nil {
		d.retryAt[host] = time.Now().Add(wait.Backoff(hostBackoff, hostBackoffLimit, d.failures[host]))
		d.failures[host]++
	} else {
		delete(d.failures, host)
	}
	d.t.sched.HandleAdvice(time.Now(), result)
	d.dispatch(ctx)
	d.t.requestPlan()
}

// outcomeLabel returns the metric label for the outcome of a call.
func outcomeLabel(err error) string {
	if err != nil {
		return "failed"
	}
	return "answered"
}
