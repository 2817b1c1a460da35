package coordinator

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewing/greengagewing/internal/asynclog"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
	"github.com/greengagewing/greengagewing/internal/cluster/workload"
	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	// longCall is the duration from which a question counts as long. Long ones use at most half of the hosts, so that
	// questions of short tasks find a free one.
	longCall = 200 * time.Millisecond
	// adviceSlack is added to the expected time of a call for its time limit.
	adviceSlack = 200 * time.Millisecond
	// hostBackoff keeps questions from a host that failed to answer one. It doubles with each failure up to its limit: each
	// trial delays a step.
	hostBackoff      = time.Second
	hostBackoffLimit = 16 * time.Second
)

// adviceDesk hands questions to the policy service to the hosts, one at a time for each, the most urgent first. Its
// methods are called with the term's mu held.
type adviceDesk struct {
	t       *term
	waiting map[workload.StepID]scheduler.AdviceRequest // a newer question of a step replaces one that waits
	busy    map[string]time.Duration                    // by host: cost of its question
	avoid   map[string]time.Time                        // hosts that failed, until when they are not asked
	failed  map[string]int                              // by host: failures since the last answer
}

func newAdviceDesk(t *term) *adviceDesk {
	return &adviceDesk{t: t, waiting: map[workload.StepID]scheduler.AdviceRequest{}, busy: map[string]time.Duration{}, avoid: map[string]time.Time{}, failed: map[string]int{}}
}

func (d *adviceDesk) add(r scheduler.AdviceRequest) { d.waiting[r.Step] = r }

// dispatch sends questions while hosts are free.
func (d *adviceDesk) dispatch(ctx context.Context) {
	if len(d.waiting) == 0 {
		return
	}
	hosts := d.t.deps.Advisers.Hosts()
	order := slices.Collect(maps.Values(d.waiting))
	slices.SortFunc(order, scheduler.AdviceRequest.Compare)
	longLimit := max((len(hosts)+1)/2, 1)
	for _, r := range order {
		host := d.freeHost(hosts)
		if host == "" {
			return
		}
		if r.Cost >= longCall && d.longCalls() >= longLimit {
			continue
		}
		d.busy[host] = r.Cost
		delete(d.waiting, r.Step)
		d.t.wg.Go(func() { d.ask(ctx, host, r) })
	}
}

func (d *adviceDesk) freeHost(hosts []string) string {
	now := time.Now()
	for _, h := range hosts {
		if _, busy := d.busy[h]; !busy && now.After(d.avoid[h]) {
			return h
		}
	}
	return ""
}

func (d *adviceDesk) longCalls() int {
	n := 0
	for _, cost := range d.busy {
		if cost >= longCall {
			n++
		}
	}
	return n
}

func (d *adviceDesk) ask(ctx context.Context, host string, r scheduler.AdviceRequest) {
	began := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, r.Cost+adviceSlack)
	a, err := d.t.deps.Advisers.Ask(callCtx, host, r.Step, r.Workers)
	cancel()
	result := scheduler.AdviceResult{Step: r.Step, Asked: r.Workers, Approved: a.Approved, Validity: a.Validity, Failed: err != nil}
	d.t.log.Info("advice", zap.String("job", r.Step.Job), zap.Stringer("step", r.Step), zap.String("host", host),
		zap.Int("asked", len(r.Workers)), zap.Int("approved", len(a.Approved)), zap.Duration("took", time.Since(began)), asynclog.Error(err))
	d.t.meters.advice.Done(answeredOrNot(err), began)
	d.t.mu.Lock()
	defer d.t.mu.Unlock()
	delete(d.busy, host)
	if err != nil {
		d.avoid[host] = time.Now().Add(wait.Backoff(hostBackoff, hostBackoffLimit, d.failed[host]))
		d.failed[host]++
	} else {
		delete(d.failed, host)
	}
	d.t.sched.AdviceDone(time.Now(), result)
	d.t.wake()
}
