package load

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/greengagewing/greengagewing/internal/job"
	"github.com/greengagewing/greengagewing/internal/wait"
)

const (
	taskDuration    = 100 * time.Millisecond
	jobPollInterval = 50 * time.Millisecond
	jobCustomer     = "customer-1"
)

// RunTasks submits one job of n idempotent tasks to the pool that has the same name as the service, and returns the
// time from its submission until it is done.
func RunTasks(ctx context.Context, t Target, n int) (time.Duration, error) {
	if err := t.requireLoopback(); err != nil {
		return 0, err
	}
	payload, _ := json.Marshal(workPayload{Key: t.RunID, WorkMS: taskDuration.Milliseconds()})
	body, _ := json.Marshal(job.Spec{
		Customer: jobCustomer, Key: t.RunID, Kind: job.Batch, Class: job.Normal, Idempotent: true, Tasks: n,
		Resources: job.Resources{CPUMilli: 50, MemoryMB: 32}, RunMS: taskDuration.Milliseconds(), Payload: payload,
	})
	hc := &http.Client{Timeout: callTimeoutMargin}
	defer hc.CloseIdleConnections()
	jobsURL := "http://" + t.Entries[rand.IntN(len(t.Entries))] + "/v1/pools/" + t.Service + "/jobs"
	began := time.Now()
	var st job.Status
	status, err := exchangeJSON(ctx, hc, http.MethodPost, jobsURL, nil, body, &st)
	for err == nil && status < http.StatusMultipleChoices && !st.State.Final() && wait.For(ctx, jobPollInterval) {
		status, err = exchangeJSON(ctx, hc, http.MethodGet, jobsURL+"/"+jobCustomer+"/"+t.RunID, nil, nil, &st)
	}
	switch {
	case err != nil:
		return 0, errors.Wrap(err, "run tasks")
	case st.State != job.Done:
		return 0, errors.Errorf("run tasks: status %d, job is %q", status, st.State)
	}
	return time.Since(began), nil
}
