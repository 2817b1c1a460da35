package coordinator

import "go.uber.org/zap"

// logQuotaWaits logs the teams that begin or cease to wait for their quotas. The caller holds mu.
func (t *term) logQuotaWaits() {
	for _, q := range t.sched.TakeQuotaWaits() {
		message := "team waits for its quota"
		if q.Waiting == 0 {
			message = "team no longer waits for its quota"
		}
		t.log.Info(message, zap.String("team", q.Team), zap.Int("steps", q.Waiting), zap.Any("used", q.Used),
			zap.Any("uncertain", q.Uncertain), zap.Any("limit", q.Limit))
	}
}

// teamGauges are the numbers of teams and jobs that metrics show.
type teamGauges struct{ atQuota, beyondShare int }

// teamGauges returns the present numbers. The caller holds mu.
func (t *term) teamGauges() teamGauges {
	return teamGauges{atQuota: t.sched.TeamsAtQuota(), beyondShare: t.sched.JobsBeyondShare()}
}

// update sets the gauges of the metrics.
func (g teamGauges) update(t *term) {
	t.deps.Metrics.Gauge("teams_at_quota").Update(float64(g.atQuota))
	t.deps.Metrics.Gauge("jobs_beyond_share").Update(float64(g.beyondShare))
}
