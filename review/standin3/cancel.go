//go:build review3

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	cancelJobs    = 12
	cancelLeave   = 100 * time.Millisecond // a client leaves that has no answer by then
	cancelPause   = 150 * time.Millisecond // until it cancels
	cancelTime    = 3 * time.Second        // cancel_ms
	contactTime   = 3 * time.Second        // contactTimeoutMs
	cancelHorizon = 10 * time.Second
)

// cancelled lets clients hand jobs in, leave early and cancel at another machine, while the store performs one write of three late and
// without an answer. No task may start later than cancel_ms after its job's cancelling was acknowledged.
func cancelled(c *cluster, trouble bool) ([]string, error) {
	c.putConfig(1, 3)
	if err := c.startAll(4, 3); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	acked := map[string]time.Time{}
	c.losing.Store(trouble)
	for i := range cancelJobs {
		id := fmt.Sprintf("%016x", 0xcabc00+i)
		job := jobBody{TaskSpec: "work=500", Steps: []step{{Count: 1, CPU: 1000, MemMB: 500, EstimatedDurationMS: 500}}}
		status, _ := c.callFor(cancelLeave, c.daemons[i%3], http.MethodPost, queuePrefix, id, job)
		c.note("client: job %s handed in at %s: status %d", id, c.daemons[i%3].name, status)
		if status != 0 {
			continue
		}
		time.Sleep(cancelPause)
		status, _ = c.call(c.daemons[(i+1)%3], http.MethodDelete, queuePrefix, id, nil)
		c.note("client: job %s cancelled at %s: status %d", id, c.daemons[(i+1)%3].name, status)
		if status == http.StatusOK || status == http.StatusGone {
			acked[id] = time.Now()
		}
	}
	c.losing.Store(false)
	stableSince := time.Now()
	time.Sleep(cancelHorizon)
	var broken []string
	c.audit.mu.Lock()
	defer c.audit.mu.Unlock()
	for task, at := range c.audit.firstRun {
		id, _, _ := strings.Cut(task, ".")
		if ack, cancelled := acked[id]; cancelled && at.Sub(ack) > cancelTime && at.Sub(stableSince) > contactTime {
			broken = append(broken, fmt.Sprintf("UNASKED: %s begins %.1f s after its cancelling was acknowledged, %.1f s after the store was stable again", task, at.Sub(ack).Seconds(), at.Sub(stableSince).Seconds()))
		}
	}
	return broken, nil
}
