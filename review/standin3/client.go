//go:build review3

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// step is a step of a job, as PROTOCOL.md names its fields.
type step struct {
	Count               int    `json:"count"`
	CPU                 int64  `json:"cpu,omitempty"`
	MemMB               int64  `json:"memMb,omitempty"`
	EstimatedDurationMS int64  `json:"estimatedDurationMs,omitempty"`
	After               []int  `json:"after,omitempty"`
	GangScheduled       bool   `json:"gangScheduled,omitempty"`
	LongRunning         bool   `json:"longRunning,omitempty"`
	MaxUnavailable      int    `json:"maxUnavailable,omitempty"`
	Requirements        string `json:"requirements,omitempty"`
	Image               string `json:"image,omitempty"`
	TargetMS            int    `json:"targetMs,omitempty"`
	FillCount           bool   `json:"fillCount,omitempty"`
}

// jobBody is the body of a submission.
type jobBody struct {
	TaskSpec    string `json:"taskSpec"`
	Steps       []step `json:"steps"`
	Repetitions int    `json:"repetitions,omitempty"`
	FirstRunMS  int64  `json:"firstRunMs,omitempty"`
	IntervalMS  int64  `json:"intervalMs,omitempty"`
}

const callerDeadline = 3 * time.Second

// call sends a client's request to one daemon and returns the status, or 0 without a complete answer, and the body.
func (c *cluster) call(d *daemon, method, prefix, id string, body any) (int, []byte) {
	return c.callFor(callerDeadline, d, method, prefix, id, body)
}

// callFor is call for a client that leaves after a time.
func (c *cluster) callFor(patience time.Duration, d *daemon, method, prefix, id string, body any) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var in io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		in = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.ip+":8161"+prefix+id, in)
	if err != nil {
		return 0, nil
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Greengagewing-Deadline-Ms", fmt.Sprint(callerDeadline.Milliseconds()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// submit hands a job in, at another daemon after each failure, and reports whether it was accepted.
func (c *cluster) submit(id string, job jobBody) bool { return c.submitTo(queuePrefix, id, job) }

// submitTo is submit for the queue with a prefix.
func (c *cluster) submitTo(prefix, id string, job jobBody) bool {
	for try := range 20 {
		d := c.daemons[(int(id[15])+try)%len(c.daemons)]
		status, _ := c.call(d, http.MethodPost, prefix, id, job)
		if status >= 200 && status < 300 {
			c.note("client: job %s accepted by %s (%d)", id, d.name, status)
			return true
		}
		c.note("client: job %s at %s: status %d", id, d.name, status)
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// state asks for a job's state until there is an answer, and returns it; "410" stands for that status.
func (c *cluster) state(id string) string {
	for try := range 20 {
		status, data := c.call(c.daemons[try%len(c.daemons)], http.MethodGet, queuePrefix, id, nil)
		switch status {
		case http.StatusOK:
			var a struct {
				State string `json:"state"`
			}
			if json.Unmarshal(data, &a) == nil {
				return a.State
			}
		case http.StatusGone:
			return "410"
		}
		time.Sleep(200 * time.Millisecond)
	}
	return ""
}

// audit records the runs of all minions.
type audit struct {
	c  *cluster
	mu sync.Mutex

	running map[string]map[string]int64 // by task, by minion: the run
	failed  map[string]int              // ends "failed" by task
	done    map[string]bool
	notedAt map[string]time.Time // by task: when an end "done" was taken note of
	twice   []string
	lastRun map[string]time.Time // by task: when it last had a run

	firstRun map[string]time.Time // by task: when its first run began
}

func newAudit(c *cluster) *audit {
	return &audit{c: c, running: map[string]map[string]int64{}, failed: map[string]int{}, done: map[string]bool{},
		notedAt: map[string]time.Time{}, lastRun: map[string]time.Time{}, firstRun: map[string]time.Time{}}
}

func (a *audit) started(task string, run int64, minion string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.c.note("minion %s: %s run %d begins", minion, task, run)
	if a.running[task] == nil {
		a.running[task] = map[string]int64{}
	}
	if len(a.running[task]) > 0 {
		a.twice = append(a.twice, fmt.Sprintf("%s run %d begins on %s beside %v", task, run, minion, a.running[task]))
	}
	if _, noted := a.notedAt[task]; noted {
		a.twice = append(a.twice, fmt.Sprintf("%s run %d begins on %s after an end done that was taken note of", task, run, minion))
	}
	a.running[task][minion] = run
	if a.firstRun[task].IsZero() {
		a.firstRun[task] = time.Now()
	}
}

func (a *audit) ended(task string, run int64, minion, how string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.c.note("minion %s: %s run %d ends: %s", minion, task, run, how)
	delete(a.running[task], minion)
	a.lastRun[task] = time.Now()
	switch how {
	case "failed":
		a.failed[task]++
	case "done":
		a.done[task] = true
	}
}

func (a *audit) noted(task string, _ int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notedAt[task] = time.Now()
}

// failedEnds returns how many runs of the task have ended "failed".
func (a *audit) failedEnds(task string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.failed[task]
}

// hasRun reports whether the task has a run now, and otherwise when its last one ended.
func (a *audit) hasRun(task string) (bool, time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.running[task]) > 0, a.lastRun[task]
}
